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

// A pending poll ends before its certificate expires, and gets no tables after that. The next poll, on a connection
// with another certificate, gets the missed changes as a delta.
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
		t.Errorf("poll ended with status %d after %v, want 304 within %v", ended.status, took, validity)
	}
	d.writeHosts(firstHostDraining)
	// Wait until the certificate has expired. A longer wait does no harm.
	time.Sleep(time.Until(issued.Add(validity + 100*time.Millisecond)))
	expired := d.getAs(shortLived, forwarderPath, "If-None-Match", tag)
	if expired.status == 200 || expired.status == 226 {
		t.Errorf("poll after the expiry returned tables with status %d: %s", expired.status, expired.body)
	}
	delta := d.getAs(longLived, forwarderPath, "If-None-Match", tag, "Prefer", "wait=10", "A-IM", "merge-patch")
	if delta.status != 226 || delta.header.Get("Delta-Base") != tag ||
		!strings.Contains(delta.body, `"10.0.0.1:80":null`) {
		t.Errorf("poll returned %+v, want a delta onto %s without the first host", delta, tag)
	}
}

// Changes of the trust bundle apply without a restart: certificates of a new root are accepted, and those of a removed
// root are rejected. While both roots are in the bundle, certificates of both are accepted.
func TestTrustBundleRotation(t *testing.T) {
	t.Parallel()
	d := startWithIdentities(t, "", "")
	next := newAuthority(t, "race.example")
	byOldRoot := d.clientWithID(forwarderID)
	byNewRoot := clientAs(t, signBy(t, next, forwarderID, time.Hour, nil))
	poll := func(client *http.Client) int { return d.getAs(client, forwarderPath).status }
	if old, fresh := poll(byOldRoot), poll(byNewRoot); old != 200 || fresh != 0 {
		t.Errorf("before the rotation: status %d by the old root and %d by the new one, want 200 and 0", old, fresh)
	}
	own := d.sign(controllerID, time.Hour)
	d.ownEndpoint.SetIdentity(own, []*issuer.Authority{d.authority, next})
	eventually(t, "the new root to be accepted", func() bool { return poll(byNewRoot) == 200 })
	if status := poll(byOldRoot); status != 200 {
		t.Errorf("old root while both are in the bundle: status %d, want 200", status)
	}
	d.ownEndpoint.SetIdentity(own, []*issuer.Authority{next})
	eventually(t, "the old root to be removed", func() bool { return poll(byOldRoot) != 200 })
	if status := poll(byNewRoot); status != 200 {
		t.Errorf("new root after the rotation: status %d, want 200", status)
	}
}

// While the issuer is unavailable the last certificate stays in use, and the status has the time until it expires.
func TestIssuerUnavailable(t *testing.T) {
	d := startWithIdentities(t, "", "")
	d.ownEndpoint.Close()
	forwarder := d.clientWithID(forwarderID)
	if result := d.getAs(forwarder, forwarderPath); result.status != 200 {
		t.Errorf("poll without the issuer: status %d, want 200", result.status)
	}
	status := d.getAs(d.clientWithID(operatorID), "/v1/status").body
	if !strings.Contains(status, `"identity":{"id":"spiffe://race.example/steward/one","left_ms":3`) {
		t.Errorf("GET /v1/status = %s, want the identity and the time until it expires", status)
	}
}

// A renewed certificate with the same key as before is logged, and is used nevertheless.
func TestReissuedKeyIsLogged(t *testing.T) {
	d := startWithIdentities(t, "", "")
	svid := d.sign(controllerID, time.Hour)
	logged := func(text string) int { return strings.Count(d.log.String(), text) }
	d.ownEndpoint.SetIdentity(svid, []*issuer.Authority{d.authority})
	eventually(t, "the renewed credentials", func() bool { return logged("credentials loaded") >= 2 })
	if logged("the same key as before") != 0 {
		t.Error("a new key was logged as the same key")
	}
	d.ownEndpoint.SetIdentity(svid, []*issuer.Authority{d.authority})
	eventually(t, "the reissued key to be logged", func() bool { return logged("the same key as before") > 0 })
	if result := d.getAs(d.clientWithID(operatorID), "/v1/hosts"); result.status != 200 {
		t.Errorf("GET /v1/hosts with the reissued key: status %d, want 200", result.status)
	}
}

// renewals returns the number of renewals in TestCertificateRenewals, four a second: 16, or the value of the
// environment variable RENEWALS.
func renewals() int {
	if count, err := strconv.Atoi(os.Getenv("RENEWALS")); err == nil {
		return count
	}
	return 16
}

// A client that polls and reports while it renews its short-lived certificates four times a second never loses its
// controller: it gets all tables, and always has a host for a request.
func TestCertificateRenewals(t *testing.T) {
	t.Parallel()
	const renewalInterval = 250 * time.Millisecond
	d := startWithIdentities(t, "", "")
	endpoint := d.newEndpoint("f1")
	renew := func() { // valid for 1 s to 2 s, since the times in a certificate are whole seconds
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
	eventually(t, "the last change of the endpoint list", func() bool {
		renew()
		return hostWeight(proxy, "10.0.0.2:80") == 0
	})
	if status := d.loop.status(); status.ConnectedProxies != 1 || status.Ingest.Processed == 0 {
		t.Errorf("status %+v, want 1 connected proxy and processed reports", status)
	}
	if count := lost.Load(); count > 0 {
		t.Errorf("the client lost its controller %d times, want 0", count)
	}
	stop()
}

// runClientAs runs the client library with the certificates of a source.
func (d *identityDaemon) runClientAs(source *identity.Source, logLine func(string)) (*client.Client, func()) {
	d.t.Helper()
	transport := &http.Transport{TLSClientConfig: source.ClientTLS(expectID(controllerID))}
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

// sendRequestsUntil sends requests by the client library, and fails the test if one has no host.
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
	following.Go(func() { source.WatchUpdates(ctx, func(bool) {}) })
	t.Cleanup(func() {
		cancel()
		awaitGroup(t, "the end of the renewals", waitLimit, &following)
	})
}

// The daemon and the list service authenticate each other. The list of a service with another SPIFFE ID is rejected.
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
		_, _ = io.WriteString(writer, `{"hosts":{"10.0.0.1:80":{"zone":"a"}}}`) // fails if the daemon hung up
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), ErrorLog: log.New(io.Discard, "", 0)}
	serveUntilCleanup(t, server, tls.NewListener(listener, source.ServerTLS()))
	eventually(t, "the impostor to be rejected", func() bool {
		return strings.Contains(d.log.String(), "not "+serviceID)
	})
	if hosts := d.loop.status().Hosts; hosts != 0 || caller.Load() != nil {
		t.Errorf("impostor: got %d hosts, called: %t; want 0 hosts and no call", hosts, caller.Load() != nil)
	}
	give(serviceID)
	eventually(t, "the endpoint list", func() bool { return d.loop.status().Hosts == 1 })
	if id := caller.Load(); id == nil {
		t.Error("the list service was not called")
	} else if *id != controllerID {
		t.Errorf("the list service was called by %s, want %s", *id, controllerID)
	}
}
