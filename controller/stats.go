package controller

import (
	"maps"
	"slices"

	"barleysail/intake"
	"barleysail/routing"
)

// HostStats is what a proxy met at a host: tries, those with no good answer, the mean time of the good ones,
// the time over which it was counted, and the load that the host last reported.
type HostStats struct {
	Attempts, Failed        int
	MeanLatencyMs, WindowMs float64
	Load                    routing.HostLoad
	Latencies               []intake.LatencyBucket // how the times of the good ones spread; nil: not told
}

// ClassDemand is what came to a proxy of a class, repeats and refused transactions among it.
type ClassDemand struct {
	Arrivals, Unanswered int
	WindowMs             float64
}

// ProxyStats of a proxy, numbered by the sender. A sender that starts over gives itself another name.
type ProxyStats struct {
	Sender   string
	Sequence int64
	SentAtMs float64 // ms, when it was sent by the sender's clock, however wrong; 0: not told
	Hosts    map[string]HostStats
	Demand   map[string]ClassDemand
}

// ObserveProxyStats notes the sums of a proxy, once for each number; the next round takes them in. It tells whether they were counted:
// a repeat and one that comes after a newer one are not. The error names the field, and nothing is counted.
func (s *Controller) ObserveProxyStats(now float64, proxy string, u ProxyStats) (counted bool, err error) {
	s.nowMs = now
	m := s.sessions.byProxy[proxy]
	if m == nil {
		return false, ErrNotConnected
	}
	if err := s.checkStats(u); err != nil {
		return false, err
	}
	news, twice := m.reporters.Accept(now, u.Sender, u.Sequence)
	if twice && !m.duplicateReporters {
		s.recordEvent("intake", "two senders send sums as "+proxy)
	}
	if m.duplicateReporters = twice; !news {
		return false, nil
	}
	at := now
	if u.SentAtMs > 0 {
		at -= m.reporterClock.Age(now, u.SentAtMs)
	}
	for _, host := range slices.Sorted(maps.Keys(u.Hosts)) {
		v := u.Hosts[host]
		s.ingest.queue.Add(intake.Report{Source: proxy, Subject: host, Attempts: v.Attempts, Failed: v.Failed, MeanLatencyMs: v.MeanLatencyMs, WindowMs: v.WindowMs,
			Load: v.Load, Latencies: v.Latencies, ReceivedMs: now, ObservedMs: at})
	}
	for _, name := range slices.Sorted(maps.Keys(u.Demand)) {
		v := u.Demand[name]
		s.ingest.queue.Add(intake.Report{Source: proxy, Subject: name, IsDemand: true, Attempts: v.Arrivals, WindowMs: v.WindowMs, Load: routing.UnknownLoad, ReceivedMs: now, ObservedMs: at})
	}
	return true, nil
}
