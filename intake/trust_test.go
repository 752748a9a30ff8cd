package intake

import (
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/internal/golden"
	"barleysail/routing"
)

// trustTest drives a Trust by reports of simulated hosts, one of each host a second.
type trustTest struct {
	*Trust
	nowMs float64
	out   strings.Builder
}

func newTrustTest() *trustTest { return &trustTest{Trust: NewTrust(DefaultLimits())} }

// reportSecond reports the attempts of one second at a host together with its load, and returns the load that routing
// gets.
func (f *trustTest) reportSecond(
	host string, attempts, meanLatencyMs float64, load routing.HostLoad, capacity Capacity,
) routing.HostLoad {
	report := Report{
		Source:        "p",
		Subject:       host,
		Attempts:      int(attempts),
		MeanLatencyMs: meanLatencyMs,
		WindowMs:      1000,
		Load:          load,
		ObservedMs:    f.nowMs,
	}
	f.ObserveAttempts(f.nowMs, &report)
	f.ObserveLoad(f.nowMs, host, load, capacity)
	return f.Load(f.nowMs, host, load, capacity)
}

func hostLoad(utilization, requestRate float64) routing.HostLoad {
	return routing.HostLoad{Utilization: utilization, RequestRate: requestRate, QueueLength: 0}
}

var testCapacity = Capacity{Cores: 4, MeanWorkMs: 50, ProxyShare: 1}

// specialHosts are the hosts of TestTrust that differ from the rest of the fleet, in the order of its output.
var specialHosts = []string{"idle", "slow", "lies", "lies-no-cores", "stuck", "stops"}

// reportFleet reports a second of 20 ordinary hosts. trafficDivisor is 4 while only a quarter of the traffic is left.
func (f *trustTest) reportFleet(variation, trafficDivisor float64) {
	for i := range 20 {
		utilization := (0.5 + variation*float64(i+1)/10) / trafficDivisor
		requestRate := (40 + float64(i%3) + variation) / trafficDivisor
		f.reportSecond(fmt.Sprint("plain-", i), 40/trafficDivisor, 55, hostLoad(utilization, requestRate), testCapacity)
	}
}

// reportSpecialHosts reports a second of the special hosts and returns the loads that routing gets.
func (f *trustTest) reportSpecialHosts(variation float64, isFaulty bool) map[string]routing.HostLoad {
	loads := map[string]routing.HostLoad{}
	loads["idle"] = f.reportSecond("idle", 0, 0, hostLoad(0, 0), testCapacity)
	loads["slow"] = f.reportSecond("slow", 20, 110, hostLoad(0.5+variation, 20+variation), testCapacity)
	loads["lies"] = f.reportSecond("lies", 70, 300, hostLoad(0.1+variation, 7+variation), testCapacity)
	loads["lies-no-cores"] = f.reportSecond("lies-no-cores", 70, 300, hostLoad(0.1+variation, -1), Capacity{ProxyShare: 1})
	stuckLoad := hostLoad(0.5+variation, 40+variation)
	stoppedLoad := stuckLoad
	if isFaulty {
		stuckLoad = hostLoad(0.5, 41)
		stoppedLoad = routing.UnknownLoad
	}
	loads["stuck"] = f.reportSecond("stuck", 40, 55, stuckLoad, testCapacity)
	loads["stops"] = f.reportSecond("stops", 40, 55, stoppedLoad, testCapacity)
	return loads
}

// printSecond prints the loads in each eighth second, and all changes of trust.
func (f *trustTest) printSecond(second int, loads map[string]routing.HostLoad) {
	if second%8 == 0 {
		fmt.Fprintf(&f.out, "%2d s:", second)
		for _, host := range specialHosts {
			fmt.Fprintf(&f.out, " %s %.2f", host, loads[host].Utilization)
		}
		fmt.Fprintln(&f.out)
	}
	for _, change := range f.DrainChanges() {
		fmt.Fprintf(&f.out, "%2d s: %s\n", second, change)
	}
}

// Load reports that are false, stuck or missing are detected and replaced by estimates without headroom. Reports of a
// host that is only slow, idle or at a steady load are trusted, also while the traffic of the fleet falls.
func TestTrust(t *testing.T) {
	test := newTrustTest()
	for i := range 80 {
		test.nowMs += 1000
		variation := 0.02 * math.Sin(float64(i)*1.7)
		trafficDivisor := 1.0
		if i > 20 && i <= 30 {
			trafficDivisor = 4
		}
		test.reportFleet(variation, trafficDivisor)
		loads := test.reportSpecialHosts(variation, i >= 40)
		test.printSecond(i+1, loads)
	}
	report, _ := test.Host(test.nowMs, "stops", testCapacity)
	fmt.Fprintf(&test.out, "stops: silent %v, estimate %.2f, uncertainty %.2f, age %.0f ms, %.0f successful attempts\n",
		report.Silent, report.Estimate, report.Uncertainty, report.AgeMs, report.Count)
	known, distrusted, silent := test.Count(test.nowMs)
	fmt.Fprintf(&test.out, "%d known, %d distrusted, %d silent\n", known, distrusted, silent)
	golden.Compare(t, "trust", test.out.String())
}

// For any reports of a host and observations of proxies, an estimate in place of a report never shows more headroom.
func TestEstimateAddsNoCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		test := newTrustTest()
		capacity := Capacity{
			Cores:      rapid.SampledFrom([]float64{0, 4}).Draw(t, "cores"),
			MeanWorkMs: 50,
			ProxyShare: 0.5,
		}
		for range rapid.IntRange(5, 60).Draw(t, "seconds") {
			test.nowMs += 1000
			test.reportSecond("other", 40, 50, hostLoad(0.5+math.Mod(test.nowMs, 7)/100, 40), capacity)
			reported := hostLoad(
				rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "utilization"),
				rapid.SampledFrom([]float64{-1, 1, 40}).Draw(t, "requestRate"),
			)
			attempts := rapid.SampledFrom([]float64{0, 10, 40, 80}).Draw(t, "attempts")
			meanLatencyMs := rapid.SampledFrom([]float64{20, 50, 400}).Draw(t, "meanLatencyMs")
			load := test.reportSecond("h", attempts, meanLatencyMs, reported, capacity)
			isEstimate := load != reported
			if isEstimate && (load.Utilization < reported.Utilization || load.Utilization > 1) {
				t.Fatalf("got utilization %g in place of the reported %g, want at least that and at most 1",
					load.Utilization, reported.Utilization)
			}
			if isEstimate && (load.RequestRate >= 0 || load.QueueLength >= 0) {
				t.Fatalf("got estimate %+v, want unknown request rate and queue length", load)
			}
		}
		test.nowMs += 30000
		for range 3 {
			test.nowMs += 1000
			load := test.Load(test.nowMs, "h", routing.UnknownLoad, capacity)
			minUtilization := DefaultLimits().UnknownUtilization - 1e-9
			if load != routing.UnknownLoad && load.Utilization < minUtilization {
				t.Fatalf("got %+v after half a minute without reports, want a utilization of at least %g", load, minUtilization)
			}
		}
	})
}
