// All decisions of barleysail are in this file; the interface (settings, Writer) is in steward.go, what is
// kept and noted in state.go. The caller makes one Steward an instance with New, notes what came in, and
// then calls Round once a batch, also when the timer asked for by Wake is due. Noting only records; Round
// decides and writes orders to the Writer. Hosts and proxies are small indices.
package routing

import (
	"math"
	"slices"
	"sort"
)

const (
	tick         = 200.0   // ms between rounds of periodic work
	epsilon      = 0.05    // part of the transactions that may miss the deadline d
	dMedians     = 3.2     // d as a multiple of the median response time: a median server has a little room
	capLeast     = 0.5     // the cap is never under this part of the service rate
	floorPart    = 0.1     // a server keeps this part of its listed share
	driftPart    = 0.05    // of the way back to the listed weight, each report round
	memory       = 0.8     // what earlier sums count for after a report round
	shortly      = 0.5     // the same for the share of tries fulfilled
	distrust     = 0.8     // of the fleet's share of tries fulfilled; a server under it loses weight
	trustLeast   = 0.5     // and never more than so: lost tries wear off later than their cause
	average      = 4.0     // answers of median time that each server is taken to have given besides
	ackPart      = 0.8     // of the proxies answered a mark: the next changes may go
	ackWait      = 2000.0  // or so long after it
	worthTell    = 0.06    // relative change of a weight that is worth a line
	ordersPart   = 0.03    // of the result may go into the price of weights
	gather       = 350.0   // ms in which urgent orders gather into one message
	startsTo     = 0.6     // of its weight in the tables a cold host is cut to before all but removals
	drainsTo     = 0.95    // of the channel's caps may be filled by removals of hosts that drain or are gone
	guardsTo     = 0.55    // by withdrawals, by what guards cold hosts and by tables of a few hosts
	weightsTo    = 0.45    // by weights and levels
	weightsIn    = 0.4     // of the grace for drains: what is in the channel before weights has left
	joinsTo      = 0.3     // by whole tables
	inTime       = 0.3     // of the grace for drains: joining proxies get a table of ours
	handLeast    = 4       // hosts in a proxy's own table
	strainPart   = 0.15    // of a host's tries fail
	strainHosts  = 0.6     // of the hosts are such in a strain
	strainIdle   = 0.4     // are such though not busy
	strainSilent = 0.35    // at most leave a probe unanswered
	traffic      = 0.3     // of a proxy's rate follows its last sums
	shortHand    = 0.7     // of its due weight, under which a hand is filled up
	dealtFirst   = 30000.0 // ms that tables of a few hosts are kept under strain
	idleQueue    = 0.5     // busy cores of a server that reports no waiting transaction
	slowest      = 0.5     // the channel is taken to run at this part of its pace
	crawl        = 0.1     // and never slower than so: what is not answered by then has left it
	probePart    = 0.003   // of the result may go into the price of probes
	probeSoon    = 300.0   // ms until a host that left a probe unanswered is asked again
	doubtPart    = 0.5     // of its weight is left to a host for each unanswered probe
	doubtMost    = 3.0     // of them count
	doubtFades   = 1.0     // with each answered one
	doubtTo      = 0.25    // of the hosts may be doubted fully
	idleUnder    = 0.6     // busy cores under which a host that lets probes wait is out of reach, not slow
	silences     = 3       // unanswered probes in a row that may prove a server silent
	absences     = 2       // unanswered probes in a row that prove a server absent, or count for a cut
	cutPart      = 0.75    // of a zone's servers unanswered, and of another's answered, make a cut
	trialPart    = 0.4     // of its weight a server returns with, doubling each trialStep
	trialStep    = 1000.0
	keepPart     = 0.34 // of the listed weight stays in the tables whatever the probes say
	stormPart    = 0.6  // of the servers, and of their tries, fail in a storm of repeats
	triesAbove   = 0.8  // of all tries are fulfilled where further tries help and no level is heeded
	coldOnlyPart = 2.0  // times the fleet's listed weight: what cold servers alone must be able to bear of it
	budgetPart   = 0.25 // of a cold server's budget is used: it may be half as fast as listed
	shunned      = 0.1  // chance of failures in a row over which a fleet that shuns gets no cold server
	shedAbove    = 0.9  // busy cores that may mean overload
	shedTo       = 0.85 // busy cores aimed at by a change of level
	easeUnder    = 0.8  // busy cores under which the level rises
	levelLeast   = 0.1
	unlimited    = 1e6 // a level where shares are not heeded
)

// New makes the steward of an instance that has just started.
func New(fleet Deployment, classes []RequestClass, channel ControlChannel, guard SafetyLimits, goal Objective) *Balancer {
	s := &Balancer{fleet: fleet, classes: classes, channel: channel, guard: guard, goal: goal, wakeAt: -1,
		heardAt: -1, level: 1, tries: 1, toldTries: fleet.DefaultRetryPolicy, fulfilled: 1}
	s.late, s.cycle, s.settle = channel.PropagationDelayMs, fleet.ReportIntervalMs, channel.PropagationDelayMs+2*fleet.ReportIntervalMs
	n := len(classes)
	s.came, s.shares, s.toldShares = make([]float64, n), make([]float64, n), make([]float64, n)
	s.zoneBack = make([]bool, fleet.Zones)
	for c := range classes {
		s.shares[c], s.toldShares[c] = 1, 1
		s.local = s.local || classes[c].ZoneLocal
	}
	return s
}

