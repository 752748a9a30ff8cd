package routing

import (
	"math"
	"testing"
)

// alike gives every host the same sums.
func alike(n int, s [3]float64) map[int][3]float64 {
	m := map[int][3]float64{}
	for h := range n {
		m[h] = s
	}
	return m
}

// Cap by hand: d = 3.2 x 250 ms, K = ln 20 / 0.8 s = 3.745/s. At 10/s and 250 ms, mu = 14 and the cap 10.255; at
// 10/s and 1 s, mu = 11 and the cap 7.255; at 1/s and 2 s, mu = 1.5 and half of it, 0.75, is more than mu - K.
func TestCap(t *testing.T) {
	b := &bench{}
	for _, c := range [][2]float64{{10, 250}, {10, 1000}, {1, 2000}} {
		limit := deadlineCapacity(c[0], c[1], 250)
		b.say("rate %.0f R %.0f: cap %.3f excess %.3f", c[0], c[1], limit, c[0]-limit)
	}
	b.check(t)
}

// Moves by hand, K = 3.745/s as above, 10/s at each host. Host 0 (zone 0, 500 ms) has mu 12, cap 8.255, excess 1.745.
// Host 1 (zone 0, 250 ms) has mu 14, cap 10.255, room 0.255 and comes first; host 2 (zone 1, 200 ms) has mu 15, cap
// 11.255, room 1.255. So 0.255 and 1.255 of 30/s move, a tenth of that in weight: 0.849, 1.0255, 1.1255.
func TestMovesByHand(t *testing.T) {
	b := start(plain(), 3)
	b.fleet.medianLatencyMs = 250
	for h, r := range []float64{500, 250, 200} {
		v := &b.hosts[h]
		v.endpoint.zone, v.stats.arrivalRate, v.stats.meanLatencyMs, v.stats.window.successes = h/2, 10, r, 50
	}
	b.rebalance()
	for h := range b.hosts {
		b.say("host %d weight %.4f", h, b.hosts[h].balance.weight)
	}
	b.check(t)
}

// The slow host 0 sheds to its own zone first, and its weight comes back when it is well again.
func TestMoveAndDrift(t *testing.T) {
	b := start(plain(), 4)
	sums := alike(4, [3]float64{10, 0, 200})
	b.run(5000, sums)
	sums[0] = [3]float64{10, 0, 900}
	b.run(9000, sums)
	b.say("host 0 is well again")
	sums[0] = [3]float64{10, 0, 200}
	b.run(30000, sums)
	b.check(t)
}

// A proxy that joins, or leaves and joins within a batch, is bound in the same round.
func TestJoin(t *testing.T) {
	b := start(plain(), 2)
	b.quiet = false
	b.DisconnectProxy(1)
	b.ConnectProxy(1, 0, 1)
	b.Round(1010, b)
	b.ConnectProxy(0, 0, 1)
	b.DisconnectProxy(0)
	b.Round(1020, b)
	b.check(t)
}

// Drained and removed hosts lose their lines at once, whatever marks are open.
func TestDrain(t *testing.T) {
	b := start(plain(), 4)
	b.now = 1100
	b.ObserveDelta()
	b.ObserveEndpoint(1, 1, Draining, 1, 0)
	b.Round(b.now, b)
	b.now = 1110
	b.ObserveDelta()
	b.ObserveEndpoint(2, 0, Removed, 0, 0)
	b.Round(b.now, b)
	b.run(400, nil)
	b.say("the drain of host 1 is taken back")
	b.ObserveDelta()
	b.ObserveEndpoint(1, 1, Ready, 1, 0)
	b.run(800, alike(4, [3]float64{10, 0, 200}))
	b.check(t)
}

// A host that restarts gets the least share it can surely do, and more only as it warms.
func TestColdStart(t *testing.T) {
	b := start(plain(), 3)
	sums := alike(3, [3]float64{10, 0, 200})
	b.run(3000, sums)
	b.ObserveDelta()
	b.ObserveEndpoint(2, 0, Ready, 1, b.now-100)
	b.Round(b.now, b)
	b.run(12000, sums)
	b.check(t)
}

