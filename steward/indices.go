package steward

import "container/heap"

// indices maps names to the small indices that the module knows them by, the lowest free one first, so that
// what is kept by index stays as small as the number of names alive at once.
type indices struct {
	of    map[string]int
	names []string
	free  lowest
}

func newIndices() indices { return indices{of: map[string]int{}} }

// index gives the index of a name, a fresh one if it has none.
func (x *indices) index(name string) int {
	if i, ok := x.of[name]; ok {
		return i
	}
	i := len(x.names)
	if len(x.free) > 0 {
		i = heap.Pop(&x.free).(int)
		x.names[i] = name
	} else {
		x.names = append(x.names, name)
	}
	x.of[name] = i
	return i
}

// release gives the index of a name free. The caller sees to it that nothing names it any more.
func (x *indices) release(name string) {
	if i, ok := x.of[name]; ok {
		delete(x.of, name)
		x.names[i] = ""
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
