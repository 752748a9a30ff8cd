package main

import "math"

// The time limits of the rules are slackMs longer on sockets, and begin no sooner than beginMs after the controller first
// answered.
const (
	slackMs = 300
	beginMs = 1000
)

// checkDrain checks the rule on drains at a send of a joined proxy.
func (w *world) checkDrain(p *proxy, h *host, atMs float64) {
	told, known := w.agent.told[h.id]
	if p.joinedMs == 0 || !known || told.Lifecycle == "Ready" {
		return
	}
	since := math.Max(math.Max(told.atMs, p.joinedMs), w.readyMs+beginMs)
	late := atMs - since - w.site.graceMs - slackMs
	w.latestSendMs = math.Max(w.latestSendMs, atMs-since)
	if late > 0 {
		w.breakRule("drain", "proxy %d sent to %s %.0f ms after the steward was told that it is %s; %.0f ms are allowed",
			p.number, h.id, atMs-since, told.Lifecycle, w.site.graceMs+slackMs)
	}
}

// checkBare checks the rule that a joined proxy has a host to pick for each class, while one is open, ready and warm.
func (w *world) checkBare(p *proxy) {
	at := nowMs()
	for class := range w.site.classes {
		ids, _ := w.lines(p, class)
		if p.joinedMs == 0 || at < w.readyMs+beginMs || len(ids) > 0 || !w.openAndWarm(p, class, at) {
			if p.bareMs[class] > 0 && len(ids) > 0 {
				w.record("bare no more proxy=%d class=%s after_ms=%.0f", p.number, w.site.classes[class].name, at-p.bareMs[class])
			}
			p.bareMs[class] = 0
			continue
		}
		if p.bareMs[class] == 0 {
			p.bareMs[class] = at
			w.record("bare proxy=%d class=%s", p.number, w.site.classes[class].name)
		}
		w.longestBareMs = math.Max(w.longestBareMs, at-p.bareMs[class])
		if at-p.bareMs[class] > w.site.bareMs+slackMs {
			w.breakRule("lost", "proxy %d of %s has had no line to pick for class %s for %.0f ms; %.0f ms are allowed",
				p.number, p.zone, w.site.classes[class].name, at-p.bareMs[class], w.site.bareMs+slackMs)
		}
	}
}

// openAndWarm reports whether the list that the steward was told shows a host that is ready, open to the class at this
// proxy, and no longer cold.
func (w *world) openAndWarm(p *proxy, class int, atMs float64) bool {
	for _, told := range w.agent.told {
		local := !w.site.classes[class].staysLocal || told.Zone == p.zone
		if told.Lifecycle == "Ready" && local && atMs >= told.StartedAtMs+w.site.coldMs {
			return true
		}
	}
	return false
}

// checkCold checks the rule on cold hosts: what a host was sent and took in within the window, against what it could
// do in that time. A tenth more is left for chance.
func (w *world) checkCold(h *host, atMs float64) {
	if h.startedMs == 0 || atMs < w.readyMs+beginMs || atMs >= h.startedMs+w.site.coldMs || h.fallen {
		return
	}
	from := math.Max(atMs-w.site.fallMs, h.startedMs)
	if atMs-from < w.site.fallMs {
		return // a whole window is needed
	}
	work, knowing := 0.0, 0.0
	kept := h.pushes[:0]
	for _, p := range h.pushes {
		if p.atMs >= from {
			work += p.workMs
			if p.knows {
				knowing += p.workMs
			}
			kept = append(kept, p)
		}
	}
	h.pushes = kept
	able := float64(w.site.cores) * w.site.speed * (w.fraction(h, from) + w.fraction(h, atMs)) / 2 * (atMs - from)
	w.highestPush = math.Max(w.highestPush, work/able)
	if work <= 1.1*w.site.fallMultiple*able {
		return
	}
	h.fallen = true
	if knowing < work*2/3 {
		w.record("%s fell, without the steward's knowledge of its start", h.id)
		return
	}
	w.breakRule("failback", "%s, started %.0f ms ago and listed %.0f ms ago, was sent %.1f times what it could do for %.0f ms, "+
		"%.0f%% of it in knowledge of its start; more than %.1f times for %.0f ms pushes it over", h.id, atMs-h.startedMs,
		atMs-w.agent.told[h.id].atMs, work/able, w.site.fallMs, 100*knowing/work, w.site.fallMultiple, w.site.fallMs)
}
