package client

import (
	"math"
	"testing"
	"time"
)

// countPicks returns how often each host is picked.
func countPicks(client *Client, class string, picks int) map[string]int {
	counts := map[string]int{}
	for range picks {
		host, _ := client.Pick(class)
		counts[host]++
	}
	return counts
}

// Hosts are picked by weight, and an excluded one never.
func TestPick(t *testing.T) {
	client := newTestClient(t, Options{}, testDocument)
	counts := countPicks(client, "sheet", 4000)
	if math.Abs(float64(counts["b:1"])-3000) > 120 || len(counts) != 2 {
		t.Errorf("picks by host: got %v, want 1000 of a:1 and 3000 of b:1, each ± 120", counts)
	}
	if _, ok := client.Pick("finish", "a:1"); ok {
		t.Error("an excluded host was picked")
	}
}

// Before the first tables the fallback hosts are picked. A host that fails too often in a row is ejected for a while,
// and picked only if no other one is left.
func TestEjection(t *testing.T) {
	now := time.Unix(0, 0)
	client := newTestClient(t, Options{
		FallbackHosts:      []string{"x:1", "y:1"},
		EjectAfterFailures: 2,
		EjectionTime:       time.Second,
		Now:                func() time.Time { return now },
	}, "")
	for range 2 {
		client.observeAttempt("x:1", Outcome{Result: Failed}, 0)
	}
	for range 50 {
		if host, ok := client.Pick("sheet"); !ok || host != "y:1" {
			t.Fatalf("host picked while x:1 is ejected: got %q, want y:1", host)
		}
	}
	if host, ok := client.Pick("sheet", "y:1"); !ok || host != "x:1" {
		t.Errorf("host picked if only the ejected x:1 remains: got %q, want x:1", host)
	}
	now = now.Add(2 * time.Second)
	if counts := countPicks(client, "sheet", 100); len(counts) != 2 {
		t.Errorf("hosts picked after the ejection: got %v, want both", counts)
	}
}

// A success between failures restarts the count of failures in a row.
func TestEjectionNeedsFailuresInARow(t *testing.T) {
	client := newTestClient(t, Options{FallbackHosts: []string{"x:1", "y:1"}, EjectAfterFailures: 2}, "")
	for _, result := range []Result{Failed, Fulfilled, Failed} {
		client.observeAttempt("x:1", Outcome{Result: result}, 0)
	}
	if counts := countPicks(client, "sheet", 100); len(counts) != 2 {
		t.Errorf("hosts picked: got %v, want both", counts)
	}
}
