package response

import "math"

// window is the stretch over which a host is taken to be in one state.
const window = 1000.0

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
	ratios                float64 // sum of the good tries' times over their classes' usual times
	work, took            float64 // sums of the usual times of the good tries, and of their own
	probeFine, probeOther int
	probeAbsent           int
	util                  float64 // as reported, below 0: not
	all, straight         worked  // of the tries whose work began in it, and of those of them that did not wait
	slow                  float64 // times slower than usual that it was; 0: not known
}

// worked sums what tries worked, over their classes' usual times, and counts those that were done.
type worked struct {
	done    int
	service float64
}

func (w worked) ratio() float64 { return w.service / float64(max(w.done, 1)) }

// row is a host's windows, from a number on.
type row struct {
	base    int
	cells   []cell
	settled int     // windows before this one are
	last    float64 // how slow it last was, in window seen
	seen    int
}

// at gives a window of the row, nil where it is not kept.
func (r *row) at(i int) *cell {
	if r == nil || i < r.base || i >= r.base+len(r.cells) {
		return nil
	}
	return &r.cells[i-r.base]
}

func (m *Model) window(at float64) int { return max(int((at-m.start)/window), 0) }

func (m *Model) cell(host string, at float64) *cell {
	r, i := m.rows[host], m.window(at)
	if r == nil {
		r = &row{base: i, settled: i}
		m.rows[host] = r
	}
	i = max(i, r.base) // one that comes too late counts where the row begins
	for r.base+len(r.cells) <= i {
		r.cells = append(r.cells, cell{util: -1, firstGood: -1, firstBad: -1})
	}
	return r.at(i)
}

// Settle takes in what was seen up to a time: nothing more is told of a window that ends before it.
func (m *Model) CloseWindows(before float64) { m.settle(m.window(before)) }

func (m *Model) settle(end int) {
	for host, r := range m.rows {
		for ; r.settled < min(end, r.base+len(r.cells)); r.settled++ {
			c := r.at(r.settled)
			if c == nil {
				continue
			}
			switch m.pass {
			case fitting:
				m.sum(host).fit(c)
			case fittingWork:
				m.sum(host).fitWork(c)
			case asking:
				r.slow(r.settled, c, m.hosts[host])
			}
		}
	}
}

// Drop forgets what is not asked for from a time on, but what holds on from before it.
func (m *Model) DiscardBefore(before float64) {
	keep := m.window(before) - reach - 1
	for _, r := range m.rows {
		if n := min(keep, r.settled) - r.base; n >= dropLeast {
			r.cells = append(r.cells[:0], r.cells[min(n, len(r.cells)):]...)
			r.base += n
		}
	}
}

// dropLeast windows are dropped at once.
const dropLeast = 32

// slow works out by how much a host was slower in a window that is settled.
func (r *row) slow(i int, c *cell, h HostParameters) {
	if c.state() != alive {
		return
	}
	switch {
	case c.straight.done >= slowLeast:
		c.slow = c.straight.ratio() / h.ServiceTimeFactor
	case c.all.done >= slowLeast:
		c.slow = math.Min(c.all.ratio()/h.ServiceTimeFactor, math.Max(1, float64(h.Cores)*window/(c.work*h.ServiceTimeFactor)))
		if r.last > 0 { // when these began is not sure, so what was last seen counts too
			n := float64(c.all.done)
			c.slow = (n*c.slow + unsureAs*r.last) / (n + unsureAs)
		}
	case r.last > 0 && i-r.seen < reach:
		c.slow = r.last // nothing got done there that would tell otherwise
		return
	default:
		return
	}
	r.last, r.seen = c.slow, i
}

// turning gives the state within a window in which a host was alive for a part only: it hangs or is dead from the
// first try that shows it, if the next window does, and until the first good one, if the window before did.
func (r *row) turning(i int, t float64) state {
	c := r.at(i)
	if next := r.at(i + 1); next != nil && c.firstBad >= 0 && t >= c.firstBad {
		if s := next.state(); s == hung || s == dead {
			return s
		}
	}
	if before := r.at(i - 1); before != nil && t < c.firstGood {
		if s := before.state(); s == hung || s == dead {
			return s
		}
	}
	return alive
}

// reach is for how many windows what was last seen of a host holds on.
const reach = 20

func (c *cell) state() state {
	switch {
	case c.good > 0, c.probeFine > 0: // one that is full refuses tries, and answers probes
		return alive
	case c.refused > 0 && c.refused >= c.failed || c.probeAbsent > 0 && c.failed == 0:
		return dead
	case c.failed > 0 || c.probeOther > 0:
		return hung
	}
	return unseen
}

// slowness is how many times longer than usual for the host its work took. Between slowTaken and its inverse it is
// taken for chance: the transactions' own work differs, and each has what is known of its.
func slowness(slow float64) float64 {
	if slow == 0 || slow < slowTaken && slow > 1/slowTaken {
		return 1
	}
	return slow
}

const slowTaken = 1.4
