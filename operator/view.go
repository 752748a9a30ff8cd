package operator

import "slices"

// fullyWarm is the slow-start factor of a host that has all of its capacity.
const fullyWarm = 1

// Host is a host as it is listed now, with the overrides in force applied.
type Host struct {
	Name            string
	Zone            string
	Ready           bool
	SlowStartFactor float64 // fraction of its capacity that the host has while warming up, 0 to 1
	WarmAtMs        float64 // instant at which it has all of its capacity
	Weight          float64 // by the endpoint list alone
}

// isWarm reports whether the host has all of its capacity.
func (h *Host) isWarm() bool { return h.SlowStartFactor >= fullyWarm }

// View is the state that commands are judged by.
type View struct {
	Now              float64  // current instant, ms
	Hosts            []Host   // those of the endpoint list and those that operators added, without maintenance
	ZoneLocalClasses []string // request classes whose requests stay in their zone
	Zones            []string // zones that have proxies
	NoUpdatePending  bool     // all proxies acknowledged the updates that were sent to them
	DrainGraceMs     float64  // time that a draining host keeps for its last requests
	// Known reports whether there is a host of that name outside Hosts, as one in maintenance; nil: there is none.
	Known func(host string) bool
}

// host returns the host of that name, and whether the view has one.
func (v *View) host(name string) (Host, bool) {
	index := slices.IndexFunc(v.Hosts, func(host Host) bool { return host.Name == name })
	if index < 0 {
		return Host{}, false
	}
	return v.Hosts[index], true
}

// isKnown reports whether there is a host of that name, be it in maintenance.
func (v *View) isKnown(name string) bool {
	if _, listed := v.host(name); listed {
		return true
	}
	return v.Known != nil && v.Known(name)
}
