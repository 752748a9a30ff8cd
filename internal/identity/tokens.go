package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"
	"github.com/spiffe/go-spiffe/v2/svid/jwtsvid"
	"github.com/spiffe/go-spiffe/v2/workloadapi"
)

// TokenVerifier judges JWT-SVIDs (SPIFFE JWT-SVID, sections 2 to 5), for callers that cannot prove themselves by a certificate.
type TokenVerifier struct{ j *workloadapi.JWTSource }

// OpenTokenVerifier waits for the keys from the Workload API.
func OpenTokenVerifier(ctx context.Context, address string) (*TokenVerifier, error) {
	j, err := workloadapi.NewJWTSource(ctx, workloadapi.WithClientOptions(workloadapi.WithAddr(address)))
	if err != nil {
		return nil, fmt.Errorf("waiting for the keys of tokens from %s: %w", address, err)
	}
	return &TokenVerifier{j}, nil
}

// Close gives them up.
func (t *TokenVerifier) Close() error { return t.j.Close() }

// Verify tells whose token it is, and when it ends. It has to be for an audience alone.
func (t *TokenVerifier) Verify(token, audience string) (spiffeid.ID, time.Time, error) {
	v, err := jwtsvid.ParseAndValidate(token, t.j, []string{audience})
	if err != nil {
		return spiffeid.ID{}, time.Time{}, fmt.Errorf("judging a token: %w", err)
	}
	if len(v.Audience) != 1 {
		return spiffeid.ID{}, time.Time{}, fmt.Errorf("judging a token: it is for %d audiences, and any of them could use it here", len(v.Audience))
	}
	return v.ID, v.Expiry, nil
}

// ServerTLSWithTokens is Server for a side that also takes callers without a certificate. A certificate that is shown has to
// be good all the same.
func (s *Source) ServerTLSWithTokens() *tls.Config {
	c := s.ServerTLS()
	verify := c.VerifyPeerCertificate
	c.ClientAuth = tls.RequestClientCert
	c.VerifyPeerCertificate = func(raw [][]byte, chains [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return nil
		}
		return verify(raw, chains)
	}
	return c
}

// AnonymousPeer is the other end of a connection that showed no certificate.
func (s *Source) AnonymousPeer() (*Peer, error) {
	_, own, err := s.Identity()
	if err != nil {
		return nil, err
	}
	return &Peer{ExpiresAt: own, source: s}, nil
}
