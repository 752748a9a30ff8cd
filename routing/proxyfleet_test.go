package routing

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Behaviour of the proxies and hosts of a proxyFleet.
const (
	fleetStepMs          = 20   // time between two rounds
	fleetServiceMs       = 300  // latency of a successful attempt
	fleetHealthCheckMs   = 400  // timeout of a health check
	fleetEjectMinMs      = 2500 // shortest time for which a proxy ejects a host
	fleetEjectMaxMs      = 7900
	fleetMinTimeoutShare = 0.4 // of a class's deadline, after which a proxy gives up an attempt at the earliest
)

// proxyFleet is a test double of the proxies and hosts of a deployment, on a scripted clock: proxies draw hosts by the
// weights of their zone's shared table, eject hosts by themselves, and report their attempts each second. Updates
// reach them after the propagation delay. Its random draws are seeded.
type proxyFleet struct {
	*Balancer
	settings settings
	random   *rand.Rand
	clockMs  float64
	later    []laterCall
	proxies  []fleetProxy
	hosts    map[int]*fleetHost
	weights  map[int]map[int]float64 // as proxies have applied them, by table and host
}

// laterCall is a call that is due at an instant.
type laterCall struct {
	atMs float64
	call func()
}

// fleetProxy is a proxy of a proxyFleet.
type fleetProxy struct {
	zone         int
	ratePerMs    float64
	failures     map[int]int     // in a row, by host
	ejectedUntil map[int]float64 // by host
	tallies      map[int]*fleetTally
}

// fleetTally counts a proxy's attempts at a host since its last report. An attempt counts when it begins, and its
// failure when it is given up, so that a report has at most as many failures as attempts of the same interval.
type fleetTally struct {
	attempts int
	failures int
}

// fleetHost is a host of a proxyFleet.
type fleetHost struct {
	hanging      bool // it accepts attempts and health checks, and answers none
	attemptsAtMs []float64
}

// newProxyFleet returns a fleet of which every proxy has the shared table of its zone.
func newProxyFleet(s settings, seed uint64, hosts int, requestsPerSecond func(zone int) float64) *proxyFleet {
	f := &proxyFleet{
		Balancer: New(s.deployment, s.classes, s.channel, s.limits, s.objective),
		settings: s,
		random:   rand.New(rand.NewPCG(seed, seed)),
		clockMs:  fleetStepMs,
		hosts:    map[int]*fleetHost{},
		weights:  map[int]map[int]float64{},
	}
	f.ObserveSnapshot(false)
	for host := range hosts {
		f.listHost(host, host%s.deployment.Zones, Ready, 0)
	}
	for proxy := range s.deployment.Proxies {
		zone := proxy % s.deployment.Zones
		f.proxies = append(f.proxies, fleetProxy{
			zone:         zone,
			ratePerMs:    requestsPerSecond(zone) / msPerSecond,
			failures:     map[int]int{},
			ejectedUntil: map[int]float64{},
			tallies:      map[int]*fleetTally{},
		})
		f.ConnectProxy(proxy, zone, requestsPerSecond(zone))
	}
	return f
}

// listHost changes a host's entry on the endpoint list.
func (f *proxyFleet) listHost(host, zone int, state HostState, startedAtMs float64) {
	if f.hosts[host] == nil {
		f.hosts[host] = &fleetHost{}
	}
	f.ObserveDelta()
	f.ObserveEndpoint(host, zone, state, 1, startedAtMs)
}

// run advances the time.
func (f *proxyFleet) run(durationMs float64) {
	for endMs := f.clockMs + durationMs; f.clockMs < endMs; {
		f.clockMs += fleetStepMs
		f.runDueCalls()
		for i := range f.proxies {
			f.sendRequests(&f.proxies[i])
		}
		if math.Mod(f.clockMs, reportIntervalMs) == 0 {
			f.report()
		}
		f.Round(f.clockMs, f)
	}
}

// after schedules a call.
func (f *proxyFleet) after(delayMs float64, call func()) {
	f.later = append(f.later, laterCall{f.clockMs + delayMs, call})
}

func (f *proxyFleet) runDueCalls() {
	var due []laterCall
	f.later = slices.DeleteFunc(f.later, func(scheduled laterCall) bool {
		if scheduled.atMs > f.clockMs {
			return false
		}
		due = append(due, scheduled)
		return true
	})
	for _, scheduled := range due {
		scheduled.call()
	}
}

