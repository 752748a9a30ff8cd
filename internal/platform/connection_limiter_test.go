package platform

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// fillNode runs a node with as many proxy sessions as it has descriptors for; all but the first have acknowledged
// their version stamp.
func fillNode(t *testing.T) (node *Node, address string, proxies []*peer) {
	t.Helper()
	discovery, _ := startDiscovery(t, hostOne)
	config := newTestConfig(t, discovery, 10)
	*config.Settings.FamilyInfo.DataPlaneSize = 1000
	node, address = startNode(t, config)
	for number := range node.connections.limit {
		client := dial(t, address, fmt.Sprintf("SUBSCRIBE proxy %d zone a weight 1 fresh 1", number))
		update := client.read()
		_, stamp, found := strings.Cut(update, "stamp ")
		if !found {
			t.Fatalf("proxy %d read %q", number, update)
		}
		if number > 0 {
			client.send(fmt.Sprintf("ACK proxy %d mark %s took_ms 1", number, stamp))
			client.send("PING")
			for answer := ""; answer != "PONG"; { // updates may come before it, since other proxies connect
				answer = client.read()
				if !strings.HasPrefix(answer, "CONFIG ") && answer != "PONG" {
					t.Fatalf("proxy %d read %q", number, answer)
				}
			}
		}
		proxies = append(proxies, client)
	}
	return node, address, proxies
}

// expectSnapshot reads an update that must bring the table of hostOne.
func expectSnapshot(t *testing.T, client *peer) {
	t.Helper()
	if update := client.read(); !strings.HasPrefix(update, "CONFIG replace 1 rows s-1:1") {
		t.Errorf("read %q", update)
	}
}

// Sessions hold all descriptors: a newcomer is closed at once, and admitted as soon as a session has ended. The
// endpoint list is called meanwhile, also at another address.
func TestSessionsHoldAllDescriptors(t *testing.T) {
	node, address, proxies := fillNode(t)
	late := dial(t, address, "SUBSCRIBE proxy 900 zone a weight 1 fresh 1")
	if !late.closedByNode() {
		t.Error("a connection is neither rejected nor served")
	}
	discovery := listen(t)
	node.watcher.setAddress(discovery.Addr().String())
	_, call := acceptRequest(t, discovery)
	writeResponse(t, call, endpointList(8, true, hostOne))
	mustClose(t, proxies[1])
	waitUntil(t, node, func() bool { return node.sessions.active[1] == nil })
	expectSnapshot(t, dial(t, address, "SUBSCRIBE proxy 901 zone a weight 1 fresh 1"))
}

// The connection of an unresponsive session is closed as soon as another connection needs its descriptor.
func TestUnresponsiveSessionEvicted(t *testing.T) {
	node, address, proxies := fillNode(t)
	found := callInEventLoop(t, node, func() bool {
		node.lastMaintenanceMs = 0
		node.maintain(node.clock.Now() + unresponsiveRetentionMs/2)
		return len(node.sessions.unresponsive) == 1 && node.sessions.unresponsive[0] != nil
	})
	if !found {
		t.Fatal("the session that left its stamp unacknowledged does not count as unresponsive")
	}
	expectSnapshot(t, dial(t, address, "SUBSCRIBE proxy 901 zone a weight 1 fresh 1"))
	if !proxies[0].closedByNode() {
		t.Error("the unresponsive session goes on")
	}
}

// limiterRun admits connections, each of which a goroutine releases once it is closed.
type limiterRun struct {
	t          *testing.T
	limiter    *connectionLimiter
	goroutines sync.WaitGroup
	admitted   []*connection
}

// fillLimiter makes a limiter whose descriptors are all held by unidentified connections.
func fillLimiter(t *testing.T) *limiterRun {
	t.Helper()
	run := &limiterRun{t: t, limiter: newConnectionLimiter(minUnidentifiedLimit)}
	for range minUnidentifiedLimit {
		if !run.admit() {
			t.Fatal("a connection is rejected though there is room")
		}
	}
	return run
}

func (r *limiterRun) admit() bool {
	r.t.Helper()
	conn, _ := newPipeConnection(r.t, &r.goroutines)
	if !r.limiter.admit(context.Background(), conn) {
		return false
	}
	r.goroutines.Go(func() {
		_, _ = conn.Read(make([]byte, 1)) // any error is the end
		r.limiter.release(conn)
	})
	r.admitted = append(r.admitted, conn)
	return true
}

// close ends all connections, and waits for their goroutines.
func (r *limiterRun) close() {
	r.limiter.close()
	r.goroutines.Wait()
}

// Where unidentified connections hold all descriptors, a newcomer waits until the oldest has had its time, and takes
// its place.
func TestUnidentifiedConnectionEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := fillLimiter(t)
		defer run.close()
		began := time.Now()
		if !run.admit() {
			t.Error("a connection is rejected though unidentified ones could give way")
		}
		if waited := time.Since(began); waited != minUnidentifiedTime {
			t.Errorf("the oldest unidentified connection is evicted after %v", waited)
		}
		if !run.admitted[0].closed || run.admitted[1].closed {
			t.Error("it is not the oldest connection that is evicted")
		}
	})
}

// Where active sessions hold all descriptors, a newcomer is rejected at once, until one becomes unresponsive.
func TestConnectionRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := fillLimiter(t)
		for _, conn := range run.admitted {
			run.limiter.markActive(conn)
		}
		if run.admit() {
			t.Error("a connection is admitted though sessions in use hold all descriptors")
		}
		run.limiter.markUnresponsive(run.admitted[3])
		if !run.admit() || !run.admitted[3].closed {
			t.Error("an unresponsive session does not give way")
		}
		run.close()
		if run.admit() {
			t.Error("a closed limiter admits a connection")
		}
	})
}

// A newcomer that waits for room gives up with its context.
func TestAdmissionCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := fillLimiter(t)
		defer run.close()
		const timeout = minUnidentifiedTime / 2
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		late, _ := newPipeConnection(t, &run.goroutines)
		began := time.Now()
		if run.limiter.admit(ctx, late) || time.Since(began) != timeout {
			t.Errorf("admission ends after %v", time.Since(began))
		}
	})
}
