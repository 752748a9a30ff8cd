package response

import (
	"math"
	"sort"
)

// summary is what a pass leaves of a host's windows.
type summary struct {
	ratios   sample         // of the windows, in the first pass; of what did not wait, in the second
	quiet    thinned[quiet] // windows with a report of the busy part
	busiest  float64        // work of a window
	straight int            // tries that did not wait
	full     sample         // how many waited when a living host refused a try
}

// quiet is a window's mean time against the usual, its tries in hand, and the busy part reported.
type quiet struct{ ratio, inHand, busy float64 }

// thinned keeps a bounded, evenly thinned part of a stream: every k-th item, k doubling when it is full.
type thinned[T any] struct {
	all         []T
	every, seen int
}

const thinnedMost = 4096

func (s *thinned[T]) add(x T) {
	if s.every == 0 {
		s.every = 1
	}
	if s.seen++; s.seen%s.every != 0 {
		return
	}
	if s.all = append(s.all, x); len(s.all) == thinnedMost {
		half := s.all[:0]
		for i := 1; i < thinnedMost; i += 2 {
			half = append(half, s.all[i])
		}
		s.all, s.every = half, 2*s.every
	}
}

// sample of figures.
type sample struct{ thinned[float64] }

// part gives the figure under which so much of the sample lies.
func (s *sample) part(p float64) float64 {
	if len(s.all) == 0 {
		return 0
	}
	sorted := append([]float64(nil), s.all...)
	sort.Float64s(sorted)
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

// fit takes a window in that is settled, in the pass before Fit.
func (x *summary) fit(c *cell) {
	x.busiest = math.Max(x.busiest, c.work/window)
	if c.good == 0 {
		return
	}
	ratio := c.ratios / float64(c.good)
	x.ratios.add(ratio)
	if c.failed == 0 && c.util >= 0 {
		x.quiet.add(quiet{ratio, c.took / window, c.util})
	}
}

// Fit works out each host's cores, and roughly its speed. Its cores are as the list states them; where nothing is
// stated, the tries in hand, by their times (Little's law), over the part of them that it reported as busy, in windows
// where few waited; without such as many as its busiest window needs. It is as fast as its tries are on average in its
// quicker windows, where few wait, until FitWork knows better.
func (m *Model) FitCores() {
	m.next(fittingWork)
	for host, x := range m.sums {
		h := HostParameters{ServiceTimeFactor: 1, Cores: 1}
		if len(x.ratios.all) > 0 {
			h.Observed, h.ServiceTimeFactor = true, math.Max(x.ratios.part(0.25), 0.05)
		}
		cores := x.busiest * h.ServiceTimeFactor
		if inHand, busy := x.inQuiet(h.ServiceTimeFactor); busy > 0 {
			cores = inHand / busy
		}
		if stated, ok := m.stated[host]; ok {
			cores = stated.cores
		}
		h.Cores = min(max(int(math.Round(cores)), 1), 1024)
		m.hosts[host] = h
	}
	m.quickened()
	m.sums = map[string]*summary{}
}

// inQuiet sums tries in hand and the busy part of the cores over windows where tries took about as long as usual.
// They are chosen by that and not by the busy part: it is a noisy figure, and the low ones of it would be chosen.
func (x *summary) inQuiet(speed float64) (inHand, busy float64) {
	for _, q := range x.quiet.all {
		if q.ratio < quietMost*speed {
			inHand, busy = inHand+q.inHand, busy+q.busy
		}
	}
	return inHand, busy
}

// quietMost is how many times as long as usual tries take in a quiet window at most.
const quietMost = 1.25

// quickened takes hosts at which tries wait even in the quicker windows to be as fast as the others are for what the
// list states of them.
func (m *Model) quickened() {
	told := m.statedTime(0.25, nil) // waiting makes it longer only
	for host, x := range m.stated {
		if h := m.hosts[host]; h.Observed && told > 0 {
			h.ServiceTimeFactor = math.Min(h.ServiceTimeFactor, told/x.speed)
			m.hosts[host] = h
		}
	}
}

// statedTime gives the time that a class's usual try takes at a stated speed of 1, under which a part of the hosts lie
// that are not left out; 0: none tells.
func (m *Model) statedTime(part float64, out map[string]bool) float64 {
	var all []float64
	for host, x := range m.stated {
		if h := m.hosts[host]; h.Observed && !out[host] {
			all = append(all, h.ServiceTimeFactor*x.speed)
		}
	}
	if sort.Float64s(all); len(all) > 0 {
		return all[int(part*float64(len(all)))]
	}
	return 0
}

// refused notes how many waited when a host refused a try.
func (m *Model) refused(host string, at float64, waited int) {
	if m.pass != fittingWork || waited <= 0 {
		return
	}
	if s, _, _ := m.at(host, at); s != alive {
		return
	}
	m.sum(host).full.add(float64(waited))
}

// fitWork takes a window in that is settled, in the pass before FitWork.
func (x *summary) fitWork(c *cell) {
	if c.straight.done >= slowLeast && c.state() == alive {
		x.ratios.add(c.straight.ratio())
		x.straight += c.straight.done
	}
}

// FitWork works out each host's speed, and by how much it was slower in each window, from what its tries worked; from
// those that did not wait, where there are any, since of them it is sure. A try that was given up counts by the time
// it had worked, and not as one that was done: so the mean is right where the slow ones are those that are cut off
// (the estimate of a rate under censoring). The speed is that of the middle window. Hosts that were never at work, or
// where tries waited all day, are taken to be as the others are for what the list states.
func (m *Model) FitServiceTimes() {
	m.next(asking)
	unsure := map[string]bool{}
	for host, h := range m.hosts {
		x := m.sum(host)
		h.QueueLimit = int(x.full.part(0.5))
		if unsure[host] = x.straight < speedLeast; !unsure[host] {
			h.ServiceTimeFactor = math.Max(x.ratios.part(0.5), 0.05)
		}
		m.hosts[host] = h
	}
	told := m.statedTime(0.5, unsure)
	for host, x := range m.stated {
		if h := m.hosts[host]; (!h.Observed || unsure[host]) && told > 0 {
			h.ServiceTimeFactor, h.Cores = told/x.speed, max(int(math.Round(x.cores)), 1)
			m.hosts[host] = h
		}
	}
	m.sums = map[string]*summary{}
}

// So many tries that did not wait tell how slow a host is in a window, and how fast it is at all.
const (
	slowLeast  = 2
	speedLeast = 20
	unsureAs   = 8 // what was last seen counts as so many that waited
)
