package controller

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"barleysail/operator"
	"barleysail/routing"
)

// overrideState holds the overrides of operators, and the time at which the next one is to be applied or expires.
type overrideState struct {
	store  *operator.OverrideStore
	nextMs float64
}

// ApplyOverrides applies commands of operators. If there are several, each one is applied after the updates of the
// previous one were sent to the proxies; queued reports whether any has to wait. The error is an
// *operator.RejectedError for a command that breaks a rule, or a *FieldError for an invalid host to be added. In case
// of an error no command is applied.
func (c *Controller) ApplyOverrides(nowMs float64, commands []operator.Command, effects Effects) (
	queued bool, err error) {
	c.nowMs = nowMs
	c.effects = effects
	if !c.endpoints.known {
		return false, &operator.RejectedError{Host: "the list", Reason: "it is not known yet"}
	}
	for _, command := range commands {
		if err := c.checkAddedHost(command); err != nil {
			return false, err
		}
	}
	switch len(commands) {
	case 0:
	case 1:
		queued, err = c.overrides.store.Apply(c.overrideView(), commands[0])
	default:
		queued = true
		err = c.overrides.store.ApplyAll(c.overrideView(), commands)
	}
	c.recordCommands(commands, queued, err)
	if err != nil {
		return false, err
	}
	c.applyEndpoints()
	c.overrides.nextMs = nowMs
	return queued, nil
}

// checkAddedHost validates the host that a command adds, if it adds one, like an entry of the endpoint list. The error
// is a *FieldError.
func (c *Controller) checkAddedHost(command operator.Command) error {
	added := command.Add
	if added == nil {
		return nil
	}
	return c.checkEndpoints([]Endpoint{{
		Host:   command.Host,
		Zone:   added.Zone,
		State:  routing.Ready,
		Weight: added.Weight,
		Cores:  added.Cores,
		Speed:  added.Speed,
	}})
}

// recordCommands records an event for each command, with the result of all of them.
func (c *Controller) recordCommands(commands []operator.Command, queued bool, err error) {
	outcome := "set"
	if err != nil {
		outcome = "refused"
	} else if queued {
		outcome = "waits"
	}
	for _, command := range commands {
		c.recordEvent(eventOverride, describeCommand(command)+": "+outcome)
	}
}

// describeCommand returns the text of a command in events.
func describeCommand(command operator.Command) string {
	text := command.Host + " " + command.State.String()
	switch {
	case command.Add != nil:
		text = command.Host + " add"
	case command.Remove:
		text = command.Host + " remove"
	case command.ClearWeight:
		text += ", the list's weight"
	case command.Weight >= 0 && command.Relative:
		text += fmt.Sprintf(", weight %g of the list's", command.Weight)
	case command.Weight >= 0:
		text += fmt.Sprintf(", weight %g", command.Weight)
	}
	if command.DurationMs > 0 {
		text += fmt.Sprintf(" for %g s", command.DurationMs/msPerSecond)
	}
	if command.Operator != "" {
		text += " by " + command.Operator
	}
	return text
}

// withOverrides returns a list with the overrides applied. It leaves out hosts in maintenance, and appends the hosts
// that operators added, by name.
func (c *Controller) withOverrides(received []Endpoint) []Endpoint {
	overrides := c.overrides.store.Overrides()
	if len(overrides) == 0 {
		return received
	}
	var effective []Endpoint
	listed := map[string]bool{}
	for _, endpoint := range received {
		listed[endpoint.Host] = true
		if override := overrides[endpoint.Host]; override.State != operator.Maintenance {
			effective = append(effective, overridden(endpoint, override))
		}
	}
	for _, host := range slices.Sorted(maps.Keys(overrides)) {
		override := overrides[host]
		if override.Added != nil && !listed[host] && override.State != operator.Maintenance {
			effective = append(effective, overridden(addedEndpoint(host, override.Added), override))
		}
	}
	return effective
}

// addedEndpoint returns the entry of a host that an operator added.
func addedEndpoint(host string, added *operator.AddedHost) Endpoint {
	return Endpoint{
		Host:      host,
		Zone:      added.Zone,
		State:     routing.Ready,
		Weight:    added.Weight,
		Cores:     added.Cores,
		Speed:     added.Speed,
		StartedMs: added.StartedMs,
	}
}

// overridden returns an entry with the state and the weight of an override.
func overridden(endpoint Endpoint, override operator.Override) Endpoint {
	if override.State == operator.Draining {
		endpoint.State = routing.Draining
	}
	if override.Weight > 0 {
		endpoint.Weight = override.Weight
	} else if override.WeightRatio > 0 {
		endpoint.Weight = math.Max(endpoint.Weight, 0) * override.WeightRatio
		if endpoint.Weight == 0 { // the list has no weight: the ratio refers to the default weight 1
			endpoint.Weight = override.WeightRatio
		}
	}
	return endpoint
}

// overrideView returns the state of the hosts against which the rules for commands are checked.
func (c *Controller) overrideView() operator.View {
	view := operator.View{
		NowMs:           c.nowMs,
		NoUpdatePending: c.channel.backlog() == 0 && c.channel.queuedMessages() == 0,
		DrainGraceMs:    c.safety.DrainGraceMs,
		Known: func(host string) bool {
			_, ok := c.HostInfo(host)
			return ok
		},
	}
	receivedWeights := map[string]float64{}
	for _, endpoint := range c.endpoints.received {
		receivedWeights[endpoint.Host] = endpoint.Weight
	}
	for _, host := range slices.Sorted(maps.Keys(c.endpoints.effective)) {
		view.Hosts = append(view.Hosts, c.overrideHost(c.endpoints.effective[host], receivedWeights))
	}
	for _, class := range c.classes {
		if class.ZoneLocal {
			view.ZoneLocalClasses = append(view.ZoneLocalClasses, class.Name)
		}
	}
	zones := map[string]bool{}
	for _, session := range c.sessions.byIndex {
		if session != nil {
			zones[c.deployment.Zones[session.zone]] = true
		}
	}
	view.Zones = slices.Sorted(maps.Keys(zones))
	return view
}

// overrideHost returns the state of a host against which the rules for commands are checked.
func (c *Controller) overrideHost(endpoint Endpoint, receivedWeights map[string]float64) operator.Host {
	host := operator.Host{
		Name:            endpoint.Host,
		Zone:            endpoint.Zone,
		Ready:           endpoint.State == routing.Ready,
		SlowStartFactor: 1,
		Weight:          endpoint.Weight,
	}
	if weight, ok := receivedWeights[endpoint.Host]; ok {
		host.Weight = weight
	}
	if host.Weight == 0 { // not given
		host.Weight = 1
	}
	explanation, ok := c.balancer.Explain(c.hostIndex.IndexOf[endpoint.Host])
	if !ok {
		return host
	}
	host.SlowStartFactor = explanation.SlowStartFactor
	if explanation.StartedAtMs >= 0 {
		host.WarmAtMs = explanation.StartedAtMs + c.safety.SlowStartMs
	}
	host.Ready = host.Ready && !explanation.Ejected
	return host
}

// applyDueOverrides applies the queued commands that may be applied now, and removes expired overrides.
func (c *Controller) applyDueOverrides() {
	if c.nowMs < c.overrides.nextMs {
		return
	}
	applied := c.overrides.store.ApplyDue(c.overrideView())
	if len(applied) > 0 {
		c.recordCommands(applied, false, nil)
		c.applyEndpoints()
	}
	c.overrides.nextMs = c.overrides.store.NextDeadline(c.nowMs, c.safety.DrainGraceMs)
}
