// Package guard looks at tables between decision and publication, and at lists before they are believed: it tells what
// would break something, with the figures, and gives the nearest sound table. It does no I/O and reads no clock.
package guard

import (
	"fmt"
	"math"
	"slices"
	"sort"
)

// Host as it stands.
type Host struct {
	Name            string
	Zone            string
	Ready           bool    // listed, not draining and not withdrawn
	SlowStartFactor float64 // the part of its capacity that it has, 0 to 1
	Capacity        float64 // work it may be given, ms a ms, warm; 0: not told
	SlowStartLimit  float64 // ms a ms that a cold host falls over at, by its warmth; 0: not told
}

// Demand of a row: a class of the proxies of a zone.
type Demand struct {
	Class, Zone string
	ZoneLocal   bool    // only hosts of the zone may take it
	Work        float64 // ms of work a ms, fleet-wide
}

// String names the use in findings.
func (u Demand) String() string { return u.Class + " in " + u.Zone }

// Route is weights that some proxies pick by, for each of the view's hosts, 0 where it is not named.
type Route struct {
	Demands   []Demand
	Published []float64 // as published; nil: nothing yet
	Decided   []float64 // as decided
	ReadOnly  bool      // looked at and counted, but not to be mended
}

// View is what is looked at.
type View struct {
	Hosts  []Host
	Routes []Route
}

// Limits of the checks.
type Limits struct {
	CapacityMultiple float64 // a host may be given so many times its cap, where all together can take what is asked; 0: not looked at
	MaxTrafficShift  float64 // part of a row's traffic that one step may move, drains and removals aside; 0: any
	SurviveZoneLoss  bool    // also without the zone that carries most
}

