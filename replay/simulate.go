package replay

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math"
	"sort"

	"barleysail/controller"
	"barleysail/internal/deadlinequeue"
	"barleysail/internal/record"
	"barleysail/internal/record/recordpb"
	"barleysail/internal/rules"
	"barleysail/replay/response"
	"barleysail/routing"
)

// Settings are the settings of a counterfactual replay.
type Settings struct {
	NewController        ControllerFactory // creates a controller from the start record of its recording
	Classes              []controller.RequestClass
	Limits               rules.Limits
	HealthCheckTimeoutMs float64 // timeout of a health check
}

// Window holds the priority weight of the requests that arrived in a window, by class: all, those that were served
// within the latency objective when recorded, and those in the replay.
type Window struct {
	Offered  []float64 `json:"Asked"`
	Recorded []float64 `json:"Recorded"`
	Replayed []float64 `json:"Replayed"`
}

// Outcome is the service as it was recorded and as it was replayed.
type Outcome struct {
	FromMs               float64                  `json:"From"`
	Classes              []string                 `json:"Classes"`
	Windows              []Window                 `json:"Windows"` // each of windowMs
	Verdicts             []rules.Verdict          `json:"Verdicts"`
	Messages             int                      `json:"Messages"` // snapshots and deltas sent
	Events               []Event                  `json:"Moments"`
	Attempts             int                      `json:"Tries"`
	ExtrapolatedAttempts int                      `json:"Beyond"`  // the model had no observation of the host at that time
	UnroutedRequests     int                      `json:"AsSeen"`  // of proxies without tables; they count as recorded
	OptimalityGaps       []float64                `json:"Gaps"`    // by window that had requests
	ClockOffsets         map[string][]ClockOffset `json:"Offsets"` // by proxy
	DuplicateRequests    int                      `json:"Doubled"` // recorded twice, replayed once
}

const (
	windowMs             = 5000.0
	reorderMarginMs      = 5000.0 // of the records of requests, beyond the longest deadline
	pollWaitMs           = 60000  // wait of a long poll
	minPollDelayMs       = 0.5    // from a response to its receipt by the proxy
	healthCheckMs        = 1.0    // duration of a health check that does not time out
	minAdvanceIntervalMs = 0.2
	stopDelayMs          = 0.001 // a controller stops after the last record of its recording
)

// Simulate replays the recorded arrivals with the tables that controllers publish with other settings. Endpoint lists,
// connects, disconnects, canceled polls and the times of the stats are as recorded; the responses of the hosts come
// from a response-time model that is fitted to the recording.
func Simulate(open OpenFunc, settings Settings) (*Outcome, error) {
	a, err := analyze(open)
	if err != nil {
		return nil, err
	}
	maxDeadlineMs := 0.0
	for _, class := range settings.Classes {
		maxDeadlineMs = math.Max(maxDeadlineMs, class.DeadlineMs)
	}
	if err := a.fitModel(open, maxDeadlineMs+reorderMarginMs); err != nil {
		return nil, err
	}
	records, err := a.newLookahead(open, maxDeadlineMs+reorderMarginMs, true)
	if err != nil {
		return nil, err
	}
	s := &simulation{
		settings:    settings,
		analysis:    a,
		hosts:       response.NewSimulatedHosts(a.model),
		eventLog:    rules.NewEventLog(),
		controllers: map[string]*simulatedController{},
		proxies:     map[string]*simulatedProxy{},
		classIndex:  map[string]int{},
		outcome:     &Outcome{FromMs: a.fromMs, ClockOffsets: map[string][]ClockOffset{}},
	}
	s.eventLog.Lean()
	s.gapMeasuredMs = a.fromMs
	s.timers.Schedule(a.fromMs+windowMs, s.measureGap)
	s.timers.Schedule(a.fromMs+compactIntervalMs, s.compactEventLog)
	for i, class := range settings.Classes {
		s.classIndex[class.Name] = i
		s.outcome.Classes = append(s.outcome.Classes, class.Name)
	}
	for name, offsets := range a.clockOffsets {
		s.outcome.ClockOffsets[a.proxyStarts[name].Proxy] = offsets
	}
	for {
		entry, err := records.next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		s.runTimersUntil(entry.atMs)
		if err := s.play(entry); err != nil {
			return nil, err
		}
	}
	s.runTimersUntil(s.nowMs + maxDeadlineMs)
	s.outcome.DuplicateRequests = records.records.duplicates
	s.finish()
	return s.outcome, nil
}

