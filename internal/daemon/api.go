package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"net/textproto"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"barleysail/auth"
	"barleysail/controller"
	"barleysail/intake"
	"barleysail/internal/http1"
	"barleysail/internal/identity"
	"barleysail/routing"
	"barleysail/solver"
)

// api is the front for proxies: long polls with deltas. It turns requests into calls and answers into replies.
type api struct {
	loop           *controllerLoop
	policy         *auth.Policy     // nil: anybody may do everything
	credentials    *identity.Source // nil: plain
	tokens         *identity.Tokens // nil: none are taken
	usedTokensMu   sync.Mutex
	usedTokens     *auth.Tokens
	persister      *persister      // nil: nothing is kept
	standby        *standbyReplica // nil: it stands by nobody
	statePublisher *statePublisher
	operators      *Operators
	version        string
}

func (a *api) routes() *http1.Mux {
	m := &http1.Mux{}
	m.Handle("GET", "/v1/proxies/{proxy}/tables", http1.Route{Serve: a.authorize(auth.Poll, a.pollTables)})
	m.Handle("POST", "/v1/proxies/{proxy}/tables", http1.Route{Serve: a.authorize(auth.Poll, a.pollTables), Media: []string{"application/json"}})
	m.Handle("DELETE", "/v1/proxies/{proxy}", http1.Route{Serve: a.authorize(auth.Poll, a.disconnect)})
	m.Handle("POST", "/v1/proxies/{proxy}/sums", http1.Route{Serve: a.authorize(auth.Sums, a.postProxyStats), Media: []string{"application/json"}})
	m.Handle("POST", "/v1/hosts/{host}/load", http1.Route{Serve: a.authorize(auth.Report, a.postLoadReport), Media: []string{"application/json"}, MaxBody: 4096})
	m.Handle("GET", "/v1/state", http1.Route{Serve: a.authorize(auth.Follow, a.statePublisher.serve)})
	m.Handle("GET", "/v1/intake", http1.Route{Serve: a.authorize(auth.See, func(*http1.Request) http1.Reply { return jsonReply(a.ingestReport()) })})
	m.Handle("GET", "/v1/status", http1.Route{Serve: a.authorize(auth.See, a.getStatus)})
	m.Handle("GET", "/v1/fleet", http1.Route{Serve: a.authorize(auth.See, a.getFleet)})
	a.addOperatorRoutes(m)
	return m
}

// errorReply words an error of the steward.
func errorReply(err error) http1.Reply {
	var field *controller.FieldError
	switch {
	case errors.As(err, &field):
		return http1.Problem{Status: 422, Detail: field.Reason, Field: field.Field}.Reply()
	case errors.Is(err, controller.ErrNotConnected):
		return http1.Problem{Status: 409, Detail: err.Error()}.Reply()
	case errors.Is(err, controller.ErrUnknownHost):
		return http1.Problem{Status: 404, Detail: err.Error()}.Reply()
	case errors.Is(err, controller.ErrDuplicateProxy):
		return http1.Problem{Status: 429, Detail: err.Error()}.Reply("Retry-After", "1")
	case errors.Is(err, errStopping):
		return http1.Problem{Status: 503, Detail: err.Error()}.Reply("Retry-After", "1")
	}
	return http1.Problem{Status: 500, Detail: err.Error()}.Reply()
}

