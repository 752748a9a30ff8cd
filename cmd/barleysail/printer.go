package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"
)

const (
	columnPadding = 2 // spaces between two columns of a table
	columnMinimum = 2 // least width of a column
)

// printer writes text until the first error, which flush returns, so that a command checks for errors once.
type printer struct {
	out     io.Writer
	columns *tabwriter.Writer // the same writer as out if columns are aligned, else nil
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
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.out, format, args...)
	}
}

// println writes its operands, separated by spaces, and a newline.
func (p *printer) println(args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintln(p.out, args...)
	}
}

// flush writes buffered text and returns the first error of all writes.
func (p *printer) flush() error {
	if p.err == nil && p.columns != nil {
		p.err = p.columns.Flush()
	}
	return p.err
}

// printLine writes one formatted line to the command's output.
func printLine(cmd *cobra.Command, format string, args ...any) error {
	_, err := fmt.Fprintf(cmd.OutOrStdout(), format+"\n", args...)
	return err
}
