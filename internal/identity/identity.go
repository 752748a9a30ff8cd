// Package identity proves who this program is and judges who others are, by SPIFFE X.509-SVIDs from the Workload API
// (SPIFFE Workload API; X.509-SVID, sections 3 to 5; SPIFFE-ID, section 2). Both sides of a connection prove themselves by
// TLS 1.3. A connection is judged again for each request while the roots change, and never outlives either identity.
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

// Source is where this program's identity and the roots of others come from. It keeps the last good ones while the Workload
// API is away.
type Source struct {
	x      *workloadapi.X509Source
	rounds atomic.Int64 // counts the updates
	now    func() time.Time

	mu     sync.Mutex
	signer *tablesig.Signer
	signed int64 // the round that it is of
}

// Open waits for the first identity from the Workload API at an address such as unix:///run/issuer.sock.
func Open(ctx context.Context, address string) (*Source, error) {
	x, err := workloadapi.NewX509Source(ctx, workloadapi.WithClientOptions(workloadapi.WithAddr(address)))
	if err != nil {
		return nil, fmt.Errorf("waiting for an identity from %s: %w", address, err)
	}
	s := &Source{x: x, now: time.Now}
	s.rounds.Store(1)
	return s, nil
}

// WatchUpdates counts updates until the context ends, and calls changed after each.
//
// again tells that the key is the one of before: an issuer should make a fresh one for each identity, since a key that is
// kept lets whoever has copied it prove the next identity too. The identity is taken all the same, and signs anew.
func (s *Source) WatchUpdates(ctx context.Context, changed func(again bool)) {
	last := s.key()
	for {
		select {
		case <-s.x.Updated():
			s.rounds.Add(1)
			key := s.key()
			again := key != nil && last != nil && key.Equal(last)
			last = key
			changed(again)
		case <-ctx.Done():
			return
		}
	}
}

// key is the public key of our identity; nil where there is none.
func (s *Source) key() interface{ Equal(crypto.PublicKey) bool } {
	v, err := s.x.GetX509SVID()
	if err != nil {
		return nil
	}
	key, _ := v.PrivateKey.Public().(interface{ Equal(crypto.PublicKey) bool })
	return key
}

// Close gives the source up.
func (s *Source) Close() error { return s.x.Close() }

// Identity is this program's identity, and when it ends.
func (s *Source) Identity() (spiffeid.ID, time.Time, error) {
	v, err := s.x.GetX509SVID()
	if err != nil {
		return spiffeid.ID{}, time.Time{}, fmt.Errorf("reading the own identity: %w", err)
	}
	return v.ID, v.Certificates[0].NotAfter, nil
}

// TableSigner gives a signer of tables by our identity as it is now.
func (s *Source) TableSigner() (*tablesig.Signer, error) {
	rounds := s.rounds.Load()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.signer != nil && s.signed == rounds {
		return s.signer, nil
	}
	v, err := s.x.GetX509SVID()
	if err != nil {
		return nil, fmt.Errorf("reading the own identity: %w", err)
	}
	if s.signer, err = tablesig.NewSigner(v.PrivateKey, v.Certificates); err != nil {
		return nil, err
	}
	s.signed = rounds
	return s.signer, nil
}

// SignerVerifier judges the chain of a table's signature: it has to be by a root of ours, and of one whom expect accepts.
func (s *Source) SignerVerifier(expect func(spiffeid.ID) error) func([]*x509.Certificate) error {
	return func(chain []*x509.Certificate) error {
		id, _, err := x509svid.Verify(chain, s.x, x509svid.WithTime(s.now()))
		if err != nil {
			return err
		}
		return expect(id)
	}
}

// TLSCertificate is our identity for a TLS connection, with its key.
func (s *Source) TLSCertificate() (*tls.Certificate, error) {
	v, err := s.x.GetX509SVID()
	if err != nil {
		return nil, fmt.Errorf("reading the own identity: %w", err)
	}
	c := &tls.Certificate{PrivateKey: v.PrivateKey}
	for _, x := range v.Certificates {
		c.Certificate = append(c.Certificate, x.Raw)
	}
	return c, nil
}

// ServerTLS gives the settings of the side that listens. Whom a request is from, Peer tells.
func (s *Source) ServerTLS() *tls.Config {
	return strict(tlsconfig.MTLSServerConfig(s.x, s.x, tlsconfig.AuthorizeAny()))
}

// ClientTLS gives the settings of the side that dials, for a server that has to be one of those expected.
func (s *Source) ClientTLS(expect func(spiffeid.ID) error) *tls.Config {
	return strict(tlsconfig.MTLSClientConfig(s.x, s.x, func(id spiffeid.ID, _ [][]*x509.Certificate) error { return expect(id) }))
}

// strict allows TLS 1.3 only, and no resumption: a session resumed would prove what was so, not what is.
func strict(c *tls.Config) *tls.Config {
	c.MinVersion = tls.VersionTLS13
	c.SessionTicketsDisabled = true
	return c
}

// Peer is who stands at the other end of a connection.
type Peer struct {
	ID        spiffeid.ID
	ExpiresAt time.Time // the earlier end of its identity and, for a proof of ours, of our own
	certs     []*x509.Certificate
	rounds    int64 // of the source, when it was last judged
	source    *Source
}

// ErrExpired says that an identity is over.
var ErrExpired = errors.New("the identity is over")

// VerifyPeer judges the other end of a connection whose handshake is done.
func (s *Source) VerifyPeer(state tls.ConnectionState) (*Peer, error) {
	p := &Peer{certs: state.PeerCertificates, source: s}
	if err := p.judge(); err != nil {
		return nil, err
	}
	p.ExpiresAt = p.certs[0].NotAfter
	if _, own, err := s.Identity(); err == nil && own.Before(p.ExpiresAt) {
		p.ExpiresAt = own
	}
	return p, nil
}

// judge verifies the chain by the roots as they stand.
func (p *Peer) judge() error {
	rounds := p.source.rounds.Load()
	id, _, err := x509svid.Verify(p.certs, p.source.x, x509svid.WithTime(p.source.now()))
	if err != nil {
		return fmt.Errorf("judging the peer: %w", err)
	}
	p.ID, p.rounds = id, rounds
	return nil
}

// Still tells whether the peer is still who it was: its identity is not over, nor its root taken away. It is cheap while
// neither the roots nor our identity changed.
func (p *Peer) Verify() error {
	if !p.source.now().Before(p.ExpiresAt) {
		return ErrExpired
	}
	if len(p.certs) > 0 && p.rounds != p.source.rounds.Load() {
		return p.judge()
	}
	return nil
}

// Ends is when the connection has to end.
func (p *Peer) Expiry() time.Time { return p.ExpiresAt }
