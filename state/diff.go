package state

import (
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"barleysail/state/statepb"
)

const (
	// relativeTolerance is the relative change of a figure beyond which an entry is stored again. It keeps the log
	// small while figures change little.
	relativeTolerance = 0.05

	// failureRatioTolerance is the absolute change of a host's failure ratio beyond which the host is stored again.
	failureRatioTolerance = 2 * relativeTolerance

	// refreshIntervalMs is the time after which an entry is stored again although nothing in it changed, since the
	// confidence in it after a restart depends on its age.
	refreshIntervalMs = 10000
)

// Diff returns the change from one state to another, or nil if nothing changed that must be stored. The change holds
// the entries that were removed, and those that are new, have changed names or flags, have figures that changed by
// more than the tolerance, or must be refreshed. Hosts, proxies and overrides of both states must be sorted by name.
// The change shares its entries with the new state.
func Diff(previous, current *statepb.State) *statepb.Change {
	change := &statepb.Change{At: current.At, Part: &statepb.State{}}
	diffHosts(change, previous.Hosts, current.Hosts)
	diffProxies(change, previous.Proxies, current.Proxies)
	diffTables(change, previous.Tables, current.Tables)
	diffOverrides(change, previous.Settings, current.Settings)
	if !slices.EqualFunc(previous.Queue, current.Queue, queuedCommandEqual) {
		change.Part.Queue = current.Queue
		change.Queue = true
	}
	if current.Fleet != nil && (previous.Fleet == nil || fleetDiffers(previous.Fleet, current.Fleet)) {
		change.Part.Fleet = current.Fleet
		change.Fleet = true
	}
	if changeIsEmpty(change) {
		return nil
	}
	return change
}

// changeIsEmpty reports whether a change has no entries. It need not check the tables, since a change contains only
// tables of proxies that it also contains.
func changeIsEmpty(change *statepb.Change) bool {
	removed := len(change.GoneHosts) + len(change.GoneProxies) + len(change.GoneSettings)
	updated := len(change.Part.Hosts) + len(change.Part.Proxies) + len(change.Part.Settings)
	return removed == 0 && updated == 0 && !change.Fleet && !change.Queue
}

func queuedCommandEqual(before, after *statepb.QueuedCommand) bool { return proto.Equal(before, after) }

func diffHosts(change *statepb.Change, previous, current []*statepb.Host) {
	forEachPair(previous, current, (*statepb.Host).GetName, func(before, after *statepb.Host) {
		if after == nil {
			change.GoneHosts = append(change.GoneHosts, before.Name)
		} else if before == nil || hostDiffers(before, after) {
			change.Part.Hosts = append(change.Part.Hosts, after)
		}
	})
}

func diffProxies(change *statepb.Change, previous, current []*statepb.Proxy) {
	forEachPair(previous, current, (*statepb.Proxy).GetName, func(before, after *statepb.Proxy) {
		if after == nil {
			change.GoneProxies = append(change.GoneProxies, before.Name)
		} else if before == nil || proxyDiffers(before, after) {
			change.Part.Proxies = append(change.Part.Proxies, after)
		}
	})
}

// diffTables adds the tables that are new and that a proxy in the change refers to, so it must run after diffProxies. A
// table with the same id never changes, and Apply drops the tables that no proxy refers to.
func diffTables(change *statepb.Change, previous, current []*statepb.Table) {
	stored := map[string]bool{}
	for _, table := range previous {
		stored[table.Id] = true
	}
	referenced := referencedTables(change.Part.Proxies)
	for _, table := range current {
		if referenced[table.Id] && !stored[table.Id] {
			change.Part.Tables = append(change.Part.Tables, table)
		}
	}
}

func referencedTables(proxies []*statepb.Proxy) map[string]bool {
	referenced := map[string]bool{}
	for _, proxy := range proxies {
		referenced[proxy.Table] = true
	}
	return referenced
}

func diffOverrides(change *statepb.Change, previous, current []*statepb.Setting) {
	forEachPair(previous, current, (*statepb.Setting).GetHost, func(before, after *statepb.Setting) {
		if after == nil {
			change.GoneSettings = append(change.GoneSettings, before.Host)
		} else if before == nil || !proto.Equal(before, after) {
			change.Part.Settings = append(change.Part.Settings, after)
		}
	})
}

func hostDiffers(before, after *statepb.Host) bool {
	lifecycleDiffers := before.Zone != after.Zone || before.Started != after.Started || before.Drains != after.Drains
	healthDiffers := before.Out != after.Out || before.Absent != after.Absent ||
		math.Abs(failureRatio(before)-failureRatio(after)) > failureRatioTolerance
	estimatesDiffer := figureDiffers(before.Weight, after.Weight) || figureDiffers(before.R, after.R) ||
		figureDiffers(before.Trust, after.Trust)
	return lifecycleDiffers || healthDiffers || estimatesDiffer || needsRefresh(before.At, after.At)
}

// failureRatio returns the ratio of a host's recent attempts that failed. The added 1 keeps the ratio small if there
// were few attempts.
func failureRatio(host *statepb.Host) float64 { return host.Lost / (host.Won + host.Lost + 1) }

func proxyDiffers(before, after *statepb.Proxy) bool {
	return before.Tag != after.Tag || before.Zone != after.Zone || before.Table != after.Table ||
		needsRefresh(before.At, after.At) || anyFigureDiffers(before.Rates, after.Rates)
}

func fleetDiffers(before, after *statepb.Fleet) bool {
	return figureDiffers(before.Level, after.Level) || anyFigureDiffers(before.Shares, after.Shares) ||
		figureDiffers(before.Median, after.Median) || needsRefresh(before.At, after.At)
}

func needsRefresh(beforeMs, afterMs float64) bool { return afterMs-beforeMs > refreshIntervalMs }

func figureDiffers(before, after float64) bool {
	return math.Abs(before-after) > relativeTolerance*math.Max(math.Abs(before), math.Abs(after))
}

func anyFigureDiffers(before, after []float64) bool {
	figureEqual := func(x, y float64) bool { return !figureDiffers(x, y) }
	return !slices.EqualFunc(before, after, figureEqual)
}

// forEachPair visits the entries of two lists that are sorted by name. It visits two entries of the same name together,
// and passes nil in place of an entry that a list lacks.
func forEachPair[T any](previous, current []*T, name func(*T) string, visit func(before, after *T)) {
	i, j := 0, 0
	for i < len(previous) || j < len(current) {
		switch {
		case j == len(current) || i < len(previous) && name(previous[i]) < name(current[j]):
			visit(previous[i], nil)
			i++
		case i == len(previous) || name(current[j]) < name(previous[i]):
			visit(nil, current[j])
			j++
		default:
			visit(previous[i], current[j])
			i++
			j++
		}
	}
}
