package controller

import (
	"math"
	"strings"
)

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

// pendingPoll is held until the tables change or its time is over.
type pendingPoll struct {
	id          int64
	baseVersion int64 // the version it names, 0 if none that is known
	acceptDelta bool
	deadlineMs  float64
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

// ReleasePolls answers all polls that are held with what there is, as before the end of a steward.
func (s *Controller) ReleasePolls(now float64, out Effects) {
	s.nowMs, s.effects = now, out
	for _, m := range s.sessions.byIndex {
		if m != nil && m.pendingPoll != nil {
			s.respond(m, m.pendingPoll)
		}
	}
}

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
