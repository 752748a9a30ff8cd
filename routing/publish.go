package routing

import (
	"math"
	"slices"
	"sort"
)

const (
	unlimitedQuota = 1e6 // a level where shares are not heeded
)

// publicationRecord is what the published tables hold of a host.
type publicationRecord struct {
	weight     float64
	holders    int     // proxies whose table would have to be told of a change
	subsetRate float64 // requests a second that proxies with a subset send there
}

// publishingState is what publish keeps from round to round.
type publishingState struct {
	version        int       // of the last update batch; 0: none yet
	lastAtMs       float64   // when publish last ran
	urgentSentAtMs float64   // when an urgent entry was last written
	urgentPending  bool      // removals or starts wait for the control channel
	costs          []float64 // entries of the present round, by proxy
	budget         float64   // entries that weights may cost
}

// publish writes what changed, as much as the channel takes: removals, then what guards cold and withdrawn
// servers, joins, and weights, the largest changes first, once most proxies have the last ones and the
// price of orders allows. Each may fill a part of the caps; what does not fit waits. In the channel is all
// that joined proxies have not answered, less as much as they answered within the last way of a message:
// that is taken to be on its way now. What is older than a full channel at the least pace has left it.
func (s *Balancer) publish(w UpdateWriter) {
	c := s.channel
	passed := s.nowMs - s.publishing.lastAtMs
	s.publishing.lastAtMs = s.nowMs
	s.publishing.budget = math.Min(c.EntriesPerSecond, s.publishing.budget+passed/1000*c.EntriesPerSecond*updateCostShare/math.Max(c.Cost, updateCostShare))
	s.backlog.arriving *= math.Exp(-passed / math.Max(c.PropagationDelayMs, 1))
	lines := make([]int, s.deployment.Zones+1)
	bound, unbound, most, fair := s.countAssignments(c.MessageWindowMs, c.PropagationDelayMs+c.MaxBacklog/(c.EntriesPerSecond*minPaceRatio)*1000)
	s.publishing.costs = grow(s.publishing.costs, len(s.proxies), 0)
	clear(s.publishing.costs)
	b := &updateBatch{initialBacklog: math.Max(0, s.backlog.unacknowledged-s.backlog.arriving), messageOverhead: c.MessageOverhead + 1 + float64(len(s.admission.quotas)),
		costs: s.publishing.costs}
	b.backlog = b.initialBacklog
	if s.publishing.version == 0 && unbound == 0 {
		return
	}
	fits := func(n int, part float64) bool {
		cost := b.backlog + float64(n) + float64(min(n, bound-b.proxies))*b.messageOverhead
		return cost <= part*c.MaxBacklog && cost+s.backlog.unacknowledged-b.initialBacklog <= removalFill*c.MaxBacklog &&
			(b.proxies >= bound || c.allowsMessage(most, part))
	}
	s.updateSlowStart(w)
	bare, thin := make([]bool, len(lines)), make([]bool, len(lines))
	for z := range s.deployment.Zones {
		bare[s.sharedTable(z)], thin[s.sharedTable(z)] = !s.hasWarmEntry(s.sharedTable(z), false), !s.hasWarmEntry(s.sharedTable(z), true)
	}
	var later []weightUpdate
	soon := s.nowMs >= s.publishing.urgentSentAtMs+urgentGatherMs
	order := slices.Clone(s.hostOrder)
	if s.publishing.urgentPending { // the channel is short: first what has waited longest
		sort.SliceStable(order, func(i, j int) bool {
			return s.hosts[order[i]].endpoint.changedAtMs < s.hosts[order[j]].endpoint.changedAtMs
		})
	}
	behind := false // a removal or start is not told yet: what else a proxy gets would count as knowing it
	for rank, part := range []float64{removalFill, removalFill, protectiveFill} {
		for _, h := range order {
			v := &s.hosts[h]
			want, scant := s.targetWeight(v, bare[s.sharedTable(v.endpoint.zone)]), thin[s.sharedTable(v.endpoint.zone)]
			started := v.endpoint.state == Ready && s.exceedsSlowStart(v)
			if first := rank < 2; first != (v.endpoint.state != Ready || started) || first && started != (rank == 1) {
				continue
			}
			if want > 0 {
				lines[s.sharedTable(v.endpoint.zone)]++
			}
			size, guards := math.Abs(want-v.publication.weight), started || want == 0 || scant && v.publication.weight == 0
			if size > 0 && (v.publication.holders == 0 || guards && !behind && (soon || scant) && fits(v.publication.holders, part)) {
				if v.publication.holders > 0 {
					s.publishing.urgentSentAtMs = s.nowMs
				}
				s.publishWeight(w, h, want, b)
			} else if behind = behind || rank < 2 && size > 0; size > minWeightChange*math.Max(v.publication.weight, minWeightRatio*v.endpoint.baseWeight) {
				later = append(later, weightUpdate{h, want, size})
			}
		}
	}
	s.publishing.urgentPending = behind
	if s.rolloutAcknowledged() && !behind && fits(bound, protectiveFill) {
		s.publishAdmission(w, b)
	}
	s.assignTables(w, c, b, unbound, lines, fair, behind)
	b.version = s.publishing.version%60000 + 1
	// A drain that comes next must still leave in time, unless no line to all proxies does.
	spare, line := c.EntriesPerSecond*s.limits.DrainGraceMs/1000*weightGraceShare, float64(bound)*(b.messageOverhead+1)
	if start := b.backlog; s.rolloutAcknowledged() && !behind {
		sort.SliceStable(later, func(i, j int) bool { return later[i].change > later[j].change })
		for _, l := range later {
			if was := b.backlog; (s.publishing.budget > 0 || was > start) && fits(s.hosts[l.host].publication.holders, weightFill) &&
				(was <= spare || line > spare) {
				s.publishWeight(w, l.host, l.weight, b)
				s.publishing.budget -= b.backlog - was
			}
		}
		if b.backlog > start {
			s.rollout.version, s.rollout.sentAtMs, s.rollout.proxies, s.rollout.acks = b.version, s.nowMs, b.proxies, 0
		}
	}
	if b.backlog > b.initialBacklog {
		w.StampVersion(b.version)
		s.publishing.version = b.version
	}
	for i, cost := range b.costs {
		if p := &s.proxies[i]; cost > 0 {
			p.messageTimesMs = append(p.messageTimesMs, s.nowMs)
			p.unacknowledged = append(p.unacknowledged, updateMessage{b.version, cost, s.nowMs})
			s.backlog.unacknowledged += cost
		}
	}
}

