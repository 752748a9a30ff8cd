// Package controller is the control plane as a library. Its inputs are the endpoint list, polls of proxies with their
// acknowledgements, request stats of proxies, load reports of hosts, health check results, and overrides of operators,
// each with the time at which it was received. Package routing decides on the weights. The outputs are numbered
// versions of the routing tables, as snapshots or deltas, health checks to make, and log lines.
//
// The package owns the state of the proxies' sessions, the versions that they hold, the queue of updates to them, and
// the endpoint list with the overrides of operators. It never does I/O, reads no clock and starts no goroutine, so the
// same calls return the same results. A Controller is not safe for concurrent use: the daemon calls it under a mutex.
// Only the methods of a Response may be called by any goroutine.
//
// Times are milliseconds with fractions, as float64, on one monotonic clock; their names end in Ms. After each call the
// caller has to ask NextMs when to call Advance.
package controller

import (
	"math"

	"barleysail/intake"
	"barleysail/internal/interner"
	"barleysail/operator"
	"barleysail/routing"
)

// Effects receives the output of a call on a Controller. Its methods must not call the Controller.
type Effects interface {
	// Respond responds to the poll with the id that the caller gave it. Each poll gets at most one response.
	Respond(poll int64, response Response)
	// CheckHealth requests a health check of a host. The caller passes its result to ObserveHealthCheck.
	CheckHealth(host string)
	// WatchEndpoints requests the endpoint list and a watch of its changes, if the source of the list needs to be
	// asked.
	WatchEndpoints()
	// Log logs a change of the controller's mode.
	Log(text string)
}

// Controller serves the proxies that poll it. New returns one.
type Controller struct {
	deployment Deployment
	classes    []RequestClass
	settings   Settings
	safety     routing.SafetyLimits
	zoneIndex  map[string]int
	classIndex map[string]int

	balancer  *routing.Balancer // decides on the weights
	hostIndex interner.Interner // the balancer's indices of hosts
	scheduler roundScheduler    // when the next round of the balancer is due

	endpoints  endpointList    // input: hosts
	overrides  overrideState   // input: commands of operators
	ingest     ingestState     // input: reports of proxies and hosts
	solver     solverWeights   // base weights that replace those of the endpoint list
	restored   restoredState   // state of an earlier incarnation
	sessions   sessionStore    // connected proxies and their versions
	tables     tableStore      // decided and published tables
	validation tableValidation // checks and repairs tables before they are published
	channel    controlChannel  // updates on their way to the proxies

	weightChanges weightHistory
	events        eventLog
	mode          modeStatus

	nowMs   float64 // of the current call
	effects Effects // of the current call
}

// New returns a controller that has neither an endpoint list nor a connected proxy yet.
func New(deployment Deployment, classes []RequestClass, channel routing.ControlChannel, safety routing.SafetyLimits,
	objective routing.Objective, settings Settings) *Controller {
	c := &Controller{
		deployment: deployment,
		classes:    classes,
		settings:   settings,
		safety:     safety,
		zoneIndex:  map[string]int{},
		classIndex: map[string]int{},
		hostIndex:  interner.New(),
		scheduler:  newRoundScheduler(),
		endpoints:  newEndpointList(),
		sessions:   newSessionStore(),
		tables:     newTableStore(len(classes), deployment.DefaultRetryPolicy),
		channel:    newControlChannel(channel),
		overrides:  overrideState{store: operator.NewOverrideStore(), nextMs: math.Inf(1)},
	}
	balancerClasses := make([]routing.RequestClass, len(classes))
	for i, class := range classes {
		balancerClasses[i] = class.RequestClass
		c.classIndex[class.Name] = i
	}
	for i, zone := range deployment.Zones {
		c.zoneIndex[zone] = i
	}
	c.balancer = routing.New(balancerDeployment(deployment), balancerClasses, channel, safety, objective)
	c.SetIngestLimits(intake.DefaultLimits())
	return c
}

// balancerDeployment returns the part of a deployment that the balancer needs.
func balancerDeployment(d Deployment) routing.Deployment {
	return routing.Deployment{
		Controllers:        d.Controllers,
		Zones:              len(d.Zones),
		Proxies:            d.Proxies,
		Seed:               d.Seed,
		ReportIntervalMs:   d.ReportIntervalMs,
		ProxyEjectAfter:    d.ProxyEjectAfter,
		DefaultRetryPolicy: d.DefaultRetryPolicy,
		AdmissionControl:   d.AdmissionControl,
		HealthChecks:       d.HealthChecks,
		WatchesEndpoints:   d.WatchesEndpoints,
	}
}

// Advance does the work that is due by nowMs: it responds to polls whose wait is over, disconnects proxies that have
// not polled in time, sends the updates for which the channel has capacity, runs a round of the balancer, forgets
// removed hosts, and applies overrides and solver weights that are due.
func (c *Controller) Advance(nowMs float64, effects Effects) {
	c.nowMs = nowMs
	c.effects = effects
	c.expirePolls()
	c.sendUpdates()
	c.recheckHeldEndpoints()
	if c.scheduler.due(nowMs) {
		c.runRound()
		c.sendUpdates()
	}
	c.forgetRemovedHosts()
	c.applyDueOverrides()
	c.renewSolverWeights()
}

// NextMs returns the time in ms at which the caller has to call Advance. It may be in the past, as it is at first, and
// +Inf if no work is scheduled.
func (c *Controller) NextMs() float64 {
	return min(c.scheduler.nextMs(), c.channel.nextMs(), c.sessions.nextMs(), c.endpoints.nextMs(), c.solver.nextMs(),
		c.overrides.nextMs, c.validation.nextMs())
}

// runRound runs a round of the balancer, with the table validator after it.
func (c *Controller) runRound() {
	c.observeLateness()
	c.scheduler.start(c.nowMs)
	c.tables.round++
	c.processReports()
	c.balancer.Round(c.nowMs, updateWriter{c})
	c.validateRound()
	c.enqueueUpdates()
}

// requestRound requests a round for an input that should not wait until the balancer's scheduled round.
func (c *Controller) requestRound() {
	c.scheduler.request(c.nowMs, c.settings.MinRoundIntervalMs)
}
