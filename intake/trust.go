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
	limits                           Limits
	hosts                            map[string]*hostState
	fleet                            attemptStats
	reportedRateSum, observedRateSum float64 // faded: rates that all hosts reported, and what our proxies had fulfilled there
	rateSumsMs                       float64
	repeatedReports                  float64  // faded: reports that were the same as the one before
	sampledReports                   float64  // and all
	changes                          []string // of changes, to be told
}

// Capacity is what is known of a host besides its reports.
type Capacity struct {
	Cores      float64 // cores by their speed; 0: not told
	MeanWorkMs float64 // ms of a mean transaction on a core of speed 1; 0: not told
	ProxyShare float64 // part of the proxies whose sums come here
}

const (
	attemptDecayMs      = 5000.0 // ms that what proxies met fades over
	fastDecayMs         = 1500.0 // and the figures that follow a change sooner
	minObservationMs    = 3000.0 // ms after which they say something
	samplingIntervalMs  = 500.0  // ms between two reports of a host that are looked at
	minGoodAttempts     = 20.0   // good tries that say something about a host
	minRateRatio        = 0.8    // of what our proxies alone had fulfilled a host may not report less
	minUtilizationRatio = 0.5    // of the busy part that our proxies' work alone would make, likewise
	maxIdleLatencyRatio = 2.5    // times the fleet's mean time: a host that idles is not so slow
	idleUtilization     = 0.5    // busy part of a host that idles
	confidenceLoss      = 0.75   // of its trust a report that does not fit leaves
	confidenceGain      = 0.1    // of what lacks a fitting one gives back
	distrustThreshold   = 0.5    // trust under which reports are not believed
	trustThreshold      = 0.75   // and over which they are
	minStuckRepeats     = 5      // reports alike in a row that may be stuck
	silentIntervals     = 5.0    // times its usual pause after which a host's reports have stopped
)

// hostState as the intake knows it.
type hostState struct {
	attempts         attemptStats
	recentAttempts   attemptStats
	latencies        LatencyDistribution
	reporters        Reporters
	clock            Clock
	lastLoad         routing.HostLoad // as reported, newest
	lastLoadMs       float64
	lastSampleMs     float64
	intervalMs       float64 // between two reports that differ in time
	repeats          int
	confidence       float64
	distrusted       bool
	distrustReason   string
	trustedLoad      routing.HostLoad // when it was last believed, and what the proxies met then
	trustedMs        float64
	trustedRate      float64
	trustedLatencyMs float64
}

// NewTrust makes one that knows no host.
func NewTrust(l Limits) *Trust {
	return &Trust{limits: l, hosts: map[string]*hostState{}, fleet: attemptStats{decayMs: attemptDecayMs}, repeatedReports: 1, sampledReports: 2}
}

func (t *Trust) hostState(name string) *hostState {
	h := t.hosts[name]
	if h == nil {
		h = &hostState{attempts: attemptStats{decayMs: attemptDecayMs}, recentAttempts: attemptStats{decayMs: fastDecayMs}, lastLoad: routing.UnknownLoad, trustedLoad: routing.UnknownLoad, confidence: 1}
		t.hosts[name] = h
	}
	return h
}

// Restore notes how far a host's reports were trusted in an earlier life.
func (t *Trust) Restore(name string, trust float64) {
	h := t.hostState(name)
	if h.confidence = trust; trust < distrustThreshold {
		h.distrusted, h.distrustReason = true, "they were before the steward's start"
	}
}

// Forget drops what is known of a host that is gone, or whose process is another one: what it reported is no more.
func (t *Trust) Forget(name string) { delete(t.hosts, name) }

// ObserveAttempts notes what proxies met at a host.
func (t *Trust) ObserveAttempts(now float64, l *Report) {
	if l.Attempts == 0 {
		return
	}
	h := t.hostState(l.Subject)
	h.attempts.add(now, l)
	h.recentAttempts.add(now, l)
	t.fleet.add(now, l)
	h.latencies.Add(now, l.Latencies, l.MeanLatencyMs, int64(l.Attempts-l.Failed))
}

