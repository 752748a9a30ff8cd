package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"barleysail/client"
	"barleysail/internal/config"
	"barleysail/internal/fake/issuer"
	"barleysail/internal/identity"
	"barleysail/internal/tablesig"
)

const trustDomain = "spiffe://race.example"

// world is an issuer with workloads, and a steward that knows itself by it.
type identityDaemon struct {
	*testDaemon
	folder      string
	authority   *issuer.Authority
	ownEndpoint *issuer.Endpoint
}

func startWithIdentities(t *testing.T, inside string, list ...string) *identityDaemon {
	t.Helper()
	folder, err := os.MkdirTemp("", "id") // a socket's path has to be short
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { os.RemoveAll(folder) })
	w := &identityDaemon{folder: folder}
	if w.authority, err = issuer.NewAuthority("race.example"); err != nil {
		t.Fatal(err)
	}
	w.ownEndpoint = w.endpoint(t, "steward")
	w.ownEndpoint.Give(w.sign(t, w.authority, trustDomain+"/steward/one", time.Hour, nil), []*issuer.Authority{w.authority})
	if err := w.ownEndpoint.GiveKeys(w.authority); err != nil {
		t.Fatal(err)
	}
	d := &testDaemon{t: t, hostsFile: folder + "/hosts.textproto", log: &lockedBuffer{}}
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "b" weight: 0.5 }`)
	text := strings.Replace(baseConfig, "plain_loopback: true", fmt.Sprintf(`workload_api: %q
		allow { id: "%[2]s/forwarder/{zone}/{proxy}" actions: "poll" actions: "sums" } allow { id: "%[2]s/host/{host}" actions: "report" }
		allow { id: "%[2]s/operator/*" actions: "see" actions: "set" } allow { id: "%[2]s/steward/*" actions: "follow" } %[3]s`, w.ownEndpoint.Address, trustDomain, inside), 1)
	from := fmt.Sprintf(" list { file: %q }", d.hostsFile)
	if len(list) > 0 {
		from = list[0]
	}
	if d.config, err = config.Parse("test", []byte(text+from)); err != nil {
		t.Fatal(err)
	}
	d.start()
	d.url = strings.Replace(d.url, "http:", "https:", 1)
	w.testDaemon = d
	t.Cleanup(func() { w.Kill() })
	return w
}

// anonymousClient makes an HTTP client that shows no certificate.
func anonymousClient(t *testing.T) *http.Client {
	x := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}}
	t.Cleanup(x.CloseIdleConnections)
	return &http.Client{Transport: x, Timeout: 20 * time.Second}
}

func (w *identityDaemon) endpoint(t *testing.T, name string) *issuer.Endpoint {
	t.Helper()
	e, err := issuer.NewEndpoint(w.folder, name)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

// openSource takes up what an endpoint hands out.
func openSource(t *testing.T, e *issuer.Endpoint) *identity.Source {
	t.Helper()
	s, err := identity.Open(context.Background(), e.Address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

func (w *identityDaemon) sign(t *testing.T, a *issuer.Authority, id string, life time.Duration, change func(*x509.Certificate)) *issuer.SVID {
	t.Helper()
	v, err := a.Sign(id, life, change)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// clientAs makes an HTTP client that proves an identity, by the library where that takes it and by hand where it must not.
func (w *identityDaemon) clientAs(t *testing.T, v *issuer.SVID) *http.Client {
	t.Helper()
	key, err := x509.ParsePKCS8PrivateKey(v.Key)
	if err != nil {
		t.Fatal(err)
	}
	cert := tls.Certificate{Certificate: [][]byte{v.Cert}, PrivateKey: key}
	x := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13, // whom we call is not what is tested
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &cert, nil }}}
	t.Cleanup(x.CloseIdleConnections)
	return &http.Client{Transport: x, Timeout: 20 * time.Second}
}

// call gives the status, 0 where the connection was refused.
func (w *identityDaemon) call(c *http.Client, method, path, body string, header ...string) (status int, h http.Header, text string) {
	q, err := http.NewRequest(method, w.url+path, strings.NewReader(body))
	if err != nil {
		w.t.Fatal(err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		q.Header.Set(header[i], header[i+1])
	}
	r, err := c.Do(q)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer r.Body.Close()
	b := make([]byte, 1<<16)
	n := 0
	for err == nil && n < len(b) {
		var k int
		k, err = r.Body.Read(b[n:])
		n += k
	}
	return r.StatusCode, r.Header, string(b[:n])
}

// Who may do what is judged at each request, also on a connection that is kept.
func TestAuthorizationPerRequest(t *testing.T) {
	w := startWithIdentities(t, "")
	f1 := w.clientAs(t, w.sign(t, w.authority, trustDomain+"/forwarder/a/f1", time.Hour, nil))
	host := w.clientAs(t, w.sign(t, w.authority, trustDomain+"/host/10.0.0.1_80", time.Hour, nil))
	ann := w.clientAs(t, w.sign(t, w.authority, trustDomain+"/operator/ann", time.Hour, nil))
	two := w.clientAs(t, w.sign(t, w.authority, trustDomain+"/steward/two", time.Hour, nil))
	json := []string{"Content-Type", "application/json"}
	for _, x := range []struct {
		who                *http.Client
		method, path, body string
		want               int
	}{
		{f1, "GET", "/v1/proxies/f1/tables?zone=a", "", 200},
		{f1, "GET", "/v1/proxies/f2/tables?zone=a", "", 403}, // a changed name over the kept connection
		{f1, "GET", "/v1/proxies/f1/tables?zone=b", "", 403}, // of another site
		{f1, "POST", "/v1/proxies/f1/sums", `{"number":1}`, 200},
		{f1, "POST", "/v1/proxies/f2/sums?zone=a", `{"number":1}`, 403},
		{f1, "DELETE", "/v1/proxies/f2", "", 403},
		{f1, "GET", "/v1/status", "", 403},
		{f1, "GET", "/v1/state", "", 403},
		{host, "POST", "/v1/hosts/10.0.0.1:80/load", `{"number":1,"load":{"util":0.5}}`, 200},
		{host, "POST", "/v1/hosts/10.0.0.2:80/load", `{"number":1,"load":{"util":0.5}}`, 403},
		{host, "GET", "/v1/hosts", "", 403},
		{ann, "GET", "/v1/hosts", "", 200},
		{ann, "POST", "/v1/hosts/10.0.0.1:80/operator", `{"weight":2}`, 200},
		{ann, "GET", "/v1/proxies/f1/tables?zone=a", "", 403},
		{two, "GET", "/v1/state", "", 200},
		{two, "POST", "/v1/hosts/10.0.0.1:80/operator", `{"weight":2}`, 403},
	} {
		if got, _, text := w.call(x.who, x.method, x.path, x.body, json...); got != x.want {
			t.Errorf("%s %s: %d, not %d: %s", x.method, x.path, got, x.want, text)
		}
	}
	if n := w.loop.status().Joined; n != 1 {
		t.Errorf("%d have joined", n)
	}
}

// Identities that must not be get no further than the handshake.
func TestInvalidCertificates(t *testing.T) {
	w := startWithIdentities(t, "")
	other, err := issuer.NewAuthority("other.example")
	if err != nil {
		t.Fatal(err)
	}
	impostor, err := issuer.NewAuthority("race.example") // the same name, another root
	if err != nil {
		t.Fatal(err)
	}
	uri := func(texts ...string) func(*x509.Certificate) {
		return func(c *x509.Certificate) {
			c.URIs = nil
			for _, x := range texts {
				u, _ := url.Parse(x)
				c.URIs = append(c.URIs, u)
			}
		}
	}
	f1 := trustDomain + "/forwarder/a/f1"
	for _, x := range []struct {
		what   string
		root   *issuer.Authority
		life   time.Duration
		change func(*x509.Certificate)
		want   int
	}{
		{"as it should be", w.authority, time.Hour, nil, 200},
		{"of another trust domain", other, time.Hour, uri("spiffe://other.example/forwarder/a/f1"), 0},
		{"of an impostor's root", impostor, time.Hour, nil, 0},
		{"another's root for our name", other, time.Hour, nil, 0},
		{"over", w.authority, -time.Second, nil, 0},
		{"not yet: the issuer's clock is five minutes ahead", w.authority, time.Hour, func(c *x509.Certificate) { c.NotBefore = time.Now().Add(5 * time.Minute) }, 0},
		{"a CA certificate as leaf", w.authority, time.Hour, func(c *x509.Certificate) { c.IsCA, c.KeyUsage = true, x509.KeyUsageCertSign }, 0},
		{"two URI names", w.authority, time.Hour, uri(f1, trustDomain+"/operator/ann"), 0},
		{"none", w.authority, time.Hour, uri(), 0},
		{"upper case", w.authority, time.Hour, uri("spiffe://RACE.example/forwarder/a/f1"), 0},
		{"a port", w.authority, time.Hour, uri("spiffe://race.example:80/forwarder/a/f1"), 0},
		{"a query", w.authority, time.Hour, uri(f1 + "?x"), 0},
		{"a trailing slash", w.authority, time.Hour, uri(f1 + "/"), 0},
		{"another scheme", w.authority, time.Hour, uri("https://race.example/forwarder/a/f1"), 0},
	} {
		got, _, text := w.call(w.clientAs(t, w.sign(t, x.root, f1, x.life, x.change)), "GET", "/v1/proxies/f1/tables?zone=a", "")
		if got != x.want {
			t.Errorf("%s: %d, not %d: %s", x.what, got, x.want, text)
		}
	}
	plain, err := http.Get(strings.Replace(w.url, "https:", "http:", 1) + "/v1/status")
	if err == nil && plain.StatusCode == 200 {
		t.Error("a plain request was answered")
	}
	if n := w.loop.status().Joined; n != 1 {
		t.Errorf("%d have joined", n)
	}
}

// A poll whose identity ends while it is held is told nothing after it: it ends in time, and the next one, on a connection
// of the next identity, gets what was missed as a delta.
func TestCertificateExpiresDuringPoll(t *testing.T) {
	t.Parallel()
	w := startWithIdentities(t, "")
	id, path := trustDomain+"/forwarder/a/f1", "/v1/proxies/f1/tables?zone=a"
	long := w.clientAs(t, w.sign(t, w.authority, id, time.Hour, nil))
	_, h, text := w.call(long, "GET", path, "")
	for i := 0; i < 100 && !strings.Contains(text, "10.0.0.2:80"); i++ {
		_, h, text = w.call(long, "GET", path, "", "If-None-Match", h.Get("Etag"), "Prefer", "wait=1")
	}
	tag := h.Get("Etag")
	began := time.Now()
	short := w.clientAs(t, w.sign(t, w.authority, id, 2*time.Second, nil))
	status, h, _ := w.call(short, "GET", path, "", "If-None-Match", tag, "Prefer", "wait=10", "A-IM", "merge-patch")
	if took := time.Since(began); status != 304 || took > 2*time.Second {
		t.Errorf("%d after %v", status, took)
	}
	w.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" phase: DRAINING } hosts { address: "10.0.0.2:80" zone: "b" weight: 0.5 }`)
	time.Sleep(time.Until(began.Add(2100 * time.Millisecond))) // its end has to have passed; more does no harm
	if status, _, text := w.call(short, "GET", path, "", "If-None-Match", tag); status == 200 || status == 226 {
		t.Errorf("told after its end: %d %s", status, text)
	}
	status, h, text = w.call(long, "GET", path, "", "If-None-Match", tag, "Prefer", "wait=10", "A-IM", "merge-patch")
	if status != 226 || h.Get("Delta-Base") != tag || !strings.Contains(text, `"10.0.0.1:80":null`) {
		t.Errorf("%d %s", status, text)
	}
}

