package platform

import (
	"fmt"
	"strings"

	"github.com/rs/zerolog"

	"barleysail/decide"
)

// traceEvery is how often, in ms, a steward that logs at debug level says what it believes of each host.
const traceEvery = 1000.0

// trace prints what the module believes, to be held against what really passes on the sockets.
func (n *Node) trace(now float64) {
	if n.log.GetLevel() > zerolog.DebugLevel || now < n.tracedAt+traceEvery {
		return
	}
	n.tracedAt = now
	level, _, median := n.inst.Fleet()
	var line strings.Builder
	for h := range n.inst.Hosts() {
		e, ok := n.inst.Explain(h)
		if !ok || e.Phase == decide.Gone && e.Told == 0 {
			continue
		}
		fmt.Fprintf(&line, " %d:%d%s w%.2f/%.2f rate%.2f r%.0f cap%.2f warm%.2f util%.2f qps%.1f won%.1f lost%.1f hold%.1f strikes%d;", h,
			e.Phase, map[bool]string{true: "out"}[e.Out], e.Told, e.Want, e.Rate, e.R, e.Cap, e.Warmth, e.Load.Util, e.Load.Rate, e.Won, e.Lost, (e.Hold-now)/1000, e.Strikes)
	}
	n.log.Debug().Int("streams", len(n.streams)).Float64("level", level).Float64("median", median).Msg("believes" + line.String())
}
