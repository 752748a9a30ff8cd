// All decisions of barleysail are in this file; the interface (settings, Writer) is in steward.go beside it.
//
// The caller makes one Steward an instance with New, notes what came in (WholeList or ListChange and Entry, Joined,
// Left, Heard, Usage, Answered, Probed, Woken), and then calls Round once a batch. Noting only records; Round decides
// and writes orders to the Writer. Times are milliseconds, hosts and proxies are small indices given by the caller.
package decide

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"sort"
)

const (
	tick       = 200.0 // ms between rounds of periodic work
	epsilon    = 0.05  // share of transactions that may miss the deadline d
	dMedians   = 3.2   // deadline d as a multiple of the median response time: a median server has a little room
	capLeast   = 0.5   // the cap is never under this part of the service rate
	floorPart  = 0.1   // a server keeps this part of its listed share
	driftPart  = 0.05  // of the way back to the listed weight, each report round
	memory     = 0.8   // what earlier sums count for after a report round
	average    = 4.0   // answers of average time that each server is taken to have given besides
	ackPart    = 0.8   // of the proxies that answered a mark: the next changes may go
	ackWait    = 2000.0
	worthTell  = 0.06 // relative change of a weight that is worth a line
	slowest    = 0.5  // the channel is taken to run at this part of its pace
	probePart  = 0.003
	surprise   = 0.001 // the chance under which a row of unanswered probes proves a server silent
	absences   = 2     // probes that found nothing in a row that prove a server gone
	stormPart  = 0.6   // of the servers and of their tries that fail in a storm of repeats
	shunned    = 0.1   // part of its failures in a row at which a cold server is kept out of a fleet that shuns
	cutPart    = 0.75
	trialPart  = 0.4
	keepPart   = 0.34 // of the listed weight that stays in the tables whatever the probes say
	shedAbove  = 0.9
	shedTo     = 0.85
	easeUnder  = 0.8
	levelLeast = 0.1
)

// server is what the steward knows of one host.
type server struct {
	zone             int
	phase            Phase
	seen             bool
	listed, started  float64 // listed weight; time of the last known start, or -1 where that is long ago
	weight           float64 // where the moves have put it, in units of listed weight
	told             float64 // the weight that the tables hold
	good, bad        float64 // decayed sums: fulfilled tries, failed tries
	time, span       float64 // decayed sums: response times, time counted over
	newGood, newBad  int
	newTime, newSpan float64
	util, queue, qps float64
	rate, r          float64 // λ and R
	rateGood         float64 // decayed: fulfilled tries
	hold             float64 // no move before this time
	strikes, fine    int
	asked, missed    float64 // decayed: finished probes, and those of them that had no answer
	dry              int     // report rounds in a row without a fulfilled try
	absent           bool    // the last strike found nothing at all
	out, rest        bool    // withdrawn; resting in a storm
	part             float64
	back             float64 // when the trial may take its next step
	probing          bool
}

type proxy struct {
	zone          int
	usual         float64
	joined, bound bool
}

type due struct {
	at   float64
	host int // below 0: ask for the list again
}

// Steward decides for one instance.
type Steward struct {
	set                            Settings
	now                            float64
	servers                        []server
	order                          []int // listed hosts in the order they were first met
	proxies                        []proxy
	dues                           []due
	listKnown, watching, askFailed bool
	askWait                        float64
	wakeAt, heardAt, lastHeard     float64
	heard                          bool
	gap, settle                    float64
	median, fulfilled              float64 // median R; share of tries fulfilled
	came, newCame                  []float64
	level                          float64
	storm                          int
	zoneBack                       []bool // a proxy of the zone has joined since the last round
	restEnd, stormNext             float64
	levelHold                      float64
	shares, toldShares             []float64
	tries, toldTries               int
	mark, marked, answered         int
	markAt                         float64
	sent                           []float64
	queued, queuedAt               float64
	counter                        uint64
}

