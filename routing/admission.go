package routing

import (
	"math"
	"sort"
)

const (
	shedAbove  = 0.9  // busy cores that may mean overload
	shedTo     = 0.85 // busy cores aimed at by a change of level
	easeUnder  = 0.8  // busy cores under which the level rises
	levelLeast = 0.1
)

// admit sets how much is let in. Only measured overload lowers it: busy cores, with failed tries or R that
// eats up the due time. A step down follows the part of the tries fulfilled, a step up the idle cores.
func (s *Balancer) admit(w UpdateWriter, classes []RequestClass, goal Objective) {
	busy, n, good, slow, came, dueTime := 0.0, 0.0, 1e-9, 0.0, 1e-9, 0.0
	for _, h := range s.order {
		v := &s.servers[h]
		if b := v.load.busy(); s.serving(v) && b >= 0 {
			tries := v.won + v.lost // a host that is not heard has an old report
			busy, n = busy+b*tries, n+tries
		}
		good, slow = good+v.rate, slow+v.rate*v.r
	}
	for c := range s.came {
		s.came[c] *= memory
		came, dueTime = came+s.came[c], dueTime+s.came[c]*classes[c].LatencyObjectiveMs
	}
	if n <= 0 || s.now < s.levelHold {
		return
	}
	busy, slow, dueTime = busy/n, slow/good, dueTime/came
	was := s.level
	better := s.level < 1 && s.fulfilled > s.lowFulfilled+0.05
	if busy > shedAbove && !better && (s.fulfilled < 0.93 || slow > 0.4*dueTime) {
		s.level = math.Max(s.level*math.Min(math.Max(shedTo*s.fulfilled, 0.6), 0.9), levelLeast)
	} else if busy < easeUnder {
		s.level = math.Min(1, s.level*math.Min(math.Max(shedTo/busy, 1.1), 1.6))
	}
	s.lowFulfilled = s.fulfilled
	if s.level == was {
		return
	}
	s.levelHold = s.now + s.settle + s.gap
	w.Log(Event{AdmissionRatioChanged, NoHost, []Field{{"admission_ratio", s.level, 2}, {"utilization", busy, 2},
		{"success_ratio", s.fulfilled, 2}, {"mean_latency_ms", slow, 0}, {"latency_objective_ms", dueTime, 0}}})
	s.tries = int(s.level) // none while less than all is let in
	s.spread(classes, goal)
}

// spread deals the level out to the classes: the least earnings per work (the due time stands for it) go
// first, unless the worst-served class weighs so much that cutting all evenly costs less.
func (s *Balancer) spread(classes []RequestClass, goal Objective) {
	n := len(classes)
	work, earn, order := make([]float64, n), make([]float64, n), make([]int, n)
	allWork, allEarn := 1e-9, 1e-9
	for c, k := range classes {
		n := s.came[c] + 1
		work[c], earn[c], order[c] = n*k.LatencyObjectiveMs, n*k.PriorityWeight, c
		allWork, allEarn = allWork+work[c], allEarn+earn[c]
	}
	sort.SliceStable(order, func(i, j int) bool {
		return earn[order[i]]*work[order[j]] < earn[order[j]]*work[order[i]]
	})
	low, cut := order[0], (1-s.level)*allWork
	even := (goal.TotalWeight*earn[low]/allEarn+goal.WorstClassWeight)*allWork/work[low] >= goal.TotalWeight+goal.WorstClassWeight
	for _, c := range order {
		part := math.Min(cut, work[c]*(1-levelLeast))
		if s.shares[c] = s.level; !even {
			s.shares[c], cut = 1-part/work[c], cut-part
		}
	}
}
