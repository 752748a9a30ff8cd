// Package identity authenticates this program and its peers by SPIFFE X.509-SVIDs (X.509-SVID, sections 3 to 5;
// SPIFFE-ID, section 2), which it gets from the SPIFFE Workload API. Connections use mutual TLS 1.3. After each change
// of the trust bundle the peer of a connection is verified again before its next request, and a connection ends before
// the certificate of either side expires.
package identity

import (
	"context"
	"crypto"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/spiffe/go-spiffe/v2/spiffetls/tlsconfig"
	"github.com/spiffe/go-spiffe/v2/svid/x509svid"
	"github.com/spiffe/go-spiffe/v2/workloadapi"

	"barleysail/internal/tablesig"
)

// Source holds this program's X.509-SVID and the trust bundles, and updates them from the Workload API. While the
// Workload API is unavailable it keeps the last ones.
type Source struct {
	x509Source *workloadapi.X509Source
	version    atomic.Int64 // incremented by each update
	now        func() time.Time

	mu            sync.Mutex
	signer        *tablesig.Signer // nil: none made yet
	signerVersion int64            // version of the source that the signer was made of
}

// Open connects to the Workload API at an address such as unix:///run/issuer.sock and waits for the first X.509-SVID.
func Open(ctx context.Context, address string) (*Source, error) {
	x509Source, err := workloadapi.NewX509Source(ctx, workloadapi.WithClientOptions(workloadapi.WithAddr(address)))
	if err != nil {
		return nil, fmt.Errorf("waiting for an X.509-SVID from %s: %w", address, err)
	}
	s := &Source{x509Source: x509Source, now: time.Now}
	s.version.Store(1)
	return s, nil
}

// WatchUpdates waits for updates until the context ends, and calls onUpdate after each.
//
// keyReused reports that the new X.509-SVID has the key of the previous one. An issuer should create a new key for each
// SVID, since whoever has copied a key that is reused can impersonate the next identity too. The SVID is used all the
// same, also by TableSigner.
func (s *Source) WatchUpdates(ctx context.Context, onUpdate func(keyReused bool)) {
	lastKey := s.publicKey()
	for {
		select {
		case <-s.x509Source.Updated():
			s.version.Add(1)
			key := s.publicKey()
			keyReused := key != nil && lastKey != nil && key.Equal(lastKey)
			lastKey = key
			onUpdate(keyReused)
		case <-ctx.Done():
			return
		}
	}
}

// publicKey returns the public key of this program's X.509-SVID, nil if there is none.
func (s *Source) publicKey() interface{ Equal(crypto.PublicKey) bool } {
	svid, err := s.x509Source.GetX509SVID()
	if err != nil {
		return nil
	}
	key, _ := svid.PrivateKey.Public().(interface{ Equal(crypto.PublicKey) bool })
	return key
}

// Close ends the connection to the Workload API.
func (s *Source) Close() error { return s.x509Source.Close() }

// Identity returns this program's SPIFFE ID and the time at which its X.509-SVID expires.
func (s *Source) Identity() (id spiffeid.ID, expiry time.Time, err error) {
	svid, err := s.x509Source.GetX509SVID()
	if err != nil {
		return spiffeid.ID{}, time.Time{}, fmt.Errorf("reading the own identity: %w", err)
	}
	return svid.ID, svid.Certificates[0].NotAfter, nil
}

// TableSigner returns a signer of tables with this program's current X.509-SVID.
func (s *Source) TableSigner() (*tablesig.Signer, error) {
	version := s.version.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.signer != nil && s.signerVersion == version {
		return s.signer, nil
	}
	svid, err := s.x509Source.GetX509SVID()
	if err != nil {
		return nil, fmt.Errorf("reading the own identity: %w", err)
	}
	if s.signer, err = tablesig.NewSigner(svid.PrivateKey, svid.Certificates); err != nil {
		return nil, err
	}
	s.signerVersion = version
	return s.signer, nil
}

