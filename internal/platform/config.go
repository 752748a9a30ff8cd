// Package platform puts the steward into service on the users' platform: proxies and collectors come on streams of RESP2
// messages, the host list is watched and hosts are probed over HTTP/1.1. It only carries; every decision is package
// decide's, which it drives one round a step.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"time"

	"barleysail/internal/simwire"
)

// Limits are what the machine leaves the steward.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// Config is what a steward is told as it starts.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Limits                  Limits
	KnownEndpoints          watchEvent
	Settings                *simwire.Settings
	settingsText            []byte        // as they were written
	RoundDelay              time.Duration // the least time between rounds
	HealthCheckTimeout      time.Duration // for a probe
}

// defaultRoundDelay and defaultDial hold where the settings say nothing.
const (
	defaultRoundDelay  = 5 * time.Millisecond
	defaultDialTimeout = 400 * time.Millisecond
)

// LoadConfig reads and checks the configuration.
func LoadConfig(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	c, err := parseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", file, err)
	}
	return c, nil
}

func parseConfig(text []byte) (*Config, error) {
	var raw struct {
		Name, Listen, Discovery, Seed string
		Limits                        Limits
		Known, Settings               json.RawMessage
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return nil, err
	}
	c := &Config{Name: raw.Name, Listen: raw.Listen, Discovery: raw.Discovery, Limits: raw.Limits, KnownEndpoints: decodeKnownEndpoints(raw.Known)}
	for what, address := range map[string]string{"listen": c.Listen, "discovery": c.Discovery} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%s is no address: %w", what, err)
		}
	}
	var err error
	if c.Seed, err = strconv.ParseUint(raw.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if l := c.Limits; l.Cores < 0 || l.MemoryMB < 0 || l.Sockets < 0 {
		return nil, fmt.Errorf("limits: a figure is below 0")
	}
	if c.Settings, err = simwire.ReadSettings(raw.Settings); err != nil {
		return nil, err
	}
	var settings bytes.Buffer
	json.Compact(&settings, raw.Settings)
	c.settingsText = settings.Bytes()
	dial := defaultDialTimeout
	if us := c.Settings.Limits.DialTimeoutUs; us > 0 {
		dial = time.Duration(us * 1e3)
	}
	if c.RoundDelay = defaultRoundDelay; c.Settings.StepUs > 0 {
		c.RoundDelay = time.Duration(c.Settings.StepUs * 1e3)
	}
	// A probe is served like a transaction: one that has not been answered in half of the shortest due time shows a
	// host that would hardly keep it. A connection must have had the time to stand.
	due := math.Inf(1)
	for _, s := range c.Settings.Services {
		due = math.Min(due, *s.AimUs)
	}
	c.HealthCheckTimeout = max(time.Duration(due/2*1e3), dial)
	return c, nil
}

// decodeKnownEndpoints decodes the list that a steward starts from. What can't be read of it stands as an empty entry, to be dropped and
// told with those that make no sense: nothing in an old list may keep a steward from its start.
func decodeKnownEndpoints(text json.RawMessage) (l watchEvent) {
	var raw struct{ Instances []json.RawMessage }
	if len(text) > 0 && json.Unmarshal(text, &raw) != nil {
		return watchEvent{Instances: []entry{{}}}
	}
	for _, text := range raw.Instances {
		var e entry
		if json.Unmarshal(text, &e) != nil {
			e = entry{}
		}
		l.Instances = append(l.Instances, e)
	}
	return l
}

// restartFields names what another configuration has otherwise that takes a restart.
func (c *Config) restartFields(other *Config) []string {
	var names []string
	for _, f := range []struct {
		name string
		same bool
	}{{"name", c.Name == other.Name}, {"listen", c.Listen == other.Listen}, {"settings", bytes.Equal(c.settingsText, other.settingsText)}} {
		if !f.same {
			names = append(names, f.name)
		}
	}
	return names
}