// Where proxies shun, a cold host stays out of a fleet that refuses most tries.
func TestColdInRefusingFleet(t *testing.T) {
	set := plain()
	set.ProxyEjectAfter = 3
	b := start(set, 3)
	b.run(3000, alike(3, [3]float64{50, 45, 900}))
	b.ObserveDelta()
	b.ObserveEndpoint(2, 0, Ready, 1, b.now-100)
	b.Round(b.now, b)
	b.run(3000, alike(3, [3]float64{50, 45, 900}))
	b.check(t)
}

// probes answers the probes of all hosts for a while: silent ones not at all.
func (b *bench) probes(ms float64, sums map[int][3]float64, how func(h int) HealthCheckResult) {
	for end := b.now + ms; b.now < end; {
		for h := range b.hosts {
			if b.hosts[h].health.checkInFlight {
				b.ObserveHealthCheck(h, how(h), UnknownLoad)
			}
		}
		b.run(200, sums)
	}
}

// One host stops answering: probes and dry sums prove it; it comes back on trial.
func TestSilentHost(t *testing.T) {
	b := start(plain(), 6)
	sums := alike(6, [3]float64{10, 0, 200})
	b.probes(6000, sums, func(int) HealthCheckResult { return Healthy })
	delete(sums, 3)
	b.say("host 3 falls silent")
	b.probes(6000, sums, func(h int) HealthCheckResult {
		if h == 3 {
			return TimedOut
		}
		return Healthy
	})
	b.say("host 3 answers again")
	b.probes(8000, sums, func(int) HealthCheckResult { return Healthy })
	b.check(t)
}

// A busy host misses probes but fulfils: it stays.
func TestBusyHostStays(t *testing.T) {
	b := start(plain(), 6)
	sums := alike(6, [3]float64{10, 0, 200})
	b.probes(8000, sums, func(h int) HealthCheckResult {
		if h == 3 {
			return TimedOut
		}
		return Healthy
	})
	b.check(t)
}

// All fall silent at once: an overload or a cut of our own, and the tables stay.
func TestAllSilent(t *testing.T) {
	b := start(plain(), 6)
	b.probes(8000, map[int][3]float64{}, func(int) HealthCheckResult { return TimedOut })
	b.check(t)
}

// One whole zone falls silent while the other answers: a cut or a lost zone, withdrawn as one.
func TestCutZone(t *testing.T) {
	b := start(plain(), 6)
	sums := alike(6, [3]float64{10, 0, 200})
	b.probes(3000, sums, func(int) HealthCheckResult { return Healthy })
	b.say("zone 1 is cut off")
	b.probes(4000, sums, func(h int) HealthCheckResult {
		if h%2 == 1 {
			return TimedOut
		}
		return Healthy
	})
	b.check(t)
}

// Cores are busy and tries fail: the class with the least earnings per work is lowered first, and further
// tries stop.
func TestOverload(t *testing.T) {
	b := start(plain(), 3)
	for range 12 {
		for h := range 3 {
			b.ObserveHostStats(h, 30, 15, 900, 1000, HostLoad{Utilization: 1, RequestRate: -1})
		}
		b.ObserveDemand(0, 0, 50, 1000)
		b.ObserveDemand(0, 1, 40, 1000)
		b.run(1000, nil)
	}
	b.check(t)
}

// The list must be asked: a subscription at the start, and after failures again in growing steps.
func TestAskForList(t *testing.T) {
	set := plain()
	set.WatchesEndpoints = true
	b := start(set, 2)
	for range 4 {
		b.ObserveWatchFailure()
		b.run(6000, nil)
	}
	b.check(t)
}

// All proxies join at once on a slow channel: the lines that wait stay under the cap, and all are bound in
// the end.
func TestManyJoin(t *testing.T) {
	set := plain()
	set.Proxies = 30
	set.ControlChannel.EntriesPerSecond, set.ControlChannel.MaxBacklog, set.DrainGraceMs = 200, 150, 60000
	b := start(set, 8)
	b.run(12000, nil)
	b.check(t)
}

