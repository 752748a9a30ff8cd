package platform

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"barleysail/routing"
)

// traceIntervalMs is how often, in ms, a steward that logs at debug level says what it believes of each host.
const traceIntervalMs = 1000.0

// traceHosts prints what the module believes, to be held against what really passes on the sockets.
func (n *Node) traceHosts(now float64) {
	if n.log.GetLevel() > zerolog.DebugLevel || now < n.lastTraceMs+traceIntervalMs {
		return
	}
	n.lastTraceMs = now
	level, _, median := n.balancer.Admission()
	var line strings.Builder
	for h := range n.balancer.HostIndexCount() {
		e, ok := n.balancer.Explain(h)
		if !ok || e.State == routing.Removed && e.PublishedWeight == 0 {
			continue
		}
		fmt.Fprintf(&line, " %d:%d%s w%.2f/%.2f rate%.2f r%.0f cap%.2f warm%.2f util%.2f qps%.1f won%.1f lost%.1f hold%.1f strikes%d;", h,
			e.State, map[bool]string{true: "out"}[e.Ejected], e.PublishedWeight, e.TargetWeight, e.ArrivalRate, e.MeanLatencyMs, e.Capacity, e.SlowStartFactor, e.Load.Utilization, e.Load.RequestRate, e.Successes, e.Failures, (e.CooldownUntilMs-now)/1000, e.ConsecutiveFailures)
	}
	n.log.Debug().Int("streams", len(n.sessions)).Float64("level", level).Float64("median", median).Msg("believes" + line.String())
}
