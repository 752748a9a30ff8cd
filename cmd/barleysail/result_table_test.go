package main

import (
	"errors"
	"strings"
	"testing"
)

func TestResultTable(t *testing.T) {
	table := &resultTable{
		header:   []string{"host", "weight"},
		rows:     [][]string{{"a,b", "1"}, {"c", "0.25"}},
		document: map[string]int{"hosts": 2},
	}
	for _, c := range []struct{ format, want, err string }{
		{"table", "host  weight\na,b   1\nc     0.25\n", ""},
		{"csv", "host,weight\n\"a,b\",1\nc,0.25\n", ""},
		{"json", "{\n  \"hosts\": 2\n}\n", ""},
		{"xml", "", "-o xml: unknown output format, want table, json or csv"},
	} {
		t.Run(c.format, func(t *testing.T) {
			var out strings.Builder
			message := ""
			if err := table.print(&out, c.format); err != nil {
				message = err.Error()
			}
			if out.String() != c.want || message != c.err {
				t.Errorf("got output %q and error %q, want %q and %q", out.String(), message, c.want, c.err)
			}
		})
	}
}

var errDiskFull = errors.New("disk full")

// limitedWriter fails at a write that exceeds the bytes left.
type limitedWriter struct{ left int }

func (w *limitedWriter) Write(text []byte) (int, error) {
	if len(text) > w.left {
		return 0, errDiskFull
	}
	w.left -= len(text)
	return len(text), nil
}

// After a failed write a printer writes nothing more, and flush returns the error.
func TestPrinterKeepsTheFirstError(t *testing.T) {
	for _, c := range []struct {
		name       string
		newPrinter func(out *limitedWriter) *printer
	}{
		{"direct", func(out *limitedWriter) *printer { return newPrinter(out) }},
		{"columns", func(out *limitedWriter) *printer { return newColumnPrinter(out) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			out := &limitedWriter{left: 5}
			p := c.newPrinter(out)
			p.println("long line")
			p.printf("%d\n", 1)
			if err := p.flush(); !errors.Is(err, errDiskFull) {
				t.Errorf("flush: got error %v, want %v", err, errDiskFull)
			}
			if out.left != 5 {
				t.Errorf("got %d bytes written after the error, want none", 5-out.left)
			}
		})
	}
}
