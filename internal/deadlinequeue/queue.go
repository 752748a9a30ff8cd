// Package deadlinequeue provides a priority queue of items that are ordered by the time at which they are due. It owns
// only the order of the items: it reads no clock and starts no timer, and the caller passes the time.
package deadlinequeue

import (
	"container/heap"
	"math"
)

// Queue holds items until they are due. Items that are due at the same time are popped in the order in which they were
// scheduled. Times are in milliseconds on a clock of the caller. The zero value is an empty queue; a Queue is not safe
// for concurrent use.
type Queue[T any] struct {
	heap      itemHeap[T]
	scheduled int64 // items scheduled so far
}

type item[T any] struct {
	dueMs    float64
	sequence int64 // order of scheduling
	value    T
}

// Schedule adds an item that is due at dueMs.
func (q *Queue[T]) Schedule(dueMs float64, value T) {
	q.scheduled++
	heap.Push(&q.heap, item[T]{dueMs, q.scheduled, value})
}

// Pop removes and returns the earliest item that is due by nowMs. ok is false if none is due yet.
func (q *Queue[T]) Pop(nowMs float64) (value T, ok bool) {
	if len(q.heap) == 0 || q.heap[0].dueMs > nowMs {
		return value, false
	}
	return heap.Pop(&q.heap).(item[T]).value, true
}

// NextDueMs returns the time in ms at which the earliest item is due, or +Inf if the queue is empty.
func (q *Queue[T]) NextDueMs() float64 {
	if len(q.heap) == 0 {
		return math.Inf(1)
	}
	return q.heap[0].dueMs
}

// itemHeap implements heap.Interface, the earliest item first.
type itemHeap[T any] []item[T]

func (h itemHeap[T]) Len() int { return len(h) }

func (h itemHeap[T]) Less(i, j int) bool {
	return h[i].dueMs < h[j].dueMs || h[i].dueMs == h[j].dueMs && h[i].sequence < h[j].sequence
}

func (h itemHeap[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *itemHeap[T]) Push(x any) { *h = append(*h, x.(item[T])) }

func (h *itemHeap[T]) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
