package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"barleysail/client"
	"barleysail/internal/fake/issuer"
	"barleysail/internal/identity"
)

// A poll whose certificate expires while it is pending gets no tables after that: it ends in time, and the next one,
// on a connection with the next certificate, gets what was missed as a delta.
func TestCertificateExpiresDuringPoll(t *testing.T) {
	t.Parallel()
	d := startWithIdentities(t, "", "")
	longLived := d.clientWithID(forwarderID)
	tag := d.pollAsUntilBothHosts(longLived).tag()
	const validity = 2 * time.Second
	issued := time.Now()
	shortLived := clientAs(t, d.sign(forwarderID, validity))
	ended := d.getAs(shortLived, forwarderPath, "If-None-Match", tag, "Prefer", "wait=10", "A-IM", "merge-patch")
	if took := time.Since(issued); ended.status != 304 || took > validity {
		t.Errorf("%d after %v", ended.status, took)
	}
	d.writeHosts(firstHostDraining)
	// The certificate has to have expired. A longer wait does no harm.
	time.Sleep(time.Until(issued.Add(validity + 100*time.Millisecond)))
	expired := d.getAs(shortLived, forwarderPath, "If-None-Match", tag)
	if expired.status == 200 || expired.status == 226 {
		t.Errorf("tables after the expiry: %d %s", expired.status, expired.body)
	}
	delta := d.getAs(longLived, forwarderPath, "If-None-Match", tag, "Prefer", "wait=10", "A-IM", "merge-patch")
	if delta.status != 226 || delta.header.Get("Delta-Base") != tag ||
		!strings.Contains(delta.body, `"10.0.0.1:80":null`) {
		t.Errorf("%+v", delta)
	}
}

// A root that is removed from the trust bundle ends what it signed, and a new one is accepted, without a restart;
// while both are in the bundle both serve.
func TestTrustBundleRotation(t *testing.T) {
	t.Parallel()
	d := startWithIdentities(t, "", "")
	next := newAuthority(t, "race.example")
	byOldRoot := d.clientWithID(forwarderID)
	byNewRoot := clientAs(t, signBy(t, next, forwarderID, time.Hour, nil))
	poll := func(client *http.Client) int { return d.getAs(client, forwarderPath).status }
	if old, fresh := poll(byOldRoot), poll(byNewRoot); old != 200 || fresh != 0 {
		t.Errorf("old %d, new %d", old, fresh)
	}
	own := d.sign(controllerID, time.Hour)
	d.ownEndpoint.SetIdentity(own, []*issuer.Authority{d.authority, next})
	eventually(t, "the new root", func() bool { return poll(byNewRoot) == 200 })
	if status := poll(byOldRoot); status != 200 {
		t.Errorf("old %d while both are in the bundle", status)
	}
	d.ownEndpoint.SetIdentity(own, []*issuer.Authority{next})
	eventually(t, "the old root to be removed", func() bool { return poll(byOldRoot) != 200 })
	if status := poll(byNewRoot); status != 200 {
		t.Errorf("new %d", status)
	}
}

// While the issuer is unavailable the last certificate stays in use, and the status tells when it expires.
func TestIssuerUnavailable(t *testing.T) {
	d := startWithIdentities(t, "", "")
	d.ownEndpoint.Close()
	forwarder := d.clientWithID(forwarderID)
	if result := d.getAs(forwarder, forwarderPath); result.status != 200 {
		t.Errorf("%d", result.status)
	}
	status := d.getAs(d.clientWithID(operatorID), "/v1/status").body
	if !strings.Contains(status, `"identity":{"id":"spiffe://race.example/steward/one","left_ms":3`) {
		t.Errorf("%s", status)
	}
}

// An issuer that hands out the same key twice is logged, and its certificate is used all the same.
func TestReissuedKeyIsLogged(t *testing.T) {
	d := startWithIdentities(t, "", "")
	svid := d.sign(controllerID, time.Hour)
	logged := func(text string) int { return strings.Count(d.log.String(), text) }
	d.ownEndpoint.SetIdentity(svid, []*issuer.Authority{d.authority})
	eventually(t, "a new key", func() bool { return logged("credentials loaded") >= 2 })
	if logged("the same key again") != 0 {
		t.Error("a new key was taken for the same")
	}
	d.ownEndpoint.SetIdentity(svid, []*issuer.Authority{d.authority})
	eventually(t, "the log line", func() bool { return logged("the same key again") > 0 })
	if result := d.getAs(d.clientWithID(operatorID), "/v1/hosts"); result.status != 200 {
		t.Errorf("%d", result.status)
	}
}

// renewals is how many renewals TestCertificateRenewals makes, four a second: 16, or RENEWALS of the environment.
func renewals() int {
	if count, err := strconv.Atoi(os.Getenv("RENEWALS")); err == nil {
		return count
	}
	return 16
}

