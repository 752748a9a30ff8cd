package intake

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"
)

// Queue holds reports until a round ingests them. At most maxPerSubject reports of one source on one subject are
// queued; further ones are merged into the last, so that a source that sends often uses no more memory. When the queue
// is full, it drops the lowest-priority report of the source that has the most reports queued.
type Queue struct {
	limits       Limits
	bySource     map[string]*sourceQueue
	bySize       sourceHeap // the same queues, the one with the most reports first
	length       int        // reports in all queues
	lastSequence int64      // of the newest report
	dropped      map[string]int64
}

// sourceQueue holds the queued reports of one source.
type sourceQueue struct {
	source    string
	reports   reportHeap // lowest priority first
	bySubject map[subjectKey][]*queuedReport
	heapIndex int // in Queue.bySize
}

// subjectKey identifies the subject of a report.
type subjectKey struct {
	subject  string
	isDemand bool
}

// queuedReport is a report in the queue.
type queuedReport struct {
	Report
	priority  float64
	sequence  int64 // position in the order of arrival
	heapIndex int   // in sourceQueue.reports
}

// key returns the subject of the report, which may be a host or the demand for a request class.
func (r *Report) key() subjectKey { return subjectKey{subject: r.Subject, isDemand: r.IsDemand} }

// maxPerSubject is the number of reports of one source on one subject that are queued without merging.
const maxPerSubject = 4

// NewQueue returns an empty queue.
func NewQueue(limits Limits) *Queue {
	return &Queue{limits: limits, bySource: map[string]*sourceQueue{}, dropped: map[string]int64{}}
}

// priority returns a number that orders reports by their attempts, halved with each half-life h of their age. It is the
// logarithm log2(attempts + 1) + t / h for a report that was sent at the instant t. Because all reports age at the same
// rate, it does not depend on the current time, and their order does not change while they are queued.
func (q *Queue) priority(report *Report) float64 {
	return math.Log2(float64(report.Attempts)+1) + report.ObservedMs/math.Max(q.limits.HalfLifeMs, minPeriodMs)
}

// Add queues a report, and drops one where the queue is full (QueueFull).
func (q *Queue) Add(report Report) {
	queue := q.sourceQueue(report.Source)
	key := report.key()
	sameSubject := queue.bySubject[key]
	if len(sameSubject) >= maxPerSubject {
		last := sameSubject[len(sameSubject)-1]
		last.merge(report)
		last.priority = q.priority(&last.Report)
		heap.Fix(&queue.reports, last.heapIndex)
		return
	}
	q.lastSequence++
	queued := &queuedReport{Report: report, priority: q.priority(&report), sequence: q.lastSequence}
	queue.bySubject[key] = append(sameSubject, queued)
	heap.Push(&queue.reports, queued)
	heap.Fix(&q.bySize, queue.heapIndex)
	q.length++
	if q.length > q.limits.MaxQueued {
		q.CountDropped(QueueFull, 1)
		q.remove(q.bySize[0], 0)
	}
}

// sourceQueue returns the queue of a source, and creates it if there is none.
func (q *Queue) sourceQueue(source string) *sourceQueue {
	queue := q.bySource[source]
	if queue == nil {
		queue = &sourceQueue{source: source, bySubject: map[subjectKey][]*queuedReport{}}
		q.bySource[source] = queue
		heap.Push(&q.bySize, queue)
	}
	return queue
}

// Dropped returns the number of reports that were dropped, by reason.
func (q *Queue) Dropped() map[string]int64 { return maps.Clone(q.dropped) }

// CountDropped adds to the number of reports that were dropped for a reason. It removes none from the queue.
func (q *Queue) CountDropped(reason string, reports int) { q.dropped[reason] += int64(reports) }

// remove removes and returns the report at an index of a source's heap.
func (q *Queue) remove(queue *sourceQueue, index int) *queuedReport {
	removed := heap.Remove(&queue.reports, index).(*queuedReport)
	key := removed.key()
	isRemoved := func(other *queuedReport) bool { return other == removed }
	queue.bySubject[key] = slices.DeleteFunc(queue.bySubject[key], isRemoved)
	if len(queue.bySubject[key]) == 0 {
		delete(queue.bySubject, key)
	}
	q.length--
	if len(queue.reports) == 0 {
		q.removeSource(queue)
	} else {
		heap.Fix(&q.bySize, queue.heapIndex)
	}
	return removed
}

