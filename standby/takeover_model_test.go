package standby

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
)

// The tests explore the takeover as a state machine: a leader, a standby that follows it, and two proxies that poll
// either of them. Time passes in ticks. Every sequence of events up to a depth is explored.
const (
	leaseTicks       = 2 // ticks for which the leader's lease is valid
	sessionIdleTicks = 3 // ticks without a poll after which the leader ends a proxy's session

	modelDepth  = 6      // most events in a sequence for the real policy
	mutantDepth = 8      // most events in a sequence for a mutant: enough for each mutant to break an invariant
	leastPaths  = 500000 // paths that have to be explored; sequences of up to 6 out of 9 events make 597,871
)

// noSession stands in place of the last poll's instant for a proxy that has no session with the leader.
const noSession = -1

var proxyNames = [2]string{"p0", "p1"}

// policy decides which proxies the standby serves: a Standby, or a mutant of it that has to be detected.
type policy interface {
	ObserveSessions(now float64, proxies []string)
	Heartbeat(now float64)
	ShouldServe(now float64, proxy string) (bool, float64)
}

// model is the state of the leader, the standby and the proxies. The state of the policy depends on the sequence of
// events, so each sequence is replayed into a new policy.
type model struct {
	policy           policy
	now              float64
	leaderUp         bool
	replicationUp    bool       // whether the standby reaches the leader
	leaderReachable  [2]bool    // whether each proxy reaches the leader
	lastPolledLeader [2]float64 // instant of each proxy's last poll of the leader, or noSession
	lastContact      float64    // instant of the standby's last contact with the leader
	observedSessions [2]bool    // whether each proxy had a session with the leader at the last contact
	violations       []string   // violated invariants
}

func newModel(policy policy) *model {
	return &model{
		policy:           policy,
		leaderUp:         true,
		replicationUp:    true,
		leaderReachable:  [2]bool{true, true},
		lastPolledLeader: [2]float64{noSession, noSession},
		lastContact:      math.Inf(-1),
	}
}

type event struct {
	name  string
	apply func(*model)
}

var events = []event{
	{"tick", (*model).tick},
	{"leader crashes", (*model).killLeader},
	{"leader returns", func(m *model) { m.leaderUp = true }},
	{"replication breaks", func(m *model) { m.replicationUp = false }},
	{"replication recovers", func(m *model) { m.replicationUp = true }},
	{"p0 loses the leader", func(m *model) { m.leaderReachable[0] = false }},
	{"p0 reaches the leader", func(m *model) { m.leaderReachable[0] = true }},
	{"p0 polls", func(m *model) { m.poll(0) }},
	{"p1 polls", func(m *model) { m.poll(1) }},
}

func (m *model) tick() {
	m.now++
	for proxy, polledAt := range m.lastPolledLeader {
		if polledAt != noSession && m.now-polledAt >= sessionIdleTicks {
			m.lastPolledLeader[proxy] = noSession
		}
	}
	if m.leaderUp && m.replicationUp {
		m.replicateSessions()
	}
}

func (m *model) replicateSessions() {
	m.lastContact = m.now
	var sessions []string
	for proxy, name := range proxyNames {
		m.observedSessions[proxy] = m.lastPolledLeader[proxy] != noSession
		if m.observedSessions[proxy] {
			sessions = append(sessions, name)
		}
	}
	m.policy.ObserveSessions(m.now, sessions)
}

func (m *model) killLeader() {
	m.leaderUp = false
	m.lastPolledLeader = [2]float64{noSession, noSession}
}

// poll polls the leader if the proxy reaches it, and the standby otherwise, as a proxy tries its controllers in order.
func (m *model) poll(proxy int) {
	if m.leaderUp && m.leaderReachable[proxy] {
		m.lastPolledLeader[proxy] = m.now
		return
	}
	serve, _ := m.policy.ShouldServe(m.now, proxyNames[proxy])
	leaseValid := m.now < m.lastContact+leaseTicks
	heldByLeader := leaseValid && m.observedSessions[proxy]
	if serve && heldByLeader {
		m.violations = append(m.violations, "a proxy with a session with the leader is served during the lease")
	}
	if !serve && !heldByLeader {
		m.violations = append(m.violations, "a proxy is rejected without a session with the leader, or after the lease")
	}
}

// explorer replays every sequence of events up to a depth.
type explorer struct {
	newPolicy func() policy
	path      []event
	paths     int
	violation string // first violation that was found, with its path; empty: none
}

func explore(depth int, newPolicy func() policy) *explorer {
	e := &explorer{newPolicy: newPolicy}
	e.extend(depth)
	return e
}

// extend replays the current path and all of its continuations, and reports whether none violates an invariant.
func (e *explorer) extend(remaining int) bool {
	e.paths++
	m := newModel(e.newPolicy())
	for _, event := range e.path {
		event.apply(m)
	}
	if len(m.violations) > 0 {
		e.violation = fmt.Sprintf("%s: %s", e.pathText(), m.violations[0])
		return false
	}
	if remaining == 0 {
		return true
	}
	for _, event := range events {
		e.path = append(e.path, event)
		if !e.extend(remaining - 1) {
			return false
		}
		e.path = e.path[:len(e.path)-1]
	}
	return true
}

func (e *explorer) pathText() string {
	var names []string
	for _, event := range e.path {
		names = append(names, event.name)
	}
	return strings.Join(names, ", ")
}

// alwaysServes ignores the leader's lease.
type alwaysServes struct{ *Standby }

func (alwaysServes) ShouldServe(float64, string) (bool, float64) { return true, 0 }

// keepsSessions never forgets a session with the leader that has ended.
type keepsSessions struct{ *Standby }

func (k keepsSessions) ObserveSessions(now float64, proxies []string) {
	for proxy := range k.leaderSessions {
		proxies = append(proxies, proxy)
	}
	k.Standby.ObserveSessions(now, slices.Clone(proxies))
}

// endlessLease never lets the leader's lease expire.
type endlessLease struct{ *Standby }

func (e endlessLease) ShouldServe(now float64, proxy string) (bool, float64) {
	e.limits.LeaseMs = 1e9 // longer than any sequence
	return e.Standby.ShouldServe(now, proxy)
}

func newModelStandby() *Standby { return New(Limits{LeaseMs: leaseTicks}) }

// No sequence of events violates an invariant of poll, and the model finds a violation for each mutant of the policy.
func TestTakeoverModel(t *testing.T) {
	result := explore(modelDepth, func() policy { return newModelStandby() })
	if result.violation != "" || result.paths < leastPaths {
		t.Errorf("%d paths explored with the violation %q, want at least %d paths without a violation",
			result.paths, result.violation, leastPaths)
	}
	t.Logf("%d paths explored", result.paths)

	mutants := []struct {
		name      string
		newPolicy func() policy
	}{
		{"always serves", func() policy { return alwaysServes{newModelStandby()} }},
		{"keeps sessions", func() policy { return keepsSessions{newModelStandby()} }},
		{"endless lease", func() policy { return endlessLease{newModelStandby()} }},
	}
	for _, mutant := range mutants {
		t.Run(mutant.name, func(t *testing.T) {
			if explore(mutantDepth, mutant.newPolicy).violation == "" {
				t.Error("no invariant was violated, want the model to detect this mutant")
			}
		})
	}
}
