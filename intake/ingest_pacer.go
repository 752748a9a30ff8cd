package intake

import "math"

// IngestPacer decides how far a steward that falls behind sheds reports, and then lengthens its rounds. Polls and drains are not
// its business: they go on as they come.
type IngestPacer struct {
	level              int
	smoothedLatenessMs float64 // of the last rounds, faded
	lateRounds         int     // rounds in a row that were late
	onTimeRounds       int     // and in time
}

const (
	lateThresholdMs     = 100.0 // ms that a round may come late
	onTimeThresholdMs   = 20.0
	lateRoundsToRaise   = 3  // late rounds in a row raise the level
	onTimeRoundsToLower = 25 // rounds in time lower it
	maxSheddingLevel    = 3
)

// ObserveRound notes that a round came so many ms later than it was due, and tells whether the level changed.
func (p *IngestPacer) ObserveRound(late float64) (changed bool) {
	p.smoothedLatenessMs += 0.3 * (late - p.smoothedLatenessMs)
	switch {
	case late > lateThresholdMs:
		p.lateRounds, p.onTimeRounds = p.lateRounds+1, 0
	case late < onTimeThresholdMs:
		p.lateRounds, p.onTimeRounds = 0, p.onTimeRounds+1
	default:
		p.lateRounds, p.onTimeRounds = 0, 0
	}
	if p.lateRounds >= lateRoundsToRaise && p.level < maxSheddingLevel {
		p.level, p.lateRounds = p.level+1, 0
		return true
	}
	if p.onTimeRounds >= onTimeRoundsToLower && p.level > 0 {
		p.level, p.onTimeRounds = p.level-1, 0
		return true
	}
	return false
}

// SheddingLevel is 0 while the steward keeps up, 3 at the most.
func (p *IngestPacer) SheddingLevel() int { return p.level }

// LatenessMs is how late the last rounds came, ms.
func (p *IngestPacer) LatenessMs() float64 { return p.smoothedLatenessMs }

// Ratio is what of the intake is let in: half as much with each level.
func (p *IngestPacer) Ratio() float64 { return math.Exp2(-float64(p.level)) }

// MaxReports is how many lines a round takes in.
func (p *IngestPacer) MaxReports(usual int) int { return max(usual>>(2*p.level), 100) }

// IntervalFactor is how many times as long the module's own rounds take: reports are shed first.
func (p *IngestPacer) IntervalFactor() float64 { return math.Max(1, math.Exp2(float64(p.level-1))) }
