package daemon

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sort"
	"sync"
	"testing"
	"time"

	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/fake"
	"barleysail/internal/haproxy"
	"barleysail/internal/runtimeapi"
	"barleysail/routing"
)

// BenchmarkDeltaDelivery measures the time from a change of the endpoint list until each proxy with a pending poll has
// received the delta (ms-median, ms-p99), and the rate at which the proxies connect before that (joins/s). The -signed
// variants use TLS identities and signed tables.
func BenchmarkDeltaDelivery(b *testing.B) {
	for _, proxies := range []int{1000, 5000} {
		b.Run(fmt.Sprint(proxies), func(b *testing.B) { measureDeltaDelivery(b, proxies, nil, "") })
	}
	for _, proxies := range []int{1000, 5000} {
		b.Run(fmt.Sprintf("%d-signed", proxies), func(b *testing.B) {
			secure, identities := benchIdentities(b)
			measureDeltaDelivery(b, proxies, secure, identities)
		})
	}
}

func measureDeltaDelivery(b *testing.B, proxies int, secure *tls.Config, identities string) {
	d := startBenchDaemon(b, benchHosts, identities)
	began := time.Now()
	pollers := d.connectPollers(b, proxies, secure)
	b.ReportMetric(float64(proxies)/time.Since(began).Seconds(), "joins/s")
	var delaysMs []float64
	for i := range b.N {
		d.sendAll(b, pollers, "A-IM: merge-patch\r\nPrefer: wait=60\r\n")
		d.toggleDraining(i % benchHosts)
		delaysMs = append(delaysMs, d.measureDeltas(b, pollers)...)
	}
	sort.Float64s(delaysMs)
	b.ReportMetric(delaysMs[len(delaysMs)/2], "ms-median")
	b.ReportMetric(delaysMs[len(delaysMs)*99/100], "ms-p99")
}

// measureDeltas publishes the endpoint list, and returns the time until each poller has its delta, in ms.
func (d *benchDaemon) measureDeltas(b *testing.B, pollers []*benchPoller) []float64 {
	b.Helper()
	var mu sync.Mutex
	var delaysMs []float64
	var receiving sync.WaitGroup
	began := time.Now()
	for _, poller := range pollers {
		receiving.Go(func() {
			status, _, err := poller.receive()
			if err != nil || status != http.StatusIMUsed {
				b.Errorf("poll returned status %d, %v, want %d", status, err, http.StatusIMUsed)
			}
			mu.Lock()
			defer mu.Unlock()
			delaysMs = append(delaysMs, millisecondsSince(began))
		})
	}
	d.publishEndpoints(b)
	receiving.Wait()
	return delaysMs
}

func millisecondsSince(began time.Time) float64 { return time.Since(began).Seconds() * 1000 }

// BenchmarkReconnect connects 600 proxies without cached tables to four controllers at once. For several limits of
// concurrent handshakes it measures the time until all proxies have tables (ms-all), and until a poll that was pending
// before is notified of a draining host (ms-drain).
func BenchmarkReconnect(b *testing.B) {
	for _, handshakes := range []int{4, 32, 10000} {
		b.Run(fmt.Sprint(handshakes), func(b *testing.B) {
			for range b.N {
				measureReconnect(b, handshakes)
			}
		})
	}
}

func measureReconnect(b *testing.B, handshakes int) {
	const proxies, firstName = 600, 1000
	secure, identities := benchIdentities(b)
	identities += fmt.Sprintf(" handshakes: %d", handshakes)
	d := startBenchDaemon(b, benchHosts, identities)
	addresses := []string{d.Addr()}
	for range 3 {
		addresses = append(addresses, startBenchDaemon(b, benchHosts, identities).Addr())
	}
	pending := d.connectPollers(b, 1, secure)
	d.sendAll(b, pending, "A-IM: merge-patch\r\nPrefer: wait=60\r\n")
	var connecting sync.WaitGroup
	began := time.Now()
	for i := range proxies {
		connecting.Go(func() { connectOnce(b, addresses[i%len(addresses)], secure, firstName+i) })
	}
	d.endpoints[drainedHost].State = routing.Draining
	d.publishEndpoints(b)
	if _, _, err := pending[0].receive(); err != nil {
		b.Error(err)
	}
	b.ReportMetric(millisecondsSince(began), "ms-drain")
	connecting.Wait()
	b.ReportMetric(millisecondsSince(began), "ms-all")
}

