package main

import (
	"os"
	"strings"
	"syscall"
	"time"
)

func init() {
	for name, make := range map[string]func() *settings{"signing": signing, "results": results, "orders": orders, "desk": desk} {
		cases["x-"+name] = caseSpec{settings: make, play: explore}
	}
}

// slowest is the least pace of a slow channel, as a part of the usual one.
var slowest = map[string]float64{"": 0.4, "1": 0.1}[os.Getenv("SLOW")]

func orders() *settings {
	set := signing()
	set.Classes[2].MaxUs = 5e6
	set.Admission, set.UsualHow, set.Ejects, set.Head = "none", 1, 8, 6
	set.ChannelRate, set.MostWaiting, set.GraceUs, set.FallUs, set.FallMultiple, set.ColdFrom = 1600, 8000, 3e6, 3e6, 3, 0.23
	set.IntervalUs, set.HearsPerS, set.Fields = 1e6, 150, []string{"inflight"}
	set.Proxies = 60
	return set
}

func desk() *settings {
	set := signing()
	set.Classes = []class{
		{Name: "check", AimUs: 2e6, MaxUs: 5e6, Value: 1, Effect: "idempotent", KeyScope: "all"},
		{Name: "order", AimUs: 1e6, MaxUs: 3e6, Value: 5, Effect: "deduplicated", KeyScope: "cell"},
	}
	set.Proxies, set.Head, set.ChannelRate, set.MostWaiting = 120, 10, 10000, 20000
	set.FallMultiple, set.ColdFrom, set.ColdUs, set.UsualHow, set.Ejects = 2.5, 0.23, 17e6, 1, 0
	set.IntervalUs = 1e6
	return set
}

// explore plays a day of disruptions drawn by the seed.
func explore(b *bed) {
	only := os.Getenv("ONLY")
	b.rule = "any"
	r := b.random
	if os.Getenv("LOCAL") == "1" {
		b.set.Classes[0].StaysLocal = true
	}
	perZone := 3 + r.Intn(6)
	counts := map[string]int{}
	for _, z := range b.set.Zones {
		counts[z] = perZone
	}
	stewards := 1 + r.Intn(3)
	b.set.Instances = stewards
	capacity := 10.0
	b.addHosts(counts, capacity)
	load := b.between(0.35, 0.65)
	hosts := perZone * len(b.set.Zones)
	rate := load * capacity * float64(hosts) / float64(b.set.Proxies)
	whole := float64(b.set.Proxies) * (float64(hosts) + b.set.Head + 6) * 2
	if whole > b.set.MostWaiting {
		b.set.MostWaiting = whole
	}
	if need := whole / 2 / b.set.ChannelRate; need > 1.2 {
		b.set.GraceUs += (need - 1.2) * 1e6
	}
	for i := range stewards {
		b.addSteward(b.set.Zones[i%len(b.set.Zones)])
	}
	for _, z := range b.set.Zones {
		b.addProxies(z, b.set.Proxies/len(b.set.Zones), rate)
	}
	b.logf("%d hosts, %d stewards, %d proxies at %.2f/s, grace %.1f s, bare %.1f s, backlog %.0f", hosts, stewards,
		b.set.Proxies, rate, b.set.GraceUs/1e6, b.set.BareUs/1e6, b.set.MostWaiting)
	for _, s := range b.stewards {
		s.start()
	}
	b.startProxies()
	b.startCollectors()
	b.sleepUntil(8 + 6*r.Float64())
	names := []string{"zoneloss", "restart", "roll", "reconnect", "down", "massrestart", "hang", "slowchannel", "join",
		"preempt", "term", "deaf", "crash", "hup", "rude", "spoil", "silent"}
	for time.Since(b.began) < 70*time.Second {
		b.mu.Lock()
		name := names[r.Intn(len(names))]
		b.mu.Unlock()
		if only != "" && !strings.Contains(only, name) {
			continue
		}
		b.logf("disruption %s", name)
		go b.disrupt(name)
		time.Sleep(seconds(1 + 7*r.Float64()))
	}
	b.sleepUntil(85)
	b.summary("end")
	for _, s := range b.stewards {
		s.keepLog(200)
	}
	if len(b.findings) > 0 {
		for rule := range b.findings {
			b.rule = rule
		}
	}
}

