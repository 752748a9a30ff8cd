package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"barleysail/internal/statefile"
	"barleysail/operator"
	"barleysail/state"
	"barleysail/state/statepb"
)

func stateCommand() *cobra.Command {
	c := &cobra.Command{Use: "state", Short: "What a steward keeps for its next life"}
	show := &cobra.Command{Use: "show FOLDER", Short: "What is kept, and what of it would be gone by now", Args: cobra.ExactArgs(1)}
	cold := show.Flags().Float64("cold-ms", 18000, "a started host is warm after so long, as in guard.cold_ms")
	show.RunE = func(c *cobra.Command, args []string) error { return showState(c.OutOrStdout(), args[0], *cold) }
	check := &cobra.Command{Use: "check FOLDER", Short: "Whether what is kept is whole", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return checkState(c.OutOrStdout(), args[0]) }}
	export := &cobra.Command{Use: "export FOLDER", Short: "What is kept as protobuf text", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			f, err := loadState(args[0])
			if err != nil {
				return err
			}
			text, err := prototext.MarshalOptions{Multiline: true}.Marshal(f.State)
			if err == nil {
				_, err = c.OutOrStdout().Write(text)
			}
			return err
		}}
	forget := &cobra.Command{Use: "forget FOLDER", Short: "Forget what is kept, or a part of it, while the steward is down", Args: cobra.ExactArgs(1),
		Long: "Without flags all is forgotten but what operators set. The steward that keeps its state there must be down."}
	var hosts []string
	forget.Flags().StringSliceVar(&hosts, "host", nil, "only what is known of these hosts")
	settings := forget.Flags().Bool("settings", false, "what operators set too")
	forget.RunE = func(c *cobra.Command, args []string) error {
		return forgetState(c.OutOrStdout(), args[0], hosts, *settings)
	}
	c.AddCommand(show, check, export, forget)
	return c
}

// loadState reads a folder that may be a running steward's.
func loadState(path string) (*statefile.LoadResult, error) {
	folder, err := statefile.OpenReadOnly(path)
	if err != nil {
		return nil, err
	}
	defer folder.Close()
	f, err := statefile.Load(folder)
	if err != nil {
		return nil, err
	}
	if f.State == nil {
		return nil, fmt.Errorf("nothing that may be gone by is kept there: %s", strings.Join(f.Warnings, "; "))
	}
	return f, nil
}

func nowMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }

func showState(out io.Writer, path string, cold float64) error {
	f, err := loadState(path)
	if err != nil {
		return err
	}
	s, now := f.State, nowMs()
	r := state.ApplyDecay(s, now, state.DefaultLimits(cold))
	fmt.Fprintf(out, "life %s of program %s, format %d.%d, generation %d and %d changes, %d bytes\n", s.Life, s.Program, s.Major, s.Minor, f.Generation, f.Changes, proto.Size(s))
	fmt.Fprintf(out, "true at %s, %.1f s ago\n", formatTime(s.At), (now-s.At)/1000)
	for _, n := range f.Warnings {
		fmt.Fprintln(out, "left out:", n)
	}
	if r.Reason != "" {
		fmt.Fprintln(out, "less than all is known:", r.Reason)
	}
	if f := s.GetFleet(); f != nil {
		fmt.Fprintf(out, "level %.2f, now %.2f; median of mean times %.1f ms\n", f.Level, r.AdmissionRatio, r.MedianLatencyMs)
	}
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "host\tzone\tweight\tnow\tr ms\tnow\tlost\tnow\twithdrawn\tnow\ttrust\tnow\tstarted\tdrains since")
	for _, h := range s.Hosts {
		k := r.Hosts[h.Name]
		if k == nil {
			k = &state.Host{Weight: 1, ReportTrust: 1}
		}
		fmt.Fprintf(w, "%s\t%s\t%.3g\t%.3g\t%.4g\t%.4g\t%.3g\t%.3g\t%v\t%v\t%.2f\t%.2f\t%s\t%s\n", h.Name, h.Zone, h.Weight, k.Weight, h.R, k.MeanLatencyMs,
			h.Lost, k.Failures, h.Out, k.Ejected, h.Trust, k.ReportTrust, ago(h.Started, now), ago(h.Drains, now))
	}
	for _, x := range r.Overrides {
		fmt.Fprintf(w, "operator set %s\t%s\tweight %g\tpart %g\tby %s\n", x.Host, operator.State(min(max(x.State, 0), int32(operator.Maintenance))), x.Weight, x.Part, x.By)
	}
	fmt.Fprintf(w, "%d proxies are known, %d of them with their tables (%d different)\n", len(s.Proxies), withTables(r), len(s.Tables))
	return w.Flush()
}

func withTables(r *state.Restored) (n int) {
	for _, p := range r.Proxies {
		if p.Tag != "" {
			n++
		}
	}
	return n
}

func ago(at, now float64) string {
	if at <= 0 {
		return ""
	}
	return fmt.Sprintf("%.1f s ago", (now-at)/1000)
}

func checkState(out io.Writer, path string) error {
	f, err := loadState(path)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "generation %d with %d changes, %d hosts, %d proxies, %d settings\n", f.Generation, f.Changes, len(f.State.Hosts), len(f.State.Proxies), len(f.State.Settings))
	if len(f.Warnings) > 0 {
		return errors.New(strings.Join(f.Warnings, "; "))
	}
	fmt.Fprintln(out, "whole")
	return nil
}

// forgetState writes a generation without what is to be forgotten.
func forgetState(out io.Writer, path string, hosts []string, settings bool) error {
	if _, err := os.Stat(path); err != nil {
		return fmt.Errorf("opening the state folder: %w", err)
	}
	folder, err := statefile.OpenFolder(path)
	if err != nil {
		return err
	}
	defer folder.Close()
	f, err := statefile.Load(folder)
	if err != nil {
		return err
	}
	if f.State == nil {
		return errors.New("nothing is kept there")
	}
	s := f.State
	if len(hosts) > 0 {
		before := len(s.Hosts)
		s.Hosts = slices.DeleteFunc(s.Hosts, func(h *statepb.Host) bool { return slices.Contains(hosts, h.Name) })
		if len(s.Hosts) == before {
			return fmt.Errorf("nothing is kept of %s", strings.Join(hosts, ", "))
		}
	} else {
		s.Hosts, s.Proxies, s.Tables, s.Fleet = nil, nil, nil, nil
	}
	if settings {
		s.Settings = nil
	}
	store := statefile.NewStore(folder, f, 1<<30)
	defer store.Close()
	for range 2 { // two generations are kept: neither may tell of it
		if err := store.SaveSnapshot(s); err != nil {
			return err
		}
	}
	fmt.Fprintln(out, "forgotten")
	return nil
}
