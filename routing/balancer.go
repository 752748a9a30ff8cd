package routing

const (
	roundIntervalMs = 200.0 // ms between rounds of periodic work
)

// Balancer decides for one instance.
type Balancer struct {
	deployment Deployment
	classes    []RequestClass
	channel    ControlChannel
	limits     SafetyLimits
	objective  Objective

	nowMs, nextRoundAtMs float64
	observableAtMs       float64 // sums from then on show our own first orders
	suspicionApplies     bool    // few hosts leave probes unanswered
	suspicionScale       float64 // part of the doubts about hosts that counts
	slowStartAllowed     bool    // cold servers may be sent to
	urgentPending        bool    // removals or starts wait for the channel
	slowStartShare       float64 // weight of the warm lines, as a part of what ready hosts can do now
	jitterCounter        uint64
	hosts                []hostRecord
	hostOrder            []int // hosts in the order they were first listed
	checkedHosts         int   // so many of them are probed
	proxies              []proxyRecord
	connectedProxies     int
	zoneReconnected      []bool // a proxy of the zone has joined since the last round
	zoneLocal            bool   // a class stays in its zone
	tasks                []task // by time

	snapshotReceived, watchFailed bool
	watchBackoffMs                float64

	reportPending                            bool
	reportAtMs, reportDelayMs                float64   // time of the last report round; how much later than usual they have come
	reportSpanSumMs, reportCount             float64   // sum of the times that the last sums cover, and their number
	propagationDelayMs, reportCycleMs        float64   // way of a message; time in which the sums come round all servers
	settlingMs                               float64   // until a move shows in the sums
	medianLatencyMs, successRatio            float64   // median R; part of the tries fulfilled
	classDemand                              []float64 // faded: transactions that came, by class
	admissionRatio, admissionCooldownUntilMs float64
	previousSuccessRatio                     float64
	quotas, publishedQuotas                  []float64
	retryPolicy, publishedRetryPolicy        int

	subsetMode                      bool // proxies get tables of their own, a few hosts each
	subsetModeUntilMs, subsetModeMs float64
	pressureRounds, stormRounds     int  // report rounds in a row
	quiescing                       bool // all proxies go to one server, keep
	quiesceHost                     int
	nextQuiesceAtMs                 float64

	version, weightVersion        int // of the last batch; of the last that told weights
	weightProxies, weightAcks     int // proxies that were sent that one; that answered it
	weightSentAtMs, publishedAtMs float64
	urgentSentAtMs                float64
	costs                         []float64 // of the present round, by proxy
	unacknowledgedEntries         float64   // lines that joined proxies have not answered
	arrivingEntries               float64   // lines answered within the last way of a message, fading
	updateBudget                  float64   // lines that weights may cost
}

// New makes the steward of an instance that has just started.
func New(fleet Deployment, classes []RequestClass, channel ControlChannel, guard SafetyLimits, goal Objective) *Balancer {
	s := &Balancer{deployment: fleet, classes: classes, channel: channel, limits: guard, objective: goal, nextRoundAtMs: -1,
		reportAtMs: -1, admissionRatio: 1, retryPolicy: 1, publishedRetryPolicy: fleet.DefaultRetryPolicy, successRatio: 1}
	s.propagationDelayMs, s.reportCycleMs, s.settlingMs = channel.PropagationDelayMs, fleet.ReportIntervalMs, channel.PropagationDelayMs+2*fleet.ReportIntervalMs
	n := len(classes)
	s.classDemand, s.quotas, s.publishedQuotas = make([]float64, n), make([]float64, n), make([]float64, n)
	s.zoneReconnected = make([]bool, fleet.Zones)
	for c := range classes {
		s.quotas[c], s.publishedQuotas[c] = 1, 1
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
		for _, h := range s.hostOrder[s.checkedHosts:] {
			life := s.hosts[h].incarnation
			s.schedule(s.jitter()*1000, func(w UpdateWriter) { s.checkHealth(w, h, life) })
		}
		s.checkedHosts = len(s.hostOrder)
	}
	if s.nextRoundAtMs < 0 {
		s.observableAtMs = now + 2*s.settlingMs
	}
	if now >= s.nextRoundAtMs {
		s.nextRoundAtMs = now + roundIntervalMs
		w.ScheduleRound(s.nextRoundAtMs)
		if s.reportPending && now-s.reportAtMs >= s.deployment.ReportIntervalMs*0.9 {
			s.processReports(w, s.deployment.ReportIntervalMs)
		}
	}
	for len(s.tasks) > 0 && s.tasks[0].atMs <= now {
		d := s.tasks[0]
		s.tasks = s.tasks[1:]
		d.run(w)
	}
	s.detectOutliers(w)
	s.publish(w, s.channel)
}

// connectedShare is the part of all proxies that are joined here.
func (s *Balancer) connectedShare() float64 {
	return float64(max(s.connectedProxies, 1)) / float64(s.deployment.Proxies)
}
