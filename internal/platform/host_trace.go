package platform

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"barleysail/routing"
)

const (
	// traceIntervalMs is how often a node that logs at debug level writes the balancer's view of each host.
	traceIntervalMs = 1000.0

	msPerSecond = 1000
)

// traceHosts logs the balancer's view of the hosts, to be compared with what passes on the network.
func (n *Node) traceHosts(nowMs float64) {
	if n.log.GetLevel() > zerolog.DebugLevel || nowMs < n.lastTraceMs+traceIntervalMs {
		return
	}
	n.lastTraceMs = nowMs
	admissionRatio, _, medianLatencyMs := n.balancer.Admission()
	var line strings.Builder
	for host := range n.balancer.HostIndexCount() {
		view, known := n.balancer.Explain(host)
		if known && (view.State != routing.Removed || view.PublishedWeight != 0) {
			writeHostTrace(&line, host, view, nowMs)
		}
	}
	n.log.Debug().
		Int("streams", len(n.sessions.active)).
		Float64("level", admissionRatio).
		Float64("median", medianLatencyMs).
		Msg("believes" + line.String())
}

func writeHostTrace(line *strings.Builder, host int, view routing.Explanation, nowMs float64) {
	ejected := ""
	if view.Ejected {
		ejected = "out"
	}
	fmt.Fprintf(line, " %d:%d%s w%.2f/%.2f rate%.2f r%.0f cap%.2f warm%.2f util%.2f qps%.1f won%.1f lost%.1f",
		host, view.State, ejected, view.PublishedWeight, view.TargetWeight, view.ArrivalRate, view.MeanLatencyMs,
		view.Capacity, view.SlowStartFactor, view.Load.Utilization, view.Load.RequestRate, view.Successes, view.Failures)
	fmt.Fprintf(line, " hold%.1f strikes%d;", (view.CooldownUntilMs-nowMs)/msPerSecond, view.ConsecutiveFailures)
}
