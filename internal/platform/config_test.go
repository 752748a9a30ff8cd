package platform

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"barleysail/internal/golden"
	"barleysail/internal/instance"
)

// configText is a whole configuration with a change made to its text.
func configText(old, now string) []byte {
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","limits":{"cores":0.5,"memory_mb":64,"sockets":256},
		"known":{"generation":1,"reset":true,"instances":[%s]},"settings":%s}`, oneHost, settings)
	if !strings.Contains(text, old) {
		panic(old + " is not in the configuration")
	}
	return []byte(strings.Replace(text, old, now, 1))
}

// Settings of another kind start; what makes no sense is one line that names its field.
func TestConfigurations(t *testing.T) {
	var now strings.Builder
	for _, change := range [][2]string{
		{"", ""}, {`"known"`, `"unknown"`}, {`"weight":1.0`, `"weight":"1.0"`}, {`"limits"`, `"unlimited"`}, {`"sockets":256`, `"sockets":0`}, {`["a","b"]`, `[]`}, {`["a","b"]`, `["a"]`},
		{`"MayProbe":true,"DialTimeoutUs":100000`, ``}, {`"StepUs":5000,`, ``}, {`"Admission":"share"`, `"Admission":"none"`}, {`"Admission":"share",`, ``},
		{`"BareUs":5000000`, `"BareUs":5000000,"New":[{}]`}, {`"PerMessage":5`, `"PerMessage":0`}, {`"Value":1`, `"Value":0`},
		{`"read"`, `"a+b, c"`}, {`{"name"`, `{`}, {`"127.0.0.1:1"`, `"nowhere"`}, {`"1f"`, `"xyz"`}, {`"cores":0.5`, `"cores":-1`}, {`"memory_mb":64`, `"memory_mb":"x"`},
		{`["a","b"]`, `["a","a"]`}, {`"StepUs":5000`, `"StepUs":-1`}, {`"DataPlaneSize":4`, `"DataPlaneSize":70000`}, {`"DataPlaneSize":4`, `"DataPlaneSize":0`},
		{`"DataPlaneSize":4`, `"DataPlaneSize":4,"LateUs":-5`}, {`"DataPlaneSize":4`, `"DataPlaneSize":4,"Ejects":-1`}, {`"DataPlaneSize":4`, `"DataPlaneSize":4,"RetryDefault":4`},
		{`"ColdFrom":0.2`, `"ColdFrom":1.2`}, {`"sign"`, `"read"`}, {`"Effect":"idempotent"`, `"Effect":"sometimes"`}, {`"ChannelRate":1000`, `"ChannelRate":0`},
		{`"AimUs":500000`, `"AimUs":0`}, {`"DialTimeoutUs":100000`, `"DialTimeoutUs":-100000`}, {`"Instances":1`, `"Instances":0`},
	} {
		out := "starts"
		if c, err := parseConfig(configText(change[0], change[1])); err != nil {
			out = err.Error()
		} else if _, err := instance.New(c.Settings, c.Seed); err != nil {
			out = err.Error()
		}
		if strings.Contains(out, "\n") {
			t.Errorf("%s for %s: more than a line: %s", change[1], change[0], out)
		}
		fmt.Fprintf(&now, "%s for %s: %s\n", change[1], change[0], out)
	}
	golden.Trace(t, now.String())
}

// No zones at all: the whole deployment is one, and entries and joinings name none.
func TestNoZones(t *testing.T) {
	c, err := parseConfig(bytes.Replace(configText(`["a","b"],"Index":0,"Instances":1,"Zone":"a"`, `[],"Index":0,"Instances":1`), []byte(`"zone":"a",`), nil, 1))
	if err != nil {
		t.Fatal(err)
	}
	c.Listen = config(t, "127.0.0.1:1", 0).Listen
	run(t, c)
	dial(t, c.Listen, "SUBSCRIBE proxy 0 weight 1 fresh 1").want(firstTold)
}

// A new configuration brings the list's address and the limits, also that of descriptors; what takes a restart is named.
func TestReload(t *testing.T) {
	first, asked := listing(t, oneHost)
	second, then := listing(t, oneHost)
	c := config(t, first, 10)
	var log lockedBuffer
	n, err := New(c, zerolog.New(&log))
	if err != nil {
		t.Fatal(err)
	}
	start(t, n)
	<-asked
	next, err := parseConfig(configText(`"DataPlaneSize":4`, `"DataPlaneSize":9`))
	if err != nil {
		t.Fatal(err)
	}
	next.Listen, next.Discovery, next.Limits.Sockets = c.Listen, second, 1024
	n.Reload(next)
	<-then
	n.connections.mu.Lock()
	limit := n.connections.limit
	n.connections.mu.Unlock()
	if want := 1024 - minHealthChecks - reservedDescriptors; limit != want {
		t.Errorf("%d connections may be open, not %d", limit, want)
	}
	line := ""
	for _, l := range strings.Split(log.String(), "\n") {
		if strings.Contains(l, "the configuration is read again") {
			line += l
		}
	}
	for _, part := range []string{`"discovery":"` + second, `"sockets":1024`, `"takes_a_restart":["settings"]`} {
		if !strings.Contains(line, part) {
			t.Errorf("no %s in %q", part, line)
		}
	}
}
