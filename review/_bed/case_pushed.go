package main

func init() {
	cases["pushed"] = caseSpec{settings: pushedSettings, play: playPushed}
}

// pushedSettings are those of a deployment like results-addis with four zones, whose class "finish" stays in the proxy's.
func pushedSettings() *settings {
	set := results()
	set.Zones = []string{"hill", "lake", "north", "south"}
	set.Classes[1].StaysLocal = true
	set.Proxies = 24
	return set
}

// playPushed: a host is replaced, and some seconds later the four other hosts of its zone take work and answer nothing.
func playPushed(b *bed) {
	b.rule = "failback"
	b.addHosts(map[string]int{"hill": 5, "lake": 5, "north": 5, "south": 5}, 12)
	s := b.addSteward("hill")
	for _, zone := range b.set.Zones {
		rate := 5.9 // a second and proxy: 0.59 of what the zone's hosts can do, the most on the site's rough days
		if zone == "lake" {
			rate *= 1.27 // the site's skew between zones, at the most
		}
		b.addProxies(zone, 6, rate)
	}
	s.start()
	b.startProxies()
	b.startCollectors()
	b.sleepUntil(14)
	b.summary("before")
	lake := b.zoneHosts("lake")
	b.logf("host %s of zone lake is replaced", lake[0].id)
	b.replace(lake[0])
	b.sleepUntil(14.7)
	b.summary("after the replacement")
	if b.trouble {
		b.logf("the four old hosts of zone lake take work and answer nothing")
		for _, h := range lake[1:] {
			h.setMode(hanging)
		}
	}
	b.sleepUntil(25)
	for _, h := range lake[1:] {
		h.setMode(serving)
	}
	b.summary("after the disruption")
	b.sleepUntil(30)
	b.mu.Lock()
	for _, h := range b.order {
		if h.hardest > 0 {
			b.logf("cold host %s: %.2f of what pushes it over", h.id, h.hardest)
		}
	}
	b.mu.Unlock()
	s.keepLog(60)
}
