package rules

import (
	"maps"
	"math"
)

const (
	msPerSecond = 1000

	// pauseMultiple is the multiple of a message's sending time after which a controller that sent nothing has an
	// empty queue.
	pauseMultiple = 2
	minPauseMs    = 20 // a shorter pause may be a delay by the operating system's scheduler

	// afterBoundaryMs is added to the time of an update with which a session begins, since the session does not
	// include the instant of its start.
	afterBoundaryMs = 0.001
)

// bursts holds the entries that each controller sent without a pause, up to its last message.
type bursts struct {
	entries    map[string]float64 // by controller
	lastSentMs map[string]float64
}

// clone returns a copy.
func (b bursts) clone() bursts {
	cloned := bursts{entries: map[string]float64{}, lastSentMs: map[string]float64{}}
	maps.Copy(cloned.entries, b.entries)
	maps.Copy(cloned.lastSentMs, b.lastSentMs)
	return cloned
}

// extend adds an update with entries to its controller's burst, or begins a new burst after a pause.
func (b bursts) extend(limits Limits, update *proxyUpdate) {
	cost := float64(update.entries)
	if !update.continued {
		cost = float64(update.entries) + limits.MessageOverhead + 1
	}
	pauseMs := pauseMultiple * cost / limits.EntriesPerSecond * msPerSecond
	if update.atMs-b.lastSentMs[update.controller] > math.Max(pauseMs, minPauseMs) {
		b.entries[update.controller] = 0
	}
	b.entries[update.controller] += cost
	b.lastSentMs[update.controller] = update.atMs
}

// burstsAfter returns the bursts after the given updates.
func (l *EventLog) burstsAfter(limits Limits, updates []proxyUpdate) bursts {
	after := l.compacted.bursts.clone()
	for i := range updates {
		if updates[i].entries > 0 {
			after.extend(limits, &updates[i])
		}
	}
	return after
}

// checkChannel checks the number of messages to each proxy, and the length of each controller's queue. A queue that
// empties at the channel's throughput shows as a burst, so the queue was never longer than the longest burst. A
// channel in constant use has a long burst even with a short queue; where a burst exceeds the limit, the controller's
// own figure is checked instead, if there is one.
func (l *EventLog) checkChannel(limits Limits) Verdict {
	worst := worstCase{seen: "nothing was sent"}
	sessions := l.sessions()
	sent := map[string][]float64{} // by proxy: times of the messages that count
	current := l.burstsAfter(limits, nil)
	for i := range l.updates {
		update := &l.updates[i]
		if update.entries == 0 {
			continue
		}
		current.extend(limits, update)
		l.observeQueue(limits, update.controller, current.entries[update.controller], &worst)
		if limits.MaxMessages == 0 || update.continued {
			continue
		}
		times := recentMessages(limits, append(sent[update.proxy], update.atMs), sessions[update.proxy])
		sent[update.proxy] = times
		worst.observe(float64(len(times))/float64(limits.MaxMessages),
			"%s got %d messages in %.0f s, %d are allowed", update.proxy, len(times), limits.MessageWindowMs/msPerSecond,
			limits.MaxMessages)
	}
	return newVerdict(ruleChannel, worst.size, worst.seen)
}

// observeQueue records the entries that may have been queued at a controller during a burst.
func (l *EventLog) observeQueue(limits Limits, controller string, burst float64, worst *worstCase) {
	used := burst / limits.MaxBacklog
	waited, known := l.maxWaiting[controller]
	if !known || used <= 1 {
		worst.observe(used, "%.0f lines in one stretch, %.0f may wait", burst, limits.MaxBacklog)
		return
	}
	worst.observe(waited/limits.MaxBacklog,
		"%.0f lines waited by the steward's own word, %.0f may: in a stretch of %.0f it never paused", waited,
		limits.MaxBacklog, burst)
}

// recentMessages returns the times of a proxy's messages that count against the limit at its newest message: those
// within the window of the limit and in the proxy's session at that time. timesMs is sorted by time.
func recentMessages(limits Limits, timesMs, sessions []float64) []float64 {
	nowMs := timesMs[len(timesMs)-1]
	sessionMs, connected := sessionAt(sessions, nowMs+afterBoundaryMs)
	for len(timesMs) > 0 && (timesMs[0] <= nowMs-limits.MessageWindowMs || connected && timesMs[0] < sessionMs) {
		timesMs = timesMs[1:]
	}
	return timesMs
}
