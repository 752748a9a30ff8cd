package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"barleysail/internal/fake/issuer"
	"barleysail/internal/identity"
)

const (
	trustDomain  = "spiffe://race.example"
	controllerID = trustDomain + "/steward/one"
	forwarderID  = trustDomain + "/forwarder/a/f1"
	operatorID   = trustDomain + "/operator/ann"

	// forwarderPath is where the proxy of forwarderID polls.
	forwarderPath = "/v1/proxies/f1/tables?zone=a"
)

// identityDaemon is a daemon with a SPIFFE identity, and the issuer of its trust domain.
type identityDaemon struct {
	*testDaemon
	folder      string // of the issuer's sockets
	authority   *issuer.Authority
	ownEndpoint *issuer.Endpoint // Workload API from which the daemon gets its identity
}

// startWithIdentities starts a daemon with the identity controllerID. settings are additional settings of its identity
// message; endpointList replaces the setting of the endpoint list file unless it is empty.
func startWithIdentities(t *testing.T, settings, endpointList string) *identityDaemon {
	t.Helper()
	folder, err := os.MkdirTemp("", "id") // not t.TempDir: the path of a socket has to be short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := os.RemoveAll(folder); err != nil {
			t.Error(err)
		}
	})
	d := &identityDaemon{testDaemon: newTestDaemon(t, folder), folder: folder, authority: newAuthority(t, "race.example")}
	d.ownEndpoint = d.newEndpoint("steward")
	d.ownEndpoint.SetIdentity(d.sign(controllerID, time.Hour), []*issuer.Authority{d.authority})
	if err := d.ownEndpoint.SetJWTKeys(d.authority); err != nil {
		t.Fatal(err)
	}
	if endpointList == "" {
		endpointList = fmt.Sprintf(" list { file: %q }", d.hostsFile)
	}
	identities := fmt.Sprintf(`workload_api: %q
		allow { id: "%[2]s/forwarder/{zone}/{proxy}" actions: "poll" actions: "sums" }
		allow { id: "%[2]s/host/{host}" actions: "report" }
		allow { id: "%[2]s/operator/*" actions: "see" actions: "set" }
		allow { id: "%[2]s/steward/*" actions: "follow" } %[3]s`, d.ownEndpoint.Address, trustDomain, settings)
	d.configure(strings.Replace(baseConfig, "plain_loopback: true", identities, 1) + endpointList)
	d.start()
	d.url = strings.Replace(d.url, "http:", "https:", 1)
	return d
}

func newAuthority(t testing.TB, domain string) *issuer.Authority {
	t.Helper()
	authority, err := issuer.NewAuthority(domain)
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

// newEndpoint starts a Workload API endpoint that ends with the test.
func (d *identityDaemon) newEndpoint(name string) *issuer.Endpoint {
	d.t.Helper()
	endpoint, err := issuer.NewEndpoint(d.folder, name)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(endpoint.Close)
	return endpoint
}

// openSource gets an identity from an endpoint. The source is closed at the end of the test.
func openSource(t testing.TB, endpoint *issuer.Endpoint) *identity.Source {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	source, err := identity.Open(ctx, endpoint.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeOrFail(t, source) })
	return source
}

// sign issues an identity of the daemon's trust domain.
func (d *identityDaemon) sign(id string, validity time.Duration) *issuer.SVID {
	d.t.Helper()
	return signBy(d.t, d.authority, id, validity, nil)
}

// signBy issues an identity; change alters the certificate before it is signed, unless it is nil.
func signBy(t testing.TB, authority *issuer.Authority, id string, validity time.Duration,
	change func(*x509.Certificate)) *issuer.SVID {
	t.Helper()
	svid, err := authority.Sign(id, validity, change)
	if err != nil {
		t.Fatal(err)
	}
	return svid
}

// clientAs returns an HTTP client that presents a certificate, valid or not.
func clientAs(t *testing.T, svid *issuer.SVID) *http.Client {
	t.Helper()
	key, err := x509.ParsePKCS8PrivateKey(svid.PrivateKeyPKCS8)
	if err != nil {
		t.Fatal(err)
	}
	certificate := &tls.Certificate{Certificate: [][]byte{svid.CertificateDER}, PrivateKey: key}
	return newTLSClient(t, func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return certificate, nil })
}

// anonymousClient returns an HTTP client that presents no certificate.
func anonymousClient(t *testing.T) *http.Client {
	t.Helper()
	return newTLSClient(t, nil)
}

// newTLSClient returns an HTTP client that does not verify the daemon's certificate, which these tests do not check.
func newTLSClient(t *testing.T, certificate func(*tls.CertificateRequestInfo) (*tls.Certificate, error)) *http.Client {
	t.Helper()
	transport := &http.Transport{TLSClientConfig: &tls.Config{
		InsecureSkipVerify:   true,
		MinVersion:           tls.VersionTLS13,
		GetClientCertificate: certificate,
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: waitLimit}
}

// clientWithID returns an HTTP client that presents a valid certificate of the daemon's trust domain.
func (d *identityDaemon) clientWithID(id string) *http.Client {
	d.t.Helper()
	return clientAs(d.t, d.sign(id, time.Hour))
}

// call sends a request; the status of the result is 0 if the connection was rejected.
func (d *identityDaemon) call(client *http.Client, method, path, body string, header ...string) httpResult {
	d.t.Helper()
	return sendRequest(d.t, client, method, d.url+path, body, header...)
}

func (d *identityDaemon) getAs(client *http.Client, path string, header ...string) httpResult {
	d.t.Helper()
	return d.call(client, http.MethodGet, path, "", header...)
}

// pollAsUntilBothHosts polls as forwarderID until the tables have both hosts.
func (d *identityDaemon) pollAsUntilBothHosts(client *http.Client, header ...string) httpResult {
	d.t.Helper()
	return pollUntilBothHosts(d.t, func(more ...string) httpResult {
		return d.getAs(client, forwarderPath, append(more, header...)...)
	})
}

// expectID returns a function that accepts only one SPIFFE ID.
func expectID(want string) func(spiffeid.ID) error {
	return func(id spiffeid.ID) error {
		if id.String() != want {
			return fmt.Errorf("it is %s, not %s", id, want)
		}
		return nil
	}
}
