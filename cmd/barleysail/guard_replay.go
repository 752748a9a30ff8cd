package main

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/prototext"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/record/recordpb"
	"barleysail/replay"
)

func guardReplayCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "replay RECORDING...",
		Aliases: []string{"days"}, // its name up to 0.1
		Short:   "Count what the table guard finds in recordings",
		Long: "Replays controllers' recordings with a table guard that reports but changes nothing, and counts its\n" +
			"findings by check.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return printGuardReplays(cmd.OutOrStdout(), args)
		},
	}
}

// printGuardReplays prints a row for each controller's recording, and the total number of findings of each check.
func printGuardReplays(out io.Writer, paths []string) error {
	names, err := findControllerRecordings(paths)
	if err != nil {
		return err
	}
	totals := map[string]int{}
	columns := newColumnPrinter(out)
	columns.println("day\tlength\tlooks\tfound")
	for _, name := range names {
		result, report, err := guardReplay(name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		columns.printf("%s\t%.1f s\t%d\t%s\n", name, seconds(result.ToMs-result.FromMs), report.Runs,
			formatCounts(report.NewFindings))
		for check, count := range report.NewFindings {
			totals[check] += count
		}
	}
	for _, check := range slices.Sorted(maps.Keys(totals)) {
		columns.printf("all\t\t\t%d %s\n", totals[check], check)
	}
	return columns.flush()
}

// guardReplay replays a recording with a table validator that only reports, and returns its findings.
func guardReplay(name string) (*replay.Verification, *controller.ValidationReport, error) {
	recording, err := openRecording(name)
	if err != nil {
		return nil, nil, err
	}
	defer recording.close()
	var replayed *controller.Controller
	result, err := replay.Verify(recording.Next, func(start *recordpb.Start) (*controller.Controller, error) {
		var err error
		replayed, err = rebuildWithGuard(start)
		return replayed, err
	})
	if err != nil {
		return nil, nil, err
	}
	if result.FirstDifference != nil {
		return nil, nil, fmt.Errorf("the replay differs from the recording: %v", result.FirstDifference)
	}
	report := replayed.ValidationReport()
	return result, &report, nil
}

// rebuildWithGuard creates the controller of a recording with a table validator that reports but rejects nothing.
func rebuildWithGuard(start *recordpb.Start) (*controller.Controller, error) {
	settings, err := config.Parse(recordedConfig, []byte(start.Config))
	if err != nil {
		return nil, err
	}
	guard := settings.TableGuard
	guard.On = true
	guard.Refuse = false
	guard.ListLose = 0
	guard.Spare = true
	text, err := prototext.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("encoding the configuration: %w", err)
	}
	return rebuildController(&recordpb.Start{
		Format: start.Format,
		Config: string(text),
		Life:   start.Life,
		Seed:   start.Seed,
	})
}