func (a *api) pollTables(q *http1.Request) http1.Reply {
	ask := controller.PollRequest{Proxy: q.Params["proxy"], Zone: q.Query.Get("zone"), WaitMs: -1,
		AcceptDelta: acceptsManipulation(q.Header, "merge-patch")}
	ask.Tags, ask.AnyTag = entityTags(q.Header)
	seconds, preferred := preferredWait(q.Header)
	if preferred {
		ask.WaitMs = seconds * 1000
	}
	if text := q.Query.Get("rate"); text != "" {
		rate, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return errorReply(&controller.FieldError{Field: "rate", Reason: fmt.Sprintf("%.40q is no number", text)})
		}
		ask.RequestRate = rate
	}
	if q.Method == "POST" {
		offer, reply := readCachedTables(q)
		if reply != nil {
			return *reply
		}
		ask.Cached, ask.Tags = offer, []string{offer.Tag}
	}
	if a.standby != nil {
		if ok, again := a.standby.shouldServe(ask.Proxy); !ok {
			return http1.Problem{Status: 503, Detail: "another steward has this proxy; this one stands by"}.Reply("Retry-After", strconv.Itoa(int(math.Ceil(again.Seconds()))))
		}
	}
	ask.WaitMs = boundWaitMs(q, ask.WaitMs)
	id := int64(0)
	held := q.Hold(func() { a.loop.cancelPoll(ask.Proxy, id) })
	id, err := a.loop.poll(ask, func(s controller.Response) {
		held.Answer(http1.Reply{Make: func() http1.Reply { return a.sign(s, tablesReply(s, seconds, preferred)) }})
	})
	if err != nil {
		return errorReply(err)
	}
	return http1.Reply{Held: held}
}

// tableBody is a class's table, as in the documents that proxies get.
type tableBody struct {
	Hosts map[string]float64 `json:"hosts"`
	Share *float64           `json:"share"`
	Tries *int               `json:"tries"`
}

// readCachedTables reads what a proxy holds: the document that it was given, and its tag.
func readCachedTables(q *http1.Request) (*controller.CachedTables, *http1.Reply) {
	var b struct {
		Tag    string               `json:"tag"`
		Proxy  string               `json:"proxy"`
		Tables map[string]tableBody `json:"tables"`
	}
	if err := readJSON(q, &b); err != nil {
		r := malformedReply(err)
		return nil, &r
	}
	o := &controller.CachedTables{Tag: strings.Trim(b.Tag, `"`)}
	for _, class := range slices.Sorted(maps.Keys(b.Tables)) {
		v := b.Tables[class]
		t := controller.Table{Class: class, Ordered: v.Hosts != nil, AdmissionRatio: 1, RetryPolicy: 1}
		for _, host := range slices.Sorted(maps.Keys(v.Hosts)) {
			t.Hosts, t.Weights = append(t.Hosts, host), append(t.Weights, v.Hosts[host])
		}
		if v.Share != nil {
			t.AdmissionRatio = *v.Share
		}
		if v.Tries != nil {
			t.RetryPolicy = *v.Tries
		}
		o.Tables = append(o.Tables, t)
	}
	return o, nil
}

