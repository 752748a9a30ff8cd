package main

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"barleysail/internal/statefile"
	"barleysail/operator"
	"barleysail/state"
	"barleysail/state/statepb"
)

const defaultSlowStartMs = 18_000 // default of --slow-start-ms and of the configuration's guard.cold_ms

func stateShowCommand() *cobra.Command {
	var slowStartMs float64
	cmd := &cobra.Command{
		Use:   "show FOLDER",
		Short: "Print a stored state, and what a controller would restore of it now",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return showState(cmd.OutOrStdout(), args[0], slowStartMs)
		},
	}
	cmd.Flags().Float64Var(&slowStartMs, "slow-start-ms", defaultSlowStartMs,
		"ms of slow start after a host's start, as guard.cold_ms of the configuration")
	addOldFlagName(cmd, "slow-start-ms", "cold-ms")
	return cmd
}

// showState prints a stored state, and what a controller that starts now would restore of it.
func showState(out io.Writer, path string, slowStartMs float64) error {
	loaded, err := loadState(path)
	if err != nil {
		return err
	}
	nowMs := float64(time.Now().UnixMicro()) / microsecondsPerMs
	restored := state.ApplyDecay(loaded.State, nowMs, state.DefaultLimits(slowStartMs))
	p := newPrinter(out)
	printStateHead(p, loaded, restored, nowMs)
	columns := newColumnPrinter(out)
	printStateHosts(columns, loaded.State.Hosts, restored, nowMs)
	for _, override := range restored.Overrides {
		columns.printf("operator set %s\t%s\tweight %g\tpart %g\tby %s\n", override.Host, shownState(override.State),
			override.Weight, override.Part, override.By)
	}
	for _, command := range restored.Queue {
		columns.printf("operator queued %s\t%s\tweight %g\t\tby %s\n", command.Host,
			shownState(command.State), command.Weight, command.By)
	}
	columns.printf("%d proxies are known, %d of them with their tables (%d different)\n", len(loaded.State.Proxies),
		countProxiesWithTables(restored), len(loaded.State.Tables))
	return errors.Join(p.flush(), columns.flush())
}

// printStateHead prints the origin, age and damage of a state, and the values that concern the whole fleet.
func printStateHead(p *printer, loaded *statefile.LoadResult, restored *state.Restored, nowMs float64) {
	stored := loaded.State
	p.printf("incarnation %s of program %s, format %d.%d, generation %d and %d changes, %d bytes\n", stored.Life,
		stored.Program, stored.Major, stored.Minor, loaded.Generation, loaded.Changes, proto.Size(stored))
	p.printf("stored at %s, %.1f s ago\n", formatTime(stored.At), seconds(nowMs-stored.At))
	for _, warning := range loaded.Warnings {
		p.println("ignored:", warning)
	}
	if restored.Reason != "" {
		p.println("not everything can be restored:", restored.Reason)
	}
	if fleet := stored.GetFleet(); fleet != nil {
		p.printf("admission ratio %.2f, now %.2f; median of the hosts' mean latencies %.1f ms\n", fleet.Level,
			restored.AdmissionRatio, restored.MedianLatencyMs)
	}
}

// printStateHosts prints each host as stored and, in the columns "now", as it would be restored.
func printStateHosts(columns *printer, hosts []*statepb.Host, restored *state.Restored, nowMs float64) {
	columns.println("host\tzone\tweight\tnow\tr ms\tnow\tlost\tnow\twithdrawn\tnow\ttrust\tnow\tstarted\tdrains since")
	for _, stored := range hosts {
		now := restored.Hosts[stored.Name]
		if now == nil {
			now = &state.Host{Weight: 1, ReportConfidence: 1}
		}
		columns.printf("%s\t%s\t%.3g\t%.3g\t%.4g\t%.4g\t%.3g\t%.3g\t%v\t%v\t%.2f\t%.2f\t%s\t%s\n", stored.Name, stored.Zone,
			stored.Weight, now.Weight, stored.R, now.MeanLatencyMs, stored.Lost, now.Failures, stored.Out, now.Ejected,
			stored.Trust, now.ReportConfidence, formatAge(stored.Started, nowMs), formatAge(stored.Drains, nowMs))
	}
}

// shownState returns the state of a stored override or command, the nearest known one for an unknown number.
func shownState(number int32) operator.State {
	return operator.State(min(max(number, 0), int32(operator.Maintenance)))
}

// countProxiesWithTables counts the proxies whose tables are restored.
func countProxiesWithTables(restored *state.Restored) int {
	count := 0
	for _, proxy := range restored.Proxies {
		if proxy.Tag != "" {
			count++
		}
	}
	return count
}

// formatAge formats the age of an instant; both are in ms since the Unix epoch. It returns "" for an unknown instant.
func formatAge(atMs, nowMs float64) string {
	if atMs <= 0 {
		return ""
	}
	return fmt.Sprintf("%.1f s ago", seconds(nowMs-atMs))
}