// share is the part of all proxies that are joined here.
func (s *Balancer) share() float64 { return float64(max(s.joined, 1)) / float64(s.fleet.Proxies) }

// ObserveEndpoint notes an entry of the list. A new id or a new start time is a start; a weight of 0 says nothing.
func (s *Balancer) ObserveEndpoint(host, zone int, phase HostState, listed, started float64) {
	v := s.server(host)
	if listed <= 0 {
		listed = 1
	}
	if !v.seen {
		s.order = append(s.order, host)
		v.listed, v.weight, v.r = listed, listed, s.median
		if s.listKnown && started <= 0 {
			started = s.now
		}
	}
	if phase != v.phase || started > 0 && started != v.started {
		v.since = s.now
	}
	v.weight *= listed / v.listed
	v.seen, v.zone, v.phase, v.listed = true, zone, phase, listed
	if started > 0 && started != v.started {
		*v = server{zone: zone, phase: phase, seen: true, listed: listed, started: started, weight: listed,
			r: s.median, told: v.told, load: UnknownLoad, probing: v.probing, back: longAgo, since: s.now, life: v.life}
	}
}

// Round decides on all that was noted since the last round.
func (s *Balancer) Round(now float64, w UpdateWriter) {
	s.now = now
	if s.fleet.WatchesEndpoints {
		s.follow(w)
	}
	if s.fleet.HealthChecks {
		for _, h := range s.order[s.planned:] {
			life := s.servers[h].life
			s.add(s.chance()*1000, func(w UpdateWriter) { s.probe(w, h, life) })
		}
		s.planned = len(s.order)
	}
	if s.wakeAt < 0 {
		s.knowing = now + 2*s.settle
	}
	if now >= s.wakeAt {
		s.wakeAt = now + tick
		w.ScheduleRound(s.wakeAt)
		if s.heard && now-s.heardAt >= s.fleet.ReportIntervalMs*0.9 {
			s.report(w, s.fleet.ReportIntervalMs)
		}
	}
	for len(s.dues) > 0 && s.dues[0].at <= now {
		d := s.dues[0]
		s.dues = s.dues[1:]
		d.do(w)
	}
	s.judge(w)
	s.publish(w, s.channel)
}

// probe examines a host, and again after a while that keeps the price of probes under a small part of the
// result, or soon where one was left unanswered. Each outcome raises or lowers the doubt about the host.
func (s *Balancer) probe(w UpdateWriter, h, life int) {
	v := &s.servers[h]
	if v.life != life { // forgotten meanwhile: its index may be another host's
		return
	}
	urgent := v.strikes > 0 && v.strikes <= silences && !v.out
	if v.phase == Ready && !v.probing && (urgent || s.now >= v.probeAt) {
		if v.strikes > 0 && s.few {
			v.doubt = math.Min(v.doubt+1, doubtMost)
		} else if v.strikes == 0 {
			v.doubt = math.Max(v.doubt-doubtFades, 0)
		}
		total, n := 1e-9, 0.0
		for _, h := range s.order {
			if total += s.servers[h].rate; s.servers[h].phase == Ready {
				n++
			}
		}
		every := n * float64(s.fleet.Controllers) * s.goal.HealthCheckCost / (probePart * total) * 1000
		v.probing, v.probeAt = true, s.now+math.Min(math.Max(every, 500), 4000)
		w.CheckHealth(h)
	}
	s.add(probeSoon, func(w UpdateWriter) { s.probe(w, h, life) })
}

// follow keeps the subscription where the list must be asked. A failed call is repeated after a wait that
// doubles up to a bound, with some chance in it so that stewards do not ask in step.
func (s *Balancer) follow(w UpdateWriter) {
	if s.wakeAt < 0 {
		w.WatchEndpoints()
	}
	if s.askFailed {
		s.askFailed = false
		s.askWait = math.Min(math.Max(2*s.askWait, 250), 4000)
		s.add(s.askWait*(0.5+s.chance()), func(w UpdateWriter) { w.WatchEndpoints() })
		w.Log(Event{WatchRetryScheduled, NoHost, []Field{{"within_ms", s.askWait * 1.5, 0}}})
	}
}

// report takes in a round of sums. Without sums nothing of this happens and the tables stay.
func (s *Balancer) report(w UpdateWriter, period float64) {
	passed := period
	if s.heardAt >= 0 {
		passed = s.now - s.heardAt
		s.gap = math.Max(passed-period, s.gap*memory)
	}
	s.heardAt, s.heard = s.now, false
	for i := range s.proxies {
		if p := &s.proxies[i]; p.span > 0 {
			p.rate += traffic * (p.came/p.span*1000 - p.rate)
			p.came, p.span = 0, 0
		}
	}
	s.estimate(s.share(), period, passed)
	s.shift()
	s.strain(w)
	if s.fleet.AdmissionControl {
		s.admit(w, s.classes, s.goal)
	} else {
		s.relieve(w, s.classes, s.guard.EmptyTableMs/2)
	}
}

