package daemon

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/fake/issuer"
	"barleysail/internal/identity"
	"barleysail/routing"
)

// startBenchDaemon starts a daemon for a benchmark, its list given by hand.
func startBenchDaemon(b *testing.B, hosts int) (*Daemon, []controller.Endpoint) {
	return startBenchDaemonWithIdentities(b, hosts, "")
}

// startBenchDaemonWithIdentities is the same with identities.
func startBenchDaemonWithIdentities(b *testing.B, hosts int, identities string) (*Daemon, []controller.Endpoint) {
	b.Helper()
	var list []controller.Endpoint
	for i := range hosts {
		list = append(list, controller.Endpoint{Host: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Zone: "a", State: routing.Ready, Weight: 1})
	}
	text, service := baseConfig, `list { url: "http://127.0.0.1:1/" }`
	if identities != "" {
		service = `list { url: "https://127.0.0.1:1/" id: "` + trustDomain + `/list" }`
		text = strings.Replace(baseConfig, "plain_loopback: true", identities, 1)
	}
	cfg, err := config.Parse("bench", []byte(strings.ReplaceAll(strings.Replace(text, "channel {", "channel { messages_most: 0 ", 1), "1000000", "1000000000")+service+` fleet { proxies: 5000 }
		polls { leave_after_ms: 60000 }`))
	if err != nil {
		b.Fatal(err)
	}
	d, err := Start(cfg, "bench", zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(d.Kill)
	if err := d.loop.setEndpoints(list); err != nil {
		b.Fatal(err)
	}
	return d, list
}

// benchPoller polls on a connection of its own.
type benchPoller struct {
	conn   net.Conn
	reader *bufio.Reader
	name   int
	tag    string
}

func (p *benchPoller) send(extra string) {
	fmt.Fprintf(p.conn, "GET /v1/proxies/p%d/tables?zone=a HTTP/1.1\r\nHost: a\r\nIf-None-Match: %s\r\n%s\r\n", p.name, p.tag, extra)
}

func (p *benchPoller) receive() (status, bytes int, err error) {
	r, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		return 0, 0, err
	}
	n, err := io.Copy(io.Discard, r.Body)
	r.Body.Close()
	p.tag = r.Header.Get("Etag")
	return r.StatusCode, int(n), err
}

func connectPollers(b *testing.B, d *Daemon, n int) []*benchPoller {
	return connectPollersWithTLS(b, d, n, nil)
}

// connectPollersWithTLS are pollers that prove who they are; nil: plain.
func connectPollersWithTLS(b *testing.B, d *Daemon, n int, secure *tls.Config) []*benchPoller {
	var all []*benchPoller
	for i := range n {
		c, err := net.Dial("tcp", d.Addr())
		if err != nil {
			b.Fatal(err)
		}
		if secure != nil {
			c = tls.Client(c, secure)
		}
		b.Cleanup(func() { c.Close() })
		all = append(all, &benchPoller{conn: c, reader: bufio.NewReaderSize(c, 512), name: i})
	}
	var wait sync.WaitGroup
	for _, p := range all {
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.send("")
			for status := 0; status != 304; { // until it holds what it is to hold
				if status, _, _ = p.receive(); status != 304 {
					p.send("Prefer: wait=1\r\n")
				}
			}
		}()
	}
	wait.Wait()
	return all
}

// BenchmarkDeltaDelivery measures the time from a changed list to the delta at each of the proxies that hold a poll.
func BenchmarkDeltaDelivery(b *testing.B) {
	for _, n := range []int{1000, 5000, -1000, -5000} { // below 0: with identities and signed tables
		secure, identities := (*tls.Config)(nil), ""
		if n < 0 {
			n, secure, identities = -n, nil, "x"
		}
		b.Run(fmt.Sprintf("%d%s", n, map[bool]string{true: "-signed"}[identities != ""]), func(b *testing.B) {
			if identities != "" {
				secure, identities = benchIdentities(b)
			}
			d, list := startBenchDaemonWithIdentities(b, 400, identities)
			began := time.Now()
			all := connectPollersWithTLS(b, d, n, secure)
			b.ReportMetric(float64(n)/time.Since(began).Seconds(), "joins/s")
			var took []float64
			for i := range b.N {
				for _, p := range all {
					p.send("A-IM: merge-patch\r\nPrefer: wait=60\r\n")
				}
				for d.loop.status().Polls < n {
					time.Sleep(time.Millisecond)
				}
				list[i%400].State = 3 - list[i%400].State // ready or draining
				var mu sync.Mutex
				var wait sync.WaitGroup
				start := time.Now()
				for _, p := range all {
					wait.Add(1)
					go func() {
						defer wait.Done()
						if status, _, err := p.receive(); err != nil || status != 226 {
							b.Errorf("status %d, %v", status, err)
						}
						mu.Lock()
						took = append(took, time.Since(start).Seconds()*1000)
						mu.Unlock()
					}()
				}
				d.loop.setEndpoints(list)
				wait.Wait()
			}
			sort.Float64s(took)
			b.ReportMetric(took[len(took)/2], "ms-median")
			b.ReportMetric(took[len(took)*99/100], "ms-p99")
		})
	}
}

