package intake

import (
	"fmt"
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

// counts of what proxies met lately, faded.
type counts struct {
	over            float64 // ms it fades over
	good, bad, time float64
	at, from        float64 // from: since when it counts; 0: it has not begun
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

// fade brings counts up to a time.
func (c *counts) fade(now float64) {
	part := math.Exp((c.at - now) / c.over)
	c.good, c.bad, c.time, c.at = c.good*part, c.bad*part, c.time*part, now
}

func (c *counts) add(now float64, l *Report) {
	if c.from == 0 {
		c.from = now - l.WindowMs
	}
	c.fade(now)
	good := float64(l.Attempts - l.Failed)
	c.good, c.bad, c.time = c.good+good, c.bad+float64(l.Failed), c.time+good*l.MeanLatencyMs
}

// rate of a faded count, a second.
func (c *counts) rate(n float64) float64 {
	return n / (c.over * (1 - math.Exp(-math.Max(c.at-c.from, 100)/c.over))) * 1000
}

func (c *counts) mean() float64 { return c.time / math.Max(c.good, 1e-9) }

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

// odd says why a report does not fit what the proxies met, if it does not.
func (t *Trust) odd(now float64, h *host, load routing.HostLoad, c Capacity) string {
	h.met.fade(now)
	h.quick.fade(now)
	t.fleet.fade(now)
	if h.met.good < enough || now < h.met.from+knownFor {
		return ""
	}
	// Where traffic falls a host tells so before our figures show it: the lower one counts.
	ours := math.Min(h.met.rate(h.met.good), h.quick.rate(h.quick.good))
	mean, usual := h.met.mean(), t.fleet.mean()
	if odds := math.Pow(t.again/t.all, float64(h.run)); h.run >= runLeast && odds < t.limits.StuckProbability {
		return fmt.Sprintf("the same %d times, by chance once in %.0f", h.run+1, 1/odds)
	}
	// Where traffic falls everywhere all hosts tell so before our figures show it: then the fleet's part counts.
	part := 1.0
	if load.RequestRate >= 0 {
		fade := math.Exp((t.toldAt - now) / quickFor)
		t.told, t.ours, t.toldAt = t.told*fade+load.RequestRate, t.ours*fade+ours, now
		part = math.Min(1, t.told/math.Max(t.ours, 1e-9))
	}
	if load.RequestRate >= 0 && load.RequestRate+1 < lessThan*part*ours {
		return fmt.Sprintf("it tells %.3g a second, our proxies alone had %.3g fulfilled", load.RequestRate, ours)
	}
	if c.Cores > 0 && c.MeanWorkMs > 0 && load.Utilization >= 0 {
		if busy := part * ours * c.MeanWorkMs / 1000 / c.Cores; load.Utilization+0.1 < halfBusy*busy {
			return fmt.Sprintf("it tells a busy part of %.2f, our proxies' work alone makes %.2f", load.Utilization, busy)
		}
	}
	if load.Utilization >= 0 && load.Utilization < idleUnder && load.QueueLength <= 0 && mean > slowIdle*usual {
		return fmt.Sprintf("it tells a busy part of %.2f, its answers take %.0f ms where %.0f are usual", load.Utilization, mean, usual)
	}
	return ""
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

// HostReport is how a host's reports stand.
type HostReport struct {
	Count             float64       `json:"count"`     // good tries that count now, faded
	AgeMs             float64       `json:"age_ms"`    // of the newest load report; below 0: there was none
	Trust             float64       `json:"trust"`     // in its load reports, 0 to 1
	DistrustReason    string        `json:"doubted"`   // why they are not believed
	Silent            bool          `json:"silent"`    // they have stopped
	Estimate          float64       `json:"estimate"`  // of its busy part, where they are not believed or have stopped
	Uncertainty       float64       `json:"unsure"`    // how unsure that is, 0 to 1
	DuplicateReporter bool          `json:"two_names"` // two senders are at work under its name
	Latencies         LatencyReport `json:"times"`
}

// Host tells how a host's reports stand; false where none came and no proxy met it.
func (t *Trust) Host(now float64, name string, c Capacity) (r HostReport, ok bool) {
	h := t.hosts[name]
	if h == nil {
		return r, false
	}
	h.met.fade(now)
	r = HostReport{Count: h.met.good, AgeMs: -1, Trust: h.trust, DistrustReason: h.why, DuplicateReporter: h.senders.Duplicate(now), Latencies: h.spread.Report()}
	if h.lastAt > 0 {
		r.AgeMs, r.Silent = now-h.lastAt, t.silent(now, h)
		if r.Silent || h.doubted {
			r.Estimate = math.Min(t.estimate(now, h, c), 1)
			r.Uncertainty = math.Min((now-h.believeAt)/math.Max(t.limits.UncertainAfterMs, 1), 1)
		}
	}
	return r, true
}

// Confidence is how far a host's load reports are trusted, 1 where nothing is known.
func (t *Trust) Confidence(name string) float64 {
	if h := t.hosts[name]; h != nil {
		return h.trust
	}
	return 1
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

// Count tells how many hosts are known, doubted and silent.
func (t *Trust) Count(now float64) (known, doubted, silent int) {
	for _, h := range t.hosts {
		if h.doubted {
			doubted++
		}
		if h.lastAt > 0 && t.silent(now, h) {
			silent++
		}
	}
	return len(t.hosts), doubted, silent
}
