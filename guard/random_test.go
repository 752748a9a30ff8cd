package guard

import (
	"fmt"
	"math"

	"pgregory.net/rapid"
)

// drawView draws a view and limits: one route for all demands, or a route for each zone with a zone-local class, and
// sometimes one more route. Some routes are read-only. Loads are often near the limits.
func drawView(t *rapid.T) (*View, Limits) {
	view := &View{}
	limits := Limits{
		CapacityMultiple: rapid.SampledFrom([]float64{0, 1, 1.2}).Draw(t, "capacity multiple"),
		MaxTrafficShift:  rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(t, "max traffic shift"),
		SurviveZoneLoss:  rapid.Bool().Draw(t, "survive zone loss"),
	}
	for i := range rapid.IntRange(1, 7).Draw(t, "hosts") {
		view.Hosts = append(view.Hosts, drawHost(t, fmt.Sprint("h", i)))
	}
	if rapid.Bool().Draw(t, "zone-local") {
		for _, zone := range []string{"a", "b"} {
			view.Routes = append(view.Routes, drawRoute(t, len(view.Hosts),
				Demand{Class: "sheet", Zone: zone, ZoneLocal: true},
				Demand{Class: "finish", Zone: zone}))
		}
	} else {
		view.Routes = append(view.Routes, drawRoute(t, len(view.Hosts),
			Demand{Class: "sheet", Zone: "a"},
			Demand{Class: "finish", Zone: "a"},
			Demand{Class: "sheet", Zone: "b"},
			Demand{Class: "finish", Zone: "b"}))
	}
	if rapid.Bool().Draw(t, "one more route") {
		view.Routes = append(view.Routes, drawRoute(t, len(view.Hosts),
			Demand{Class: "sheet", Zone: "b"},
			Demand{Class: "finish", Zone: "b"}))
	}
	return view, limits
}

func drawHost(t *rapid.T, name string) Host {
	const unlistedOneIn = 10
	host := Host{
		Name:            name,
		Zone:            rapid.SampledFrom([]string{"a", "b"}).Draw(t, "zone"),
		Ready:           rapid.IntRange(0, 4).Draw(t, "ready") > 0,
		SlowStartFactor: rapid.SampledFrom([]float64{1, 1, 1, 0.3}).Draw(t, "slow-start factor"),
		Capacity:        rapid.SampledFrom([]float64{0, 2, 4}).Draw(t, "capacity"),
		SlowStartLimit:  rapid.SampledFrom([]float64{0, 0.5, 2}).Draw(t, "slow-start limit"),
	}
	if rapid.IntRange(0, unlistedOneIn-1).Draw(t, "listed") == 0 {
		return Host{Name: name} // in a table, but not on the endpoint list any more
	}
	return host
}

func drawRoute(t *rapid.T, hosts int, demands ...Demand) Route {
	for i := range demands {
		demands[i].Work = rapid.SampledFrom([]float64{0, 0.5, 2, 4}).Draw(t, "work")
	}
	route := Route{
		Demands:  demands,
		Decided:  drawWeights(t, hosts),
		ReadOnly: rapid.IntRange(0, 5).Draw(t, "read-only") == 0,
	}
	if rapid.Bool().Draw(t, "published") {
		route.Published = drawWeights(t, hosts)
	}
	return route
}

func drawWeights(t *rapid.T, hosts int) (row []float64) {
	weights := []float64{0, 0, 0.1, 1, 1, 3, 1, 1, math.NaN(), math.Inf(1), -1}
	for range hosts {
		row = append(row, rapid.SampledFrom(weights).Draw(t, "weight"))
	}
	return row
}
