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
	"fmt"
	"math"

	"barleysail/intake"
	"barleysail/internal/interner"
	"barleysail/operator"
	"barleysail/routing"
)

// RequestClass of transactions, in the order of the settings.
type RequestClass struct {
	Name string
	routing.RequestClass
	MeanWorkMs float64 // mean, ms on a core of speed 1; for solved weights, 0: not told
}

// Deployment is what a steward is told of its surroundings.
type Deployment struct {
	Incarnation                                      string // names this run of the steward in its tags; never the same twice
	Seed                                             uint64
	Zones                                            []string
	Controllers, Proxies                             int     // stewards, and proxies over all of them
	ReportIntervalMs                                 float64 // proxies send their sums so often
	ProxyEjectAfter, DefaultRetryPolicy              int     // see decide.Fleet
	AdmissionControl, HealthChecks, WatchesEndpoints bool
}

// Settings holds the library's own figures.
type Settings struct {
	MinRoundIntervalMs     float64 // least time between two rounds of decisions
	MaxPollWaitMs          float64 // a poll is held so long at most
	MinFirstPollWaitMs     float64 // and one of a proxy without tables so long at least, until the first come
	SessionTimeoutMs       float64 // a proxy without a poll has left after so long
	RemovedHostRetentionMs float64 // a host that is gone is forgotten after so long
	VersionHistory         int     // versions kept of each proxy's tables, as bases of deltas
}

// DefaultSettings are the figures used where none are set.
func DefaultSettings() Settings {
	return Settings{MinRoundIntervalMs: 10, MaxPollWaitMs: 60000, MinFirstPollWaitMs: 300, SessionTimeoutMs: 5000, RemovedHostRetentionMs: 600000, VersionHistory: 32}
}

// Effects takes what a call on a Steward leads to. Its methods must not call the Steward.
type Effects interface {
	Respond(poll int64, a Response) // answers a poll, once
	CheckHealth(host string)        // asks for a probe; Probed tells how it ended
	WatchEndpoints()                // asks for the list and its changes, where the list must be asked
	Log(text string)                // a line for each change of mode
}

// FieldError says which field of an input was refused, and why. Nothing of the input was applied.
type FieldError struct{ Field, Reason string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Reason }

func invalidField(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
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

// SetEndpoints notes the whole list as it now stands. The hosts of the first list that tell no start count as
// started long ago; later a new host without one starts when it is listed. The error names the entry's field.
func (s *Controller) SetEndpoints(now float64, entries []Endpoint) error {
	s.nowMs = now
	if err := s.checkEndpoints(entries); err != nil {
		return err
	}
	if s.endpoints.receivedMs, s.endpoints.watchFailed = now, false; s.holdsEndpoints(entries) {
		return nil
	}
	s.acceptEndpoints(entries)
	return nil
}

// acceptEndpoints takes a list for what is so.
func (s *Controller) acceptEndpoints(entries []Endpoint) {
	if before := len(s.endpoints.received); before != len(entries) || !s.endpoints.known {
		s.recordEvent("list", fmt.Sprintf("the list has %d hosts, before %d", len(entries), before))
	}
	s.endpoints.received = append([]Endpoint(nil), entries...)
	s.observeEndpoints(s.withOverrides(s.endpoints.received))
	s.scheduler.request(s.nowMs, s.settings.MinRoundIntervalMs)
}

// ObserveWatchFailure notes that the list could not be had, or that it no longer sends its changes.
func (s *Controller) ObserveWatchFailure(now float64) {
	s.nowMs = now
	s.endpoints.watchFailed = true
	s.recordEvent("list", "the list could not be had")
	s.balancer.ObserveWatchFailure()
	s.scheduler.request(now, s.settings.MinRoundIntervalMs)
}

// ObserveHealthCheck notes how a probe ended; load is decide.NoLoad where the host told none.
func (s *Controller) ObserveHealthCheck(now float64, host string, how routing.HealthCheckResult, load routing.HostLoad) {
	s.nowMs = now
	if h, ok := s.hostIndex.IndexOf[host]; ok {
		c := s.hostCapacity(host)
		s.ingest.trust.ObserveLoad(now, host, load, c)
		s.balancer.ObserveHealthCheck(h, how, s.ingest.trust.Load(now, host, load, c))
		s.scheduler.request(now, s.settings.MinRoundIntervalMs)
	}
}

// Status is what a steward says of itself.
type Status struct {
	Life           string         `json:"life"`
	Zones          []string       `json:"zones"`
	Classes        []string       `json:"classes"`
	ListAgeMs      float64        `json:"list_age_ms"` // since the list last came; below 0: never
	ListFailed     bool           `json:"list_failed"` // the last try to get it
	Hosts          int            `json:"hosts"`
	Joined         int            `json:"joined"`
	Polls          int            `json:"polls"` // held now
	LinesWaiting   float64        `json:"lines_waiting"`
	LinesMost      float64        `json:"lines_waiting_most"` // since the start
	Rounds         int64          `json:"rounds"`
	Mode           string         `json:"mode"` // the last change of mode, as logged
	ModeForMs      float64        `json:"mode_for_ms"`
	IndicesInUse   int            `json:"indices_in_use"` // hosts listed or not yet forgotten
	MessagesQueued int            `json:"messages_queued"`
	Intake         IngestReport   `json:"intake"`
	GuardRefused   int            `json:"guard_refused"`    // so often the table guard began to
	Memory         *RestoreReport `json:"memory,omitempty"` // what an earlier life knew
}

// Status tells how things stand.
func (s *Controller) Status(now float64) Status {
	st := Status{Life: s.deployment.Incarnation, Zones: s.deployment.Zones, ListAgeMs: -1, ListFailed: s.endpoints.watchFailed,
		Hosts: len(s.endpoints.effective), Joined: len(s.sessions.byProxy), Polls: s.sessions.pendingPolls,
		LinesWaiting: s.channel.backlog(), LinesMost: s.channel.peakBacklog, Rounds: s.roundCount, Mode: "ordinary", IndicesInUse: len(s.hostIndex.IndexOf),
		MessagesQueued: s.channel.queuedMessages(), Intake: s.ingestReport(now), GuardRefused: s.validation.report.Refused, Memory: s.restoreReport()}
	for _, c := range s.classes {
		st.Classes = append(st.Classes, c.Name)
	}
	if s.endpoints.known {
		st.ListAgeMs = now - s.endpoints.receivedMs
	}
	if s.modeText != "" {
		st.Mode, st.ModeForMs = s.modeText, now-s.modeSinceMs
	}
	return st
}

// logEvent passes an event of the balancer on as a line, with the names of hosts.
func (s *Controller) logEvent(event routing.Event) {
	s.logMode(event.Text(func(host int) string { return s.hostIndex.Names[host] }))
}

// logMode notes a change of mode and passes its line on.
func (s *Controller) logMode(line string) {
	s.modeText, s.modeSinceMs = line, s.nowMs
	s.recordEvent("mode", line)
	s.effects.Log(line)
}
