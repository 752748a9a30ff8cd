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
	if host.Withdrawn {
		return stateEjected
	}
	if host.Phase == phaseReady && host.Why.SlowStartFactor < 1 {
		return stateSlowStart
	}
	return host.Phase
}

// formatOverride describes the override that an operator set on a host; empty: none.
func formatOverride(override *controller.OverrideInfo) string {
	if override == nil {
		return ""
	}
	text := override.State
	if override.Waiting {
		text += " (waits)"
	}
	if override.Weight > 0 {
		text += " weight " + formatNumber(override.Weight)
	}
	if override.Part > 0 {
		text += " weight x" + formatNumber(override.Part)
	}
	if override.Added {
		text += " added"
	}
	if override.By != "" {
		text += " by " + override.By
	}
	return text
}
