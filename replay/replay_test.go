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

const testConfig = `zones: ["a", "b"] classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 } list { file: "x" } probes { on: false }
channel { lines_per_s: 1000000 most_waiting: 1000000 } `

func newTestController(start *recordpb.Start) (*controller.Controller, error) {
	parsed, err := config.Parse("test", []byte(start.Config))
	if err != nil {
		return nil, err
	}
	return config.NewController(parsed, start.Life, start.Seed), nil
}

// recorder plays a day on a scripted clock, and passes on what a daemon would record.
type dayRecorder struct {
	controller *controller.Controller
	nowMs      float64
	emit       func(*recordpb.Record)
	tags       map[string]string
	lastPollID int64
}

func (r *dayRecorder) Respond(pollID int64, response controller.Response) {
	r.emit(record.Response(r.nowMs, pollID, response))
	r.tags[response.Proxy] = response.Tag
}
func (r *dayRecorder) CheckHealth(string) {}
func (r *dayRecorder) WatchEndpoints()    {}
func (r *dayRecorder) Log(string)         {}

func (r *dayRecorder) feed(input *recordpb.Record) {
	r.emit(proto.Clone(input).(*recordpb.Record))
	record.Apply(r.controller, input, r)
	r.advance()
}

func (r *dayRecorder) advance() {
	if r.controller.NextMs() <= r.nowMs {
		r.emit(record.Advance(r.nowMs))
		r.controller.Advance(r.nowMs, r)
	}
}

// play makes a day: hosts of which one in five is slow for a while, proxies that poll and send sums each second,
// one host draining, one gone and back.
func generateRecording(seconds, hosts, proxies int, emit func(*recordpb.Record)) {
	start := &recordpb.Start{Format: record.Format, Program: "test", Config: testConfig + fmt.Sprintf("fleet { proxies: %d }", proxies), Life: "L", Seed: 3}
	instance, err := newTestController(start)
	if err != nil {
		panic(err)
	}
	r := &dayRecorder{controller: instance, nowMs: 1000, emit: emit, tags: map[string]string{}}
	emit(&recordpb.Record{At: r.nowMs, What: &recordpb.Record_Start{Start: start}})
	var endpoints []controller.Endpoint
	for i := range hosts {
		endpoints = append(endpoints, controller.Endpoint{Host: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: []string{"a", "b"}[i%2], State: routing.Ready, Weight: 1})
	}
	r.feed(record.EndpointList(r.nowMs, endpoints))
	for second := range seconds {
		switch second {
		case seconds / 3:
			endpoints[0].State = routing.Draining
			r.feed(record.EndpointList(r.nowMs, endpoints))
		case seconds / 2:
			r.feed(record.EndpointList(r.nowMs, endpoints[1:]))
		case seconds * 3 / 4:
			endpoints[0].State, endpoints[0].StartedMs = routing.Ready, r.nowMs
			r.feed(record.EndpointList(r.nowMs, endpoints))
		}
		for proxy := range proxies {
			name := fmt.Sprint("p", proxy)
			r.lastPollID++
			request := controller.PollRequest{Proxy: name, Zone: []string{"a", "b"}[proxy%2], WaitMs: 900, AcceptDelta: true}
			if tag := r.tags[name]; tag != "" {
				request.Tags = []string{tag}
			}
			r.feed(record.Poll(r.nowMs, r.lastPollID, request))
			stats := controller.ProxyStats{Sequence: int64(second + 1), Hosts: map[string]controller.HostStats{}, Demand: map[string]controller.ClassDemand{"sheet": {Arrivals: 9, WindowMs: 1000}}}
			for j := range min(10, hosts-1) {
				endpoint := endpoints[1+(proxy*7+j*3+second)%(hosts-1)]
				meanLatencyMs := 40.0
				if i := 1 + (proxy*7+j*3+second)%(hosts-1); i%5 == 0 && second > 5 && second < 25 {
					meanLatencyMs = 400
				}
				stats.Hosts[endpoint.Host] = controller.HostStats{Attempts: 20, MeanLatencyMs: meanLatencyMs, WindowMs: 1000, Load: routing.UnknownLoad}
			}
			r.feed(record.ProxyStats(r.nowMs, name, stats))
		}
		for endMs := r.nowMs + 1000; ; {
			nextMs := math.Max(r.controller.NextMs(), r.nowMs)
			if nextMs >= endMs {
				r.nowMs = endMs
				break
			}
			r.nowMs = nextMs
			r.advance()
		}
	}
}

