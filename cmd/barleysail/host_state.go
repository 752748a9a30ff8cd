package main

import "barleysail/controller"

// Names of host states that are not on the endpoint list. Scripts parse them.
const (
	stateEjected   = "withdrawn"
	stateSlowStart = "cold"
	phaseReady     = "ready"
)

// hostState returns the state of a host as the commands print it: ejected, in slow start, or its state on the
// endpoint list.
func hostState(host controller.HostInfo) string {
	if host.Ejected {
		return stateEjected
	}
	if host.State == phaseReady && host.Explanation.SlowStartFactor < 1 {
		return stateSlowStart
	}
	return host.State
}

// formatOverride describes the override that an operator set on a host; empty: none.
func formatOverride(override *controller.OverrideInfo) string {
	if override == nil {
		return ""
	}
	text := override.State
	if override.Queued {
		text += " (waits)"
	}
	if override.Weight > 0 {
		text += " weight " + formatNumber(override.Weight)
	}
	if override.WeightRatio > 0 {
		text += " weight x" + formatNumber(override.WeightRatio)
	}
	if override.Added {
		text += " added"
	}
	if override.Operator != "" {
		text += " by " + override.Operator
	}
	return text
}
