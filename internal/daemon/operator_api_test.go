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
func TestOperatorAPI(t *testing.T) {
	d := startDaemon(t, "")
	host := "/v1/hosts/" + url.PathEscape("10.0.0.1:80")
	d.request("GET", "/v1/proxies/p/tables?zone=a", "", "Prefer", "wait=0")
	eventually(t, "the first tables", func() bool { return d.request("GET", "/v1/proxies/p/holds", "").status == 200 })
	var out strings.Builder
	d.describe(&out, "no such host", d.request("POST", "/v1/hosts/none/operator", `{"state":"drain"}`, "Content-Type", "application/json"))
	d.describe(&out, "no such state", d.request("POST", host+"/operator", `{"state":"gone"}`, "Content-Type", "application/json"))
	d.describe(&out, "no such field", d.request("POST", host+"/operator", `{"wait":1}`, "Content-Type", "application/json"))
	d.describe(&out, "a drain", d.request("POST", host+"/operator", `{"state":"drain","by":"x"}`, "Content-Type", "application/json"))
	d.describe(&out, "of the last host", d.request("POST", "/v1/hosts/"+url.PathEscape("10.0.0.2:80")+"/operator", `{"state":"maint"}`, "Content-Type", "application/json"))
	d.describe(&out, "of a zone that leaves none", d.request("POST", "/v1/zones/b/operator", `{"state":"drain"}`, "Content-Type", "application/json"))
	d.describe(&out, "of a zone without hosts", d.request("POST", "/v1/zones/c/operator", `{"state":"drain"}`, "Content-Type", "application/json"))
	d.describe(&out, "events after x", d.request("GET", "/v1/events?after=x", ""))
	d.describe(&out, "no such proxy", d.request("GET", "/v1/proxies/none/holds", ""))
	golden.Compare(t, "operators", out.String())
	var h controller.HostInfo
	eventually(t, "the drain to be told", func() bool {
		h = controller.HostInfo{}
		json.Unmarshal([]byte(d.request("GET", host, "").body), &h)
		return h.Weight == 0
	})
	if h.Phase != "draining" || h.Operator == nil || h.Operator.By != "x" {
		t.Errorf("%+v", h)
	}
	events := func(after int64, wait string) []controller.Event {
		var x struct{ Events []controller.Event }
		if err := json.Unmarshal([]byte(d.request("GET", "/v1/events?after="+json.Number(formatInt(after)).String(), "", "Prefer", "wait="+wait).body), &x); err != nil {
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
	eventually(t, "the follower to be held", func() bool { d.loop.mu.Lock(); defer d.loop.mu.Unlock(); return len(d.loop.eventSubscribers) == 1 })
	d.request("POST", host+"/operator", `{"state":"ready"}`, "Content-Type", "application/json")
	select {
	case e := <-got:
		if len(e) == 0 || e[0].Kind != "operator" {
			t.Errorf("%+v", e)
		}
	case <-time.After(20 * time.Second):
		t.Error("a follower was not told")
	}
}

func formatInt(n int64) string { b, _ := json.Marshal(n); return string(b) }
