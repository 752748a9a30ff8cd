package publisher

import (
	"math"
	"strconv"

	"barleysail/controller"
	"barleysail/internal/haproxy"
	"barleysail/routing"
)

// maxCounter is the largest counter value that is accepted; a larger one counts as 0.
const maxCounter = 1e15

// Counters converts the cumulative counters of a proxy's "show stat" into request stats by their increase since the
// last reading. A counter that is lower than before counts as reset. Use [NewCounters] to create one.
type Counters struct {
	previous    map[string]serverCounters // by backend/server
	readMs      float64                   // instant of the last reading
	hasBaseline bool                      // the counters were read at least once
	sequence    int64                     // of the last reading
	sender      string
}

// serverCounters are the counters of a server or of a whole backend.
type serverCounters struct {
	sessions       float64
	connectErrors  float64
	responseErrors float64
}

// NewCounters returns counters whose request stats name the given sender.
func NewCounters(sender string) *Counters {
	return &Counters{previous: map[string]serverCounters{}, sender: sender}
}

// Read records the counters in the rows of "show stat", and returns the request stats since the last reading. ok is
// false at the first reading, which only sets the baseline. Attempts are the sessions and the failed connections of a
// server, failed attempts are those whose connection or response failed, and the mean latency is the average that the
// proxy reports over its latest sessions. Servers for which isKnownHost returns false are omitted.
func (c *Counters) Read(
	nowMs float64, rows []haproxy.Row, isKnownHost func(host string) bool,
) (stats controller.ProxyStats, ok bool) {
	c.sequence++
	interval := newIntervalStats(math.Max(nowMs-c.readMs, 1))
	for _, row := range rows {
		increase := c.advance(row)
		if !c.hasBaseline {
			continue
		}
		switch row["type"] {
		case strconv.Itoa(haproxy.TypeBackend):
			interval.addBackend(row["pxname"], increase)
		case strconv.Itoa(haproxy.TypeServer):
			if increase.attempts() > 0 && isKnownHost(row["svname"]) {
				interval.addServer(row["svname"], increase, numericField(row, "ttime"))
			}
		}
	}
	ok = c.hasBaseline
	c.readMs = nowMs
	c.hasBaseline = true
	stats = controller.ProxyStats{
		Sender:   c.sender,
		Sequence: c.sequence,
		Hosts:    interval.hosts,
		Demand:   interval.demand,
	}
	return stats, ok
}

// advance records the counters of a row and returns their increase since the last reading.
func (c *Counters) advance(row haproxy.Row) serverCounters {
	key := row["pxname"] + "/" + row["svname"]
	counters := serverCounters{
		sessions:       numericField(row, "stot"),
		connectErrors:  numericField(row, "econ"),
		responseErrors: numericField(row, "eresp"),
	}
	increase := counters.increaseSince(c.previous[key])
	c.previous[key] = counters
	return increase
}

// increaseSince returns the increase since an earlier reading, counted from 0 where the counters were reset in
// between.
func (s serverCounters) increaseSince(earlier serverCounters) serverCounters {
	wasReset := s.sessions < earlier.sessions ||
		s.connectErrors < earlier.connectErrors ||
		s.responseErrors < earlier.responseErrors
	if wasReset {
		return s
	}
	return serverCounters{
		sessions:       s.sessions - earlier.sessions,
		connectErrors:  s.connectErrors - earlier.connectErrors,
		responseErrors: s.responseErrors - earlier.responseErrors,
	}
}

// attempts returns the number of attempts at a server. A failed connection does not count as a session.
func (s serverCounters) attempts() float64 { return s.sessions + s.connectErrors }

// intervalStats collects the request stats of one interval between two readings.
type intervalStats struct {
	lengthMs      float64
	hosts         map[string]controller.HostStats
	demand        map[string]controller.ClassDemand
	latencySumsMs map[string]float64 // by host, of the successful attempts
}

func newIntervalStats(lengthMs float64) *intervalStats {
	return &intervalStats{
		lengthMs:      lengthMs,
		hosts:         map[string]controller.HostStats{},
		demand:        map[string]controller.ClassDemand{},
		latencySumsMs: map[string]float64{},
	}
}

// addBackend adds the demand for a request class.
func (i *intervalStats) addBackend(class string, increase serverCounters) {
	arrivals := int(increase.sessions)
	i.demand[class] = controller.ClassDemand{
		Arrivals:   arrivals,
		NoResponse: min(int(increase.connectErrors+increase.responseErrors), arrivals),
		WindowMs:   i.lengthMs,
	}
}

// addServer adds the attempts at a host for one request class; the attempts of several classes are summed.
func (i *intervalStats) addServer(host string, increase serverCounters, meanLatencyMs float64) {
	attempts := increase.attempts()
	failed := math.Min(increase.connectErrors+increase.responseErrors, attempts)
	i.latencySumsMs[host] += meanLatencyMs * (attempts - failed)

	stats := i.hosts[host]
	stats.Attempts += int(attempts)
	stats.Failed += int(failed)
	stats.WindowMs = i.lengthMs
	stats.Load = routing.UnknownLoad
	stats.MeanLatencyMs = 0
	if succeeded := float64(stats.Attempts - stats.Failed); succeeded > 0 {
		stats.MeanLatencyMs = i.latencySumsMs[host] / succeeded
	}
	i.hosts[host] = stats
}

// numericField returns the number in a field, 0 where it is missing, malformed or out of range.
func numericField(row haproxy.Row, field string) float64 {
	value, err := strconv.ParseFloat(row[field], 64)
	isValid := err == nil && value >= 0 && value <= maxCounter
	if !isValid {
		return 0
	}
	return value
}
