package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"barleysail/internal/config"
	"barleysail/internal/fake"
	"barleysail/internal/haproxy"
)

// startSocketProxies makes proxies that are driven by sockets, with an old file of their own, and what a configuration says of them.
func startSocketProxies(t testing.TB, n int) (all []*fake.Forwarder, text string) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for i := range n {
		f, err := fake.NewForwarder(fake.ForwarderSettings{Name: fmt.Sprint("s", i), Zone: "a", Socket: true, Standing: []string{"10.9.9.9:80"},
			Traffic: []fake.Traffic{{Class: "sheet", Rate: 1e-6}, {Class: "finish", Rate: 1e-6}}})
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() { f.Run(ctx); close(done) }()
		t.Cleanup(func() { cancel(); <-done })
		all = append(all, f)
		text += fmt.Sprintf(` sockets { proxy: "s%d" zone: "a" address: %q }`, i, f.SocketAddress())
	}
	return all, text
}

// hasWeights tells whether a proxy's servers that take traffic are so many, with their weights as the list has them.
func hasWeights(f *fake.Forwarder, want map[string]int) bool {
	n := 0
	for _, s := range f.SocketState() {
		if s.Admin != 0 {
			continue
		}
		if want[s.Server] != s.Weight {
			return false
		}
		n++
	}
	return n == 2*len(want)
}

var defaultWeights = map[string]int{"10.0.0.1:80": 256, "10.0.0.2:80": 128}

func (d *testDaemon) acknowledged(proxy string) bool {
	for _, p := range d.Operators().Proxies() {
		if p.Proxy == proxy {
			return p.Acked
		}
	}
	return false
}

