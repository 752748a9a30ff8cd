package replay

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"barleysail/decide"
	"barleysail/internal/config"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/steward"
)

const settings = `zones: ["a", "b"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 } list { file: "x" } probes { on: false }
channel { lines_per_s: 1000000 most_waiting: 1000000 } `

func build(s *recordpb.Start) (*steward.Steward, error) {
	c, err := config.Parse("test", []byte(s.Config))
	if err != nil {
		return nil, err
	}
	return config.Steward(c, s.Life, s.Seed), nil
}

// recorder plays a day on a scripted clock, and passes on what a daemon would record.
type recorder struct {
	s    *steward.Steward
	at   float64
	emit func(*recordpb.Record)
	tags map[string]string
	id   int64
}

func (r *recorder) Answer(poll int64, a steward.Answer) {
	r.emit(record.Published(r.at, poll, a))
	r.tags[a.Proxy] = a.Tag
}
func (r *recorder) Probe(string) {}
func (r *recorder) Watch()       {}
func (r *recorder) Log(string)   {}

func (r *recorder) in(x *recordpb.Record) {
	r.emit(proto.Clone(x).(*recordpb.Record))
	record.Feed(r.s, x, r)
	r.advance()
}

func (r *recorder) advance() {
	if r.s.Next() <= r.at {
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
	var list []steward.Entry
	for i := range hosts {
		list = append(list, steward.Entry{Host: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: []string{"a", "b"}[i%2], Phase: decide.Ready, Weight: 1})
	}
	r.in(record.Listed(r.at, list))
	for second := range seconds {
		switch second {
		case seconds / 3:
			list[0].Phase = decide.Draining
			r.in(record.Listed(r.at, list))
		case seconds / 2:
			r.in(record.Listed(r.at, list[1:]))
		case seconds * 3 / 4:
			list[0].Phase, list[0].Started = decide.Ready, r.at
			r.in(record.Listed(r.at, list))
		}
		for p := range proxies {
			name := fmt.Sprint("p", p)
			r.id++
			q := steward.Query{Proxy: name, Zone: []string{"a", "b"}[p%2], Wait: 900, Delta: true}
			if tag := r.tags[name]; tag != "" {
				q.Tags = []string{tag}
			}
			r.in(record.Poll(r.at, r.id, q))
			u := steward.Sums{Number: int64(second + 1), Hosts: map[string]steward.HostSums{}, Usage: map[string]steward.ClassUsage{"sheet": {Came: 9, Span: 1000}}}
			for k := range min(10, hosts-1) {
				h := list[1+(p*7+k*3+second)%(hosts-1)]
				mean := 40.0
				if i := 1 + (p*7+k*3+second)%(hosts-1); i%5 == 0 && second > 5 && second < 25 {
					mean = 400
				}
				u.Hosts[h.Host] = steward.HostSums{Tries: 20, Mean: mean, Span: 1000, Load: decide.NoLoad}
			}
			r.in(record.Sums(r.at, name, u))
		}
		for end := r.at + 1000; ; {
			next := math.Max(r.s.Next(), r.at)
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
	kept(t, now.String())
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
	kept(t, now.String())
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

func kept(t *testing.T, now string) {
	t.Helper()
	file := filepath.Join("testdata", strings.TrimPrefix(t.Name(), "Test")+".txt")
	if os.Getenv("KEEP") != "" {
		os.MkdirAll("testdata", 0o755)
		os.WriteFile(file, []byte(now), 0o644)
	}
	was, _ := os.ReadFile(file)
	if diff := cmp.Diff(strings.Split(string(was), "\n"), strings.Split(now, "\n")); diff != "" {
		t.Errorf("(-kept +now):\n%s", diff)
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

// BenchmarkReplay plays a minute of 150 hosts, 400 proxies and 580 transactions a second against a setting.
func BenchmarkReplay(b *testing.B) {
	const seconds, hosts, proxies, rate = 60, 150, 400, 580
	var day []*recordpb.Record
	play(seconds, hosts, proxies, func(r *recordpb.Record) { day = append(day, r) })
	open := func() ([]Source, error) {
		all := []Source{{"steward", func() Next {
			next := from(day)
			return func() (*recordpb.Record, error) {
				r, err := next()
				if err == nil {
					r = proto.Clone(r).(*recordpb.Record)
				}
				return r, err
			}
		}()}}
		for p := range proxies {
			n := 0
			all = append(all, Source{fmt.Sprint("proxy", p), func() (*recordpb.Record, error) {
				n++
				at := 1000 + float64(n-1)*1000*proxies/rate + float64(p)
				if n == 1 {
					return &recordpb.Record{At: at, What: &recordpb.Record_ProxyStart{ProxyStart: &recordpb.ProxyStart{Proxy: fmt.Sprint("p", p), Zone: []string{"a", "b"}[p%2]}}}, nil
				} else if at > seconds*1000 {
					return nil, io.EOF
				}
				took := 40 + float64(n*p%50)
				return &recordpb.Record{At: at + took, What: &recordpb.Record_Transaction{Transaction: &recordpb.Transaction{Class: "sheet", Came: at, LetIn: true,
					Fulfilled: true, Tries: []*recordpb.Try{{At: at, Host: fmt.Sprintf("10.0.0.%d:80", (n*7+p)%hosts), Took: took}}}}}, nil
			}})
		}
		return all, nil
	}
	set := Setting{Make: build, Probes: 250, Classes: []steward.Class{{Name: "sheet", Class: decide.Class{Due: 1000, Patience: 2500, Earnings: 3}},
		{Name: "finish", Class: decide.Class{Due: 500, Patience: 1200, Earnings: 9}}}}
	set.Figures.Bare, set.Figures.Grace, set.Figures.Cold, set.Figures.Fall, set.Figures.LinesPerS, set.Figures.MostWaiting = 5000, 3000, 18000, 3000, 1e6, 1e6
	b.ResetTimer()
	tries := 0
	for range b.N {
		o, err := Replay(open, set)
		if err != nil {
			b.Fatal(err)
		}
		tries = o.Tries
	}
	b.ReportMetric(float64(tries), "tries")
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*3600/seconds, "s/hour-of-day")
}
