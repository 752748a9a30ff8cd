// Package interner maps names to small integers and back, for code that stores its state in slices by index. It owns
// only the mapping: the caller has to clear what it stores by an index before it releases the index.
package interner

import "container/heap"

// Interner assigns the lowest free index to each name, so that slices by index are no longer than the largest number of
// names that were in use at once. Callers may only read IndexOf and Names. It is not safe for concurrent use.
type Interner struct {
	IndexOf map[string]int // by name
	Names   []string       // by index, empty for a free index
	free    indexHeap
}

// New returns an empty interner.
func New() Interner { return Interner{IndexOf: map[string]int{}} }

// Index returns the index of a name. It assigns the lowest free index to a name without one.
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

// Release frees the index of a name for another name; it ignores a name without an index. The caller has to ensure that
// nothing refers to the index any more.
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