// SignerVerifier returns a function that verifies the certificate chain of a table's signature: the trust bundles have
// to verify the chain, and authorize has to accept the signer's SPIFFE ID.
func (s *Source) SignerVerifier(authorize func(spiffeid.ID) error) func(chain []*x509.Certificate) error {
	return func(chain []*x509.Certificate) error {
		id, _, err := x509svid.Verify(chain, s.x509Source, x509svid.WithTime(s.now()))
		if err != nil {
			return err
		}
		return authorize(id)
	}
}

// TLSCertificate returns this program's X.509-SVID, with its private key, as a TLS certificate.
func (s *Source) TLSCertificate() (*tls.Certificate, error) {
	svid, err := s.x509Source.GetX509SVID()
	if err != nil {
		return nil, fmt.Errorf("reading the own identity: %w", err)
	}
	certificate := &tls.Certificate{PrivateKey: svid.PrivateKey}
	for _, c := range svid.Certificates {
		certificate.Certificate = append(certificate.Certificate, c.Raw)
	}
	return certificate, nil
}

// ServerTLS returns TLS settings for a server. Clients need a valid X.509-SVID of any SPIFFE ID; VerifyPeer returns the
// ID.
func (s *Source) ServerTLS() *tls.Config {
	return restrict(tlsconfig.MTLSServerConfig(s.x509Source, s.x509Source, tlsconfig.AuthorizeAny()))
}

// ClientTLS returns TLS settings for a client, which connects only to servers with a SPIFFE ID that authorize accepts.
func (s *Source) ClientTLS(authorize func(spiffeid.ID) error) *tls.Config {
	authorizer := func(id spiffeid.ID, _ [][]*x509.Certificate) error { return authorize(id) }
	return restrict(tlsconfig.MTLSClientConfig(s.x509Source, s.x509Source, authorizer))
}

// restrict requires TLS 1.3 and disables session resumption: a resumed session would rely on the verification of an
// earlier connection instead of the current trust bundle.
func restrict(config *tls.Config) *tls.Config {
	config.MinVersion = tls.VersionTLS13
	config.SessionTicketsDisabled = true
	return config
}

// Peer is the authenticated peer of a connection.
type Peer struct {
	ID        spiffeid.ID // zero for an anonymous peer
	ExpiresAt time.Time   // the earlier expiry of the peer's and this program's X.509-SVID

	certificates    []*x509.Certificate // empty for an anonymous peer
	source          *Source
	verifiedVersion int64 // version of the source at the last verification
}

// ErrExpired is the error of a peer whose X.509-SVID, or this program's own, has expired.
var ErrExpired = errors.New("the X.509-SVID has expired")

// VerifyPeer verifies the peer's certificate chain of a connection after its handshake, and returns the peer.
func (s *Source) VerifyPeer(state tls.ConnectionState) (*Peer, error) {
	peer := &Peer{certificates: state.PeerCertificates, source: s}
	if err := peer.verifyChain(); err != nil {
		return nil, err
	}
	peer.ExpiresAt = peer.certificates[0].NotAfter
	if _, expiry, err := s.Identity(); err == nil && expiry.Before(peer.ExpiresAt) {
		peer.ExpiresAt = expiry
	}
	return peer, nil
}

// verifyChain verifies the certificate chain by the current trust bundles and sets the peer's ID.
func (p *Peer) verifyChain() error {
	version := p.source.version.Load()
	id, _, err := x509svid.Verify(p.certificates, p.source.x509Source, x509svid.WithTime(p.source.now()))
	if err != nil {
		return fmt.Errorf("verifying the peer's X.509-SVID: %w", err)
	}
	p.ID, p.verifiedVersion = id, version
	return nil
}

// Verify returns an error if the peer's X.509-SVID has expired or the trust bundles no longer verify it. It verifies
// the certificate chain only if the source has been updated since the last time.
func (p *Peer) Verify() error {
	if !p.source.now().Before(p.ExpiresAt) {
		return ErrExpired
	}
	if len(p.certificates) > 0 && p.verifiedVersion != p.source.version.Load() {
		return p.verifyChain()
	}
	return nil
}

// Expiry returns the time by which the connection has to end.
func (p *Peer) Expiry() time.Time { return p.ExpiresAt }