func readerOf(records []*recordpb.Record) NextFunc {
	i := 0
	return func() (*recordpb.Record, error) {
		if i == len(records) {
			return nil, io.EOF
		}
		i++
		return records[i-1], nil
	}
}

func testRecording() []*recordpb.Record {
	var records []*recordpb.Record
	generateRecording(30, 12, 4, func(entry *recordpb.Record) { records = append(records, entry) })
	return records
}

// A day replayed with its own setting comes out as recorded; where the record was changed the first difference is
// told, with its cause.
func TestVerify(t *testing.T) {
	var output strings.Builder
	recording := testRecording()
	verify := func(name string, records []*recordpb.Record) {
		result, err := Verify(readerOf(records), newTestController)
		if err != nil {
			fmt.Fprintf(&output, "%s: error %v\n", name, err)
			return
		}
		fmt.Fprintf(&output, "%s: %d inputs, %d responses, %.0f to %.0f ms\n", name, result.Inputs, result.Responses, result.FromMs, result.ToMs)
		if result.FirstDifference != nil {
			fmt.Fprintf(&output, "%v\n", result.FirstDifference)
		}
	}
	verify("unchanged", recording)
	changed := func(matches func(*recordpb.Record) bool, change func(*recordpb.Record)) []*recordpb.Record {
		records := append([]*recordpb.Record(nil), recording...)
		for i, entry := range records {
			if matches(entry) {
				records[i] = proto.Clone(entry).(*recordpb.Record)
				change(records[i])
				break
			}
		}
		return records
	}
	verify("a changed weight", changed(func(entry *recordpb.Record) bool {
		return entry.GetPublished() != nil && strings.Contains(string(entry.GetPublished().Body), "null") && entry.At > 9000
	}, func(entry *recordpb.Record) {
		published := entry.GetPublished()
		published.Body = []byte(strings.ReplaceAll(string(published.Body), "null", "0.25"))
		published.Sum = record.Checksum(published.Body)
	}))
	verify("stats with failed attempts", changed(func(entry *recordpb.Record) bool { return entry.GetSums() != nil && entry.At > 3000 },
		func(entry *recordpb.Record) {
			for _, host := range entry.GetSums().Hosts {
				host.Failed = host.Tries
			}
		}))
	i := 0
	for entry := recording[i]; entry.GetPublished() == nil; entry = recording[i] {
		i++
	}
	verify("a missing response", append(append([]*recordpb.Record(nil), recording[:i]...), recording[i+1:]...))
	verify("a duplicate response", append(append([]*recordpb.Record(nil), recording[:i+1]...), recording[i:]...))
	verify("no start record", recording[1:])
	golden.Trace(t, output.String())
}

// A part that is cut out replays by itself.
func TestCut(t *testing.T) {
	recording := testRecording()
	for _, part := range [][2]float64{{0, 5000}, {8000, 14000}, {15500, 26000}} {
		var cut []*recordpb.Record
		if err := Cut(readerOf(recording), newTestController, part[0], part[1], func(entry *recordpb.Record) error {
			cut = append(cut, proto.Clone(entry).(*recordpb.Record))
			return nil
		}); err != nil {
			t.Fatal(err)
		}
		result, err := Verify(readerOf(cut), newTestController)
		if err != nil || result.FirstDifference != nil || result.Responses == 0 || len(cut) >= len(recording) || result.ToMs > part[1] {
			t.Errorf("%v: %d records, %+v, %v", part, len(cut), result, err)
		}
	}
	if err := Cut(readerOf(recording), newTestController, 1e9, 2e9, func(*recordpb.Record) error { return nil }); err == nil {
		t.Error("a part after the end")
	}
}

