// Package response tells what a host would have answered to a try that it did not get, from the tries that it did
// get. It is fitted from a record and knows nothing that the record does not hold: a host's speed, when it was
// slow, hung or dead, and how many cores it works with. Queueing is first come, first served over the cores. What
// lies where nothing was seen is extrapolated, and counted as such. It does no I/O; times are ms.
package response

import "math"

// Outcome of a try.
type Result int

// As in package client.
const (
	Fulfilled Result = iota
	Failed
	NeverRan
)

// Host is what the fit found of one.
type HostParameters struct {
	ServiceTimeFactor float64 // times a class's usual time that an unhurried try takes here
	Cores             int
	QueueLimit        int  // so many may wait, further tries are refused; 0: never seen
	Observed          bool // from its own tries
}

// Model is fitted in passes over a day, each in the order of time, and keeps of a day only what lies about the present:
// Usual and Stated in the first; Saw, Probed and Loaded in the second, and Fit at its end; the same with Worked in the
// third, and FitWork at its end; the same once more while it is asked, a little behind. In each pass Settle tells how far
// the day is known, and Drop what is not asked for any more.
type Model struct {
	rows    map[string]*row
	start   float64
	pass    pass
	samples map[string]*sample // usual times by class
	usual   map[string]float64
	hosts   map[string]HostParameters
	stated  map[string]capacity
	sums    map[string]*summary // of the pass, by host
}

// pass over the day that is being made.
type pass int

const (
	fitting pass = iota
	fittingWork
	asking
)

// New makes a model of a day that begins at a time.
func New(start float64) *Model {
	return &Model{rows: map[string]*row{}, start: start, samples: map[string]*sample{}, usual: map[string]float64{},
		hosts: map[string]HostParameters{}, stated: map[string]capacity{}, sums: map[string]*summary{}}
}

// Begin sets the time at which the day begins, before anything is seen.
func (m *Model) SetStart(start float64) { m.start = start }

func (m *Model) sum(host string) *summary {
	x := m.sums[host]
	if x == nil {
		x = &summary{}
		m.sums[host] = x
	}
	return x
}

// next ends a pass.
func (m *Model) next(p pass) {
	m.settle(math.MaxInt)
	m.pass, m.rows = p, map[string]*row{}
}

// Usual notes a good try's time for its class's usual time. All tries go through it before any goes to Saw.
func (m *Model) ObserveLatency(class string, took float64) {
	s := m.samples[class]
	if s == nil {
		s = &sample{}
		m.samples[class] = s
	}
	s.add(took)
}

// usualPart of the good tries of a class lie under its usual time: most of those were not held up by others.
const usualPart = 0.35

// UsualTime is that of a class: what a try takes that is not held up.
func (m *Model) BaseServiceTime(class string) float64 {
	t, ok := m.usual[class]
	if !ok {
		if s := m.samples[class]; s != nil {
			t = s.part(usualPart)
		}
		t = math.Max(t, 0.1)
		m.usual[class] = t
	}
	return t
}

// Saw notes a try as it was recorded.
func (m *Model) ObserveAttempt(class, host string, at, took float64, how Result) {
	switch how {
	case Fulfilled:
		c := m.cell(host, at+took) // it was alive when it answered
		c.good++
		if c.firstGood < 0 || at < c.firstGood {
			c.firstGood = at
		}
		usual := m.BaseServiceTime(class)
		c.work, c.took = c.work+usual, c.took+took
		c.ratios += took / usual
	default:
		c := m.cell(host, at)
		if how == Failed {
			c.failed++
		} else {
			c.refused++
		}
		if c.firstBad < 0 || at < c.firstBad {
			c.firstBad = at
		}
	}
}

// Probed notes a probe: fine, or without an answer, or with nothing found there.
func (m *Model) ObserveHealthCheck(host string, at float64, fine, absent bool) {
	c := m.cell(host, at)
	switch {
	case fine:
		c.probeFine++
	case absent:
		c.probeAbsent++
	default:
		c.probeOther++
	}
}

// Loaded notes the busy part of a host's cores, as it reported it.
func (m *Model) ObserveUtilization(host string, at, util float64) {
	if util >= 0 {
		m.cell(host, at).util = math.Min(util, 1)
	}
}

// capacity of a host, as the list states it.
type capacity struct{ cores, speed float64 }

// Stated notes a host's cores and the speed of each, against others, as the list tells them; cores 0: not told.
func (m *Model) SetListedCapacity(host string, cores, speed float64) {
	if cores > 0 {
		if speed <= 0 {
			speed = 1
		}
		m.stated[host] = capacity{cores, speed}
	}
}

// Worked notes what Lines tells of a try: when its work began, and how long it went on.
func (m *Model) ObserveServiceTime(class, host string, at, took, begin, service float64, how Result) {
	switch how {
	case NeverRan:
		return
	case Failed:
		if s, _, _ := m.at(host, at+took); s != alive {
			return // it was no longer at work
		}
	}
	if service == 0 {
		return
	}
	c := m.cell(host, begin)
	for _, w := range []*worked{&c.all, &c.straight} {
		if w == &c.straight && begin > at {
			continue
		}
		if w.service += service / m.BaseServiceTime(class); how == Fulfilled {
			w.done++
		}
	}
}

// Host gives what the fit found.
func (m *Model) Parameters(host string) HostParameters {
	h, ok := m.hosts[host]
	if !ok {
		return HostParameters{ServiceTimeFactor: 1, Cores: 1}
	}
	return h
}

// at gives a host's state at a time and how many times slower than usual it was. Where nothing was seen in the
// window the last one before that showed anything holds, up to a bound, and after it the host is taken as alive.
func (m *Model) at(host string, t float64) (s state, slow float64, seen bool) {
	if t < m.start {
		return alive, 1, false
	}
	r, i := m.rows[host], m.window(t)
	for k := i; k > i-reach; k-- {
		c := r.at(k)
		if c == nil || c.state() == unseen {
			continue
		}
		s, slow = c.state(), slowness(c.slow)
		if k == i && s == alive {
			s = r.turning(i, t)
		}
		if m.pass == asking && k >= r.settled && r.last > 0 && i-r.seen < reach { // not settled: as it last was
			slow = slowness(r.last)
		}
		return s, slow, k == i
	}
	return alive, 1, false
}

// Alive tells whether a probe at a time would be answered, and if not whether anything is there at all.
func (m *Model) Liveness(host string, t float64) (answers, there bool) {
	s, _, _ := m.at(host, t)
	return s == alive, s != dead
}

// Takes is how long an unhurried try of usual work takes at a host at a time.
func (m *Model) ServiceTime(class, host string, t float64) float64 {
	_, slow, _ := m.at(host, t)
	return m.BaseServiceTime(class) * m.Parameters(host).ServiceTimeFactor * slow
}

// Work is what a transaction was against its class's usual, by what Lines tells of a good try of it.
func (m *Model) RelativeWork(class, host string, begin, service float64) float64 {
	return service / m.ServiceTime(class, host, begin)
}

// Slowness is how many times slower than usual a host is at a time.
func (m *Model) SlowdownFactor(host string, t float64) float64 {
	_, slow, _ := m.at(host, t)
	return slow
}
