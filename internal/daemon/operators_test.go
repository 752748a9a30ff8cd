package daemon

import (
	"encoding/json"
	"net/url"
	"strings"
	"testing"
	"time"

	"barleysail/controller"
	"barleysail/internal/golden"
)

// Operators see and set over HTTP; what would break a rule is refused with the reason, and followers hear of it.
func TestOperators(t *testing.T) {
	d := begin(t, "")
	host := "/v1/hosts/" + url.PathEscape("10.0.0.1:80")
	d.do("GET", "/v1/proxies/p/tables?zone=a", "", "Prefer", "wait=0")
	until(t, "the first tables", func() bool { return d.do("GET", "/v1/proxies/p/holds", "").status == 200 })
	var out strings.Builder
	d.show(&out, "no such host", d.do("POST", "/v1/hosts/none/operator", `{"state":"drain"}`, "Content-Type", "application/json"))
	d.show(&out, "no such state", d.do("POST", host+"/operator", `{"state":"gone"}`, "Content-Type", "application/json"))
	d.show(&out, "no such field", d.do("POST", host+"/operator", `{"wait":1}`, "Content-Type", "application/json"))
	d.show(&out, "a drain", d.do("POST", host+"/operator", `{"state":"drain","by":"x"}`, "Content-Type", "application/json"))
	d.show(&out, "of the last host", d.do("POST", "/v1/hosts/"+url.PathEscape("10.0.0.2:80")+"/operator", `{"state":"maint"}`, "Content-Type", "application/json"))
	d.show(&out, "of a zone that leaves none", d.do("POST", "/v1/zones/b/operator", `{"state":"drain"}`, "Content-Type", "application/json"))
	d.show(&out, "of a zone without hosts", d.do("POST", "/v1/zones/c/operator", `{"state":"drain"}`, "Content-Type", "application/json"))
	d.show(&out, "events after x", d.do("GET", "/v1/events?after=x", ""))
	d.show(&out, "no such proxy", d.do("GET", "/v1/proxies/none/holds", ""))
	golden.Compare(t, "operators", out.String())
	var h controller.HostInfo
	until(t, "the drain to be told", func() bool {
		h = controller.HostInfo{}
		json.Unmarshal([]byte(d.do("GET", host, "").body), &h)
		return h.Weight == 0
	})
	if h.Phase != "draining" || h.Operator == nil || h.Operator.By != "x" {
		t.Errorf("%+v", h)
	}
	events := func(after int64, wait string) []controller.Event {
		var x struct{ Events []controller.Event }
		if err := json.Unmarshal([]byte(d.do("GET", "/v1/events?after="+json.Number(jsonInt(after)).String(), "", "Prefer", "wait="+wait).body), &x); err != nil {
			t.Fatal(err)
		}
		return x.Events
	}
	all := events(0, "0")
	last := all[len(all)-1].Number
	if none := events(last, "0"); len(none) != 0 {
		t.Errorf("after the last: %+v", none)
	}
	got := make(chan []controller.Event)
	go func() { got <- events(last, "30") }()
	until(t, "the follower to be held", func() bool { d.core.mu.Lock(); defer d.core.mu.Unlock(); return len(d.core.followers) == 1 })
	d.do("POST", host+"/operator", `{"state":"ready"}`, "Content-Type", "application/json")
	select {
	case e := <-got:
		if len(e) == 0 || e[0].Kind != "operator" {
			t.Errorf("%+v", e)
		}
	case <-time.After(20 * time.Second):
		t.Error("a follower was not told")
	}
}

func jsonInt(n int64) string { b, _ := json.Marshal(n); return string(b) }
