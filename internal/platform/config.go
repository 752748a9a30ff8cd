package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"time"

	"barleysail/internal/simwire"
)

// Defaults of settings that are 0 or absent.
const (
	defaultRoundDelay  = 5 * time.Millisecond
	defaultDialTimeout = 400 * time.Millisecond
)

const nanosecondsPerMicrosecond = 1e3

// Config is the configuration of a node.
type Config struct {
	Name      string
	Listen    string // address:port to listen on
	Discovery string // address:port of the discovery service, which serves the endpoint list
	Seed      uint64 // of the balancer's random draws
	Limits    Limits
	Settings  *simwire.Settings

	RoundDelay         time.Duration // from the first event of a batch to the round that decides on the batch
	HealthCheckTimeout time.Duration // of a health check, from its first connection attempt to the end of its response

	knownEndpoints watchEvent // last known endpoint list, which the node starts with; its age is unknown
	settingsText   []byte     // JSON text of the settings, without white space
}

// ConfigError is the error of an invalid field of a configuration.
type ConfigError struct {
	Field string
	Err   error // its text names the field
}

func (e *ConfigError) Error() string { return e.Err.Error() }

func (e *ConfigError) Unwrap() error { return e.Err }

// LoadConfig reads and validates a configuration file. The error for an invalid field is one line that names the field,
// and wraps a *ConfigError or the error of simwire.ReadSettings. The error for a file that cannot be read, or is not
// JSON, wraps that of package os or encoding/json.
func LoadConfig(file string) (*Config, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the configuration: %w", err)
	}
	config, err := parseConfig(text)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", file, err)
	}
	return config, nil
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
	if err := checkAddress("listen", raw.Listen); err != nil {
		return nil, err
	}
	if err := checkAddress("discovery", raw.Discovery); err != nil {
		return nil, err
	}
	seed, err := strconv.ParseUint(raw.Seed, 16, 64)
	if err != nil {
		return nil, &ConfigError{"seed", fmt.Errorf("seed: %w", err)}
	}
	if !raw.Limits.valid() {
		return nil, &ConfigError{"limits", errors.New("limits: a value is below 0")}
	}
	settings, err := simwire.ReadSettings(raw.Settings)
	if err != nil {
		return nil, err
	}
	var settingsText bytes.Buffer
	if err := json.Compact(&settingsText, raw.Settings); err != nil {
		return nil, &ConfigError{"settings", fmt.Errorf("settings: %w", err)}
	}
	return &Config{
		Name:               raw.Name,
		Listen:             raw.Listen,
		Discovery:          raw.Discovery,
		Seed:               seed,
		Limits:             raw.Limits,
		Settings:           settings,
		RoundDelay:         durationFromMicroseconds(settings.StepUs, defaultRoundDelay),
		HealthCheckTimeout: healthCheckTimeout(settings),
		knownEndpoints:     decodeKnownEndpoints(raw.Known),
		settingsText:       settingsText.Bytes(),
	}, nil
}

func checkAddress(field, address string) error {
	_, _, err := net.SplitHostPort(address)
	if err != nil {
		return &ConfigError{field, fmt.Errorf("%s is not a valid address: %w", field, err)}
	}
	return nil
}

// durationFromMicroseconds converts a setting in microseconds to a duration; 0 stands for the default.
func durationFromMicroseconds(us float64, defaultDuration time.Duration) time.Duration {
	if us > 0 {
		return time.Duration(us * nanosecondsPerMicrosecond)
	}
	return defaultDuration
}

// healthCheckTimeout returns half of the shortest latency objective: a host serves a health check like a request, and a
// host that has not responded by then would probably miss the objective for requests too. The timeout is never shorter
// than the dial timeout, so that there is time to establish the connection.
func healthCheckTimeout(settings *simwire.Settings) time.Duration {
	objectiveUs := math.Inf(1)
	for _, service := range settings.Services {
		objectiveUs = math.Min(objectiveUs, *service.AimUs)
	}
	dialTimeout := durationFromMicroseconds(settings.Limits.DialTimeoutUs, defaultDialTimeout)
	return max(time.Duration(objectiveUs/2*nanosecondsPerMicrosecond), dialTimeout)
}

// restartFields returns the names of the fields that differ in the other configuration and that a reload cannot change:
// they take effect only after a restart.
func (c *Config) restartFields(other *Config) []string {
	var names []string
	if c.Name != other.Name {
		names = append(names, "name")
	}
	if c.Listen != other.Listen {
		names = append(names, "listen")
	}
	if !bytes.Equal(c.settingsText, other.settingsText) {
		names = append(names, "settings")
	}
	return names
}
