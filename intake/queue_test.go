package intake

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/internal/golden"
	"barleysail/routing"
)

// hostReport returns a report of a proxy on its attempts at a host.
func hostReport(source, host string, attempts int, observedMs float64) Report {
	return Report{
		Source:        source,
		Subject:       host,
		Attempts:      attempts,
		MeanLatencyMs: 20,
		WindowMs:      1000,
		Load:          routing.UnknownLoad,
		ObservedMs:    observedMs,
	}
}

// queueTrace prints the results of a queue for the golden file.
type queueTrace struct{ out strings.Builder }

func (q *queueTrace) printf(format string, args ...any) { fmt.Fprintf(&q.out, format+"\n", args...) }

func (q *queueTrace) printReports(reports []Report) {
	for _, report := range reports {
		q.printf("  %s of %s: %d attempts, %d failed, mean %.1f ms, window %.0f ms",
			report.Source, report.Subject, report.Attempts, report.Failed, report.MeanLatencyMs, report.WindowMs)
	}
}

// If a round can ingest all queued reports, they are dequeued in the order of arrival, otherwise round-robin over the
// sources and by priority. A full queue drops the lowest-priority report of the source with the most reports. Old
// reports have less weight.
func TestQueue(t *testing.T) {
	var trace queueTrace
	queue := NewQueue(Limits{MaxQueued: 6, FullWeightMs: 1000, HalfLifeMs: 1000, MaxAgeMs: 5000})

	queue.Add(hostReport("p", "x", 10, 0))
	queue.Add(hostReport("q", "x", 5, 0))
	queue.Add(hostReport("p", "y", 3, 0))
	queue.Add(hostReport("p", "x", 30, 0))
	for range 3 {
		queue.Add(hostReport("p", "x", 1, 0))
	}
	queue.Add(hostReport("p", "x", 2, 0))
	trace.printf("all reports, those of one source on one host merged from the fourth on")
	trace.printReports(queue.Dequeue(500, 100))

	for i := range 8 {
		queue.Add(hostReport("flood", fmt.Sprint("h", i), 1+i, float64(i*100)))
	}
	queue.Add(hostReport("p", "x", 1, 0))
	queue.Add(hostReport("q", "x", 1, 0))
	waiting, sources := queue.Size()
	trace.printf("%d reports of %d sources are queued, dropped %v", waiting, sources, queue.Dropped())
	trace.printf("at most three reports")
	trace.printReports(queue.Dequeue(800, 3))

	queue.DropSource("flood")
	waiting, _ = queue.Size()
	trace.printf("the source flood is dropped: %d reports are queued, dropped %v", waiting, queue.Dropped())

	queue.Add(hostReport("p", "old", 100, 1000))
	queue.Add(hostReport("p", "older", 100, 0))
	queue.Add(Report{Source: "p", Subject: "sheet", IsDemand: true, Attempts: 100, WindowMs: 1000, ObservedMs: 1000})
	queue.Add(hostReport("p", "too old", 100, -3000))
	trace.printf("reports of an age of two and three seconds, one of demand, and one that is too old")
	trace.printReports(queue.Dequeue(3000, 100))
	trace.printf("dropped %v", queue.Dropped())
	golden.Compare(t, "queue", trace.out.String())
}

// queueModel counts the reports that are added to a queue, and what becomes of them.
type queueModel struct {
	queue                   *Queue
	added, dequeued, merged int
}

// reportsOf returns how many reports of a source are queued.
func (m *queueModel) reportsOf(source string) int {
	if queue := m.queue.bySource[source]; queue != nil {
		return len(queue.reports)
	}
	return 0
}

// mostReports returns how many reports are queued of the source with the most.
func (m *queueModel) mostReports() int {
	most := 0
	for _, queue := range m.queue.bySource {
		most = max(most, len(queue.reports))
	}
	return most
}

// add adds a report, and checks that only a source with the most reports loses one.
func (m *queueModel) add(t *rapid.T, report Report) {
	waitingBefore, _ := m.queue.Size()
	droppedBefore := m.queue.dropped[QueueFull]
	ownBefore := m.reportsOf(report.Source)
	m.queue.Add(report)
	m.added++
	waiting, _ := m.queue.Size()
	hasDropped := m.queue.dropped[QueueFull] > droppedBefore
	if waiting == waitingBefore && !hasDropped {
		m.merged++
	}
	if waiting > m.queue.limits.MaxQueued {
		t.Fatalf("got %d queued reports, want at most %d", waiting, m.queue.limits.MaxQueued)
	}
	own := m.reportsOf(report.Source)
	if most := m.mostReports(); hasDropped && own < ownBefore && own+1 < most {
		t.Fatalf("source %s with %d reports lost one, want it from the source with %d", report.Source, ownBefore, most)
	}
}

// For any reports that are added, the queue stays within its limit, each dropped report is counted, and a source loses
// a report only if no other source has more.
func TestQueueAccountsForAllReports(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := queueModel{queue: NewQueue(Limits{MaxQueued: 10, FullWeightMs: 1e9, HalfLifeMs: 1000, MaxAgeMs: 1e9})}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "take") == 0 {
				maxReports := rapid.IntRange(1, 12).Draw(t, "maxReports")
				model.dequeued += len(model.queue.Dequeue(float64(i), maxReports))
				continue
			}
			source := rapid.SampledFrom([]string{"a", "a", "a", "b", "c"}).Draw(t, "source")
			host := fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "host"))
			attempts := rapid.IntRange(0, 9).Draw(t, "attempts")
			model.add(t, hostReport(source, host, attempts, float64(i)))
		}
		waiting, _ := model.queue.Size()
		dropped := int(model.queue.dropped[QueueFull])
		if model.added != model.dequeued+model.merged+dropped+waiting {
			t.Fatalf("got %d added reports, want the sum of %d dequeued, %d merged, %d dropped, %d queued",
				model.added, model.dequeued, model.merged, dropped, waiting)
		}
	})
}
