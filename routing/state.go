// What a Steward keeps, and the noting methods, which only record. Every decision is in decide.go.
package routing

import (
	"encoding/binary"
	"hash/crc32"
	"math"
	"slices"
	"sort"
)

// longAgo is before any time.
const longAgo = -1e18

// sums of what proxies met at a server.
type sums struct{ good, bad, time, span float64 }

// server is what the steward knows of one host.
type server struct {
	zone            int
	phase           HostState
	seen            bool     // on a list
	listed, started float64  // listed weight; last known start, or -1 where that is long ago
	weight          float64  // where the moves have put it, as a listed weight
	told            float64  // what the tables hold
	fresh, past     sums     // since the last report round; faded sums of the rounds before
	load            HostLoad // as last reported
	rate, r         float64  // λ and R
	hold            float64  // no move before this time
	holders         int      // proxies that hold it in a table of their own
	carried         float64  // and the traffic they send there
	since           float64  // when the list last changed what it says of it
	fed             float64  // when sums last showed a try fulfilled
	strikes, fine   int      // probes in a row unanswered, answered
	absent          bool     // the last unanswered probe found nothing there
	probing         bool     // a probe is out
	probeAt         float64  // when the next one is due
	doubt           float64  // probes unanswered lately
	out             bool     // withdrawn
	back            float64  // when it returned on trial
	won, lost       float64  // faded fast: tries fulfilled and failed, also while a move has yet to show
	life            int      // counts the hosts that had this index
}

type proxy struct {
	zone               int
	rate               float64   // transactions a second that it usually gets
	joined, bound, own bool      // bound to the shared table, or to one of its own
	hand               []int     // the hosts in its own table
	sent               []float64 // times of messages to it
	held, came, span   float64   // their weight; transactions that came lately, in this time
	unanswered         []message // written to it, oldest first
}

// message counts against the channel until its proxy answers its mark or a later one.
type message struct {
	number    int
	lines, at float64
}

// due is work for a later time.
type due struct {
	at float64
	do func(UpdateWriter)
}

// batch is what one round orders: lines that wait before and after it, and what each proxy costs, a head for
// each that it reaches.
type batch struct {
	number, asked       int
	before, queue, head float64
	cost                []float64
}

// Balancer decides for one instance.
type Balancer struct {
	fleet   Deployment
	classes []RequestClass
	channel ControlChannel
	guard   SafetyLimits
	goal    Objective

	now, wakeAt float64
	knowing     float64 // sums from then on show our own first orders
	few         bool    // few hosts leave probes unanswered
	doubts      float64 // part of the doubts about hosts that counts
	heats       bool    // cold servers may be sent to
	behind      bool    // removals or starts wait for the channel
	thin        float64 // weight of the warm lines, as a part of what ready hosts can do now
	counter     uint64
	servers     []server
	order       []int // hosts in the order they were first listed
	planned     int   // so many of them are probed
	proxies     []proxy
	joined      int
	zoneBack    []bool // a proxy of the zone has joined since the last round
	local       bool   // a class stays in its zone
	dues        []due  // by time

	listKnown, askFailed bool
	askWait              float64

	heard              bool
	heardAt, gap       float64   // time of the last report round; how much later than usual they have come
	spans, lines       float64   // sum of the times that the last sums cover, and their number
	late, cycle        float64   // way of a message; time in which the sums come round all servers
	settle             float64   // until a move shows in the sums
	median, fulfilled  float64   // median R; part of the tries fulfilled
	came               []float64 // faded: transactions that came, by class
	level, levelHold   float64
	lowFulfilled       float64
	shares, toldShares []float64
	tries, toldTries   int

	dealt                bool // proxies get tables of their own, a few hosts each
	dealtUntil, dealtFor float64
	strained, storm      int  // report rounds in a row
	resting              bool // all proxies go to one server, keep
	keep                 int
	stormNext            float64

	number, mark     int // of the last batch; of the last that told weights
	asked, answers   int // proxies that were sent that one; that answered it
	markAt, filledAt float64
	urgentAt         float64
	costs            []float64 // of the present round, by proxy
	waiting          float64   // lines that joined proxies have not answered
	arriving         float64   // lines answered within the last way of a message, fading
	purse            float64   // lines that weights may cost
}

// grown gives the list with at least n entries, new ones as fresh.
func grown[T any](list []T, n int, fresh T) []T {
	for len(list) < n {
		list = append(list, fresh)
	}
	return list
}

func (s *Balancer) server(h int) *server {
	s.servers = grown(s.servers, h+1, server{started: -1, back: longAgo, load: UnknownLoad})
	return &s.servers[h]
}

// ObserveSnapshot notes that the entries which follow are the whole list.
func (s *Balancer) ObserveSnapshot(cached bool) {
	for i := range s.servers {
		s.servers[i].phase = Removed
	}
	if !cached {
		s.listKnown, s.askWait = true, 0
	}
}

// ObserveDelta notes that the entries which follow are changes.
func (s *Balancer) ObserveDelta() { s.askWait = 0 }

// ObserveWatchFailure notes that a call for the list failed or that the list no longer sends its changes.
func (s *Balancer) ObserveWatchFailure() { s.askFailed = true }

