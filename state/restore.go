// Package state defines what a controller keeps across a restart, and how far its next incarnation relies on it.
//
// It owns the differences between two stored states (Diff, Apply), the size limit of a state (Shrink), and the decay
// of stored knowledge (ApplyDecay): the confidence in a figure halves with the half-life of its kind of knowledge,
// and beyond a maximum age the figure counts as unknown (DefaultLimits). Restored figures count as measurements of
// the next incarnation, and by themselves never eject a host. The stored state (statepb.State) holds the starts and the
// draining of hosts, their weights and latencies, failures and ejections, the admission ratio and quotas, the
// confidence in load reports, the table versions and request rates of proxies, and the overrides and queued commands
// of operators.
//
// The package performs no I/O, reads no clock and never writes files; package statefile does that. Instants are
// milliseconds since 1970 by the wall clock, durations are milliseconds.
package state

import (
	"fmt"
	"math"
	"slices"

	"barleysail/state/statepb"
)

// Bounds of stored figures. A figure outside its bounds is damaged or implausible: ratios, weights and counts are
// clamped to the nearest bound, latencies and rates count as unknown.
const (
	minAdmissionRatio = 0.01
	minWeight         = 0.05 // relative to the weight in the endpoint list
	maxWeight         = 20
	maxAttempts       = 1e6 // successes or failures
	maxLatencyMs      = 1e7
	maxRequestRate    = 1e9 // requests a second
)

// Restored is the stored knowledge that a new incarnation of a controller may use. Instants are milliseconds since
// 1970, durations and latencies are milliseconds.
type Restored struct {
	Incarnation     string  // the incarnation that stored the state; empty: nothing is known
	ElapsedMs       float64 // time since the state was stored
	Reason          string  // why not everything that was stored is known; empty: everything is
	Hosts           map[string]*Host
	Proxies         map[string]*Proxy
	AdmissionRatio  float64                  // 1 if nothing is known
	AdmissionQuotas map[string]float64       // by request class
	MedianLatencyMs float64                  // median of the hosts' mean latencies; 0: not known
	Overrides       []*statepb.Setting       // overrides of operators that have not expired
	Queue           []*statepb.QueuedCommand // commands of operators that wait, first in first out
}

// Host is the restored knowledge about one host.
type Host struct {
	Zone                string
	StartedMs           float64 // instant; 0: long ago, or not known
	DrainingSinceMs     float64 // instant; 0: not draining
	Weight              float64 // relative to the weight in the endpoint list; 1 if nothing is known
	MeanLatencyMs       float64 // of an attempt; 0: not known
	Successes, Failures float64 // decayed counts of attempts
	Ejected             bool    // whether it was ejected as an outlier; it is not ejected again, but checked early
	Unreachable         bool    // whether it was unreachable when it was ejected
	ReportConfidence    float64 // confidence in its load reports; 1 if nothing is known
}

// Proxy is the restored knowledge about one proxy.
type Proxy struct {
	Zone         string
	Tag          string           // tag of the table version that it acknowledged; empty: not known
	Tables       []*statepb.Class // tables of that version
	RequestRates []float64        // requests a second by request class, in the order of the settings; nil: not known
}

func newRestored(reason string) *Restored {
	return &Restored{
		Reason:          reason,
		AdmissionRatio:  1,
		Hosts:           map[string]*Host{},
		Proxies:         map[string]*Proxy{},
		AdmissionQuotas: map[string]float64{},
	}
}

