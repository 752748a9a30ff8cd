package controller

import (
	"slices"
	"sort"
	"strconv"
)

// weightEntry is a host of a table and its weight.
type weightEntry struct {
	host   string
	weight float64
}

// classPolicy is the admission and retry policy of a request class.
type classPolicy struct {
	admissionRatio float64 // ratio of the requests to admit
	retryPolicy    int
	set            bool // the balancer has set it
}

// routingTable is a table as the balancer has decided it, by host index, with the form in which it is published.
type routingTable struct {
	weights  map[int]float64 // decided weights, without hosts of weight 0
	decided  []float64       // the same as a slice, only for tables that proxies share
	policies []classPolicy   // by class

	// The table validator maintains these for shared tables while repair is enabled, by host index.
	published    []float64 // published weights; nil: nothing was published yet
	repaired     []float64 // published instead of the decided weights; nil: the decided weights are published
	repairedFrom []float64 // the decided weights that were repaired

	entries  []weightEntry // published entries, by host name; nil: have to be computed again
	tableSet *tableSet     // of proxies that use this table for all classes; nil: has to be computed again

	changedRound   int64   // the last round that changed the table
	changedEntries float64 // number of entries that changed in that round
	hasRemoval     bool    // a host was removed in that round
}

// tableStore holds the tables by number, the policies for all tables, and the changes of the current round.
type tableStore struct {
	byNumber           map[int]*routingTable
	globalPolicies     []classPolicy // by class
	defaultRetryPolicy int
	lastTableSetID     int64

	round               int64                  // number of rounds so far
	stamp               int                    // version stamp of the round's messages, or noStamp
	reassigned          map[*proxySession]bool // sessions that were assigned a table
	changed             []int                  // numbers of tables
	globalPolicyChanges float64                // entries that changed the policies for all tables
}

func newTableStore(classes, defaultRetryPolicy int) tableStore {
	return tableStore{
		byNumber:           map[int]*routingTable{},
		globalPolicies:     make([]classPolicy, classes),
		defaultRetryPolicy: defaultRetryPolicy,
		reassigned:         map[*proxySession]bool{},
	}
}

// table returns the table with a number, and creates an empty one if there is none.
func (s *tableStore) table(number int) *routingTable {
	table := s.byNumber[number]
	if table == nil {
		table = &routingTable{weights: map[int]float64{}, policies: make([]classPolicy, len(s.globalPolicies))}
		s.byNumber[number] = table
	}
	return table
}

// markChanged records that the current round changes an entry of a table, and returns the table.
func (s *tableStore) markChanged(number int) *routingTable {
	table := s.table(number)
	s.beginChange(number, table)
	table.changedEntries++
	table.tableSet = nil
	return table
}

// beginChange resets the changes of a table if the current round has not changed it yet.
func (s *tableStore) beginChange(number int, table *routingTable) {
	if table.changedRound == s.round {
		return
	}
	table.changedRound = s.round
	table.changedEntries = 0
	table.hasRemoval = false
	s.changed = append(s.changed, number)
}

// hasChanges reports whether the current round has changed anything that has to be sent to proxies.
func (s *tableStore) hasChanges() bool {
	return len(s.changed) > 0 || len(s.reassigned) > 0 || s.globalPolicyChanges != 0
}

// clearChanges clears the changes of the current round.
func (s *tableStore) clearChanges() {
	clear(s.reassigned)
	s.changed = s.changed[:0]
	s.globalPolicyChanges = 0
	s.stamp = noStamp
}

func (s *tableStore) forget(number int) { delete(s.byNumber, number) }

// effectivePolicy combines the policy of a table with the one for all tables: it has the lower admission ratio, and the
// table's own retry policy if that is set.
func (s *tableStore) effectivePolicy(own, global classPolicy) classPolicy {
	policy := classPolicy{1, s.defaultRetryPolicy, true}
	if global.set {
		policy = global
	}
	if own.set {
		policy.admissionRatio = min(policy.admissionRatio, own.admissionRatio)
		policy.retryPolicy = own.retryPolicy
	}
	return policy
}

// setDecided sets the decided weight of a host.
func (t *routingTable) setDecided(host int, weight float64) {
	for len(t.decided) <= host {
		t.decided = append(t.decided, 0)
	}
	t.decided[host] = weight
}

// publishedSize returns the number of published entries.
func (t *routingTable) publishedSize() float64 {
	if t.repaired == nil {
		return float64(len(t.weights))
	}
	size := 0.0
	for _, weight := range t.repaired {
		if weight > 0 {
			size++
		}
	}
	return size
}

// entriesOf returns the published entries of a table, by host name.
func (c *Controller) entriesOf(table *routingTable) []weightEntry {
	if table.entries != nil {
		return table.entries
	}
	entries := make([]weightEntry, 0, len(table.weights))
	if table.repaired != nil {
		for host, weight := range table.repaired {
			if weight > 0 {
				entries = append(entries, weightEntry{c.hostIndex.Names[host], weight})
			}
		}
	} else {
		for host, weight := range table.weights {
			entries = append(entries, weightEntry{c.hostIndex.Names[host], weight})
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].host < entries[j].host })
	table.entries = entries
	return entries
}

// isShared reports whether a table is shared by proxies: number 0 is the table for all zones, and the next numbers are
// those of the zones. Greater numbers are subset tables, each of one proxy.
func (c *Controller) isShared(number int) bool { return number <= len(c.deployment.Zones) }

// distinctTables returns the numbers of the tables that the classes use, each once.
func distinctTables(tableByClass []int) []int {
	if usesOneTable(tableByClass) {
		return tableByClass[:1]
	}
	var distinct []int
	for _, number := range tableByClass {
		if number != noTable && !slices.Contains(distinct, number) {
			distinct = append(distinct, number)
		}
	}
	return distinct
}

// usesOneTable reports whether all classes have the same table.
func usesOneTable(tableByClass []int) bool {
	if len(tableByClass) == 0 || tableByClass[0] == noTable {
		return false
	}
	return !slices.ContainsFunc(tableByClass, func(number int) bool { return number != tableByClass[0] })
}

// weightDigits is the precision of published weights and ratios, in significant decimal digits. More digits would not
// change how proxies route.
const weightDigits = 6

// roundWeight rounds a weight or ratio to the published precision.
func roundWeight(weight float64) float64 {
	text := strconv.FormatFloat(weight, 'g', weightDigits, 64)
	// ParseFloat accepts the output of FormatFloat. Beyond the range it returns ±Inf with an error, and ±Inf is the
	// result that is wanted.
	rounded, _ := strconv.ParseFloat(text, 64)
	return rounded
}

// classInMask reports whether a class is in a bit mask of the balancer: bit k is class k, and 0 means all classes, see
// routing.UpdateWriter.
func classInMask(mask, class int) bool { return mask == 0 || mask&(1<<class) != 0 }
