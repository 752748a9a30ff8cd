package controller

import (
	"fmt"
	"math"
	"slices"

	"barleysail/operator"
	"barleysail/routing"
	"barleysail/state"
	"barleysail/state/statepb"
)

// restoredState is the state of an earlier incarnation, as far as it has not been used yet.
type restoredState struct {
	*state.Restored                    // nil: nothing was restored
	hostCount       int                // hosts restored so far
	proxyCount      int                // proxies restored so far
	versionCount    int                // proxies so far that continued from the tables they held
	drainingSinceMs map[string]float64 // by host
}

// Restore passes the state of an earlier incarnation, after its decay, to a new controller. Hosts are restored with the
// first endpoint list, and proxies when they connect. The list takes precedence for start times and draining. Restore
// must be called before any other input.
func (c *Controller) Restore(nowMs float64, restored *state.Restored) {
	c.nowMs = nowMs
	c.restored = restoredState{Restored: restored, drainingSinceMs: map[string]float64{}}
	for _, setting := range restored.Overrides {
		c.restoreOverride(setting)
	}
	c.restoreQueue(restored.Queue)
	c.overrides.nextMs = math.Min(c.overrides.nextMs, nowMs)
	if restored.AdmissionRatio < 1 || restored.MedianLatencyMs > 0 {
		c.balancer.RestoreAdmission(restored.AdmissionRatio, c.restoredQuotas(), restored.MedianLatencyMs)
	}
}

// restoreOverride restores an override. It ignores one with an unknown state.
func (c *Controller) restoreOverride(setting *statepb.Setting) {
	if !operator.State(setting.State).IsValid() {
		return
	}
	override := operator.Override{
		State:       operator.State(setting.State),
		Weight:      setting.Weight,
		WeightRatio: setting.Part,
		Operator:    setting.By,
		SetAtMs:     setting.At,
		ExpiresMs:   setting.Until,
	}
	override.Added = AddedHost(setting.Added)
	c.overrides.store.Restore(setting.Host, override)
}

// restoreQueue restores the queued commands. It ignores those with an unknown state.
func (c *Controller) restoreQueue(queue []*statepb.QueuedCommand) {
	var commands []operator.Command
	for _, queued := range queue {
		if !operator.State(queued.State).IsValid() {
			continue
		}
		commands = append(commands, QueuedCommand(queued))
	}
	if len(commands) > 0 {
		c.overrides.store.RestorePending(c.nowMs, commands)
	}
}

// QueuedCommand returns a queued command from its stored form.
func QueuedCommand(queued *statepb.QueuedCommand) operator.Command {
	return operator.Command{
		Host:        queued.Host,
		State:       operator.State(queued.State),
		Weight:      queued.Weight,
		ClearWeight: queued.ClearWeight,
		KeepState:   queued.KeepState,
		Relative:    queued.Relative,
		DurationMs:  queued.Duration,
		Queue:       true,
		Operator:    queued.By,
		Add:         AddedHost(queued.Added),
		Remove:      queued.Remove,
	}
}

// AddedHost returns a host that an operator added from its stored form; added may be nil.
func AddedHost(added *statepb.Added) *operator.AddedHost {
	if added == nil {
		return nil
	}
	return &operator.AddedHost{
		Zone:      added.Zone,
		Weight:    added.Weight,
		Cores:     added.Cores,
		Speed:     added.Speed,
		StartedMs: added.Started,
	}
}

// restoredQuotas returns the admission quotas by class, 1 for a class without a restored one.
func (c *Controller) restoredQuotas() []float64 {
	quotas := make([]float64, len(c.classes))
	for i, class := range c.classes {
		quotas[i] = 1
		if quota := c.restored.AdmissionQuotas[class.Name]; quota > 0 {
			quotas[i] = quota
		}
	}
	return quotas
}

// startMs returns the start time of a host from its entry or, if that has none, the restored one. It returns 0 if
// neither is known.
func (c *Controller) startMs(endpoint Endpoint) float64 {
	if endpoint.StartedMs != 0 || c.restored.Restored == nil {
		return endpoint.StartedMs
	}
	if host := c.restored.Hosts[endpoint.Host]; host != nil {
		return host.StartedMs
	}
	return 0
}

