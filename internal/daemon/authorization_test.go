package daemon

import (
	"crypto/x509"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"barleysail/internal/fake/issuer"
)

// The policy is applied to each request, also on a connection that stays open.
func TestAuthorizationPerRequest(t *testing.T) {
	d := startWithIdentities(t, "", "")
	forwarder := d.clientWithID(forwarderID)
	host := d.clientWithID(trustDomain + "/host/10.0.0.1_80")
	operator := d.clientWithID(operatorID)
	standby := d.clientWithID(trustDomain + "/steward/two")
	tests := []struct {
		name               string
		client             *http.Client
		method, path, body string
		want               int
	}{
		{"own tables", forwarder, "GET", "/v1/proxies/f1/tables?zone=a", "", 200},
		{"another name on the open connection", forwarder, "GET", "/v1/proxies/f2/tables?zone=a", "", 403},
		{"another zone", forwarder, "GET", "/v1/proxies/f1/tables?zone=b", "", 403},
		{"own report", forwarder, "POST", "/v1/proxies/f1/sums", `{"number":1}`, 200},
		{"another's report", forwarder, "POST", "/v1/proxies/f2/sums?zone=a", `{"number":1}`, 403},
		{"another's session", forwarder, "DELETE", "/v1/proxies/f2", "", 403},
		{"status by a forwarder", forwarder, "GET", "/v1/status", "", 403},
		{"state by a forwarder", forwarder, "GET", "/v1/state", "", 403},
		{"own load", host, "POST", "/v1/hosts/10.0.0.1:80/load", `{"number":1,"load":{"util":0.5}}`, 200},
		{"another's load", host, "POST", "/v1/hosts/10.0.0.2:80/load", `{"number":1,"load":{"util":0.5}}`, 403},
		{"hosts by a host", host, "GET", "/v1/hosts", "", 403},
		{"hosts by an operator", operator, "GET", "/v1/hosts", "", 200},
		{"override by an operator", operator, "POST", "/v1/hosts/10.0.0.1:80/operator", `{"weight":2}`, 200},
		{"tables by an operator", operator, "GET", "/v1/proxies/f1/tables?zone=a", "", 403},
		{"state by a standby", standby, "GET", "/v1/state", "", 200},
		{"override by a standby", standby, "POST", "/v1/hosts/10.0.0.1:80/operator", `{"weight":2}`, 403},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			result := d.call(test.client, test.method, test.path, test.body, "Content-Type", "application/json")
			if result.status != test.want {
				t.Errorf("%s %s: status %d, want %d: %s", test.method, test.path, result.status, test.want, result.body)
			}
		})
	}
	if connected := d.loop.status().ConnectedProxies; connected != 1 {
		t.Errorf("got %d connected proxies, want 1", connected)
	}
}

// withURIs replaces the URI names of a certificate.
func withURIs(t *testing.T, texts ...string) func(*x509.Certificate) {
	t.Helper()
	var uris []*url.URL
	for _, text := range texts {
		uri, err := url.Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		uris = append(uris, uri)
	}
	return func(certificate *x509.Certificate) { certificate.URIs = uris }
}

// Invalid certificates are rejected in the handshake.
func TestInvalidCertificates(t *testing.T) {
	d := startWithIdentities(t, "", "")
	other := newAuthority(t, "other.example")
	sameName := newAuthority(t, "race.example") // the trust domain's name, but another root
	notYet := func(certificate *x509.Certificate) { certificate.NotBefore = time.Now().Add(5 * time.Minute) }
	asCA := func(certificate *x509.Certificate) {
		certificate.IsCA = true
		certificate.KeyUsage = x509.KeyUsageCertSign
	}
	tests := []struct {
		name      string
		authority *issuer.Authority
		validity  time.Duration
		change    func(*x509.Certificate)
		want      int
	}{
		{"valid", d.authority, time.Hour, nil, 200},
		{"another trust domain", other, time.Hour, withURIs(t, "spiffe://other.example/forwarder/a/f1"), 0},
		{"another root with the name of this domain", sameName, time.Hour, nil, 0},
		{"another domain's root for a name of this domain", other, time.Hour, nil, 0},
		{"expired", d.authority, -time.Second, nil, 0},
		{"not yet valid: the issuer's clock is five minutes ahead", d.authority, time.Hour, notYet, 0},
		{"a CA certificate as leaf", d.authority, time.Hour, asCA, 0},
		{"two URI names", d.authority, time.Hour, withURIs(t, forwarderID, operatorID), 0},
		{"no URI name", d.authority, time.Hour, withURIs(t), 0},
		{"upper case", d.authority, time.Hour, withURIs(t, "spiffe://RACE.example/forwarder/a/f1"), 0},
		{"a port", d.authority, time.Hour, withURIs(t, "spiffe://race.example:80/forwarder/a/f1"), 0},
		{"a query", d.authority, time.Hour, withURIs(t, forwarderID+"?x"), 0},
		{"a trailing slash", d.authority, time.Hour, withURIs(t, forwarderID+"/"), 0},
		{"another scheme", d.authority, time.Hour, withURIs(t, "https://race.example/forwarder/a/f1"), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			svid := signBy(t, test.authority, forwarderID, test.validity, test.change)
			result := d.getAs(clientAs(t, svid), forwarderPath)
			if result.status != test.want {
				t.Errorf("status %d, want %d: %s", result.status, test.want, result.body)
			}
		})
	}
	plainURL := strings.Replace(d.url, "https:", "http:", 1)
	if result := sendRequest(t, d.client, http.MethodGet, plainURL+"/v1/status", ""); result.status == 200 {
		t.Error("plain HTTP request: status 200, want it to be rejected")
	}
	if connected := d.loop.status().ConnectedProxies; connected != 1 {
		t.Errorf("got %d connected proxies, want 1", connected)
	}
}

