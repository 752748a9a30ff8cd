// Package interner maps names to small integers and back, for code that keeps its state in slices by index. It owns the
// mapping alone: what is kept by an index is the caller's to clear before the index is released.
package interner

import "container/heap"

// Interner gives each name an index, the lowest free one, so that slices by index stay as small as the number of names
// in use at once. IndexOf and Names are for reading only.
type Interner struct {
	IndexOf map[string]int
	Names   []string // by index, empty for a free index
	free    indexHeap
}

// New makes an empty interner.
func New() Interner { return Interner{IndexOf: map[string]int{}} }

// Index is the index of a name. A name without an index gets one.
func (n *Interner) Index(name string) int {
	if index, ok := n.IndexOf[name]; ok {
		return index
	}
	index := len(n.Names)
	if len(n.free) > 0 {
		index = heap.Pop(&n.free).(int)
		n.Names[index] = name
	} else {
		n.Names = append(n.Names, name)
	}
	n.IndexOf[name] = index
	return index
}

// Release makes the index of a name free for another name; a name without an index is ignored. The caller makes sure
// that nothing refers to the index any more.
func (n *Interner) Release(name string) {
	index, ok := n.IndexOf[name]
	if !ok {
		return
	}
	delete(n.IndexOf, name)
	n.Names[index] = ""
	heap.Push(&n.free, index)
}

// indexHeap implements heap.Interface over the free indices, the lowest first.
type indexHeap []int

func (h indexHeap) Len() int           { return len(h) }
func (h indexHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h indexHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *indexHeap) Push(x any)        { *h = append(*h, x.(int)) }

func (h *indexHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
