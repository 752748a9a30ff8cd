package replay

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"sort"

	"barleysail/controller"
	"barleysail/internal/deadlinequeue"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/internal/rules"
	"barleysail/replay/response"
	"barleysail/routing"
)

// Setting is what a day is replayed with.
type Settings struct {
	NewController        ControllerFactory // of a steward, by the start of its life
	Classes              []controller.RequestClass
	Limits               rules.Limits
	HealthCheckTimeoutMs float64 // ms until a probe without an answer is given up
}

// Window is a span of a day in earnings by class, for transactions that came in it.
type Window struct {
	Offered  []float64 `json:"Asked"`
	Recorded []float64 `json:"Recorded"`
	Replayed []float64 `json:"Replayed"`
}

// Outcome of a day, as it was recorded and as it was replayed.
type Outcome struct {
	FromMs               float64                  `json:"From"`
	Classes              []string                 `json:"Classes"`
	Windows              []Window                 `json:"Windows"` // of windowLength each
	Verdicts             []rules.Verdict          `json:"Verdicts"`
	Messages             int                      `json:"Messages"` // wholes and deltas sent
	Events               []Event                  `json:"Moments"`
	Attempts             int                      `json:"Tries"`
	ExtrapolatedAttempts int                      `json:"Beyond"`  // answers of hosts that are extrapolated
	UnroutedRequests     int                      `json:"AsSeen"`  // transactions of proxies without tables, taken as recorded
	OptimalityGaps       []float64                `json:"Gaps"`    // of the tables to the best, by window in which there was traffic
	ClockOffsets         map[string][]ClockOffset `json:"Offsets"` // of the proxies' clocks
	DuplicateRequests    int                      `json:"Doubled"` // transactions recorded twice, played once
}

const windowLength = 5000.0

// Replay plays a day's arrivals against the tables that its stewards now decide with a setting. List, joins, leaves,
// broken polls and the times of sums are as recorded; what hosts answer comes from a model fitted from the record.
func Simulate(open OpenFunc, set Settings) (*Outcome, error) {
	sc, err := read(open)
	if err != nil {
		return nil, err
	}
	patience := 0.0
	for _, c := range set.Classes {
		patience = math.Max(patience, c.DeadlineMs)
	}
	if err := sc.fit(open, patience+5000); err != nil {
		return nil, err
	}
	w, err := sc.ahead(open, patience+5000, true)
	if err != nil {
		return nil, err
	}
	e := &engine{set: set, scan: sc, hosts: response.NewSimulatedHosts(sc.model), journal: rules.NewEventLog(),
		lives: map[string]*life{}, proxies: map[string]*proxy{}, class: map[string]int{},
		out: &Outcome{FromMs: sc.from, ClockOffsets: map[string][]ClockOffset{}}}
	e.journal.Lean()
	e.sampled = sc.from
	e.dues.Schedule(sc.from+windowLength, e.sample)
	e.dues.Schedule(sc.from+foldEvery, e.fold)
	for i, c := range set.Classes {
		e.class[c.Name] = i
		e.out.Classes = append(e.out.Classes, c.Name)
	}
	for name, by := range sc.offsets {
		e.out.ClockOffsets[sc.proxies[name].Proxy] = by
	}
	for {
		x, err := w.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		e.until(x.at)
		if err := e.take(x); err != nil {
			return nil, err
		}
	}
	e.until(e.now + patience)
	e.out.DuplicateRequests = w.m.Doubled
	e.finish()
	return e.out, nil
}

// engine plays the day.
type engine struct {
	set     Settings
	scan    *scan
	hosts   *response.SimulatedHosts
	journal *rules.EventLog
	out     *Outcome

	now     float64
	dues    deadlinequeue.Queue[func()]
	lives   map[string]*life // by source
	proxies map[string]*proxy
	class   map[string]int
	polls   int64
	counter uint64

	listed  map[string]listedHost // by the newest list of any steward
	demand  demand
	sampled float64

	once, doubled int // transactions that must not run twice, and those that did
}

// twice is the verdict on transactions that must not run twice. A transaction is followed to its end, so it is
// known then how often it ran.
func (e *engine) twice() rules.Verdict {
	v := rules.Verdict{Rule: "no effect twice", Kept: e.doubled == 0, Margin: 1 - 2*float64(e.doubled)}
	v.Seen = fmt.Sprintf("%d of %d ran twice", e.doubled, e.once)
	return v
}

// listedHost is what the list says of a host.
type listedHost struct {
	zone  string
	ready bool
}

// life is a steward's, from its start to its end.
type life struct {
	e       *engine
	name    string
	steward *controller.Controller
	polls   map[int64]*proxy
	woken   float64 // the time for which a wake is noted
	over    bool
}

// proxy as it is replayed.
type proxy struct {
	name, zone string
	life       *life
	poll       int64 // 0: none is out
	tag        string
	tables     map[string]controller.Table
	sums       controller.ProxyStats
	since      float64
	number     int64

	going going // in the record

	ejects  int     // failures in a row after which it shuns a host
	shuns   float64 // ms
	shunned map[string]shun
	repeats map[string]bool // classes that may run twice
}

