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

// level is how much of a class is let in, and how often a proxy tries again.
type level struct {
	share float64
	tries int
}

// table is what the module has laid under a number.
type table struct {
	weights map[int]float64
	changed []int // hosts whose line was written this round
	holders map[int]bool
}

// told is what a proxy is told in a round; proxies told the same share one message.
type told struct {
	table  int // -1: no lines
	whole  bool
	levels bool
}

// orders takes a round's decisions and makes of them one message a proxy. It knows what a proxy holds only from what was
// written on its present stream.
type orders struct {
	id      func(host int) string
	names   []string // of the classes
	tables  map[int]*table
	bound   map[int]int  // the table that a proxy was last sent whole on this stream
	levels  []level      // for all tables, by class; a level below 0 was never set
	ready   map[int]bool // proxies that were sent the levels on this stream
	touched []int        // tables with lines written this round
	binds   []int        // proxies sent a whole table this round
	leveled bool         // levels were set this round
	mark    int          // 0: none
	joined  func() iter.Seq[int]
}

func newOrders(names []string, id func(int) string, joined func() iter.Seq[int]) *orders {
	o := &orders{id: id, names: names, tables: map[int]*table{}, bound: map[int]int{}, ready: map[int]bool{}, joined: joined}
	for range names {
		o.levels = append(o.levels, level{-1, 0})
	}
	return o
}

func (o *orders) table(number int) *table {
	t := o.tables[number]
	if t == nil {
		t = &table{weights: map[int]float64{}, holders: map[int]bool{}}
		o.tables[number] = t
	}
	return t
}

// forget drops what a proxy's ended stream has told it.
func (o *orders) forget(proxy int) {
	if number, ok := o.bound[proxy]; ok {
		delete(o.tables[number].holders, proxy)
	}
	delete(o.bound, proxy)
	delete(o.ready, proxy)
}

// Of decide.Writer, what goes to proxies.

func (o *orders) SetWeight(number, host int, weight float64) {
	t := o.table(number)
	if weight == 0 {
		delete(t.weights, host)
	} else {
		t.weights[host] = weight
	}
	if len(t.changed) == 0 {
		o.touched = append(o.touched, number)
	}
	t.changed = append(t.changed, host)
}

func (o *orders) AssignTable(proxy, number, _ int) {
	if was, ok := o.bound[proxy]; ok {
		delete(o.tables[was].holders, proxy)
	}
	o.bound[proxy] = number
	o.table(number).holders[proxy] = true
	o.binds = append(o.binds, proxy)
}

func (o *orders) SetAdmission(_, classes int, share float64, tries int) {
	for c := range o.levels {
		if classes == 0 || classes>>c&1 == 1 {
			o.levels[c] = level{share, tries}
		}
	}
	o.leveled = true
}

func (o *orders) StampVersion(number int) { o.mark = number }

// flush ends a round: send gets each proxy's message, and whether it carries the mark.
func (o *orders) flush(send func(proxy int, message []byte, mark int)) {
	tell := map[int]told{}
	if o.leveled {
		for p := range o.joined() {
			tell[p] = told{-1, false, true}
		}
	}
	for _, number := range o.touched {
		for p := range o.tables[number].holders {
			tell[p] = told{number, false, tell[p].levels}
		}
	}
	for _, p := range o.binds {
		tell[p] = told{o.bound[p], true, true}
	}
	made := map[told][]byte{}
	for _, p := range slices.Sorted(maps.Keys(tell)) {
		t := tell[p]
		if !o.ready[p] { // levels for all go with the first message of a stream
			t.levels, o.ready[p] = true, true
		}
		message, ok := made[t]
		if !ok {
			message = o.encode(t)
			made[t] = message
		}
		if message != nil {
			send(p, message, o.mark)
		}
	}
	for _, number := range o.touched {
		t := o.tables[number]
		t.changed = t.changed[:0]
	}
	o.touched, o.binds, o.leveled, o.mark = o.touched[:0], o.binds[:0], false, 0
}

// encode makes a message: first the lines with the levels that hold for all classes, then what levels differ by class.
func (o *orders) encode(t told) []byte {
	var parts [][]string
	var first []string
	if t.whole {
		first = append(first, "replace", "1")
	}
	if t.table >= 0 {
		if rows := o.rows(t); rows != "" {
			first = append(first, "rows", rows)
		}
	}
	if t.levels {
		parts = o.gates()
	}
	if len(parts) == 1 && parts[0][0] != "for" {
		parts[0] = append(first, parts[0]...)
	} else if len(first) > 0 {
		parts = append([][]string{first}, parts...)
	}
	if len(parts) == 0 {
		if o.mark == 0 {
			return nil
		}
		parts = [][]string{nil}
	}
	var message []byte
	for i, words := range parts {
		if i == len(parts)-1 {
			if o.mark != 0 {
				words = append(words, "stamp", strconv.Itoa(o.mark))
			}
		} else {
			words = append(words, "part", "1")
		}
		message = resp.Append(message, append([]string{"CONFIG"}, words...)...)
	}
	return message
}

// rows names the lines of a whole table, or those written this round.
func (o *orders) rows(t told) string {
	held := o.tables[t.table]
	hosts := maps.Keys(held.weights)
	if !t.whole {
		hosts = slices.Values(held.changed)
	}
	var rows strings.Builder
	for i, h := range slices.Compact(slices.Sorted(hosts)) {
		if i > 0 {
			rows.WriteByte(',')
		}
		rows.WriteString(o.id(h) + ":" + figure(held.weights[h]))
	}
	return rows.String()
}

// gates gives the fields of the levels that were ever set, classes of the same level together.
func (o *orders) gates() [][]string {
	by := map[level][]string{}
	for c, l := range o.levels {
		if l.share >= 0 {
			by[l] = append(by[l], o.names[c])
		}
	}
	set := make([]level, 0, len(by))
	for l := range by {
		set = append(set, l)
	}
	slices.SortFunc(set, func(a, b level) int {
		return cmp.Or(cmp.Compare(a.share, b.share), cmp.Compare(a.tries, b.tries))
	})
	var parts [][]string
	for _, l := range set {
		words := []string{"gate", figure(l.share), "again", strconv.Itoa(l.tries)}
		if len(by[l]) < len(o.names) {
			words = append([]string{"for", strings.Join(by[l], "+")}, words...)
		}
		parts = append(parts, words)
	}
	return parts
}

// figure spells a number to six digits, without an exponent.
func figure(v float64) string {
	six, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 6, 64), 64)
	return strconv.FormatFloat(six, 'f', -1, 64)
}

var _ routing.UpdateWriter = (*writer)(nil)
