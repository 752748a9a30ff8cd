// Package intake decides which load reports and request stats of proxies and hosts the controller ingests. It limits
// how much each source may send ([RateLimiter]), orders and drops queued reports and gives old ones less weight
// ([Queue]), decides which hosts' load reports are trusted ([Trust]), and decides how many reports an overloaded
// controller sheds and when it also slows its own rounds ([IngestPacer]).
//
// The package does no I/O, reads no clock and starts no goroutine: callers pass the current time. Unless a parameter
// is a [time.Time], instants and durations are float64 milliseconds. Except for RateLimiter, no type is safe for
// concurrent use.
package intake

// Limits of the ingest of reports.
type Limits struct {
	MaxQueued          int     // reports that may be queued for a round
	MaxPerRound        int     // reports that a round ingests at shedding level 0
	FullWeightMs       float64 // age up to which a report keeps its full weight
	HalfLifeMs         float64 // age beyond FullWeightMs after which the weight has halved
	MaxAgeMs           float64 // age from which a report is dropped
	TrustAll           bool    // use all load reports unchecked
	SilentAfterMs      float64 // least time without load reports after which they count as stopped
	UncertainAfterMs   float64 // age of the last trusted report from which an estimate has the uncertainty 1
	UnknownUtilization float64 // utilization assumed of an unknown host: neither headroom nor overload
	StuckProbability   float64 // equal reports in a row count as stuck if they are less probable than this by chance
}

// minPeriodMs is the lower bound of the half-life and the uncertainty period of the limits, by which ages are
// divided.
const minPeriodMs = 1

// DefaultLimits returns the limits that apply where the settings give none.
func DefaultLimits() Limits {
	return Limits{
		MaxQueued:          50000,
		MaxPerRound:        20000,
		FullWeightMs:       2000,
		HalfLifeMs:         10000,
		MaxAgeMs:           60000,
		SilentAfterMs:      5000,
		UncertainAfterMs:   10000,
		UnknownUtilization: 0.85,
		StuckProbability:   1e-4,
	}
}