// simulation is the state of a counterfactual replay.
type simulation struct {
	settings Settings
	analysis *analysis
	hosts    *response.SimulatedHosts
	eventLog *rules.EventLog
	outcome  *Outcome

	nowMs       float64
	timers      deadlinequeue.Queue[func()]
	controllers map[string]*simulatedController // by source
	proxies     map[string]*simulatedProxy
	classIndex  map[string]int
	lastPollID  int64
	counter     uint64 // of random draws and requests: seeds the draws, and numbers the requests

	endpoints     map[string]endpoint // of the newest list of any controller
	demand        demand
	gapMeasuredMs float64

	nonIdempotentRequests int // requests that must not be executed twice
	executedTwice         int // such requests that were executed twice
}

// idempotenceVerdict is the verdict on requests that must not be executed twice. All attempts of a request are
// simulated, so the number of its executions is known exactly.
func (s *simulation) idempotenceVerdict() rules.Verdict {
	verdict := rules.Verdict{Rule: "no effect twice", Kept: s.executedTwice == 0,
		Margin: 1 - 2*float64(s.executedTwice)}
	verdict.Seen = fmt.Sprintf("%d of %d ran twice", s.executedTwice, s.nonIdempotentRequests)
	return verdict
}

// endpoint is a host in the endpoint list.
type endpoint struct {
	zone  string
	ready bool
}

// simulatedController is a controller, from the start to the end of its recording.
type simulatedController struct {
	simulation *simulation
	name       string
	controller *controller.Controller
	polls      map[int64]*simulatedProxy
	wakeupMs   float64 // time of the scheduled advance; infinite: none
	stopped    bool
}

// simulatedProxy is a proxy in the replay.
type simulatedProxy struct {
	name, zone   string
	controller   *simulatedController
	pollID       int64 // 0: no poll is open
	tag          string
	tables       map[string]controller.Table
	stats        controller.ProxyStats
	statsSinceMs float64
	sequence     int64

	recorded recordedTables

	ejectAfterFailures int // failures in a row after which a host is ejected; 0: never
	ejectionMs         float64
	ejections          map[string]ejection
	idempotentClasses  map[string]bool
}

// runTimersUntil runs all timers that are due by a time.
func (s *simulation) runTimersUntil(atMs float64) {
	for s.timers.NextDueMs() <= atMs {
		s.nowMs = math.Max(s.nowMs, s.timers.NextDueMs())
		timer, _ := s.timers.Pop(s.nowMs)
		timer()
	}
	s.nowMs = math.Max(s.nowMs, atMs)
}

func (s *simulation) after(delayMs float64, timer func()) { s.timers.Schedule(s.nowMs+delayMs, timer) }

// random returns a number from 0 up to 1, determined by the counter.
func (s *simulation) random() float64 {
	s.counter++
	var bytes [8]byte
	binary.LittleEndian.PutUint64(bytes[:], s.counter*0x9e3779b97f4a7c15)
	return float64(crc32.ChecksumIEEE(bytes[:])) / (1 << 32)
}

// play replays a record.
func (s *simulation) play(entry *analyzedRecord) error {
	c := s.controllers[entry.source]
	switch what := entry.record.What.(type) {
	case *recordpb.Record_Start:
		instance, err := s.settings.NewController(what.Start)
		if err != nil {
			return err
		}
		c = &simulatedController{
			simulation: s,
			name:       entry.source,
			controller: instance,
			polls:      map[int64]*simulatedProxy{},
			wakeupMs:   math.Inf(1),
		}
		s.controllers[entry.source] = c
		s.timers.Schedule(s.analysis.endMs[entry.source]+stopDelayMs, c.stop)
	case *recordpb.Record_Transaction:
		start := s.analysis.proxyStarts[entry.source]
		s.startRequest(start.Proxy, start.Zone, what.Transaction, entry.services)
		return nil
	case *recordpb.Record_Applied:
		start := s.analysis.proxyStarts[entry.source]
		s.proxy(start.Proxy, start.Zone).recorded.apply(what.Applied)
		return nil
	case *recordpb.Record_Published:
		if p := s.proxies[what.Published.Proxy]; p != nil {
			p.recorded.addResponse(what.Published)
		}
		return nil
	}
	if c == nil || c.stopped {
		return nil
	}
	switch what := entry.record.What.(type) {
	case *recordpb.Record_Listed:
		c.setEndpoints(what.Listed)
	case *recordpb.Record_ListFailed:
		c.controller.ObserveWatchFailure(s.nowMs)
	case *recordpb.Record_Operate:
		// A command that is rejected now has no effect.
		_, _ = c.controller.ApplyOverrides(s.nowMs, record.Commands(what.Operate), c)
	case *recordpb.Record_Poll:
		p := s.proxy(what.Poll.Proxy, what.Poll.Zone)
		if p.controller != c {
			p.disconnect()
			p.controller, p.tag = c, ""
		}
		if p.pollID == 0 {
			p.sendPoll(what.Poll.Rate)
		}
	case *recordpb.Record_PollGone:
		if p := s.proxies[what.PollGone.Proxy]; p != nil && p.controller == c {
			p.disconnect()
		}
	case *recordpb.Record_Leave:
		c.controller.Disconnect(s.nowMs, what.Leave, c)
		if p := s.proxies[what.Leave]; p != nil && p.controller == c {
			p.controller, p.pollID = nil, 0
		}
	case *recordpb.Record_Sums:
		if p := s.proxies[what.Sums.Proxy]; p != nil && p.controller == c {
			p.sendStats()
		}
	}
	c.advance()
	return nil
}

