package client

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"testing"
	"time"
)

// The admission ratio of a table rejects a part of the requests. Request stats count all arrivals, and the attempts of
// the admitted ones.
func TestAdmissionAndRequestStats(t *testing.T) {
	now := time.Unix(0, 0)
	client := newTestClient(t, Options{Now: func() time.Time { return now }}, testDocument)
	rejected := 0
	for i := range 1000 {
		err := client.Do(context.Background(), "finish", func(context.Context, string) Outcome {
			now = now.Add(time.Millisecond)
			if i%10 == 0 {
				return Outcome{Result: Failed}
			}
			return Outcome{Metrics: "TEXT cpu_utilization=0.5, named_metrics.queue=3, odd=x"}
		})
		if errors.Is(err, ErrNotAdmitted) {
			rejected++
		}
	}
	if rejected < 430 || rejected > 570 {
		t.Errorf("rejected at an admission ratio of 0.5: got %d of 1000 requests, want 430 to 570", rejected)
	}

	isKnownHost := func(string) bool { return true }
	hosts, demand := client.stats.take(now, isKnownHost)
	stats := hosts["a:1"]
	finish := demand["finish"]
	if stats.Attempts != 1000-rejected || stats.Failed != finish.Unfulfilled || finish.Arrivals != 1000 {
		t.Errorf("stats: got %s, %+v, want %d attempts, as many failed as unfulfilled, and 1000 arrivals",
			toJSON(t, hosts), finish, 1000-rejected)
	}
	if math.Abs(stats.MeanLatencyMs-1) > 0.001 || *stats.Load.QueueLength != 3 || stats.Load.RequestRate != nil {
		t.Errorf("stats: got %s, want a mean of 1 ms, a queue of 3 and no rate", toJSON(t, hosts))
	}
	hosts, demand = client.stats.take(now, isKnownHost)
	if len(hosts)+len(demand) != 0 {
		t.Errorf("stats of the next window: got %v and %v, want none", hosts, demand)
	}
}

func toJSON(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Stats of hosts that no table names are dropped, and their histograms are reused.
func TestRequestStatsOfUnknownHosts(t *testing.T) {
	now := time.Unix(0, 0)
	var stats requestStats
	stats.reset(now)
	stats.countAttempt("gone:1", Outcome{}, time.Millisecond)
	hosts, _ := stats.take(now, func(string) bool { return false })
	if len(hosts) != 0 || len(stats.spareHistograms) != 1 {
		t.Errorf("stats of an unknown host: got %v and %d spare histograms, want none and 1",
			hosts, len(stats.spareHistograms))
	}
	stats.countAttempt("a:1", Outcome{}, time.Millisecond)
	hosts, _ = stats.take(now, func(string) bool { return true })
	if len(hosts["a:1"].Buckets) != 1 || hosts["a:1"].Attempts != 1 {
		t.Errorf("stats with a reused histogram: got %+v, want one attempt", hosts["a:1"])
	}
}