// New makes the steward of an instance that has just started.
func New(set Settings) *Steward {
	s := &Steward{set: set, level: 1, tries: 1, fulfilled: 1, toldTries: set.UsualTries, wakeAt: -1, heardAt: -1, lastHeard: -1}
	for range set.Classes {
		s.came, s.newCame = append(s.came, 0), append(s.newCame, 0)
		s.shares, s.toldShares = append(s.shares, 1), append(s.toldShares, 1)
	}
	s.zoneBack = make([]bool, max(set.Zones, 1))
	s.settle = set.Channel.Late + 2*set.Period
	return s
}

func (s *Steward) server(h int) *server {
	for len(s.servers) <= h {
		s.servers = append(s.servers, server{started: -1, part: 1, util: -1, queue: -1, qps: -1})
	}
	return &s.servers[h]
}

func (s *Steward) proxy(p int) *proxy {
	for len(s.proxies) <= p {
		s.proxies = append(s.proxies, proxy{})
	}
	return &s.proxies[p]
}

// WholeList notes that the entries which follow are the whole list.
func (s *Steward) WholeList(cached bool) {
	for i := range s.servers {
		s.servers[i].phase = Gone
	}
	s.listKnown = s.listKnown || !cached
	s.watching = s.watching || !cached
}

// ListChange notes that the entries which follow are changes.
func (s *Steward) ListChange() { s.watching = true }

// ListFailed notes that a call for the list failed or that the list no longer sends its changes.
func (s *Steward) ListFailed() { s.askFailed = true }

// Entry notes an entry of the list.
func (s *Steward) Entry(host, zone int, phase Phase, listed, started float64) {
	v := s.server(host)
	if listed <= 0 {
		listed = 1
	}
	if !v.seen {
		s.order = append(s.order, host)
		if s.listKnown && started <= 0 {
			started = s.now
		}
		v.weight = listed
	}
	if v.seen {
		v.weight *= listed / v.listed
	}
	v.seen, v.zone, v.phase, v.listed = true, zone, phase, listed
	if started > 0 && started != v.started {
		*v = server{zone: zone, phase: phase, seen: true, listed: listed, started: started, weight: listed, part: 1,
			told: v.told, util: -1, queue: -1, qps: -1, probing: v.probing}
	}
}

// Joined notes that a proxy's stream stands.
func (s *Steward) Joined(p, zone int, usual float64) {
	*s.proxy(p) = proxy{zone: zone, usual: usual, joined: true}
	s.zoneBack[zone] = true
}

// Left notes that a proxy's stream broke.
func (s *Steward) Left(p int) { s.proxy(p).joined = false }

// Heard notes the sums of what the proxies of a zone met at a host.
func (s *Steward) Heard(host, zone, tries, failed int, mean, span float64, load Load) {
	v := s.server(host)
	good := max(tries-failed, 0)
	v.newGood, v.newBad = v.newGood+good, v.newBad+failed
	v.newTime, v.newSpan = v.newTime+mean*float64(good), math.Max(v.newSpan, span)
	s.noteLoad(v, load)
	s.heard = true
}

func (s *Steward) noteLoad(v *server, load Load) {
	if load.Util >= 0 {
		v.util = load.Util
	}
	if load.Queue >= 0 {
		v.queue = load.Queue
	}
	if load.Rate >= 0 {
		v.qps = load.Rate
	}
}

// Usage notes the transactions of a class that came to a proxy.
func (s *Steward) Usage(p, class, came, unanswered int, span float64) {
	s.newCame[class] += float64(came)
}

// Answered notes that a proxy applied the messages up to a mark.
func (s *Steward) Answered(p, number int, took float64) {
	if number == s.mark && s.marked > 0 {
		s.answered++
	}
}

// Probed notes the end of a probe.
func (s *Steward) Probed(host int, how Outcome, took float64, load Load) {
	v := s.server(host)
	v.probing = false
	switch how {
	case Fine:
		v.asked, v.missed = v.asked*0.9+float64(v.strikes+1), v.missed*0.9+float64(v.strikes)
		v.strikes, v.fine = 0, v.fine+1
		s.noteLoad(v, load)
	case Silent, Unreachable:
		v.strikes, v.fine, v.absent = v.strikes+1, 0, how == Unreachable
	}
}

// Woken notes that the timer is due.
func (s *Steward) Woken() {}

