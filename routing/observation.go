package routing

import "math"

const (
	idleQueue = 0.5 // busy cores of a server that reports no waiting transaction
)

// HostState is what the list says of a host.
type HostState int

// As on the list: removed, in service, finishing its work.
const (
	Removed HostState = iota
	Ready
	Draining
)

// HealthCheckResult of a probe.
type HealthCheckResult int

// A probe was answered, answered with an error or refusal, had no answer in time, or found nothing there.
const (
	Healthy HealthCheckResult = iota
	Rejected
	TimedOut
	Unreachable
)

// HostLoad is what a host reports of itself; a value below 0 was not reported.
type HostLoad struct {
	Utilization float64 `json:"Util"`
	RequestRate float64 `json:"Rate"`
	QueueLength float64 `json:"Queue"`
}

// UnknownLoad reports nothing.
var UnknownLoad = HostLoad{-1, -1, -1}

// busy is the part of a server's cores that a report shows as busy, below 0 if it shows nothing.
func (l HostLoad) busy() float64 {
	if l.Utilization < 0 && l.QueueLength >= 0 {
		return math.Min(1, idleQueue+l.QueueLength)
	}
	return l.Utilization
}

func (s *Balancer) ObserveHostStats(host, tries, failed int, mean, span float64, load HostLoad) {
	v := s.server(host)
	good := float64(max(tries-failed, 0))
	f := &v.fresh
	f.good, f.bad, f.time = f.good+good, f.bad+float64(failed), f.time+mean*good
	s.spans, s.lines = s.spans+span, s.lines+1
	v.note(load)
	s.heard = true
}

func (v *server) note(load HostLoad) {
	if load != UnknownLoad {
		v.load = load
	}
}

func (s *Balancer) ObserveDemand(p, class, came int, span float64) {
	s.came[class] += float64(came)
	if p < len(s.proxies) {
		q := &s.proxies[p]
		q.came, q.span = q.came+float64(came), math.Max(q.span, span)
	}
}

func (s *Balancer) ObserveHealthCheck(host int, how HealthCheckResult, load HostLoad) {
	v := s.server(host)
	v.probing = false
	switch how {
	case Healthy:
		v.strikes, v.fine = 0, v.fine+1
		v.note(load)
	case TimedOut, Unreachable:
		v.strikes, v.fine, v.absent = v.strikes+1, 0, how == Unreachable
	}
}

// RestoreHost notes what an earlier life knew of a host, as far as the caller still trusts it: where the moves had put its
// weight, as a part of the listed one; its mean time, 0 for unknown; and tries fulfilled and failed. It is evidence like
// any other: moves, drift and sums go on from there, and it proves no withdrawal.
func (s *Balancer) RestoreHost(host int, weight, r, won, lost float64) {
	v := s.server(host)
	v.weight = v.listed * weight
	v.won, v.lost = won, lost
	if r > 0 {
		v.r = r
	}
}

// RestoreAdmission notes the level, each class's share and the median of mean times that an earlier life had; 0 for a median
// that is not known.
func (s *Balancer) RestoreAdmission(level float64, shares []float64, median float64) {
	s.level = level
	copy(s.shares, shares)
	if s.tries = 1; level < 1 {
		s.tries = 0
	}
	s.median = median
}
