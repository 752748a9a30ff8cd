// All decisions of barleysail are in this file; the interface (settings, Writer) is in steward.go beside
// it.
//
// The caller makes one Steward an instance with New, notes what came in (WholeList or ListChange and Entry,
// Joined, Left, Heard, Usage, Answered, Probed), and then calls Round once a batch, also when the timer
// asked for by Wake is due. Noting only records; Round decides and writes orders to the Writer. Hosts and
// proxies are small indices.
package decide

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"math"
	"sort"
)

const (
	tick         = 200.0  // ms between rounds of periodic work
	epsilon      = 0.05   // part of the transactions that may miss the deadline d
	dMedians     = 3.2    // d as a multiple of the median response time: a median server has a little room
	capLeast     = 0.5    // the cap is never under this part of the service rate
	floorPart    = 0.1    // a server keeps this part of its listed share
	driftPart    = 0.05   // of the way back to the listed weight, each report round
	memory       = 0.8    // what earlier sums count for after a report round
	shortly      = 0.5    // the same for the share of tries fulfilled
	distrust     = 0.8    // of the fleet's share of tries fulfilled; a server under it loses weight
	average      = 4.0    // answers of median time that each server is taken to have given besides
	ackPart      = 0.8    // of the proxies answered a mark: the next changes may go
	ackWait      = 2000.0 // or so long after it
	worthTell    = 0.06   // relative change of a weight that is worth a line
	slowest      = 0.5    // the channel is taken to run at this part of its pace
	probePart    = 0.003  // of the result may go into the price of probes
	probeSoon    = 300.0  // ms until a host that left a probe unanswered is asked again
	silences     = 3      // unanswered probes in a row that may prove a server silent
	absences     = 2      // unanswered probes in a row that prove a server absent, or count for a cut
	cutPart      = 0.75   // of a zone's servers unanswered, and of another's answered, make a cut
	trialPart    = 0.4    // of its weight a server returns with, doubling each trialStep
	trialStep    = 1000.0
	keepPart     = 0.34 // of the listed weight stays in the tables whatever the probes say
	stormPart    = 0.6  // of the servers, and of their tries, fail in a storm of repeats
	coldOnlyPart = 2.0  // times the fleet's listed weight: what cold servers alone must be able to bear of it
	budgetPart   = 0.25 // of a cold server's budget is used: it may be half as fast as listed
	shunned      = 0.1  // chance of failures in a row over which a fleet that shuns gets no cold server
	shedAbove    = 0.9  // busy cores that may mean overload
	shedTo       = 0.85 // busy cores aimed at by a change of level
	easeUnder    = 0.8  // busy cores under which the level rises
	levelLeast   = 0.1
	unlimited    = 1e6 // a level where shares are not heeded
)

// sums of what proxies met at a server.
type sums struct{ good, bad, time, span float64 }

// server is what the steward knows of one host.
type server struct {
	zone            int
	phase           Phase
	seen            bool    // on a list
	listed, started float64 // listed weight; last known start, or -1 where that is long ago
	weight          float64 // where the moves have put it, as a listed weight
	told            float64 // what the tables hold
	fresh, past     sums    // since the last report round; faded sums of the rounds before
	load            Load    // as last reported
	rate, r         float64 // λ and R
	hold            float64 // no move before this time
	dry             bool    // no try was fulfilled in the last report round
	strikes, fine   int     // probes in a row unanswered, answered
	absent          bool    // the last unanswered probe found nothing there
	probing, kept   bool    // a probe is out; the one server that does not rest
	out             bool    // withdrawn
	part            float64 // of its weight, under 1 on trial
	won, lost       float64 // faded fast: tries fulfilled and failed, also while a move has yet to show
}

type proxy struct {
	zone          int
	joined, bound bool
}

// due is work for a later time.
type due struct {
	at float64
	do func(Writer)
}