// publishWeight sets the line of a server in every table that holds it.
func (s *Balancer) publishWeight(w UpdateWriter, h int, want float64, b *updateBatch) {
	v := &s.hosts[h]
	v.publication.weight = want
	w.SetWeight(s.sharedTable(v.endpoint.zone), h, want)
	for i := 0; v.publication.holders > 0 && i < len(s.proxies); i++ {
		p := &s.proxies[i]
		if at := slices.Index(p.subset, h); p.connected && p.assigned && p.ownsTable && at >= 0 {
			b.account(i, 1)
			if s.slowStartFactor(v) < 1 { // a cold one might be all that is left of a hand
				want = 0
			}
			if w.SetWeight(s.subsetTable(i), h, want); want == 0 {
				p.subset = slices.Delete(p.subset, at, at+1)
			}
		} else if p.connected && p.assigned && !p.ownsTable && s.sharedTable(p.zone) == s.sharedTable(v.endpoint.zone) {
			b.account(i, 1)
		}
	}
}

// publishAdmission writes what changed of levels and ways of trying again, for all joined proxies. A further try
// follows only proof that the first never ran, so it is safe for every class.
func (s *Balancer) publishAdmission(w UpdateWriter, b *updateBatch) {
	changed := s.admission.retryPolicy != s.admission.publishedRetryPolicy
	s.admission.publishedRetryPolicy = s.admission.retryPolicy
	for k, share := range s.admission.quotas {
		if math.Abs(share-s.admission.publishedQuotas[k]) <= 0.02 && !changed {
			continue
		}
		s.admission.publishedQuotas[k] = share
		if !s.deployment.AdmissionControl {
			share = unlimitedQuota
		}
		w.SetAdmission(AllTables, 1<<k, share, s.admission.retryPolicy)
		for i := range s.proxies {
			if s.proxies[i].connected {
				b.account(i, 1)
			}
		}
	}
}

// weightUpdate is a weight that is not yet told.
type weightUpdate struct {
	host           int
	weight, change float64
}

// updateBatch is what one round orders: lines that wait before and after it, and what each proxy costs, a head for
// each that it reaches.
type updateBatch struct {
	version, proxies                         int
	initialBacklog, backlog, messageOverhead float64
	costs                                    []float64
}

// account counts lines to a proxy.
func (b *updateBatch) account(p int, lines float64) {
	if b.costs[p] == 0 {
		b.proxies, lines = b.proxies+1, lines+b.messageOverhead
	}
	b.costs[p] += lines
	b.backlog += lines
}

// hasWarmEntry tells whether a base table should hold, or (held) holds already, a warm line. Where none should be,
// withdrawals are passed over; where none is held, additions go as early as removals.
func (s *Balancer) hasWarmEntry(base int, held bool) bool {
	for _, h := range s.hostOrder {
		v := &s.hosts[h]
		if s.sharedTable(v.endpoint.zone) == base && (!held || v.publication.weight > 0) && s.slowStartFactor(v) >= 1 && s.targetWeight(v, false) > 0 {
			return true
		}
	}
	return false
}
