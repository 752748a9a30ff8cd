package controller

import (
	"fmt"
	"math"
	"slices"

	"barleysail/guard"
)

// repairTables publishes the decided tables or, if a finding requires a repair, the nearest valid tables instead.
func (c *Controller) repairTables(view *guard.View, sharedTables []int, findings []guard.Finding) {
	validation := &c.validation
	limits := validation.limits
	limits.SurviveZoneLoss = limits.SurviveZoneLoss && validation.repair.SurviveZoneLoss

	var repaired [][]float64 // by route; nil: the decided tables are published
	var remaining []guard.Finding
	var cause guard.Finding
	needsRepair := func(finding guard.Finding) bool {
		return finding.Check != guard.OverCapacityWithoutZone || limits.SurviveZoneLoss
	}
	if i := slices.IndexFunc(findings, needsRepair); i >= 0 {
		cause = findings[i]
		repaired = c.reuseRepair(view, sharedTables, limits)
		if repaired == nil {
			repaired, remaining = guard.Repair(view, limits)
		}
	}
	differing := 0
	for i, number := range sharedTables {
		decided := view.Routes[i].Decided
		weights := decided
		if repaired != nil {
			weights = repaired[i]
		}
		differing += c.publishRepaired(view.Hosts, number, decided, weights)
	}
	c.reportRepair(differing, remaining, cause)
}

// reportRepair logs and counts when the published tables begin to differ from the decided ones, and logs when that
// ends.
func (c *Controller) reportRepair(differing int, remaining []guard.Finding, cause guard.Finding) {
	validation := &c.validation
	wasRepairing := validation.report.Repairing
	isRepairing := differing > 0
	if isRepairing && !wasRepairing {
		validation.repairingSinceMs = c.nowMs
		validation.report.Repairs++
		c.logMode(fmt.Sprintf("table repair started: %v; changed_entries %d, remaining_findings %d",
			cause, differing, len(remaining)))
	} else if !isRepairing && wasRepairing {
		c.logMode(fmt.Sprintf("table repair ended: after_ms %.0f", c.nowMs-validation.repairingSinceMs))
	}
	validation.report.Repairing = isRepairing
	validation.report.Remaining = remaining
	c.reportInvalid(remaining)
}

// reportInvalid logs once when the repaired tables have been invalid for invalidReportDelayMs.
func (c *Controller) reportInvalid(remaining []guard.Finding) {
	validation := &c.validation
	if len(remaining) == 0 {
		validation.invalidReported = false
		validation.invalidSinceMs = c.nowMs
		return
	}
	if !validation.invalidReported && c.nowMs >= validation.invalidSinceMs+invalidReportDelayMs {
		validation.invalidReported = true
		c.logMode(fmt.Sprintf("no valid table: for_ms %.0f, the best one is published: %v",
			c.nowMs-validation.invalidSinceMs, remaining[0]))
	}
}

// reuseRepair returns the last repaired weights of each route if they are still valid and the decided weights have not
// changed, so that a small change of the demand causes no update. Otherwise it returns nil.
func (c *Controller) reuseRepair(view *guard.View, sharedTables []int, limits guard.Limits) [][]float64 {
	reused := &guard.View{Hosts: view.Hosts, Routes: slices.Clone(view.Routes)}
	for i, number := range sharedTables {
		table := c.tables.table(number)
		if table.repaired == nil {
			continue
		}
		route := &reused.Routes[i]
		if changed, _ := guard.CountChanges(table.repairedFrom, route.Decided); changed > 0 {
			return nil
		}
		route.Decided = padWeights(table.repaired, len(view.Hosts))
	}
	if len(guard.Check(reused, limits)) > 0 {
		return nil
	}
	weights := make([][]float64, len(reused.Routes))
	for i := range reused.Routes {
		weights[i] = reused.Routes[i].Decided
	}
	return weights
}

// padWeights appends weights of 0 up to the given number of hosts.
func padWeights(weights []float64, hosts int) []float64 {
	for len(weights) < hosts {
		weights = append(weights, 0)
	}
	return weights
}

// publishRepaired publishes weights for a shared table, and returns the number of entries that differ from the decided
// ones. The updates that the validator itself causes must leave room for removals in the channel. If they leave none,
// the previously published weights stay, except for hosts that have to be removed.
func (c *Controller) publishRepaired(hosts []guard.Host, number int, decided, weights []float64) (differing int) {
	table := c.tables.table(number)
	weights = slices.Clone(weights)
	differing, _ = guard.CountChanges(decided, weights)
	if differing > 0 {
		for host := range weights {
			weights[host] = roundWeight(weights[host])
		}
	}
	if !c.repairFits(number, table, weights, differing) {
		if minimal, ok := guard.MinimalUpdate(hosts, table.published, decided); ok {
			weights = minimal
			differing, _ = guard.CountChanges(decided, weights)
		}
	}
	wasRepaired := table.repaired != nil
	if differing > 0 {
		table.repaired = weights
		table.repairedFrom = slices.Clone(decided)
	} else {
		table.repaired = nil
		if !wasRepaired {
			table.published = weights
			return 0
		}
	}
	c.replacePublished(number, table, weights)
	return differing
}

// replacePublished replaces the published weights of a shared table, and counts the entries that change.
func (c *Controller) replacePublished(number int, table *routingTable, weights []float64) {
	if table.published != nil {
		if changed, hasRemoval := guard.CountChanges(table.published, weights); changed > 0 {
			c.tables.beginChange(number, table)
			table.changedEntries = math.Max(table.changedEntries, float64(changed))
			table.hasRemoval = table.hasRemoval || hasRemoval
		}
	}
	table.published = weights
	table.tableSet = nil
	table.entries = nil
}

// repairFits reports whether the channel has room for the entries that repaired weights would change in addition to
// those that the balancer has changed in this round.
func (c *Controller) repairFits(number int, table *routingTable, weights []float64, differing int) bool {
	if table.published == nil || differing == 0 && table.repaired == nil {
		return true // the repair itself causes no update
	}
	changed, _ := guard.CountChanges(table.published, weights)
	if changed == 0 {
		return true
	}
	entries := float64(changed)
	needsMessage := table.changedRound != c.tables.round
	if !needsMessage {
		entries = math.Max(0, entries-table.changedEntries)
	}
	return c.fitsChannel(number, entries, needsMessage)
}

// fitsChannel reports whether the channel has room for entries to each proxy that uses a table, in a separate message
// if needsMessage is set.
func (c *Controller) fitsChannel(number int, entries float64, needsMessage bool) bool {
	channel := &c.channel
	budget := guard.ChannelBudget{
		Backlog:     channel.backlog(),
		MaxBacklog:  channel.maxBacklog,
		MaxMessages: channel.maxMessages,
	}
	total := 0.0
	for _, session := range c.sessions.byIndex {
		if session == nil || !slices.Contains(session.tableByClass, number) {
			continue
		}
		total += entries
		if needsMessage {
			total += channel.messageOverhead + stampEntries
		}
		budget.MessagesSent = max(budget.MessagesSent, channel.recentMessages(session, c.nowMs))
	}
	return budget.Fits(total, needsMessage)
}