// sendRequests sends a proxy's requests of one step.
func (f *proxyFleet) sendRequests(proxy *fleetProxy) {
	interval := func() float64 { return f.random.ExpFloat64() / proxy.ratePerMs }
	for atMs := interval(); atMs < fleetStepMs; atMs += interval() {
		if host, ok := f.pickHost(proxy); ok {
			f.attempt(proxy, host)
		}
	}
}

// pickHost draws a host of a proxy's table by weight, without those that the proxy has ejected.
func (f *proxyFleet) pickHost(proxy *fleetProxy) (host int, ok bool) {
	weights := f.weights[f.sharedTable(proxy.zone)]
	total := 0.0
	candidates := make([]int, 0, len(weights))
	for _, host := range f.hostOrder {
		if weights[host] > 0 && proxy.ejectedUntil[host] <= f.clockMs {
			candidates = append(candidates, host)
			total += weights[host]
		}
	}
	drawn := f.random.Float64() * total
	for _, host := range candidates {
		drawn -= weights[host]
		if drawn < 0 {
			return host, true
		}
	}
	return 0, false
}

// attempt sends a request to a host.
func (f *proxyFleet) attempt(proxy *fleetProxy, index int) {
	host := f.hosts[index]
	proxy.tally(index).attempts++
	host.attemptsAtMs = append(host.attemptsAtMs, f.clockMs)
	if !host.hanging {
		proxy.failures[index] = 0
		return
	}
	class := f.settings.classes[f.random.IntN(len(f.settings.classes))]
	share := fleetMinTimeoutShare + (1-fleetMinTimeoutShare)*f.random.Float64()
	f.after(class.DeadlineMs*share, func() { f.fail(proxy, index) })
}

// fail counts a failed attempt, and has the proxy eject a host after too many failures in a row.
func (f *proxyFleet) fail(proxy *fleetProxy, index int) {
	tally := proxy.tally(index)
	tally.attempts = max(tally.attempts, 1)
	tally.failures = min(tally.failures+1, tally.attempts)
	proxy.failures[index]++
	if proxy.failures[index] >= f.settings.deployment.ProxyEjectAfter {
		proxy.failures[index] = 0
		proxy.ejectedUntil[index] = f.clockMs + fleetEjectMinMs + (fleetEjectMaxMs-fleetEjectMinMs)*f.random.Float64()
	}
}

// tally returns a proxy's counts of a host.
func (p *fleetProxy) tally(host int) *fleetTally {
	if p.tallies[host] == nil {
		p.tallies[host] = &fleetTally{}
	}
	return p.tallies[host]
}

// report sends the reports of all collectors.
func (f *proxyFleet) report() {
	for _, index := range f.hostOrder {
		var sum fleetTally
		for i := range f.proxies {
			tally := f.proxies[i].tally(index)
			sum.attempts += tally.attempts
			sum.failures += tally.failures
			*tally = fleetTally{}
		}
		if sum.attempts > 0 {
			f.ObserveHostStats(index, sum.attempts, sum.failures, fleetServiceMs, reportIntervalMs, UnknownLoad)
		}
	}
}

// maxAttemptRatio returns the most attempts at a host within a window, as a multiple of the window's budget. budget is
// called with the end of the window.
func (f *proxyFleet) maxAttemptRatio(host int, windowMs float64, budget func(endMs float64) float64) float64 {
	attempts := f.hosts[host].attemptsAtMs
	most, first := 0.0, 0
	for i, atMs := range attempts {
		for attempts[first] < atMs-windowMs {
			first++
		}
		most = max(most, float64(i-first+1)/budget(atMs))
	}
	return most
}

func (f *proxyFleet) SetWeight(table, host int, weight float64) {
	f.after(f.settings.channel.PropagationDelayMs, func() {
		if f.weights[table] == nil {
			f.weights[table] = map[int]float64{}
		}
		f.weights[table][host] = weight
	})
}

func (f *proxyFleet) StampVersion(version int) {
	f.after(f.settings.channel.PropagationDelayMs, func() {
		for proxy := range f.proxies {
			f.Ack(proxy, version)
		}
	})
}

func (f *proxyFleet) CheckHealth(host int) {
	if f.hosts[host].hanging {
		f.after(fleetHealthCheckMs, func() { f.ObserveHealthCheck(host, TimedOut, UnknownLoad) })
		return
	}
	f.after(fleetStepMs, func() { f.ObserveHealthCheck(host, Healthy, UnknownLoad) })
}

func (f *proxyFleet) AssignTable(int, int, int)           {}
func (f *proxyFleet) SetAdmission(int, int, float64, int) {}
func (f *proxyFleet) ScheduleRound(float64)               {}
func (f *proxyFleet) WatchEndpoints()                     {}
func (f *proxyFleet) Log(Event)                           {}
