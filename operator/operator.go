// Package operator decides what becomes of what operators set on hosts: it is kept apart from the list, laid over it,
// refused where it would break a rule, carried out stepwise where that is asked for, and ends at its time. It does no
// I/O and reads no clock; times are ms. What it lays over the list is an input to the decisions: a drain is a listed
// drain, a weight a listed weight, maintenance a removal.
package operator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
)

// State that an operator sets.
type State int

// As listed; drained; taken off the list.
const (
	Listed State = iota
	Drain
	Maint
)

// Names of the states, as they are told.
var names = [...]string{"listed", "drain", "maint"}

func (s State) String() string { return names[s] }

// ParseState reads the name of a state; ready is another name for listed.
func ParseState(name string) (State, bool) {
	if name == "ready" {
		return Listed, true
	}
	i := slices.Index(names[:], name)
	return State(max(i, 0)), i >= 0
}

// Order is what an operator wants of a host.
type Order struct {
	Host   string
	State  State
	Weight float64 // listed weight in place of the list's; below 0: as it stands
	Clear  bool    // the weight is the list's again
	Keep   bool    // the state stays as it is set
	Part   bool    // Weight is a part of the list's weight
	For    float64 // ms after which it ends; 0: never
	Wait   bool    // not refused where it cannot be done yet: it waits for its turn
	By     string  // who wants it
	Add    *Added  // a host to be added to the list
	Remove bool    // an added host is taken off again
}

// Added is a host that an operator added.
type Added struct {
	Zone    string
	Weight  float64
	Cores   float64
	Speed   float64
	Started float64
}

// Set is what is set on a host.
type Set struct {
	State  State
	Weight float64 // in place of the list's; 0: the list's stands
	Part   float64 // of the list's; 0: none
	Added  *Added
	By     string
	At     float64
	Until  float64 // 0: no end
}

// plain tells whether nothing is set any more.
func (s Set) plain() bool { return s.State == Listed && s.Weight == 0 && s.Part == 0 && s.Added == nil }

// Host as it is listed now, with what was set before taken in.
type Host struct {
	Name   string
	Zone   string
	Ready  bool
	Warmth float64 // the part of its capacity that it has, 0 to 1
	Warm   float64 // the time when it has all of it
	Weight float64 // by the list alone
}

// View is what a decision goes by.
type View struct {
	Now   float64
	Hosts []Host   // all of the list and those added
	Local []string // classes that stay in their zone
	Zones []string // with proxies
	Quiet bool     // no order of the steward waits for its proxies
	Grace float64  // of a drain
	Known func(host string) bool
}

// Refusal tells why an order was refused.
type Refusal struct {
	Host, Reason string
	Unknown      bool // there is no such host
}

func (r *Refusal) Error() string { return r.Host + ": " + r.Reason }

// Book keeps what is set, and what waits for its turn.
type Book struct {
	sets    map[string]Set
	waiting []Order
	stepped float64 // when a waiting order was last carried out
}

// New makes an empty book.
func New() *Book { return &Book{sets: map[string]Set{}, stepped: math.Inf(-1)} }

// Sets gives what is set, by host.
func (b *Book) Sets() map[string]Set { return maps.Clone(b.sets) }

// Recall puts back what was set in an earlier life.
func (b *Book) Recall(host string, s Set) {
	if !s.plain() {
		b.sets[host] = s
	}
}

// Set gives what is set on a host.
func (b *Book) Set(host string) (Set, bool) { s, ok := b.sets[host]; return s, ok }

// Weighed tells whether a weight is set on a host.
func (b *Book) Weighed(host string) bool { return b.sets[host].Weight > 0 || b.sets[host].Part > 0 }

// Waits gives the order of a host that waits for its turn, the last one of several.
func (b *Book) Waits(host string) (o Order, ok bool) {
	for _, w := range b.waiting {
		if w.Host == host {
			o, ok = w, true
		}
	}
	return o, ok
}

// Order takes an order. It is done at once, or waits where it may and cannot be done yet, or is refused and changes
// nothing.
func (b *Book) Order(v View, o Order) (waits bool, err error) {
	if err := b.sound(v, o); err != nil {
		return false, err
	}
	if o.Remove || !o.Keep && o.State == Listed && o.Weight < 0 && o.Add == nil { // taken back: what waits for it is too
		b.waiting = slices.DeleteFunc(b.waiting, func(w Order) bool { return w.Host == o.Host })
	}
	err = b.breaks(v, o)
	if err == nil {
		b.apply(v.Now, o)
		return false, nil
	}
	if o.Wait && b.may(v, o) {
		b.waiting = append(b.waiting, o)
		return true, nil
	}
	return false, err
}

// sound tells what is wrong with an order in itself.
func (b *Book) sound(v View, o Order) error {
	refuse := func(format string, args ...any) error {
		return &Refusal{Host: o.Host, Reason: fmt.Sprintf(format, args...)}
	}
	_, listed := find(v.Hosts, o.Host)
	listed = listed || v.Known != nil && v.Known(o.Host)
	switch {
	case o.Add != nil && listed:
		return refuse("the host is there already")
	case o.Add == nil && !listed:
		return &Refusal{Host: o.Host, Reason: "no such host", Unknown: true}
	case o.Remove && b.sets[o.Host].Added == nil:
		return refuse("the list has it, and only the list can take it off; set it to maint")
	case o.Remove && b.sets[o.Host].State != Maint:
		return refuse("it must be in maint first")
	case math.IsNaN(o.Weight) || o.Weight > 1e6:
		return refuse("a weight is a number up to 1000000")
	case !(o.For >= 0):
		return refuse("a time is a number from 0")
	}
	return nil
}

