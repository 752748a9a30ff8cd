package replay

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"barleysail/internal/core"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/replay/response"
)

// Source is one recording of a day: a steward's life, or a proxy's.
type Source struct {
	Name string
	Next Next
}

// Open gives all recordings of a day from their beginnings. It is called once for each pass over the day.
type Open func() ([]Source, error)

// Offset is how far a proxy's clock is behind its stewards', and how sure that is, in ms. A clock that was set anew
// during the day has more than one, each from the version named on.
type Offset struct {
	Version    string
	By, Within float64
}

// shifter puts a proxy's records onto the stewards' clock, in the order in which they were written.
type shifter struct {
	offsets []Offset
	at      int
}

func (s *shifter) shift(r *recordpb.Record) {
	if len(s.offsets) == 0 {
		return
	}
	if tag := r.GetApplied(); tag != "" && s.at+1 < len(s.offsets) && tag == s.offsets[s.at+1].Version {
		s.at++
	}
	by := s.offsets[s.at].By
	r.At += by
	if t := r.GetTransaction(); t != nil {
		t.Came += by
		for _, x := range t.Tries {
			x.At += by
		}
	}
}

// scan is what the first passes over a day find out.
type scan struct {
	lives   map[string]*recordpb.Start // by source
	proxies map[string]*recordpb.ProxyStart
	from    float64
	ends    map[string]float64  // of each source's records
	offsets map[string][]Offset // by proxy
	late    float64             // from an answer to the next poll with its tag
	model   *response.Model
	loads   bool // hosts report their load
}

// each goes over all records of a day, one recording after the other.
func each(open Open, f func(name string, r *recordpb.Record) error) error {
	sources, err := open()
	if err != nil {
		return err
	}
	for _, s := range sources {
		for {
			r, err := s.Next()
			if err != nil {
				break // a torn end: what is there is used
			}
			if err := f(s.Name, r); err != nil {
				return fmt.Errorf("%s: %w", s.Name, err)
			}
		}
	}
	return nil
}

