package intake

// reportHeap is a container/heap of a source's reports: the lowest priority first, and the older of two reports with
// equal priority.
type reportHeap []*queuedReport

func (h reportHeap) Len() int { return len(h) }

func (h reportHeap) Less(i, j int) bool {
	return h[i].priority < h[j].priority || h[i].priority == h[j].priority && h[i].sequence < h[j].sequence
}

func (h reportHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *reportHeap) Push(x any) {
	report := x.(*queuedReport)
	report.heapIndex = len(*h)
	*h = append(*h, report)
}

func (h *reportHeap) Pop() any { return removeLast((*[]*queuedReport)(h)) }

// sourceHeap is a container/heap of sources: the one with the most reports first, equal ones by name.
type sourceHeap []*sourceQueue

func (h sourceHeap) Len() int { return len(h) }

func (h sourceHeap) Less(i, j int) bool {
	if len(h[i].reports) != len(h[j].reports) {
		return len(h[i].reports) > len(h[j].reports)
	}
	return h[i].source < h[j].source
}

func (h sourceHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

func (h *sourceHeap) Push(x any) {
	queue := x.(*sourceQueue)
	queue.heapIndex = len(*h)
	*h = append(*h, queue)
}

func (h *sourceHeap) Pop() any { return removeLast((*[]*sourceQueue)(h)) }

// removeLast removes and returns the last element, and clears its slot for the garbage collector.
func removeLast[T any](elements *[]*T) *T {
	last := len(*elements) - 1
	removed := (*elements)[last]
	(*elements)[last] = nil
	*elements = (*elements)[:last]
	return removed
}
