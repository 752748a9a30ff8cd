package client

import (
	"time"

	"barleysail/intake"
	"barleysail/internal/orca"
	"barleysail/routing"
)

// sums are what a proxy met since it last sent them.
type sums struct {
	since time.Time
	hosts map[string]*hostSums
	usage map[string]*classUsage
	spare []*intake.LatencyHistogram // empty ones, to be used again
}

// histogram gives an empty one.
func (s *sums) histogram() *intake.LatencyHistogram {
	if n := len(s.spare); n > 0 {
		t := s.spare[n-1]
		s.spare = s.spare[:n-1]
		return t
	}
	return intake.NewLatencyHistogram()
}

type hostSums struct {
	Tries  int          `json:"tries"`
	Failed int          `json:"failed"`
	Mean   float64      `json:"mean"`
	Span   float64      `json:"span"`
	Load   *loadSums    `json:"load,omitempty"`
	Times  [][2]float64 `json:"times,omitempty"` // ms and count
	took   time.Duration
	times  *intake.LatencyHistogram
	load   routing.HostLoad
}

type loadSums struct {
	Util  *float64 `json:"util,omitempty"`
	Rate  *float64 `json:"rate,omitempty"`
	Queue *float64 `json:"queue,omitempty"`
}

type classUsage struct {
	Came       int     `json:"came"`
	Unanswered int     `json:"unanswered"`
	Span       float64 `json:"span"`
}

// report is the document that is sent, numbered so that a repeat is counted once.
type report struct {
	Sender string                 `json:"sender"`
	Number int64                  `json:"number"`
	At     float64                `json:"at"` // ms on our clock
	Hosts  map[string]*hostSums   `json:"hosts"`
	Usage  map[string]*classUsage `json:"usage"`
}

func (s *sums) begin(now time.Time) {
	*s = sums{since: now, hosts: map[string]*hostSums{}, usage: map[string]*classUsage{}, spare: s.spare}
}

func (s *sums) class(class string) *classUsage {
	u := s.usage[class]
	if u == nil {
		u = &classUsage{}
		s.usage[class] = u
	}
	return u
}

func (s *sums) came(class string) { s.class(class).Came++ }

// lost counts a transaction without an answer, which came in this span or in the one before.
func (s *sums) lost(class string) {
	if u := s.class(class); u.Unanswered < u.Came {
		u.Unanswered++
	}
}

func (s *sums) met(host string, r Try, took time.Duration) {
	h := s.hosts[host]
	if h == nil {
		h = &hostSums{load: routing.UnknownLoad, times: s.histogram()}
		s.hosts[host] = h
	}
	h.Tries++
	if r.Result == Fulfilled {
		h.took += took
		h.times.Observe(took.Seconds() * 1000)
	} else {
		h.Failed++
	}
	if load := orca.Parse(r.Metrics); load != routing.UnknownLoad {
		h.load = load
	}
}

// take gives the sums of the hosts that known tells the steward knows, and begins new ones.
func (s *sums) take(now time.Time, known func(host string) bool) (map[string]*hostSums, map[string]*classUsage) {
	span := max(now.Sub(s.since).Seconds()*1000, 1)
	hosts := map[string]*hostSums{}
	for host, h := range s.hosts {
		if !known(host) {
			h.times.Buckets()
			s.spare = append(s.spare, h.times)
			continue
		}
		h.Span = span
		if good := h.Tries - h.Failed; good > 0 {
			h.Mean = h.took.Seconds() * 1000 / float64(good)
		}
		for _, b := range h.times.Buckets() {
			h.Times = append(h.Times, [2]float64{b.Ms, float64(b.Count)})
		}
		if l := h.load; l != routing.UnknownLoad {
			h.Load = &loadSums{reported(l.Utilization), reported(l.RequestRate), reported(l.QueueLength)}
		}
		hosts[host] = h
		s.spare = append(s.spare, h.times)
	}
	usage := s.usage
	for _, u := range usage {
		u.Span = span
	}
	s.begin(now)
	return hosts, usage
}

func reported(x float64) *float64 {
	if x < 0 {
		return nil
	}
	return &x
}
