package daemon

import (
	"context"
	"crypto/tls"
	"fmt"
	"math"
	"time"

	"github.com/rs/zerolog"
	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"barleysail/auth"
	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/http1"
	"barleysail/internal/identity"
)

// firstCredentialsTimeout is how long a start waits for the issuer.
const firstCredentialsTimeout = 30 * time.Second

// openCredentials takes up the steward's identity, where it has one.
func (d *Daemon) openCredentials(ctx context.Context, c *configpb.Config, log zerolog.Logger) (*auth.Policy, *http1.Secure, error) {
	policy, err := config.Policy(c)
	if err != nil || c.Identity.WorkloadApi == "" {
		return nil, nil, err
	}
	wait, cancel := context.WithTimeout(ctx, firstCredentialsTimeout)
	defer cancel()
	if d.credentials, err = identity.Open(wait, c.Identity.WorkloadApi); err != nil {
		return nil, nil, err
	}
	tell := func(again bool) {
		if again {
			log.Warn().Msg("the issuer handed out the same key again: whoever has copied it can prove this identity too")
		}
		id, until, err := d.credentials.Own()
		if err != nil {
			log.Error().Err(err).Msg("no identity")
			return
		}
		log.Info().Str("id", id.String()).Time("until", until).Msg("identity taken up")
	}
	tell(false)
	d.background.Add(1)
	go func() { defer d.background.Done(); d.credentials.Follow(ctx, tell) }()
	secure := &http1.Secure{TLS: d.credentials.Server(), AtOnce: int(*c.Identity.Handshakes)}
	if c.Identity.Tokens {
		if d.tokens, err = identity.OpenTokens(wait, c.Identity.WorkloadApi); err != nil {
			return nil, nil, err
		}
		secure.TLS = d.credentials.ServerWithTokens()
	}
	secure.Peer = func(s tls.ConnectionState) (http1.Peer, error) {
		if len(s.PeerCertificates) == 0 {
			return d.credentials.Anonymous()
		}
		p, err := d.credentials.Peer(s)
		if err != nil {
			log.Warn().Err(err).Msg("a connection was refused")
			return nil, err
		}
		return p, nil
	}
	return policy, secure, nil
}

// clientTLS gives what a call to a server with an identity needs; nil where the steward has none itself.
func (d *Daemon) clientTLS(id string) *tls.Config {
	if d.credentials == nil {
		return nil
	}
	return d.credentials.Client(func(is spiffeid.ID) error {
		if is.String() != id {
			return fmt.Errorf("it is %s, not %s", is, id)
		}
		return nil
	})
}

// IdentityReport is how the steward's own identity stands.
type IdentityReport struct {
	ID     string  `json:"id"`
	LeftMs float64 `json:"left_ms"` // until it is over
	Failed string  `json:"failed"`
}

func identityReport(credentials *identity.Source) *IdentityReport {
	if credentials == nil {
		return nil
	}
	id, until, err := credentials.Own()
	if err != nil {
		return &IdentityReport{Failed: err.Error()}
	}
	return &IdentityReport{ID: id.String(), LeftMs: math.Round(time.Until(until).Seconds() * 1000)}
}