// Steward decides for one instance.
type Steward struct {
	fleet   Fleet
	classes []Class
	channel Channel
	guard   Guard
	goal    Goal

	now, wakeAt float64
	knowing     float64 // sums from then on show our own first orders
	heats       bool    // cold servers may be sent to
	counter     uint64
	servers     []server
	order       []int // hosts in the order they were first listed
	planned     int   // so many of them are probed
	proxies     []proxy
	joined      int
	zoneBack    []bool // a proxy of the zone has joined since the last round
	local       int    // classes that stay in their zone
	dues        []due  // by time

	listKnown, askFailed bool
	askWait              float64

	heard              bool
	heardAt, gap       float64   // time of the last report round; how much later than usual they have come
	settle             float64   // until a move shows in the sums
	median, fulfilled  float64   // median R; part of the tries fulfilled
	came               []float64 // faded: transactions that came, by class
	level, levelHold   float64
	lowFulfilled       float64
	shares, toldShares []float64
	tries, toldTries   int
	storm              int
	resting            bool // in a storm
	stormNext          float64

	mark, marked, answered   int
	markAt, queued, queuedAt float64
	sent                     []float64
}

// New makes the steward of an instance that has just started.
func New(fleet Fleet, classes []Class, channel Channel, guard Guard, goal Goal) *Steward {
	s := &Steward{fleet: fleet, classes: classes, channel: channel, guard: guard, goal: goal, wakeAt: -1,
		heardAt: -1, level: 1, tries: 1, toldTries: fleet.UsualTries, fulfilled: 1}
	s.settle = channel.Late + 2*fleet.Period
	n := len(classes)
	s.came, s.shares, s.toldShares = make([]float64, n), make([]float64, n), make([]float64, n)
	s.zoneBack = make([]bool, fleet.Zones)
	for c := range classes {
		s.shares[c], s.toldShares[c] = 1, 1
		if classes[c].Local {
			s.local |= 1 << c
		}
	}
	return s
}

// grown gives the list with at least n entries, new ones as fresh.
func grown[T any](list []T, n int, fresh T) []T {
	for len(list) < n {
		list = append(list, fresh)
	}
	return list
}

func (s *Steward) server(h int) *server {
	s.servers = grown(s.servers, h+1, server{started: -1, part: 1, load: NoLoad})
	return &s.servers[h]
}

// share is the part of all proxies that are joined here.
func (s *Steward) share() float64 { return float64(max(s.joined, 1)) / float64(s.fleet.Proxies) }

// WholeList notes that the entries which follow are the whole list.
func (s *Steward) WholeList(cached bool) {
	for i := range s.servers {
		s.servers[i].phase = Gone
	}
	if !cached {
		s.listKnown, s.askWait = true, 0
	}
}

// ListChange notes that the entries which follow are changes.
func (s *Steward) ListChange() { s.askWait = 0 }

// ListFailed notes that a call for the list failed or that the list no longer sends its changes.
func (s *Steward) ListFailed() { s.askFailed = true }

// Entry notes an entry of the list. A new id or a new start time is a start; a weight of 0 says nothing.
func (s *Steward) Entry(host, zone int, phase Phase, listed, started float64) {
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
	v.weight *= listed / v.listed
	v.seen, v.zone, v.phase, v.listed = true, zone, phase, listed
	if started > 0 && started != v.started {
		*v = server{zone: zone, phase: phase, seen: true, listed: listed, started: started, weight: listed,
			r: s.median, told: v.told, load: NoLoad, probing: v.probing, part: 1}
	}
}

func (s *Steward) Joined(p, zone int) {
	s.Left(p)
	s.proxies = grown(s.proxies, p+1, proxy{})
	s.proxies[p] = proxy{zone: zone, joined: true}
	s.joined++
	s.zoneBack[zone] = true
}

func (s *Steward) Left(p int) {
	if p < len(s.proxies) && s.proxies[p].joined {
		s.proxies[p].joined = false
		s.joined--
	}
}

func (s *Steward) Heard(host, tries, failed int, mean, span float64, load Load) {
	v := s.server(host)
	good := float64(max(tries-failed, 0))
	f := &v.fresh
	f.good, f.bad, f.time = f.good+good, f.bad+float64(failed), f.time+mean*good
	f.span = math.Max(f.span, span)
	v.note(load)
	s.heard = true
}