// estimate brings λ, the whole rate (as reported, else our own sums over our share of the proxies), and R up
// to date. A failed try counts as one that took d, so that errors and few answers never read as room; it
// stays out of the median. Average answers keep a noisy R from faking overload.
func (s *Balancer) estimate(share, period, passed float64) {
	var heard []float64
	good, all := 1.0, 1.0
	s.cycle = math.Max(period, shortly*s.cycle+(1-shortly)*s.spans/s.lines)
	s.settle, s.spans, s.lines = s.late+2*s.cycle, 0, 0
	keep, soon := math.Pow(memory, passed/s.cycle), math.Pow(shortly, passed/s.cycle)
	for _, h := range s.order {
		v := &s.servers[h]
		f, p := v.fresh, &v.past
		v.fresh = sums{}
		good, all = good+f.good, all+f.good+f.bad
		v.won, v.lost = v.won*soon+f.good, v.lost*soon+f.bad
		if f.good > 0 {
			v.fed = s.now
		}
		if s.now < v.hold-s.cycle { // from before the last move showed
			*p = sums{}
			continue
		}
		p.good, p.bad, p.time = p.good*keep+f.good, p.bad*keep+f.bad, p.time*keep+f.time
		p.span = p.span*keep + passed
		v.r = (p.time + (p.bad*dMedians+average)*s.median) / (p.good + p.bad + average)
		v.rate = (p.good + p.bad) / p.span * 1000 / share
		if v.load.RequestRate >= 0 {
			v.rate = math.Max(v.load.RequestRate, v.rate/2)
		}
		if s.serving(v) && p.good >= average {
			heard = append(heard, p.time/p.good)
		}
	}
	s.fulfilled = math.Min(good/all, 0.5*s.fulfilled+0.5*good/all)
	if len(heard) > 0 {
		sort.Float64s(heard)
		s.median = heard[len(heard)/2]
	}
}

// capOf gives the arrival rate up to which a server meets the deadline d, all but a part epsilon.
func capOf(rate, r, median float64) float64 {
	mu := rate + 1000/r
	k := math.Abs(math.Log(epsilon) / (dMedians * median) * 1000)
	return math.Max(mu-k, mu*capLeast)
}

// shift is the design's mechanism: from the most overloaded server, min{excess, room, sender's rate} goes
// to the roomiest, servers of the same zone first; with none over its cap the weights drift back. Both
// sides of a move wait until it shows; one too small to tell is left, since it would only hold up the next.
func (s *Balancer) shift() {
	var over, all []loaded
	total, weights := 0.0, 0.0
	for _, h := range s.order {
		v := &s.servers[h]
		if !s.serving(v) {
			continue
		}
		total, weights = total+v.rate, weights+v.weight
		if s.now < v.hold || v.past.good+v.past.bad < 1 || v.r <= 0 || s.median <= 0 {
			continue
		}
		l := loaded{v, v.rate - capOf(v.rate, v.r, s.median), v.rate * (1 - floorPart*v.listed/v.weight)}
		if b := v.load.busy(); b > 0 { // several cores: R stays short until nearly all are busy
			l.excess = math.Max(l.excess, math.Min(0, v.rate*(1-shedTo/b)))
		}
		all = append(all, l)
		if math.Min(l.excess, l.can) > worthTell*v.rate {
			over = append(over, l)
		}
	}
	sort.SliceStable(over, func(i, j int) bool { return over[i].excess > over[j].excess })
	for _, o := range over {
		sort.SliceStable(all, func(i, j int) bool {
			near, other := all[i].v.zone == o.v.zone, all[j].v.zone == o.v.zone
			return near && !other || near == other && all[i].excess < all[j].excess
		})
		for i := range all {
			to := &all[i]
			move := math.Min(math.Min(o.excess, -to.excess), o.can)
			if move <= 0 || total <= 0 {
				continue
			}
			o.v.weight, to.v.weight = o.v.weight-move/total*weights, to.v.weight+move/total*weights
			o.excess, o.can, to.excess = o.excess-move, o.can-move, to.excess+move
			o.v.hold = s.now + s.settle + s.gap
			to.v.hold = o.v.hold
		}
	}
	for _, h := range s.order {
		if v := &s.servers[h]; len(over) == 0 && s.now >= v.hold {
			v.weight += driftPart * (v.listed - v.weight)
		}
	}
}

