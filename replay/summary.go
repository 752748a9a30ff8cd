package replay

import (
	"errors"
	"io"
	"sort"
	"strings"

	"barleysail/controller"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/routing"
)

// Event is a notable event of a recording: a change of mode or of the endpoint list.
type Event struct {
	AtMs float64 `json:"At"`
	Text string  `json:"Text"`
}

// Interval holds the counts of an interval of a recording.
type Interval struct {
	FromMs          float64 `json:"From"`
	Arrivals        int64   `json:"Came"`       // as reported by the proxies
	NoResponse      int64   `json:"Unanswered"` // as reported by the proxies
	Attempts        int64   `json:"Tries"`
	Failed          int64   `json:"Failed"`
	Messages        int     `json:"Messages"` // snapshots and deltas sent
	Connects        int     `json:"Joined"`
	Disconnects     int     `json:"Left"`
	HealthyChecks   int     `json:"ProbesFine"`
	UnhealthyChecks int     `json:"ProbesOther"`
}

// Summary is a summary of a recording.
type Summary struct {
	Start         *recordpb.Start `json:"Start"`
	FromMs        float64         `json:"From"`
	ToMs          float64         `json:"To"`
	Records       int             `json:"Records"`
	MaxProxies    int             `json:"Proxies"` // largest number of connected proxies
	MaxHosts      int             `json:"Hosts"`   // largest number of listed hosts
	Intervals     []Interval      `json:"Spans"`
	Events        []Event         `json:"Moments"`
	OmittedEvents int             `json:"Lost"` // beyond the limit
	ReadErr       error           `json:"End"`  // nil: the recording ended cleanly
}

// Limits of a summary's size: intervals are merged, and further events are only counted.
const (
	maxIntervals      = 120
	maxEvents         = 500
	initialIntervalMs = 1000.0
)

// Summarize summarizes a recording. It replays the recording, since changes of mode are not recorded.
func Summarize(next NextFunc, newController ControllerFactory) (*Summary, error) {
	s := &summarizer{
		Summary:    &Summary{},
		intervalMs: initialIntervalMs,
		connected:  map[string]bool{},
		outputs:    &outputCollector{},
	}
	s.outputs.log = func(text string) { s.addEvent(text) }
	for {
		entry, err := next()
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			s.ReadErr = err
			break
		}
		if start := entry.GetStart(); start != nil {
			if s.controller, err = newController(start); err != nil {
				return nil, err
			}
			s.Start, s.FromMs = start, entry.At
		}
		if s.controller == nil {
			return nil, errNoStart
		}
		s.count(entry)
		if err := record.Apply(s.controller, entry, s.outputs); err != nil {
			return nil, err
		}
		s.outputs.responses = s.outputs.responses[:0]
	}
	if s.controller == nil {
		return nil, errNoStart
	}
	return s.Summary, nil
}

type summarizer struct {
	*Summary
	controller *controller.Controller
	outputs    *outputCollector
	intervalMs float64
	connected  map[string]bool
	nowMs      float64
}

func (s *summarizer) addEvent(text string) {
	if len(s.Events) < maxEvents {
		s.Events = append(s.Events, Event{s.nowMs, text})
	} else {
		s.OmittedEvents++
	}
}

// currentInterval returns the interval of the current time, and merges intervals when there are too many.
func (s *summarizer) currentInterval() *Interval {
	for i := int((s.nowMs - s.FromMs) / s.intervalMs); ; i = int((s.nowMs - s.FromMs) / s.intervalMs) {
		if i >= maxIntervals {
			s.mergeIntervals()
			continue
		}
		for len(s.Intervals) <= i {
			s.Intervals = append(s.Intervals, Interval{FromMs: s.FromMs + float64(len(s.Intervals))*s.intervalMs})
		}
		return &s.Intervals[max(i, 0)]
	}
}

func (s *summarizer) mergeIntervals() {
	s.intervalMs *= 2
	merged := s.Intervals[:0:0]
	for i, interval := range s.Intervals {
		if i%2 == 0 {
			merged = append(merged, interval)
			continue
		}
		last := &merged[len(merged)-1]
		last.Arrivals += interval.Arrivals
		last.NoResponse += interval.NoResponse
		last.Attempts += interval.Attempts
		last.Failed += interval.Failed
		last.Messages += interval.Messages
		last.Connects += interval.Connects
		last.Disconnects += interval.Disconnects
		last.HealthyChecks += interval.HealthyChecks
		last.UnhealthyChecks += interval.UnhealthyChecks
	}
	s.Intervals = merged
}

