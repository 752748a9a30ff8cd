package publisher

import (
	"math"
	"strconv"

	"barleysail/decide"
	"barleysail/internal/haproxy"
	"barleysail/steward"
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
func (c *Counters) Read(now float64, rows []haproxy.Row, known func(host string) bool) (u steward.Sums, ok bool) {
	span := math.Max(now-c.at, 1)
	u = steward.Sums{Sender: c.sender, Hosts: map[string]steward.HostSums{}, Usage: map[string]steward.ClassUsage{}}
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
			u.Usage[r["pxname"]] = steward.ClassUsage{Came: came, Unanswered: min(int(d.connect+d.response), came), Span: span}
			continue
		}
		tries := d.total + d.connect
		host := r["svname"]
		if tries == 0 || r["type"] != strconv.Itoa(haproxy.Server) || !known(host) {
			continue
		}
		v := u.Hosts[host]
		failed := math.Min(d.connect+d.response, tries)
		v.Tries, v.Failed = v.Tries+int(tries), v.Failed+int(failed)
		sums[host] += figure(r, "ttime") * (tries - failed)
		v.Span, v.Load = span, decide.NoLoad
		v.Mean = 0
		if good := float64(v.Tries - v.Failed); good > 0 {
			v.Mean = sums[host] / good
		}
		u.Hosts[host] = v
	}
	ok = c.known
	c.at, c.known = now, true
	c.number++
	u.Number = c.number
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
