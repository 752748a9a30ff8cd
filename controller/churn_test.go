package controller

import (
	"fmt"
	"runtime"
	"testing"

	"barleysail/routing"
)

// A controller runs for months, so its memory has to stay bounded while hosts are replaced and proxies connect and
// disconnect.
func TestChurnIsBounded(t *testing.T) {
	const maxGrowth = 4 << 20 // bytes
	const maxIndices = 40
	result := runChurn(t, 3000)
	if result.indicesInUse > maxIndices || result.heapAfter > result.heapBefore+maxGrowth {
		t.Errorf("%d host indices in use, heap grew from %d to %d bytes; want at most %d indices and %d bytes more",
			result.indicesInUse, result.heapBefore, result.heapAfter, maxIndices, maxGrowth)
	}
}

// churnResult holds the size of the heap after a tenth of the replacements and after all of them.
type churnResult struct {
	heapBefore, heapAfter uint64 // bytes
	indicesInUse          int
}

// runChurn replaces count hosts and connects count proxies, of which it disconnects every second one.
func runChurn(t testing.TB, count int) churnResult {
	config := defaultTestConfig()
	config.settings.RemovedHostRetentionMs = 1000
	config.objective = routing.Objective{TotalWeight: 1}
	h := newHarness(t, config)
	list := h.readyEndpoints(20)
	h.mustSetEndpoints(list)
	var result churnResult
	for i := range count {
		if i == count/10 {
			result.heapBefore = heapInUse()
		}
		list[i%len(list)].Host = fmt.Sprintf("10.%d.%d.%d:80", i>>16+1, i>>8&255, i&255)
		h.mustSetEndpoints(list)
		proxy := fmt.Sprintf("p%d", i)
		h.poll(PollRequest{Proxy: proxy, WaitMs: 30000})
		h.advance(50)
		h.poll(PollRequest{Proxy: proxy, WaitMs: 30000, Tags: []string{h.tag(h.sessions.lastVersion)}})
		h.advance(50)
		if i%2 == 0 {
			h.Disconnect(h.nowMs, proxy, h)
		}
		clear(h.responses)
		h.trace.Reset()
	}
	result.heapAfter = heapInUse()
	result.indicesInUse = h.Status(h.nowMs).HostIndices
	return result
}

// heapInUse returns the size of the live heap in bytes.
func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkChurn measures the memory while many hosts are replaced.
func BenchmarkChurn(b *testing.B) {
	for range b.N {
		result := runChurn(b, 100000)
		b.ReportMetric(float64(result.heapBefore)/1024, "KiB-before")
		b.ReportMetric(float64(result.heapAfter)/1024, "KiB-after")
		b.ReportMetric(float64(result.indicesInUse), "indices")
	}
}
