package controller

import (
	"fmt"
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

// ErrNotConnected answers sums of a proxy that has not joined.
var ErrNotConnected = fmt.Errorf("the proxy has not joined: it polls its tables first")

// rateSmoothing is what the newest sums count for in a proxy's rates.
const rateSmoothing = 0.2

// Bounds of what sums may say: anything beyond is a fault of the sender.
const (
	maxAttempts       = 1 << 30
	maxWindowMs       = 3600e3
	maxLoad           = 1e9
	maxLatencyBuckets = 512
)

// checkLatencies refuses a spread that does not count the good tries.
func checkLatencies(host string, v HostStats) error {
	if len(v.Latencies) > maxLatencyBuckets {
		return invalidField(fmt.Sprintf("hosts[%q].times", host), "%d bars, %d at most", len(v.Latencies), maxLatencyBuckets)
	}
	n := int64(0)
	for i, b := range v.Latencies {
		if !(b.Ms >= 0 && b.Ms <= maxWindowMs) || b.Count < 1 || b.Count > maxAttempts {
			return invalidField(fmt.Sprintf("hosts[%q].times[%d]", host, i), "%d tries of %g ms", b.Count, b.Ms)
		}
		n += b.Count
	}
	if n > int64(v.Attempts-v.Failed) {
		return invalidField(fmt.Sprintf("hosts[%q].times", host), "%d tries, %d were good", n, v.Attempts-v.Failed)
	}
	return nil
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

// boundedValue is a figure of the sums with what it may be.
type boundedValue struct {
	name            string
	value, min, max float64
}

// checkBounds refuses the first figure out of its bounds; the name of what it belongs to is put together only then.
func checkBounds(what, name string, all ...boundedValue) error {
	for _, b := range all {
		if !(b.value >= b.min && b.value <= b.max) {
			return invalidField(fmt.Sprintf("%s[%q].%s", what, name, b.name), "%g is not from %g to %g", b.value, b.min, b.max)
		}
	}
	return nil
}

func (s *Controller) checkStats(u ProxyStats) error {
	if u.Sequence < 1 {
		return invalidField("number", "%d is not 1 or more", u.Sequence)
	}
	if !(u.SentAtMs >= 0 && u.SentAtMs <= 1e15) {
		return invalidField("at", "%g is no time", u.SentAtMs)
	}
	if u.Sender != "" {
		if err := checkName("sender", u.Sender); err != nil {
			return err
		}
	}
	// Of several faults any one is told: going through them in order would cost more than all else.
	for host, v := range u.Hosts {
		if _, ok := s.hostIndex.IndexOf[host]; !ok {
			return invalidField(fmt.Sprintf("hosts[%q]", host), "the host is not on the list")
		}
		if err := checkBounds("hosts", host, boundedValue{"tries", float64(v.Attempts), 0, maxAttempts},
			boundedValue{"failed", float64(v.Failed), 0, float64(v.Attempts)}, boundedValue{"mean", v.MeanLatencyMs, 0, maxWindowMs},
			boundedValue{"span", v.WindowMs, 1, maxWindowMs}, boundedValue{"load.util", v.Load.Utilization, -1, maxLoad},
			boundedValue{"load.rate", v.Load.RequestRate, -1, maxLoad}, boundedValue{"load.queue", v.Load.QueueLength, -1, maxLoad}); err != nil {
			return err
		}
		if err := checkLatencies(host, v); err != nil {
			return err
		}
	}
	for name, v := range u.Demand {
		if _, ok := s.classIndex[name]; !ok {
			return invalidField(fmt.Sprintf("usage[%q]", name), "the class is not in the settings")
		}
		if err := checkBounds("usage", name, boundedValue{"came", float64(v.Arrivals), 0, maxAttempts},
			boundedValue{"unanswered", float64(v.Unanswered), 0, float64(v.Arrivals)}, boundedValue{"span", v.WindowMs, 1, maxWindowMs}); err != nil {
			return err
		}
	}
	return nil
}
