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

// Source is one recording of a replay: that of a controller's process, or that of a proxy.
type Source struct {
	Name string
	Next NextFunc
}

// OpenFunc opens all recordings of a replay at their beginnings. It is called once for each pass over them.
type OpenFunc func() ([]Source, error)

// ClockOffset is the difference that is added to the times of a proxy's clock to get those of the controllers' clock.
// A clock that was adjusted during the recording has several offsets, each valid from a table version on.
type ClockOffset struct {
	FromVersion string  `json:"Version"`
	OffsetMs    float64 `json:"By"`
	ErrorMs     float64 `json:"Within"` // largest error of OffsetMs, in either direction
}

// clockCorrector converts the times of a proxy's records to the controllers' clock, in the order in which the records
// were written.
type clockCorrector struct {
	offsets []ClockOffset
	current int
}

func (c *clockCorrector) correct(record *recordpb.Record) {
	if len(c.offsets) == 0 {
		return
	}
	if tag := record.GetApplied(); tag != "" && c.current+1 < len(c.offsets) &&
		tag == c.offsets[c.current+1].FromVersion {
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

// analysis is the result of the first passes over the recordings.
type analysis struct {
	starts       map[string]*recordpb.Start // by source
	proxyStarts  map[string]*recordpb.ProxyStart
	fromMs       float64
	endMs        map[string]float64       // time of the last record, by source
	clockOffsets map[string][]ClockOffset // by source, of proxies
	pollDelayMs  float64                  // mean delay between a response and the next poll with its tag
	model        *response.Model
	reportsLoad  bool // whether hosts reported their load
}

// forEachRecord visits all records, one recording after the other.
func forEachRecord(open OpenFunc, visit func(name string, record *recordpb.Record) error) error {
	sources, err := open()
	if err != nil {
		return err
	}
	for _, source := range sources {
		for {
			record, err := source.Next()
			if err != nil {
				break // a truncated end: the records before it are used
			}
			if err := visit(source.Name, record); err != nil {
				return fmt.Errorf("%s: %w", source.Name, err)
			}
		}
	}
	return nil
}

// analyze makes the first pass: it estimates the clock offsets, and collects the listed capacities of the hosts and
// the latencies of the request classes.
func analyze(open OpenFunc) (*analysis, error) {
	a := &analysis{
		starts:       map[string]*recordpb.Start{},
		proxyStarts:  map[string]*recordpb.ProxyStart{},
		fromMs:       math.Inf(1),
		endMs:        map[string]float64{},
		clockOffsets: map[string][]ClockOffset{},
	}
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
			// The first time counts: a response without changes repeats the tag.
			times.addFirst(times.published, what.Published.Tag, record.At)
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
		return nil, errors.New("there is no recording of a proxy, so the requests are unknown")
	}
	a.estimateClockOffsets(times.published, times.polled, times.applied)
	model.SetStart(a.fromMs)
	a.model = model
	return a, nil
}

// versionTimes are the times at which table versions were published, applied and polled with, by tag. When the limit
// is exceeded only every second version is kept, then every fourth, and so on; the selection by a hash of the tag
// keeps the same versions in all three.
type versionTimes struct {
	published, polled map[string]float64
	applied           map[string]map[string]float64 // by source and tag
	keepOneIn         uint32
	count, limit      int
}

// maxVersionTimes is the largest number of times that are kept.
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

// estimateClockOffsets estimates the clock offset of each proxy. A version is published, then applied, then polled
// with. The controller's time of the poll is never before the proxy's time of applying, which is never before the
// controller's time of publishing, so each version bounds the offset from both sides. The estimate is the middle of
// the interval that all versions allow. Where a version's bounds exclude those of the versions before, the clock was
// adjusted between them.
func (a *analysis) estimateClockOffsets(published, polled map[string]float64, applied map[string]map[string]float64) {
	pollDelayMs, versions := 0.0, 0
	for _, proxy := range slices.Sorted(maps.Keys(applied)) {
		appliedMs := applied[proxy]
		ordered := slices.Sorted(maps.Keys(appliedMs))
		slices.SortStableFunc(ordered, func(first, second string) int {
			return cmp.Compare(published[first], published[second])
		})
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

// offsetBounds is the interval of a clock's offset that the versions so far allow.
type offsetBounds struct {
	version      string
	minMs, maxMs float64
	versions     int
}

// clockSlackMs is the tolerance of the bounds: an event is recorded shortly after it happens.
const clockSlackMs = 2.0

// narrow intersects the bounds with those of another version. It returns false, without a change, if the
// intersection is empty.
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

// fitModel makes the two passes that fit the response-time model: the first fits the cores and states of the hosts,
// the second their service times.
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

// recordMerger merges the records of all sources in order of time, on the controllers' clock. The record of a request
// is written when the request ends but is ordered by its arrival, so records are held in a buffer until no earlier one
// can follow.
type recordMerger struct {
	sources         []Source
	correctors      []clockCorrector
	nextRecords     deadlinequeue.Queue[sourceRecord] // next record of each source
	recentChecksums map[uint32]float64                // times of recent requests, by the checksum of their record
	duplicates      int                               // requests that were recorded twice, and are replayed once
	reorderBuffer   deadlinequeue.Queue[timedRecord]
	reorderMs       float64
}

// timedRecord is a record with its source, at the time by which it is ordered.
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
	m := &recordMerger{
		sources:         sources,
		correctors:      make([]clockCorrector, len(sources)),
		recentChecksums: map[uint32]float64{},
		reorderMs:       reorderMs,
	}
	for i := range sources {
		m.correctors[i].offsets = offsets[sources[i].Name]
		m.readNext(i)
	}
	return m, nil
}

// sourceRecord is the next record of a source.
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

// next returns the next record, and io.EOF after the last.
func (m *recordMerger) next() (timedRecord, error) {
	for {
		firstMs := m.nextRecords.NextDueMs()
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

// isDuplicate reports whether the same request was recorded before, at least within the reorder time.
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

// maxRecentChecksums is the number of checksums above which old ones are removed.
const maxRecentChecksums = 50000