// A summary tells the day in figures, and stays bounded however long the day is.
func TestSummary(t *testing.T) {
	var output strings.Builder
	summary, err := Summarize(readerOf(testRecording()), newTestController)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&output, "%d records, %d proxies, %d hosts\n", summary.Records, summary.MaxProxies, summary.MaxHosts)
	for i, interval := range summary.Intervals {
		if i%5 == 0 {
			fmt.Fprintf(&output, "%.0f: {From:%g Came:%d Unanswered:%d Tries:%d Failed:%d Messages:%d Joined:%d Left:%d "+
				"ProbesFine:%d ProbesOther:%d}\n", interval.FromMs, interval.FromMs, interval.Arrivals, interval.NoResponse, interval.Attempts, interval.Failed, interval.Messages,
				interval.Joined, interval.Left, interval.HealthyChecks, interval.UnhealthyChecks)
		}
	}
	for _, event := range summary.Events {
		fmt.Fprintf(&output, "%.0f %s\n", event.AtMs, event.Text)
	}
	golden.Trace(t, output.String())
	counter := &summarizer{Summary: &Summary{FromMs: 0}, intervalMs: initialIntervalMs}
	wantArrivals := int64(0)
	for counter.nowMs = 0; counter.nowMs < 3e6; counter.nowMs += 700 {
		counter.currentInterval().Arrivals++
		wantArrivals++
	}
	gotArrivals := int64(0)
	for _, interval := range counter.Intervals {
		gotArrivals += interval.Arrivals
	}
	if len(counter.Intervals) > maxIntervals || gotArrivals != wantArrivals {
		t.Errorf("%d spans hold %d of %d", len(counter.Intervals), gotArrivals, wantArrivals)
	}
	if _, err := Summarize(func() (*recordpb.Record, error) { return nil, io.EOF }, newTestController); !errors.Is(err, errNoStart) {
		t.Error(err)
	}
}

