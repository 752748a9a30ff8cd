package routing

// roundIntervalMs is the time between rounds of periodic work.
const roundIntervalMs = 200.0

// reportRoundSlack is the part of the report interval after which a report round may follow the last one: reports that
// come a little early must not wait for another round.
const reportRoundSlack = 0.9

// noRoundYet is Balancer.nextRoundAtMs before the first round.
const noRoundYet = -1

// Balancer takes the routing decisions of one controller instance. It is not safe for concurrent use.
type Balancer struct {
	deployment Deployment
	classes    []RequestClass
	channel    ControlChannel
	limits     SafetyLimits
	objective  Objective

	nowMs         float64 // the instant of the present round
	nextRoundAtMs float64 // when the timer is due, or noRoundYet
	tasks         taskQueue
	random        jitterSource

	hosts            []hostRecord // by host index
	hostOrder        []int        // indices of the discovered hosts, in the order of discovery
	proxies          []proxyRecord
	connectedProxies int
	zoneReconnected  []bool // by zone: a proxy of it has connected since the last round
	zoneLocal        bool   // some request class must stay in its zone

	discovery  discoveryState
	reports    reportTiming
	fleet      fleetStats
	admission  admissionState
	slowStart  slowStartState
	checks     healthCheckState
	subsetMode subsetModeState
	retryStorm retryStormState
	publishing publishingState
	rollout    weightRollout
	backlog    controlBacklog
}

// New makes the balancer of a controller instance that has just started. It has no hosts and no proxies yet.
func New(
	deployment Deployment, classes []RequestClass, channel ControlChannel, limits SafetyLimits, objective Objective,
) *Balancer {
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
		admission:       newAdmissionState(len(classes), deployment.DefaultRetryPolicy),
	}
	b.reports.lastAtMs = noReportYet
	b.reports.cycleMs = deployment.ReportIntervalMs
	b.reports.settlingMs = channel.PropagationDelayMs + settlingCycles*deployment.ReportIntervalMs
	for _, class := range classes {
		b.zoneLocal = b.zoneLocal || class.ZoneLocal
	}
	return b
}

// Round decides on all that was recorded since the last round. now is the present instant in ms and never goes back.
func (b *Balancer) Round(now float64, writer UpdateWriter) {
	b.nowMs = now
	if b.deployment.WatchesEndpoints {
		b.watchEndpoints(writer)
	}
	if b.deployment.HealthChecks {
		b.scheduleHealthChecks()
	}
	if b.nextRoundAtMs < 0 {
		b.reports.observableAtMs = now + 2*b.reports.settlingMs
	}
	if now >= b.nextRoundAtMs {
		b.nextRoundAtMs = now + roundIntervalMs
		writer.ScheduleRound(b.nextRoundAtMs)
		if b.reports.pending && now-b.reports.lastAtMs >= b.deployment.ReportIntervalMs*reportRoundSlack {
			b.processReports(writer)
		}
	}
	b.runDueTasks(writer)
	b.detectOutliers(writer)
	b.publish(writer)
}

// connectedShare is the part of all proxies that are connected to this instance; at least one is taken to be.
func (b *Balancer) connectedShare() float64 {
	return float64(max(b.connectedProxies, 1)) / float64(b.deployment.Proxies)
}
