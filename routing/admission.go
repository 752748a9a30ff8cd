package routing

import (
	"math"
	"sort"
)

const (
	overloadUtilization = 0.9  // busy cores that may mean overload
	targetUtilization   = 0.85 // busy cores aimed at by a change of level
	recoverUtilization  = 0.8  // busy cores under which the level rises
	minAdmissionRatio   = 0.1
)

// adjustAdmission sets how much is let in. Only measured overload lowers it: busy cores, with failed tries or R that
// eats up the due time. A step down follows the part of the tries fulfilled, a step up the idle cores.
func (s *Balancer) adjustAdmission(w UpdateWriter, classes []RequestClass, goal Objective) {
	busy, n, good, slow, came, dueTime := 0.0, 0.0, 1e-9, 0.0, 1e-9, 0.0
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		if b := v.load.effectiveUtilization(); s.rebalances(v) && b >= 0 {
			tries := v.recentSuccesses + v.recentFailures // a host that is not heard has an old report
			busy, n = busy+b*tries, n+tries
		}
		good, slow = good+v.arrivalRate, slow+v.arrivalRate*v.meanLatencyMs
	}
	for c := range s.classDemand {
		s.classDemand[c] *= windowDecay
		came, dueTime = came+s.classDemand[c], dueTime+s.classDemand[c]*classes[c].LatencyObjectiveMs
	}
	if n <= 0 || s.nowMs < s.admissionCooldownUntilMs {
		return
	}
	busy, slow, dueTime = busy/n, slow/good, dueTime/came
	was := s.admissionRatio
	better := s.admissionRatio < 1 && s.successRatio > s.previousSuccessRatio+0.05
	if busy > overloadUtilization && !better && (s.successRatio < 0.93 || slow > 0.4*dueTime) {
		s.admissionRatio = math.Max(s.admissionRatio*math.Min(math.Max(targetUtilization*s.successRatio, 0.6), 0.9), minAdmissionRatio)
	} else if busy < recoverUtilization {
		s.admissionRatio = math.Min(1, s.admissionRatio*math.Min(math.Max(targetUtilization/busy, 1.1), 1.6))
	}
	s.previousSuccessRatio = s.successRatio
	if s.admissionRatio == was {
		return
	}
	s.admissionCooldownUntilMs = s.nowMs + s.settlingMs + s.reportDelayMs
	w.Log(Event{AdmissionRatioChanged, NoHost, []Field{{"admission_ratio", s.admissionRatio, 2}, {"utilization", busy, 2},
		{"success_ratio", s.successRatio, 2}, {"mean_latency_ms", slow, 0}, {"latency_objective_ms", dueTime, 0}}})
	s.retryPolicy = int(s.admissionRatio) // none while less than all is let in
	s.allocateQuotas(classes, goal)
}

// allocateQuotas deals the level out to the classes: the least earnings per work (the due time stands for it) go
// first, unless the worst-served class weighs so much that cutting all evenly costs less.
func (s *Balancer) allocateQuotas(classes []RequestClass, goal Objective) {
	n := len(classes)
	work, earn, order := make([]float64, n), make([]float64, n), make([]int, n)
	allWork, allEarn := 1e-9, 1e-9
	for c, k := range classes {
		n := s.classDemand[c] + 1
		work[c], earn[c], order[c] = n*k.LatencyObjectiveMs, n*k.PriorityWeight, c
		allWork, allEarn = allWork+work[c], allEarn+earn[c]
	}
	sort.SliceStable(order, func(i, j int) bool {
		return earn[order[i]]*work[order[j]] < earn[order[j]]*work[order[i]]
	})
	low, cut := order[0], (1-s.admissionRatio)*allWork
	even := (goal.TotalWeight*earn[low]/allEarn+goal.WorstClassWeight)*allWork/work[low] >= goal.TotalWeight+goal.WorstClassWeight
	for _, c := range order {
		part := math.Min(cut, work[c]*(1-minAdmissionRatio))
		if s.quotas[c] = s.admissionRatio; !even {
			s.quotas[c], cut = 1-part/work[c], cut-part
		}
	}
}
