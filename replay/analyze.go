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
type clockCorrector struct {
	offsets []ClockOffset
	current int
}

func (c *clockCorrector) correct(record *recordpb.Record) {
	if len(c.offsets) == 0 {
		return
	}
	if tag := record.GetApplied(); tag != "" && c.current+1 < len(c.offsets) && tag == c.offsets[c.current+1].FromVersion {
		c.current++
	}
	offsetMs := c.offsets[c.current].OffsetMs
	record.At += offsetMs
	if request := record.GetTransaction(); request != nil {
		request.Came += offsetMs
		for _, attempt := range request.Tries {
			attempt.At += offsetMs
		}
	}
}

// scan is what the first passes over a day find out.
type analysis struct {
	starts       map[string]*recordpb.Start // by source
	proxyStarts  map[string]*recordpb.ProxyStart
	fromMs       float64
	endMs        map[string]float64       // of each source's records
	clockOffsets map[string][]ClockOffset // by proxy
	pollDelayMs  float64                  // from an answer to the next poll with its tag
	model        *response.Model
	reportsLoad  bool // hosts report their load
}

// each goes over all records of a day, one recording after the other.
func forEachRecord(open OpenFunc, visit func(name string, record *recordpb.Record) error) error {
	sources, err := open()
	if err != nil {
		return err
	}
	for _, source := range sources {
		for {
			record, err := source.Next()
			if err != nil {
				break // a torn end: what is there is used
			}
			if err := visit(source.Name, record); err != nil {
				return fmt.Errorf("%s: %w", source.Name, err)
			}
		}
	}
	return nil
}

// read makes the first pass: the clocks, what the list states of the hosts, and the classes' usual times.
func analyze(open OpenFunc) (*analysis, error) {
	a := &analysis{starts: map[string]*recordpb.Start{}, proxyStarts: map[string]*recordpb.ProxyStart{}, fromMs: math.Inf(1),
		endMs: map[string]float64{}, clockOffsets: map[string][]ClockOffset{}}
	model := response.New(0)
	times := newVersionTimes(maxVersionTimes)
	err := forEachRecord(open, func(name string, record *recordpb.Record) error {
		a.endMs[name] = math.Max(a.endMs[name], record.At)
		switch what := record.What.(type) {
		case *recordpb.Record_Start:
			a.starts[name], a.fromMs = what.Start, math.Min(a.fromMs, record.At)
		case *recordpb.Record_ProxyStart:
			a.proxyStarts[name], times.applied[name] = what.ProxyStart, map[string]float64{}
		case *recordpb.Record_Published:
			times.addFirst(times.published, what.Published.Tag, record.At) // again when a poll ends with nothing new
		case *recordpb.Record_Poll:
			for _, tag := range what.Poll.Tags {
				times.addFirst(times.polled, tag, record.At)
			}
		case *recordpb.Record_Listed:
			for _, host := range what.Listed.Hosts {
				model.SetListedCapacity(host.Address, host.Cores, host.Speed)
			}
		case *recordpb.Record_Sums:
			for _, host := range what.Sums.Hosts {
				a.reportsLoad = a.reportsLoad || host.Load != nil && host.Load.Util >= 0
			}
		case *recordpb.Record_Applied:
			if applied := times.applied[name]; applied != nil && times.isSampled(what.Applied) {
				applied[what.Applied] = record.At
				times.count++
			}
		case *recordpb.Record_Transaction:
			for _, attempt := range what.Transaction.Tries {
				if response.Result(attempt.Result) == response.Fulfilled {
					model.ObserveLatency(what.Transaction.Class, attempt.Took)
				}
			}
		}
		times.thin()
		return nil
	})
	if err != nil {
		return nil, err
	}
	if len(a.starts) == 0 {
		return nil, errNoStart
	}
	if len(a.proxyStarts) == 0 {
		return nil, errors.New("no proxy's recording is among them: what came, and when, is not known")
	}
	a.estimateClockOffsets(times.published, times.polled, times.applied)
	model.SetStart(a.fromMs)
	a.model = model
	return a, nil
}

