package main

import (
	"errors"
	"io"

	"github.com/spf13/cobra"

	"barleysail/replay"
)

func recordingsShowCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "show RECORDING",
		Short: "Summarize a recording",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return showRecording(cmd.OutOrStdout(), args[0], asJSON)
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

// showRecording prints the summary of a recording, as text or JSON.
func showRecording(out io.Writer, name string, asJSON bool) error {
	recording, err := openRecording(name)
	if err != nil {
		return err
	}
	defer recording.close()
	summary, err := replay.Summarize(recording.Next, rebuildController)
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(out, summary)
	}
	if err := printSummary(out, summary); err != nil {
		return err
	}
	p := newPrinter(out)
	recording.printFaults(p)
	return p.flush()
}

// printSummary prints the summary of a recording as text.
func printSummary(out io.Writer, summary *replay.Summary) error {
	p := newPrinter(out)
	p.printf("from %s, %.1f s, controller %s of version %s\n%d records; at most %d proxies joined and %d hosts listed\n\n",
		formatTime(summary.From), seconds(summary.To-summary.From), summary.Start.Life, summary.Start.Program,
		summary.Records, summary.Proxies, summary.Hosts)
	spansErr := printSpans(out, summary)
	p.println()
	for _, moment := range summary.Moments {
		p.printf("%9.3f s  %s\n", seconds(moment.At-summary.From), moment.Text)
	}
	if summary.Lost > 0 {
		p.printf("and %d more\n", summary.Lost)
	}
	if summary.End != nil {
		p.printf("the recording ends early: %v\n", summary.End)
	}
	return errors.Join(spansErr, p.flush())
}

// printSpans prints a line of counts for each time span of a recording.
func printSpans(out io.Writer, summary *replay.Summary) error {
	columns := newRightAlignedPrinter(out)
	columns.println("from s\tcame\tunanswered\ttries\tfailed\tmessages\tjoined\tleft\tprobes answered\tnot\t")
	for _, span := range summary.Spans {
		columns.printf("%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", seconds(span.From-summary.From), span.Came,
			span.Unanswered, span.Tries, span.Failed, span.Messages, span.Joined, span.Left, span.ProbesFine,
			span.ProbesOther)
	}
	return columns.flush()
}
