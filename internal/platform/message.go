package platform

import "barleysail/routing"

// subscribeMessage is the first message of a proxy: it makes the connection the proxy's session.
type subscribeMessage struct {
	proxy  int
	zone   int     // index
	weight float64 // rough requests per second that come to the proxy
}

// collectorMessage is the first message of a zone's collector, which passes on reports and is sent nothing.
type collectorMessage struct {
	zone int // index
}

// sessionMessage is a message that comes after the first one: a hostReport, demandReport or ackMessage.
type sessionMessage interface{ isSessionMessage() }

// attemptCounts is what host reports and demand reports both count.
type attemptCounts struct {
	intervalMs float64 // that the report covers, above 0
	attempts   int     // in a demand report: requests
	failures   int
}

// hostReport is what the proxies of a zone met at a host.
type hostReport struct {
	attemptCounts
	host   string           // by name: only the event loop knows the hosts
	meanMs float64          // mean latency of the attempts that did not fail
	load   routing.HostLoad // last load report of the host; routing.UnknownLoad: none
}

// demandReport is how many requests of a class came to a proxy. More may have failed than came: those that failed may
// have come in the interval before.
type demandReport struct {
	attemptCounts
	proxy int
	class int // index
}

// ackMessage says that a proxy has applied all updates up to a version stamp.
type ackMessage struct {
	proxy int
	stamp int
}

func (hostReport) isSessionMessage()   {}
func (demandReport) isSessionMessage() {}
func (ackMessage) isSessionMessage()   {}
