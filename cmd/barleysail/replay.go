package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"barleysail/replay"
)

const defaultCollapseMs = 3000 // of the flag --collapse-ms

func replayCommand() *cobra.Command {
	var comparison settingsComparison
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "replay RECORDING...",
		Short: "Replay recordings with their own settings, or compare them with other settings",
		Long: "Replays each recording of a controller and compares the responses with the recorded ones, byte for byte.\n" +
			"The first difference is printed with its time, proxy, host and both values, and with the inputs since the\n" +
			"last response that agreed. Exit code 1 where there is one.\n\n" +
			"With --set or --config the recorded requests are routed by the tables of other settings, and the service and\n" +
			"the invariants of both settings are printed side by side. This needs the recordings of all controllers and\n" +
			"proxies, or their folder.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if comparison.requested() {
				return comparison.run(cmd.OutOrStdout(), args, asJSON)
			}
			return verifyRecordings(cmd.OutOrStdout(), args)
		},
	}
	flags := cmd.Flags()
	flags.StringArrayVar(&comparison.overrides, "set", nil,
		"FIELD=VALUE of the configuration, as in guard.grace_ms=2000; repeatable")
	flags.StringVar(&comparison.configFile, "config", "", "compare with this configuration")
	flags.StringVar(&comparison.plotFile, "plot", "", "draw the service of both to this file, .svg or .png")
	flags.BoolVar(&asJSON, "json", false, "print JSON")
	flags.Float64Var(&comparison.collapseMs, "collapse-ms", defaultCollapseMs,
		"ms of overload after which a host in slow start counts as collapsed")
	addOldFlagName(cmd, "collapse-ms", "fall-ms")
	return cmd
}

// verifyRecordings replays controllers' recordings with their own settings, and returns an error if a response
// differs from the recorded one.
func verifyRecordings(out io.Writer, paths []string) error {
	names, err := findControllerRecordings(paths)
	if err != nil {
		return err
	}
	differing := 0
	for _, name := range names {
		identical, err := verifyRecording(out, name)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if !identical {
			differing++
		}
	}
	if differing > 0 {
		return fmt.Errorf("%d of %d recordings differ from their replay", differing, len(names))
	}
	return nil
}

// verifyRecording replays a recording and reports whether all responses are identical to the recorded ones.
func verifyRecording(out io.Writer, name string) (identical bool, err error) {
	recording, err := openRecording(name)
	if err != nil {
		return false, err
	}
	defer recording.close()
	began := time.Now()
	result, err := replay.Verify(recording.Next, rebuildController)
	if err != nil {
		return false, err
	}
	elapsed := time.Since(began)
	p := newPrinter(out)
	p.printf("%s: %.1f s of the recording in %.2f s: %d inputs, %d responses as recorded\n", name,
		seconds(result.ToMs-result.FromMs), elapsed.Seconds(), result.Inputs, result.Responses)
	recording.printFaults(p)
	if isReadError(result.ReadErr) {
		p.printf("the recording ends early: %v\n", result.ReadErr)
	}
	if result.FirstDifference != nil {
		p.printf("first difference %v\n", result.FirstDifference)
	}
	return result.FirstDifference == nil, p.flush()
}