func (s *summarizer) count(entry *recordpb.Record) {
	s.nowMs, s.ToMs = entry.At, entry.At
	s.Records++
	interval := s.currentInterval()
	switch what := entry.What.(type) {
	case *recordpb.Record_Listed:
		s.MaxHosts = max(s.MaxHosts, len(what.Listed.Hosts))
		_, text, _ := strings.Cut(DescribeRecord(entry), "  ")
		s.addEvent(text)
	case *recordpb.Record_ListFailed:
		s.addEvent("the list could not be had")
	case *recordpb.Record_Poll:
		if !s.connected[what.Poll.Proxy] {
			s.connected[what.Poll.Proxy] = true
			interval.Connects++
			s.MaxProxies = max(s.MaxProxies, len(s.connected))
		}
	case *recordpb.Record_Leave:
		if s.connected[what.Leave] {
			delete(s.connected, what.Leave)
			interval.Disconnects++
		}
	case *recordpb.Record_Sums:
		for _, host := range what.Sums.Hosts {
			interval.Attempts, interval.Failed = interval.Attempts+host.Tries, interval.Failed+host.Failed
		}
		for _, usage := range what.Sums.Usage {
			interval.Arrivals, interval.NoResponse = interval.Arrivals+usage.Came, interval.NoResponse+usage.Unanswered
		}
	case *recordpb.Record_Probed:
		if routing.HealthCheckResult(what.Probed.Outcome) == routing.Healthy {
			interval.HealthyChecks++
		} else {
			interval.UnhealthyChecks++
		}
	case *recordpb.Record_Published:
		if controller.ResponseKind(what.Published.Kind) != controller.NotModified {
			interval.Messages++
		}
	}
}

// Cut extracts a part of a recording as a recording of its own: the endpoint list and the connected proxies at its
// beginning, then its inputs, with the responses that the controller now gives. The new recording lacks what the
// controller learned before that time, so its responses may differ from the original ones. Its own replay is identical.
func Cut(
	next NextFunc, newController ControllerFactory, fromMs, toMs float64, emit func(*recordpb.Record) error,
) error {
	c := &cutter{
		lastPolls:     map[string]*recordpb.Record{},
		outputs:       &outputCollector{},
		emit:          emit,
		newController: newController,
		fromMs:        fromMs,
	}
	for {
		entry, err := next()
		if errors.Is(err, io.EOF) || err == nil && entry.At > toMs {
			break
		} else if err != nil && c.controller == nil {
			return err
		} else if err != nil {
			break // a truncated end: the records before it are used
		}
		if err := c.process(entry); err != nil {
			return err
		}
	}
	if c.controller == nil {
		return errors.New("the recording ends before that time")
	}
	return nil
}

type cutter struct {
	start, endpoints *recordpb.Record
	lastPolls        map[string]*recordpb.Record // last poll of each connected proxy
	controller       *controller.Controller
	outputs          *outputCollector
	emit             func(*recordpb.Record) error
	newController    ControllerFactory
	fromMs           float64
}

func (c *cutter) process(entry *recordpb.Record) error {
	if entry.GetPublished() != nil {
		return nil // published again by the new controller
	}
	if c.controller == nil && entry.At < c.fromMs {
		switch what := entry.What.(type) {
		case *recordpb.Record_Start:
			c.start = entry
		case *recordpb.Record_Listed:
			c.endpoints = entry
		case *recordpb.Record_Poll:
			c.lastPolls[what.Poll.Proxy] = entry
		case *recordpb.Record_Leave:
			delete(c.lastPolls, what.Leave)
		}
		return nil
	}
	if c.controller == nil {
		if err := c.startController(entry); err != nil {
			return err
		}
	}
	if entry.GetStart() != nil {
		return nil
	}
	return c.apply(entry)
}

// startController starts the controller, with the endpoint list and the proxies at the beginning of the part.
func (c *cutter) startController(first *recordpb.Record) (err error) {
	if first.GetStart() != nil {
		c.start = first
	}
	if c.start == nil {
		return errNoStart
	}
	if c.controller, err = c.newController(c.start.GetStart()); err != nil {
		return err
	}
	atMs := first.At
	if err := c.emit(&recordpb.Record{At: atMs, What: c.start.What}); err != nil {
		return err
	}
	if c.endpoints != nil {
		if err := c.apply(&recordpb.Record{At: atMs, What: c.endpoints.What}); err != nil {
			return err
		}
	}
	var names []string
	for name := range c.lastPolls {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if err := c.apply(&recordpb.Record{At: atMs, What: c.lastPolls[name].What}); err != nil {
			return err
		}
	}
	return c.apply(record.Advance(atMs))
}

// apply passes an input to the controller, and emits it and the responses.
func (c *cutter) apply(entry *recordpb.Record) error {
	if err := record.Apply(c.controller, entry, c.outputs); err != nil {
		return err
	}
	if err := c.emit(entry); err != nil {
		return err
	}
	for _, response := range c.outputs.responses {
		if err := c.emit(record.Response(entry.At, response.pollID, response.Response)); err != nil {
			return err
		}
	}
	c.outputs.responses = c.outputs.responses[:0]
	return nil
}
