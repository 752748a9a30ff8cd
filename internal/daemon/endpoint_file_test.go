package daemon

import (
	"strings"
	"testing"
)

// If the list is incomplete, empty or invalid, the last valid one stays in force, and the log has the reason.
func TestEndpointFileErrors(t *testing.T) {
	d := startDaemon(t, "")
	tests := []struct{ name, text, logged string }{
		{"half written", `hosts { address: "10.0.0.1:80" `, "unexpected EOF"},
		{"empty", "", "no host is listed"},
		{"without a port", `hosts { address: "10.0.0.1" zone: "a" }`, "no address:port"},
		{"unknown zone", `hosts { address: "10.0.0.1:80" zone: "c" }`, "hosts.textproto:1: hosts[0].zone: "},
		{"negative weight", "hosts { address: \"10.0.0.1:80\"\n zone: \"a\"\n weight: -1 }",
			"hosts.textproto:3: hosts[0].weight"},
		{"unknown field", "hosts { address: \"10.0.0.1:80\"\n zone: \"a\"\n colour: \"green\" }",
			"hosts.textproto:3:2: unknown field: colour"},
		{"without an address", "hosts { address: \"10.0.0.1:80\" zone: \"a\" }\nhosts { zone: \"a\"\n }",
			"hosts.textproto:2: hosts[1].address: is missing"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d.writeHosts(test.text)
			eventually(t, test.logged+" in the log", func() bool { return strings.Contains(d.log.String(), test.logged) })
			if status := d.loop.status(); status.Hosts != 2 {
				t.Errorf("got %d hosts after the list %q, want 2", status.Hosts, test.text)
			}
		})
	}
	d.writeHosts(`hosts { address: "box-7.addis.example:80" zone: "a" }`)
	eventually(t, "the valid list", func() bool { return d.loop.status().Hosts == 1 })
}
