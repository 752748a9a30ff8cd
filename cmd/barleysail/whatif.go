package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/record/recordpb"
	"barleysail/replay"
	"barleysail/routing"
)

// whatIf is a replay against another setting.
type whatIf struct {
	set    []string // FIELD=VALUE
	config string
	plot   string
	json   bool
	fall   float64
}

func (w *whatIf) wanted() bool { return len(w.set) > 0 || w.config != "" }

// change makes a recorded configuration the other setting.
func (w *whatIf) change(c *configpb.Config) (*configpb.Config, error) {
	if w.config != "" {
		other, err := config.Load(w.config)
		if err != nil {
			return nil, err
		}
		if strings.Join(other.Zones, ",") != strings.Join(c.Zones, ",") || len(other.Classes) != len(c.Classes) {
			return nil, fmt.Errorf("%s: zones and classes are not those of the day", w.config)
		}
		other.List = c.List
		c = other
	}
	c = proto.Clone(c).(*configpb.Config)
	for _, s := range w.set {
		path, value, ok := strings.Cut(s, "=")
		parts := strings.Split(path, ".")
		if !ok || len(parts) > 2 || strings.ContainsAny(path, "[]{} ") {
			return nil, fmt.Errorf("--set %s: wanted is a field as in guard.grace_ms=2000", s)
		}
		text := parts[len(parts)-1] + ": " + value
		if len(parts) == 2 {
			text = parts[0] + " { " + text + " }"
		}
		some := &configpb.Config{}
		if err := prototext.Unmarshal([]byte(text), some); err != nil {
			return nil, fmt.Errorf("--set %s: %w", s, err)
		}
		proto.Merge(c, some)
	}
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("writing the other setting: %w", err)
	}
	return config.Parse("the other setting", text)
}

// files gives the recordings that are named, those of a folder where one is.
func files(names []string) ([]string, error) {
	var all []string
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil {
			return nil, fmt.Errorf("looking for recordings: %w", err)
		}
		if !info.IsDir() {
			all = append(all, name)
			continue
		}
		some, err := filepath.Glob(filepath.Join(name, "*.day"))
		if err != nil {
			return nil, fmt.Errorf("looking for recordings: %w", err)
		}
		all = append(all, some...)
	}
	sort.Strings(all)
	return all, nil
}

// opener opens the recordings for a pass, and closes those of the pass before.
type opener struct {
	names []string
	open  []*day
}

func (o *opener) sources() ([]replay.Source, error) {
	o.close()
	var all []replay.Source
	for _, name := range o.names {
		d, err := openDay(name)
		if err != nil {
			return nil, err
		}
		o.open = append(o.open, d)
		all = append(all, replay.Source{Name: filepath.Base(name), Next: d.Next})
	}
	return all, nil
}

func (o *opener) close() {
	for _, d := range o.open {
		d.file.Close()
	}
	o.open = nil
}

// first finds the configuration that a day was recorded with.
func (o *opener) first() (*configpb.Config, error) {
	sources, err := o.sources()
	if err != nil {
		return nil, err
	}
	for _, s := range sources {
		if r, err := s.Next(); err == nil && r.GetStart() != nil {
			return config.Parse("the recorded configuration", []byte(r.GetStart().Config))
		}
	}
	return nil, errors.New("no steward's recording is among them")
}

// setting makes a replay's setting of a configuration.
func (w *whatIf) setting(c *configpb.Config, change func(*configpb.Config) (*configpb.Config, error)) replay.Setting {
	set := replay.Setting{Figures: config.Rules(c, w.fall), Probes: *c.Probes.TimeoutMs,
		Make: func(s *recordpb.Start) (*controller.Controller, error) {
			c, err := config.Parse("the recorded configuration", []byte(s.Config))
			if err == nil {
				c, err = change(c)
			}
			if err != nil {
				return nil, err
			}
			return config.Steward(config.Of(c, s.Format), s.Life, s.Seed), nil
		}}
	for _, k := range c.Classes {
		set.Classes = append(set.Classes, controller.RequestClass{Name: k.Name, RequestClass: routing.RequestClass{LatencyObjectiveMs: *k.DueMs, DeadlineMs: *k.PatienceMs,
			PriorityWeight: *k.Earnings}})
	}
	return set
}

