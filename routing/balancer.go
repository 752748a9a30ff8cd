package routing

const (
	roundIntervalMs = 200.0 // ms between rounds of periodic work
)

// Balancer takes the routing decisions of one controller instance. It is not safe for concurrent use.
type Balancer struct {
	deployment Deployment
	classes    []RequestClass
	channel    ControlChannel
	limits     SafetyLimits
	objective  Objective

	nowMs         float64 // the instant of the present round
	nextRoundAtMs float64 // when the timer is due; noRoundYet before the first round
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

// noRoundYet is Balancer.nextRoundAtMs before the first round.
const noRoundYet = -1

// New makes the steward of an instance that has just started.
func New(fleet Deployment, classes []RequestClass, channel ControlChannel, guard SafetyLimits, goal Objective) *Balancer {
	s := &Balancer{deployment: fleet, classes: classes, channel: channel, limits: guard, objective: goal,
		nextRoundAtMs: noRoundYet}
	s.reports.lastAtMs = noReportYet
	s.admission.ratio, s.admission.retryPolicy = 1, 1
	s.admission.publishedRetryPolicy = fleet.DefaultRetryPolicy
	s.fleet.successRatio = 1
	s.random.seed = fleet.Seed
	s.reports.cycleMs, s.reports.settlingMs = fleet.ReportIntervalMs, channel.PropagationDelayMs+2*fleet.ReportIntervalMs
	n := len(classes)
	s.admission.classDemand, s.admission.quotas, s.admission.publishedQuotas = make([]float64, n), make([]float64, n), make([]float64, n)
	s.zoneReconnected = make([]bool, fleet.Zones)
	for c := range classes {
		s.admission.quotas[c], s.admission.publishedQuotas[c] = 1, 1
		s.zoneLocal = s.zoneLocal || classes[c].ZoneLocal
	}
	return s
}

// Round decides on all that was noted since the last round.
func (s *Balancer) Round(now float64, w UpdateWriter) {
	s.nowMs = now
	if s.deployment.WatchesEndpoints {
		s.watchEndpoints(w)
	}
	if s.deployment.HealthChecks {
		for _, h := range s.hostOrder[s.checks.scheduledHosts:] {
			life := s.hosts[h].incarnation
			s.schedule(s.random.next()*1000, func(w UpdateWriter) { s.checkHealth(w, h, life) })
		}
		s.checks.scheduledHosts = len(s.hostOrder)
	}
	if s.nextRoundAtMs < 0 {
		s.reports.observableAtMs = now + 2*s.reports.settlingMs
	}
	if now >= s.nextRoundAtMs {
		s.nextRoundAtMs = now + roundIntervalMs
		w.ScheduleRound(s.nextRoundAtMs)
		if s.reports.pending && now-s.reports.lastAtMs >= s.deployment.ReportIntervalMs*0.9 {
			s.processReports(w, s.deployment.ReportIntervalMs)
		}
	}
	for {
		next, due := s.tasks.popDue(now)
		if !due {
			break
		}
		next.run(w)
	}
	s.detectOutliers(w)
	s.publish(w, s.channel)
}

// connectedShare is the part of all proxies that are joined here.
func (s *Balancer) connectedShare() float64 {
	return float64(max(s.connectedProxies, 1)) / float64(s.deployment.Proxies)
}
