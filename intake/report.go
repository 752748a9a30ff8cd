package intake

import "barleysail/routing"

// Report holds the request stats that one source counted for one host, or the demand for one request class.
type Report struct {
	Source        string           // the proxy, or the host itself, that sent it
	Subject       string           // the host; for demand the request class
	IsDemand      bool             // Subject is a request class, and Attempts are arrivals
	Attempts      int              // attempts sent to the host; for demand the requests that arrived
	Failed        int              // attempts that failed
	MeanLatencyMs float64          // mean latency of the successful attempts
	WindowMs      float64          // time in which the attempts were counted
	Load          routing.HostLoad // load that the host reported, or routing.UnknownLoad
	Latencies     []LatencyBucket  // latency histogram of the successful attempts; nil if the source sent none
	ReceivedMs    float64          // instant of arrival
	ObservedMs    float64          // instant at which the source sent the report, by the controller's clock
}

// succeeded returns the number of attempts that did not fail.
func (r *Report) succeeded() int { return r.Attempts - r.Failed }

// merge adds a later report of the same source on the same subject to the report.
func (r *Report) merge(later Report) {
	ownSucceeded := float64(r.succeeded())
	laterSucceeded := float64(later.succeeded())
	if ownSucceeded+laterSucceeded > 0 {
		latencySumMs := r.MeanLatencyMs*ownSucceeded + later.MeanLatencyMs*laterSucceeded
		r.MeanLatencyMs = latencySumMs / (ownSucceeded + laterSucceeded)
	}
	r.Attempts += later.Attempts
	r.Failed += later.Failed
	r.WindowMs += later.WindowMs
	r.Latencies = append(r.Latencies, later.Latencies...)
	if later.Load != routing.UnknownLoad {
		r.Load = later.Load
	}
	r.ObservedMs = max(r.ObservedMs, later.ObservedMs)
}

// Reasons for which a report is dropped. The status API shows these texts.
const (
	QueueFull   = "more waited than may"
	TooOld      = "it was too old"
	SubjectGone = "its host or proxy is gone"
)
