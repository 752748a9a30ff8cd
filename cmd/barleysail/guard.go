package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/prototext"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/record/recordpb"
	"barleysail/replay"
)

func guardCommand() *cobra.Command {
	c := &cobra.Command{Use: "guard", Short: "What the table guard finds"}
	var zone string
	check := &cobra.Command{Use: "check TABLES.json", Short: "Whether the guard would let tables pass at a running steward",
		Long: "Reads tables in the form of the document that proxies get, {\"tables\":{CLASS:{\"hosts\":{HOST:WEIGHT}}}}, and asks a\n" +
			"running steward what its guard finds in them as things stand, and what it would publish instead. Nothing is published.\n" +
			"Exit code 3 where it would refuse them.",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return guardCheck(c, args[0], zone) }}
	check.Flags().StringVar(&zone, "zone", "", "for the proxies of one zone; without it, for all")
	addControllerFlag(check)
	days := &cobra.Command{Use: "days DAY...", Short: "What the guard would have found on recorded days",
		Long: "Replays stewards' recordings with the guard looking on but changing nothing, and counts what it finds by check.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error { return guardDays(c.OutOrStdout(), args) }}
	c.AddCommand(check, days)
	return c
}

func guardCheck(c *cobra.Command, name, zone string) error {
	text, err := os.ReadFile(name)
	if err != nil {
		return fmt.Errorf("reading the tables: %w", err)
	}
	var doc map[string]any
	if err := json.Unmarshal(text, &doc); err != nil {
		return fmt.Errorf("reading the tables: %s: %w", name, err)
	}
	if zone != "" {
		doc["zone"] = zone
	}
	var a controller.ValidationResult
	client, err := clientFromFlag(c)
	if err != nil {
		return err
	}
	if err := client.post(c.Context(), "/v1/guard/check", doc, &a); err != nil {
		return err
	}
	out := c.OutOrStdout()
	if len(a.Findings) == 0 {
		fmt.Fprintln(out, "sound")
		return nil
	}
	for _, f := range a.Findings {
		fmt.Fprintln(out, f)
	}
	fmt.Fprintln(out, "instead:")
	if err := printJSON(out, a.Instead); err != nil {
		return err
	}
	for _, f := range a.Left {
		fmt.Fprintln(out, "left:", f)
	}
	return &exitError{exitRefused, fmt.Errorf("the guard finds %d faults", len(a.Findings))}
}

// guarded makes the steward of a recording with the guard looking on.
func guarded(s *recordpb.Start) (*controller.Controller, error) {
	c, err := config.Parse("the recorded configuration", []byte(s.Config))
	if err != nil {
		return nil, err
	}
	c.TableGuard.On, c.TableGuard.Refuse, c.TableGuard.ListLose, c.TableGuard.Spare = true, false, 0, true
	text, err := prototext.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("writing the configuration: %w", err)
	}
	return build(&recordpb.Start{Format: s.Format, Config: string(text), Life: s.Life, Seed: s.Seed})
}

// guardDays prints a row a steward's recording.
func guardDays(out io.Writer, names []string) error {
	names, err := files(names)
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	n, sum := 0, map[string]int{}
	fmt.Fprintln(w, "day\tlength\tlooks\tfound")
	for _, name := range names {
		if proxy, err := isProxy(name); err != nil || proxy {
			continue
		}
		n++
		d, err := openDay(name)
		if err != nil {
			return err
		}
		var s *controller.Controller
		r, err := replay.Again(d.Next, func(start *recordpb.Start) (_ *controller.Controller, err error) {
			s, err = guarded(start)
			return s, err
		})
		d.file.Close()
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		if r.First != nil {
			return fmt.Errorf("%s parts from its record: %v", name, r.First)
		}
		g := s.ValidationReport()
		text := ""
		for _, check := range slices.Sorted(maps.Keys(g.Found)) {
			text += fmt.Sprintf("%d %s; ", g.Found[check], check)
			sum[check] += g.Found[check]
		}
		fmt.Fprintf(w, "%s\t%.1f s\t%d\t%s\n", name, (r.To-r.From)/1000, g.Looked, text)
	}
	if n == 0 {
		return errors.New("no steward's recording is among them")
	}
	for _, check := range slices.Sorted(maps.Keys(sum)) {
		fmt.Fprintf(w, "all\t\t\t%d %s\n", sum[check], check)
	}
	return w.Flush()
}
