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
	noTable = -1 // in updateContent: no weight entries
	noStamp = 0  // in roundChanges: no proxy is asked for an acknowledgement

	// unsetRatio is the admission ratio of a class for which none was ever set.
	unsetRatio = -1

	// significantDigits of weights and ratios in an update.
	significantDigits = 6
)

// admissionPolicy is the part of a request class that proxies admit, and how they retry its requests.
type admissionPolicy struct {
	ratio       float64 // unsetRatio: not set
	retryPolicy int     // 0 to 3, as the protocol numbers them
}

// routeTable is a routing table as the balancer has written it, by its number.
type routeTable struct {
	weights     map[int]float64 // by host; a weight of 0 is absent
	changed     []int           // hosts whose weight was written this round
	subscribers map[int]bool    // proxies that the table is assigned to
}

// updateContent is what an update holds. Proxies with the same content in a round share one message.
type updateContent struct {
	table    int  // its weight entries; noTable: none
	snapshot bool // all entries of the table in place of those written this round
	policies bool // the admission policies
}

// roundChanges is what the balancer has written since the last flush.
type roundChanges struct {
	tables   []int // with weights written, in the order of their first change
	assigned []int // proxies that a table was assigned to
	policies bool  // an admission policy was set
	stamp    int   // version stamp; noStamp: none
}

// updateEncoder collects what the balancer writes in a round and encodes it as one update for each proxy concerned.
// What a proxy holds it knows only from what it has sent on the proxy's present session. It belongs to the event
// loop. With balancerOutput it implements routing.UpdateWriter.
type updateEncoder struct {
	hostName   func(host int) string
	classNames []string             // of all request classes, by index
	connected  func() iter.Seq[int] // the proxies with a session
	tables     map[int]*routeTable  // by number
	policies   []admissionPolicy    // by request class; they hold for all tables
	assigned   map[int]int          // by proxy: the table sent as a snapshot on its session
	updated    map[int]bool         // proxies that were sent the policies on their session
	round      roundChanges
}

func newUpdateEncoder(classNames []string, hostName func(int) string, connected func() iter.Seq[int]) *updateEncoder {
	encoder := &updateEncoder{
		hostName:   hostName,
		classNames: classNames,
		connected:  connected,
		tables:     map[int]*routeTable{},
		assigned:   map[int]int{},
		updated:    map[int]bool{},
	}
	for range classNames {
		encoder.policies = append(encoder.policies, admissionPolicy{ratio: unsetRatio})
	}
	return encoder
}

// table returns the routing table with the number and makes an empty one where there is none.
func (e *updateEncoder) table(number int) *routeTable {
	table := e.tables[number]
	if table == nil {
		table = &routeTable{weights: map[int]float64{}, subscribers: map[int]bool{}}
		e.tables[number] = table
	}
	return table
}

// forgetProxy drops what was sent on a proxy's session, which has ended.
func (e *updateEncoder) forgetProxy(proxy int) {
	if number, ok := e.assigned[proxy]; ok {
		delete(e.tables[number].subscribers, proxy)
	}
	delete(e.assigned, proxy)
	delete(e.updated, proxy)
}

// SetWeight writes the weight of a host in a table; 0 removes the host.
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

// AssignTable has a proxy use a table, of which it gets a snapshot. Tables here hold for all request classes.
func (e *updateEncoder) AssignTable(proxy, number, _ int) {
	if previous, ok := e.assigned[proxy]; ok {
		delete(e.tables[previous].subscribers, proxy)
	}
	e.assigned[proxy] = number
	e.table(number).subscribers[proxy] = true
	e.round.assigned = append(e.round.assigned, proxy)
}

// SetAdmission sets the admission ratio and retry policy of the request classes in a bit set, of all where it is
// empty. They hold for all tables.
func (e *updateEncoder) SetAdmission(_, classes int, ratio float64, retryPolicy int) {
	for class := range e.policies {
		if classes == 0 || classes>>class&1 == 1 {
			e.policies[class] = admissionPolicy{ratio, retryPolicy}
		}
	}
	e.round.policies = true
}