// The whole table would come too late for four proxies: each first gets a few hosts, the busiest proxies the
// most; a host that drains leaves their tables at once; the whole table follows as the channel allows.
func TestLateTable(t *testing.T) {
	set := plain()
	set.Proxies, set.ControlChannel.EntriesPerSecond, set.ControlChannel.MaxBacklog = 3, 30, 90
	b := start(set, 14)
	b.run(400, nil)
	b.ObserveDelta()
	b.ObserveEndpoint(3, 1, Draining, 1, 0)
	b.run(12000, nil)
	b.check(t)
}

// A change that does not fit the channel at once goes in pieces, removals first.
func TestPieces(t *testing.T) {
	set := plain()
	set.Proxies, set.ControlChannel.EntriesPerSecond, set.ControlChannel.MaxBacklog, set.DrainGraceMs = 8, 400, 150, 60000
	b := start(set, 10)
	b.run(6000, alike(10, [3]float64{10, 0, 200}))
	b.ObserveDelta()
	for h := range 8 {
		b.ObserveEndpoint(h, h%2, Draining, 1, 0)
	}
	b.ObserveEndpoint(8, 0, Ready, 3, 0)
	for range 6 {
		b.now += 200
		b.Round(b.now, b)
	}
	b.check(t)
}

// Nearly all hosts start anew at once: their lines go out before all else, in pieces, what has waited longest first.
func TestManyStart(t *testing.T) {
	set := plain()
	set.Proxies, set.ControlChannel.EntriesPerSecond, set.ControlChannel.MaxBacklog, set.DrainGraceMs = 4, 60, 200, 3000
	b := start(set, 14)
	b.run(12000, alike(14, [3]float64{10, 0, 200}))
	b.say("hosts 4 to 13 start anew")
	b.ObserveDelta()
	for h := 4; h < 14; h++ {
		b.ObserveEndpoint(h, h%2, Ready, 1, b.now-100)
	}
	b.run(200, nil)
	b.check(t)
}

// A proxy that was sent all the messages it may get waits, whatever the others were sent.
func TestMessageCap(t *testing.T) {
	set := plain()
	set.MaxMessages = 20
	b := start(set, 3)
	for range 18 {
		b.proxies[1].messageTimesMs = append(b.proxies[1].messageTimesMs, b.now)
	}
	b.ObserveDelta()
	b.ObserveEndpoint(2, 0, Draining, 1, 0)
	b.run(400, nil)
	b.say("the first messages are ten seconds old")
	b.run(11000, nil)
	b.check(t)
}

// Idle hosts that answer probes fail tries everywhere: connections are short, so tables are dealt. The one
// table comes back by trial.
func TestStrain(t *testing.T) {
	b := start(plain(), 10)
	fine := func(int) HealthCheckResult { return Healthy }
	b.probes(4000, alike(10, [3]float64{10, 0, 200}), fine)
	for h := range 10 {
		b.hosts[h].load.Utilization = 0.4
	}
	b.probes(4000, alike(10, [3]float64{20, 12, 300}), fine)
	b.probes(32000, alike(10, [3]float64{10, 0, 200}), fine)
	b.check(t)
}

// Sums that stop, name unknown hosts or hold nothing leave the tables as they are, and give no odd figures.
func TestOddRounds(t *testing.T) {
	b := start(plain(), 3)
	sums := alike(3, [3]float64{10, 0, 200})
	b.run(4000, sums)
	b.ObserveHostStats(9, 0, 0, 0, 0, UnknownLoad)
	b.ObserveHostStats(0, 0, 5, 0, 0, UnknownLoad)
	b.ObserveDemand(0, 0, 0, 0)
	b.Ack(0, 60000)
	b.ObserveHealthCheck(8, Unreachable, UnknownLoad)
	b.run(3000, nil)
	b.ObserveSnapshot(false)
	b.run(1000, sums)
	b.ObserveSnapshot(false)
	b.ObserveEndpoint(0, 0, Ready, 0, 0)
	b.run(3000, sums)
	for h := range b.hosts {
		if v := &b.hosts[h]; math.IsNaN(v.balance.weight) || v.balance.weight < 0 || math.IsInf(v.balance.weight, 0) {
			t.Errorf("host %d has weight %v", h, v.balance.weight)
		}
	}
	b.check(t)
}

