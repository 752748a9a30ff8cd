package intake

import (
	"math"

	"barleysail/routing"
)

// Trust decides which load reports of hosts are used. It compares them with the attempts that proxies made at the host
// (inconsistency). Inconsistent reports lower the confidence in a host, and below distrustThreshold its reports are
// distrusted. The load of a host that is distrusted, or whose reports have stopped, is estimated instead. An estimate
// never shows more headroom than the host reported, and it rises with the age of the last trusted report to
// Limits.UnknownUtilization, at which a host has none. HostReport.DistrustReason holds the reason of the distrust.
type Trust struct {
	limits  Limits
	hosts   map[string]*hostState
	fleet   attemptStats // attempts at all hosts
	rates   rateSums
	repeats repeatStats
	changes []string // messages that DrainChanges returns next
}

// Capacity is the configured capacity of a host, and the fraction of its traffic that this controller observes.
type Capacity struct {
	Cores      float64 // CPU cores times their speed relative to the reference core; 0: unknown
	MeanWorkMs float64 // mean CPU time of a request on the reference core; 0: unknown
	ProxyShare float64 // fraction of the proxies whose request stats this controller receives
}

// isKnown reports whether the utilization caused by a request rate can be computed.
func (c Capacity) isKnown() bool { return c.Cores > 0 && c.MeanWorkMs > 0 }

// restoredReason is the distrust reason of a host that an earlier incarnation of the controller distrusted.
const restoredReason = "they were before the steward's start"

// NewTrust returns a Trust without any host.
func NewTrust(limits Limits) *Trust {
	return &Trust{
		limits:  limits,
		hosts:   map[string]*hostState{},
		fleet:   attemptStats{decayMs: attemptDecayMs},
		repeats: repeatStats{repeated: 1, total: 2}, // a prior of one half
	}
}

func (t *Trust) hostState(name string) *hostState {
	host := t.hosts[name]
	if host == nil {
		host = newHostState()
		t.hosts[name] = host
	}
	return host
}

// Restore sets the confidence in a host's load reports to that of an earlier incarnation of the controller, from 0 to
// 1.
func (t *Trust) Restore(name string, confidence float64) {
	host := t.hostState(name)
	host.confidence = confidence
	if confidence < distrustThreshold {
		host.distrusted = true
		host.distrustReason = restoredReason
	}
}

// Forget deletes the state of a host that was removed or has restarted, so that old reports do not apply.
func (t *Trust) Forget(name string) { delete(t.hosts, name) }

// ObserveAttempts records a proxy's report of its attempts at a host.
func (t *Trust) ObserveAttempts(nowMs float64, report *Report) {
	if report.Attempts == 0 {
		return
	}
	host := t.hostState(report.Subject)
	host.attempts.add(nowMs, report)
	host.recentAttempts.add(nowMs, report)
	t.fleet.add(nowMs, report)
	host.latencies.Add(nowMs, report.Latencies, report.MeanLatencyMs, int64(report.succeeded()))
}

// ObserveLoad records a load report of a host. A report within samplingIntervalMs of the last checked one replaces
// the newest load, but is not checked.
func (t *Trust) ObserveLoad(nowMs float64, name string, load routing.HostLoad, capacity Capacity) {
	if load == routing.UnknownLoad {
		return
	}
	host := t.hostState(name)
	if host.hasReported() && nowMs-host.lastSampleMs < samplingIntervalMs {
		host.lastLoad = load
		host.lastLoadMs = nowMs
		return
	}
	t.sample(nowMs, host, load)
	reason := t.inconsistency(nowMs, host, load, capacity)
	host.updateConfidence(reason == "")
	t.updateDistrust(name, host, reason)
	if !host.distrusted && reason == "" {
		host.recordTrusted(nowMs, load)
	}
}

// sample records a load report as the host's newest one, and counts whether it repeats the one before.
func (t *Trust) sample(nowMs float64, host *hostState, load routing.HostLoad) {
	isRepeat := host.hasReported() && load == host.lastLoad
	if host.hasReported() {
		host.observeInterval(nowMs, &t.limits)
	}
	t.repeats.observe(isRepeat)
	if isRepeat {
		host.repeats++
	} else {
		host.repeats = 0
	}
	host.lastLoad = load
	host.lastLoadMs = nowMs
	host.lastSampleMs = nowMs
}

// updateDistrust begins or ends the distrust of a host by the confidence in it. The two thresholds differ
// (hysteresis), so that the distrust does not flap.
func (t *Trust) updateDistrust(name string, host *hostState, reason string) {
	switch {
	case !host.distrusted && host.confidence < distrustThreshold:
		host.distrusted = true
		host.distrustReason = reason
		t.changes = append(t.changes, "reports of "+name+" are doubted: "+reason)
	case host.distrusted && host.confidence > trustThreshold:
		host.distrusted = false
		host.distrustReason = ""
		t.changes = append(t.changes, "reports of "+name+" fit again")
	}
}

// Load returns the load that routing uses for a host: the reported one if it is trusted, otherwise an estimate.
// reported is the load in the current report, or routing.UnknownLoad.
func (t *Trust) Load(nowMs float64, name string, reported routing.HostLoad, capacity Capacity) routing.HostLoad {
	host := t.hosts[name]
	if t.limits.TrustAll || host == nil || !host.hasReported() {
		return reported
	}
	if !host.distrusted && !host.isSilent(nowMs, &t.limits) {
		if reported == routing.UnknownLoad {
			return host.lastLoad
		}
		return reported
	}
	// An estimate is no evidence of overload, so it is at most the utilization of an unknown host. Only reported
	// overload and failed attempts lower the admission ratio.
	estimate := host.estimateUtilization(nowMs, &t.limits, capacity)
	utilization := math.Min(estimate, t.limits.UnknownUtilization)
	if host.distrusted {
		utilization = math.Max(utilization, host.lastLoad.Utilization)
	}
	estimated := routing.UnknownLoad
	estimated.Utilization = utilization
	return estimated
}

// DrainChanges returns a message for each host whose distrust began or ended since the last call.
func (t *Trust) DrainChanges() []string {
	changes := t.changes
	t.changes = nil
	return changes
}

// AcceptLoadReport reports whether a load report that the host itself sent is new, by the reporter's id and sequence
// number, and returns its age in milliseconds by the host's time stamp, 0 without one. A second reporter under the
// host's name lowers the confidence in the host's reports.
func (t *Trust) AcceptLoadReport(
	nowMs float64, name, reporterID string, sequence int64, stampMs float64,
) (isNew bool, ageMs float64) {
	host := t.hostState(name)
	isNew, duplicate := host.reporters.Accept(nowMs, reporterID, sequence)
	if duplicate && host.distrustReason == "" {
		host.confidence = math.Min(host.confidence, duplicateConfidence)
	}
	if stampMs > 0 {
		ageMs = host.clock.Age(nowMs, stampMs)
	}
	return isNew, ageMs
}
