package operator

import "slices"

// fullyWarm is the slow-start factor of a host that has all of its capacity.
const fullyWarm = 1

// Host is a host of the endpoint list, with all overrides applied except for the weight.
type Host struct {
	Name            string
	Zone            string
	Ready           bool
	SlowStartFactor float64 // fraction of its capacity that the host has while warming up, 0 to 1
	WarmAtMs        float64 // instant at which it has all of its capacity
	Weight          float64 // weight on the endpoint list, without an override
}

// isWarm reports whether the host has all of its capacity.
func (h *Host) isWarm() bool { return h.SlowStartFactor >= fullyWarm }

// View is the current state of the hosts, against which commands are checked.
type View struct {
	NowMs            float64  // current instant, ms
	Hosts            []Host   // hosts on the endpoint list or added by operators, except those in maintenance
	ZoneLocalClasses []string // request classes whose requests stay in their zone
	Zones            []string // zones that have proxies
	NoUpdatePending  bool     // all proxies acknowledged the updates that were sent to them
	DrainGraceMs     float64  // time that a draining host has to finish its last requests
	// Known reports whether a host of that name exists that is not in Hosts, such as one in maintenance; nil: none
	// does.
	Known func(host string) bool
}

// host returns the host with a name, and whether the view has one.
func (v *View) host(name string) (Host, bool) {
	index := slices.IndexFunc(v.Hosts, func(host Host) bool { return host.Name == name })
	if index < 0 {
		return Host{}, false
	}
	return v.Hosts[index], true
}

// isKnown reports whether a host with that name exists, including hosts in maintenance.
func (v *View) isKnown(name string) bool {
	if _, listed := v.host(name); listed {
		return true
	}
	return v.Known != nil && v.Known(name)
}