// Every host fails nearly every try and no level is heeded: all proxies go to one host, and come back to
// the whole table together. The one that stays in is never withdrawn meanwhile, so no proxy is left bare.
func TestStorm(t *testing.T) {
	set := plain()
	set.AdmissionControl = false
	b := start(set, 4)
	b.run(3000, alike(4, [3]float64{10, 0, 200}))
	b.say("the storm begins")
	b.probes(7000, alike(4, [3]float64{30, 28, 900}), func(int) HealthCheckResult { return TimedOut })
	b.say("the storm is over")
	b.probes(6000, alike(4, [3]float64{10, 0, 200}), func(int) HealthCheckResult { return Healthy })
	b.check(t)
}

// Hosts found absent one after the other are withdrawn, but never the last warm one.
func TestNeverBare(t *testing.T) {
	b := start(plain(), 3)
	sums := alike(3, [3]float64{10, 0, 200})
	b.probes(3000, sums, func(int) HealthCheckResult { return Healthy })
	b.say("hosts 0 and 2 are gone, then host 1")
	b.probes(3000, nil, func(h int) HealthCheckResult { return []HealthCheckResult{Unreachable, Healthy, Unreachable}[h] })
	b.probes(3000, nil, func(h int) HealthCheckResult { return Unreachable })
	b.check(t)
}

// A host whose tries mostly fail, though its probes are answered, loses weight at once and gets it back as
// they succeed.
func TestFailingHost(t *testing.T) {
	b := start(plain(), 4)
	sums := alike(4, [3]float64{10, 0, 200})
	b.probes(3000, sums, func(int) HealthCheckResult { return Healthy })
	sums[2] = [3]float64{10, 9, 300}
	b.probes(2000, sums, func(int) HealthCheckResult { return Healthy })
	b.say("host 2 is well again")
	sums[2] = [3]float64{10, 0, 200}
	b.probes(4000, sums, func(int) HealthCheckResult { return Healthy })
	b.check(t)
}

// The ordinary messages of the window are used up when the last host that the tables hold drains: the host
// that is to take its place goes out in the same message, so that no proxy is left bare until the window
// moves on.
func TestReturnGoesWithRemoval(t *testing.T) {
	set := plain()
	set.MaxMessages = 20
	b := start(set, 2)
	sums := alike(2, [3]float64{10, 0, 200})
	b.probes(2000, sums, func(int) HealthCheckResult { return Healthy })
	b.hosts[1].outlier.ejected, b.hosts[1].health.consecutiveFailures = true, 5
	b.run(200, nil)
	for range 10 {
		b.proxies[0].messageTimesMs = append(b.proxies[0].messageTimesMs, b.now)
	}
	b.ObserveDelta()
	b.ObserveEndpoint(0, 0, Draining, 1, 0)
	b.hosts[1].health.consecutiveSuccesses = 2
	b.run(400, nil)
	b.check(t)
}

// A steward that has just started over hears of a cold host before it has any sums: the host waits for
// them.
func TestColdBeforeSums(t *testing.T) {
	b := start(plain(), 3)
	b.ObserveDelta()
	b.ObserveEndpoint(2, 0, Ready, 1, b.now-100)
	b.run(1400, nil)
	b.run(6000, alike(3, [3]float64{10, 0, 200}))
	b.check(t)
}

// A zone of busy hosts leaves its probes unanswered while the one host of the other zone has just started:
// that is no cut, the busy ones stay in, and the cold one does not get what they cannot take.
func TestColdIsNoEvidence(t *testing.T) {
	set := plain()
	set.ProxyEjectAfter, set.AdmissionControl = 3, false
	b := start(set, 5)
	b.ObserveDelta()
	b.ObserveEndpoint(1, 1, Removed, 1, 0)
	b.ObserveEndpoint(3, 1, Removed, 1, 0)
	b.Round(b.now, b)
	sums := alike(5, [3]float64{30, 30, 0})
	b.probes(5000, sums, func(int) HealthCheckResult { return TimedOut })
	b.ObserveDelta()
	b.ObserveEndpoint(1, 1, Ready, 1, b.now-100)
	b.probes(1000, sums, func(int) HealthCheckResult { return TimedOut })
	b.check(t)
}

