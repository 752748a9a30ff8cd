package controller

import (
	"encoding/binary"
	"hash"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"barleysail/operator"
	"barleysail/routing"
	"barleysail/state/statepb"
)

// Snapshot returns the state that the next incarnation can restore. Its times are in ms on the clock of the calls, and
// the caller has to convert them to the wall clock.
func (c *Controller) Snapshot(nowMs float64) *statepb.State {
	snapshot := &statepb.State{
		Life:  c.deployment.Incarnation,
		At:    nowMs,
		Fleet: c.snapshotFleet(nowMs),
	}
	for _, host := range slices.Sorted(maps.Keys(c.endpoints.effective)) {
		if persisted := c.snapshotHost(nowMs, c.endpoints.effective[host]); persisted != nil {
			snapshot.Hosts = append(snapshot.Hosts, persisted)
		}
	}
	c.snapshotProxies(nowMs, snapshot)
	overrides := c.overrides.store.Overrides()
	for _, host := range slices.Sorted(maps.Keys(overrides)) {
		snapshot.Settings = append(snapshot.Settings, snapshotOverride(host, overrides[host]))
	}
	for _, command := range c.overrides.store.PendingCommands() {
		snapshot.Queue = append(snapshot.Queue, snapshotCommand(command))
	}
	return snapshot
}

// snapshotFleet returns the state of the admission control.
func (c *Controller) snapshotFleet(nowMs float64) *statepb.Fleet {
	admissionRatio, quotas, medianLatencyMs := c.balancer.Admission()
	fleet := &statepb.Fleet{Level: admissionRatio, Shares: quotas, Median: medianLatencyMs, At: nowMs}
	for _, class := range c.classes {
		fleet.Classes = append(fleet.Classes, class.Name)
	}
	return fleet
}

// snapshotHost returns the state of a host, nil if the balancer does not know it.
func (c *Controller) snapshotHost(nowMs float64, endpoint Endpoint) *statepb.Host {
	explanation, ok := c.balancer.Explain(c.hostIndex.IndexOf[endpoint.Host])
	if !ok {
		return nil
	}
	host := &statepb.Host{
		Name:    endpoint.Host,
		Zone:    endpoint.Zone,
		Started: math.Max(explanation.StartedAtMs, 0),
		Weight:  1,
		Rate:    explanation.ArrivalRate,
		R:       explanation.MeanLatencyMs,
		Won:     explanation.Successes,
		Lost:    explanation.Failures,
		Out:     explanation.Ejected,
		Absent:  explanation.Unreachable,
		Trust:   c.ingest.trust.Confidence(endpoint.Host),
		At:      nowMs,
	}
	if explanation.BaseWeight > 0 {
		host.Weight = explanation.Weight / explanation.BaseWeight
	}
	if endpoint.State == routing.Draining {
		host.Drains = c.drainingSince(endpoint.Host)
	}
	return host
}

// drainingSince returns the time at which this incarnation or an earlier one first saw a host draining.
func (c *Controller) drainingSince(host string) float64 {
	if sinceMs, ok := c.restored.drainingSinceMs[host]; ok {
		return sinceMs
	}
	return c.endpoints.drainingSinceMs[host]
}

// snapshotProxies adds the proxies to a snapshot, each with the newest version that it has acknowledged. Equal tables
// are stored once.
func (c *Controller) snapshotProxies(nowMs float64, snapshot *statepb.State) {
	idOfSet := map[*tableSet]string{}
	stored := map[string]bool{} // by id
	for _, name := range slices.Sorted(maps.Keys(c.sessions.byProxy)) {
		session := c.sessions.byProxy[name]
		proxy := &statepb.Proxy{
			Name:  name,
			Zone:  c.deployment.Zones[session.zone],
			Rates: slices.Clone(session.requestRates),
			At:    nowMs,
		}
		if acked := session.version(session.ackedVersion); acked != nil {
			id, known := idOfSet[acked.tables]
			if !known {
				table := acked.tables.persist()
				id = table.Id
				idOfSet[acked.tables] = id
				if !stored[id] {
					stored[id] = true
					snapshot.Tables = append(snapshot.Tables, table)
				}
			}
			proxy.Tag = c.tagOf(acked)
			proxy.Table = id
		}
		snapshot.Proxies = append(snapshot.Proxies, proxy)
	}
	slices.SortFunc(snapshot.Tables, func(a, b *statepb.Table) int { return strings.Compare(a.Id, b.Id) })
}

// snapshotOverride returns the override of a host.
func snapshotOverride(host string, override operator.Override) *statepb.Setting {
	setting := &statepb.Setting{
		Host:   host,
		State:  int32(override.State),
		Weight: override.Weight,
		Part:   override.WeightRatio,
		By:     override.Operator,
		At:     override.SetAtMs,
		Until:  override.ExpiresMs,
	}
	setting.Added = snapshotAddedHost(override.Added)
	return setting
}

// snapshotCommand returns a queued command.
func snapshotCommand(command operator.Command) *statepb.QueuedCommand {
	return &statepb.QueuedCommand{
		Host:        command.Host,
		State:       int32(command.State),
		Weight:      command.Weight,
		ClearWeight: command.ClearWeight,
		KeepState:   command.KeepState,
		Relative:    command.Relative,
		Duration:    command.DurationMs,
		By:          command.Operator,
		Added:       snapshotAddedHost(command.Add),
		Remove:      command.Remove,
	}
}

// snapshotAddedHost returns a host that an operator added; added may be nil.
func snapshotAddedHost(added *operator.AddedHost) *statepb.Added {
	if added == nil {
		return nil
	}
	return &statepb.Added{
		Zone:    added.Zone,
		Weight:  added.Weight,
		Cores:   added.Cores,
		Speed:   added.Speed,
		Started: added.StartedMs,
	}
}

// persist returns a table set in its stored form, which is encoded once. Equal table sets have the same id.
func (s *tableSet) persist() *statepb.Table {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.persisted != nil {
		return s.persisted
	}
	table := &statepb.Table{}
	digest := fnv.New64a()
	for i := range s.classes {
		table.Classes = append(table.Classes, s.classes[i].persist(digest))
	}
	table.Id = strconv.FormatUint(digest.Sum64(), 16)
	s.persisted = table
	return table
}

// persist returns the table of a class in its stored form, and adds its content to a digest.
func (t *classTable) persist(digest hash.Hash) *statepb.Class {
	persisted := &statepb.Class{
		Name:    t.name,
		Ordered: t.assigned,
		Share:   t.policy.admissionRatio,
		Tries:   int32(t.policy.retryPolicy),
	}
	addToDigest(digest, t.name, persisted.Share, float64(persisted.Tries))
	for _, entry := range t.entries {
		persisted.Hosts = append(persisted.Hosts, entry.host)
		persisted.Weights = append(persisted.Weights, entry.weight)
		addToDigest(digest, entry.host, entry.weight)
	}
	return persisted
}

// addToDigest adds a text and numbers to a digest. Writing to a hash.Hash never fails.
func addToDigest(digest hash.Hash, text string, numbers ...float64) {
	digest.Write([]byte(text))
	for _, number := range numbers {
		digest.Write(binary.LittleEndian.AppendUint64(nil, math.Float64bits(number)))
	}
}
