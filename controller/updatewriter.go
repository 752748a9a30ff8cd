package controller

import (
	"math"

	"barleysail/routing"
)

// updateWriter writes the decisions of the balancer in a round to the state of a Controller.
type updateWriter struct{ *Controller }

var _ routing.UpdateWriter = updateWriter{}

// SetWeight sets the weight of a host in a table; a weight of 0 or less removes the host from it.
func (w updateWriter) SetWeight(number, host int, weight float64) {
	table := w.tables.markChanged(number)
	table.entries = nil
	if w.isShared(number) {
		w.recordWeightChange(host, table.weights[host], weight)
		table.setDecided(host, roundWeight(math.Max(weight, 0)))
	}
	if weight > 0 {
		table.weights[host] = roundWeight(weight)
	} else {
		delete(table.weights, host)
		table.hasRemoval = true
	}
}

// AssignTable assigns a table to a proxy for the classes of a mask.
func (w updateWriter) AssignTable(proxy, number, classes int) {
	session := w.sessions.byIndex[proxy]
	if session == nil {
		return
	}
	w.tables.table(number) // creates the table if it does not exist yet
	w.tables.reassigned[session] = true
	for class := range session.tableByClass {
		if classInMask(classes, class) {
			session.tableByClass[class] = number
		}
	}
}

// SetAdmission sets the admission ratio and the retry policy of the classes of a mask, in one table or in all.
func (w updateWriter) SetAdmission(number, classes int, admissionRatio float64, retryPolicy int) {
	policies := w.tables.globalPolicies
	if number == routing.AllTables {
		w.tables.globalPolicyChanges++
		for _, table := range w.tables.byNumber {
			table.tableSet = nil
		}
	} else {
		policies = w.tables.markChanged(number).policies
	}
	for class := range policies {
		if classInMask(classes, class) {
			policies[class] = classPolicy{roundWeight(admissionRatio), retryPolicy, true}
		}
	}
}

// StampVersion sets the version stamp of the messages of the round, which the proxies acknowledge.
func (w updateWriter) StampVersion(number int) { w.tables.stamp = number }

// CheckHealth requests a health check of a host.
func (w updateWriter) CheckHealth(host int) { w.effects.CheckHealth(w.hostIndex.Names[host]) }

// ScheduleRound plans the next round. While rounds are late, the pacer lengthens the time until the next round.
func (w updateWriter) ScheduleRound(atMs float64) {
	w.scheduler.plannedMs = w.nowMs + (atMs-w.nowMs)*w.ingest.pacer.IntervalFactor()
}

// WatchEndpoints requests the endpoint list and a watch of its changes.
func (w updateWriter) WatchEndpoints() { w.effects.WatchEndpoints() }

// Log logs an event of the balancer.
func (w updateWriter) Log(event routing.Event) { w.logEvent(event) }

// enqueueUpdates queues the changes of the current round in the control channel, in one message for each affected
// proxy.
func (c *Controller) enqueueUpdates() {
	if !c.tables.hasChanges() {
		c.tables.stamp = noStamp
		return
	}
	for _, session := range c.sessions.byIndex {
		if session == nil {
			continue
		}
		entries, hasRemoval := c.updateSize(session)
		if entries > 0 {
			c.channel.enqueue(session, entries+stampEntries, hasRemoval, c.tables.stamp)
		}
	}
	c.tables.clearChanges()
}

// updateSize returns the number of entries that the current round has changed for a proxy, and whether a host was
// removed. If a table was assigned to the proxy, the number is that of all entries of its tables, plus the assignment
// of each table and its policy for each class.
func (c *Controller) updateSize(session *proxySession) (entries float64, hasRemoval bool) {
	entries = c.tables.globalPolicyChanges
	if c.tables.reassigned[session] {
		for _, number := range distinctTables(session.tableByClass) {
			entries += assignmentEntries + c.tables.byNumber[number].publishedSize() + float64(len(c.classes))
		}
		return entries, false
	}
	if len(c.tables.changed) == 0 {
		return entries, false
	}
	for _, number := range distinctTables(session.tableByClass) {
		table := c.tables.byNumber[number]
		if table != nil && table.changedRound == c.tables.round {
			entries += table.changedEntries
			hasRemoval = hasRemoval || table.hasRemoval
		}
	}
	return entries, hasRemoval
}
