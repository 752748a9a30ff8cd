// Package instance puts the decision module to work for one steward: settings become the module's own, and the ids of
// hosts, zones and classes become small indices in the order they were first met. The bench's adapter and the steward
// on the platform both go through it.
package instance

import (
	"fmt"

	"barleysail/decide"
	"barleysail/internal/indices"
	"barleysail/internal/wire"
)

// Instance is a steward's module with the ids that it knows.
type Instance struct {
	*decide.Steward
	zones   map[string]int
	classes map[string]int
	hosts   indices.Indices
}

// New starts the module by the settings.
func New(s *wire.Settings, seed uint64) (*Instance, error) {
	if s.FamilyInfo.Shards > 0 {
		return nil, fmt.Errorf("Start: setting FamilyInfo.Shards is %d: slices are not served yet", s.FamilyInfo.Shards)
	}
	n := &Instance{zones: map[string]int{}, classes: map[string]int{}, hosts: indices.New()}
	for i, z := range s.FailureDomains {
		n.zones[z] = i
	}
	f, r := &s.FamilyInfo, &s.Rules
	var classes []decide.Class
	for i, c := range s.Services {
		n.classes[c.Name] = i
		classes = append(classes, decide.Class{Due: *c.AimUs / 1000, Patience: *c.HardLimitUs / 1000,
			Earnings: *c.Value, Local: i < len(f.StaysLocal) && f.StaysLocal[i]})
	}
	n.Steward = decide.New(
		decide.Fleet{Instances: *s.Instances, Zones: len(s.FailureDomains), Proxies: *f.DataPlaneSize, Seed: seed,
			Period: *f.IntervalUs / 1000, Ejects: f.Ejects, UsualTries: f.RetryDefault,
			Admits: f.Admission == wire.AdmitShare, MayProbe: s.Limits.MayProbe, MustAsk: s.Discovery == wire.Subscribed},
		classes,
		decide.Channel{LinesPerS: *f.ChannelRate, Head: *f.PerMessage, MostWaiting: *f.MostWaiting, Late: f.LateUs / 1000,
			MessagesMost: f.MessagesMost, MessagesOver: f.UpdateWindowUs / 1000, Price: f.OrderPrice},
		decide.Guard{Bare: *f.BareUs / 1000, Grace: *r.StopSendingWithinUs / 1000, ColdFrom: *r.ColdFrom, Cold: *r.ColdUs / 1000,
			FallMultiple: *r.FallMultiple},
		decide.Goal{Whole: s.ScoreParts.Whole + s.ScoreParts.WorstWindow, WorstClass: s.ScoreParts.WorstClass,
			ProbePrice: s.Prices.Probe})
	return n, nil
}

// Host gives the index of a host, a new one for an id not met before.
func (n *Instance) Host(id string) int { return n.hosts.Index(id) }

// Drop forgets a host that is gone and gives its index to another. It answers false, and keeps all, while a table or a
// probe still names the host.
func (n *Instance) Drop(host int) bool {
	if !n.Forget(host) {
		return false
	}
	n.hosts.Release(n.ID(host))
	return true
}

// Known gives the index of a host that was met before.
func (n *Instance) Known(id string) (int, bool) {
	i, ok := n.hosts.Of[id]
	return i, ok
}

// Hosts is how many indices hosts have had so far.
func (n *Instance) Hosts() int { return len(n.hosts.Names) }

// ID is the id of a host, empty for an index that was given free.
func (n *Instance) ID(host int) string { return n.hosts.Names[host] }

// Zone gives the index of a zone of the settings.
func (n *Instance) Zone(name string) (int, bool) {
	i, ok := n.zones[name]
	return i, ok
}

// Class gives the index of a class of the settings.
func (n *Instance) Class(name string) (int, bool) {
	i, ok := n.classes[name]
	return i, ok
}

// Load makes a report of its values by name; value gives one below 0 for what was not reported.
func Load(value func(name string) float64) decide.Load {
	return decide.Load{Util: value("util"), Rate: value("qps"), Queue: value("queue")}
}
