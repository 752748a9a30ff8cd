package controller

import (
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

// scheduleCheck has expire look at a proxy at a time, if it does not do so sooner anyway. A proxy has one such time,
// however often it polls.
func (ms *sessionStore) scheduleCheck(m *session, at float64) {
	if at < m.checkAtMs {
		m.checkAtMs = at
		ms.checks.Schedule(at, m.proxy)
	}
}

func (ms *sessionStore) nextMs() float64 { return ms.checks.Next() }

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

// Disconnect lets a proxy leave. It tells whether it had joined.
func (s *Controller) Disconnect(now float64, proxy string, out Effects) bool {
	s.nowMs, s.effects = now, out
	m := s.sessions.byProxy[proxy]
	if m != nil {
		s.disconnect(m)
	}
	return m != nil
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
