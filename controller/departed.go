package controller

import (
	"math"

	"barleysail/intake"
	"barleysail/internal/deadlinequeue"
)

// departedReporters remembers the senders of request stats of proxies that have disconnected, so that a report that was
// counted is not counted again when it is repeated after the proxy has connected again. It remembers maxProxies proxies
// at most.
type departedReporters struct {
	byProxy  map[string]departedProxy
	expiries deadlinequeue.Queue[string] // proxies
}

// departedProxy is what is remembered of a proxy.
type departedProxy struct {
	reporters intake.Reporters
	expiresMs float64
}

func newDepartedReporters() departedReporters {
	return departedReporters{byProxy: map[string]departedProxy{}}
}

// add remembers the reporters of a proxy until the given instant. Reporters without an id are not remembered: a proxy
// that sends none may number its reports from 1 again after its restart.
func (d *departedReporters) add(nowMs float64, proxy string, reporters *intake.Reporters, expiresMs float64) {
	d.expire(nowMs)
	identified := reporters.Identified()
	if identified.Empty() {
		return
	}
	if len(d.byProxy) >= maxProxies {
		d.dropOldest()
	}
	d.byProxy[proxy] = departedProxy{identified, expiresMs}
	d.expiries.Schedule(expiresMs, proxy)
}

// take returns and forgets the reporters of a proxy that connects again.
func (d *departedReporters) take(nowMs float64, proxy string) intake.Reporters {
	d.expire(nowMs)
	reporters := d.byProxy[proxy].reporters
	delete(d.byProxy, proxy)
	return reporters
}

// expire forgets the proxies whose time is over.
func (d *departedReporters) expire(nowMs float64) {
	for {
		proxy, ok := d.expiries.Pop(nowMs)
		if !ok {
			return
		}
		if d.byProxy[proxy].expiresMs <= nowMs { // else the proxy has connected again since
			delete(d.byProxy, proxy)
		}
	}
}

// dropOldest forgets the proxy whose time is over next.
func (d *departedReporters) dropOldest() {
	if proxy, ok := d.expiries.Pop(math.Inf(1)); ok {
		delete(d.byProxy, proxy)
	}
}
