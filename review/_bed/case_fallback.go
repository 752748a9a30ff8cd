package main

import "time"

func init() {
	cases["fallback"] = caseSpec{settings: fallbackSettings, play: playFallback}
}

// fallbackSettings are those of a deployment like results-addis whose class "sheet" stays in the proxy's zone.
func fallbackSettings() *settings {
	set := results()
	set.Classes[0].StaysLocal = true
	set.Proxies = 12
	return set
}

// playFallback: half of the hosts are replaced in steps, and a zone is lost at the end of it.
func playFallback(b *bed) {
	b.rule = "lost"
	b.addHosts(map[string]int{"hill": 5, "lake": 5}, 10)
	s := b.addSteward("hill")
	for _, zone := range b.set.Zones {
		b.addProxies(zone, 6, 4)
	}
	s.start()
	b.startProxies()
	b.startCollectors()
	b.sleepUntil(14)
	b.summary("before")
	hosts := append([]*host{}, b.order...)
	for i, n := range []int{0, 5, 1, 6, 2} {
		b.sleepUntil(14 + 1.2*float64(i))
		b.logf("host %s of zone %s is drained, and a new one started in its place", hosts[n].id, hosts[n].zone)
		b.replace(hosts[n])
	}
	b.sleepUntil(19.5)
	b.summary("before the loss")
	if b.trouble {
		b.logf("zone lake is lost")
		for _, h := range b.zoneHosts("lake") {
			go b.restartHost(h, 11*time.Second)
		}
	}
	for t := 21.0; t < 44; t++ {
		b.sleepUntil(t)
		b.summary("then")
	}
	s.keepLog(60)
}