// StampVersion has each update of the round ask for an acknowledgement of the stamp.
func (e *updateEncoder) StampVersion(number int) { e.round.stamp = number }

// flush ends a round: it calls send for each proxy concerned, by ascending number, with its update and with the
// version stamp in it. Proxies with the same content get the same bytes.
func (e *updateEncoder) flush(send func(proxy int, message []byte, stamp int)) {
	contents := e.roundContents()
	messages := map[updateContent][]byte{}
	for _, proxy := range slices.Sorted(maps.Keys(contents)) {
		content := contents[proxy]
		if !e.updated[proxy] { // the first update on a session brings the policies
			content.policies = true
			e.updated[proxy] = true
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

// roundContents returns what each proxy concerned by the round's changes is to get. A snapshot brings the policies,
// since a proxy drops them with the table that is replaced.
func (e *updateEncoder) roundContents() map[int]updateContent {
	contents := map[int]updateContent{}
	if e.round.policies {
		for proxy := range e.connected() {
			contents[proxy] = updateContent{table: noTable, policies: true}
		}
	}
	for _, number := range e.round.tables {
		for proxy := range e.tables[number].subscribers {
			contents[proxy] = updateContent{table: number, policies: contents[proxy].policies}
		}
	}
	for _, proxy := range e.round.assigned {
		contents[proxy] = updateContent{table: e.assigned[proxy], snapshot: true, policies: true}
	}
	return contents
}

// startRound drops the changes of the round that has ended and keeps their memory.
func (e *updateEncoder) startRound() {
	for _, number := range e.round.tables {
		table := e.tables[number]
		table.changed = table.changed[:0]
	}
	e.round = roundChanges{tables: e.round.tables[:0], assigned: e.round.assigned[:0], stamp: noStamp}
}

// encode makes an update, in as many parts as the policies take. It returns nil where there is nothing to say.
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

// updateParts returns the fields of each part of an update: first the weight entries, together with the policy where
// one holds for all request classes; then what differs by class.
func (e *updateEncoder) updateParts(content updateContent) [][]string {
	tableFields := e.tableFields(content)
	var policies []policyGroup
	if content.policies {
		policies = e.policyGroups()
	}
	if len(policies) == 1 && e.holdsForAll(policies[0]) {
		return [][]string{append(tableFields, e.policyFields(policies[0])...)}
	}
	var parts [][]string
	if len(tableFields) > 0 {
		parts = append(parts, tableFields)
	}
	for _, group := range policies {
		parts = append(parts, e.policyFields(group))
	}
	return parts
}

// tableFields returns the fields that bring weight entries.
func (e *updateEncoder) tableFields(content updateContent) []string {
	var fields []string
	if content.snapshot {
		fields = append(fields, fieldSnapshot, valueYes)
	}
	if content.table == noTable {
		return fields
	}
	if entries := e.weightEntries(content); entries != "" {
		fields = append(fields, fieldEntries, entries)
	}
	return fields
}

// weightEntries spells the weight entries of a whole table, or those written this round, as host:weight pairs.
func (e *updateEncoder) weightEntries(content updateContent) string {
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

// policyGroups returns the policies that were ever set, by ascending ratio and retry policy.
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

// holdsForAll reports whether all request classes have the group's policy.
func (e *updateEncoder) holdsForAll(group policyGroup) bool {
	return len(group.classes) == len(e.classNames)
}

// policyFields returns the fields that bring a policy, with its request classes where not all have it.
func (e *updateEncoder) policyFields(group policyGroup) []string {
	var fields []string
	if !e.holdsForAll(group) {
		fields = append(fields, fieldClasses, strings.Join(group.classes, "+"))
	}
	return append(fields, fieldAdmissionRatio, formatFloat(group.ratio),
		fieldRetryPolicy, strconv.Itoa(group.retryPolicy))
}

// formatFloat spells a number with the significant digits of an update and without an exponent, which the protocol
// does not know.
func formatFloat(value float64) string {
	digits := strconv.FormatFloat(value, 'g', significantDigits, 64)
	rounded, _ := strconv.ParseFloat(digits, 64) // no error: FormatFloat spells numbers that can be read
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}