// Round decides on all that was noted since the last round.
func (s *Steward) Round(now float64, w Writer) {
	s.now = now
	first := s.wakeAt < 0
	if s.set.MustAsk {
		s.follow(w, first)
	}
	if first {
		for _, h := range s.order {
			s.add(now+s.chance()*1000, h)
		}
	}
	if first || now >= s.wakeAt {
		s.wakeAt = now + tick
		w.Wake(s.wakeAt)
		if s.heard && now-s.heardAt >= s.set.Period*0.9 {
			s.report(w)
		}
	}
	s.runDue(w)
	s.judge(w, s.set.Guard.Cold)
	s.publish(w, s.set.Channel)
}

// chance gives the next figure from 0 to 1.
func (s *Steward) chance() float64 {
	var b [16]byte
	s.counter++
	binary.LittleEndian.PutUint64(b[:8], s.set.Seed)
	binary.LittleEndian.PutUint64(b[8:], s.counter)
	return float64(crc32.ChecksumIEEE(b[:])) / (1 << 32)
}

func (s *Steward) add(at float64, host int) {
	i := sort.Search(len(s.dues), func(i int) bool { return s.dues[i].at > at })
	s.dues = append(s.dues, due{})
	copy(s.dues[i+1:], s.dues[i:])
	s.dues[i] = due{at, host}
}

// follow keeps the subscription to the list where the list must be asked. A failed call is repeated after a wait that
// doubles up to a bound, with some chance in it so that stewards do not ask in step.
func (s *Steward) follow(w Writer, first bool) {
	if first {
		w.Watch()
	}
	if s.askFailed {
		s.askFailed, s.watching = false, false
		s.askWait = math.Min(math.Max(2*s.askWait, 250), 4000)
		s.add(s.now+s.askWait*(0.5+s.chance()), -1)
		w.Log(fmt.Sprintf("list call failed, asking again within %.0f ms", s.askWait*1.5))
	}
	if s.watching {
		s.askWait = 0
	}
}

func (s *Steward) runDue(w Writer) {
	for len(s.dues) > 0 && s.dues[0].at <= s.now {
		h := s.dues[0].host
		s.dues = s.dues[1:]
		if h < 0 {
			w.Watch()
			continue
		}
		v := &s.servers[h]
		if !s.set.MayProbe {
			continue
		}
		if v.phase == Ready && !v.probing {
			v.probing = true
			w.Probe(h)
		}
		s.add(s.now+s.probeEvery(s.set.Goal.ProbePrice, v.strikes > 0 && !v.out), h)
	}
}

// probeEvery spaces the probes so that their price stays under a small part of the result.
func (s *Steward) probeEvery(price float64, suspect bool) float64 {
	total := 0.0
	for _, h := range s.order {
		total += s.servers[h].rate
	}
	every := 1000.0
	if price > 0 && total > 0 {
		every = float64(len(s.order)*s.set.Instances) * price / (probePart * total * s.share()) * s.share() * 1000
	}
	if suspect {
		return 300
	}
	return math.Min(math.Max(every, 500), 2000)
}

// share is the part of all proxies that are joined here.
func (s *Steward) share() float64 {
	joined := 0
	for i := range s.proxies {
		if s.proxies[i].joined {
			joined++
		}
	}
	return math.Max(float64(joined)/float64(s.set.Proxies), 1e-3)
}

// report takes in a round of sums, and moves load.
func (s *Steward) report(w Writer) {
	if s.lastHeard >= 0 {
		s.gap = math.Max(s.now-s.lastHeard-s.set.Period, s.gap*memory)
	}
	s.lastHeard, s.heardAt, s.heard = s.now, s.now, false
	for c := range s.came {
		s.came[c], s.newCame[c] = s.came[c]*memory+s.newCame[c], 0
	}
	s.estimate(s.share())
	s.shift(w, s.set.Zones)
	if s.set.Admits {
		s.admit(w, s.set.Classes, s.set.Goal)
	} else {
		s.relieve(w, s.set.Classes)
	}
}

