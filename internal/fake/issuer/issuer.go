// Package issuer is a test double of an issuer of SPIFFE identities. It serves the Workload API on a Unix socket for
// each workload, and signs X.509-SVIDs of any validity. It can also do what an issuer must not: sign any identity, stop
// renewing, withdraw trusted authorities, and issue malformed certificates.
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

// Authority is the certificate authority of a trust domain.
type Authority struct {
	Domain      string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
	mu          sync.Mutex
}

// NewAuthority creates an authority with a self-signed root certificate.
func NewAuthority(domain string) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("creating a root certificate: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "root of " + domain},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(24 * time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
		URIs:                  []*url.URL{{Scheme: "spiffe", Host: domain}},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("creating a root certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{Domain: domain, certificate: certificate, key: key, serial: 1}, err
}

// SVID is an X.509-SVID with its private key.
type SVID struct {
	ID              string
	CertificateDER  []byte
	PrivateKeyPKCS8 []byte
}

// Sign signs a certificate for a SPIFFE ID. change may alter the certificate before it is signed, also to a malformed
// one; nil changes nothing.
func (a *Authority) Sign(id string, validity time.Duration, change func(*x509.Certificate)) (*SVID, error) {
	uri, err := url.Parse(id)
	if err != nil {
		return nil, fmt.Errorf("signing an X.509-SVID: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("signing an X.509-SVID: %w", err)
	}
	a.mu.Lock()
	a.serial++
	serial := a.serial
	a.mu.Unlock()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(serial),
		NotBefore:             time.Now().Add(-time.Minute),
		NotAfter:              time.Now().Add(validity),
		KeyUsage:              x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		BasicConstraintsValid: true,
		URIs:                  []*url.URL{uri},
	}
	if change != nil {
		change(template)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return nil, fmt.Errorf("signing an X.509-SVID: %w", err)
	}
	privateKey, err := x509.MarshalPKCS8PrivateKey(key)
	return &SVID{id, der, privateKey}, err
}

// Endpoint serves the Workload API to one workload.
type Endpoint struct {
	workload.UnimplementedSpiffeWorkloadAPIServer
	Address string // unix:///PATH
	server  *grpc.Server

	mu               sync.Mutex
	svid             *SVID
	bundle           []byte            // authorities of its own trust domain, as concatenated DER
	federatedBundles map[string][]byte // of federated trust domains, by trust domain
	jwtKeySets       map[string][]byte // by trust domain
	changed          chan struct{}     // closed and replaced after each change
}

// NewEndpoint serves the Workload API on the socket NAME.sock in a folder.
func NewEndpoint(folder, name string) (*Endpoint, error) {
	path := filepath.Join(folder, name+".sock")
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, fmt.Errorf("listening on the Workload API's socket: %w", err)
	}
	e := &Endpoint{
		Address:          "unix://" + path,
		server:           grpc.NewServer(),
		federatedBundles: map[string][]byte{},
		changed:          make(chan struct{}),
	}
	workload.RegisterSpiffeWorkloadAPIServer(e.server, e)
	go func() { _ = e.server.Serve(listener) }() // ends with Close
	return e, nil
}

// Close stops serving and closes all connections.
func (e *Endpoint) Close() { e.server.Stop() }