// connectOnce connects a proxy, waits for its tables and closes the connection.
func connectOnce(b *testing.B, address string, secure *tls.Config, name int) {
	conn, err := tls.Dial("tcp", address, secure)
	if err != nil {
		b.Error(err)
		return
	}
	defer closeOrFail(b, conn)
	status, _, err := newBenchPoller(conn, name).poll("Prefer: wait=5\r\n")
	if status != http.StatusOK || err != nil {
		b.Errorf("poll returned status %d, %v, want %d", status, err, http.StatusOK)
	}
}

// BenchmarkPendingPollMemory measures the heap and stack memory of a pending poll, in bytes.
func BenchmarkPendingPollMemory(b *testing.B) {
	for range b.N {
		d := startBenchDaemon(b, benchHosts, "")
		pollers := d.connectPollers(b, 2000, nil)
		before := memoryInUse()
		d.sendAll(b, pollers, "Prefer: wait=60\r\n")
		b.ReportMetric((memoryInUse()-before)/float64(len(pollers)), "B/held-poll")
	}
}

// memoryInUse returns the bytes of heap and stack in use after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // frees the objects whose finalizers ran after the first collection
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return float64(memory.HeapInuse + memory.StackInuse)
}

// BenchmarkResponseSize compares the size of a delta of one host with that of a snapshot, at 400 hosts, in bytes.
func BenchmarkResponseSize(b *testing.B) {
	d := startBenchDaemon(b, benchHosts, "")
	pollers := d.connectPollers(b, 1, nil)
	poller := pollers[0]
	for range b.N {
		d.sendAll(b, pollers, "A-IM: merge-patch\r\nPrefer: wait=60\r\n")
		d.toggleDraining(drainedHost)
		d.publishEndpoints(b)
		_, delta, err := poller.receive()
		if err != nil {
			b.Fatal(err)
		}
		poller.tag = ""
		_, snapshot, err := poller.poll("")
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(delta), "B-delta")
		b.ReportMetric(float64(snapshot), "B-whole")
	}
}

// BenchmarkNotModified measures the time of a poll that gets 304 Not Modified at once, and the allocations of the HTTP
// server and the controller.
func BenchmarkNotModified(b *testing.B) {
	d := startBenchDaemon(b, benchHosts, "")
	poller := d.connectPollers(b, 1, nil)[0]
	request := fmt.Appendf(nil, "GET /v1/proxies/p0/tables?zone=a HTTP/1.1\r\nHost: a\r\nIf-None-Match: %s\r\n\r\n",
		poller.tag)
	notModified := []byte("HTTP/1.1 304")
	response := make([]byte, 4096)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := poller.conn.Write(request); err != nil {
			b.Fatal(err)
		}
		length, err := poller.conn.Read(response)
		if err != nil || !bytes.HasPrefix(response[:length], notModified) {
			b.Fatalf("poll returned %q, %v, want status 304", response[:length], err)
		}
	}
}