// estimate brings λ and R of each server up to date. A failed try counts as one that took the deadline d, so that
// quick errors and few answers never read as room.
func (s *Steward) estimate(share float64) {
	var heard []float64
	good, all := 1.0, 1.0
	for _, h := range s.order {
		v := &s.servers[h]
		v.dry++
		if v.newGood > 0 {
			v.dry = 0
		}
		if s.now < v.hold-s.set.Period {
			v.good, v.bad, v.time, v.span = 0, 0, 0, 0
		} else {
			v.good = v.good*memory + float64(v.newGood)
			v.bad = v.bad*memory + float64(v.newBad)
			v.time = v.time*memory + v.newTime
			v.span = v.span*memory + math.Max(v.newSpan, s.set.Period)
		}
		v.rateGood = v.rateGood*memory + float64(v.newGood)
		good, all = good+float64(v.newGood), all+float64(v.newGood+v.newBad)
		v.newGood, v.newBad, v.newTime, v.newSpan = 0, 0, 0, 0
		if v.span > 0 {
			v.r = (v.time + (v.bad*dMedians+average)*s.median) / (v.good + v.bad + average)
			v.rate = (v.good + v.bad) / v.span * 1000 / share
			if v.qps >= 0 {
				v.rate = math.Max(v.qps, v.rate*0.5)
			}
		}
		if s.serving(v) && v.good >= average {
			heard = append(heard, v.time/v.good)
		}
	}
	s.fulfilled = math.Min(good/all, 0.5*s.fulfilled+0.5*good/all)
	if len(heard) > 0 {
		sort.Float64s(heard)
		s.median = heard[len(heard)/2]
	}
}

func (s *Steward) serving(v *server) bool {
	return v.phase == Ready && !v.out && v.part >= 1 && s.warmth(v, s.set.Guard) >= 1
}

// warmth is the least part of its capacity that a server has after its start.
func (s *Steward) warmth(v *server, g Guard) float64 {
	if v.started < 0 || s.now >= v.started+g.Cold {
		return 1
	}
	return g.ColdFrom + (1-g.ColdFrom)*math.Max(s.now-v.started, 0)/g.Cold
}

// capOf gives the arrival rate up to which a server meets the deadline d = 4 x median R, all but a part epsilon.
func capOf(rate, r, median float64) float64 {
	mu := rate + 1000/r
	k := math.Abs(math.Log(epsilon) / (dMedians * median) * 1000)
	return math.Max(mu-k, mu*capLeast)
}

// shift is the design's mechanism: from the most overloaded server, min{excess, room, sender's rate} goes to the
// roomiest, servers of the same zone first; with none over its cap the weights drift back.
func (s *Steward) shift(w Writer, zones int) {
	if s.median <= 0 {
		return
	}
	type load struct {
		host        int
		excess, can float64
	}
	var over, all []load
	total, weights := 0.0, 0.0
	for _, h := range s.order {
		v := &s.servers[h]
		if !s.serving(v) {
			continue
		}
		total, weights = total+v.rate, weights+v.weight
		if s.now < v.hold || v.good+v.bad < 1 || v.r <= 0 {
			continue
		}
		l := load{h, v.rate - capOf(v.rate, v.r, s.median), v.rate * (1 - floorPart*v.listed/math.Max(v.weight, 1e-9))}
		all = append(all, l)
		if l.excess > 0 && math.Min(l.excess, l.can) > worthTell*v.rate {
			over = append(over, l)
		}
	}
	if total <= 0 {
		return
	}
	sort.SliceStable(over, func(i, j int) bool { return over[i].excess > over[j].excess })
	for _, o := range over {
		from := &s.servers[o.host]
		sort.SliceStable(all, func(i, j int) bool {
			a, b := s.servers[all[i].host].zone == from.zone, s.servers[all[j].host].zone == from.zone
			if a != b {
				return a
			}
			return all[i].excess < all[j].excess
		})
		for i := range all {
			move := math.Min(math.Min(o.excess, -all[i].excess), o.can)
			if move <= 0 {
				continue
			}
			to := &s.servers[all[i].host]
			from.weight -= move / total * weights
			to.weight += move / total * weights
			all[i].excess += move
			o.excess, o.can = o.excess-move, o.can-move
			from.hold, to.hold = s.now+s.settle+s.gap, s.now+s.settle+s.gap
		}
	}
	if len(over) == 0 {
		for _, h := range s.order {
			if v := &s.servers[h]; s.now >= v.hold {
				v.weight += driftPart * (v.listed - v.weight)
			}
		}
	}
}