// tablesReply makes an answer of the steward a reply, by RFC 9110 (304, ETag), 3229 (226, IM, Delta-Base) and 7240.
func tablesReply(s controller.Response, seconds float64, preferred bool) http1.Reply {
	h := http1.Header("Etag", `"`+s.Tag+`"`, "Cache-Control", "no-store", "Vary", "A-IM, Prefer")
	if preferred {
		h.Set("Preference-Applied", "wait="+strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	r := http1.Reply{Status: 200, Header: h, Body: s.Body()}
	switch s.Kind {
	case controller.NotModified:
		r.Status = 304
	case controller.Delta:
		r.Status = 226
		h["IM"] = []string{"merge-patch"}
		h.Set("Delta-Base", `"`+s.BaseTag+`"`)
		h.Set("Content-Type", "application/merge-patch+json")
	default:
		h.Set("Content-Type", "application/json")
	}
	return r
}

func (a *api) disconnect(q *http1.Request) http1.Reply {
	if !a.loop.disconnect(q.Params["proxy"]) {
		return http1.Problem{Status: 404, Detail: "the proxy has not joined"}.Reply()
	}
	return http1.Reply{Status: 204}
}

// proxyStatsBody is what a proxy posts. Times are milliseconds.
type proxyStatsBody struct {
	Sender string  `json:"sender"`
	Number int64   `json:"number"`
	At     float64 `json:"at"`
	Hosts  map[string]struct {
		Tries  int           `json:"tries"`
		Failed int           `json:"failed"`
		Mean   float64       `json:"mean"`
		Span   float64       `json:"span"`
		Load   *hostLoadBody `json:"load"`
		Times  [][2]float64  `json:"times"`
	} `json:"hosts"`
	Usage map[string]struct {
		Came       int     `json:"came"`
		Unanswered int     `json:"unanswered"`
		Span       float64 `json:"span"`
	} `json:"usage"`
}

type hostLoadBody struct {
	Util  *float64 `json:"util"`
	Rate  *float64 `json:"rate"`
	Queue *float64 `json:"queue"`
}

func (l *hostLoadBody) load() routing.HostLoad {
	load := routing.UnknownLoad
	if l == nil {
		return load
	}
	for _, f := range []struct {
		from *float64
		to   *float64
	}{{l.Util, &load.Utilization}, {l.Rate, &load.RequestRate}, {l.Queue, &load.QueueLength}} {
		if f.from != nil {
			*f.to = *f.from
			if *f.from < 0 {
				*f.to = math.NaN() // reported, but nonsense: refused with the field's name
			}
		}
	}
	return load
}

// statsEntryBytes is about what a line of sums takes.
const statsEntryBytes = 100

// admitReport asks at the door, before the body is read; without a reply the report may come in.
func (a *api) admitReport(source string, q *http1.Request) *http1.Reply {
	ok, again := a.loop.rateLimiter.Allow(time.Now(), source, len(q.Body)/statsEntryBytes)
	if ok {
		return nil
	}
	r := http1.Problem{Status: 429, Detail: "more is sent than may come in now"}.Reply("Retry-After", strconv.Itoa(int(math.Ceil(again.Seconds()))))
	return &r
}

func (a *api) postLoadReport(q *http1.Request) http1.Reply {
	host := q.Params["host"]
	if r := a.admitReport("/"+host, q); r != nil {
		return *r
	}
	var b struct {
		Sender string        `json:"sender"`
		Number int64         `json:"number"`
		At     float64       `json:"at"`
		Load   *hostLoadBody `json:"load"`
	}
	if err := readJSON(q, &b); err != nil {
		return malformedReply(err)
	}
	counted, err := a.loop.observeLoadReport(host, controller.LoadReport{Sender: b.Sender, Sequence: b.Number, SentAtMs: b.At, Load: b.Load.load()})
	if err != nil {
		return errorReply(err)
	}
	return jsonReply(map[string]any{"number": b.Number, "counted": counted})
}

func (a *api) postProxyStats(q *http1.Request) http1.Reply {
	if r := a.admitReport(q.Params["proxy"], q); r != nil {
		return *r
	}
	var b proxyStatsBody
	if err := readJSON(q, &b); err != nil {
		return malformedReply(err)
	}
	u := controller.ProxyStats{Sender: b.Sender, Sequence: b.Number, SentAtMs: b.At, Hosts: map[string]controller.HostStats{},
		Demand: map[string]controller.ClassDemand{}}
	for host, v := range b.Hosts {
		h := controller.HostStats{Attempts: v.Tries, Failed: v.Failed, MeanLatencyMs: v.Mean, WindowMs: v.Span, Load: v.Load.load()}
		for _, t := range v.Times {
			h.Latencies = append(h.Latencies, intake.LatencyBucket{Ms: t[0], Count: int64(t[1])})
		}
		u.Hosts[host] = h
	}
	for class, v := range b.Usage {
		u.Demand[class] = controller.ClassDemand{Arrivals: v.Came, Unanswered: v.Unanswered, WindowMs: v.Span}
	}
	counted, err := a.loop.observeProxyStats(q.Params["proxy"], u)
	if err != nil {
		return errorReply(err)
	}
	return jsonReply(map[string]any{"number": u.Sequence, "counted": counted})
}

// malformedReply words what is wrong with a JSON body, with the field where it is known.
func malformedReply(err error) http1.Reply {
	p := http1.Problem{Status: 400, Detail: err.Error()}
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		p.Status, p.Field, p.Detail = 422, kind.Field, "cannot be "+kind.Value
	} else if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		p.Status, p.Field, p.Detail = 422, strings.Trim(name, `"`), "the field is not known"
	}
	return p.Reply()
}

