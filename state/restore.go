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

// Restored is what a steward may go by when it starts again.
type Restored struct {
	Incarnation     string  // the one it is from; empty: nothing is known
	ElapsedMs       float64 // since it was true, ms
	Reason          string  // nothing or less than all is known
	Hosts           map[string]*Host
	Proxies         map[string]*Proxy
	AdmissionRatio  float64 // 1 where none is known
	AdmissionQuotas map[string]float64
	MedianLatencyMs float64 // 0: not known
	Overrides       []*statepb.Setting
}

// Host as it may be recalled.
type Host struct {
	Zone                       string
	StartedMs                  float64 // 0: long ago, or not known
	DrainingSinceMs            float64 // since when; 0: it does not
	Weight                     float64 // a part of the listed one, 1 where nothing is known
	ArrivalRate, MeanLatencyMs float64 // 0: not known
	Successes, Failures        float64
	Ejected, Unreachable       bool    // it was withdrawn: to be looked at first
	ReportTrust                float64 // 1 where nothing is known
	known                      bool
}

// Proxy as it may be recalled.
type Proxy struct {
	Zone         string
	Tag          string // empty: not to be gone by
	Tables       []*statepb.Class
	RequestRates []float64 // nil: not known
}

// nothing is known, for a reason.
func nothing(why string) *Restored {
	return &Restored{Reason: why, AdmissionRatio: 1, Hosts: map[string]*Host{}, Proxies: map[string]*Proxy{}, AdmissionQuotas: map[string]float64{}}
}

// ApplyDecay gives what may be gone by now of what was kept. A clock that went back makes all of it unknown but for what operators
// set: nobody can tell how old it is.
func ApplyDecay(s *statepb.State, now float64, l Limits) *Restored {
	if s == nil {
		return nothing("nothing was kept")
	}
	r := nothing("")
	r.ElapsedMs = now - s.At
	if back := r.ElapsedMs < -l.ClockToleranceMs; back || math.IsNaN(r.ElapsedMs) {
		r.Reason = fmt.Sprintf("the clock went back by %.0f ms", -r.ElapsedMs)
		for _, x := range s.Settings { // an end that cannot be told is left as it is
			r.Overrides = append(r.Overrides, x)
		}
		return r
	}
	r.Incarnation = s.Life
	for _, x := range s.Settings {
		if x.Until == 0 || x.Until > now {
			r.Overrides = append(r.Overrides, x)
		}
	}
	if f := s.Fleet; f != nil {
		if left := l.Admission.left(now - f.At); left > 0 {
			r.AdmissionRatio = 1 + (clamp(f.Level, 0.01, 1)-1)*left
			for i, class := range f.Classes {
				if i < len(f.Shares) {
					r.AdmissionQuotas[class] = 1 + (clamp(f.Shares[i], 0.01, 1)-1)*left
				}
			}
		}
		if l.Estimates.left(now-f.At) > 0 && f.Median > 0 && f.Median < 1e7 {
			r.MedianLatencyMs = f.Median
		}
	}
	unknown := 0
	for _, x := range s.Hosts {
		if h := age(x, now, r.MedianLatencyMs, l); h.known {
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
		if recent(now-x.At, l.TagMaxAgeMs) && x.Table != "" && tables[x.Table] != nil {
			p.Tag, p.Tables = x.Tag, tables[x.Table]
		}
		if recent(now-x.At, l.DemandMaxAgeMs) && !slices.ContainsFunc(x.Rates, func(r float64) bool { return !(r >= 0 && r <= 1e9) }) {
			p.RequestRates = x.Rates
		}
		if p.Tag != "" || p.RequestRates != nil {
			r.Proxies[x.Name] = p
		}
	}
	if unknown > 0 {
		r.Reason = fmt.Sprintf("%d of %d hosts were not heard of for too long", unknown, len(s.Hosts))
	}
	return r
}

// age of one host. Its start stands until it is warm, and its drain until the list says otherwise: both are facts that
// somebody told, not estimates.
func age(x *statepb.Host, now, median float64, l Limits) *Host {
	h := &Host{Zone: x.Zone, Weight: 1, ReportTrust: 1}
	old := now - x.At
	if x.Started > 0 && x.Started <= now+soon && now < x.Started+l.SlowStartMs { // one in the future would stay cold for as long
		h.StartedMs, h.known = math.Min(x.Started, now), true
	}
	if x.Drains > 0 && x.Drains <= now {
		h.DrainingSinceMs, h.known = x.Drains, true
	}
	if left := l.Estimates.left(old); left > 0 {
		h.known = true
		h.Weight = 1 + (clamp(x.Weight, 0.05, 20)-1)*left
		if x.R > 0 && x.R < 1e7 && median > 0 {
			h.MeanLatencyMs = median + (x.R-median)*left
		}
	}
	if left := l.Failures.left(old); left > 0 {
		h.known = true
		h.Successes, h.Failures = clamp(x.Won, 0, 1e6)*left, clamp(x.Lost, 0, 1e6)*left
		h.Ejected, h.Unreachable = x.Out, x.Absent
	}
	if left := l.Reports.left(old); left > 0 && x.Trust > 0 {
		h.known = true
		h.ReportTrust = 1 + (clamp(x.Trust, 0, 1)-1)*left
	}
	return h
}
