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

// A simulated proxy ejects a host after the recorded number of failures in a row and for the recorded time, and uses an
// ejected host if no other is left.
func TestEjection(t *testing.T) {
	start := &recordpb.ProxyStart{Format: 3, Proxy: "p", Ejects: 2, Shuns: 1000, Repeats: []string{"sheet"}}
	s := &simulation{
		analysis: &analysis{proxyStarts: map[string]*recordpb.ProxyStart{"p.day": start}},
		proxies:  map[string]*simulatedProxy{},
	}
	proxy := s.proxy("p", "a")
	if !proxy.idempotentClasses["sheet"] || proxy.idempotentClasses["finish"] {
		t.Errorf("got idempotent classes %v, want sheet only", proxy.idempotentClasses)
	}
	table := &controller.Table{Hosts: []string{"x", "y"}, Weights: []float64{1, 1}}
	ejectedAt := func(nowMs float64) func(string) bool {
		return func(host string) bool { return nowMs < proxy.ejections[host].untilMs }
	}
	proxy.noteResult("x", response.Failed, 0)
	proxy.noteResult("x", response.Fulfilled, 10)
	proxy.noteResult("x", response.Failed, 20)
	if proxy.ejections["x"].untilMs > 0 {
		t.Error("host x is ejected after failures that were not in a row")
	}
	proxy.noteResult("x", response.NeverRan, 30)
	for range 50 {
		if host, _ := s.drawByWeight(table, ejectedAt(1029)); host != "y" {
			t.Fatalf("got host %s while x is ejected, want y", host)
		}
	}
	onlyX := &controller.Table{Hosts: []string{"x"}, Weights: []float64{1}}
	if host, ok := s.drawByWeight(onlyX, ejectedAt(1029)); ok {
		t.Errorf("got host %s from a table whose only host is ejected, want none", host)
	}
	if host, _ := s.drawByWeight(onlyX, ejectedAt(1031)); host != "x" {
		t.Errorf("got host %q after the ejection, want x", host)
	}
}

// Coupled draws are distributed by the new table, and keep the recorded host as often as both tables allow.
func TestCoupling(t *testing.T) {
	s := &simulation{}
	recorded := &controller.Table{Hosts: []string{"x", "y", "z"}, Weights: []float64{3, 1, 1}, AdmissionRatio: 0.5}
	for _, test := range []struct {
		hosts    []string
		weights  []float64
		wantKept float64 // 1 minus half the distance of the two distributions
	}{
		{[]string{"x", "y", "z"}, []float64{6, 2, 2}, 1},
		{[]string{"x", "y"}, []float64{1, 4}, 0.4},
		{[]string{"v", "z"}, []float64{1, 1}, 0.2},
	} {
		table, total := &controller.Table{Hosts: test.hosts, Weights: test.weights}, 0.0
		for _, weight := range test.weights {
			total += weight
		}
		counts, kept, draws := map[string]float64{}, 0.0, 30000.0
		for i := range int(draws) {
			recordedHost := []string{"x", "x", "x", "y", "z"}[i%5]
			host, ok := s.drawCoupled(table, recorded, recordedHost, func(string) bool { return false })
			if !ok {
				t.Fatalf("weights %v: got no host for the recorded host %s", test.weights, recordedHost)
			}
			if counts[host]++; host == recordedHost {
				kept++
			}
		}
		for i, host := range test.hosts {
			if got, want := counts[host]/draws, test.weights[i]/total; math.Abs(got-want) > 0.015 {
				t.Errorf("weights %v: got %.3f of the draws for host %s, want %.3f", test.weights, got, host, want)
			}
		}
		if math.Abs(kept/draws-test.wantKept) > 0.015 {
			t.Errorf("weights %v: got %.3f of the recorded hosts kept, want %.3f",
				test.weights, kept/draws, test.wantKept)
		}
	}
	for _, ratio := range []float64{0.2, 0.5, 0.9, 1} {
		admitted, draws := 0.0, 20000
		for i := range draws {
			if s.admit(ratio, recorded, i%2 == 0) {
				admitted++
			}
		}
		if math.Abs(admitted/float64(draws)-ratio) > 0.015 {
			t.Errorf("got %.3f of the requests admitted, want the admission ratio %g", admitted/float64(draws), ratio)
		}
	}
}

