package daemon

import (
	"crypto/x509"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"barleysail/client"
	"barleysail/internal/fake/issuer"
	"barleysail/internal/tablesig"
)

// replayingCache is an HTTP cache between proxies and a controller. It forwards requests, and can reply with the first
// snapshot that it received, or remove signatures.
type replayingCache struct {
	next          http.RoundTripper
	first         atomic.Pointer[cachedTables]
	replay, strip atomic.Bool
}

type cachedTables struct {
	header http.Header
	body   string
}

func (c *replayingCache) RoundTrip(request *http.Request) (*http.Response, error) {
	forTables := strings.HasSuffix(request.URL.Path, "/tables")
	if first := c.first.Load(); forTables && first != nil && c.replay.Load() {
		return &http.Response{
			StatusCode: http.StatusOK,
			Status:     "200 OK",
			Header:     first.header.Clone(),
			Body:       io.NopCloser(strings.NewReader(first.body)),
			Request:    request,
		}, nil
	}
	response, err := c.next.RoundTrip(request)
	if err != nil || !forTables {
		return response, err
	}
	return c.cache(response)
}

// cache stores the first snapshot with both hosts.
func (c *replayingCache) cache(response *http.Response) (*http.Response, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, err
	}
	if err := response.Body.Close(); err != nil {
		return nil, err
	}
	response.Body = io.NopCloser(strings.NewReader(string(body)))
	if response.StatusCode == http.StatusOK && strings.Contains(string(body), "10.0.0.2:80") {
		c.first.CompareAndSwap(nil, &cachedTables{response.Header.Clone(), string(body)})
	}
	if c.strip.Load() {
		response.Header.Del(tablesig.HeaderName)
	}
	return response, nil
}

// signatureClient is a client behind a replayingCache that requires signed tables.
type signatureClient struct {
	proxy    *client.Client
	rejected atomic.Int64 // tables rejected as old or without a valid signature
	stop     func()
}

func (d *identityDaemon) runSignatureClient(cache *replayingCache,
	verify func([]*x509.Certificate) error) *signatureClient {
	d.t.Helper()
	c := &signatureClient{}
	c.proxy, c.stop = runClient(d.t, client.Options{
		Controllers:  []string{d.url},
		Proxy:        "f1",
		Zone:         "a",
		HTTP:         &http.Client{Transport: cache},
		PollTimeout:  time.Second,
		MinBackoff:   5 * time.Millisecond,
		MaxBackoff:   20 * time.Millisecond,
		VerifySigner: verify,
		Log: func(line string) {
			for _, reason := range []string{"older", "verifying the signer", "not signed"} {
				if strings.Contains(line, reason) {
					c.rejected.Add(1)
					return
				}
			}
		},
	})
	return c
}

// weight returns the second host's weight, or 0 if there are no tables.
func (c *signatureClient) weight() float64 { return hostWeight(c.proxy, "10.0.0.2:80") }

// A client that requires signed tables accepts snapshots and deltas of the expected controller. It rejects tables that
// are unsigned, are signed by another controller of the same trust domain, or are old ones replayed from a cache.
func TestSignedTables(t *testing.T) {
	t.Parallel()
	d := startWithIdentities(t, "", "")
	endpoint := d.newEndpoint("f1")
	endpoint.SetIdentity(d.sign(forwarderID, time.Hour), []*issuer.Authority{d.authority})
	source := openSource(t, endpoint)
	transport := &http.Transport{TLSClientConfig: source.ClientTLS(expectID(controllerID))}
	t.Cleanup(transport.CloseIdleConnections)
	cache := &replayingCache{next: transport}
	setWeight := func(weight float64) {
		d.writeHosts(fmt.Sprintf(`hosts { address: "10.0.0.1:80" zone: "a" }
hosts { address: "10.0.0.2:80" zone: "b" weight: %g }`, weight))
	}
	c := d.runSignatureClient(cache, source.SignerVerifier(expectID(controllerID)))
	eventually(t, "the tables", func() bool { return c.weight() == 0.5 })
	setWeight(0.7)
	eventually(t, "a delta", func() bool { return c.weight() == 0.7 })

	cache.replay.Store(true)
	eventually(t, "the old table to be rejected", func() bool { return c.rejected.Load() > 0 })
	if weight := c.weight(); weight != 0.7 {
		t.Errorf("got weight %g after a replay of old tables, want 0.7", weight)
	}
	cache.replay.Store(false)
	setWeight(0.8)
	eventually(t, "a newer table", func() bool { return c.weight() == 0.8 })

	cache.strip.Store(true)
	c.rejected.Store(0)
	setWeight(0.9)
	eventually(t, "an unsigned table to be rejected", func() bool { return c.rejected.Load() > 0 })
	if weight := c.weight(); weight != 0.8 {
		t.Errorf("got weight %g after unsigned tables, want 0.8", weight)
	}
	c.stop()
	cache.strip.Store(false)

	c = d.runSignatureClient(cache, source.SignerVerifier(expectID(trustDomain+"/steward/two")))
	eventually(t, "another controller's table to be rejected", func() bool { return c.rejected.Load() > 0 })
	if weight := c.weight(); weight != 0 {
		t.Errorf("got weight %g from tables of another controller, want none", weight)
	}
	c.stop()
}
