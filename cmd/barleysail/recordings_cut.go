package main

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/replay"
)

var errCutFlags = errors.New("want --from and --to, in seconds since the start of the recording, " +
	"and an --output that ends in " + recordingSuffix)

// cutRange is a part of a recording, in seconds since its start.
type cutRange struct{ fromSeconds, toSeconds float64 }

func (r cutRange) valid() bool { return r.fromSeconds >= 0 && r.toSeconds > r.fromSeconds }

func recordingsCutCommand() *cobra.Command {
	var part cutRange
	var output string
	cmd := &cobra.Command{
		Use:   "cut RECORDING",
		Short: "Cut a part out of a recording, as a small test case",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !part.valid() || !strings.HasSuffix(output, recordingSuffix) {
				return errCutFlags
			}
			count, err := cutRecording(args[0], output, part)
			if err != nil {
				return err
			}
			return printLine(cmd, "%s: %d records", output, count)
		},
	}
	flags := cmd.Flags()
	flags.Float64Var(&part.fromSeconds, "from", 0, "start of the part, in seconds since the start of the recording")
	flags.Float64Var(&part.toSeconds, "to", 0, "end of the part, in seconds since the start of the recording")
	flags.StringVarP(&output, "output", "o", "", "the file to write; it must not exist")
	return cmd
}

// cutRecording writes a part of a recording into a new file, and returns the number of its records.
func cutRecording(name, output string, part cutRange) (count int, err error) {
	recording, err := openRecording(name)
	if err != nil {
		return 0, err
	}
	defer recording.close()
	first, err := recording.Next()
	if err != nil {
		return 0, fmt.Errorf("reading the recording: %w", err)
	}
	file, err := os.OpenFile(output, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
	if err != nil {
		return 0, fmt.Errorf("creating the output file: %w", err)
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	writer := record.NewWriter(file)
	write := func(entry *recordpb.Record) error {
		count++
		return writer.Write(entry)
	}
	fromMs := first.At + part.fromSeconds*msPerSecond
	toMs := first.At + part.toSeconds*msPerSecond
	if err := replay.Cut(prepend(first, recording.Next), rebuildController, fromMs, toMs, write); err != nil {
		return 0, err
	}
	return count, writer.Close()
}

// prepend returns a reader of records that returns first before those of next.
func prepend(first *recordpb.Record, next replay.NextFunc) replay.NextFunc {
	returned := false
	return func() (*recordpb.Record, error) {
		if !returned {
			returned = true
			return first, nil
		}
		return next()
	}
}