func (v *server) note(load Load) {
	if load != NoLoad {
		v.load = load
	}
}

func (s *Steward) Usage(class, came int) { s.came[class] += float64(came) }

func (s *Steward) Answered(number int) {
	if number == s.mark {
		s.answered++
	}
}

func (s *Steward) Probed(host int, how Outcome, load Load) {
	v := s.server(host)
	v.probing = false
	switch how {
	case Fine:
		v.strikes, v.fine = 0, v.fine+1
		v.note(load)
	case Silent, Unreachable:
		v.strikes, v.fine, v.absent = v.strikes+1, 0, how == Unreachable
	}
}

// Round decides on all that was noted since the last round.
func (s *Steward) Round(now float64, w Writer) {
	s.now = now
	if s.fleet.MustAsk {
		s.follow(w)
	}
	if s.fleet.MayProbe {
		for _, h := range s.order[s.planned:] {
			s.add(s.chance()*1000, func(w Writer) { s.probe(w, h) })
		}
		s.planned = len(s.order)
	}
	if s.wakeAt < 0 {
		s.knowing = now + 2*s.settle
	}
	if now >= s.wakeAt {
		s.wakeAt = now + tick
		w.Wake(s.wakeAt)
		if s.heard && now-s.heardAt >= s.fleet.Period*0.9 {
			s.report(w, s.fleet.Period)
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

// chance gives the next figure from 0 to 1.
func (s *Steward) chance() float64 {
	s.counter++
	b := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, s.fleet.Seed), s.counter)
	return float64(crc32.ChecksumIEEE(b)) / (1 << 32)
}

func (s *Steward) add(in float64, do func(Writer)) {
	at := s.now + in
	i := sort.Search(len(s.dues), func(i int) bool { return s.dues[i].at > at })
	s.dues = append(s.dues, due{})
	copy(s.dues[i+1:], s.dues[i:])
	s.dues[i] = due{at, do}
}

// step lets a server on trial take more of its weight.
func (s *Steward) step(h int) {
	if v := &s.servers[h]; !v.out && v.part < 1 {
		v.part = math.Min(1, v.part*2)
		s.add(trialStep, func(Writer) { s.step(h) })
	}
}

// probe examines a host, and again after a while that keeps the price of probes under a small part of the
// result.
func (s *Steward) probe(w Writer, h int) {
	v := &s.servers[h]
	if v.phase == Ready && !v.probing {
		v.probing = true
		w.Probe(h)
	}
	every, total := probeSoon, 1e-9
	if v.strikes == 0 || v.out {
		for _, h := range s.order {
			total += s.servers[h].rate
		}
		every = float64(len(s.order)*s.fleet.Instances) * s.goal.ProbePrice / (probePart * total) * 1000
		every = math.Min(math.Max(every, 500), 2000)
	}
	s.add(every, func(w Writer) { s.probe(w, h) })
}

// follow keeps the subscription to the list where the list must be asked. A failed call is repeated after a
// wait that doubles up to a bound, with some chance in it so that stewards do not ask in step.
func (s *Steward) follow(w Writer) {
	if s.wakeAt < 0 {
		w.Watch()
	}
	if s.askFailed {
		s.askFailed = false
		s.askWait = math.Min(math.Max(2*s.askWait, 250), 4000)
		s.add(s.askWait*(0.5+s.chance()), func(w Writer) { w.Watch() })
		w.Log(fmt.Sprintf("list call failed, asking again within %.0f ms", s.askWait*1.5))
	}
}

// report takes in a round of sums and moves load. Without sums nothing of this happens and the tables stay.
func (s *Steward) report(w Writer, period float64) {
	if s.heardAt >= 0 {
		s.gap = math.Max(s.now-s.heardAt-period, s.gap*memory)
	}
	s.heardAt, s.heard = s.now, false
	s.estimate(s.share(), period)
	s.shift()
	if s.fleet.Admits {
		s.admit(w, s.classes, s.goal)
	} else {
		s.relieve(w, s.classes, s.guard.Bare/2)
	}
}

// estimate brings λ and R of each server up to date. λ is the whole rate: as reported, else our own sums
// over our share of the proxies. A failed try counts as one that took the deadline d, so that quick errors
// and few answers never read as room; it stays out of the median. Average answers keep a noisy R of few
// answers from faking overload.
func (s *Steward) estimate(share, period float64) {
	var heard []float64
	good, all := 1.0, 1.0
	for _, h := range s.order {
		v := &s.servers[h]
		f, p := v.fresh, &v.past
		v.fresh = sums{}
		good, all = good+f.good, all+f.good+f.bad
		v.won, v.lost = v.won*shortly+f.good, v.lost*shortly+f.bad
		v.dry = f.good == 0
		if s.now < v.hold-period { // from before the last move showed
			*p = sums{}
			continue
		}
		p.good, p.bad, p.time = p.good*memory+f.good, p.bad*memory+f.bad, p.time*memory+f.time
		p.span = p.span*memory + math.Max(f.span, period)
		v.r = (p.time + (p.bad*dMedians+average)*s.median) / (p.good + p.bad + average)
		v.rate = (p.good + p.bad) / p.span * 1000 / share
		if v.load.Rate >= 0 {
			v.rate = math.Max(v.load.Rate, v.rate/2)
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

// serving servers take part in moves: ready, in the tables with their full weight, and warm.
func (s *Steward) serving(v *server) bool {
	return v.phase == Ready && !v.out && v.part >= 1 && s.warmth(v, s.guard) >= 1
}

// warmth is the least part of its capacity that a server has after its start.
func (s *Steward) warmth(v *server, g Guard) float64 {
	if v.started < 0 || s.now >= v.started+g.Cold {
		return 1
	}
	return g.ColdFrom + (1-g.ColdFrom)*math.Max(s.now-v.started, 0)/g.Cold
}

// capOf gives the arrival rate up to which a server meets the deadline d, all but a part epsilon.
func capOf(rate, r, median float64) float64 {
	mu := rate + 1000/r
	k := math.Abs(math.Log(epsilon) / (dMedians * median) * 1000)
	return math.Max(mu-k, mu*capLeast)
}

// shift is the design's mechanism: from the most overloaded server, min{excess, room, sender's rate} goes
// to the roomiest, servers of the same zone first; with none over its cap the weights drift back. Both
// sides of a move then wait until it shows. A move too small to tell is left, since it would only hold up
// the next.
func (s *Steward) shift() {
	type load struct {
		v           *server
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
		if s.now < v.hold || v.past.good+v.past.bad < 1 || v.r <= 0 || s.median <= 0 {
			continue
		}
		l := load{v, v.rate - capOf(v.rate, v.r, s.median), v.rate * (1 - floorPart*v.listed/v.weight)}
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

// admit sets how much is let in. Only measured overload lowers it: busy cores, together with failed tries
// or response times that eat up the due time. A step down follows the part of the tries fulfilled, a step
// up the idle cores.
func (s *Steward) admit(w Writer, classes []Class, goal Goal) {
	busy, n, good, slow, came, dueTime := 0.0, 0.0, 1e-9, 0.0, 1e-9, 0.0
	for _, h := range s.order {
		v := &s.servers[h]
		if s.serving(v) && v.load.Util >= 0 {
			busy, n = busy+v.load.Util*v.weight, n+v.weight
		}
		good, slow = good+v.rate, slow+v.rate*v.r
	}
	for c := range s.came {
		s.came[c] *= memory
		came, dueTime = came+s.came[c], dueTime+s.came[c]*classes[c].Due
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
	w.Log(fmt.Sprintf("level %.2f: busy %.2f, fulfilled %.2f, R %.0f of %.0f ms", s.level, busy, s.fulfilled,
		slow, dueTime))
	s.tries = int(s.level) // none while less than all is let in
	s.spread(classes, goal)
}

// spread deals the level out to the classes: the least earnings per work go first, unless the worst-served
// class weighs so much that cutting all evenly costs less. The due time stands for the work of a class,
// which is not told.
func (s *Steward) spread(classes []Class, goal Goal) {
	n := len(classes)
	work, earn, order := make([]float64, n), make([]float64, n), make([]int, n)
	allWork, allEarn := 1e-9, 1e-9
	for c, k := range classes {
		n := s.came[c] + 1
		work[c], earn[c], order[c] = n*k.Due, n*k.Earnings, c
		allWork, allEarn = allWork+work[c], allEarn+earn[c]
	}
	sort.SliceStable(order, func(i, j int) bool {
		return earn[order[i]]*work[order[j]] < earn[order[j]]*work[order[i]]
	})
	low, cut := order[0], (1-s.level)*allWork
	cost := (goal.Whole*earn[low]/allEarn + goal.WorstClass) * allWork / work[low]
	for _, c := range order {
		s.shares[c] = s.level
		if cost < goal.Whole+goal.WorstClass {
			part := math.Min(cut, work[c]*(1-levelLeast))
			s.shares[c], cut = 1-part/work[c], cut-part
		}
	}
}

// relieve ends a storm of repeats where proxies heed no level: nearly every server fails nearly all tries,
// and the work that clients gave up on keeps it so after the cause is gone. All but one server rest until
// the patience of every class is over, then all return together with emptier queues. It must not act on a
// cut or a hang, where some servers fulfil; under a lasting lack of capacity it trades a steady failure for
// good spells.
func (s *Steward) relieve(w Writer, classes []Class, most float64) {
	n, failing, keep := 0.0, 0.0, -1
	for _, h := range s.order {
		v := &s.servers[h]
		if tries := v.past.good + v.past.bad; tries >= 1 {
			n++
			if v.past.bad > stormPart*tries {
				failing++
			}
		}
		if s.serving(v) && (keep < 0 || v.listed > s.servers[keep].listed) {
			keep = h
		}
	}
	s.tries, s.storm = 1, s.storm+1
	if s.fulfilled < 0.8 {
		s.tries = 0
	}
	if s.fulfilled > 1-stormPart || failing < stormPart*n {
		s.storm = 0
	}
	if s.storm < 2 || s.now < s.stormNext || keep < 0 {
		return
	}
	rest := 0.0
	for _, c := range classes {
		rest = math.Max(rest, c.Patience)
	}
	rest = math.Min(rest, most) + s.channel.Late
	s.resting = true
	s.add(rest, func(Writer) { s.resting = false })
	s.stormNext = s.now + rest + s.settle + s.gap
	for _, h := range s.order {
		v := &s.servers[h]
		v.kept, v.weight, v.hold = h == keep, v.listed, s.now+rest+s.settle
	}
	w.Log(fmt.Sprintf("storm: %.0f of %.0f hosts failing, fulfilled %.2f: all but host %d rest %.0f ms",
		failing, n, s.fulfilled, keep, rest))
}

// judge withdraws servers on proof, by symptom and whatever the cause, and lets them return by trial. Proof
// is absence, or silence while no try is fulfilled there, alone or with its zone. It must not take a busy
// server for a silent one: many silent at once, or a fleet that fails, prove nothing. What is left must
// carry the traffic of the proxies still joined.
func (s *Steward) judge(w Writer) {
	listed, in, silent, n := 0.0, 0.0, 0, 0
	for _, h := range s.order {
		if v := &s.servers[h]; v.phase == Ready {
			listed, n = listed+v.listed, n+1
			if v.strikes > 0 && !v.absent {
				silent++
			}
			if !v.out {
				in += v.listed
			}
		}
	}
	least := keepPart * listed * s.share()
	for _, h := range s.order {
		v := &s.servers[h]
		if v.phase != Ready || !v.out && v.strikes < absences {
			continue
		}
		if v.out {
			// A proxy that joins from a cut-off zone proves the way there; its traffic must not all go
			// elsewhere.
			if v.fine < 2 && (v.absent || !s.zoneBack[v.zone]) {
				continue
			}
			v.out, v.strikes, v.hold, v.r = false, 0, s.now+s.settle, s.median
			if v.absent { // it may have restarted, and counts as cold
				v.started, v.part = s.now, 1
			}
			in += v.listed
			s.add(trialStep, func(Writer) { s.step(h) })
			w.Log(fmt.Sprintf("return host %d on trial", h))
			continue
		}
		alone := v.strikes >= silences && silent*4 <= n+3 && s.fulfilled > 0.5
		dry := v.dry && (alone || s.cut(v.zone))
		if (v.absent || dry) && in-v.listed >= least && in > v.listed {
			v.out, v.part, v.fine = true, trialPart, 0
			in -= v.listed
			w.Log(fmt.Sprintf("withdraw host %d: %d probes failed, absent %v, %.2f of the weight left", h,
				v.strikes, v.absent, in/listed))
		}
	}
	clear(s.zoneBack)
}

// cut tells a zone out of reach from an overload: nearly all its servers leave probes unanswered at the
// same time, while nearly all of some other zone answer. It also fits a lost zone that says nothing.
func (s *Steward) cut(zone int) bool {
	all, fine := make([]float64, s.fleet.Zones), make([]float64, s.fleet.Zones)
	silent, other := 0.0, false
	for _, h := range s.order {
		if v := &s.servers[h]; v.phase == Ready {
			all[v.zone]++
			fine[v.zone] += float64(min(v.fine, 1))
			if v.zone == zone && v.strikes >= absences {
				silent++
			}
		}
	}
	for z := range all {
		other = other || z != zone && all[z] > 0 && fine[z] >= cutPart*all[z]
	}
	return other && all[zone] > 1 && silent >= cutPart*all[zone]
}

// left tells whether a warm line is left in a zone or (below 0) anywhere: one that should be in the tables,
// and where held is set is there already. Where none should be, withdrawals and rests are passed over,
// since a host that may fail is better than none; where none is held, additions go as early as removals.
func (s *Steward) left(zone int, held bool) bool {
	for _, h := range s.order {
		v := &s.servers[h]
		here := (zone < 0 || v.zone == zone) && (!held || v.told > 0)
		if here && s.warmth(v, s.guard) >= 1 && s.want(v, false) > 0 {
			return true
		}
	}
	return false
}

// heat tells whether cold servers may be sent to at all. Proxies that shun hosts after failures of their own would
// send all they have to a fresh one, and until sums show our own first orders nobody knows how the fleet fares under
// them. Where no ready server is warm, the cold ones must together bear the traffic.
func (s *Steward) heat(ejects, multiple float64) bool {
	warm, able, all := false, 0.0, 0.0
	for _, h := range s.order {
		v := &s.servers[h]
		all += v.listed
		if v.phase == Ready {
			able += v.listed * s.warmth(v, s.guard)
			warm = warm || s.warmth(v, s.guard) >= 1
		}
	}
	if !warm {
		return able*multiple >= coldOnlyPart*all
	}
	return s.heardAt >= s.knowing && (ejects == 0 || math.Pow(1-s.fulfilled, ejects) <= shunned)
}

// want is the weight that a server should have in the tables. A cold one gets no more than the least it can surely
// do, less where the fleet fails tries: all proxies together then stay under its budget, a multiple of that.
func (s *Steward) want(v *server, bare bool) float64 {
	if v.phase != Ready || !bare && (v.out || s.resting && !v.kept) {
		return 0
	}
	warm := s.warmth(v, s.guard)
	if warm < 1 && !s.heats {
		return 0
	} else if warm < 1 {
		warm *= s.fulfilled * math.Min(1, s.guard.FallMultiple*budgetPart)
	}
	// A host that fails its tries loses weight at once, whatever ails it; a fleet that fails does not.
	trust := (v.won + 2) / (v.won + v.lost + 2)
	if trust > distrust*s.fulfilled {
		trust = 1
	}
	return math.Max(v.weight, floorPart*v.listed) * v.part * warm * trust
}

// publish writes what changed: removals and cold starts at once, the rest once the last mark was mostly
// answered. A model of the channel keeps ordinary changes under half of its caps, removals and bindings
// under nearly all; what does not fit waits for a later round.
func (s *Steward) publish(w Writer, c Channel) {
	s.queued = math.Max(0, s.queued-(s.now-s.queuedAt)/1000*c.LinesPerS*slowest)
	s.queuedAt = s.now
	bound, waiting := 0, false
	for i := range s.proxies {
		if p := &s.proxies[i]; p.joined && p.bound {
			bound++
		} else {
			waiting = waiting || p.joined
		}
	}
	if s.mark == 0 && !waiting {
		return
	}
	for len(s.sent) > 0 && s.sent[0] < s.now-c.MessagesOver {
		s.sent = s.sent[1:]
	}
	tables := 1 + min(s.local, 1)
	most := c.Head + float64((len(s.order)+len(s.shares))*tables+1) // lines of the largest message
	fits := func(messages, queue float64) bool {
		return (c.MessagesMost == 0 || float64(len(s.sent)+2) <= messages*float64(c.MessagesMost)) &&
			s.queued+float64(bound)*most <= queue*c.MostWaiting
	}
	open := s.mark == 0 || float64(s.answered) >= ackPart*float64(s.marked) || s.now >= s.markAt+ackWait
	open, soon, drains := open && fits(0.5, 0.75), fits(0.8, 0.9), fits(0.95, 0.95)
	none, few := !s.left(-1, false), !s.left(-1, true)
	if heats := s.heat(float64(s.fleet.Ejects), s.guard.FallMultiple); heats != s.heats {
		s.heats = heats
		w.Log(fmt.Sprintf("cold hosts held back: %v, fulfilled %.2f", !heats, s.fulfilled))
	}
	lines, wrote := 0, 0
	for _, h := range s.order {
		v := &s.servers[h]
		bare, thin := none, few
		if s.local != 0 {
			bare, thin = bare || !s.left(v.zone, false), thin || !s.left(v.zone, true)
		}
		want := s.want(v, bare)
		if want > 0 {
			lines += tables
		}
		change := math.Abs(want - v.told)
		urgent := change > 0 && (want == 0 || thin && v.told == 0 ||
			s.warmth(v, s.guard) < 1 && want < v.told*0.9)
		worth := change > worthTell*math.Max(v.told, floorPart*v.listed)
		if urgent && (soon || drains && v.phase != Ready) || open && worth {
			v.told = want
			w.Line(0, h, want)
			if s.local != 0 {
				w.Line(1+v.zone, h, want)
			}
			wrote += tables
		}
	}
	if open {
		wrote += s.tellLevels(w)
	}
	marking := wrote > 0
	for i := range s.proxies {
		p := &s.proxies[i]
		cost := float64(tables)*(c.Head+1) + float64(lines+len(s.shares))
		if !p.joined || p.bound || s.queued+cost > 0.95*c.MostWaiting {
			continue
		}
		s.queued += cost
		p.bound, marking = true, true
		if s.local != 0 {
			w.Bind(i, 1+p.zone, s.local)
		}
		if rest := (1<<len(s.classes) - 1) &^ s.local; rest != 0 {
			w.Bind(i, 0, rest)
		}
	}
	if marking {
		s.mark = s.mark%60000 + 1
		s.marked, s.answered, s.markAt = bound, 0, s.now
		w.Mark(s.mark)
	}
	if wrote > 0 {
		s.sent = append(s.sent, s.now)
		s.queued += float64(bound) * (c.Head + float64(wrote) + 1)
	}
}

// tellLevels writes what changed of levels and ways of trying again. A further try follows only proof that
// the first never ran, so it is safe for every class.
func (s *Steward) tellLevels(w Writer) int {
	n := 0
	for c, share := range s.shares {
		if math.Abs(share-s.toldShares[c]) <= 0.02 && s.tries == s.toldTries {
			continue
		}
		s.toldShares[c] = share
		if !s.fleet.Admits {
			share = unlimited
		}
		first, last := 0, 0
		if s.classes[c].Local {
			first, last = 1, s.fleet.Zones
		}
		for table := first; table <= last; table++ {
			w.Level(table, 1<<c, share, s.tries)
			n++
		}
	}
	s.toldTries = s.tries
	return n
}
