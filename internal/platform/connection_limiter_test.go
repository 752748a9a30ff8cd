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

// fillNode runs a node and opens as many proxy sessions as its connection limit allows. All proxies but the first have
// acknowledged their version stamp.
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
			t.Fatalf("proxy %d read %q, want an update with a version stamp", number, update)
		}
		if number > 0 {
			client.send(fmt.Sprintf("ACK proxy %d mark %s took_ms 1", number, stamp))
			client.send("PING")
			for answer := ""; answer != "PONG"; { // updates may come before it, since other proxies connect
				answer = client.read()
				if !strings.HasPrefix(answer, "CONFIG ") && answer != "PONG" {
					t.Fatalf("proxy %d read %q, want an update or PONG", number, answer)
				}
			}
		}
		proxies = append(proxies, client)
	}
	return node, address, proxies
}

// expectSnapshot reads an update, which must be a snapshot with hostOne.
func expectSnapshot(t *testing.T, client *peer) {
	t.Helper()
	const want = "CONFIG replace 1 rows s-1:1"
	if update := client.read(); !strings.HasPrefix(update, want) {
		t.Errorf("read %q, want an update that begins with %q", update, want)
	}
}

// While active sessions hold all descriptors, a new connection is closed at once; after a session has ended, one is
// admitted. Meanwhile the node can still call for the endpoint list, even at a new address.
func TestSessionsHoldAllDescriptors(t *testing.T) {
	node, address, proxies := fillNode(t)
	late := dial(t, address, "SUBSCRIBE proxy 900 zone a weight 1 fresh 1")
	if !late.closedByNode() {
		t.Error("new connection stays open while sessions hold all descriptors, want it closed")
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
		t.Fatal("proxy 0, which left its stamp unacknowledged, is not the one unresponsive session")
	}
	expectSnapshot(t, dial(t, address, "SUBSCRIBE proxy 901 zone a weight 1 fresh 1"))
	if !proxies[0].closedByNode() {
		t.Error("connection of the unresponsive session stays open, want it closed")
	}
}

// limiterRun admits connections to a limiter. For each of them it runs a goroutine that releases the connection once it
// is closed.
type limiterRun struct {
	t          *testing.T
	limiter    *connectionLimiter
	goroutines sync.WaitGroup
	admitted   []*connection
}

// fillLimiter makes a limiter that has admitted as many unidentified connections as it may.
func fillLimiter(t *testing.T) *limiterRun {
	t.Helper()
	run := &limiterRun{t: t, limiter: newConnectionLimiter(minUnidentifiedLimit)}
	for range minUnidentifiedLimit {
		if !run.admit() {
			t.Fatal("connection below the limit rejected, want it admitted")
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
		_, _ = conn.Read(make([]byte, 1)) // returns once the connection is closed
		r.limiter.release(conn)
	})
	r.admitted = append(r.admitted, conn)
	return true
}

// close closes the limiter, and waits for the goroutines of its connections.
func (r *limiterRun) close() {
	r.limiter.close()
	r.goroutines.Wait()
}

// While unidentified connections hold all descriptors, a new connection waits until the oldest has been open for
// minUnidentifiedTime. The oldest is then evicted.
func TestUnidentifiedConnectionEvicted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := fillLimiter(t)
		defer run.close()
		began := time.Now()
		if !run.admit() {
			t.Error("connection rejected while unidentified ones can be evicted, want it admitted")
		}
		if waited := time.Since(began); waited != minUnidentifiedTime {
			t.Errorf("connection admitted after %v, want %v", waited, minUnidentifiedTime)
		}
		if first, second := run.admitted[0].closed, run.admitted[1].closed; !first || second {
			t.Errorf("closed: oldest connection %v, second oldest %v; want true, false", first, second)
		}
	})
}

// While active sessions hold all descriptors, a new connection is rejected. Once a session becomes unresponsive, it is
// evicted for the new connection.
func TestConnectionRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := fillLimiter(t)
		for _, conn := range run.admitted {
			run.limiter.markActive(conn)
		}
		if run.admit() {
			t.Error("connection admitted while active sessions hold all descriptors, want it rejected")
		}
		run.limiter.markUnresponsive(run.admitted[3])
		admitted := run.admit()
		if evicted := run.admitted[3].closed; !admitted || !evicted {
			t.Errorf("connection admitted %v, unresponsive session closed %v; want true, true", admitted, evicted)
		}
		run.close()
		if run.admit() {
			t.Error("closed limiter admitted a connection, want it rejected")
		}
	})
}

// A connection that waits for a descriptor is no longer admitted once the context has ended.
func TestAdmissionCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := fillLimiter(t)
		defer run.close()
		const timeout = minUnidentifiedTime / 2
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		late, _ := newPipeConnection(t, &run.goroutines)
		began := time.Now()
		if admitted, took := run.limiter.admit(ctx, late), time.Since(began); admitted || took != timeout {
			t.Errorf("admitted %v after %v, want false after %v", admitted, took, timeout)
		}
	})
}
