package platform

import (
	"context"

	"barleysail/routing"
)

// balancerOutput is the routing.UpdateWriter of a node. What is for proxies goes to the update encoder, until the
// round ends; the rest is done at once.
type balancerOutput struct {
	*updateEncoder
	node *Node
	ctx  context.Context // ends the health checks
}

var _ routing.UpdateWriter = (*balancerOutput)(nil)

// ScheduleRound sets the time of the next round, in ms of the node's clock.
func (o *balancerOutput) ScheduleRound(atMs float64) { o.node.nextRoundMs = atMs }

// WatchEndpoints has nothing to start: the endpoint list is watched from the node's start.
func (o *balancerOutput) WatchEndpoints() {}

// Log writes the balancer's log event.
func (o *balancerOutput) Log(event routing.Event) {
	o.node.log.Info().Msg(event.Text(o.node.balancer.HostID))
}

// CheckHealth starts a health check of a host as the endpoint list has it now. The goroutine waits for one of the
// node's health check slots, so the descriptors in use are bounded; the balancer has at most one check of a host in
// flight, which bounds the goroutines by the number of hosts. The node's context ends it.
func (o *balancerOutput) CheckHealth(host int) {
	node := o.node
	target := healthCheckTarget{host, node.balancer.HostID(host), node.hosts.processes[host]}
	node.goroutines.Go(func() {
		select {
		case node.healthCheckSlots <- struct{}{}:
			defer func() { <-node.healthCheckSlots }()
			node.checkHealth(o.ctx, target)
		case <-o.ctx.Done():
		}
	})
}
