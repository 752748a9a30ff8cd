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

// dayRecorder runs a controller on a scripted clock, and emits the records that a daemon would write.
type dayRecorder struct {
	controller *controller.Controller
	nowMs      float64
	emit       func(*recordpb.Record)
	tags       map[string]string
	lastPollID int64
}

// Respond implements controller.Effects.
func (r *dayRecorder) Respond(pollID int64, response controller.Response) {
	r.emit(record.Response(r.nowMs, pollID, response))
	r.tags[response.Proxy] = response.Tag
}

// CheckHealth implements controller.Effects.
func (r *dayRecorder) CheckHealth(string) {}

// WatchEndpoints implements controller.Effects.
func (r *dayRecorder) WatchEndpoints() {}

// Log implements controller.Effects.
func (r *dayRecorder) Log(string) {}

// feed emits an input, passes it to the controller, and runs what is due.
func (r *dayRecorder) feed(input *recordpb.Record) {
	r.emit(proto.Clone(input).(*recordpb.Record))
	if err := record.Apply(r.controller, input, r); err != nil {
		panic(err)
	}
	r.advance()
}

func (r *dayRecorder) advance() {
	if r.controller.NextMs() <= r.nowMs {
		r.emit(record.Advance(r.nowMs))
		r.controller.Advance(r.nowMs, r)
	}
}

// generateRecording emits the records of a fleet: proxies poll and send stats each second, one in five hosts is slow for
// a while, one host drains, and one is removed and added again.
func generateRecording(seconds, hosts, proxies int, emit func(*recordpb.Record)) {
	start := &recordpb.Start{
		Format:  record.Format,
		Program: "test",
		Config:  testConfig + fmt.Sprintf("fleet { proxies: %d }", proxies),
		Life:    "L",
		Seed:    3,
	}
	instance, err := newTestController(start)
	if err != nil {
		panic(err)
	}
	r := &dayRecorder{controller: instance, nowMs: 1000, emit: emit, tags: map[string]string{}}
	emit(&recordpb.Record{At: r.nowMs, What: &recordpb.Record_Start{Start: start}})
	var endpoints []controller.Endpoint
	for i := range hosts {
		endpoints = append(endpoints, controller.Endpoint{
			Host:   fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Zone:   []string{"a", "b"}[i%2],
			State:  routing.Ready,
			Weight: 1,
		})
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
			stats := controller.ProxyStats{
				Sequence: int64(second + 1),
				Hosts:    map[string]controller.HostStats{},
				Demand:   map[string]controller.ClassDemand{"sheet": {Arrivals: 9, WindowMs: 1000}},
			}
			for j := range min(10, hosts-1) {
				endpoint := endpoints[1+(proxy*7+j*3+second)%(hosts-1)]
				meanLatencyMs := 40.0
				if i := 1 + (proxy*7+j*3+second)%(hosts-1); i%5 == 0 && second > 5 && second < 25 {
					meanLatencyMs = 400
				}
				stats.Hosts[endpoint.Host] = controller.HostStats{
					Attempts:      20,
					MeanLatencyMs: meanLatencyMs,
					WindowMs:      1000,
					Load:          routing.UnknownLoad,
				}
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

// readerOf returns a function that reads records from a slice.
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

// A recording that is replayed with its own settings leads to the recorded responses. If the recording was changed, the
// first difference is reported with the inputs before it.
func TestVerify(t *testing.T) {
	var output strings.Builder
	recording := testRecording()
	verify := func(name string, records []*recordpb.Record) {
		result, err := Verify(readerOf(records), newTestController)
		if err != nil {
			fmt.Fprintf(&output, "%s: error %v\n", name, err)
			return
		}
		fmt.Fprintf(&output, "%s: %d inputs, %d responses, %.0f to %.0f ms\n",
			name, result.Inputs, result.Responses, result.FromMs, result.ToMs)
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
	verify("stats with failed attempts", changed(func(entry *recordpb.Record) bool {
		return entry.GetSums() != nil && entry.At > 3000
	}, func(entry *recordpb.Record) {
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
	golden.CompareForTest(t, output.String())
}

// A part that was cut out of a recording can be replayed by itself.
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
		if err != nil || result.FirstDifference != nil || result.Responses == 0 || result.ToMs > part[1] {
			t.Errorf("replay of the part %v: got %+v and the error %v, want responses as recorded up to its end",
				part, result, err)
		}
		if len(cut) >= len(recording) {
			t.Errorf("part %v: got %d records, want fewer than the %d of the whole recording",
				part, len(cut), len(recording))
		}
	}
	discard := func(*recordpb.Record) error { return nil }
	if err := Cut(readerOf(recording), newTestController, 1e9, 2e9, discard); err == nil {
		t.Error("part after the end of the recording: got no error, want one")
	}
}

// The size of a summary is bounded however long the recording is, and its intervals lose no counts.
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
				"ProbesFine:%d ProbesOther:%d}\n", interval.FromMs, interval.FromMs, interval.Arrivals,
				interval.NoResponse, interval.Attempts, interval.Failed, interval.Messages, interval.Connects,
				interval.Disconnects, interval.HealthyChecks, interval.UnhealthyChecks)
		}
	}
	for _, event := range summary.Events {
		fmt.Fprintf(&output, "%.0f %s\n", event.AtMs, event.Text)
	}
	golden.CompareForTest(t, output.String())
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
		t.Errorf("got %d intervals with %d arrivals, want at most %d intervals with %d arrivals",
			len(counter.Intervals), gotArrivals, maxIntervals, wantArrivals)
	}
	if _, err := Summarize(readerOf(nil), newTestController); !errors.Is(err, errNoStart) {
		t.Errorf("summary of an empty recording: got the error %v, want %v", err, errNoStart)
	}
}

