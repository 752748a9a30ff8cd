package controller

import (
	"slices"
	"sort"
	"strconv"
)

// weightEntry of a table: a host by name and its weight.
type weightEntry struct {
	host   string
	weight float64
}

// classPolicy of a class: the share let in, and the way of trying again.
type classPolicy struct {
	admissionRatio float64
	retryPolicy    int
	set            bool
}

// routingTable is a table as the module has it, by index, with the snapshot of it that versions share.
type routingTable struct {
	weights        map[int]float64
	decided        []float64 // the same by index, of a table that proxies share
	published      []float64 // as last ordered, by index, while a guard refuses
	repaired       []float64 // what the guard gives in their place; nil: nothing
	repairedFrom   []float64 // the row that this was given for
	policies       []classPolicy
	entries        []weightEntry // nil: to be made anew
	tableSet       *tableSet     // of the proxies that use it for all classes; nil: to be made anew
	changedEntries float64
	hasRemoval     bool
	changedRound   int64 // the round of these two
}

// tableStore are all tables by number, the levels for all of them, and what the present round has ordered.
type tableStore struct {
	byNumber            map[int]*routingTable
	globalPolicies      []classPolicy
	defaultRetryPolicy  int
	round               int64
	lastTableSetID      int64 // made so far
	stamp               int
	reassigned          map[*session]bool // proxies bound in this round
	changed             []int
	globalPolicyChanges float64 // lines of levels for all
}

func newTables(classes, usual int) tableStore {
	return tableStore{byNumber: map[int]*routingTable{}, globalPolicies: make([]classPolicy, classes), defaultRetryPolicy: usual, reassigned: map[*session]bool{}}
}

func (t *tableStore) table(number int) *routingTable {
	b := t.byNumber[number]
	if b == nil {
		b = &routingTable{weights: map[int]float64{}, policies: make([]classPolicy, len(t.globalPolicies))}
		t.byNumber[number] = b
	}
	return b
}

// markChanged notes that a line of a table was ordered in this round.
func (t *tableStore) markChanged(number int) *routingTable {
	b := t.table(number)
	if b.changedRound != t.round {
		b.changedRound, b.changedEntries, b.hasRemoval = t.round, 0, false
		t.changed = append(t.changed, number)
	}
	b.changedEntries++
	b.tableSet = nil
	return b
}

func (t *tableStore) forget(number int) { delete(t.byNumber, number) }

// effectivePolicy gives the level that holds where a table's own and the one for all are set: the lower share, and the
// table's own way of trying again.
func (t *tableStore) effectivePolicy(own, all classPolicy) classPolicy {
	l := classPolicy{1, t.defaultRetryPolicy, true}
	if all.set {
		l = all
	}
	if own.set {
		l.admissionRatio, l.retryPolicy = min(l.admissionRatio, own.admissionRatio), own.retryPolicy
	}
	return l
}

// setDecided notes a weight by index.
func (b *routingTable) setDecided(host int, weight float64) {
	for len(b.decided) <= host {
		b.decided = append(b.decided, 0)
	}
	b.decided[host] = weight
}

// publishedSize is the number of lines as published.
func (b *routingTable) publishedSize() (n float64) {
	if b.repaired == nil {
		return float64(len(b.weights))
	}
	for _, w := range b.repaired {
		if w > 0 {
			n++
		}
	}
	return n
}

// entriesOf gives the present lines of a table by name of host.
func (s *Controller) entriesOf(b *routingTable) []weightEntry {
	if b.entries == nil {
		b.entries = make([]weightEntry, 0, len(b.weights))
		if b.repaired != nil {
			for h, weight := range b.repaired {
				if weight > 0 {
					b.entries = append(b.entries, weightEntry{s.hostIndex.Names[h], weight})
				}
			}
		} else {
			for h, weight := range b.weights {
				b.entries = append(b.entries, weightEntry{s.hostIndex.Names[h], weight})
			}
		}
		sort.Slice(b.entries, func(i, j int) bool { return b.entries[i].host < b.entries[j].host })
	}
	return b.entries
}

// distinctTables gives the tables that a proxy is bound to, each once.
func distinctTables(numbers []int) []int {
	if len(numbers) > 0 && numbers[0] >= 0 && !slices.ContainsFunc(numbers, func(n int) bool { return n != numbers[0] }) {
		return numbers[:1]
	}
	var some []int
	for _, n := range numbers {
		if n >= 0 && !slices.Contains(some, n) {
			some = append(some, n)
		}
	}
	return some
}

// round6 keeps six digits, as many as matter to a proxy.
func round6(x float64) float64 {
	y, _ := strconv.ParseFloat(strconv.FormatFloat(x, 'g', 6, 64), 64)
	return y
}
