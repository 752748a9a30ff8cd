// Package indices maps names to small indices, for the module that goes by those.
package interner

import "container/heap"

// Interner maps names to indices, the lowest free one first, so that what is kept by index stays as small as the number of
// names alive at once. Of and Names are for reading.
type Interner struct {
	IndexOf map[string]int
	Names   []string // of a free index: empty
	free    lowest
}

// New makes an empty one.
func New() Interner { return Interner{IndexOf: map[string]int{}} }

// Index gives the index of a name, a fresh one if it has none.
func (x *Interner) Index(name string) int {
	if i, ok := x.IndexOf[name]; ok {
		return i
	}
	i := len(x.Names)
	if len(x.free) > 0 {
		i = heap.Pop(&x.free).(int)
		x.Names[i] = name
	} else {
		x.Names = append(x.Names, name)
	}
	x.IndexOf[name] = i
	return i
}

// Release gives the index of a name free. The caller sees to it that nothing names it any more.
func (x *Interner) Release(name string) {
	if i, ok := x.IndexOf[name]; ok {
		delete(x.IndexOf, name)
		x.Names[i] = ""
		heap.Push(&x.free, i)
	}
}

// lowest is a heap of free indices.
type lowest []int

func (l lowest) Len() int           { return len(l) }
func (l lowest) Less(i, j int) bool { return l[i] < l[j] }
func (l lowest) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *lowest) Push(x any)        { *l = append(*l, x.(int)) }
func (l *lowest) Pop() any {
	old := *l
	x := old[len(old)-1]
	*l = old[:len(old)-1]
	return x
}
