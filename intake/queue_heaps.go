package intake

// least is a heap of lines, those that say least first.
type least []*queued

func (h least) Len() int { return len(h) }
func (h least) Less(i, j int) bool {
	return h[i].worth < h[j].worth || h[i].worth == h[j].worth && h[i].order < h[j].order
}
func (h least) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].at, h[j].at = i, j }
func (h *least) Push(x any)   { x.(*queued).at = len(*h); *h = append(*h, x.(*queued)) }
func (h *least) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return x
}

// longest is a heap of sources, that with the most lines first.
type longest []*waiting

func (h longest) Len() int { return len(h) }
func (h longest) Less(i, j int) bool {
	return len(h[i].lines) > len(h[j].lines) || len(h[i].lines) == len(h[j].lines) && h[i].source < h[j].source
}
func (h longest) Swap(i, j int) { h[i], h[j] = h[j], h[i]; h[i].at, h[j].at = i, j }
func (h *longest) Push(x any)   { x.(*waiting).at = len(*h); *h = append(*h, x.(*waiting)) }
func (h *longest) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return x
}
