package routing

import (
	"fmt"
	"strconv"
)

// EventKind names what a Balancer did that an operator may want to see.
type EventKind int

// The kinds of events.
const (
	// WatchRetryScheduled: a call for the endpoint list failed and is repeated after a backoff.
	WatchRetryScheduled EventKind = iota
	// AdmissionRatioChanged: admission control lets in more or less than before.
	AdmissionRatioChanged
	// RetryStormQuiesced: nearly all proxies are kept from sending, so that queues empty.
	RetryStormQuiesced
	// HostEjected: a host was found to be an outlier and gets no traffic.
	HostEjected
	// HostRecovering: an ejected host gets a growing part of its weight again.
	HostRecovering
	// SubsetModeEntered: each proxy gets a subset of the hosts.
	SubsetModeEntered
	// SubsetModeLeft: proxies get the shared table again.
	SubsetModeLeft
	// SlowStartChanged: hosts that are warming up may get traffic, or may not.
	SlowStartChanged
)

// NoHost stands in Event.Host where an event concerns the whole fleet.
const NoHost = -1

// Field is a named figure of an event.
type Field struct {
	Name     string
	Value    float64
	Decimals int // digits after the point in a log line
}

// Event is a change of mode, with its figures. The log line is made of it where it is written.
type Event struct {
	Kind   EventKind
	Host   int // NoHost where none is concerned
	Fields []Field
}

// Text gives the log line; hostName gives the name of a host's index.
func (e Event) Text(hostName func(host int) string) string {
	f := make([]float64, len(e.Fields))
	for i := range e.Fields {
		f[i] = e.Fields[i].Value
	}
	host := ""
	if e.Host != NoHost {
		host = hostName(e.Host)
	}
	switch e.Kind {
	case WatchRetryScheduled:
		return fmt.Sprintf("list call failed, asking again within %.0f ms", f[0])
	case AdmissionRatioChanged:
		return fmt.Sprintf("level %.2f: busy %.2f, fulfilled %.2f, R %.0f of %.0f ms", f[0], f[1], f[2], f[3], f[4])
	case RetryStormQuiesced:
		return fmt.Sprintf("storm: %.0f of %.0f hosts failing, fulfilled %.2f: all but host %s rest %.0f ms",
			f[0], f[1], f[2], host, f[3])
	case HostEjected:
		return fmt.Sprintf("withdraw host %s: %.0f probes failed, absent %v, %.2f of the weight left", host, f[0], f[1] == 1, f[2])
	case HostRecovering:
		return fmt.Sprintf("return host %s on trial", host)
	case SubsetModeEntered:
		return fmt.Sprintf("tables dealt for %.0f s: %.0f of %.0f hosts fail, %.0f though idle, fulfilled %.2f",
			f[0], f[1], f[2], f[3], f[4])
	case SubsetModeLeft:
		return fmt.Sprintf("one table for all again, fulfilled %.2f", f[0])
	default:
		return fmt.Sprintf("cold hosts held back: %v, fulfilled %.2f", f[0] == 0, f[1])
	}
}

// HostIndex spells a host's index, for log lines of programs that know no names.
func HostIndex(host int) string { return strconv.Itoa(host) }

// indicator gives 1 for true, as a figure of an event.
func indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
