package controller

import (
	"errors"
	"math"
	"testing"

	"barleysail/routing"
)

// Refused inputs leave everything as it was.
func TestInvalidInputs(t *testing.T) {
	d := newHarness(t, defaultTestSettings())
	d.mustSetEndpoints(d.readyEndpoints(2))
	for _, list := range [][]Endpoint{
		{{Host: "nonsense", Zone: "a", State: routing.Ready}}, {{Host: "10.0.0.1:0", Zone: "a", State: routing.Ready}},
		{{Host: "10.0.0.999:80", Zone: "a", State: routing.Ready}},
		{{Host: "10.0.0.1:99999", Zone: "a", State: routing.Ready}}, {{Host: "a b:80", Zone: "a", State: routing.Ready}},
		{{Host: "box-1.addis:80", Zone: "c", State: routing.Ready}}, {{Host: "[::1]:80", Zone: "a"}},
		{{Host: "h:1", Zone: "a", State: routing.Ready}, {Host: "h:1", Zone: "b", State: routing.Ready}},
		{{Host: "h:1", Zone: "a", State: routing.Ready, Weight: math.NaN()}}, {{Host: "h:1", Zone: "a", State: routing.Ready, Weight: -1}},
		{{Host: "h:1", Zone: "a", State: routing.Ready, StartedMs: math.Inf(1)}},
	} {
		d.printf("list refused: %v", d.SetEndpoints(d.nowMs, list))
	}
	d.printf("%d hosts", d.Status(d.nowMs).Hosts)
	for _, q := range []PollRequest{{Proxy: "", Zone: "a"}, {Proxy: "a/b", Zone: "a"}, {Proxy: "p", Zone: "c"}, {Proxy: "p", RequestRate: -1}, {Proxy: "p", RequestRate: math.NaN()}} {
		d.poll(q)
	}
	_, err := d.ObserveProxyStats(d.nowMs, "p", ProxyStats{Sequence: 1})
	d.printf("sums of a proxy that has not joined: %v, %v", err, errors.Is(err, ErrNotConnected))
	d.poll(PollRequest{Proxy: "p", WaitMs: 30000})
	load, good := routing.UnknownLoad, HostStats{Attempts: 3, Failed: 1, MeanLatencyMs: 20, WindowMs: 1000, Load: routing.UnknownLoad}
	load.Utilization = math.NaN()
	for _, u := range []ProxyStats{
		{Sequence: 0}, {Sequence: 1, Hosts: map[string]HostStats{"10.9.9.9:80": good}},
		{Sequence: 1, Hosts: map[string]HostStats{"10.0.0.1:80": {Attempts: 1, Failed: 2, WindowMs: 1}}},
		{Sequence: 1, Hosts: map[string]HostStats{"10.0.0.0:80": {Attempts: -1, Failed: -1, WindowMs: 1}}},
		{Sequence: 1, Hosts: map[string]HostStats{"10.0.0.0:80": {Attempts: 1, MeanLatencyMs: math.Inf(1), WindowMs: 1}}},
		{Sequence: 1, Hosts: map[string]HostStats{"10.0.0.0:80": {Attempts: 1, MeanLatencyMs: 1}}},
		{Sequence: 1, Hosts: map[string]HostStats{"10.0.0.0:80": {Attempts: 1, MeanLatencyMs: 1, WindowMs: 1, Load: load}}},
		{Sequence: 1, Demand: map[string]ClassDemand{"nothing": {Arrivals: 1, WindowMs: 1}}},
		{Sequence: 1, Demand: map[string]ClassDemand{"sheet": {Arrivals: 1, Unanswered: 2, WindowMs: 1}}},
	} {
		counted, err := d.ObserveProxyStats(d.nowMs, "p", u)
		d.printf("sums counted %v: %v", counted, err)
	}
	d.checkTrace()
}
