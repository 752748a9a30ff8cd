package daemon

import (
	"math"
	"net/http"
	"time"

	"barleysail/controller"
	"barleysail/intake"
	"barleysail/internal/http1"
	"barleysail/routing"
)

// statsEntryBytes is the approximate size of one entry of a report, in bytes. The rate limiter counts entries, and is
// called before the body is decoded.
const statsEntryBytes = 100

// proxyStatsBody is a proxy's report of its request stats.
type proxyStatsBody struct {
	Sender   string                     `json:"sender"`
	Sequence int64                      `json:"number"`
	SentAtMs float64                    `json:"at"`
	Hosts    map[string]hostStatsBody   `json:"hosts"` // by address:port
	Demand   map[string]classDemandBody `json:"usage"` // by request class
}

// hostStatsBody holds the request stats of a proxy for one host.
type hostStatsBody struct {
	Attempts      int           `json:"tries"`
	Failed        int           `json:"failed"`
	MeanLatencyMs float64       `json:"mean"` // of the attempts that did not fail
	WindowMs      float64       `json:"span"` // length of the window observed
	Load          *hostLoadBody `json:"load"`
	Latencies     [][2]float64  `json:"times"` // histogram: pairs of a latency in ms and a count
}

// classDemandBody is the demand of one request class at a proxy.
type classDemandBody struct {
	Arrivals   int     `json:"came"`
	NoResponse int     `json:"unanswered"`
	WindowMs   float64 `json:"span"` // length of the window observed
}

// loadReportBody is a host's report of its own load.
type loadReportBody struct {
	Sender   string        `json:"sender"`
	Sequence int64         `json:"number"`
	SentAtMs float64       `json:"at"`
	Load     *hostLoadBody `json:"load"`
}

// hostLoadBody is the load of a host; an absent field is unknown.
type hostLoadBody struct {
	Utilization *float64 `json:"util"`  // as a ratio
	RequestRate *float64 `json:"rate"`  // requests per second
	QueueLength *float64 `json:"queue"` // number of queued requests
}

// receiptBody acknowledges a report.
type receiptBody struct {
	Counted  bool  `json:"counted"` // false: the report is repeated, or older than one that was counted
	Sequence int64 `json:"number"`  // of the report
}

// postProxyStats handles a proxy's report.
func (a *api) postProxyStats(request *http1.Request) http1.Reply {
	proxy := request.Params["proxy"]
	isKnown := func() bool { return a.loop.hasProxy(proxy) }
	if !a.isReporter(proxy, isKnown) {
		return errorReply(controller.ErrNotConnected)
	}
	if rejection := a.admitReport(proxy, request); rejection != nil {
		return *rejection
	}
	var body proxyStatsBody
	if err := readJSON(request, &body); err != nil {
		return malformedReply(err)
	}
	counted, err := a.loop.observeProxyStats(proxy, body.stats())
	if err != nil {
		return errorReply(err)
	}
	return jsonReply(receiptBody{Counted: counted, Sequence: body.Sequence})
}

// postLoadReport handles a host's report.
func (a *api) postLoadReport(request *http1.Request) http1.Reply {
	host := request.Params["host"]
	source := "/" + host // differs from each proxy's name, which has no slash
	isKnown := func() bool { return a.loop.hasEndpoint(host) }
	if !a.isReporter(source, isKnown) {
		return errorReply(controller.ErrUnknownHost)
	}
	if rejection := a.admitReport(source, request); rejection != nil {
		return *rejection
	}
	var body loadReportBody
	if err := readJSON(request, &body); err != nil {
		return malformedReply(err)
	}
	counted, err := a.loop.observeLoadReport(host, controller.LoadReport{
		Sender:   body.Sender,
		Sequence: body.Sequence,
		SentAtMs: body.SentAtMs,
		Load:     body.Load.load(),
	})
	if err != nil {
		return errorReply(err)
	}
	return jsonReply(receiptBody{Counted: counted, Sequence: body.Sequence})
}

// isReporter reports whether a source may report: it has reported lately, or the controller knows it. The rate limiter
// gets no other source, since it keeps state for each.
func (a *api) isReporter(source string, isKnown func() bool) bool {
	return a.loop.rateLimiter.Knows(source) || isKnown()
}

// admitReport asks the rate limiter whether to admit a report. It returns nil if so, and the reply with status 429 and
// Retry-After otherwise.
func (a *api) admitReport(source string, request *http1.Request) *http1.Reply {
	allowed, retryAfter := a.loop.rateLimiter.Allow(time.Now(), source, len(request.Body)/statsEntryBytes)
	if allowed {
		return nil
	}
	problem := http1.Problem{Status: http.StatusTooManyRequests, Detail: "more is sent than may come in now"}
	reply := problem.Reply("Retry-After", retryAfterSeconds(retryAfter))
	return &reply
}

func (b *proxyStatsBody) stats() controller.ProxyStats {
	stats := controller.ProxyStats{
		Sender:   b.Sender,
		Sequence: b.Sequence,
		SentAtMs: b.SentAtMs,
		Hosts:    make(map[string]controller.HostStats, len(b.Hosts)),
		Demand:   make(map[string]controller.ClassDemand, len(b.Demand)),
	}
	for host, body := range b.Hosts {
		stats.Hosts[host] = body.stats()
	}
	for class, body := range b.Demand {
		stats.Demand[class] = controller.ClassDemand{
			Arrivals: body.Arrivals, NoResponse: body.NoResponse, WindowMs: body.WindowMs}
	}
	return stats
}

func (b hostStatsBody) stats() controller.HostStats {
	stats := controller.HostStats{
		Attempts:      b.Attempts,
		Failed:        b.Failed,
		MeanLatencyMs: b.MeanLatencyMs,
		WindowMs:      b.WindowMs,
		Load:          b.Load.load(),
	}
	for _, pair := range b.Latencies {
		stats.Latencies = append(stats.Latencies, intake.LatencyBucket{Ms: pair[0], Count: int64(pair[1])})
	}
	return stats
}

// load returns the reported load. A nil body, like an absent field, is unknown.
func (b *hostLoadBody) load() routing.HostLoad {
	load := routing.UnknownLoad
	if b == nil {
		return load
	}
	setReported(&load.Utilization, b.Utilization)
	setReported(&load.RequestRate, b.RequestRate)
	setReported(&load.QueueLength, b.QueueLength)
	return load
}

// setReported sets a field if its value was reported. A negative value becomes NaN, for which the controller returns an
// error that names the field; the negative value itself would mean unknown.
func setReported(field *float64, reported *float64) {
	if reported == nil {
		return
	}
	*field = *reported
	if *reported < 0 {
		*field = math.NaN()
	}
}
