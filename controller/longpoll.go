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
	RequestRate float64       // requests a second that the proxy usually gets; 0: not given
	Tags        []string      // entity tags of the versions that the proxy holds, without quotes
	AnyTag      bool          // the proxy takes any version for its own (If-None-Match: *)
	AcceptDelta bool          // the proxy takes a merge patch onto the tagged version
	WaitMs      float64       // longest time for which the poll may stay pending; below 0: it is answered at once
	Cached      *CachedTables // what the proxy holds; nil: not given. Used where the controller does not know the proxy.
}

// CachedTables are the tables that a proxy holds, under the tag that another controller gave them.
type CachedTables struct {
	Tag    string
	Tables []Table
}

// pendingPoll is a poll that is answered when the tables change or its wait is over.
type pendingPoll struct {
	id          int64
	baseVersion int64 // the version that the proxy holds, 0 where it names none that is known
	acceptDelta bool
	deadlineMs  float64
}

// Poll starts the session of a proxy that has none, takes the acknowledgement in the tags, and answers through effects:
// at once, or later under the poll's id. A proxy has one pending poll: a new one replaces it, and the one before is
// answered at once. The error is a *FieldError where a field is invalid, or ErrDuplicateProxy.
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

// checkPoll gives a *FieldError for the first invalid field of a poll.
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

// sessionOf is the session of the proxy that polls; one that has none, or that has moved to another zone, is connected.
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

// newPoll takes the acknowledgement of a poll, and decides how long the poll stays pending.
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

// The number of times that a new poll may replace a pending one, within a time: a proxy that has lost its connection
// needs one, while two proxies under one name would answer each other's polls for ever.
const (
	maxPollReplacements     = 10
	pollReplacementWindowMs = 10000.0
)

// mayReplacePoll reports whether a new poll may replace the pending one, and counts it.
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

// CancelPoll notes that nobody waits for the answer of a poll any more, as after a lost connection.
func (c *Controller) CancelPoll(nowMs float64, proxy string, id int64) {
	c.nowMs = nowMs
	session := c.sessions.byProxy[proxy]
	if session != nil && session.pendingPoll != nil && session.pendingPoll.id == id {
		c.releasePoll(session)
	}
}

// ReleasePolls answers all pending polls with the tables as they are, as for a graceful shutdown.
func (c *Controller) ReleasePolls(nowMs float64, effects Effects) {
	c.nowMs = nowMs
	c.effects = effects
	for _, session := range c.sessions.byIndex {
		if session != nil && session.pendingPoll != nil {
			c.respond(session, session.pendingPoll)
		}
	}
}

// releasePoll ends the wait of a poll. From then on the proxy has the session timeout to poll again.
func (c *Controller) releasePoll(session *proxySession) {
	session.pendingPoll = nil
	c.sessions.pendingPolls--
	session.expiresMs = c.nowMs + c.settings.SessionTimeoutMs
	c.sessions.scheduleCheck(session, session.expiresMs)
}

// respond answers a poll with the newest version: NotModified where the proxy holds that already, a delta where it
// takes one and its base is in the history, else a snapshot.
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