// run replays the day with its own setting and with the other, and tells how they differ.
func (w *whatIf) run(out io.Writer, names []string) error {
	names, err := files(names)
	if err != nil {
		return err
	}
	o := &opener{names: names}
	defer o.close()
	recorded, err := o.first()
	if err != nil {
		return err
	}
	changed, err := w.change(recorded)
	if err != nil {
		return err
	}
	// Both at once: each reads the day for itself.
	two, done := &opener{names: names}, make(chan error, 1)
	defer two.close()
	var other *replay.Outcome
	go func() {
		var err error
		other, err = replay.Replay(two.sources, w.setting(changed, w.change))
		done <- err
	}()
	one, err := replay.Replay(o.sources, w.setting(recorded, func(c *configpb.Config) (*configpb.Config, error) { return c, nil }))
	if err := errors.Join(err, <-done); err != nil {
		return err
	}
	c := replay.Compare(one, other, 1)
	if w.plot != "" {
		if err := plotDays(w.plot, one, other); err != nil {
			return err
		}
	}
	if w.json {
		return printJSON(out, map[string]any{"comparison": finite(c), "same": one, "other": other})
	}
	w.print(out, one, other, c)
	return nil
}

// finite replaces intervals without an end, which JSON cannot hold, by the widest there can be.
func finite(c *replay.Comparison) *replay.Comparison {
	clip := func(e *replay.Estimate) { e.Low, e.High = math.Max(e.Low, -1), math.Min(e.High, 1) }
	clip(&c.All.Difference)
	clip(&c.Model)
	for i := range c.Classes {
		clip(&c.Classes[i].Difference)
	}
	return c
}

func estimate(e replay.Estimate) string {
	word := ""
	if !e.Sure() {
		word = "  none"
	}
	return fmt.Sprintf("%+.4f (%+.4f to %+.4f)%s", e.Value, e.Low, e.High, word)
}

func (w *whatIf) print(out io.Writer, one, other *replay.Outcome, c *replay.Comparison) {
	t := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "service\trecorded\treplayed\twith the other setting\tdifference (95 of 100)")
	for _, d := range append([]replay.ClassDifference{c.All}, c.Classes...) {
		fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%.4f\t%s\n", d.Class, d.Recorded, d.One, d.Other, estimate(d.Difference))
	}
	t.Flush()
	fmt.Fprintf(out, "\nthe model, replayed less recorded: %s\n", estimate(c.Model))
	fmt.Fprintf(out, "answers extrapolated, where nothing was seen of the host: %.1f%% and %.1f%%; taken as recorded: %d and %d\n",
		percent(one.Beyond, one.Tries), percent(other.Beyond, other.Tries), one.AsSeen, other.AsSeen)
	fmt.Fprintf(out, "messages to proxies: %d and %d; mean gap to the best tables: %.4f and %.4f\n\n", c.Messages[0], c.Messages[1],
		one.MeanGap(), other.MeanGap())
	t = tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(t, "rule\tmargin\tother\t")
	for i, v := range one.Verdicts {
		if i < len(other.Verdicts) {
			x := other.Verdicts[i]
			fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%s\n", v.Rule, v.Margin, x.Margin, x.Seen)
		}
	}
	t.Flush()
	for _, p := range c.Parted {
		fmt.Fprintf(out, "parted at %.0f s: service %.3f, with the other %.3f\n", (p.From-one.From)/1000, p.One, p.Other)
	}
	widest := 0.0
	jumps := 0
	for _, all := range one.Offsets {
		jumps += len(all) - 1
		for _, by := range all {
			widest = math.Max(widest, by.Within)
		}
	}
	fmt.Fprintf(out, "clocks of %d proxies set to the stewards', within %.1f ms; %d were set anew during the day\n", len(one.Offsets),
		widest, jumps)
	if one.Doubled > 0 {
		fmt.Fprintf(out, "%d transactions were recorded twice, and are played once\n", one.Doubled)
	}
	for _, day := range []struct {
		name string
		of   *replay.Outcome
	}{{"replayed", one}, {"with the other setting", other}} {
		fmt.Fprintf(out, "changes of mode, %s:\n", day.name)
		for i, m := range day.of.Moments {
			if i == modesShown {
				fmt.Fprintf(out, "  and %d more\n", len(day.of.Moments)-i)
				break
			}
			fmt.Fprintf(out, "  %9.3f s  %s\n", (m.At-day.of.From)/1000, m.Text)
		}
	}
}

// modesShown are told of each day; all are in the JSON.
const modesShown = 15

func percent(part, all int) float64 { return 100 * float64(part) / math.Max(float64(all), 1) }
