package replay

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/golden"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/routing"
)

const settings = `zones: ["a", "b"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 } list { file: "x" } probes { on: false }
channel { lines_per_s: 1000000 most_waiting: 1000000 } `

func build(s *recordpb.Start) (*controller.Controller, error) {
	c, err := config.Parse("test", []byte(s.Config))
	if err != nil {
		return nil, err
	}
	return config.NewController(c, s.Life, s.Seed), nil
}

// recorder plays a day on a scripted clock, and passes on what a daemon would record.
type recorder struct {
	s    *controller.Controller
	at   float64
	emit func(*recordpb.Record)
	tags map[string]string
	id   int64
}

func (r *recorder) Respond(poll int64, a controller.Response) {
	r.emit(record.Published(r.at, poll, a))
	r.tags[a.Proxy] = a.Tag
}
func (r *recorder) CheckHealth(string) {}
func (r *recorder) WatchEndpoints()    {}
func (r *recorder) Log(string)         {}

func (r *recorder) in(x *recordpb.Record) {
	r.emit(proto.Clone(x).(*recordpb.Record))
	record.Feed(r.s, x, r)
	r.advance()
}

func (r *recorder) advance() {
	if r.s.NextMs() <= r.at {
		r.emit(record.Advance(r.at))
		r.s.Advance(r.at, r)
	}
}

// play makes a day: hosts of which one in five is slow for a while, proxies that poll and send sums each second,
// one host draining, one gone and back.
func play(seconds, hosts, proxies int, emit func(*recordpb.Record)) {
	start := &recordpb.Start{Format: record.Format, Program: "test", Config: settings + fmt.Sprintf("fleet { proxies: %d }", proxies), Life: "L", Seed: 3}
	s, err := build(start)
	if err != nil {
		panic(err)
	}
	r := &recorder{s: s, at: 1000, emit: emit, tags: map[string]string{}}
	emit(&recordpb.Record{At: r.at, What: &recordpb.Record_Start{Start: start}})
	var list []controller.Endpoint
	for i := range hosts {
		list = append(list, controller.Endpoint{Host: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: []string{"a", "b"}[i%2], State: routing.Ready, Weight: 1})
	}
	r.in(record.Listed(r.at, list))
	for second := range seconds {
		switch second {
		case seconds / 3:
			list[0].State = routing.Draining
			r.in(record.Listed(r.at, list))
		case seconds / 2:
			r.in(record.Listed(r.at, list[1:]))
		case seconds * 3 / 4:
			list[0].State, list[0].StartedMs = routing.Ready, r.at
			r.in(record.Listed(r.at, list))
		}
		for p := range proxies {
			name := fmt.Sprint("p", p)
			r.id++
			q := controller.PollRequest{Proxy: name, Zone: []string{"a", "b"}[p%2], WaitMs: 900, AcceptDelta: true}
			if tag := r.tags[name]; tag != "" {
				q.Tags = []string{tag}
			}
			r.in(record.Poll(r.at, r.id, q))
			u := controller.ProxyStats{Sequence: int64(second + 1), Hosts: map[string]controller.HostStats{}, Demand: map[string]controller.ClassDemand{"sheet": {Arrivals: 9, WindowMs: 1000}}}
			for k := range min(10, hosts-1) {
				h := list[1+(p*7+k*3+second)%(hosts-1)]
				mean := 40.0
				if i := 1 + (p*7+k*3+second)%(hosts-1); i%5 == 0 && second > 5 && second < 25 {
					mean = 400
				}
				u.Hosts[h.Host] = controller.HostStats{Attempts: 20, MeanLatencyMs: mean, WindowMs: 1000, Load: routing.UnknownLoad}
			}
			r.in(record.Sums(r.at, name, u))
		}
		for end := r.at + 1000; ; {
			next := math.Max(r.s.NextMs(), r.at)
			if next >= end {
				r.at = end
				break
			}
			r.at = next
			r.advance()
		}
	}
}

