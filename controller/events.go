package controller

import (
	"slices"
	"sort"

	"barleysail/routing"
)

// Event is an action or observation of the controller that is recorded for operators.
type Event struct {
	Number int64   `json:"number"`
	AtMs   float64 `json:"at"`   // ms
	Kind   string  `json:"kind"` // one of the kinds below
	Text   string  `json:"text"`
}

// Kinds of events.
const (
	eventMode         = "mode"     // the mode has changed, as logged
	eventEndpoints    = "list"     // the endpoint list has changed, or could not be read
	eventOverride     = "operator" // an operator's command was applied, queued or rejected
	eventConnected    = "joined"   // a proxy was connected
	eventDisconnected = "left"     // a proxy was disconnected
	eventValidation   = "guard"    // the table validator has a finding, or an endpoint list is held back
	eventIngest       = "intake"   // reports are duplicated or not plausible
)

// maxEvents bounds the events that are retained.
const maxEvents = 1024

// eventLog holds the newest events, at most maxEvents.
type eventLog struct {
	lastNumber int64
	newest     []Event // by number
}

// recordEvent appends an event, and drops the oldest one if there are too many.
func (c *Controller) recordEvent(kind, text string) {
	log := &c.events
	log.lastNumber++
	if len(log.newest) == maxEvents {
		log.newest = append(log.newest[:0], log.newest[1:]...)
	}
	log.newest = append(log.newest, Event{log.lastNumber, c.nowMs, kind, text})
}

// NewestEvent returns the number of the newest event, 0 if there is none.
func (c *Controller) NewestEvent() int64 { return c.events.lastNumber }

// Events returns the retained events with a number greater than after, in the order of their numbers.
func (c *Controller) Events(after int64) []Event {
	newest := c.events.newest
	first := sort.Search(len(newest), func(i int) bool { return newest[i].Number > after })
	return slices.Clone(newest[first:])
}

// modeStatus is the last change of the controller's mode.
type modeStatus struct {
	text    string // text as it was logged; empty before the first change
	sinceMs float64
}

// logEvent logs an event of the balancer, with the names of its hosts.
func (c *Controller) logEvent(event routing.Event) {
	c.logMode(event.Text(func(host int) string { return c.hostIndex.Names[host] }))
}

// logMode records and logs a change of the mode.
func (c *Controller) logMode(text string) {
	c.mode = modeStatus{text, c.nowMs}
	c.recordEvent(eventMode, text)
	c.effects.Log(text)
}
