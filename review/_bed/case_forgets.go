package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() {
	cases["zonedrain"] = caseSpec{settings: signing, play: playZoneDrain}
	cases["killed"] = caseSpec{settings: signing, play: playKilled}
}

// playZoneDrain: an operator drains a zone, which the steward does host by host, and the steward is restarted in between
// as planned, with its state folder.
func playZoneDrain(b *bed) {
	b.rule = "drain"
	d := newDaemonBed(b, 4)
	d.launch()
	for i := range 4 {
		d.proxy(fmt.Sprintf("p%d", i), []string{"hill", "lake"}[i%2])
	}
	b.sleepUntil(5)
	d.order("/v1/zones/lake/operator", `{"state":"drain","by":"review"}`)
	told := time.Now()
	b.sleepUntil(9)
	if b.trouble {
		b.logf("the steward is restarted: SIGTERM")
		d.end(syscall.SIGTERM)
		time.Sleep(time.Second)
		d.launch()
	}
	// Each host waits for the grace of the one before, and one second more; the restart may cost 4 s.
	limit := told.Add(4*(graceMs*time.Millisecond+time.Second) + 4*time.Second + graceMs*time.Millisecond + slack)
	time.Sleep(time.Until(limit))
	time.Sleep(8 * time.Second)
	d.judge(d.servers[4:], limit, "whose drain was accepted "+fmt.Sprintf("%.0f s ago", time.Since(told).Seconds()))
}

// playKilled: an operator drains a host, and the steward is killed as soon as it has answered, and started again with
// its state folder.
func playKilled(b *bed) {
	b.rule = "drain"
	d := newDaemonBed(b, 2)
	d.launch()
	for i := range 4 {
		d.proxy(fmt.Sprintf("p%d", i), []string{"hill", "lake"}[i%2])
	}
	b.sleepUntil(5)
	d.order("/v1/hosts/"+d.servers[0].address+"/operator", `{"state":"drain","by":"review"}`)
	told := time.Now()
	if b.trouble {
		b.logf("the steward is killed")
		d.end(syscall.SIGKILL)
		time.Sleep(time.Second)
		d.launch()
	}
	time.Sleep(4 * time.Second)
	limit := d.lastJoin()
	if told.After(limit) {
		limit = told
	}
	limit = limit.Add(graceMs*time.Millisecond + slack)
	time.Sleep(time.Until(limit))
	time.Sleep(8 * time.Second)
	d.judge(d.servers[:1], limit, "whose drain was accepted "+fmt.Sprintf("%.0f s ago", time.Since(told).Seconds()))
}
