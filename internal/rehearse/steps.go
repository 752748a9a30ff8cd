package rehearse

import (
	"context"
	"time"

	"barleysail/internal/fake"
	"barleysail/internal/rehearse/daypb"
)

// secondsToDuration converts a time in s.
func secondsToDuration(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// sleep waits for a duration. It returns false if the context ended before.
func sleep(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// runStep waits for the time of a step, injects its fault, and ends the fault after the duration of the step.
func (s *scenario) runStep(ctx context.Context, step *daypb.Step) {
	if !sleep(ctx, secondsToDuration(step.AtS)) {
		return
	}
	hosts := s.selectHosts(step)
	switch step.What {
	case daypb.What_HANG:
		s.applyFault(hosts, "hangs", func(host *scenarioHost) { host.SetHanging(true) })
		sleep(ctx, secondsToDuration(step.ForS))
		s.applyFault(hosts, "answers again", func(host *scenarioHost) { host.SetHanging(false) })
	case daypb.What_SLOW:
		s.applyFault(hosts, "is slow", func(host *scenarioHost) { host.SetSlowdown(step.Size) })
		sleep(ctx, secondsToDuration(step.ForS))
		s.applyFault(hosts, "is as fast as before", func(host *scenarioHost) { host.SetSlowdown(1) })
	case daypb.What_DRAIN:
		s.changeEndpoints(hosts, "drains", func(host *scenarioHost) { host.draining = true })
		sleep(ctx, secondsToDuration(step.ForS))
		s.changeEndpoints(hosts, "is ready again", func(host *scenarioHost) { host.draining = false })
	case daypb.What_LOSE:
		s.crashHosts(ctx, hosts, step)
	case daypb.What_KILL:
		s.restartController(ctx, int(step.Steward), step)
	case daypb.What_CUT:
		count := int(step.Size*float64(len(s.proxies)) + 0.5)
		for _, proxy := range s.proxies[:min(count, len(s.proxies))] {
			proxy.Disconnect(secondsToDuration(step.ForS))
		}
		s.addNote("%d proxies are disconnected from the controllers for %.1f s", count, step.ForS)
	case daypb.What_RESTART:
		proxies := s.socketProxies(step.Size)
		for _, proxy := range proxies {
			proxy.RestartWithInitialConfig()
		}
		s.addNote("%d proxies restart with their initial configuration", len(proxies))
	case daypb.What_SLOW_SOCKET, daypb.What_MUTE_SOCKET:
		proxies := s.socketProxies(step.Size)
		for _, proxy := range proxies {
			proxy.SetSocketDelay(slowSocketDelay)
			proxy.SetSocketUnresponsive(step.What == daypb.What_MUTE_SOCKET)
		}
		s.addNote("%d runtime sockets respond late or not at all", len(proxies))
		sleep(ctx, secondsToDuration(step.ForS))
		for _, proxy := range proxies {
			proxy.SetSocketDelay(0)
			proxy.SetSocketUnresponsive(false)
		}
		s.addNote("runtime sockets respond in time again")
	case daypb.What_FLOOD:
		s.applyFault(hosts, "sends too many load reports", func(host *scenarioHost) { host.SetReportRateMultiple(step.Size) })
		sleep(ctx, secondsToDuration(step.ForS))
		s.applyFault(hosts, "sends load reports at the usual rate",
			func(host *scenarioHost) { host.SetReportRateMultiple(0) })
	case daypb.What_MUTE:
		s.applyFault(hosts, "stops reporting its load", func(host *scenarioHost) { host.SetSilent(true) })
		sleep(ctx, secondsToDuration(step.ForS))
		s.applyFault(hosts, "reports its load again", func(host *scenarioHost) { host.SetSilent(false) })
	case daypb.What_LIE:
		s.applyFault(hosts, "reports a fraction of its load",
			func(host *scenarioHost) { host.SetReportedFraction(step.Size) })
		sleep(ctx, secondsToDuration(step.ForS))
		s.applyFault(hosts, "reports its true load", func(host *scenarioHost) { host.SetReportedFraction(0) })
	case daypb.What_AHEAD:
		offset := secondsToDuration(step.Size)
		s.applyFault(hosts, "has a wrong clock", func(host *scenarioHost) { host.SetClockOffset(offset) })
		sleep(ctx, secondsToDuration(step.ForS))
		s.applyFault(hosts, "has the right clock", func(host *scenarioHost) { host.SetClockOffset(0) })
	case daypb.What_LATE_SUMS:
		s.delayRequestStats(secondsToDuration(step.Size))
		s.addNote("request stats arrive %.1f s late", step.Size)
		sleep(ctx, secondsToDuration(step.ForS))
		s.delayRequestStats(0)
		s.addNote("request stats arrive in time")
	}
}

const (
	// A controller restarts at its address, whose port may still be held for a moment after the kill.
	maxStartRetries    = 50
	startRetryInterval = 20 * time.Millisecond
)

// slowSocketDelay is the response time of a runtime socket during a SLOW_SOCKET step.
const slowSocketDelay = 300 * time.Millisecond

// socketProxies returns a fraction of the proxies that have a runtime socket.
func (s *scenario) socketProxies(fraction float64) (proxies []*fake.Proxy) {
	for _, proxy := range s.proxies {
		if proxy.SocketAddress() != "" {
			proxies = append(proxies, proxy)
		}
	}
	return proxies[:min(int(fraction*float64(len(proxies))+0.5), len(proxies))]
}

// delayRequestStats sets the delay of all request stats.
func (s *scenario) delayRequestStats(delay time.Duration) {
	for _, proxy := range s.proxies {
		proxy.DelayRequestStats(delay)
	}
}

// selectHosts returns the hosts that a step applies to.
func (s *scenario) selectHosts(step *daypb.Step) []*scenarioHost {
	var selected []*scenarioHost
	for _, host := range s.hosts {
		if step.Zone == "" || host.zone == step.Zone {
			selected = append(selected, host)
		}
	}
	selected = selected[min(int(step.First), len(selected)):]
	if step.Count > 0 {
		selected = selected[:min(int(step.Count), len(selected))]
	}
	return selected
}

// applyFault starts or ends a fault of hosts, and adds a note with its description.
func (s *scenario) applyFault(hosts []*scenarioHost, description string, apply func(*scenarioHost)) {
	for _, host := range hosts {
		apply(host)
	}
	s.addHostNote(hosts, description)
}

func (s *scenario) addHostNote(hosts []*scenarioHost, description string) {
	if len(hosts) == 1 {
		s.addNote("%s %s", hosts[0].Address, description)
	} else {
		s.addNote("%d hosts: each %s", len(hosts), description)
	}
}

// changeEndpoints changes the state of hosts on the endpoint list.
func (s *scenario) changeEndpoints(hosts []*scenarioHost, description string, change func(*scenarioHost)) {
	s.mu.Lock()
	for _, host := range hosts {
		change(host)
	}
	s.mu.Unlock()
	if err := s.writeEndpointList(); err != nil {
		s.log.Error().Err(err).Msg("cannot write the endpoint list")
	}
	s.addHostNote(hosts, description)
}

// crashHosts crashes hosts and restarts them in slow start. The endpoint list follows each change after the script's
// delay.
func (s *scenario) crashHosts(ctx context.Context, hosts []*scenarioHost, step *daypb.Step) {
	listDelay := time.Duration(s.script.ListLateMs * float64(time.Millisecond))
	s.applyFault(hosts, "crashes", func(host *scenarioHost) { host.Crash() })
	sleep(ctx, listDelay)
	s.changeEndpoints(hosts, "is removed from the list", func(host *scenarioHost) { host.listed = false })
	sleep(ctx, secondsToDuration(step.ForS)-listDelay)
	started := map[*scenarioHost]float64{}
	s.applyFault(hosts, "restarts", func(host *scenarioHost) {
		startedMs, err := host.Restart()
		if err != nil {
			s.log.Error().Err(err).Msg("cannot restart a host")
			return
		}
		started[host] = startedMs
	})
	sleep(ctx, listDelay)
	s.changeEndpoints(hosts, "is listed again", func(host *scenarioHost) {
		if startedMs, ok := started[host]; ok {
			host.listed, host.startedMs = true, startedMs
		}
	})
}

// restartController kills a controller, and starts its next incarnation at the same address after the step's duration.
func (s *scenario) restartController(ctx context.Context, index int, step *daypb.Step) {
	s.controllers[index].Kill()
	killedAtS := time.Since(s.start).Seconds()
	s.addNote("controller %d is killed", index)
	sleep(ctx, secondsToDuration(step.ForS))
	restarted, err := s.startController(index, s.controllerAddresses[index])
	for attempt := 0; err != nil && attempt < maxStartRetries; attempt++ {
		time.Sleep(startRetryInterval)
		restarted, err = s.startController(index, s.controllerAddresses[index])
	}
	if err != nil {
		s.addNote("controller %d cannot restart: %v", index, err)
		return
	}
	s.controllers[index] = restarted
	s.restarts = append(s.restarts, controllerRestart{index, killedAtS, time.Since(s.start).Seconds()})
	s.addNote("controller %d restarts", index)
}
