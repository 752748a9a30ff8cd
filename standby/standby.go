// Package standby decides when a standby controller may serve a proxy while it follows a leader
// (Standby.ShouldServe).
//
// The standby does not serve a proxy that has a session with the leader as long as the leader's lease is valid; it
// serves any other proxy at once. Each response that the standby receives from the leader renews the lease, which
// expires LeaseMs later. While the standby is in contact with the leader, no proxy is therefore served by both
// controllers, except for the delay of these responses. In a network partition both may publish, each to its own
// proxies. That is safe, since a proxy follows the tables of one controller at a time. Proxies that the leader serves
// are rejected only to prevent them from switching between controllers.
//
// The package performs no I/O, reads no clock and starts no goroutine; the caller serializes all calls. Instants and
// durations are milliseconds.
package standby

import "math"

// Limits configures a standby.
type Limits struct {
	LeaseMs float64 // time for which the leader's lease is valid after the last contact
}

// Standby decides on the polls of proxies at a standby that follows one leader. It is not safe for concurrent use.
type Standby struct {
	limits         Limits
	lastContactMs  float64         // time of the leader's last response; -Inf: none yet
	leaderSessions map[string]bool // proxies with a session with the leader, as last observed
	active         bool            // whether any proxy has been served
	activeSinceMs  float64
	rejectedPolls  int64
}

// New returns a standby without any contact with its leader yet, which serves any proxy.
func New(limits Limits) *Standby {
	return &Standby{limits: limits, lastContactMs: math.Inf(-1), leaderSessions: map[string]bool{}}
}

// ObserveSessions renews the leader's lease and replaces the set of proxies that have a session with the leader.
func (s *Standby) ObserveSessions(nowMs float64, proxies []string) {
	s.lastContactMs = nowMs
	clear(s.leaderSessions)
	for _, proxy := range proxies {
		s.leaderSessions[proxy] = true
	}
}

// Heartbeat renews the leader's lease and keeps the last known set of its sessions.
func (s *Standby) Heartbeat(nowMs float64) { s.lastContactMs = nowMs }

// LeaseValid reports whether the leader's lease is valid, so that the proxies with a session with the leader must not
// be served.
func (s *Standby) LeaseValid(nowMs float64) bool { return nowMs < s.leaseExpiresAtMs() }

func (s *Standby) leaseExpiresAtMs() float64 { return s.lastContactMs + s.limits.LeaseMs }

// ShouldServe reports whether a proxy that polls may be served: it may if the leader's lease has expired, or if the
// proxy has no session with the leader. Otherwise retryAfterMs is the time until the lease expires if it is not
// renewed. The first proxy that is served makes the standby active.
func (s *Standby) ShouldServe(nowMs float64, proxy string) (serve bool, retryAfterMs float64) {
	if s.LeaseValid(nowMs) && s.leaderSessions[proxy] {
		s.rejectedPolls++
		return false, s.leaseExpiresAtMs() - nowMs
	}
	if !s.active {
		s.active = true
		s.activeSinceMs = nowMs
	}
	return true, 0
}

// Active reports whether any proxy has been served, and since when.
func (s *Standby) Active() (active bool, sinceMs float64) { return s.active, s.activeSinceMs }

// RejectedPolls returns the number of polls that were rejected because the proxy has a session with the leader.
func (s *Standby) RejectedPolls() int64 { return s.rejectedPolls }
