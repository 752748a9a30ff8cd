package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"time"

	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"barleysail/auth"
	"barleysail/internal/config"
	"barleysail/internal/http1"
	"barleysail/internal/identity"
)

// firstCredentialsTimeout is how long a start waits for the first credentials from the SPIFFE Workload API.
const firstCredentialsTimeout = 30 * time.Second

// openCredentials takes the daemon's own SPIFFE credentials from the configured Workload API, and follows their
// renewals until the context ends. It gives the authorization policy and the TLS settings of the HTTP API; both are
// nil where no Workload API is configured.
func (d *Daemon) openCredentials(ctx context.Context) (*auth.Policy, *http1.Secure, error) {
	policy, err := config.Policy(d.config)
	settings := d.config.Identity
	if err != nil || settings.WorkloadApi == "" {
		return nil, nil, err
	}
	firstCtx, cancel := context.WithTimeout(ctx, firstCredentialsTimeout)
	defer cancel()
	if d.credentials, err = identity.Open(firstCtx, settings.WorkloadApi); err != nil {
		return nil, nil, err
	}
	d.logCredentials(false)
	d.background.Go(func() { d.credentials.Follow(ctx, d.logCredentials) })
	serverTLS := d.credentials.Server()
	if settings.Tokens {
		if d.tokens, err = identity.OpenTokens(firstCtx, settings.WorkloadApi); err != nil {
			return nil, nil, err
		}
		serverTLS = d.credentials.ServerWithTokens()
	}
	return policy, &http1.Secure{TLS: serverTLS, AtOnce: int(*settings.Handshakes), Peer: d.authenticatePeer}, nil
}

// logCredentials logs the credentials in use. sameKey tells that a renewal brought the key that was in use before.
func (d *Daemon) logCredentials(sameKey bool) {
	if sameKey {
		d.log.Warn().Msg("the issuer handed out the same key again: whoever has copied it can prove this identity too")
	}
	id, expiry, err := d.credentials.Own()
	if err != nil {
		d.log.Error().Err(err).Msg("reading the own credentials failed")
		return
	}
	d.log.Info().Str("id", id.String()).Time("until", expiry).Msg("credentials loaded")
}

// authenticatePeer gives the identity of a connection's other end, by its certificate. Without a certificate the peer
// is anonymous: each of its requests has to bear a token.
func (d *Daemon) authenticatePeer(state tls.ConnectionState) (http1.Peer, error) {
	if len(state.PeerCertificates) == 0 {
		return d.credentials.Anonymous()
	}
	peer, err := d.credentials.Peer(state)
	if err != nil {
		d.log.Warn().Err(err).Msg("connection rejected")
		return nil, err // not peer: a nil *identity.Peer in the interface would not be nil
	}
	return peer, nil
}

// clientTLS gives the TLS settings for calls to a server whose SPIFFE ID is expectedID; nil where the daemon has no
// credentials, and calls are plain.
func (d *Daemon) clientTLS(expectedID string) *tls.Config {
	if d.credentials == nil {
		return nil
	}
	return d.credentials.Client(func(id spiffeid.ID) error {
		if id.String() != expectedID {
			return fmt.Errorf("it is %s, not %s", id, expectedID)
		}
		return nil
	})
}

// IdentityReport is the part of the status document on the daemon's own credentials.
type IdentityReport struct {
	ID     string  `json:"id"`
	LeftMs float64 `json:"left_ms"` // until they expire
	Failed string  `json:"failed"`  // why there are none
}

// identityReport gives the report; nil where the daemon has no credentials.
func identityReport(credentials *identity.Source) *IdentityReport {
	if credentials == nil {
		return nil
	}
	id, expiry, err := credentials.Own()
	if err != nil {
		return &IdentityReport{Failed: err.Error()}
	}
	return &IdentityReport{ID: id.String(), LeftMs: math.Round(time.Until(expiry).Seconds() * msPerSecond)}
}