// A forwarder of a federated trust domain is authenticated by that domain's roots, and may do only what the rule for
// its domain allows.
func TestFederation(t *testing.T) {
	t.Parallel()
	d := startWithIdentities(t,
		`allow { id: "spiffe://club.example/forwarder/{zone}/{proxy}" actions: "poll" }`, "")
	club := newAuthority(t, "club.example")
	forwarder := clientAs(t, signBy(t, club, "spiffe://club.example/forwarder/a/f9", time.Hour, nil))
	poll := func() int { return d.getAs(forwarder, "/v1/proxies/f9/tables?zone=a").status }
	if status := poll(); status != 0 {
		t.Errorf("poll without the roots of its trust domain: status %d, want the connection to be rejected", status)
	}
	own := d.sign(controllerID, time.Hour)
	d.ownEndpoint.SetIdentity(own, []*issuer.Authority{d.authority}, club)
	eventually(t, "the federated roots to be accepted", func() bool { return poll() == 200 })
	report := d.call(forwarder, http.MethodPost, "/v1/proxies/f9/sums", `{"number":1}`,
		"Content-Type", "application/json")
	if report.status != 403 {
		t.Errorf("report of the federated forwarder: status %d, want 403", report.status)
	}
	// A federated root is trusted only for names of its own domain, not for those of the daemon's domain.
	operator := clientAs(t, signBy(t, club, operatorID, time.Hour, nil))
	if result := d.getAs(operator, "/v1/hosts"); result.status != 0 {
		t.Errorf("operator signed by the federated root: status %d, want the connection to be rejected", result.status)
	}
	d.ownEndpoint.SetIdentity(own, []*issuer.Authority{d.authority})
	eventually(t, "the federated roots to be removed", func() bool { return poll() != 200 })
}

// tokenIssuer makes bearer tokens for TestBearerTokens.
type tokenIssuer struct {
	t         *testing.T
	authority *issuer.Authority
}

func (i tokenIssuer) token(id string, audience []string, validity time.Duration, change func(map[string]any)) string {
	i.t.Helper()
	text, err := i.authority.SignToken(id, audience, validity, change)
	if err != nil {
		i.t.Fatal(err)
	}
	return text
}

// getWithToken sends a request with a bearer token.
func (d *identityDaemon) getWithToken(client *http.Client, path, token string, header ...string) httpResult {
	d.t.Helper()
	return d.getAs(client, path, append([]string{"Authorization", "Bearer " + token}, header...)...)
}

