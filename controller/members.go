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

// session is a proxy that has joined.
type session struct {
	proxy              string
	index              int
	zone               int
	tableByClass       []int // by class, -1 where none is bound
	versions           []version
	ackedVersion       int64          // the newest version that it has polled with
	pendingPoll        *pendingPoll   // held now
	expiresMs          float64        // where no poll is held
	checkAtMs          float64        // when expire looks at it next
	queuedMessage      *updateMessage // waiting in the channel
	sentMs             []float64
	reporters          intake.Reporters // of its sums
	reporterClock      intake.Clock     // theirs
	duplicateReporters bool             // two of them are at work
	replacedPollsMs    []float64        // when polls of it took the place of one that was held
	requestRates       []float64        // transactions a second that came lately, by class
}

// version is a numbered state of a proxy's tables. Numbers are never given twice in a steward's life, so a
// tag of a proxy that left and came back names no version of its new stay.
type version struct {
	number       int64
	tables       *tableSet
	stamps       []versionStamp
	inheritedTag string // the tag it has from an earlier life; empty: that of its number
}

// pendingPoll is held until the tables change or its time is over.
type pendingPoll struct {
	id          int64
	baseVersion int64 // the version it names, 0 if none that is known
	acceptDelta bool
	deadlineMs  float64
}

// sessionStore are the joined proxies, by name and in the order in which their polls and stays end.
type sessionStore struct {
	byProxy      map[string]*session
	indices      interner.Interner
	byIndex      []*session
	lastVersion  int64 // of the newest version given out
	pendingPolls int
	checks       deadlinequeue.Queue[string]
}

// maxProxies bounds the joined proxies: tables of their own are numbered below decide.AllTables.
const maxProxies = 60000

func newMembers() sessionStore {
	return sessionStore{byProxy: map[string]*session{}, indices: interner.New()}
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
		return invalidField(field, "a name has 1 to 128 characters")
	}
	for _, r := range name {
		if !unicode.IsPrint(r) || strings.ContainsRune(`/\" `, r) || r == unicode.ReplacementChar {
			return invalidField(field, "%q may not stand in a name", r)
		}
	}
	return nil
}

// Poll joins the proxy if it has not joined, notes what the tag acknowledges, and answers by out: at once, or
// later under the poll's id. Of two polls for a proxy the later one stays; the earlier is answered at once.
func (s *Controller) Poll(now float64, id int64, q PollRequest, out Effects) error {
	s.nowMs, s.effects = now, out
	if err := checkName("proxy", q.Proxy); err != nil {
		return err
	}
	z, ok := s.zoneIndex[q.Zone]
	if !ok {
		return invalidField("zone", "%q is not among the zones %s", q.Zone, strings.Join(s.deployment.Zones, ", "))
	}
	if !(q.RequestRate >= 0 && q.RequestRate <= 1e9) {
		return invalidField("rate", "%g is not from 0 to 1e9", q.RequestRate)
	}
	if err := s.checkCachedTables(q.Cached); err != nil {
		return err
	}
	m := s.sessions.byProxy[q.Proxy]
	if m != nil && m.zone != z {
		s.disconnect(m)
		m = nil
	}
	if m == nil {
		if len(s.sessions.byProxy) >= maxProxies {
			return invalidField("proxy", "%d proxies have joined, no more can", maxProxies)
		}
		m = s.connect(q.Proxy, z, s.restoredRate(q.Proxy, q.RequestRate))
		s.restoreProxy(m, q.Tags)
	}
	if o := q.Cached; o != nil && len(m.versions) == 0 {
		s.carryOver(m, o.Tag, s.cachedTableSet(o.Tables))
	}
	if m.pendingPoll != nil {
		if !m.mayReplacePoll(now) {
			return ErrDuplicateProxy
		}
		s.respond(m, m.pendingPoll)
	}
	base := s.acknowledge(m, q.Tags)
	if n := len(m.versions); q.AnyTag && n > 0 {
		base = m.versions[n-1].number
	}
	p := &pendingPoll{id: id, baseVersion: base, acceptDelta: q.AcceptDelta, deadlineMs: now + math.Min(q.WaitMs, s.settings.MaxPollWaitMs)}
	if len(m.versions) == 0 {
		p.deadlineMs = now + math.Min(math.Max(q.WaitMs, s.settings.MinFirstPollWaitMs), s.settings.MaxPollWaitMs)
	} else if q.WaitMs < 0 || base != m.versions[len(m.versions)-1].number {
		p.deadlineMs = now
	}
	m.pendingPoll, m.expiresMs = p, math.Inf(1)
	s.sessions.pendingPolls++
	if p.deadlineMs <= now {
		s.respond(m, p)
	} else {
		s.sessions.scheduleCheck(m, p.deadlineMs)
	}
	return nil
}

// ErrDuplicateProxy answers a poll that would take the place of one that is held, where that has come too often: two proxies poll
// under one name. The one that holds a poll stays.
var ErrDuplicateProxy = fmt.Errorf("another proxy polls under this name")

// Polls that take the place of a held one are answered so often, in so many ms: a proxy that lost its connection needs
// one, two proxies under one name would else answer each other for ever.
const (
	maxPollReplacements     = 10
	pollReplacementWindowMs = 10000.0
)

func (m *session) mayReplacePoll(now float64) bool {
	for len(m.replacedPollsMs) > 0 && m.replacedPollsMs[0] < now-pollReplacementWindowMs {
		m.replacedPollsMs = m.replacedPollsMs[1:]
	}
	if len(m.replacedPollsMs) >= maxPollReplacements {
		return false
	}
	m.replacedPollsMs = append(m.replacedPollsMs, now)
	return true
}