// ObserveLoad notes a load report of a host; of several within half a second the first is looked at, the newest kept.
func (t *Trust) ObserveLoad(now float64, name string, load routing.HostLoad, c Capacity) {
	if load == routing.UnknownLoad {
		return
	}
	h := t.hostState(name)
	first := h.lastLoadMs == 0
	if !first && now-h.lastSampleMs < samplingIntervalMs {
		h.lastLoad, h.lastLoadMs = load, now
		return
	}
	if pause := now - h.lastSampleMs; !first {
		h.intervalMs += 0.2 * (math.Min(pause, 10*t.limits.SilentAfterMs) - h.intervalMs)
	}
	same := !first && load == h.lastLoad
	if t.repeatedReports, t.sampledReports = t.repeatedReports*0.999, t.sampledReports*0.999+1; same {
		t.repeatedReports++
		h.repeats++
	} else {
		h.repeats = 0
	}
	h.lastLoad, h.lastLoadMs, h.lastSampleMs = load, now, now
	why := t.inconsistency(now, h, load, c)
	if why != "" {
		h.confidence *= confidenceLoss
	} else {
		h.confidence += confidenceGain * (1 - h.confidence)
	}
	switch {
	case !h.distrusted && h.confidence < distrustThreshold:
		h.distrusted, h.distrustReason = true, why
		t.changes = append(t.changes, "reports of "+name+" are doubted: "+why)
	case h.distrusted && h.confidence > trustThreshold:
		h.distrusted, h.distrustReason = false, ""
		t.changes = append(t.changes, "reports of "+name+" fit again")
	}
	if !h.distrusted && why == "" {
		h.trustedLoad, h.trustedMs, h.trustedRate, h.trustedLatencyMs = load, now, h.attempts.perSecond(h.attempts.good+h.attempts.failed), h.attempts.meanLatencyMs()
	}
}

// isSilent tells whether a host's reports have stopped.
func (t *Trust) isSilent(now float64, h *hostState) bool {
	return now-h.lastLoadMs > math.Max(t.limits.SilentAfterMs, silentIntervals*h.intervalMs)
}

// Load is what the module is told of a host's load beside a line that came with a report or none.
func (t *Trust) Load(now float64, name string, with routing.HostLoad, c Capacity) routing.HostLoad {
	h := t.hosts[name]
	if t.limits.TrustAll || h == nil || h.lastLoadMs == 0 {
		return with
	}
	silent := t.isSilent(now, h)
	if !h.distrusted && !silent {
		if with == routing.UnknownLoad {
			return h.lastLoad
		}
		return with
	}
	// An estimate takes room away, but is no proof of overload: levels go by what is reported and by failed tries.
	util := math.Min(t.estimateUtilization(now, h, c), t.limits.UnknownUtilization)
	if h.distrusted {
		util = math.Max(util, h.lastLoad.Utilization)
	}
	return routing.HostLoad{Utilization: util, RequestRate: -1, QueueLength: -1}
}

// estimateUtilization of a host's busy part: by the rate that all proxies together bring it, over what it can do; or by what it told
// when it was last believed and how traffic and times have changed. The older that is, the nearer it comes to Blind.
func (t *Trust) estimateUtilization(now float64, h *hostState, c Capacity) float64 {
	h.attempts.decay(now)
	rate, mean, busy := h.attempts.perSecond(h.attempts.good+h.attempts.failed), h.attempts.meanLatencyMs(), t.limits.UnknownUtilization
	unsure := math.Min((now-h.trustedMs)/math.Max(t.limits.UncertainAfterMs, 1), 1)
	switch {
	case c.Cores > 0 && c.MeanWorkMs > 0 && c.ProxyShare > 0:
		busy = rate / c.ProxyShare * c.MeanWorkMs / 1000 / c.Cores
	case h.trustedLoad.Utilization >= 0 && h.trustedRate > 0 && h.trustedLatencyMs > 0 && h.attempts.good >= 1:
		busy = h.trustedLoad.Utilization * rate * mean / (h.trustedRate * h.trustedLatencyMs)
	}
	return math.Max(busy, busy+unsure*(t.limits.UnknownUtilization-busy))
}

// DrainChanges gives what changed of the trust in hosts since it was last asked, a line each.
func (t *Trust) DrainChanges() []string {
	lines := t.changes
	t.changes = nil
	return lines
}

// AcceptLoadReport tells whether a report that a host sent itself is news, and how old it is by the host's stamp, 0 where it has
// none.
func (t *Trust) AcceptLoadReport(now float64, name, sender string, number int64, stamp float64) (news bool, age float64) {
	h := t.hostState(name)
	news, twice := h.reporters.Accept(now, sender, number)
	if twice && h.distrustReason == "" {
		h.confidence = math.Min(h.confidence, distrustThreshold*0.9)
	}
	if stamp > 0 {
		age = h.clock.Age(now, stamp)
	}
	return news, age
}
