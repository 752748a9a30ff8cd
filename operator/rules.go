package operator

import (
	"math"
	"slices"
)

// maxWeight is the largest weight that an operator may set. It keeps sums of weights far from overflow.
const maxWeight = 1_000_000

// minListedWeight is the lower bound of a listed weight in the limit on the weight of a host that is warming up. It
// keeps that limit above 0.
const minListedWeight = 1e-9

// validate returns a *RejectedError where a command is invalid, regardless of the state of other hosts.
func (s *OverrideStore) validate(view *View, command *Command) error {
	known := view.isKnown(command.Host)
	current := s.overrides[command.Host]
	switch {
	case command.Add != nil && known:
		return reject(command.Host, reasonHostExists)
	case command.Add == nil && !known:
		return &RejectedError{Host: command.Host, Reason: reasonUnknownHost, UnknownHost: true}
	case command.Remove && current.Added == nil:
		return reject(command.Host, reasonNotAdded)
	case command.Remove && current.State != Maintenance:
		return reject(command.Host, reasonNotInMaintenance)
	case math.IsNaN(command.Weight) || command.Weight > maxWeight:
		return reject(command.Host, reasonWeightRange, maxWeight)
	case math.IsNaN(command.DurationMs) || command.DurationMs < 0:
		return reject(command.Host, reasonDurationRange)
	}
	return nil
}

// checkRules returns a *RejectedError where a command would break a rule if it were applied now. A host that is not in
// the view because it is new or in maintenance gets no traffic, so no rule limits it.
func checkRules(view *View, command *Command) error {
	host, listed := view.host(command.Host)
	if !listed {
		return nil
	}
	if command.State != Listed || command.Weight == 0 {
		return checkLastWarmHost(view, host)
	}
	return checkSlowStart(view, host, command)
}

// checkSlowStart rejects a weight that would give a host more traffic than it can take while it is warming up.
func checkSlowStart(view *View, host Host, command *Command) error {
	if command.Weight <= 0 || host.isWarm() {
		return nil
	}
	weight := command.Weight
	if command.Relative {
		weight *= host.Weight
	}
	limit := math.Max(host.Weight, minListedWeight) * host.SlowStartFactor
	if weight > limit {
		const msPerSecond = 1000
		return reject(host.Name, reasonWarmingUp, host.SlowStartFactor, (host.WarmAtMs-view.NowMs)/msPerSecond)
	}
	return nil
}

// checkLastWarmHost rejects a command that takes the traffic from the last warm host that is ready, or from the last
// one in its zone where a request class may not leave the zone.
func checkLastWarmHost(view *View, host Host) error {
	if !host.Ready || !host.isWarm() {
		return nil
	}
	others := 0
	othersInZone := 0
	for i := range view.Hosts {
		other := &view.Hosts[i]
		if other.Name == host.Name || !other.Ready || !other.isWarm() {
			continue
		}
		others++
		if other.Zone == host.Zone {
			othersInZone++
		}
	}
	if others == 0 {
		return reject(host.Name, reasonLastWarmHost)
	}
	if othersInZone == 0 && len(view.ZoneLocalClasses) > 0 && slices.Contains(view.Zones, host.Zone) {
		return reject(host.Name, reasonLastInZone, host.Zone, view.ZoneLocalClasses[0])
	}
	return nil
}

// canSucceedLater reports whether a command that breaks a rule now may be applied later without a further command: a
// weight once the host is warm; a drain or maintenance once another host is warm or an override of another host
// expires.
func (s *OverrideStore) canSucceedLater(view *View, command *Command) bool {
	if command.Weight > 0 && command.State == Listed {
		host, _ := view.host(command.Host)
		return !host.isWarm()
	}
	for i := range view.Hosts {
		other := &view.Hosts[i]
		if other.Name != command.Host && other.Ready && !other.isWarm() {
			return true
		}
	}
	for name, override := range s.overrides {
		if name != command.Host && override.State != Listed && override.ExpiresMs > 0 {
			return true
		}
	}
	return false
}

// checkRemainingHosts returns a *RejectedError where the commands, each of which removes its host's traffic, would
// together leave too few warm hosts.
func (s *OverrideStore) checkRemainingHosts(view *View, commands []Command) error {
	draining := map[string]bool{}
	for i := range commands {
		draining[commands[i].Host] = true
	}
	remaining := 0
	remainingByZone := map[string]int{}
	for i := range view.Hosts {
		host := &view.Hosts[i]
		if !draining[host.Name] && host.Ready && host.isWarm() && s.overrides[host.Name].State == Listed {
			remaining++
			remainingByZone[host.Zone]++
		}
	}
	if remaining == 0 {
		return reject(commands[0].Host, reasonAllLeave)
	}
	if len(view.ZoneLocalClasses) == 0 {
		return nil
	}
	for _, zone := range view.Zones {
		if remainingByZone[zone] == 0 {
			return reject(commands[0].Host, reasonAllOfOneZoneLeave, zone, view.ZoneLocalClasses[0])
		}
	}
	return nil
}
