package routing

import (
	"slices"
	"testing"
)

func TestEffectiveUtilization(t *testing.T) {
	for _, test := range []struct {
		name string
		load HostLoad
		want float64
	}{
		{"unknown", UnknownLoad, -1},
		{"utilization", HostLoad{Utilization: 0.7, RequestRate: -1, QueueLength: -1}, 0.7},
		{"utilization before queue", HostLoad{Utilization: 0.7, RequestRate: -1, QueueLength: 5}, 0.7},
		{"empty queue", HostLoad{Utilization: -1, RequestRate: -1, QueueLength: 0}, 0.5},
		{"short queue", HostLoad{Utilization: -1, RequestRate: -1, QueueLength: 0.25}, 0.75},
		{"long queue", HostLoad{Utilization: -1, RequestRate: -1, QueueLength: 9}, 1},
		{"only a rate", HostLoad{Utilization: -1, RequestRate: 30, QueueLength: -1}, -1},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := test.load.effectiveUtilization(); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestObserveHealthCheck(t *testing.T) {
	for _, test := range []struct {
		name        string
		results     []HealthCheckResult
		failures    int
		successes   int
		unreachable bool
	}{
		{"healthy", []HealthCheckResult{Healthy, Healthy}, 0, 2, false},
		{"timed out", []HealthCheckResult{Healthy, TimedOut, TimedOut}, 2, 0, false},
		{"unreachable", []HealthCheckResult{TimedOut, Unreachable}, 2, 0, true},
		{"unreachable, then timed out", []HealthCheckResult{Unreachable, TimedOut}, 2, 0, false},
		{"recovered", []HealthCheckResult{Unreachable, Healthy}, 0, 1, true},
		{"rejected after a failure", []HealthCheckResult{TimedOut, Rejected}, 1, 0, false},
		{"rejected after a success", []HealthCheckResult{Healthy, Rejected}, 0, 1, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(defaultSettings(), 1)
			for _, result := range test.results {
				h.hosts[0].health.checkInFlight = true
				h.ObserveHealthCheck(0, result, UnknownLoad)
			}
			want := healthRecord{
				consecutiveFailures:  test.failures,
				consecutiveSuccesses: test.successes,
				unreachable:          test.unreachable,
			}
			if got := h.hosts[0].health; got != want {
				t.Errorf("got  %+v\nwant %+v", got, want)
			}
		})
	}
}

// The restored weight, mean latency, successes and failures of a host take effect like measured ones.
func TestRestoreHost(t *testing.T) {
	h := newHarness(defaultSettings(), 2)
	h.ObserveEndpoint(1, 1, Ready, 3, 0)
	h.RestoreHost(1, 0.5, 120, 1, 7)
	explanation, _ := h.Explain(1)
	if explanation.Weight != 1.5 || explanation.MeanLatencyMs != 120 {
		t.Errorf("weight %v, mean latency %v ms; want 1.5, 120 ms", explanation.Weight, explanation.MeanLatencyMs)
	}
	if explanation.Successes != 1 || explanation.Failures != 7 {
		t.Errorf("%v successes, %v failures; want 1, 7", explanation.Successes, explanation.Failures)
	}
	if explanation.TargetWeight != 0.75 { // half the weight, by the success penalty
		t.Errorf("target weight %v, want 0.75", explanation.TargetWeight)
	}
	h.RestoreHost(1, 0.5, 0, 1, 7)
	if latencyMs := h.hosts[1].stats.meanLatencyMs; latencyMs != 120 {
		t.Errorf("mean latency %v ms after an unknown latency was restored, want 120 ms", latencyMs)
	}
}

func TestRestoreAdmission(t *testing.T) {
	for _, test := range []struct {
		name        string
		ratio       float64
		quotas      []float64
		retryPolicy int
	}{
		{"all admitted", 1, []float64{1, 1}, retryUnprocessed},
		{"less admitted", 0.6, []float64{0.3, 1}, retryNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(defaultSettings(), 2)
			h.RestoreAdmission(test.ratio, test.quotas, 180)
			ratio, quotas, medianLatencyMs := h.Admission()
			if ratio != test.ratio || !slices.Equal(quotas, test.quotas) || medianLatencyMs != 180 {
				t.Errorf("ratio %v, quotas %v, median latency %v ms; want %v, %v, 180 ms",
					ratio, quotas, medianLatencyMs, test.ratio, test.quotas)
			}
			if h.admission.retryPolicy != test.retryPolicy {
				t.Errorf("retry policy %d, want %d", h.admission.retryPolicy, test.retryPolicy)
			}
			quotas[0] = 99
			if h.admission.quotas[0] == 99 {
				t.Error("Admission returned the balancer's own slice of quotas, want a copy")
			}
		})
	}
}
