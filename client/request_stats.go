package client

import (
	"time"

	"barleysail/intake"
	"barleysail/internal/orca"
	"barleysail/routing"
)

// requestStats are what a proxy met since it last sent them.
type requestStats struct {
	windowStart     time.Time
	hosts           map[string]*hostStats
	demand          map[string]*classDemand
	spareHistograms []*intake.LatencyHistogram // empty ones, to be used again
}

// histogram gives an empty one.
func (s *requestStats) histogram() *intake.LatencyHistogram {
	if n := len(s.spareHistograms); n > 0 {
		t := s.spareHistograms[n-1]
		s.spareHistograms = s.spareHistograms[:n-1]
		return t
	}
	return intake.NewLatencyHistogram()
}

type hostStats struct {
	Tries      int          `json:"tries"`
	Failed     int          `json:"failed"`
	Mean       float64      `json:"mean"`
	Span       float64      `json:"span"`
	Load       *loadStats   `json:"load,omitempty"`
	Times      [][2]float64 `json:"times,omitempty"` // ms and count
	latencySum time.Duration
	histogram  *intake.LatencyHistogram
	lastLoad   routing.HostLoad
}

type loadStats struct {
	Util  *float64 `json:"util,omitempty"`
	Rate  *float64 `json:"rate,omitempty"`
	Queue *float64 `json:"queue,omitempty"`
}

type classDemand struct {
	Came       int     `json:"came"`
	Unanswered int     `json:"unanswered"`
	Span       float64 `json:"span"`
}

// statsReport is the document that is sent, numbered so that a repeat is counted once.
type statsReport struct {
	Sender string                  `json:"sender"`
	Number int64                   `json:"number"`
	At     float64                 `json:"at"` // ms on our clock
	Hosts  map[string]*hostStats   `json:"hosts"`
	Usage  map[string]*classDemand `json:"usage"`
}

func (s *requestStats) reset(now time.Time) {
	*s = requestStats{windowStart: now, hosts: map[string]*hostStats{}, demand: map[string]*classDemand{}, spareHistograms: s.spareHistograms}
}

func (s *requestStats) classDemand(class string) *classDemand {
	u := s.demand[class]
	if u == nil {
		u = &classDemand{}
		s.demand[class] = u
	}
	return u
}

func (s *requestStats) countArrival(class string) { s.classDemand(class).Came++ }

// countUnanswered counts a transaction without an answer, which came in this span or in the one before.
func (s *requestStats) countUnanswered(class string) {
	if u := s.classDemand(class); u.Unanswered < u.Came {
		u.Unanswered++
	}
}

func (s *requestStats) countAttempt(host string, r Try, took time.Duration) {
	h := s.hosts[host]
	if h == nil {
		h = &hostStats{lastLoad: routing.UnknownLoad, histogram: s.histogram()}
		s.hosts[host] = h
	}
	h.Tries++
	if r.Result == Fulfilled {
		h.latencySum += took
		h.histogram.Observe(took.Seconds() * 1000)
	} else {
		h.Failed++
	}
	if load := orca.Parse(r.Metrics); load != routing.UnknownLoad {
		h.lastLoad = load
	}
}

// take gives the sums of the hosts that known tells the steward knows, and begins new ones.
func (s *requestStats) take(now time.Time, known func(host string) bool) (map[string]*hostStats, map[string]*classDemand) {
	span := max(now.Sub(s.windowStart).Seconds()*1000, 1)
	hosts := map[string]*hostStats{}
	for host, h := range s.hosts {
		if !known(host) {
			h.histogram.Buckets()
			s.spareHistograms = append(s.spareHistograms, h.histogram)
			continue
		}
		h.Span = span
		if good := h.Tries - h.Failed; good > 0 {
			h.Mean = h.latencySum.Seconds() * 1000 / float64(good)
		}
		for _, b := range h.histogram.Buckets() {
			h.Times = append(h.Times, [2]float64{b.Ms, float64(b.Count)})
		}
		if l := h.lastLoad; l != routing.UnknownLoad {
			h.Load = &loadStats{optionalMetric(l.Utilization), optionalMetric(l.RequestRate), optionalMetric(l.QueueLength)}
		}
		hosts[host] = h
		s.spareHistograms = append(s.spareHistograms, h.histogram)
	}
	usage := s.demand
	for _, u := range usage {
		u.Span = span
	}
	s.reset(now)
	return hosts, usage
}

func optionalMetric(x float64) *float64 {
	if x < 0 {
		return nil
	}
	return &x
}
