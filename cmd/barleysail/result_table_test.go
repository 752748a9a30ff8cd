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
				t.Errorf("printed %q with error %q, want %q with %q", out.String(), message, c.want, c.err)
			}
		})
	}
}

var errDiskFull = errors.New("disk full")

// limitedWriter fails once it has taken a number of bytes.
type limitedWriter struct{ left int }

func (w *limitedWriter) Write(text []byte) (int, error) {
	if len(text) > w.left {
		return 0, errDiskFull
	}
	w.left -= len(text)
	return len(text), nil
}

// A printer stops at the first error, which flush returns.
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
				t.Errorf("%v, want %v", err, errDiskFull)
			}
			if out.left != 5 {
				t.Errorf("%d bytes are written after the error", 5-out.left)
			}
		})
	}
}
