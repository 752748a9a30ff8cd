package replay

import (
	"encoding/json"
	"math"
	"slices"

	"barleysail/controller"
	"barleysail/internal/record/recordpb"
)

// A replayed proxy draws hosts and lets transactions in as the recorded one did, as far as its table allows: of a draw
// by the old table that fell on a host, the part that the new table gives the host too stays there, and the rest is
// drawn by what the new table has more (the maximal coupling of two distributions; Lindvall, "Lectures on the Coupling
// Method", 1992). So each day's draws are as by its own table, and what differs between two days is what the tables
// make of it, not chance.

// going is what a proxy went by in the record: weights by class and host, and the shares let in.
type going struct {
	known   bool // since a whole document
	classes map[string]*controller.Table
	waiting []*recordpb.Published // documents on their way
}

// goingMost documents may be on their way to a proxy; before that it has taken one.
const goingMost = 64

// published notes a document on its way.
func (g *going) published(p *recordpb.Published) {
	if controller.ResponseKind(p.Kind) == controller.NotModified {
		return
	}
	if g.waiting = append(g.waiting, p); len(g.waiting) > goingMost {
		g.waiting, g.known = g.waiting[1:], false
	}
}

// applied takes the documents in up to a version. One that is not known leaves the proxy's tables unknown until the
// next whole one.
func (g *going) applied(tag string) {
	for i, p := range g.waiting {
		if p.Tag != tag {
			continue
		}
		for _, p := range g.waiting[:i+1] {
			g.take(p)
		}
		g.waiting = append(g.waiting[:0], g.waiting[i+1:]...)
		return
	}
	g.known = false
}

func (g *going) take(p *recordpb.Published) {
	var d tables
	whole := controller.ResponseKind(p.Kind) == controller.Snapshot
	if err := json.Unmarshal(p.Body, &d); err != nil {
		g.known = false // format 1 has no documents
		return
	}
	g.known = g.known || whole
	for class, change := range d.Tables {
		t := g.classes[class]
		if t == nil {
			t = &controller.Table{AdmissionRatio: 1}
			g.classes[class] = t
		}
		if change.Share != nil {
			t.AdmissionRatio = *change.Share
		}
		if whole && change.Hosts != nil {
			t.Hosts, t.Weights = nil, nil
		}
		for host, w := range change.Hosts {
			setWeight(t, host, w)
		}
	}
}

// setWeight puts a line into a table, or with nil takes it out; the hosts stay in order.
func setWeight(t *controller.Table, host string, w *float64) {
	i, has := slices.BinarySearch(t.Hosts, host)
	switch {
	case w == nil && has:
		t.Hosts, t.Weights = slices.Delete(t.Hosts, i, i+1), slices.Delete(t.Weights, i, i+1)
	case w != nil && has:
		t.Weights[i] = *w
	case w != nil:
		t.Hosts, t.Weights = slices.Insert(t.Hosts, i, host), slices.Insert(t.Weights, i, *w)
	}
}

// weight of a host in a table, 0 where it has none.
func weight(t *controller.Table, host string) float64 {
	if i, has := slices.BinarySearch(t.Hosts, host); has {
		return t.Weights[i]
	}
	return 0
}

// total weight of a table's hosts that are not out.
func total(t *controller.Table, out func(host string) bool) (sum float64) {
	for i, host := range t.Hosts {
		if !out(host) {
			sum += t.Weights[i]
		}
	}
	return sum
}

// by gives what the proxy went by for a class, nil where that is not known.
func (g *going) by(class string) *controller.Table {
	if !g.known {
		return nil
	}
	return g.classes[class]
}

// letIn tells whether a transaction is let in, by what became of it in the record.
func (e *engine) letIn(share float64, old *controller.Table, was bool) bool {
	x, part := e.chance(), math.Min(share, 1)
	if old == nil {
		return x < part
	}
	before := math.Min(old.AdmissionRatio, 1)
	if was {
		return before <= 0 || x*before < part
	}
	return part > before && x*(1-before) < part-before
}

// draw draws a host by weight, none that is out, by the host that the recorded draw fell on; "": it is not known.
func (e *engine) draw(t, old *controller.Table, was string, out func(host string) bool) (string, bool) {
	if old == nil || was == "" || !(weight(old, was) > 0) || out(was) {
		return e.pick(t, out)
	}
	before, now := total(old, out), total(t, out)
	if now <= 0 {
		return "", false
	}
	if e.chance()*weight(old, was)/before < weight(t, was)/now {
		return was, true
	}
	host, ok := e.choose(t.Hosts, func(i int) float64 { // what the new table has over the old one of a host
		if out(t.Hosts[i]) {
			return 0
		}
		return math.Max(t.Weights[i]/now-weight(old, t.Hosts[i])/before, 0)
	})
	if !ok {
		return e.pick(t, out)
	}
	return host, true
}

// pick draws a host by weight, none that is out.
func (e *engine) pick(t *controller.Table, out func(host string) bool) (string, bool) {
	return e.choose(t.Hosts, func(i int) float64 {
		if out(t.Hosts[i]) {
			return 0
		}
		return t.Weights[i]
	})
}

// choose draws a host by weights above 0; false where none is.
func (e *engine) choose(hosts []string, weight func(i int) float64) (last string, ok bool) {
	sum := 0.0
	for i := range hosts {
		sum += weight(i)
	}
	at := e.chance() * sum
	for i, host := range hosts {
		w := weight(i)
		if w <= 0 {
			continue
		}
		if last, ok = host, true; at < w {
			break
		}
		at -= w
	}
	return last, ok
}