// versions are when tables were published, applied and polled with, by tag. Of a long day every second one is kept, of
// a longer one every fourth, and so on, the same ones of all three.
type versionTimes struct {
	published, polled map[string]float64
	applied           map[string]map[string]float64 // by proxy's recording
	keepOneIn         uint32
	count, limit      int
}

// versionsMost times are kept at once.
const maxVersionTimes = 1 << 20

func newVersionTimes(limit int) *versionTimes {
	return &versionTimes{map[string]float64{}, map[string]float64{}, map[string]map[string]float64{}, 1, 0, limit}
}

func (v *versionTimes) isSampled(tag string) bool {
	return crc32.ChecksumIEEE([]byte(tag))%v.keepOneIn == 0
}

func (v *versionTimes) addFirst(times map[string]float64, tag string, atMs float64) {
	if _, ok := times[tag]; !ok && v.isSampled(tag) {
		times[tag] = atMs
		v.count++
	}
}

func (v *versionTimes) thin() {
	for v.count > v.limit {
		v.keepOneIn, v.count = 2*v.keepOneIn, 0
		for _, times := range append(slices.Collect(maps.Values(v.applied)), v.published, v.polled) {
			maps.DeleteFunc(times, func(tag string, _ float64) bool { return !v.isSampled(tag) })
			v.count += len(times)
		}
	}
}

// clocks estimates each proxy's offset. A version is published, then applied, then polled with: the steward's time
// of the poll is never before the proxy's time of applying, nor that of publishing after it, so each version bounds
// the offset from both sides. The middle is taken. Where a version's bounds leave nothing of those before it the
// clock was set anew between them.
func (a *analysis) estimateClockOffsets(published, polled map[string]float64, applied map[string]map[string]float64) {
	pollDelayMs, versions := 0.0, 0
	for _, proxy := range slices.Sorted(maps.Keys(applied)) {
		appliedMs := applied[proxy]
		ordered := slices.Sorted(maps.Keys(appliedMs))
		slices.SortStableFunc(ordered, func(first, second string) int { return cmp.Compare(published[first], published[second]) })
		var bounds offsetBounds
		for _, tag := range ordered {
			polledMs, wasPolled := polled[tag]
			publishedMs, wasPublished := published[tag]
			if !wasPolled || !wasPublished {
				continue
			}
			pollDelayMs, versions = pollDelayMs+polledMs-publishedMs, versions+1
			if !bounds.narrow(publishedMs-appliedMs[tag], polledMs-appliedMs[tag]) {
				a.clockOffsets[proxy] = append(a.clockOffsets[proxy], bounds.offset())
				bounds = offsetBounds{}
				bounds.narrow(publishedMs-appliedMs[tag], polledMs-appliedMs[tag])
			}
			if bounds.versions == 1 {
				bounds.version = tag
			}
		}
		if bounds.versions > 0 {
			a.clockOffsets[proxy] = append(a.clockOffsets[proxy], bounds.offset())
		}
	}
	if versions > 0 {
		a.pollDelayMs = pollDelayMs / float64(versions)
	}
}

// offsetBounds are what versions leave of a clock's offset.
type offsetBounds struct {
	version      string
	minMs, maxMs float64
	versions     int
}

// slack of a clock's bounds: times are noted a moment after what they are of.
const clockSlackMs = 2.0

// narrow takes in a version's bounds, unless nothing would be left.
func (b *offsetBounds) narrow(minMs, maxMs float64) bool {
	if b.versions > 0 && (minMs > b.maxMs+clockSlackMs || maxMs < b.minMs-clockSlackMs) {
		return false
	}
	if b.versions++; b.versions == 1 {
		b.minMs, b.maxMs = minMs, maxMs
	} else {
		b.minMs, b.maxMs = math.Max(b.minMs, minMs), math.Min(b.maxMs, maxMs)
	}
	return true
}