// admit sets how much is let in. Only measured overload lowers it: busy cores, with failed tries or R that
// eats up the due time. A step down follows the part of the tries fulfilled, a step up the idle cores.
func (s *Balancer) admit(w UpdateWriter, classes []RequestClass, goal Objective) {
	busy, n, good, slow, came, dueTime := 0.0, 0.0, 1e-9, 0.0, 1e-9, 0.0
	for _, h := range s.order {
		v := &s.servers[h]
		if b := v.load.busy(); s.serving(v) && b >= 0 {
			tries := v.won + v.lost // a host that is not heard has an old report
			busy, n = busy+b*tries, n+tries
		}
		good, slow = good+v.rate, slow+v.rate*v.r
	}
	for c := range s.came {
		s.came[c] *= memory
		came, dueTime = came+s.came[c], dueTime+s.came[c]*classes[c].LatencyObjectiveMs
	}
	if n <= 0 || s.now < s.levelHold {
		return
	}
	busy, slow, dueTime = busy/n, slow/good, dueTime/came
	was := s.level
	better := s.level < 1 && s.fulfilled > s.lowFulfilled+0.05
	if busy > shedAbove && !better && (s.fulfilled < 0.93 || slow > 0.4*dueTime) {
		s.level = math.Max(s.level*math.Min(math.Max(shedTo*s.fulfilled, 0.6), 0.9), levelLeast)
	} else if busy < easeUnder {
		s.level = math.Min(1, s.level*math.Min(math.Max(shedTo/busy, 1.1), 1.6))
	}
	s.lowFulfilled = s.fulfilled
	if s.level == was {
		return
	}
	s.levelHold = s.now + s.settle + s.gap
	w.Log(Event{AdmissionRatioChanged, NoHost, []Field{{"admission_ratio", s.level, 2}, {"utilization", busy, 2},
		{"success_ratio", s.fulfilled, 2}, {"mean_latency_ms", slow, 0}, {"latency_objective_ms", dueTime, 0}}})
	s.tries = int(s.level) // none while less than all is let in
	s.spread(classes, goal)
}

// spread deals the level out to the classes: the least earnings per work (the due time stands for it) go
// first, unless the worst-served class weighs so much that cutting all evenly costs less.
func (s *Balancer) spread(classes []RequestClass, goal Objective) {
	n := len(classes)
	work, earn, order := make([]float64, n), make([]float64, n), make([]int, n)
	allWork, allEarn := 1e-9, 1e-9
	for c, k := range classes {
		n := s.came[c] + 1
		work[c], earn[c], order[c] = n*k.LatencyObjectiveMs, n*k.PriorityWeight, c
		allWork, allEarn = allWork+work[c], allEarn+earn[c]
	}
	sort.SliceStable(order, func(i, j int) bool {
		return earn[order[i]]*work[order[j]] < earn[order[j]]*work[order[i]]
	})
	low, cut := order[0], (1-s.level)*allWork
	even := (goal.TotalWeight*earn[low]/allEarn+goal.WorstClassWeight)*allWork/work[low] >= goal.TotalWeight+goal.WorstClassWeight
	for _, c := range order {
		part := math.Min(cut, work[c]*(1-levelLeast))
		if s.shares[c] = s.level; !even {
			s.shares[c], cut = 1-part/work[c], cut-part
		}
	}
}

// relieve ends a storm of repeats where proxies heed no level: work that clients gave up on keeps most
// tries failing after the cause is gone. All proxies go to one server until the patience of every class is
// over, then return to emptier queues. It must not act on a cut or a hang, where some servers fulfil; where
// capacity is lacking it trades a steady failure for good spells.
func (s *Balancer) relieve(w UpdateWriter, classes []RequestClass, most float64) {
	n, failing, keep := 0.0, 0.0, -1
	for _, h := range s.order {
		v := &s.servers[h]
		if v.won+v.lost >= 1 {
			n++
			if v.lost > stormPart*(v.won+v.lost) {
				failing++
			}
		}
		if s.serving(v) && (keep < 0 || v.listed > s.servers[keep].listed) {
			keep = h
		}
	}
	s.tries, s.storm = 1, s.storm+1
	if s.fulfilled < triesAbove {
		s.tries = 0
	}
	if s.fulfilled > 1-stormPart || failing < stormPart*n {
		s.storm = 0
	}
	if s.storm < 2 || s.now < s.stormNext || keep < 0 || s.local {
		return
	}
	rest := s.channel.PropagationDelayMs
	for _, c := range classes {
		rest = math.Max(rest, math.Min(c.DeadlineMs, most)+s.channel.PropagationDelayMs)
	}
	s.stormNext = s.now + rest + 2*s.settle
	s.keep = keep
	s.rest(true)
	s.add(rest, func(UpdateWriter) { s.rest(false) })
	w.Log(Event{RetryStormQuiesced, s.keep, []Field{{"failing_hosts", failing, 0}, {"hosts", n, 0},
		{"success_ratio", s.fulfilled, 2}, {"quiesce_ms", rest, 0}}})
}

// rest takes all proxies off their tables; join gives them others.
func (s *Balancer) rest(on bool) {
	s.resting = on
	for i := range s.proxies {
		s.proxies[i].bound, s.proxies[i].own = false, false
	}
}

