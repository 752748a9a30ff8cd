// Package response tells what a host would have answered to a try that it did not get, from the tries that it did
// get. It is fitted from a record and knows nothing that the record does not hold: a host's speed, when it was
// slow, hung or dead, and how many cores it works with. Queueing is first come, first served over the cores. What
// lies where nothing was seen is extrapolated, and counted as such. It does no I/O; times are ms.
package response

import (
	"math"
	"sort"
)

// window is the stretch over which a host is taken to be in one state.
const window = 1000.0

// Outcome of a try.
type Outcome int

// As in package client.
const (
	Fulfilled Outcome = iota
	Failed
	NeverRan
)

// state of a host in a window.
type state int

const (
	unseen state = iota
	alive
	hung
	dead
)

// cell is what was seen of a host in a window.
type cell struct {
	good, failed, refused int
	firstGood, firstBad   float64 // when the first good try began and the first of the others, -1: none
	fastest               float64 // of the good tries' times over their class's usual time; 0: none
	ratios                float64 // sum of these
	longest               float64 // of the good tries
	work, took            float64 // sums of the usual times of the good tries, and of their own
	probeFine, probeOther int
	probeAbsent           int
	util                  float64 // as reported, below 0: not
}

// Host is what the fit found of one.
type Host struct {
	Speed   float64 // times a class's usual time that an unhurried try takes here
	Cores   int
	Full    float64            // tries that would wait longer are refused; 0: never seen
	least   [leastMost]float64 // the same of the fastest of so many tries, as it is to be expected
	Learned bool               // from its own tries
}

// leastMost tries in a window are told apart: the fastest of many is faster than that of a few.
const leastMost = 32

// Model is fitted by Saw, Probed and Loaded in any order, then Fit, then asked.
type Model struct {
	cells   map[string][]cell
	start   float64
	samples map[string]*sample // usual times by class
	usual   map[string]float64
	hosts   map[string]Host
	ratios  map[string]*sample // of good tries' times to their class's usual, by host
}

// New makes a model of a day that begins at a time.
func New(start float64) *Model {
	return &Model{cells: map[string][]cell{}, start: start, samples: map[string]*sample{}, usual: map[string]float64{},
		hosts: map[string]Host{}, ratios: map[string]*sample{}}
}

// Begin sets the time at which the day begins, before anything is seen.
func (m *Model) Begin(start float64) { m.start = start }

// sample keeps a bounded, evenly thinned part of a stream: every k-th figure, k doubling when it is full.
type sample struct {
	all         []float64
	every, seen int
}

const sampleMost = 4096

func (s *sample) add(x float64) {
	if s.every == 0 {
		s.every = 1
	}
	if s.seen++; s.seen%s.every != 0 {
		return
	}
	if s.all = append(s.all, x); len(s.all) == sampleMost {
		half := s.all[:0]
		for i := 1; i < sampleMost; i += 2 {
			half = append(half, s.all[i])
		}
		s.all, s.every = half, 2*s.every
	}
}

// part gives the figure under which so much of the sample lies.
func (s *sample) part(p float64) float64 {
	if len(s.all) == 0 {
		return 0
	}
	sorted := append([]float64(nil), s.all...)
	sort.Float64s(sorted)
	return sorted[min(int(p*float64(len(sorted))), len(sorted)-1)]
}

func (m *Model) cell(host string, at float64) *cell {
	i := max(int((at-m.start)/window), 0)
	row := m.cells[host]
	for len(row) <= i {
		row = append(row, cell{util: -1, firstGood: -1, firstBad: -1})
	}
	m.cells[host] = row
	return &row[i]
}

// Usual notes a good try's time for its class's usual time. All tries go through it before any goes to Saw.
func (m *Model) Usual(class string, took float64) {
	s := m.samples[class]
	if s == nil {
		s = &sample{}
		m.samples[class] = s
	}
	s.add(took)
}

// least gives, for each number of tries, what the fastest of them is to be expected to take: the figure under which
// one part in as many and one more lies.
func (s *sample) least() (all [leastMost]float64) {
	sorted := append([]float64(nil), s.all...)
	sort.Float64s(sorted)
	for n := range all {
		all[n] = math.Max(sorted[len(sorted)/(n+2)], 0.01)
	}
	return all
}

