package rules

import (
	"math"
	"slices"
	"sort"
)

const compactionSlackMs = 1000 // kept beyond what the checks look back over

// compactedLog is what is left of the parts of a log that were dropped.
type compactedLog struct {
	verdicts    []Verdict
	atMs        float64 // of the last compaction
	afterNotice int     // requests that came to hosts that were draining or removed

	firstListMs      float64            // of the first list ever
	noTrafficSinceMs map[string]float64 // by host that was draining or removed by the first list left; nil: none dropped
	bursts           bursts
}

// Fold checks the invariants over what was logged up to now and drops what no later check needs, so that a log of any
// length fits into memory: what is left is the longest stretch that a check looks back over. It is for logs whose
// duplicates are found elsewhere, since a request may be executed again after any time. The figures must be those of
// the last Check, and nothing may be logged later with a time before now.
func (j *Journal) Fold(figures Figures, nowMs float64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.compacted.verdicts, j.compacted.afterNotice = j.check(figures, nowMs)
	lookBackMs := max(figures.Bare, figures.Grace, figures.Cold, figures.MessagesOver)
	cutMs := nowMs - lookBackMs - figures.Fall - compactionSlackMs
	emptySinceMs := j.compactUpdates(figures, cutMs)
	j.compactLists(math.Min(cutMs, emptySinceMs))
	firstKept := sort.Search(len(j.requests), func(i int) bool { return j.requests[i].atMs >= cutMs })
	j.requests = slices.Clone(j.requests[firstKept:])
	j.compacted.atMs = nowMs
}

// compactLists keeps the list in force at a time and all after it, and since when each host was draining or removed by
// then.
func (j *Journal) compactLists(cutMs float64) {
	inForce := sort.Search(len(j.lists), func(i int) bool { return j.lists[i].atMs > cutMs }) - 1
	if inForce <= 0 {
		return
	}
	sinceMs := map[string]float64{}
	for host, spans := range j.listedSpans(isDrainingOrRemoved) {
		if beganMs, found := spanAt(spans, j.lists[inForce].atMs); found {
			sinceMs[host] = beganMs
		}
	}
	if j.compacted.noTrafficSinceMs == nil {
		j.compacted.firstListMs = j.lists[0].atMs
	}
	j.compacted.noTrafficSinceMs = sinceMs
	j.lists = slices.Clone(j.lists[inForce:])
}

const noUpdate = -1 // in place of an index of an update

// proxyHistory are the updates of a proxy, by index, that later checks need.
type proxyHistory struct {
	controller string
	connected  int // by which the present session began, or noUpdate
	emptySince int // the first of those without a host for a class, or noUpdate
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

// inEmptyStretch tells whether an update belongs to the present stretch without a host for a class.
func (h *proxyHistory) inEmptyStretch(index int) bool {
	return h.emptySince != noUpdate && index >= h.emptySince
}

// proxyHistories returns the histories of all proxies after some updates.
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

// compactUpdates keeps the updates from a time on, and of those before it each proxy's last one, the one by which its
// session began, and those of a stretch without a host for a class that lasts. It returns when the first of these
// stretches began, infinity where there is none.
func (j *Journal) compactUpdates(figures Figures, cutMs float64) (emptySinceMs float64) {
	emptySinceMs = math.Inf(1)
	cut := sort.Search(len(j.updates), func(i int) bool { return j.updates[i].atMs >= cutMs })
	before := j.updates[:cut]
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
		update.entries = 0 // they are counted, in bursts and in messages
		kept = append(kept, update)
	}
	j.compacted.bursts = j.burstsAfter(figures, before)
	j.updates = append(kept, j.updates[cut:]...)
	return emptySinceMs
}
