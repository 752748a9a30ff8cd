package state

import (
	"math"
	"slices"
	"strings"

	"barleysail/state/statepb"
)

// Apply applies a change from Diff to a state, in place, and drops the tables that no proxy refers to any more.
func Apply(s *statepb.State, change *statepb.Change) {
	part := change.GetPart()
	s.At = math.Max(s.At, change.At)
	s.Hosts = merge(s.Hosts, part.GetHosts(), change.GoneHosts, (*statepb.Host).GetName)
	s.Proxies = merge(s.Proxies, part.GetProxies(), change.GoneProxies, (*statepb.Proxy).GetName)
	s.Settings = merge(s.Settings, part.GetSettings(), change.GoneSettings, (*statepb.Setting).GetHost)
	s.Tables = merge(s.Tables, part.GetTables(), nil, (*statepb.Table).GetId)
	if change.Fleet {
		s.Fleet = part.GetFleet()
	}
	if change.Queue {
		s.Queue = part.GetQueue()
	}
	referenced := referencedTables(s.Proxies)
	s.Tables = slices.DeleteFunc(s.Tables, func(table *statepb.Table) bool { return !referenced[table.Id] })
}

// merge returns the entries of a list that is sorted by name, without the removed ones, and with each update in place
// of the entry of the same name.
func merge[T any](entries, updates []*T, removed []string, name func(*T) string) (merged []*T) {
	isRemoved := map[string]bool{}
	for _, removedName := range removed {
		isRemoved[removedName] = true
	}
	updates = slices.Clone(updates)
	slices.SortFunc(updates, func(a, b *T) int { return strings.Compare(name(a), name(b)) })
	forEachPair(entries, updates, name, func(entry, update *T) {
		switch {
		case update != nil:
			merged = append(merged, update)
		case !isRemoved[name(entry)]:
			merged = append(merged, entry)
		}
	})
	return merged
}
