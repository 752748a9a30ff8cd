package rules

import (
	"fmt"
	"math"
	"sort"
)

// checkSlowStarts compares the work of hosts in slow start with the load at which they collapse, over a sliding window
// of Limits.CollapseMs. A window counts only if enough of its work came from proxies that could know of the start: they
// got an update after the start was on the endpoint list, or it had been on the list for the drain grace.
func (l *EventLog) checkSlowStarts(limits Limits) Verdict {
	worst := worstCase{seen: "no host started"}
	for i, list := range l.lists {
		for host, state := range list.hosts {
			if !l.isNewStart(limits, i, host, state) {
				continue
			}
			used := l.slowStartLoad(limits, host, state.Started, list.atMs)
			if used >= worst.size { // also 0, which shows that a host started
				worst.size = used
				worst.seen = fmt.Sprintf("%s got %.2f of what it may get in %.0f ms",
					host, used, limits.CollapseMs)
			}
		}
	}
	return newVerdict(ruleSlowStart, worst.size, worst.seen)
}

// isNewStart reports whether a list is the first with a start of a host whose slow start was not checked yet.
func (l *EventLog) isNewStart(limits Limits, listIndex int, host string, state Listed) bool {
	if state.Started == 0 || state.Started+limits.SlowStartMs < l.compacted.atMs {
		return false
	}
	return listIndex == 0 || l.lists[listIndex-1].hosts[host].Started != state.Started
}

// slowStartLoad returns the largest fraction of its collapse load that a host got during its slow start.
func (l *EventLog) slowStartLoad(limits Limits, host string, startMs, noticeMs float64) (maxFraction float64) {
	requests := l.requestsDuring(host, startMs, startMs+limits.SlowStartMs)
	first := 0 // first request of the sliding window
	sum := 0.0
	informed := 0.0 // work in ms, of the sum, from proxies that could know of the start
	for i, r := range requests {
		sum += r.workMs
		if l.isInformed(limits, r, noticeMs) {
			informed += r.workMs
		}
		for first < i && requests[first].atMs <= r.atMs-limits.CollapseMs {
			sum -= requests[first].workMs
			if l.isInformed(limits, requests[first], noticeMs) {
				informed -= requests[first].workMs
			}
			first++
		}
		sinceStartMs := math.Max(requests[first].atMs-startMs, 0)
		slowStartFactor := limits.SlowStartInitialFactor + (1-limits.SlowStartInitialFactor)*sinceStartMs/limits.SlowStartMs
		limit := limits.CollapseMultiple * slowStartFactor * l.capacity[host] * limits.CollapseMs
		if limit > 0 && isMostlyInformed(informed, sum) {
			maxFraction = math.Max(maxFraction, sum/limit)
		}
	}
	return maxFraction
}

// isMostlyInformed reports whether at least two thirds of a load came from proxies that could know of the start.
func isMostlyInformed(informed, total float64) bool { return informed >= total*2/3 }

// requestsDuring returns the requests that a host received from fromMs until before toMs.
func (l *EventLog) requestsDuring(host string, fromMs, toMs float64) []request {
	var during []request
	for _, r := range l.requests {
		if r.host == host && r.atMs >= fromMs && r.atMs < toMs {
			during = append(during, r)
		}
	}
	return during
}

// isInformed reports whether the proxy of a request could know of a start that was on the endpoint list since
// noticeMs.
func (l *EventLog) isInformed(limits Limits, r request, noticeMs float64) bool {
	if r.atMs >= noticeMs+limits.DrainGraceMs {
		return true
	}
	next := sort.Search(len(l.updates), func(i int) bool { return l.updates[i].atMs > r.atMs })
	for i := next - 1; i >= 0 && l.updates[i].atMs >= noticeMs; i-- {
		if l.updates[i].proxy == r.proxy && l.updates[i].status > statusDisconnected {
			return true
		}
	}
	return false
}
