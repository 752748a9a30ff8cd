package client

import (
	"time"

	"barleysail/decide"
	"barleysail/internal/orca"
)

// sums are what a proxy met since it last sent them.
type sums struct {
	since time.Time
	hosts map[string]*hostSums
	usage map[string]*classUsage
}

type hostSums struct {
	Tries  int       `json:"tries"`
	Failed int       `json:"failed"`
	Mean   float64   `json:"mean"`
	Span   float64   `json:"span"`
	Load   *loadSums `json:"load,omitempty"`
	took   time.Duration
	load   decide.Load
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
	Hosts  map[string]*hostSums   `json:"hosts"`
	Usage  map[string]*classUsage `json:"usage"`
}

func (s *sums) begin(now time.Time) {
	*s = sums{since: now, hosts: map[string]*hostSums{}, usage: map[string]*classUsage{}}
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
		h = &hostSums{load: decide.NoLoad}
		s.hosts[host] = h
	}
	h.Tries++
	if r.Result == Fulfilled {
		h.took += took
	} else {
		h.Failed++
	}
	if load := orca.Parse(r.Metrics); load != decide.NoLoad {
		h.load = load
	}
}

// take gives the sums of the hosts that known tells the steward knows, and begins new ones.
func (s *sums) take(now time.Time, known func(host string) bool) (map[string]*hostSums, map[string]*classUsage) {
	span := max(now.Sub(s.since).Seconds()*1000, 1)
	hosts := map[string]*hostSums{}
	for host, h := range s.hosts {
		if !known(host) {
			continue
		}
		h.Span = span
		if good := h.Tries - h.Failed; good > 0 {
			h.Mean = h.took.Seconds() * 1000 / float64(good)
		}
		if l := h.load; l != decide.NoLoad {
			h.Load = &loadSums{reported(l.Util), reported(l.Rate), reported(l.Queue)}
		}
		hosts[host] = h
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
