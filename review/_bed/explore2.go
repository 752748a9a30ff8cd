package main

import (
	"math"
	"os"
	"time"
)

func init() {
	for name, make := range map[string]func() *settings{"results": results, "desk": desk, "signing": signing, "orders": orders} {
		cases["y-"+name] = caseSpec{settings: make, play: explorePair}
	}
}

// explorePair plays one of the days at full size with one of the site's own disruptions beside it, on a small fleet.
func explorePair(b *bed) {
	b.rule = "any"
	r := b.random
	if os.Getenv("LOCAL") == "1" {
		b.set.Classes[0].StaysLocal = true
	}
	zones := len(b.set.Zones)
	perZone := (8 + r.Intn(5)) / zones
	if zones > 2 {
		perZone = 5
	}
	b.set.Proxies = 6 * zones
	counts := map[string]int{}
	for _, z := range b.set.Zones {
		counts[z] = perZone
	}
	stewards := 1 + r.Intn(2)
	b.set.Instances = stewards
	b.addHosts(counts, 10)
	hosts := perZone * zones
	load := b.between(0.4, 0.62)
	for i := range stewards {
		b.addSteward(b.set.Zones[i%zones])
	}
	for _, z := range b.set.Zones {
		b.addProxies(z, 6, load*10*float64(hosts)/float64(b.set.Proxies))
	}
	for _, s := range b.stewards {
		s.start()
	}
	b.startProxies()
	b.startCollectors()
	days := []string{"join", "roll", "zone", "split"}
	own := []string{"hang", "zoneloss", "crash", "reconnect", "down", "preempt", "massrestart"}
	day, other := days[r.Intn(len(days))], own[r.Intn(len(own))]
	first, second := 14.0, 14+b.between(0, 14)
	if r.Intn(2) == 0 {
		first, second = 14+b.between(0, 14), 14
	}
	b.logf("day %s at %.1f, own %s at %.1f, %d hosts, %d stewards, load %.2f", day, first, other, second, hosts, stewards, load)
	go func() {
		b.sleepUntil(first)
		b.logf("disruption day %s", day)
		b.playDay(day)
	}()
	go func() {
		b.sleepUntil(second)
		b.logf("disruption own %s", other)
		b.disrupt(other)
	}()
	b.sleepUntil(52)
	b.summary("end")
	for _, s := range b.stewards {
		s.keepLog(200)
	}
	for rule := range b.findings {
		b.rule = rule
	}
}

func (b *bed) playDay(day string) {
	b.mu.Lock()
	zone := b.set.Zones[b.random.Intn(len(b.set.Zones))]
	all := append([]*host{}, b.order...)
	b.random.Shuffle(len(all), func(i, k int) { all[i], all[k] = all[k], all[i] })
	b.mu.Unlock()
	part := func(share float64) []*host { return all[:int(math.Round(share*float64(len(all))))] }
	switch day {
	case "join":
		for _, h := range part(0.6) {
			go func() {
				time.Sleep(b.draw(0, 7))
				b.replace(h)
			}()
		}
	case "roll":
		for _, h := range part(0.5) {
			b.replace(h)
			time.Sleep(b.draw(0.5, 2))
		}
	case "zone":
		for _, h := range b.zoneHosts(zone) {
			go b.restartHost(h, 5*time.Second)
		}
		time.Sleep(b.draw(1, 9))
		for _, h := range part(0.125) {
			if h.mode == serving {
				h.setMode(hanging)
				go func() {
					time.Sleep(b.draw(6, 18))
					if h.mode == hanging {
						h.setMode(serving)
					}
				}()
			}
		}
	case "split":
		hosts := part(0.2)
		for _, h := range hosts {
			h.setMode(hanging)
		}
		time.Sleep(6 * time.Second)
		for _, h := range hosts {
			if h.mode == hanging {
				h.setMode(serving)
			}
		}
	}
}

// replace drains a host and starts a new one in its place.
func (b *bed) replace(h *host) {
	if h.listed != "Ready" {
		return
	}
	b.list(h, "Terminating")
	b.addHost(h.zone, h.capacity, true)
	go func() {
		time.Sleep(b.draw(1, 4))
		h.setMode(dead)
		b.list(h, "Gone")
	}()
}
