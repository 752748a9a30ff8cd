package state

import (
	"math"
	"slices"
	"strings"

	"barleysail/state/statepb"
)

// Apply brings a state up to date by a change. Tables that no proxy holds any more go.
func Apply(s *statepb.State, c *statepb.Change) {
	p := c.GetPart()
	s.At = math.Max(s.At, c.At)
	s.Hosts = merge(s.Hosts, p.GetHosts(), c.GoneHosts, (*statepb.Host).GetName)
	s.Proxies = merge(s.Proxies, p.GetProxies(), c.GoneProxies, (*statepb.Proxy).GetName)
	s.Settings = merge(s.Settings, p.GetSettings(), c.GoneSettings, (*statepb.Setting).GetHost)
	s.Tables = merge(s.Tables, p.GetTables(), nil, (*statepb.Table).GetId)
	if c.Fleet {
		s.Fleet = p.GetFleet()
	}
	used := map[string]bool{}
	for _, x := range s.Proxies {
		used[x.Table] = true
	}
	s.Tables = slices.DeleteFunc(s.Tables, func(t *statepb.Table) bool { return !used[t.Id] })
}

func merge[T any](old, now []*T, gone []string, name func(*T) string) (all []*T) {
	out := map[string]bool{}
	for _, n := range gone {
		out[n] = true
	}
	now = slices.Clone(now)
	slices.SortFunc(now, func(a, b *T) int { return strings.Compare(name(a), name(b)) })
	each(old, now, name, func(a, b *T) {
		if b != nil {
			all = append(all, b)
		} else if !out[name(a)] {
			all = append(all, a)
		}
	})
	return all
}
