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
	last   map[string]counts
	at     float64
	known  bool
	number int64
	sender string
}

// counts of a server or a backend.
type counts struct{ total, connect, response, retries float64 }

// NewCounters makes counters whose sums bear a sender's name.
func NewCounters(sender string) *Counters {
	return &Counters{last: map[string]counts{}, sender: sender}
}

// Read takes show stat in and gives the sums since the last reading; false at the first. Tries are the sessions and
// the failed connections, failed ones those whose connection or response failed, the mean is the published average of
// the last ones.
func (c *Counters) Read(now float64, rows []haproxy.Row, known func(host string) bool) (u controller.ProxyStats, ok bool) {
	span := math.Max(now-c.at, 1)
	u = controller.ProxyStats{Sender: c.sender, Hosts: map[string]controller.HostStats{}, Demand: map[string]controller.ClassDemand{}}
	sums := map[string]float64{}
	for _, r := range rows {
		name := r["pxname"] + "/" + r["svname"]
		x := counts{figure(r, "stot"), figure(r, "econ"), figure(r, "eresp"), figure(r, "wretr")}
		d := x.since(c.last[name])
		c.last[name] = x
		if !c.known {
			continue
		}
		if r["type"] == strconv.Itoa(haproxy.Backend) {
			came := int(d.total)
			u.Demand[r["pxname"]] = controller.ClassDemand{Arrivals: came, Unanswered: min(int(d.connect+d.response), came), WindowMs: span}
			continue
		}
		tries := d.total + d.connect
		host := r["svname"]
		if tries == 0 || r["type"] != strconv.Itoa(haproxy.Server) || !known(host) {
			continue
		}
		v := u.Hosts[host]
		failed := math.Min(d.connect+d.response, tries)
		v.Attempts, v.Failed = v.Attempts+int(tries), v.Failed+int(failed)
		sums[host] += figure(r, "ttime") * (tries - failed)
		v.WindowMs, v.Load = span, routing.UnknownLoad
		v.MeanLatencyMs = 0
		if good := float64(v.Attempts - v.Failed); good > 0 {
			v.MeanLatencyMs = sums[host] / good
		}
		u.Hosts[host] = v
	}
	ok = c.known
	c.at, c.known = now, true
	c.number++
	u.Sequence = c.number
	return u, ok
}

// since gives the growth, from 0 where a counter began anew.
func (x counts) since(old counts) counts {
	if x.total < old.total || x.connect < old.connect || x.response < old.response {
		old = counts{}
	}
	return counts{x.total - old.total, x.connect - old.connect, x.response - old.response, x.retries - old.retries}
}

func figure(r haproxy.Row, field string) float64 {
	x, err := strconv.ParseFloat(r[field], 64)
	if err != nil || !(x >= 0) || x > 1e15 {
		return 0
	}
	return x
}
