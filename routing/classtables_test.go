package routing

import (
	"slices"
	"testing"
)

// classRoutes records by which table the proxies route each request class.
type classRoutes struct {
	*Balancer
	weights  map[int]map[int]float64 // by table and host
	assigned map[classRoute]int      // table
}

// classRoute is a request class at a proxy.
type classRoute struct{ proxy, class int }

func (r *classRoutes) SetWeight(table, host int, weight float64) {
	if r.weights[table] == nil {
		r.weights[table] = map[int]float64{}
	}
	r.weights[table][host] = weight
}

func (r *classRoutes) AssignTable(proxy, table, classes int) {
	for class := range r.classes {
		if classes == 0 || classes>>class&1 == 1 {
			r.assigned[classRoute{proxy, class}] = table
		}
	}
}

func (r *classRoutes) SetAdmission(int, int, float64, int) {}
func (r *classRoutes) StampVersion(int)                    {}
func (r *classRoutes) CheckHealth(int)                     {}
func (r *classRoutes) ScheduleRound(float64)               {}
func (r *classRoutes) WatchEndpoints()                     {}
func (r *classRoutes) Log(Event)                           {}

// hasHost reports whether a proxy has a ready host for a request class.
func (r *classRoutes) hasHost(proxy, class int) bool {
	weights := r.weights[r.assigned[classRoute{proxy, class}]]
	return slices.ContainsFunc(r.hostOrder, func(host int) bool {
		return weights[host] > 0 && r.hosts[host].endpoint.state == Ready
	})
}

// runRounds runs rounds for a time, in which the proxies acknowledge every version at once. It returns the instant at
// which it stopped, and for how long a proxy had no host for a class.
func (r *classRoutes) runRounds(nowMs, durationMs float64, proxy, class int) (endMs, withoutHostMs float64) {
	for endMs = nowMs + durationMs; nowMs < endMs; {
		nowMs += stepMs
		for i := range r.proxies {
			r.Ack(i, r.publishing.version)
		}
		r.Round(nowMs, r)
		if !r.hasHost(proxy, class) {
			withoutHostMs += stepMs
		}
	}
	return endMs, withoutHostMs
}

// A zone loses all its hosts. One request class must stay in its zone, the other may leave it: the proxies of the zone
// must not be without a host for the other class while the hosts of the other zone are ready and warm, and they return
// to the hosts of their zone.
func TestClassMayLeaveLostZone(t *testing.T) {
	set := defaultSettings()
	const leavingClass, localClass = 0, 1
	set.classes[localClass].ZoneLocal = true
	r := &classRoutes{
		Balancer: set.newBalancer(4),
		weights:  map[int]map[int]float64{},
		assigned: map[classRoute]int{},
	}
	nowMs, _ := r.runRounds(0, 1000, 0, leavingClass)
	r.ObserveDelta()
	r.ObserveEndpoint(0, 0, Removed, 1, 0)
	r.ObserveEndpoint(2, 0, Removed, 1, 0)
	nowMs, withoutHostMs := r.runRounds(nowMs, 10000, 0, leavingClass)
	if withoutHostMs > set.limits.EmptyTableMs {
		t.Errorf("a proxy had no host for %.0f ms for a class that may leave its zone, want at most %.0f ms",
			withoutHostMs, set.limits.EmptyTableMs)
	}
	if r.hasHost(0, localClass) {
		t.Error("a proxy has a host for a class that must stay in its zone, want none: the zone has no host")
	}
	r.ObserveDelta()
	r.ObserveEndpoint(0, 0, Ready, 1, 0)
	r.runRounds(nowMs, 2000, 0, leavingClass)
	own := r.sharedTable(0)
	for class := range set.classes {
		if table := r.assigned[classRoute{0, class}]; table != own {
			t.Errorf("class %d is routed by table %d after the zone's return, want table %d", class, table, own)
		}
	}
}
