package controller

import (
	"math"
	"slices"
	"testing"

	"barleysail/guard"
	"barleysail/routing"
)

// Subset tables are summed by zone, in proportion to the request rates of their proxies. A subset table without a ready
// host also has a route of its own.
func TestRoutesOfSubsetTables(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	list := h.readyEndpoints(4)
	list[2].State = routing.Draining
	h.mustSetEndpoints(list)
	for i, proxy := range []string{"p", "empty", "q"} {
		h.poll(PollRequest{Proxy: proxy, Zone: []string{"a", "a", "b"}[i], WaitMs: 60000})
	}
	h.advance(1000)
	h.deployment.Proxies = 3
	writer := updateWriter{h.Controller}
	assignSubset := func(proxy string, rates []float64, weights map[string]float64) {
		session := h.sessions.byProxy[proxy]
		number := h.balancer.SubsetTable(session.index)
		for host, weight := range weights {
			writer.SetWeight(number, h.hostIndex.IndexOf[host], weight)
		}
		writer.AssignTable(session.index, number, 0)
		copy(session.requestRates, rates)
	}
	assignSubset("p", []float64{10, 20}, map[string]float64{hostName(0): 1, hostName(1): 3})
	assignSubset("empty", []float64{2, 0}, map[string]float64{hostName(2): 1})
	copy(h.sessions.byProxy["q"].requestRates, []float64{5, 0})

	h.sumRoutes(h.refreshValidatedHosts())

	if !h.validation.hasSubsetTables || len(h.validation.sharedTables) != 1 {
		t.Fatalf("has subset tables %v, shared tables %v, want subset tables and one shared table",
			h.validation.hasSubsetTables, h.validation.sharedTables)
	}
	demand := func(class, zone string, work float64) guard.Demand {
		return guard.Demand{Class: class, Zone: zone, Work: work}
	}
	want := []guard.Route{
		{Demands: []guard.Demand{demand("sheet", "b", 1), demand("finish", "b", 0)}},
		{
			Demands:  []guard.Demand{demand("sheet", "a", 2.4), demand("finish", "a", 2)},
			Decided:  []float64{7.5, 22.5, 2, 0},
			ReadOnly: true,
		},
		{
			Demands:  []guard.Demand{demand("sheet", "a", 0), demand("finish", "a", 0)},
			Decided:  []float64{0, 0, 0, 0},
			ReadOnly: true,
		},
	}
	if len(h.validation.routes) != len(want) {
		t.Fatalf("%d routes, want %d: %+v", len(h.validation.routes), len(want), h.validation.routes)
	}
	for i, route := range h.validation.routes {
		checkRoute(t, i, route, want[i])
	}
}

// checkRoute compares a route with the wanted one, and its figures within the tolerance.
func checkRoute(t *testing.T, number int, got, want guard.Route) {
	t.Helper()
	const tolerance = 1e-6
	if got.ReadOnly != want.ReadOnly || len(got.Demands) != len(want.Demands) || len(got.Decided) != len(want.Decided) {
		t.Fatalf("route %d is %+v, want %+v", number, got, want)
	}
	for i, demand := range got.Demands {
		wanted := want.Demands[i]
		if demand.Class != wanted.Class || demand.Zone != wanted.Zone || math.Abs(demand.Work-wanted.Work) > tolerance {
			t.Errorf("route %d has the demand %+v, want %+v", number, demand, wanted)
		}
	}
	for host, weight := range got.Decided {
		if math.Abs(weight-want.Decided[host]) > tolerance {
			t.Errorf("route %d has the weight %g of host %d, want %g", number, weight, host, want.Decided[host])
		}
	}
}

// A proxy may use a subset table for some classes only: the route of its zone's subset tables has that table's weights.
func TestRoutesOfFallbackSubsetTable(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.mustSetEndpoints(h.readyEndpoints(2))
	h.poll(PollRequest{Proxy: "p", Zone: "a", WaitMs: 60000})
	h.advance(1000)
	h.deployment.Proxies = 1
	const fallbackClasses = 1 << 1
	session := h.sessions.byProxy["p"]
	number := h.balancer.SubsetTable(session.index)
	writer := updateWriter{h.Controller}
	writer.SetWeight(number, h.hostIndex.IndexOf[hostName(1)], 1)
	writer.AssignTable(session.index, number, fallbackClasses)
	copy(session.requestRates, []float64{10, 20})

	h.sumRoutes(h.refreshValidatedHosts())

	if len(h.validation.routes) != 2 || !h.validation.hasSubsetTables {
		t.Fatalf("got %d routes, has subset tables %v, want a shared and a subset table's",
			len(h.validation.routes), h.validation.hasSubsetTables)
	}
	checkRoute(t, 1, h.validation.routes[1], guard.Route{
		Demands:  []guard.Demand{{Class: "finish", Zone: "a", Work: 2}},
		Decided:  []float64{0, 30},
		ReadOnly: true,
	})
}

// The same subset table gives the same sum to the last bit, whatever the order of its map.
func TestSubsetTableSumIsDeterministic(t *testing.T) {
	const hosts = 12
	weights := map[int]float64{}
	ready := make([]guard.Host, hosts)
	for host := range hosts {
		weights[host] = 1 / float64(3*host+1)
	}
	sumOnce := func() []float64 {
		sum := make([]float64, hosts)
		addSubsetTable(sum, weights, 10, ready)
		return sum
	}
	want := sumOnce()
	for range 100 {
		if got := sumOnce(); !slices.Equal(got, want) {
			t.Fatalf("the sum is %v, want the same as before, %v", got, want)
		}
	}
}
