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

// fleet is hosts that serve, each at a rate and a mean time, reporting as told.
type fleet struct {
	*Trust
	at  float64
	out strings.Builder
}

func (f *fleet) second(name string, rate, mean float64, load routing.HostLoad, c Capacity) routing.HostLoad {
	l := Report{Source: "p", Subject: name, Attempts: int(rate), MeanLatencyMs: mean, WindowMs: 1000, Load: load, ObservedMs: f.at}
	f.ObserveAttempts(f.at, &l)
	f.ObserveLoad(f.at, name, load, c)
	return f.Load(f.at, name, load, c)
}

// Reports that are false, stuck or missing are told, and what stands in their place gives no room; those of a host that
// is merely slow, idle or at a steady load are believed.
func TestTrust(t *testing.T) {
	f := &fleet{Trust: NewTrust(DefaultLimits())}
	c := Capacity{Cores: 4, MeanWorkMs: 50, ProxyShare: 1}
	load := func(util, rate, queue float64) routing.HostLoad {
		return routing.HostLoad{Utilization: util, RequestRate: rate, QueueLength: queue}
	}
	quarter := 1.0
	for i := range 80 {
		f.at += 1000
		wobble := 0.02 * math.Sin(float64(i)*1.7)
		told := map[string]routing.HostLoad{}
		for h := range 20 {
			f.second(fmt.Sprint("plain-", h), 40/quarter, 55, load((0.5+wobble*float64(h+1)/10)/quarter, (40+float64(h%3)+wobble)/quarter, 0), c)
		}
		told["idle"] = f.second("idle", 0, 0, load(0, 0, 0), c)
		told["slow"] = f.second("slow", 20, 110, load(0.5+wobble, 20+wobble, 0), c)
		told["lies"] = f.second("lies", 70, 300, load(0.1+wobble, 7+wobble, 0), c)
		told["lies-no-cores"] = f.second("lies-no-cores", 70, 300, load(0.1+wobble, -1, 0), Capacity{ProxyShare: 1})
		if i < 40 {
			told["stuck"] = f.second("stuck", 40, 55, load(0.5+wobble, 40+wobble, 0), c)
			told["stops"] = f.second("stops", 40, 55, load(0.5+wobble, 40+wobble, 0), c)
		} else {
			told["stuck"] = f.second("stuck", 40, 55, load(0.5, 41, 0), c)
			told["stops"] = f.second("stops", 40, 55, routing.UnknownLoad, c)
		}
		if i%8 == 7 {
			fmt.Fprintf(&f.out, "%2d s:", i+1)
			for _, name := range []string{"idle", "slow", "lies", "lies-no-cores", "stuck", "stops"} {
				fmt.Fprintf(&f.out, " %s %.2f", name, told[name].Utilization)
			}
			fmt.Fprintln(&f.out)
		}
		if i == 20 { // a quarter of the traffic is left for a while
			quarter = 4
		} else if i == 30 {
			quarter = 1
		}
		for _, text := range f.DrainChanges() {
			fmt.Fprintf(&f.out, "%2d s: %s\n", i+1, text)
		}
	}
	r, _ := f.Host(f.at, "stops", c)
	fmt.Fprintf(&f.out, "stops: silent %v, estimate %.2f, unsure %.2f, age %.0f ms, %.0f good tries\n", r.Silent, r.Estimate, r.Uncertainty, r.AgeMs, r.Count)
	known, doubted, silent := f.Count(f.at)
	fmt.Fprintf(&f.out, "%d known, %d doubted, %d silent\n", known, doubted, silent)
	golden.Compare(t, "trust", f.out.String())
}

// Whatever a host reports and the proxies meet: in place of a report stands one that gives no more room.
func TestNoRoomInvented(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{Trust: NewTrust(DefaultLimits())}
		c := Capacity{Cores: rapid.SampledFrom([]float64{0, 4}).Draw(t, "able"), MeanWorkMs: 50, ProxyShare: 0.5}
		for range rapid.IntRange(5, 60).Draw(t, "seconds") {
			f.at += 1000
			f.second("other", 40, 50, routing.HostLoad{Utilization: 0.5 + math.Mod(f.at, 7)/100, RequestRate: 40, QueueLength: 0}, c)
			load := routing.HostLoad{Utilization: rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "util"), RequestRate: rapid.SampledFrom([]float64{-1, 1, 40}).Draw(t, "rate"), QueueLength: 0}
			told := f.second("h", rapid.SampledFrom([]float64{0, 10, 40, 80}).Draw(t, "came"), rapid.SampledFrom([]float64{20, 50, 400}).Draw(t, "mean"), load, c)
			if told != load && (told.Utilization < load.Utilization || told.RequestRate >= 0 || told.QueueLength >= 0 || told.Utilization > 1) {
				t.Fatalf("%+v became %+v", load, told)
			}
		}
		f.at += 30000
		for range 3 {
			f.at += 1000
			if told := f.Load(f.at, "h", routing.UnknownLoad, c); told != routing.UnknownLoad && told.Utilization < DefaultLimits().UnknownUtilization-1e-9 {
				t.Fatalf("after half a minute of silence %+v", told)
			}
		}
	})
}
