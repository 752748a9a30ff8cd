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
	Draining
	Maintenance
)

// Names of the states, as they are told.
var stateNames = [...]string{"listed", "drain", "maint"}

func (s State) String() string { return stateNames[s] }

// ParseState reads the name of a state; ready is another name for listed.
func ParseState(name string) (State, bool) {
	if name == "ready" {
		return Listed, true
	}
	i := slices.Index(stateNames[:], name)
	return State(max(i, 0)), i >= 0
}

// Command is what an operator wants of a host.
type Command struct {
	Host        string
	State       State
	Weight      float64    // listed weight in place of the list's; below 0: as it stands
	ClearWeight bool       // the weight is the list's again
	KeepState   bool       // the state stays as it is set
	Relative    bool       // Weight is a part of the list's weight
	DurationMs  float64    // ms after which it ends; 0: never
	Queue       bool       // not refused where it cannot be done yet: it waits for its turn
	Operator    string     // who wants it
	Add         *AddedHost // a host to be added to the list
	Remove      bool       // an added host is taken off again
}

// AddedHost is a host that an operator added.
type AddedHost struct {
	Zone      string
	Weight    float64
	Cores     float64
	Speed     float64
	StartedMs float64
}

// Override is what is set on a host.
type Override struct {
	State       State
	Weight      float64 // in place of the list's; 0: the list's stands
	WeightRatio float64 // of the list's; 0: none
	Added       *AddedHost
	Operator    string
	SetAtMs     float64
	ExpiresMs   float64 // 0: no end
}

// isEmpty tells whether nothing is set any more.
func (s Override) isEmpty() bool {
	return s.State == Listed && s.Weight == 0 && s.WeightRatio == 0 && s.Added == nil
}

// Host as it is listed now, with what was set before taken in.
type Host struct {
	Name            string
	Zone            string
	Ready           bool
	SlowStartFactor float64 // the part of its capacity that it has, 0 to 1
	WarmAtMs        float64 // the time when it has all of it
	Weight          float64 // by the list alone
}

// View is what a decision goes by.
type View struct {
	Now              float64
	Hosts            []Host   // all of the list and those added
	ZoneLocalClasses []string // classes that stay in their zone
	Zones            []string // with proxies
	NoUpdatePending  bool     // no order of the steward waits for its proxies
	DrainGraceMs     float64  // of a drain
	Known            func(host string) bool
}

// RejectedError tells why an order was refused.
type RejectedError struct {
	Host, Reason string
	UnknownHost  bool // there is no such host
}

func (r *RejectedError) Error() string { return r.Host + ": " + r.Reason }

// OverrideStore keeps what is set, and what waits for its turn.
type OverrideStore struct {
	overrides    map[string]Override
	pending []Command
	lastPendingAppliedMs float64 // when a waiting order was last carried out
}

// New makes an empty book.
func New() *OverrideStore { return &OverrideStore{overrides: map[string]Override{}, lastPendingAppliedMs: math.Inf(-1)} }

// Overrides gives what is set, by host.
func (b *OverrideStore) Overrides() map[string]Override { return maps.Clone(b.overrides) }

// Restore puts back what was set in an earlier life.
func (b *OverrideStore) Restore(host string, s Override) {
	if !s.isEmpty() {
		b.overrides[host] = s
	}
}

// Override gives what is set on a host.
func (b *OverrideStore) Override(host string) (Override, bool) { s, ok := b.overrides[host]; return s, ok }

// HasWeight tells whether a weight is set on a host.
func (b *OverrideStore) HasWeight(host string) bool {
	return b.overrides[host].Weight > 0 || b.overrides[host].WeightRatio > 0
}

// Pending gives the order of a host that waits for its turn, the last one of several.
func (b *OverrideStore) Pending(host string) (o Command, ok bool) {
	for _, w := range b.pending {
		if w.Host == host {
			o, ok = w, true
		}
	}
	return o, ok
}