// CancelPoll notes that nobody waits for a poll's answer any more.
func (s *Controller) CancelPoll(now float64, proxy string, id int64) {
	s.nowMs = now
	if m := s.sessions.byProxy[proxy]; m != nil && m.pendingPoll != nil && m.pendingPoll.id == id {
		s.releasePoll(m)
	}
}

// Disconnect lets a proxy leave. It tells whether it had joined.
func (s *Controller) Disconnect(now float64, proxy string, out Effects) bool {
	s.nowMs, s.effects = now, out
	m := s.sessions.byProxy[proxy]
	if m != nil {
		s.disconnect(m)
	}
	return m != nil
}

func (s *Controller) connect(name string, zone int, rate float64) *session {
	ms := &s.sessions
	m := &session{proxy: name, index: ms.indices.Index(name), zone: zone, requestRates: make([]float64, len(s.classes)), expiresMs: math.Inf(1), checkAtMs: math.Inf(1)}
	for range s.classes {
		m.tableByClass = append(m.tableByClass, -1)
	}
	for len(ms.byIndex) <= m.index {
		ms.byIndex = append(ms.byIndex, nil)
	}
	ms.byProxy[name], ms.byIndex[m.index] = m, m
	s.balancer.ConnectProxy(m.index, zone, rate)
	s.recordEvent("joined", name+" of "+s.deployment.Zones[zone])
	s.scheduler.request(s.nowMs, s.settings.MinRoundIntervalMs)
	return m
}

func (s *Controller) disconnect(m *session) {
	if m.pendingPoll != nil {
		s.respond(m, m.pendingPoll)
	}
	s.channel.drop(m)
	s.ingest.queue.Forget(m.proxy)
	s.recordEvent("left", m.proxy)
	s.balancer.DisconnectProxy(m.index)
	s.balancer.ForgetProxy(m.index)
	s.tables.forget(s.balancer.SubsetTable(m.index))
	delete(s.sessions.byProxy, m.proxy)
	s.sessions.byIndex[m.index] = nil
	s.sessions.indices.Release(m.proxy)
	s.scheduler.request(s.nowMs, s.settings.MinRoundIntervalMs)
}

// expirePolls answers polls whose time is over, and lets proxies leave that were not heard.
func (s *Controller) expirePolls() {
	for {
		name, ok := s.sessions.checks.Pop(s.nowMs)
		if !ok {
			return
		}
		m := s.sessions.byProxy[name]
		if m == nil {
			continue
		}
		m.checkAtMs = math.Inf(1)
		if m.pendingPoll != nil && m.pendingPoll.deadlineMs <= s.nowMs {
			s.respond(m, m.pendingPoll)
		} else if m.pendingPoll != nil {
			s.sessions.scheduleCheck(m, m.pendingPoll.deadlineMs)
		} else if m.expiresMs <= s.nowMs {
			s.disconnect(m)
		} else {
			s.sessions.scheduleCheck(m, m.expiresMs)
		}
	}
}

// scheduleCheck has expire look at a proxy at a time, if it does not do so sooner anyway. A proxy has one such time,
// however often it polls.
func (ms *sessionStore) scheduleCheck(m *session, at float64) {
	if at < m.checkAtMs {
		m.checkAtMs = at
		ms.checks.Schedule(at, m.proxy)
	}
}

func (ms *sessionStore) nextMs() float64 { return ms.checks.Next() }

// releasePoll ends the holding of a poll; from then on the proxy has to poll again.
func (s *Controller) releasePoll(m *session) {
	m.pendingPoll = nil
	s.sessions.pendingPolls--
	m.expiresMs = s.nowMs + s.settings.SessionTimeoutMs
	s.sessions.scheduleCheck(m, m.expiresMs)
}

// respond gives a poll the newest version: nothing if it has that already, a delta if its base is in the
// history and it takes one, else the whole.
func (s *Controller) respond(m *session, p *pendingPoll) {
	s.releasePoll(m)
	if len(m.versions) == 0 { // bound to no table yet
		s.publish(m, nil)
	}
	newest := m.versions[len(m.versions)-1]
	a := Response{Proxy: m.proxy, Tag: s.tagOf(&newest), view: newest.tables, Kind: Snapshot}
	if p.baseVersion == newest.number {
		a.Kind = NotModified
	} else if base := m.version(p.baseVersion); base != nil && p.acceptDelta {
		a.Kind, a.BaseTag, a.from = Delta, s.tagOf(base), base.tables
	}
	s.effects.Respond(p.id, a)
}

// version finds a version in the history.
func (m *session) version(number int64) *version {
	for i := range m.versions {
		if m.versions[i].number == number {
			return &m.versions[i]
		}
	}
	return nil
}

// publish makes what the tables now hold for a proxy its newest version.
func (s *Controller) publish(m *session, marks []versionStamp) {
	s.sessions.lastVersion++
	m.versions = append(m.versions, version{number: s.sessions.lastVersion, tables: s.tableSetOf(m), stamps: marks})
	for len(m.versions) > s.settings.VersionHistory {
		m.versions[1].stamps = append(m.versions[0].stamps, m.versions[1].stamps...)
		m.versions = append(m.versions[:0], m.versions[1:]...)
	}
	if m.pendingPoll != nil {
		s.respond(m, m.pendingPoll)
	}
}

// ReleasePolls answers all polls that are held with what there is, as before the end of a steward.
func (s *Controller) ReleasePolls(now float64, out Effects) {
	s.nowMs, s.effects = now, out
	for _, m := range s.sessions.byIndex {
		if m != nil && m.pendingPoll != nil {
			s.respond(m, m.pendingPoll)
		}
	}
}
