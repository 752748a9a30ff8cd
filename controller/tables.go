package controller

import (
	"math"
	"slices"
	"sort"
	"strconv"

	"barleysail/routing"
)

// line of a table: a host by name and its weight.
type line struct {
	host   string
	weight float64
}

// level of a class: the share let in, and the way of trying again.
type level struct {
	share float64
	tries int
	set   bool
}

// table is a table as the module has it, by index, with the snapshot of it that versions share.
type table struct {
	weights  map[int]float64
	row      []float64 // the same by index, of a table that proxies share
	out      []float64 // as last ordered, by index, while a guard refuses
	given    []float64 // what the guard gives in their place; nil: nothing
	forRow   []float64 // the row that this was given for
	levels   []level
	snapshot []line    // nil: to be made anew
	view     *TableSet // of the proxies that use it for all classes; nil: to be made anew
	lines    float64
	removal  bool
	stamp    int64 // the round of these two
}

// tables are all tables by number, the levels for all of them, and what the present round has ordered.
type tables struct {
	byNumber map[int]*table
	levels   []level
	usual    int
	round    int64
	views    int64 // made so far
	marked   int
	bound    map[*member]bool // proxies bound in this round
	touched  []int
	levelled float64 // lines of levels for all
}

func newTables(classes, usual int) tables {
	return tables{byNumber: map[int]*table{}, levels: make([]level, classes), usual: usual, bound: map[*member]bool{}}
}

func (t *tables) table(number int) *table {
	b := t.byNumber[number]
	if b == nil {
		b = &table{weights: map[int]float64{}, levels: make([]level, len(t.levels))}
		t.byNumber[number] = b
	}
	return b
}

// touch notes that a line of a table was ordered in this round.
func (t *tables) touch(number int) *table {
	b := t.table(number)
	if b.stamp != t.round {
		b.stamp, b.lines, b.removal = t.round, 0, false
		t.touched = append(t.touched, number)
	}
	b.lines++
	b.view = nil
	return b
}

// set notes a weight by index.
func (b *table) set(host int, weight float64) {
	for len(b.row) <= host {
		b.row = append(b.row, 0)
	}
	b.row[host] = weight
}

// size is the number of lines as published.
func (b *table) size() (n float64) {
	if b.given == nil {
		return float64(len(b.weights))
	}
	for _, w := range b.given {
		if w > 0 {
			n++
		}
	}
	return n
}

func (t *tables) forget(number int) { delete(t.byNumber, number) }

// writer takes the decisions of a round for a Steward.
type writer struct{ *Controller }

var _ routing.UpdateWriter = writer{}

// round6 keeps six digits, as many as matter to a proxy.
func round6(x float64) float64 {
	y, _ := strconv.ParseFloat(strconv.FormatFloat(x, 'g', 6, 64), 64)
	return y
}

func (w writer) SetWeight(number, host int, weight float64) {
	b := w.tables.touch(number)
	if number <= len(w.fleet.Zones) {
		w.moved(host, b.weights[host], weight)
		b.set(host, round6(math.Max(weight, 0)))
	}
	if b.snapshot = nil; weight > 0 {
		b.weights[host] = round6(weight)
	} else {
		delete(b.weights, host)
		b.removal = true
	}
}

func (w writer) AssignTable(proxy, number, classes int) {
	m := w.members.byIndex[proxy]
	if m == nil {
		return
	}
	w.tables.table(number)
	w.tables.bound[m] = true
	for k := range m.tables {
		if classes == 0 || classes&(1<<k) != 0 {
			m.tables[k] = number
		}
	}
}

func (w writer) SetAdmission(number, classes int, share float64, tries int) {
	levels := w.tables.levels
	if number == routing.AllTables {
		w.tables.levelled++
		for _, b := range w.tables.byNumber {
			b.view = nil
		}
	} else {
		levels = w.tables.touch(number).levels
	}
	for k := range levels {
		if classes == 0 || classes&(1<<k) != 0 {
			levels[k] = level{round6(share), tries, true}
		}
	}
}

func (w writer) StampVersion(number int) { w.tables.marked = number }
func (w writer) CheckHealth(host int)    { w.out.CheckHealth(w.hosts.Names[host]) }
func (w writer) ScheduleRound(at float64) {
	w.Controller.round.wake = w.now + (at-w.now)*w.intake.pace.IntervalFactor()
}
func (w writer) WatchEndpoints()         { w.out.WatchEndpoints() }
func (w writer) Log(event routing.Event) { w.logEvent(event) }

// order puts what the round has ordered into the channel, a message for each proxy concerned.
func (s *Controller) order() {
	t := &s.tables
	if len(t.touched) == 0 && len(t.bound) == 0 && t.levelled == 0 {
		t.marked = 0
		return
	}
	k := mark{t.round, t.marked}
	for _, m := range s.members.byIndex {
		if m == nil {
			continue
		}
		lines, removal := t.levelled, false
		if t.bound[m] {
			for _, number := range distinct(m.tables) {
				lines += 1 + t.byNumber[number].size() + float64(len(s.classes))
			}
		} else if len(t.touched) > 0 {
			for _, number := range distinct(m.tables) {
				if b := t.byNumber[number]; b != nil && b.stamp == t.round {
					lines, removal = lines+b.lines, removal || b.removal
				}
			}
		}
		if lines > 0 {
			s.channel.order(m, lines+1, removal, k)
		}
	}
	clear(t.bound)
	t.touched, t.levelled, t.marked = t.touched[:0], 0, 0
}

// distinct gives the tables that a proxy is bound to, each once.
func distinct(numbers []int) []int {
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

// lines gives the present lines of a table by name of host.
func (s *Controller) lines(b *table) []line {
	if b.snapshot == nil {
		b.snapshot = make([]line, 0, len(b.weights))
		if b.given != nil {
			for h, weight := range b.given {
				if weight > 0 {
					b.snapshot = append(b.snapshot, line{s.hosts.Names[h], weight})
				}
			}
		} else {
			for h, weight := range b.weights {
				b.snapshot = append(b.snapshot, line{s.hosts.Names[h], weight})
			}
		}
		sort.Slice(b.snapshot, func(i, j int) bool { return b.snapshot[i].host < b.snapshot[j].host })
	}
	return b.snapshot
}

// both gives the level that holds where a table's own and the one for all are set: the lower share, and the
// table's own way of trying again.
func (t *tables) both(own, all level) level {
	l := level{1, t.usual, true}
	if all.set {
		l = all
	}
	if own.set {
		l.share, l.tries = min(l.share, own.share), own.tries
	}
	return l
}
