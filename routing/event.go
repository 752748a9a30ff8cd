package routing

import (
	"strconv"
	"strings"
)

// EventKind is the kind of a Balancer's decision that an operator may want to see.
type EventKind int

// The kinds of events.
const (
	// WatchRetryScheduled: the watch of the endpoint list failed and is retried after a backoff.
	WatchRetryScheduled EventKind = iota
	// AdmissionRatioChanged: admission control sheds more or less load than before (adjustAdmission).
	AdmissionRatioChanged
	// RetryStormQuiesced: all proxies are sent to one host, so that the queues of the others drain.
	RetryStormQuiesced
	// HostEjected: a host is an outlier and gets no traffic (detectOutliers has the reasons).
	HostEjected
	// HostRecovering: an ejected host returns on the recovery ramp, or warms up if it was unreachable.
	HostRecovering
	// RestartNotConfirmed: a host that was unreachable counts as warm again, since its table has no warm host and the
	// endpoint list shows no restart (dropAssumedStarts).
	RestartNotConfirmed
	// NoWarmHost: a shared table should hold no host that is warm and not ejected. Proxies may be without a host, or route
	// by another zone's table (assignFallbackTables).
	NoWarmHost
	// WarmHostAgain: such a table should hold one again.
	WarmHostAgain
	// SubsetModeEntered: each proxy gets a subset of the hosts.
	SubsetModeEntered
	// SubsetModeLeft: proxies get the shared table again.
	SubsetModeLeft
	// SlowStartChanged: hosts that are warming up may get traffic, or may not.
	SlowStartChanged
)

// NoHost is the Event.Host of an event that concerns the whole fleet.
const NoHost = -1

// Field is a named figure of an event.
type Field struct {
	Name     string
	Value    float64 // unit by the suffix of the name; a ratio or a count without one
	Decimals int     // digits after the point in a log line
}

// Event is a decision that operators may want to see, with its figures. The caller formats the log line with Text,
// since the balancer knows no host names.
type Event struct {
	Kind   EventKind
	Host   int // host index, or NoHost
	Fields []Field
}

// String returns the name of the kind, with which its log line begins.
func (k EventKind) String() string {
	switch k {
	case WatchRetryScheduled:
		return "watch retry scheduled"
	case AdmissionRatioChanged:
		return "admission ratio changed"
	case RetryStormQuiesced:
		return "retry storm quiesced"
	case HostEjected:
		return "host ejected"
	case HostRecovering:
		return "host recovering"
	case RestartNotConfirmed:
		return "restart not confirmed"
	case NoWarmHost:
		return "no warm host"
	case WarmHostAgain:
		return "warm host again"
	case SubsetModeEntered:
		return "subset mode entered"
	case SubsetModeLeft:
		return "subset mode left"
	case SlowStartChanged:
		return "slow start changed"
	default:
		return "event " + strconv.Itoa(int(k))
	}
}

// Text returns the log line, such as "host ejected: host 10.0.0.3:80, consecutive_failures 3, unreachable 0".
// hostName maps a host index to its name.
func (e Event) Text(hostName func(host int) string) string {
	var figures []string
	if e.Host != NoHost {
		figures = append(figures, "host "+hostName(e.Host))
	}
	for _, field := range e.Fields {
		figures = append(figures, field.Name+" "+strconv.FormatFloat(field.Value, 'f', field.Decimals, 64))
	}
	return e.Kind.String() + ": " + strings.Join(figures, ", ")
}

// FormatHostIndex returns a host index as text, for Event.Text in programs that know no host names.
func FormatHostIndex(host int) string { return strconv.Itoa(host) }

// indicator returns 1 for true and 0 for false, as a figure of an event.
func indicator(yes bool) float64 {
	if yes {
		return 1
	}
	return 0
}
