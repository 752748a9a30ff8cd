package main

import "barleysail/controller"

// States that hostState adds to those of controller.HostInfo. Scripts parse them.
const (
	stateEjected   = "withdrawn"
	stateSlowStart = "cold"
)

// phaseReady is the state in controller.HostInfo of a host that is neither draining nor removed.
const phaseReady = "ready"

// hostState returns the state of a host as the commands print it: stateEjected, stateSlowStart, or the state in
// controller.HostInfo.
func hostState(host controller.HostInfo) string {
	if host.Ejected {
		return stateEjected
	}
	if host.State == phaseReady && host.Explanation.SlowStartFactor < 1 {
		return stateSlowStart
	}
	return host.State
}

// formatOverride describes the override that an operator set on a host, or returns "" for none.
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
