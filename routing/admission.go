package routing

import (
	"math"
	"sort"
)

const (
	// overloadUtilization is the utilization above which the fleet may be overloaded.
	overloadUtilization = 0.9

	// targetUtilization is the utilization at which a change of the admission ratio aims.
	targetUtilization = 0.85

	// recoverUtilization is the utilization below which the admission ratio rises again.
	recoverUtilization = 0.8

	// overloadSuccessRatio is the fleet's success ratio below which a high utilization is an overload.
	overloadSuccessRatio = 0.93

	// overloadLatencyShare is the fraction of the latency objective that the mean latency exceeds in an overload.
	overloadLatencyShare = 0.4

	// successRatioImprovement is the rise of the success ratio that shows that the last step down is still taking effect.
	successRatioImprovement = 0.05

	// minAdmissionRatio is the fraction of the requests of any class that is always admitted.
	minAdmissionRatio = 0.1

	// Bounds of the factor of one step down and of one step up.
	stepDownMin = 0.6
	stepDownMax = 0.9
	stepUpMin   = 1.1
	stepUpMax   = 1.6
)

// admissionState is the state of admission control.
type admissionState struct {
	ratio                float64   // the fraction of all requests to admit
	cooldownUntilMs      float64   // no change of the ratio before this instant
	previousSuccessRatio float64   // the fleet's success ratio when the admission ratio was last evaluated
	classDemand          []float64 // requests received, by class, decaying by windowDecay
	quotas               []float64 // the fraction of each class's requests to admit
	publishedQuotas      []float64
	retryPolicy          int // as in UpdateWriter.SetAdmission
	publishedRetryPolicy int
}

// newAdmissionState returns the state that admits everything. The proxies' behavior before their first update counts
// as published, so that only a difference from it is sent.
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

// fleetLoad is the fleet's mean utilization and latency.
type fleetLoad struct {
	measured           bool    // some host reported its load
	utilization        float64 // mean of the hosts', by their recent attempts
	meanLatencyMs      float64 // mean of the hosts', by their arrival rates
	latencyObjectiveMs float64 // mean of the classes', by their demand
}

// adjustAdmission sets the admission ratio, and so decides when load is shed. Only measured overload lowers it: a
// utilization above overloadUtilization, together with a success ratio below overloadSuccessRatio or a mean latency
// above overloadLatencyShare of the latency objective. allocateQuotas decides which request class is shed first. The
// size of a step down depends on the success ratio, that of a step up on the idle cores. While less than all is
// admitted, nothing is retried.
func (b *Balancer) adjustAdmission(writer UpdateWriter) {
	load := b.measureFleetLoad()
	if !load.measured || b.nowMs < b.admission.cooldownUntilMs {
		return
	}
	ratio := b.nextAdmissionRatio(load)
	b.admission.previousSuccessRatio = b.fleet.successRatio
	if ratio == b.admission.ratio {
		return
	}
	b.admission.ratio = ratio
	b.admission.cooldownUntilMs = b.nowMs + b.reports.settlingMs + b.reports.delayMs
	writer.Log(Event{AdmissionRatioChanged, NoHost, []Field{
		{"admission_ratio", ratio, 2},
		{"utilization", load.utilization, 2},
		{"success_ratio", b.fleet.successRatio, 2},
		{"mean_latency_ms", load.meanLatencyMs, 0},
		{"latency_objective_ms", load.latencyObjectiveMs, 0},
	}})
	b.admission.retryPolicy = retryPolicyAt(ratio)
	b.allocateQuotas()
}

// retryPolicyAt returns the retry policy that goes with an admission ratio.
func retryPolicyAt(admissionRatio float64) int {
	if admissionRatio < 1 {
		return retryNone
	}
	return retryUnprocessed
}