// restoreHosts passes the restored state of the hosts of the first list to the balancer.
func (c *Controller) restoreHosts(entries []Endpoint) {
	if c.restored.Restored == nil {
		return
	}
	for _, endpoint := range entries {
		host := c.restored.Hosts[endpoint.Host]
		if host != nil && c.isSameHost(endpoint, host) {
			c.restoreHost(endpoint, host)
		}
	}
	c.restored.Hosts = map[string]*state.Host{}
}

// isSameHost reports whether an entry is the restored host and not another one with the same name, which is in another
// zone, has another start time, or has started since the state was stored.
func (c *Controller) isSameHost(endpoint Endpoint, host *state.Host) bool {
	if host.Zone != endpoint.Zone {
		return false
	}
	if endpoint.StartedMs > 0 && host.StartedMs > 0 && endpoint.StartedMs != host.StartedMs {
		return false
	}
	return endpoint.StartedMs <= c.nowMs-c.restored.ElapsedMs
}

func (c *Controller) restoreHost(endpoint Endpoint, host *state.Host) {
	c.restored.hostCount++
	index := c.hostIndex.Index(endpoint.Host)
	c.balancer.RestoreHost(index, host.Weight, host.MeanLatencyMs, host.Successes, host.Failures)
	if host.Ejected && endpoint.State == routing.Ready {
		// The host starts with one failed health check and not ejected: the next check is due soon, and two more
		// failures eject it again.
		result := routing.TimedOut
		if host.Unreachable {
			result = routing.Unreachable
		}
		c.balancer.ObserveHealthCheck(index, result, routing.UnknownLoad)
	}
	if host.ReportConfidence < 1 {
		c.ingest.trust.Restore(endpoint.Host, host.ReportConfidence)
	}
	if host.DrainingSinceMs > 0 && endpoint.State == routing.Draining {
		c.restored.drainingSinceMs[endpoint.Host] = host.DrainingSinceMs
	}
}

// restoreProxy restores the state of a proxy in its new session: the request rates and, if the proxy still holds the
// tables that the earlier incarnation published, these tables as a version, so that the proxy can get a delta onto
// them.
func (c *Controller) restoreProxy(session *proxySession, tags []string) {
	if c.restored.Restored == nil {
		return
	}
	proxy := c.restored.Proxies[session.proxy]
	delete(c.restored.Proxies, session.proxy)
	if proxy == nil || proxy.Zone != c.deployment.Zones[session.zone] {
		return
	}
	c.restored.proxyCount++
	if len(proxy.RequestRates) == len(session.requestRates) {
		copy(session.requestRates, proxy.RequestRates)
	}
	if proxy.Tag == "" || !slices.Contains(tags, proxy.Tag) {
		return
	}
	if tables := c.restoredTableSet(proxy.Tag, proxy.Tables); tables != nil {
		c.restored.versionCount++
		c.carryOver(session, proxy.Tag, tables)
	}
}

// Bounds of cached tables. Any retry policy of the wire format is valid.
const (
	maxRetryPolicy      = 3
	maxCachedHostLength = 300 // in bytes
)

// checkCachedTables returns a *FieldError for tables that no proxy can hold.
func (c *Controller) checkCachedTables(cached *CachedTables) error {
	if cached == nil {
		return nil
	}
	if err := checkName("tag", cached.Tag); err != nil {
		return err
	}
	seen := map[string]bool{}
	for i := range cached.Tables {
		table := &cached.Tables[i]
		field := fmt.Sprintf("tables[%q]", table.Class)
		if _, known := c.classIndex[table.Class]; !known || seen[table.Class] {
			return invalidField(field, "the class is not in the settings, or stands there twice")
		}
		seen[table.Class] = true
		if err := checkCachedTable(field, table); err != nil {
			return err
		}
	}
	return nil
}

