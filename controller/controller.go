// Package steward is the control service as a library: it takes in the host list, joins, polls, sums, probe
// results and acknowledgements at stated times, lets the decision module decide, and gives out tables as
// numbered versions with deltas, probes to send and log lines. It does no I/O, reads no clock and starts no
// goroutine, so the same calls give the same answers; a daemon or any other program calls it under a lock of
// its own.
//
// Times are milliseconds with fractions on one clock that only advances. After each call the caller asks
// Next when to call Advance.
package controller

import (
	"math"

	"barleysail/intake"
	"barleysail/internal/interner"
	"barleysail/operator"
	"barleysail/routing"
)

// Effects takes what a call on a Steward leads to. Its methods must not call the Steward.
type Effects interface {
	Respond(poll int64, a Response) // answers a poll, once
	CheckHealth(host string)        // asks for a probe; Probed tells how it ended
	WatchEndpoints()                // asks for the list and its changes, where the list must be asked
	Log(text string)                // a line for each change of mode
}

// Controller serves the proxies that poll it. Make one with New.
type Controller struct {
	deployment Deployment
	classes    []RequestClass
	settings   Settings
	balancer   *routing.Balancer
	zoneIndex  map[string]int
	classIndex map[string]int

	nowMs     float64
	scheduler roundScheduler
	hostIndex interner.Interner
	endpoints endpointList
	sessions  sessionStore
	tables    tableStore
	channel   controlChannel

	ingest           ingestState
	classRates       []float64 // of each class lately, for a proxy, a second
	restored         restoredState
	drainingSinceMs  map[string]float64 // since when hosts drain
	solver           solverWeights
	validation       tableValidation
	collapseMultiple float64
	overrides        *operator.OverrideStore
	nextOverrideMs   float64 // when operators' orders are looked at next
	drainGraceMs     float64
	slowStartMs      float64
	weightChanges    [][]WeightChange // by host
	events           eventLog
	acks             deferredAcks
	effects          Effects // of the present call

	modeText    string // the last line of the module
	modeSinceMs float64
	roundCount  int64
}

// New makes a steward that knows no list and no proxy yet.
func New(fleet Deployment, classes []RequestClass, channel routing.ControlChannel, guard routing.SafetyLimits, goal routing.Objective,
	polls Settings) *Controller {
	s := &Controller{deployment: fleet, classes: classes, settings: polls, zoneIndex: map[string]int{}, classIndex: map[string]int{}}
	known := make([]routing.RequestClass, len(classes))
	s.classRates, s.drainingSinceMs = make([]float64, len(classes)), map[string]float64{}
	for i, c := range classes {
		known[i], s.classIndex[c.Name] = c.RequestClass, i
	}
	for i, z := range fleet.Zones {
		s.zoneIndex[z] = i
	}
	s.balancer = routing.New(routing.Deployment{Controllers: fleet.Controllers, Zones: len(fleet.Zones), Proxies: fleet.Proxies,
		Seed: fleet.Seed, ReportIntervalMs: fleet.ReportIntervalMs, ProxyEjectAfter: fleet.ProxyEjectAfter, DefaultRetryPolicy: fleet.DefaultRetryPolicy,
		AdmissionControl: fleet.AdmissionControl, HealthChecks: fleet.HealthChecks, WatchesEndpoints: fleet.WatchesEndpoints}, known, channel, guard, goal)
	s.overrides, s.nextOverrideMs, s.drainGraceMs, s.slowStartMs, s.collapseMultiple = operator.New(), math.Inf(1), guard.DrainGraceMs, guard.SlowStartMs, guard.CollapseMultiple
	s.hostIndex, s.endpoints, s.sessions = interner.New(), newList(), newMembers()
	s.tables = newTables(len(classes), fleet.DefaultRetryPolicy)
	s.channel = newControlChannel(channel)
	s.SetIngestLimits(intake.DefaultLimits())
	s.scheduler = roundScheduler{requestedMs: math.Inf(-1), lastMs: math.Inf(-1), plannedMs: math.Inf(1)}
	return s
}

// Advance does all that is due: it ends the polls that have waited long enough, lets proxies leave that were
// not heard, sends what the channel may send, and decides a round.
func (s *Controller) Advance(now float64, out Effects) {
	s.nowMs, s.effects = now, out
	s.expirePolls()
	s.sendUpdates()
	s.recheckHeldEndpoints()
	if s.scheduler.due(now) {
		s.runRound()
		s.sendUpdates()
	}
	s.forgetRemovedHosts()
	s.applyDueOverrides()
	s.renewSolverWeights()
}

// Next is when Advance has something to do; it may lie in the past, as at first.
func (s *Controller) Next() float64 {
	return min(s.scheduler.nextMs(), s.channel.nextMs(), s.sessions.nextMs(), s.endpoints.nextMs(), s.solver.nextMs(), s.nextOverrideMs, s.validation.nextMs())
}

// runRound runs a round of the module.
func (s *Controller) runRound() {
	s.observeLateness()
	s.scheduler.start(s.nowMs)
	s.roundCount++
	s.tables.round++
	s.processReports()
	s.balancer.Round(s.nowMs, updateWriter{s})
	s.validateRound()
	s.enqueueUpdates()
}
