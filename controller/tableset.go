package controller

import (
	"encoding/json"
	"slices"
	"strconv"
	"sync"

	"barleysail/state/statepb"
)

// tableSet is what a proxy's tables hold in a version. It never changes; proxies with the same tables share one,
// and with it the bytes of its document and of the deltas from it.
type tableSet struct {
	id            int64
	classes       []classTable
	once          sync.Once
	documentBytes []byte

	mu        sync.Mutex
	deltas    map[int64][]byte // by base; not by pointer, which would keep every view there ever was
	persisted *statepb.Table   // as it is kept for another life
	canonical []byte
}

type classTable struct {
	name     string
	entries  []weightEntry
	assigned bool
	policy   classPolicy
}

// tableSetOf makes the view of a proxy's present tables, or finds the one of the other proxies with the same table.
func (s *Controller) tableSetOf(m *session) *tableSet {
	numbers := distinctTables(m.tableByClass)
	whole := len(numbers) == 1 && !slices.Contains(m.tableByClass, -1) && s.endpoints.known
	if whole {
		if v := s.tables.table(m.tableByClass[0]).tableSet; v != nil {
			return v
		}
	}
	s.tables.lastTableSetID++
	v := &tableSet{id: s.tables.lastTableSetID, classes: make([]classTable, len(s.classes))}
	for k, n := range m.tableByClass {
		c := classTable{name: s.classes[k].Name, policy: s.tables.effectivePolicy(classPolicy{}, s.tables.globalPolicies[k])}
		if n >= 0 {
			b := s.tables.table(n)
			c.entries, c.policy = s.entriesOf(b), s.tables.effectivePolicy(b.policies[k], s.tables.globalPolicies[k])
			// A steward that knows no list yet must not empty the tables that a proxy brings.
			c.assigned = s.endpoints.known || len(c.entries) > 0
		}
		v.classes[k] = c
	}
	if whole {
		s.tables.table(m.tableByClass[0]).tableSet = v
	}
	return v
}

func (v *tableSet) document() []byte {
	v.once.Do(func() { v.documentBytes = v.encode(nil) })
	return v.documentBytes
}

// delta gives the merge patch from another view, and keeps it while the bases that ask for it are few.
func (v *tableSet) delta(from *tableSet) []byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	if body, ok := v.deltas[from.id]; ok {
		return body
	}
	tables := v.encode(from)
	body := append(append([]byte(`{"tables":`), tables...), "}\n"...)
	if string(tables) == "{}" {
		body = []byte("{}\n")
	}
	if v.deltas == nil || len(v.deltas) >= maxCachedDeltas {
		v.deltas = map[int64][]byte{}
	}
	v.deltas[from.id] = body
	return body
}

// maxCachedDeltas bounds the deltas kept with a view.
const maxCachedDeltas = 8

// encode writes the tables, or with a base what differs from it.
func (v *tableSet) encode(from *tableSet) []byte {
	out, first := []byte{'{'}, true
	for i, c := range v.classes {
		var old *classTable
		if from != nil && i < len(from.classes) {
			old = &from.classes[i]
		}
		body := c.encode(old)
		if from != nil && string(body) == "{}" {
			continue
		}
		out, first = appendKey(out, c.name, first), false
		out = append(out, body...)
	}
	return append(out, '}')
}

func (c *classTable) encode(old *classTable) []byte {
	out, first := []byte{'{'}, true
	if c.assigned && (old == nil || !old.assigned || !equalEntries(c.entries, old.entries)) {
		out, first = appendKey(out, "hosts", first), false
		var before []weightEntry
		if old != nil && old.assigned {
			before = old.entries
		}
		out = appendEntries(out, c.entries, before)
	}
	if old == nil || c.policy.admissionRatio != old.policy.admissionRatio {
		out, first = appendNumber(appendKey(out, "share", first), c.policy.admissionRatio), false
	}
	if old == nil || c.policy.retryPolicy != old.policy.retryPolicy {
		out = strconv.AppendInt(appendKey(out, "tries", first), int64(c.policy.retryPolicy), 10)
	}
	return append(out, '}')
}

// equalEntries tells whether two snapshots hold the same lines; those of one table that did not change are one.
func equalEntries(a, b []weightEntry) bool {
	if len(a) != len(b) || len(a) == 0 || &a[0] == &b[0] {
		return len(a) == len(b)
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// appendEntries writes the lines that differ from those before, a host that is gone as null.
func appendEntries(out []byte, now, before []weightEntry) []byte {
	out, first := append(out, '{'), true
	for len(now) > 0 || len(before) > 0 {
		switch {
		case len(before) == 0 || len(now) > 0 && now[0].host < before[0].host:
			out, first = appendNumber(appendKey(out, now[0].host, first), now[0].weight), false
			now = now[1:]
		case len(now) == 0 || before[0].host < now[0].host:
			out, first = append(appendKey(out, before[0].host, first), "null"...), false
			before = before[1:]
		default:
			if now[0].weight != before[0].weight {
				out, first = appendNumber(appendKey(out, now[0].host, first), now[0].weight), false
			}
			now, before = now[1:], before[1:]
		}
	}
	return append(out, '}')
}

// appendKey begins a member of an object.
func appendKey(out []byte, name string, first bool) []byte {
	if !first {
		out = append(out, ',')
	}
	quoted, _ := json.Marshal(name)
	return append(append(out, quoted...), ':')
}

func appendNumber(out []byte, x float64) []byte { return strconv.AppendFloat(out, x, 'g', -1, 64) }
