package platform

import (
	"fmt"
	"strings"
	"testing"

	"barleysail/internal/golden"
)

// An event with any malformed entry is rejected: without its malformed entries, a snapshot would remove their hosts.
func TestMalformedWatchEvent(t *testing.T) {
	node := newIdleNode(t)
	var trace strings.Builder
	for _, change := range []struct{ old, replacement string }{
		{"", ""},
		{`"s-1"`, `""`},
		{"Ready", "Steady"},
		{"1.0", "-1"},
		{`"a"`, `"z"`},
		{"127.0.0.1:1", "nowhere"},
		{"Ready", "Gone"},
		{`"startedAtMs":0`, `"startedAtMs":-5`},
		{`"a"`, `7`},
	} {
		host := strings.Replace(hostOne, change.old, change.replacement, 1)
		event, err := decodeWatchEvent([]byte(endpointList(2, true, host)))
		if err == nil {
			err = event.validate(node.balancer.ZoneIndex)
		}
		fmt.Fprintf(&trace, "%s replaced by %s: %v\n", change.old, change.replacement, err)
	}
	golden.CompareForTest(t, trace.String())
}

// A removed host is kept for removedHostRetentionMs. Then it is forgotten, and its index is used for the next host.
func TestReplacedHosts(t *testing.T) {
	node := newIdleNode(t)
	for i := range 50 {
		name := fmt.Sprintf("s-%d", i)
		ready := endpointEntry{Name: name, Address: "127.0.0.1:1", Zone: "a", Lifecycle: "Ready", Weight: 1}
		removed := endpointEntry{Name: name, Lifecycle: "Gone"}
		node.applyWatchEvent(watchEvent{Endpoints: []endpointEntry{ready}}, false)
		node.applyWatchEvent(watchEvent{Endpoints: []endpointEntry{removed}}, false)
		node.releaseRemovedHosts(node.clock.Now())
		if _, known := node.balancer.LookupHost(name); !known {
			t.Fatalf("host %s is unknown right after its removal, want it kept", name)
		}
		node.releaseRemovedHosts(node.clock.Now() + removedHostRetentionMs + 1)
		_, known := node.balancer.LookupHost(name)
		kept := len(node.hosts.removedAtMs) + len(node.hosts.processes)
		if known || node.balancer.HostIndexCount() != 1 || kept > 0 {
			t.Fatalf("after the retention: host %s known %v, %d host indices, %d registry entries; want false, 1, 0",
				name, known, node.balancer.HostIndexCount(), kept)
		}
	}
}

// Hosts without a start time that are listed later than the known endpoints started long ago: a proxy that connects
// must not lose its hosts to a table that is empty until they count as warm.
func TestLaterHostsWithoutStartTime(t *testing.T) {
	replaced := endpointEntry{Name: "s-0", Address: "127.0.0.1:1", Zone: "a", Lifecycle: "Ready", Weight: 1}
	current := endpointEntry{Name: "s-1", Address: "127.0.0.1:1", Zone: "a", Lifecycle: "Ready", Weight: 1}
	for _, test := range []struct {
		name   string
		known  []endpointEntry
		events []watchEvent
	}{
		{"known hosts have all been replaced", []endpointEntry{replaced}, []watchEvent{
			{Snapshot: true, Endpoints: []endpointEntry{current}},
		}},
		{"the first snapshot is empty", nil, []watchEvent{
			{Snapshot: true},
			{Endpoints: []endpointEntry{current}},
		}},
		{"a later snapshot has other hosts", nil, []watchEvent{
			{Snapshot: true, Endpoints: []endpointEntry{replaced}},
			{Snapshot: true, Endpoints: []endpointEntry{current}},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			config := newTestConfig(t, noDiscovery, 0)
			config.knownEndpoints.Endpoints = test.known
			node, address := startNode(t, config)
			waitForRound(t, node)
			callInEventLoop(t, node, func() bool {
				for _, event := range test.events {
					node.applyWatchEvent(event, false)
				}
				return true
			})
			dial(t, address, subscribeProxy0).expect(firstSnapshot)
		})
	}
}
