package steward

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"barleysail/decide"
)

// HostSums is what a proxy met at a host: tries, those with no good answer, the mean time of the good ones,
// the time over which it was counted, and the load that the host last reported.
type HostSums struct {
	Tries, Failed int
	Mean, Span    float64
	Load          decide.Load
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
	Hosts  map[string]HostSums
	Usage  map[string]ClassUsage
}

// ErrNotJoined answers sums of a proxy that has not joined.
var ErrNotJoined = fmt.Errorf("the proxy has not joined: it polls its tables first")

// Bounds of what sums may say: anything beyond is a fault of the sender.
const (
	mostTries = 1 << 30
	mostSpan  = 3600e3
	mostLoad  = 1e9
)

// Sums notes the sums of a proxy, once for each number. It tells whether they were counted: a repeat and one
// that comes after a newer one are not. The error names the field, and nothing is counted.
func (s *Steward) Sums(now float64, proxy string, u Sums) (counted bool, err error) {
	s.now = now
	m := s.members.byName[proxy]
	if m == nil {
		return false, ErrNotJoined
	}
	if err := s.checkSums(u); err != nil {
		return false, err
	}
	if u.Sender == m.sender && u.Number <= m.number {
		return false, nil
	}
	m.sender, m.number = u.Sender, u.Number
	for _, host := range slices.Sorted(maps.Keys(u.Hosts)) {
		v := u.Hosts[host]
		s.module.Heard(s.hosts.of[host], v.Tries, v.Failed, v.Mean, v.Span, v.Load)
	}
	for _, name := range slices.Sorted(maps.Keys(u.Usage)) {
		s.module.Usage(m.index, s.class[name], u.Usage[name].Came, u.Usage[name].Span)
	}
	return true, nil
}

func within(field string, x, least, most float64) error {
	if !(x >= least && x <= most) || math.IsNaN(x) {
		return refuse(field, "%g is not from %g to %g", x, least, most)
	}
	return nil
}

func (s *Steward) checkSums(u Sums) error {
	if u.Number < 1 {
		return refuse("number", "%d is not 1 or more", u.Number)
	}
	if u.Sender != "" {
		if err := checkName("sender", u.Sender); err != nil {
			return err
		}
	}
	for _, host := range slices.Sorted(maps.Keys(u.Hosts)) {
		v, field := u.Hosts[host], fmt.Sprintf("hosts[%q]", host)
		if _, ok := s.hosts.of[host]; !ok {
			return refuse(field, "the host is not on the list")
		}
		if v.Failed > v.Tries {
			return refuse(field+".failed", "%d of %d tries", v.Failed, v.Tries)
		}
		for _, f := range []struct {
			name           string
			x, least, most float64
		}{{"tries", float64(v.Tries), 0, mostTries}, {"failed", float64(v.Failed), 0, mostTries},
			{"mean", v.Mean, 0, mostSpan}, {"span", v.Span, 1, mostSpan}, {"load.util", v.Load.Util, -1, mostLoad},
			{"load.rate", v.Load.Rate, -1, mostLoad}, {"load.queue", v.Load.Queue, -1, mostLoad}} {
			if err := within(field+"."+f.name, f.x, f.least, f.most); err != nil {
				return err
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(u.Usage)) {
		v, field := u.Usage[name], fmt.Sprintf("usage[%q]", name)
		if _, ok := s.class[name]; !ok {
			return refuse(field, "the class is not in the settings")
		}
		for _, f := range []struct {
			name           string
			x, least, most float64
		}{{"came", float64(v.Came), 0, mostTries}, {"unanswered", float64(v.Unanswered), 0, float64(v.Came)},
			{"span", v.Span, 1, mostSpan}} {
			if err := within(field+"."+f.name, f.x, f.least, f.most); err != nil {
				return err
			}
		}
	}
	return nil
}
