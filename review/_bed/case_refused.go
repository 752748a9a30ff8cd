package main

import "time"

func init() {
	cases["refused"] = caseSpec{settings: refusedSettings, play: playRefused}
}

// refusedSettings are those of a deployment like order-desk-cr whose class "order" stays in the proxy's zone.
func refusedSettings() *settings {
	set := desk()
	set.Classes[1].StaysLocal = true
	set.Proxies, set.MostWaiting = 18, 20000
	return set
}

// playRefused: the hosts of one zone cannot be connected to from within the zone, for 15 s, where its steward is. Their
// processes run on, and the list does not change.
func playRefused(b *bed) {
	b.rule = "lost"
	b.addHosts(map[string]int{"north": 4, "east": 5, "west": 6}, 10)
	s := b.addSteward("west")
	for _, zone := range b.set.Zones {
		b.addProxies(zone, 6, 4)
	}
	s.start()
	b.startProxies()
	b.startCollectors()
	b.sleepUntil(14)
	b.summary("before")
	if b.trouble {
		b.logf("the hosts of zone west refuse connections from within the zone")
		for _, h := range b.order {
			if h.zone == "west" {
				go h.refuse("west", 15*time.Second)
			}
		}
	}
	b.sleepUntil(29)
	b.summary("while they refuse")
	b.sleepUntil(31)
	if b.trouble {
		b.logf("the hosts of zone west take connections again")
	}
	for range 10 {
		time.Sleep(2 * time.Second)
		b.summary("after it")
	}
	s.keepLog(60)
}
