package intake

import (
	"fmt"
	"testing"
	"time"
)

// A source that floods takes what it is due and what nobody wants; the others' reports all come in.
func TestDoor(t *testing.T) {
	d := NewRateLimiter(RateLimits{PerSource: 2000, Total: 1000})
	now := time.Unix(1000, 0)
	in, refused := map[string]int{}, map[string]int{}
	let := func(name string, lines int) {
		if ok, again := d.Allow(now, name, lines); ok {
			in[name] += lines
		} else if refused[name] += lines; again <= 0 {
			t.Errorf("%s may come again after %v", name, again)
		}
	}
	for tick := range 200 { // 20 s in tenths
		now = now.Add(100 * time.Millisecond)
		for range 100 {
			let("flood", 5) // 5000 a second, and before the others
		}
		for i := range 20 {
			if tick%10 == i%10 {
				let(fmt.Sprint("p", i), 20) // 20 a second each, 400 in all
			}
		}
	}
	for i := range 20 {
		if name := fmt.Sprint("p", i); refused[name] > 0 || in[name] != 400 {
			t.Errorf("%s: %d in, %d refused", name, in[name], refused[name])
		}
	}
	if n := in["flood"]; n < 20*500 || n > 20*560+2000 {
		t.Errorf("the flood got %d lines in 20 s", n)
	}
	r := d.Report()
	if r.Sources != 21 || r.Shed+r.Rejected == 0 {
		t.Errorf("%+v", r)
	}
	d.SetRatio(now, 0.25)
	clear(in)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for range 20 {
			let("flood", 5)
		}
	}
	if n := in["flood"]; n > 10*140+700 {
		t.Errorf("at a quarter the flood got %d lines in 10 s", n)
	}
	now = now.Add(time.Minute)
	let("p1", 1)
	if n := d.Report().Sources; n != 1 {
		t.Errorf("%d sources are remembered", n)
	}
}

// What is kept of sources is bounded, however many names come.
func TestDoorIsBounded(t *testing.T) {
	d := NewRateLimiter(DefaultRateLimits())
	for i := range maxSources + 1000 {
		d.Allow(time.Unix(1000, 0), fmt.Sprint("p", i), 1)
	}
	if n := d.Report().Sources; n > maxSources+1 {
		t.Errorf("%d sources", n)
	}
}
