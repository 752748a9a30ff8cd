package intake

import "math"

// IngestPacer decides how much a controller that falls behind sheds of the reports, and when it slows its own rounds.
// Polls and drains are never delayed by it. The zero value sheds nothing.
type IngestPacer struct {
	level              int     // shedding level, 0 to maxSheddingLevel
	smoothedLatenessMs float64 // exponential moving average
	lateRounds         int     // in a row
	onTimeRounds       int     // in a row
}

const (
	lateThresholdMs     = 100.0 // a round that starts later than this is late
	onTimeThresholdMs   = 20.0  // one that starts earlier than this is on time
	lateRoundsToRaise   = 3     // late rounds in a row that raise the level by one
	onTimeRoundsToLower = 25    // rounds on time in a row that lower it by one
	maxSheddingLevel    = 3
	latenessSmoothing   = 0.3 // weight of the newest round in the moving average
	minReportsPerRound  = 100 // ingested however high the level is
	roundShiftPerLevel  = 2   // each level divides the reports per round by 2 to this power
	levelOfSlowerRounds = 2   // first level that also slows the rounds: reports are shed first
)

// ObserveRound records by how many milliseconds a round started late and reports whether the shedding level changed.
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

// countRound extends or ends the runs of late rounds and of rounds on time.
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

// SheddingLevel returns the level from 0, while the controller keeps up, to 3.
func (p *IngestPacer) SheddingLevel() int { return p.level }

// LatenessMs returns the moving average of the last rounds' lateness.
func (p *IngestPacer) LatenessMs() float64 { return p.smoothedLatenessMs }

// Ratio returns the part of the rate limits that is to be in force, halved with each level.
func (p *IngestPacer) Ratio() float64 { return math.Exp2(-float64(p.level)) }

// MaxReports returns how many reports a round ingests where it ingests normalMax at level 0.
func (p *IngestPacer) MaxReports(normalMax int) int {
	return max(normalMax>>(roundShiftPerLevel*p.level), minReportsPerRound)
}

// IntervalFactor returns by how much the interval between the controller's rounds is to be longer: 1, then 2 and 4 from
// the second level on.
func (p *IngestPacer) IntervalFactor() float64 {
	return math.Max(1, math.Exp2(float64(p.level-levelOfSlowerRounds+1)))
}
