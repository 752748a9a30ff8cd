package main

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strings"
)

// Output formats of "get".
const (
	formatTable = "table"
	formatJSON  = "json"
	formatCSV   = "csv"
)

// resultTable is the result of a query: rows for text and CSV output, and the complete document for JSON output.
type resultTable struct {
	header   []string
	rows     [][]string
	document any
}

// print writes the result in an output format.
func (t *resultTable) print(out io.Writer, format string) error {
	switch format {
	case formatJSON:
		return printJSON(out, t.document)
	case formatCSV:
		return t.printCSV(out)
	case formatTable:
		columns := newColumnPrinter(out)
		columns.println(strings.Join(t.header, "\t"))
		for _, row := range t.rows {
			columns.println(strings.Join(row, "\t"))
		}
		return columns.flush()
	}
	return fmt.Errorf("-o %s: unknown output format, want table, json or csv", format)
}

func (t *resultTable) printCSV(out io.Writer) error {
	writer := csv.NewWriter(out)
	if err := writer.Write(t.header); err != nil {
		return err
	}
	return writer.WriteAll(t.rows)
}

// printJSON writes a document as indented JSON.
func printJSON(out io.Writer, document any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}
