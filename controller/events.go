package controller

import (
	"slices"
	"sort"

	"barleysail/routing"
)

// Event is what a steward did or was told, worth an operator's eye.
type Event struct {
	Number int64   `json:"number"`
	At     float64 `json:"at"`
	Kind   string  `json:"kind"` // mode, list, operator, joined, left
	Text   string  `json:"text"`
}

// maxEvents are the newest ones.
const maxEvents = 1024

type eventLog struct {
	lastNumber int64
	newest     []Event
}

func (s *Controller) recordEvent(kind, text string) {
	s.events.lastNumber++
	e := Event{s.events.lastNumber, s.nowMs, kind, text}
	if len(s.events.newest) == maxEvents {
		s.events.newest = append(s.events.newest[:0], s.events.newest[1:]...)
	}
	s.events.newest = append(s.events.newest, e)
}

// NewestEvent is the number of the newest one, 0 where there is none.
func (s *Controller) NewestEvent() int64 { return s.events.lastNumber }

// Events gives those after a number, as far as they are kept.
func (s *Controller) Events(after int64) []Event {
	i := sort.Search(len(s.events.newest), func(i int) bool { return s.events.newest[i].Number > after })
	return slices.Clone(s.events.newest[i:])
}

// logEvent passes an event of the balancer on as a line, with the names of hosts.
func (s *Controller) logEvent(event routing.Event) {
	s.logMode(event.Text(func(host int) string { return s.hostIndex.Names[host] }))
}

// logMode notes a change of mode and passes its line on.
func (s *Controller) logMode(line string) {
	s.modeText, s.modeSinceMs = line, s.nowMs
	s.recordEvent("mode", line)
	s.effects.Log(line)
}
