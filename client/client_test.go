package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const doc = `{"proxy":"p","tables":{"sheet":{"hosts":{"a:1":1,"b:1":3},"share":1,"tries":1},"finish":{"hosts":{"a:1":1},"share":0.5,"tries":0}}}`

// A delta is taken only onto the document it names: one that arrives after a newer one is left, and so is
// anything malformed; the tables stay.
func TestDeltas(t *testing.T) {
	var h held
	var now strings.Builder
	say := func(what string, err error) {
		fmt.Fprintf(&now, "%s: %v; held %s, sheet %v, finish %v\n", what, err, h.tag, h.tables["sheet"], h.tables["finish"])
	}
	say("a delta first", h.delta("s", `"1"`, `"2"`, []byte(`{"tables":{}}`), unchecked))
	say("the whole", h.whole("s", `"1"`, []byte(doc), unchecked))
	say("a delta", h.delta("s", `"1"`, `"2"`, []byte(`{"tables":{"sheet":{"hosts":{"b:1":null,"c:1":2}},"finish":{"tries":1}}}`), unchecked))
	say("late, onto an older base", h.delta("s", `"1"`, `"3"`, []byte(`{"tables":{"sheet":{"hosts":{"a:1":null}}}}`), unchecked))
	say("of another steward", h.delta("u", `"2"`, `"3"`, []byte(`{"tables":{"sheet":{"hosts":{"a:1":null}}}}`), unchecked))
	say("no JSON", h.delta("s", `"2"`, `"3"`, []byte(`{"tables":`), unchecked))
	say("a weight below 0", h.delta("s", `"2"`, `"3"`, []byte(`{"tables":{"sheet":{"hosts":{"a:1":-1}}}}`), unchecked))
	say("a way of trying that is none", h.whole("s", `"4"`, []byte(`{"tables":{"sheet":{"tries":7}}}`), unchecked))
	say("no tables", h.whole("s", `"4"`, []byte(`{"proxy":"p"}`), unchecked))
	say("a new steward that has ordered nothing yet", h.whole("u", `"9"`, []byte(`{"tables":{"sheet":{"share":1,"tries":1}}}`), unchecked))
	say("a host with no host", h.whole("u", `"10"`, []byte(`{"tables":{"sheet":{"hosts":{}}}}`), unchecked))
	want := `a delta first: a delta onto "1" came, held is ; held , sheet {[] false 0 0}, finish {[] false 0 0}
the whole: <nil>; held "1", sheet {[{a:1 1} {b:1 3}] true 1 1}, finish {[{a:1 1}] true 0.5 0}
a delta: <nil>; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
late, onto an older base: a delta onto "1" came, held is "2"; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
of another steward: a delta onto "2" came, held is "2"; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
no JSON: applying a delta: Invalid JSON Patch; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
a weight below 0: reading tables: a:1 has the weight -1; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
a way of trying that is none: reading tables: sheet has the share 1 and tries 7; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
no tables: reading tables: "tables" is missing; held "2", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
a new steward that has ordered nothing yet: <nil>; held "9", sheet {[{a:1 1} {c:1 2}] true 1 1}, finish {[{a:1 1}] true 0.5 1}
a host with no host: <nil>; held "10", sheet {[] true 1 1}, finish {[{a:1 1}] true 0.5 1}
`
	if diff := cmp.Diff(strings.Split(want, "\n"), strings.Split(now.String(), "\n")); diff != "" {
		t.Errorf("(-want +now):\n%s", diff)
	}
}