// admit sets how much is let in. Only measured overload lowers it: busy cores, together with failed tries or response
// times that eat up the due time. The level then goes to what was fulfilled of all that came, and back by steps.
func (s *Steward) admit(w Writer, classes []Class, goal Goal) {
	busy, n, good, slow := 0.0, 0.0, 0.0, 0.0
	for _, h := range s.order {
		v := &s.servers[h]
		if s.serving(v) && v.util >= 0 {
			busy, n = busy+v.util*v.weight, n+v.weight
		}
		good, slow = good+v.rateGood, slow+v.rateGood*v.r
	}
	came, dueMean := 1e-9, 0.0
	for c := range s.came {
		came += s.came[c]
		dueMean += s.came[c] * classes[c].Due
	}
	dueMean, slow = dueMean/came, slow/math.Max(good, 1e-9)
	if n <= 0 || s.now < s.levelHold {
		return
	}
	busy /= n
	was := s.level
	if busy > shedAbove && (s.fulfilled < 0.93 || slow > 0.4*dueMean) {
		s.level = math.Max(s.level*math.Min(math.Max(shedTo*s.fulfilled, 0.6), 0.9), levelLeast)
	} else if busy < easeUnder && s.level < 1 {
		s.level = math.Min(1, s.level*math.Min(math.Max(shedTo/busy, 1.1), 1.6))
	}
	if s.level == was {
		return
	}
	s.levelHold = s.now + s.settle + s.gap
	w.Log(fmt.Sprintf("level %.2f: busy %.2f, fulfilled %.2f, R %.0f of %.0f ms", s.level, busy, s.fulfilled, slow, dueMean))
	s.tries = 1
	if s.level < 1 {
		s.tries = 0
	}
	s.spread(classes, goal)
}

// relieve ends a storm of repeats where proxies heed no level: nearly every server fails nearly all tries, and the work
// that clients gave up on keeps it so after the cause is gone. All but one server rest until the patience of every
// class is over, then all return together with empty queues. It must not act on a cut or a hang, where some servers
// fulfil; under a lasting lack of capacity it trades a steady failure for good spells.
func (s *Steward) relieve(w Writer, classes []Class) {
	n, failing, keep := 0, 0, -1
	for _, h := range s.order {
		v := &s.servers[h]
		if v.good+v.bad >= 1 {
			n++
			if v.bad > (v.good+v.bad)*stormPart {
				failing++
			}
		}
		if s.serving(v) && (keep < 0 || v.listed > s.servers[keep].listed) {
			keep = h
		}
	}
	s.tries = 1
	if s.fulfilled < 0.8 {
		s.tries = 0
	}
	s.storm++
	if s.fulfilled > 1-stormPart || float64(failing) < stormPart*float64(n) {
		s.storm = 0
	}
	if s.storm < 2 || s.now < s.stormNext || keep < 0 {
		return
	}
	rest := 0.0
	for _, c := range classes {
		rest = math.Max(rest, c.Patience)
	}
	s.restEnd = s.now + math.Min(rest, s.set.Guard.Bare/2) + s.set.Channel.Late
	s.stormNext = s.restEnd + s.settle + s.gap
	w.Log(fmt.Sprintf("storm: %d of %d hosts failing, fulfilled %.2f: all but host %d rest %.0f ms", failing, n, s.fulfilled,
		keep, s.restEnd-s.now))
	for _, h := range s.order {
		v := &s.servers[h]
		v.rest, v.weight, v.hold = h != keep, v.listed, s.restEnd+s.settle
	}
}

