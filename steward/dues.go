package steward

import (
	"container/heap"
	"math"
)

// dues keeps things by the time they are due; of those due at one time the first added comes first.
type dues[T any] struct {
	heap  dueHeap[T]
	count int64
}

type due[T any] struct {
	at    float64
	order int64
	what  T
}

func (d *dues[T]) add(at float64, what T) {
	d.count++
	heap.Push(&d.heap, due[T]{at, d.count, what})
}

// pop takes the first thing that is due by now.
func (d *dues[T]) pop(now float64) (what T, ok bool) {
	if len(d.heap) == 0 || d.heap[0].at > now {
		return what, false
	}
	return heap.Pop(&d.heap).(due[T]).what, true
}

func (d *dues[T]) next() float64 {
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
