package main

import (
	"fmt"

	"barleysail/internal/instance"
	"barleysail/internal/simwire"
	"barleysail/routing"
)

// controllerInstance is one controller of the simulation.
type controllerInstance struct {
	number   int                // number in the simulation
	balancer *instance.Instance // nil while it is not running
	writer   *simwire.Writer
	affected bool // it has an event in the current batch
}

// round runs a round of the instance, which writes its updates. It does nothing while the instance is not running.
func (c *controllerInstance) round(nowMs float64) {
	if c.balancer != nil {
		c.balancer.Round(nowMs, c)
	}
}

// apply applies an event. An instance that is not running ignores all events except its start.
func (c *controllerInstance) apply(event *simwire.Event) error {
	switch {
	case event.Type == simwire.Start:
		return c.start(event)
	case event.Type == simwire.CrashNow:
		c.balancer = nil
		return nil
	case c.balancer == nil:
		return nil
	}
	return c.observe(event)
}

// start starts or restarts the instance. A restart keeps no state.
func (c *controllerInstance) start(event *simwire.Event) error {
	settings, err := simwire.ReadSettings(event.Settings)
	if err != nil {
		return err
	}
	balancer, err := instance.New(settings, *event.Prng)
	if err != nil {
		return err
	}
	c.balancer = balancer
	return nil
}

// observe records an event in the running balancer. It ignores events that the balancer does not need.
func (c *controllerInstance) observe(event *simwire.Event) error {
	switch event.Type {
	case simwire.Endpoints:
		return c.observeEndpoints(event)
	case simwire.CheckedIn:
		return c.connectProxy(event)
	case simwire.Disconnected:
		c.balancer.DisconnectProxy(int(*event.Px))
	case simwire.Installed:
		c.balancer.Ack(int(*event.Px), int(*event.Number))
	case simwire.Stats:
		return c.observeHostStats(event)
	case simwire.Arrivals:
		return c.observeDemand(event)
	case simwire.Health:
		return c.observeHealthCheck(event)
	}
	return nil
}

// observeEndpoints applies a snapshot or delta of the endpoint list, or the failure of the watch.
func (c *controllerInstance) observeEndpoints(event *simwire.Event) error {
	switch *event.How {
	case simwire.ListFailed:
		c.balancer.ObserveWatchFailure()
		return nil
	case simwire.ListFull:
		c.balancer.ObserveSnapshot(false)
	case simwire.ListCached:
		c.balancer.ObserveSnapshot(true)
	case simwire.ListDelta:
		c.balancer.ObserveDelta()
	default:
		return &eventError{event.Type, fmt.Sprintf("field How has the unknown value %d", *event.How)}
	}
	for i := range event.Records {
		entry, err := c.decodeEndpoint(&event.Records[i])
		if err != nil {
			return err
		}
		host := c.balancer.HostIndex(entry.host)
		c.balancer.ObserveEndpoint(host, entry.zone, entry.state, entry.weight, entry.startedMs)
	}
	return nil
}

// endpoint is an entry of the endpoint list. Zone, weight and start are 0 where the entry lacks them.
type endpoint struct {
	host      string
	zone      int // index
	state     routing.HostState
	weight    float64
	startedMs float64 // simulated time of the start of the host's process
}

// decodeEndpoint returns the endpoint of an entry, or an error for an unknown zone, state or an invalid weight.
func (c *controllerInstance) decodeEndpoint(record *simwire.Record) (endpoint, error) {
	entry := endpoint{host: *record.Host, state: routing.HostState(*record.Phase)}
	if record.Area != nil {
		zone, err := c.zoneIndex(simwire.Endpoints, *record.Area)
		if err != nil {
			return endpoint{}, err
		}
		entry.zone = zone
	}
	if record.W != nil {
		entry.weight = *record.W
	}
	if record.LaunchedUs != nil {
		entry.startedMs = milliseconds(record.LaunchedUs)
	}
	if !isHostState(*record.Phase) || entry.weight < 0 {
		return endpoint{}, &eventError{simwire.Endpoints, fmt.Sprintf("entry %s has an odd Phase or W", entry.host)}
	}
	return entry, nil
}

// isHostState reports whether a phase of the simulator is a host state. Both have the same numbers.
func isHostState(phase int64) bool {
	return phase >= int64(routing.Removed) && phase <= int64(routing.Draining)
}

func (c *controllerInstance) connectProxy(event *simwire.Event) error {
	zone, err := c.zoneIndex(event.Type, *event.Area)
	if err != nil {
		return err
	}
	c.balancer.ConnectProxy(int(*event.Px), zone, *event.W)
	return nil
}

// observeHostStats applies the request stats of a host, with its load report if there is one.
func (c *controllerInstance) observeHostStats(event *simwire.Event) error {
	if _, err := c.zoneIndex(event.Type, *event.Area); err != nil {
		return err
	}
	c.balancer.ObserveHostStats(
		c.balancer.HostIndex(*event.Host),
		int(*event.Count), int(*event.Errors),
		milliseconds(event.CostTimeUs), milliseconds(event.WindowUs),
		instance.HostLoad(event.Value))
	return nil
}

// observeDemand applies the number of requests of one class that a proxy received.
func (c *controllerInstance) observeDemand(event *simwire.Event) error {
	class, known := c.balancer.ClassIndex(*event.Kind)
	if !known {
		return unknownNameError(event.Type, "class", *event.Kind)
	}
	c.balancer.ObserveDemand(int(*event.Px), class, int(*event.Count), milliseconds(event.WindowUs))
	return nil
}

// healthCheckResults maps the simulator's endings of a health check to the balancer's results.
var healthCheckResults = map[string]routing.HealthCheckResult{
	"success":     routing.Healthy,
	"failure":     routing.Rejected,
	"overloaded":  routing.Rejected,
	"timed_out":   routing.TimedOut,
	"unreachable": routing.Unreachable,
	"broken":      routing.Unreachable,
	"withdrawn":   routing.Rejected,
	"void":        routing.Rejected,
}

func (c *controllerInstance) observeHealthCheck(event *simwire.Event) error {
	result, known := healthCheckResults[*event.Ending]
	if !known {
		return &eventError{event.Type, fmt.Sprintf("field Ending has the unknown value %q", *event.Ending)}
	}
	c.balancer.ObserveHealthCheck(c.balancer.HostIndex(*event.Host), result, instance.HostLoad(event.Value))
	return nil
}

// zoneIndex returns the index of a zone that an event names.
func (c *controllerInstance) zoneIndex(eventType, zone string) (int, error) {
	index, known := c.balancer.ZoneIndex(zone)
	if !known {
		return 0, unknownNameError(eventType, "zone", zone)
	}
	return index, nil
}

// unknownNameError returns the error of an event with a zone or class that is not in the instance's settings.
func unknownNameError(eventType, what, name string) error {
	return &eventError{eventType, fmt.Sprintf("%s %q is not in the settings", what, name)}
}
