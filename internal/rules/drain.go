package rules

import (
	"fmt"
	"math"
	"sort"
)

// checkDrains checks how long after the list says that a host is draining or removed connected proxies still send to
// it. It also counts these requests.
func (j *Journal) checkDrains(figures Figures) (verdict Verdict, afterNotice int) {
	sessions := j.sessions()
	noTraffic := j.listedSpans(isDrainingOrRemoved)
	afterNotice = j.compacted.afterNotice
	var worst worstCase
	for _, r := range j.requests {
		noticeMs, draining := spanAt(noTraffic[r.host], r.atMs)
		sessionMs, connected := sessionAt(sessions[r.proxy], r.atMs)
		if !draining || !connected {
			continue
		}
		if r.atMs >= j.compacted.atMs {
			afterNotice++
		}
		lateMs := r.atMs - math.Max(noticeMs, sessionMs)
		worst.observe(lateMs, "; the last by %s at %s, %.0f ms of %.0f", r.proxy, r.host, lateMs,
			figures.Grace)
	}
	seen := fmt.Sprintf("%d transactions after the word%s", afterNotice, worst.seen)
	return newVerdict(ruleDrain, worst.size/figures.Grace, seen), afterNotice
}

// isDrainingOrRemoved tells whether the list says that a host should get no request.
func isDrainingOrRemoved(host Listed, listed bool) bool { return !listed || !host.Ready }

// sessions returns for each proxy the times at which its sessions with a controller began and ended, in turn.
func (j *Journal) sessions() map[string][]float64 {
	boundaries := map[string][]float64{}
	current := map[string]string{} // by proxy: the controller; empty: none
	for _, update := range j.updates {
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

// sessionAt returns when the session began in which a proxy is at a time, by its sessions' boundaries.
func sessionAt(boundaries []float64, atMs float64) (beganMs float64, connected bool) {
	i := sort.SearchFloat64s(boundaries, atMs)
	if i%2 == 0 {
		return 0, false
	}
	return boundaries[i-1], true
}

// span is a stretch of time; the end does not belong to it.
type span struct{ fromMs, toMs float64 }

// spanAt returns when the span began that holds a time.
func spanAt(spans []span, atMs float64) (beganMs float64, found bool) {
	for _, s := range spans {
		if atMs >= s.fromMs && atMs < s.toMs {
			return s.fromMs, true
		}
	}
	return 0, false
}

// listedSpans returns for each host the spans in which the lists have it in a state.
func (j *Journal) listedSpans(inState func(host Listed, listed bool) bool) map[string][]span {
	spans := map[string][]span{}
	for host := range j.knownHosts() {
		spans[host] = j.hostSpans(host, inState)
	}
	return spans
}

// knownHosts are all hosts of a list, and those that got a request: one that no list has counts as removed from the
// beginning.
func (j *Journal) knownHosts() map[string]bool {
	hosts := map[string]bool{}
	for _, list := range j.lists {
		for host := range list.hosts {
			hosts[host] = true
		}
	}
	for host := range j.compacted.noTrafficSinceMs {
		hosts[host] = true
	}
	for _, r := range j.requests {
		hosts[r.host] = true
	}
	return hosts
}

func (j *Journal) hostSpans(host string, inState func(host Listed, listed bool) bool) []span {
	var spans []span
	wasInState := false
	for i, list := range j.lists {
		state, listed := list.hosts[host]
		isInState := inState(state, listed)
		if isInState && !wasInState {
			spans = append(spans, span{j.spanBegin(i, host), math.Inf(1)})
		}
		if !isInState && wasInState {
			spans[len(spans)-1].toMs = list.atMs
		}
		wasInState = isInState
	}
	return spans
}

// spanBegin returns when a state began that a host has from a list on. For the first list after a compaction that is
// what the dropped lists said.
func (j *Journal) spanBegin(listIndex int, host string) float64 {
	list := j.lists[listIndex]
	if listIndex > 0 || j.compacted.noTrafficSinceMs == nil {
		return list.atMs
	}
	if sinceMs, known := j.compacted.noTrafficSinceMs[host]; known {
		return sinceMs
	}
	return j.compacted.firstListMs
}
