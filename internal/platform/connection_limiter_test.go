package platform

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

// full runs a node with as many proxies joined as it has descriptors for; all but the first have answered their mark.
func full(t *testing.T) (n *Node, address string, joined []*peer) {
	t.Helper()
	lists, _ := listing(t, oneHost)
	c := config(t, lists, 10)
	*c.Settings.FamilyInfo.DataPlaneSize = 1000
	n = run(t, c)
	for p := range n.connections.limit {
		s := dial(t, c.Listen, fmt.Sprintf("SUBSCRIBE proxy %d zone a weight 1 fresh 1", p))
		told := s.hear()
		if at := strings.LastIndex(told, "stamp "); at < 0 {
			t.Fatalf("proxy %d heard %q", p, told)
		} else if p > 0 {
			s.say(fmt.Sprintf("ACK proxy %d mark %s took_ms 1", p, told[at+len("stamp "):]))
			s.say("PING")
			for s.hear() != "PONG" { // until then more may be told: others join
			}
		}
		joined = append(joined, s)
	}
	return n, c.Listen, joined
}

// Streams hold all descriptors: who comes then is told so at once by a close, and taken in as soon as one has left. The list is
// called meanwhile, also at another address.
func TestDescriptorsEnd(t *testing.T) {
	n, at, joined := full(t)
	if late := dial(t, at, "SUBSCRIBE proxy 900 zone a weight 1 fresh 1"); !late.ended() {
		t.Error("a connection is neither refused nor served")
	}
	moved := open(t)
	n.watcher.setAddress(moved.Addr().String())
	answer(held(t, moved), members(8, true, oneHost))
	joined[1].Close()
	for !ask(n, func() bool { return n.sessions[1] == nil }) {
		runtime.Gosched()
	}
	if told := dial(t, at, "SUBSCRIBE proxy 901 zone a weight 1 fresh 1").hear(); !strings.HasPrefix(told, "CONFIG replace 1 rows s-1:1") {
		t.Errorf("in place of one that left it heard %q", told)
	}
}

// A stream that fell silent is kept only while nobody needs its descriptor.
func TestSilentStreamGivesWay(t *testing.T) {
	n, at, joined := full(t)
	if !ask(n, func() bool {
		n.lastSessionCheckMs = 0
		n.expireUnresponsive(n.clock.Now() + unresponsiveRetentionMs/2)
		return len(n.unresponsive) == 1 && n.unresponsive[0] != nil
	}) {
		t.Fatal("the stream that left its mark unanswered does not count as silent")
	}
	if told := dial(t, at, "SUBSCRIBE proxy 901 zone a weight 1 fresh 1").hear(); !strings.HasPrefix(told, "CONFIG replace 1 rows s-1:1") {
		t.Errorf("in place of a silent one it heard %q", told)
	}
	if !joined[0].ended() {
		t.Error("the silent stream goes on")
	}
}

// A node ends at once whatever it is in: streams that stand, one in the middle of a joining, one that says nothing, a health check
// and a watch that wait for their answers. Nothing that it started goes on.
func TestEnd(t *testing.T) {
	hosts, lists := open(t), open(t)
	c := config(t, lists.Addr().String(), 0)
	c.Settings.Limits.MayProbe = true
	c.HealthCheckTimeout = most
	c.KnownEndpoints.Instances[0].HostPort = hosts.Addr().String()
	n, err := New(c, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	joined := dial(t, c.Listen, subscribe)
	joined.want(firstTold)
	half := dial(t, c.Listen, "PING")
	half.want("PONG")
	half.Write([]byte("*2\r\n$9\r\nSUBSC"))
	dial(t, c.Listen, "PING").want("PONG")
	held(t, hosts)
	held(t, lists)
	cancel()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(most):
		t.Fatal("it does not end")
	}
	stacks := make([]byte, 1<<20)
	stacks = stacks[:runtime.Stack(stacks, true)]
	for _, g := range strings.Split(string(stacks), "\n\n") {
		if strings.Contains(g, "platform.(*Node)") || strings.Contains(g, "platform.(*watcher)") || strings.Contains(g, "platform.(*stream)") {
			t.Errorf("goes on after the end:\n%s", g)
		}
	}
	if c, err := net.Dial("tcp", c.Listen); err == nil {
		c.Close()
		t.Error("it still takes connections")
	}
}