func made(t *testing.T, o Options, body string) *Client {
	t.Helper()
	o.Stewards, o.Proxy, o.Zone = []string{"http://127.0.0.1:1"}, "p", "a"
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	c.seed = 5
	if body != "" {
		if err := c.held.whole("s", "1", []byte(body), unchecked); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// Hosts are picked by weight; before the first tables by the standing ones; a host that fails too often in a
// row is shunned while others are left.
func TestPick(t *testing.T) {
	c := made(t, Options{}, doc)
	n := map[string]int{}
	for range 4000 {
		host, _ := c.Pick("sheet")
		n[host]++
	}
	if math.Abs(float64(n["b:1"])-3000) > 120 || len(n) != 2 {
		t.Errorf("picked %v", n)
	}
	if _, ok := c.Pick("finish", "a:1"); ok {
		t.Error("a host that was excluded")
	}
	now := time.Unix(0, 0)
	c = made(t, Options{Standing: []string{"x:1", "y:1"}, Ejects: 2, Shuns: time.Second, Now: func() time.Time { return now }}, "")
	for range 2 {
		c.met("x:1", Try{Result: Failed}, 0)
	}
	for range 50 {
		if host, ok := c.Pick("sheet"); !ok || host != "y:1" {
			t.Fatalf("%q picked while x:1 is shunned", host)
		}
	}
	if host, ok := c.Pick("sheet", "y:1"); !ok || host != "x:1" {
		t.Errorf("%q picked where only a shunned host is left", host)
	}
	now = now.Add(2 * time.Second)
	n = map[string]int{}
	for range 100 {
		host, _ := c.Pick("sheet")
		n[host]++
	}
	if len(n) != 2 {
		t.Errorf("still shunned: %v", n)
	}
}

// Further tries follow the table's way, and for a class that must not run twice only proof that a try never ran.
func TestTries(t *testing.T) {
	table := func(tries int) string {
		return fmt.Sprintf(`{"tables":{"once":{"hosts":{"a:1":1,"b:1":1,"c:1":1,"d:1":1},"tries":%d},"safe":{"hosts":{"a:1":1,"b:1":1,"c:1":1,"d:1":1},"tries":%[1]d}}}`, tries)
	}
	for _, x := range []struct {
		tries int
		class string
		how   Result
		want  int
	}{{0, "safe", NeverRan, 1}, {1, "safe", Failed, 1}, {1, "safe", NeverRan, 2}, {1, "once", NeverRan, 2}, {1, "once", Failed, 1},
		{2, "safe", Failed, 2}, {3, "safe", Failed, 3}, {3, "once", Failed, 1}, {3, "once", NeverRan, 3}, {2, "once", Failed, 1}} {
		c := made(t, Options{Repeats: []string{"safe"}}, table(x.tries))
		seen := map[string]bool{}
		err := c.Do(context.Background(), x.class, func(_ context.Context, host string) Try {
			seen[host] = true
			return Try{Result: x.how}
		})
		if len(seen) != x.want || err == nil {
			t.Errorf("tries %d of %s after %d: %d hosts, %v", x.tries, x.class, x.how, len(seen), err)
		}
	}
}

// Levels keep out what is over the share; sums count all that came and what the hosts answered.
func TestLevelsAndSums(t *testing.T) {
	now := time.Unix(0, 0)
	c := made(t, Options{Now: func() time.Time { return now }}, doc)
	refused := 0
	for i := range 1000 {
		err := c.Do(context.Background(), "finish", func(context.Context, string) Try {
			now = now.Add(time.Millisecond)
			if i%10 == 0 {
				return Try{Result: Failed}
			}
			return Try{Metrics: "TEXT cpu_utilization=0.5, named_metrics.queue=3, odd=x"}
		})
		if errors.Is(err, ErrNotLetIn) {
			refused++
		}
	}
	if refused < 430 || refused > 570 {
		t.Errorf("%d of 1000 were kept out at a share of 0.5", refused)
	}
	hosts, usage := c.sums.take(now, func(string) bool { return true })
	h := hosts["a:1"]
	if h.Tries != 1000-refused || h.Failed != usage["finish"].Unanswered || usage["finish"].Came != 1000 || math.Abs(h.Mean-1) > 0.001 || *h.Load.Queue != 3 || h.Load.Rate != nil {
		text, _ := json.Marshal(hosts)
		t.Errorf("%s, %+v", text, usage["finish"])
	}
	if hosts, usage = c.sums.take(now, func(string) bool { return true }); len(hosts)+len(usage) != 0 {
		t.Errorf("counted again: %v %v", hosts, usage)
	}
}

func unchecked([]byte) error { return nil }
