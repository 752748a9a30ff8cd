package daemon

import (
	"errors"
	"net/http"
	"strings"
	"sync"

	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"barleysail/auth"
	"barleysail/controller"
	"barleysail/internal/http1"
	"barleysail/internal/identity"
)

// Errors of authentication. The HTTP API sends their texts with status 401.
var (
	errNoPeerIdentity = errors.New("the connection proves nobody")
	errNoCredentials  = errors.New("neither a certificate nor a token was shown")
	errTokenReused    = errors.New(
		"the token was used on another connection, or is over: a fresh one is needed")
)

// maxUsedTokens bounds the used tokens that are kept until they expire, so that no token is used on two connections.
const maxUsedTokens = 100000

// authorizer authenticates the sender of each request, and authorizes the requested action by the policy.
type authorizer struct {
	policy      *auth.Policy            // nil: all requests are authorized
	credentials *identity.Source        // nil: connections are plain
	tokens      *identity.TokenVerifier // nil: bearer tokens are not accepted
	loop        *controllerLoop

	mu         sync.Mutex
	usedTokens *auth.Tokens
}

func newAuthorizer(policy *auth.Policy, credentials *identity.Source, tokens *identity.TokenVerifier,
	loop *controllerLoop) *authorizer {
	return &authorizer{
		policy:      policy,
		credentials: credentials,
		tokens:      tokens,
		loop:        loop,
		usedTokens:  auth.NewTokens(maxUsedTokens),
	}
}

// authorize wraps a handler so that it serves only senders that may perform the action. A sender that cannot be
// authenticated gets 401 Unauthorized, and one that may not perform the action gets 403 Forbidden.
func (a *authorizer) authorize(action auth.Action, serve handler) func(*http1.Request) http1.Reply {
	return func(request *http1.Request) http1.Reply {
		if a.policy == nil {
			return serve(request)
		}
		id, err := a.authenticate(request)
		if err != nil {
			problem := http1.Problem{Status: http.StatusUnauthorized, Detail: err.Error()}
			return problem.Reply("Www-Authenticate", "Bearer")
		}
		verdict := a.policy.Decide(id, a.policyRequest(action, request))
		if !verdict.Allowed {
			reasons := strings.Join(verdict.Reasons, "; ")
			detail := id.String() + " may not " + string(action) + " here: " + reasons
			return http1.Problem{Status: http.StatusForbidden, Detail: detail}.Reply()
		}
		return serve(request)
	}
}

// policyRequest returns the input for the policy's decision. The zone that the request names counts only for a poll,
// which may connect the proxy; for other requests it is the zone of the proxy's session.
func (a *authorizer) policyRequest(action auth.Action, request *http1.Request) auth.Request {
	input := auth.Request{
		Action: action,
		Proxy:  request.Params["proxy"],
		Zone:   request.Query.Get("zone"),
		Host:   request.Params["host"],
	}
	if input.Proxy != "" && action != auth.Poll {
		input.Zone = query(a.loop, func(instance *controller.Controller) string {
			return instance.ProxyZone(input.Proxy)
		})
	}
	return input
}

// authenticate returns the SPIFFE ID of a request's sender, by its connection's certificate or else by its bearer
// token.
func (a *authorizer) authenticate(request *http1.Request) (spiffeid.ID, error) {
	peer, ok := request.Peer.(*identity.Peer)
	if !ok {
		return spiffeid.ID{}, errNoPeerIdentity
	}
	if !peer.ID.IsZero() {
		return peer.ID, nil
	}
	return a.authenticateToken(request)
}

// authenticateToken returns the SPIFFE ID of a request's bearer token (RFC 6750, section 2.1). The audience of the
// token has to be this daemon alone, and the token is bound to the connection on which it was first used. A pending
// request ends when the token expires.
func (a *authorizer) authenticateToken(request *http1.Request) (spiffeid.ID, error) {
	scheme, token, _ := strings.Cut(request.Header.Get("Authorization"), " ")
	if a.tokens == nil || !strings.EqualFold(scheme, "Bearer") {
		return spiffeid.ID{}, errNoCredentials
	}
	audience, _, err := a.credentials.Identity()
	if err != nil {
		return spiffeid.ID{}, err
	}
	id, expiry, err := a.tokens.Verify(strings.TrimSpace(token), audience.String())
	if err != nil {
		return id, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.usedTokens.Use(wallClockMs(), token, float64(expiry.UnixMilli()), request.ConnectionID) {
		return id, errTokenReused
	}
	request.CredentialExpiresAt = expiry
	return id, nil
}
