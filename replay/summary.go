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

// Moment of a day that is worth telling: a change of mode, a list, a join or a leave of many.
type Event struct {
	AtMs float64 `json:"At"`
	Text string  `json:"Text"`
}

// Span is a stretch of a day in figures.
type Interval struct {
	FromMs          float64 `json:"From"`
	Arrivals        int64   `json:"Came"`       // as proxies told
	NoResponse      int64   `json:"Unanswered"` // as proxies told
	Attempts        int64   `json:"Tries"`
	Failed          int64   `json:"Failed"`
	Messages        int     `json:"Messages"` // wholes and deltas that left
	Joined          int     `json:"Joined"`
	Left            int     `json:"Left"`
	HealthyChecks   int     `json:"ProbesFine"`
	UnhealthyChecks int     `json:"ProbesOther"`
}

// Summary of a day.
type Summary struct {
	Start         *recordpb.Start `json:"Start"`
	FromMs        float64         `json:"From"`
	ToMs          float64         `json:"To"`
	Records       int             `json:"Records"`
	MaxProxies    int             `json:"Proxies"` // the most that were joined at once
	MaxHosts      int             `json:"Hosts"`   // the most that were listed at once
	Intervals     []Interval      `json:"Spans"`
	Events        []Event         `json:"Moments"`
	OmittedEvents int             `json:"Lost"` // moments that were not kept
	ReadErr       error           `json:"End"`  // nil at a clean end
}

// bounds of what a summary keeps, so that it does not grow with the day: spans are widened, moments left out.
const (
	spansKept   = 120
	momentsKept = 500
	firstSpan   = 1000.0
)

// Summarize tells what happened in a day. It is replayed, since changes of mode are not recorded but follow.
func Summarize(next NextFunc, build ControllerFactory) (*Summary, error) {
	z := &summarizer{Summary: &Summary{}, width: firstSpan, joined: map[string]bool{}, out: &replayer{}}
	z.out.lines = func(text string) { z.moment(text) }
	for {
		r, err := next()
		if errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			z.ReadErr = err
			break
		}
		if start := r.GetStart(); start != nil {
			if z.steward, err = build(start); err != nil {
				return nil, err
			}
			z.Start, z.FromMs = start, r.At
		}
		if z.steward == nil {
			return nil, errNoStart
		}
		z.take(r)
		if err := record.Apply(z.steward, r, z.out); err != nil {
			return nil, err
		}
		z.out.waiting = z.out.waiting[:0]
	}
	if z.steward == nil {
		return nil, errNoStart
	}
	return z.Summary, nil
}

type summarizer struct {
	*Summary
	steward *controller.Controller
	out     *replayer
	width   float64
	joined  map[string]bool
	now     float64
}

func (z *summarizer) moment(text string) {
	if len(z.Events) < momentsKept {
		z.Events = append(z.Events, Event{z.now, text})
	} else {
		z.OmittedEvents++
	}
}

// span gives the span of the present time; when there are too many, two become one.
func (z *summarizer) span() *Interval {
	for i := int((z.now - z.FromMs) / z.width); ; i = int((z.now - z.FromMs) / z.width) {
		if i >= spansKept {
			z.widen()
			continue
		}
		for len(z.Intervals) <= i {
			z.Intervals = append(z.Intervals, Interval{FromMs: z.FromMs + float64(len(z.Intervals))*z.width})
		}
		return &z.Intervals[max(i, 0)]
	}
}

func (z *summarizer) widen() {
	z.width *= 2
	half := z.Intervals[:0:0]
	for i, s := range z.Intervals {
		if i%2 == 0 {
			half = append(half, s)
			continue
		}
		h := &half[len(half)-1]
		h.Arrivals, h.NoResponse, h.Attempts, h.Failed = h.Arrivals+s.Arrivals, h.NoResponse+s.NoResponse, h.Attempts+s.Attempts, h.Failed+s.Failed
		h.Messages, h.Joined, h.Left = h.Messages+s.Messages, h.Joined+s.Joined, h.Left+s.Left
		h.HealthyChecks, h.UnhealthyChecks = h.HealthyChecks+s.HealthyChecks, h.UnhealthyChecks+s.UnhealthyChecks
	}
	z.Intervals = half
}

