package controller

import (
	"math"
	"strings"
	"unicode"

	"barleysail/intake"
	"barleysail/internal/deadlinequeue"
	"barleysail/internal/interner"
)

// Bounds of sessions.
const (
	maxProxies    = 60000 // connected at the same time; keeps the numbers of subset tables below routing.AllTables
	maxNameLength = 128   // length of the name of a proxy or a reporter in bytes
)

// noTable stands in place of the number of a table for a class that has no table yet.
const noTable = -1

// proxySession is the state of a connected proxy.
type proxySession struct {
	proxy        string
	index        int   // the balancer's index of the proxy
	zone         int   // index of the zone
	tableByClass []int // number of the table of each class, or noTable

	versions     []version // the newest last, Settings.VersionHistory at most
	ackedVersion int64     // the newest version that the proxy has acknowledged

	pendingPoll     *pendingPoll // nil: the proxy is not polling
	expiresMs       float64      // time at which the session ends if there is no pending poll
	checkAtMs       float64      // time at which expirePolls checks the session next
	replacedPollsMs []float64    // recent times at which a new poll replaced the pending one

	queuedMessage *updateMessage // queued in the control channel; nil: none
	sentMs        []float64      // recent times at which messages were sent

	reporters          intake.Reporters // senders of request stats under the proxy's name
	reporterClock      intake.SenderClock
	duplicateReporters bool      // whether two of them are active at the same time
	requestRates       []float64 // recent requests per second, by class
}

// sessionStore holds the sessions, and the order in which their polls and the sessions themselves expire.
type sessionStore struct {
	byProxy      map[string]*proxySession
	indices      interner.Interner
	byIndex      []*proxySession // nil where an index is free
	lastVersion  int64           // number of the newest version of any proxy
	pendingPolls int
	checks       deadlinequeue.Queue[string] // proxies, by checkAtMs of their sessions
	departed     departedReporters
}

func newSessionStore() sessionStore {
	return sessionStore{
		byProxy:  map[string]*proxySession{},
		indices:  interner.New(),
		departed: newDepartedReporters(),
	}
}

// scheduleCheck schedules a check of a session by expirePolls, unless an earlier one is scheduled already. This keeps
// frequent polls from adding a check each.
func (s *sessionStore) scheduleCheck(session *proxySession, atMs float64) {
	if atMs < session.checkAtMs {
		session.checkAtMs = atMs
		s.checks.Schedule(atMs, session.proxy)
	}
}

func (s *sessionStore) nextMs() float64 { return s.checks.NextDueMs() }

// add creates the session of a proxy and assigns an index to it.
func (s *sessionStore) add(proxy string, zone, classes int) *proxySession {
	added := &proxySession{
		proxy:        proxy,
		index:        s.indices.Index(proxy),
		zone:         zone,
		tableByClass: make([]int, classes),
		requestRates: make([]float64, classes),
		expiresMs:    math.Inf(1),
		checkAtMs:    math.Inf(1),
	}
	for class := range added.tableByClass {
		added.tableByClass[class] = noTable
	}
	for len(s.byIndex) <= added.index {
		s.byIndex = append(s.byIndex, nil)
	}
	s.byProxy[proxy] = added
	s.byIndex[added.index] = added
	return added
}

// remove drops a session and frees its index.
func (s *sessionStore) remove(session *proxySession) {
	delete(s.byProxy, session.proxy)
	s.byIndex[session.index] = nil
	s.indices.Release(session.proxy)
}

// newest returns the newest version of a session, nil if it has none.
func (s *proxySession) newest() *version {
	if len(s.versions) == 0 {
		return nil
	}
	return &s.versions[len(s.versions)-1]
}

// connect starts the session of a proxy. requestRate is its usual request rate in requests per second, 0 if not known.
func (c *Controller) connect(proxy string, zone int, requestRate float64) *proxySession {
	session := c.sessions.add(proxy, zone, len(c.classes))
	session.reporters = c.sessions.departed.take(c.nowMs, proxy)
	c.balancer.ConnectProxy(session.index, zone, requestRate)
	c.recordEvent(eventConnected, proxy+" of "+c.deployment.Zones[zone])
	c.requestRound()
	return session
}

// HasProxy reports whether a proxy has a session.
func (c *Controller) HasProxy(proxy string) bool { return c.sessions.byProxy[proxy] != nil }

// Disconnect ends the session of a proxy, and reports whether it had one. A pending poll gets its response.
func (c *Controller) Disconnect(nowMs float64, proxy string, effects Effects) bool {
	c.nowMs = nowMs
	c.effects = effects
	session, connected := c.sessions.byProxy[proxy]
	if connected {
		c.disconnect(session)
	}
	return connected
}

func (c *Controller) disconnect(session *proxySession) {
	if session.pendingPoll != nil {
		c.respond(session, session.pendingPoll)
	}
	c.channel.dropMessages(session)
	c.ingest.queue.DropSource(session.proxy)
	c.sessions.departed.add(c.nowMs, session.proxy, &session.reporters, c.nowMs+c.ingest.limits.MaxAgeMs)
	c.recordEvent(eventDisconnected, session.proxy)
	c.balancer.DisconnectProxy(session.index)
	c.balancer.ForgetProxy(session.index)
	c.tables.forget(c.balancer.SubsetTable(session.index))
	c.sessions.remove(session)
	c.requestRound()
}

// expirePolls responds to polls whose wait is over, and disconnects proxies that have not polled in time.
func (c *Controller) expirePolls() {
	for {
		proxy, ok := c.sessions.checks.Pop(c.nowMs)
		if !ok {
			return
		}
		if session := c.sessions.byProxy[proxy]; session != nil {
			session.checkAtMs = math.Inf(1)
			c.expireSession(session)
		}
	}
}

// expireSession responds to the pending poll if its wait is over, or disconnects the proxy if it has not polled in
// time. Otherwise it schedules another check.
func (c *Controller) expireSession(session *proxySession) {
	poll := session.pendingPoll
	switch {
	case poll != nil && poll.deadlineMs <= c.nowMs:
		c.respond(session, poll)
	case poll != nil:
		c.sessions.scheduleCheck(session, poll.deadlineMs)
	case session.expiresMs <= c.nowMs:
		c.disconnect(session)
	default:
		c.sessions.scheduleCheck(session, session.expiresMs)
	}
}

// checkName returns a *FieldError for an invalid name of a proxy or a reporter, or an invalid tag. All characters have
// to be printable, and none may need escaping in a URL or an entity tag.
func checkName(field, name string) error {
	if name == "" || len(name) > maxNameLength {
		return invalidField(field, "a name has 1 to 128 characters")
	}
	for _, char := range name {
		if !unicode.IsPrint(char) || strings.ContainsRune(`/\" `, char) || char == unicode.ReplacementChar {
			return invalidField(field, "%q may not stand in a name", char)
		}
	}
	return nil
}
