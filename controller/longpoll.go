package controller

import (
	"math"
	"strings"
)

// maxRequestRate bounds the request rate that a proxy may state, in requests a second.
const maxRequestRate = 1e9

// PollRequest is a proxy's poll for its tables.
type PollRequest struct {
	Proxy, Zone string
	RequestRate float64       // usual request rate of the proxy, in requests per second; 0: not given
	Tags        []string      // entity tags of the versions that the proxy holds, without quotes
	AnyTag      bool          // any version matches (If-None-Match: *)
	AcceptDelta bool          // the proxy accepts a merge patch onto a tagged version
	WaitMs      float64       // longest time for which the poll may be pending; below 0: respond at once
	Cached      *CachedTables // tables that the proxy holds; nil: not given. Only used if it has no version here yet.
}

// CachedTables are the tables that a proxy holds, under the tag that another controller gave them.
type CachedTables struct {
	Tag    string
	Tables []Table
}

// pendingPoll is a poll that gets its response when the tables change or its wait is over.
type pendingPoll struct {
	id          int64
	baseVersion int64 // version that the proxy holds; 0: its tags name no known version
	acceptDelta bool
	deadlineMs  float64 // when the wait is over
}

// Poll handles a proxy's long poll. It starts a session if the proxy has none, processes the acknowledgement in the
// tags, and responds through effects, at once or later, by the poll's id. A proxy has at most one pending poll: a new
// one replaces it, and the previous one gets its response at once. The error is a *FieldError for an invalid field, or
// ErrDuplicateProxy.
func (c *Controller) Poll(nowMs float64, id int64, request PollRequest, effects Effects) error {
	c.nowMs = nowMs
	c.effects = effects
	if err := c.checkPoll(request); err != nil {
		return err
	}
	session, err := c.sessionOf(request)
	if err != nil {
		return err
	}
	if cached := request.Cached; cached != nil && len(session.versions) == 0 {
		c.carryOver(session, cached.Tag, c.cachedTableSet(cached.Tables))
	}
	if session.pendingPoll != nil {
		if !session.mayReplacePoll(nowMs) {
			return ErrDuplicateProxy
		}
		c.respond(session, session.pendingPoll)
	}
	poll := c.newPoll(session, id, request)
	session.pendingPoll = poll
	session.expiresMs = math.Inf(1)
	c.sessions.pendingPolls++
	if poll.deadlineMs <= nowMs {
		c.respond(session, poll)
	} else {
		c.sessions.scheduleCheck(session, poll.deadlineMs)
	}
	return nil
}

// checkPoll returns a *FieldError for the first invalid field of a poll.
func (c *Controller) checkPoll(request PollRequest) error {
	if err := checkName("proxy", request.Proxy); err != nil {
		return err
	}
	if _, ok := c.zoneIndex[request.Zone]; !ok {
		zones := strings.Join(c.deployment.Zones, ", ")
		return invalidField("zone", "%q is not among the zones %s", request.Zone, zones)
	}
	if !(request.RequestRate >= 0 && request.RequestRate <= maxRequestRate) {
		return invalidField("rate", "%g is not from 0 to 1e9", request.RequestRate)
	}
	return c.checkCachedTables(request.Cached)
}

// sessionOf returns the session of the proxy that polls. A proxy that has none, or that has moved to another zone, is
// connected. The error is a *FieldError if there are too many proxies.
func (c *Controller) sessionOf(request PollRequest) (*proxySession, error) {
	zone := c.zoneIndex[request.Zone]
	existing := c.sessions.byProxy[request.Proxy]
	if existing != nil && existing.zone == zone {
		return existing, nil
	}
	if existing != nil {
		c.disconnect(existing)
	}
	if len(c.sessions.byProxy) >= maxProxies {
		return nil, invalidField("proxy", "%d proxies have joined, no more can", maxProxies)
	}
	connected := c.connect(request.Proxy, zone, c.restoredRate(request.Proxy, request.RequestRate))
	c.restoreProxy(connected, request.Tags)
	return connected, nil
}

// newPoll processes the acknowledgement of a poll, and returns the poll with its deadline.
func (c *Controller) newPoll(session *proxySession, id int64, request PollRequest) *pendingPoll {
	base := c.acknowledge(session, request.Tags)
	newest := session.newest()
	if request.AnyTag && newest != nil {
		base = newest.number
	}
	waitMs := request.WaitMs
	if newest == nil {
		waitMs = math.Max(waitMs, c.settings.MinFirstPollWaitMs)
	}
	deadlineMs := c.nowMs + math.Min(waitMs, c.settings.MaxPollWaitMs)
	if newest != nil && (request.WaitMs < 0 || base != newest.number) {
		deadlineMs = c.nowMs
	}
	return &pendingPoll{id: id, baseVersion: base, acceptDelta: request.AcceptDelta, deadlineMs: deadlineMs}
}

// Limit of the rate at which new polls may replace the pending one. A proxy that has lost its connection needs one
// replacement, but two proxies with the same name would replace each other's polls without end.
const (
	maxPollReplacements     = 10      // within the window
	pollReplacementWindowMs = 10000.0 // length of the window
)

// mayReplacePoll reports whether a new poll may replace the pending one, and counts the replacement.
func (s *proxySession) mayReplacePoll(nowMs float64) bool {
	for len(s.replacedPollsMs) > 0 && s.replacedPollsMs[0] < nowMs-pollReplacementWindowMs {
		s.replacedPollsMs = s.replacedPollsMs[1:]
	}
	if len(s.replacedPollsMs) >= maxPollReplacements {
		return false
	}
	s.replacedPollsMs = append(s.replacedPollsMs, nowMs)
	return true
}

// CancelPoll drops a pending poll whose response is no longer wanted, as after a lost connection.
func (c *Controller) CancelPoll(nowMs float64, proxy string, id int64) {
	c.nowMs = nowMs
	session := c.sessions.byProxy[proxy]
	if session != nil && session.pendingPoll != nil && session.pendingPoll.id == id {
		c.releasePoll(session)
	}
}

// ReleasePolls responds to all pending polls with the current tables, for a graceful shutdown.
func (c *Controller) ReleasePolls(nowMs float64, effects Effects) {
	c.nowMs = nowMs
	c.effects = effects
	for _, session := range c.sessions.byIndex {
		if session != nil && session.pendingPoll != nil {
			c.respond(session, session.pendingPoll)
		}
	}
}

// releasePoll ends the pending poll of a session. From then on the proxy has to poll again within the session timeout.
func (c *Controller) releasePoll(session *proxySession) {
	session.pendingPoll = nil
	c.sessions.pendingPolls--
	session.expiresMs = c.nowMs + c.settings.SessionTimeoutMs
	c.sessions.scheduleCheck(session, session.expiresMs)
}

// respond responds to a poll with the newest version: NotModified if the proxy holds it already, a delta if the proxy
// accepts one and its base is in the history, and otherwise a snapshot.
func (c *Controller) respond(session *proxySession, poll *pendingPoll) {
	c.releasePoll(session)
	if len(session.versions) == 0 { // no class has a table yet
		c.publish(session, nil)
	}
	newest := session.newest()
	response := Response{Kind: Snapshot, Proxy: session.proxy, Tag: c.tagOf(newest), tables: newest.tables}
	if poll.baseVersion == newest.number {
		response.Kind = NotModified
	} else if base := session.version(poll.baseVersion); base != nil && poll.acceptDelta {
		response.Kind = Delta
		response.BaseTag = c.tagOf(base)
		response.baseTables = base.tables
	}
	c.effects.Respond(poll.id, response)
}
