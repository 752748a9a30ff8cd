package rules

import (
	"fmt"
	"math"
	"sort"
)

// checkDrains checks for how long connected proxies still send requests to a host after it is draining or removed on
// the endpoint list. It also counts these requests.
func (l *EventLog) checkDrains(limits Limits) (verdict Verdict, afterNotice int) {
	sessions := l.sessions()
	noTraffic := l.listedSpans(isDrainingOrRemoved)
	afterNotice = l.compacted.afterNotice
	var worst worstCase
	for _, r := range l.requests {
		noticeMs, draining := spanAt(noTraffic[r.host], r.atMs)
		sessionMs, connected := sessionAt(sessions[r.proxy], r.atMs)
		if !draining || !connected {
			continue
		}
		if r.atMs >= l.compacted.atMs {
			afterNotice++
		}
		lateMs := r.atMs - math.Max(noticeMs, sessionMs)
		worst.observe(lateMs, "; the last by %s at %s, %.0f ms of %.0f", r.proxy, r.host, lateMs,
			limits.DrainGraceMs)
	}
	seen := fmt.Sprintf("%d transactions after the word%s", afterNotice, worst.seen)
	return newVerdict(ruleDrain, worst.size/limits.DrainGraceMs, seen), afterNotice
}

// isDrainingOrRemoved reports whether a host must get no request by its state on the endpoint list.
func isDrainingOrRemoved(host Listed, listed bool) bool { return !listed || !host.Ready }

// sessions returns for each proxy the alternating start and end times of its sessions with a controller.
func (l *EventLog) sessions() map[string][]float64 {
	boundaries := map[string][]float64{}
	current := map[string]string{} // by proxy: the controller; empty: none
	for _, update := range l.updates {
		controller := update.controller
		if update.status == statusDisconnected {
			controller = ""
		}
		last := current[update.proxy]
		if controller == last {
			continue
		}
		if last != "" {
			boundaries[update.proxy] = append(boundaries[update.proxy], update.atMs)
		}
		if controller != "" {
			boundaries[update.proxy] = append(boundaries[update.proxy], update.atMs)
		}
		current[update.proxy] = controller
	}
	return boundaries
}

// sessionAt returns the start of a proxy's session at a time, by the start and end times of its sessions, and whether
// the proxy was connected.
func sessionAt(boundaries []float64, atMs float64) (beganMs float64, connected bool) {
	i := sort.SearchFloat64s(boundaries, atMs)
	if i%2 == 0 {
		return 0, false
	}
	return boundaries[i-1], true
}

// span is an interval of time, without its end.
type span struct{ fromMs, toMs float64 }

// spanAt returns the start of the span that contains a time, and whether there is one.
func spanAt(spans []span, atMs float64) (beganMs float64, found bool) {
	for _, s := range spans {
		if atMs >= s.fromMs && atMs < s.toMs {
			return s.fromMs, true
		}
	}
	return 0, false
}

// listedSpans returns for each host the spans in which it is in a state on the endpoint lists.
func (l *EventLog) listedSpans(inState func(host Listed, listed bool) bool) map[string][]span {
	spans := map[string][]span{}
	for host := range l.knownHosts() {
		spans[host] = l.hostSpans(host, inState)
	}
	return spans
}

// knownHosts returns all hosts that were on a list or got a request. A host that was on no list counts as removed
// from the beginning.
func (l *EventLog) knownHosts() map[string]bool {
	hosts := map[string]bool{}
	for _, list := range l.lists {
		for host := range list.hosts {
			hosts[host] = true
		}
	}
	for host := range l.compacted.noTrafficSinceMs {
		hosts[host] = true
	}
	for _, r := range l.requests {
		hosts[r.host] = true
	}
	return hosts
}

// hostSpans returns the spans in which a host is in a state on the endpoint lists.
func (l *EventLog) hostSpans(host string, inState func(host Listed, listed bool) bool) []span {
	var spans []span
	wasInState := false
	for i, list := range l.lists {
		state, listed := list.hosts[host]
		isInState := inState(state, listed)
		if isInState && !wasInState {
			spans = append(spans, span{l.spanBegin(i, host), math.Inf(1)})
		}
		if !isInState && wasInState {
			spans[len(spans)-1].toMs = list.atMs
		}
		wasInState = isInState
	}
	return spans
}

// spanBegin returns the start of the state that a host has on a list and not on the one before. For the first list
// after a compaction it is that of the dropped lists.
func (l *EventLog) spanBegin(listIndex int, host string) float64 {
	list := l.lists[listIndex]
	if listIndex > 0 || l.compacted.noTrafficSinceMs == nil {
		return list.atMs
	}
	if sinceMs, known := l.compacted.noTrafficSinceMs[host]; known {
		return sinceMs
	}
	return l.compacted.firstListMs
}
