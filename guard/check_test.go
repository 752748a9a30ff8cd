package guard

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/internal/golden"
)

// randomViews is the least number of random views that Check and Repair are tested on.
const randomViews = 10000

// viewCounts counts the random views: all, those with findings, and those that Repair leaves without findings.
type viewCounts struct{ all, invalid, repaired int }

// TestAgainstReference checks on random views that Check returns the findings of the reference, and that Repair returns
// valid rows unchanged, reports the findings that remain, and returns rows with the properties that it documents.
func TestAgainstReference(t *testing.T) {
	var counts viewCounts
	for counts.all < randomViews { // one rapid.Check draws about a hundred views
		rapid.Check(t, func(t *rapid.T) {
			view, limits := drawView(t)
			checkAgainstReference(t, view, limits, &counts)
		})
		if t.Failed() {
			return
		}
	}
	t.Logf("%d views, %d of them invalid, %d of these repaired", counts.all, counts.invalid, counts.repaired)
}

func checkAgainstReference(t *rapid.T, view *View, limits Limits, counts *viewCounts) {
	t.Helper()
	findings := Check(view, limits)
	got := strings.Join(findingLines(findings), "\n")
	want := strings.Join(referenceFindings(view, limits), "\n")
	if got != want {
		t.Fatalf("Check returns the findings\n%s\nwant those of the reference\n%s\nview %+v, limits %+v",
			got, want, view, limits)
	}
	counts.all++

	rows, remaining := Repair(view, limits)
	got = strings.Join(findingLines(remaining), "\n")
	want = strings.Join(referenceFindings(view.withDecided(rows), limits), "\n")
	if got != want {
		t.Fatalf("Repair reports the remaining findings\n%s\nwant those of the reference\n%s", got, want)
	}
	if len(findings) == 0 {
		if !sameRows(rows, view.decidedRows()) {
			t.Fatalf("Repair returns rows %v for a valid view, want the decided rows %v", rows, view.decidedRows())
		}
		return
	}
	counts.invalid++
	if len(remaining) == 0 {
		counts.repaired++
	}
	for i, row := range rows {
		checkRepairedRow(t, view, i, row)
	}
}

// findingLines lists findings in the form of referenceFindings.
func findingLines(findings []Finding) (lines []string) {
	for _, finding := range findings {
		lines = append(lines, finding.Check+": "+finding.Subject)
	}
	sort.Strings(lines)
	return lines
}

// sameRows reports whether rows are the same, where NaN is equal to NaN.
func sameRows(a, b [][]float64) bool { return fmt.Sprint(a) == fmt.Sprint(b) }

// TestEachCheck compares the findings of views that each break one check, and what Repair returns for them, with the
// golden file.
func TestEachCheck(t *testing.T) {
	tests := []struct {
		name   string // in the golden file
		change func(view *View, limits *Limits)
	}{
		{"valid", func(*View, *Limits) {}},
		{"a weight of NaN", func(view *View, _ *Limits) {
			view.Routes[0].Decided[0] = math.NaN()
		}},
		{"a ready host for one class, but none for the other one, which is zone-local", func(view *View, _ *Limits) {
			view.Routes[1].Demands[1].ZoneLocal = true
			view.Routes[1].Decided = []float64{1, 1, 0}
			view.Routes[1].Published = nil
		}},
		{"weight on a draining host only", func(view *View, limits *Limits) {
			view.Hosts[0].Ready = false
			view.Routes[0].Decided = []float64{1, 0, 0}
			limits.MaxTrafficShift = 0
		}},
		{"a host over its capacity", func(view *View, limits *Limits) {
			view.Hosts[2].Capacity = 0.5
			limits.MaxTrafficShift = 0
		}},
		{"a host over its capacity without the draining host", func(view *View, limits *Limits) {
			view.Hosts[0].Ready = false
			view.Hosts[2].Capacity = 1.2
			limits.MaxTrafficShift = 0
		}},
		{"a host over its slow-start limit", func(view *View, _ *Limits) {
			view.Hosts[1].SlowStartFactor = 0.2
			view.Hosts[1].SlowStartLimit = 0.7
		}},
		{"valid without the zone that carries the most load", func(view *View, limits *Limits) {
			view.Hosts[1].Capacity = 2.9
			view.Hosts[2].Capacity = 3.1
			limits.SurviveZoneLoss = true
		}},
		{"a host over its capacity without the zone that carries the most load", func(view *View, limits *Limits) {
			view.Hosts = append(view.Hosts, warmHost("v", "b", 1))
			for i := range view.Routes {
				view.Routes[i].Decided = []float64{1, 1, 1, 1}
				view.Routes[i].Published = nil
			}
			limits.SurviveZoneLoss = true
		}},
		{"too large a traffic shift", func(view *View, _ *Limits) {
			view.Routes[0].Decided = []float64{9, 0.5, 0.5}
		}},
		{"more demand than capacity, for which load must be shed: no finding", func(view *View, _ *Limits) {
			view.Routes[0].Demands[0].Work = 100
		}},
	}
	var out strings.Builder
	for _, test := range tests {
		view, limits := validView()
		test.change(view, &limits)
		fmt.Fprintln(&out, test.name)
		writeCheckAndRepair(&out, view, limits)
	}
	golden.Compare(t, "checks", out.String())
}

// validView returns a view without findings, of two routes over three hosts.
func validView() (*View, Limits) {
	view := &View{Hosts: []Host{warmHost("x", "a", 4), warmHost("y", "a", 4), warmHost("z", "b", 4)}}
	for _, zone := range []string{"a", "b"} {
		view.Routes = append(view.Routes, Route{
			Demands:   []Demand{{Class: "sheet", Zone: zone, Work: 1}, {Class: "finish", Zone: zone, Work: 0.5}},
			Published: []float64{1, 1, 1},
			Decided:   []float64{1, 1, 1},
		})
	}
	return view, Limits{CapacityMultiple: 1, MaxTrafficShift: 0.4}
}

// warmHost returns a host that is ready and has all of its capacity.
func warmHost(name, zone string, capacity float64) Host {
	return Host{Name: name, Zone: zone, Ready: true, SlowStartFactor: 1, Capacity: capacity}
}

func writeCheckAndRepair(out *strings.Builder, view *View, limits Limits) {
	for _, finding := range Check(view, limits) {
		fmt.Fprintln(out, "  "+finding.String())
	}
	rows, remaining := Repair(view, limits)
	if !sameRows(rows, view.decidedRows()) {
		fmt.Fprintf(out, "  repaired: %.3v\n", rows)
	}
	for _, finding := range remaining {
		fmt.Fprintln(out, "  remaining: "+finding.String())
	}
}
