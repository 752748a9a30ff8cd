package main

import (
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
)

// Output formats of "get".
const (
	formatTable = "table"
	formatJSON  = "json"
	formatCSV   = "csv"
)

const (
	columnPadding = 2 // spaces between two columns of a table
	columnMinimum = 2 // least width of a column
)

// printer writes text and keeps the first error, so that a command checks it once, by flush.
type printer struct {
	out     io.Writer
	columns *tabwriter.Writer // what out is where columns are aligned, else nil
	err     error
}

// newPrinter returns a printer that writes to out directly.
func newPrinter(out io.Writer) *printer { return &printer{out: out} }

// newColumnPrinter returns a printer that aligns the tab-separated cells of consecutive lines into columns. Nothing is
// written before flush.
func newColumnPrinter(out io.Writer) *printer { return newAlignedPrinter(out, 0) }

// newRightAlignedPrinter is newColumnPrinter with cells aligned to the right.
func newRightAlignedPrinter(out io.Writer) *printer {
	return newAlignedPrinter(out, tabwriter.AlignRight)
}

func newAlignedPrinter(out io.Writer, flags uint) *printer {
	columns := tabwriter.NewWriter(out, columnMinimum, 0, columnPadding, ' ', flags)
	return &printer{out: columns, columns: columns}
}

// printf writes formatted text.
func (p *printer) printf(format string, args ...any) {
	_, err := fmt.Fprintf(p.out, format, args...)
	p.err = errors.Join(p.err, err)
}

// println writes its operands with spaces between them, and a line's end.
func (p *printer) println(args ...any) {
	_, err := fmt.Fprintln(p.out, args...)
	p.err = errors.Join(p.err, err)
}

// flush writes what is buffered and returns the errors of all writes.
func (p *printer) flush() error {
	if p.columns != nil {
		p.err = errors.Join(p.err, p.columns.Flush())
	}
	return p.err
}

// printLine writes one formatted line to the command's output.
func printLine(cmd *cobra.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(cmd.OutOrStdout(), format+"\n", args...)
	return err
}

// printJSON writes a document as indented JSON.
func printJSON(out io.Writer, document any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(document)
}

// resultTable is the result of a query: rows for people and CSV, and the document that JSON shows in full.
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
	return fmt.Errorf("-o %s: table, json and csv are known", format)
}

func (t *resultTable) printCSV(out io.Writer) error {
	writer := csv.NewWriter(out)
	if err := writer.Write(t.header); err != nil {
		return err
	}
	return writer.WriteAll(t.rows)
}

// formatNumber writes a number with four significant digits.
func formatNumber(number float64) string { return strconv.FormatFloat(number, 'g', 4, 64) }

// formatTime writes an instant, in ms since the Unix epoch, as UTC to the millisecond.
func formatTime(atMs float64) string {
	return instant(atMs).Format("2006-01-02 15:04:05.000")
}

// instant converts ms since the Unix epoch to a time in UTC.
func instant(atMs float64) time.Time { return time.UnixMicro(int64(atMs * 1000)).UTC() }

// seconds converts ms to seconds.
func seconds(ms float64) float64 { return ms / 1000 }
