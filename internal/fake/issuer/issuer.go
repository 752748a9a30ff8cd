// Package issuer is a stand-in for an issuer of SPIFFE identities: it serves the Workload API over a unix socket, one
// socket for each workload, signs X.509-SVIDs of any length of life, and can do what an issuer must not: sign for other
// names, stand still, take roots away, hand out odd certificates. It serves tests and rehearsals.
package issuer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-jose/go-jose/v4"
	"github.com/spiffe/go-spiffe/v2/proto/spiffe/workload"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// Authority is a root of a trust domain.
type Authority struct {
	Domain string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	serial int64
	mu     sync.Mutex
}

// NewAuthority makes a root.
func NewAuthority(domain string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("making a root: %w", err)
	}
	t := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "root of " + domain}, NotBefore: time.Now().Add(-time.Hour),
		NotAfter: time.Now().Add(24 * time.Hour), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		URIs: []*url.URL{{Scheme: "spiffe", Host: domain}}}
	der, err := x509.CreateCertificate(rand.Reader, t, t, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("making a root: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	return &Authority{Domain: domain, cert: cert, key: key, serial: 1}, err
}

// SVID that was signed.
type SVID struct {
	ID   string
	Cert []byte // DER
	Key  []byte // PKCS 8
}

// Sign signs an identity for so long; change may make it one that must not be.
func (a *Authority) Sign(id string, life time.Duration, change func(*x509.Certificate)) (*SVID, error) {
	u, err := url.Parse(id)
	if err != nil {
		return nil, fmt.Errorf("signing: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("signing: %w", err)
	}
	a.mu.Lock()
	a.serial++
	serial := a.serial
	a.mu.Unlock()
	t := &x509.Certificate{SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Minute), NotAfter: time.Now().Add(life),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		BasicConstraintsValid: true, URIs: []*url.URL{u}}
	if change != nil {
		change(t)
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.cert, key.Public(), a.key)
	if err != nil {
		return nil, fmt.Errorf("signing: %w", err)
	}
	text, err := x509.MarshalPKCS8PrivateKey(key)
	return &SVID{id, der, text}, err
}

// Endpoint serves the Workload API to one workload.
type Endpoint struct {
	workload.UnimplementedSpiffeWorkloadAPIServer
	Address string // as unix:///…
	server  *grpc.Server

	mu      sync.Mutex
	svid    *SVID
	bundle  []byte            // roots of its own trust domain, DER one after the other
	others  map[string][]byte // of federated ones, by trust domain
	keys    map[string][]byte // JWK sets, by trust domain
	changed chan struct{}
}

// NewEndpoint listens in a folder.
func NewEndpoint(folder, name string) (*Endpoint, error) {
	path := filepath.Join(folder, name+".sock")
	l, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("opening the workload API: %w", err)
	}
	e := &Endpoint{Address: "unix://" + path, server: grpc.NewServer(), others: map[string][]byte{}, changed: make(chan struct{})}
	workload.RegisterSpiffeWorkloadAPIServer(e.server, e)
	go e.server.Serve(l)
	return e, nil
}

// Close ends it at once.
func (e *Endpoint) Close() { e.server.Stop() }

// Give hands out an identity and the roots to judge others by: those of the own trust domain, and of federated ones.
func (e *Endpoint) Give(v *SVID, own []*Authority, federated ...*Authority) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.svid, e.bundle, e.others = v, nil, map[string][]byte{}
	for _, a := range own {
		e.bundle = append(e.bundle, a.cert.Raw...)
	}
	for _, a := range federated {
		e.others["spiffe://"+a.Domain] = append(e.others["spiffe://"+a.Domain], a.cert.Raw...)
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// FetchX509SVID streams what is handed out (SPIFFE Workload API, section 5.2).
func (e *Endpoint) FetchX509SVID(_ *workload.X509SVIDRequest, out workload.SpiffeWorkloadAPI_FetchX509SVIDServer) error {
	return e.stream(out.Context(), func() func() error {
		r := &workload.X509SVIDResponse{FederatedBundles: e.others}
		if e.svid == nil {
			return nil
		}
		r.Svids = []*workload.X509SVID{{SpiffeId: e.svid.ID, X509Svid: e.svid.Cert, X509SvidKey: e.svid.Key, Bundle: e.bundle}}
		return func() error { return out.Send(r) }
	})
}

// stream sends what there is, and again after each change, until the caller goes. make is called under the lock and gives
// what sends it; nil where there is nothing yet.
func (e *Endpoint) stream(ctx context.Context, make func() func() error) error {
	if err := secured(ctx); err != nil {
		return err
	}
	for {
		e.mu.Lock()
		send, changed := make(), e.changed
		e.mu.Unlock()
		if send != nil {
			if err := send(); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// secured refuses callers that do not say that they are workloads (SPIFFE Workload Endpoint, section 6.1).
func secured(ctx context.Context) error {
	m, _ := metadata.FromIncomingContext(ctx)
	if v := m.Get("workload.spiffe.io"); len(v) != 1 || v[0] != "true" {
		return status.Error(codes.InvalidArgument, "the security header is missing")
	}
	return nil
}

// keyID names an authority's key in tokens.
func (a *Authority) keyID() string { return "key-of-" + a.Domain }

// Token signs a JWT-SVID for an audience; change may make it one that must not be.
func (a *Authority) Token(id string, audience []string, life time.Duration, change func(map[string]any)) (string, error) {
	claims := map[string]any{"sub": id, "aud": audience, "iat": time.Now().Unix(), "exp": time.Now().Add(life).Unix()}
	if change != nil {
		change(claims)
	}
	s, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.ES256, Key: jose.JSONWebKey{Key: a.key, KeyID: a.keyID()}}, (&jose.SignerOptions{}).WithType("JWT"))
	if err != nil {
		return "", fmt.Errorf("signing a token: %w", err)
	}
	text, err := json.Marshal(claims)
	if err != nil {
		return "", fmt.Errorf("signing a token: %w", err)
	}
	j, err := s.Sign(text)
	if err != nil {
		return "", fmt.Errorf("signing a token: %w", err)
	}
	return j.CompactSerialize()
}

// GiveKeys hands out the keys to judge tokens by.
func (e *Endpoint) GiveKeys(all ...*Authority) error {
	keys := map[string][]byte{}
	for _, a := range all {
		text, err := json.Marshal(jose.JSONWebKeySet{Keys: []jose.JSONWebKey{{Key: a.key.Public(), KeyID: a.keyID(), Use: "jwt-svid"}}})
		if err != nil {
			return fmt.Errorf("writing keys: %w", err)
		}
		keys["spiffe://"+a.Domain] = text
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.keys = keys
	close(e.changed)
	e.changed = make(chan struct{})
	return nil
}

// FetchJWTBundles streams the keys (SPIFFE Workload API, section 6.2.3).
func (e *Endpoint) FetchJWTBundles(_ *workload.JWTBundlesRequest, out workload.SpiffeWorkloadAPI_FetchJWTBundlesServer) error {
	return e.stream(out.Context(), func() func() error {
		keys := e.keys
		if len(keys) == 0 {
			return nil
		}
		return func() error { return out.Send(&workload.JWTBundlesResponse{Bundles: keys}) }
	})
}
