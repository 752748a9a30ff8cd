package main

import "time"

func init() {
	cases["x-flood"] = caseSpec{settings: func() *settings {
		set := signing()
		set.Proxies, set.Sockets, set.MemoryMB = 150, 256, 32
		set.MostWaiting = 12000
		return set
	}, play: playFlood}
}

func playFlood(b *bed) {
	b.rule = "rude"
	b.addHosts(map[string]int{"north": 10, "east": 10, "west": 10}, 10)
	s := b.addSteward("west")
	for _, zone := range b.set.Zones {
		b.addProxies(zone, 50, 0.6)
	}
	s.start()
	b.startProxies()
	b.startCollectors()
	b.sleepUntil(6)
	for i := range 6 {
		b.summary("before")
		go b.rudeClients(s, 500)
		if i%2 == 1 {
			b.mu.Lock()
			for _, p := range b.proxies {
				p.breakStream()
			}
			b.mu.Unlock()
		}
		time.Sleep(7 * time.Second)
	}
	b.summary("end")
	s.keepLog(40)
}
