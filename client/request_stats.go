package client

import (
	"time"

	"barleysail/intake"
	"barleysail/internal/orca"
	"barleysail/routing"
)

// requestStats counts the attempts and the demand since the last report.
type requestStats struct {
	windowStart     time.Time
	hosts           map[string]*hostStats
	demand          map[string]*classDemand
	spareHistograms []*intake.LatencyHistogram // empty histograms for reuse
}

// hostStats are the attempts at one host. The exported fields are the wire format; MeanLatencyMs, WindowMs, Load and
// Buckets are set when the report is made.
type hostStats struct {
	Attempts      int          `json:"tries"`
	Failed        int          `json:"failed"`
	MeanLatencyMs float64      `json:"mean"` // of the successful attempts
	WindowMs      float64      `json:"span"` // length of the window
	Load          *loadStats   `json:"load,omitempty"`
	Buckets       [][2]float64 `json:"times,omitempty"` // latency histogram: ms and count of each bucket

	latencySum time.Duration // of the successful attempts
	histogram  *intake.LatencyHistogram
	lastLoad   routing.HostLoad // load that the host last reported
}

// loadStats is the wire format of a host's load; a missing metric was not reported.
type loadStats struct {
	Utilization *float64 `json:"util,omitempty"`
	RequestRate *float64 `json:"rate,omitempty"` // requests per second
	QueueLength *float64 `json:"queue,omitempty"`
}

// classDemand is the demand for one request class, and its wire format.
type classDemand struct {
	Arrivals    int     `json:"came"`
	Unfulfilled int     `json:"unanswered"` // admitted requests without a successful attempt
	WindowMs    float64 `json:"span"`       // length of the window
}

const (
	msPerSecond       = 1000
	microsecondsPerMs = 1000
)

// milliseconds returns a duration in ms with its fraction.
func milliseconds(duration time.Duration) float64 { return duration.Seconds() * msPerSecond }

// reset begins a new window.
func (s *requestStats) reset(now time.Time) {
	s.windowStart = now
	s.hosts = map[string]*hostStats{}
	s.demand = map[string]*classDemand{}
}

func (s *requestStats) classDemand(class string) *classDemand {
	demand := s.demand[class]
	if demand == nil {
		demand = &classDemand{}
		s.demand[class] = demand
	}
	return demand
}

func (s *requestStats) hostStats(host string) *hostStats {
	stats := s.hosts[host]
	if stats == nil {
		stats = &hostStats{lastLoad: routing.UnknownLoad, histogram: s.emptyHistogram()}
		s.hosts[host] = stats
	}
	return stats
}

func (s *requestStats) emptyHistogram() *intake.LatencyHistogram {
	count := len(s.spareHistograms)
	if count == 0 {
		return intake.NewLatencyHistogram()
	}
	spare := s.spareHistograms[count-1]
	s.spareHistograms = s.spareHistograms[:count-1]
	return spare
}

func (s *requestStats) countArrival(class string) { s.classDemand(class).Arrivals++ }

// countUnfulfilled counts an admitted request without a successful attempt. A request that arrived in an earlier window
// counts in the current one, unless there would be more unfulfilled requests than arrivals.
func (s *requestStats) countUnfulfilled(class string) {
	demand := s.classDemand(class)
	if demand.Unfulfilled < demand.Arrivals {
		demand.Unfulfilled++
	}
}

func (s *requestStats) countAttempt(host string, outcome Outcome, latency time.Duration) {
	stats := s.hostStats(host)
	stats.Attempts++
	if outcome.Result == Fulfilled {
		stats.latencySum += latency
		stats.histogram.Observe(milliseconds(latency))
	} else {
		stats.Failed++
	}
	if load := orca.Parse(outcome.Metrics); load != routing.UnknownLoad {
		stats.lastLoad = load
	}
}

// take returns the stats of the window, without hosts for which isKnownHost is false, and begins a new window.
func (s *requestStats) take(
	now time.Time, isKnownHost func(host string) bool,
) (map[string]*hostStats, map[string]*classDemand) {
	windowMs := max(milliseconds(now.Sub(s.windowStart)), 1)
	hosts := map[string]*hostStats{}
	for host, stats := range s.hosts {
		buckets := stats.histogram.Buckets()
		s.spareHistograms = append(s.spareHistograms, stats.histogram)
		if isKnownHost(host) {
			stats.finish(windowMs, buckets)
			hosts[host] = stats
		}
	}
	demand := s.demand
	for _, class := range demand {
		class.WindowMs = windowMs
	}
	s.reset(now)
	return hosts, demand
}

// finish sets the fields of the wire format that depend on the whole window.
func (h *hostStats) finish(windowMs float64, buckets []intake.LatencyBucket) {
	h.WindowMs = windowMs
	if succeeded := h.Attempts - h.Failed; succeeded > 0 {
		h.MeanLatencyMs = milliseconds(h.latencySum) / float64(succeeded)
	}
	for _, bucket := range buckets {
		h.Buckets = append(h.Buckets, [2]float64{bucket.Ms, float64(bucket.Count)})
	}
	if h.lastLoad != routing.UnknownLoad {
		h.Load = &loadStats{
			Utilization: optionalMetric(h.lastLoad.Utilization),
			RequestRate: optionalMetric(h.lastLoad.RequestRate),
			QueueLength: optionalMetric(h.lastLoad.QueueLength),
		}
	}
}

// optionalMetric returns nil for a metric that was not reported.
func optionalMetric(value float64) *float64 {
	if value < 0 {
		return nil
	}
	return &value
}