// read makes the first two passes: the clocks and the classes' usual times, then the hosts' cores and states.
func read(open Open) (*scan, error) {
	sc := &scan{lives: map[string]*recordpb.Start{}, proxies: map[string]*recordpb.ProxyStart{}, from: math.Inf(1),
		ends: map[string]float64{}, offsets: map[string][]Offset{}}
	usual := response.New(0)
	published, polled, applied := map[string]float64{}, map[string]float64{}, map[string]map[string]float64{}
	err := each(open, func(name string, r *recordpb.Record) error {
		sc.ends[name] = math.Max(sc.ends[name], r.At)
		switch x := r.What.(type) {
		case *recordpb.Record_Start:
			sc.lives[name], sc.from = x.Start, math.Min(sc.from, r.At)
		case *recordpb.Record_ProxyStart:
			sc.proxies[name], applied[name] = x.ProxyStart, map[string]float64{}
		case *recordpb.Record_Published:
			if _, ok := published[x.Published.Tag]; !ok { // again when a poll ends with nothing new
				published[x.Published.Tag] = r.At
			}
		case *recordpb.Record_Poll:
			for _, tag := range x.Poll.Tags {
				if _, ok := polled[tag]; !ok {
					polled[tag] = r.At
				}
			}
		case *recordpb.Record_Listed:
			for _, h := range x.Listed.Hosts {
				usual.Stated(h.Address, h.Cores, h.Speed)
			}
		case *recordpb.Record_Applied:
			applied[name][x.Applied] = r.At
		case *recordpb.Record_Transaction:
			for _, t := range x.Transaction.Tries {
				if response.Outcome(t.Result) == response.Fulfilled {
					usual.Usual(x.Transaction.Class, t.Took)
				}
			}
		}
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(sc.lives) == 0 {
		return nil, errNoStart
	}
	if len(sc.proxies) == 0 {
		return nil, errors.New("no proxy's recording is among them: what came, and when, is not known")
	}
	sc.clocks(published, polled, applied)
	usual.Begin(sc.from)
	sc.model = usual
	return sc, sc.fit(open)
}

// clocks estimates each proxy's offset. A version is published, then applied, then polled with: the steward's time
// of the poll is never before the proxy's time of applying, nor that of publishing after it, so each version bounds
// the offset from both sides. The middle is taken. Where a version's bounds leave nothing of those before it the
// clock was set anew between them.
func (sc *scan) clocks(published, polled map[string]float64, applied map[string]map[string]float64) {
	late, n := 0.0, 0
	for _, name := range slices.Sorted(maps.Keys(applied)) {
		tags := applied[name]
		order := slices.Sorted(maps.Keys(tags))
		slices.SortStableFunc(order, func(a, b string) int { return cmp.Compare(published[a], published[b]) })
		var bounds offsetBounds
		for _, tag := range order {
			t, asked := polled[tag]
			p, sent := published[tag]
			if !asked || !sent {
				continue
			}
			late, n = late+t-p, n+1
			if !bounds.narrow(p-tags[tag], t-tags[tag]) {
				sc.offsets[name] = append(sc.offsets[name], bounds.offset())
				bounds = offsetBounds{}
				bounds.narrow(p-tags[tag], t-tags[tag])
			}
			if bounds.n == 1 {
				bounds.version = tag
			}
		}
		if bounds.n > 0 {
			sc.offsets[name] = append(sc.offsets[name], bounds.offset())
		}
	}
	if n > 0 {
		sc.late = late / float64(n)
	}
}

// offsetBounds are what versions leave of a clock's offset.
type offsetBounds struct {
	version     string
	least, most float64
	n           int
}

// slack of a clock's bounds: times are noted a moment after what they are of.
const slack = 2.0

// narrow takes in a version's bounds, unless nothing would be left.
func (b *offsetBounds) narrow(least, most float64) bool {
	if b.n > 0 && (least > b.most+slack || most < b.least-slack) {
		return false
	}
	if b.n++; b.n == 1 {
		b.least, b.most = least, most
	} else {
		b.least, b.most = math.Max(b.least, least), math.Min(b.most, most)
	}
	return true
}

func (b *offsetBounds) offset() Offset {
	return Offset{b.version, (b.least + b.most) / 2, math.Abs(b.most-b.least) / 2}
}

// fit makes the pass that fits the model of the hosts.
func (sc *scan) fit(open Open) error {
	clocks := map[string]*shifter{}
	err := each(open, func(name string, r *recordpb.Record) error {
		if clocks[name] == nil {
			clocks[name] = &shifter{offsets: sc.offsets[name]}
		}
		clocks[name].shift(r)
		switch x := r.What.(type) {
		case *recordpb.Record_Transaction:
			for _, t := range x.Transaction.Tries {
				sc.model.Saw(x.Transaction.Class, t.Host, t.At, t.Took, response.Outcome(t.Result))
			}
		case *recordpb.Record_Probed:
			sc.model.Probed(x.Probed.Host, r.At, x.Probed.Outcome == 0, x.Probed.Outcome == 3)
		case *recordpb.Record_Sums:
			for _, h := range x.Sums.Hosts {
				if h.Load != nil && h.Load.Util >= 0 {
					sc.loads = true
					sc.model.Loaded(h.Host, r.At, h.Load.Util)
				}
			}
		}
		return nil
	})
	sc.model.Fit()
	return err
}

// fitWork makes the pass that tells hosts' work from their waiting, in the order of the day.
func (sc *scan) fitWork(open Open, patience float64) error {
	m, err := merge(open, sc.offsets, patience)
	if err != nil {
		return err
	}
	w := &worked{m: m, lines: response.NewLines(sc.model)}
	for {
		x, err := w.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return err
		}
		if t := x.record.GetTransaction(); t != nil {
			for k, r := range t.Tries {
				sc.model.Worked(t.Class, r.Host, r.At, r.Took, x.works[k].begin, x.works[k].service, response.Outcome(r.Result))
			}
		}
	}
	sc.model.FitWork()
	return nil
}

// merged gives the records of all sources in order of time, on the stewards' clock. Transactions come by the time
// at which they came, which is before the time of their record: they wait in a buffer as long as a client's
// patience lasts.
type merged struct {
	sources []Source
	clocks  []shifter
	heads   []*recordpb.Record
	seen    map[uint32]float64 // sums of transactions that came lately, and their times
	Doubled int                // transactions that were recorded twice, and are played once
	buffer  core.Dues[item]
	behind  float64
}

// item of a day: a record, of a source, at its time.
type item struct {
	at     float64
	source string
	record *recordpb.Record
}

func merge(open Open, offsets map[string][]Offset, patience float64) (*merged, error) {
	sources, err := open()
	if err != nil {
		return nil, err
	}
	m := &merged{sources: sources, clocks: make([]shifter, len(sources)), heads: make([]*recordpb.Record, len(sources)),
		seen: map[uint32]float64{}, behind: patience}
	for i := range sources {
		m.clocks[i].offsets = offsets[sources[i].Name]
		m.fill(i)
	}
	return m, nil
}

func (m *merged) fill(i int) {
	m.heads[i] = nil
	r, err := m.sources[i].Next()
	if err != nil {
		return
	}
	m.clocks[i].shift(r)
	m.heads[i] = r
}

// next gives the next item, and io.EOF after the last.
func (m *merged) next() (item, error) {
	for {
		first := -1
		for i, r := range m.heads {
			if r != nil && (first < 0 || r.At < m.heads[first].At) {
				first = i
			}
		}
		until := math.Inf(1)
		if first >= 0 {
			until = m.heads[first].At - m.behind
		}
		if x, ok := m.buffer.Pop(until); ok {
			return x, nil
		}
		if first < 0 {
			return item{}, io.EOF
		}
		r := m.heads[first]
		x := item{r.At, m.sources[first].Name, r}
		if t := r.GetTransaction(); t != nil {
			x.at = t.Came
		}
		if !m.again(x) {
			m.buffer.Add(x.at, x)
		}
		m.fill(first)
	}
}

// again tells whether a transaction was recorded before, lately.
func (m *merged) again(x item) bool {
	if x.record.GetTransaction() == nil {
		return false
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(x.record)
	if err != nil {
		return false
	}
	sum := record.Sum(append(body, x.source...))
	if _, ok := m.seen[sum]; ok {
		m.Doubled++
		return true
	}
	m.seen[sum] = x.at
	if len(m.seen) > seenMost {
		for sum, at := range m.seen {
			if at < x.at-m.behind {
				delete(m.seen, sum)
			}
		}
	}
	return false
}

// seenMost transactions are remembered before old ones are forgotten.
const seenMost = 50000