// judge withdraws servers on proof, by symptom, and lets them return by trial. Proof is absence, or silence
// while no try is fulfilled there, alone or with its zone. It must not take a busy server for a silent one:
// many silent, or a fleet that fails, prove nothing. What is left must carry the joined proxies' traffic.
func (s *Balancer) judge(w UpdateWriter) {
	listed, in, silent, n, doubted := 0.0, 0.0, 0, 0, 1e-9
	all, fine, mute := make([]int, s.fleet.Zones), make([]int, s.fleet.Zones), make([]int, s.fleet.Zones)
	for _, h := range s.order {
		v := &s.servers[h]
		if v.phase != Ready {
			continue
		}
		listed, n, all[v.zone], fine[v.zone] = listed+v.listed, n+1, all[v.zone]+1, fine[v.zone]+min(v.fine, 1)
		if doubted += math.Min(v.doubt, 1); v.strikes > 0 && !v.absent {
			silent++
		}
		if v.strikes >= absences {
			mute[v.zone]++
		}
		if !v.out {
			in += v.listed
		}
	}
	s.few, s.doubts = silent*4 <= n+3 && s.fulfilled > 0.5, math.Min(1, doubtTo*float64(n)/doubted)
	least := keepPart * listed * s.share()
	for _, h := range s.order {
		v := &s.servers[h]
		if v.phase != Ready || !v.out && v.strikes < absences {
			continue
		}
		if v.out {
			// A proxy that joins from a cut-off zone proves the way there.
			if v.fine < 2 && (v.absent || !s.zoneBack[v.zone]) {
				continue
			}
			v.out, v.strikes, v.doubt, v.hold, v.r, v.back = false, 0, 0, s.now+s.settle, s.median, s.now
			if v.absent { // it may have restarted, and counts as cold
				v.started, v.back = s.now, longAgo
			}
			in += v.listed
			w.Log(Event{HostRecovering, h, nil})
			continue
		}
		// A cut, which also fits a lost zone that says nothing: nearly all of the zone's servers leave probes
		// unanswered at the same time, while nearly all of some other zone answer.
		cut := false
		for z := range all {
			cut = cut || z != v.zone && all[z] > 0 && float64(fine[z]) >= cutPart*float64(all[z])
		}
		cut = cut && all[v.zone] > 1 && float64(mute[v.zone]) >= cutPart*float64(all[v.zone])
		alone := v.strikes >= silences && s.few
		dry := s.heardAt-v.fed >= s.cycle*0.7 && (alone || cut)
		if (v.absent || dry) && in-v.listed >= least && in > v.listed {
			v.out, v.fine = true, 0
			in -= v.listed
			w.Log(Event{HostEjected, h, []Field{{"consecutive_failures", float64(v.strikes), 0},
				{"unreachable", indicator(v.absent), 0}, {"remaining_weight_ratio", in / listed, 2}}})
		}
	}
	clear(s.zoneBack)
}

// serving servers take part in moves: ready, in the tables with their full weight, and warm.
func (s *Balancer) serving(v *server) bool {
	return v.phase == Ready && !v.out && s.part(v) >= 1 && s.warmth(v, s.guard) >= 1
}

// warmth is the least part of its capacity that a server has after its start.
func (s *Balancer) warmth(v *server, g SafetyLimits) float64 {
	if v.started < 0 || s.now >= v.started+g.SlowStartMs {
		return 1
	}
	return g.SlowStartInitialFactor + (1-g.SlowStartInitialFactor)*math.Max(s.now-v.started, 0)/g.SlowStartMs
}

// part is what a server gets of its weight on trial, doubling each step.
func (s *Balancer) part(v *server) float64 {
	return math.Min(1, trialPart*math.Exp2(math.Floor((s.now-v.back)/trialStep)))
}

// left tells whether a base table should hold, or (held) holds already, a warm line. Where none should be,
// withdrawals are passed over; where none is held, additions go as early as removals.
func (s *Balancer) left(base int, held bool) bool {
	for _, h := range s.order {
		v := &s.servers[h]
		if s.base(v.zone) == base && (!held || v.told > 0) && s.warmth(v, s.guard) >= 1 && s.want(v, false) > 0 {
			return true
		}
	}
	return false
}

// heat tells whether cold servers may be sent to at all. Shunning proxies would send a fresh one all they
// have, and until sums show our own first orders nobody knows how the fleet fares under them. Where no
// ready server is warm, the cold ones together must bear the traffic.
func (s *Balancer) heat(ejects, multiple float64) bool {
	warm, able, all, held := false, 0.0, 0.0, 0.0
	for _, h := range s.order {
		v := &s.servers[h]
		all += v.listed
		if v.phase == Ready {
			able += v.listed * s.warmth(v, s.guard)
			if s.warmth(v, s.guard) >= 1 {
				if warm = true; v.told > 0 {
					held += math.Max(v.told, v.weight)
				}
			}
		}
	}
	// A cold host may have its part of what the warm ones and it can do; what is gone can do nothing.
	if s.thin = math.Min(1, held/math.Max(able, 1e-9)); !warm {
		s.thin = 1
		return able*multiple >= coldOnlyPart*all
	}
	return s.heardAt >= s.knowing && (ejects == 0 || math.Pow(1-s.fulfilled, ejects) <= shunned)
}

