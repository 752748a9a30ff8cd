package platform

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"

	"barleysail/internal/resp"
)

const (
	noTable    = -1 // in tableContent and proxyTables: none
	noStamp    = 0  // in roundChanges: no acknowledgement is requested
	allClasses = 0  // the bit set of request classes that stands for all of them

	// unsetRatio is the admission ratio of a class for which none was ever set.
	unsetRatio = -1

	// significantDigits is the precision of weights and ratios in an update, in decimal digits.
	significantDigits = 6
)

// admissionPolicy says which part of the requests of a class proxies admit, and how they retry them.
type admissionPolicy struct {
	ratio       float64 // admission ratio from 0 to 1; unsetRatio: not set
	retryPolicy int     // 0 to 3, as the protocol numbers them
}

// routeTable is a routing table as the balancer has written it.
type routeTable struct {
	weights     map[int]float64 // by host; a weight of 0 is absent
	changed     []int           // hosts whose weight was written this round
	subscribers map[int]bool    // proxies that the table is assigned to
}

// proxyTables are the tables that were sent on a proxy's session.
type proxyTables struct {
	main            int // number of the table for all classes but fallbackClasses
	fallback        int // number of the table for fallbackClasses; noTable: none
	fallbackClasses int // bit set
}

// tableContent is the part of an update for one table.
type tableContent struct {
	table    int  // number of the table; noTable: none
	classes  int  // bit set of the request classes that it is for
	snapshot bool // it has all entries of the table, not only those written this round
}

// updateContent describes the content of an update. Proxies with the same content in a round share one message.
type updateContent struct {
	main     tableContent
	fallback tableContent
	policies bool // it has the admission policies
}

// emptyContent is an update without weight entries and policies.
var emptyContent = updateContent{main: tableContent{table: noTable}, fallback: tableContent{table: noTable}}

// roundChanges holds what the balancer has written since the last flush.
type roundChanges struct {
	tables    []int // tables with weights written, in the order of their first change
	assigned  []int // proxies to which a table was assigned for all classes
	fallbacks []int // proxies to which a table was assigned for some classes
	policies  bool  // an admission policy was set
	stamp     int   // version stamp; noStamp: none
}

// updateEncoder collects what the balancer writes in a round and encodes it as one update for each affected proxy. It
// tracks what it has sent on the current session of each proxy, and assumes nothing about what earlier sessions sent.
// It belongs to the event loop. Together with balancerOutput it implements routing.UpdateWriter.
type updateEncoder struct {
	hostName     func(host int) string
	classNames   []string             // of all request classes, by index
	connected    func() iter.Seq[int] // the proxies with a session
	tables       map[int]*routeTable  // by number
	policies     []admissionPolicy    // by request class; they apply to all tables
	assigned     map[int]proxyTables  // by proxy: the tables sent as a snapshot on its session
	policiesSent map[int]bool         // proxies to which the policies were sent on their session
	round        roundChanges
}

func newUpdateEncoder(classNames []string, hostName func(int) string, connected func() iter.Seq[int]) *updateEncoder {
	encoder := &updateEncoder{
		hostName:     hostName,
		classNames:   classNames,
		connected:    connected,
		tables:       map[int]*routeTable{},
		assigned:     map[int]proxyTables{},
		policiesSent: map[int]bool{},
	}
	for range classNames {
		encoder.policies = append(encoder.policies, admissionPolicy{ratio: unsetRatio})
	}
	return encoder
}

// table returns the routing table with a number, and creates an empty one if there is none.
func (e *updateEncoder) table(number int) *routeTable {
	table := e.tables[number]
	if table == nil {
		table = &routeTable{weights: map[int]float64{}, subscribers: map[int]bool{}}
		e.tables[number] = table
	}
	return table
}

// forgetProxy drops the record of what was sent on a proxy's session, which has ended.
func (e *updateEncoder) forgetProxy(proxy int) {
	e.unsubscribe(proxy)
	delete(e.assigned, proxy)
	delete(e.policiesSent, proxy)
}

// unsubscribe removes a proxy from the subscribers of its tables.
func (e *updateEncoder) unsubscribe(proxy int) {
	tables, ok := e.assigned[proxy]
	if !ok {
		return
	}
	delete(e.tables[tables.main].subscribers, proxy)
	if tables.fallback != noTable {
		delete(e.tables[tables.fallback].subscribers, proxy)
	}
}

// SetWeight sets the weight of a host in a table; 0 removes the host from it.
func (e *updateEncoder) SetWeight(number, host int, weight float64) {
	table := e.table(number)
	if weight == 0 {
		delete(table.weights, host)
	} else {
		table.weights[host] = weight
	}
	if len(table.changed) == 0 {
		e.round.tables = append(e.round.tables, number)
	}
	table.changed = append(table.changed, host)
}