// Apply takes an order. It is done at once, or waits where it may and cannot be done yet, or is refused and changes
// nothing.
func (b *OverrideStore) Apply(v View, o Command) (waits bool, err error) {
	if err := b.validate(v, o); err != nil {
		return false, err
	}
	if o.Remove || !o.KeepState && o.State == Listed && o.Weight < 0 && o.Add == nil { // taken back: what waits for it is too
		b.pending = slices.DeleteFunc(b.pending, func(w Command) bool { return w.Host == o.Host })
	}
	err = b.checkRules(v, o)
	if err == nil {
		b.applyNow(v.Now, o)
		return false, nil
	}
	if o.Queue && b.canSucceedLater(v, o) {
		b.pending = append(b.pending, o)
		return true, nil
	}
	return false, err
}

// validate tells what is wrong with an order in itself.
func (b *OverrideStore) validate(v View, o Command) error {
	refuse := func(format string, args ...any) error {
		return &RejectedError{Host: o.Host, Reason: fmt.Sprintf(format, args...)}
	}
	_, listed := findHost(v.Hosts, o.Host)
	listed = listed || v.Known != nil && v.Known(o.Host)
	switch {
	case o.Add != nil && listed:
		return refuse("the host is there already")
	case o.Add == nil && !listed:
		return &RejectedError{Host: o.Host, Reason: "no such host", UnknownHost: true}
	case o.Remove && b.overrides[o.Host].Added == nil:
		return refuse("the list has it, and only the list can take it off; set it to maint")
	case o.Remove && b.overrides[o.Host].State != Maintenance:
		return refuse("it must be in maint first")
	case math.IsNaN(o.Weight) || o.Weight > 1e6:
		return refuse("a weight is a number up to 1000000")
	case !(o.DurationMs >= 0):
		return refuse("a time is a number from 0")
	}
	return nil
}

// checkRules tells which rule an order would break if it were done now.
func (b *OverrideStore) checkRules(v View, o Command) error {
	h, ok := findHost(v.Hosts, o.Host)
	if !ok {
		return nil
	}
	if o.State != Listed || o.Weight == 0 {
		return b.checkLastWarmHost(v, h)
	}
	if o.Weight > 0 && h.SlowStartFactor < 1 {
		want := o.Weight
		if o.Relative {
			want *= h.Weight
		}
		if most := math.Max(h.Weight, 1e-9) * h.SlowStartFactor; want > most {
			return &RejectedError{Host: o.Host, Reason: fmt.Sprintf("it is cold: %.2f of its listed weight is the most now, all of it in %.1f s", h.SlowStartFactor,
				(h.WarmAtMs-v.Now)/1000)}
		}
	}
	return nil
}

// checkLastWarmHost tells whether a host is the last warm one that some class may go to.
func (b *OverrideStore) checkLastWarmHost(v View, h Host) error {
	if !h.Ready || h.SlowStartFactor < 1 {
		return nil
	}
	others, near := 0, 0
	for _, x := range v.Hosts {
		if x.Name != h.Name && x.Ready && x.SlowStartFactor >= 1 {
			others++
			if x.Zone == h.Zone {
				near++
			}
		}
	}
	if others == 0 {
		return &RejectedError{Host: h.Name, Reason: "it is the last warm host that is ready"}
	}
	if near == 0 && len(v.ZoneLocalClasses) > 0 && slices.Contains(v.Zones, h.Zone) {
		return &RejectedError{Host: h.Name, Reason: fmt.Sprintf("it is the last warm host of zone %s, which class %s may not leave", h.Zone, v.ZoneLocalClasses[0])}
	}
	return nil
}

// canSucceedLater tells whether an order that cannot be done now can be done later: a cold host warms, and of hosts that must go one
// by one all but the last may, once others are ready.
func (b *OverrideStore) canSucceedLater(v View, o Command) bool {
	h, _ := findHost(v.Hosts, o.Host)
	if o.Weight > 0 && o.State == Listed {
		return h.SlowStartFactor < 1
	}
	for _, x := range v.Hosts { // one that warms may take its place
		if x.Name != h.Name && x.Ready && x.SlowStartFactor < 1 {
			return true
		}
	}
	for name, s := range b.overrides { // or one that is away for a time
		if name != h.Name && s.State != Listed && s.ExpiresMs > 0 {
			return true
		}
	}
	return false
}

