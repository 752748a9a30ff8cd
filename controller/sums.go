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

// lately is what the newest sums count for in a proxy's rates.
const lately = 0.2

// Bounds of what sums may say: anything beyond is a fault of the sender.
const (
	mostTries = 1 << 30
	mostSpan  = 3600e3
	mostLoad  = 1e9
	mostBars  = 512
)

// checkTimes refuses a spread that does not count the good tries.
func checkTimes(host string, v HostStats) error {
	if len(v.Latencies) > mostBars {
		return refuse(fmt.Sprintf("hosts[%q].times", host), "%d bars, %d at most", len(v.Latencies), mostBars)
	}
	n := int64(0)
	for i, b := range v.Latencies {
		if !(b.Ms >= 0 && b.Ms <= mostSpan) || b.Count < 1 || b.Count > mostTries {
			return refuse(fmt.Sprintf("hosts[%q].times[%d]", host, i), "%d tries of %g ms", b.Count, b.Ms)
		}
		n += b.Count
	}
	if n > int64(v.Attempts-v.Failed) {
		return refuse(fmt.Sprintf("hosts[%q].times", host), "%d tries, %d were good", n, v.Attempts-v.Failed)
	}
	return nil
}

// ObserveProxyStats notes the sums of a proxy, once for each number; the next round takes them in. It tells whether they were counted:
// a repeat and one that comes after a newer one are not. The error names the field, and nothing is counted.
func (s *Controller) ObserveProxyStats(now float64, proxy string, u ProxyStats) (counted bool, err error) {
	s.now = now
	m := s.members.byName[proxy]
	if m == nil {
		return false, ErrNotConnected
	}
	if err := s.checkSums(u); err != nil {
		return false, err
	}
	news, twice := m.senders.Accept(now, u.Sender, u.Sequence)
	if twice && !m.twice {
		s.event("intake", "two senders send sums as "+proxy)
	}
	if m.twice = twice; !news {
		return false, nil
	}
	at := now
	if u.SentAtMs > 0 {
		at -= m.clock.Age(now, u.SentAtMs)
	}
	for _, host := range slices.Sorted(maps.Keys(u.Hosts)) {
		v := u.Hosts[host]
		s.intake.queue.Add(intake.Report{Source: proxy, Subject: host, Attempts: v.Attempts, Failed: v.Failed, MeanLatencyMs: v.MeanLatencyMs, WindowMs: v.WindowMs,
			Load: v.Load, Latencies: v.Latencies, ReceivedMs: now, ObservedMs: at})
	}
	for _, name := range slices.Sorted(maps.Keys(u.Demand)) {
		v := u.Demand[name]
		s.intake.queue.Add(intake.Report{Source: proxy, Subject: name, IsDemand: true, Attempts: v.Arrivals, WindowMs: v.WindowMs, Load: routing.UnknownLoad, ReceivedMs: now, ObservedMs: at})
	}
	return true, nil
}

// bound is a figure of the sums with what it may be.
type bound struct {
	name           string
	x, least, most float64
}

// check refuses the first figure out of its bounds; the name of what it belongs to is put together only then.
func check(what, name string, all ...bound) error {
	for _, b := range all {
		if !(b.x >= b.least && b.x <= b.most) {
			return refuse(fmt.Sprintf("%s[%q].%s", what, name, b.name), "%g is not from %g to %g", b.x, b.least, b.most)
		}
	}
	return nil
}

func (s *Controller) checkSums(u ProxyStats) error {
	if u.Sequence < 1 {
		return refuse("number", "%d is not 1 or more", u.Sequence)
	}
	if !(u.SentAtMs >= 0 && u.SentAtMs <= 1e15) {
		return refuse("at", "%g is no time", u.SentAtMs)
	}
	if u.Sender != "" {
		if err := checkName("sender", u.Sender); err != nil {
			return err
		}
	}
	// Of several faults any one is told: going through them in order would cost more than all else.
	for host, v := range u.Hosts {
		if _, ok := s.hosts.IndexOf[host]; !ok {
			return refuse(fmt.Sprintf("hosts[%q]", host), "the host is not on the list")
		}
		if err := check("hosts", host, bound{"tries", float64(v.Attempts), 0, mostTries},
			bound{"failed", float64(v.Failed), 0, float64(v.Attempts)}, bound{"mean", v.MeanLatencyMs, 0, mostSpan},
			bound{"span", v.WindowMs, 1, mostSpan}, bound{"load.util", v.Load.Utilization, -1, mostLoad},
			bound{"load.rate", v.Load.RequestRate, -1, mostLoad}, bound{"load.queue", v.Load.QueueLength, -1, mostLoad}); err != nil {
			return err
		}
		if err := checkTimes(host, v); err != nil {
			return err
		}
	}
	for name, v := range u.Demand {
		if _, ok := s.class[name]; !ok {
			return refuse(fmt.Sprintf("usage[%q]", name), "the class is not in the settings")
		}
		if err := check("usage", name, bound{"came", float64(v.Arrivals), 0, mostTries},
			bound{"unanswered", float64(v.Unanswered), 0, float64(v.Arrivals)}, bound{"span", v.WindowMs, 1, mostSpan}); err != nil {
			return err
		}
	}
	return nil
}
