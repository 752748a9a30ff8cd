package intake

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

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
			if w := q.by[l.Source]; w != nil {
				was = len(w.lines)
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
				for _, w := range q.by {
					most = max(most, len(w.lines))
				}
				now := 0
				if w := q.by[l.Source]; w != nil {
					now = len(w.lines)
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
	for i := range mostSources + 1000 {
		d.Allow(time.Unix(1000, 0), fmt.Sprint("p", i), 1)
	}
	if n := d.Report().Sources; n > mostSources+1 {
		t.Errorf("%d sources", n)
	}
}

// A repeat is none, a sender that starts over is news, and two that take turns are told.
func TestSenders(t *testing.T) {
	var out strings.Builder
	var s Reporters
	for _, x := range []struct {
		at     float64
		name   string
		number int64
	}{{0, "a", 1}, {1000, "a", 2}, {1100, "a", 2}, {2000, "b", 1}, {3000, "b", 2}, {4000, "a", 3}, {4500, "b", 3}, {4600, "b", 3}, {20000, "b", 4}, {21000, "b", 5},
		{22000, "c", 1}, {23000, "d", 1}, {24000, "e", 1}, {25000, "f", 1}, {60000, "c", 1}} {
		news, twice := s.Accept(x.at, x.name, x.number)
		fmt.Fprintf(&out, "%5.0f %s %d: news %v, twice %v\n", x.at, x.name, x.number, news, twice)
	}
	golden.Compare(t, "senders", out.String())
}

// Age by a stamp does not hang on the sender's clock being right, and one that runs ahead makes nothing younger.
func TestClock(t *testing.T) {
	for _, ahead := range []float64{0, 3600e3, -3600e3} {
		var c Clock
		for i := range 100 {
			now := 1e12 + float64(i)*1000
			way, want := 20.0, 0.0
			if i%10 == 5 { // a report that waited two seconds
				way, want = 2020, 2000
			}
			if age := c.Age(now, now+ahead-way); math.Abs(age-want) > 1e-3 && i > 0 {
				t.Fatalf("ahead by %g: age %g at %d, %g lay between", ahead, age, i, way)
			}
		}
		// the clock is set forth by a minute, and later back by an hour
		if age := c.Age(1e12+101e3, 1e12+101e3+ahead+60e3); age != 0 {
			t.Errorf("set forth: age %g", age)
		}
		if age := c.Age(1e12+102e3, 1e12+102e3+ahead-3600e3); age != 0 {
			t.Errorf("set back: age %g", age)
		}
	}
}

// Spreads of many proxies merge, and old ones are left behind.
func TestSpread(t *testing.T) {
	var s LatencyDistribution
	times := NewLatencyHistogram()
	for i := range 100 {
		times.Observe(float64(10 + i))
	}
	bars := times.Buckets()
	if len(times.Buckets()) != 0 {
		t.Error("counted again")
	}
	for p := range 5 {
		s.Add(float64(p), bars, 0, 0)
	}
	s.Add(6, nil, 500, 25) // a proxy that tells no spread
	if r := s.Report(); r.Count != 525 || math.Abs(r.P50-62) > 6 || math.Abs(r.P95-109) > 8 || math.Abs(r.P99-500) > 40 {
		t.Errorf("%+v", r)
	}
	for at := 5000.0; at < 40000; at += 1000 {
		s.Add(at, nil, 20, 1)
	}
	if r := s.Report(); r.Count > 21 || r.P95 > 22 {
		t.Errorf("old ones still count: %+v", r)
	}
}

// fleet is hosts that serve, each at a rate and a mean time, reporting as told.
type fleet struct {
	*Trust
	at  float64
	out strings.Builder
}

func (f *fleet) second(name string, rate, mean float64, load routing.HostLoad, c Capacity) routing.HostLoad {
	l := Report{Source: "p", Subject: name, Attempts: int(rate), MeanLatencyMs: mean, WindowMs: 1000, Load: load, ObservedMs: f.at}
	f.ObserveAttempts(f.at, &l)
	f.ObserveLoad(f.at, name, load, c)
	return f.Load(f.at, name, load, c)
}

// Reports that are false, stuck or missing are told, and what stands in their place gives no room; those of a host that
// is merely slow, idle or at a steady load are believed.
func TestTrust(t *testing.T) {
	f := &fleet{Trust: NewTrust(DefaultLimits())}
	c := Capacity{Cores: 4, MeanWorkMs: 50, ProxyShare: 1}
	load := func(util, rate, queue float64) routing.HostLoad {
		return routing.HostLoad{Utilization: util, RequestRate: rate, QueueLength: queue}
	}
	quarter := 1.0
	for i := range 80 {
		f.at += 1000
		wobble := 0.02 * math.Sin(float64(i)*1.7)
		told := map[string]routing.HostLoad{}
		for h := range 20 {
			f.second(fmt.Sprint("plain-", h), 40/quarter, 55, load((0.5+wobble*float64(h+1)/10)/quarter, (40+float64(h%3)+wobble)/quarter, 0), c)
		}
		told["idle"] = f.second("idle", 0, 0, load(0, 0, 0), c)
		told["slow"] = f.second("slow", 20, 110, load(0.5+wobble, 20+wobble, 0), c)
		told["lies"] = f.second("lies", 70, 300, load(0.1+wobble, 7+wobble, 0), c)
		told["lies-no-cores"] = f.second("lies-no-cores", 70, 300, load(0.1+wobble, -1, 0), Capacity{ProxyShare: 1})
		if i < 40 {
			told["stuck"] = f.second("stuck", 40, 55, load(0.5+wobble, 40+wobble, 0), c)
			told["stops"] = f.second("stops", 40, 55, load(0.5+wobble, 40+wobble, 0), c)
		} else {
			told["stuck"] = f.second("stuck", 40, 55, load(0.5, 41, 0), c)
			told["stops"] = f.second("stops", 40, 55, routing.UnknownLoad, c)
		}
		if i%8 == 7 {
			fmt.Fprintf(&f.out, "%2d s:", i+1)
			for _, name := range []string{"idle", "slow", "lies", "lies-no-cores", "stuck", "stops"} {
				fmt.Fprintf(&f.out, " %s %.2f", name, told[name].Utilization)
			}
			fmt.Fprintln(&f.out)
		}
		if i == 20 { // a quarter of the traffic is left for a while
			quarter = 4
		} else if i == 30 {
			quarter = 1
		}
		for _, text := range f.DrainChanges() {
			fmt.Fprintf(&f.out, "%2d s: %s\n", i+1, text)
		}
	}
	r, _ := f.Host(f.at, "stops", c)
	fmt.Fprintf(&f.out, "stops: silent %v, estimate %.2f, unsure %.2f, age %.0f ms, %.0f good tries\n", r.Silent, r.Estimate, r.Uncertainty, r.AgeMs, r.Count)
	known, doubted, silent := f.Count(f.at)
	fmt.Fprintf(&f.out, "%d known, %d doubted, %d silent\n", known, doubted, silent)
	golden.Compare(t, "trust", f.out.String())
}

// Whatever a host reports and the proxies meet: in place of a report stands one that gives no more room.
func TestNoRoomInvented(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{Trust: NewTrust(DefaultLimits())}
		c := Capacity{Cores: rapid.SampledFrom([]float64{0, 4}).Draw(t, "able"), MeanWorkMs: 50, ProxyShare: 0.5}
		for range rapid.IntRange(5, 60).Draw(t, "seconds") {
			f.at += 1000
			f.second("other", 40, 50, routing.HostLoad{Utilization: 0.5 + math.Mod(f.at, 7)/100, RequestRate: 40, QueueLength: 0}, c)
			load := routing.HostLoad{Utilization: rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "util"), RequestRate: rapid.SampledFrom([]float64{-1, 1, 40}).Draw(t, "rate"), QueueLength: 0}
			told := f.second("h", rapid.SampledFrom([]float64{0, 10, 40, 80}).Draw(t, "came"), rapid.SampledFrom([]float64{20, 50, 400}).Draw(t, "mean"), load, c)
			if told != load && (told.Utilization < load.Utilization || told.RequestRate >= 0 || told.QueueLength >= 0 || told.Utilization > 1) {
				t.Fatalf("%+v became %+v", load, told)
			}
		}
		f.at += 30000
		for range 3 {
			f.at += 1000
			if told := f.Load(f.at, "h", routing.UnknownLoad, c); told != routing.UnknownLoad && told.Utilization < DefaultLimits().UnknownUtilization-1e-9 {
				t.Fatalf("after half a minute of silence %+v", told)
			}
		}
	})
}

// A steward that falls behind sheds half of the reports, then more, and then lengthens its rounds; it comes back by steps.
func TestPace(t *testing.T) {
	var out strings.Builder
	var p IngestPacer
	for i := range 200 {
		late := 0.0
		if i >= 10 && i < 25 {
			late = 180
		}
		if p.ObserveRound(late) {
			fmt.Fprintf(&out, "round %3d: level %d, %.3f of the intake, %d of 20000 lines, rounds %.0f times as long\n", i, p.SheddingLevel(), p.Ratio(), p.MaxReports(20000), p.IntervalFactor())
		}
	}
	golden.Compare(t, "pace", out.String())
}
