package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"barleysail/internal/fake"
)

// idleRate is the rate of a fake proxy, in requests per second, that is low enough for no request during a test.
const idleRate = 1e-6

// startSocketProxies starts fake proxies that are configured by their runtime sockets and have an outdated server at
// the start. It returns them with the configuration of their drivers. The proxies end with the test.
func startSocketProxies(t testing.TB, count int) (proxies []*fake.Proxy, drivers string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		awaitGroup(t, "the end of the proxies", waitLimit, &running)
	})
	for i := range count {
		proxy, err := fake.NewProxy(fake.ProxySettings{
			Name:          fmt.Sprint("s", i),
			Zone:          "a",
			RuntimeSocket: true,
			FallbackHosts: []string{"10.9.9.9:80"},
			Traffic: []fake.Traffic{
				{Class: "sheet", RequestsPerSecond: idleRate},
				{Class: "finish", RequestsPerSecond: idleRate},
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() { proxy.Run(ctx) })
		proxies = append(proxies, proxy)
		drivers += fmt.Sprintf(` sockets { proxy: "s%d" zone: "a" address: %q }`, i, proxy.SocketAddress())
	}
	return proxies, drivers
}

// defaultWeights holds the weights of the hosts of twoHosts in a proxy's configuration.
var defaultWeights = map[string]int{"10.0.0.1:80": 256, "10.0.0.2:80": 128}

// hasWeights reports whether a proxy's active servers are exactly the wanted ones, with their weights, for both request
// classes.
func hasWeights(proxy *fake.Proxy, want map[string]int) bool {
	count := 0
	for _, server := range proxy.ServerStates() {
		if server.AdminState != 0 {
			continue
		}
		if want[server.Server] != server.Weight {
			return false
		}
		count++
	}
	return count == 2*len(want)
}

// acknowledged reports whether a proxy has acknowledged its newest tables.
func (d *testDaemon) acknowledged(name string) bool {
	for _, proxy := range d.Operators().Proxies() {
		if proxy.Proxy == name {
			return proxy.Acked
		}
	}
	return false
}

// The driver brings a proxy that starts with an outdated server to the published tables, and the proxy acknowledges
// them. The driver restores the tables after another program has changed them, and after the proxy has restarted during
// a slow change.
func TestSocketProxy(t *testing.T) {
	proxies, drivers := startSocketProxies(t, 1)
	d := startDaemon(t, drivers+" fleet { period_ms: 50 } guard { grace_ms: 300 }")
	proxy := proxies[0]
	eventually(t, "the tables", func() bool { return hasWeights(proxy, defaultWeights) && d.acknowledged("s0") })
	eventually(t, "the old server to be removed", func() bool { return !hasServer(proxy, "10.9.9.9:80") })

	sendToProxy(t, proxy, "set weight sheet/10.0.0.1:80 3;set server finish/10.0.0.2:80 state maint\n")
	if hasWeights(proxy, defaultWeights) {
		t.Fatal("the fake proxy was not changed")
	}
	eventually(t, "the change to be undone", func() bool { return hasWeights(proxy, defaultWeights) })
	if !strings.Contains(d.log.String(), "were changed by another client of the runtime socket") {
		t.Error("the log does not mention the change by another program")
	}

	proxy.SetSocketDelay(20 * time.Millisecond)
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "b" weight: 0.5 }
hosts { address: "10.0.0.3:80" zone: "b" started_unix_ms: 1 }
hosts { address: "10.0.0.4:80" zone: "b" started_unix_ms: 1 }
hosts { address: "10.0.0.5:80" zone: "b" started_unix_ms: 1 }`)
	eventually(t, "the change to begin", func() bool { return len(proxy.ServerStates()) > 6 })
	proxy.RestartWithInitialConfig() // during the change
	fiveHosts := map[string]int{
		"10.0.0.1:80": 256, "10.0.0.2:80": 128, "10.0.0.3:80": 256, "10.0.0.4:80": 256, "10.0.0.5:80": 256}
	eventually(t, "the tables after the restart", func() bool {
		return hasWeights(proxy, fiveHosts) && d.acknowledged("s0")
	})
}

func hasServer(proxy *fake.Proxy, name string) bool {
	for _, server := range proxy.ServerStates() {
		if server.Server == name {
			return true
		}
	}
	return false
}

// sendToProxy sends commands to a proxy's runtime socket and waits for their output.
func sendToProxy(t *testing.T, proxy *fake.Proxy, commands string) {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.SocketAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer closeOrFail(t, conn)
	if err := conn.SetDeadline(time.Now().Add(waitLimit)); err != nil {
		t.Fatal(err)
	}
	writeOrFail(t, conn, commands)
	if output, err := io.ReadAll(conn); err != nil {
		t.Fatalf("reading the output of %q: %v after %q", commands, err, output)
	}
}

// If two controllers have a driver for the same proxy, only one of them programs it. When that one is killed the other
// takes over.
func TestSocketDriverFailover(t *testing.T) {
	proxies, drivers := startSocketProxies(t, 1)
	more := drivers + " fleet { period_ms: 50 stewards: 2 }"
	first := startDaemon(t, more)
	eventually(t, "the first to program the proxy", func() bool { return first.acknowledged("s0") })
	second := startDaemon(t, more)
	// Wait for eight periods, in which the second must not program the proxy.
	time.Sleep(400 * time.Millisecond)
	if sessions := second.Operators().Proxies(); len(sessions) != 0 || !first.acknowledged("s0") {
		t.Errorf("got sessions %+v at the second controller, want none, and the proxy connected to the first", sessions)
	}
	first.Kill()
	eventually(t, "the second to take over", func() bool {
		return second.acknowledged("s0") && hasWeights(proxies[0], defaultWeights)
	})
}

// acceptSilently accepts connections and never responds, until the end of the test.
func acceptSilently(t *testing.T) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var accepting sync.WaitGroup
	accepting.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				if !errors.Is(err, net.ErrClosed) {
					t.Errorf("accepting: %v", err)
				}
				return
			}
			defer closeOrFail(t, conn)
		}
	})
	t.Cleanup(func() {
		closeOrFail(t, listener)
		awaitGroup(t, "the end of the listener", waitLimit, &accepting)
	})
	return listener.Addr().String()
}

// A proxy whose socket accepts commands and never responds does not delay other proxies.
func TestUnresponsiveSocket(t *testing.T) {
	address := acceptSilently(t)
	proxies, drivers := startSocketProxies(t, 1)
	d := startDaemon(t, drivers+fmt.Sprintf(
		` sockets { proxy: "mute" zone: "a" address: %q } fleet { period_ms: 50 }`, address))
	eventually(t, "the other proxy's tables", func() bool {
		return hasWeights(proxies[0], defaultWeights) && d.acknowledged("s0")
	})
	eventually(t, "the timeout to be logged", func() bool {
		return strings.Contains(d.log.String(), `proxy mute: runtime socket failed, reconnecting: waiting for the response`)
	})
	if result := d.get("/v1/proxies"); strings.Contains(result.body, "mute") {
		t.Errorf("got the unresponsive proxy among the connected ones: %s", result.body)
	}
}

// Many proxies restart and reconnect at once, and all get their tables.
func TestManySocketsReconnect(t *testing.T) {
	count := 500
	if testing.Short() {
		count = 50
	}
	proxies, drivers := startSocketProxies(t, count)
	d := startDaemon(t, drivers+" fleet { period_ms: 1000 proxies: 500 } polls { leave_after_ms: 300 }")
	ready := func() bool {
		for _, proxy := range proxies {
			if !hasWeights(proxy, defaultWeights) {
				return false
			}
		}
		return len(d.Operators().Proxies()) == count
	}
	eventually(t, "all proxies to have their tables", ready)
	for _, proxy := range proxies {
		proxy.Disconnect(600 * time.Millisecond)
		proxy.RestartWithInitialConfig()
	}
	eventually(t, "a proxy to be disconnected", func() bool { return len(d.Operators().Proxies()) < count })
	eventually(t, "all proxies to have their tables again", ready)
}
