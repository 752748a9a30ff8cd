package main

import (
	"fmt"
	"time"
)

// played is a case: a site, the rule that it is about, and its disruption.
type played struct {
	site    func() site
	rule    string
	trouble func(*world)
}

// cases are the plays by name. The review's three cases are release, known and cold; its report tells of the others.
var cases = map[string]played{
	"replace": {replaceSite, "drain", replaceHosts},
	"bare":    {bareSite, "lost", loseZone},
	"release": {manySite, "drain", release},
	"known":   {knownSite, "lost", nil},
	"cold":    {coldSite, "failback", loseZone},
}

// results has the figures that the page on the results servers gives.
func results() site {
	return site{
		zones: []string{"addis", "adama"},
		classes: []class{
			{name: "sheet", share: 0.61, workMs: 160, aimMs: 1000, patienceMs: 2500, earning: 3},
			{name: "finish", share: 0.39, workMs: 84, aimMs: 500, patienceMs: 1200, earning: 9},
		},
		hostsPerZone: 5, proxiesByZone: 3, rate: 7100, head: 6, lateMs: 270, mostWaiting: 7100, messagesMost: 20, bareMs: 5300,
		graceMs: 3000, coldFrom: 0.15, coldMs: 18000, fallMultiple: 4, fallMs: 3000, ejects: 3, retryDefault: 1, clientRepeats: 1,
		requestRate: 120, cores: 4, speed: 0.9, holds: 40, reports: []string{"queue", "latency_ms"},
		admission: "none", hears: 200, heardLateMs: 400, logRequests: true,
	}
}

func replaceSite() site {
	s := results()
	s.hostsPerZone, s.proxiesByZone, s.requestRate = 21, 12, 580
	return s
}

// replaceHosts replaces six in ten hosts, one after the other, within 7 s. It begins at a quiet moment, when no table
// has been changed for 7 s.
func replaceHosts(w *world) {
	time.Sleep(15 * time.Second)
	for quiet := false; !quiet && nowMs() < w.startMs+75000; time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		quiet = nowMs() > w.lastMs+7000
		w.mu.Unlock()
	}
	w.record("the replacement begins")
	const within = 6800 * time.Millisecond
	count := len(w.site.zones) * w.site.hostsPerZone * 6 / 10
	for i := range count {
		w.mu.Lock()
		zone := i % len(w.site.zones)
		old := w.hosts[fmt.Sprintf("s-%d%03d", zone, i/len(w.site.zones))]
		fresh := w.addHost(fmt.Sprintf("s-%d%03d", zone, 500+i), old.zone, nowMs())
		drained, ready := w.entryOf(old, "Terminating"), w.entryOf(fresh, "Ready")
		w.mu.Unlock()
		w.agent.set(drained)
		time.AfterFunc(1500*time.Millisecond, func() { w.agent.set(ready) })
		time.AfterFunc(12*time.Second, func() { // it has finished what it had
			w.mu.Lock()
			w.kill(old)
			gone := w.entryOf(old, "Gone")
			w.mu.Unlock()
			w.agent.set(gone)
		})
		time.Sleep(within / time.Duration(count-1))
	}
	time.Sleep(15 * time.Second)
}

// knownSite has the figures that the page on the signing front end gives. With the disruption, the controller starts with
// a known list of hosts that have all been replaced since.
func knownSite() site {
	return site{
		zones: []string{"half-way-tree", "portmore", "spanish-town"},
		classes: []class{
			{name: "status-read", share: 0.54, workMs: 320, aimMs: 1500, patienceMs: 5000, earning: 2, effect: "idempotent"},
			{name: "submit-image", share: 0.25, workMs: 320, aimMs: 1500, patienceMs: 4000, earning: 3,
				effect: "deduplicated", scope: "zone", windowMs: 4000},
			{name: "release-sign", share: 0.21, workMs: 540, aimMs: 3000, patienceMs: 10000, earning: 3, effect: "at_most_once"},
		},
		hostsPerZone: 5, proxiesByZone: 2, rate: 2200, head: 4, lateMs: 425, mostWaiting: 3300, messagesMost: 0, bareMs: 2900,
		graceMs: 2800, coldFrom: 0.18, coldMs: 15000, fallMultiple: 4, fallMs: 1500, ejects: 5, retryDefault: 0, clientRepeats: 3,
		requestRate: 77, cores: 3, speed: 0.97, holds: 30, reports: []string{"util", "qps"}, admission: "share",
		hears: 750, heardLateMs: 400, logRequests: true,
		oldKnown: true,
	}
}