// spread deals the level out to the classes: the least earnings per work go first, unless the worst-served class
// weighs so much that cutting all evenly costs less. The due time stands for the work of a class, which is not told.
func (s *Steward) spread(classes []Class, goal Goal) {
	work, earn := make([]float64, len(classes)), make([]float64, len(classes))
	order := make([]int, len(classes))
	sumWork, sumEarn := 0.0, 0.0
	for c, k := range classes {
		n := s.came[c] + 1
		work[c], earn[c], order[c] = n*k.Due, n*k.Earnings, c
		sumWork, sumEarn = sumWork+work[c], sumEarn+earn[c]
	}
	sort.SliceStable(order, func(i, j int) bool {
		return earn[order[i]]*work[order[j]] < earn[order[j]]*work[order[i]]
	})
	low := order[0]
	weight := math.Max(goal.Whole+goal.WorstClass, 1e-9)
	cost := (goal.Whole/weight*earn[low]/math.Max(sumEarn, 1e-9) + goal.WorstClass/weight) / (work[low] / sumWork)
	cut := (1 - s.level) * sumWork
	for _, c := range order {
		s.shares[c] = s.level
		if cost < 1 {
			part := math.Min(cut, work[c]*(1-levelLeast))
			s.shares[c], cut = 1-part/work[c], cut-part
		}
	}
}

// judge withdraws servers on proof and lets them return by trial.
func (s *Steward) judge(w Writer, cold float64) {
	listed, in, silent, n := 0.0, 0.0, 0, 0
	asked, missed := 20.0, 1.0
	for _, h := range s.order {
		if v := &s.servers[h]; v.phase == Ready {
			listed += v.listed
			n++
			asked, missed = asked+v.asked, missed+v.missed
			if v.strikes > 0 && !v.absent {
				silent++
			}
			if !v.out {
				in += v.listed
			}
		}
	}
	for _, h := range s.order {
		v := &s.servers[h]
		if v.phase != Ready {
			continue
		}
		cut := s.cut(v.zone)
		chance := math.Max(missed/asked, (v.missed+missed/asked)/(v.asked+1))
		proof := float64(v.strikes) >= math.Max(absences, math.Log(surprise)/math.Log(chance)) && silent*4 <= n+3 && v.dry > 0 && s.fulfilled > 0.5
		proof = proof || (v.absent || cut && v.dry > 0) && v.strikes >= absences
		if !v.out && proof && in-v.listed >= keepPart*listed*s.share() && in > v.listed {
			v.out, v.part, v.fine = true, trialPart, 0
			in -= v.listed
			w.Log(fmt.Sprintf("withdraw host %d: %d probes failed, absent %v, %.2f of the weight left", h, v.strikes,
				v.absent, in/listed))
		} else if v.out && (v.fine >= 2 || s.zoneBack[v.zone] && !v.absent) {
			// A proxy that joins from a cut-off zone proves the way there; its traffic must not all go elsewhere.
			v.strikes, v.out, v.back, v.hold, v.r = 0, false, s.now+1000, s.now+s.settle, s.median
			in += v.listed
			if v.absent {
				v.started, v.part = s.now, 1
			}
			w.Log(fmt.Sprintf("return host %d on trial", h))
		} else if !v.out && v.part < 1 && s.now >= v.back {
			v.part, v.back = math.Min(1, v.part*2), s.now+1000
		}
	}
	clear(s.zoneBack)
}

// cut tells a zone out of reach from an overload: nearly all its servers leave probes unanswered at the same time,
// while nearly all of some other zone answer. It also fits a lost zone that says nothing.
func (s *Steward) cut(zone int) bool {
	mine, other := false, false
	for z := range s.set.Zones {
		n, silent := 0.0, 0.0
		for _, h := range s.order {
			if v := &s.servers[h]; v.zone == z && v.phase == Ready {
				n++
				if v.strikes >= absences {
					silent++
				}
			}
		}
		mine = mine || z == zone && n > 1 && silent >= cutPart*n
		other = other || z != zone && n > 0 && silent <= (1-cutPart)*n
	}
	return mine && other
}

// bare tells that withdrawals, rests and the care for cold servers together would leave no warm line. Then they are
// all passed over: a host that may fail is better than none.
func (s *Steward) bare() bool {
	for _, h := range s.order {
		if v := &s.servers[h]; s.warmth(v, s.set.Guard) >= 1 && s.want(v, false) > 0 {
			return false
		}
	}
	return true
}