func (b *offsetBounds) offset() ClockOffset {
	return ClockOffset{b.version, (b.minMs + b.maxMs) / 2, math.Abs(b.maxMs-b.minMs) / 2}
}

// fit makes the two passes that fit the model of the hosts: their cores and states, then their work.
func (a *analysis) fitModel(open OpenFunc, reorderMs float64) error {
	for _, pass := range []struct {
		queues bool
		finish func()
	}{{false, a.model.FitCores}, {true, a.model.FitServiceTimes}} {
		reader, err := a.newLookahead(open, reorderMs, pass.queues)
		if err != nil {
			return err
		}
		if err := reader.readAll(); err != nil {
			return err
		}
		pass.finish()
	}
	return nil
}

// merged gives the records of all sources in order of time, on the stewards' clock. Transactions come by the time
// at which they came, which is before the time of their record: they wait in a buffer as long as a client's
// patience lasts.
type recordMerger struct {
	sources         []Source
	correctors      []clockCorrector
	nextRecords     deadlinequeue.Queue[sourceRecord] // the next record of each source
	recentChecksums map[uint32]float64                // sums of transactions that came lately, and their times
	duplicates      int                               // transactions that were recorded twice, and are played once
	reorderBuffer   deadlinequeue.Queue[timedRecord]
	reorderMs       float64
}

// item of a day: a record, of a source, at its time.
type timedRecord struct {
	atMs   float64
	source string
	record *recordpb.Record
}

func mergeRecords(open OpenFunc, offsets map[string][]ClockOffset, reorderMs float64) (*recordMerger, error) {
	sources, err := open()
	if err != nil {
		return nil, err
	}
	m := &recordMerger{sources: sources, correctors: make([]clockCorrector, len(sources)), recentChecksums: map[uint32]float64{}, reorderMs: reorderMs}
	for i := range sources {
		m.correctors[i].offsets = offsets[sources[i].Name]
		m.readNext(i)
	}
	return m, nil
}

// head is the next record of a source.
type sourceRecord struct {
	source int
	record *recordpb.Record
}

func (m *recordMerger) readNext(source int) {
	record, err := m.sources[source].Next()
	if err != nil {
		return
	}
	m.correctors[source].correct(record)
	m.nextRecords.Schedule(record.At, sourceRecord{source, record})
}

// next gives the next item, and io.EOF after the last.
func (m *recordMerger) next() (timedRecord, error) {
	for {
		firstMs := m.nextRecords.Next()
		if buffered, ok := m.reorderBuffer.Pop(firstMs - m.reorderMs); ok {
			return buffered, nil
		}
		if math.IsInf(firstMs, 1) {
			return timedRecord{}, io.EOF
		}
		read, _ := m.nextRecords.Pop(firstMs)
		record := read.record
		timed := timedRecord{record.At, m.sources[read.source].Name, record}
		if request := record.GetTransaction(); request != nil {
			timed.atMs = request.Came
		}
		if !m.isDuplicate(timed) {
			m.reorderBuffer.Schedule(timed.atMs, timed)
		}
		m.readNext(read.source)
	}
}

// again tells whether a transaction was recorded before, lately.
func (m *recordMerger) isDuplicate(timed timedRecord) bool {
	if timed.record.GetTransaction() == nil {
		return false
	}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(timed.record)
	if err != nil {
		return false
	}
	checksum := record.Checksum(append(body, timed.source...))
	if _, ok := m.recentChecksums[checksum]; ok {
		m.duplicates++
		return true
	}
	m.recentChecksums[checksum] = timed.atMs
	if len(m.recentChecksums) > maxRecentChecksums {
		for checksum, atMs := range m.recentChecksums {
			if atMs < timed.atMs-m.reorderMs {
				delete(m.recentChecksums, checksum)
			}
		}
	}
	return false
}

// seenMost transactions are remembered before old ones are forgotten.
const maxRecentChecksums = 50000