// until does all that is due by a time.
func (e *engine) until(at float64) {
	for e.dues.Next() <= at {
		e.now = math.Max(e.now, e.dues.Next())
		do, _ := e.dues.Pop(e.now)
		do()
	}
	e.now = math.Max(e.now, at)
}

func (e *engine) after(ms float64, do func()) { e.dues.Schedule(e.now+ms, do) }

func (e *engine) chance() float64 {
	e.counter++
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], e.counter*0x9e3779b97f4a7c15)
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

// take plays a recorded item.
func (e *engine) take(x *workedItem) error {
	l := e.lives[x.source]
	switch r := x.record.What.(type) {
	case *recordpb.Record_Start:
		s, err := e.set.NewController(r.Start)
		if err != nil {
			return err
		}
		l = &life{e: e, name: x.source, steward: s, polls: map[int64]*proxy{}, woken: math.Inf(1)}
		e.lives[x.source] = l
		e.dues.Schedule(e.scan.ends[x.source]+0.001, l.end)
	case *recordpb.Record_Transaction:
		e.transaction(e.scan.proxies[x.source].Proxy, e.scan.proxies[x.source].Zone, r.Transaction, x.works)
		return nil
	case *recordpb.Record_Applied:
		s := e.scan.proxies[x.source]
		e.proxy(s.Proxy, s.Zone).going.applied(r.Applied)
		return nil
	case *recordpb.Record_Published:
		if p := e.proxies[r.Published.Proxy]; p != nil {
			p.going.published(r.Published)
		}
		return nil
	}
	if l == nil || l.over {
		return nil
	}
	switch r := x.record.What.(type) {
	case *recordpb.Record_Listed:
		l.listed(r.Listed)
	case *recordpb.Record_ListFailed:
		l.steward.ObserveWatchFailure(e.now)
	case *recordpb.Record_Operate:
		l.steward.ApplyOverrides(e.now, record.Commands(r.Operate), l) // one that is now refused is refused
	case *recordpb.Record_Poll:
		p := e.proxy(r.Poll.Proxy, r.Poll.Zone)
		if p.life != l {
			p.part()
			p.life, p.tag = l, ""
		}
		if p.poll == 0 {
			p.ask(r.Poll.Rate)
		}
	case *recordpb.Record_PollGone:
		if p := e.proxies[r.PollGone.Proxy]; p != nil && p.life == l {
			p.part()
		}
	case *recordpb.Record_Leave:
		l.steward.Disconnect(e.now, r.Leave, l)
		if p := e.proxies[r.Leave]; p != nil && p.life == l {
			p.life, p.poll = nil, 0
		}
	case *recordpb.Record_Sums:
		if p := e.proxies[r.Sums.Proxy]; p != nil && p.life == l {
			p.report()
		}
	}
	l.settle()
	return nil
}

func (e *engine) proxy(name, zone string) *proxy {
	p := e.proxies[name]
	if p == nil {
		p = &proxy{name: name, zone: zone, tables: map[string]controller.Table{}, since: e.now, shunned: map[string]shun{},
			repeats: map[string]bool{}, going: going{classes: map[string]*controller.Table{}}}
		p.begin()
		e.ways(p)
		e.proxies[name] = p
	}
	return p
}

// ways are how a proxy shuns and repeats, by its own recording. Before format 3 that was not told: classes may run
// twice then unless the setting says otherwise.
func (e *engine) ways(p *proxy) {
	for _, s := range e.scan.proxies {
		if s.Proxy != p.name {
			continue
		}
		p.ejects, p.shuns = int(s.Ejects), s.Shuns
		for _, class := range s.Repeats {
			p.repeats[class] = true
		}
		for _, k := range e.set.Classes {
			if s.Format < 3 && !e.set.Limits.NonIdempotentClasses[k.Name] {
				p.repeats[k.Name] = true
			}
		}
	}
}

func (p *proxy) begin() {
	p.sums = controller.ProxyStats{Sender: "replay", Hosts: map[string]controller.HostStats{}, Demand: map[string]controller.ClassDemand{}}
}

// ask polls the proxy's steward.
func (p *proxy) ask(rate float64) {
	l := p.life
	l.e.polls++
	p.poll = l.e.polls
	l.polls[p.poll] = p
	q := controller.PollRequest{Proxy: p.name, Zone: p.zone, RequestRate: rate, WaitMs: 60000, AcceptDelta: true}
	if p.tag != "" {
		q.Tags = []string{p.tag}
	}
	if err := l.steward.Poll(l.e.now, p.poll, q, l); err != nil {
		delete(l.polls, p.poll)
		p.poll = 0
	}
}

// part breaks the proxy's way to its steward; it goes on with what it holds.
func (p *proxy) part() {
	if p.life == nil {
		return
	}
	if p.poll != 0 {
		delete(p.life.polls, p.poll)
		p.life.steward.CancelPoll(p.life.e.now, p.name, p.poll)
		p.poll = 0
	}
	p.life.e.journal.LogPollResponse(p.life.e.now, p.name, p.life.name, 0, "", "", "", nil)
	p.life = nil
}

