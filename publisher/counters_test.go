package publisher

import (
	"fmt"
	"math"
	"testing"

	"barleysail/controller"
	"barleysail/internal/haproxy"
)

// statRows returns the rows of a "show stat" with one known host in two backends and one unknown host.
func statRows(sessions, errors int) []haproxy.Row {
	total := fmt.Sprint(sessions)
	failed := fmt.Sprint(errors)
	return []haproxy.Row{
		{"pxname": "sheet", "svname": "a:80", "type": "2", "stot": total, "eresp": failed, "ttime": "50"},
		{"pxname": "finish", "svname": "a:80", "type": "2", "stot": total, "eresp": "0", "ttime": "20"},
		{"pxname": "sheet", "svname": "gone:80", "type": "2", "stot": total},
		{"pxname": "sheet", "svname": "BACKEND", "type": "1", "stot": fmt.Sprint(2 * sessions), "eresp": failed},
	}
}

func checkHostStats(t *testing.T, stats controller.HostStats, attempts, failed int, meanLatencyMs, windowMs float64) {
	t.Helper()
	if stats.Attempts != attempts || stats.Failed != failed {
		t.Errorf("got %d attempts, %d failed, want %d, %d", stats.Attempts, stats.Failed, attempts, failed)
	}
	if math.Abs(stats.MeanLatencyMs-meanLatencyMs) > 1e-9 || stats.WindowMs != windowMs {
		t.Errorf("got mean latency %g ms, window %g ms, want %g ms, %g ms",
			stats.MeanLatencyMs, stats.WindowMs, meanLatencyMs, windowMs)
	}
}

// Request stats are the increase of the counters. After a restart of the proxy, its counters are counted from 0.
func TestCounters(t *testing.T) {
	counters := NewCounters("s")
	isKnownHost := func(host string) bool { return host == "a:80" }
	if _, ok := counters.Read(1000, statRows(100, 5), isKnownHost); ok {
		t.Error("got request stats of the first reading, want none")
	}

	stats, ok := counters.Read(2000, statRows(110, 7), isKnownHost)
	if !ok || len(stats.Hosts) != 1 {
		t.Errorf("got ok %v, %+v, want true and the stats of one host", ok, stats)
	}
	checkHostStats(t, stats.Hosts["a:80"], 20, 2, (8*50+10*20)/18.0, 1000)
	if demand := stats.Demand["sheet"]; demand.Arrivals != 20 || demand.NoResponse != 2 {
		t.Errorf("got demand %+v, want 20 arrivals, 2 without response", demand)
	}

	stats, _ = counters.Read(3000, statRows(4, 1), isKnownHost)
	if stats.Hosts["a:80"].Attempts != 8 || stats.Demand["sheet"].Arrivals != 8 || stats.Sequence != 3 {
		t.Errorf("got %+v after a restart, want 8 attempts, 8 arrivals, sequence number 3", stats)
	}
}
