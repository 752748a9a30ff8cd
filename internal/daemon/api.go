package daemon

import (
	"errors"
	"net/http"

	"barleysail/auth"
	"barleysail/controller"
	"barleysail/internal/http1"
	"barleysail/internal/identity"
	"barleysail/operator"
)

// maxSmallBodyBytes bounds the bodies of load reports of hosts and of operators' commands.
const maxSmallBodyBytes = 4096

// api is the HTTP API for proxies, hosts, standbys and operators. Its handlers translate requests to calls on the
// controller loop, and their results to replies.
type api struct {
	loop           *controllerLoop
	authorizer     *authorizer
	credentials    *identity.Source // nil: tables are not signed
	persister      *persister       // nil: no state is persisted
	standby        *standbyReplica  // nil: this is no standby
	statePublisher *statePublisher
	operators      *Operators
	version        string
}

// handler serves an authorized request.
type handler func(*http1.Request) http1.Reply

// routes returns the routes of the API, each with the action for which a caller needs permission.
func (a *api) routes() *http1.Mux {
	mux := &http1.Mux{}
	get := func(path string, action auth.Action, serve handler) {
		mux.Handle(http.MethodGet, path, http1.Route{Handler: a.authorizer.authorize(action, serve)})
	}
	post := func(path string, action auth.Action, serve handler, maxBodyBytes int64) {
		mux.Handle(http.MethodPost, path, http1.Route{
			Handler:      a.authorizer.authorize(action, serve),
			MediaTypes:   []string{jsonMediaType},
			MaxBodyBytes: maxBodyBytes,
		})
	}
	const serverLimit = 0 // the server's default body limit applies

	get("/v1/proxies/{proxy}/tables", auth.Poll, a.pollTables)
	post("/v1/proxies/{proxy}/tables", auth.Poll, a.pollTables, serverLimit)
	mux.Handle(http.MethodDelete, "/v1/proxies/{proxy}",
		http1.Route{Handler: a.authorizer.authorize(auth.Poll, a.disconnect)})
	post("/v1/proxies/{proxy}/sums", auth.Stats, a.postProxyStats, serverLimit)
	post("/v1/hosts/{host}/load", auth.Report, a.postLoadReport, maxSmallBodyBytes)
	get(statePath, auth.Follow, a.statePublisher.serve)

	get("/v1/intake", auth.See, a.getIngestReport)
	get("/v1/status", auth.See, a.getStatus)
	get("/v1/fleet", auth.See, a.getFleet)

	get("/v1/hosts", auth.See, a.getHosts)
	get("/v1/hosts/{host}", auth.See, a.getHost)
	post("/v1/hosts/{host}/operator", auth.Set, a.overrideHost, maxSmallBodyBytes)
	post("/v1/zones/{zone}/operator", auth.Set, a.overrideZone, maxSmallBodyBytes)
	get("/v1/proxies", auth.See, a.getProxies)
	get("/v1/proxies/{proxy}/holds", auth.See, a.getPublishedTables)
	get("/v1/guard", auth.See, a.getValidationReport)
	post("/v1/guard/check", auth.See, a.checkTables, serverLimit)
	get("/v1/events", auth.See, a.getEvents)
	return mux
}

// errorReply returns the problem document (RFC 9457) for an error, with the status for its type.
func errorReply(err error) http1.Reply {
	var field *controller.FieldError
	if errors.As(err, &field) {
		problem := http1.Problem{Status: http.StatusUnprocessableEntity, Detail: field.Reason, Field: field.Field}
		return problem.Reply()
	}
	problem := http1.Problem{Status: errorStatus(err), Detail: err.Error()}
	switch problem.Status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return problem.Reply("Retry-After", "1")
	}
	return problem.Reply()
}

// errorStatus returns the HTTP status for an error other than a *controller.FieldError.
func errorStatus(err error) int {
	var rejected *operator.RejectedError
	var notStored *NotStoredError
	switch {
	case errors.As(err, &notStored):
		return http.StatusServiceUnavailable
	case errors.As(err, &rejected) && rejected.UnknownHost:
		return http.StatusNotFound
	case rejected != nil:
		return http.StatusConflict
	case errors.Is(err, controller.ErrNotConnected):
		return http.StatusConflict
	case errors.Is(err, controller.ErrUnknownHost):
		return http.StatusNotFound
	case errors.Is(err, controller.ErrDuplicateProxy):
		return http.StatusTooManyRequests
	case errors.Is(err, errStopping):
		return http.StatusServiceUnavailable
	}
	return http.StatusInternalServerError
}

// notFound returns a reply with status 404.
func notFound(detail string) http1.Reply {
	return http1.Problem{Status: http.StatusNotFound, Detail: detail}.Reply()
}