func (s *Balancer) ConnectProxy(p, zone int, rate float64) {
	s.DisconnectProxy(p)
	s.proxies = grown(s.proxies, p+1, proxy{})
	s.proxies[p] = proxy{zone: zone, rate: rate + 0.01, joined: true, hand: s.proxies[p].hand}
	s.joined++
	s.zoneBack[zone] = true
}

func (s *Balancer) DisconnectProxy(p int) {
	if p < len(s.proxies) && s.proxies[p].joined {
		q := &s.proxies[p]
		q.joined = false
		s.joined--
		s.gone(q, len(q.unanswered)) // what waits for it is lost
	}
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

// Ack notes a proxy's answer to a mark. The channel keeps its order: what was written to it before has left.
func (s *Balancer) Ack(p, number int) {
	if p >= len(s.proxies) {
		return
	}
	q, was := &s.proxies[p], s.waiting
	s.gone(q, 1+slices.IndexFunc(q.unanswered, func(m message) bool { return m.number == number }))
	s.arriving += was - s.waiting
}

// gone takes a proxy's n oldest messages out of the channel, by an answer, its leaving or their age.
func (s *Balancer) gone(q *proxy, n int) {
	for _, m := range q.unanswered[:n] {
		if s.waiting -= m.lines; q.joined && m.number == s.mark {
			s.answers++
		}
	}
	q.unanswered = slices.Delete(q.unanswered, 0, n)
}

// reach counts lines to a proxy.
func (b *batch) reach(p int, lines float64) {
	if b.cost[p] == 0 {
		b.asked, lines = b.asked+1, lines+b.head
	}
	b.cost[p] += lines
	b.queue += lines
}

// ForgetHost drops what is kept of a host that is gone, so that its index may be given to another. It answers
// false, and keeps all, while a table or a probe still names the host.
func (s *Balancer) ForgetHost(host int) bool {
	if host >= len(s.servers) {
		return true
	}
	v := &s.servers[host]
	if v.phase != Removed || v.told != 0 || v.probing {
		return false
	}
	for i := range s.proxies {
		if slices.Contains(s.proxies[i].hand, host) {
			return false
		}
	}
	if at := slices.Index(s.order, host); at >= 0 {
		s.order = slices.Delete(s.order, at, at+1)
		if at < s.planned {
			s.planned--
		}
	}
	*v = server{started: -1, back: longAgo, load: UnknownLoad, life: v.life + 1}
	return true
}

// ForgetProxy drops the table of a proxy that has left; the caller drops its lines too.
func (s *Balancer) ForgetProxy(p int) {
	if p < len(s.proxies) && !s.proxies[p].joined {
		s.proxies[p].hand = nil
	}
}

// SubsetTable is the number of the table that a proxy may be given for itself.
func (s *Balancer) SubsetTable(p int) int { return s.own(p) }

// chance gives the next figure from 0 to 1.
func (s *Balancer) chance() float64 {
	s.counter++
	b := binary.LittleEndian.AppendUint64(binary.LittleEndian.AppendUint64(nil, s.fleet.Seed), s.counter)
	return float64(crc32.ChecksumIEEE(b)) / (1 << 32)
}

func (s *Balancer) add(in float64, do func(UpdateWriter)) {
	at := s.now + in
	i := sort.Search(len(s.dues), func(i int) bool { return s.dues[i].at > at })
	s.dues = append(s.dues, due{})
	copy(s.dues[i+1:], s.dues[i:])
	s.dues[i] = due{at, do}
}

// base is the table that a zone's proxies share: one for all, or the zone's where a class may not leave it.
func (s *Balancer) base(zone int) int {
	if s.local {
		return 1 + zone
	}
	return 0
}

// own is the number of a proxy's own table.
func (s *Balancer) own(p int) int { return 1 + s.fleet.Zones + p }

// tally counts the proxies that are bound and those that wait, and for each server the proxies that hold it
// and the traffic that hands bring it. It gives the most messages that one proxy was sent lately, and the
// traffic for each part of weight, too. Messages older than so much have left the channel without an answer.
func (s *Balancer) tally(over, oldest float64) (bound, unbound, most int, fair float64) {
	shared, traffic, weight := make([]int, s.fleet.Zones+1), 0.0, 1e-9
	for i := range s.proxies {
		if p := &s.proxies[i]; p.joined {
			for len(p.sent) > 0 && p.sent[0] < s.now-over {
				p.sent = p.sent[1:]
			}
			for len(p.unanswered) > 0 && p.unanswered[0].at < s.now-oldest {
				s.gone(p, 1)
			}
			most = max(most, len(p.sent))
			traffic += p.rate
			if !p.bound {
				unbound++
			} else if bound++; !p.own {
				shared[s.base(p.zone)]++
			}
		}
	}
	for _, h := range s.order {
		v := &s.servers[h]
		v.holders, v.carried, weight = shared[s.base(v.zone)], 0, weight+v.told
	}
	for i := range s.proxies {
		p := &s.proxies[i]
		p.held = 0
		for k := 0; p.joined && p.own && k < len(p.hand); k++ {
			v := &s.servers[p.hand[k]]
			v.holders, v.carried, p.held = v.holders+1, v.carried+p.rate/float64(len(p.hand)), p.held+v.told
		}
	}
	return bound, unbound, most, traffic / weight
}

// change is a weight that is not yet told.
type change struct {
	h          int
	want, size float64
}

// loaded is a server's excess over its cap, below 0 room, and how much it can give.
type loaded struct {
	v           *server
	excess, can float64
}
