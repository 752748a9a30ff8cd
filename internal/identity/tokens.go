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

// TokenVerifier verifies JWT-SVIDs (SPIFFE JWT-SVID, sections 2 to 5) of clients that have no certificate.
type TokenVerifier struct{ bundles *workloadapi.JWTSource }

// OpenTokenVerifier connects to the Workload API and waits for the first JWT bundles.
func OpenTokenVerifier(ctx context.Context, address string) (*TokenVerifier, error) {
	bundles, err := workloadapi.NewJWTSource(ctx, workloadapi.WithClientOptions(workloadapi.WithAddr(address)))
	if err != nil {
		return nil, fmt.Errorf("waiting for JWT bundles from %s: %w", address, err)
	}
	return &TokenVerifier{bundles}, nil
}

// Close ends the connection to the Workload API.
func (v *TokenVerifier) Close() error { return v.bundles.Close() }

// Verify verifies a token and returns the SPIFFE ID of its subject and the time at which it expires. The token has to
// be for the given audience alone: any other audience that receives it could use it here.
func (v *TokenVerifier) Verify(token, audience string) (id spiffeid.ID, expiry time.Time, err error) {
	svid, err := jwtsvid.ParseAndValidate(token, v.bundles, []string{audience})
	if err != nil {
		return spiffeid.ID{}, time.Time{}, fmt.Errorf("judging a token: %w", err)
	}
	if len(svid.Audience) != 1 {
		return spiffeid.ID{}, time.Time{}, fmt.Errorf(
			"judging a token: it is for %d audiences, and any of them could use it here", len(svid.Audience))
	}
	return svid.ID, svid.Expiry, nil
}

// ServerTLSWithTokens is like ServerTLS, but also admits clients without a certificate, which authenticate their
// requests by tokens. A certificate that a client does send has to be valid.
func (s *Source) ServerTLSWithTokens() *tls.Config {
	config := s.ServerTLS()
	verify := config.VerifyPeerCertificate
	config.ClientAuth = tls.RequestClientCert
	config.VerifyPeerCertificate = func(rawCerts [][]byte, chains [][]*x509.Certificate) error {
		if len(rawCerts) == 0 {
			return nil
		}
		return verify(rawCerts, chains)
	}
	return config
}

// AnonymousPeer returns the peer of a connection without a client certificate.
func (s *Source) AnonymousPeer() (*Peer, error) {
	_, expiry, err := s.Identity()
	if err != nil {
		return nil, err
	}
	return &Peer{ExpiresAt: expiry, source: s}, nil
}