func (z *summarizer) take(r *recordpb.Record) {
	z.now, z.ToMs = r.At, r.At
	z.Records++
	s := z.span()
	switch x := r.What.(type) {
	case *recordpb.Record_Listed:
		z.MaxHosts = max(z.MaxHosts, len(x.Listed.Hosts))
		_, text, _ := strings.Cut(Describe(r), "  ")
		z.moment(text)
	case *recordpb.Record_ListFailed:
		z.moment("the list could not be had")
	case *recordpb.Record_Poll:
		if !z.joined[x.Poll.Proxy] {
			z.joined[x.Poll.Proxy] = true
			s.Joined++
			z.MaxProxies = max(z.MaxProxies, len(z.joined))
		}
	case *recordpb.Record_Leave:
		if z.joined[x.Leave] {
			delete(z.joined, x.Leave)
			s.Left++
		}
	case *recordpb.Record_Sums:
		for _, h := range x.Sums.Hosts {
			s.Attempts, s.Failed = s.Attempts+h.Tries, s.Failed+h.Failed
		}
		for _, u := range x.Sums.Usage {
			s.Arrivals, s.NoResponse = s.Arrivals+u.Came, s.NoResponse+u.Unanswered
		}
	case *recordpb.Record_Probed:
		if routing.HealthCheckResult(x.Probed.Outcome) == routing.Healthy {
			s.HealthyChecks++
		} else {
			s.UnhealthyChecks++
		}
	case *recordpb.Record_Published:
		if controller.ResponseKind(x.Published.Kind) != controller.NotModified {
			s.Messages++
		}
	}
}

// Cut gives a part of a day as a day of its own: the list and the proxies that were joined when it begins, then
// its inputs, with the answers that the library now gives. What was learned before the part is not in it, so its
// answers may differ from the day's; replayed again they come out the same.
func Cut(next NextFunc, build ControllerFactory, from, to float64, emit func(*recordpb.Record) error) error {
	c := &cutter{proxies: map[string]*recordpb.Record{}, out: &replayer{}, emit: emit, build: build, from: from}
	for {
		r, err := next()
		if errors.Is(err, io.EOF) || err == nil && r.At > to {
			break
		} else if err != nil && c.steward == nil {
			return err
		} else if err != nil {
			break // a torn end: what is there is used
		}
		if err := c.take(r); err != nil {
			return err
		}
	}
	if c.steward == nil {
		return errors.New("the day has nothing from that time on")
	}
	return nil
}

type cutter struct {
	start, list *recordpb.Record
	proxies     map[string]*recordpb.Record // the last poll of each joined proxy
	steward     *controller.Controller
	out         *replayer
	emit        func(*recordpb.Record) error
	build       ControllerFactory
	from        float64
}

func (c *cutter) take(r *recordpb.Record) error {
	if r.GetPublished() != nil {
		return nil // made anew
	}
	if c.steward == nil && r.At < c.from {
		switch x := r.What.(type) {
		case *recordpb.Record_Start:
			c.start = r
		case *recordpb.Record_Listed:
			c.list = r
		case *recordpb.Record_Poll:
			c.proxies[x.Poll.Proxy] = r
		case *recordpb.Record_Leave:
			delete(c.proxies, x.Leave)
		}
		return nil
	}
	if c.steward == nil {
		if err := c.begin(r); err != nil {
			return err
		}
	}
	if r.GetStart() != nil {
		return nil
	}
	return c.feed(r)
}

// begin makes the steward as it stands when the part begins.
func (c *cutter) begin(r *recordpb.Record) (err error) {
	if r.GetStart() != nil {
		c.start = r
	}
	if c.start == nil {
		return errNoStart
	}
	if c.steward, err = c.build(c.start.GetStart()); err != nil {
		return err
	}
	at := r.At
	if err := c.emit(&recordpb.Record{At: at, What: c.start.What}); err != nil {
		return err
	}
	if c.list != nil {
		if err := c.feed(&recordpb.Record{At: at, What: c.list.What}); err != nil {
			return err
		}
	}
	var names []string
	for name := range c.proxies {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if err := c.feed(&recordpb.Record{At: at, What: c.proxies[name].What}); err != nil {
			return err
		}
	}
	return c.feed(record.Advance(at))
}

// feed gives an input to the steward, and passes it and what is answered on.
func (c *cutter) feed(r *recordpb.Record) error {
	if err := record.Apply(c.steward, r, c.out); err != nil {
		return err
	}
	if err := c.emit(r); err != nil {
		return err
	}
	for _, a := range c.out.waiting {
		if err := c.emit(record.Response(r.At, a.poll, a.Response)); err != nil {
			return err
		}
	}
	c.out.waiting = c.out.waiting[:0]
	return nil
}
