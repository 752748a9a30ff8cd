package main

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"

	"github.com/spf13/cobra"

	"barleysail/internal/record/recordpb"
)

func recordingsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "recordings",
		Aliases: []string{"days"}, // its name up to 0.1
		Short:   "List, check, summarize and cut recordings",
	}
	cmd.AddCommand(recordingsListCommand(), recordingsCheckCommand(), recordingsShowCommand(), recordingsCutCommand())
	return cmd
}

func recordingsListCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "list [FOLDER]",
		Short: "List the recordings in a folder",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			folder := "."
			if len(args) > 0 {
				folder = args[0]
			}
			return listRecordings(cmd.OutOrStdout(), folder)
		},
	}
}

// listRecordings prints a line for each recording in a folder; for an unreadable one the line shows the error.
func listRecordings(out io.Writer, folder string) error {
	names, err := recordingsInFolder(folder)
	if err != nil {
		return err
	}
	columns := newColumnPrinter(out)
	columns.println("day\tfrom (UTC)\tlength\trecords\tbytes\tprogram\tstate")
	for _, name := range names {
		row, err := listRow(name)
		if err != nil {
			row = fmt.Sprintf("\t\t\t\t\t%v", err)
		}
		columns.printf("%s\t%s\n", filepath.Base(name), row)
	}
	return columns.flush()
}

// listRow returns the line of a recording in the list, without its name.
func listRow(name string) (string, error) {
	recording, err := openRecording(name)
	if err != nil {
		return "", err
	}
	defer recording.close()
	info, err := recording.file.Stat()
	if err != nil {
		return "", err
	}
	var extent recordingExtent
	for {
		entry, err := recording.Next()
		if err != nil { // the end of the recording, or damage, which condition reports
			break
		}
		extent.add(entry)
	}
	return fmt.Sprintf("%s\t%.1f s\t%d\t%d\t%s\t%s", formatTime(extent.firstMs), seconds(extent.lastMs-extent.firstMs),
		extent.records, info.Size(), extent.program, recording.condition()), nil
}

// recordingExtent is the size of a recording and the version of the program that made it.
type recordingExtent struct {
	records int
	firstMs float64 // times of the first and the last record, ms since the Unix epoch
	lastMs  float64
	program string
}

func (e *recordingExtent) add(entry *recordpb.Record) {
	if e.records == 0 {
		e.firstMs = entry.At
	}
	e.records++
	e.lastMs = entry.At
	if start := entry.GetStart(); start != nil {
		e.program = start.Program
	} else if start := entry.GetProxyStart(); start != nil {
		e.program = start.Program
	}
}

func recordingsCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check RECORDING...",
		Short: "Check that recordings are complete and undamaged",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return checkRecordings(cmd.OutOrStdout(), args)
		},
	}
}

// checkRecordings prints the condition of recordings, and returns an error if any is damaged.
func checkRecordings(out io.Writer, names []string) error {
	damaged := 0
	p := newPrinter(out)
	for _, name := range names {
		undamaged, err := checkRecording(p, name)
		if err != nil {
			return err
		}
		if !undamaged {
			damaged++
		}
	}
	if damaged > 0 {
		return errors.Join(p.flush(), fmt.Errorf("%d of %d recordings are damaged", damaged, len(names)))
	}
	return p.flush()
}

// checkRecording prints the condition of one recording.
func checkRecording(p *printer, name string) (undamaged bool, err error) {
	recording, err := openRecording(name)
	if err != nil {
		return false, err
	}
	defer recording.close()
	count, end := countRecords(recording)
	p.printf("%s: %d records, %s\n", name, count, recording.condition())
	recording.printFaults(p)
	if isReadError(end) {
		p.printf("%v\n", end)
	}
	return !recording.isDamaged(end), nil
}
