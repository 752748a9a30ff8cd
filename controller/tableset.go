package controller

import (
	"slices"
	"sync"

	"barleysail/state/statepb"
)

// tableSet is the content of a proxy's tables in one version, with its encoded documents. The content is immutable.
// Proxies with the same tables share a table set, and with it the encoded snapshot and deltas; any goroutine may encode
// it.
type tableSet struct {
	id      int64
	classes []classTable

	documentOnce  sync.Once
	documentBytes []byte

	mu        sync.Mutex       // guards the fields below
	deltas    map[int64][]byte // by id of the base, since pointers would keep all bases in memory
	persisted *statepb.Table   // stored form, for a snapshot of the state
	canonical []byte           // in the canonical form of RFC 8785
}

// classTable is the table of a request class.
type classTable struct {
	name     string
	entries  []weightEntry // by host name
	assigned bool          // the class has a table, which may be empty
	policy   classPolicy
}

// tableSetOf returns the content of the current tables of a proxy, shared with other proxies that use the same table.
func (c *Controller) tableSetOf(session *proxySession) *tableSet {
	shareable := usesOneTable(session.tableByClass) && c.endpoints.known
	if shareable {
		if shared := c.tables.table(session.tableByClass[0]).tableSet; shared != nil {
			return shared
		}
	}
	c.tables.lastTableSetID++
	created := &tableSet{id: c.tables.lastTableSetID, classes: make([]classTable, len(c.classes))}
	for class, number := range session.tableByClass {
		created.classes[class] = c.classTableOf(class, number)
	}
	if shareable {
		c.tables.table(session.tableByClass[0]).tableSet = created
	}
	return created
}

// classTableOf returns the content of a class that uses a table, or that has none if number is noTable.
func (c *Controller) classTableOf(class, number int) classTable {
	global := c.tables.globalPolicies[class]
	if number == noTable {
		return classTable{name: c.classes[class].Name, policy: c.tables.effectivePolicy(classPolicy{}, global)}
	}
	table := c.tables.table(number)
	entries := c.entriesOf(table)
	return classTable{
		name:    c.classes[class].Name,
		entries: entries,
		// A controller without an endpoint list must not empty the tables that a proxy already has.
		assigned: c.endpoints.known || len(entries) > 0,
		policy:   c.tables.effectivePolicy(table.policies[class], global),
	}
}

// maxCachedDeltas bounds the deltas that are cached with a table set.
const maxCachedDeltas = 8

// document returns the JSON object of all tables, which is encoded once.
func (s *tableSet) document() []byte {
	s.documentOnce.Do(func() { s.documentBytes = s.encode(nil) })
	return s.documentBytes
}

// delta returns the document of the merge patch (RFC 7396) from a base, and caches it.
func (s *tableSet) delta(base *tableSet) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cached, ok := s.deltas[base.id]; ok {
		return cached
	}
	tables := s.encode(base)
	body := append(append([]byte(`{"tables":`), tables...), "}\n"...)
	if string(tables) == emptyObject {
		body = []byte(emptyObject + "\n")
	}
	if s.deltas == nil || len(s.deltas) >= maxCachedDeltas {
		s.deltas = map[int64][]byte{}
	}
	s.deltas[base.id] = body
	return body
}

// encode returns the JSON object of all tables, or the merge patch (RFC 7396) from a base that is not nil.
func (s *tableSet) encode(base *tableSet) []byte {
	object := newObjectEncoder(nil)
	for i := range s.classes {
		class := &s.classes[i]
		var classBase *classTable
		if base != nil && i < len(base.classes) {
			classBase = &base.classes[i]
		}
		body := class.encode(classBase)
		if base != nil && string(body) == emptyObject {
			continue
		}
		object.key(class.name)
		object.out = append(object.out, body...)
	}
	return object.end()
}

// encode returns the JSON object of the class's table, or the merge patch from a base that is not nil.
func (t *classTable) encode(base *classTable) []byte {
	object := newObjectEncoder(nil)
	hasBase := base != nil && base.assigned
	if t.assigned && (!hasBase || !equalEntries(t.entries, base.entries)) {
		var before []weightEntry
		if hasBase {
			before = base.entries
		}
		object.key("hosts")
		object.out = appendEntries(object.out, t.entries, before)
	}
	if base == nil || t.policy.admissionRatio != base.policy.admissionRatio {
		object.number("share", t.policy.admissionRatio)
	}
	if base == nil || t.policy.retryPolicy != base.policy.retryPolicy {
		object.integer("tries", t.policy.retryPolicy)
	}
	return object.end()
}

// equalEntries reports whether two lists have the same entries. It first compares the slices, since a table that has
// not changed has the same one.
func equalEntries(a, b []weightEntry) bool {
	if len(a) != len(b) {
		return false
	}
	if len(a) == 0 || &a[0] == &b[0] {
		return true
	}
	return slices.Equal(a, b)
}

// appendEntries appends the JSON object of the entries that differ from those before, with null for a removed host.
// Both lists are in the order of their host names.
func appendEntries(out []byte, entries, before []weightEntry) []byte {
	object := newObjectEncoder(out)
	for len(entries) > 0 || len(before) > 0 {
		switch {
		case len(before) == 0 || len(entries) > 0 && entries[0].host < before[0].host:
			object.number(entries[0].host, entries[0].weight)
			entries = entries[1:]
		case len(entries) == 0 || before[0].host < entries[0].host:
			object.null(before[0].host)
			before = before[1:]
		default:
			if entries[0].weight != before[0].weight {
				object.number(entries[0].host, entries[0].weight)
			}
			entries = entries[1:]
			before = before[1:]
		}
	}
	return object.end()
}
