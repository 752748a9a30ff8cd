package publisher

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/controller"
	"barleysail/internal/golden"
	"barleysail/internal/haproxy"
)

// drive sends what is due, up to so many commands.
func drive(p *ProxyUpdater, x *proxy, now float64, most int) (n int) {
	for ; n < most; n++ {
		c, ok := p.NextCommand(now)
		if !ok {
			return n
		}
		p.ObserveResponse(now, x.do(c))
	}
	return n
}

func table(share float64, hosts ...any) []controller.Table {
	t := controller.Table{Class: "sheet", Ordered: true, AdmissionRatio: share, RetryPolicy: 1}
	for i := 0; i < len(hosts); i += 2 {
		t.Hosts, t.Weights = append(t.Hosts, hosts[i].(string)), append(t.Weights, hosts[i+1].(float64))
	}
	return []controller.Table{t}
}

// A proxy that comes with its old file is brought to its tables: to servers first, weights, drains, and once the grace
// is over what is drained goes. What differs alone is sent.
func TestReconcile(t *testing.T) {
	x := &proxy{servers: map[string]haproxy.ServerState{"sheet/old:80": {Backend: "sheet", Server: "old:80", Weight: 256}, "sheet/a:80": {Backend: "sheet", Server: "a:80", Weight: 256}}}
	p := New(3000)
	var out strings.Builder
	step := func(what string, now float64) {
		x.sent = nil
		drive(p, x, now, 100)
		fmt.Fprintf(&out, "%s at %.0f, settled %v\n", what, now, p.Settled(now))
		for _, c := range x.sent {
			fmt.Fprintln(&out, "  "+c)
		}
	}
	p.SetTarget(table(1, "a:80", 1.0, "b:80", 0.5))
	step("before anything is known", 0)
	p.ObserveServers(0, x.state())
	step("its old file", 0)
	step("before the grace is over", 2999)
	step("after it", 3000)
	p.SetTarget(table(0.25, "a:80", 1.0, "b:80", 0.5))
	step("a level", 4000)
	p.SetTarget(table(0.25, "a:80", 1.0, "b:80", 0.001))
	step("a small weight", 5000)
	delete(x.servers, "sheet/b:80")
	a := x.servers["sheet/a:80"]
	a.Weight = 3
	x.servers["sheet/a:80"] = a
	fmt.Fprintf(&out, "others changed %d\n", p.ObserveServers(6000, x.state()))
	step("behind its back", 6000)
	x.refuses = true
	p.SetTarget(table(0.25, "c:80", 1.0))
	step("a proxy that takes no further server keeps those it has", 7000)
	x.refuses = false
	p.ObserveServers(8000, x.state())
	step("once it does", 8000)
	p.ConnectionLost()
	step("without a connection", 9000)
	golden.Compare(t, "reconcile", out.String())
}

// Whatever is wanted, whatever others change and whenever the connection breaks: no backend is left without a server
// that takes traffic while one is wanted, and in the end the proxy has what it should.
func TestNeverBare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x, p, now := &proxy{servers: map[string]haproxy.ServerState{"sheet/h0:80": {Backend: "sheet", Server: "h0:80", Weight: 256}}}, New(1000), 0.0
		p.ObserveServers(now, x.state())
		var last []controller.Table
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{1, 400, 1500}).Draw(t, "pause")
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				var hosts []any
				for h := range 5 {
					if w := rapid.SampledFrom([]float64{0, 0.001, 0.5, 1}).Draw(t, "weight"); w > 0 {
						hosts = append(hosts, fmt.Sprintf("h%d:80", h), w)
					}
				}
				if len(hosts) > 0 {
					last = table(1, hosts...)
					p.SetTarget(last)
				}
			case 1:
				p.ConnectionLost()
				p.ObserveServers(now, x.state())
			case 2: // by someone else, who leaves one that takes traffic
				for _, k := range slices.Sorted(maps.Keys(x.servers)) {
					s := x.servers[k]
					s.Weight = 7
					x.servers[k] = s
				}
			}
			for range rapid.IntRange(0, 12).Draw(t, "commands") {
				drive(p, x, now, 1)
				if !x.takes("sheet") {
					t.Fatalf("no server takes traffic after %v", x.sent)
				}
			}
		}
		for range 3 {
			now += 2000
			p.ObserveServers(now, x.state())
			drive(p, x, now, 1000)
		}
		if last == nil {
			return
		}
		want, _ := quantizeWeights(last[0].Weights, p.scales["sheet"])
		got := map[string]int{}
		for _, s := range x.state() {
			if s.Admin == 0 {
				got[s.Server] = s.Weight
			}
		}
		for i, h := range last[0].Hosts {
			if got[h] != want[i] {
				t.Fatalf("%s has %d, should have %d: %v", h, got[h], want[i], got)
			}
		}
		if len(got) != len(want) || !p.Settled(now) || len(x.servers) != len(want) {
			t.Fatalf("%v, should be %v of %v", x.servers, want, last[0].Hosts)
		}
	})
}