// measureFleetLoad decays the demand of the classes by one report round, and averages the load over the fleet.
// The utilization is weighted by recent attempts, since a host without recent attempts has an old load report.
func (b *Balancer) measureFleetLoad() fleetLoad {
	weightedUtilization := 0.0
	attempts := 0.0
	weightedLatency := 0.0
	arrivalRate := minDivisor
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		hostUtilization := host.load.effectiveUtilization()
		if b.isRebalanced(host) && hostUtilization >= 0 {
			weightedUtilization += hostUtilization * host.stats.recentAttempts()
			attempts += host.stats.recentAttempts()
		}
		weightedLatency += host.stats.arrivalRate * host.stats.meanLatencyMs
		arrivalRate += host.stats.arrivalRate
	}
	weightedObjective := 0.0
	demand := minDivisor
	for class := range b.admission.classDemand {
		b.admission.classDemand[class] *= windowDecay
		weightedObjective += b.admission.classDemand[class] * b.classes[class].LatencyObjectiveMs
		demand += b.admission.classDemand[class]
	}
	if attempts <= 0 {
		return fleetLoad{}
	}
	return fleetLoad{
		measured:           true,
		utilization:        weightedUtilization / attempts,
		meanLatencyMs:      weightedLatency / arrivalRate,
		latencyObjectiveMs: weightedObjective / demand,
	}
}

// nextAdmissionRatio returns the admission ratio after one step down, one step up or none. It makes no second step
// down while the success ratio shows that the last one is taking effect.
func (b *Balancer) nextAdmissionRatio(load fleetLoad) float64 {
	ratio := b.admission.ratio
	successRatio := b.fleet.successRatio
	improving := ratio < 1 && successRatio > b.admission.previousSuccessRatio+successRatioImprovement
	failing := successRatio < overloadSuccessRatio ||
		load.meanLatencyMs > overloadLatencyShare*load.latencyObjectiveMs
	if load.utilization > overloadUtilization && failing && !improving {
		factor := math.Min(math.Max(targetUtilization*successRatio, stepDownMin), stepDownMax)
		return math.Max(ratio*factor, minAdmissionRatio)
	}
	if load.utilization < recoverUtilization {
		factor := math.Min(math.Max(targetUtilization/load.utilization, stepUpMin), stepUpMax)
		return math.Min(1, ratio*factor)
	}
	return ratio
}

// classLoad is the work that a request class causes and the value that it brings.
type classLoad struct {
	class int
	work  float64 // requests times the latency objective, a substitute for the unknown work of a request
	value float64 // requests times the priority weight
}

// allocateQuotas sets each class's admission quota by the admission ratio. Load is shed from the class with the least
// priority weight for its work first, unless the objective counts the worst-served class so much that it costs less
// to admit the same fraction of all classes.
func (b *Balancer) allocateQuotas() {
	loads := make([]classLoad, len(b.classes))
	totalWork := minDivisor
	totalValue := minDivisor
	for i, class := range b.classes {
		requests := b.admission.classDemand[i] + 1
		loads[i] = classLoad{i, requests * class.LatencyObjectiveMs, requests * class.PriorityWeight}
		totalWork += loads[i].work
		totalValue += loads[i].value
	}
	sort.SliceStable(loads, func(i, j int) bool {
		return loads[i].value*loads[j].work < loads[j].value*loads[i].work
	})
	lowest := loads[0]
	objective := b.objective
	costInOrder := (objective.TotalWeight*lowest.value/totalValue + objective.WorstClassWeight) * totalWork / lowest.work
	costUniform := objective.TotalWeight + objective.WorstClassWeight
	if costInOrder >= costUniform {
		for i := range b.admission.quotas {
			b.admission.quotas[i] = b.admission.ratio
		}
		return
	}
	excessWork := (1 - b.admission.ratio) * totalWork
	for _, load := range loads {
		shedWork := math.Min(excessWork, load.work*(1-minAdmissionRatio))
		b.admission.quotas[load.class] = 1 - shedWork/load.work
		excessWork -= shedWork
	}
}