// AssignTable assigns a table to a proxy, which then gets a snapshot of it: for all request classes, or for those in a
// bit set until the next table is assigned. A proxy that has no table for all classes yet gets it for all.
func (e *updateEncoder) AssignTable(proxy, number, classes int) {
	e.unsubscribe(proxy)
	tables, known := e.assigned[proxy]
	if classes == allClasses || !known {
		tables = proxyTables{main: number, fallback: noTable}
		e.round.assigned = append(e.round.assigned, proxy)
	} else {
		tables.fallback = number
		tables.fallbackClasses = classes
		e.table(tables.fallback).subscribers[proxy] = true
		e.round.fallbacks = append(e.round.fallbacks, proxy)
	}
	e.table(tables.main).subscribers[proxy] = true
	e.assigned[proxy] = tables
}

// SetAdmission sets the admission ratio and retry policy of the request classes in a bit set, or of all classes if the
// set is empty. They apply to all tables.
func (e *updateEncoder) SetAdmission(_, classes int, ratio float64, retryPolicy int) {
	for class := range e.policies {
		if classes == 0 || classes>>class&1 == 1 {
			e.policies[class] = admissionPolicy{ratio, retryPolicy}
		}
	}
	e.round.policies = true
}

// StampVersion adds a version stamp, which proxies acknowledge, to each update of the round.
func (e *updateEncoder) StampVersion(number int) { e.round.stamp = number }

// flush ends a round: it calls send for each affected proxy, in ascending order, with its update and the version stamp
// in it. Proxies with the same content get the same bytes.
func (e *updateEncoder) flush(send func(proxy int, message []byte, stamp int)) {
	contents := e.roundContents()
	messages := map[updateContent][]byte{}
	for _, proxy := range slices.Sorted(maps.Keys(contents)) {
		content := contents[proxy]
		if !e.policiesSent[proxy] { // the first update on a session has the policies
			content.policies = true
			e.policiesSent[proxy] = true
		}
		message, encoded := messages[content]
		if !encoded {
			message = e.encode(content)
			messages[content] = message
		}
		if message != nil {
			send(proxy, message, e.round.stamp)
		}
	}
	e.startRound()
}

// roundContents returns the content of the update for each proxy that the round's changes affect. A snapshot has the
// policies, since a proxy drops them together with the table that it replaces.
func (e *updateEncoder) roundContents() map[int]updateContent {
	contents := map[int]updateContent{}
	if e.round.policies {
		for proxy := range e.connected() {
			content := emptyContent
			content.policies = true
			contents[proxy] = content
		}
	}
	for _, number := range e.round.tables {
		for proxy := range e.tables[number].subscribers {
			content, ok := contents[proxy]
			if !ok {
				content = emptyContent
			}
			e.addTable(&content, proxy, number)
			contents[proxy] = content
		}
	}
	for _, proxy := range e.round.assigned {
		content := emptyContent
		e.addTable(&content, proxy, e.assigned[proxy].main)
		content.main.snapshot = true
		content.policies = true
		contents[proxy] = content
	}
	for _, proxy := range e.round.fallbacks {
		content, ok := contents[proxy]
		if !ok {
			content = emptyContent
		}
		if fallback := e.assigned[proxy].fallback; fallback != noTable {
			e.addTable(&content, proxy, fallback)
			content.fallback.snapshot = true
			content.policies = true
		}
		contents[proxy] = content
	}
	return contents
}

// addTable adds a table of a proxy to the content of its update.
func (e *updateEncoder) addTable(content *updateContent, proxy, number int) {
	tables := e.assigned[proxy]
	if number == tables.main {
		content.main = tableContent{table: number, classes: allClasses}
		if tables.fallback != noTable {
			content.main.classes = (1<<len(e.classNames) - 1) &^ tables.fallbackClasses
		}
	}
	if number == tables.fallback {
		content.fallback = tableContent{table: number, classes: tables.fallbackClasses}
	}
}

// startRound clears the changes of the last round and reuses their memory.
func (e *updateEncoder) startRound() {
	for _, number := range e.round.tables {
		table := e.tables[number]
		table.changed = table.changed[:0]
	}
	e.round = roundChanges{
		tables:    e.round.tables[:0],
		assigned:  e.round.assigned[:0],
		fallbacks: e.round.fallbacks[:0],
		stamp:     noStamp,
	}
}

