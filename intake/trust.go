package intake

import (
	"math"

	"barleysail/routing"
)

// Trust holds the load reports of hosts against what the proxies met there. A report that does not fit loses trust, one
// that stands still while there is traffic is stuck, and a host whose reports stop is estimated from the sums, less and
// less surely. What is told in a report's place never gives room: it is the larger of what was reported and what is
// estimated, and an estimate grows with its age towards the busy part at which a host has none.
type Trust struct {
	limits     Limits
	hosts      map[string]*host
	fleet      counts
	told, ours float64 // faded: rates that all hosts reported, and what our proxies had fulfilled there
	toldAt     float64
	again      float64  // faded: reports that were the same as the one before
	all        float64  // and all
	lines      []string // of changes, to be told
}

// Capacity is what is known of a host besides its reports.
type Capacity struct {
	Cores      float64 // cores by their speed; 0: not told
	MeanWorkMs float64 // ms of a mean transaction on a core of speed 1; 0: not told
	ProxyShare float64 // part of the proxies whose sums come here
}

const (
	metFor     = 5000.0 // ms that what proxies met fades over
	quickFor   = 1500.0 // and the figures that follow a change sooner
	knownFor   = 3000.0 // ms after which they say something
	sampled    = 500.0  // ms between two reports of a host that are looked at
	enough     = 20.0   // good tries that say something about a host
	lessThan   = 0.8    // of what our proxies alone had fulfilled a host may not report less
	halfBusy   = 0.5    // of the busy part that our proxies' work alone would make, likewise
	slowIdle   = 2.5    // times the fleet's mean time: a host that idles is not so slow
	idleUnder  = 0.5    // busy part of a host that idles
	loses      = 0.75   // of its trust a report that does not fit leaves
	gains      = 0.1    // of what lacks a fitting one gives back
	doubtUnder = 0.5    // trust under which reports are not believed
	trustAgain = 0.75   // and over which they are
	runLeast   = 5      // reports alike in a row that may be stuck
	intervals  = 5.0    // times its usual pause after which a host's reports have stopped
)

// host as the intake knows it.
type host struct {
	met       counts
	quick     counts
	spread    LatencyDistribution
	senders   Reporters
	clock     Clock
	last      routing.HostLoad // as reported, newest
	lastAt    float64
	looked    float64
	every     float64 // between two reports that differ in time
	run       int
	trust     float64
	doubted   bool
	why       string
	believed  routing.HostLoad // when it was last believed, and what the proxies met then
	believeAt float64
	rateThen  float64
	meanThen  float64
}

// NewTrust makes one that knows no host.
func NewTrust(l Limits) *Trust {
	return &Trust{limits: l, hosts: map[string]*host{}, fleet: counts{over: metFor}, again: 1, all: 2}
}

func (t *Trust) host(name string) *host {
	h := t.hosts[name]
	if h == nil {
		h = &host{met: counts{over: metFor}, quick: counts{over: quickFor}, last: routing.UnknownLoad, believed: routing.UnknownLoad, trust: 1}
		t.hosts[name] = h
	}
	return h
}

// Restore notes how far a host's reports were trusted in an earlier life.
func (t *Trust) Restore(name string, trust float64) {
	h := t.host(name)
	if h.trust = trust; trust < doubtUnder {
		h.doubted, h.why = true, "they were before the steward's start"
	}
}

// Forget drops what is known of a host that is gone, or whose process is another one: what it reported is no more.
func (t *Trust) Forget(name string) { delete(t.hosts, name) }

// ObserveAttempts notes what proxies met at a host.
func (t *Trust) ObserveAttempts(now float64, l *Report) {
	if l.Attempts == 0 {
		return
	}
	h := t.host(l.Subject)
	h.met.add(now, l)
	h.quick.add(now, l)
	t.fleet.add(now, l)
	h.spread.Add(now, l.Latencies, l.MeanLatencyMs, int64(l.Attempts-l.Failed))
}

