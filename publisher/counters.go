package publisher

import (
	"math"
	"strconv"

	"barleysail/controller"
	"barleysail/internal/haproxy"
	"barleysail/routing"
)

// Counters makes sums of a proxy's show stat: what its counters grew by since the last reading. A counter that is
// lower than before began anew.
type Counters struct {
	previous    map[string]serverCounters
	readMs      float64
	hasBaseline bool
	sequence    int64
	sender      string
}

// serverCounters of a server or a backend.
type serverCounters struct{ sessions, connectErrors, responseErrors, retries float64 }

// NewCounters makes counters whose sums bear a sender's name.
func NewCounters(sender string) *Counters {
	return &Counters{previous: map[string]serverCounters{}, sender: sender}
}

// Read takes show stat in and gives the sums since the last reading; false at the first. Tries are the sessions and
// the failed connections, failed ones those whose connection or response failed, the mean is the published average of
// the last ones.
func (c *Counters) Read(now float64, rows []haproxy.Row, known func(host string) bool) (u controller.ProxyStats, ok bool) {
	span := math.Max(now-c.readMs, 1)
	u = controller.ProxyStats{Sender: c.sender, Hosts: map[string]controller.HostStats{}, Demand: map[string]controller.ClassDemand{}}
	sums := map[string]float64{}
	for _, r := range rows {
		name := r["pxname"] + "/" + r["svname"]
		x := serverCounters{numericField(r, "stot"), numericField(r, "econ"), numericField(r, "eresp"), numericField(r, "wretr")}
		d := x.increaseSince(c.previous[name])
		c.previous[name] = x
		if !c.hasBaseline {
			continue
		}
		if r["type"] == strconv.Itoa(haproxy.Backend) {
			came := int(d.sessions)
			u.Demand[r["pxname"]] = controller.ClassDemand{Arrivals: came, Unanswered: min(int(d.connectErrors+d.responseErrors), came), WindowMs: span}
			continue
		}
		tries := d.sessions + d.connectErrors
		host := r["svname"]
		if tries == 0 || r["type"] != strconv.Itoa(haproxy.Server) || !known(host) {
			continue
		}
		v := u.Hosts[host]
		failed := math.Min(d.connectErrors+d.responseErrors, tries)
		v.Attempts, v.Failed = v.Attempts+int(tries), v.Failed+int(failed)
		sums[host] += numericField(r, "ttime") * (tries - failed)
		v.WindowMs, v.Load = span, routing.UnknownLoad
		v.MeanLatencyMs = 0
		if good := float64(v.Attempts - v.Failed); good > 0 {
			v.MeanLatencyMs = sums[host] / good
		}
		u.Hosts[host] = v
	}
	ok = c.hasBaseline
	c.readMs, c.hasBaseline = now, true
	c.sequence++
	u.Sequence = c.sequence
	return u, ok
}

// increaseSince gives the growth, from 0 where a counter began anew.
func (x serverCounters) increaseSince(old serverCounters) serverCounters {
	if x.sessions < old.sessions || x.connectErrors < old.connectErrors || x.responseErrors < old.responseErrors {
		old = serverCounters{}
	}
	return serverCounters{x.sessions - old.sessions, x.connectErrors - old.connectErrors, x.responseErrors - old.responseErrors, x.retries - old.retries}
}

func numericField(r haproxy.Row, field string) float64 {
	x, err := strconv.ParseFloat(r[field], 64)
	if err != nil || !(x >= 0) || x > 1e15 {
		return 0
	}
	return x
}
