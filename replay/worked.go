package replay

import (
	"errors"
	"io"

	"barleysail/internal/core"
	"barleysail/internal/record/recordpb"
	"barleysail/replay/response"
)

// worked follows a merged day a little ahead, puts the hosts' lines together, and gives each item with what its tries
// worked. An item waits for the tries of the transactions before it, which is no longer than a client's patience.
type worked struct {
	m       *merged
	lines   *response.Lines
	queue   []*workedItem
	pending core.Dues[func()]
	ended   bool
}

// workedItem is an item, with each try's work in the order of the tries.
type workedItem struct {
	item
	left  int // tries that are not reckoned yet
	works []tryWork
}

// tryWork tells when a try's work began and how long it went on.
type tryWork struct{ begin, service float64 }

func (w *worked) next() (*workedItem, error) {
	for !w.ended && (len(w.queue) == 0 || w.queue[0].left > 0) {
		x, err := w.m.next()
		if errors.Is(err, io.EOF) {
			w.ended = true
			w.reckon(endless)
			break
		}
		if err != nil {
			return nil, err
		}
		w.reckon(x.at)
		w.add(x)
	}
	if len(w.queue) == 0 {
		return nil, io.EOF
	}
	x := w.queue[0]
	w.queue[0] = nil
	w.queue = w.queue[1:]
	return x, nil
}

const endless = 1e18

// reckon takes the tries that began before a time into their hosts' lines: none can come before it any more.
func (w *worked) reckon(at float64) {
	for {
		do, ok := w.pending.Pop(at)
		if !ok {
			return
		}
		do()
	}
}

func (w *worked) add(x item) {
	i := &workedItem{item: x}
	w.queue = append(w.queue, i)
	t := x.record.GetTransaction()
	if t == nil {
		return
	}
	i.left, i.works = len(t.Tries), make([]tryWork, len(t.Tries))
	for k, r := range t.Tries {
		w.pending.Add(r.At, func() { w.take(i, t.Class, k, r) })
	}
}

func (w *worked) take(i *workedItem, class string, k int, r *recordpb.Try) {
	begin, service := w.lines.Took(class, r.Host, r.At, r.Took, response.Outcome(r.Result))
	i.works[k] = tryWork{begin, service}
	i.left--
}
