package state

import "math"

// futureToleranceMs is how far in the future the instant of an entry may lie for the entry to count as new, since
// figures may be recorded shortly after the instant of the state that holds them. An entry further in the future has an
// unknown age.
const futureToleranceMs = 5000

// Decay describes how one kind of stored knowledge loses confidence with age.
type Decay struct {
	HalfLifeMs float64 // age at which the confidence in a figure is 0.5
	MaxAgeMs   float64 // age from which the figure counts as unknown
}

// confidence returns the remaining confidence in a figure of an age, from 1 (new) to 0 (unknown):
//
//	confidence = 2^(-age / half-life)   for -futureToleranceMs <= age < max age
//	confidence = 0                      otherwise, also if the age is NaN
//
// An age below zero counts as zero.
func (d Decay) confidence(ageMs float64) float64 {
	if !withinAge(ageMs, d.MaxAgeMs) {
		return 0
	}
	return math.Exp2(-math.Max(ageMs, 0) / d.HalfLifeMs)
}

// withinAge reports whether an age is known and below a maximum. It is false for NaN.
func withinAge(ageMs, maxAgeMs float64) bool {
	return ageMs < maxAgeMs && ageMs >= -futureToleranceMs
}

// decayToward moves a figure toward the neutral value, which applies if nothing is known. It returns
// neutral + (value - neutral) * confidence.
func decayToward(neutral, value, confidence float64) float64 {
	return neutral + (value-neutral)*confidence
}

// Limits configures how each kind of stored knowledge decays.
type Limits struct {
	Estimates        Decay   // weights and mean latencies of hosts
	Failures         Decay   // failed and successful attempts, ejections
	Admission        Decay   // admission ratio and quotas
	Reports          Decay   // confidence in load reports
	DemandMaxAgeMs   float64 // age from which the request rates of a proxy count as unknown
	TagMaxAgeMs      float64 // age from which a proxy's table version counts as unknown
	SlowStartMs      float64 // time from the start of a host until it has warmed up
	ClockToleranceMs float64 // how far the wall clock may have gone back, because of rounding and small corrections
}

const (
	secondMs = 1000.0
	minuteMs = 60 * secondMs
	hourMs   = 60 * minuteMs
)

// DefaultLimits returns the limits that apply if none are set, with the slow start time of the settings. Knowledge that
// does most harm when it is outdated (failures, admission) decays fastest.
func DefaultLimits(slowStartMs float64) Limits {
	return Limits{
		Estimates:        Decay{HalfLifeMs: 2 * minuteMs, MaxAgeMs: 15 * minuteMs},
		Failures:         Decay{HalfLifeMs: 20 * secondMs, MaxAgeMs: 2 * minuteMs},
		Admission:        Decay{HalfLifeMs: 20 * secondMs, MaxAgeMs: 2 * minuteMs},
		Reports:          Decay{HalfLifeMs: 10 * minuteMs, MaxAgeMs: 2 * hourMs},
		DemandMaxAgeMs:   2 * minuteMs,
		TagMaxAgeMs:      15 * minuteMs,
		SlowStartMs:      slowStartMs,
		ClockToleranceMs: secondMs,
	}
}
