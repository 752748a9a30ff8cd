// Package standby decides whom a steward that stands by another may serve. It follows what the first one keeps, and serves
// nobody whom the first still hears: a proxy that comes to it is sent back while the first was lately heard to have that
// proxy. A split is safe all the same, since a proxy goes by the tables of one steward at a time and each steward keeps the
// rules alone; standing back only keeps proxies from wandering. The package does no I/O and reads no clock; times are ms.
package standby

import "math"

// Limits of a standby.
type Limits struct {
	LeaseMs float64 // what the first told is gone by for so long
}

// Standby follows one steward.
type Standby struct {
	limits  Limits
	heardAt float64 // when the first last told how it stands
	has     map[string]bool
	live    bool
	liveAt  float64
	sent    int64 // back
}

// New makes one that has heard nothing yet.
func New(l Limits) *Standby {
	return &Standby{limits: l, heardAt: math.Inf(-1), has: map[string]bool{}}
}

// ObserveSessions notes that the first told how it stands, and the proxies that have joined there.
func (s *Standby) ObserveSessions(now float64, proxies []string) {
	s.heardAt = now
	clear(s.has)
	for _, p := range proxies {
		s.has[p] = true
	}
}

// Heartbeat notes that the first is there, and nothing has changed.
func (s *Standby) Heartbeat(now float64) { s.heardAt = now }

// LeaseValid tells whether what the first told may still be gone by.
func (s *Standby) LeaseValid(now float64) bool { return now < s.heardAt+s.limits.LeaseMs }

// ShouldServe tells whether a proxy that polls may be served, and if not, after how long it may ask again. The first one that is
// served makes the standby a steward like any other, for those who come.
func (s *Standby) ShouldServe(now float64, proxy string) (serve bool, again float64) {
	if s.LeaseValid(now) && s.has[proxy] {
		s.sent++
		return false, s.heardAt + s.limits.LeaseMs - now
	}
	if !s.live {
		s.live, s.liveAt = true, now
	}
	return true, 0
}

// Active tells whether somebody was served, and since when.
func (s *Standby) Active() (live bool, since float64) { return s.live, s.liveAt }

// RejectedPolls is how many polls were sent back.
func (s *Standby) RejectedPolls() int64 { return s.sent }
