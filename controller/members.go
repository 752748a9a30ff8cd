package controller

import (
	"fmt"
	"math"
	"strings"
	"unicode"

	"barleysail/intake"
	"barleysail/internal/deadlinequeue"
	"barleysail/internal/interner"
)

// member is a proxy that has joined.
type member struct {
	name     string
	index    int
	zone     int
	tables   []int // by class, -1 where none is bound
	versions []version
	acked    int64    // the newest version that it has polled with
	poll     *poll    // held now
	leaves   float64  // where no poll is held
	noted    float64  // when expire looks at it next
	message  *message // waiting in the channel
	sent     []float64
	senders  intake.Reporters // of its sums
	clock    intake.Clock     // theirs
	twice    bool             // two of them are at work
	pushed   []float64        // when polls of it took the place of one that was held
	rates    []float64        // transactions a second that came lately, by class
}

// version is a numbered state of a proxy's tables. Numbers are never given twice in a steward's life, so a
// tag of a proxy that left and came back names no version of its new stay.
type version struct {
	number int64
	view   *TableSet
	marks  []mark
	alias  string // the tag it has from an earlier life; empty: that of its number
}

// poll is held until the tables change or its time is over.
type poll struct {
	id    int64
	base  int64 // the version it names, 0 if none that is known
	delta bool
	until float64
}

// members are the joined proxies, by name and in the order in which their polls and stays end.
type members struct {
	byName  map[string]*member
	index   interner.Interner
	byIndex []*member
	number  int64 // of the newest version given out
	held    int
	dues    deadlinequeue.Queue[string]
}

// mostProxies bounds the joined proxies: tables of their own are numbered below decide.AllTables.
const mostProxies = 60000

func newMembers() members {
	return members{byName: map[string]*member{}, index: interner.New()}
}

// PollRequest is what a poll asks.
type PollRequest struct {
	Proxy, Zone string
	RequestRate float64       // transactions a second that the proxy usually gets; 0: not told
	Tags        []string      // entity tags that the proxy holds, without quotes
	AnyTag      bool          // whatever there is will do: If-None-Match: *
	AcceptDelta bool          // a merge patch onto the tagged version will do
	WaitMs      float64       // the poll may be held so long; below 0: not at all
	Cached      *CachedTables // what the proxy holds, where it tells; used where the steward does not know it
}

// CachedTables is what a proxy holds, under the tag that another steward gave it.
type CachedTables struct {
	Tag    string
	Tables []Table
}

func checkName(field, name string) error {
	if name == "" || len(name) > 128 {
		return refuse(field, "a name has 1 to 128 characters")
	}
	for _, r := range name {
		if !unicode.IsPrint(r) || strings.ContainsRune(`/\" `, r) || r == unicode.ReplacementChar {
			return refuse(field, "%q may not stand in a name", r)
		}
	}
	return nil
}

// Poll joins the proxy if it has not joined, notes what the tag acknowledges, and answers by out: at once, or
// later under the poll's id. Of two polls for a proxy the later one stays; the earlier is answered at once.
func (s *Controller) Poll(now float64, id int64, q PollRequest, out Effects) error {
	s.now, s.out = now, out
	if err := checkName("proxy", q.Proxy); err != nil {
		return err
	}
	z, ok := s.zone[q.Zone]
	if !ok {
		return refuse("zone", "%q is not among the zones %s", q.Zone, strings.Join(s.fleet.Zones, ", "))
	}
	if !(q.RequestRate >= 0 && q.RequestRate <= 1e9) {
		return refuse("rate", "%g is not from 0 to 1e9", q.RequestRate)
	}
	if err := s.checkOffer(q.Cached); err != nil {
		return err
	}
	m := s.members.byName[q.Proxy]
	if m != nil && m.zone != z {
		s.leave(m)
		m = nil
	}
	if m == nil {
		if len(s.members.byName) >= mostProxies {
			return refuse("proxy", "%d proxies have joined, no more can", mostProxies)
		}
		m = s.join(q.Proxy, z, s.recalledRate(q.Proxy, q.RequestRate))
		s.recallProxy(m, q.Tags)
	}
	if o := q.Cached; o != nil && len(m.versions) == 0 {
		s.inherit(m, o.Tag, s.offeredView(o.Tables))
	}
	if m.poll != nil {
		if !m.mayPush(now) {
			return ErrDuplicateProxy
		}
		s.answer(m, m.poll)
	}
	base := s.acknowledge(m, q.Tags)
	if n := len(m.versions); q.AnyTag && n > 0 {
		base = m.versions[n-1].number
	}
	p := &poll{id: id, base: base, delta: q.AcceptDelta, until: now + math.Min(q.WaitMs, s.polls.MaxPollWaitMs)}
	if len(m.versions) == 0 {
		p.until = now + math.Min(math.Max(q.WaitMs, s.polls.MinFirstPollWaitMs), s.polls.MaxPollWaitMs)
	} else if q.WaitMs < 0 || base != m.versions[len(m.versions)-1].number {
		p.until = now
	}
	m.poll, m.leaves = p, math.Inf(1)
	s.members.held++
	if p.until <= now {
		s.answer(m, p)
	} else {
		s.members.watch(m, p.until)
	}
	return nil
}

// ErrDuplicateProxy answers a poll that would take the place of one that is held, where that has come too often: two proxies poll
// under one name. The one that holds a poll stays.
var ErrDuplicateProxy = fmt.Errorf("another proxy polls under this name")

