package controller

import (
	"fmt"
	"runtime"
	"testing"

	"barleysail/routing"
)

// A steward runs for months: what it keeps stays bounded while hosts are replaced and proxies come and go.
func TestChurnIsBounded(t *testing.T) {
	before, after, st := churn(t, 3000)
	if st.IndicesInUse > 40 || after > before+4<<20 {
		t.Errorf("%d indices in use, heap %d to %d bytes", st.IndicesInUse, before, after)
	}
}

// churn replaces hosts and lets proxies join and leave, n times each.
func churn(t testing.TB, n int) (before, after uint64, st Status) {
	set := defaultTestSettings()
	set.RemovedHostRetentionMs = 1000
	d := &harness{nowMs: 1000, responses: map[int64]Response{}}
	d.Controller = New(set.Deployment, set.classes, set.channel, set.guard, routing.Objective{TotalWeight: 1}, set.Settings)
	d.t = &testing.T{}
	list := d.readyEndpoints(20)
	d.mustSetEndpoints(list)
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for i := range n {
		if i == n/10 {
			before = heap()
		}
		list[i%len(list)].Host = fmt.Sprintf("10.%d.%d.%d:80", i>>16+1, i>>8&255, i&255)
		d.mustSetEndpoints(list)
		p := fmt.Sprintf("p%d", i)
		d.poll(PollRequest{Proxy: p, WaitMs: 30000})
		d.advance(50)
		d.poll(PollRequest{Proxy: p, WaitMs: 30000, Tags: []string{fmt.Sprintf("L-%d", d.sessions.lastVersion)}})
		d.advance(50)
		if i%2 == 0 {
			d.Disconnect(d.nowMs, p, d)
		}
		clear(d.responses)
		d.trace.Reset()
	}
	after = heap()
	return before, after, d.Status(d.nowMs)
}

func BenchmarkChurn(b *testing.B) {
	for range b.N {
		before, after, st := churn(b, 100000)
		b.ReportMetric(float64(before)/1024, "KiB-before")
		b.ReportMetric(float64(after)/1024, "KiB-after")
		b.ReportMetric(float64(st.IndicesInUse), "indices")
	}
}
