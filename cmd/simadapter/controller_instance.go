package main

import (
	"fmt"

	"barleysail/internal/instance"
	"barleysail/internal/simwire"
	"barleysail/routing"
)

// controllerInstance is one controller of the simulation.
type controllerInstance struct {
	number   int                // the simulator's
	balancer *instance.Instance // nil while it is not running
	writer   *simwire.Writer
	affected bool // by an event of the present batch
}

// round lets a running instance decide on the events of a batch and write its updates.
func (c *controllerInstance) round(nowMs float64) {
	if c.balancer != nil {
		c.balancer.Round(nowMs, c)
	}
}

// apply applies an event. An instance that is not running misses all events but its start.
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

// start starts or restarts the instance, with nothing known of what an earlier start learned.
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

// observe tells the running balancer of an event. Events that it does not need are passed over.
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

// observeEndpoints applies a snapshot or delta of the endpoint list, or the failure to get one.
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

// endpoint is an entry of the endpoint list. Zone, weight and start are 0 where the entry does not have them.
type endpoint struct {
	host      string
	zone      int // index
	state     routing.HostState
	weight    float64
	startedMs float64 // simulated time of the start of the host's process
}

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

// isHostState tells whether the simulator's number of a phase is that of a host state, which have the same numbers.
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

// observeHostStats applies the counts of a host's requests, with its load report where it made one.
func (c *controllerInstance) observeHostStats(event *simwire.Event) error {
	if _, err := c.zoneIndex(event.Type, *event.Area); err != nil {
		return err
	}
	c.balancer.ObserveHostStats(
		c.balancer.HostIndex(*event.Host),
		int(*event.Count), int(*event.Errors),
		milliseconds(event.CostTimeUs), milliseconds(event.WindowUs),
		instance.Load(event.Value))
	return nil
}

// observeDemand applies the count of requests of one class that came to a proxy.
func (c *controllerInstance) observeDemand(event *simwire.Event) error {
	class, known := c.balancer.ClassIndex(*event.Kind)
	if !known {
		return unknownNameError(event.Type, "class", *event.Kind)
	}
	c.balancer.ObserveDemand(int(*event.Px), class, int(*event.Count), milliseconds(event.WindowUs))
	return nil
}

// healthCheckResults are the balancer's results by the simulator's endings of a health check.
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
	c.balancer.ObserveHealthCheck(c.balancer.HostIndex(*event.Host), result, instance.Load(event.Value))
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

// unknownNameError says that an event names a zone or class that the instance's settings do not have.
func unknownNameError(eventType, what, name string) error {
	return &eventError{eventType, fmt.Sprintf("%s %q is not in the settings", what, name)}
}
