// Package instance puts a routing.Balancer to work for one controller: it translates the settings into the balancer's
// own configuration, and the names of hosts, zones and request classes into the small indices that the balancer works
// by. The bench's adapter (cmd/simadapter) and the node (internal/platform) both use it. It decides nothing, keeps no
// time and does no I/O.
package instance

import (
	"fmt"

	"barleysail/internal/interner"
	"barleysail/internal/simwire"
	"barleysail/routing"
)

// The settings give durations in microseconds, the balancer takes milliseconds.
const microsecondsPerMs = 1000

// UnsupportedSettingError says that the settings ask for something that this program does not implement.
type UnsupportedSettingError struct {
	Field  string // path of the setting, such as FamilyInfo.Shards
	Value  int
	Reason string
}

func (e *UnsupportedSettingError) Error() string {
	return fmt.Sprintf("Start: setting %s is %d: %s", e.Field, e.Value, e.Reason)
}

// Instance is a controller's balancer together with the names behind the balancer's indices. The balancer is embedded
// since callers drive it directly: an Instance adds names to it and hides nothing of it. Like the balancer, it belongs
// to one goroutine; only the zones and request classes, which never change, may be looked up from any.
type Instance struct {
	*routing.Balancer
	zones   map[string]int
	classes map[string]int
	hosts   interner.Interner
}

// New starts a balancer by settings that simwire.ReadSettings has checked. The seed is that of the balancer's random
// draws. An UnsupportedSettingError names a setting that is valid and not implemented.
func New(settings *simwire.Settings, seed uint64) (*Instance, error) {
	if shards := settings.FamilyInfo.Shards; shards > 0 {
		return nil, &UnsupportedSettingError{Field: "FamilyInfo.Shards", Value: shards, Reason: "slices are not served yet"}
	}
	instance := &Instance{
		Balancer: routing.New(deployment(settings, seed), requestClasses(settings), controlChannel(settings),
			safetyLimits(settings), objective(settings)),
		zones:   map[string]int{},
		classes: map[string]int{},
		hosts:   interner.New(),
	}
	for index, zone := range settings.FailureDomains {
		instance.zones[zone] = index
	}
	for index, class := range settings.Services {
		instance.classes[class.Name] = index
	}
	return instance, nil
}

func deployment(settings *simwire.Settings, seed uint64) routing.Deployment {
	family := &settings.FamilyInfo
	return routing.Deployment{
		Controllers:        *settings.Instances,
		Zones:              len(settings.FailureDomains),
		Proxies:            *family.DataPlaneSize,
		Seed:               seed,
		ReportIntervalMs:   *family.IntervalUs / microsecondsPerMs,
		ProxyEjectAfter:    family.Ejects,
		DefaultRetryPolicy: family.RetryDefault,
		AdmissionControl:   family.Admission == simwire.AdmitShare,
		HealthChecks:       settings.Limits.MayProbe,
		WatchesEndpoints:   settings.Discovery == simwire.Subscribed,
	}
}

func requestClasses(settings *simwire.Settings) []routing.RequestClass {
	zoneLocal := settings.FamilyInfo.StaysLocal // by class; may be shorter than the classes are many
	var classes []routing.RequestClass
	for index, service := range settings.Services {
		classes = append(classes, routing.RequestClass{
			LatencyObjectiveMs: *service.AimUs / microsecondsPerMs,
			DeadlineMs:         *service.HardLimitUs / microsecondsPerMs,
			PriorityWeight:     *service.Value,
			ZoneLocal:          index < len(zoneLocal) && zoneLocal[index],
		})
	}
	return classes
}

func controlChannel(settings *simwire.Settings) routing.ControlChannel {
	family := &settings.FamilyInfo
	return routing.ControlChannel{
		EntriesPerSecond:   *family.ChannelRate,
		MessageOverhead:    *family.PerMessage,
		MaxBacklog:         *family.MostWaiting,
		PropagationDelayMs: family.LateUs / microsecondsPerMs,
		MaxMessages:        family.MessagesMost,
		MessageWindowMs:    family.UpdateWindowUs / microsecondsPerMs,
		Cost:               family.OrderPrice,
	}
}

func safetyLimits(settings *simwire.Settings) routing.SafetyLimits {
	rules := &settings.Rules
	return routing.SafetyLimits{
		EmptyTableMs:           *settings.FamilyInfo.BareUs / microsecondsPerMs,
		DrainGraceMs:           *rules.StopSendingWithinUs / microsecondsPerMs,
		SlowStartInitialFactor: *rules.ColdFrom,
		SlowStartMs:            *rules.ColdUs / microsecondsPerMs,
		CollapseMultiple:       *rules.FallMultiple,
	}
}

func objective(settings *simwire.Settings) routing.Objective {
	return routing.Objective{
		TotalWeight:      settings.ScoreParts.Whole + settings.ScoreParts.WorstWindow,
		WorstClassWeight: settings.ScoreParts.WorstClass,
		HealthCheckCost:  settings.Prices.Probe,
	}
}

// HostIndex returns the index of a host and assigns one, the lowest that is free, to a name not met before.
func (i *Instance) HostIndex(name string) int { return i.hosts.Index(name) }

// ReleaseHost forgets a removed host and frees its index for another host. It returns false, and keeps everything,
// while a table or a health check in flight still refers to the host.
func (i *Instance) ReleaseHost(host int) bool {
	if !i.ForgetHost(host) {
		return false
	}
	i.hosts.Release(i.HostID(host))
	return true
}

// LookupHost returns the index of a host that has one.
func (i *Instance) LookupHost(name string) (int, bool) {
	index, ok := i.hosts.IndexOf[name]
	return index, ok
}

// HostIndexCount returns how many host indices there are, free ones included: all are below it.
func (i *Instance) HostIndexCount() int { return len(i.hosts.Names) }

// HostID returns the name of the host with the index, empty for a free one.
func (i *Instance) HostID(host int) string { return i.hosts.Names[host] }

// ZoneIndex returns the index of a zone of the settings.
func (i *Instance) ZoneIndex(name string) (int, bool) {
	index, ok := i.zones[name]
	return index, ok
}

// ClassIndex returns the index of a request class of the settings.
func (i *Instance) ClassIndex(name string) (int, bool) {
	index, ok := i.classes[name]
	return index, ok
}

// Load makes a load report of the values that a host has reported by name; value returns one below 0 for a name that
// was not reported.
func Load(value func(name string) float64) routing.HostLoad {
	return routing.HostLoad{Utilization: value("util"), RequestRate: value("qps"), QueueLength: value("queue")}
}
