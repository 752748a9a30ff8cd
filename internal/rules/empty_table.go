package rules

import (
	"slices"
	"sort"
)

// checkEmptyTables checks for how long connected proxies had no host for a class while a warm host was ready.
func (j *Journal) checkEmptyTables(figures Figures, endMs float64) Verdict {
	worst := worstCase{seen: "no joined proxy was ever without a line"}
	for proxy, updates := range j.updatesByProxy() {
		empty := emptyTables{journal: j, figures: figures, proxy: proxy, sinceMs: map[string]float64{}}
		for i := range updates {
			untilMs := endMs
			if i+1 < len(updates) {
				untilMs = updates[i+1].atMs
			}
			empty.observe(&updates[i], untilMs, &worst)
		}
	}
	return newVerdict(ruleEmptyTable, worst.size/figures.Bare, worst.seen)
}

func (j *Journal) updatesByProxy() map[string][]proxyUpdate {
	byProxy := map[string][]proxyUpdate{}
	for _, update := range j.updates {
		byProxy[update.proxy] = append(byProxy[update.proxy], update)
	}
	return byProxy
}

// emptyTables tracks the classes for which a proxy has no host.
type emptyTables struct {
	journal *Journal
	figures Figures
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
	if update.status == statusDisconnected || !e.journal.hasWarmHost(e.figures, update.atMs) {
		delete(e.sinceMs, class)
		return
	}
	if _, known := e.sinceMs[class]; !known {
		e.sinceMs[class] = update.atMs
	}
	lastMs := e.journal.warmHostUntil(e.figures, update.atMs, untilMs)
	lengthMs := lastMs - e.sinceMs[class]
	worst.observe(lengthMs, "%s had no line for %s for %.0f ms of %.0f", e.proxy, class, lengthMs,
		e.figures.Bare)
	if lastMs < untilMs {
		delete(e.sinceMs, class)
	}
}

// hasWarmHost reports whether a host is ready and past its slow start at a time.
func (j *Journal) hasWarmHost(figures Figures, atMs float64) bool {
	for _, host := range j.hostsAt(atMs) {
		if host.Ready && (host.Started == 0 || atMs >= host.Started+figures.Cold) {
			return true
		}
	}
	return false
}

// warmHostUntil returns the first time after fromMs at which no host is ready and past its slow start, but at most
// toMs. There must be such a host at fromMs.
func (j *Journal) warmHostUntil(figures Figures, fromMs, toMs float64) float64 {
	next := sort.Search(len(j.lists), func(i int) bool { return j.lists[i].atMs > fromMs })
	for _, list := range j.lists[next:] {
		if list.atMs >= toMs {
			break
		}
		if !j.hasWarmHost(figures, list.atMs) {
			return list.atMs
		}
	}
	return toMs
}
