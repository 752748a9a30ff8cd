package routing

import (
	"math"
	"slices"
)

// Explanation holds the inputs and intermediate results of a host's weight. It is for operators; no decision depends
// on it. Rates are in requests a second, latencies and instants in ms, factors from 0 to 1. The JSON names are part
// of the API.
type Explanation struct {
	State      HostState `json:"Phase"`
	Ejected    bool      `json:"Out"`
	Balanced   bool      `json:"Serving"` // it takes part in rebalancing
	BaseWeight float64   `json:"Listed"`  // as discovered

	Weight          float64 `json:"Weight"` // the weight after rebalancing
	TargetWeight    float64 `json:"Want"`   // the weight that it should have in the published tables
	PublishedWeight float64 `json:"Told"`   // the weight that it has in them

	ArrivalRate     float64 `json:"Rate"`   // lambda
	MeanLatencyMs   float64 `json:"R"`      // of an attempt
	MedianLatencyMs float64 `json:"Median"` // of the mean latencies of all hosts
	ServiceRate     float64 `json:"Mu"`     // lambda + 1/R; 0 where no latency is known yet
	LatencyMargin   float64 `json:"K"`      // K: the service rate less the capacity
	Capacity        float64 `json:"Cap"`    // mu - K; the headroom is Capacity - ArrivalRate

	SlowStartFactor float64 `json:"Warmth"`  // fraction of its capacity that it has after its start
	RecoveryFactor  float64 `json:"Trial"`   // fraction of its weight on the recovery ramp after an ejection
	CooldownUntilMs float64 `json:"Hold"`    // no weight transfer before this instant
	StartedAtMs     float64 `json:"Started"` // -1: its start was not observed

	ConsecutiveFailures  int  `json:"Strikes"` // health checks in a row without an answer
	Unreachable          bool `json:"Absent"`  // the last of them found nothing listening
	ConsecutiveSuccesses int  `json:"Fine"`    // health checks in a row with a healthy answer

	Successes float64  `json:"Won"`  // recent attempts that succeeded, decaying
	Failures  float64  `json:"Lost"` // recent attempts that failed, decaying
	Load      HostLoad `json:"Load"` // as last reported
}

// Admission returns the admission ratio, each class's quota, and the median latency in ms, 0 where none is known.
func (b *Balancer) Admission() (ratio float64, quotas []float64, medianLatencyMs float64) {
	return b.admission.ratio, slices.Clone(b.admission.quotas), b.fleet.medianLatencyMs
}

// Explain returns the inputs and intermediate results of a host's weight. It returns false for an unknown host.
func (b *Balancer) Explain(host int) (Explanation, bool) {
	record := b.discoveredHost(host)
	if record == nil {
		return Explanation{}, false
	}
	explanation := Explanation{
		State:                record.endpoint.state,
		Ejected:              record.outlier.ejected,
		Balanced:             b.isRebalanced(record),
		BaseWeight:           record.endpoint.baseWeight,
		Weight:               record.balance.weight,
		TargetWeight:         b.targetWeight(record, false),
		PublishedWeight:      record.publication.weight,
		ArrivalRate:          record.stats.arrivalRate,
		MeanLatencyMs:        record.stats.meanLatencyMs,
		MedianLatencyMs:      b.fleet.medianLatencyMs,
		SlowStartFactor:      b.slowStartFactor(record),
		RecoveryFactor:       b.recoveryFactor(record),
		CooldownUntilMs:      record.balance.cooldownUntilMs,
		StartedAtMs:          record.endpoint.effectiveStartMs(),
		ConsecutiveFailures:  record.health.consecutiveFailures,
		Unreachable:          record.health.unreachable,
		ConsecutiveSuccesses: record.health.consecutiveSuccesses,
		Successes:            record.stats.recentSuccesses,
		Failures:             record.stats.recentFailures,
		Load:                 record.load,
	}
	explanation.addCapacity()
	return explanation, true
}

// addCapacity sets the values of the capacity formula where the latencies are known.
func (e *Explanation) addCapacity() {
	if e.MeanLatencyMs <= 0 || e.MedianLatencyMs <= 0 {
		return
	}
	e.ServiceRate = serviceRate(e.ArrivalRate, e.MeanLatencyMs)
	e.Capacity = deadlineCapacity(e.ArrivalRate, e.MeanLatencyMs, e.MedianLatencyMs)
	e.LatencyMargin = math.Min(e.ServiceRate-e.Capacity, e.ServiceRate)
}

// HostStatus reports whether a host is ready and not ejected, and returns its slow-start factor: the fraction of its
// capacity, from 0 to 1, that it has since its start.
func (b *Balancer) HostStatus(host int) (ready bool, slowStartFactor float64) {
	record := b.discoveredHost(host)
	if record == nil {
		return false, 0
	}
	return record.endpoint.state == Ready && !record.outlier.ejected, b.slowStartFactor(record)
}

// discoveredHost returns the record of a host that has been on an endpoint list, or nil.
func (b *Balancer) discoveredHost(host int) *hostRecord {
	if host >= len(b.hosts) || !b.hosts[host].endpoint.discovered {
		return nil
	}
	return &b.hosts[host]
}
