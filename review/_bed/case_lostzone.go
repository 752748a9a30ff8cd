package main

import "time"

func init() {
	cases["lostzone"] = caseSpec{settings: lostZoneSettings, play: playLostZone}
}

// lostZoneSettings are those of a deployment whose class "status" stays in the proxy's zone.
func lostZoneSettings() *settings {
	set := signing()
	set.Classes[0].StaysLocal = true
	return set
}

// playLostZone: all hosts of a zone are lost, with the zone's proxies and the steward, as the briefs name it. The proxies
// come back first, the steward after them, the hosts not within the case.
func playLostZone(b *bed) {
	b.rule = "drain"
	b.addHosts(map[string]int{"north": 10, "east": 10, "west": 10}, 10)
	s := b.addSteward("west")
	for _, zone := range b.set.Zones {
		b.addProxies(zone, 80, 0.6)
	}
	s.start()
	b.startProxies()
	b.startCollectors()
	b.sleepUntil(14)
	b.summary("before")
	if b.trouble {
		b.loseZone("west", s)
	}
	b.sleepUntil(24)
	b.summary("after ten seconds")
	b.sleepUntil(38)
	b.summary("at the end")
	s.keepLog(60)
}

// loseZone has a zone's hosts, proxies and steward die, and the proxies and the steward come back.
func (b *bed) loseZone(zone string, s *steward) {
	b.logf("zone %s is lost with its hosts, its proxies and its steward", zone)
	var hosts []*host
	b.mu.Lock()
	for _, h := range b.order {
		if h.zone == zone {
			hosts = append(hosts, h)
		}
	}
	for _, p := range b.proxies {
		if p.zone == zone {
			p.alive = false
			p.breakStream()
		}
	}
	b.mu.Unlock()
	s.kill()
	for _, h := range hosts {
		h.setMode(dead)
	}
	time.Sleep(1500 * time.Millisecond)
	b.logf("the proxies of zone %s are back, with tables drawn from the list", zone)
	b.mu.Lock()
	for _, p := range b.proxies {
		if p.zone == zone {
			p.boot()
		}
	}
	b.mu.Unlock()
	time.Sleep(1500 * time.Millisecond)
	b.logf("discovery has noticed that the hosts of zone %s are gone", zone)
	for _, h := range hosts {
		b.list(h, "Gone")
	}
	time.Sleep(2 * time.Second)
	b.logf("the steward is started again, with the list as it last had it")
	s.start()
}
