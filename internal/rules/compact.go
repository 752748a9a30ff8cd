package rules

import (
	"math"
	"slices"
	"sort"
)

const compactionSlackMs = 1000 // kept in addition to the time that the checks look back

// compactedLog summarizes the dropped part of a log.
type compactedLog struct {
	verdicts    []Verdict
	atMs        float64 // of the last compaction
	afterNotice int     // requests that hosts got while they were draining or removed

	firstListMs      float64            // time of the first list
	noTrafficSinceMs map[string]float64 // by host draining or removed on the first list left; nil: none dropped
	bursts           bursts
}

// Compact checks the invariants over the events logged so far and drops the events that no later check needs, so that a
// long log fits into memory: it keeps the longest time that a check looks back. Since a request may be executed again
// after any time, duplicates across calls of Compact are not found. The limits must be those of the last Check, and no
// event with a time before nowMs may be logged later.
func (l *EventLog) Compact(limits Limits, nowMs float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.compacted.verdicts, l.compacted.afterNotice = l.check(limits, nowMs)
	lookBackMs := max(limits.EmptyTableMs, limits.DrainGraceMs, limits.SlowStartMs, limits.MessageWindowMs)
	cutMs := nowMs - lookBackMs - limits.CollapseMs - compactionSlackMs
	emptySinceMs := l.compactUpdates(limits, cutMs)
	l.compactLists(math.Min(cutMs, emptySinceMs))
	firstKept := sort.Search(len(l.requests), func(i int) bool { return l.requests[i].atMs >= cutMs })
	l.requests = slices.Clone(l.requests[firstKept:])
	l.compacted.atMs = nowMs
}

// compactLists drops the lists before the one in force at cutMs. It keeps the times since which hosts were draining
// or removed then.
func (l *EventLog) compactLists(cutMs float64) {
	inForce := sort.Search(len(l.lists), func(i int) bool { return l.lists[i].atMs > cutMs }) - 1
	if inForce <= 0 {
		return
	}
	sinceMs := map[string]float64{}
	for host, spans := range l.listedSpans(isDrainingOrRemoved) {
		if beganMs, found := spanAt(spans, l.lists[inForce].atMs); found {
			sinceMs[host] = beganMs
		}
	}
	if l.compacted.noTrafficSinceMs == nil {
		l.compacted.firstListMs = l.lists[0].atMs
	}
	l.compacted.noTrafficSinceMs = sinceMs
	l.lists = slices.Clone(l.lists[inForce:])
}

const noUpdate = -1 // replaces the index of an update where there is none

// proxyHistory holds the indices of a proxy's updates that later checks need.
type proxyHistory struct {
	controller string
	connected  int // the update with which the current session began, or noUpdate
	emptySince int // the first update since which some class has no host, or noUpdate
	last       int
}

// observe applies the next update.
func (h *proxyHistory) observe(index int, update *proxyUpdate) {
	h.last = index
	switch {
	case update.status == statusDisconnected:
		h.controller = ""
		h.connected = noUpdate
	case h.controller != update.controller:
		h.controller = update.controller
		h.connected = index
	}
	if update.status == statusDisconnected || len(update.emptyClasses) == 0 {
		h.emptySince = noUpdate
	} else if h.emptySince == noUpdate {
		h.emptySince = index
	}
}

// inEmptyStretch reports whether an update is in the current time without a host for some class.
func (h *proxyHistory) inEmptyStretch(index int) bool {
	return h.emptySince != noUpdate && index >= h.emptySince
}

// proxyHistories returns the histories of all proxies after the given updates.
func proxyHistories(updates []proxyUpdate) map[string]*proxyHistory {
	histories := map[string]*proxyHistory{}
	for i := range updates {
		history := histories[updates[i].proxy]
		if history == nil {
			history = &proxyHistory{connected: noUpdate, emptySince: noUpdate}
			histories[updates[i].proxy] = history
		}
		history.observe(i, &updates[i])
	}
	return histories
}

// compactUpdates drops the updates before cutMs, except each proxy's last one, the one with which its session began,
// and those since which some class has had no host. It returns the earliest time since which a class has had no host,
// or infinity if there is none.
func (l *EventLog) compactUpdates(limits Limits, cutMs float64) (emptySinceMs float64) {
	emptySinceMs = math.Inf(1)
	cut := sort.Search(len(l.updates), func(i int) bool { return l.updates[i].atMs >= cutMs })
	before := l.updates[:cut]
	histories := proxyHistories(before)
	var kept []proxyUpdate
	for i, update := range before {
		history := histories[update.proxy]
		inStretch := history.inEmptyStretch(i)
		if !inStretch && i != history.last && i != history.connected {
			continue
		}
		if inStretch {
			emptySinceMs = math.Min(emptySinceMs, update.atMs)
		} else {
			update.emptyClasses = nil
		}
		update.entries = 0 // already counted in bursts and in messages
		kept = append(kept, update)
	}
	l.compacted.bursts = l.burstsAfter(limits, before)
	l.updates = append(kept, l.updates[cut:]...)
	return emptySinceMs
}