// A proxy that comes with its old file is brought to the tables and acknowledges; changed behind the steward's back,
// slow, and started anew in the middle it is brought back.
func TestSocketProxy(t *testing.T) {
	all, text := startSocketProxies(t, 1)
	d := startDaemon(t, text+" fleet { period_ms: 50 } guard { grace_ms: 300 }")
	f := all[0]
	eventually(t, "the tables", func() bool { return hasWeights(f, defaultWeights) && d.acknowledged("s0") })
	eventually(t, "the old server to go", func() bool {
		for _, s := range f.SocketState() {
			if s.Server == "10.9.9.9:80" {
				return false
			}
		}
		return true
	})
	c, err := net.Dial("tcp", f.SocketAddress())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, "set weight sheet/10.0.0.1:80 3;set server finish/10.0.0.2:80 state maint\n")
	io.ReadAll(c)
	if hasWeights(f, defaultWeights) {
		t.Fatal("the stand-in was not changed")
	}
	eventually(t, "what someone else changed to be put right", func() bool { return hasWeights(f, defaultWeights) })
	if !strings.Contains(d.log.String(), "changed by someone else") {
		t.Error("nothing is logged of it")
	}
	f.SocketSlow(20 * time.Millisecond)
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "b" weight: 0.5 } hosts { address: "10.0.0.3:80" zone: "b" started_unix_ms: 1 }
hosts { address: "10.0.0.4:80" zone: "b" started_unix_ms: 1 } hosts { address: "10.0.0.5:80" zone: "b" started_unix_ms: 1 }`)
	eventually(t, "the change to be under way", func() bool { return len(f.SocketState()) > 6 })
	f.SocketRestart() // in the middle of it
	more := map[string]int{"10.0.0.1:80": 256, "10.0.0.2:80": 128, "10.0.0.3:80": 256, "10.0.0.4:80": 256, "10.0.0.5:80": 256}
	eventually(t, "a proxy that started anew", func() bool { return hasWeights(f, more) && d.acknowledged("s0") })
}

// Of two stewards that are told of a proxy one drives it; when that one dies the other does.
func TestSocketDriverFailover(t *testing.T) {
	all, text := startSocketProxies(t, 1)
	more := text + " fleet { period_ms: 50 stewards: 2 }"
	one := startDaemon(t, more)
	eventually(t, "the first to drive it", func() bool { return one.acknowledged("s0") })
	two := startDaemon(t, more)
	time.Sleep(400 * time.Millisecond) // eight cycles of both; nothing is hoped for in them
	if len(two.Operators().Proxies()) != 0 || !one.acknowledged("s0") {
		t.Errorf("both drive it: %+v", two.Operators().Proxies())
	}
	one.Kill()
	eventually(t, "the second to take over", func() bool { return two.acknowledged("s0") && hasWeights(all[0], defaultWeights) })
}

// A socket that takes commands and answers none holds up nothing else.
func TestUnresponsiveSocket(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var taken sync.Map
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			taken.Store(c, true)
		}
	}()
	all, text := startSocketProxies(t, 1)
	d := startDaemon(t, text+fmt.Sprintf(` sockets { proxy: "mute" zone: "a" address: %q } fleet { period_ms: 50 }`, l.Addr()))
	eventually(t, "the other proxy's tables", func() bool { return hasWeights(all[0], defaultWeights) && d.acknowledged("s0") })
	eventually(t, "the log", func() bool {
		return strings.Contains(d.log.String(), `proxy mute: its socket is lost: waiting for the answer`)
	})
	if got := d.request("GET", "/v1/proxies", ""); strings.Contains(got.body, "mute") {
		t.Errorf("it has joined: %s", got.body)
	}
}

// Many proxies whose sockets were lost return at once, and all get their tables.
func TestManySocketsReconnect(t *testing.T) {
	n := 500
	if testing.Short() {
		n = 50
	}
	all, text := startSocketProxies(t, n)
	d := startDaemon(t, text+" fleet { period_ms: 1000 proxies: 500 } polls { leave_after_ms: 300 }")
	ready := func() bool {
		for _, f := range all {
			if !hasWeights(f, defaultWeights) {
				return false
			}
		}
		return len(d.Operators().Proxies()) == n
	}
	eventually(t, "all to have their tables", ready)
	for _, f := range all {
		f.Cut(600 * time.Millisecond)
		f.SocketRestart()
	}
	eventually(t, "them to be gone", func() bool { return len(d.Operators().Proxies()) < n })
	eventually(t, "all to be back", ready)
}

// BenchmarkReconcile brings 100 proxies with old files to tables of 500 servers.
func BenchmarkReconcile(b *testing.B) {
	for range b.N {
		b.StopTimer()
		d, _ := startBenchDaemon(b, 500)
		all, text := startSocketProxies(b, 100)
		cfg, err := config.Parse("bench", []byte(baseConfig+`list { url: "http://127.0.0.1:1/" }`+text))
		if err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		ctx, cancel := context.WithCancel(context.Background())
		d.startSocketDrivers(ctx, cfg)
		for _, f := range all {
			for {
				n := 0
				for _, s := range f.SocketState() {
					if s.Admin&haproxy.ForcedMaint == 0 {
						n++
					}
				}
				if n >= 1000 {
					break
				}
				time.Sleep(2 * time.Millisecond)
			}
		}
		b.StopTimer()
		cancel()
		d.socketDrivers.Wait()
		b.StartTimer()
	}
}

// BenchmarkPollAndSocketDelivery tells how long a change of the list takes to the delta at a proxy that polls, and to the answer
// to the last command at one that is driven by its socket, side by side.
func BenchmarkPollAndSocketDelivery(b *testing.B) {
	d, list := startBenchDaemon(b, 50)
	all, text := startSocketProxies(b, 1)
	cfg, err := config.Parse("bench", []byte(baseConfig+`list { url: "http://127.0.0.1:1/" }`+text))
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.startSocketDrivers(ctx, cfg)
	drained := func() (n int) {
		for _, s := range all[0].SocketState() {
			if s.Server == list[7].Host && s.Admin != 0 {
				n++
			}
		}
		return n
	}
	p := connectPollers(b, d, 1)[0]
	for end := time.Now().Add(20 * time.Second); len(all[0].SocketState()) < 100 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	polls, sockets := 0.0, 0.0
	for i := range b.N {
		p.send("A-IM: merge-patch\r\nPrefer: wait=20\r\n")
		for d.loop.status().Polls < 2 {
			time.Sleep(time.Millisecond)
		}
		list[7].State = 3 - list[7].State // ready or draining
		began := time.Now()
		if err := d.loop.setEndpoints(list); err != nil {
			b.Fatal(err)
		}
		got := make(chan float64)
		go func() { p.receive(); got <- time.Since(began).Seconds() * 1000 }()
		for want := 2 * ((i + 1) % 2); drained() != want && time.Since(began) < 20*time.Second; {
			time.Sleep(200 * time.Microsecond)
		}
		sockets += time.Since(began).Seconds() * 1000
		polls += <-got
	}
	b.ReportMetric(polls/float64(b.N), "ms-by-poll")
	b.ReportMetric(sockets/float64(b.N), "ms-by-socket")
}
