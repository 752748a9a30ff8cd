package routing

// roundIntervalMs is the time between rounds of periodic work.
const roundIntervalMs = 200.0

// minReportRoundRatio is the fraction of the report interval that must pass between two report rounds. It is below 1,
// since reports that arrive a little early must not wait for another round.
const minReportRoundRatio = 0.9

// observableSettlings is the number of settling times after the first round until reports are assumed to show this
// instance's own first weights.
const observableSettlings = 2

// noRoundYet is Balancer.nextRoundAtMs before the first round.
const noRoundYet = -1

// Balancer makes the routing decisions of one controller instance. It is not safe for concurrent use.
type Balancer struct {
	deployment Deployment
	classes    []RequestClass
	channel    ControlChannel
	limits     SafetyLimits
	objective  Objective

	nowMs         float64 // the instant of the current round
	nextRoundAtMs float64 // when the timer is due, or noRoundYet
	tasks         taskQueue
	random        jitterSource

	hosts            []hostRecord // by host index
	hostOrder        []int        // indices of the discovered hosts, in the order of discovery
	proxies          []proxyRecord
	connectedProxies int
	zoneReconnected  []bool // by zone: a proxy of it has connected since the last round
	zoneLocal        bool   // some request class must stay in its zone
	crossZoneClasses int    // bit set of the others, 0 where there are none

	discovery  discoveryState
	reports    reportTiming
	fleet      fleetStats
	tables     []tableStats // by number of the shared table
	admission  admissionState
	slowStart  []slowStartState // by number of the shared table
	checks     healthCheckState
	subsetMode subsetModeState
	retryStorm retryStormState
	publishing publishingState
	rollout    weightRollout
	backlog    controlBacklog
}

// New returns the balancer of a controller instance that has just started. It has no hosts and no proxies yet.
func New(
	deployment Deployment, classes []RequestClass, channel ControlChannel, limits SafetyLimits, objective Objective,
) *Balancer {
	sharedTables := deployment.Zones + 1
	b := &Balancer{
		deployment:      deployment,
		classes:         classes,
		channel:         channel,
		limits:          limits,
		objective:       objective,
		nextRoundAtMs:   noRoundYet,
		random:          jitterSource{seed: deployment.Seed},
		zoneReconnected: make([]bool, deployment.Zones),
		fleet:           fleetStats{successRatio: 1},
		tables:          newTableStats(sharedTables),
		slowStart:       make([]slowStartState, sharedTables),
		admission:       newAdmissionState(len(classes), deployment.DefaultRetryPolicy),
	}
	b.crossZoneClasses = crossZoneClasses(classes)
	b.reports.lastAtMs = noReportYet
	b.reports.cycleMs = deployment.ReportIntervalMs
	b.reports.settlingMs = channel.PropagationDelayMs + settlingCycles*deployment.ReportIntervalMs
	for _, class := range classes {
		b.zoneLocal = b.zoneLocal || class.ZoneLocal
	}
	return b
}

// Round makes the decisions that follow from everything recorded since the last round, and writes them to writer.
// nowMs is the current instant and must never decrease.
func (b *Balancer) Round(nowMs float64, writer UpdateWriter) {
	b.nowMs = nowMs
	if b.deployment.WatchesEndpoints {
		b.watchEndpoints(writer)
	}
	if b.deployment.HealthChecks {
		b.scheduleHealthChecks()
	}
	if b.isFirstRound() {
		b.reports.observableAtMs = nowMs + observableSettlings*b.reports.settlingMs
	}
	if nowMs >= b.nextRoundAtMs {
		b.nextRoundAtMs = nowMs + roundIntervalMs
		writer.ScheduleRound(b.nextRoundAtMs)
		if b.reports.pending && nowMs-b.reports.lastAtMs >= b.deployment.ReportIntervalMs*minReportRoundRatio {
			b.processReports(writer)
		}
	}
	b.runDueTasks(writer)
	b.detectOutliers(writer)
	b.publish(writer)
}

// isFirstRound reports whether no earlier round has scheduled the timer.
func (b *Balancer) isFirstRound() bool { return b.nextRoundAtMs == noRoundYet }

// connectedShare returns the fraction of all proxies that are connected to this instance; at least one is assumed to
// be.
func (b *Balancer) connectedShare() float64 {
	return float64(max(b.connectedProxies, 1)) / float64(b.deployment.Proxies)
}
