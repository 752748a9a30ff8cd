package routing

import (
	"math"
	"testing"
)

// Calculated by hand: 10 attempts of 200 ms a second, with the prior of 4 at the median of 200 ms, give R = 200 ms, so
// 1/R = 5/s. Half the proxies are connected, which doubles the arrival rate to 20/s. mu = 25, d = 640 ms, K = ln 20 /
// 0.64 s = 4.681/s.
func TestExplain(t *testing.T) {
	set := defaultSettings()
	set.deployment.Proxies = 4
	h := newHarness(set, 2)
	h.DisconnectProxy(2)
	h.DisconnectProxy(3)
	h.run(9000, uniformReports(2, healthyReport))
	explanation, known := h.Explain(1)
	if !known {
		t.Fatal("Explain(1) found no host, want host 1")
	}
	if explanation.State != Ready || explanation.Ejected || !explanation.Balanced {
		t.Errorf("state %v, ejected %v, balanced %v; want %v, false, true",
			explanation.State, explanation.Ejected, explanation.Balanced, Ready)
	}
	for _, figure := range []struct {
		name      string
		got, want float64
	}{
		{"base weight", explanation.BaseWeight, 1},
		{"target weight", explanation.TargetWeight, 1},
		{"published weight", explanation.PublishedWeight, 1},
		{"arrival rate", explanation.ArrivalRate, 20},
		{"mean latency", explanation.MeanLatencyMs, 200},
		{"median latency", explanation.MedianLatencyMs, 200},
		{"service rate", explanation.ServiceRate, 25},
		{"latency margin", explanation.LatencyMargin, 4.681},
		{"capacity", explanation.Capacity, 20.319},
		{"slow-start factor", explanation.SlowStartFactor, 1},
		{"recovery factor", explanation.RecoveryFactor, 1},
		{"started", explanation.StartedAtMs, -1},
	} {
		if math.Abs(figure.got-figure.want) > 0.001 {
			t.Errorf("%s is %.4f, want %.4f", figure.name, figure.got, figure.want)
		}
	}
}

func TestExplainUnknownHost(t *testing.T) {
	h := newHarness(defaultSettings(), 2)
	h.ObserveHostStats(3, 1, 0, 100, reportIntervalMs, UnknownLoad) // reported by a proxy, but not on the endpoint list
	for _, host := range []int{2, 3, 99} {
		if _, known := h.Explain(host); known {
			t.Errorf("Explain(%d) found a host, want none", host)
		}
		if ready, factor := h.HostStatus(host); ready || factor != 0 {
			t.Errorf("HostStatus(%d) returned %v, %v; want false, 0", host, ready, factor)
		}
	}
}

func TestHostStatus(t *testing.T) {
	h := newHarness(defaultSettings(), 4)
	h.ObserveDelta()
	h.ObserveEndpoint(1, 1, Draining, 1, 0)
	h.hosts[2].outlier.ejected = true
	h.ObserveEndpoint(3, 1, Ready, 1, h.clockMs)
	for host, want := range []struct {
		name   string
		ready  bool
		factor float64
	}{
		{"ready", true, 1},
		{"draining", false, 1},
		{"ejected", false, 1},
		{"warming up", true, 0.2},
	} {
		t.Run(want.name, func(t *testing.T) {
			if ready, factor := h.HostStatus(host); ready != want.ready || factor != want.factor {
				t.Errorf("got %v, %v; want %v, %v", ready, factor, want.ready, want.factor)
			}
		})
	}
}
