package platform

import (
	"context"

	"barleysail/routing"
)

// balancerOutput is the routing.UpdateWriter of a node. The update encoder collects the updates for proxies until the
// round ends; other output takes effect at once.
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

// Log logs an event of the balancer at info level, with the names of its hosts.
func (o *balancerOutput) Log(event routing.Event) {
	o.node.log.Info().Msg(event.Text(o.node.balancer.HostName))
}

// CheckHealth starts a health check of a host at its current address and returns at once. The check runs in a goroutine
// that first waits for one of the node's health check slots, which bounds the file descriptors in use. The balancer has
// at most one check of a host in flight, which bounds the goroutines by the number of hosts. They end with the node's
// context.
func (o *balancerOutput) CheckHealth(host int) {
	node := o.node
	target := healthCheckTarget{host, node.balancer.HostName(host), node.hosts.processes[host]}
	node.goroutines.Go(func() {
		select {
		case node.healthCheckSlots <- struct{}{}:
			defer func() { <-node.healthCheckSlots }()
			node.checkHealth(o.ctx, target)
		case <-o.ctx.Done():
		}
	})
}