// Polls that take the place of a held one are answered so often, in so many ms: a proxy that lost its connection needs
// one, two proxies under one name would else answer each other for ever.
const (
	pushesMost = 10
	pushesOver = 10000.0
)

func (m *member) mayPush(now float64) bool {
	for len(m.pushed) > 0 && m.pushed[0] < now-pushesOver {
		m.pushed = m.pushed[1:]
	}
	if len(m.pushed) >= pushesMost {
		return false
	}
	m.pushed = append(m.pushed, now)
	return true
}

// CancelPoll notes that nobody waits for a poll's answer any more.
func (s *Controller) CancelPoll(now float64, proxy string, id int64) {
	s.now = now
	if m := s.members.byName[proxy]; m != nil && m.poll != nil && m.poll.id == id {
		s.unhold(m)
	}
}

// Disconnect lets a proxy leave. It tells whether it had joined.
func (s *Controller) Disconnect(now float64, proxy string, out Effects) bool {
	s.now, s.out = now, out
	m := s.members.byName[proxy]
	if m != nil {
		s.leave(m)
	}
	return m != nil
}

func (s *Controller) join(name string, zone int, rate float64) *member {
	ms := &s.members
	m := &member{name: name, index: ms.index.Index(name), zone: zone, rates: make([]float64, len(s.classes)), leaves: math.Inf(1), noted: math.Inf(1)}
	for range s.classes {
		m.tables = append(m.tables, -1)
	}
	for len(ms.byIndex) <= m.index {
		ms.byIndex = append(ms.byIndex, nil)
	}
	ms.byName[name], ms.byIndex[m.index] = m, m
	s.module.ConnectProxy(m.index, zone, rate)
	s.event("joined", name+" of "+s.fleet.Zones[zone])
	s.round.soon(s.now, s.polls.MinRoundIntervalMs)
	return m
}

func (s *Controller) leave(m *member) {
	if m.poll != nil {
		s.answer(m, m.poll)
	}
	s.channel.drop(m)
	s.intake.queue.Forget(m.name)
	s.event("left", m.name)
	s.module.DisconnectProxy(m.index)
	s.module.ForgetProxy(m.index)
	s.tables.forget(s.module.SubsetTable(m.index))
	delete(s.members.byName, m.name)
	s.members.byIndex[m.index] = nil
	s.members.index.Release(m.name)
	s.round.soon(s.now, s.polls.MinRoundIntervalMs)
}

// expire answers polls whose time is over, and lets proxies leave that were not heard.
func (s *Controller) expire() {
	for {
		name, ok := s.members.dues.Pop(s.now)
		if !ok {
			return
		}
		m := s.members.byName[name]
		if m == nil {
			continue
		}
		m.noted = math.Inf(1)
		if m.poll != nil && m.poll.until <= s.now {
			s.answer(m, m.poll)
		} else if m.poll != nil {
			s.members.watch(m, m.poll.until)
		} else if m.leaves <= s.now {
			s.leave(m)
		} else {
			s.members.watch(m, m.leaves)
		}
	}
}

// watch has expire look at a proxy at a time, if it does not do so sooner anyway. A proxy has one such time,
// however often it polls.
func (ms *members) watch(m *member, at float64) {
	if at < m.noted {
		m.noted = at
		ms.dues.Schedule(at, m.name)
	}
}

func (ms *members) next() float64 { return ms.dues.Next() }

// unhold ends the holding of a poll; from then on the proxy has to poll again.
func (s *Controller) unhold(m *member) {
	m.poll = nil
	s.members.held--
	m.leaves = s.now + s.polls.SessionTimeoutMs
	s.members.watch(m, m.leaves)
}

// answer gives a poll the newest version: nothing if it has that already, a delta if its base is in the
// history and it takes one, else the whole.
func (s *Controller) answer(m *member, p *poll) {
	s.unhold(m)
	if len(m.versions) == 0 { // bound to no table yet
		s.publish(m, nil)
	}
	newest := m.versions[len(m.versions)-1]
	a := Response{Proxy: m.name, Tag: s.tagOf(&newest), view: newest.view, Kind: Snapshot}
	if p.base == newest.number {
		a.Kind = NotModified
	} else if base := m.version(p.base); base != nil && p.delta {
		a.Kind, a.BaseTag, a.from = Delta, s.tagOf(base), base.view
	}
	s.out.Respond(p.id, a)
}

// version finds a version in the history.
func (m *member) version(number int64) *version {
	for i := range m.versions {
		if m.versions[i].number == number {
			return &m.versions[i]
		}
	}
	return nil
}

// publish makes what the tables now hold for a proxy its newest version.
func (s *Controller) publish(m *member, marks []mark) {
	s.members.number++
	m.versions = append(m.versions, version{number: s.members.number, view: s.view(m), marks: marks})
	for len(m.versions) > s.polls.VersionHistory {
		m.versions[1].marks = append(m.versions[0].marks, m.versions[1].marks...)
		m.versions = append(m.versions[:0], m.versions[1:]...)
	}
	if m.poll != nil {
		s.answer(m, m.poll)
	}
}

// ReleasePolls answers all polls that are held with what there is, as before the end of a steward.
func (s *Controller) ReleasePolls(now float64, out Effects) {
	s.now, s.out = now, out
	for _, m := range s.members.byIndex {
		if m != nil && m.poll != nil {
			s.answer(m, m.poll)
		}
	}
}
