package daemon

import (
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"barleysail/internal/http1"
	"barleysail/state"
	"barleysail/state/statepb"
)

// A standby follows the first, sends back the proxies that the first has, and once that is killed goes on from what it knew:
// the tag of before gets a delta, and what an operator set at the first stands.
func TestStandby(t *testing.T) {
	first := begin(t, "")
	second := begin(t, fmt.Sprintf("standby { of: %q fresh_ms: 1500 }", first.url))
	table := func(d *started, tag string, header ...string) got {
		return d.do("GET", "/v1/proxies/p/tables?zone=a", "", append([]string{"If-None-Match", tag}, header...)...)
	}
	g := first.do("GET", "/v1/proxies/p/tables?zone=a", "")
	for i := 0; i < 100 && !strings.Contains(g.body, "10.0.0.2:80"); i++ {
		g = table(first, g.header.Get("Etag"), "Prefer", "wait=1")
	}
	tag := g.header.Get("Etag")
	table(first, tag)
	first.do("POST", "/v1/hosts/10.0.0.2:80/operator", `{"weight":3,"by":"ann"}`, "Content-Type", "application/json")
	until(t, "the standby to know it", func() bool {
		r := second.standing.report()
		second.standing.mu.Lock()
		defer second.standing.mu.Unlock()
		s := second.standing.from.state
		return r.Fresh && s != nil && len(s.Settings) == 1 && len(s.Proxies) == 1 && s.Proxies[0].Tag == strings.Trim(tag, `"`)
	})
	if g := table(second, tag); g.status != 503 || g.header.Get("Retry-After") == "" {
		t.Errorf("the standby serves a proxy that the first has: %+v", g)
	}
	if r := second.standing.report(); r.Live || r.Sent != 1 {
		t.Errorf("%+v", r)
	}
	first.Kill()
	until(t, "the standby to serve", func() bool { g = table(second, tag, "Prefer", "wait=5", "A-IM", "merge-patch"); return g.status != 503 })
	if g.status != 226 || g.header.Get("Delta-Base") != tag || !strings.Contains(g.body, `"10.0.0.2:80":3`) || strings.Contains(g.body, "10.0.0.1:80") {
		t.Errorf("%+v", g)
	}
	if g := second.do("GET", "/v1/status", ""); !strings.Contains(g.body, `"standby":{"live":true`) || !strings.Contains(g.body, `"versions":1`) {
		t.Errorf("status %s", g.body)
	}
	second.hosts(`hosts { address: "10.0.0.1:80" zone: "a" phase: DRAINING } hosts { address: "10.0.0.2:80" zone: "b" }`)
	until(t, "a later list to be taken", func() bool {
		g = table(second, g.header.Get("Etag"), "Prefer", "wait=1")
		return strings.Contains(g.body, "10.0.0.2:80") && !strings.Contains(g.body, "10.0.0.1:80")
	})
}

// What a follower holds after changes is what it would get whole.
func TestFollowersChanges(t *testing.T) {
	d := begin(t, "")
	d.do("GET", "/v1/proxies/p/tables?zone=a", "", "Prefer", "wait=1")
	var f followed
	ask := func(header ...string) *http1.Response {
		g := d.do("GET", "/v1/state", "", header...)
		return &http1.Response{Status: g.status, Header: map[string][]string(g.header), Body: []byte(g.body)}
	}
	deltas := 0
	for i := range 6 {
		d.hosts(fmt.Sprintf(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.1.%d:80" zone: "b" }`, i))
		until(t, "the list", func() bool { return strings.Count(d.log.String(), "host list read") == i+2 })
		r := ask("If-None-Match", f.tag, "A-IM", manipulate, "Prefer", "wait=5")
		if r.Status == 226 {
			deltas++
		}
		if _, err := f.take(r); err != nil {
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
	if _, err := f.take(&http1.Response{Status: 226, Header: map[string][]string{"Delta-Base": {`"x"`}}}); err == nil || f.tag != "" {
		t.Errorf("a change onto another base: %v", err)
	}
}
