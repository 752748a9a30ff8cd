package daemon

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/fake/issuer"
	"barleysail/routing"
)

const (
	// benchHosts is the number of hosts on the endpoint list of most benchmarks.
	benchHosts = 400

	// pollReaderBytes is the buffer size of a benchPoller. It is small, since there are thousands of them.
	pollReaderBytes = 512

	// drainedHost is the index of the host whose state the benchmarks change.
	drainedHost = 7
)

// benchDaemon is a daemon whose endpoint list is set directly on the controller loop.
type benchDaemon struct {
	*Daemon
	endpoints []controller.Endpoint
}

// startBenchDaemon starts a daemon with a number of hosts, and with limits that do not delay updates. identities holds
// the identity settings; if it is empty, connections are plain.
func startBenchDaemon(b *testing.B, hosts int, identities string) *benchDaemon {
	b.Helper()
	text := strings.Replace(baseConfig, "channel {", "channel { messages_most: 0 ", 1)
	text = strings.ReplaceAll(text, "1000000", "1000000000")
	list := `list { url: "http://127.0.0.1:1/" }`
	if identities != "" {
		text = strings.Replace(text, "plain_loopback: true", identities, 1)
		list = `list { url: "https://127.0.0.1:1/" id: "` + trustDomain + `/list" }`
	}
	cfg, err := config.Parse("bench", []byte(text+list+" fleet { proxies: 5000 } polls { leave_after_ms: 60000 }"))
	if err != nil {
		b.Fatal(err)
	}
	return startConfiguredBenchDaemon(b, cfg, hosts)
}

// startConfiguredBenchDaemon starts a daemon with a configuration and a number of hosts.
func startConfiguredBenchDaemon(b *testing.B, cfg *configpb.Config, hosts int) *benchDaemon {
	b.Helper()
	running, err := Start(cfg, "bench", zerolog.Nop())
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(running.Kill)
	d := &benchDaemon{Daemon: running}
	for i := range hosts {
		host := fmt.Sprintf("10.0.%d.%d:80", i/250, i%250)
		d.endpoints = append(d.endpoints, controller.Endpoint{Host: host, Zone: "a", State: routing.Ready, Weight: 1})
	}
	d.publishEndpoints(b)
	return d
}

// publishEndpoints passes the endpoint list to the controller.
func (d *benchDaemon) publishEndpoints(b *testing.B) {
	b.Helper()
	if err := d.loop.setEndpoints(d.endpoints); err != nil {
		b.Fatal(err)
	}
}

// toggleDraining changes a host between ready and draining. The change is not published.
func (d *benchDaemon) toggleDraining(index int) {
	endpoint := &d.endpoints[index]
	if endpoint.State == routing.Ready {
		endpoint.State = routing.Draining
	} else {
		endpoint.State = routing.Ready
	}
}

// waitForPolls waits until at least count long polls are pending.
func (d *benchDaemon) waitForPolls(b *testing.B, count int) {
	b.Helper()
	eventually(b, fmt.Sprintf("%d pending polls", count), func() bool { return d.loop.status().PendingPolls >= count })
}

// benchPoller is a proxy that polls on a connection of its own.
type benchPoller struct {
	conn   net.Conn
	reader *bufio.Reader
	name   int
	tag    string
}

func newBenchPoller(conn net.Conn, name int) *benchPoller {
	return &benchPoller{conn: conn, reader: bufio.NewReaderSize(conn, pollReaderBytes), name: name}
}

// send sends a poll; header holds additional header fields, each ended by CRLF.
func (p *benchPoller) send(header string) error {
	_, err := fmt.Fprintf(p.conn, "GET /v1/proxies/p%d/tables?zone=a HTTP/1.1\r\nHost: a\r\nIf-None-Match: %s\r\n%s\r\n",
		p.name, p.tag, header)
	return err
}

// receive reads the response to a poll, and returns its status and the size of its body in bytes.
func (p *benchPoller) receive() (status, bodyBytes int, err error) {
	response, err := http.ReadResponse(p.reader, nil)
	if err != nil {
		return 0, 0, err
	}
	copied, err := io.Copy(io.Discard, response.Body)
	p.tag = response.Header.Get("Etag")
	return response.StatusCode, int(copied), errors.Join(err, response.Body.Close())
}

// poll sends a poll and reads its response.
func (p *benchPoller) poll(header string) (status, bodyBytes int, err error) {
	if err := p.send(header); err != nil {
		return 0, 0, err
	}
	return p.receive()
}

// pollUntilCurrent polls until the proxy has the current tables.
func (p *benchPoller) pollUntilCurrent() error {
	status, _, err := p.poll("")
	for err == nil && status != http.StatusNotModified {
		status, _, err = p.poll("Prefer: wait=1\r\n")
	}
	return err
}

// connectPollers connects proxies and waits until they have the current tables. secure is nil for plain connections.
func (d *benchDaemon) connectPollers(b *testing.B, count int, secure *tls.Config) []*benchPoller {
	b.Helper()
	var pollers []*benchPoller
	for i := range count {
		conn, err := net.Dial("tcp", d.Addr())
		if err != nil {
			b.Fatal(err)
		}
		if secure != nil {
			conn = tls.Client(conn, secure)
		}
		b.Cleanup(func() { closeOrFail(b, conn) })
		pollers = append(pollers, newBenchPoller(conn, i))
	}
	var polling sync.WaitGroup
	for _, poller := range pollers {
		polling.Go(func() {
			if err := poller.pollUntilCurrent(); err != nil {
				b.Error(err)
			}
		})
	}
	polling.Wait()
	return pollers
}

// sendAll sends a poll of each proxy and waits until all are pending.
func (d *benchDaemon) sendAll(b *testing.B, pollers []*benchPoller, header string) {
	b.Helper()
	for _, poller := range pollers {
		if err := poller.send(header); err != nil {
			b.Fatal(err)
		}
	}
	d.waitForPolls(b, len(pollers))
}

// benchIdentities starts an issuer. It returns the TLS settings of proxies, and the identity settings of daemons.
func benchIdentities(b *testing.B) (proxyTLS *tls.Config, settings string) {
	b.Helper()
	authority := newAuthority(b, "race.example")
	folder, err := os.MkdirTemp("", "id") // not b.TempDir: the path of a socket has to be short
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		if err := os.RemoveAll(folder); err != nil {
			b.Error(err)
		}
	})
	newEndpoint := func(name, id string) *issuer.Endpoint {
		endpoint, err := issuer.NewEndpoint(folder, name)
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(endpoint.Close)
		endpoint.SetIdentity(signBy(b, authority, id, time.Hour, nil), []*issuer.Authority{authority})
		return endpoint
	}
	own := newEndpoint("steward", controllerID)
	proxy := newEndpoint("proxy", trustDomain+"/forwarder/any")
	acceptAny := func(spiffeid.ID) error { return nil }
	return openSource(b, proxy).ClientTLS(acceptAny),
		fmt.Sprintf(`workload_api: %q allow { id: "%s/forwarder/*" actions: "poll" }`, own.Address, trustDomain)
}
