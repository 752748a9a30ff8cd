package operator

import (
	"math"
	"slices"
	"strings"
)

// expiryOperator is the Command.Operator of an override that expired. Events and logs show it.
const expiryOperator = "the end of its time"

// pendingCheckIntervalMs is the interval in ms at which queued commands are checked, once the drain grace of the last
// applied one is over.
const pendingCheckIntervalMs = 200.0

// ApplyDue expires overrides, and applies the first queued command that breaks no rule. Queued commands are applied
// one at a time: the next only once all proxies acknowledged the last one and its drain grace is over. It returns the
// commands that were applied; an expired override is returned as a command back to Listed.
func (s *OverrideStore) ApplyDue(view View) []Command {
	applied := s.expire(view.NowMs)
	if !view.NoUpdatePending || view.NowMs < s.lastPendingAppliedMs+view.DrainGraceMs {
		return applied
	}
	next := slices.IndexFunc(s.pending, func(command Command) bool { return checkRules(&view, &command) == nil })
	if next < 0 {
		return applied
	}
	command := s.pending[next]
	s.pending = slices.Delete(s.pending, next, next+1)
	s.applyNow(view.NowMs, command)
	s.lastPendingAppliedMs = view.NowMs
	return append(applied, command)
}

// expire drops the expired overrides, and returns them as commands in the order of their hosts. Hosts that operators
// added stay.
func (s *OverrideStore) expire(nowMs float64) (expired []Command) {
	for host, override := range s.overrides {
		if !override.hasExpired(nowMs) {
			continue
		}
		if override.Added != nil {
			s.overrides[host] = Override{Added: override.Added}
		} else {
			delete(s.overrides, host)
		}
		expired = append(expired, Command{Host: host, Weight: -1, Operator: expiryOperator})
	}
	slices.SortFunc(expired, func(a, b Command) int { return strings.Compare(a.Host, b.Host) })
	return expired
}

// NextDeadline returns the earliest instant in ms at which ApplyDue must be called though nothing else changes,
// because an override expires or a queued command may be applied. It is infinite if there is none.
func (s *OverrideStore) NextDeadline(nowMs, graceMs float64) float64 {
	deadlineMs := math.Inf(1)
	for _, override := range s.overrides {
		if override.ExpiresMs > 0 {
			deadlineMs = math.Min(deadlineMs, override.ExpiresMs)
		}
	}
	if len(s.pending) > 0 {
		checkMs := math.Max(s.lastPendingAppliedMs+graceMs, nowMs+pendingCheckIntervalMs)
		deadlineMs = math.Min(deadlineMs, checkMs)
	}
	return deadlineMs
}
