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

// Tokens judges JWT-SVIDs (SPIFFE JWT-SVID, sections 2 to 5), for callers that cannot prove themselves by a certificate.
type Tokens struct{ j *workloadapi.JWTSource }

// OpenTokens waits for the keys from the Workload API.
func OpenTokens(ctx context.Context, address string) (*Tokens, error) {
	j, err := workloadapi.NewJWTSource(ctx, workloadapi.WithClientOptions(workloadapi.WithAddr(address)))
	if err != nil {
		return nil, fmt.Errorf("waiting for the keys of tokens from %s: %w", address, err)
	}
	return &Tokens{j}, nil
}

// Close gives them up.
func (t *Tokens) Close() error { return t.j.Close() }

// Judge tells whose token it is, and when it ends. It has to be for an audience alone.
func (t *Tokens) Judge(token, audience string) (spiffeid.ID, time.Time, error) {
	v, err := jwtsvid.ParseAndValidate(token, t.j, []string{audience})
	if err != nil {
		return spiffeid.ID{}, time.Time{}, fmt.Errorf("judging a token: %w", err)
	}
	if len(v.Audience) != 1 {
		return spiffeid.ID{}, time.Time{}, fmt.Errorf("judging a token: it is for %d audiences, and any of them could use it here", len(v.Audience))
	}
	return v.ID, v.Expiry, nil
}

// ServerWithTokens is Server for a side that also takes callers without a certificate. A certificate that is shown has to
// be good all the same.
func (s *Source) ServerWithTokens() *tls.Config {
	c := s.Server()
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

// Anonymous is the other end of a connection that showed no certificate.
func (s *Source) Anonymous() (*Peer, error) {
	_, own, err := s.Own()
	if err != nil {
		return nil, err
	}
	return &Peer{Until: own, source: s}, nil
}
