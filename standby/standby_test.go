package standby

import (
	"fmt"
	"strings"
	"testing"
)

// The takeover as a state machine: a first steward, a standby that follows it, and two proxies, each of which polls one of
// them. Time goes by in ticks of a second. Everything that may happen is tried in every order to a stated depth.
const (
	fresh     = 2 // ticks for which the standby goes by what the first told
	leaveTick = 3 // ticks without a poll after which a proxy has left the first
)

// decider is what the standby decides by: the package's own, or a mutant.
type decider interface {
	ObserveSessions(now float64, proxies []string)
	Heartbeat(now float64)
	ShouldServe(now float64, proxy string) (bool, float64)
}

// world is where everything stands. What the decider knows follows from the path, so each path replays into a fresh one.
type world struct {
	now      float64
	up       bool       // the first
	follows  bool       // the way from the standby to the first
	way      [2]bool    // each proxy's way to the first
	polled   [2]float64 // when it last polled the first; below 0: it has left or never came
	serves   [2]int     // who last answered its poll: 1 the first, 2 the standby
	last     float64    // when the standby last heard the first
	hadThen  [2]bool    // whom the first then had
	problems []string
}

var events = []string{"tick", "first dies", "first returns", "way breaks", "way mends", "p0 loses its way", "p0 finds it", "p0 polls", "p1 polls"}

func (w *world) do(e string, d decider) {
	names := []string{"p0", "p1"}
	switch e {
	case "tick":
		w.now++
		for i := range w.polled {
			if w.polled[i] >= 0 && w.now-w.polled[i] >= leaveTick {
				w.polled[i] = -1
			}
		}
		if w.up && w.follows {
			w.last = w.now
			var has []string
			for i, n := range names {
				if w.hadThen[i] = w.polled[i] >= 0; w.hadThen[i] {
					has = append(has, n)
				}
			}
			d.ObserveSessions(w.now, has)
		}
	case "first dies":
		w.up, w.polled = false, [2]float64{-1, -1}
	case "first returns":
		w.up = true
	case "way breaks":
		w.follows = false
	case "way mends":
		w.follows = true
	case "p0 loses its way":
		w.way[0] = false
	case "p0 finds it":
		w.way[0] = true
	case "p0 polls":
		w.poll(0, "p0", d)
	case "p1 polls":
		w.poll(1, "p1", d)
	}
}

// poll goes to the first where the proxy can, as a client tries its stewards in order, and else to the standby.
func (w *world) poll(i int, name string, d decider) {
	if w.up && w.way[i] {
		w.polled[i], w.serves[i] = w.now, 1
		return
	}
	serve, _ := d.ShouldServe(w.now, name)
	heard := w.now < w.last+fresh && w.hadThen[i]
	if serve {
		w.serves[i] = 2
	}
	if serve && heard {
		w.problems = append(w.problems, "no table is published to a proxy whom the first was lately heard to have")
	}
	if !serve && !heard {
		w.problems = append(w.problems, "a proxy whom the first does not have is served")
	}
}

// explore tries every order of events to a depth, and gives the first path on which an invariant breaks.
func explore(depth int, make func() decider) (paths int, broken string) {
	var path []string
	var try func(left int) bool
	try = func(left int) bool {
		paths++
		w := &world{up: true, follows: true, way: [2]bool{true, true}, polled: [2]float64{-1, -1}, last: -1e9}
		d := make()
		for _, e := range path {
			w.do(e, d)
		}
		if len(w.problems) > 0 {
			broken = fmt.Sprintf("%s: %s", strings.Join(path, ", "), w.problems[0])
			return false
		}
		for _, e := range events {
			if left == 0 {
				return true
			}
			path = append(path, e)
			if !try(left - 1) {
				return false
			}
			path = path[:len(path)-1]
		}
		return true
	}
	try(depth)
	return paths, broken
}

// eager serves whoever comes; deaf never hears that a proxy has left; stale goes by what it heard for ever.
type eager struct{ *Standby }

func (eager) ShouldServe(float64, string) (bool, float64) { return true, 0 }

type deaf struct{ *Standby }

func (d deaf) ObserveSessions(now float64, proxies []string) {
	for p := range d.has {
		proxies = append(proxies, p)
	}
	d.Standby.ObserveSessions(now, append([]string(nil), proxies...))
}

type stale struct{ *Standby }

func (s stale) ShouldServe(now float64, proxy string) (bool, float64) {
	s.limits.LeaseMs = 1e9
	return s.Standby.ShouldServe(now, proxy)
}

// All orders of six events keep both invariants: nobody is given tables whom the first was lately heard to have, and nobody
// else is sent away. Mutants of the decision are caught.
func TestTakeoverModel(t *testing.T) {
	fine := func() decider { return New(Limits{LeaseMs: fresh}) }
	paths, broken := explore(6, fine)
	if broken != "" || paths < 500000 {
		t.Errorf("%d paths: %s", paths, broken)
	}
	t.Logf("%d paths", paths)
	for name, mutant := range map[string]func() decider{
		"eager": func() decider { return eager{New(Limits{LeaseMs: fresh})} },
		"deaf":  func() decider { return deaf{New(Limits{LeaseMs: fresh})} },
		"stale": func() decider { return stale{New(Limits{LeaseMs: fresh})} }} {
		if _, broken := explore(8, mutant); broken == "" {
			t.Errorf("the %s standby was not caught", name)
		}
	}
}

// Served once, it is live, and counts whom it sent back.
func TestLive(t *testing.T) {
	s := New(Limits{LeaseMs: 3000})
	s.ObserveSessions(1000, []string{"p"})
	if serve, again := s.ShouldServe(2000, "p"); serve || again != 2000 {
		t.Errorf("served %v, again %g", serve, again)
	}
	s.Heartbeat(3000)
	if serve, _ := s.ShouldServe(5999, "p"); serve {
		t.Error("served though the first is there")
	}
	if live, _ := s.Active(); live || s.RejectedPolls() != 2 {
		t.Errorf("live %v, sent back %d", live, s.RejectedPolls())
	}
	if serve, _ := s.ShouldServe(6000, "p"); !serve {
		t.Error("not served though the first was not heard")
	}
	if live, since := s.Active(); !live || since != 6000 || s.LeaseValid(6000) {
		t.Errorf("live %v since %g", live, since)
	}
}
