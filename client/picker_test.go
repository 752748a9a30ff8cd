package client

import (
	"math"
	"testing"
	"time"
)

// Hosts are picked by weight; before the first tables by the standing ones; a host that fails too often in a
// row is shunned while others are left.
func TestPick(t *testing.T) {
	c := made(t, Options{}, doc)
	n := map[string]int{}
	for range 4000 {
		host, _ := c.Pick("sheet")
		n[host]++
	}
	if math.Abs(float64(n["b:1"])-3000) > 120 || len(n) != 2 {
		t.Errorf("picked %v", n)
	}
	if _, ok := c.Pick("finish", "a:1"); ok {
		t.Error("a host that was excluded")
	}
	now := time.Unix(0, 0)
	c = made(t, Options{Standing: []string{"x:1", "y:1"}, Ejects: 2, Shuns: time.Second, Now: func() time.Time { return now }}, "")
	for range 2 {
		c.observeAttempt("x:1", Try{Result: Failed}, 0)
	}
	for range 50 {
		if host, ok := c.Pick("sheet"); !ok || host != "y:1" {
			t.Fatalf("%q picked while x:1 is shunned", host)
		}
	}
	if host, ok := c.Pick("sheet", "y:1"); !ok || host != "x:1" {
		t.Errorf("%q picked where only a shunned host is left", host)
	}
	now = now.Add(2 * time.Second)
	n = map[string]int{}
	for range 100 {
		host, _ := c.Pick("sheet")
		n[host]++
	}
	if len(n) != 2 {
		t.Errorf("still shunned: %v", n)
	}
}
