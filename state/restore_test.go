package state

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"barleysail/internal/golden"
	"barleysail/state/statepb"
)

const (
	sampleAtMs        = 1e6   // instant of the sample state
	sampleSlowStartMs = 18000 // slow start time of the hosts in the sample state
)

// sampleState returns a state with a host that failed and was ejected, one in slow start, one that is draining, a proxy
// with its table, and two overrides of which one expires.
func sampleState() *statepb.State {
	return &statepb.State{
		Life: "L",
		At:   sampleAtMs,
		Fleet: &statepb.Fleet{
			Level: 0.4, Classes: []string{"sheet"}, Shares: []float64{0.2}, Median: 50, At: sampleAtMs,
		},
		Hosts: []*statepb.Host{
			{
				Name: "fails", Zone: "a", Weight: 0.4, R: 400, Won: 2, Lost: 30, Out: true, Absent: true, Trust: 0.3,
				At: sampleAtMs,
			},
			{Name: "fresh", Zone: "a", Weight: 1, R: 50, Won: 5, Started: sampleAtMs - 4000, Trust: 1, At: sampleAtMs},
			{Name: "leaves", Zone: "b", Weight: 1, R: 50, Drains: sampleAtMs - 1000, Trust: 1, At: sampleAtMs},
		},
		Proxies: []*statepb.Proxy{
			{Name: "p", Zone: "a", Tag: "L-7", Table: "t", Rates: []float64{12}, At: sampleAtMs},
		},
		Tables: []*statepb.Table{{Id: "t", Classes: []*statepb.Class{
			{Name: "sheet", Ordered: true, Hosts: []string{"fails"}, Weights: []float64{1}, Share: 0.2},
		}}},
		Settings: []*statepb.Setting{
			{Host: "leaves", State: 1},
			{Host: "fails", State: 2, Until: sampleAtMs + 30000},
		},
	}
}

// Each kind of stored knowledge decays as its limits say: after a second, a minute, ten minutes and an hour, and after
// the clock went back.
func TestApplyDecay(t *testing.T) {
	var trace strings.Builder
	for _, elapsedMs := range []float64{secondMs, minuteMs, 10 * minuteMs, hourMs, -minuteMs} {
		restored := ApplyDecay(sampleState(), sampleAtMs+elapsedMs, DefaultLimits(sampleSlowStartMs))
		fmt.Fprintf(&trace, "after %.0f s: incarnation %q, %s\n", elapsedMs/1000, restored.Incarnation, restored.Reason)
		writeRestored(&trace, restored)
	}
	golden.Compare(t, "apply-decay", trace.String())
}

func writeRestored(trace *strings.Builder, restored *Restored) {
	fmt.Fprintf(trace, "  admission ratio %.2f, quota %.2f, median latency %.0f, %d overrides\n", restored.AdmissionRatio,
		restored.AdmissionQuotas["sheet"], restored.MedianLatencyMs, len(restored.Overrides))
	for _, name := range []string{"fails", "fresh", "leaves"} {
		if host := restored.Hosts[name]; host != nil {
			fmt.Fprintf(trace, "  %s: weight %.2f, mean latency %.0f, %.1f of %.1f failed, ejected %v, ",
				name, host.Weight, host.MeanLatencyMs, host.Failures, host.Successes+host.Failures, host.Ejected)
			fmt.Fprintf(trace, "confidence %.2f, started %.0f, draining since %.0f\n",
				host.ReportConfidence, host.StartedMs, host.DrainingSinceMs)
		}
	}
	if proxy := restored.Proxies["p"]; proxy != nil {
		fmt.Fprintf(trace, "  p: tag %q, %d tables, request rates %v\n", proxy.Tag, len(proxy.Tables), proxy.RequestRates)
	}
}

func TestApplyDecayWithoutState(t *testing.T) {
	restored := ApplyDecay(nil, sampleAtMs, DefaultLimits(sampleSlowStartMs))
	if restored.Reason == "" || restored.Incarnation != "" || restored.AdmissionRatio != 1 {
		t.Errorf("without a stored state %+v was restored, want a reason, no incarnation and the admission ratio 1", restored)
	}
}