func (b *bed) zoneHosts(zone string) []*host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var hosts []*host
	for _, h := range b.order {
		if h.zone == zone && h.listed != "Gone" {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (b *bed) someHosts(part float64) []*host {
	b.mu.Lock()
	defer b.mu.Unlock()
	var hosts []*host
	for _, h := range b.order {
		if h.listed == "Ready" && b.random.Float64() < part {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func (b *bed) draw(from, to float64) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return seconds(b.between(from, to))
}

// restartHost has a host die and come back cold.
func (b *bed) restartHost(h *host, down time.Duration) {
	h.setMode(dead)
	go func() {
		time.Sleep(b.draw(1.9, 5))
		b.mu.Lock()
		gone := h.mode == dead
		b.mu.Unlock()
		if gone {
			b.list(h, "Gone")
		}
	}()
	time.Sleep(down)
	b.mu.Lock()
	h.bornAt = time.Now()
	h.fallen = false
	h.pushes = nil
	h.startedMs = float64(h.bornAt.UnixMilli())
	b.mu.Unlock()
	h.setMode(serving)
	time.Sleep(b.draw(0.28, 2.4))
	b.list(h, "Ready")
}

func (b *bed) disrupt(name string) {
	b.mu.Lock()
	zone := b.set.Zones[b.random.Intn(len(b.set.Zones))]
	s := b.stewards[b.random.Intn(len(b.stewards))]
	part := b.random.Float64()
	b.mu.Unlock()
	switch name {
	case "zoneloss":
		down := b.draw(5, 12)
		for _, h := range b.zoneHosts(zone) {
			go b.restartHost(h, down)
		}
	case "massrestart":
		for _, h := range b.someHosts(0.3 + 0.2*part) {
			go b.restartHost(h, b.draw(1, 4))
		}
	case "crash":
		for _, h := range b.someHosts(0.2) {
			go b.restartHost(h, b.draw(5, 15))
		}
	case "restart":
		if !s.up {
			return
		}
		s.kill()
		time.Sleep(b.draw(2, 8))
		s.start()
	case "term":
		if !s.up {
			return
		}
		s.signal(syscall.SIGTERM)
		time.Sleep(700 * time.Millisecond)
		s.kill()
		s.start()
	case "roll", "preempt":
		for _, h := range b.someHosts(0.3 + 0.3*part) {
			go func() {
				b.list(h, "Terminating")
				time.Sleep(b.draw(0.3, 3))
				if name == "preempt" {
					h.setMode(dead)
				}
				time.Sleep(b.draw(0.5, 3))
				h.setMode(dead)
				b.list(h, "Gone")
			}()
			time.Sleep(b.draw(0.05, 0.4))
			b.addHost(h.zone, h.capacity, true)
		}
	case "join":
		for _, h := range b.someHosts(0.6) {
			go func() {
				time.Sleep(b.draw(0, 7))
				b.list(h, "Terminating")
				b.addHost(h.zone, h.capacity, true)
				time.Sleep(b.draw(1, 4))
				h.setMode(dead)
				b.list(h, "Gone")
			}()
		}
	case "reconnect":
		b.mu.Lock()
		for _, p := range b.proxies {
			if b.random.Float64() < 0.3+0.5*part {
				p.breakStream()
			}
		}
		b.mu.Unlock()
	case "down":
		b.mu.Lock()
		var some []*proxy
		for _, p := range b.proxies {
			if b.random.Float64() < 0.33 {
				p.barred = true
				p.breakStream()
				some = append(some, p)
			}
		}
		b.mu.Unlock()
		time.Sleep(b.draw(7, 12))
		b.mu.Lock()
		for _, p := range some {
			p.barred = false
		}
		b.mu.Unlock()
	case "hang":
		hosts := b.someHosts(0.15)
		for _, h := range hosts {
			if h.mode == serving {
				h.setMode(hanging)
			}
		}
		time.Sleep(b.draw(5, 15))
		for _, h := range hosts {
			if h.mode == hanging {
				h.setMode(serving)
			}
		}
	case "slowchannel":
		b.mu.Lock()
		s.channel.factor = slowest + 0.5*part
		s.channel.pace = s.channel.factor
		b.mu.Unlock()
		time.Sleep(b.draw(5, 10))
		b.mu.Lock()
		s.channel.factor = 1
		b.mu.Unlock()
		time.Sleep(15 * time.Second)
		b.mu.Lock()
		if s.channel.factor == 1 {
			s.channel.pace = 1
		}
		b.mu.Unlock()
	case "rude":
		if s.up {
			b.rudeClients(s, 300)
		}
	case "spoil":
		b.spoil(0.3)
	case "silent":
		b.silence(part)
	case "hup":
		if !s.up {
			return
		}
		old := s.agent
		s.agent = b.newAgent(s)
		s.writeConfig()
		s.signal(syscall.SIGHUP)
		b.mu.Lock()
		s.limitsFrom = time.Now().Add(4 * time.Second)
		b.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		_ = old.server.Close()
	case "deaf":
		b.mu.Lock()
		s.agent.silent = true
		b.mu.Unlock()
		time.Sleep(b.draw(2, 6))
		b.mu.Lock()
		s.agent.silent = false
		close(b.changed)
		b.changed = make(chan struct{})
		b.mu.Unlock()
	}
}