// ObserveLoad notes a load report of a host; of several within half a second the first is looked at, the newest kept.
func (t *Trust) ObserveLoad(now float64, name string, load routing.HostLoad, c Capacity) {
	if load == routing.UnknownLoad {
		return
	}
	h := t.host(name)
	first := h.lastAt == 0
	if !first && now-h.looked < sampled {
		h.last, h.lastAt = load, now
		return
	}
	if pause := now - h.looked; !first {
		h.every += 0.2 * (math.Min(pause, 10*t.limits.SilentAfterMs) - h.every)
	}
	same := !first && load == h.last
	if t.again, t.all = t.again*0.999, t.all*0.999+1; same {
		t.again++
		h.run++
	} else {
		h.run = 0
	}
	h.last, h.lastAt, h.looked = load, now, now
	why := t.odd(now, h, load, c)
	if why != "" {
		h.trust *= loses
	} else {
		h.trust += gains * (1 - h.trust)
	}
	switch {
	case !h.doubted && h.trust < doubtUnder:
		h.doubted, h.why = true, why
		t.lines = append(t.lines, "reports of "+name+" are doubted: "+why)
	case h.doubted && h.trust > trustAgain:
		h.doubted, h.why = false, ""
		t.lines = append(t.lines, "reports of "+name+" fit again")
	}
	if !h.doubted && why == "" {
		h.believed, h.believeAt, h.rateThen, h.meanThen = load, now, h.met.rate(h.met.good+h.met.bad), h.met.mean()
	}
}

// silent tells whether a host's reports have stopped.
func (t *Trust) silent(now float64, h *host) bool {
	return now-h.lastAt > math.Max(t.limits.SilentAfterMs, intervals*h.every)
}

// Load is what the module is told of a host's load beside a line that came with a report or none.
func (t *Trust) Load(now float64, name string, with routing.HostLoad, c Capacity) routing.HostLoad {
	h := t.hosts[name]
	if t.limits.TrustAll || h == nil || h.lastAt == 0 {
		return with
	}
	silent := t.silent(now, h)
	if !h.doubted && !silent {
		if with == routing.UnknownLoad {
			return h.last
		}
		return with
	}
	// An estimate takes room away, but is no proof of overload: levels go by what is reported and by failed tries.
	util := math.Min(t.estimate(now, h, c), t.limits.UnknownUtilization)
	if h.doubted {
		util = math.Max(util, h.last.Utilization)
	}
	return routing.HostLoad{Utilization: util, RequestRate: -1, QueueLength: -1}
}

// estimate of a host's busy part: by the rate that all proxies together bring it, over what it can do; or by what it told
// when it was last believed and how traffic and times have changed. The older that is, the nearer it comes to Blind.
func (t *Trust) estimate(now float64, h *host, c Capacity) float64 {
	h.met.fade(now)
	rate, mean, busy := h.met.rate(h.met.good+h.met.bad), h.met.mean(), t.limits.UnknownUtilization
	unsure := math.Min((now-h.believeAt)/math.Max(t.limits.UncertainAfterMs, 1), 1)
	switch {
	case c.Cores > 0 && c.MeanWorkMs > 0 && c.ProxyShare > 0:
		busy = rate / c.ProxyShare * c.MeanWorkMs / 1000 / c.Cores
	case h.believed.Utilization >= 0 && h.rateThen > 0 && h.meanThen > 0 && h.met.good >= 1:
		busy = h.believed.Utilization * rate * mean / (h.rateThen * h.meanThen)
	}
	return math.Max(busy, busy+unsure*(t.limits.UnknownUtilization-busy))
}

// DrainChanges gives what changed of the trust in hosts since it was last asked, a line each.
func (t *Trust) DrainChanges() []string {
	lines := t.lines
	t.lines = nil
	return lines
}

// AcceptLoadReport tells whether a report that a host sent itself is news, and how old it is by the host's stamp, 0 where it has
// none.
func (t *Trust) AcceptLoadReport(now float64, name, sender string, number int64, stamp float64) (news bool, age float64) {
	h := t.host(name)
	news, twice := h.senders.Accept(now, sender, number)
	if twice && h.why == "" {
		h.trust = math.Min(h.trust, doubtUnder*0.9)
	}
	if stamp > 0 {
		age = h.clock.Age(now, stamp)
	}
	return news, age
}