// Confidence halves with each half-life. It is 0 from the maximum age on, and beyond the tolerance for the future.
func TestConfidence(t *testing.T) {
	decay := Decay{HalfLifeMs: 20000, MaxAgeMs: 120000}
	tests := []struct {
		name  string
		ageMs float64
		want  float64
	}{
		{"new", 0, 1},
		{"one half-life", 20000, 0.5},
		{"three half-lives", 60000, 0.125},
		{"at the maximum age", 120000, 0},
		{"a little in the future", -futureToleranceMs, 1},
		{"in the future", -futureToleranceMs - 1, 0},
		{"unknown age", math.NaN(), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := decay.confidence(test.ageMs); got != test.want {
				t.Errorf("the confidence at an age of %g ms is %g, want %g", test.ageMs, got, test.want)
			}
		})
	}
}

// The figures that are restored from any decodable state are within their bounds and never NaN.
func FuzzApplyDecay(f *testing.F) {
	f.Add(encode(f, sampleState()), sampleAtMs+1000)
	f.Add(encode(f, stateWithoutInstant()), sampleAtMs)
	f.Add(encode(f, stateWithDamagedHost()), sampleAtMs+1)
	f.Fuzz(func(t *testing.T, text []byte, nowMs float64) {
		stored := &statepb.State{}
		if proto.Unmarshal(text, stored) != nil {
			return // not a state
		}
		restored := ApplyDecay(stored, nowMs, DefaultLimits(sampleSlowStartMs))
		checkWithin(t, "admission ratio", restored.AdmissionRatio, 0.01, 1)
		for _, quota := range restored.AdmissionQuotas {
			checkWithin(t, "admission quota", quota, 0.01, 1)
		}
		for _, host := range restored.Hosts {
			checkHostWithinBounds(t, host, nowMs)
		}
		for _, proxy := range restored.Proxies {
			for _, rate := range proxy.RequestRates {
				checkWithin(t, "request rate", rate, 0, 1e9)
			}
		}
	})
}

func checkHostWithinBounds(t *testing.T, host *Host, nowMs float64) {
	t.Helper()
	checkWithin(t, "weight", host.Weight, 0.05, 20)
	checkWithin(t, "mean latency", host.MeanLatencyMs, 0, 2e7)
	checkWithin(t, "successes", host.Successes, 0, 1e6)
	checkWithin(t, "failures", host.Failures, 0, 1e6)
	checkWithin(t, "report confidence", host.ReportConfidence, 0, 1)
	if host.StartedMs > nowMs || host.DrainingSinceMs > nowMs {
		t.Errorf("started at %g ms, draining since %g ms, want both at most %g ms",
			host.StartedMs, host.DrainingSinceMs, nowMs)
	}
}

// checkWithin checks that a figure is within bounds. It fails for NaN.
func checkWithin(t *testing.T, name string, figure, lower, upper float64) {
	t.Helper()
	if !(figure >= lower && figure <= upper) {
		t.Errorf("%s is %g, want it from %g to %g", name, figure, lower, upper)
	}
}

func stateWithoutInstant() *statepb.State {
	s := sampleState()
	s.At = math.NaN()
	s.Fleet.Level = -3
	s.Hosts[0].At = math.NaN()
	s.Hosts[1].Weight = math.Inf(1)
	s.Hosts[2].R = math.Inf(-1)
	s.Proxies[0].Rates[0] = math.NaN()
	return s
}

func stateWithDamagedHost() *statepb.State {
	s := sampleState()
	s.Fleet.At = math.NaN()
	s.Hosts[0].At = math.NaN()
	s.Hosts[0].Weight = math.NaN()
	s.Hosts[0].Lost = -4
	s.Hosts[1].Trust = math.NaN()
	return s
}

func encode(t testing.TB, s *statepb.State) []byte {
	t.Helper()
	text, err := proto.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
