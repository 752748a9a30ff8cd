package state

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"barleysail/state/statepb"
)

func largeState() *statepb.State {
	s := sampleState()
	for i := range 100 {
		s.Hosts = append(s.Hosts, &statepb.Host{Name: fmt.Sprintf("host-%03d", i), Weight: 1, At: sampleAtMs})
		s.Proxies = append(s.Proxies, &statepb.Proxy{Name: fmt.Sprintf("proxy-%03d", i), Tag: "L-8", Table: "u"})
	}
	s.Tables = append(s.Tables, &statepb.Table{Id: "u"})
	return s
}

// Tables are dropped first, then proxies, then hosts. Overrides stay, even if the state remains too large.
func TestShrinkOrder(t *testing.T) {
	full := largeState()
	overridesOnly := &statepb.State{Life: full.Life, At: full.At, Fleet: full.Fleet, Settings: full.Settings}
	tests := []struct {
		name                   string
		maxBytes               int
		tables, proxies, hosts int // largest numbers that may remain
	}{
		{"fits", proto.Size(full), 2, 101, 103},
		{"without the largest table", proto.Size(full) - 1, 1, 101, 103},
		{"without proxies", 5000, 0, 101, 103},
		{"without most hosts", 1000, 0, 0, 50},
		{"overrides only", proto.Size(overridesOnly), 0, 0, 0},
		{"too small for the overrides", 1, 0, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := largeState()
			steps := Shrink(s, test.maxBytes)
			if (steps == 0) != (test.maxBytes >= proto.Size(full)) {
				t.Errorf("%d steps for at most %d bytes of %d, want steps only if the state does not fit",
					steps, test.maxBytes, proto.Size(full))
			}
			if len(s.Tables) > test.tables || len(s.Proxies) > test.proxies || len(s.Hosts) > test.hosts {
				t.Errorf("%d tables, %d proxies and %d hosts remain, want at most %d, %d and %d",
					len(s.Tables), len(s.Proxies), len(s.Hosts), test.tables, test.proxies, test.hosts)
			}
			if len(s.Settings) != len(full.Settings) {
				t.Errorf("%d overrides remain, want all %d", len(s.Settings), len(full.Settings))
			}
			if len(s.Hosts) > 0 && proto.Size(s) > test.maxBytes {
				t.Errorf("%d bytes remain, want at most %d", proto.Size(s), test.maxBytes)
			}
		})
	}
}

// A proxy whose table is dropped keeps no tag, since its next delta could not be computed.
func TestShrinkDropsTags(t *testing.T) {
	s := largeState()
	Shrink(s, proto.Size(s)-1)
	if s.Proxies[0].Tag != "" || s.Proxies[0].Table != "" {
		t.Errorf("a proxy without its table has the tag %q and the table %q, want neither",
			s.Proxies[0].Tag, s.Proxies[0].Table)
	}
	if s.Proxies[1].Tag != "L-8" || s.Proxies[1].Table != "u" {
		t.Errorf("a proxy with another table is %v, want the tag L-8 and the table u", s.Proxies[1])
	}
}
