// Package state decides what a steward keeps of what it learned for its next life, and how far that is still to be trusted
// when it is read: each kind of knowledge fades by a half-life of its own and after a bound counts as unknown. What is left
// is evidence, never proof. The package does no I/O and reads no clock; times are ms.
package state

import (
	"fmt"
	"math"
	"slices"

	"barleysail/state/statepb"
)

// Fade is how one kind of knowledge ages.
type Fade struct {
	Half  float64 // ms in which what it says beyond the ordinary halves
	Bound float64 // ms after which nothing is known
}

// soon is how far in the future an entry may lie, in ms: figures are noted a moment after the state's own time.
const soon = 5000.0

// left is what is left of knowledge of an age, 0 where it is unknown.
func (f Fade) left(age float64) float64 {
	if !(age < f.Bound) || age < -soon { // no figure, too old, or not yet
		return 0
	}
	return math.Exp2(-math.Max(age, 0) / f.Half)
}

// Limits say how each kind ages.
type Limits struct {
	Estimates Fade    // weights, rates and mean times of hosts
	Failures  Fade    // tries that failed, withdrawals
	Levels    Fade    // what is let in
	Reports   Fade    // trust in load reports
	Demand    float64 // ms for which what came to a proxy is still expected
	Versions  float64 // ms for which a proxy may come with a tag from before
	Cold      float64 // ms until a started host is warm
	Back      float64 // ms that a clock may have gone back, by rounding and small corrections
}

// DefaultLimits are the limits where none are set; cold is that of the rules.
func DefaultLimits(cold float64) Limits {
	return Limits{Estimates: Fade{120e3, 900e3}, Failures: Fade{20e3, 120e3}, Levels: Fade{20e3, 120e3}, Reports: Fade{600e3, 7200e3},
		Demand: 120e3, Versions: 900e3, Cold: cold, Back: 1000}
}

// Recalled is what a steward may go by when it starts again.
type Recalled struct {
	Life     string  // the one it is from; empty: nothing is known
	Passed   float64 // since it was true, ms
	Why      string  // nothing or less than all is known
	Hosts    map[string]*Host
	Proxies  map[string]*Proxy
	Level    float64 // 1 where none is known
	Shares   map[string]float64
	Median   float64 // 0: not known
	Settings []*statepb.Setting
}

// Host as it may be recalled.
type Host struct {
	Zone        string
	Started     float64 // 0: long ago, or not known
	Drains      float64 // since when; 0: it does not
	Weight      float64 // a part of the listed one, 1 where nothing is known
	Rate, R     float64 // 0: not known
	Won, Lost   float64
	Out, Absent bool    // it was withdrawn: to be looked at first
	Trust       float64 // 1 where nothing is known
	known       bool
}

// Proxy as it may be recalled.
type Proxy struct {
	Zone   string
	Tag    string // empty: not to be gone by
	Tables []*statepb.Class
	Rates  []float64 // nil: not known
}

// nothing is known, for a reason.
func nothing(why string) *Recalled {
	return &Recalled{Why: why, Level: 1, Hosts: map[string]*Host{}, Proxies: map[string]*Proxy{}, Shares: map[string]float64{}}
}

// Age gives what may be gone by now of what was kept. A clock that went back makes all of it unknown but for what operators
// set: nobody can tell how old it is.
func Age(s *statepb.State, now float64, l Limits) *Recalled {
	if s == nil {
		return nothing("nothing was kept")
	}
	r := nothing("")
	r.Passed = now - s.At
	if back := r.Passed < -l.Back; back || math.IsNaN(r.Passed) {
		r.Why = fmt.Sprintf("the clock went back by %.0f ms", -r.Passed)
		for _, x := range s.Settings { // an end that cannot be told is left as it is
			r.Settings = append(r.Settings, x)
		}
		return r
	}
	r.Life = s.Life
	for _, x := range s.Settings {
		if x.Until == 0 || x.Until > now {
			r.Settings = append(r.Settings, x)
		}
	}
	if f := s.Fleet; f != nil {
		if left := l.Levels.left(now - f.At); left > 0 {
			r.Level = 1 + (clamp(f.Level, 0.01, 1)-1)*left
			for i, class := range f.Classes {
				if i < len(f.Shares) {
					r.Shares[class] = 1 + (clamp(f.Shares[i], 0.01, 1)-1)*left
				}
			}
		}
		if l.Estimates.left(now-f.At) > 0 && f.Median > 0 && f.Median < 1e7 {
			r.Median = f.Median
		}
	}
	unknown := 0
	for _, x := range s.Hosts {
		if h := age(x, now, r.Median, l); h.known {
			r.Hosts[x.Name] = h
		} else {
			unknown++
		}
	}
	tables := map[string][]*statepb.Class{}
	for _, t := range s.Tables {
		tables[t.Id] = t.Classes
	}
	for _, x := range s.Proxies {
		p := &Proxy{Zone: x.Zone}
		if recent(now-x.At, l.Versions) && x.Table != "" && tables[x.Table] != nil {
			p.Tag, p.Tables = x.Tag, tables[x.Table]
		}
		if recent(now-x.At, l.Demand) && !slices.ContainsFunc(x.Rates, func(r float64) bool { return !(r >= 0 && r <= 1e9) }) {
			p.Rates = x.Rates
		}
		if p.Tag != "" || p.Rates != nil {
			r.Proxies[x.Name] = p
		}
	}
	if unknown > 0 {
		r.Why = fmt.Sprintf("%d of %d hosts were not heard of for too long", unknown, len(s.Hosts))
	}
	return r
}

func recent(age, bound float64) bool { return age < bound && age >= -soon }

func clamp(x, least, most float64) float64 {
	if !(x >= least) {
		return least
	}
	return math.Min(x, most)
}

// age of one host. Its start stands until it is warm, and its drain until the list says otherwise: both are facts that
// somebody told, not estimates.
func age(x *statepb.Host, now, median float64, l Limits) *Host {
	h := &Host{Zone: x.Zone, Weight: 1, Trust: 1}
	old := now - x.At
	if x.Started > 0 && x.Started <= now+soon && now < x.Started+l.Cold { // one in the future would stay cold for as long
		h.Started, h.known = math.Min(x.Started, now), true
	}
	if x.Drains > 0 && x.Drains <= now {
		h.Drains, h.known = x.Drains, true
	}
	if left := l.Estimates.left(old); left > 0 {
		h.known = true
		h.Weight = 1 + (clamp(x.Weight, 0.05, 20)-1)*left
		if x.R > 0 && x.R < 1e7 && median > 0 {
			h.R = median + (x.R-median)*left
		}
	}
	if left := l.Failures.left(old); left > 0 {
		h.known = true
		h.Won, h.Lost = clamp(x.Won, 0, 1e6)*left, clamp(x.Lost, 0, 1e6)*left
		h.Out, h.Absent = x.Out, x.Absent
	}
	if left := l.Reports.left(old); left > 0 && x.Trust > 0 {
		h.known = true
		h.Trust = 1 + (clamp(x.Trust, 0, 1)-1)*left
	}
	return h
}

// Shift moves the times at which things were so, as from a clock that only advances to that of the wall. Times that others
// told, as starts and ends, are the wall's already.
func Shift(s *statepb.State, by float64) {
	s.At += by
	for _, h := range s.Hosts {
		h.At += by
	}
	for _, p := range s.Proxies {
		p.At += by
	}
	if s.Fleet != nil {
		s.Fleet.At += by
	}
}
