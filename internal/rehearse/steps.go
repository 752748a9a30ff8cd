package rehearse

import (
	"context"
	"time"

	"barleysail/internal/fake"
	"barleysail/internal/rehearse/daypb"
)

func seconds(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }

// wait tells whether the time passed before the day ended.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// step waits for its time, does what it says, and undoes it.
func (d *day) step(ctx context.Context, s *daypb.Step) {
	if !wait(ctx, seconds(s.AtS)) {
		return
	}
	hosts := d.chosen(s)
	switch s.What {
	case daypb.What_HANG:
		d.each(hosts, "hangs", func(h *member) { h.Hang(true) })
		wait(ctx, seconds(s.ForS))
		d.each(hosts, "answers again", func(h *member) { h.Hang(false) })
	case daypb.What_SLOW:
		d.each(hosts, "is slow", func(h *member) { h.Slow(s.Size) })
		wait(ctx, seconds(s.ForS))
		d.each(hosts, "is as fast as usual", func(h *member) { h.Slow(1) })
	case daypb.What_DRAIN:
		d.listing(hosts, "drains", func(h *member) { h.draining = true })
		wait(ctx, seconds(s.ForS))
		d.listing(hosts, "is ready again", func(h *member) { h.draining = false })
	case daypb.What_LOSE:
		d.lose(ctx, hosts, s)
	case daypb.What_KILL:
		d.kill(ctx, int(s.Steward), s)
	case daypb.What_CUT:
		n := int(s.Size*float64(len(d.forwarders)) + 0.5)
		for _, f := range d.forwarders[:min(n, len(d.forwarders))] {
			f.Cut(seconds(s.ForS))
		}
		d.say("%d forwarders lose their steward for %.1f s", n, s.ForS)
	case daypb.What_RESTART:
		all := d.withSockets(s.Size)
		for _, f := range all {
			f.SocketRestart()
		}
		d.say("%d forwarders start anew with their old file", len(all))
	case daypb.What_SLOW_SOCKET, daypb.What_MUTE_SOCKET:
		all := d.withSockets(s.Size)
		for _, f := range all {
			f.SocketSlow(slowSocket)
			f.SocketMute(s.What == daypb.What_MUTE_SOCKET)
		}
		d.say("%d sockets answer late or not at all", len(all))
		wait(ctx, seconds(s.ForS))
		for _, f := range all {
			f.SocketSlow(0)
			f.SocketMute(false)
		}
		d.say("and in time again")
	case daypb.What_FLOOD:
		d.each(hosts, "reports much too often", func(h *member) { h.Flood(s.Size) })
		wait(ctx, seconds(s.ForS))
		d.each(hosts, "reports as usual", func(h *member) { h.Flood(0) })
	case daypb.What_MUTE:
		d.each(hosts, "tells its load no more", func(h *member) { h.Mute(true) })
		wait(ctx, seconds(s.ForS))
		d.each(hosts, "tells its load again", func(h *member) { h.Mute(false) })
	case daypb.What_LIE:
		d.each(hosts, "tells a part of its load", func(h *member) { h.Lie(s.Size) })
		wait(ctx, seconds(s.ForS))
		d.each(hosts, "tells the truth", func(h *member) { h.Lie(0) })
	case daypb.What_AHEAD:
		d.each(hosts, "has a wrong clock", func(h *member) { h.Ahead(seconds(s.Size)) })
		wait(ctx, seconds(s.ForS))
		d.each(hosts, "has the right time", func(h *member) { h.Ahead(0) })
	case daypb.What_LATE_SUMS:
		d.late(seconds(s.Size))
		d.say("sums come %.1f s late", s.Size)
		wait(ctx, seconds(s.ForS))
		d.late(0)
		d.say("sums come in time")
	}
}

// slowSocket is how late a slow socket answers.
const slowSocket = 300 * time.Millisecond

// withSockets gives a part of the forwarders that have one.
func (d *day) withSockets(part float64) (all []*fake.Forwarder) {
	for _, f := range d.forwarders {
		if f.SocketAddress() != "" {
			all = append(all, f)
		}
	}
	return all[:min(int(part*float64(len(all))+0.5), len(all))]
}

func (d *day) late(by time.Duration) {
	for _, f := range d.forwarders {
		f.LateSums(by)
	}
}

// chosen gives the hosts that a step is about.
func (d *day) chosen(s *daypb.Step) []*member {
	var of []*member
	for _, h := range d.hosts {
		if s.Zone == "" || h.zone == s.Zone {
			of = append(of, h)
		}
	}
	of = of[min(int(s.First), len(of)):]
	if s.Count > 0 {
		of = of[:min(int(s.Count), len(of))]
	}
	return of
}

func (d *day) each(hosts []*member, what string, do func(*member)) {
	for _, h := range hosts {
		do(h)
	}
	d.tell(hosts, what)
}

func (d *day) tell(hosts []*member, what string) {
	if len(hosts) == 1 {
		d.say("%s %s", hosts[0].Address, what)
	} else {
		d.say("%d hosts: each %s", len(hosts), what)
	}
}

// listing changes what the list says of hosts.
func (d *day) listing(hosts []*member, what string, change func(*member)) {
	d.mu.Lock()
	for _, h := range hosts {
		change(h)
	}
	d.mu.Unlock()
	if err := d.list(); err != nil {
		d.log.Error().Err(err).Msg("the list could not be changed")
	}
	d.tell(hosts, what)
}

// lose lets hosts die and come back cold; the list learns of either late.
func (d *day) lose(ctx context.Context, hosts []*member, s *daypb.Step) {
	late := time.Duration(d.script.ListLateMs * float64(time.Millisecond))
	d.each(hosts, "dies", func(h *member) { h.Crash() })
	wait(ctx, late)
	d.listing(hosts, "is gone from the list", func(h *member) { h.listed = false })
	wait(ctx, seconds(s.ForS)-late)
	started := map[*member]float64{}
	d.each(hosts, "starts", func(h *member) {
		at, err := h.Restart()
		if err != nil {
			d.log.Error().Err(err).Msg("a host could not start again")
			return
		}
		started[h] = at
	})
	wait(ctx, late)
	d.listing(hosts, "is listed again", func(h *member) {
		if at, ok := started[h]; ok {
			h.listed, h.started = true, at
		}
	})
}

// kill ends a steward as the end of its process would, and starts another at its address.
func (d *day) kill(ctx context.Context, i int, s *daypb.Step) {
	d.stewards[i].Kill()
	lost := time.Since(d.start).Seconds()
	d.say("steward %d is killed", i)
	wait(ctx, seconds(s.ForS))
	next, err := d.steward(i, d.addresses[i])
	for n := 0; err != nil && n < 50; n++ { // the port may be held for a moment
		time.Sleep(20 * time.Millisecond)
		next, err = d.steward(i, d.addresses[i])
	}
	if err != nil {
		d.say("steward %d cannot start: %v", i, err)
		return
	}
	d.stewards[i] = next
	d.kills = append(d.kills, kill{i, lost, time.Since(d.start).Seconds()})
	d.say("steward %d starts again", i)
}
