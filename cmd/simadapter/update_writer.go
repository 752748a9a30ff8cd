package main

import (
	"math"

	"barleysail/routing"
)

const roundAlarm = 1 // handle of the alarm for an instance's next round

// controllerInstance is the routing.UpdateWriter of its balancer: it writes each update with the instance's number and
// with host names in place of indices.
var _ routing.UpdateWriter = (*controllerInstance)(nil)

// SetWeight writes the weight of a host in a table.
func (c *controllerInstance) SetWeight(table, host int, weight float64) {
	c.writer.Weigh(c.number, table, c.balancer.HostName(host), weight)
}

// AssignTable writes that a proxy uses a table for the request classes of a bit mask.
func (c *controllerInstance) AssignTable(proxy, table, classes int) {
	c.writer.AttachTable(c.number, proxy, table, classes)
}

// SetAdmission writes the admission quota and the retry policy of the request classes of a bit mask.
func (c *controllerInstance) SetAdmission(table, classes int, quota float64, retryPolicy int) {
	c.writer.Throttle(c.number, table, classes, quota, retryPolicy)
}

// StampVersion writes the version that proxies acknowledge for the updates before it.
func (c *controllerInstance) StampVersion(version int) { c.writer.Seal(c.number, version) }

// CheckHealth writes a request for a health check.
func (c *controllerInstance) CheckHealth(host int) {
	c.writer.Probe(c.number, c.balancer.HostName(host))
}

// ScheduleRound writes a request for an alarm at a simulated time in ms, rounded up to the simulator's microseconds.
func (c *controllerInstance) ScheduleRound(atMs float64) {
	c.writer.After(c.number, int64(math.Ceil(atMs*microsecondsPerMs)), roundAlarm)
}

// WatchEndpoints writes a request for the endpoint list and its changes.
func (c *controllerInstance) WatchEndpoints() { c.writer.Subscribe(c.number) }

// Log writes an event of the balancer as a remark, with host indices in place of names.
func (c *controllerInstance) Log(event routing.Event) {
	c.writer.Remark(c.number, event.Text(routing.FormatHostIndex))
}