// want is the weight that a server should have. A cold one gets the least it can surely do, less where the
// fleet fails tries or its warm lines weigh less than listed: all proxies together stay under its budget.
func (s *Balancer) want(v *server, bare bool) float64 {
	warm := s.warmth(v, s.guard)
	if v.phase != Ready || !bare && v.out || warm < 1 && !s.heats {
		return 0
	}
	if warm < 1 {
		warm *= s.fulfilled * s.thin * math.Min(1, s.guard.CollapseMultiple*budgetPart)
	}
	// A host that fails its tries loses weight at once, whatever ails it; a fleet that fails does not.
	trust := math.Max(trustLeast, (v.won+2)/(v.won+v.lost+2))
	if trust > distrust*s.fulfilled {
		trust = 1
	}
	// A host that lets probes wait is slow long before its sums show it; where many do, the fleet is busy, and
	// what the doubted ones lose would only jam the next.
	if b := v.load.busy(); s.few && (b < 0 || b > idleUnder) {
		trust = math.Min(trust, math.Pow(doubtPart, v.doubt*s.doubts))
	}
	return math.Max(v.weight, floorPart*v.listed) * s.part(v) * warm * trust
}

// strain tells connections that fail or are dear from a lack of capacity: many servers fail tries although
// they answer probes and report idle cores. Then every proxy gets a table of its own with a few hosts, to
// which it keeps its connections. The strain no longer shows then, so the one table comes back by trial,
// after a time that doubles when it soon returns. Also guards against links that lose tries everywhere;
// harms where hosts fail tries for reasons of their own, by a coarser balance.
func (s *Balancer) strain(w UpdateWriter) {
	n, failing, idle, silent := 1.0, 0.0, 0.0, 0.0
	for _, h := range s.order {
		if v := &s.servers[h]; v.won+v.lost >= 1 && v.phase == Ready {
			n++
			silent += float64(min(v.strikes, 1))
			if v.lost > strainPart*(v.won+v.lost) {
				failing++
				if b := v.load.busy(); b >= 0 && b < easeUnder {
					idle++
				}
			}
		}
	}
	s.strained++
	if failing < strainHosts*n || idle < strainIdle*n || silent > strainSilent*n || s.now < s.stormNext {
		s.strained = 0
	}
	if s.dealt && s.now >= s.dealtUntil {
		s.dealt = false
		w.Log(Event{SubsetModeLeft, NoHost, []Field{{"success_ratio", s.fulfilled, 2}}})
	} else if !s.dealt && s.strained > 1 && !s.local {
		if s.dealtFor *= 2; s.now > s.dealtUntil+s.dealtFor || s.dealtFor == 0 {
			s.dealtFor = dealtFirst
		}
		s.dealt, s.dealtUntil = true, s.now+s.dealtFor
		w.Log(Event{SubsetModeEntered, NoHost, []Field{{"for_s", s.dealtFor / 1000, 0}, {"failing_hosts", failing, 0},
			{"hosts", n - 1, 0}, {"failing_idle_hosts", idle, 0}, {"success_ratio", s.fulfilled, 2}}})
	}
}

// busy is the part of a server's cores that a report shows as busy, below 0 if it shows nothing.
func (l HostLoad) busy() float64 {
	if l.Utilization < 0 && l.QueueLength >= 0 {
		return math.Min(1, idleQueue+l.QueueLength)
	}
	return l.Utilization
}

// deal fills up the hand of a proxy to the weight its traffic is due, with servers that carry least for
// their weight so far, of its own zone while they are under their fair share.
func (s *Balancer) deal(w UpdateWriter, i int, fair float64) int {
	p, got, free := &s.proxies[i], 0.0, []int(nil)
	near := func(v *server) bool { return v.zone == p.zone && v.carried < fair*v.told }
	for _, h := range s.order {
		if v := &s.servers[h]; slices.Contains(p.hand, h) {
			got += v.told
		} else if v.told > 0 && s.want(v, false) > 0 && s.warmth(v, s.guard) >= 1 {
			free = append(free, h)
		}
	}
	sort.SliceStable(free, func(i, j int) bool {
		a, b := &s.servers[free[i]], &s.servers[free[j]]
		return near(a) && !near(b) || near(a) == near(b) && a.carried*b.told < b.carried*a.told
	})
	had := len(p.hand)
	if s.resting {
		free, got = []int{s.keep}, 1e9
	}
	for _, h := range free {
		if len(p.hand) >= handLeast && got*fair >= p.rate {
			break
		}
		p.hand, got = append(p.hand, h), got+s.servers[h].told
		w.SetWeight(s.own(i), h, s.servers[h].told)
	}
	for _, h := range p.hand {
		s.servers[h].carried += p.rate / float64(len(p.hand))
	}
	return len(p.hand) - had
}

