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
		formatTime(summary.FromMs), seconds(summary.ToMs-summary.FromMs), summary.Start.Life, summary.Start.Program,
		summary.Records, summary.MaxProxies, summary.MaxHosts)
	spansErr := printSpans(out, summary)
	p.println()
	for _, moment := range summary.Events {
		p.printf("%9.3f s  %s\n", seconds(moment.AtMs-summary.FromMs), moment.Text)
	}
	if summary.OmittedEvents > 0 {
		p.printf("and %d more\n", summary.OmittedEvents)
	}
	if summary.ReadErr != nil {
		p.printf("the recording ends early: %v\n", summary.ReadErr)
	}
	return errors.Join(spansErr, p.flush())
}

// printSpans prints a line of counts for each time span of a recording.
func printSpans(out io.Writer, summary *replay.Summary) error {
	columns := newRightAlignedPrinter(out)
	columns.println("from s\tcame\tunanswered\ttries\tfailed\tmessages\tjoined\tleft\tprobes answered\tnot\t")
	for _, span := range summary.Intervals {
		columns.printf("%.0f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n", seconds(span.FromMs-summary.FromMs), span.Arrivals,
			span.NoResponse, span.Attempts, span.Failed, span.Messages, span.Connects, span.Disconnects, span.HealthyChecks,
			span.UnhealthyChecks)
	}
	return columns.flush()
}
