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