// ApplyDue carries out what waits and can be done: one host at a time, once the one before is out of the channel and its
// grace is over. It tells what changed.
func (b *OverrideStore) ApplyDue(v View) (done []Command) {
	for host, s := range b.overrides {
		if s.ExpiresMs > 0 && s.ExpiresMs <= v.Now {
			back := Override{Added: s.Added}
			if b.overrides[host] = back; back.isEmpty() {
				delete(b.overrides, host)
			}
			done = append(done, Command{Host: host, Weight: -1, Operator: "the end of its time"})
		}
	}
	sort.Slice(done, func(i, j int) bool { return done[i].Host < done[j].Host })
	if !v.NoUpdatePending || v.Now < b.lastPendingAppliedMs+v.DrainGraceMs {
		return done
	}
	for i, o := range b.pending {
		if b.checkRules(v, o) == nil {
			b.pending = slices.Delete(b.pending, i, i+1)
			b.applyNow(v.Now, o)
			b.lastPendingAppliedMs = v.Now
			return append(done, o)
		}
	}
	return done
}

// applyNow notes an order as set.
func (b *OverrideStore) applyNow(now float64, o Command) {
	s := b.overrides[o.Host]
	if !o.KeepState {
		s.State = o.State
	}
	s.Operator, s.SetAtMs, s.ExpiresMs = o.Operator, now, 0
	if o.DurationMs > 0 {
		s.ExpiresMs = now + o.DurationMs
	}
	switch {
	case o.Remove:
		delete(b.overrides, o.Host)
		return
	case o.ClearWeight:
		s.Weight, s.WeightRatio = 0, 0
	case o.Weight == 0: // no new traffic, as the protocol's guide has it
		s.State = Draining
	case o.Weight > 0 && o.Relative:
		s.Weight, s.WeightRatio = 0, o.Weight
	case o.Weight > 0:
		s.Weight, s.WeightRatio = o.Weight, 0
	}
	if o.Add != nil {
		s.Added = o.Add
	}
	if s.isEmpty() {
		delete(b.overrides, o.Host)
		return
	}
	b.overrides[o.Host] = s
}

// NextDeadline is when Step has something to do for the sake of time alone: an end, or a waiting order's turn.
func (b *OverrideStore) NextDeadline(now, grace float64) float64 {
	next := math.Inf(1)
	for _, s := range b.overrides {
		if s.ExpiresMs > 0 {
			next = math.Min(next, s.ExpiresMs)
		}
	}
	if len(b.pending) > 0 {
		next = math.Min(next, math.Max(b.lastPendingAppliedMs+grace, now+pendingCheckIntervalMs))
	}
	return next
}

// pendingCheckIntervalMs ms it is looked whether a waiting order's turn has come.
const pendingCheckIntervalMs = 200.0

// ApplyAll orders several hosts' drains, as a zone's, each to wait for its turn. It refuses all where the last of them
// could never be done.
func (b *OverrideStore) ApplyAll(v View, orders []Command) error {
	left, after := 0, maps.Clone(b.overrides)
	going := map[string]bool{}
	for _, o := range orders {
		if err := b.validate(v, o); err != nil {
			return err
		}
		going[o.Host] = true
	}
	near := map[string]int{}
	for _, h := range v.Hosts {
		if !going[h.Name] && h.Ready && h.SlowStartFactor >= 1 && after[h.Name].State == Listed {
			left++
			near[h.Zone]++
		}
	}
	if left == 0 {
		return &RejectedError{Host: orders[0].Host, Reason: "with all of these no warm host would be ready"}
	}
	for _, z := range v.Zones {
		if len(v.ZoneLocalClasses) > 0 && near[z] == 0 {
			return &RejectedError{Host: orders[0].Host, Reason: fmt.Sprintf("with all of these zone %s, which class %s may not leave, would have no warm host", z, v.ZoneLocalClasses[0])}
		}
	}
	b.pending = append(b.pending, orders...)
	return nil
}

func findHost(hosts []Host, name string) (Host, bool) {
	for _, h := range hosts {
		if h.Name == name {
			return h, true
		}
	}
	return Host{}, false
}