// usualPart of the good tries of a class lie under its usual time: most of those were not held up by others.
const usualPart = 0.35

// UsualTime is that of a class: what a try takes that is not held up.
func (m *Model) UsualTime(class string) float64 {
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
func (m *Model) Saw(class, host string, at, took float64, how Outcome) {
	switch how {
	case Fulfilled:
		c := m.cell(host, at+took) // it was alive when it answered
		c.good++
		if c.firstGood < 0 || at < c.firstGood {
			c.firstGood = at
		}
		usual := m.UsualTime(class)
		c.work, c.took = c.work+usual, c.took+took
		c.longest = math.Max(c.longest, took)
		ratio := took / usual
		if m.ratios[host] == nil {
			m.ratios[host] = &sample{}
		}
		m.ratios[host].add(ratio)
		if c.ratios += ratio; c.fastest == 0 || ratio < c.fastest {
			c.fastest = ratio
		}
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
func (m *Model) Probed(host string, at float64, fine, absent bool) {
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
func (m *Model) Loaded(host string, at, util float64) {
	if util >= 0 {
		m.cell(host, at).util = math.Min(util, 1)
	}
}

// Fit works out each host's speed and cores. A host is as fast as its tries are on average in its quicker windows,
// where few wait; or, if tries wait there all day, as its fastest tries tell by what fastest tries are of the average
// at the others. Its cores are the tries in hand, by their times (Little's law), over the part of them that it
// reported as busy, in windows where few waited; without such as many as its busiest window needs.
func (m *Model) Fit() {
	var parts []float64
	for host, row := range m.cells {
		h := Host{Speed: 1, Cores: 1}
		if means := meanRatios(row); len(means) > 0 {
			h.Learned, h.Speed = true, math.Max(means[len(means)/4], 0.05)
			h.least = m.ratios[host].least()
			parts = append(parts, m.ratios[host].part(fastPart)/h.Speed)
		}
		m.hosts[host] = h
	}
	usual := 0.0
	if sort.Float64s(parts); len(parts) > 0 {
		usual = parts[len(parts)*3/4] // of hosts where few wait: waiting makes the fastest a smaller part
	}
	for host, row := range m.cells {
		h := m.hosts[host]
		if !h.Learned {
			continue
		}
		if fast := m.ratios[host].part(fastPart); usual > 0 && fast < waitsAllDay*usual*h.Speed {
			h.Speed = math.Max(fast/usual, 0.05)
		}
		cores := 0.0
		for _, c := range row {
			cores = math.Max(cores, c.work/window*h.Speed)
		}
		if inHand, busy := inQuiet(row, h.Speed); busy > 0 {
			cores = inHand / busy
		}
		h.Cores, h.Full = min(max(int(math.Round(cores)), 1), 1024), full(row)
		m.hosts[host] = h
	}
}

// fastPart of a host's tries are its fastest; where they are under waitsAllDay of what they are elsewhere, tries wait
// even in the host's quicker windows.
const (
	fastPart    = 0.02
	waitsAllDay = 0.6
)

// meanRatios gives the windows' mean times against the usual, in order.
func meanRatios(row []cell) []float64 {
	var all []float64
	for _, c := range row {
		if c.good > 0 {
			all = append(all, c.ratios/float64(c.good))
		}
	}
	sort.Float64s(all)
	return all
}

// full is the longest that a try took in windows in which the host refused others: then its queue was full.
func full(row []cell) float64 {
	most := 0.0
	for _, c := range row {
		if c.good > 0 && c.refused > 0 {
			most = math.Max(most, c.longest)
		}
	}
	return most
}

// inQuiet sums tries in hand and the busy part of the cores over windows where tries took about as long as usual.
// They are chosen by that and not by the busy part: it is a noisy figure, and the low ones of it would be chosen.
func inQuiet(row []cell, speed float64) (inHand, busy float64) {
	for _, c := range row {
		if c.good > 0 && c.failed == 0 && c.util >= 0 && c.ratios/float64(c.good) < quiet*speed {
			inHand, busy = inHand+c.took/window, busy+c.util
		}
	}
	return inHand, busy
}

// quiet is a window in which tries took less than so many times as long as usual.
const quiet = 1.25

// Host gives what the fit found.
func (m *Model) Host(host string) Host {
	h, ok := m.hosts[host]
	if !ok {
		return Host{Speed: 1, Cores: 1}
	}
	return h
}

// at gives a host's state at a time and how many times slower than usual it was. Where nothing was seen in the
// window the last one before that showed anything holds, up to a bound, and after it the host is taken as alive.
func (m *Model) at(host string, t float64) (s state, slow float64, seen bool) {
	row, i := m.cells[host], int((t-m.start)/window)
	if i < 0 {
		return alive, 1, false
	}
	for k := i; k >= 0 && k > i-reach; k-- {
		if k < len(row) {
			if s := row[k].state(); s != unseen {
				if k == i && s == alive {
					s = m.turning(row, i, t)
				}
				return s, row[k].slow(m.Host(host)), k == i
			}
		}
	}
	return alive, 1, false
}

// turning gives the state within a window in which a host was alive for a part only: it hangs or is dead from the
// first try that shows it, if the next window does, and until the first good one, if the window before did.
func (m *Model) turning(row []cell, i int, t float64) state {
	c := &row[i]
	if i+1 < len(row) && c.firstBad >= 0 && t >= c.firstBad {
		if s := row[i+1].state(); s == hung || s == dead {
			return s
		}
	}
	if i > 0 && t < c.firstGood {
		if s := row[i-1].state(); s == hung || s == dead {
			return s
		}
	}
	return alive
}

// reach is for how many windows what was last seen of a host holds on.
const reach = 20

func (c *cell) state() state {
	switch {
	case c.good > 0:
		return alive
	case c.refused > 0 && c.refused >= c.failed || c.probeAbsent > 0 && c.failed == 0:
		return dead
	case c.probeFine > 0:
		return alive
	case c.failed > 0 || c.probeOther > 0:
		return hung
	}
	return unseen
}

// slow is how many times longer than usual for the host a try took, without its waiting: even the fastest took so
// long, and no more were done than cores so slow can do. Less than a half more is taken for chance.
func (c *cell) slow(h Host) float64 {
	if c.good < 2 {
		return 1
	}
	x := c.fastest / h.least[min(c.good, leastMost-1)]
	if x < 1.5 {
		return 1
	}
	return math.Max(1, math.Min(x, float64(h.Cores)*window/(c.work*h.Speed)))
}

// Alive tells whether a probe at a time would be answered, and if not whether anything is there at all.
func (m *Model) Alive(host string, t float64) (answers, there bool) {
	s, _, _ := m.at(host, t)
	return s == alive, s != dead
}

// Takes is how long an unhurried try of usual work takes at a host at a time.
func (m *Model) Takes(class, host string, t float64) float64 {
	_, slow, _ := m.at(host, t)
	return m.UsualTime(class) * m.Host(host).Speed * slow
}

// bounds of a transaction's work against its class's usual: beyond them a long answer was waiting, not work.
const (
	workLeast = 0.3
	workMost  = 4.0
	heldUp    = 1.5 // times its usual that the mean try took: tries waited for each other
)

// Work is what a transaction took against its class's usual, as told by a good try of it. Where tries waited for
// each other a try's time tells little of its work, and it is taken as usual.
func (m *Model) Work(class, host string, at, took float64) float64 {
	row, i := m.cells[host], int((at+took-m.start)/window)
	takes := m.Takes(class, host, at)
	if i >= 0 && i < len(row) && row[i].good > 0 {
		c := &row[i]
		if h := m.Host(host); c.ratios/float64(c.good) > heldUp*h.Speed*c.slow(h) {
			return 1
		}
	}
	return math.Min(math.Max(took/takes, workLeast), workMost)
}

// Slowness is how many times slower than usual a host is at a time.
func (m *Model) Slowness(host string, t float64) float64 {
	_, slow, _ := m.at(host, t)
	return slow
}
