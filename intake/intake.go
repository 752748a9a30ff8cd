// Package intake decides which load reports and request stats of proxies and hosts the controller ingests: how much
// each source may send ([RateLimiter]), in which order queued reports are ingested and which are dropped ([Queue]),
// how much weight an old report keeps, which hosts' load reports are trusted ([Trust]), and by how much a controller
// that falls behind sheds reports before it slows its own rounds ([IngestPacer]).
//
// The package does no I/O, reads no clock and starts no goroutine: callers pass the present time in. Unless a
// parameter is a [time.Time], instants and durations are float64 milliseconds. Except for RateLimiter, no type is
// safe for concurrent use.
package intake

// Limits of the ingest of reports.
type Limits struct {
	MaxQueued          int     // reports that may wait for a round
	MaxPerRound        int     // reports that a round ingests while nothing is shed
	FullWeightMs       float64 // age up to which a report keeps its full weight
	HalfLifeMs         float64 // age beyond FullWeightMs after which the weight has halved
	MaxAgeMs           float64 // age from which on a report is dropped
	TrustAll           bool    // use load reports as they are, distrust none
	SilentAfterMs      float64 // shortest gap after which a host's load reports count as stopped
	UncertainAfterMs   float64 // age of the last trusted report at which an estimate is wholly uncertain
	UnknownUtilization float64 // utilization assumed of a host of which nothing is known: no capacity left, no overload
	StuckProbability   float64 // unchanged reports in a row less probable than this are taken as stuck
}

// minPeriodMs replaces a half-life or an uncertainty period of 0 in the limits, by which ages are divided.
const minPeriodMs = 1

// DefaultLimits returns the limits that hold where the settings give none.
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