// SetIdentity replaces the workload's identity and the authorities that it trusts, of its own and of federated trust
// domains.
func (e *Endpoint) SetIdentity(svid *SVID, own []*Authority, federated ...*Authority) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.svid, e.bundle, e.federatedBundles = svid, nil, map[string][]byte{}
	for _, a := range own {
		e.bundle = append(e.bundle, a.certificate.Raw...)
	}
	for _, a := range federated {
		e.federatedBundles["spiffe://"+a.Domain] = append(e.federatedBundles["spiffe://"+a.Domain], a.certificate.Raw...)
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// FetchX509SVID streams the identity and the trusted authorities (SPIFFE Workload API, section 5.2).
func (e *Endpoint) FetchX509SVID(
	_ *workload.X509SVIDRequest, stream workload.SpiffeWorkloadAPI_FetchX509SVIDServer,
) error {
	return e.streamUpdates(stream.Context(), func() func() error {
		response := &workload.X509SVIDResponse{FederatedBundles: e.federatedBundles}
		if e.svid == nil {
			return nil
		}
		response.Svids = []*workload.X509SVID{{
			SpiffeId:    e.svid.ID,
			X509Svid:    e.svid.CertificateDER,
			X509SvidKey: e.svid.PrivateKeyPKCS8,
			Bundle:      e.bundle,
		}}
		return func() error { return stream.Send(response) }
	})
}

// streamUpdates sends the current state, and again after each change, until the caller disconnects. prepare is called
// with e.mu held and returns the function that sends, or nil if there is nothing to send yet.
func (e *Endpoint) streamUpdates(ctx context.Context, prepare func() func() error) error {
	if err := checkSecurityHeader(ctx); err != nil {
		return err
	}
	for {
		e.mu.Lock()
		send, changed := prepare(), e.changed
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

// checkSecurityHeader rejects calls without the security header (SPIFFE Workload Endpoint, section 6.1).
func checkSecurityHeader(ctx context.Context) error {
	header, _ := metadata.FromIncomingContext(ctx)
	if values := header.Get("workload.spiffe.io"); len(values) != 1 || values[0] != "true" {
		return status.Error(codes.InvalidArgument, "the security header is missing")
	}
	return nil
}

// keyID returns the ID of the authority's key in tokens.
func (a *Authority) keyID() string { return "key-of-" + a.Domain }

// SignToken signs a JWT-SVID for an audience. change may alter the claims before they are signed; nil changes nothing.
func (a *Authority) SignToken(
	id string, audience []string, validity time.Duration, change func(map[string]any),
) (string, error) {
	claims := map[string]any{"sub": id, "aud": audience, "iat": time.Now().Unix(), "exp": time.Now().Add(validity).Unix()}
	if change != nil {
		change(claims)
	}
	key := jose.JSONWebKey{Key: a.key, KeyID: a.keyID()}
	signer, err := jose.NewSigner(jose.SigningKey{Algorithm: jose.ES256, Key: key},
		(&jose.SignerOptions{}).WithType("JWT"))
	if err != nil {
		return "", fmt.Errorf("signing a JWT-SVID: %w", err)
	}
	payload, err := json.Marshal(claims)
	if err != nil {
		return "", fmt.Errorf("signing a JWT-SVID: %w", err)
	}
	signed, err := signer.Sign(payload)
	if err != nil {
		return "", fmt.Errorf("signing a JWT-SVID: %w", err)
	}
	return signed.CompactSerialize()
}

// SetJWTKeys replaces the authorities whose tokens the workload trusts.
func (e *Endpoint) SetJWTKeys(authorities ...*Authority) error {
	keySets := map[string][]byte{}
	for _, a := range authorities {
		key := jose.JSONWebKey{Key: a.key.Public(), KeyID: a.keyID(), Use: "jwt-svid"}
		keySet, err := json.Marshal(jose.JSONWebKeySet{Keys: []jose.JSONWebKey{key}})
		if err != nil {
			return fmt.Errorf("encoding a JWK set: %w", err)
		}
		keySets["spiffe://"+a.Domain] = keySet
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jwtKeySets = keySets
	close(e.changed)
	e.changed = make(chan struct{})
	return nil
}

// FetchJWTBundles streams the authorities' keys (SPIFFE Workload API, section 6.2.3).
func (e *Endpoint) FetchJWTBundles(
	_ *workload.JWTBundlesRequest, stream workload.SpiffeWorkloadAPI_FetchJWTBundlesServer,
) error {
	return e.streamUpdates(stream.Context(), func() func() error {
		keySets := e.jwtKeySets
		if len(keySets) == 0 {
			return nil
		}
		return func() error { return stream.Send(&workload.JWTBundlesResponse{Bundles: keySets}) }
	})
}