// open tells whether most proxies that got the last weights answered, or 2 s have passed.
func (s *Balancer) open() bool {
	return float64(s.answers) >= ackPart*float64(s.asked) || s.now >= s.markAt+ackWait
}

// publish writes what changed, as much as the channel takes: removals, then what guards cold and withdrawn
// servers, joins, and weights, the largest changes first, once most proxies have the last ones and the
// price of orders allows. Each may fill a part of the caps; what does not fit waits. In the channel is all
// that joined proxies have not answered, less as much as they answered within the last way of a message:
// that is taken to be on its way now. What is older than a full channel at the least pace has left it.
func (s *Balancer) publish(w UpdateWriter, c ControlChannel) {
	passed := s.now - s.filledAt
	s.filledAt = s.now
	s.purse = math.Min(c.EntriesPerSecond, s.purse+passed/1000*c.EntriesPerSecond*ordersPart/math.Max(c.Cost, ordersPart))
	s.arriving *= math.Exp(-passed / math.Max(c.PropagationDelayMs, 1))
	lines := make([]int, s.fleet.Zones+1)
	bound, unbound, most, fair := s.tally(c.MessageWindowMs, c.PropagationDelayMs+c.MaxBacklog/(c.EntriesPerSecond*crawl)*1000)
	s.costs = grown(s.costs, len(s.proxies), 0)
	clear(s.costs)
	b := &batch{before: math.Max(0, s.waiting-s.arriving), head: c.MessageOverhead + 1 + float64(len(s.shares)),
		cost: s.costs}
	b.queue = b.before
	if s.number == 0 && unbound == 0 {
		return
	}
	fits := func(n int, part float64) bool {
		cost := b.queue + float64(n) + float64(min(n, bound-b.asked))*b.head
		return cost <= part*c.MaxBacklog && cost+s.waiting-b.before <= drainsTo*c.MaxBacklog &&
			(b.asked >= bound || c.may(most, part))
	}
	if heats := s.heat(float64(s.fleet.ProxyEjectAfter), s.guard.CollapseMultiple); heats != s.heats {
		s.heats = heats
		w.Log(Event{SlowStartChanged, NoHost, []Field{{"allowed", indicator(heats), 0}, {"success_ratio", s.fulfilled, 2}}})
	}
	bare, thin := make([]bool, len(lines)), make([]bool, len(lines))
	for z := range s.fleet.Zones {
		bare[s.base(z)], thin[s.base(z)] = !s.left(s.base(z), false), !s.left(s.base(z), true)
	}
	var later []change
	soon := s.now >= s.urgentAt+gather
	order := slices.Clone(s.order)
	if s.behind { // the channel is short: first what has waited longest
		sort.SliceStable(order, func(i, j int) bool {
			return s.servers[order[i]].since < s.servers[order[j]].since
		})
	}
	behind := false // a removal or start is not told yet: what else a proxy gets would count as knowing it
	for rank, part := range []float64{drainsTo, drainsTo, guardsTo} {
		for _, h := range order {
			v := &s.servers[h]
			want, scant := s.want(v, bare[s.base(v.zone)]), thin[s.base(v.zone)]
			started := v.phase == Ready && s.starting(v)
			if first := rank < 2; first != (v.phase != Ready || started) || first && started != (rank == 1) {
				continue
			}
			if want > 0 {
				lines[s.base(v.zone)]++
			}
			size, guards := math.Abs(want-v.told), started || want == 0 || scant && v.told == 0
			if size > 0 && (v.holders == 0 || guards && !behind && (soon || scant) && fits(v.holders, part)) {
				if v.holders > 0 {
					s.urgentAt = s.now
				}
				s.write(w, h, want, b)
			} else if behind = behind || rank < 2 && size > 0; size > worthTell*math.Max(v.told, floorPart*v.listed) {
				later = append(later, change{h, want, size})
			}
		}
	}
	s.behind = behind
	if s.open() && !behind && fits(bound, guardsTo) {
		s.tellLevels(w, b)
	}
	s.join(w, c, b, unbound, lines, fair, behind)
	b.number = s.number%60000 + 1
	// A drain that comes next must still leave in time, unless no line to all proxies does.
	spare, line := c.EntriesPerSecond*s.guard.DrainGraceMs/1000*weightsIn, float64(bound)*(b.head+1)
	if start := b.queue; s.open() && !behind {
		sort.SliceStable(later, func(i, j int) bool { return later[i].size > later[j].size })
		for _, l := range later {
			if was := b.queue; (s.purse > 0 || was > start) && fits(s.servers[l.h].holders, weightsTo) &&
				(was <= spare || line > spare) {
				s.write(w, l.h, l.want, b)
				s.purse -= b.queue - was
			}
		}
		if b.queue > start {
			s.mark, s.markAt, s.asked, s.answers = b.number, s.now, b.asked, 0
		}
	}
	if b.queue > b.before {
		w.StampVersion(b.number)
		s.number = b.number
	}
	for i, cost := range b.cost {
		if p := &s.proxies[i]; cost > 0 {
			p.sent = append(p.sent, s.now)
			p.unanswered = append(p.unanswered, message{b.number, cost, s.now})
			s.waiting += cost
		}
	}
}