// BenchmarkAgain replays a minute of 150 hosts and 400 proxies.
func BenchmarkVerify(b *testing.B) {
	var recording []*recordpb.Record
	generateRecording(60, 150, 400, func(entry *recordpb.Record) { recording = append(recording, entry) })
	b.ResetTimer()
	for range b.N {
		if result, err := Verify(readerOf(recording), newTestController); err != nil || result.FirstDifference != nil {
			b.Fatal(result, err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Seconds())/float64(b.N)*60, "s/hour-of-day")
}

// traffic is a day of a steward and its proxies: each proxy's transactions, and the versions that it applied. The
// record of a transaction may be changed, or left out by nil, or given more than once.
func addProxyRecordings(seconds, hosts, proxies, rate int, recording []*recordpb.Record, offset func(proxy int, atMs float64) float64,
	change func(proxy, requests int, entry *recordpb.Record) []*recordpb.Record) OpenFunc {
	applied := map[string][]*recordpb.Record{}
	for _, entry := range recording {
		if proxy := entry.GetPublished(); proxy != nil && controller.ResponseKind(proxy.Kind) != controller.NotModified {
			applied[proxy.Proxy] = append(applied[proxy.Proxy], &recordpb.Record{At: entry.At, What: &recordpb.Record_Applied{Applied: proxy.Tag}})
		}
	}
	return func() ([]Source, error) {
		next := readerOf(recording)
		sources := []Source{{"steward", func() (*recordpb.Record, error) {
			entry, err := next()
			if err == nil {
				entry = proto.Clone(entry).(*recordpb.Record)
			}
			return entry, err
		}}}
		for proxy := range proxies {
			name, requests := fmt.Sprint("p", proxy), 0
			queued := []*recordpb.Record{{At: 1000, What: &recordpb.Record_ProxyStart{ProxyStart: &recordpb.ProxyStart{Proxy: name, Zone: []string{"a", "b"}[proxy%2]}}}}
			versions := applied[name]
			sources = append(sources, Source{fmt.Sprint("proxy", proxy), func() (*recordpb.Record, error) {
				for len(queued) == 0 {
					atMs := 1000 + float64(requests)*1000*float64(proxies)/float64(rate) + float64(proxy)
					if atMs > float64(seconds)*1000 {
						return nil, io.EOF
					}
					latencyMs := 40 + float64(requests*proxy%50)
					if len(versions) > 0 && versions[0].At <= atMs {
						queued, versions = versions[:1:1], versions[1:]
						break
					}
					requests++
					queued = change(proxy, requests, &recordpb.Record{At: atMs + latencyMs, What: &recordpb.Record_Transaction{Transaction: &recordpb.Transaction{
						Class: "sheet", Came: atMs, LetIn: true, Fulfilled: true,
						Tries: []*recordpb.Try{{At: atMs, Host: fmt.Sprintf("10.0.0.%d:80", (requests*7+proxy)%hosts), Took: latencyMs}}}}})
				}
				entry := queued[0]
				queued = queued[1:]
				offsetMs := offset(proxy, entry.At)
				entry = proto.Clone(entry).(*recordpb.Record)
				if request := entry.GetTransaction(); request != nil {
					request.Came += offsetMs
					for _, attempt := range request.Tries {
						attempt.At += offsetMs
					}
				}
				entry.At += offsetMs
				return entry, nil
			}})
		}
		return sources, nil
	}
}

// forgotten leaves out what the proxies tell of the versions that they go by: each draw is then by the new tables alone.
func dropAppliedRecords(open OpenFunc) OpenFunc {
	return func() ([]Source, error) {
		sources, err := open()
		for i, source := range sources {
			sources[i].Next = func() (*recordpb.Record, error) {
				for {
					if entry, err := source.Next(); err != nil || entry.GetApplied() == "" {
						return entry, err
					}
				}
			}
		}
		return sources, err
	}
}

func noClockOffset(int, float64) float64                            { return 0 }
func unchanged(_, _ int, entry *recordpb.Record) []*recordpb.Record { return []*recordpb.Record{entry} }

func testSettings() Settings {
	settings := Settings{NewController: newTestController, HealthCheckTimeoutMs: 250, Classes: []controller.RequestClass{{Name: "sheet", RequestClass: routing.RequestClass{LatencyObjectiveMs: 1000, DeadlineMs: 2500, PriorityWeight: 3}},
		{Name: "finish", RequestClass: routing.RequestClass{LatencyObjectiveMs: 500, DeadlineMs: 1200, PriorityWeight: 9}}}}
	limits := &settings.Limits
	limits.EmptyTableMs, limits.DrainGraceMs, limits.SlowStartMs, limits.CollapseMultiple, limits.CollapseMs, limits.EntriesPerSecond, limits.MaxBacklog = 5000, 3000, 18000, 4, 3000, 1e6, 1e6
	return settings
}

// Odd records: a day is played whatever is wrong with a part of it, and what was wrong is told.
func TestOddRecords(t *testing.T) {
	recording := testRecording()
	simulate := func(offset func(int, float64) float64, change func(p, n int, entry *recordpb.Record) []*recordpb.Record) *Outcome {
		t.Helper()
		outcome, err := Simulate(addProxyRecordings(30, 12, 4, 100, recording, offset, change), testSettings())
		if err != nil {
			t.Fatal(err)
		}
		return outcome
	}
	requestCount := func(outcome *Outcome) (n float64) {
		for _, window := range outcome.Windows {
			n += window.Offered[0] / 3
		}
		return n
	}
	plain := simulate(noClockOffset, unchanged)
	if n := requestCount(plain); n < 2890 || n > 2910 || Compare(plain, plain, 1).Overall.Baseline < 0.97 {
		t.Fatalf("%.0f transactions, %+v", n, Compare(plain, plain, 1).Overall)
	}
	if len(plain.OptimalityGaps) < 5 || plain.MeanOptimalityGap() < -1e-9 || plain.MeanOptimalityGap() > 0.2 {
		t.Errorf("gaps %v", plain.OptimalityGaps)
	}
	duplicated := simulate(noClockOffset, func(_, n int, entry *recordpb.Record) []*recordpb.Record {
		if n%10 == 0 {
			return []*recordpb.Record{entry, entry}
		}
		return []*recordpb.Record{entry}
	})
	if requestCount(duplicated) != requestCount(plain) || duplicated.DuplicateRequests < 280 || Compare(plain, duplicated, 1).Overall.Difference.Value != 0 {
		t.Errorf("doubled: %.0f transactions, %d told", requestCount(duplicated), duplicated.DuplicateRequests)
	}
	held := map[int][]*recordpb.Record{}
	shuffled := simulate(noClockOffset, func(p, n int, entry *recordpb.Record) []*recordpb.Record {
		if n == 1 {
			delete(held, p) // another pass over the day
		}
		waiting := append(held[p], entry)
		if held[p] = waiting; len(waiting) < 5 {
			return nil
		}
		delete(held, p)
		return []*recordpb.Record{waiting[3], waiting[0], waiting[4], waiting[1], waiting[2]}
	})
	if n := requestCount(shuffled); n < requestCount(plain)-80 || Compare(shuffled, shuffled, 1).Overall.Baseline < 0.97 {
		t.Errorf("out of order: %.0f transactions", n)
	}
	missing := simulate(noClockOffset, func(_, _ int, entry *recordpb.Record) []*recordpb.Record {
		if entry.At > 10000 && entry.At < 20000 {
			return nil
		}
		return []*recordpb.Record{entry}
	})
	if n := requestCount(missing); n < 1850 || n > 1960 {
		t.Errorf("ten seconds missing: %.0f transactions", n)
	}
	clockStep := simulate(func(p int, atMs float64) float64 {
		if p == 1 && atMs > 15000 {
			return -4000
		}
		return 300 * float64(p)
	}, unchanged)
	// The proxies of this day poll once a second, so their clocks are known to half of that.
	if offsets := clockStep.ClockOffsets["p1"]; len(offsets) != 2 || math.Abs(offsets[0].OffsetMs+300) > offsets[0].ErrorMs+5 || math.Abs(offsets[1].OffsetMs-4000) > offsets[1].ErrorMs+5 {
		t.Errorf("a clock that was set back: %+v", offsets)
	}
	if offsets := clockStep.ClockOffsets["p3"]; len(offsets) != 1 || math.Abs(offsets[0].OffsetMs+900) > offsets[0].ErrorMs+5 || offsets[0].ErrorMs > 500 {
		t.Errorf("a clock that is off: %+v", offsets)
	}
	earlyAttempt := simulate(noClockOffset, func(_, n int, entry *recordpb.Record) []*recordpb.Record {
		if n == 1 { // a transaction whose first try lies before the beginning
			t := entry.GetTransaction()
			t.Came, t.Tries[0].At = -500, -500
			t.Tries = append([]*recordpb.Try{{At: -2000, Host: "10.0.0.1:80", Took: 1400, Result: 1}}, t.Tries...)
		}
		return []*recordpb.Record{entry}
	})
	if requestCount(earlyAttempt) != requestCount(plain) {
		t.Errorf("first tries before the beginning: %.0f transactions", requestCount(earlyAttempt))
	}
	cancelled := simulate(noClockOffset, func(_, n int, entry *recordpb.Record) []*recordpb.Record {
		if n%3 == 0 { // given up while the answer was on its way
			request := entry.GetTransaction()
			request.Fulfilled, request.Tries[0].Result, request.Tries[0].Took = false, 1, 2500
			entry.At = request.Came + 2500
		}
		return []*recordpb.Record{entry}
	})
	if result := Compare(cancelled, cancelled, 1).Overall; result.Recorded > 0.7 || result.Recorded < 0.6 {
		t.Errorf("cancelled: %+v", result)
	}
	extrapolated, err := Simulate(dropAppliedRecords(addProxyRecordings(30, 12, 4, 100, recording, noClockOffset, func(_, n int, entry *recordpb.Record) []*recordpb.Record {
		entry.GetTransaction().Tries[0].Host = "10.0.0.3:80" // all others were never tried in the record
		return []*recordpb.Record{entry}
	})), testSettings())
	if err != nil {
		t.Fatal(err)
	}
	if float64(extrapolated.ExtrapolatedAttempts) < 0.8*float64(extrapolated.Attempts) {
		t.Errorf("%d of %d answers extrapolated", extrapolated.ExtrapolatedAttempts, extrapolated.Attempts)
	}
}

// Whatever is changed in a record, a replay ends, and tells a difference where the answers are not the record's.
func TestChangedRecords(t *testing.T) {
	recording := testRecording()
	rapid.Check(t, func(r *rapid.T) {
		changed := append([]*recordpb.Record(nil), recording...)
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
				entry := proto.Clone(changed[i]).(*recordpb.Record)
				entry.At += rapid.Float64Range(-20000, 20000).Draw(r, "by")
				changed[i] = entry
			}
		}
		result, err := Verify(readerOf(changed), newTestController)
		if err != nil {
			r.Fatal(err)
		}
		recorded := 0
		for _, entry := range changed {
			if entry.GetPublished() != nil {
				recorded++
			}
		}
		if result.FirstDifference == nil && result.Responses != recorded {
			r.Fatalf("%d answers agreed of %d recorded, and no difference is told", result.Responses, recorded)
		}
		if _, err := Summarize(readerOf(changed), newTestController); err != nil {
			r.Fatal(err)
		}
	})
}

// BenchmarkReplay plays a minute of 150 hosts, 400 proxies and 580 transactions a second against a setting.
func BenchmarkSimulate(b *testing.B) {
	const seconds, hosts, proxies, rate = 60, 150, 400, 580
	var recording []*recordpb.Record
	generateRecording(seconds, hosts, proxies, func(entry *recordpb.Record) { recording = append(recording, entry) })
	open := addProxyRecordings(seconds, hosts, proxies, rate, recording, noClockOffset, unchanged)
	b.ResetTimer()
	attempts := 0
	for range b.N {
		outcome, err := Simulate(open, testSettings())
		if err != nil {
			b.Fatal(err)
		}
		attempts = outcome.Attempts
	}
	b.ReportMetric(float64(attempts), "tries")
	b.ReportMetric(b.Elapsed().Seconds()/float64(b.N)*3600/seconds, "s/hour-of-day")
}
