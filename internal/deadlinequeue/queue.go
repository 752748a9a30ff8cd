// Package core holds what several decision modules keep their work in.
package deadlinequeue

import (
	"container/heap"
	"math"
)

// Queue keeps things by the time they are due; of those due at one time the first added comes first.
type Queue[T any] struct {
	heap  dueHeap[T]
	count int64
}

type due[T any] struct {
	at    float64
	order int64
	what  T
}

// Schedule keeps a thing until its time.
func (d *Queue[T]) Schedule(at float64, what T) {
	d.count++
	heap.Push(&d.heap, due[T]{at, d.count, what})
}

// Pop takes the first thing that is due by now.
func (d *Queue[T]) Pop(now float64) (what T, ok bool) {
	if len(d.heap) == 0 || d.heap[0].at > now {
		return what, false
	}
	return heap.Pop(&d.heap).(due[T]).what, true
}

// Next is when the first thing is due, +Inf where there is none.
func (d *Queue[T]) Next() float64 {
	if len(d.heap) == 0 {
		return math.Inf(1)
	}
	return d.heap[0].at
}

type dueHeap[T any] []due[T]

func (h dueHeap[T]) Len() int { return len(h) }
func (h dueHeap[T]) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].order < h[j].order
}
func (h dueHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *dueHeap[T]) Push(x any)   { *h = append(*h, x.(due[T])) }
func (h *dueHeap[T]) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}
