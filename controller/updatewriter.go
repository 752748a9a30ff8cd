package controller

import (
	"math"

	"barleysail/routing"
)

// updateWriter takes the decisions of a round for a Steward.
type updateWriter struct{ *Controller }

var _ routing.UpdateWriter = updateWriter{}

func (w updateWriter) SetWeight(number, host int, weight float64) {
	b := w.tables.markChanged(number)
	if number <= len(w.deployment.Zones) {
		w.recordWeightChange(host, b.weights[host], weight)
		b.setDecided(host, round6(math.Max(weight, 0)))
	}
	if b.entries = nil; weight > 0 {
		b.weights[host] = round6(weight)
	} else {
		delete(b.weights, host)
		b.hasRemoval = true
	}
}

func (w updateWriter) AssignTable(proxy, number, classes int) {
	m := w.sessions.byIndex[proxy]
	if m == nil {
		return
	}
	w.tables.table(number)
	w.tables.reassigned[m] = true
	for k := range m.tableByClass {
		if classes == 0 || classes&(1<<k) != 0 {
			m.tableByClass[k] = number
		}
	}
}

func (w updateWriter) SetAdmission(number, classes int, share float64, tries int) {
	levels := w.tables.globalPolicies
	if number == routing.AllTables {
		w.tables.globalPolicyChanges++
		for _, b := range w.tables.byNumber {
			b.tableSet = nil
		}
	} else {
		levels = w.tables.markChanged(number).policies
	}
	for k := range levels {
		if classes == 0 || classes&(1<<k) != 0 {
			levels[k] = classPolicy{round6(share), tries, true}
		}
	}
}

func (w updateWriter) StampVersion(number int) { w.tables.stamp = number }

func (w updateWriter) CheckHealth(host int) { w.effects.CheckHealth(w.hostIndex.Names[host]) }

func (w updateWriter) ScheduleRound(at float64) {
	w.Controller.scheduler.plannedMs = w.nowMs + (at-w.nowMs)*w.ingest.pacer.IntervalFactor()
}

func (w updateWriter) WatchEndpoints() { w.effects.WatchEndpoints() }

func (w updateWriter) Log(event routing.Event) { w.logEvent(event) }

// enqueueUpdates puts what the round has ordered into the channel, a message for each proxy concerned.
func (s *Controller) enqueueUpdates() {
	t := &s.tables
	if len(t.changed) == 0 && len(t.reassigned) == 0 && t.globalPolicyChanges == 0 {
		t.stamp = 0
		return
	}
	k := versionStamp{t.round, t.stamp}
	for _, m := range s.sessions.byIndex {
		if m == nil {
			continue
		}
		lines, removal := t.globalPolicyChanges, false
		if t.reassigned[m] {
			for _, number := range distinctTables(m.tableByClass) {
				lines += 1 + t.byNumber[number].publishedSize() + float64(len(s.classes))
			}
		} else if len(t.changed) > 0 {
			for _, number := range distinctTables(m.tableByClass) {
				if b := t.byNumber[number]; b != nil && b.changedRound == t.round {
					lines, removal = lines+b.changedEntries, removal || b.hasRemoval
				}
			}
		}
		if lines > 0 {
			s.channel.enqueue(m, lines+1, removal, k)
		}
	}
	clear(t.reassigned)
	t.changed, t.globalPolicyChanges, t.stamp = t.changed[:0], 0, 0
}
