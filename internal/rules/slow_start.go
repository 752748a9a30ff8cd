package rules

import (
	"fmt"
	"math"
	"sort"
)

// checkSlowStarts compares the work of hosts in slow start with the load at which they collapse, over a sliding
// window of Figures.Fall. A window counts only if enough of its work came from proxies that could know of the start:
// they got an update after the start was on the endpoint list, or it had been on the list for the drain grace.
func (j *Journal) checkSlowStarts(figures Figures) Verdict {
	worst := worstCase{seen: "no host started"}
	for i, list := range j.lists {
		for host, state := range list.hosts {
			if !j.isNewStart(figures, i, host, state) {
				continue
			}
			used := j.slowStartLoad(figures, host, state.Started, list.atMs)
			if used >= worst.size { // also 0, which shows that a host started
				worst.size = used
				worst.seen = fmt.Sprintf("%s got %.2f of what it may get in %.0f ms", host, used, figures.Fall)
			}
		}
	}
	return newVerdict(ruleSlowStart, worst.size, worst.seen)
}

// isNewStart reports whether a list is the first with a start of a host whose slow start was not checked yet.
func (j *Journal) isNewStart(figures Figures, listIndex int, host string, state Listed) bool {
	if state.Started == 0 || state.Started+figures.Cold < j.compacted.atMs {
		return false
	}
	return listIndex == 0 || j.lists[listIndex-1].hosts[host].Started != state.Started
}

// slowStartLoad returns the largest fraction of its collapse load that a host got during its slow start.
func (j *Journal) slowStartLoad(figures Figures, host string, startMs, noticeMs float64) (maxPart float64) {
	requests := j.requestsDuring(host, startMs, startMs+figures.Cold)
	first := 0 // first request of the sliding window
	sum := 0.0
	informed := 0.0 // work in ms, of the sum, from proxies that could know of the start
	for i, r := range requests {
		sum += r.workMs
		if j.isInformed(figures, r, noticeMs) {
			informed += r.workMs
		}
		for first < i && requests[first].atMs <= r.atMs-figures.Fall {
			sum -= requests[first].workMs
			if j.isInformed(figures, requests[first], noticeMs) {
				informed -= requests[first].workMs
			}
			first++
		}
		warmth := figures.ColdFrom + (1-figures.ColdFrom)*math.Max(requests[first].atMs-startMs, 0)/figures.Cold
		limit := figures.Multiple * warmth * j.capacity[host] * figures.Fall
		if limit > 0 && isMostlyInformed(informed, sum) {
			maxPart = math.Max(maxPart, sum/limit)
		}
	}
	return maxPart
}

// isMostlyInformed reports whether at least two thirds of a load came from proxies that could know of the start.
func isMostlyInformed(informed, total float64) bool { return informed >= total*2/3 }

// requestsDuring returns the requests that a host received from fromMs until before toMs.
func (j *Journal) requestsDuring(host string, fromMs, toMs float64) []request {
	var during []request
	for _, r := range j.requests {
		if r.host == host && r.atMs >= fromMs && r.atMs < toMs {
			during = append(during, r)
		}
	}
	return during
}

// isInformed reports whether the proxy of a request could know of a start that was on the endpoint list since
// noticeMs.
func (j *Journal) isInformed(figures Figures, r request, noticeMs float64) bool {
	if r.atMs >= noticeMs+figures.Grace {
		return true
	}
	next := sort.Search(len(j.updates), func(i int) bool { return j.updates[i].atMs > r.atMs })
	for i := next - 1; i >= 0 && j.updates[i].atMs >= noticeMs; i-- {
		if j.updates[i].proxy == r.proxy && j.updates[i].status > statusDisconnected {
			return true
		}
	}
	return false
}
