// Package instance sets up a routing.Balancer for one controller. It translates the settings to the balancer's
// configuration, and the names of hosts, zones and request classes to the small indices that the balancer uses. The
// simulator's adapter (cmd/simadapter) and the node (internal/platform) share it. It makes no decision, reads no clock
// and does no I/O.
package instance

import (
	"fmt"

	"barleysail/internal/interner"
	"barleysail/internal/simwire"
	"barleysail/routing"
)

// microsecondsPerMs converts durations: the settings are in microseconds, the balancer uses milliseconds.
const microsecondsPerMs = 1000

// UnsupportedSettingError is the error of a setting that is valid but not implemented.
type UnsupportedSettingError struct {
	Field  string // path of the setting, such as FamilyInfo.Shards
	Value  int    // of the setting
	Reason string
}

func (e *UnsupportedSettingError) Error() string {
	return fmt.Sprintf("Start: setting %s is %d: %s", e.Field, e.Value, e.Reason)
}

// Instance is a controller's balancer together with the names for the balancer's indices. It embeds the balancer since
// callers use it directly: an Instance only adds names. Like the balancer it is not safe for concurrent use, except for
// ZoneIndex and ClassIndex: zones and request classes never change.
type Instance struct {
	*routing.Balancer
	zones   map[string]int // index by name
	classes map[string]int // index by name
	hosts   interner.Interner
}

// New returns an instance for settings that simwire.ReadSettings has validated. The seed is that of the balancer's
// random draws. The error is an *UnsupportedSettingError.
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
	zoneLocal := settings.FamilyInfo.StaysLocal // by class; the last classes may be missing
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

// HostIndex returns the index of a host. It assigns the lowest free index to a host without one.
func (i *Instance) HostIndex(name string) int { return i.hosts.Index(name) }

// ReleaseHost forgets a removed host and frees its index for another host. It returns false and changes nothing if a
// table or a health check in flight still refers to the host.
func (i *Instance) ReleaseHost(host int) bool {
	if !i.ForgetHost(host) {
		return false
	}
	i.hosts.Release(i.HostName(host))
	return true
}

// LookupHost returns the index of a host, and reports whether it has one.
func (i *Instance) LookupHost(name string) (int, bool) {
	index, ok := i.hosts.IndexOf[name]
	return index, ok
}

// HostIndexCount returns the number of host indices, including free ones. Every host index is less than it.
func (i *Instance) HostIndexCount() int { return len(i.hosts.Names) }

// HostName returns the name of the host with an index, or an empty string for a free index.
func (i *Instance) HostName(host int) string { return i.hosts.Names[host] }

// ZoneIndex returns the index of a zone, and reports whether it is in the settings.
func (i *Instance) ZoneIndex(name string) (int, bool) {
	index, ok := i.zones[name]
	return index, ok
}

// ClassIndex returns the index of a request class, and reports whether it is in the settings.
func (i *Instance) ClassIndex(name string) (int, bool) {
	index, ok := i.classes[name]
	return index, ok
}

// HostLoad returns the load report with the values that a host has reported: "util", the utilization as a ratio; "qps",
// the requests per second; and "queue", the requests that wait for a core. value returns the reported value of a name,
// or a value below 0 for a name that was not reported.
func HostLoad(value func(name string) float64) routing.HostLoad {
	return routing.HostLoad{Utilization: value("util"), RequestRate: value("qps"), QueueLength: value("queue")}
}
