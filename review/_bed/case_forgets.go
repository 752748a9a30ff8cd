package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

func init() {
	cases["zonedrain"] = caseSpec{settings: signing, play: playZoneDrain}
	cases["standby"] = caseSpec{settings: signing, play: playStandby}
	cases["killed"] = caseSpec{settings: signing, play: playKilled}
}

// playZoneDrain: an operator drains a zone, which the steward does host by host, and the steward is restarted in between
// as planned, with its state folder.
func playZoneDrain(b *bed) {
	b.rule = "drain"
	d := newDaemonBed(b, 4)
	d.stewards[0].launch()
	for i := range 4 {
		d.proxy(fmt.Sprintf("p%d", i), []string{"hill", "lake"}[i%2])
	}
	b.sleepUntil(5)
	d.order("/v1/zones/lake/operator", `{"state":"drain","by":"review"}`)
	told := time.Now()
	b.sleepUntil(9)
	if b.trouble {
		b.logf("the steward is restarted: SIGTERM")
		d.stewards[0].end(syscall.SIGTERM)
		time.Sleep(time.Second)
		d.stewards[0].launch()
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
	d.stewards[0].launch()
	for i := range 4 {
		d.proxy(fmt.Sprintf("p%d", i), []string{"hill", "lake"}[i%2])
	}
	b.sleepUntil(5)
	d.order("/v1/hosts/"+d.servers[0].address+"/operator", `{"state":"drain","by":"review"}`)
	told := time.Now()
	if b.trouble {
		b.logf("the steward is killed")
		d.stewards[0].end(syscall.SIGKILL)
		time.Sleep(time.Second)
		d.stewards[0].launch()
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

// playStandby: a standby has served a proxy for a moment, an operator drains a host at the leader, and the leader is lost.
func playStandby(b *bed) {
	b.rule = "drain"
	d := newDaemonBed(b, 2)
	leader := d.stewards[0]
	standby := d.addDaemon(fmt.Sprintf("standby { of: %q }", "http://"+leader.address))
	leader.launch()
	standby.launch()
	for i := range 4 {
		d.proxy(fmt.Sprintf("p%d", i), []string{"hill", "lake"}[i%2])
	}
	b.sleepUntil(4)
	b.logf("a proxy that could not reach the leader polls the standby once, and leaves it")
	if _, _, err := d.poll(standby.address, "p9", "hill", ""); err != nil {
		fail("the standby served nothing: %v", err)
	}
	request, err := http.NewRequest(http.MethodDelete, "http://"+standby.address+"/v1/proxies/p9", nil)
	if err != nil {
		fail("%v", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fail("%v", err)
	}
	_ = response.Body.Close()
	b.sleepUntil(6)
	d.order("/v1/hosts/"+d.servers[0].address+"/operator", `{"state":"drain","by":"review"}`)
	told := time.Now()
	b.sleepUntil(12)
	if b.trouble {
		b.logf("the leader is killed")
		leader.end(syscall.SIGKILL)
	}
	time.Sleep(8 * time.Second)
	limit := d.lastJoin()
	if told.After(limit) {
		limit = told
	}
	limit = limit.Add(graceMs*time.Millisecond + slack)
	time.Sleep(time.Until(limit))
	time.Sleep(8 * time.Second)
	d.judge(d.servers[:1], limit, "whose drain was accepted "+fmt.Sprintf("%.0f s ago", time.Since(told).Seconds()))
}
