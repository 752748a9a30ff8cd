package publisher

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/controller"
	"barleysail/internal/golden"
	"barleysail/internal/haproxy"
)

// proxy is a small model of one that is driven by a socket: it does what it is told, refuses what the guide says it
// refuses, and can be changed by others.
type proxy struct {
	servers map[string]haproxy.ServerState // by backend/server
	refuses bool
	sent    []string
}

func (x *proxy) state() (all []haproxy.ServerState) {
	for _, k := range slices.Sorted(maps.Keys(x.servers)) {
		all = append(all, x.servers[k])
	}
	return all
}

func (x *proxy) do(command string) string {
	x.sent = append(x.sent, command)
	w := strings.Fields(command)
	if x.refuses && strings.HasPrefix(command, "add") {
		return "backend is full.\n"
	}
	if strings.HasPrefix(command, "set var") {
		return ""
	}
	at := 1
	if w[1] == "server" || w[1] == "weight" {
		at = 2
	}
	backend, name, _ := strings.Cut(w[at], "/")
	s, ok := x.servers[w[at]]
	switch {
	case w[0] == "add":
		n, _ := strconv.Atoi(w[5])
		x.servers[w[at]] = haproxy.ServerState{Backend: backend, Server: name, Weight: n, Admin: haproxy.ForcedMaint}
		return "New server registered.\n"
	case !ok:
		return "No such server.\n"
	case w[0] == "del" && s.Admin&haproxy.ForcedMaint == 0:
		return "Only servers in maintenance mode can be deleted.\n"
	case w[0] == "del":
		delete(x.servers, w[at])
		return "Server deleted.\n"
	case w[1] == "weight":
		s.Weight, _ = strconv.Atoi(w[3])
	default:
		s.Admin = map[string]int{"ready": 0, "drain": haproxy.ForcedDrain, "maint": haproxy.ForcedMaint}[w[4]]
	}
	x.servers[w[at]] = s
	return ""
}

// takes tells whether a backend has a server that takes traffic.
func (x *proxy) takes(backend string) bool {
	for _, s := range x.servers {
		if s.Backend == backend && s.Admin == 0 && s.Weight > 0 {
			return true
		}
	}
	return false
}

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
		want, _ := Quantise(last[0].Weights, p.scale["sheet"])
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

// A host's share by quantised weights is off by less than one part in their sum, and none that has a weight falls to 0.
func TestQuantise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(1e-6, 1e6), 1, 500).Draw(t, "weights")
		scale := rapid.Float64Range(0, 1000).Draw(t, "scale")
		all, by := Quantise(weights, scale)
		sum, total, raised := 0.0, 0.0, 0.0
		for i, w := range weights {
			sum, total = sum+w, total+float64(all[i])
			if w*by < 0.5 {
				raised++
			}
		}
		for i, w := range weights {
			if all[i] < 1 || all[i] > 256 {
				t.Fatalf("%g is %d", w, all[i])
			}
			// off by rounding of its own, and by what the rounding of the others moves the sum
			bound := (0.5 + raised + float64(len(weights))*0.5*w/sum) / total * 1.0001
			if off := math.Abs(float64(all[i])/total - w/sum); raised == 0 && off > bound {
				t.Fatalf("share of %g: %g off, bound %g", w, off, bound)
			}
		}
	})
}

// Sums are what counters grew by; after a restart of the proxy they begin anew.
func TestCounters(t *testing.T) {
	c := NewCounters("s")
	known := func(h string) bool { return h == "a:80" }
	rows := func(total, failed int) []haproxy.Row {
		return []haproxy.Row{{"pxname": "sheet", "svname": "a:80", "type": "2", "stot": fmt.Sprint(total), "eresp": fmt.Sprint(failed), "ttime": "50"},
			{"pxname": "finish", "svname": "a:80", "type": "2", "stot": fmt.Sprint(total), "eresp": "0", "ttime": "20"},
			{"pxname": "sheet", "svname": "gone:80", "type": "2", "stot": fmt.Sprint(total)},
			{"pxname": "sheet", "svname": "BACKEND", "type": "1", "stot": fmt.Sprint(2 * total), "eresp": fmt.Sprint(failed)}}
	}
	if _, ok := c.Read(1000, rows(100, 5), known); ok {
		t.Error("sums of a first reading")
	}
	u, ok := c.Read(2000, rows(110, 7), known)
	if v := u.Hosts["a:80"]; !ok || v.Attempts != 20 || v.Failed != 2 || math.Abs(v.MeanLatencyMs-(8*50+10*20)/18.0) > 1e-9 || v.WindowMs != 1000 || len(u.Hosts) != 1 ||
		u.Demand["sheet"].Arrivals != 20 || u.Demand["sheet"].Unanswered != 2 {
		t.Errorf("%v %+v", ok, u)
	}
	if u, _ = c.Read(3000, rows(4, 1), known); u.Hosts["a:80"].Attempts != 8 || u.Demand["sheet"].Arrivals != 8 || u.Sequence != 3 {
		t.Errorf("after a restart: %+v", u)
	}
}

// Of two stewards one drives a proxy; when it is gone the other does, and if both take over at once one gives up.
func TestOwner(t *testing.T) {
	mark := ""
	a, b := NewSocketOwner("A"), NewSocketOwner("B")
	var out strings.Builder
	turn := func(name string, o *SocketOwner) {
		mine, set := o.Read(mark)
		if set != "" {
			mark = set
		}
		fmt.Fprintf(&out, "%s drives %v, the mark is %s\n", name, mine, mark)
	}
	for range 3 {
		turn("a", a)
		turn("b", b)
	}
	fmt.Fprintln(&out, "a is gone")
	for range 6 {
		turn("b", b)
	}
	fmt.Fprintln(&out, "a is back")
	for range 3 {
		turn("a", a)
		turn("b", b)
	}
	fmt.Fprintln(&out, "both read an empty mark, and both set theirs")
	mark = ""
	_, x := a.Read(mark)
	_, y := b.Read(mark)
	mark = x
	mark = y
	for range 3 {
		turn("a", a)
		turn("b", b)
	}
	golden.Compare(t, "owner", out.String())
}