// bareSite has one class that keeps to the proxy's zone, and one that may go anywhere.
func bareSite() site {
	s := results()
	s.classes[1].staysLocal = true
	return s
}

// coldSite has the figures that the page on the order desk gives, and two classes that keep to the proxy's zone.
func coldSite() site {
	return site{
		zones: []string{"san-jose", "liberia", "limon"},
		classes: []class{
			{name: "job-check", share: 0.7, workMs: 305, aimMs: 2000, patienceMs: 5000, earning: 1, staysLocal: true},
			{name: "job-order", share: 0.3, workMs: 200, aimMs: 1000, patienceMs: 3000, earning: 5, staysLocal: true,
				effect: "deduplicated", scope: "cell", windowMs: 2000},
		},
		hostsPerZone: 6, proxiesByZone: 5, rate: 12000, head: 10, lateMs: 240, mostWaiting: 24000, messagesMost: 0, bareMs: 4000,
		graceMs: 2000, coldFrom: 0.23, coldMs: 17000, fallMultiple: 2.5, fallMs: 1500, ejects: 0, retryDefault: 1, clientRepeats: 2,
		requestRate: 110, cores: 3, speed: 0.95, holds: 36, reports: []string{"util", "queue"}, admission: "share",
		hears: 200, heardLateMs: 400, logRequests: true,
	}
}

// loseZone loses all hosts of a zone. They come back cold, and are listed one after the other.
func loseZone(w *world) {
	time.Sleep(20 * time.Second)
	w.mu.Lock()
	var lost []*host
	for i := range w.site.hostsPerZone {
		h := w.hosts[fmt.Sprintf("s-0%03d", i)]
		lost = append(lost, h)
		w.kill(h)
	}
	w.mu.Unlock()
	time.Sleep(2 * time.Second)
	var gone []entry
	for _, h := range lost {
		gone = append(gone, w.entryOf(h, "Gone"))
	}
	w.agent.set(gone...)
	time.Sleep(10 * time.Second)
	w.mu.Lock()
	for _, h := range lost {
		w.restart(h)
	}
	w.mu.Unlock()
	time.Sleep(700 * time.Millisecond)
	for _, h := range lost {
		w.agent.set(w.entryOf(h, "Ready"))
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(10 * time.Second)
}

// manySite has the figures that the bench prints for a day of kochkiste-orders with 240 proxies and 200 hosts. All proxies
// are at one controller.
func manySite() site {
	return site{
		zones: []string{"wien", "graz", "linz"},
		classes: []class{
			{name: "basket-view", share: 0.43, workMs: 210, aimMs: 1200, patienceMs: 4000, earning: 1, effect: "idempotent"},
			{name: "basket-edit", share: 0.4, workMs: 210, aimMs: 1500, patienceMs: 4000, earning: 2,
				effect: "deduplicated", scope: "zone", windowMs: 2500},
			{name: "checkout", share: 0.17, workMs: 320, aimMs: 2000, patienceMs: 5000, earning: 5, effect: "at_most_once"},
		},
		hostsPerZone: 67, proxiesByZone: 80, rate: 1900, head: 6, lateMs: 187, mostWaiting: 6300, messagesMost: 0, bareMs: 5700,
		graceMs: 4000, coldFrom: 0.23, coldMs: 15000, fallMultiple: 3, fallMs: 3000, ejects: 8, retryDefault: 1, clientRepeats: 1,
		requestRate: 1090, cores: 3, speed: 1.2, holds: 40, reports: []string{"inflight"}, admission: "none",
		hears: 150, heardLateMs: 1200, instances: 5, spread: 0.6,
	}
}

// release replaces six in ten hosts in four steps within 7 s.
func release(w *world) {
	time.Sleep(45 * time.Second)
	perZone := w.site.hostsPerZone * 6 / 10
	for step := range 4 {
		var fresh, drained []entry
		w.mu.Lock()
		for zone := range w.site.zones {
			for i := perZone * step / 4; i < perZone*(step+1)/4; i++ {
				old := w.hosts[fmt.Sprintf("s-%d%03d", zone, i)]
				fresh = append(fresh, w.entryOf(w.addHost("s-9"+old.id[2:], old.zone, nowMs()), "Ready"))
				drained = append(drained, w.entryOf(old, "Terminating"))
			}
		}
		w.mu.Unlock()
		time.AfterFunc(1100*time.Millisecond, func() { w.agent.set(fresh...) })
		time.AfterFunc(2300*time.Millisecond, func() {
			w.record("step %d of the release is listed: %d hosts", step+1, len(drained))
			w.agent.set(drained...)
		})
		time.Sleep(2200 * time.Millisecond)
	}
	time.Sleep(15 * time.Second)
}