// Responses are applied when the proxy reports their version, deltas to the tables that it has. After an unknown
// version all tables are unknown.
func TestRecordedTables(t *testing.T) {
	tables := recordedTables{classes: map[string]*controller.Table{}}
	addResponse := func(kind controller.ResponseKind, tag, body string) {
		tables.addResponse(&recordpb.Published{Kind: int32(kind), Tag: tag, Body: []byte(body)})
	}
	addResponse(controller.Snapshot, "1", `{"tables":{"sheet":{"hosts":{"x":1,"y":2},"share":1}}}`)
	addResponse(controller.Delta, "2", `{"tables":{"sheet":{"hosts":{"x":null,"z":0.5},"share":0.3}}}`)
	if tables.table("sheet") != nil {
		t.Error("got a table before its version was applied, want none")
	}
	tables.apply("1")
	if table := tables.table("sheet"); table == nil || weight(table, "x") != 1 || table.AdmissionRatio != 1 {
		t.Errorf("after version 1: got %+v, want weight 1 of host x and the admission ratio 1", table)
	}
	tables.apply("2")
	table := tables.table("sheet")
	if len(table.Hosts) != 2 || weight(table, "z") != 0.5 || table.AdmissionRatio != 0.3 {
		t.Errorf("after version 2: got %+v, want 2 hosts, weight 0.5 of host z and the admission ratio 0.3", table)
	}
	if tables.apply("9"); tables.table("sheet") != nil {
		t.Error("got a table after an unknown version, want none")
	}
}

// The service time of an attempt that waited in its host's queue excludes the wait, and records keep their order.
func TestLookahead(t *testing.T) {
	model := response.New(0)
	model.ObserveLatency("sheet", 100)
	model.ObserveAttempt("sheet", "x", 0, 100, response.Fulfilled)
	model.FitCores() // one core
	requestRecord := func(arrivalMs, startMs, latencyMs float64) *recordpb.Record {
		request := &recordpb.Transaction{
			Class:     "sheet",
			Came:      arrivalMs,
			Fulfilled: true,
			Tries:     []*recordpb.Try{{At: startMs, Host: "x", Took: latencyMs}},
		}
		return &recordpb.Record{
			At:   startMs + latencyMs,
			What: &recordpb.Record_Transaction{Transaction: request},
		}
	}
	var buffer deadlinequeue.Queue[timedRecord]
	records := []*recordpb.Record{requestRecord(0, 0, 100), requestRecord(10, 400, 120), requestRecord(20, 20, 180)}
	for _, entry := range records {
		buffer.Schedule(entry.GetTransaction().Came, timedRecord{entry.GetTransaction().Came, "p", entry})
	}
	l := &lookahead{
		records:     &recordMerger{reorderBuffer: buffer, recentChecksums: map[uint32]float64{}},
		model:       model,
		queues:      response.NewQueueReconstruction(model),
		lookaheadMs: 3000,
	}
	for i, want := range []attemptService{{0, 100}, {400, 120}, {100, 100}} {
		got, err := l.next()
		if err != nil || got.record != records[i] || got.services[0] != want {
			t.Fatalf("record %d: got %+v and the error %v, want the service %+v", i, got, err, want)
		}
	}
}

// The number of version times is bounded, and the same versions are kept in all three maps.
func TestVersionTimesAreThinned(t *testing.T) {
	const limit = 4096
	times := newVersionTimes(limit)
	times.applied["p"] = map[string]float64{}
	for n := range 2 * limit {
		tag := fmt.Sprint(n)
		times.addFirst(times.published, tag, float64(n))
		if times.isSampled(tag) {
			times.applied["p"][tag] = 1
			times.count++
		}
		times.addFirst(times.polled, tag, float64(n))
		times.thin()
	}
	published, applied, polled := len(times.published), len(times.applied["p"]), len(times.polled)
	if times.count > limit || published < limit/8 || applied != published || polled != published {
		t.Errorf("got %d times: %d published, %d applied and %d polled versions, want equal numbers, at most %d times",
			times.count, published, applied, polled, limit)
	}
}