// A root that is taken away ends what stands by it, and a new one is taken up, without a restart; while both are there both
// serve.
func TestTrustBundleRotation(t *testing.T) {
	t.Parallel()
	w := startWithIdentities(t, "")
	fresh, err := issuer.NewAuthority("race.example")
	if err != nil {
		t.Fatal(err)
	}
	id, path := trustDomain+"/forwarder/a/f1", "/v1/proxies/f1/tables?zone=a"
	old, next := w.clientAs(t, w.sign(t, w.authority, id, time.Hour, nil)), w.clientAs(t, w.sign(t, fresh, id, time.Hour, nil))
	get := func(c *http.Client) int { s, _, _ := w.call(c, "GET", path, ""); return s }
	if a, b := get(old), get(next); a != 200 || b != 0 {
		t.Errorf("old %d, next %d", a, b)
	}
	own := w.sign(t, w.authority, trustDomain+"/steward/one", time.Hour, nil)
	w.ownEndpoint.Give(own, []*issuer.Authority{w.authority, fresh})
	eventually(t, "the new root", func() bool { return get(next) == 200 })
	if got := get(old); got != 200 {
		t.Errorf("old %d while both are there", got)
	}
	w.ownEndpoint.Give(own, []*issuer.Authority{fresh})
	eventually(t, "the old root to be gone", func() bool { return get(old) != 200 })
	if got := get(next); got != 200 {
		t.Errorf("next %d", got)
	}
}

