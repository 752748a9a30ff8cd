package intake

// reportHeap is a heap of lines, those that say least first.
type reportHeap []*queuedReport

func (h reportHeap) Len() int { return len(h) }
func (h reportHeap) Less(i, j int) bool {
	return h[i].priority < h[j].priority || h[i].priority == h[j].priority && h[i].sequence < h[j].sequence
}
func (h reportHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }
func (h *reportHeap) Push(x any) {
	x.(*queuedReport).heapIndex = len(*h)
	*h = append(*h, x.(*queuedReport))
}
func (h *reportHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return x
}

// sourceHeap is a heap of sources, that with the most lines first.
type sourceHeap []*sourceQueue

func (h sourceHeap) Len() int { return len(h) }
func (h sourceHeap) Less(i, j int) bool {
	return len(h[i].reports) > len(h[j].reports) || len(h[i].reports) == len(h[j].reports) && h[i].source < h[j].source
}
func (h sourceHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }
func (h *sourceHeap) Push(x any) {
	x.(*sourceQueue).heapIndex = len(*h)
	*h = append(*h, x.(*sourceQueue))
}
func (h *sourceHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return x
}