// encode encodes an update, in one part or, if classes have different policies, in several. It returns nil if the
// update would be empty.
func (e *updateEncoder) encode(content updateContent) []byte {
	parts := e.updateParts(content)
	if len(parts) == 0 {
		if e.round.stamp == noStamp {
			return nil
		}
		parts = [][]string{nil}
	}
	var message []byte
	for i, words := range parts {
		if i < len(parts)-1 {
			words = append(words, fieldMoreParts, valueYes)
		} else if e.round.stamp != noStamp {
			words = append(words, fieldUpdateStamp, strconv.Itoa(e.round.stamp))
		}
		message = resp.Append(message, append([]string{kindUpdate}, words...)...)
	}
	return message
}

// updateParts returns the fields of each part of an update: the weight entries together with the policy if both are for
// all request classes, else first the weight entries of each table and then one part for each policy.
func (e *updateEncoder) updateParts(content updateContent) [][]string {
	tableFields := e.tableFields(content.main)
	var policies []policyGroup
	if content.policies {
		policies = e.policyGroups()
	}
	oneTable := content.main.classes == allClasses && content.fallback.table == noTable
	if oneTable && len(policies) == 1 && e.coversAllClasses(policies[0]) {
		return [][]string{append(tableFields, e.policyFields(policies[0])...)}
	}
	var parts [][]string
	for _, fields := range [][]string{tableFields, e.tableFields(content.fallback)} {
		if len(fields) > 0 {
			parts = append(parts, fields)
		}
	}
	for _, group := range policies {
		parts = append(parts, e.policyFields(group))
	}
	return parts
}

// tableFields returns the fields for the weight entries of a table, none if it has no content.
func (e *updateEncoder) tableFields(content tableContent) []string {
	if content.table == noTable {
		return nil
	}
	var fields []string
	if content.snapshot {
		fields = append(fields, fieldSnapshot, valueYes)
	}
	if entries := e.weightEntries(content); entries != "" {
		fields = append(fields, fieldEntries, entries)
	}
	if len(fields) > 0 && content.classes != allClasses {
		fields = append([]string{fieldClasses, e.classList(content.classes)}, fields...)
	}
	return fields
}

// classList returns the names of the request classes in a bit set.
func (e *updateEncoder) classList(classes int) string {
	var names []string
	for class, name := range e.classNames {
		if classes>>class&1 == 1 {
			names = append(names, name)
		}
	}
	return strings.Join(names, classSeparator)
}

// weightEntries formats the weight entries of the whole table, or only those written this round, as host:weight pairs
// separated by commas.
func (e *updateEncoder) weightEntries(content tableContent) string {
	table := e.tables[content.table]
	hosts := slices.Values(table.changed)
	if content.snapshot {
		hosts = maps.Keys(table.weights)
	}
	var entries strings.Builder
	for i, host := range slices.Compact(slices.Sorted(hosts)) {
		if i > 0 {
			entries.WriteByte(',')
		}
		entries.WriteString(e.hostName(host))
		entries.WriteByte(':')
		entries.WriteString(formatFloat(table.weights[host]))
	}
	return entries.String()
}

// policyGroup is an admission policy with the names of the request classes that have it.
type policyGroup struct {
	admissionPolicy
	classes []string
}

// policyGroups returns the distinct policies that were set, in ascending order of ratio and retry policy.
func (e *updateEncoder) policyGroups() []policyGroup {
	classes := map[admissionPolicy][]string{}
	for class, policy := range e.policies {
		if policy.ratio >= 0 {
			classes[policy] = append(classes[policy], e.classNames[class])
		}
	}
	groups := make([]policyGroup, 0, len(classes))
	for policy, names := range classes {
		groups = append(groups, policyGroup{policy, names})
	}
	slices.SortFunc(groups, func(a, b policyGroup) int {
		return cmp.Or(cmp.Compare(a.ratio, b.ratio), cmp.Compare(a.retryPolicy, b.retryPolicy))
	})
	return groups
}

// coversAllClasses reports whether all request classes have the group's policy.
func (e *updateEncoder) coversAllClasses(group policyGroup) bool {
	return len(group.classes) == len(e.classNames)
}

// policyFields returns the fields for a policy, with its request classes unless all classes have it.
func (e *updateEncoder) policyFields(group policyGroup) []string {
	var fields []string
	if !e.coversAllClasses(group) {
		fields = append(fields, fieldClasses, strings.Join(group.classes, classSeparator))
	}
	return append(fields, fieldAdmissionRatio, formatFloat(group.ratio),
		fieldRetryPolicy, strconv.Itoa(group.retryPolicy))
}

// formatFloat formats a number with significantDigits digits and without an exponent, which the protocol does not
// allow.
func formatFloat(value float64) string {
	digits := strconv.FormatFloat(value, 'g', significantDigits, 64)
	rounded, _ := strconv.ParseFloat(digits, 64) // no error: ParseFloat accepts the output of FormatFloat
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
