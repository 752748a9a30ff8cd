package platform

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"barleysail/internal/golden"
	"barleysail/internal/instance"
)

// configText returns the text of a complete configuration in which replacement takes the place of old.
func configText(old, replacement string) []byte {
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
		"limits":{"cores":0.5,"memory_mb":64,"sockets":256},"known":%s,"settings":%s}`,
		endpointList(1, true, hostOne), testSettings)
	if !strings.Contains(text, old) {
		panic("the configuration does not contain " + old)
	}
	return []byte(strings.Replace(text, old, replacement, 1))
}

// TestConfigurations replaces one text at a time in a valid configuration. Valid variants must be accepted, and the
// error of an invalid one must be one line that names the field.
func TestConfigurations(t *testing.T) {
	var trace strings.Builder
	for _, change := range []struct{ old, replacement string }{
		{"", ""},
		{`"known"`, `"unknown"`},
		{`"weight":1.0`, `"weight":"1.0"`},
		{`"limits"`, `"unlimited"`},
		{`"sockets":256`, `"sockets":0`},
		{`["a","b"]`, `[]`},
		{`["a","b"]`, `["a"]`},
		{`"MayProbe":true,"DialTimeoutUs":100000`, ``},
		{`"StepUs":5000,`, ``},
		{`"Admission":"share"`, `"Admission":"none"`},
		{`"Admission":"share",`, ``},
		{`"BareUs":5000000`, `"BareUs":5000000,"New":[{}]`},
		{`"PerMessage":5`, `"PerMessage":0`},
		{`"Value":1`, `"Value":0`},
		{`"read"`, `"a+b, c"`},
		{`{"name"`, `{`},
		{`"127.0.0.1:1"`, `"nowhere"`},
		{`"1f"`, `"xyz"`},
		{`"cores":0.5`, `"cores":-1`},
		{`"memory_mb":64`, `"memory_mb":"x"`},
		{`["a","b"]`, `["a","a"]`},
		{`"StepUs":5000`, `"StepUs":-1`},
		{`"DataPlaneSize":4`, `"DataPlaneSize":70000`},
		{`"DataPlaneSize":4`, `"DataPlaneSize":0`},
		{`"DataPlaneSize":4`, `"DataPlaneSize":4,"LateUs":-5`},
		{`"DataPlaneSize":4`, `"DataPlaneSize":4,"Ejects":-1`},
		{`"DataPlaneSize":4`, `"DataPlaneSize":4,"RetryDefault":4`},
		{`"ColdFrom":0.2`, `"ColdFrom":1.2`},
		{`"sign"`, `"read"`},
		{`"Effect":"idempotent"`, `"Effect":"sometimes"`},
		{`"ChannelRate":1000`, `"ChannelRate":0`},
		{`"AimUs":500000`, `"AimUs":0`},
		{`"DialTimeoutUs":100000`, `"DialTimeoutUs":-100000`},
		{`"Instances":1`, `"Instances":0`},
	} {
		outcome := "valid"
		if err := startWith(configText(change.old, change.replacement)); err != nil {
			outcome = err.Error()
		}
		if strings.Contains(outcome, "\n") {
			t.Errorf("%s replaced by %s: error of several lines, want one: %s", change.old, change.replacement, outcome)
		}
		fmt.Fprintf(&trace, "%s replaced by %s: %s\n", change.old, change.replacement, outcome)
	}
	golden.CompareForTest(t, trace.String())
}

// startWith creates a balancer from a configuration.
func startWith(text []byte) error {
	config, err := parseConfig(text)
	if err != nil {
		return err
	}
	_, err = instance.New(config.Settings, config.Seed)
	return err
}

// The error of an invalid field is a *ConfigError with the name of the field.
func TestConfigErrorField(t *testing.T) {
	for _, test := range []struct{ field, old, replacement string }{
		{"listen", `"127.0.0.1:0"`, `"nowhere"`},
		{"discovery", `"127.0.0.1:1"`, `"nowhere"`},
		{"seed", `"1f"`, `"xyz"`},
		{"limits", `"sockets":256`, `"sockets":-1`},
	} {
		t.Run(test.field, func(t *testing.T) {
			_, err := parseConfig(configText(test.old, test.replacement))
			var configError *ConfigError
			if !errors.As(err, &configError) || configError.Field != test.field {
				t.Errorf("error %v, want a *ConfigError with field %s", err, test.field)
			}
		})
	}
}

// Without zones in the settings the whole deployment is one zone: endpoints and first messages need not name it.
func TestNoZones(t *testing.T) {
	text := configText(`["a","b"],"Index":0,"Instances":1,"Zone":"a"`, `[],"Index":0,"Instances":1`)
	config, err := parseConfig(bytes.Replace(text, []byte(`"zone":"a",`), nil, 1))
	if err != nil {
		t.Fatal(err)
	}
	_, address := startNode(t, config)
	dial(t, address, "SUBSCRIBE proxy 0 weight 1 fresh 1").expect(firstSnapshot)
}

// Reload changes the discovery address and the limits, including that of connections, and logs which changed fields
// need a restart.
func TestReload(t *testing.T) {
	first, firstCalls := startDiscovery(t, hostOne)
	second, secondCalls := startDiscovery(t, hostOne)
	var log lockedBuffer
	node, err := New(newTestConfig(t, first, 10), zerolog.New(&log))
	if err != nil {
		t.Fatal(err)
	}
	runNode(t, node)
	receive(t, firstCalls)
	config, err := parseConfig(configText(`"DataPlaneSize":4`, `"DataPlaneSize":9`))
	if err != nil {
		t.Fatal(err)
	}
	config.Discovery = second
	config.Limits.Sockets = 1024
	node.Reload(config)
	receive(t, secondCalls)
	node.connections.mu.Lock()
	limit := node.connections.limit
	node.connections.mu.Unlock()
	if want := 1024 - minHealthChecks - reservedDescriptors; limit != want {
		t.Errorf("limit of open connections is %d, want %d", limit, want)
	}
	line := ""
	for _, logged := range strings.Split(log.String(), "\n") {
		if strings.Contains(logged, "configuration reloaded") {
			line += logged
		}
	}
	for _, part := range []string{`"discovery":"` + second, `"sockets":1024`, `"restart_required_for":["settings"]`} {
		if !strings.Contains(line, part) {
			t.Errorf("log line of the reload is %q, want it to contain %s", line, part)
		}
	}
}
