package client

import (
	"context"
	"encoding/json"
	"errors"
	"math"
	"testing"
	"time"
)

// The share of a table rejects what is above it. Request stats count all arrivals, and what the hosts answered.
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
		t.Errorf("%d of 1000 were rejected at a share of 0.5", rejected)
	}

	isKnownHost := func(string) bool { return true }
	hosts, demand := client.stats.take(now, isKnownHost)
	stats := hosts["a:1"]
	finish := demand["finish"]
	if stats.Tries != 1000-rejected || stats.Failed != finish.Unanswered || finish.Came != 1000 {
		t.Errorf("%s, %+v", toJSON(t, hosts), finish)
	}
	if math.Abs(stats.Mean-1) > 0.001 || *stats.Load.Queue != 3 || stats.Load.Rate != nil {
		t.Errorf("%s", toJSON(t, hosts))
	}
	hosts, demand = client.stats.take(now, isKnownHost)
	if len(hosts)+len(demand) != 0 {
		t.Errorf("counted again: %v %v", hosts, demand)
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
		t.Errorf("%v, %d spare histograms", hosts, len(stats.spareHistograms))
	}
	stats.countAttempt("a:1", Outcome{}, time.Millisecond)
	hosts, _ = stats.take(now, func(string) bool { return true })
	if len(hosts["a:1"].Times) != 1 || hosts["a:1"].Tries != 1 {
		t.Errorf("a reused histogram was not empty: %+v", hosts["a:1"])
	}
}
