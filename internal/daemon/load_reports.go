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

// proxyStatsBody is a proxy's report of its request stats. Times are in ms.
type proxyStatsBody struct {
	Sender string                     `json:"sender"`
	Number int64                      `json:"number"`
	At     float64                    `json:"at"`
	Hosts  map[string]hostStatsBody   `json:"hosts"` // by address:port
	Usage  map[string]classDemandBody `json:"usage"` // by request class
}

// hostStatsBody holds the request stats of a proxy for one host.
type hostStatsBody struct {
	Tries  int           `json:"tries"` // attempts
	Failed int           `json:"failed"`
	Mean   float64       `json:"mean"` // mean latency of the attempts that did not fail
	Span   float64       `json:"span"` // length of the window observed
	Load   *hostLoadBody `json:"load"`
	Times  [][2]float64  `json:"times"` // latency histogram: pairs of a latency and a count
}

// classDemandBody is the demand of one request class at a proxy.
type classDemandBody struct {
	Came       int     `json:"came"` // arrivals
	Unanswered int     `json:"unanswered"`
	Span       float64 `json:"span"` // length of the window observed
}

// loadReportBody is a host's report of its own load.
type loadReportBody struct {
	Sender string        `json:"sender"`
	Number int64         `json:"number"`
	At     float64       `json:"at"` // ms
	Load   *hostLoadBody `json:"load"`
}

// hostLoadBody is the load of a host; an absent field is unknown.
type hostLoadBody struct {
	Util  *float64 `json:"util"`  // utilization as a ratio
	Rate  *float64 `json:"rate"`  // requests per second
	Queue *float64 `json:"queue"` // requests that wait
}

// receiptBody acknowledges a report.
type receiptBody struct {
	Counted bool  `json:"counted"` // false: a report with this number was counted before
	Number  int64 `json:"number"`  // the report's
}

// postProxyStats handles a proxy's report.
func (a *api) postProxyStats(request *http1.Request) http1.Reply {
	proxy := request.Params["proxy"]
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
	return jsonReply(receiptBody{Counted: counted, Number: body.Number})
}

// postLoadReport handles a host's report.
func (a *api) postLoadReport(request *http1.Request) http1.Reply {
	host := request.Params["host"]
	source := "/" + host // differs from each proxy's name, which has no slash
	if rejection := a.admitReport(source, request); rejection != nil {
		return *rejection
	}
	var body loadReportBody
	if err := readJSON(request, &body); err != nil {
		return malformedReply(err)
	}
	counted, err := a.loop.observeLoadReport(host, controller.LoadReport{
		Sender:   body.Sender,
		Sequence: body.Number,
		SentAtMs: body.At,
		Load:     body.Load.load(),
	})
	if err != nil {
		return errorReply(err)
	}
	return jsonReply(receiptBody{Counted: counted, Number: body.Number})
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
		Sequence: b.Number,
		SentAtMs: b.At,
		Hosts:    make(map[string]controller.HostStats, len(b.Hosts)),
		Demand:   make(map[string]controller.ClassDemand, len(b.Usage)),
	}
	for host, body := range b.Hosts {
		stats.Hosts[host] = body.stats()
	}
	for class, body := range b.Usage {
		stats.Demand[class] = controller.ClassDemand{
			Arrivals: body.Came, NoResponse: body.Unanswered, WindowMs: body.Span}
	}
	return stats
}

func (b hostStatsBody) stats() controller.HostStats {
	stats := controller.HostStats{
		Attempts:      b.Tries,
		Failed:        b.Failed,
		MeanLatencyMs: b.Mean,
		WindowMs:      b.Span,
		Load:          b.Load.load(),
	}
	for _, pair := range b.Times {
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
	setReported(&load.Utilization, b.Util)
	setReported(&load.RequestRate, b.Rate)
	setReported(&load.QueueLength, b.Queue)
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