// Finding is what a check found.
type Finding struct {
	Check   string  `json:"check"`
	Subject string  `json:"on"` // class and zone, or host
	Value   float64 `json:"is"`
	Limit   float64 `json:"limit"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s, %.4g where %.4g is the limit", f.Check, f.Subject, f.Value, f.Limit)
}

// Names of the checks.
const (
	NotANumber              = "a weight is no number"
	NoHost                  = "no host may take it"
	OverCapacity            = "over its cap"
	OverSlowStartBudget     = "a cold host over its budget"
	OverCapacityWithoutZone = "over its cap without a zone"
	TrafficJump             = "too much moves at once"
)

func isValidWeight(w float64) bool { return w >= 0 && w <= math.MaxFloat64 }

// Check gives what is wrong with the next rows, by check and then by what it is on.
func Check(v *View, l Limits) []Finding {
	c := newChecker(v, l)
	for i := range v.Routes {
		c.checkWeights(&v.Routes[i])
		c.checkDemands(&v.Routes[i])
	}
	if l.CapacityMultiple > 0 {
		load := c.hostLoads(noZone)
		c.checkCapacity(OverCapacity, load, noZone)
		c.checkSlowStart(load)
		if l.SurviveZoneLoss {
			c.checkZoneLoss(load)
		}
	}
	for i := range v.Routes {
		if r := &v.Routes[i]; l.MaxTrafficShift > 0 && r.Published != nil {
			if moved := c.trafficShift(r); moved > l.MaxTrafficShift+1e-9 {
				c.report(TrafficJump, r.Demands[0].String(), moved, l.MaxTrafficShift)
			}
		}
	}
	sort.SliceStable(c.findings, func(i, j int) bool {
		a, b := c.findings[i], c.findings[j]
		return a.Check < b.Check || a.Check == b.Check && a.Subject < b.Subject
	})
	return c.findings
}

type checker struct {
	view     *View
	limits     Limits
	zoneOf    []int32 // the zone that a host stands in, by number; out where it may not stay
	zones []string
	findings []Finding
}

// In place of a zone's number: no zone, and that of a host that may not stay.
const (
	noZone = -1
	zoneNotReady  = -2
)

// newChecker numbers the zones. Rounds look at all hosts several times, so what that needs stands close together.
func newChecker(v *View, l Limits) *checker {
	c := &checker{view: v, limits: l, zoneOf: make([]int32, len(v.Hosts))}
	at := 0
	for i := range v.Hosts {
		h := &v.Hosts[i]
		if !h.Ready {
			c.zoneOf[i] = zoneNotReady
			continue
		}
		if at >= len(c.zones) || c.zones[at] != h.Zone {
			if at = slices.Index(c.zones, h.Zone); at < 0 {
				at = len(c.zones)
				c.zones = append(c.zones, h.Zone)
			}
		}
		c.zoneOf[i] = int32(at)
	}
	return c
}

func (c *checker) report(check, on string, is, limit float64) {
	c.findings = append(c.findings, Finding{check, on, is, limit})
}

func (c *checker) checkWeights(r *Route) {
	for h, w := range r.Decided {
		if !isValidWeight(w) {
			c.report(NotANumber, r.Demands[0].String()+" at "+c.view.Hosts[h].Name, w, 0)
		}
	}
}

// allows tells whether a host may take a use.
func (u Demand) allows(h *Host) bool { return h.Ready && (!u.ZoneLocal || h.Zone == u.Zone) }

// checkDemands: a use without a host that may take it, where there is one that is warm.
func (c *checker) checkDemands(r *Route) {
	for _, u := range r.Demands {
		if c.hasHostFor(r, u) {
			continue
		}
		could := 0.0
		for i := range c.view.Hosts {
			if h := &c.view.Hosts[i]; u.allows(h) && h.SlowStartFactor >= 1 {
				could++
			}
		}
		if could > 0 {
			c.report(NoHost, u.String(), 0, could)
		}
	}
}

// hasHostFor tells whether a row names a host that may take a use.
func (c *checker) hasHostFor(r *Route, u Demand) bool {
	for i, w := range r.Decided {
		if w > 0 && isValidWeight(w) && u.allows(&c.view.Hosts[i]) {
			return true
		}
	}
	return false
}

// totalWork is all the work of a row.
func (r *Route) totalWork() (sum float64) {
	for _, u := range r.Demands {
		sum += u.Work
	}
	return sum
}

// hostLoads deals the work out by the next rows as it will be once the hosts that drain or are withdrawn are gone, and
// without the hosts of a zone.
func (c *checker) hostLoads(without int32) []float64 {
	load := make([]float64, len(c.zoneOf))
	for i := range c.view.Routes {
		r := &c.view.Routes[i]
		sum := 0.0
		for h, w := range r.Decided {
			if z := c.zoneOf[h]; z >= 0 && z != without && w > 0 && w <= math.MaxFloat64 {
				sum += w
			}
		}
		if sum <= 0 {
			continue
		}
		part := r.totalWork() / sum
		for h, w := range r.Decided {
			if z := c.zoneOf[h]; z >= 0 && z != without && w > 0 && w <= math.MaxFloat64 {
				load[h] += w * part
			}
		}
	}
	return load
}

// overloadSlack over what each host would get by its cap, where all together cannot take what is asked.
const overloadSlack = 1.1

// capacityMultiple is how often its cap a host may be given without the hosts of a zone: as the limits say, or where the hosts could
// not take all that is asked, a little more than each would get if it were dealt out by their caps. Some are over then
// whatever the rows are, and levels are what helps, but none has to be far over the others.
func (c *checker) capacityMultiple(without int32) float64 {
	asked, all := 0.0, 0.0
	for i := range c.view.Routes {
		asked += c.view.Routes[i].totalWork()
	}
	for i, z := range c.zoneOf {
		if z >= 0 && z != without {
			all += c.view.Hosts[i].Capacity * c.view.Hosts[i].SlowStartFactor
		}
	}
	if all <= 0 {
		return math.Inf(1)
	}
	return math.Max(c.limits.CapacityMultiple, overloadSlack*asked/all)
}

// checkCapacity: hosts that are given more than their caps allow, without those of a zone.
func (c *checker) checkCapacity(check string, load []float64, without int32) {
	over := c.capacityMultiple(without)
	for i, x := range load {
		if limit := c.view.Hosts[i].Capacity * over; limit > 0 && x > limit && c.zoneOf[i] != without {
			c.report(check, c.view.Hosts[i].Name, x, limit)
		}
	}
}

func (c *checker) checkSlowStart(load []float64) {
	for i := range c.view.Hosts {
		if h := &c.view.Hosts[i]; h.SlowStartFactor < 1 && h.SlowStartLimit > 0 && load[i] > h.SlowStartLimit {
			c.report(OverSlowStartBudget, h.Name, load[i], h.SlowStartLimit)
		}
	}
}

// heaviestZone is the zone whose hosts carry most; of two alike the first by name.
func (c *checker) heaviestZone(load []float64) int32 {
	by := make([]float64, len(c.zones))
	for i, z := range c.zoneOf {
		if z >= 0 {
			by[z] += load[i]
		}
	}
	worst := int32(noZone)
	for z, x := range by {
		if x > 0 && (worst < 0 || x > by[worst] || x == by[worst] && c.zones[z] < c.zones[worst]) {
			worst = int32(z)
		}
	}
	return worst
}

// checkZoneLoss: what the others get when the zone that carries most is lost.
func (c *checker) checkZoneLoss(load []float64) {
	if worst := c.heaviestZone(load); worst != noZone {
		c.checkCapacity(OverCapacityWithoutZone, c.hostLoads(worst), worst)
	}
}

// readyWeight of a row's weights, over the hosts that may stay.
func (v *View) readyWeight(row []float64) (sum float64) {
	for h, w := range row {
		if v.Hosts[h].Ready && isValidWeight(w) {
			sum += w
		}
	}
	return sum
}

// trafficShift is half the distance between the shares before and after, over the hosts that may stay.
func (c *checker) trafficShift(r *Route) float64 {
	was, is, up := c.view.readyWeight(r.Published), c.view.readyWeight(r.Decided), 0.0
	if was <= 0 || is <= 0 {
		return 0
	}
	for h, z := range c.zoneOf {
		if z == zoneNotReady {
			continue
		}
		a, b := r.Published[h], r.Decided[h]
		if !isValidWeight(a) {
			a = 0
		}
		if !isValidWeight(b) {
			b = 0
		}
		up += math.Abs(b/is - a/was)
	}
	return up / 2
}
