package main

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/record/recordpb"
	"barleysail/replay"
	"barleysail/routing"
)

const (
	changedConfig    = "the changed configuration" // name of the changed configuration in error messages
	maxOverrideDepth = 2                           // names in the path of a field: a message and its field
	comparisonSeed   = 1                           // seed of the random draws of replay.Compare, so that results repeat
)

var errOverrideForm = errors.New("want FIELD=VALUE, as in guard.grace_ms=2000")

// settingsComparison replays recordings twice, with the recorded configuration and with a changed one, and compares the
// outcomes.
type settingsComparison struct {
	overrides  []string // FIELD=VALUE, applied to the configuration of configFile or else to the recorded one
	configFile string   // the changed configuration before the overrides; empty: the recorded one
	plotFile   string   // empty: no plot
	collapseMs float64  // overload after which a host in slow start counts as collapsed
}

// requested reports whether a changed configuration is given.
func (c *settingsComparison) requested() bool { return len(c.overrides) > 0 || c.configFile != "" }

// run replays the recordings at the paths with both configurations and prints the comparison.
func (c *settingsComparison) run(out io.Writer, paths []string, asJSON bool) error {
	names, err := findRecordings(paths)
	if err != nil {
		return err
	}
	recorded, err := firstRecordedConfig(names)
	if err != nil {
		return err
	}
	changed, err := c.change(recorded)
	if err != nil {
		return err
	}
	report, err := c.replayBoth(names, recorded, changed)
	if err != nil {
		return err
	}
	if c.plotFile != "" {
		if err := plotComparison(c.plotFile, report.Recorded, report.Changed); err != nil {
			return err
		}
	}
	if asJSON {
		return report.printJSON(out)
	}
	return report.print(out)
}

// replayBoth replays with both configurations concurrently. Each replay opens the recordings itself.
func (c *settingsComparison) replayBoth(names []string, recorded, changed *configpb.Config) (*comparisonReport, error) {
	type result struct {
		outcome *replay.Outcome
		err     error
	}
	replayWith := func(settings replay.Settings) result {
		recordings := &recordingSet{names: names}
		defer recordings.close()
		outcome, err := replay.Simulate(recordings.sources, settings)
		return result{outcome, err}
	}
	changedResult := make(chan result, 1)
	go func() { changedResult <- replayWith(c.replaySettings(changed, c.change)) }() // its result is received below
	baseline := replayWith(c.replaySettings(recorded, unchanged))
	variant := <-changedResult
	if baseline.err != nil {
		return nil, baseline.err
	}
	if variant.err != nil {
		return nil, variant.err
	}
	return &comparisonReport{
		Comparison: replay.Compare(baseline.outcome, variant.outcome, comparisonSeed),
		Recorded:   baseline.outcome,
		Changed:    variant.outcome,
	}, nil
}

// firstRecordedConfig returns the configuration of the first controller's recording.
func firstRecordedConfig(names []string) (*configpb.Config, error) {
	recordings := &recordingSet{names: names}
	defer recordings.close()
	sources, err := recordings.sources()
	if err != nil {
		return nil, err
	}
	for _, source := range sources {
		first, err := source.Next()
		if err == nil && first.GetStart() != nil { // damaged recordings are reported by the replay
			return config.Parse(recordedConfig, []byte(first.GetStart().Config))
		}
	}
	return nil, errNoControllerRecording
}

// configChange returns a changed copy of a configuration.
type configChange func(*configpb.Config) (*configpb.Config, error)

func unchanged(settings *configpb.Config) (*configpb.Config, error) { return settings, nil }

// change returns the changed configuration for a recorded one.
func (c *settingsComparison) change(recorded *configpb.Config) (*configpb.Config, error) {
	settings := recorded
	if c.configFile != "" {
		other, err := config.Load(c.configFile)
		if err != nil {
			return nil, err
		}
		if !slices.Equal(other.Zones, recorded.Zones) || len(other.Classes) != len(recorded.Classes) {
			return nil, fmt.Errorf("%s: the zones or the number of classes differ from those of the recording", c.configFile)
		}
		other.List = recorded.List
		settings = other
	}
	settings = proto.CloneOf(settings)
	for _, override := range c.overrides {
		if err := applyOverride(settings, override); err != nil {
			return nil, fmt.Errorf("--set %s: %w", override, err)
		}
	}
	text, err := prototext.MarshalOptions{Multiline: true}.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("encoding the changed configuration: %w", err)
	}
	return config.Parse(changedConfig, text)
}

// applyOverride sets one field of a configuration, given as MESSAGE.FIELD=VALUE or FIELD=VALUE.
func applyOverride(settings *configpb.Config, override string) error {
	path, value, found := strings.Cut(override, "=")
	names := strings.Split(path, ".")
	if !found || len(names) > maxOverrideDepth || strings.ContainsAny(path, "[]{} ") {
		return errOverrideForm
	}
	text := names[len(names)-1] + ": " + value
	if len(names) == maxOverrideDepth {
		text = names[0] + " { " + text + " }"
	}
	part := &configpb.Config{}
	if err := prototext.Unmarshal([]byte(text), part); err != nil {
		return err
	}
	proto.Merge(settings, part)
	return nil
}

// replaySettings returns the parameters of a replay. settings is the configuration of the replay as a whole; change is
// applied to the recorded configuration of each controller.
func (c *settingsComparison) replaySettings(settings *configpb.Config, change configChange) replay.Settings {
	replaySettings := replay.Settings{
		Limits:               config.RuleLimits(settings, c.collapseMs),
		HealthCheckTimeoutMs: *settings.Probes.TimeoutMs,
		NewController: func(start *recordpb.Start) (*controller.Controller, error) {
			recorded, err := config.Parse(recordedConfig, []byte(start.Config))
			if err != nil {
				return nil, err
			}
			changed, err := change(recorded)
			if err != nil {
				return nil, err
			}
			return config.NewController(config.ForRecordingFormat(changed, start.Format), start.Life, start.Seed), nil
		},
	}
	for _, class := range settings.Classes {
		replaySettings.Classes = append(replaySettings.Classes, controller.RequestClass{
			Name: class.Name,
			RequestClass: routing.RequestClass{
				LatencyObjectiveMs: *class.DueMs,
				DeadlineMs:         *class.PatienceMs,
				PriorityWeight:     *class.Earnings,
			},
		})
	}
	return replaySettings
}
