package state

import (
	"math"
)

// Decay is how one kind of knowledge ages.
type Decay struct {
	HalfLifeMs float64 // ms in which what it says beyond the ordinary halves
	MaxAgeMs   float64 // ms after which nothing is known
}

// soon is how far in the future an entry may lie, in ms: figures are noted a moment after the state's own time.
const soon = 5000.0

// left is what is left of knowledge of an age, 0 where it is unknown.
func (f Decay) left(age float64) float64 {
	if !(age < f.MaxAgeMs) || age < -soon { // no figure, too old, or not yet
		return 0
	}
	return math.Exp2(-math.Max(age, 0) / f.HalfLifeMs)
}

// Limits say how each kind ages.
type Limits struct {
	Estimates        Decay   // weights, rates and mean times of hosts
	Failures         Decay   // tries that failed, withdrawals
	Admission        Decay   // what is let in
	Reports          Decay   // trust in load reports
	DemandMaxAgeMs   float64 // ms for which what came to a proxy is still expected
	TagMaxAgeMs      float64 // ms for which a proxy may come with a tag from before
	SlowStartMs      float64 // ms until a started host is warm
	ClockToleranceMs float64 // ms that a clock may have gone back, by rounding and small corrections
}

// DefaultLimits are the limits where none are set; cold is that of the rules.
func DefaultLimits(cold float64) Limits {
	return Limits{Estimates: Decay{120e3, 900e3}, Failures: Decay{20e3, 120e3}, Admission: Decay{20e3, 120e3}, Reports: Decay{600e3, 7200e3},
		DemandMaxAgeMs: 120e3, TagMaxAgeMs: 900e3, SlowStartMs: cold, ClockToleranceMs: 1000}
}

func recent(age, bound float64) bool { return age < bound && age >= -soon }

func clamp(x, least, most float64) float64 {
	if !(x >= least) {
		return least
	}
	return math.Min(x, most)
}
