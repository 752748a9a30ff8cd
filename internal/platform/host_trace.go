package platform

import (
	"github.com/rs/zerolog"

	"barleysail/routing"
)

// traceIntervalMs is the shortest time between two traces of the hosts, which are logged at debug level.
const traceIntervalMs = 1000.0

// traceHosts logs the balancer's view of the hosts at debug level, to be compared with the traffic on the network.
func (n *Node) traceHosts(nowMs float64) {
	if n.log.GetLevel() > zerolog.DebugLevel || nowMs < n.lastTraceMs+traceIntervalMs {
		return
	}
	n.lastTraceMs = nowMs
	admissionRatio, _, medianLatencyMs := n.balancer.Admission()
	hosts := zerolog.Arr()
	for host := range n.balancer.HostIndexCount() {
		view, known := n.balancer.Explain(host)
		if known && (view.State != routing.Removed || view.PublishedWeight != 0) {
			hosts.Object(hostTrace{n.balancer.HostName(host), view, nowMs})
		}
	}
	n.log.Debug().
		Int("sessions", len(n.sessions.active)).
		Float64("admission_ratio", admissionRatio).
		Float64("median_latency_ms", medianLatencyMs).
		Array("hosts", hosts).
		Msg("balancer's view of the hosts")
}

// hostTrace is the balancer's view of one host as it is logged.
type hostTrace struct {
	name  string
	view  routing.Explanation
	nowMs float64
}

// MarshalZerologObject writes the fields of the log line.
func (h hostTrace) MarshalZerologObject(event *zerolog.Event) {
	event.
		Str("host", h.name).
		Str("state", hostStateName(h.view.State)).
		Bool("ejected", h.view.Ejected).
		Float64("published_weight", h.view.PublishedWeight).
		Float64("target_weight", h.view.TargetWeight).
		Float64("arrivals_per_s", h.view.ArrivalRate).
		Float64("mean_latency_ms", h.view.MeanLatencyMs).
		Float64("capacity_per_s", h.view.Capacity).
		Float64("slow_start_factor", h.view.SlowStartFactor).
		Float64("utilization", h.view.Load.Utilization).
		Float64("reported_requests_per_s", h.view.Load.RequestRate).
		Float64("successes", h.view.Successes).
		Float64("failures", h.view.Failures).
		Float64("cooldown_ms", h.view.CooldownUntilMs-h.nowMs).
		Int("consecutive_failures", h.view.ConsecutiveFailures)
}

// hostStateName returns the name of a host's state in log lines.
func hostStateName(state routing.HostState) string {
	switch state {
	case routing.Ready:
		return "ready"
	case routing.Draining:
		return "draining"
	default:
		return "removed"
	}
}
