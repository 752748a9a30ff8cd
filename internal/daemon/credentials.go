package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"barleysail/auth"
	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/http1"
	"barleysail/internal/identity"
	"barleysail/internal/tablesig"
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

// authorize lets a handler serve only who may do an action.
func (a *api) authorize(action auth.Action, serve func(*http1.Request) http1.Reply) func(*http1.Request) http1.Reply {
	return func(q *http1.Request) http1.Reply {
		if a.policy == nil {
			return serve(q)
		}
		id, err := a.authenticate(q)
		if err != nil {
			return http1.Problem{Status: 401, Detail: err.Error()}.Reply("Www-Authenticate", "Bearer")
		}
		r := auth.Request{Action: action, Proxy: q.Params["proxy"], Zone: q.Query.Get("zone"), Host: q.Params["host"]}
		if r.Proxy != "" && action != auth.Poll { // what a request says of itself counts only where it joins
			r.Zone = query(a.loop, func(s *controller.Controller) string { return s.ProxyZone(r.Proxy) })
		}
		if v := a.policy.Decide(id, r); !v.Allowed {
			return http1.Problem{Status: 403, Detail: id.String() + " may not " + string(action) + " here: " + strings.Join(v.Why, "; ")}.Reply()
		}
		return serve(q)
	}
}

// boundWaitMs bounds how long a poll is held by the time of its connection, in ms: the proxy comes again on one of its next
// identity.
func boundWaitMs(q *http1.Request, wanted float64) float64 {
	if at, ok := q.Retires(); ok {
		return math.Min(wanted, math.Max(time.Until(at).Seconds()*1000, 0))
	}
	return wanted
}

// maxUsedTokens are remembered until they end.
const maxUsedTokens = 100000

// authenticate tells whose request it is: by the connection's certificate, or else by the token that it bears (RFC 6750, 2.1), which
// has to be for us, and used on one connection only.
func (a *api) authenticate(q *http1.Request) (id spiffeid.ID, err error) {
	p, ok := q.Peer.(*identity.Peer)
	if !ok {
		return id, errors.New("the connection proves nobody")
	}
	if !p.ID.IsZero() {
		return p.ID, nil
	}
	scheme, token, _ := strings.Cut(q.Header.Get("Authorization"), " ")
	if a.tokens == nil || !strings.EqualFold(scheme, "Bearer") {
		return id, errors.New("neither a certificate nor a token was shown")
	}
	own, _, err := a.credentials.Own()
	if err != nil {
		return id, err
	}
	id, ends, err := a.tokens.Judge(strings.TrimSpace(token), own.String())
	if err != nil {
		return id, err
	}
	a.usedTokensMu.Lock()
	defer a.usedTokensMu.Unlock()
	if !a.usedTokens.Use(wallClockMs(), token, float64(ends.UnixMilli()), q.Conn) {
		return id, errors.New("the token was used on another connection, or is over: a fresh one is needed")
	}
	q.Until = ends
	return id, nil
}

// signatureValidity is how long a proxy may take a table up after it was told: not how long it may go by it.
const signatureValidity = 5 * time.Minute

// sign adds the signature of what an answer leaves the proxy with.
func (a *api) sign(s controller.Response, r http1.Reply) http1.Reply {
	if a.credentials == nil || s.Kind == controller.NotModified {
		return r
	}
	signer, err := a.credentials.Signer()
	if err != nil {
		return errorReply(err)
	}
	tables, err := s.Canonical()
	if err != nil {
		return errorReply(err)
	}
	field, err := signer.Sign(s.Proxy, s.Tag, tables, time.Now().Add(signatureValidity))
	if err != nil {
		return errorReply(err)
	}
	r.Header.Set(tablesig.Field, field)
	return r
}

// IdentityReport is how the steward's own identity stands.
type IdentityReport struct {
	ID     string  `json:"id"`
	LeftMs float64 `json:"left_ms"` // until it is over
	Failed string  `json:"failed"`
}

func (a *api) identityReport() *IdentityReport {
	if a.credentials == nil {
		return nil
	}
	id, until, err := a.credentials.Own()
	if err != nil {
		return &IdentityReport{Failed: err.Error()}
	}
	return &IdentityReport{ID: id.String(), LeftMs: math.Round(time.Until(until).Seconds() * 1000)}
}
