package replay

import (
	"errors"
	"io"
	"math"

	"barleysail/internal/deadlinequeue"
	"barleysail/internal/record/recordpb"
	"barleysail/replay/response"
)

// ahead follows a merged day a little ahead of what it gives: the model sees what it reads, the hosts' lines are put
// together, and each item comes with what its tries worked, once the model knows the day for a while beyond it.
type ahead struct {
	m       *merged
	model   *response.Model
	lines   *response.QueueReconstruction // nil: they are not wanted
	by      float64                       // ms that it reads ahead
	queue   []*workedItem
	pending deadlinequeue.Queue[func()]
	at      float64 // of what was read last
	settled float64 // the model has taken in what was read up to then
	ended   bool
}

// workedItem is an item, with each try's work in the order of the tries.
type workedItem struct {
	item
	works []tryWork
}

// tryWork tells when a try's work began and how long it went on.
type tryWork struct{ begin, service float64 }

// aheadMore is how much further than a client's patience the model knows the day.
const aheadMore = 3000.0

func (sc *scan) ahead(open OpenFunc, patience float64, lines bool) (*ahead, error) {
	m, err := merge(open, sc.offsets, patience)
	if err != nil {
		return nil, err
	}
	a := &ahead{m: m, model: sc.model, by: patience + aheadMore, at: sc.from}
	if lines {
		a.lines = response.NewQueueReconstruction(sc.model)
	}
	return a, nil
}

func (a *ahead) next() (*workedItem, error) {
	for !a.ended && (len(a.queue) == 0 || a.queue[0].at > a.at-a.by) {
		x, err := a.m.next()
		if errors.Is(err, io.EOF) {
			a.ended = true
			a.reckon(endless)
			a.model.CloseWindows(a.at + a.by)
			break
		}
		if err != nil {
			return nil, err
		}
		a.at = math.Max(a.at, x.at)
		a.reckon(x.at)
		if a.at >= a.settled+settleEvery {
			a.settled = a.at
			a.model.CloseWindows(a.at)
			a.model.DiscardBefore(a.at - a.by)
		}
		a.add(x)
	}
	if len(a.queue) == 0 {
		return nil, io.EOF
	}
	x := a.queue[0]
	a.queue[0] = nil
	a.queue = a.queue[1:]
	return x, nil
}

// settleEvery ms of the day the model takes in what was read, and drops what lies behind what is given.
const settleEvery = 250.0

const endless = 1e18

// reckon takes the tries that began before a time into their hosts' lines: none can come before it any more.
func (a *ahead) reckon(at float64) {
	for {
		do, ok := a.pending.Pop(at)
		if !ok {
			return
		}
		do()
	}
}

// add lets the model see an item.
func (a *ahead) add(x item) {
	i := &workedItem{item: x}
	a.queue = append(a.queue, i)
	switch r := x.record.What.(type) {
	case *recordpb.Record_Transaction:
		t := r.Transaction
		i.works = make([]tryWork, len(t.Tries))
		for k, r := range t.Tries {
			a.model.ObserveAttempt(t.Class, r.Host, r.At, r.Took, response.Result(r.Result))
			if a.lines != nil {
				a.pending.Schedule(r.At, func() { a.take(i, t.Class, k, r) })
			}
		}
	case *recordpb.Record_Probed:
		a.model.ObserveHealthCheck(r.Probed.Host, x.at, r.Probed.Outcome == 0, r.Probed.Outcome == 3)
	case *recordpb.Record_Sums:
		for _, h := range r.Sums.Hosts {
			if h.Load != nil {
				a.model.ObserveUtilization(h.Host, x.at, h.Load.Util)
			}
		}
	}
}

func (a *ahead) take(i *workedItem, class string, k int, r *recordpb.Try) {
	how := response.Result(r.Result)
	begin, service := a.lines.AddAttempt(class, r.Host, r.At, r.Took, how)
	i.works[k] = tryWork{begin, service}
	a.model.ObserveServiceTime(class, r.Host, r.At, r.Took, begin, service, how)
}

// all reads the day to its end.
func (a *ahead) all() error {
	for {
		if _, err := a.next(); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
	}
}