// BenchmarkVerify verifies a recording of a minute with 150 hosts and 400 proxies.
func BenchmarkVerify(b *testing.B) {
	var recording []*recordpb.Record
	generateRecording(60, 150, 400, func(entry *recordpb.Record) { recording = append(recording, entry) })
	b.ResetTimer()
	for range b.N {
		if result, err := Verify(readerOf(recording), newTestController); err != nil || result.FirstDifference != nil {
			b.Fatalf("got %+v and the error %v, want neither a difference nor an error", result, err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Seconds())/float64(b.N)*60, "s/hour-of-day")
}

// addProxyRecordings opens a controller's recording together with generated recordings of its proxies, which hold
// requests and the versions that were applied. The clock of each proxy is shifted by offset. The record of a request is
// replaced by those that change returns.
func addProxyRecordings(
	seconds, hosts, proxies, rate int, recording []*recordpb.Record, offset func(proxy int, atMs float64) float64,
	change func(proxy, requests int, entry *recordpb.Record) []*recordpb.Record,
) OpenFunc {
	applied := map[string][]*recordpb.Record{}
	for _, entry := range recording {
		published := entry.GetPublished()
		if published != nil && controller.ResponseKind(published.Kind) != controller.NotModified {
			applied[published.Proxy] = append(applied[published.Proxy],
				&recordpb.Record{At: entry.At, What: &recordpb.Record_Applied{Applied: published.Tag}})
		}
	}
	return func() ([]Source, error) {
		next := readerOf(recording)
		sources := []Source{{"controller", func() (*recordpb.Record, error) {
			entry, err := next()
			if err == nil {
				entry = proto.Clone(entry).(*recordpb.Record)
			}
			return entry, err
		}}}
		for proxy := range proxies {
			name, requests := fmt.Sprint("p", proxy), 0
			start := &recordpb.ProxyStart{Proxy: name, Zone: []string{"a", "b"}[proxy%2]}
			queued := []*recordpb.Record{{At: 1000, What: &recordpb.Record_ProxyStart{ProxyStart: start}}}
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
					host := fmt.Sprintf("10.0.0.%d:80", (requests*7+proxy)%hosts)
					request := &recordpb.Transaction{
						Class:     "sheet",
						Came:      atMs,
						LetIn:     true,
						Fulfilled: true,
						Tries:     []*recordpb.Try{{At: atMs, Host: host, Took: latencyMs}},
					}
					queued = change(proxy, requests, &recordpb.Record{
						At:   atMs + latencyMs,
						What: &recordpb.Record_Transaction{Transaction: request},
					})
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

// dropAppliedRecords removes the records of applied versions, so that the draws are not coupled with the recorded ones.
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
	settings := Settings{
		NewController:        newTestController,
		HealthCheckTimeoutMs: 250,
		Classes: []controller.RequestClass{
			{
				Name:         "sheet",
				RequestClass: routing.RequestClass{LatencyObjectiveMs: 1000, DeadlineMs: 2500, PriorityWeight: 3},
			},
			{
				Name:         "finish",
				RequestClass: routing.RequestClass{LatencyObjectiveMs: 500, DeadlineMs: 1200, PriorityWeight: 9},
			},
		},
	}
	limits := &settings.Limits
	limits.EmptyTableMs = 5000
	limits.DrainGraceMs = 3000
	limits.SlowStartMs = 18000
	limits.CollapseMultiple = 4
	limits.CollapseMs = 3000
	limits.EntriesPerSecond = 1e6
	limits.MaxBacklog = 1e6
	return settings
}

// Recordings with duplicate, reordered, missing and early records, and with proxies whose clocks are off, are simulated
// nevertheless, and the outcome tells of duplicates, clock offsets and extrapolated attempts.
func TestOddRecords(t *testing.T) {
	recording := testRecording()
	type changeFunc func(p, n int, entry *recordpb.Record) []*recordpb.Record
	simulate := func(offset func(int, float64) float64, change changeFunc) *Outcome {
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
		t.Fatalf("unchanged recording: got %.0f requests and the service %+v, want about 2900 requests and at least 0.97",
			n, Compare(plain, plain, 1).Overall)
	}
	if len(plain.OptimalityGaps) < 5 || plain.MeanOptimalityGap() < -1e-9 || plain.MeanOptimalityGap() > 0.2 {
		t.Errorf("unchanged recording: got optimality gaps %v, want at least 5 with a mean from 0 to 0.2",
			plain.OptimalityGaps)
	}
	duplicated := simulate(noClockOffset, func(_, n int, entry *recordpb.Record) []*recordpb.Record {
		if n%10 == 0 {
			return []*recordpb.Record{entry, entry}
		}
		return []*recordpb.Record{entry}
	})
	if requestCount(duplicated) != requestCount(plain) || duplicated.DuplicateRequests < 280 ||
		Compare(plain, duplicated, 1).Overall.Difference.Value != 0 {
		t.Errorf("duplicate records: got %.0f requests, %d duplicates and the difference %+v, want %.0f requests, "+
			"at least 280 duplicates and no difference", requestCount(duplicated), duplicated.DuplicateRequests,
			Compare(plain, duplicated, 1).Overall.Difference, requestCount(plain))
	}
	held := map[int][]*recordpb.Record{}
	shuffled := simulate(noClockOffset, func(p, n int, entry *recordpb.Record) []*recordpb.Record {
		if n == 1 {
			delete(held, p) // begins another pass over the recordings
		}
		waiting := append(held[p], entry)
		if held[p] = waiting; len(waiting) < 5 {
			return nil
		}
		delete(held, p)
		return []*recordpb.Record{waiting[3], waiting[0], waiting[4], waiting[1], waiting[2]}
	})
	n := requestCount(shuffled)
	if n < requestCount(plain)-80 || Compare(shuffled, shuffled, 1).Overall.Baseline < 0.97 {
		t.Errorf("reordered records: got %.0f requests and the service %+v, want at least %.0f requests and 0.97",
			n, Compare(shuffled, shuffled, 1).Overall, requestCount(plain)-80)
	}
	missing := simulate(noClockOffset, func(_, _ int, entry *recordpb.Record) []*recordpb.Record {
		if entry.At > 10000 && entry.At < 20000 {
			return nil
		}
		return []*recordpb.Record{entry}
	})
	if n := requestCount(missing); n < 1850 || n > 1960 {
		t.Errorf("without the records of ten seconds: got %.0f requests, want 1850 to 1960", n)
	}
	clockStep := simulate(func(p int, atMs float64) float64 {
		if p == 1 && atMs > 15000 {
			return -4000
		}
		return 300 * float64(p)
	}, unchanged)
	// The proxies of this recording poll once a second, so their clock offsets are known to half a second.
	if offsets := clockStep.ClockOffsets["p1"]; len(offsets) != 2 ||
		math.Abs(offsets[0].OffsetMs+300) > offsets[0].ErrorMs+5 ||
		math.Abs(offsets[1].OffsetMs-4000) > offsets[1].ErrorMs+5 {
		t.Errorf("clock that was set back: got offsets %+v, want -300 and 4000 ms", offsets)
	}
	if offsets := clockStep.ClockOffsets["p3"]; len(offsets) != 1 ||
		math.Abs(offsets[0].OffsetMs+900) > offsets[0].ErrorMs+5 || offsets[0].ErrorMs > 500 {
		t.Errorf("clock with a constant offset: got offsets %+v, want -900 ms, known to 500 ms", offsets)
	}
	earlyAttempt := simulate(noClockOffset, func(_, n int, entry *recordpb.Record) []*recordpb.Record {
		if n == 1 { // a request whose first attempt lies before the first record
			request := entry.GetTransaction()
			request.Came, request.Tries[0].At = -500, -500
			failed := &recordpb.Try{At: -2000, Host: "10.0.0.1:80", Took: 1400, Result: 1}
			request.Tries = append([]*recordpb.Try{failed}, request.Tries...)
		}
		return []*recordpb.Record{entry}
	})
	if requestCount(earlyAttempt) != requestCount(plain) {
		t.Errorf("attempt before the first record: got %.0f requests, want %.0f",
			requestCount(earlyAttempt), requestCount(plain))
	}
	cancelled := simulate(noClockOffset, func(_, n int, entry *recordpb.Record) []*recordpb.Record {
		if n%3 == 0 { // the client gave up before the response
			request := entry.GetTransaction()
			request.Fulfilled, request.Tries[0].Result, request.Tries[0].Took = false, 1, 2500
			entry.At = request.Came + 2500
		}
		return []*recordpb.Record{entry}
	})
	if result := Compare(cancelled, cancelled, 1).Overall; result.Recorded > 0.7 || result.Recorded < 0.6 {
		t.Errorf("canceled requests: got the service %+v, want a recorded share of 0.6 to 0.7", result)
	}
	oneHost := func(_, n int, entry *recordpb.Record) []*recordpb.Record {
		entry.GetTransaction().Tries[0].Host = "10.0.0.3:80" // the recording has no attempts at other hosts
		return []*recordpb.Record{entry}
	}
	open := addProxyRecordings(30, 12, 4, 100, recording, noClockOffset, oneHost)
	extrapolated, err := Simulate(dropAppliedRecords(open), testSettings())
	if err != nil {
		t.Fatal(err)
	}
	if float64(extrapolated.ExtrapolatedAttempts) < 0.8*float64(extrapolated.Attempts) {
		t.Errorf("attempts at one host only: got %d of %d attempts extrapolated, want at least 80%%",
			extrapolated.ExtrapolatedAttempts, extrapolated.Attempts)
	}
}

// However a recording is changed, a replay ends, and reports a difference if the responses are not the recorded ones.
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
			r.Fatalf("got %d identical responses and no difference, want %d responses or a difference",
				result.Responses, recorded)
		}
		if _, err := Summarize(readerOf(changed), newTestController); err != nil {
			r.Fatal(err)
		}
	})
}

// BenchmarkSimulate simulates a minute of 150 hosts, 400 proxies and 580 requests per second.
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
