package rules

import (
	"cmp"
	"fmt"
	"slices"
)

// Names of the invariants. Reports print them.
const (
	ruleEmptyTable = "no joined proxy without a host"
	ruleDuplicate  = "no effect twice"
	ruleDrain      = "drains kept"
	ruleSlowStart  = "no cold host pushed over"
	ruleChannel    = "short queue, few messages"
	ruleDelta      = "deltas fit their base"
)

// Verdict is the result of the check of one invariant. Its fields and texts are part of the JSON output of replays.
type Verdict struct {
	Rule   string  // the invariant
	Kept   bool    // whether the invariant held
	Margin float64 // 1: far from the limit; 0: at the limit; below 0: violated
	Seen   string  // the worst case
}

// newVerdict returns the verdict for the largest used fraction of a limit.
func newVerdict(rule string, used float64, seen string) Verdict {
	return Verdict{Rule: rule, Kept: used <= 1, Margin: 1 - used, Seen: seen}
}

// worstCase is the case that is closest to a limit, or farthest beyond it.
type worstCase struct {
	size float64 // in the unit of the check
	seen string
}

// observe records a case if it is worse than those before.
func (w *worstCase) observe(size float64, format string, args ...any) {
	if size > w.size {
		w.size = size
		w.seen = fmt.Sprintf(format, args...)
	}
}

// Check checks all invariants over the events that were logged up to endMs.
func (l *EventLog) Check(limits Limits, endMs float64) []Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	verdicts, _ := l.check(limits, endMs)
	return verdicts
}

// check checks all invariants, and counts the requests that hosts got while they were draining or removed.
func (l *EventLog) check(limits Limits, endMs float64) (verdicts []Verdict, afterNotice int) {
	slices.SortStableFunc(l.updates, func(a, b proxyUpdate) int { return cmp.Compare(a.atMs, b.atMs) })
	slices.SortStableFunc(l.requests, func(a, b request) int { return cmp.Compare(a.atMs, b.atMs) })
	drains, afterNotice := l.checkDrains(limits)
	verdicts = []Verdict{
		l.checkEmptyTables(limits, endMs),
		l.checkDuplicates(limits),
		drains,
		l.checkSlowStarts(limits),
		l.checkChannel(limits),
	}
	if l.deltaFault != "" {
		verdicts = append(verdicts, Verdict{Rule: ruleDelta, Kept: false, Margin: -1, Seen: l.deltaFault})
	}
	return mergeWorse(l.compacted.verdicts, verdicts), afterNotice
}

// mergeWorse returns the worse of two checks' verdicts on each invariant.
func mergeWorse(earlier, later []Verdict) []Verdict {
	merged := slices.Clone(later)
	for _, verdict := range earlier {
		same := slices.IndexFunc(merged, func(other Verdict) bool { return other.Rule == verdict.Rule })
		if same < 0 {
			merged = append(merged, verdict)
		} else if verdict.Margin < merged[same].Margin {
			merged[same] = verdict
		}
	}
	return merged
}

// checkDuplicates checks that no request of a class in Limits.NonIdempotentClasses was executed twice.
func (l *EventLog) checkDuplicates(limits Limits) Verdict {
	hostOf := map[string]string{} // of the last execution, by request
	duplicates := 0
	last := ""
	for _, r := range l.requests {
		if !r.executed || !limits.NonIdempotentClasses[r.class] {
			continue
		}
		if host, executed := hostOf[r.id]; executed {
			duplicates++
			last = fmt.Sprintf("; %s of %s ran at %s and at %s", r.id, r.class, host, r.host)
		}
		hostOf[r.id] = r.host
	}
	return newVerdict(ruleDuplicate, 2*float64(duplicates),
		fmt.Sprintf("%d of %d ran twice%s", duplicates, len(hostOf), last))
}
