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

// firstCredentialsTimeout is how long the daemon waits for its first credentials from the SPIFFE Workload API.
const firstCredentialsTimeout = 30 * time.Second

// openCredentials gets the daemon's own SPIFFE credentials from the configured Workload API and applies their renewals
// until the context ends. It returns the authorization policy and the TLS settings of the HTTP API, which are both nil
// if no Workload API is configured.
func (d *Daemon) openCredentials(ctx context.Context) (*auth.Policy, *http1.TLSOptions, error) {
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
	d.background.Go(func() { d.credentials.WatchUpdates(ctx, d.logCredentials) })
	serverTLS := d.credentials.ServerTLS()
	if settings.Tokens {
		if d.tokens, err = identity.OpenTokenVerifier(firstCtx, settings.WorkloadApi); err != nil {
			return nil, nil, err
		}
		serverTLS = d.credentials.ServerTLSWithTokens()
	}
	options := &http1.TLSOptions{
		Config:        serverTLS,
		Authenticate:  d.authenticatePeer,
		MaxHandshakes: int(*settings.Handshakes),
	}
	return policy, options, nil
}

// logCredentials logs the credentials in use. sameKey says that the renewed credentials have the same key as before.
func (d *Daemon) logCredentials(sameKey bool) {
	if sameKey {
		d.log.Warn().Msg("renewed credentials have the same key as before: anyone with a copy of the key can use them")
	}
	id, expiry, err := d.credentials.Identity()
	if err != nil {
		d.log.Error().Err(err).Msg("reading the daemon's credentials failed")
		return
	}
	d.log.Info().Str("id", id.String()).Time("until", expiry).Msg("credentials loaded")
}

// authenticatePeer returns the identity of a connection's peer by its certificate. A peer without a certificate is
// anonymous: each of its requests has to carry a bearer token. A connection with an invalid certificate is rejected.
func (d *Daemon) authenticatePeer(state tls.ConnectionState) (http1.Peer, error) {
	if len(state.PeerCertificates) == 0 {
		return d.credentials.AnonymousPeer()
	}
	peer, err := d.credentials.VerifyPeer(state)
	if err != nil {
		d.log.Warn().Err(err).Msg("connection rejected")
		return nil, err // not peer, since an interface with a nil *identity.Peer is not nil
	}
	return peer, nil
}

// clientTLS returns the TLS settings for calls to a server with the SPIFFE ID expectedID. It returns nil if the daemon
// has no credentials: calls are then plain HTTP.
func (d *Daemon) clientTLS(expectedID string) *tls.Config {
	if d.credentials == nil {
		return nil
	}
	return d.credentials.ClientTLS(func(id spiffeid.ID) error {
		if id.String() != expectedID {
			return fmt.Errorf("it is %s, not %s", id, expectedID)
		}
		return nil
	})
}

// IdentityReport is the part of the status document on the daemon's own credentials.
type IdentityReport struct {
	ID          string  `json:"id"`
	RemainingMs float64 `json:"left_ms"` // until the credentials expire
	Error       string  `json:"failed"`  // why there are no credentials; empty: there are
}

// identityReport returns the report, or nil if the daemon has no credentials.
func identityReport(credentials *identity.Source) *IdentityReport {
	if credentials == nil {
		return nil
	}
	id, expiry, err := credentials.Identity()
	if err != nil {
		return &IdentityReport{Error: err.Error()}
	}
	return &IdentityReport{ID: id.String(), RemainingMs: math.Round(time.Until(expiry).Seconds() * msPerSecond)}
}
