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
func TestEjection(t *testing.T) {
	s := &simulation{analysis: &analysis{proxyStarts: map[string]*recordpb.ProxyStart{"p.day": {Format: 3, Proxy: "p", Ejects: 2, Shuns: 1000,
		Repeats: []string{"sheet"}}}}, proxies: map[string]*simulatedProxy{}}
	proxy := s.proxy("p", "a")
	if !proxy.idempotentClasses["sheet"] || proxy.idempotentClasses["finish"] {
		t.Errorf("repeats %v", proxy.idempotentClasses)
	}
	table := &controller.Table{Hosts: []string{"x", "y"}, Weights: []float64{1, 1}}
	ejectedAt := func(nowMs float64) func(string) bool {
		return func(host string) bool { return nowMs < proxy.ejections[host].untilMs }
	}
	proxy.noteResult("x", response.Failed, 0)
	proxy.noteResult("x", response.Fulfilled, 10)
	proxy.noteResult("x", response.Failed, 20)
	if proxy.ejections["x"].untilMs > 0 {
		t.Error("shunned after failures that were not in a row")
	}
	proxy.noteResult("x", response.NeverRan, 30)
	for range 50 {
		if host, _ := s.drawByWeight(table, ejectedAt(1029)); host != "y" {
			t.Fatalf("%s picked while x is shunned", host)
		}
	}
	if _, ok := s.drawByWeight(&controller.Table{Hosts: []string{"x"}, Weights: []float64{1}}, ejectedAt(1029)); ok {
		t.Error("picked where only a shunned host is left, before the second draw")
	}
	if host, _ := s.drawByWeight(&controller.Table{Hosts: []string{"x"}, Weights: []float64{1}}, ejectedAt(1031)); host != "x" {
		t.Error("still shunned")
	}
}

// Draws go by the new table whatever the old one was, and stay where they fell as far as both allow.
func TestCoupling(t *testing.T) {
	s := &simulation{}
	recorded := &controller.Table{Hosts: []string{"x", "y", "z"}, Weights: []float64{3, 1, 1}, AdmissionRatio: 0.5}
	for _, test := range []struct {
		hosts    []string
		weights  []float64
		wantKept float64 // 1 less half the distance of the two
	}{{[]string{"x", "y", "z"}, []float64{6, 2, 2}, 1}, {[]string{"x", "y"}, []float64{1, 4}, 0.4}, {[]string{"v", "z"}, []float64{1, 1}, 0.2}} {
		table, total := &controller.Table{Hosts: test.hosts, Weights: test.weights}, 0.0
		for _, weight := range test.weights {
			total += weight
		}
		counts, kept, draws := map[string]float64{}, 0.0, 30000.0
		for i := range int(draws) {
			recordedHost := []string{"x", "x", "x", "y", "z"}[i%5]
			host, ok := s.drawCoupled(table, recorded, recordedHost, func(string) bool { return false })
			if !ok {
				t.Fatal("nothing drawn")
			}
			if counts[host]++; host == recordedHost {
				kept++
			}
		}
		for i, host := range test.hosts {
			if got, want := counts[host]/draws, test.weights[i]/total; math.Abs(got-want) > 0.015 {
				t.Errorf("%v: %.3f of the draws to %s, want %.3f", test.weights, got, host, want)
			}
		}
		if math.Abs(kept/draws-test.wantKept) > 0.015 {
			t.Errorf("%v: %.3f stay, want %.3f", test.weights, kept/draws, test.wantKept)
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
			t.Errorf("share %g: %.3f let in", ratio, admitted/float64(draws))
		}
	}
}

// Documents are taken in when the proxy tells so, deltas onto what it holds; an unknown version leaves all unknown.
func TestRecordedTables(t *testing.T) {
	tables := recordedTables{classes: map[string]*controller.Table{}}
	addResponse := func(kind controller.ResponseKind, tag, body string) {
		tables.addResponse(&recordpb.Published{Kind: int32(kind), Tag: tag, Body: []byte(body)})
	}
	addResponse(controller.Snapshot, "1", `{"tables":{"sheet":{"hosts":{"x":1,"y":2},"share":1}}}`)
	addResponse(controller.Delta, "2", `{"tables":{"sheet":{"hosts":{"x":null,"z":0.5},"share":0.3}}}`)
	if tables.table("sheet") != nil {
		t.Error("known before it was applied")
	}
	tables.apply("1")
	if table := tables.table("sheet"); table == nil || weight(table, "x") != 1 || table.AdmissionRatio != 1 {
		t.Errorf("%+v", table)
	}
	tables.apply("2")
	if table := tables.table("sheet"); len(table.Hosts) != 2 || weight(table, "z") != 0.5 || table.AdmissionRatio != 0.3 {
		t.Errorf("%+v", table)
	}
	if tables.apply("9"); tables.table("sheet") != nil {
		t.Error("known after an unknown version")
	}
}

// Work is told of a transaction whose try waited at its host behind another's, and items keep their order.
func TestLookahead(t *testing.T) {
	model := response.New(0)
	model.ObserveLatency("sheet", 100)
	model.ObserveAttempt("sheet", "x", 0, 100, response.Fulfilled)
	model.FitCores() // one core
	requestRecord := func(arrivalMs, startMs, latencyMs float64) *recordpb.Record {
		return &recordpb.Record{At: startMs + latencyMs, What: &recordpb.Record_Transaction{Transaction: &recordpb.Transaction{Class: "sheet", Came: arrivalMs,
			Fulfilled: true, Tries: []*recordpb.Try{{At: startMs, Host: "x", Took: latencyMs}}}}}
	}
	var buffer deadlinequeue.Queue[timedRecord]
	records := []*recordpb.Record{requestRecord(0, 0, 100), requestRecord(10, 400, 120), requestRecord(20, 20, 180)}
	for _, entry := range records {
		buffer.Schedule(entry.GetTransaction().Came, timedRecord{entry.GetTransaction().Came, "p", entry})
	}
	l := &lookahead{records: &recordMerger{reorderBuffer: buffer, recentChecksums: map[uint32]float64{}}, model: model, queues: response.NewQueueReconstruction(model), lookaheadMs: 3000}
	for i, want := range []attemptService{{0, 100}, {400, 120}, {100, 100}} {
		got, err := l.next()
		if err != nil || got.record != records[i] || got.services[0] != want {
			t.Fatalf("item %d: %v, %+v, want %v", i, err, got, want)
		}
	}
}

// Of a long day some versions are kept, the same of all three kinds.
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
	if times.count > limit || len(times.published) < limit/8 || len(times.applied["p"]) != len(times.published) || len(times.polled) != len(times.published) {
		t.Errorf("%d, %d and %d are kept", len(times.published), len(times.applied["p"]), len(times.polled))
	}
}
