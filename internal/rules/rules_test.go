package rules

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

var figures = Figures{Bare: 5000, Grace: 3000, ColdFrom: 0.2, Cold: 10000, Multiple: 4, Fall: 3000, LinesPerS: 1000, Head: 5,
	MostWaiting: 1000, MessagesMost: 3, MessagesOver: 10000, Once: map[string]bool{"finish": true}}

const two = `{"tables":{"finish":{"hosts":{"x":1,"y":1}}}}`

// day is a plain one: hosts x and y, a proxy with both, a transaction to each.
func day() *Journal {
	j := NewJournal()
	j.Capacity("x", 4)
	j.Capacity("y", 4)
	j.Gave(0, map[string]Listed{"x": {Ready: true}, "y": {Ready: true}})
	j.Answered(100, "p", "s", 200, "1", "", "", []byte(two))
	j.Arrived(200, "x", "p", "finish", "t1", 50, true)
	j.Arrived(300, "y", "p", "finish", "t2", 50, true)
	return j
}

// A steward that breaks a rule is found out by what passes on the sockets, and by that rule alone.
func TestBrokenOnPurpose(t *testing.T) {
	cases := []struct {
		name string
		do   func(j *Journal)
	}{
		{"a good day", func(j *Journal) {}},
		{"an empty table for 6 s", func(j *Journal) {
			j.Answered(1000, "p", "s", 226, "2", "1", "1", []byte(`{"tables":{"finish":{"hosts":{"x":null,"y":null}}}}`))
			j.Answered(7000, "p", "s", 200, "3", "", "2", []byte(two))
		}},
		{"the same while the way to the steward was broken", func(j *Journal) {
			j.Answered(1000, "p", "s", 200, "2", "", "1", []byte(`{"tables":{"finish":{"hosts":{}}}}`))
			j.Answered(1100, "p", "s", 0, "", "", "", nil)
			j.Answered(9000, "p", "s", 200, "3", "", "2", []byte(two))
		}},
		{"an effect twice", func(j *Journal) { j.Arrived(400, "y", "p", "finish", "t1", 50, true) }},
		{"a repeat that the host dropped", func(j *Journal) { j.Arrived(400, "x", "p", "finish", "t1", 50, false) }},
		{"a drain not kept", func(j *Journal) {
			j.Gave(1000, map[string]Listed{"x": {Ready: true}, "y": {}})
			j.Arrived(4500, "y", "p", "sheet", "t3", 50, true)
		}},
		{"a removal kept just in time", func(j *Journal) {
			j.Gave(1000, map[string]Listed{"x": {Ready: true}})
			j.Arrived(3900, "y", "p", "sheet", "t3", 50, true)
		}},
		{"a cold host pushed over", func(j *Journal) {
			j.Gave(1000, map[string]Listed{"x": {Ready: true}, "y": {Ready: true, Started: 900}})
			j.Answered(1100, "p", "s", 226, "2", "1", "1", []byte(`{"tables":{"finish":{"hosts":{"y":2}}}}`))
			for i := range 300 {
				j.Arrived(1200+float64(i), "y", "p", "sheet", fmt.Sprint("c", i), 50, true)
			}
		}},
		{"the same by a proxy that could not know", func(j *Journal) {
			j.Gave(1000, map[string]Listed{"x": {Ready: true}, "y": {Ready: true, Started: 900}})
			for i := range 300 {
				j.Arrived(1200+float64(i), "y", "p", "sheet", fmt.Sprint("c", i), 50, true)
			}
		}},
		{"too many messages", func(j *Journal) {
			for i := range 4 {
				j.Answered(1000+float64(i)*1000, "p", "s", 200, fmt.Sprint(i+2), "", "", []byte(two))
			}
		}},
		{"too many lines in one stretch", func(j *Journal) {
			for i := range 150 {
				j.Answered(1000+float64(i), fmt.Sprint("q", i), "s", 200, "1", "", "", []byte(two))
			}
		}},
		{"the same where the steward says that few waited", func(j *Journal) {
			for i := range 150 {
				j.Answered(1000+float64(i), fmt.Sprint("q", i), "s", 200, "1", "", "", []byte(two))
			}
			j.Waited("s", 40)
		}},
		{"the same where it says that many did", func(j *Journal) {
			for i := range 150 {
				j.Answered(1000+float64(i), fmt.Sprint("q", i), "s", 200, "1", "", "", []byte(two))
			}
			j.Waited("s", 1e6)
		}},
		{"a delta onto another base", func(j *Journal) { j.Answered(1000, "p", "s", 226, "3", "2", "1", []byte(`{}`)) }},
	}
	var now strings.Builder
	for _, c := range cases {
		j := day()
		c.do(j)
		fmt.Fprintln(&now, c.name)
		for _, v := range j.Check(figures, 10000) {
			if !v.Kept || v.Margin < 0.1 {
				fmt.Fprintf(&now, "    kept %v: %s, margin %.2f: %s\n", v.Kept, v.Rule, v.Margin, v.Seen)
			}
		}
	}
	golden.Compare(t, "broken", now.String())
}
