package daemon

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"barleysail/controller"
	"barleysail/internal/http1"
)

// noWait is the controller.PollRequest.WaitMs of a poll that has to get its response at once.
const noWait = -1

// pollTables handles a proxy's long poll for its tables. With GET the proxy names the versions that it has by entity
// tags; with POST it sends the tables that it has cached from another controller. A standby rejects a proxy that its
// leader serves, with status 503 and Retry-After.
func (a *api) pollTables(request *http1.Request) http1.Reply {
	poll, err := readPollRequest(request)
	if err != nil {
		return errorReply(err)
	}
	if request.Method == http.MethodPost {
		cached, err := readCachedTables(request)
		if err != nil {
			return malformedReply(err)
		}
		poll.Cached = cached
		poll.Tags = []string{cached.Tag}
	}
	if a.standby != nil {
		if serve, retryAfter := a.standby.shouldServe(poll.Proxy); !serve {
			problem := http1.Problem{
				Status: http.StatusServiceUnavailable,
				Detail: "another steward has this proxy; this one stands by",
			}
			return problem.Reply("Retry-After", retryAfterSeconds(retryAfter))
		}
	}
	poll.WaitMs = boundWaitMs(request, poll.WaitMs)
	return a.startPoll(request, poll)
}

// startPoll passes a poll to the controller and keeps the request pending until the response.
func (a *api) startPoll(request *http1.Request, poll controller.PollRequest) http1.Reply {
	seconds, preferred := preferredWait(request.Header)
	var id int64
	proxy := poll.Proxy // the pending request must not keep the cached tables of the poll
	held := request.Hold(func() { a.loop.cancelPoll(proxy, id) })
	deliver := func(response controller.Response) {
		// The connection's goroutine encodes the body, so that responses to many proxies do not delay the controller.
		held.Answer(http1.Reply{Build: func() http1.Reply {
			return a.signTables(response, tablesReply(response, seconds, preferred))
		}})
	}
	id, err := a.loop.poll(poll, deliver)
	if err != nil {
		return errorReply(err)
	}
	return http1.Reply{Held: held}
}

// readPollRequest decodes a poll from the request's path, query and header. The error is a *controller.FieldError.
func readPollRequest(request *http1.Request) (controller.PollRequest, error) {
	poll := controller.PollRequest{
		Proxy:       request.Params["proxy"],
		Zone:        request.Query.Get("zone"),
		WaitMs:      noWait,
		AcceptDelta: acceptsManipulation(request.Header, mergePatch),
	}
	poll.Tags, poll.AnyTag = entityTags(request.Header)
	if seconds, ok := preferredWait(request.Header); ok {
		poll.WaitMs = seconds * msPerSecond
	}
	if text := request.Query.Get("rate"); text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return poll, &controller.FieldError{Field: "rate", Reason: fmt.Sprintf("%.40q is no number", text)}
		}
		poll.RequestRate = rate
	}
	return poll, nil
}

// cachedTablesBody is the document of the tables that a proxy has cached: the last document that it got, and its tag.
type cachedTablesBody struct {
	Tag    string               `json:"tag"`
	Proxy  string               `json:"proxy"`
	Tables map[string]tableBody `json:"tables"` // by request class
}

// tableBody is the table of one request class, as in the documents that proxies get.
type tableBody struct {
	Weights        map[string]float64 `json:"hosts"` // by host
	AdmissionRatio *float64           `json:"share"` // absent: 1
	RetryPolicy    *int               `json:"tries"` // 0 to 3, see fleet.usual_tries in config.proto; absent: 1
}

// readCachedTables decodes a cachedTablesBody. It returns classes and hosts in the order of their names. The error is
// that of readJSON.
func readCachedTables(request *http1.Request) (*controller.CachedTables, error) {
	var body cachedTablesBody
	if err := readJSON(request, &body); err != nil {
		return nil, err
	}
	cached := &controller.CachedTables{Tag: strings.Trim(body.Tag, `"`)}
	for _, class := range slices.Sorted(maps.Keys(body.Tables)) {
		cached.Tables = append(cached.Tables, body.Tables[class].table(class))
	}
	return cached, nil
}

func (b tableBody) table(class string) controller.Table {
	table := controller.Table{Class: class, Assigned: b.Weights != nil, AdmissionRatio: 1, RetryPolicy: 1}
	for _, host := range slices.Sorted(maps.Keys(b.Weights)) {
		table.Hosts = append(table.Hosts, host)
		table.Weights = append(table.Weights, b.Weights[host])
	}
	if b.AdmissionRatio != nil {
		table.AdmissionRatio = *b.AdmissionRatio
	}
	if b.RetryPolicy != nil {
		table.RetryPolicy = *b.RetryPolicy
	}
	return table
}

// tablesReply encodes a response of the controller as a reply, by RFC 9110 (304 and ETag), RFC 3229 (226, IM and
// Delta-Base) and RFC 7240 (Preference-Applied, if the request preferred a wait of this many seconds).
func tablesReply(response controller.Response, seconds float64, preferred bool) http1.Reply {
	header := http1.Header("Etag", `"`+response.Tag+`"`, "Cache-Control", "no-store", "Vary", "A-IM, Prefer")
	if preferred {
		header.Set("Preference-Applied", "wait="+strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	reply := http1.Reply{Status: http.StatusOK, Header: header, Body: response.Body()}
	switch response.Kind {
	case controller.NotModified:
		reply.Status = http.StatusNotModified
	case controller.Delta:
		reply.Status = http.StatusIMUsed
		header["IM"] = []string{mergePatch} // not in the canonical form, which would be Im
		header.Set("Delta-Base", `"`+response.BaseTag+`"`)
		header.Set("Content-Type", "application/merge-patch+json")
	default:
		header.Set("Content-Type", jsonMediaType)
	}
	return reply
}

// disconnect handles the graceful end of a proxy's session.
func (a *api) disconnect(request *http1.Request) http1.Reply {
	if !a.loop.disconnect(request.Params["proxy"]) {
		return notFound("the proxy has not joined")
	}
	return http1.Reply{Status: http.StatusNoContent}
}
