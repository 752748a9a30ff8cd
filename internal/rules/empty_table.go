package rules

import (
	"slices"
	"sort"
)

// checkEmptyTables checks for how long connected proxies had no host for a class while a warm host was ready.
func (l *EventLog) checkEmptyTables(limits Limits, endMs float64) Verdict {
	worst := worstCase{seen: "no joined proxy was ever without a line"}
	for proxy, updates := range l.updatesByProxy() {
		empty := emptyTables{log: l, limits: limits, proxy: proxy, sinceMs: map[string]float64{}}
		for i := range updates {
			untilMs := endMs
			if i+1 < len(updates) {
				untilMs = updates[i+1].atMs
			}
			empty.observe(&updates[i], untilMs, &worst)
		}
	}
	return newVerdict(ruleEmptyTable, worst.size/limits.EmptyTableMs, worst.seen)
}

func (l *EventLog) updatesByProxy() map[string][]proxyUpdate {
	byProxy := map[string][]proxyUpdate{}
	for _, update := range l.updates {
		byProxy[update.proxy] = append(byProxy[update.proxy], update)
	}
	return byProxy
}

// emptyTables tracks the classes for which a proxy has no host.
type emptyTables struct {
	log     *EventLog
	limits  Limits
	proxy   string
	sinceMs map[string]float64 // by class without a host
}

// observe applies an update that is in force until untilMs.
func (e *emptyTables) observe(update *proxyUpdate, untilMs float64, worst *worstCase) {
	for class := range e.sinceMs {
		if !slices.Contains(update.emptyClasses, class) {
			delete(e.sinceMs, class)
		}
	}
	for _, class := range update.emptyClasses {
		e.observeClass(class, update, untilMs, worst)
	}
}

// observeClass records that a class has no host from an update until untilMs.
func (e *emptyTables) observeClass(class string, update *proxyUpdate, untilMs float64, worst *worstCase) {
	if update.status == statusDisconnected || !e.log.hasWarmHost(e.limits, update.atMs) {
		delete(e.sinceMs, class)
		return
	}
	if _, known := e.sinceMs[class]; !known {
		e.sinceMs[class] = update.atMs
	}
	lastMs := e.log.warmHostUntil(e.limits, update.atMs, untilMs)
	lengthMs := lastMs - e.sinceMs[class]
	worst.observe(lengthMs, "%s had no line for %s for %.0f ms of %.0f", e.proxy, class, lengthMs,
		e.limits.EmptyTableMs)
	if lastMs < untilMs {
		delete(e.sinceMs, class)
	}
}

// hasWarmHost reports whether a host is ready and past its slow start at a time.
func (l *EventLog) hasWarmHost(limits Limits, atMs float64) bool {
	for _, host := range l.hostsAt(atMs) {
		if host.Ready && (host.Started == 0 || atMs >= host.Started+limits.SlowStartMs) {
			return true
		}
	}
	return false
}

// warmHostUntil returns the first time after fromMs at which no host is ready and past its slow start, but at most
// toMs. There must be such a host at fromMs.
func (l *EventLog) warmHostUntil(limits Limits, fromMs, toMs float64) float64 {
	next := sort.Search(len(l.lists), func(i int) bool { return l.lists[i].atMs > fromMs })
	for _, list := range l.lists[next:] {
		if list.atMs >= toMs {
			break
		}
		if !l.hasWarmHost(limits, list.atMs) {
			return list.atMs
		}
	}
	return toMs
}