// The issuer is away: the last good identity serves on, and status tells how long.
func TestIssuerUnavailable(t *testing.T) {
	w := startWithIdentities(t, "")
	w.ownEndpoint.Close()
	f1 := w.clientAs(t, w.sign(t, w.authority, trustDomain+"/forwarder/a/f1", time.Hour, nil))
	ann := w.clientAs(t, w.sign(t, w.authority, trustDomain+"/operator/ann", time.Hour, nil))
	if s, _, _ := w.call(f1, "GET", "/v1/proxies/f1/tables?zone=a", ""); s != 200 {
		t.Errorf("%d", s)
	}
	if _, _, text := w.call(ann, "GET", "/v1/status", ""); !strings.Contains(text, `"identity":{"id":"spiffe://race.example/steward/one","left_ms":3`) {
		t.Errorf("%s", text)
	}
}

// An issuer that hands out the same key twice is told of, and served by all the same.
func TestReissuedKeyIsLogged(t *testing.T) {
	w := startWithIdentities(t, "")
	v := w.sign(t, w.authority, trustDomain+"/steward/one", time.Hour, nil)
	said := func() int { return strings.Count(w.log.String(), "the same key again") }
	w.ownEndpoint.Give(v, []*issuer.Authority{w.authority})
	eventually(t, "a fresh key", func() bool { return strings.Count(w.log.String(), "identity taken up") >= 2 })
	if said() != 0 {
		t.Error("a fresh key was taken for the same")
	}
	w.ownEndpoint.Give(v, []*issuer.Authority{w.authority})
	eventually(t, "the same key to be told", func() bool { return said() > 0 })
	if s, _, _ := w.call(w.clientAs(t, w.sign(t, w.authority, trustDomain+"/operator/ann", time.Hour, nil)), "GET", "/v1/hosts", ""); s != 200 {
		t.Errorf("%d", s)
	}
}