func (a *api) getStatus(*http1.Request) http1.Reply {
	return jsonReply(struct {
		Version string `json:"version"`
		controller.Status
		Door     intake.RateLimiterReport `json:"door"`
		Kept     *PersisterReport         `json:"kept,omitempty"`
		Standby  *StandbyReport           `json:"standby,omitempty"`
		Identity *IdentityReport          `json:"identity,omitempty"`
		Gap      *solver.Gap              `json:"gap,omitempty"` // to the best tables, where hosts tell their cores
	}{a.version, a.loop.status(), a.loop.rateLimiter.Report(), a.persister.status(), a.standby.report(), a.identityReport(), a.loop.optimalityGap()})
}

// IngestReport is how what comes in fares, and the memory in use.
type IngestReport struct {
	controller.IngestReport
	Door         intake.RateLimiterReport `json:"door"`
	HeapBytes    uint64                   `json:"heap_bytes"`
	LinesMost    float64                  `json:"lines_waiting_most"` // of the channel, since the start
	GuardRefused int                      `json:"guard_refused"`      // so often the table guard began to
}

func (a *api) ingestReport() IngestReport {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	st := a.loop.status()
	return IngestReport{st.Intake, a.loop.rateLimiter.Report(), m.HeapAlloc, st.LinesMost, st.GuardRefused}
}

// getFleet gives the solver's problem, for barleysail solve.
func (a *api) getFleet(*http1.Request) http1.Reply {
	p := a.loop.listedProblem()
	if p == nil {
		return http1.Problem{Status: 404, Detail: "a host on the list tells no cores, or no demand was heard yet"}.Reply()
	}
	return jsonReply(p)
}

func jsonReply(v any) http1.Reply {
	body, err := json.Marshal(v)
	if err != nil {
		return errorReply(err)
	}
	return http1.Reply{Status: 200, Header: http1.Header("Content-Type", "application/json", "Cache-Control", "no-store"),
		Body: append(body, '\n')}
}

// entityTags reads If-None-Match (RFC 9110, 13.1.2): tags without quotes, weak ones too; any for *.
func entityTags(h textproto.MIMEHeader) (tags []string, any bool) {
	for _, v := range h.Values("If-None-Match") {
		if v = textproto.TrimString(v); v == "*" {
			return nil, true
		}
		for v != "" {
			v = strings.TrimLeft(v, ", \t")
			v = strings.TrimPrefix(v, "W/")
			if len(v) < 2 || v[0] != '"' {
				break
			}
			end := strings.IndexByte(v[1:], '"')
			if end < 0 {
				break
			}
			tags = append(tags, v[1:1+end])
			v = v[end+2:]
		}
	}
	return tags, false
}

// preferredWait reads the preference wait=N, whole seconds; the first one counts (RFC 7240, 2 and 4.3).
func preferredWait(h textproto.MIMEHeader) (seconds float64, ok bool) {
	for _, v := range h.Values("Prefer") {
		for _, p := range strings.Split(v, ",") {
			p, _, _ = strings.Cut(p, ";")
			name, value, _ := strings.Cut(p, "=")
			if !strings.EqualFold(textproto.TrimString(name), "wait") {
				continue
			}
			n, err := strconv.ParseUint(strings.Trim(textproto.TrimString(value), `"`), 10, 31)
			return float64(n), err == nil
		}
	}
	return 0, false
}

// acceptsManipulation tells whether A-IM names an instance manipulation, not with q=0 (RFC 3229, 10.5.3).
func acceptsManipulation(h textproto.MIMEHeader, manipulation string) bool {
	for _, v := range h.Values("A-Im") {
		for _, m := range strings.Split(v, ",") {
			name, params, _ := strings.Cut(m, ";")
			if !strings.EqualFold(textproto.TrimString(name), manipulation) {
				continue
			}
			if _, q, ok := strings.Cut(params, "q="); ok {
				weight, err := strconv.ParseFloat(textproto.TrimString(q), 64)
				return err == nil && weight > 0
			}
			return true
		}
	}
	return false
}
