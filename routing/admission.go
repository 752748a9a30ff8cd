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

// admissionState is what admission control keeps.
type admissionState struct {
	ratio                float64   // the part of all requests to admit
	cooldownUntilMs      float64   // the ratio stays until then
	previousSuccessRatio float64   // the fleet's success ratio when the ratio was last looked at
	classDemand          []float64 // requests that came, by class, decaying by windowDecay
	quotas               []float64 // the part to admit, by class
	publishedQuotas      []float64
	retryPolicy          int // as in UpdateWriter.SetAdmission
	publishedRetryPolicy int
}

// newAdmissionState admits everything; what proxies do before they are told otherwise is as published.
func newAdmissionState(classes, defaultRetryPolicy int) admissionState {
	state := admissionState{
		ratio:                1,
		classDemand:          make([]float64, classes),
		quotas:               make([]float64, classes),
		publishedQuotas:      make([]float64, classes),
		retryPolicy:          retryUnprocessed,
		publishedRetryPolicy: defaultRetryPolicy,
	}
	for class := range classes {
		state.quotas[class] = 1
		state.publishedQuotas[class] = 1
	}
	return state
}

// adjustAdmission sets how much is let in. Only measured overload lowers it: busy cores, with failed tries or R that
// eats up the due time. A step down follows the part of the tries fulfilled, a step up the idle cores.
func (s *Balancer) adjustAdmission(w UpdateWriter, classes []RequestClass, goal Objective) {
	busy, n, good, slow, came, dueTime := 0.0, 0.0, 1e-9, 0.0, 1e-9, 0.0
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		if b := v.load.effectiveUtilization(); s.rebalances(v) && b >= 0 {
			tries := v.stats.recentSuccesses + v.stats.recentFailures // a host that is not heard has an old report
			busy, n = busy+b*tries, n+tries
		}
		good, slow = good+v.stats.arrivalRate, slow+v.stats.arrivalRate*v.stats.meanLatencyMs
	}
	for c := range s.admission.classDemand {
		s.admission.classDemand[c] *= windowDecay
		came, dueTime = came+s.admission.classDemand[c], dueTime+s.admission.classDemand[c]*classes[c].LatencyObjectiveMs
	}
	if n <= 0 || s.nowMs < s.admission.cooldownUntilMs {
		return
	}
	busy, slow, dueTime = busy/n, slow/good, dueTime/came
	was := s.admission.ratio
	better := s.admission.ratio < 1 && s.fleet.successRatio > s.admission.previousSuccessRatio+0.05
	if busy > overloadUtilization && !better && (s.fleet.successRatio < 0.93 || slow > 0.4*dueTime) {
		s.admission.ratio = math.Max(s.admission.ratio*math.Min(math.Max(targetUtilization*s.fleet.successRatio, 0.6), 0.9), minAdmissionRatio)
	} else if busy < recoverUtilization {
		s.admission.ratio = math.Min(1, s.admission.ratio*math.Min(math.Max(targetUtilization/busy, 1.1), 1.6))
	}
	s.admission.previousSuccessRatio = s.fleet.successRatio
	if s.admission.ratio == was {
		return
	}
	s.admission.cooldownUntilMs = s.nowMs + s.reports.settlingMs + s.reports.delayMs
	w.Log(Event{AdmissionRatioChanged, NoHost, []Field{{"admission_ratio", s.admission.ratio, 2}, {"utilization", busy, 2},
		{"success_ratio", s.fleet.successRatio, 2}, {"mean_latency_ms", slow, 0}, {"latency_objective_ms", dueTime, 0}}})
	s.admission.retryPolicy = int(s.admission.ratio) // none while less than all is let in
	s.allocateQuotas(classes, goal)
}

// allocateQuotas deals the level out to the classes: the least earnings per work (the due time stands for it) go
// first, unless the worst-served class weighs so much that cutting all evenly costs less.
func (s *Balancer) allocateQuotas(classes []RequestClass, goal Objective) {
	n := len(classes)
	work, earn, order := make([]float64, n), make([]float64, n), make([]int, n)
	allWork, allEarn := 1e-9, 1e-9
	for c, k := range classes {
		n := s.admission.classDemand[c] + 1
		work[c], earn[c], order[c] = n*k.LatencyObjectiveMs, n*k.PriorityWeight, c
		allWork, allEarn = allWork+work[c], allEarn+earn[c]
	}
	sort.SliceStable(order, func(i, j int) bool {
		return earn[order[i]]*work[order[j]] < earn[order[j]]*work[order[i]]
	})
	low, cut := order[0], (1-s.admission.ratio)*allWork
	even := (goal.TotalWeight*earn[low]/allEarn+goal.WorstClassWeight)*allWork/work[low] >= goal.TotalWeight+goal.WorstClassWeight
	for _, c := range order {
		part := math.Min(cut, work[c]*(1-minAdmissionRatio))
		if s.admission.quotas[c] = s.admission.ratio; !even {
			s.admission.quotas[c], cut = 1-part/work[c], cut-part
		}
	}
}
