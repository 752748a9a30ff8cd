package routing

import (
	"math"
	"slices"
)

// Explanation tells why a host's weight is what it is. It is read out and decides nothing; rates are transactions a
// second, times ms.
type Explanation struct {
	State                HostState `json:"Phase"`
	Ejected              bool      `json:"Out"`     // withdrawn
	Balanced             bool      `json:"Serving"` // takes part in moves
	BaseWeight           float64   `json:"Listed"`
	Weight               float64   `json:"Weight"` // where the moves have put it
	TargetWeight         float64   `json:"Want"`   // what the tables should hold of it
	PublishedWeight      float64   `json:"Told"`   // what they hold
	ArrivalRate          float64   `json:"Rate"`   // λ, and the mean time of a try
	MeanLatencyMs        float64   `json:"R"`      // λ, and the mean time of a try
	MedianLatencyMs      float64   `json:"Median"` // of R over all hosts
	ServiceRate          float64   `json:"Mu"`
	LatencyMargin        float64   `json:"K"`
	Capacity             float64   `json:"Cap"`     // mu - K, or the least part of mu; room is Cap - Rate
	SlowStartFactor      float64   `json:"Warmth"`  // part of its capacity that it has, after its start
	RecoveryFactor       float64   `json:"Trial"`   // part of its weight that it has, after its return
	CooldownUntilMs      float64   `json:"Hold"`    // no move before this time
	StartedMs            float64   `json:"Started"` // -1: long ago
	ConsecutiveFailures  int       `json:"Strikes"` // probes in a row unanswered
	Unreachable          bool      `json:"Absent"`  // the last unanswered one found nothing there
	ConsecutiveSuccesses int       `json:"Fine"`    // and answered
	Successes            float64   `json:"Won"`     // tries fulfilled and failed lately, faded
	Failures             float64   `json:"Lost"`
	Load                 HostLoad  `json:"Load"`
}

// Admission tells the level, each class's share, and the median of mean times, 0 where none is known.
func (s *Balancer) Admission() (level float64, shares []float64, median float64) {
	return s.admission.ratio, slices.Clone(s.admission.quotas), s.fleet.medianLatencyMs
}

// Explain tells how a host stands; false where the module does not know it.
func (s *Balancer) Explain(host int) (Explanation, bool) {
	if host >= len(s.hosts) || !s.hosts[host].endpoint.discovered {
		return Explanation{}, false
	}
	v := &s.hosts[host]
	e := Explanation{State: v.endpoint.state, Ejected: v.outlier.ejected, Balanced: s.participates(v), BaseWeight: v.endpoint.baseWeight, Weight: v.balance.weight, TargetWeight: s.targetWeight(v, false),
		PublishedWeight: v.publication.weight, ArrivalRate: v.stats.arrivalRate, MeanLatencyMs: v.stats.meanLatencyMs, MedianLatencyMs: s.fleet.medianLatencyMs, SlowStartFactor: s.slowStartFactor(v), RecoveryFactor: s.recoveryFactor(v), CooldownUntilMs: v.balance.cooldownUntilMs,
		StartedMs: v.endpoint.startedAtMs, ConsecutiveFailures: v.health.consecutiveFailures, Unreachable: v.health.unreachable, ConsecutiveSuccesses: v.health.consecutiveSuccesses, Successes: v.stats.recentSuccesses, Failures: v.stats.recentFailures, Load: v.load}
	if v.stats.meanLatencyMs > 0 && s.fleet.medianLatencyMs > 0 {
		e.ServiceRate, e.Capacity = v.stats.arrivalRate+1000/v.stats.meanLatencyMs, deadlineCapacity(v.stats.arrivalRate, v.stats.meanLatencyMs, s.fleet.medianLatencyMs)
		e.LatencyMargin = math.Min(e.ServiceRate-e.Capacity, e.ServiceRate)
	}
	return e, true
}

// HostStatus tells whether a host is listed as ready and not withdrawn, and the part of its capacity that it has after its
// start: what a table guard looks at each round.
func (s *Balancer) HostStatus(host int) (ready bool, warmth float64) {
	if host >= len(s.hosts) || !s.hosts[host].endpoint.discovered {
		return false, 0
	}
	v := &s.hosts[host]
	return v.endpoint.state == Ready && !v.outlier.ejected, s.slowStartFactor(v)
}
