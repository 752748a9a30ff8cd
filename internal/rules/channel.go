package rules

import (
	"maps"
	"math"
)

const (
	// A controller that sends nothing for this many times the sending time of a message has an empty queue.
	pauseMultiple = 2
	minPauseMs    = 20 // below, a pause may be the scheduler's

	// An update by which a session begins is inside it only a little later.
	afterBoundaryMs = 0.001
)

// bursts are the entries that each controller sent without a pause, up to its last message.
type bursts struct {
	entries    map[string]float64 // by controller
	lastSentMs map[string]float64
}

// clone copies bursts, to be extended.
func (b bursts) clone() bursts {
	cloned := bursts{entries: map[string]float64{}, lastSentMs: map[string]float64{}}
	maps.Copy(cloned.entries, b.entries)
	maps.Copy(cloned.lastSentMs, b.lastSentMs)
	return cloned
}

// extend adds an update with entries to its controller's burst, or begins a new one after a pause.
func (b bursts) extend(figures Figures, update *proxyUpdate) {
	cost := float64(update.entries)
	if !update.continued {
		cost = float64(update.entries) + figures.Head + 1
	}
	pauseMs := pauseMultiple * cost / figures.LinesPerS * 1000
	if update.atMs-b.lastSentMs[update.controller] > math.Max(pauseMs, minPauseMs) {
		b.entries[update.controller] = 0
	}
	b.entries[update.controller] += cost
	b.lastSentMs[update.controller] = update.atMs
}

// burstsAfter returns the bursts that last after some updates.
func (j *Journal) burstsAfter(figures Figures, updates []proxyUpdate) bursts {
	after := j.compacted.bursts.clone()
	for i := range updates {
		if updates[i].entries > 0 {
			after.extend(figures, &updates[i])
		}
	}
	return after
}

// checkChannel checks the number of messages to each proxy, and the length of each controller's queue. A queue that
// empties at the channel's pace shows as a burst, so no more entries can have waited than the longest burst has. Where
// a burst has more than may wait, which a channel that is in use for long does without ever having many waiting, the
// controller's own figure counts, if there is one.
func (j *Journal) checkChannel(figures Figures) Verdict {
	worst := worstCase{seen: "nothing was sent"}
	sessions := j.sessions()
	sent := map[string][]float64{} // by proxy: times of the messages that count
	current := j.burstsAfter(figures, nil)
	for i := range j.updates {
		update := &j.updates[i]
		if update.entries == 0 {
			continue
		}
		current.extend(figures, update)
		j.observeQueue(figures, update.controller, current.entries[update.controller], &worst)
		if figures.MessagesMost == 0 || update.continued {
			continue
		}
		times := recentMessages(figures, append(sent[update.proxy], update.atMs), sessions[update.proxy])
		sent[update.proxy] = times
		worst.observe(float64(len(times))/float64(figures.MessagesMost),
			"%s got %d messages in %.0f s, %d are allowed", update.proxy, len(times), figures.MessagesOver/1000,
			figures.MessagesMost)
	}
	return newVerdict(ruleChannel, worst.size, worst.seen)
}

// observeQueue notes the entries that may have waited in a controller's queue during a burst.
func (j *Journal) observeQueue(figures Figures, controller string, burst float64, worst *worstCase) {
	used := burst / figures.MostWaiting
	waited, known := j.maxWaiting[controller]
	if !known || used <= 1 {
		worst.observe(used, "%.0f lines in one stretch, %.0f may wait", burst, figures.MostWaiting)
		return
	}
	worst.observe(waited/figures.MostWaiting,
		"%.0f lines waited by the steward's own word, %.0f may: in a stretch of %.0f it never paused", waited,
		figures.MostWaiting, burst)
}

// recentMessages returns of the times of a proxy's messages, the newest last, those that count at the last: within the
// time of the limit, and of the session that the proxy then is in.
func recentMessages(figures Figures, timesMs, sessions []float64) []float64 {
	nowMs := timesMs[len(timesMs)-1]
	sessionMs, connected := sessionAt(sessions, nowMs+afterBoundaryMs)
	for len(timesMs) > 0 && (timesMs[0] <= nowMs-figures.MessagesOver || connected && timesMs[0] < sessionMs) {
		timesMs = timesMs[1:]
	}
	return timesMs
}
