package intake

import "math"

// IngestPacer decides how many reports an overloaded controller sheds, and when it also slows its own rounds. A
// controller is overloaded while its rounds start late. Polls and drains are never delayed by it. The zero value
// sheds nothing.
type IngestPacer struct {
	level              int     // shedding level, 0 to maxSheddingLevel
	smoothedLatenessMs float64 // exponential moving average
	lateRounds         int     // in a row
	onTimeRounds       int     // in a row
}

const (
	lateThresholdMs     = 100.0 // a round that starts later than this is late
	onTimeThresholdMs   = 20.0  // a round that starts less late than this is on time
	lateRoundsToRaise   = 3     // late rounds in a row that raise the level by one
	onTimeRoundsToLower = 25    // rounds on time in a row that lower the level by one
	maxSheddingLevel    = 3
	latenessSmoothing   = 0.3 // weight of the newest round in the moving average
	minReportsPerRound  = 100 // reports that a round may ingest at any level
	roundShiftPerLevel  = 2   // right shift of the reports per round by each level: a quarter of the level before
	levelOfSlowerRounds = 2   // first level that also slows the rounds; below it, only reports are shed
)

// ObserveRound records how late a round started, in milliseconds, and reports whether the shedding level changed.
func (p *IngestPacer) ObserveRound(latenessMs float64) (changed bool) {
	p.smoothedLatenessMs += latenessSmoothing * (latenessMs - p.smoothedLatenessMs)
	p.countRound(latenessMs)
	if p.lateRounds >= lateRoundsToRaise && p.level < maxSheddingLevel {
		p.level++
		p.lateRounds = 0
		return true
	}
	if p.onTimeRounds >= onTimeRoundsToLower && p.level > 0 {
		p.level--
		p.onTimeRounds = 0
		return true
	}
	return false
}

// countRound updates the numbers of late rounds and of rounds on time in a row.
func (p *IngestPacer) countRound(latenessMs float64) {
	switch {
	case latenessMs > lateThresholdMs:
		p.lateRounds++
		p.onTimeRounds = 0
	case latenessMs < onTimeThresholdMs:
		p.lateRounds = 0
		p.onTimeRounds++
	default:
		p.lateRounds = 0
		p.onTimeRounds = 0
	}
}

// SheddingLevel returns the shedding level, from 0 (nothing is shed) to maxSheddingLevel.
func (p *IngestPacer) SheddingLevel() int { return p.level }

// LatenessMs returns the moving average of the rounds' lateness, in milliseconds.
func (p *IngestPacer) LatenessMs() float64 { return p.smoothedLatenessMs }

// Ratio returns the fraction of the rate limits that applies: 1 at level 0, halved with each level.
func (p *IngestPacer) Ratio() float64 { return math.Exp2(-float64(p.level)) }

// MaxReports returns the number of reports that a round may ingest, where normalMax is the number at level 0.
func (p *IngestPacer) MaxReports(normalMax int) int {
	return max(normalMax>>(roundShiftPerLevel*p.level), minReportsPerRound)
}

// IntervalFactor returns the factor on the interval between the controller's rounds: 1 up to level 1, 2 at level 2 and
// 4 at level 3.
func (p *IngestPacer) IntervalFactor() float64 {
	return math.Max(1, math.Exp2(float64(p.level-levelOfSlowerRounds+1)))
}