// breaks tells which rule an order would break if it were done now.
func (b *Book) breaks(v View, o Order) error {
	h, ok := find(v.Hosts, o.Host)
	if !ok {
		return nil
	}
	if o.State != Listed || o.Weight == 0 {
		return b.last(v, h)
	}
	if o.Weight > 0 && h.Warmth < 1 {
		want := o.Weight
		if o.Part {
			want *= h.Weight
		}
		if most := math.Max(h.Weight, 1e-9) * h.Warmth; want > most {
			return &Refusal{Host: o.Host, Reason: fmt.Sprintf("it is cold: %.2f of its listed weight is the most now, all of it in %.1f s", h.Warmth,
				(h.Warm-v.Now)/1000)}
		}
	}
	return nil
}

// last tells whether a host is the last warm one that some class may go to.
func (b *Book) last(v View, h Host) error {
	if !h.Ready || h.Warmth < 1 {
		return nil
	}
	others, near := 0, 0
	for _, x := range v.Hosts {
		if x.Name != h.Name && x.Ready && x.Warmth >= 1 {
			others++
			if x.Zone == h.Zone {
				near++
			}
		}
	}
	if others == 0 {
		return &Refusal{Host: h.Name, Reason: "it is the last warm host that is ready"}
	}
	if near == 0 && len(v.Local) > 0 && slices.Contains(v.Zones, h.Zone) {
		return &Refusal{Host: h.Name, Reason: fmt.Sprintf("it is the last warm host of zone %s, which class %s may not leave", h.Zone, v.Local[0])}
	}
	return nil
}

// may tells whether an order that cannot be done now can be done later: a cold host warms, and of hosts that must go one
// by one all but the last may, once others are ready.
func (b *Book) may(v View, o Order) bool {
	h, _ := find(v.Hosts, o.Host)
	if o.Weight > 0 && o.State == Listed {
		return h.Warmth < 1
	}
	for _, x := range v.Hosts { // one that warms may take its place
		if x.Name != h.Name && x.Ready && x.Warmth < 1 {
			return true
		}
	}
	for name, s := range b.sets { // or one that is away for a time
		if name != h.Name && s.State != Listed && s.Until > 0 {
			return true
		}
	}
	return false
}

// Step carries out what waits and can be done: one host at a time, once the one before is out of the channel and its
// grace is over. It tells what changed.
func (b *Book) Step(v View) (done []Order) {
	for host, s := range b.sets {
		if s.Until > 0 && s.Until <= v.Now {
			back := Set{Added: s.Added}
			if b.sets[host] = back; back.plain() {
				delete(b.sets, host)
			}
			done = append(done, Order{Host: host, Weight: -1, By: "the end of its time"})
		}
	}
	sort.Slice(done, func(i, j int) bool { return done[i].Host < done[j].Host })
	if !v.Quiet || v.Now < b.stepped+v.Grace {
		return done
	}
	for i, o := range b.waiting {
		if b.breaks(v, o) == nil {
			b.waiting = slices.Delete(b.waiting, i, i+1)
			b.apply(v.Now, o)
			b.stepped = v.Now
			return append(done, o)
		}
	}
	return done
}

// apply notes an order as set.
func (b *Book) apply(now float64, o Order) {
	s := b.sets[o.Host]
	if !o.Keep {
		s.State = o.State
	}
	s.By, s.At, s.Until = o.By, now, 0
	if o.For > 0 {
		s.Until = now + o.For
	}
	switch {
	case o.Remove:
		delete(b.sets, o.Host)
		return
	case o.Clear:
		s.Weight, s.Part = 0, 0
	case o.Weight == 0: // no new traffic, as the protocol's guide has it
		s.State = Drain
	case o.Weight > 0 && o.Part:
		s.Weight, s.Part = 0, o.Weight
	case o.Weight > 0:
		s.Weight, s.Part = o.Weight, 0
	}
	if o.Add != nil {
		s.Added = o.Add
	}
	if s.plain() {
		delete(b.sets, o.Host)
		return
	}
	b.sets[o.Host] = s
}

// Next is when Step has something to do for the sake of time alone: an end, or a waiting order's turn.
func (b *Book) Next(now, grace float64) float64 {
	next := math.Inf(1)
	for _, s := range b.sets {
		if s.Until > 0 {
			next = math.Min(next, s.Until)
		}
	}
	if len(b.waiting) > 0 {
		next = math.Min(next, math.Max(b.stepped+grace, now+stepEvery))
	}
	return next
}

// stepEvery ms it is looked whether a waiting order's turn has come.
const stepEvery = 200.0

// Batch orders several hosts' drains, as a zone's, each to wait for its turn. It refuses all where the last of them
// could never be done.
func (b *Book) Batch(v View, orders []Order) error {
	left, after := 0, maps.Clone(b.sets)
	going := map[string]bool{}
	for _, o := range orders {
		if err := b.sound(v, o); err != nil {
			return err
		}
		going[o.Host] = true
	}
	near := map[string]int{}
	for _, h := range v.Hosts {
		if !going[h.Name] && h.Ready && h.Warmth >= 1 && after[h.Name].State == Listed {
			left++
			near[h.Zone]++
		}
	}
	if left == 0 {
		return &Refusal{Host: orders[0].Host, Reason: "with all of these no warm host would be ready"}
	}
	for _, z := range v.Zones {
		if len(v.Local) > 0 && near[z] == 0 {
			return &Refusal{Host: orders[0].Host, Reason: fmt.Sprintf("with all of these zone %s, which class %s may not leave, would have no warm host", z, v.Local[0])}
		}
	}
	b.waiting = append(b.waiting, orders...)
	return nil
}

func find(hosts []Host, name string) (Host, bool) {
	for _, h := range hosts {
		if h.Name == name {
			return h, true
		}
	}
	return Host{}, false
}