func from(records []*recordpb.Record) Next {
	i := 0
	return func() (*recordpb.Record, error) {
		if i == len(records) {
			return nil, io.EOF
		}
		i++
		return records[i-1], nil
	}
}

func made() []*recordpb.Record {
	var all []*recordpb.Record
	play(30, 12, 4, func(r *recordpb.Record) { all = append(all, r) })
	return all
}

// A day replayed with its own setting comes out as recorded; where the record was changed the first difference is
// told, with its cause.
func TestAgain(t *testing.T) {
	var now strings.Builder
	day := made()
	say := func(what string, day []*recordpb.Record) {
		s, err := Again(from(day), build)
		if err != nil {
			fmt.Fprintf(&now, "%s: error %v\n", what, err)
			return
		}
		fmt.Fprintf(&now, "%s: %d inputs, %d answers, %.0f to %.0f ms\n", what, s.Inputs, s.Answers, s.From, s.To)
		if s.First != nil {
			fmt.Fprintf(&now, "%v\n", s.First)
		}
	}
	say("as it was", day)
	changed := func(pick func(*recordpb.Record) bool, change func(*recordpb.Record)) []*recordpb.Record {
		other := append([]*recordpb.Record(nil), day...)
		for i, r := range other {
			if pick(r) {
				other[i] = proto.Clone(r).(*recordpb.Record)
				change(other[i])
				break
			}
		}
		return other
	}
	say("a published weight was another", changed(func(r *recordpb.Record) bool {
		return r.GetPublished() != nil && strings.Contains(string(r.GetPublished().Body), "null") && r.At > 9000
	}, func(r *recordpb.Record) {
		p := r.GetPublished()
		p.Body = []byte(strings.ReplaceAll(string(p.Body), "null", "0.25"))
		p.Sum = record.Sum(p.Body)
	}))
	say("sums told of slow answers", changed(func(r *recordpb.Record) bool { return r.GetSums() != nil && r.At > 3000 },
		func(r *recordpb.Record) {
			for _, h := range r.GetSums().Hosts {
				h.Failed = h.Tries
			}
		}))
	i := 0
	for r := day[i]; r.GetPublished() == nil; r = day[i] {
		i++
	}
	say("an answer was not recorded", append(append([]*recordpb.Record(nil), day[:i]...), day[i+1:]...))
	say("an answer was recorded twice", append(append([]*recordpb.Record(nil), day[:i+1]...), day[i:]...))
	say("the start is gone", day[1:])
	golden.CompareForTest(t, now.String())
}

