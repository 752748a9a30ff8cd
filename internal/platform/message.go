package platform

import "barleysail/routing"

// subscribeMessage is the first message of a proxy, which makes the connection the session of the proxy.
type subscribeMessage struct {
	proxy  int
	zone   int     // index
	weight float64 // approximate request rate of the proxy, in requests per second
}

// collectorMessage is the first message of a zone's collector, which forwards reports and receives no updates.
type collectorMessage struct {
	zone int // index
}

// sessionMessage is a message on an identified connection: a hostReport, demandReport or ackMessage.
type sessionMessage interface{ isSessionMessage() }

// attemptCounts holds the counters that host reports and demand reports have in common.
type attemptCounts struct {
	intervalMs float64 // length of the interval that the report covers, above 0
	attempts   int     // in a demand report: requests that arrived
	failures   int
}

// hostReport holds the request stats that the proxies of a zone measured at a host.
type hostReport struct {
	attemptCounts
	host   string           // the name, since only the event loop may look up host indices
	meanMs float64          // mean latency of the attempts that did not fail, in ms
	load   routing.HostLoad // last load report of the host; routing.UnknownLoad: none
}

// demandReport counts the requests of a class that arrived at a proxy. The failures may exceed the arrivals, since a
// request may have arrived in the interval before the one in which it failed.
type demandReport struct {
	attemptCounts
	proxy int
	class int // index
}

// ackMessage acknowledges that a proxy has applied all updates up to a version stamp.
type ackMessage struct {
	proxy int
	stamp int
}

func (hostReport) isSessionMessage()   {}
func (demandReport) isSessionMessage() {}
func (ackMessage) isSessionMessage()   {}