// A client whose certificates are valid for a second or two, and which renews them again and again while it polls and
// reports, never loses its controller: all tables come, and no request lacks a host.
func TestCertificateRenewals(t *testing.T) {
	t.Parallel()
	const renewalInterval = 250 * time.Millisecond
	d := startWithIdentities(t, "", "")
	endpoint := d.newEndpoint("f1")
	renew := func() { // the times of a certificate are whole seconds, so it is valid for one to two
		endpoint.SetIdentity(d.sign(forwarderID, 2*time.Second), []*issuer.Authority{d.authority})
	}
	renew()
	var lost atomic.Int64
	proxy, stop := d.runClientAs(openSource(t, endpoint), func(line string) {
		if strings.Contains(line, "lost") {
			lost.Add(1)
		}
	})
	eventually(t, "tables", func() bool { _, ok := proxy.Pick("sheet"); return ok })
	began := time.Now()
	for i := range renewals() {
		renew()
		d.writeHosts(fmt.Sprintf(`hosts { address: "10.0.0.1:80" zone: "a" }
hosts { address: "10.0.0.2:80" zone: "b" weight: %g }`, 0.5+float64(i%4)/10))
		sendRequestsUntil(t, proxy, began.Add(time.Duration(i+1)*renewalInterval))
	}
	d.writeHosts(secondHostDraining)
	eventually(t, "the last change", func() bool {
		renew()
		return hostWeight(proxy, "10.0.0.2:80") == 0
	})
	if status := d.loop.status(); status.ConnectedProxies != 1 || status.Ingest.Processed == 0 {
		t.Errorf("%+v", status)
	}
	if count := lost.Load(); count > 0 {
		t.Errorf("the controller was lost %d times", count)
	}
	stop()
}

// runClientAs runs the client library with the certificates of a source.
func (d *identityDaemon) runClientAs(source *identity.Source, logLine func(string)) (*client.Client, func()) {
	d.t.Helper()
	transport := &http.Transport{TLSClientConfig: source.Client(expectID(controllerID))}
	d.t.Cleanup(transport.CloseIdleConnections)
	return runClient(d.t, client.Options{
		Controllers:    []string{d.url},
		Proxy:          "f1",
		Zone:           "a",
		HTTP:           &http.Client{Transport: transport},
		PollTimeout:    5 * time.Second,
		ReportInterval: 50 * time.Millisecond,
		MinBackoff:     5 * time.Millisecond,
		MaxBackoff:     20 * time.Millisecond,
		Log:            logLine,
	})
}

// sendRequestsUntil sends requests by the client library; each has to find a host.
func sendRequestsUntil(t *testing.T, proxy *client.Client, end time.Time) {
	t.Helper()
	attempt := func(context.Context, string) client.Outcome { return client.Outcome{} }
	for time.Now().Before(end) {
		if err := proxy.Do(context.Background(), "sheet", attempt); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// followSource follows the renewals of a source until the end of the test.
func followSource(t *testing.T, source *identity.Source) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var following sync.WaitGroup
	following.Go(func() { source.Follow(ctx, func(bool) {}) })
	t.Cleanup(func() {
		cancel()
		awaitGroup(t, "the end of the renewals", waitLimit, &following)
	})
}

// A list service authenticates to the daemon and the daemon to it; the list of a service with another name is
// rejected.
func TestEndpointServiceIdentity(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeOrFail(t, listener) })
	const serviceID = trustDomain + "/list"
	d := startWithIdentities(t, "",
		fmt.Sprintf(` list { url: "https://%s/hosts" id: "%s" wait_ms: 1000 }`, listener.Addr(), serviceID))
	endpoint := d.newEndpoint("list")
	give := func(id string) { endpoint.SetIdentity(d.sign(id, time.Hour), []*issuer.Authority{d.authority}) }
	give(trustDomain + "/impostor")
	source := openSource(t, endpoint)
	followSource(t, source)
	var caller atomic.Pointer[string] // SPIFFE ID of the last caller
	handler := func(writer http.ResponseWriter, request *http.Request) {
		id := request.TLS.PeerCertificates[0].URIs[0].String()
		caller.Store(&id)
		writer.Header().Set("ETag", `"1"`)
		_, _ = io.WriteString(writer, `{"hosts":{"10.0.0.1:80":{"zone":"a"}}}`) // fails where the daemon hung up
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), ErrorLog: log.New(io.Discard, "", 0)}
	serveUntilCleanup(t, server, tls.NewListener(listener, source.Server()))
	eventually(t, "the impostor to be rejected", func() bool {
		return strings.Contains(d.log.String(), "not "+serviceID)
	})
	if hosts := d.loop.status().Hosts; hosts != 0 || caller.Load() != nil {
		t.Errorf("%d hosts by the impostor", hosts)
	}
	give(serviceID)
	eventually(t, "the list", func() bool { return d.loop.status().Hosts == 1 })
	if id := caller.Load(); id == nil || *id != controllerID {
		t.Errorf("called by %v", id)
	}
}
