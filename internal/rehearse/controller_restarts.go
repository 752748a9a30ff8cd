package rehearse

import "fmt"

// kill is a steward that was killed and started again; times are s from the day's start.
type controllerRestart struct {
	controller              int
	killedAtS, restartedAtS float64
}

// after is how long one looks at what a steward's loss costs, in s; agreed is how near the gap to the best tables has to
// come to what it was before.
const (
	afterRestartS = 30.0
	recoveredGap  = 0.01
)

// printRestarts says what each steward's loss cost: service from its loss until 30 s after its return, and when the tables
// were as near to the best as before.
func (s *scenario) printRestarts() {
	for _, restart := range s.restarts {
		fromWindow := int(restart.killedAtS * 1000 / windowMs)
		level, count := s.serviceLevel.fraction(fromWindow, int((restart.restartedAtS+afterRestartS)*1000/windowMs))
		gapBefore, _ := s.optimality.mean(restart.killedAtS-5, restart.killedAtS)
		gapAfter, _ := s.optimality.mean(restart.restartedAtS, restart.restartedAtS+afterRestartS)
		recoveredAfterS := -1.0
		for _, sample := range s.optimality.samples {
			if sample.atS >= restart.restartedAtS+1 && sample.gap <= gapBefore+recoveredGap {
				recoveredAfterS = sample.atS - restart.restartedAtS
				break
			}
		}
		fmt.Fprintf(s.out, "steward %d lost at %.0f s, back at %.1f s: service %.4f of %d until 30 s after, gap %.4f before, %.4f in the 30 s after, as before after %.0f s\n",
			restart.controller, restart.killedAtS, restart.restartedAtS, level, count, gapBefore, gapAfter, recoveredAfterS)
	}
}
