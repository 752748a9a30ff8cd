package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"barleysail/state/statepb"
)

// Shrink drops what is least missed until a state takes no more than so many bytes: tables that proxies hold, the longest
// first, then proxies, then what is known of hosts. Settings of operators stay.
func Shrink(s *statepb.State, most int) (dropped int) {
	for proto.Size(s) > most {
		switch {
		case len(s.Tables) > 0:
			worst := 0
			for i, t := range s.Tables {
				if proto.Size(t) > proto.Size(s.Tables[worst]) {
					worst = i
				}
			}
			id := s.Tables[worst].Id
			s.Tables = slices.Delete(s.Tables, worst, worst+1)
			for _, p := range s.Proxies {
				if p.Table == id {
					p.Table, p.Tag = "", ""
				}
			}
		case len(s.Proxies) > 0:
			s.Proxies = s.Proxies[:len(s.Proxies)*3/4]
		case len(s.Hosts) > 0:
			s.Hosts = s.Hosts[:len(s.Hosts)*3/4]
		default:
			return dropped
		}
		dropped++
	}
	return dropped
}
