package platform

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"barleysail/internal/golden"
)

// Half a list would take hosts for gone: one that holds anything malformed is refused whole.
func TestMalformedList(t *testing.T) {
	n := node(t)
	var now strings.Builder
	for _, change := range [][2]string{{"", ""}, {`"s-1"`, `""`}, {"Ready", "Steady"}, {"1.0", "-1"}, {`"a"`, `"z"`}, {"127.0.0.1:1", "nowhere"},
		{"Ready", "Gone"}, {`"startedAtMs":0`, `"startedAtMs":-5`}, {`"a"`, `7`}} {
		var l watchEvent
		err := json.Unmarshal([]byte(`{"generation":2,"reset":true,"instances":[`+strings.Replace(oneHost, change[0], change[1], 1)+`]}`), &l)
		if err == nil {
			err = l.validate(n.balancer.ZoneIndex)
		}
		fmt.Fprintf(&now, "%s for %s: %v\n", change[1], change[0], err)
	}
	golden.Trace(t, now.String())
}

// A host that is gone for long is forgotten and its index used again, however many come and go.
func TestReplacedHosts(t *testing.T) {
	n := node(t)
	for i := range 50 {
		id := fmt.Sprintf("s-%d", i)
		n.applyWatchEvent(watchEvent{Instances: []entry{{InstanceID: id, HostPort: "127.0.0.1:1", Zone: "a", Lifecycle: "Ready", Weight: 1}}}, false)
		n.applyWatchEvent(watchEvent{Instances: []entry{{InstanceID: id, Lifecycle: "Gone"}}}, false)
		n.releaseRemovedHosts(n.clock.Now())
		if _, known := n.balancer.LookupHost(id); !known {
			t.Fatalf("%s is forgotten at once", id)
		}
		n.releaseRemovedHosts(n.clock.Now() + removedHostRetentionMs + 1)
		if _, known := n.balancer.LookupHost(id); known || n.balancer.HostIndexCount() != 1 || len(n.removedHosts)+len(n.hosts) > 0 {
			t.Fatalf("%s is kept: %d hosts, %d gone, %d addresses", id, n.balancer.HostIndexCount(), len(n.removedHosts), len(n.hosts))
		}
	}
}

// A kind of fault is logged once in a while with its count, however often it comes.
func TestFaultLog(t *testing.T) {
	var out bytes.Buffer
	clock := time.Unix(0, 0)
	faults := newRateLimitedLog(zerolog.New(&out), func() time.Time { return clock })
	for range 1000 {
		faults.warn(droppedMessageText("LOAD"), errors.New("x"))
		faults.warn(droppedMessageText("WHATEVER"), nil)
		clock = clock.Add(10 * time.Millisecond)
	}
	golden.Trace(t, out.String())
}