func (s *simulation) proxy(name, zone string) *simulatedProxy {
	p := s.proxies[name]
	if p == nil {
		p = &simulatedProxy{
			name:              name,
			zone:              zone,
			tables:            map[string]controller.Table{},
			statsSinceMs:      s.nowMs,
			ejections:         map[string]ejection{},
			idempotentClasses: map[string]bool{},
			recorded:          recordedTables{classes: map[string]*controller.Table{}},
		}
		p.resetStats()
		s.applyRecordedOptions(p)
		s.proxies[name] = p
	}
	return p
}

// applyRecordedOptions sets a proxy's options for ejection and retries from its recording. Recordings before format 3
// do not have them: their classes are idempotent unless the settings say otherwise.
func (s *simulation) applyRecordedOptions(p *simulatedProxy) {
	for _, start := range s.analysis.proxyStarts {
		if start.Proxy != p.name {
			continue
		}
		p.ejectAfterFailures, p.ejectionMs = int(start.Ejects), start.Shuns
		for _, class := range start.Repeats {
			p.idempotentClasses[class] = true
		}
		for _, class := range s.settings.Classes {
			if start.Format < 3 && !s.settings.Limits.NonIdempotentClasses[class.Name] {
				p.idempotentClasses[class.Name] = true
			}
		}
	}
}

func (p *simulatedProxy) resetStats() {
	p.stats = controller.ProxyStats{
		Sender: "replay",
		Hosts:  map[string]controller.HostStats{},
		Demand: map[string]controller.ClassDemand{},
	}
}

// sendPoll polls the proxy's controller.
func (p *simulatedProxy) sendPoll(rate float64) {
	c := p.controller
	c.simulation.lastPollID++
	p.pollID = c.simulation.lastPollID
	c.polls[p.pollID] = p
	request := controller.PollRequest{Proxy: p.name, Zone: p.zone, RequestRate: rate, WaitMs: pollWaitMs,
		AcceptDelta: true}
	if p.tag != "" {
		request.Tags = []string{p.tag}
	}
	if err := c.controller.Poll(c.simulation.nowMs, p.pollID, request, c); err != nil {
		delete(c.polls, p.pollID)
		p.pollID = 0
	}
}

// disconnect ends the proxy's connection to its controller. The proxy keeps its tables.
func (p *simulatedProxy) disconnect() {
	if p.controller == nil {
		return
	}
	if p.pollID != 0 {
		delete(p.controller.polls, p.pollID)
		p.controller.controller.CancelPoll(p.controller.simulation.nowMs, p.name, p.pollID)
		p.pollID = 0
	}
	s := p.controller.simulation
	s.eventLog.LogPollResponse(s.nowMs, p.name, p.controller.name, 0, "", "", "", nil)
	p.controller = nil
}

// sendStats reports the proxy's stats since the last report to its controller.
func (p *simulatedProxy) sendStats() {
	s, stats := p.controller.simulation, p.stats
	statsWindowMs := math.Max(s.nowMs-p.statsSinceMs, 1)
	p.sequence++
	stats.Sequence = p.sequence
	for host, hostStats := range stats.Hosts {
		if succeeded := hostStats.Attempts - hostStats.Failed; succeeded > 0 {
			hostStats.MeanLatencyMs /= float64(succeeded)
		}
		hostStats.WindowMs = statsWindowMs
		stats.Hosts[host] = hostStats
	}
	for class, demand := range stats.Demand {
		demand.WindowMs = statsWindowMs
		stats.Demand[class] = demand
	}
	p.resetStats()
	p.statsSinceMs = s.nowMs
	// As in production, the controller rejects stats of a host that is no longer listed.
	_, _ = p.controller.controller.ObserveProxyStats(s.nowMs, p.name, stats)
}

func (c *simulatedController) setEndpoints(list *recordpb.Listed) {
	entries, listed := record.Endpoints(list), map[string]rules.Listed{}
	c.simulation.endpoints = map[string]endpoint{}
	for _, entry := range entries {
		ready := entry.State == routing.Ready
		c.simulation.endpoints[entry.Host] = endpoint{entry.Zone, ready}
		listed[entry.Host] = rules.Listed{Ready: ready, Started: entry.StartedMs}
		parameters := c.simulation.analysis.model.Parameters(entry.Host)
		c.simulation.eventLog.LogCapacity(entry.Host, float64(parameters.Cores)/parameters.ServiceTimeFactor)
	}
	c.simulation.eventLog.LogEndpoints(c.simulation.nowMs, listed)
	_ = c.controller.SetEndpoints(c.simulation.nowMs, entries) // a list that is rejected now has no effect
}

