package intake

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/internal/golden"
	"barleysail/routing"
)

func line(source, of string, tries int, at float64) Report {
	return Report{Source: source, Subject: of, Attempts: tries, MeanLatencyMs: 20, WindowMs: 1000, Load: routing.UnknownLoad, ObservedMs: at}
}

func print(out *strings.Builder, lines []Report) {
	for _, l := range lines {
		fmt.Fprintf(out, "  %s of %s: %d tries, %d failed, mean %.1f, span %.0f\n", l.Source, l.Subject, l.Attempts, l.Failed, l.MeanLatencyMs, l.WindowMs)
	}
}

// Lines come out as they came while there is room; else by turns, those that say most first; of too many the source with
// the most loses the stalest; old ones weigh less.
func TestQueue(t *testing.T) {
	var out strings.Builder
	say := func(format string, args ...any) { fmt.Fprintf(&out, format+"\n", args...) }
	limits := Limits{MaxQueued: 6, FullWeightMs: 1000, HalfLifeMs: 1000, MaxAgeMs: 5000}
	q := NewQueue(limits)
	for _, l := range []Report{line("p", "x", 10, 0), line("q", "x", 5, 0), line("p", "y", 3, 0), line("p", "x", 30, 0), line("p", "x", 1, 0), line("p", "x", 1, 0), line("p", "x", 1, 0), line("p", "x", 2, 0)} {
		q.Add(l)
	}
	say("all, those of one source on one host beyond the fourth as one")
	print(&out, q.Take(500, 100))
	for i := range 8 {
		q.Add(line("flood", fmt.Sprint("h", i), 1+i, float64(i*100)))
	}
	q.Add(line("p", "x", 1, 0))
	q.Add(line("q", "x", 1, 0))
	n, sources := q.Waiting()
	say("%d of %d sources wait, dropped %v", n, sources, q.Dropped())
	say("three of them")
	print(&out, q.Take(800, 3))
	q.Forget("flood")
	n, _ = q.Waiting()
	say("the flood's source leaves: %d wait, dropped %v", n, q.Dropped())
	q.Add(line("p", "old", 100, 1000))
	q.Add(line("p", "older", 100, 0))
	q.Add(Report{Source: "p", Subject: "sheet", IsDemand: true, Attempts: 100, WindowMs: 1000, ObservedMs: 1000})
	q.Add(line("p", "too old", 100, -3000))
	say("of two and three seconds, one of usage, and one that is too old")
	print(&out, q.Take(3000, 100))
	say("dropped %v", q.Dropped())
	golden.Compare(t, "queue", out.String())
}

// Whatever is offered: no more wait than may, nothing is lost without being counted, and no source with fewer lines than
// another loses one for it.
func TestQueueCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Limits{MaxQueued: 10, FullWeightMs: 1e9, HalfLifeMs: 1000, MaxAgeMs: 1e9})
		offered, taken, merged := 0, 0, 0
		alone := map[string]bool{}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "take") == 0 {
				got := q.Take(float64(i), rapid.IntRange(1, 12).Draw(t, "most"))
				taken += len(got)
				clear(alone)
				continue
			}
			l := line(rapid.SampledFrom([]string{"a", "a", "a", "b", "c"}).Draw(t, "source"), fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "of")), rapid.IntRange(0, 9).Draw(t, "tries"), float64(i))
			before, _ := q.Waiting()
			dropped := q.dropped[QueueFull]
			was := 0
			if w := q.bySource[l.Source]; w != nil {
				was = len(w.reports)
			}
			q.Add(l)
			offered++
			after, _ := q.Waiting()
			if after == before && q.dropped[QueueFull] == dropped {
				merged++
			}
			if after > 10 {
				t.Fatalf("%d wait", after)
			}
			if q.dropped[QueueFull] > dropped { // somebody lost a line: the longest
				most := 0
				for _, w := range q.bySource {
					most = max(most, len(w.reports))
				}
				now := 0
				if w := q.bySource[l.Source]; w != nil {
					now = len(w.reports)
				}
				if now < was && now+1 < most {
					t.Fatalf("%s lost a line with %d where another has %d", l.Source, now, most)
				}
			}
		}
		n, _ := q.Waiting()
		if lost := int(q.dropped[QueueFull]); offered != taken+merged+lost+n {
			t.Fatalf("%d offered, %d taken, %d merged, %d dropped, %d wait", offered, taken, merged, lost, n)
		}
	})
}
