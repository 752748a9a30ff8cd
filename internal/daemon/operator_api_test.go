package daemon

import (
	"encoding/json"
	"fmt"
	"net/url"
	"testing"

	"barleysail/controller"
	"barleysail/internal/golden"
)

// waitForTables waits until the proxy p has been sent its first tables.
func (d *testDaemon) waitForTables() {
	d.t.Helper()
	eventually(d.t, "the first tables", func() bool { return d.get("/v1/proxies/p/holds").status == 200 })
}

func (d *testDaemon) hostInfo(path string) (info controller.HostInfo) {
	d.t.Helper()
	if err := json.Unmarshal([]byte(d.get(path).body), &info); err != nil {
		d.t.Fatal(err)
	}
	return info
}

// eventsAfter polls for the events with a number greater than after, and waits for one for up to waitSeconds. It may be
// called from any goroutine.
func (d *testDaemon) eventsAfter(after int64, waitSeconds int) []controller.Event {
	d.t.Helper()
	var body eventsBody
	result := d.get(fmt.Sprintf("/v1/events?after=%d", after), "Prefer", fmt.Sprintf("wait=%d", waitSeconds))
	if err := json.Unmarshal([]byte(result.body), &body); err != nil {
		d.t.Errorf("decoding the events in %+v: %v", result, err)
	}
	return body.Events
}

// Operators read the state and override hosts by the HTTP API. A command that would break a rule is rejected with the
// reason.
func TestOperatorAPI(t *testing.T) {
	d := startDaemon(t, "")
	firstHost := "/v1/hosts/" + url.PathEscape("10.0.0.1:80")
	secondHost := "/v1/hosts/" + url.PathEscape("10.0.0.2:80")
	d.get(tablesPath, "Prefer", "wait=0")
	d.waitForTables()
	var tr transcript
	tr.add("no such host", d.post("/v1/hosts/none/operator", `{"state":"drain"}`))
	tr.add("no such state", d.post(firstHost+"/operator", `{"state":"gone"}`))
	tr.add("no such field", d.post(firstHost+"/operator", `{"wait":1}`))
	tr.add("a drain", d.post(firstHost+"/operator", `{"state":"drain","by":"x"}`))
	tr.add("of the last host", d.post(secondHost+"/operator", `{"state":"maint"}`))
	tr.add("of a zone that leaves none", d.post("/v1/zones/b/operator", `{"state":"drain"}`))
	tr.add("of a zone without hosts", d.post("/v1/zones/c/operator", `{"state":"drain"}`))
	tr.add("events after x", d.get("/v1/events?after=x"))
	tr.add("no such proxy", d.get("/v1/proxies/none/holds"))
	golden.Compare(t, "operators", tr.text.String())

	eventually(t, "the drain to be published", func() bool { return d.hostInfo(firstHost).Weight == 0 })
	info := d.hostInfo(firstHost)
	if info.State != "draining" || info.Override == nil || info.Override.Operator != "x" {
		t.Errorf("got host %+v, want it draining by an override of operator x", info)
	}
	t.Run("event subscriber", func(t *testing.T) { checkEventSubscriber(t, d, firstHost) })
}

// checkEventSubscriber checks that a pending poll for events is notified of an operator's command.
func checkEventSubscriber(t *testing.T, d *testDaemon, host string) {
	all := d.eventsAfter(0, 0)
	if len(all) == 0 {
		t.Fatal("got no events, want at least one")
	}
	last := all[len(all)-1].Number
	if none := d.eventsAfter(last, 0); len(none) != 0 {
		t.Errorf("events after the last one: got %+v, want none", none)
	}
	pending := inBackground(func() []controller.Event { return d.eventsAfter(last, 30) })
	eventually(t, "the subscription", func() bool {
		d.loop.mu.Lock()
		defer d.loop.mu.Unlock()
		return len(d.loop.eventSubscribers) == 1
	})
	d.post(host+"/operator", `{"state":"ready"}`)
	events := await(t, "the event", waitLimit, pending)
	if len(events) == 0 || events[0].Kind != "operator" {
		t.Errorf("got events %+v, want one of kind operator first", events)
	}
}