// want is the weight that a server should have in the tables.
func (s *Steward) want(v *server, bare bool) float64 {
	if v.phase != Ready || !bare && (v.out || v.rest && s.now < s.restEnd) {
		return 0
	}
	warm := s.warmth(v, s.set.Guard)
	if warm < 1 {
		warm *= s.fulfilled
		// Proxies that shun hosts after failures of their own would send all they have to a fresh one.
		if e := s.set.Ejects; e > 0 && math.Pow(1-s.fulfilled, float64(e)) > shunned {
			return 0
		}
	}
	return math.Max(v.weight, floorPart*v.listed) * v.part * warm
}

// publish writes what changed. Removals go at once, other changes once the last mark was mostly answered.
func (s *Steward) publish(w Writer, c Channel) {
	s.queued = math.Max(0, s.queued-(s.now-s.queuedAt)/1000*c.LinesPerS*slowest)
	s.queuedAt = s.now
	joined, waiting := 0, 0
	for i := range s.proxies {
		if p := &s.proxies[i]; p.joined && p.bound {
			joined++
		} else if p.joined {
			waiting++
		}
	}
	if s.mark == 0 && waiting == 0 {
		return
	}
	for len(s.sent) > 0 && s.sent[0] < s.now-c.MessagesOver {
		s.sent = s.sent[1:]
	}
	room := func(part float64, lines int) bool {
		if c.MessagesMost > 0 && float64(len(s.sent)+2) > part*float64(c.MessagesMost) {
			return false
		}
		return s.queued+float64(joined)*(c.Head+float64(lines)) <= part*c.MostWaiting
	}
	open := float64(s.answered) >= ackPart*float64(s.marked) || s.now >= s.markAt+ackWait
	var urgent, plain []int
	bare := s.bare()
	lines := 0
	for _, h := range s.order {
		v := &s.servers[h]
		want := s.want(v, bare)
		if want > 0 {
			lines++
		}
		if want == v.told {
			continue
		}
		cold := s.warmth(v, s.set.Guard) < 1
		switch {
		case want == 0 && v.told > 0, bare, cold && want < v.told*0.9:
			urgent = append(urgent, h)
		case math.Abs(want-v.told) > worthTell*math.Max(v.told, 0.1*v.listed):
			plain = append(plain, h)
		}
	}
	wrote := 0
	if len(urgent) > 0 && room(0.9, len(urgent)) {
		wrote += s.tell(w, urgent, bare)
	}
	if (open || s.mark == 0) && room(0.5, len(plain)) {
		wrote += s.tell(w, plain, bare)
		wrote += s.tellLevels(w)
	}
	for i := range s.proxies {
		p := &s.proxies[i]
		if !p.joined || p.bound {
			continue
		}
		cost := c.Head + 2 + float64(lines+len(s.shares))
		if s.queued+cost > 0.95*c.MostWaiting {
			continue
		}
		s.queued += cost
		p.bound = true
		w.Bind(i, 0, 0)
		if wrote == 0 {
			wrote = -1
		}
	}
	if wrote == 0 {
		return
	}
	s.mark = s.mark%60000 + 1
	s.marked, s.answered, s.markAt = joined, 0, s.now
	if wrote > 0 {
		s.sent = append(s.sent, s.now)
		s.queued += float64(joined) * (c.Head + float64(wrote) + 1)
	}
	w.Mark(s.mark)
}

func (s *Steward) tell(w Writer, hosts []int, bare bool) int {
	for _, h := range hosts {
		v := &s.servers[h]
		v.told = s.want(v, bare)
		w.Line(0, h, v.told)
	}
	return len(hosts)
}

func (s *Steward) tellLevels(w Writer) int {
	n := 0
	for c := range s.shares {
		if math.Abs(s.shares[c]-s.toldShares[c]) > 0.02 || s.tries != s.toldTries {
			s.toldShares[c] = s.shares[c]
			w.Level(0, 1<<c, s.shares[c], s.tries)
			n++
		}
	}
	s.toldTries = s.tries
	return n
}
