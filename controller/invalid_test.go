package controller

import (
	"errors"
	"math"
	"testing"

	"barleysail/routing"
)

// Invalid inputs are rejected with an error that names the field, and change nothing.
func TestInvalidInputs(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.mustSetEndpoints(h.readyEndpoints(2))
	for _, list := range invalidEndpointLists() {
		h.printf("list rejected: %v", h.SetEndpoints(h.nowMs, list))
	}
	h.printf("%d hosts", h.Status(h.nowMs).Hosts)
	for _, request := range []PollRequest{
		{Proxy: "", Zone: "a"},
		{Proxy: "a/b", Zone: "a"},
		{Proxy: "p", Zone: "c"},
		{Proxy: "p", RequestRate: -1},
		{Proxy: "p", RequestRate: math.NaN()},
	} {
		h.poll(request)
	}
	_, err := h.ObserveProxyStats(h.nowMs, "p", ProxyStats{Sequence: 1})
	h.printf("request stats of a proxy without a session: %v, is ErrNotConnected: %v",
		err, errors.Is(err, ErrNotConnected))
	h.poll(PollRequest{Proxy: "p", WaitMs: 30000})
	for _, stats := range invalidStats() {
		counted, err := h.ObserveProxyStats(h.nowMs, "p", stats)
		h.printf("request stats: counted %v, error %v", counted, err)
	}
	h.checkTrace()
}

func invalidEndpointLists() [][]Endpoint {
	return [][]Endpoint{
		{{Host: "nonsense", Zone: "a", State: routing.Ready}},
		{{Host: "10.0.0.1:0", Zone: "a", State: routing.Ready}},
		{{Host: "10.0.0.999:80", Zone: "a", State: routing.Ready}},
		{{Host: "10.0.0.1:99999", Zone: "a", State: routing.Ready}},
		{{Host: "a b:80", Zone: "a", State: routing.Ready}},
		{{Host: "box-1.addis:80", Zone: "c", State: routing.Ready}},
		{{Host: "[::1]:80", Zone: "a"}},
		{{Host: "h:1", Zone: "a", State: routing.Ready}, {Host: "h:1", Zone: "b", State: routing.Ready}},
		{{Host: "h:1", Zone: "a", State: routing.Ready, Weight: math.NaN()}},
		{{Host: "h:1", Zone: "a", State: routing.Ready, Weight: -1}},
		{{Host: "h:1", Zone: "a", State: routing.Ready, StartedMs: math.Inf(1)}},
	}
}

func invalidStats() []ProxyStats {
	ofHost := func(host string, stats HostStats) ProxyStats {
		return ProxyStats{Sequence: 1, Hosts: map[string]HostStats{host: stats}}
	}
	ofClass := func(class string, demand ClassDemand) ProxyStats {
		return ProxyStats{Sequence: 1, Demand: map[string]ClassDemand{class: demand}}
	}
	valid := HostStats{Attempts: 3, Failed: 1, MeanLatencyMs: 20, WindowMs: 1000, Load: routing.UnknownLoad}
	load := routing.UnknownLoad
	load.Utilization = math.NaN()
	return []ProxyStats{
		{Sequence: 0},
		ofHost("10.9.9.9:80", valid),
		ofHost(hostName(1), HostStats{Attempts: 1, Failed: 2, WindowMs: 1}),
		ofHost(hostName(0), HostStats{Attempts: -1, Failed: -1, WindowMs: 1}),
		ofHost(hostName(0), HostStats{Attempts: 1, MeanLatencyMs: math.Inf(1), WindowMs: 1}),
		ofHost(hostName(0), HostStats{Attempts: 1, MeanLatencyMs: 1}),
		ofHost(hostName(0), HostStats{Attempts: 1, MeanLatencyMs: 1, WindowMs: 1, Load: load}),
		ofClass("nothing", ClassDemand{Arrivals: 1, WindowMs: 1}),
		ofClass("sheet", ClassDemand{Arrivals: 1, NoResponse: 2, WindowMs: 1}),
	}
}
