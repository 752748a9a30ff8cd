package controller

import (
	"slices"
	"sort"

	"barleysail/routing"
)

// Event is something that the controller did or observed and that an operator may want to know.
type Event struct {
	Number int64   `json:"number"`
	At     float64 `json:"at"`   // ms
	Kind   string  `json:"kind"` // one of the kinds below
	Text   string  `json:"text"`
}

// Kinds of events.
const (
	eventMode         = "mode"     // the mode has changed, as logged
	eventEndpoints    = "list"     // the endpoint list has changed, or could not be had
	eventOverride     = "operator" // an operator's command was applied, queued or rejected
	eventConnected    = "joined"   // a proxy was connected
	eventDisconnected = "left"     // a proxy was disconnected
	eventValidation   = "guard"    // the table validator has a finding, or an endpoint list is held back
	eventIngest       = "intake"   // reports are duplicated or not plausible
)

// maxEvents bounds the events that are retained.
const maxEvents = 1024

// eventLog holds the newest events.
type eventLog struct {
	lastNumber int64
	newest     []Event // by number
}

func (c *Controller) recordEvent(kind, text string) {
	log := &c.events
	log.lastNumber++
	if len(log.newest) == maxEvents {
		log.newest = append(log.newest[:0], log.newest[1:]...)
	}
	log.newest = append(log.newest, Event{log.lastNumber, c.nowMs, kind, text})
}

// NewestEvent is the number of the newest event, 0 where there is none.
func (c *Controller) NewestEvent() int64 { return c.events.lastNumber }

// Events gives the events after a number, as far as they are retained.
func (c *Controller) Events(after int64) []Event {
	newest := c.events.newest
	first := sort.Search(len(newest), func(i int) bool { return newest[i].Number > after })
	return slices.Clone(newest[first:])
}

// modeStatus is the last change of the controller's mode.
type modeStatus struct {
	text    string // as logged, empty before the first change
	sinceMs float64
}

// logEvent logs an event of the balancer, with the names of hosts.
func (c *Controller) logEvent(event routing.Event) {
	c.logMode(event.Text(func(host int) string { return c.hostIndex.Names[host] }))
}

// logMode notes a change of the mode, and logs it.
func (c *Controller) logMode(text string) {
	c.mode = modeStatus{text, c.nowMs}
	c.recordEvent(eventMode, text)
	c.effects.Log(text)
}
