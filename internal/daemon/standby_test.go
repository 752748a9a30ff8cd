package daemon

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"barleysail/client"
	"barleysail/controller"
	"barleysail/internal/http1"
	"barleysail/state"
	"barleysail/state/statepb"
)

// A standby follows the first, sends back the proxies that the first has, and once that is killed goes on from what it knew:
// the tag of before gets a delta, and what an operator set at the first stands.
func TestStandbyTakeover(t *testing.T) {
	t.Parallel()
	first := startDaemon(t, "")
	second := startDaemon(t, fmt.Sprintf("standby { of: %q fresh_ms: 1500 }", first.url))
	table := func(d *testDaemon, tag string, header ...string) httpResult {
		return d.request("GET", "/v1/proxies/p/tables?zone=a", "", append([]string{"If-None-Match", tag}, header...)...)
	}
	g := first.request("GET", "/v1/proxies/p/tables?zone=a", "")
	for i := 0; i < 100 && !strings.Contains(g.body, "10.0.0.2:80"); i++ {
		g = table(first, g.header.Get("Etag"), "Prefer", "wait=1")
	}
	tag := g.header.Get("Etag")
	table(first, tag)
	first.request("POST", "/v1/hosts/10.0.0.2:80/operator", `{"weight":3,"by":"ann"}`, "Content-Type", "application/json")
	eventually(t, "the standby to know it", func() bool {
		r := second.standby.report()
		second.standby.mu.Lock()
		defer second.standby.mu.Unlock()
		s := second.standby.replica.state
		return r.Fresh && s != nil && len(s.Settings) == 1 && len(s.Proxies) == 1 && s.Proxies[0].Tag == strings.Trim(tag, `"`)
	})
	if g := table(second, tag); g.status != 503 || g.header.Get("Retry-After") == "" {
		t.Errorf("the standby serves a proxy that the first has: %+v", g)
	}
	if r := second.standby.report(); r.Live || r.Sent != 1 {
		t.Errorf("%+v", r)
	}
	first.Kill()
	eventually(t, "the standby to serve", func() bool { g = table(second, tag, "Prefer", "wait=5", "A-IM", "merge-patch"); return g.status != 503 })
	if g.status != 226 || g.header.Get("Delta-Base") != tag || !strings.Contains(g.body, `"10.0.0.2:80":3`) || strings.Contains(g.body, "10.0.0.1:80") {
		t.Errorf("%+v", g)
	}
	if g := second.request("GET", "/v1/status", ""); !strings.Contains(g.body, `"standby":{"live":true`) || !strings.Contains(g.body, `"versions":1`) {
		t.Errorf("status %s", g.body)
	}
	second.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" phase: DRAINING } hosts { address: "10.0.0.2:80" zone: "b" }`)
	eventually(t, "a later list to be taken", func() bool {
		g = table(second, g.header.Get("Etag"), "Prefer", "wait=1")
		return strings.Contains(g.body, "10.0.0.2:80") && !strings.Contains(g.body, "10.0.0.1:80")
	})
}

// What a follower holds after changes is what it would get whole.
func TestStateChangesMatchSnapshot(t *testing.T) {
	t.Parallel()
	d := startDaemon(t, "")
	d.request("GET", "/v1/proxies/p/tables?zone=a", "", "Prefer", "wait=1")
	var f stateReplica
	ask := func(header ...string) *http1.Response {
		g := d.request("GET", "/v1/state", "", header...)
		return &http1.Response{Status: g.status, Header: map[string][]string(g.header), Body: []byte(g.body)}
	}
	deltas := 0
	for i := range 6 {
		d.writeHosts(fmt.Sprintf(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.1.%d:80" zone: "b" }`, i))
		eventually(t, "the list", func() bool { return strings.Count(d.log.String(), "host list read") == i+2 })
		r := ask("If-None-Match", f.tag, "A-IM", stateChangeManipulation, "Prefer", "wait=5")
		if r.Status == 226 {
			deltas++
		}
		if _, err := f.apply(r); err != nil {
			t.Fatal(err)
		}
		whole := &statepb.State{}
		if err := proto.Unmarshal(ask().Body, whole); err != nil {
			t.Fatal(err)
		}
		if c := state.Diff(f.state, whole); c != nil || len(f.state.Hosts) != len(whole.Hosts) {
			t.Fatalf("it holds %v, whole is %v", f.state, whole)
		}
	}
	if deltas < 3 {
		t.Errorf("%d changes", deltas)
	}
	if _, err := f.apply(&http1.Response{Status: 226, Header: map[string][]string{"Delta-Base": {`"x"`}}}); err == nil || f.tag != "" {
		t.Errorf("a change onto another base: %v", err)
	}
}

// A proxy that loses its steward offers the next one what it holds, and gets a delta onto it; an offer that cannot be is
// refused with its field.
func TestCachedTablesOffer(t *testing.T) {
	first, second := startDaemon(t, ""), startDaemon(t, "")
	g := first.request("GET", "/v1/proxies/p/tables?zone=a", "")
	for i := 0; i < 100 && !strings.Contains(g.body, "10.0.0.2:80"); i++ {
		g = first.request("GET", "/v1/proxies/p/tables?zone=a", "", "If-None-Match", g.header.Get("Etag"), "Prefer", "wait=1")
	}
	second.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.2:80" zone: "b" weight: 0.7 }`)
	eventually(t, "the list", func() bool { return strings.Count(second.log.String(), "host list read") == 2 })
	tag := strings.Trim(g.header.Get("Etag"), `"`)
	offer := strings.Replace(g.body, "{", `{"tag":"`+tag+`",`, 1)
	post := func(body string) httpResult {
		return second.request("POST", "/v1/proxies/p/tables?zone=a", body, "Content-Type", "application/json", "A-IM", "merge-patch", "Prefer", "wait=5")
	}
	for body, field := range map[string]string{`{"tag":"x","tables":{"nothing":{}}}`: "nothing", `{"tables":{}}`: "tag",
		`{"tag":"x","tables":{"sheet":{"hosts":{"10.0.0.1:80":-1}}}}`: "hosts", `{"tag":"x","tables":{"sheet":{"tries":9}}}`: "sheet"} {
		if g := post(body); g.status != 422 || !strings.Contains(g.body, field) {
			t.Errorf("%s: %+v", body, g)
		}
	}
	if g := post(offer); g.status != 226 || g.header.Get("Delta-Base") != `"`+tag+`"` || !strings.Contains(g.body, `"10.0.0.2:80":0.7`) || strings.Contains(g.body, "10.0.0.1:80") {
		t.Errorf("%+v", g)
	}

	// The same by the client: it goes by the first's tables, then by the second's.
	c, err := client.New(client.Options{Stewards: []string{first.url, second.url}, Proxy: "q", Zone: "a", Offer: true, Wait: time.Second, Least: 5 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { c.Run(ctx); close(ended) }()
	weight := func() float64 {
		for _, h := range c.Tables()["sheet"].Hosts {
			if h.Address == "10.0.0.2:80" {
				return h.Weight
			}
		}
		return 0
	}
	eventually(t, "the first's tables", func() bool { return weight() == 0.5 })
	first.Kill()
	eventually(t, "the second's", func() bool { return weight() == 0.7 })
	if infos := query(second.loop, (*controller.Controller).ProxyInfos); len(infos) == 0 || infos[len(infos)-1].Proxy != "q" {
		t.Errorf("joined the second: %+v", infos)
	}
	cancel()
	<-ended
}