// advance runs what is due in the controller, and schedules the next call.
func (c *simulatedController) advance() {
	if c.stopped {
		return
	}
	if c.controller.NextMs() <= c.simulation.nowMs {
		c.controller.Advance(c.simulation.nowMs, c)
	}
	next := math.Max(c.controller.NextMs(), c.simulation.nowMs+minAdvanceIntervalMs)
	if next < c.wakeupMs && !math.IsInf(next, 1) {
		c.wakeupMs = next
		c.simulation.timers.Schedule(next, func() {
			c.wakeupMs = math.Inf(1)
			c.advance()
		})
	}
}

// stop ends the controller at the end of its recording. Its proxies continue with the tables that they have.
func (c *simulatedController) stop() {
	c.stopped = true
	for _, p := range c.connectedProxies() {
		p.disconnect()
	}
}

func (c *simulatedController) connectedProxies() []*simulatedProxy {
	var proxies []*simulatedProxy
	for _, p := range c.simulation.proxies {
		if p.controller == c {
			proxies = append(proxies, p)
		}
	}
	sort.Slice(proxies, func(i, j int) bool { return proxies[i].name < proxies[j].name })
	return proxies
}

// Respond implements controller.Effects: the proxy receives the response after the mean recorded delay.
func (c *simulatedController) Respond(pollID int64, response controller.Response) {
	p := c.polls[pollID]
	delete(c.polls, pollID)
	if p == nil || p.pollID != pollID {
		return
	}
	if response.Kind != controller.NotModified {
		c.simulation.outcome.Messages++
	}
	c.simulation.after(math.Max(c.simulation.analysis.pollDelayMs, minPollDelayMs), func() {
		if p.controller == c && p.pollID == pollID && !c.stopped {
			p.receive(response)
			c.advance()
		}
	})
}

// CheckHealth implements controller.Effects, with the host's state in the model.
func (c *simulatedController) CheckHealth(host string) {
	alive, reachable := c.simulation.analysis.model.Liveness(host, c.simulation.nowMs)
	delayMs, result := healthCheckMs, routing.Healthy
	if !alive && reachable {
		delayMs, result = c.simulation.settings.HealthCheckTimeoutMs, routing.TimedOut
	} else if !alive {
		result = routing.Unreachable
	}
	c.simulation.after(delayMs, func() {
		if !c.stopped {
			c.controller.ObserveHealthCheck(c.simulation.nowMs, host, result, routing.UnknownLoad)
			c.advance()
		}
	})
}

// WatchEndpoints implements controller.Effects; endpoint lists are replayed as recorded.
func (c *simulatedController) WatchEndpoints() {}

// Log implements controller.Effects.
func (c *simulatedController) Log(text string) {
	if len(c.simulation.outcome.Events) < maxEvents {
		event := Event{c.simulation.nowMs, c.name + ": " + text}
		c.simulation.outcome.Events = append(c.simulation.outcome.Events, event)
	}
}

// receive applies a response to the proxy's tables, and polls again.
func (p *simulatedProxy) receive(response controller.Response) {
	status := 304
	switch response.Kind {
	case controller.Snapshot:
		status = 200
	case controller.Delta:
		status = 226
	}
	s := p.controller.simulation
	s.eventLog.LogPollResponse(s.nowMs, p.name, p.controller.name, status, response.Tag, response.BaseTag, p.tag,
		response.Body())
	if response.Kind != controller.NotModified {
		for _, table := range response.Tables() {
			if old, ok := p.tables[table.Class]; ok && !table.Assigned {
				table.Hosts, table.Weights, table.Assigned = old.Hosts, old.Weights, old.Assigned
			}
			p.tables[table.Class] = table
		}
	}
	p.tag = response.Tag
	p.sendPoll(0)
}

// compactIntervalMs is the interval at which the invariants are checked and the event log is compacted, so that its
// size does not grow with the length of the recordings.
const compactIntervalMs = 60000.0

func (s *simulation) compactEventLog() {
	s.eventLog.Compact(s.settings.Limits, s.nowMs)
	s.after(compactIntervalMs, s.compactEventLog)
}

func (s *simulation) finish() {
	s.outcome.Attempts, s.outcome.ExtrapolatedAttempts = s.hosts.Attempts, s.hosts.Extrapolated
	s.outcome.Verdicts = s.eventLog.Check(s.settings.Limits, s.nowMs)
	s.outcome.Verdicts[1] = s.idempotenceVerdict() // the lean event log does not have all attempts
}
