// Package instance puts the decision module to work for one steward: settings become the module's own, and the ids of
// hosts, zones and classes become small indices in the order they were first met. The bench's adapter and the steward
// on the platform both go through it.
package instance

import (
	"fmt"

	"barleysail/internal/interner"
	"barleysail/internal/simwire"
	"barleysail/routing"
)

// Instance is a steward's module with the ids that it knows.
type Instance struct {
	*routing.Balancer
	zones   map[string]int
	classes map[string]int
	hosts   interner.Interner
}

// New starts the module by the settings.
func New(s *simwire.Settings, seed uint64) (*Instance, error) {
	if s.FamilyInfo.Shards > 0 {
		return nil, fmt.Errorf("Start: setting FamilyInfo.Shards is %d: slices are not served yet", s.FamilyInfo.Shards)
	}
	n := &Instance{zones: map[string]int{}, classes: map[string]int{}, hosts: interner.New()}
	for i, z := range s.FailureDomains {
		n.zones[z] = i
	}
	f, r := &s.FamilyInfo, &s.Rules
	var classes []routing.RequestClass
	for i, c := range s.Services {
		n.classes[c.Name] = i
		classes = append(classes, routing.RequestClass{LatencyObjectiveMs: *c.AimUs / 1000, DeadlineMs: *c.HardLimitUs / 1000,
			PriorityWeight: *c.Value, ZoneLocal: i < len(f.StaysLocal) && f.StaysLocal[i]})
	}
	n.Balancer = routing.New(
		routing.Deployment{Controllers: *s.Instances, Zones: len(s.FailureDomains), Proxies: *f.DataPlaneSize, Seed: seed,
			ReportIntervalMs: *f.IntervalUs / 1000, ProxyEjectAfter: f.Ejects, DefaultRetryPolicy: f.RetryDefault,
			AdmissionControl: f.Admission == simwire.AdmitShare, HealthChecks: s.Limits.MayProbe, WatchesEndpoints: s.Discovery == simwire.Subscribed},
		classes,
		routing.ControlChannel{EntriesPerSecond: *f.ChannelRate, MessageOverhead: *f.PerMessage, MaxBacklog: *f.MostWaiting, PropagationDelayMs: f.LateUs / 1000,
			MaxMessages: f.MessagesMost, MessageWindowMs: f.UpdateWindowUs / 1000, Cost: f.OrderPrice},
		routing.SafetyLimits{EmptyTableMs: *f.BareUs / 1000, DrainGraceMs: *r.StopSendingWithinUs / 1000, SlowStartInitialFactor: *r.ColdFrom, SlowStartMs: *r.ColdUs / 1000,
			CollapseMultiple: *r.FallMultiple},
		routing.Objective{TotalWeight: s.ScoreParts.Whole + s.ScoreParts.WorstWindow, WorstClassWeight: s.ScoreParts.WorstClass,
			HealthCheckCost: s.Prices.Probe})
	return n, nil
}

// HostIndex gives the index of a host, a new one for an id not met before.
func (n *Instance) HostIndex(id string) int { return n.hosts.Index(id) }

// ReleaseHost forgets a host that is gone and gives its index to another. It answers false, and keeps all, while a table or a
// probe still names the host.
func (n *Instance) ReleaseHost(host int) bool {
	if !n.ForgetHost(host) {
		return false
	}
	n.hosts.Release(n.HostID(host))
	return true
}

// LookupHost gives the index of a host that was met before.
func (n *Instance) LookupHost(id string) (int, bool) {
	i, ok := n.hosts.IndexOf[id]
	return i, ok
}

// HostIndexCount is how many indices hosts have had so far.
func (n *Instance) HostIndexCount() int { return len(n.hosts.Names) }

// HostID is the id of a host, empty for an index that was given free.
func (n *Instance) HostID(host int) string { return n.hosts.Names[host] }

// ZoneIndex gives the index of a zone of the settings.
func (n *Instance) ZoneIndex(name string) (int, bool) {
	i, ok := n.zones[name]
	return i, ok
}

// ClassIndex gives the index of a class of the settings.
func (n *Instance) ClassIndex(name string) (int, bool) {
	i, ok := n.classes[name]
	return i, ok
}

// Load makes a report of its values by name; value gives one below 0 for what was not reported.
func Load(value func(name string) float64) routing.HostLoad {
	return routing.HostLoad{Utilization: value("util"), RequestRate: value("qps"), QueueLength: value("queue")}
}
