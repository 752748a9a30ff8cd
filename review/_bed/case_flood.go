package main

import "time"

func init() {
	cases["flood"] = caseSpec{settings: floodSettings, play: playFlood}
}

// floodSettings are those of a deployment like results-addis whose class "finish" stays in the proxy's zone.
func floodSettings() *settings {
	set := results()
	set.Classes[1].StaysLocal = true
	set.Proxies = 12
	return set
}

// playFlood: a zone is lost for 12 s and returns cold, and one of its hosts then takes work and answers nothing. Three
// hosts of the other zone are replaced meanwhile, in steps.
func playFlood(b *bed) {
	b.rule = "drain"
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
	lake := b.zoneHosts("lake")
	if b.trouble {
		b.logf("zone lake is lost for 12 s")
		for _, h := range lake {
			go b.restartHost(h, 12*time.Second)
		}
		b.sleepUntil(29)
		b.summary("the zone is back and cold")
		b.logf("host %s of zone lake takes work and answers nothing", lake[0].id)
		lake[0].setMode(hanging)
		go func() {
			b.sleepUntil(45.5)
			b.logf("host %s of zone lake answers again", lake[0].id)
			lake[0].setMode(serving)
		}()
	}
	for i, drained := range b.zoneHosts("hill")[:3] {
		b.sleepUntil(35 + 1.7*float64(i))
		b.summary("before a drain")
		b.logf("host %s of zone hill is drained, and a new one started in its place", drained.id)
		b.list(drained, "Terminating")
		b.addHost("hill", drained.capacity, true)
	}
	for t := 39.0; t < 52; t++ {
		b.sleepUntil(t)
		b.summary("then")
	}
	s.keepLog(60)
}
