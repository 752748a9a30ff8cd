package replay

import (
	"encoding/json"
	"math"

	"barleysail/internal/record/recordpb"
	"barleysail/steward"
)

// A replayed proxy draws hosts and lets transactions in as the recorded one did, as far as its table allows: of a draw
// by the old table that fell on a host, the part that the new table gives the host too stays there, and the rest is
// drawn by what the new table has more (the maximal coupling of two distributions; Lindvall, "Lectures on the Coupling
// Method", 1992). So each day's draws are as by its own table, and what differs between two days is what the tables
// make of it, not chance.

// going is what a proxy went by in the record: weights by class and host, and the shares let in.
type going struct {
	known   bool // since a whole document
	classes map[string]*goingBy
	waiting []*recordpb.Published // documents on their way
}

type goingBy struct {
	weights map[string]float64
	share   float64
}

// goingMost documents may be on their way to a proxy; before that it has taken one.
const goingMost = 64

// published notes a document on its way.
func (g *going) published(p *recordpb.Published) {
	if steward.Kind(p.Kind) == steward.Same {
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
	var d struct {
		Tables map[string]struct {
			Hosts map[string]*float64 `json:"hosts"`
			Share *float64            `json:"share"`
		} `json:"tables"`
	}
	whole := steward.Kind(p.Kind) == steward.Whole
	if err := json.Unmarshal(p.Body, &d); err != nil {
		g.known = false // format 1 has no documents
		return
	}
	g.known = g.known || whole
	for class, t := range d.Tables {
		c := g.classes[class]
		if c == nil {
			c = &goingBy{weights: map[string]float64{}, share: 1}
			g.classes[class] = c
		}
		if t.Share != nil {
			c.share = *t.Share
		}
		if whole && t.Hosts != nil {
			clear(c.weights)
		}
		for host, w := range t.Hosts {
			if w == nil {
				delete(c.weights, host)
			} else {
				c.weights[host] = *w
			}
		}
	}
}

// by gives what the proxy went by for a class, nil where that is not known.
func (g *going) by(class string) *goingBy {
	if !g.known {
		return nil
	}
	return g.classes[class]
}

// letIn tells whether a transaction is let in, by what became of it in the record.
func (e *engine) letIn(share float64, old *goingBy, was bool) bool {
	x, part := e.chance(), math.Min(share, 1)
	if old == nil {
		return x < part
	}
	before := math.Min(old.share, 1)
	if was {
		return before <= 0 || x*before < part
	}
	return part > before && x*(1-before) < part-before
}

// draw draws a host by weight, none that is out, by the host that the recorded draw fell on; "": it is not known.
func (e *engine) draw(t steward.Table, old *goingBy, was string, out func(host string) bool) (string, bool) {
	if old == nil || was == "" || !(old.weights[was] > 0) || out(was) {
		return e.pick(t, out)
	}
	before, now, here := 0.0, 0.0, 0.0
	for host, w := range old.weights {
		if !out(host) {
			before += w
		}
	}
	for i, host := range t.Hosts {
		if !out(host) {
			now += t.Weights[i]
			if host == was {
				here = t.Weights[i]
			}
		}
	}
	if now <= 0 {
		return "", false
	}
	if e.chance()*old.weights[was]/before < here/now {
		return was, true
	}
	more := func(i int) float64 { // what the new table has over the old one of a host
		if out(t.Hosts[i]) {
			return 0
		}
		return math.Max(t.Weights[i]/now-old.weights[t.Hosts[i]]/before, 0)
	}
	total := 0.0
	for i := range t.Hosts {
		total += more(i)
	}
	if total <= 0 {
		return e.pick(t, out)
	}
	at, last := e.chance()*total, ""
	for i, host := range t.Hosts {
		m := more(i)
		if m <= 0 {
			continue
		}
		if last = host; at < m {
			break
		}
		at -= m
	}
	return last, true
}
