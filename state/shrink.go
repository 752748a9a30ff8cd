package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"barleysail/state/statepb"
)

// Shrink drops entries in place until the encoded state has at most maxBytes, and returns the number of steps that were
// needed. The entries whose loss costs least are dropped first: one table of proxies at a time, the largest first (a
// proxy without its table gets a snapshot instead of a delta), then a quarter of the proxies at a time, then a quarter
// of the hosts at a time. Overrides and queued commands of operators always stay, so the state may remain too large.
func Shrink(s *statepb.State, maxBytes int) (steps int) {
	for proto.Size(s) > maxBytes {
		switch {
		case len(s.Tables) > 0:
			dropLargestTable(s)
		case len(s.Proxies) > 0:
			s.Proxies = dropQuarter(s.Proxies)
		case len(s.Hosts) > 0:
			s.Hosts = dropQuarter(s.Hosts)
		default:
			return steps
		}
		steps++
	}
	return steps
}

// dropLargestTable drops the largest table, and the table version of the proxies that have it.
func dropLargestTable(s *statepb.State) {
	largest := 0
	for i, table := range s.Tables {
		if proto.Size(table) > proto.Size(s.Tables[largest]) {
			largest = i
		}
	}
	id := s.Tables[largest].Id
	s.Tables = slices.Delete(s.Tables, largest, largest+1)
	for _, proxy := range s.Proxies {
		if proxy.Table == id {
			proxy.Table = ""
			proxy.Tag = ""
		}
	}
}

// dropQuarter drops the last quarter of a list, or its last entry if it has fewer than four.
func dropQuarter[T any](entries []*T) []*T { return entries[:len(entries)*3/4] }