// All hosts restart at once: nobody is sent to them until together they can bear the fleet's traffic.
func TestColdOnly(t *testing.T) {
	b := start(plain(), 2)
	sums := alike(2, [3]float64{10, 0, 200})
	b.run(5000, sums)
	b.ObserveDelta()
	b.ObserveEndpoint(0, 0, Ready, 1, b.now-100)
	b.ObserveEndpoint(1, 1, Ready, 1, b.now-100)
	b.run(5000, sums)
	b.check(t)
}

// A steward starts over from its cached list while proxies still hold old tables and a way of trying again that could
// repeat effects: they are bound at once, the way is set first, and what the whole list lacks is removed.
func TestStartOver(t *testing.T) {
	set := plain()
	set.DefaultRetryPolicy = 3
	b := start(set, 3)
	b.ObserveSnapshot(false)
	b.ObserveEndpoint(0, 0, Ready, 1, 0)
	b.ObserveEndpoint(2, 0, Ready, 1, 400)
	b.now = 1050
	b.Ack(0, 7)
	b.Round(b.now, b)
	b.check(t)
}

// A fleet is replaced host by host under new ids: what is gone must not thin out what a cold host gets.
func TestReplacedFleet(t *testing.T) {
	set := plain()
	set.HealthChecks = false
	b := start(set, 4)
	sums := map[int][3]float64{}
	for h := range 4 {
		sums[h] = [3]float64{20, 0, 100}
	}
	b.run(12000, sums)
	for h := range 4 {
		delete(sums, h)
		b.ObserveDelta()
		b.ObserveEndpoint(h, h%2, Draining, 1, 0)
		b.ObserveEndpoint(h+4, h%2, Ready, 1, b.now)
		b.run(2000, sums)
		b.ObserveDelta()
		b.ObserveEndpoint(h, h%2, Removed, 1, 0)
		sums[h+4] = [3]float64{20, 0, 100}
		b.run(12000, sums)
	}
	b.check(t)
}

// Two hosts let probes wait. The one that reports busy cores has grown slow, and loses weight with each probe, long
// before sums could show it; the one that reports idle cores is out of this steward's reach, and keeps it. Answered
// probes bring it back by steps.
func TestSlowHost(t *testing.T) {
	b := start(plain(), 8)
	answer := func(ms float64, how HealthCheckResult) {
		for end := b.now + ms; b.now < end; {
			b.run(200, nil)
			for h := range 8 {
				load := HostLoad{Utilization: 0.5, RequestRate: -1, QueueLength: -1}
				if h == 2 {
					load.Utilization = 0.97
				}
				if int(b.now)%1000 == 0 {
					b.ObserveHostStats(h, 3, 0, 100, 1000, load)
				}
				if b.hosts[h].health.checkInFlight && (h == 2 || h == 3) {
					b.ObserveHealthCheck(h, how, UnknownLoad)
				} else if b.hosts[h].health.checkInFlight {
					b.ObserveHealthCheck(h, Healthy, load)
				}
			}
		}
	}
	answer(2000, Healthy)
	b.say("two hosts let probes wait")
	answer(6000, TimedOut)
	b.say("and answer again")
	answer(16000, Healthy)
	b.check(t)
}

// A busy fleet lets probes wait here and there, one host after the other. Doubt about many must not pile up on the few
// that are left: the more are doubted, the less it counts; and it must not thin out a cold host.
func TestManyDoubted(t *testing.T) {
	b := start(plain(), 8)
	b.run(3000, nil)
	b.ObserveEndpoint(8, 0, Ready, 1, b.now)
	for second := range 12 {
		for range 5 {
			b.run(200, nil)
			for h := range 9 {
				load := HostLoad{Utilization: 0.97, RequestRate: -1, QueueLength: -1}
				if int(b.now)%1000 == 0 {
					b.ObserveHostStats(h, 3, 0, 100, 1000, load)
				}
				if how := Healthy; b.hosts[h].health.checkInFlight {
					if h%4 == second%4 && h < 8 {
						how = TimedOut
					}
					b.ObserveHealthCheck(h, how, load)
				}
			}
		}
	}
	for h := range 9 {
		b.say("host %d doubt %.1f told %.3f", h, b.hosts[h].health.suspicion, b.hosts[h].publication.weight)
	}
	b.check(t)
}
