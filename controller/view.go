package controller

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"

	"github.com/gowebpki/jcs"

	"barleysail/state/statepb"
)

// TableSet is what a proxy's tables hold in a version. It never changes; proxies with the same tables share one,
// and with it the bytes of its document and of the deltas from it.
type TableSet struct {
	id      int64
	classes []classView
	once    sync.Once
	whole   []byte

	mu        sync.Mutex
	deltas    map[int64][]byte // by base; not by pointer, which would keep every view there ever was
	kept      *statepb.Table   // as it is kept for another life
	canonical []byte
}

type classView struct {
	name  string
	lines []line
	bound bool
	level level
}

// view makes the view of a proxy's present tables, or finds the one of the other proxies with the same table.
func (s *Controller) view(m *member) *TableSet {
	numbers := distinct(m.tables)
	whole := len(numbers) == 1 && !slices.Contains(m.tables, -1) && s.list.known
	if whole {
		if v := s.tables.table(m.tables[0]).view; v != nil {
			return v
		}
	}
	s.tables.views++
	v := &TableSet{id: s.tables.views, classes: make([]classView, len(s.classes))}
	for k, n := range m.tables {
		c := classView{name: s.classes[k].Name, level: s.tables.both(level{}, s.tables.levels[k])}
		if n >= 0 {
			b := s.tables.table(n)
			c.lines, c.level = s.lines(b), s.tables.both(b.levels[k], s.tables.levels[k])
			// A steward that knows no list yet must not empty the tables that a proxy brings.
			c.bound = s.list.known || len(c.lines) > 0
		}
		v.classes[k] = c
	}
	if whole {
		s.tables.table(m.tables[0]).view = v
	}
	return v
}

// ResponseKind of an answer.
type ResponseKind int

// The tables as they stand, a merge patch onto the version named as base, or nothing new.
const (
	Snapshot ResponseKind = iota
	Delta
	NotModified
)

// Response to a poll. Body may be called from any goroutine.
type Response struct {
	Kind         ResponseKind
	Proxy        string
	Tag, BaseTag string // without quotes
	view         *TableSet
	from         *TableSet
}

// Body gives the JSON document: {"proxy":…,"tables":…}, or the RFC 7396 merge patch of it. A class that was
// not ordered yet has no "hosts", and the proxy keeps what it has for it.
func (a Response) Body() []byte {
	switch a.Kind {
	case NotModified:
		return nil
	case Delta:
		return a.view.delta(a.from)
	}
	name, _ := json.Marshal(a.Proxy)
	tables := a.view.document()
	body := make([]byte, 0, len(tables)+len(name)+24)
	body = append(append(append(body, `{"proxy":`...), name...), `,"tables":`...)
	return append(append(body, tables...), "}\n"...)
}

// Canonical gives the tables that the proxy holds once it has taken the answer in, in the canonical form of RFC 8785, for
// signatures. It may be called from any goroutine, and is made once for all proxies with the same tables.
func (a Response) Canonical() ([]byte, error) {
	v := a.view
	whole := v.document()
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.canonical == nil {
		text, err := jcs.Transform(whole)
		if err != nil {
			return nil, fmt.Errorf("writing tables in their canonical form: %w", err)
		}
		v.canonical = text
	}
	return v.canonical, nil
}

func (v *TableSet) document() []byte {
	v.once.Do(func() { v.whole = v.encode(nil) })
	return v.whole
}

// delta gives the merge patch from another view, and keeps it while the bases that ask for it are few.
func (v *TableSet) delta(from *TableSet) []byte {
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
	if v.deltas == nil || len(v.deltas) >= mostDeltas {
		v.deltas = map[int64][]byte{}
	}
	v.deltas[from.id] = body
	return body
}

// mostDeltas bounds the deltas kept with a view.
const mostDeltas = 8

// encode writes the tables, or with a base what differs from it.
func (v *TableSet) encode(from *TableSet) []byte {
	out, first := []byte{'{'}, true
	for i, c := range v.classes {
		var old *classView
		if from != nil && i < len(from.classes) {
			old = &from.classes[i]
		}
		body := c.encode(old)
		if from != nil && string(body) == "{}" {
			continue
		}
		out, first = key(out, c.name, first), false
		out = append(out, body...)
	}
	return append(out, '}')
}

// key begins a member of an object.
func key(out []byte, name string, first bool) []byte {
	if !first {
		out = append(out, ',')
	}
	quoted, _ := json.Marshal(name)
	return append(append(out, quoted...), ':')
}

func number(out []byte, x float64) []byte { return strconv.AppendFloat(out, x, 'g', -1, 64) }

func (c *classView) encode(old *classView) []byte {
	out, first := []byte{'{'}, true
	if c.bound && (old == nil || !old.bound || !same(c.lines, old.lines)) {
		out, first = key(out, "hosts", first), false
		var before []line
		if old != nil && old.bound {
			before = old.lines
		}
		out = encodeLines(out, c.lines, before)
	}
	if old == nil || c.level.share != old.level.share {
		out, first = number(key(out, "share", first), c.level.share), false
	}
	if old == nil || c.level.tries != old.level.tries {
		out = strconv.AppendInt(key(out, "tries", first), int64(c.level.tries), 10)
	}
	return append(out, '}')
}

// same tells whether two snapshots hold the same lines; those of one table that did not change are one.
func same(a, b []line) bool {
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

// encodeLines writes the lines that differ from those before, a host that is gone as null.
func encodeLines(out []byte, now, before []line) []byte {
	out, first := append(out, '{'), true
	for len(now) > 0 || len(before) > 0 {
		switch {
		case len(before) == 0 || len(now) > 0 && now[0].host < before[0].host:
			out, first = number(key(out, now[0].host, first), now[0].weight), false
			now = now[1:]
		case len(now) == 0 || before[0].host < now[0].host:
			out, first = append(key(out, before[0].host, first), "null"...), false
			before = before[1:]
		default:
			if now[0].weight != before[0].weight {
				out, first = number(key(out, now[0].host, first), now[0].weight), false
			}
			now, before = now[1:], before[1:]
		}
	}
	return append(out, '}')
}

// Table is what an answer holds for a class, as a value: hosts in order, and whether any were ordered at all.
type Table struct {
	Class          string
	Ordered        bool
	Hosts          []string
	Weights        []float64
	AdmissionRatio float64
	RetryPolicy    int
}

// Tables gives what the proxy holds once it has taken the answer in, for callers that need no document.
func (a Response) Tables() []Table {
	var all []Table
	for _, c := range a.view.classes {
		t := Table{Class: c.name, Ordered: c.bound, AdmissionRatio: c.level.share, RetryPolicy: c.level.tries}
		if c.bound {
			for _, l := range c.lines {
				t.Hosts, t.Weights = append(t.Hosts, l.host), append(t.Weights, l.weight)
			}
		}
		all = append(all, t)
	}
	return all
}