// A client whose identities live a second or two, renewed again and again while it polls and sends sums, never goes without: what
// its steward decides comes through, and no transaction lacks a host.
func TestCertificateRenewals(t *testing.T) {
	t.Parallel()
	w := startWithIdentities(t, "")
	e := w.endpoint(t, "f1")
	give := func() { // a certificate's times are whole seconds, so it lives from one to two
		e.Give(w.sign(t, w.authority, trustDomain+"/forwarder/a/f1", 2*time.Second, nil), []*issuer.Authority{w.authority})
	}
	give()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := openSource(t, e)
	tlsOf := source.Client(func(id spiffeid.ID) error {
		if id.String() != trustDomain+"/steward/one" {
			return fmt.Errorf("an impostor: %s", id)
		}
		return nil
	})
	x := &http.Transport{TLSClientConfig: tlsOf}
	defer x.CloseIdleConnections()
	lost := atomic.Int64{}
	c, err := client.New(client.Options{Stewards: []string{w.url}, Proxy: "f1", Zone: "a", HTTP: &http.Client{Transport: x}, Wait: 5 * time.Second,
		Period: 50 * time.Millisecond, Least: 5 * time.Millisecond, Most: 20 * time.Millisecond, Log: func(text string) {
			if strings.Contains(text, "lost") {
				lost.Add(1)
				t.Log(text)
			}
		}})
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	eventually(t, "tables", func() bool { _, ok := c.Pick("sheet"); return ok })
	renewals := 16 // four seconds; RENEWALS=1000 takes as many
	if n, err := strconv.Atoi(os.Getenv("RENEWALS")); err == nil {
		renewals = n
	}
	began := time.Now()
	for i := range renewals { // each identity renewed after a quarter of a second
		give()
		weight := 0.5 + float64(i%4)/10
		w.writeHosts(fmt.Sprintf(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "b" weight: %g }`, weight))
		for next := began.Add(time.Duration(i+1) * 250 * time.Millisecond); time.Now().Before(next); time.Sleep(5 * time.Millisecond) {
			if err := c.Do(ctx, "sheet", func(context.Context, string) client.Try { return client.Try{} }); err != nil {
				t.Fatal(err)
			}
		}
	}
	w.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "b" phase: DRAINING }`)
	eventually(t, "the last change", func() bool {
		give()
		for _, h := range c.Tables()["sheet"].Hosts {
			if h.Address == "10.0.0.2:80" {
				return false
			}
		}
		return true
	})
	if n := w.loop.status(); n.Joined != 1 || n.Intake.Taken == 0 {
		t.Errorf("%+v", n)
	}
	if n := lost.Load(); n > 0 {
		t.Errorf("the steward was lost %d times", n)
	}
	cancel()
	<-ended
}

// A client that wants signed tables takes those of its own steward, wholes and deltas, and neither an unsigned one, nor one
// of another steward of the same domain, nor an old one that comes again out of a cache.
func TestSignedTables(t *testing.T) {
	t.Parallel()
	w := startWithIdentities(t, "")
	e := w.endpoint(t, "f1")
	e.Give(w.sign(t, w.authority, trustDomain+"/forwarder/a/f1", time.Hour, nil), []*issuer.Authority{w.authority})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := openSource(t, e)
	is := func(want string) func(spiffeid.ID) error {
		return func(id spiffeid.ID) error {
			if id.String() != trustDomain+want {
				return fmt.Errorf("it is %s", id)
			}
			return nil
		}
	}
	x := &http.Transport{TLSClientConfig: source.Client(is("/steward/one"))}
	defer x.CloseIdleConnections()
	// between the client and the steward stands a cache that can answer out of what it saw
	cache := &replayingCache{next: x}
	run := func(signed func([]*x509.Certificate) error) (weight func() float64, refused *atomic.Int64, stop func()) {
		refused = &atomic.Int64{}
		c, err := client.New(client.Options{Stewards: []string{w.url}, Proxy: "f1", Zone: "a", HTTP: &http.Client{Transport: cache}, Wait: time.Second,
			Least: 5 * time.Millisecond, Most: 20 * time.Millisecond, Signed: signed, Log: func(text string) {
				if strings.Contains(text, "older") || strings.Contains(text, "judging") || strings.Contains(text, "not signed") {
					refused.Add(1)
				}
			}})
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(ctx)
		ended := make(chan struct{})
		go func() { c.Run(ctx); close(ended) }()
		return func() float64 {
			for _, h := range c.Tables()["sheet"].Hosts {
				if h.Address == "10.0.0.2:80" {
					return h.Weight
				}
			}
			return 0
		}, refused, func() { cancel(); <-ended }
	}
	list := func(weight float64) {
		w.writeHosts(fmt.Sprintf(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "b" weight: %g }`, weight))
	}
	weight, refused, stop := run(source.Signed(is("/steward/one")))
	eventually(t, "the tables", func() bool { return weight() == 0.5 })
	list(0.7)
	eventually(t, "a delta", func() bool { return weight() == 0.7 })
	cache.replay.Store(true) // the first whole, again and again
	eventually(t, "the old table to be refused", func() bool { return refused.Load() > 0 })
	if weight() != 0.7 {
		t.Errorf("the old table was taken: %g", weight())
	}
	cache.replay.Store(false)
	list(0.8)
	eventually(t, "what is newer", func() bool { return weight() == 0.8 })
	cache.strip.Store(true)
	refused.Store(0)
	list(0.9)
	eventually(t, "an unsigned one to be refused", func() bool { return refused.Load() > 0 })
	if weight() != 0.8 {
		t.Errorf("an unsigned table was taken: %g", weight())
	}
	stop()
	cache.strip.Store(false)
	weight, refused, stop = run(source.Signed(is("/steward/two")))
	eventually(t, "another's to be refused", func() bool { return refused.Load() > 0 })
	if weight() != 0 {
		t.Error("a table of another steward was taken")
	}
	stop()
}

// replayingCache passes requests on, and may answer with the first whole table that it saw, or take signatures off.
type replayingCache struct {
	next          http.RoundTripper
	first         atomic.Pointer[cachedTables]
	replay, strip atomic.Bool
}

type cachedTables struct {
	header http.Header
	body   string
}

func (r *replayingCache) RoundTrip(q *http.Request) (*http.Response, error) {
	tables := strings.HasSuffix(q.URL.Path, "/tables")
	if c := r.first.Load(); tables && c != nil && r.replay.Load() {
		return &http.Response{StatusCode: 200, Status: "200 OK", Header: c.header.Clone(), Body: io.NopCloser(strings.NewReader(c.body)), Request: q}, nil
	}
	a, err := r.next.RoundTrip(q)
	if err != nil || !tables {
		return a, err
	}
	body, err := io.ReadAll(a.Body)
	a.Body.Close()
	if err != nil {
		return nil, err
	}
	a.Body = io.NopCloser(strings.NewReader(string(body)))
	if a.StatusCode == 200 && strings.Contains(string(body), "10.0.0.2:80") {
		r.first.CompareAndSwap(nil, &cachedTables{a.Header.Clone(), string(body)})
	}
	if r.strip.Load() {
		a.Header.Del(tablesig.Field)
	}
	return a, nil
}

// A forwarder of a federated trust domain is known by that domain's roots, and may what a rule for it says, no more.
func TestFederation(t *testing.T) {
	t.Parallel()
	w := startWithIdentities(t, `allow { id: "spiffe://club.example/forwarder/{zone}/{proxy}" actions: "poll" }`)
	club, err := issuer.NewAuthority("club.example")
	if err != nil {
		t.Fatal(err)
	}
	f9 := w.clientAs(t, w.sign(t, club, "spiffe://club.example/forwarder/a/f9", time.Hour, nil))
	get := func() int { s, _, _ := w.call(f9, "GET", "/v1/proxies/f9/tables?zone=a", ""); return s }
	if got := get(); got != 0 {
		t.Errorf("%d without its domain's roots", got)
	}
	own := w.sign(t, w.authority, trustDomain+"/steward/one", time.Hour, nil)
	w.ownEndpoint.Give(own, []*issuer.Authority{w.authority}, club)
	eventually(t, "the club's roots", func() bool { return get() == 200 })
	if got, _, _ := w.call(f9, "POST", "/v1/proxies/f9/sums", `{"number":1}`, "Content-Type", "application/json"); got != 403 {
		t.Errorf("sums of the club's forwarder: %d", got)
	}
	// the club signs for our domain: its roots count for its own names only
	if got, _, _ := w.call(w.clientAs(t, w.sign(t, club, trustDomain+"/operator/ann", time.Hour, nil)), "GET", "/v1/hosts", ""); got != 0 {
		t.Errorf("our operator by the club's root: %d", got)
	}
	w.ownEndpoint.Give(own, []*issuer.Authority{w.authority})
	eventually(t, "the club to be left out", func() bool { return get() != 200 })
}

// Three hundred forwarders come at once with cold caches, four handshakes going on at a time: all join, and a poll that was
// held meanwhile is told a drain in time.
func TestHandshakeLimit(t *testing.T) {
	w := startWithIdentities(t, "handshakes: 4")
	id := func(i int) string { return fmt.Sprintf("%s/forwarder/a/g%d", trustDomain, i) }
	f1 := w.clientAs(t, w.sign(t, w.authority, trustDomain+"/forwarder/a/f1", time.Hour, nil))
	_, h, text := w.call(f1, "GET", "/v1/proxies/f1/tables?zone=a", "")
	for i := 0; i < 100 && !strings.Contains(text, "10.0.0.2:80"); i++ {
		_, h, text = w.call(f1, "GET", "/v1/proxies/f1/tables?zone=a", "", "If-None-Match", h.Get("Etag"), "Prefer", "wait=1")
	}
	const n = 300
	clients := make([]*http.Client, n)
	for i := range clients {
		clients[i] = w.clientAs(t, w.sign(t, w.authority, id(i), time.Hour, nil))
	}
	told := make(chan time.Duration, 1)
	began := time.Now()
	go func() {
		s, _, text := w.call(f1, "GET", "/v1/proxies/f1/tables?zone=a", "", "If-None-Match", h.Get("Etag"), "Prefer", "wait=10", "A-IM", "merge-patch")
		if s != 226 || !strings.Contains(text, `"10.0.0.1:80":null`) {
			t.Errorf("the held poll: %d %s", s, text)
		}
		told <- time.Since(began)
	}()
	eventually(t, "the poll to be held", func() bool { return w.loop.status().Polls == 1 })
	var all sync.WaitGroup
	joined := atomic.Int64{}
	for i, c := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			if s, _, _ := w.call(c, "GET", fmt.Sprintf("/v1/proxies/g%d/tables?zone=a", i), ""); s == 200 {
				joined.Add(1)
			}
		}()
	}
	w.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" phase: DRAINING } hosts { address: "10.0.0.2:80" zone: "b" weight: 0.5 }`)
	if took := <-told; took > 3*time.Second {
		t.Errorf("the held poll was told after %v, and the grace is 3 s", took)
	}
	all.Wait()
	if joined.Load() != n {
		t.Errorf("%d of %d joined", joined.Load(), n)
	}
	t.Logf("%d joined in %v", n, time.Since(began))
}

// Tokens stand in for a certificate where the steward takes them: for its own name, in time, and on one connection only.
func TestBearerTokens(t *testing.T) {
	t.Parallel()
	w := startWithIdentities(t, "tokens: true")
	other, err := issuer.NewAuthority("other.example")
	if err != nil {
		t.Fatal(err)
	}
	us, ann := trustDomain+"/steward/one", trustDomain+"/operator/ann"
	token := func(a *issuer.Authority, id string, aud []string, life time.Duration, change func(map[string]any)) string {
		text, err := a.Token(id, aud, life, change)
		if err != nil {
			t.Fatal(err)
		}
		return text
	}
	for _, x := range []struct {
		what, token string
		want        int
	}{
		{"as it should be", token(w.authority, ann, []string{us}, time.Minute, nil), 200},
		{"for another steward", token(w.authority, ann, []string{trustDomain + "/steward/two"}, time.Minute, nil), 401},
		{"for several", token(w.authority, ann, []string{us, trustDomain + "/steward/two"}, time.Minute, nil), 401},
		{"over", token(w.authority, ann, []string{us}, -2*time.Minute, nil), 401},
		{"without an end", token(w.authority, ann, []string{us}, time.Minute, func(c map[string]any) { delete(c, "exp") }), 401},
		{"of nobody", token(w.authority, ann, []string{us}, time.Minute, func(c map[string]any) { delete(c, "sub") }), 401},
		{"by another domain's key", token(other, ann, []string{us}, time.Minute, nil), 401},
		{"of another domain", token(other, "spiffe://other.example/operator/ann", []string{us}, time.Minute, nil), 401},
		{"of a forwarder", token(w.authority, trustDomain+"/forwarder/a/f1", []string{us}, time.Minute, nil), 403},
		{"none", "", 401}, {"no token", "x.y.z", 401},
	} {
		if got, _, text := w.call(anonymousClient(t), "GET", "/v1/hosts", "", "Authorization", "Bearer "+x.token); got != x.want {
			t.Errorf("%s: %d, not %d: %s", x.what, got, x.want, text)
		}
	}
	good := token(w.authority, ann, []string{us}, time.Minute, nil)
	owner, thief := anonymousClient(t), anonymousClient(t)
	for i, x := range []struct {
		c    *http.Client
		want int
	}{{owner, 200}, {thief, 401}, {owner, 200}} {
		if got, _, _ := w.call(x.c, "GET", "/v1/hosts", "", "Authorization", "Bearer "+good); got != x.want {
			t.Errorf("use %d: %d", i, got)
		}
	}
	// a certificate that is shown has to be good, token or not
	if got, _, _ := w.call(w.clientAs(t, w.sign(t, other, ann, time.Hour, nil)), "GET", "/v1/hosts", "", "Authorization", "Bearer "+token(w.authority, ann, []string{us}, time.Minute, nil)); got != 0 {
		t.Errorf("a bad certificate beside a token: %d", got)
	}
	// a poll is held no longer than its token lasts
	began := time.Now()
	f1 := token(w.authority, trustDomain+"/forwarder/a/f1", []string{us}, 3*time.Second, nil)
	c := anonymousClient(t)
	_, h, text := w.call(c, "GET", "/v1/proxies/f1/tables?zone=a", "", "Authorization", "Bearer "+f1)
	for i := 0; i < 20 && !strings.Contains(text, "10.0.0.2:80"); i++ {
		_, h, text = w.call(c, "GET", "/v1/proxies/f1/tables?zone=a", "", "Authorization", "Bearer "+f1, "If-None-Match", h.Get("Etag"), "Prefer", "wait=1")
	}
	got, _, _ := w.call(c, "GET", "/v1/proxies/f1/tables?zone=a", "", "Authorization", "Bearer "+f1, "If-None-Match", h.Get("Etag"), "Prefer", "wait=10")
	if took := time.Since(began); got != 304 || took > 4*time.Second {
		t.Errorf("held: %d after %v", got, took)
	}
	plain := startWithIdentities(t, "")
	if got, _, _ := plain.call(anonymousClient(t), "GET", "/v1/hosts", "", "Authorization", "Bearer "+good); got != 0 {
		t.Errorf("a steward that takes no tokens: %d", got)
	}
}

// A list service proves itself to the steward and the steward to it; a list of a service with another name is not taken.
func TestEndpointServiceIdentity(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	list := fmt.Sprintf(` list { url: "https://%s/hosts" id: "%s/list" wait_ms: 1000 }`, listener.Addr(), trustDomain)
	w := startWithIdentities(t, "", list)
	as := func(id string) *issuer.SVID { return w.sign(t, w.authority, trustDomain+id, time.Hour, nil) }
	e := w.endpoint(t, "list")
	e.Give(as("/impostor"), []*issuer.Authority{w.authority})
	source := openSource(t, e)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	changed := atomic.Bool{}
	go source.Follow(ctx, func(bool) { changed.Store(true) })
	asked := atomic.Pointer[string]{}
	server := &http.Server{Handler: http.HandlerFunc(func(a http.ResponseWriter, q *http.Request) {
		who := q.TLS.PeerCertificates[0].URIs[0].String()
		asked.Store(&who)
		a.Header().Set("ETag", `"1"`)
		fmt.Fprint(a, `{"hosts":{"10.0.0.1:80":{"zone":"a"}}}`)
	}), ErrorLog: log.New(io.Discard, "", 0)}
	go server.Serve(tls.NewListener(listener, source.Server()))
	t.Cleanup(func() { server.Close() })
	eventually(t, "the impostor to be turned away", func() bool { return strings.Contains(w.log.String(), "not "+trustDomain+"/list") })
	if n := w.loop.status().Hosts; n != 0 || asked.Load() != nil {
		t.Errorf("%d hosts by the impostor", n)
	}
	e.Give(as("/list"), []*issuer.Authority{w.authority})
	eventually(t, "the list", func() bool { return w.loop.status().Hosts == 1 })
	if who := asked.Load(); who == nil || *who != trustDomain+"/steward/one" {
		t.Errorf("asked by %v", who)
	}
}
