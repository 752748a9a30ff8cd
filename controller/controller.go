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

func refuse(field, format string, args ...any) error {
	return &FieldError{field, fmt.Sprintf(format, args...)}
}

// Controller serves the proxies that poll it. Make one with New.
type Controller struct {
	fleet   Deployment
	classes []RequestClass
	polls   Settings
	module  *routing.Balancer
	zone    map[string]int
	class   map[string]int

	now     float64
	round   rounds
	hosts   interner.Interner
	list    list
	members members
	tables  tables
	channel channel

	intake   reports
	came     []float64 // of each class lately, for a proxy, a second
	memory   memory
	drained  map[string]float64 // since when hosts drain
	solved   solved
	guarding guarding
	multiple float64
	book     *operator.OverrideStore
	stepAt   float64 // when operators' orders are looked at next
	grace    float64
	cold     float64
	moves    [][]WeightChange // by host
	events   events
	answered answers
	out      Effects // of the present call

	mode   string // the last line of the module
	modeAt float64
	rounds int64
}

// New makes a steward that knows no list and no proxy yet.
func New(fleet Deployment, classes []RequestClass, channel routing.ControlChannel, guard routing.SafetyLimits, goal routing.Objective,
	polls Settings) *Controller {
	s := &Controller{fleet: fleet, classes: classes, polls: polls, zone: map[string]int{}, class: map[string]int{}}
	known := make([]routing.RequestClass, len(classes))
	s.came, s.drained = make([]float64, len(classes)), map[string]float64{}
	for i, c := range classes {
		known[i], s.class[c.Name] = c.RequestClass, i
	}
	for i, z := range fleet.Zones {
		s.zone[z] = i
	}
	s.module = routing.New(routing.Deployment{Controllers: fleet.Controllers, Zones: len(fleet.Zones), Proxies: fleet.Proxies,
		Seed: fleet.Seed, ReportIntervalMs: fleet.ReportIntervalMs, ProxyEjectAfter: fleet.ProxyEjectAfter, DefaultRetryPolicy: fleet.DefaultRetryPolicy,
		AdmissionControl: fleet.AdmissionControl, HealthChecks: fleet.HealthChecks, WatchesEndpoints: fleet.WatchesEndpoints}, known, channel, guard, goal)
	s.book, s.stepAt, s.grace, s.cold, s.multiple = operator.New(), math.Inf(1), guard.DrainGraceMs, guard.SlowStartMs, guard.CollapseMultiple
	s.hosts, s.list, s.members = interner.New(), newList(), newMembers()
	s.tables = newTables(len(classes), fleet.DefaultRetryPolicy)
	s.channel = newChannel(channel)
	s.SetIngestLimits(intake.DefaultLimits())
	s.round = rounds{at: math.Inf(-1), last: math.Inf(-1), wake: math.Inf(1)}
	return s
}

// Advance does all that is due: it ends the polls that have waited long enough, lets proxies leave that were
// not heard, sends what the channel may send, and decides a round.
func (s *Controller) Advance(now float64, out Effects) {
	s.now, s.out = now, out
	s.expire()
	s.depart()
	s.recheck()
	if s.round.due(now) {
		s.decide()
		s.depart()
	}
	s.forget()
	s.step()
	s.renew()
}

// Next is when Advance has something to do; it may lie in the past, as at first.
func (s *Controller) Next() float64 {
	return min(s.round.next(), s.channel.next(), s.members.next(), s.list.next(), s.solved.next(), s.stepAt, s.guarding.next())
}

// decide runs a round of the module.
func (s *Controller) decide() {
	s.keepPace()
	s.round.start(s.now)
	s.rounds++
	s.tables.round++
	s.takeIn()
	s.module.Round(s.now, writer{s})
	s.look()
	s.order()
}

// SetEndpoints notes the whole list as it now stands. The hosts of the first list that tell no start count as
// started long ago; later a new host without one starts when it is listed. The error names the entry's field.
func (s *Controller) SetEndpoints(now float64, entries []Endpoint) error {
	s.now = now
	if err := s.checkList(entries); err != nil {
		return err
	}
	if s.list.at, s.list.failed = now, false; s.holdsList(entries) {
		return nil
	}
	s.believe(entries)
	return nil
}

// believe takes a list for what is so.
func (s *Controller) believe(entries []Endpoint) {
	if before := len(s.list.raw); before != len(entries) || !s.list.known {
		s.event("list", fmt.Sprintf("the list has %d hosts, before %d", len(entries), before))
	}
	s.list.raw = append([]Endpoint(nil), entries...)
	s.take(s.over(s.list.raw))
	s.round.soon(s.now, s.polls.MinRoundIntervalMs)
}

// ObserveWatchFailure notes that the list could not be had, or that it no longer sends its changes.
func (s *Controller) ObserveWatchFailure(now float64) {
	s.now = now
	s.list.failed = true
	s.event("list", "the list could not be had")
	s.module.ObserveWatchFailure()
	s.round.soon(now, s.polls.MinRoundIntervalMs)
}

// ObserveHealthCheck notes how a probe ended; load is decide.NoLoad where the host told none.
func (s *Controller) ObserveHealthCheck(now float64, host string, how routing.HealthCheckResult, load routing.HostLoad) {
	s.now = now
	if h, ok := s.hosts.IndexOf[host]; ok {
		c := s.capacity(host)
		s.intake.trust.ObserveLoad(now, host, load, c)
		s.module.ObserveHealthCheck(h, how, s.intake.trust.Load(now, host, load, c))
		s.round.soon(now, s.polls.MinRoundIntervalMs)
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
	st := Status{Life: s.fleet.Incarnation, Zones: s.fleet.Zones, ListAgeMs: -1, ListFailed: s.list.failed,
		Hosts: len(s.list.entries), Joined: len(s.members.byName), Polls: s.members.held,
		LinesWaiting: s.channel.waiting(), LinesMost: s.channel.peak, Rounds: s.rounds, Mode: "ordinary", IndicesInUse: len(s.hosts.IndexOf),
		MessagesQueued: s.channel.messages(), Intake: s.intakeReport(now), GuardRefused: s.guarding.report.Refused, Memory: s.memoryReport()}
	for _, c := range s.classes {
		st.Classes = append(st.Classes, c.Name)
	}
	if s.list.known {
		st.ListAgeMs = now - s.list.at
	}
	if s.mode != "" {
		st.Mode, st.ModeForMs = s.mode, now-s.modeAt
	}
	return st
}

// logEvent passes an event of the balancer on as a line, with the names of hosts.
func (s *Controller) logEvent(event routing.Event) {
	s.log(event.Text(func(host int) string { return s.hosts.Names[host] }))
}

// log notes a change of mode and passes its line on.
func (s *Controller) log(line string) {
	s.mode, s.modeAt = line, s.now
	s.event("mode", line)
	s.out.Log(line)
}