// checkCachedTable returns a *FieldError for an invalid value of a table. The comparisons are written so that NaN
// fails.
func checkCachedTable(field string, table *Table) error {
	validRatio := table.AdmissionRatio >= 0 && !math.IsInf(table.AdmissionRatio, 0)
	validPolicy := table.RetryPolicy >= 0 && table.RetryPolicy <= maxRetryPolicy
	if !validRatio || !validPolicy || len(table.Hosts) > maxHosts || len(table.Hosts) != len(table.Weights) {
		return invalidField(field, "share %g, tries %d, %d hosts with %d weights",
			table.AdmissionRatio, table.RetryPolicy, len(table.Hosts), len(table.Weights))
	}
	for i, host := range table.Hosts {
		weight := table.Weights[i]
		validWeight := weight > 0 && !math.IsInf(weight, 0)
		inOrder := i == 0 || host > table.Hosts[i-1]
		if !validWeight || !inOrder || len(host) > maxCachedHostLength {
			return invalidField(field+".hosts", "%.300q has the weight %g, or is not in order", host, weight)
		}
	}
	return nil
}

// cachedTableSet returns a table set with the tables that a proxy holds. A class that is not among them has no table.
func (c *Controller) cachedTableSet(tables []Table) *tableSet {
	c.tables.lastTableSetID++
	set := &tableSet{id: c.tables.lastTableSetID}
	for _, class := range c.classes {
		cached := classTable{name: class.Name, policy: classPolicy{1, c.tables.defaultRetryPolicy, true}}
		i := slices.IndexFunc(tables, func(table Table) bool { return table.Class == class.Name })
		if i >= 0 {
			table := &tables[i]
			cached.assigned = table.Assigned
			cached.policy = classPolicy{table.AdmissionRatio, table.RetryPolicy, true}
			for k, host := range table.Hosts {
				cached.entries = append(cached.entries, weightEntry{host, table.Weights[k]})
			}
		}
		set.classes = append(set.classes, cached)
	}
	return set
}

// restoredTableSet returns a table set with persisted tables, nil if they are invalid or those of other classes.
func (c *Controller) restoredTableSet(tag string, persisted []*statepb.Class) *tableSet {
	if len(persisted) != len(c.classes) {
		return nil
	}
	cached := &CachedTables{Tag: tag}
	for i, class := range persisted {
		if class.Name != c.classes[i].Name {
			return nil
		}
		cached.Tables = append(cached.Tables, Table{
			Class:          class.Name,
			Assigned:       class.Ordered,
			Hosts:          class.Hosts,
			Weights:        class.Weights,
			AdmissionRatio: class.Share,
			RetryPolicy:    int(class.Tries),
		})
	}
	if c.checkCachedTables(cached) != nil {
		return nil // the proxy gets a snapshot instead
	}
	return c.cachedTableSet(cached.Tables)
}

// restoredRate returns the usual request rate of a proxy in requests per second: the given one or, if that is 0, the
// restored one.
func (c *Controller) restoredRate(proxy string, givenRate float64) float64 {
	if c.restored.Restored == nil || givenRate > 0 {
		return givenRate
	}
	rate := givenRate
	if restored := c.restored.Proxies[proxy]; restored != nil {
		for _, classRate := range restored.RequestRates {
			rate += classRate
		}
	}
	return rate
}

// RestoreReport says how much of the state of an earlier incarnation was used.
type RestoreReport struct {
	Incarnation string  `json:"from"`      // the incarnation; empty: none was known
	ElapsedMs   float64 `json:"passed_ms"` // from the last save of that incarnation to the restore
	Reason      string  `json:"why"`       // why not all of the state could be used; empty: all of it was
	Hosts       int     `json:"hosts"`     // restored
	Proxies     int     `json:"proxies"`   // restored
	Versions    int     `json:"versions"`  // of proxies that continued from the tables they held
}

// restoreReport returns the report of the restored state, nil if nothing was restored.
func (c *Controller) restoreReport() *RestoreReport {
	restored := &c.restored
	if restored.Restored == nil {
		return nil
	}
	return &RestoreReport{
		Incarnation: restored.Incarnation,
		ElapsedMs:   restored.ElapsedMs,
		Reason:      restored.Reason,
		Hosts:       restored.hostCount,
		Proxies:     restored.proxyCount,
		Versions:    restored.versionCount,
	}
}