func (q *Queue) removeSource(queue *sourceQueue) {
	heap.Remove(&q.bySize, queue.heapIndex)
	delete(q.bySource, queue.source)
}

// DropSource drops the queued reports of a source that has disconnected (SubjectGone).
func (q *Queue) DropSource(source string) {
	queue := q.bySource[source]
	if queue == nil {
		return
	}
	q.CountDropped(SubjectGone, len(queue.reports))
	q.length -= len(queue.reports)
	q.removeSource(queue)
}

// Dequeue removes and returns the reports that a round ingests, at most maxReports, in the order of their arrival. If
// more are queued, it serves the sources in turn, each with its report of the highest priority. Reports that are too
// old are dropped. The attempts of the others are scaled by the weight of their age.
func (q *Queue) Dequeue(nowMs float64, maxReports int) []Report {
	var dequeued []*queuedReport
	if q.length <= maxReports {
		dequeued = q.dequeueAll()
	} else {
		dequeued = q.dequeueRoundRobin(maxReports)
	}
	slices.SortFunc(dequeued, func(a, b *queuedReport) int { return cmp.Compare(a.sequence, b.sequence) })
	return q.applyAgeWeights(nowMs, dequeued)
}

func (q *Queue) dequeueAll() []*queuedReport {
	var dequeued []*queuedReport
	for _, queue := range q.bySource {
		dequeued = append(dequeued, queue.reports...)
	}
	q.bySource = map[string]*sourceQueue{}
	q.bySize = nil
	q.length = 0
	return dequeued
}

// dequeueRoundRobin removes one report of each source in turn. The source with the oldest report is served first.
func (q *Queue) dequeueRoundRobin(maxReports int) []*queuedReport {
	var dequeued []*queuedReport
	sources := slices.Clone(q.bySize)
	slices.SortFunc(sources, func(a, b *sourceQueue) int { return cmp.Compare(a.firstSequence(), b.firstSequence()) })
	for len(dequeued) < maxReports {
		remaining := sources[:0]
		for _, queue := range sources {
			if len(dequeued) == maxReports {
				break
			}
			dequeued = append(dequeued, q.remove(queue, queue.highestPriority()))
			if len(queue.reports) > 0 {
				remaining = append(remaining, queue)
			}
		}
		sources = remaining
	}
	return dequeued
}

// applyAgeWeights drops the reports that are too old and scales the attempts of the others by the weight of their age.
// Demand is not scaled: it is a rate over the report's window.
func (q *Queue) applyAgeWeights(nowMs float64, queued []*queuedReport) []Report {
	var reports []Report
	for _, report := range queued {
		weight := q.limits.ageWeight(nowMs - report.ObservedMs)
		if weight == 0 {
			q.CountDropped(TooOld, 1)
			continue
		}
		if weight < 1 && !report.IsDemand {
			report.Attempts = scaleCount(report.Attempts, weight)
			report.Failed = scaleCount(report.Failed, weight)
		}
		reports = append(reports, report.Report)
	}
	return reports
}

func scaleCount(count int, weight float64) int { return int(math.Round(float64(count) * weight)) }

// ageWeight returns the weight of a report of the given age, from 1 to 0.
func (l Limits) ageWeight(ageMs float64) float64 {
	if ageMs >= l.MaxAgeMs {
		return 0
	}
	return math.Exp2(-math.Max(ageMs-l.FullWeightMs, 0) / math.Max(l.HalfLifeMs, minPeriodMs))
}

// Size returns the number of queued reports, and of their sources.
func (q *Queue) Size() (reports, sources int) { return q.length, len(q.bySource) }

// firstSequence returns the sequence number of the oldest report.
func (s *sourceQueue) firstSequence() int64 {
	first := int64(math.MaxInt64)
	for _, report := range s.reports {
		first = min(first, report.sequence)
	}
	return first
}

// highestPriority returns the heap index of the report with the highest priority, the older one of two equal ones.
func (s *sourceQueue) highestPriority() (index int) {
	for i, report := range s.reports {
		highest := s.reports[index]
		if report.priority > highest.priority ||
			report.priority == highest.priority && report.sequence < highest.sequence {
			index = i
		}
	}
	return index
}
