package platform

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strconv"
	"strings"

	"barleysail/internal/resp"
	"barleysail/routing"
)

// admissionPolicy is how much of a class is let in, and how often a proxy tries again.
type admissionPolicy struct {
	ratio       float64
	retryPolicy int
}

// routeTable is what the module has laid under a number.
type routeTable struct {
	weights     map[int]float64
	changed     []int // hosts whose line was written this round
	subscribers map[int]bool
}

// updateContent is what a proxy is told in a round; proxies told the same share one message.
type updateContent struct {
	table    int // -1: no lines
	snapshot bool
	policies bool
}

// updateEncoder takes a round's decisions and makes of them one message a proxy. It knows what a proxy holds only from what was
// written on its present stream.
type updateEncoder struct {
	hostName        func(host int) string
	classNames      []string // of the classes
	tables          map[int]*routeTable
	assigned        map[int]int       // the table that a proxy was last sent whole on this stream
	policies        []admissionPolicy // for all tables, by class; a level below 0 was never set
	policiesSent    map[int]bool      // proxies that were sent the levels on this stream
	changedTables   []int             // tables with lines written this round
	newlyAssigned   []int             // proxies sent a whole table this round
	policiesChanged bool              // levels were set this round
	stamp           int               // 0: none
	connected       func() iter.Seq[int]
}

func newUpdateEncoder(names []string, id func(int) string, joined func() iter.Seq[int]) *updateEncoder {
	o := &updateEncoder{hostName: id, classNames: names, tables: map[int]*routeTable{}, assigned: map[int]int{}, policiesSent: map[int]bool{}, connected: joined}
	for range names {
		o.policies = append(o.policies, admissionPolicy{-1, 0})
	}
	return o
}

func (o *updateEncoder) table(number int) *routeTable {
	t := o.tables[number]
	if t == nil {
		t = &routeTable{weights: map[int]float64{}, subscribers: map[int]bool{}}
		o.tables[number] = t
	}
	return t
}

// forgetProxy drops what a proxy's ended stream has told it.
func (o *updateEncoder) forgetProxy(proxy int) {
	if number, ok := o.assigned[proxy]; ok {
		delete(o.tables[number].subscribers, proxy)
	}
	delete(o.assigned, proxy)
	delete(o.policiesSent, proxy)
}

// Of decide.Writer, what goes to proxies.

func (o *updateEncoder) SetWeight(number, host int, weight float64) {
	t := o.table(number)
	if weight == 0 {
		delete(t.weights, host)
	} else {
		t.weights[host] = weight
	}
	if len(t.changed) == 0 {
		o.changedTables = append(o.changedTables, number)
	}
	t.changed = append(t.changed, host)
}

func (o *updateEncoder) AssignTable(proxy, number, _ int) {
	if was, ok := o.assigned[proxy]; ok {
		delete(o.tables[was].subscribers, proxy)
	}
	o.assigned[proxy] = number
	o.table(number).subscribers[proxy] = true
	o.newlyAssigned = append(o.newlyAssigned, proxy)
}

func (o *updateEncoder) SetAdmission(_, classes int, share float64, tries int) {
	for c := range o.policies {
		if classes == 0 || classes>>c&1 == 1 {
			o.policies[c] = admissionPolicy{share, tries}
		}
	}
	o.policiesChanged = true
}

func (o *updateEncoder) StampVersion(number int) { o.stamp = number }

// flush ends a round: send gets each proxy's message, and whether it carries the mark.
func (o *updateEncoder) flush(send func(proxy int, message []byte, mark int)) {
	tell := map[int]updateContent{}
	if o.policiesChanged {
		for p := range o.connected() {
			tell[p] = updateContent{-1, false, true}
		}
	}
	for _, number := range o.changedTables {
		for p := range o.tables[number].subscribers {
			tell[p] = updateContent{number, false, tell[p].policies}
		}
	}
	for _, p := range o.newlyAssigned {
		tell[p] = updateContent{o.assigned[p], true, true}
	}
	made := map[updateContent][]byte{}
	for _, p := range slices.Sorted(maps.Keys(tell)) {
		t := tell[p]
		if !o.policiesSent[p] { // levels for all go with the first message of a stream
			t.policies, o.policiesSent[p] = true, true
		}
		message, ok := made[t]
		if !ok {
			message = o.encode(t)
			made[t] = message
		}
		if message != nil {
			send(p, message, o.stamp)
		}
	}
	for _, number := range o.changedTables {
		t := o.tables[number]
		t.changed = t.changed[:0]
	}
	o.changedTables, o.newlyAssigned, o.policiesChanged, o.stamp = o.changedTables[:0], o.newlyAssigned[:0], false, 0
}

// encode makes a message: first the lines with the levels that hold for all classes, then what levels differ by class.
func (o *updateEncoder) encode(t updateContent) []byte {
	var parts [][]string
	var first []string
	if t.snapshot {
		first = append(first, "replace", "1")
	}
	if t.table >= 0 {
		if rows := o.entryList(t); rows != "" {
			first = append(first, "rows", rows)
		}
	}
	if t.policies {
		parts = o.policyFields()
	}
	if len(parts) == 1 && parts[0][0] != "for" {
		parts[0] = append(first, parts[0]...)
	} else if len(first) > 0 {
		parts = append([][]string{first}, parts...)
	}
	if len(parts) == 0 {
		if o.stamp == 0 {
			return nil
		}
		parts = [][]string{nil}
	}
	var message []byte
	for i, words := range parts {
		if i == len(parts)-1 {
			if o.stamp != 0 {
				words = append(words, "stamp", strconv.Itoa(o.stamp))
			}
		} else {
			words = append(words, "part", "1")
		}
		message = resp.Append(message, append([]string{"CONFIG"}, words...)...)
	}
	return message
}

// entryList names the lines of a whole table, or those written this round.
func (o *updateEncoder) entryList(t updateContent) string {
	held := o.tables[t.table]
	hosts := maps.Keys(held.weights)
	if !t.snapshot {
		hosts = slices.Values(held.changed)
	}
	var rows strings.Builder
	for i, h := range slices.Compact(slices.Sorted(hosts)) {
		if i > 0 {
			rows.WriteByte(',')
		}
		rows.WriteString(o.hostName(h) + ":" + formatFloat(held.weights[h]))
	}
	return rows.String()
}

// policyFields gives the fields of the levels that were ever set, classes of the same level together.
func (o *updateEncoder) policyFields() [][]string {
	by := map[admissionPolicy][]string{}
	for c, l := range o.policies {
		if l.ratio >= 0 {
			by[l] = append(by[l], o.classNames[c])
		}
	}
	set := make([]admissionPolicy, 0, len(by))
	for l := range by {
		set = append(set, l)
	}
	slices.SortFunc(set, func(a, b admissionPolicy) int {
		return cmp.Or(cmp.Compare(a.ratio, b.ratio), cmp.Compare(a.retryPolicy, b.retryPolicy))
	})
	var parts [][]string
	for _, l := range set {
		words := []string{"gate", formatFloat(l.ratio), "again", strconv.Itoa(l.retryPolicy)}
		if len(by[l]) < len(o.classNames) {
			words = append([]string{"for", strings.Join(by[l], "+")}, words...)
		}
		parts = append(parts, words)
	}
	return parts
}

// formatFloat spells a number to six digits, without an exponent.
func formatFloat(v float64) string {
	six, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 6, 64), 64)
	return strconv.FormatFloat(six, 'f', -1, 64)
}

var _ routing.UpdateWriter = (*balancerOutput)(nil)
