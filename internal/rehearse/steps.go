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
		s.applyFault(hosts, "is as fast as usual", func(host *scenarioHost) { host.SetSlowdown(1) })
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
		s.addNote("%d forwarders lose their steward for %.1f s", count, step.ForS)
	case daypb.What_RESTART:
		proxies := s.socketProxies(step.Size)
		for _, proxy := range proxies {
			proxy.RestartWithInitialConfig()
		}
		s.addNote("%d forwarders start anew with their old file", len(proxies))
	case daypb.What_SLOW_SOCKET, daypb.What_MUTE_SOCKET:
		proxies := s.socketProxies(step.Size)
		for _, proxy := range proxies {
			proxy.SetSocketDelay(slowSocketDelay)
			proxy.SetSocketUnresponsive(step.What == daypb.What_MUTE_SOCKET)
		}
		s.addNote("%d sockets answer late or not at all", len(proxies))
		sleep(ctx, secondsToDuration(step.ForS))
		for _, proxy := range proxies {
			proxy.SetSocketDelay(0)
			proxy.SetSocketUnresponsive(false)
		}
		s.addNote("and in time again")
	case daypb.What_FLOOD:
		s.applyFault(hosts, "reports much too often", func(host *scenarioHost) { host.SetReportRateMultiple(step.Size) })
		sleep(ctx, secondsToDuration(step.ForS))
		s.applyFault(hosts, "reports as usual", func(host *scenarioHost) { host.SetReportRateMultiple(0) })
	case daypb.What_MUTE:
		s.applyFault(hosts, "tells its load no more", func(host *scenarioHost) { host.SetSilent(true) })
		sleep(ctx, secondsToDuration(step.ForS))
		s.applyFault(hosts, "tells its load again", func(host *scenarioHost) { host.SetSilent(false) })
	case daypb.What_LIE:
		s.applyFault(hosts, "tells a part of its load", func(host *scenarioHost) { host.SetReportedFraction(step.Size) })
		sleep(ctx, secondsToDuration(step.ForS))
		s.applyFault(hosts, "tells the truth", func(host *scenarioHost) { host.SetReportedFraction(0) })
	case daypb.What_AHEAD:
		offset := secondsToDuration(step.Size)
		s.applyFault(hosts, "has a wrong clock", func(host *scenarioHost) { host.SetClockOffset(offset) })
		sleep(ctx, secondsToDuration(step.ForS))
		s.applyFault(hosts, "has the right time", func(host *scenarioHost) { host.SetClockOffset(0) })
	case daypb.What_LATE_SUMS:
		s.delayRequestStats(secondsToDuration(step.Size))
		s.addNote("sums come %.1f s late", step.Size)
		sleep(ctx, secondsToDuration(step.ForS))
		s.delayRequestStats(0)
		s.addNote("sums come in time")
	}
}

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
		s.log.Error().Err(err).Msg("the list could not be changed")
	}
	s.addHostNote(hosts, description)
}

// crashHosts crashes hosts and restarts them in slow start. The endpoint list follows each change after the script's
// delay.
func (s *scenario) crashHosts(ctx context.Context, hosts []*scenarioHost, step *daypb.Step) {
	listDelay := time.Duration(s.script.ListLateMs * float64(time.Millisecond))
	s.applyFault(hosts, "dies", func(host *scenarioHost) { host.Crash() })
	sleep(ctx, listDelay)
	s.changeEndpoints(hosts, "is gone from the list", func(host *scenarioHost) { host.listed = false })
	sleep(ctx, secondsToDuration(step.ForS)-listDelay)
	started := map[*scenarioHost]float64{}
	s.applyFault(hosts, "starts", func(host *scenarioHost) {
		startedMs, err := host.Restart()
		if err != nil {
			s.log.Error().Err(err).Msg("a host could not start again")
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
	s.addNote("steward %d is killed", index)
	sleep(ctx, secondsToDuration(step.ForS))
	restarted, err := s.startController(index, s.controllerAddresses[index])
	for attempt := 0; err != nil && attempt < 50; attempt++ { // the port may not be free yet
		time.Sleep(20 * time.Millisecond)
		restarted, err = s.startController(index, s.controllerAddresses[index])
	}
	if err != nil {
		s.addNote("steward %d cannot start: %v", index, err)
		return
	}
	s.controllers[index] = restarted
	s.restarts = append(s.restarts, controllerRestart{index, killedAtS, time.Since(s.start).Seconds()})
	s.addNote("steward %d starts again", index)
}