// If the daemon accepts bearer tokens, a client without a certificate is authenticated by one that is issued for this
// daemon alone, has not expired and was not used on another connection.
func TestBearerTokens(t *testing.T) {
	t.Parallel()
	d := startWithIdentities(t, "tokens: true", "")
	own := tokenIssuer{t, d.authority}
	other := tokenIssuer{t, newAuthority(t, "other.example")}
	ownAudience := []string{controllerID}
	twoAudiences := []string{controllerID, trustDomain + "/steward/two"}
	withoutExpiry := func(claims map[string]any) { delete(claims, "exp") }
	withoutSubject := func(claims map[string]any) { delete(claims, "sub") }
	tests := []struct {
		name, token string
		want        int
	}{
		{"valid", own.token(operatorID, ownAudience, time.Minute, nil), 200},
		{"for another controller", own.token(operatorID, twoAudiences[1:], time.Minute, nil), 401},
		{"for several", own.token(operatorID, twoAudiences, time.Minute, nil), 401},
		{"expired", own.token(operatorID, ownAudience, -2*time.Minute, nil), 401},
		{"without an expiry", own.token(operatorID, ownAudience, time.Minute, withoutExpiry), 401},
		{"without a subject", own.token(operatorID, ownAudience, time.Minute, withoutSubject), 401},
		{"by another domain's key", other.token(operatorID, ownAudience, time.Minute, nil), 401},
		{"of another domain", other.token("spiffe://other.example/operator/ann", ownAudience, time.Minute, nil), 401},
		{"of a forwarder", own.token(forwarderID, ownAudience, time.Minute, nil), 403},
		{"empty", "", 401},
		{"no token", "x.y.z", 401},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			result := d.getWithToken(anonymousClient(t), "/v1/hosts", test.token)
			if result.status != test.want {
				t.Errorf("status %d, want %d: %s", result.status, test.want, result.body)
			}
		})
	}
	valid := own.token(operatorID, ownAudience, time.Minute, nil)
	t.Run("one connection only", func(t *testing.T) { checkTokenBoundToConnection(t, d, valid) })
	t.Run("beside an invalid certificate", func(t *testing.T) {
		client := clientAs(t, signBy(t, other.authority, operatorID, time.Hour, nil))
		token := own.token(operatorID, ownAudience, time.Minute, nil)
		if result := d.getWithToken(client, "/v1/hosts", token); result.status != 0 {
			t.Errorf("status %d, want the connection to be rejected", result.status)
		}
	})
	t.Run("expires during a poll", func(t *testing.T) {
		issued := time.Now()
		checkTokenBoundsPoll(t, d, own.token(forwarderID, ownAudience, 3*time.Second, nil), issued)
	})
	t.Run("a controller without tokens", func(t *testing.T) {
		plain := startWithIdentities(t, "", "")
		if result := plain.getWithToken(anonymousClient(t), "/v1/hosts", valid); result.status != 0 {
			t.Errorf("status %d, want the connection to be rejected", result.status)
		}
	})
}

// checkTokenBoundToConnection checks that a token is accepted on the connection of its first use only.
func checkTokenBoundToConnection(t *testing.T, d *identityDaemon, token string) {
	t.Helper()
	first, second := anonymousClient(t), anonymousClient(t)
	uses := []struct {
		client *http.Client
		want   int
	}{{first, 200}, {second, 401}, {first, 200}}
	for i, use := range uses {
		if result := d.getWithToken(use.client, "/v1/hosts", token); result.status != use.want {
			t.Errorf("use %d of the token: status %d, want %d", i+1, result.status, use.want)
		}
	}
}

// checkTokenBoundsPoll checks that a poll ends with its token, which was issued for 3 s.
func checkTokenBoundsPoll(t *testing.T, d *identityDaemon, token string, issued time.Time) {
	t.Helper()
	client := anonymousClient(t)
	tag := d.pollAsUntilBothHosts(client, "Authorization", "Bearer "+token).tag()
	result := d.getWithToken(client, forwarderPath, token, "If-None-Match", tag, "Prefer", "wait=10")
	if took := time.Since(issued); result.status != 304 || took > 4*time.Second {
		t.Errorf("poll ended with status %d %v after the token was issued, want 304 within 4 s", result.status, took)
	}
}

// Three hundred forwarders connect at once, with four handshakes at a time: all are served, and a poll that was
// pending before is notified of a draining host in time.
func TestHandshakeLimit(t *testing.T) {
	const proxies = 300
	const notificationLimit = 3 * time.Second // the default of guard.grace_ms
	d := startWithIdentities(t, "handshakes: 4", "")
	forwarder := d.clientWithID(forwarderID)
	tag := d.pollAsUntilBothHosts(forwarder).tag()
	clients := make([]*http.Client, proxies)
	for i := range clients {
		clients[i] = d.clientWithID(fmt.Sprintf("%s/forwarder/a/g%d", trustDomain, i))
	}
	began := time.Now()
	notified := inBackground(func() time.Duration {
		result := d.getAs(forwarder, forwarderPath, "If-None-Match", tag, "Prefer", "wait=10", "A-IM", "merge-patch")
		if result.status != 226 || !strings.Contains(result.body, `"10.0.0.1:80":null`) {
			t.Errorf("pending poll returned %+v, want a delta without the first host", result)
		}
		return time.Since(began)
	})
	d.waitForPolls(1)
	connected := make(chan bool, proxies)
	for i, client := range clients {
		go func() { // ends by the client's timeout
			connected <- d.getAs(client, fmt.Sprintf("/v1/proxies/g%d/tables?zone=a", i)).status == 200
		}()
	}
	d.writeHosts(firstHostDraining)
	if took := await(t, "the notification", waitLimit, notified); took > notificationLimit {
		t.Errorf("pending poll was notified after %v, want at most %v", took, notificationLimit)
	}
	count := 0
	for range clients {
		if await(t, "a new connection", requestTimeout, connected) {
			count++
		}
	}
	if count != proxies {
		t.Errorf("got %d connected proxies, want %d", count, proxies)
	}
	t.Logf("%d connected in %v", count, time.Since(began))
}