// report gives the steward what the proxy met since its last report.
func (p *proxy) report() {
	e, u := p.life.e, p.sums
	span := math.Max(e.now-p.since, 1)
	p.number++
	u.Sequence = p.number
	for host, v := range u.Hosts {
		if good := v.Attempts - v.Failed; good > 0 {
			v.MeanLatencyMs /= float64(good)
		}
		v.WindowMs = span
		u.Hosts[host] = v
	}
	for class, v := range u.Demand {
		v.WindowMs = span
		u.Demand[class] = v
	}
	p.begin()
	p.since = e.now
	p.life.steward.ObserveProxyStats(e.now, p.name, u) // one that names a host no longer listed is refused, as in service
}

func (l *life) listed(list *recordpb.Listed) {
	entries, seen := record.Endpoints(list), map[string]rules.Listed{}
	l.e.listed = map[string]listedHost{}
	for _, x := range entries {
		ready := x.State == routing.Ready
		l.e.listed[x.Host], seen[x.Host] = listedHost{x.Zone, ready}, rules.Listed{Ready: ready, Started: x.StartedMs}
		fit := l.e.scan.model.Parameters(x.Host)
		l.e.journal.LogCapacity(x.Host, float64(fit.Cores)/fit.ServiceTimeFactor)
	}
	l.e.journal.LogEndpoints(l.e.now, seen)
	l.steward.SetEndpoints(l.e.now, entries)
}

// settle lets the steward do what is due, and notes when it is next.
func (l *life) settle() {
	if l.over {
		return
	}
	if l.steward.NextMs() <= l.e.now {
		l.steward.Advance(l.e.now, l)
	}
	next := math.Max(l.steward.NextMs(), l.e.now+0.2)
	if next < l.woken && !math.IsInf(next, 1) {
		l.woken = next
		l.e.dues.Schedule(next, func() {
			l.woken = math.Inf(1)
			l.settle()
		})
	}
}

// end is that of the steward's record: its proxies go on alone.
func (l *life) end() {
	l.over = true
	for _, p := range l.sorted() {
		p.part()
	}
}

func (l *life) sorted() []*proxy {
	var all []*proxy
	for _, p := range l.e.proxies {
		if p.life == l {
			all = append(all, p)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].name < all[j].name })
	return all
}

// The steward.Out of a life.

func (l *life) Respond(poll int64, a controller.Response) {
	p := l.polls[poll]
	delete(l.polls, poll)
	if p == nil || p.poll != poll {
		return
	}
	if a.Kind != controller.NotModified {
		l.e.out.Messages++
	}
	l.e.after(math.Max(l.e.scan.late, 0.5), func() {
		if p.life == l && p.poll == poll && !l.over {
			p.take(a)
			l.settle()
		}
	})
}

func (l *life) CheckHealth(host string) {
	answers, there := l.e.scan.model.Liveness(host, l.e.now)
	wait, how := 1.0, routing.Healthy
	if !answers && there {
		wait, how = l.e.set.HealthCheckTimeoutMs, routing.TimedOut
	} else if !answers {
		how = routing.Unreachable
	}
	l.e.after(wait, func() {
		if !l.over {
			l.steward.ObserveHealthCheck(l.e.now, host, how, routing.UnknownLoad)
			l.settle()
		}
	})
}

func (l *life) WatchEndpoints() {}

func (l *life) Log(text string) {
	if len(l.e.out.Events) < momentsKept {
		l.e.out.Events = append(l.e.out.Events, Event{l.e.now, l.name + ": " + text})
	}
}

// take lets the proxy go by an answer, and poll again.
func (p *proxy) take(a controller.Response) {
	status := 304
	switch a.Kind {
	case controller.Snapshot:
		status = 200
	case controller.Delta:
		status = 226
	}
	p.life.e.journal.LogPollResponse(p.life.e.now, p.name, p.life.name, status, a.Tag, a.BaseTag, p.tag, a.Body())
	if a.Kind != controller.NotModified {
		for _, t := range a.Tables() {
			if old, ok := p.tables[t.Class]; ok && !t.Assigned {
				t.Hosts, t.Weights, t.Assigned = old.Hosts, old.Weights, old.Assigned
			}
			p.tables[t.Class] = t
		}
	}
	p.tag = a.Tag
	p.ask(0)
}

// foldEvery ms the rules are reckoned over what the journal holds, so that it stays as small as a minute of the day.
const foldEvery = 60000.0

func (e *engine) fold() {
	e.journal.Compact(e.set.Limits, e.now)
	e.after(foldEvery, e.fold)
}

func (e *engine) finish() {
	e.out.Attempts, e.out.ExtrapolatedAttempts = e.hosts.Attempts, e.hosts.Extrapolated
	e.out.Verdicts = e.journal.Check(e.set.Limits, e.now)
	e.out.Verdicts[1] = e.twice() // the journal is lean, and holds a part only
}
