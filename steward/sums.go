package steward

import (
	"fmt"
	"maps"
	"slices"

	"barleysail/decide"
	"barleysail/intake"
)

// HostSums is what a proxy met at a host: tries, those with no good answer, the mean time of the good ones,
// the time over which it was counted, and the load that the host last reported.
type HostSums struct {
	Tries, Failed int
	Mean, Span    float64
	Load          decide.Load
	Times         []intake.Bar // how the times of the good ones spread; nil: not told
}

// ClassUsage is what came to a proxy of a class, repeats and refused transactions among it.
type ClassUsage struct {
	Came, Unanswered int
	Span             float64
}

// Sums of a proxy, numbered by the sender. A sender that starts over gives itself another name.
type Sums struct {
	Sender string
	Number int64
	Stamp  float64 // ms, when it was sent by the sender's clock, however wrong; 0: not told
	Hosts  map[string]HostSums
	Usage  map[string]ClassUsage
}

// ErrNotJoined answers sums of a proxy that has not joined.
var ErrNotJoined = fmt.Errorf("the proxy has not joined: it polls its tables first")

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
func checkTimes(host string, v HostSums) error {
	if len(v.Times) > mostBars {
		return refuse(fmt.Sprintf("hosts[%q].times", host), "%d bars, %d at most", len(v.Times), mostBars)
	}
	n := int64(0)
	for i, b := range v.Times {
		if !(b.Ms >= 0 && b.Ms <= mostSpan) || b.Count < 1 || b.Count > mostTries {
			return refuse(fmt.Sprintf("hosts[%q].times[%d]", host, i), "%d tries of %g ms", b.Count, b.Ms)
		}
		n += b.Count
	}
	if n > int64(v.Tries-v.Failed) {
		return refuse(fmt.Sprintf("hosts[%q].times", host), "%d tries, %d were good", n, v.Tries-v.Failed)
	}
	return nil
}

// Sums notes the sums of a proxy, once for each number; the next round takes them in. It tells whether they were counted:
// a repeat and one that comes after a newer one are not. The error names the field, and nothing is counted.
func (s *Steward) Sums(now float64, proxy string, u Sums) (counted bool, err error) {
	s.now = now
	m := s.members.byName[proxy]
	if m == nil {
		return false, ErrNotJoined
	}
	if err := s.checkSums(u); err != nil {
		return false, err
	}
	news, twice := m.senders.Take(now, u.Sender, u.Number)
	if twice && !m.twice {
		s.event("intake", "two senders send sums as "+proxy)
	}
	if m.twice = twice; !news {
		return false, nil
	}
	at := now
	if u.Stamp > 0 {
		at -= m.clock.Age(now, u.Stamp)
	}
	for _, host := range slices.Sorted(maps.Keys(u.Hosts)) {
		v := u.Hosts[host]
		s.intake.queue.Offer(intake.Line{Source: proxy, Of: host, Tries: v.Tries, Failed: v.Failed, Mean: v.Mean, Span: v.Span,
			Load: v.Load, Times: v.Times, Came: now, At: at})
	}
	for _, name := range slices.Sorted(maps.Keys(u.Usage)) {
		v := u.Usage[name]
		s.intake.queue.Offer(intake.Line{Source: proxy, Of: name, Usage: true, Tries: v.Came, Span: v.Span, Load: decide.NoLoad, Came: now, At: at})
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

func (s *Steward) checkSums(u Sums) error {
	if u.Number < 1 {
		return refuse("number", "%d is not 1 or more", u.Number)
	}
	if !(u.Stamp >= 0 && u.Stamp <= 1e15) {
		return refuse("at", "%g is no time", u.Stamp)
	}
	if u.Sender != "" {
		if err := checkName("sender", u.Sender); err != nil {
			return err
		}
	}
	// Of several faults any one is told: going through them in order would cost more than all else.
	for host, v := range u.Hosts {
		if _, ok := s.hosts.Of[host]; !ok {
			return refuse(fmt.Sprintf("hosts[%q]", host), "the host is not on the list")
		}
		if err := check("hosts", host, bound{"tries", float64(v.Tries), 0, mostTries},
			bound{"failed", float64(v.Failed), 0, float64(v.Tries)}, bound{"mean", v.Mean, 0, mostSpan},
			bound{"span", v.Span, 1, mostSpan}, bound{"load.util", v.Load.Util, -1, mostLoad},
			bound{"load.rate", v.Load.Rate, -1, mostLoad}, bound{"load.queue", v.Load.Queue, -1, mostLoad}); err != nil {
			return err
		}
		if err := checkTimes(host, v); err != nil {
			return err
		}
	}
	for name, v := range u.Usage {
		if _, ok := s.class[name]; !ok {
			return refuse(fmt.Sprintf("usage[%q]", name), "the class is not in the settings")
		}
		if err := check("usage", name, bound{"came", float64(v.Came), 0, mostTries},
			bound{"unanswered", float64(v.Unanswered), 0, float64(v.Came)}, bound{"span", v.Span, 1, mostSpan}); err != nil {
			return err
		}
	}
	return nil
}