// A part that is cut out replays by itself.
func TestCut(t *testing.T) {
	day := made()
	for _, part := range [][2]float64{{0, 5000}, {8000, 14000}, {15500, 26000}} {
		var cut []*recordpb.Record
		if err := Cut(from(day), build, part[0], part[1], func(r *recordpb.Record) error {
			cut = append(cut, proto.Clone(r).(*recordpb.Record))
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		s, err := Again(from(cut), build)
		if err != nil || s.First != nil || s.Answers == 0 || len(cut) >= len(day) || s.To > part[1] {
			t.Errorf("%v: %d records, %+v, %v", part, len(cut), s, err)
		}
	}
	if err := Cut(from(day), build, 1e9, 2e9, func(*recordpb.Record) error { return nil }); err == nil {
		t.Error("a part after the end")
	}
}

// A summary tells the day in figures, and stays bounded however long the day is.
func TestSummary(t *testing.T) {
	var now strings.Builder
	s, err := Summarize(from(made()), build)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&now, "%d records, %d proxies, %d hosts\n", s.Records, s.Proxies, s.Hosts)
	for i, x := range s.Spans {
		if i%5 == 0 {
			fmt.Fprintf(&now, "%.0f: %+v\n", x.From, x)
		}
	}
	for _, m := range s.Moments {
		fmt.Fprintf(&now, "%.0f %s\n", m.At, m.Text)
	}
	golden.CompareForTest(t, now.String())
	z := &summarizer{Summary: &Summary{From: 0}, width: firstSpan}
	came := int64(0)
	for z.now = 0; z.now < 3e6; z.now += 700 {
		z.span().Came++
		came++
	}
	sum := int64(0)
	for _, x := range z.Spans {
		sum += x.Came
	}
	if len(z.Spans) > spansKept || sum != came {
		t.Errorf("%d spans hold %d of %d", len(z.Spans), sum, came)
	}
	if _, err := Summarize(func() (*recordpb.Record, error) { return nil, io.EOF }, build); !errors.Is(err, errNoStart) {
		t.Error(err)
	}
}

// BenchmarkAgain replays a minute of 150 hosts and 400 proxies.
func BenchmarkAgain(b *testing.B) {
	var day []*recordpb.Record
	play(60, 150, 400, func(r *recordpb.Record) { day = append(day, r) })
	b.ResetTimer()
	for range b.N {
		if s, err := Again(from(day), build); err != nil || s.First != nil {
			b.Fatal(s, err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Seconds())/float64(b.N)*60, "s/hour-of-day")
}

// traffic is a day of a steward and its proxies: each proxy's transactions, and the versions that it applied. The
// record of a transaction may be changed, or left out by nil, or given more than once.
func traffic(seconds, hosts, proxies, rate int, day []*recordpb.Record, offset func(p int, at float64) float64,
	change func(p, n int, r *recordpb.Record) []*recordpb.Record) Open {
	applied := map[string][]*recordpb.Record{}
	for _, r := range day {
		if p := r.GetPublished(); p != nil && controller.ResponseKind(p.Kind) != controller.NotModified {
			applied[p.Proxy] = append(applied[p.Proxy], &recordpb.Record{At: r.At, What: &recordpb.Record_Applied{Applied: p.Tag}})
		}
	}
	return func() ([]Source, error) {
		next := from(day)
		all := []Source{{"steward", func() (*recordpb.Record, error) {
			r, err := next()
			if err == nil {
				r = proto.Clone(r).(*recordpb.Record)
			}
			return r, err
		}}}
		for p := range proxies {
			name, n := fmt.Sprint("p", p), 0
			ahead := []*recordpb.Record{{At: 1000, What: &recordpb.Record_ProxyStart{ProxyStart: &recordpb.ProxyStart{Proxy: name, Zone: []string{"a", "b"}[p%2]}}}}
			versions := applied[name]
			all = append(all, Source{fmt.Sprint("proxy", p), func() (*recordpb.Record, error) {
				for len(ahead) == 0 {
					at := 1000 + float64(n)*1000*float64(proxies)/float64(rate) + float64(p)
					if at > float64(seconds)*1000 {
						return nil, io.EOF
					}
					took := 40 + float64(n*p%50)
					if len(versions) > 0 && versions[0].At <= at {
						ahead, versions = versions[:1:1], versions[1:]
						break
					}
					n++
					ahead = change(p, n, &recordpb.Record{At: at + took, What: &recordpb.Record_Transaction{Transaction: &recordpb.Transaction{
						Class: "sheet", Came: at, LetIn: true, Fulfilled: true,
						Tries: []*recordpb.Try{{At: at, Host: fmt.Sprintf("10.0.0.%d:80", (n*7+p)%hosts), Took: took}}}}})
				}
				r := ahead[0]
				ahead = ahead[1:]
				by := offset(p, r.At)
				r = proto.Clone(r).(*recordpb.Record)
				if t := r.GetTransaction(); t != nil {
					t.Came += by
					for _, x := range t.Tries {
						x.At += by
					}
				}
				r.At += by
				return r, nil
			}})
		}
		return all, nil
	}
}

// forgotten leaves out what the proxies tell of the versions that they go by: each draw is then by the new tables alone.
func forgotten(open Open) Open {
	return func() ([]Source, error) {
		all, err := open()
		for i, s := range all {
			all[i].Next = func() (*recordpb.Record, error) {
				for {
					if r, err := s.Next(); err != nil || r.GetApplied() == "" {
						return r, err
					}
				}
			}
		}
		return all, err
	}
}

func still(int, float64) float64                              { return 0 }
func asItWas(_, _ int, r *recordpb.Record) []*recordpb.Record { return []*recordpb.Record{r} }

func plainSetting() Setting {
	set := Setting{Make: build, Probes: 250, Classes: []controller.RequestClass{{Name: "sheet", RequestClass: routing.RequestClass{LatencyObjectiveMs: 1000, DeadlineMs: 2500, PriorityWeight: 3}},
		{Name: "finish", RequestClass: routing.RequestClass{LatencyObjectiveMs: 500, DeadlineMs: 1200, PriorityWeight: 9}}}}
	f := &set.Figures
	f.EmptyTableMs, f.DrainGraceMs, f.SlowStartMs, f.CollapseMultiple, f.CollapseMs, f.EntriesPerSecond, f.MaxBacklog = 5000, 3000, 18000, 4, 3000, 1e6, 1e6
	return set
}

// Odd records: a day is played whatever is wrong with a part of it, and what was wrong is told.
func TestOddRecords(t *testing.T) {
	day := made()
	play := func(offset func(int, float64) float64, change func(p, n int, r *recordpb.Record) []*recordpb.Record) *Outcome {
		t.Helper()
		o, err := Replay(traffic(30, 12, 4, 100, day, offset, change), plainSetting())
		if err != nil {
			t.Fatal(err)
		}
		return o
	}
	asked := func(o *Outcome) (n float64) {
		for _, w := range o.Windows {
			n += w.Asked[0] / 3
		}
		return n
	}
	plain := play(still, asItWas)
	if n := asked(plain); n < 2890 || n > 2910 || Compare(plain, plain, 1).All.One < 0.97 {
		t.Fatalf("%.0f transactions, %+v", n, Compare(plain, plain, 1).All)
	}
	if len(plain.Gaps) < 5 || plain.MeanGap() < -1e-9 || plain.MeanGap() > 0.2 {
		t.Errorf("gaps %v", plain.Gaps)
	}
	doubled := play(still, func(_, n int, r *recordpb.Record) []*recordpb.Record {
		if n%10 == 0 {
			return []*recordpb.Record{r, r}
		}
		return []*recordpb.Record{r}
	})
	if asked(doubled) != asked(plain) || doubled.Doubled < 280 || Compare(plain, doubled, 1).All.Difference.Value != 0 {
		t.Errorf("doubled: %.0f transactions, %d told", asked(doubled), doubled.Doubled)
	}
	held := map[int][]*recordpb.Record{}
	shuffled := play(still, func(p, n int, r *recordpb.Record) []*recordpb.Record {
		if n == 1 {
			delete(held, p) // another pass over the day
		}
		h := append(held[p], r)
		if held[p] = h; len(h) < 5 {
			return nil
		}
		delete(held, p)
		return []*recordpb.Record{h[3], h[0], h[4], h[1], h[2]}
	})
	if n := asked(shuffled); n < asked(plain)-80 || Compare(shuffled, shuffled, 1).All.One < 0.97 {
		t.Errorf("out of order: %.0f transactions", n)
	}
	missing := play(still, func(_, _ int, r *recordpb.Record) []*recordpb.Record {
		if r.At > 10000 && r.At < 20000 {
			return nil
		}
		return []*recordpb.Record{r}
	})
	if n := asked(missing); n < 1850 || n > 1960 {
		t.Errorf("ten seconds missing: %.0f transactions", n)
	}
	jumped := play(func(p int, at float64) float64 {
		if p == 1 && at > 15000 {
			return -4000
		}
		return 300 * float64(p)
	}, asItWas)
	// The proxies of this day poll once a second, so their clocks are known to half of that.
	if by := jumped.Offsets["p1"]; len(by) != 2 || math.Abs(by[0].By+300) > by[0].Within+5 || math.Abs(by[1].By-4000) > by[1].Within+5 {
		t.Errorf("a clock that was set back: %+v", by)
	}
	if by := jumped.Offsets["p3"]; len(by) != 1 || math.Abs(by[0].By+900) > by[0].Within+5 || by[0].Within > 500 {
		t.Errorf("a clock that is off: %+v", by)
	}
	early := play(still, func(_, n int, r *recordpb.Record) []*recordpb.Record {
		if n == 1 { // a transaction whose first try lies before the beginning
			t := r.GetTransaction()
			t.Came, t.Tries[0].At = -500, -500
			t.Tries = append([]*recordpb.Try{{At: -2000, Host: "10.0.0.1:80", Took: 1400, Result: 1}}, t.Tries...)
		}
		return []*recordpb.Record{r}
	})
	if asked(early) != asked(plain) {
		t.Errorf("first tries before the beginning: %.0f transactions", asked(early))
	}
	cancelled := play(still, func(_, n int, r *recordpb.Record) []*recordpb.Record {
		if n%3 == 0 { // given up while the answer was on its way
			x := r.GetTransaction()
			x.Fulfilled, x.Tries[0].Result, x.Tries[0].Took = false, 1, 2500
			r.At = x.Came + 2500
		}
		return []*recordpb.Record{r}
	})
	if c := Compare(cancelled, cancelled, 1).All; c.Recorded > 0.7 || c.Recorded < 0.6 {
		t.Errorf("cancelled: %+v", c)
	}
	seldom, err := Replay(forgotten(traffic(30, 12, 4, 100, day, still, func(_, n int, r *recordpb.Record) []*recordpb.Record {
		r.GetTransaction().Tries[0].Host = "10.0.0.3:80" // all others were never tried in the record
		return []*recordpb.Record{r}
	})), plainSetting())
	if err != nil {
		t.Fatal(err)
	}
	if float64(seldom.Beyond) < 0.8*float64(seldom.Tries) {
		t.Errorf("%d of %d answers extrapolated", seldom.Beyond, seldom.Tries)
	}
}

// Whatever is changed in a record, a replay ends, and tells a difference where the answers are not the record's.
func TestChangedRecords(t *testing.T) {
	day := made()
	rapid.Check(t, func(r *rapid.T) {
		changed := append([]*recordpb.Record(nil), day...)
		for range rapid.IntRange(1, 4).Draw(r, "changes") {
			i, j := rapid.IntRange(1, len(changed)-1).Draw(r, "i"), rapid.IntRange(1, len(changed)-1).Draw(r, "j")
			switch rapid.IntRange(0, 3).Draw(r, "how") {
			case 0:
				changed[i], changed[j] = changed[j], changed[i]
			case 1:
				changed = append(changed[:i:i], changed[i+1:]...)
			case 2:
				changed = append(changed[:i:i], append([]*recordpb.Record{changed[j]}, changed[i:]...)...)
			case 3:
				x := proto.Clone(changed[i]).(*recordpb.Record)
				x.At += rapid.Float64Range(-20000, 20000).Draw(r, "by")
				changed[i] = x
			}
		}
		s, err := Again(from(changed), build)
		if err != nil {
			r.Fatal(err)
		}
		recorded := 0
		for _, x := range changed {
			if x.GetPublished() != nil {
				recorded++
			}
		}
		if s.First == nil && s.Answers != recorded {
			r.Fatalf("%d answers agreed of %d recorded, and no difference is told", s.Answers, recorded)
		}
		if _, err := Summarize(from(changed), build); err != nil {
			r.Fatal(err)
		}
	})
}

// BenchmarkReplay plays a minute of 150 hosts, 400 proxies and 580 transactions a second against a setting.
func BenchmarkReplay(b *testing.B) {
	const seconds, hosts, proxies, rate = 60, 150, 400, 580
	var day []*recordpb.Record
	play(seconds, hosts, proxies, func(r *recordpb.Record) { day = append(day, r) })
	open := traffic(seconds, hosts, proxies, rate, day, still, asItWas)
	b.ResetTimer()
	tries := 0
	for range b.N {
		o, err := Replay(open, plainSetting())
		if err != nil {
			b.Fatal(err)
		}
		tries = o.Tries
	}
	b.ReportMetric(float64(tries), "tries")
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*3600/seconds, "s/hour-of-day")
}