// ApplyDecay returns what is still known of a stored state at an instant, in milliseconds since 1970. If the state is
// nil, nothing is known.
//
// If the wall clock went back by more than the tolerance since the state was stored, the age of its entries is
// unknown. Then only the overrides and the queued commands of operators are restored, the expired overrides included.
func ApplyDecay(stored *statepb.State, nowMs float64, limits Limits) *Restored {
	if stored == nil {
		return newRestored("no state was stored")
	}
	restored := newRestored("")
	restored.Queue = slices.Clone(stored.Queue)
	restored.ElapsedMs = nowMs - stored.At
	if restored.ElapsedMs < -limits.ClockToleranceMs || math.IsNaN(restored.ElapsedMs) {
		restored.Reason = fmt.Sprintf("the clock went back by %.0f ms", -restored.ElapsedMs)
		restored.Overrides = slices.Clone(stored.Settings)
		return restored
	}
	restored.Incarnation = stored.Life
	d := decayer{nowMs: nowMs, limits: limits, restored: restored}
	d.restoreOverrides(stored.Settings)
	if stored.Fleet != nil {
		d.restoreFleet(stored.Fleet)
	}
	d.restoreHosts(stored.Hosts)
	d.restoreProxies(stored.Proxies, stored.Tables)
	return restored
}

// decayer restores one stored state, part by part.
type decayer struct {
	nowMs    float64
	limits   Limits
	restored *Restored
}

func (d *decayer) restoreOverrides(overrides []*statepb.Setting) {
	for _, override := range overrides {
		expires := override.Until != 0
		if !expires || override.Until > d.nowMs {
			d.restored.Overrides = append(d.restored.Overrides, override)
		}
	}
}

// restoreFleet restores the figures that are common to all hosts. The admission ratio and quotas decay toward 1, which
// admits all requests. The median latency does not decay, since the latencies of hosts decay toward it.
func (d *decayer) restoreFleet(fleet *statepb.Fleet) {
	ageMs := d.nowMs - fleet.At
	if confidence := d.limits.Admission.confidence(ageMs); confidence > 0 {
		d.restored.AdmissionRatio = decayAdmission(fleet.Level, confidence)
		for i, class := range fleet.Classes {
			if i < len(fleet.Shares) {
				d.restored.AdmissionQuotas[class] = decayAdmission(fleet.Shares[i], confidence)
			}
		}
	}
	if d.limits.Estimates.confidence(ageMs) > 0 && plausibleLatency(fleet.Median) {
		d.restored.MedianLatencyMs = fleet.Median
	}
}

func decayAdmission(ratio, confidence float64) float64 {
	return decayToward(1, clamp(ratio, minAdmissionRatio, 1), confidence)
}

// restoreHosts restores the hosts. It needs the median latency, so it must run after restoreFleet.
func (d *decayer) restoreHosts(hosts []*statepb.Host) {
	unknown := 0
	for _, stored := range hosts {
		host, known := d.restoreHost(stored)
		if !known {
			unknown++
			continue
		}
		d.restored.Hosts[stored.Name] = host
	}
	if unknown > 0 {
		d.restored.Reason = fmt.Sprintf("%d of %d hosts were last measured too long ago", unknown, len(hosts))
	}
}

// restoreHost returns what is still known of a host, and whether anything is.
func (d *decayer) restoreHost(stored *statepb.Host) (host *Host, known bool) {
	host = &Host{Zone: stored.Zone, Weight: 1, ReportConfidence: 1}
	ageMs := d.nowMs - stored.At
	lifecycleKnown := d.restoreLifecycle(host, stored)
	estimatesKnown := d.restoreEstimates(host, stored, ageMs)
	failuresKnown := d.restoreFailures(host, stored, ageMs)
	reportsKnown := d.restoreReportConfidence(host, stored, ageMs)
	return host, lifecycleKnown || estimatesKnown || failuresKnown || reportsKnown
}

// restoreLifecycle restores the start time of a host that is still warming up, and the time since which it is draining,
// which applies until the endpoint list says otherwise. Both are facts that the platform reported, not estimates, so
// they do not decay. A start in the future would keep the host in slow start until then, so it counts as unknown.
func (d *decayer) restoreLifecycle(host *Host, stored *statepb.Host) (known bool) {
	started := stored.Started > 0 && stored.Started <= d.nowMs+futureToleranceMs
	if started && d.nowMs < stored.Started+d.limits.SlowStartMs {
		host.StartedMs = math.Min(stored.Started, d.nowMs)
		known = true
	}
	if stored.Drains > 0 && stored.Drains <= d.nowMs {
		host.DrainingSinceMs = stored.Drains
		known = true
	}
	return known
}

