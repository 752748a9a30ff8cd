package platform

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
)

const (
	subscribe = "SUBSCRIBE proxy 0 zone a weight 1 fresh 1"
	firstTold = "CONFIG replace 1 rows s-1:1 gate 1 again 1 stamp 1"
)

// ask runs a question in the event loop, after all that was queued before.
func ask[T any](n *Node, question func() T) T {
	answer := make(chan T, 1)
	n.post(func() { answer <- question() })
	return <-answer
}

// The joining of a proxy's older connection is read after that of its newer one: the newer one stays the proxy's stream.
func TestOlderStreamJoinsLater(t *testing.T) {
	address, _ := listing(t, oneHost)
	n, at := serve(t, address, 0)
	older := dial(t, at, "PING")
	older.want("PONG") // it is accepted, and says no more until the newer one has joined
	newer := dial(t, at, subscribe)
	newer.want(firstTold)
	older.say(subscribe)
	if !older.ended() {
		t.Error("the older stream goes on")
	}
	newer.say("PING")
	newer.want("PONG")
	if !ask(n, func() bool { return n.sessions[0] != nil }) {
		t.Error("the proxy has no stream")
	}
}

// settle waits until a round that the module asked for has passed: it has decided on all that was queued before.
func settle(n *Node) {
	was := ask(n, func() float64 { return n.nextRoundMs })
	for ask(n, func() float64 { return n.nextRoundMs }) == was {
		time.Sleep(time.Millisecond)
	}
}

// A proxy joins before the steward knows of any host: it keeps the table that it holds until the list has come.
func TestJoinBeforeFirstList(t *testing.T) {
	lists := open(t)
	c := config(t, lists.Addr().String(), 0)
	c.KnownEndpoints.Instances = nil
	n := run(t, c)
	p := dial(t, c.Listen, subscribe)
	p.say("PING")
	p.want("PONG")
	settle(n)
	answer(held(t, lists), members(7, true, oneHost))
	p.want(firstTold)
}

// One malformed entry of the known list must not leave a steward that has just started with no host.
func TestKnownListWithMalformedEntry(t *testing.T) {
	c := config(t, "127.0.0.1:1", 0)
	c.KnownEndpoints.Instances = append([]entry{{InstanceID: "s-0", HostPort: "127.0.0.1:1", Zone: "nowhere", Lifecycle: "Ready"}}, c.KnownEndpoints.Instances...)
	at := c.Listen
	run(t, c)
	dial(t, at, subscribe).want(firstTold)
}

// How many health checks may go on at once follows from the descriptors, not from a known list that may be absent or short.
func TestChecksAtOnce(t *testing.T) {
	for _, sockets := range []int{0, 256, 1024, 4096} {
		c := config(t, "127.0.0.1:1", sockets)
		c.KnownEndpoints.Instances = nil
		n, err := New(c, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		if got := cap(n.healthCheckSlots); got < 16 {
			t.Errorf("with %d descriptors %d health checks may go on", sockets, got)
		}
	}
}

// A proxy that answers no mark but goes on speaking costs a bounded number of marks; an answer to the newest still counts.
func TestMarksNeverAnswered(t *testing.T) {
	s := &session{}
	for number := range 10 * maxUnacknowledged {
		s.recordStamp(number, float64(number))
	}
	if len(s.unacknowledged) != maxUnacknowledged || s.unacknowledged[len(s.unacknowledged)-1].number != 10*maxUnacknowledged-1 {
		t.Errorf("%d marks are kept, the last %v", len(s.unacknowledged), s.unacknowledged[len(s.unacknowledged)-1])
	}
}
