package rehearse

import "fmt"

// controllerRestart is the restart of a killed controller. Times are in s since the start of the scenario.
type controllerRestart struct {
	controller              int
	killedAtS, restartedAtS float64
}

const (
	beforeKillS   = 5.0  // length of the time before a kill over which the gap is averaged, in s
	afterRestartS = 30.0 // length of the time after a restart that is evaluated, in s
	recoveredGap  = 0.01 // largest increase of the optimality gap that counts as recovered
	ignoredStartS = 1.0  // length of the time after a restart in which the gap cannot count as recovered, in s
)

// printRestarts prints for each restart the service level from the kill until afterRestartS after the restart, and the
// time until the optimality gap had recovered, -1 if it did not.
func (s *scenario) printRestarts() {
	for _, restart := range s.restarts {
		fromWindow := int(restart.killedAtS * 1000 / windowMs)
		level, count := s.serviceLevel.fraction(fromWindow, int((restart.restartedAtS+afterRestartS)*1000/windowMs))
		gapBefore, _ := s.optimality.mean(restart.killedAtS-beforeKillS, restart.killedAtS)
		gapAfter, _ := s.optimality.mean(restart.restartedAtS, restart.restartedAtS+afterRestartS)
		recoveredAfterS := -1.0
		for _, sample := range s.optimality.samples {
			if sample.atS >= restart.restartedAtS+ignoredStartS && sample.gap <= gapBefore+recoveredGap {
				recoveredAfterS = sample.atS - restart.restartedAtS
				break
			}
		}
		fmt.Fprintf(s.out,
			"controller %d killed at %.0f s, restarted at %.1f s: service level %.4f of %d requests until 30 s after, "+
				"gap %.4f before, %.4f in the 30 s after, recovered after %.0f s\n",
			restart.controller, restart.killedAtS, restart.restartedAtS, level, count, gapBefore, gapAfter, recoveredAfterS)
	}
}