// restoreEstimates decays the weight toward the one in the endpoint list, and the mean latency toward the median of all
// hosts.
func (d *decayer) restoreEstimates(host *Host, stored *statepb.Host, ageMs float64) (known bool) {
	confidence := d.limits.Estimates.confidence(ageMs)
	if !(confidence > 0) {
		return false
	}
	host.Weight = decayToward(1, clamp(stored.Weight, minWeight, maxWeight), confidence)
	if plausibleLatency(stored.R) && d.restored.MedianLatencyMs > 0 {
		host.MeanLatencyMs = decayToward(d.restored.MedianLatencyMs, stored.R, confidence)
	}
	return true
}

// restoreFailures decays the counts of attempts toward zero.
func (d *decayer) restoreFailures(host *Host, stored *statepb.Host, ageMs float64) (known bool) {
	confidence := d.limits.Failures.confidence(ageMs)
	if !(confidence > 0) {
		return false
	}
	host.Successes = clamp(stored.Won, 0, maxAttempts) * confidence
	host.Failures = clamp(stored.Lost, 0, maxAttempts) * confidence
	host.Ejected = stored.Out
	host.Unreachable = stored.Absent
	return true
}

// restoreReportConfidence decays the confidence in a host's load reports toward 1. A stored 0 means that the confidence
// was not known.
func (d *decayer) restoreReportConfidence(host *Host, stored *statepb.Host, ageMs float64) (known bool) {
	confidence := d.limits.Reports.confidence(ageMs)
	if !(confidence > 0 && stored.Trust > 0) { // also if the stored confidence is NaN
		return false
	}
	host.ReportConfidence = decayToward(1, clamp(stored.Trust, 0, 1), confidence)
	return true
}

func (d *decayer) restoreProxies(proxies []*statepb.Proxy, tables []*statepb.Table) {
	tablesByID := map[string][]*statepb.Class{}
	for _, table := range tables {
		tablesByID[table.Id] = table.Classes
	}
	for _, stored := range proxies {
		proxy := d.restoreProxy(stored, tablesByID[stored.Table])
		if proxy.Tag != "" || proxy.RequestRates != nil {
			d.restored.Proxies[stored.Name] = proxy
		}
	}
}

// restoreProxy restores the table version and the request rates of a proxy, each of them if it is recent enough.
func (d *decayer) restoreProxy(stored *statepb.Proxy, tables []*statepb.Class) *Proxy {
	proxy := &Proxy{Zone: stored.Zone}
	ageMs := d.nowMs - stored.At
	if withinAge(ageMs, d.limits.TagMaxAgeMs) && stored.Table != "" && tables != nil {
		proxy.Tag = stored.Tag
		proxy.Tables = tables
	}
	if withinAge(ageMs, d.limits.DemandMaxAgeMs) && !slices.ContainsFunc(stored.Rates, implausibleRate) {
		proxy.RequestRates = stored.Rates
	}
	return proxy
}

// plausibleLatency reports whether a latency is known and within its bounds. It is false for NaN, for infinities and
// for zero, which means unknown.
func plausibleLatency(latencyMs float64) bool { return latencyMs > 0 && latencyMs < maxLatencyMs }

// implausibleRate reports whether a rate, in requests a second, is outside its bounds. It is true for NaN.
func implausibleRate(rate float64) bool { return !(rate >= 0 && rate <= maxRequestRate) }

// clamp limits a value to its bounds; NaN becomes the lower bound.
func clamp(value, lower, upper float64) float64 {
	if !(value >= lower) {
		return lower
	}
	return math.Min(value, upper)
}
