package replay

import (
	"cmp"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"barleysail/internal/deadlinequeue"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/replay/response"
)

// Source is one recording of a day: a steward's life, or a proxy's.
type Source struct {
	Name string
	Next NextFunc
}

// Open gives all recordings of a day from their beginnings. It is called once for each pass over the day.
type OpenFunc func() ([]Source, error)

// Offset is how far a proxy's clock is behind its stewards', and how sure that is, in ms. A clock that was set anew
// during the day has more than one, each from the version named on.
type ClockOffset struct {
	FromVersion string  `json:"Version"`
	OffsetMs    float64 `json:"By"`
	ErrorMs     float64 `json:"Within"`
}

// shifter puts a proxy's records onto the stewards' clock, in the order in which they were written.
type shifter struct {
	offsets []ClockOffset
	at      int
}

func (s *shifter) shift(r *recordpb.Record) {
	if len(s.offsets) == 0 {
		return
	}
	if tag := r.GetApplied(); tag != "" && s.at+1 < len(s.offsets) && tag == s.offsets[s.at+1].FromVersion {
		s.at++
	}
	by := s.offsets[s.at].OffsetMs
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
	ends    map[string]float64       // of each source's records
	offsets map[string][]ClockOffset // by proxy
	late    float64                  // from an answer to the next poll with its tag
	model   *response.Model
	loads   bool // hosts report their load
}

// each goes over all records of a day, one recording after the other.
func each(open OpenFunc, f func(name string, r *recordpb.Record) error) error {
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

// read makes the first pass: the clocks, what the list states of the hosts, and the classes' usual times.
func read(open OpenFunc) (*scan, error) {
	sc := &scan{lives: map[string]*recordpb.Start{}, proxies: map[string]*recordpb.ProxyStart{}, from: math.Inf(1),
		ends: map[string]float64{}, offsets: map[string][]ClockOffset{}}
	usual := response.New(0)
	v := newVersions(versionsMost)
	err := each(open, func(name string, r *recordpb.Record) error {
		sc.ends[name] = math.Max(sc.ends[name], r.At)
		switch x := r.What.(type) {
		case *recordpb.Record_Start:
			sc.lives[name], sc.from = x.Start, math.Min(sc.from, r.At)
		case *recordpb.Record_ProxyStart:
			sc.proxies[name], v.applied[name] = x.ProxyStart, map[string]float64{}
		case *recordpb.Record_Published:
			v.first(v.published, x.Published.Tag, r.At) // again when a poll ends with nothing new
		case *recordpb.Record_Poll:
			for _, tag := range x.Poll.Tags {
				v.first(v.polled, tag, r.At)
			}
		case *recordpb.Record_Listed:
			for _, h := range x.Listed.Hosts {
				usual.SetListedCapacity(h.Address, h.Cores, h.Speed)
			}
		case *recordpb.Record_Sums:
			for _, h := range x.Sums.Hosts {
				sc.loads = sc.loads || h.Load != nil && h.Load.Util >= 0
			}
		case *recordpb.Record_Applied:
			if by := v.applied[name]; by != nil && v.keeps(x.Applied) {
				by[x.Applied] = r.At
				v.count++
			}
		case *recordpb.Record_Transaction:
			for _, t := range x.Transaction.Tries {
				if response.Result(t.Result) == response.Fulfilled {
					usual.ObserveLatency(x.Transaction.Class, t.Took)
				}
			}
		}
		v.thin()
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
	sc.clocks(v.published, v.polled, v.applied)
	usual.SetStart(sc.from)
	sc.model = usual
	return sc, nil
}

// versions are when tables were published, applied and polled with, by tag. Of a long day every second one is kept, of
// a longer one every fourth, and so on, the same ones of all three.
type versions struct {
	published, polled map[string]float64
	applied           map[string]map[string]float64 // by proxy's recording
	every             uint32
	count, most       int
}

// versionsMost times are kept at once.
const versionsMost = 1 << 20

func newVersions(most int) *versions {
	return &versions{map[string]float64{}, map[string]float64{}, map[string]map[string]float64{}, 1, 0, most}
}

func (v *versions) keeps(tag string) bool { return crc32.ChecksumIEEE([]byte(tag))%v.every == 0 }

func (v *versions) first(of map[string]float64, tag string, at float64) {
	if _, ok := of[tag]; !ok && v.keeps(tag) {
		of[tag] = at
		v.count++
	}
}

func (v *versions) thin() {
	for v.count > v.most {
		v.every, v.count = 2*v.every, 0
		for _, of := range append(slices.Collect(maps.Values(v.applied)), v.published, v.polled) {
			maps.DeleteFunc(of, func(tag string, _ float64) bool { return !v.keeps(tag) })
			v.count += len(of)
		}
	}
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

func (b *offsetBounds) offset() ClockOffset {
	return ClockOffset{b.version, (b.least + b.most) / 2, math.Abs(b.most-b.least) / 2}
}

// fit makes the two passes that fit the model of the hosts: their cores and states, then their work.
func (sc *scan) fit(open OpenFunc, patience float64) error {
	for _, pass := range []struct {
		lines bool
		end   func()
	}{{false, sc.model.FitCores}, {true, sc.model.FitServiceTimes}} {
		a, err := sc.ahead(open, patience, pass.lines)
		if err != nil {
			return err
		}
		if err := a.all(); err != nil {
			return err
		}
		pass.end()
	}
	return nil
}

// merged gives the records of all sources in order of time, on the stewards' clock. Transactions come by the time
// at which they came, which is before the time of their record: they wait in a buffer as long as a client's
// patience lasts.
type merged struct {
	sources []Source
	clocks  []shifter
	heads   deadlinequeue.Queue[head] // the next record of each source
	seen    map[uint32]float64        // sums of transactions that came lately, and their times
	Doubled int                       // transactions that were recorded twice, and are played once
	buffer  deadlinequeue.Queue[item]
	behind  float64
}

// item of a day: a record, of a source, at its time.
type item struct {
	at     float64
	source string
	record *recordpb.Record
}

func merge(open OpenFunc, offsets map[string][]ClockOffset, patience float64) (*merged, error) {
	sources, err := open()
	if err != nil {
		return nil, err
	}
	m := &merged{sources: sources, clocks: make([]shifter, len(sources)), seen: map[uint32]float64{}, behind: patience}
	for i := range sources {
		m.clocks[i].offsets = offsets[sources[i].Name]
		m.fill(i)
	}
	return m, nil
}

// head is the next record of a source.
type head struct {
	source int
	record *recordpb.Record
}

func (m *merged) fill(i int) {
	r, err := m.sources[i].Next()
	if err != nil {
		return
	}
	m.clocks[i].shift(r)
	m.heads.Schedule(r.At, head{i, r})
}

// next gives the next item, and io.EOF after the last.
func (m *merged) next() (item, error) {
	for {
		first := m.heads.Next()
		if x, ok := m.buffer.Pop(first - m.behind); ok {
			return x, nil
		}
		if math.IsInf(first, 1) {
			return item{}, io.EOF
		}
		h, _ := m.heads.Pop(first)
		r := h.record
		x := item{r.At, m.sources[h.source].Name, r}
		if t := r.GetTransaction(); t != nil {
			x.at = t.Came
		}
		if !m.again(x) {
			m.buffer.Schedule(x.at, x)
		}
		m.fill(h.source)
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
	sum := record.Checksum(append(body, x.source...))
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
