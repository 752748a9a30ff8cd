package controller

import (
	"maps"
	"math"
	"slices"

	"barleysail/intake"
	"barleysail/operator"
	"barleysail/routing"
)

// HostInfo is the state of a host.
type HostInfo struct {
	Host          string              `json:"host"`
	Zone          string              `json:"zone"`
	State         string              `json:"phase"`         // ready, draining or gone
	Ejected       bool                `json:"withdrawn"`     // ejected by the balancer
	BaseWeight    float64             `json:"listed_weight"` // base weight, with the overrides of operators
	Weight        float64             `json:"weight"`        // published weight
	Override      *OverrideInfo       `json:"operator,omitempty"`
	Explanation   routing.Explanation `json:"why"`
	Cores         float64             `json:"cores,omitempty"`
	WeightChanges []WeightChange      `json:"moves,omitempty"` // the last weight changes, the newest last
	Reports       *intake.HostReport  `json:"reports,omitempty"`
}

// OverrideInfo is the override of a host.
type OverrideInfo struct {
	State       string  `json:"state"`
	Weight      float64 `json:"weight,omitempty"`
	WeightRatio float64 `json:"part,omitempty"` // weight as a ratio of the one on the endpoint list
	Added       bool    `json:"added,omitempty"`
	Operator    string  `json:"by,omitempty"`
	SetAtMs     float64 `json:"at"`                // ms
	ExpiresMs   float64 `json:"until,omitempty"`   // ms; 0: it does not expire
	Queued      bool    `json:"waiting,omitempty"` // queued, not applied yet
}

// WeightChange is a change of the weight of a host in a shared table, with the statistics of the host at that time.
type WeightChange struct {
	AtMs          float64 `json:"at"` // ms
	From          float64 `json:"from"`
	To            float64 `json:"to"`
	ArrivalRate   float64 `json:"rate"` // arrival rate in requests per second
	MeanLatencyMs float64 `json:"r"`    // mean latency in ms
	Capacity      float64 `json:"cap"`  // capacity in requests per second
}

// maxWeightChanges bounds the changes that are retained for each host.
const maxWeightChanges = 4

// weightHistory holds the last weight changes of each host, by the balancer's index.
type weightHistory [][]WeightChange

// add appends a change of a host, and drops the oldest one beyond the bound.
func (h *weightHistory) add(host int, change WeightChange) {
	for len(*h) <= host {
		*h = append(*h, nil)
	}
	changes := append((*h)[host], change)
	(*h)[host] = changes[max(len(changes)-maxWeightChanges, 0):]
}

// forHost returns the weight changes of a host, the newest last.
func (h weightHistory) forHost(host int) []WeightChange {
	if host >= len(h) {
		return nil
	}
	return slices.Clone(h[host])
}

func (h weightHistory) forget(host int) {
	if host < len(h) {
		h[host] = nil
	}
}

// recordWeightChange records a change of a weight in a shared table.
func (c *Controller) recordWeightChange(host int, from, to float64) {
	explanation, _ := c.balancer.Explain(host) // zero for a host without statistics
	c.weightChanges.add(host, WeightChange{
		AtMs:          c.nowMs,
		From:          from,
		To:            to,
		ArrivalRate:   explanation.ArrivalRate,
		MeanLatencyMs: explanation.MeanLatencyMs,
		Capacity:      explanation.Capacity,
	})
}

// HostInfos returns the state of all hosts on the endpoint list and of those with an override, by name.
func (c *Controller) HostInfos() []HostInfo {
	received := make(map[string]*Endpoint, len(c.endpoints.received))
	names := map[string]bool{}
	for i := range c.endpoints.received {
		endpoint := &c.endpoints.received[i]
		received[endpoint.Host] = endpoint
		names[endpoint.Host] = true
	}
	for host := range c.endpoints.effective {
		names[host] = true
	}
	for host := range c.overrides.store.Overrides() {
		names[host] = true
	}
	var infos []HostInfo
	for _, host := range slices.Sorted(maps.Keys(names)) {
		if info, ok := c.hostInfo(host, received[host]); ok {
			infos = append(infos, info)
		}
	}
	return infos
}

// HostInfo returns the state of a host, and reports whether the host is known.
func (c *Controller) HostInfo(host string) (HostInfo, bool) {
	i := slices.IndexFunc(c.endpoints.received, func(e Endpoint) bool { return e.Host == host })
	if i < 0 {
		return c.hostInfo(host, nil)
	}
	return c.hostInfo(host, &c.endpoints.received[i])
}

// hostInfo returns the state of a host. received is its entry on the list without overrides, nil if there is none.
func (c *Controller) hostInfo(host string, received *Endpoint) (HostInfo, bool) {
	override, hasOverride := c.overrides.store.Override(host)
	endpoint, ok := c.shownEndpoint(host, received, override)
	if !ok {
		return HostInfo{}, false
	}
	info := HostInfo{
		Host:       host,
		Zone:       endpoint.Zone,
		State:      hostStateName(endpoint.State),
		BaseWeight: endpoint.Weight,
		Cores:      endpoint.Cores,
	}
	if index, ok := c.hostIndex.IndexOf[host]; ok {
		if explanation, ok := c.balancer.Explain(index); ok {
			info.Explanation = explanation
			info.Ejected = explanation.Ejected
			info.Weight = explanation.PublishedWeight
		}
		info.WeightChanges = c.weightChanges.forHost(index)
	}
	if report, ok := c.ingest.trust.Host(c.nowMs, host, c.hostCapacity(host)); ok {
		info.Reports = &report
	}
	if hasOverride {
		info.Override = overrideInfo(override)
	}
	if command, ok := c.overrides.store.Pending(host); ok {
		info.Override = &OverrideInfo{
			State:    command.State.String(),
			Weight:   math.Max(command.Weight, 0),
			Operator: command.Operator,
			Queued:   true,
		}
	}
	return info, true
}

// shownEndpoint returns the entry that describes a host in its HostInfo, and reports whether the host is known. A host
// that an override keeps off the list is described as removed.
func (c *Controller) shownEndpoint(host string, received *Endpoint, override operator.Override) (Endpoint, bool) {
	if endpoint, ok := c.endpoints.effective[host]; ok {
		return endpoint, true
	}
	var endpoint Endpoint
	switch {
	case received != nil:
		endpoint = *received
	case override.Added != nil:
		endpoint = Endpoint{Host: host, Zone: override.Added.Zone, Weight: override.Added.Weight}
	default:
		return Endpoint{}, false
	}
	endpoint.State = routing.Removed
	return endpoint, true
}

// hostStateName returns the name of a state in the API.
func hostStateName(state routing.HostState) string {
	switch state {
	case routing.Ready:
		return "ready"
	case routing.Draining:
		return "draining"
	default:
		return "gone"
	}
}

func overrideInfo(override operator.Override) *OverrideInfo {
	return &OverrideInfo{
		State:       override.State.String(),
		Weight:      override.Weight,
		WeightRatio: override.WeightRatio,
		Added:       override.Added != nil,
		Operator:    override.Operator,
		SetAtMs:     override.SetAtMs,
		ExpiresMs:   override.ExpiresMs,
	}
}