// benchIdentities gives what pollers need to prove who they are, and the configuration that lets them.
func benchIdentities(b *testing.B) (*tls.Config, string) {
	root, err := issuer.NewAuthority("race.example")
	if err != nil {
		b.Fatal(err)
	}
	folder, err := os.MkdirTemp("", "id")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { os.RemoveAll(folder) })
	give := func(name, id string) *issuer.Endpoint {
		e, err := issuer.NewEndpoint(folder, name)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(e.Close)
		v, err := root.Sign(trustDomain+id, time.Hour, nil)
		if err != nil {
			b.Fatal(err)
		}
		e.Give(v, []*issuer.Authority{root})
		return e
	}
	own, proxy := give("steward", "/steward/one"), give("proxy", "/forwarder/any")
	s, err := identity.Open(context.Background(), proxy.Address)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { s.Close() })
	return s.Client(func(spiffeid.ID) error { return nil }), fmt.Sprintf(`workload_api: %q allow { id: "%s/forwarder/*" actions: "poll" }`, own.Address, trustDomain)
}

// BenchmarkReconnect has 600 forwarders come back to four stewards at once with cold caches, and measures the time until all hold tables, and
// until a poll that was held before is told a drain, by how many handshakes may go on at once.
func BenchmarkReconnect(b *testing.B) {
	for _, most := range []int{4, 32, 10000} {
		b.Run(fmt.Sprint(most), func(b *testing.B) {
			for range b.N {
				secure, identities := benchIdentities(b)
				d, list := startBenchDaemonWithIdentities(b, 400, identities+fmt.Sprintf(" handshakes: %d", most))
				addresses := []string{d.Addr()}
				for range 3 {
					other, _ := startBenchDaemonWithIdentities(b, 400, identities+fmt.Sprintf(" handshakes: %d", most))
					addresses = append(addresses, other.Addr())
				}
				first := connectPollersWithTLS(b, d, 1, secure)[0]
				first.send("A-IM: merge-patch\r\nPrefer: wait=60\r\n")
				for d.loop.status().Polls < 1 {
					time.Sleep(time.Millisecond)
				}
				var all sync.WaitGroup
				began := time.Now()
				for i := range 600 {
					all.Add(1)
					go func() {
						defer all.Done()
						c, err := tls.Dial("tcp", addresses[i%len(addresses)], secure)
						if err != nil {
							b.Error(err)
							return
						}
						defer c.Close()
						p := &benchPoller{conn: c, reader: bufio.NewReaderSize(c, 512), name: 1000 + i}
						p.send("Prefer: wait=5\r\n")
						if status, _, err := p.receive(); status != 200 || err != nil {
							b.Errorf("%d %v", status, err)
						}
					}()
				}
				list[7].State = routing.Draining
				d.loop.setEndpoints(list)
				first.receive()
				b.ReportMetric(time.Since(began).Seconds()*1000, "ms-drain")
				all.Wait()
				b.ReportMetric(time.Since(began).Seconds()*1000, "ms-all")
			}
		})
	}
}

// BenchmarkPendingPollMemory measures what a held poll costs in memory.
func BenchmarkPendingPollMemory(b *testing.B) {
	for range b.N {
		d, _ := startBenchDaemon(b, 400)
		all := connectPollers(b, d, 2000)
		read := func() float64 {
			runtime.GC()
			runtime.GC()
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			return float64(m.HeapInuse + m.StackInuse)
		}
		before := read()
		for _, p := range all {
			p.send("Prefer: wait=60\r\n")
		}
		for d.loop.status().Polls < len(all) {
			time.Sleep(time.Millisecond)
		}
		b.ReportMetric((read()-before)/float64(len(all)), "B/held-poll")
	}
}

// BenchmarkResponseSize compares a delta of one line with the whole at 400 hosts.
func BenchmarkResponseSize(b *testing.B) {
	d, list := startBenchDaemon(b, 400)
	p := connectPollers(b, d, 1)[0]
	for range b.N {
		p.send("A-IM: merge-patch\r\nPrefer: wait=60\r\n")
		for d.loop.status().Polls < 1 {
			time.Sleep(time.Millisecond)
		}
		list[7].State = 3 - list[7].State
		d.loop.setEndpoints(list)
		_, delta, _ := p.receive()
		p.tag = ""
		p.send("")
		_, whole, _ := p.receive()
		b.ReportMetric(float64(delta), "B-delta")
		b.ReportMetric(float64(whole), "B-whole")
	}
}

// BenchmarkNotModified measures a poll that ends in 304 at once: time, and allocations of server and steward.
func BenchmarkNotModified(b *testing.B) {
	d, _ := startBenchDaemon(b, 400)
	p := connectPollers(b, d, 1)[0]
	request := fmt.Appendf(nil, "GET /v1/proxies/p0/tables?zone=a HTTP/1.1\r\nHost: a\r\nIf-None-Match: %s\r\n\r\n", p.tag)
	buf := make([]byte, 4096)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		p.conn.Write(request)
		n, err := p.conn.Read(buf)
		if err != nil || string(buf[9:12]) != "304" {
			b.Fatalf("%s %v", buf[:n], err)
		}
	}
}
