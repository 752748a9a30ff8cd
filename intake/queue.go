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
	limits  Limits
	by      map[string]*waiting
	most    longest // the sources, the one with the most lines first
	lines   int
	next    int64 // order of arrival
	dropped map[string]int64
}

// waiting are a source's lines, the least worth first.
type waiting struct {
	source string
	lines  []*queued
	of     map[key][]*queued
	at     int // in longest
}

type key struct {
	of    string
	usage bool
}

type queued struct {
	Report
	worth float64
	order int64
	at    int // in the source's heap
}

// alike is how many lines of one source on one thing wait apart.
const alike = 4

// NewQueue makes an empty one.
func NewQueue(l Limits) *Queue {
	return &Queue{limits: l, by: map[string]*waiting{}, dropped: map[string]int64{}}
}

// worth orders lines by how much they still say: the tries, halved for each half-life of age. Since all age alike it does
// not change while they wait.
func (q *Queue) worth(l *Report) float64 {
	return math.Log2(float64(l.Attempts)+1) + l.ObservedMs/math.Max(q.limits.HalfLifeMs, 1)
}

// Add puts a line into the queue.
func (q *Queue) Add(l Report) {
	w := q.by[l.Source]
	if w == nil {
		w = &waiting{source: l.Source, of: map[key][]*queued{}}
		q.by[l.Source] = w
		heap.Push(&q.most, w)
	}
	k := key{l.Subject, l.IsDemand}
	if all := w.of[k]; len(all) >= alike {
		x := all[len(all)-1]
		x.merge(l)
		x.worth = q.worth(&x.Report)
		heap.Fix((*least)(&w.lines), x.at)
		return
	}
	q.next++
	x := &queued{Report: l, worth: q.worth(&l), order: q.next}
	w.of[k] = append(w.of[k], x)
	heap.Push((*least)(&w.lines), x)
	heap.Fix(&q.most, w.at)
	if q.lines++; q.lines > q.limits.MaxQueued {
		q.Drop(QueueFull, 1)
		q.remove(q.most[0], 0)
	}
}

// Dropped counts the lines that were not taken in, by why.
func (q *Queue) Dropped() map[string]int64 { return maps.Clone(q.dropped) }

// Drop counts lines that were not taken in.
func (q *Queue) Drop(why string, lines int) { q.dropped[why] += int64(lines) }

// remove takes a line of a source out.
func (q *Queue) remove(w *waiting, i int) *queued {
	x := heap.Remove((*least)(&w.lines), i).(*queued)
	k := key{x.Subject, x.IsDemand}
	if w.of[k] = slices.DeleteFunc(w.of[k], func(y *queued) bool { return y == x }); len(w.of[k]) == 0 {
		delete(w.of, k)
	}
	if q.lines--; len(w.lines) == 0 {
		heap.Remove(&q.most, w.at)
		delete(q.by, w.source)
	} else {
		heap.Fix(&q.most, w.at)
	}
	return x
}

// Forget drops what waits of a source.
func (q *Queue) Forget(source string) {
	if w := q.by[source]; w != nil {
		q.Drop(SubjectGone, len(w.lines))
		q.lines -= len(w.lines)
		heap.Remove(&q.most, w.at)
		delete(q.by, source)
	}
}

// Take gives the lines that a round takes in, at most so many: all of them in the order in which they came, or, where
// they are more, one of each source in turn, those that say most first. Lines that are too old are dropped. Tries are
// told by what they still weigh.
func (q *Queue) Take(now float64, most int) (lines []Report) {
	var taken []*queued
	if q.lines <= most {
		for _, w := range q.by {
			taken = append(taken, w.lines...)
		}
		q.by, q.most, q.lines = map[string]*waiting{}, nil, 0
	} else {
		turn := slices.Clone(q.most)
		slices.SortFunc(turn, func(a, b *waiting) int { return compare(a.first(), b.first()) })
		for len(taken) < most {
			left := turn[:0]
			for _, w := range turn {
				if len(taken) == most {
					break
				}
				taken = append(taken, q.remove(w, w.best()))
				if len(w.lines) > 0 {
					left = append(left, w)
				}
			}
			turn = left
		}
	}
	slices.SortFunc(taken, func(a, b *queued) int { return compare(a.order, b.order) })
	for _, x := range taken {
		weight := q.limits.weight(now - x.ObservedMs)
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

// weight is what is left of a report of an age.
func (l Limits) weight(age float64) float64 {
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
func (q *Queue) Waiting() (lines, sources int) { return q.lines, len(q.by) }

// first is when the oldest line of a source came.
func (w *waiting) first() int64 {
	first := int64(math.MaxInt64)
	for _, x := range w.lines {
		first = min(first, x.order)
	}
	return first
}

// best is where the line that says most stands.
func (w *waiting) best() (best int) {
	for i, x := range w.lines {
		if b := w.lines[best]; x.worth > b.worth || x.worth == b.worth && x.order < b.order {
			best = i
		}
	}
	return best
}