// BenchmarkRuntimeCommands measures a command on a runtime socket in interactive mode.
func BenchmarkRuntimeCommands(b *testing.B) {
	d := startBenchDaemon(b, benchHosts, "")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := runtimeapi.New(d.Operators(), runtimeapi.Config{Level: runtimeapi.Admin})
	var serving sync.WaitGroup
	serving.Go(func() {
		if err := server.Serve(listener); err != nil {
			b.Error(err)
		}
	})
	b.Cleanup(func() {
		closeOrFail(b, listener)
		server.Close()
		serving.Wait()
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer closeOrFail(b, conn)
	reader := bufio.NewReader(conn)
	command := func(text string) {
		if _, err := io.WriteString(conn, text); err != nil {
			b.Fatal(err)
		}
		if _, err := reader.ReadString('>'); err != nil {
			b.Fatal(err)
		}
	}
	command("prompt\n")
	b.ResetTimer()
	for range b.N {
		command("get weight sheet/10.0.0.1:80\n")
	}
}

// socketConfig returns the configuration of a daemon with socket drivers.
func socketConfig(b *testing.B, drivers string) *configpb.Config {
	b.Helper()
	cfg, err := config.Parse("bench", []byte(baseConfig+`list { url: "http://127.0.0.1:1/" }`+drivers))
	if err != nil {
		b.Fatal(err)
	}
	return cfg
}

// activeServers returns the number of a proxy's servers that are not in maintenance.
func activeServers(proxy *fake.Proxy) (count int) {
	for _, server := range proxy.ServerStates() {
		if server.AdminState&haproxy.ForcedMaint == 0 {
			count++
		}
	}
	return count
}

// BenchmarkReconcile measures the time to bring 100 proxies with outdated servers to tables of 500 hosts.
func BenchmarkReconcile(b *testing.B) {
	const proxies, hosts, requestClasses = 100, 500, 2
	for range b.N {
		b.StopTimer()
		d := startBenchDaemon(b, hosts, "")
		fakes, drivers := startSocketProxies(b, proxies)
		cfg := socketConfig(b, drivers)
		ctx, cancel := context.WithCancel(context.Background())
		b.StartTimer()
		d.startSocketDrivers(ctx, cfg)
		for _, proxy := range fakes {
			eventually(b, "the tables", func() bool { return activeServers(proxy) >= requestClasses*hosts })
		}
		b.StopTimer()
		cancel()
		d.socketDrivers.Wait()
		b.StartTimer()
	}
}

// BenchmarkPollAndSocketDelivery compares the time from a change of the endpoint list to the delta at a proxy that
// polls (ms-by-poll) with the time to the change at a proxy that is programmed by its runtime socket (ms-by-socket).
func BenchmarkPollAndSocketDelivery(b *testing.B) {
	const hosts, requestClasses = 50, 2
	d := startBenchDaemon(b, hosts, "")
	fakes, drivers := startSocketProxies(b, 1)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.startSocketDrivers(ctx, socketConfig(b, drivers))
	pollers := d.connectPollers(b, 1, nil)
	eventually(b, "the tables", func() bool { return len(fakes[0].ServerStates()) >= requestClasses*hosts })
	time.Sleep(2 * time.Second) // until the driver has acknowledged them
	var byPollMs, bySocketMs float64
	for range b.N {
		if err := pollers[0].send("A-IM: merge-patch\r\nPrefer: wait=20\r\n"); err != nil {
			b.Fatal(err)
		}
		d.waitForPolls(b, 2) // including that of the driver
		d.toggleDraining(drainedHost)
		wantDrained := 0
		if d.endpoints[drainedHost].State == routing.Draining {
			wantDrained = requestClasses
		}
		began := time.Now()
		d.publishEndpoints(b)
		byPoll := inBackground(func() float64 {
			if _, _, err := pollers[0].receive(); err != nil {
				b.Error(err)
			}
			return millisecondsSince(began)
		})
		for drainedServers(fakes[0], d.endpoints[drainedHost].Host) != wantDrained && time.Since(began) < waitLimit {
			time.Sleep(200 * time.Microsecond)
		}
		bySocketMs += millisecondsSince(began)
		byPollMs += await(b, "the delta", waitLimit, byPoll)
	}
	b.ReportMetric(byPollMs/float64(b.N), "ms-by-poll")
	b.ReportMetric(bySocketMs/float64(b.N), "ms-by-socket")
}

// drainedServers returns the number of a host's servers at a proxy that get no traffic.
func drainedServers(proxy *fake.Proxy, host string) (count int) {
	for _, server := range proxy.ServerStates() {
		if server.Server == host && server.AdminState != 0 {
			count++
		}
	}
	return count
}
