package intake

import (
	"container/heap"
	"maps"
	"math"
	"slices"
)

// Queue holds lines until a round takes them in. Of one source on one thing a few wait, and what comes beyond joins the
// last, so a source that sends again and again takes no more room. When more wait than may, the source with the most lines loses the one that is
// stalest and says least.
type Queue struct {
	limits       Limits
	bySource     map[string]*sourceQueue
	bySize       sourceHeap // the sources, the one with the most lines first
	length       int
	lastSequence int64 // order of arrival
	dropped      map[string]int64
}

// sourceQueue are a source's lines, the least worth first.
type sourceQueue struct {
	source    string
	reports   []*queuedReport
	bySubject map[subjectKey][]*queuedReport
	heapIndex int // in longest
}

type subjectKey struct {
	subject  string
	isDemand bool
}

type queuedReport struct {
	Report
	priority  float64
	sequence  int64
	heapIndex int // in the source's heap
}

// maxPerSubject is how many lines of one source on one thing wait apart.
const maxPerSubject = 4

// NewQueue makes an empty one.
func NewQueue(l Limits) *Queue {
	return &Queue{limits: l, bySource: map[string]*sourceQueue{}, dropped: map[string]int64{}}
}

// priority orders lines by how much they still say: the tries, halved for each half-life of age. Since all age alike it does
// not change while they wait.
func (q *Queue) priority(l *Report) float64 {
	return math.Log2(float64(l.Attempts)+1) + l.ObservedMs/math.Max(q.limits.HalfLifeMs, 1)
}

// Add puts a line into the queue.
func (q *Queue) Add(l Report) {
	w := q.bySource[l.Source]
	if w == nil {
		w = &sourceQueue{source: l.Source, bySubject: map[subjectKey][]*queuedReport{}}
		q.bySource[l.Source] = w
		heap.Push(&q.bySize, w)
	}
	k := subjectKey{l.Subject, l.IsDemand}
	if all := w.bySubject[k]; len(all) >= maxPerSubject {
		x := all[len(all)-1]
		x.merge(l)
		x.priority = q.priority(&x.Report)
		heap.Fix((*reportHeap)(&w.reports), x.heapIndex)
		return
	}
	q.lastSequence++
	x := &queuedReport{Report: l, priority: q.priority(&l), sequence: q.lastSequence}
	w.bySubject[k] = append(w.bySubject[k], x)
	heap.Push((*reportHeap)(&w.reports), x)
	heap.Fix(&q.bySize, w.heapIndex)
	if q.length++; q.length > q.limits.MaxQueued {
		q.Drop(QueueFull, 1)
		q.remove(q.bySize[0], 0)
	}
}

// Dropped counts the lines that were not taken in, by why.
func (q *Queue) Dropped() map[string]int64 { return maps.Clone(q.dropped) }

// Drop counts lines that were not taken in.
func (q *Queue) Drop(why string, lines int) { q.dropped[why] += int64(lines) }

// remove takes a line of a source out.
func (q *Queue) remove(w *sourceQueue, i int) *queuedReport {
	x := heap.Remove((*reportHeap)(&w.reports), i).(*queuedReport)
	k := subjectKey{x.Subject, x.IsDemand}
	if w.bySubject[k] = slices.DeleteFunc(w.bySubject[k], func(y *queuedReport) bool { return y == x }); len(w.bySubject[k]) == 0 {
		delete(w.bySubject, k)
	}
	if q.length--; len(w.reports) == 0 {
		heap.Remove(&q.bySize, w.heapIndex)
		delete(q.bySource, w.source)
	} else {
		heap.Fix(&q.bySize, w.heapIndex)
	}
	return x
}

// Forget drops what waits of a source.
func (q *Queue) Forget(source string) {
	if w := q.bySource[source]; w != nil {
		q.Drop(SubjectGone, len(w.reports))
		q.length -= len(w.reports)
		heap.Remove(&q.bySize, w.heapIndex)
		delete(q.bySource, source)
	}
}

// Take gives the lines that a round takes in, at most so many: all of them in the order in which they came, or, where
// they are more, one of each source in turn, those that say most first. Lines that are too old are dropped. Tries are
// told by what they still weigh.
func (q *Queue) Take(now float64, most int) (lines []Report) {
	var taken []*queuedReport
	if q.length <= most {
		for _, w := range q.bySource {
			taken = append(taken, w.reports...)
		}
		q.bySource, q.bySize, q.length = map[string]*sourceQueue{}, nil, 0
	} else {
		turn := slices.Clone(q.bySize)
		slices.SortFunc(turn, func(a, b *sourceQueue) int { return compare(a.firstSequence(), b.firstSequence()) })
		for len(taken) < most {
			left := turn[:0]
			for _, w := range turn {
				if len(taken) == most {
					break
				}
				taken = append(taken, q.remove(w, w.highestPriority()))
				if len(w.reports) > 0 {
					left = append(left, w)
				}
			}
			turn = left
		}
	}
	slices.SortFunc(taken, func(a, b *queuedReport) int { return compare(a.sequence, b.sequence) })
	for _, x := range taken {
		weight := q.limits.ageWeight(now - x.ObservedMs)
		if weight == 0 {
			q.Drop(TooOld, 1)
			continue
		}
		if weight < 1 && !x.IsDemand { // usage is a rate by its span
			x.Attempts, x.Failed = int(math.Round(float64(x.Attempts)*weight)), int(math.Round(float64(x.Failed)*weight))
		}
		lines = append(lines, x.Report)
	}
	return lines
}

// ageWeight is what is left of a report of an age.
func (l Limits) ageWeight(age float64) float64 {
	if age >= l.MaxAgeMs {
		return 0
	}
	return math.Exp2(-math.Max(age-l.FullWeightMs, 0) / math.Max(l.HalfLifeMs, 1))
}

func compare(a, b int64) int {
	if a < b {
		return -1
	}
	return 1
}

// Waiting is the number of lines that wait, and of their sources.
func (q *Queue) Waiting() (lines, sources int) { return q.length, len(q.bySource) }

// firstSequence is when the oldest line of a source came.
func (w *sourceQueue) firstSequence() int64 {
	first := int64(math.MaxInt64)
	for _, x := range w.reports {
		first = min(first, x.sequence)
	}
	return first
}

// highestPriority is where the line that says most stands.
func (w *sourceQueue) highestPriority() (best int) {
	for i, x := range w.reports {
		if b := w.reports[best]; x.priority > b.priority || x.priority == b.priority && x.sequence < b.sequence {
			best = i
		}
	}
	return best
}
