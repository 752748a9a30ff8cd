package routing

const (
	// pressureFailureRatio is the fraction of its attempts that a host fails under connection pressure.
	pressureFailureRatio = 0.15

	// Under connection pressure at least pressureHostShare of the hosts fail, at least pressureIdleShare fail while
	// they are not busy, and at most pressureMaxUnanswered leave a health check unanswered.
	pressureHostShare     = 0.6
	pressureIdleShare     = 0.4
	pressureMaxUnanswered = 0.35

	// pressureRoundsNeeded is the number of report rounds in a row after which connection pressure is confirmed.
	pressureRoundsNeeded = 2

	// subsetModeInitialMs is the duration of subset mode. It doubles when the pressure soon returns.
	subsetModeInitialMs = 30000.0
)

// subsetModeState is the state of subset mode, in which each proxy gets a subset of the hosts.
type subsetModeState struct {
	active         bool
	untilMs        float64 // when it ends, or ended
	durationMs     float64 // of the last subset mode; 0: none yet
	pressureRounds int     // report rounds in a row with connection pressure
}

// pressureSymptoms counts the ready hosts with recent attempts.
type pressureSymptoms struct {
	hosts       int
	failing     int // hosts that fail more than pressureFailureRatio of their attempts
	failingIdle int // failing hosts that report idle cores
	unanswered  int // hosts that left the last health check unanswered
}

// updateSubsetMode enters and leaves subset mode. Connection pressure, in which connections fail or are costly,
// differs from a lack of capacity: many hosts fail attempts although they answer health checks and report idle cores.
// In subset mode every proxy gets its own table with a subset of the hosts, to which it keeps its connections. The
// pressure no longer shows in this mode, so the mode ends after a time that doubles when the pressure soon returns. It
// also helps where links lose attempts everywhere. Where hosts fail attempts for other reasons, it only makes the
// balance coarser.
func (b *Balancer) updateSubsetMode(writer UpdateWriter) {
	symptoms := b.measurePressure()
	if symptoms.showConnectionPressure() && b.nowMs >= b.retryStorm.nextQuiesceAtMs {
		b.subsetMode.pressureRounds++
	} else {
		b.subsetMode.pressureRounds = 0
	}
	if b.subsetMode.active {
		if b.nowMs >= b.subsetMode.untilMs {
			b.subsetMode.active = false
			writer.Log(Event{SubsetModeLeft, NoHost, []Field{{"success_ratio", b.fleet.successRatio, 2}}})
		}
		return
	}
	if b.subsetMode.pressureRounds >= pressureRoundsNeeded && !b.zoneLocal {
		b.enterSubsetMode(writer, symptoms)
	}
}

// measurePressure counts the hosts with the symptoms of connection pressure.
func (b *Balancer) measurePressure() pressureSymptoms {
	var symptoms pressureSymptoms
	for _, index := range b.hostOrder {
		host := &b.hosts[index]
		attempts := host.stats.recentAttempts()
		if attempts < 1 || host.endpoint.state != Ready {
			continue
		}
		symptoms.hosts++
		symptoms.unanswered += min(host.health.consecutiveFailures, 1)
		if host.stats.recentFailures <= pressureFailureRatio*attempts {
			continue
		}
		symptoms.failing++
		utilization := host.load.effectiveUtilization()
		if utilization >= 0 && utilization < recoverUtilization {
			symptoms.failingIdle++
		}
	}
	return symptoms
}

// showConnectionPressure reports whether the symptoms are those of connection pressure. One more host without symptoms
// is counted, so that a fleet of few hosts needs stronger evidence.
func (p pressureSymptoms) showConnectionPressure() bool {
	hosts := float64(p.hosts + 1)
	return float64(p.failing) >= pressureHostShare*hosts &&
		float64(p.failingIdle) >= pressureIdleShare*hosts &&
		float64(p.unanswered) <= pressureMaxUnanswered*hosts
}

// enterSubsetMode starts subset mode, for twice the last duration where the last one ended recently.
func (b *Balancer) enterSubsetMode(writer UpdateWriter, symptoms pressureSymptoms) {
	mode := &b.subsetMode
	mode.durationMs *= 2
	if mode.durationMs == 0 || b.nowMs > mode.untilMs+mode.durationMs {
		mode.durationMs = subsetModeInitialMs
	}
	mode.active = true
	mode.untilMs = b.nowMs + mode.durationMs
	writer.Log(Event{SubsetModeEntered, NoHost, []Field{
		{"for_s", mode.durationMs / msPerSecond, 0},
		{"failing_hosts", float64(symptoms.failing), 0},
		{"hosts", float64(symptoms.hosts), 0},
		{"failing_idle_hosts", float64(symptoms.failingIdle), 0},
		{"success_ratio", b.fleet.successRatio, 2},
	}})
}
