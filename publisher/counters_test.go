package publisher

import (
	"fmt"
	"math"
	"testing"

	"barleysail/internal/haproxy"
)

// Sums are what counters grew by; after a restart of the proxy they begin anew.
func TestCounters(t *testing.T) {
	c := NewCounters("s")
	known := func(h string) bool { return h == "a:80" }
	rows := func(total, failed int) []haproxy.Row {
		return []haproxy.Row{{"pxname": "sheet", "svname": "a:80", "type": "2", "stot": fmt.Sprint(total), "eresp": fmt.Sprint(failed), "ttime": "50"},
			{"pxname": "finish", "svname": "a:80", "type": "2", "stot": fmt.Sprint(total), "eresp": "0", "ttime": "20"},
			{"pxname": "sheet", "svname": "gone:80", "type": "2", "stot": fmt.Sprint(total)},
			{"pxname": "sheet", "svname": "BACKEND", "type": "1", "stot": fmt.Sprint(2 * total), "eresp": fmt.Sprint(failed)}}
	}
	if _, ok := c.Read(1000, rows(100, 5), known); ok {
		t.Error("sums of a first reading")
	}
	u, ok := c.Read(2000, rows(110, 7), known)
	if v := u.Hosts["a:80"]; !ok || v.Attempts != 20 || v.Failed != 2 || math.Abs(v.MeanLatencyMs-(8*50+10*20)/18.0) > 1e-9 || v.WindowMs != 1000 || len(u.Hosts) != 1 ||
		u.Demand["sheet"].Arrivals != 20 || u.Demand["sheet"].Unanswered != 2 {
		t.Errorf("%v %+v", ok, u)
	}
	if u, _ = c.Read(3000, rows(4, 1), known); u.Hosts["a:80"].Attempts != 8 || u.Demand["sheet"].Arrivals != 8 || u.Sequence != 3 {
		t.Errorf("after a restart: %+v", u)
	}
}
