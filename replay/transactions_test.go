package replay

import (
	"fmt"
	"math"
	"testing"

	"barleysail/controller"
	"barleysail/internal/deadlinequeue"
	"barleysail/internal/record/recordpb"
	"barleysail/replay/response"
)

// A replayed proxy shuns a host that failed it as often in a row as its recording says, for as long, and goes to a
// shunned host where no other is left.
func TestShuns(t *testing.T) {
	e := &engine{scan: &scan{proxies: map[string]*recordpb.ProxyStart{"p.day": {Format: 3, Proxy: "p", Ejects: 2, Shuns: 1000,
		Repeats: []string{"sheet"}}}}, proxies: map[string]*proxy{}}
	p := e.proxy("p", "a")
	if !p.repeats["sheet"] || p.repeats["finish"] {
		t.Errorf("repeats %v", p.repeats)
	}
	table := &controller.Table{Hosts: []string{"x", "y"}, Weights: []float64{1, 1}}
	shunned := func(now float64) func(string) bool {
		return func(host string) bool { return now < p.shunned[host].until }
	}
	p.met("x", response.Failed, 0)
	p.met("x", response.Fulfilled, 10)
	p.met("x", response.Failed, 20)
	if p.shunned["x"].until > 0 {
		t.Error("shunned after failures that were not in a row")
	}
	p.met("x", response.NeverRan, 30)
	for range 50 {
		if host, _ := e.pick(table, shunned(1029)); host != "y" {
			t.Fatalf("%s picked while x is shunned", host)
		}
	}
	if _, ok := e.pick(&controller.Table{Hosts: []string{"x"}, Weights: []float64{1}}, shunned(1029)); ok {
		t.Error("picked where only a shunned host is left, before the second draw")
	}
	if host, _ := e.pick(&controller.Table{Hosts: []string{"x"}, Weights: []float64{1}}, shunned(1031)); host != "x" {
		t.Error("still shunned")
	}
}

// Draws go by the new table whatever the old one was, and stay where they fell as far as both allow.
func TestCoupling(t *testing.T) {
	e := &engine{}
	old := &controller.Table{Hosts: []string{"x", "y", "z"}, Weights: []float64{3, 1, 1}, AdmissionRatio: 0.5}
	for _, c := range []struct {
		hosts   []string
		weights []float64
		stays   float64 // 1 less half the distance of the two
	}{{[]string{"x", "y", "z"}, []float64{6, 2, 2}, 1}, {[]string{"x", "y"}, []float64{1, 4}, 0.4}, {[]string{"v", "z"}, []float64{1, 1}, 0.2}} {
		table, total := &controller.Table{Hosts: c.hosts, Weights: c.weights}, 0.0
		for _, w := range c.weights {
			total += w
		}
		count, stayed, n := map[string]float64{}, 0.0, 30000.0
		for i := range int(n) {
			was := []string{"x", "x", "x", "y", "z"}[i%5]
			host, ok := e.draw(table, old, was, func(string) bool { return false })
			if !ok {
				t.Fatal("nothing drawn")
			}
			if count[host]++; host == was {
				stayed++
			}
		}
		for i, host := range c.hosts {
			if got, want := count[host]/n, c.weights[i]/total; math.Abs(got-want) > 0.015 {
				t.Errorf("%v: %.3f of the draws to %s, want %.3f", c.weights, got, host, want)
			}
		}
		if math.Abs(stayed/n-c.stays) > 0.015 {
			t.Errorf("%v: %.3f stay, want %.3f", c.weights, stayed/n, c.stays)
		}
	}
	for _, share := range []float64{0.2, 0.5, 0.9, 1} {
		in, n := 0.0, 20000
		for i := range n {
			if e.letIn(share, old, i%2 == 0) {
				in++
			}
		}
		if math.Abs(in/float64(n)-share) > 0.015 {
			t.Errorf("share %g: %.3f let in", share, in/float64(n))
		}
	}
}

// Documents are taken in when the proxy tells so, deltas onto what it holds; an unknown version leaves all unknown.
func TestGoing(t *testing.T) {
	g := going{classes: map[string]*controller.Table{}}
	doc := func(kind controller.ResponseKind, tag, body string) {
		g.published(&recordpb.Published{Kind: int32(kind), Tag: tag, Body: []byte(body)})
	}
	doc(controller.Snapshot, "1", `{"tables":{"sheet":{"hosts":{"x":1,"y":2},"share":1}}}`)
	doc(controller.Delta, "2", `{"tables":{"sheet":{"hosts":{"x":null,"z":0.5},"share":0.3}}}`)
	if g.by("sheet") != nil {
		t.Error("known before it was applied")
	}
	g.applied("1")
	if c := g.by("sheet"); c == nil || weight(c, "x") != 1 || c.AdmissionRatio != 1 {
		t.Errorf("%+v", c)
	}
	g.applied("2")
	if c := g.by("sheet"); len(c.Hosts) != 2 || weight(c, "z") != 0.5 || c.AdmissionRatio != 0.3 {
		t.Errorf("%+v", c)
	}
	if g.applied("9"); g.by("sheet") != nil {
		t.Error("known after an unknown version")
	}
}

// Work is told of a transaction whose try waited at its host behind another's, and items keep their order.
func TestWorked(t *testing.T) {
	m := response.New(0)
	m.ObserveLatency("sheet", 100)
	m.ObserveAttempt("sheet", "x", 0, 100, response.Fulfilled)
	m.FitCores() // one core
	tx := func(came, at, took float64) *recordpb.Record {
		return &recordpb.Record{At: at + took, What: &recordpb.Record_Transaction{Transaction: &recordpb.Transaction{Class: "sheet", Came: came,
			Fulfilled: true, Tries: []*recordpb.Try{{At: at, Host: "x", Took: took}}}}}
	}
	var pass deadlinequeue.Queue[item]
	records := []*recordpb.Record{tx(0, 0, 100), tx(10, 400, 120), tx(20, 20, 180)}
	for _, r := range records {
		pass.Schedule(r.GetTransaction().Came, item{r.GetTransaction().Came, "p", r})
	}
	w := &ahead{m: &merged{buffer: pass, seen: map[uint32]float64{}}, model: m, lines: response.NewQueueReconstruction(m), by: 3000}
	for i, want := range []tryWork{{0, 100}, {400, 120}, {100, 100}} {
		x, err := w.next()
		if err != nil || x.record != records[i] || x.works[0] != want {
			t.Fatalf("item %d: %v, %+v, want %v", i, err, x, want)
		}
	}
}

// Of a long day some versions are kept, the same of all three kinds.
func TestVersionsAreThinned(t *testing.T) {
	const most = 4096
	v := newVersions(most)
	v.applied["p"] = map[string]float64{}
	for n := range 2 * most {
		tag := fmt.Sprint(n)
		v.first(v.published, tag, float64(n))
		if v.keeps(tag) {
			v.applied["p"][tag] = 1
			v.count++
		}
		v.first(v.polled, tag, float64(n))
		v.thin()
	}
	if v.count > most || len(v.published) < most/8 || len(v.applied["p"]) != len(v.published) || len(v.polled) != len(v.published) {
		t.Errorf("%d, %d and %d are kept", len(v.published), len(v.applied["p"]), len(v.polled))
	}
}