// may tells whether a proxy that was sent so many messages may be sent one more within a part of the cap.
func (c ControlChannel) may(sent int, part float64) bool {
	return c.MaxMessages == 0 || float64(sent+2) <= part*float64(c.MaxMessages)
}

// tooLate tells whether so many lines take too long to keep the grace for drains.
func (s *Balancer) tooLate(lines float64, c ControlChannel) bool {
	return lines/(c.EntriesPerSecond*slowest)*1000 > s.guard.DrainGraceMs*inTime
}

// starting tells whether the tables hold far more of a cold server than it may get, whatever the fleet fails:
// that cuts all cold ones at once, and would keep removals out of the channel.
func (s *Balancer) starting(v *server) bool {
	return s.warmth(v, s.guard) < 1 && s.want(v, false) < v.told*startsTo*s.fulfilled
}

// write sets the line of a server in every table that holds it.
func (s *Balancer) write(w UpdateWriter, h int, want float64, b *batch) {
	v := &s.servers[h]
	v.told = want
	w.SetWeight(s.base(v.zone), h, want)
	for i := 0; v.holders > 0 && i < len(s.proxies); i++ {
		p := &s.proxies[i]
		if at := slices.Index(p.hand, h); p.joined && p.bound && p.own && at >= 0 {
			b.reach(i, 1)
			if s.warmth(v, s.guard) < 1 { // a cold one might be all that is left of a hand
				want = 0
			}
			if w.SetWeight(s.own(i), h, want); want == 0 {
				p.hand = slices.Delete(p.hand, at, at+1)
			}
		} else if p.joined && p.bound && !p.own && s.base(p.zone) == s.base(v.zone) {
			b.reach(i, 1)
		}
	}
}

// join binds proxies to the shared table: those without a table of ours first, then by their traffic. One
// that cannot have the whole table in time first gets a few hosts, since it must not go on by an old one;
// so does every proxy under strain. A hand that lost servers is filled up.
func (s *Balancer) join(w UpdateWriter, c ControlChannel, b *batch, unbound int, lines []int, fair float64, behind bool) {
	whole := func(p *proxy) float64 { return float64(lines[s.base(p.zone)]) + 2 }
	short := func(p *proxy) bool {
		return p.own && !s.resting && (len(p.hand) < handLeast || p.held*fair < shortHand*p.rate)
	}
	var due []int
	for i := range s.proxies {
		if p := &s.proxies[i]; p.joined && (!p.bound || p.own != s.dealt && !s.resting || short(p)) {
			due = append(due, i)
		}
	}
	sort.SliceStable(due, func(i, j int) bool {
		a, b := &s.proxies[due[i]], &s.proxies[due[j]]
		return !a.bound && b.bound || a.bound == b.bound && a.rate > b.rate
	})
	for _, i := range due {
		p := &s.proxies[i]
		if !c.may(len(p.sent), guardsTo) && (p.bound || !c.may(len(p.sent), drainsTo)) {
			continue
		}
		cost := whole(p) + b.head
		late := !s.local && s.tooLate(float64(unbound)*cost+b.before, c)
		few := s.dealt || s.resting || (late || behind) && !p.bound
		room := b.queue+cost <= joinsTo*c.MaxBacklog || b.queue == 0
		if !few && !behind && room && (!p.bound || s.purse > c.EntriesPerSecond/2) {
			if b.reach(i, cost-b.head); p.bound {
				s.purse -= cost
			}
			w.AssignTable(i, s.base(p.zone), 0)
			p.bound, p.own = true, false
		} else if !s.local && (few && !p.own || short(p) && !behind) &&
			b.queue+b.head+handLeast <= guardsTo*c.MaxBacklog {
			for !p.own && len(p.hand) > 0 {
				w.SetWeight(s.own(i), p.hand[0], 0)
				p.hand = p.hand[1:]
			}
			if n := s.deal(w, i, fair); n > 0 {
				if b.reach(i, float64(n)); !p.own {
					b.reach(i, 1)
					w.AssignTable(i, s.own(i), 0)
				}
				p.bound, p.own = true, true
			}
		}
	}
}

// tellLevels writes what changed of levels and ways of trying again, for all joined proxies. A further try
// follows only proof that the first never ran, so it is safe for every class.
func (s *Balancer) tellLevels(w UpdateWriter, b *batch) {
	changed := s.tries != s.toldTries
	s.toldTries = s.tries
	for k, share := range s.shares {
		if math.Abs(share-s.toldShares[k]) <= 0.02 && !changed {
			continue
		}
		s.toldShares[k] = share
		if !s.fleet.AdmissionControl {
			share = unlimited
		}
		w.SetAdmission(AllTables, 1<<k, share, s.tries)
		for i := range s.proxies {
			if s.proxies[i].joined {
				b.reach(i, 1)
			}
		}
	}
}
