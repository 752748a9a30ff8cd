package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"barleysail/client"
	"barleysail/controller"
	"barleysail/internal/golden"
	"barleysail/solver"
)

// transcript collects responses for comparison with a golden file.
type transcript struct{ text strings.Builder }

// add appends a response under a label, with the incarnation's name replaced, and returns it.
func (tr *transcript) add(label string, result httpResult) httpResult {
	fmt.Fprintf(&tr.text, "%s\n  %d", label, result.status)
	fields := []string{"Etag", "Im", "Delta-Base", "Preference-Applied", "Content-Type", "Allow", "Vary"}
	for _, name := range fields {
		if value := result.header.Get(name); value != "" {
			fmt.Fprintf(&tr.text, " | %s: %s", name, value)
		}
	}
	fmt.Fprintf(&tr.text, "\n  %s\n", strings.TrimSpace(result.body))
	incarnation, _, _ := strings.Cut(strings.Trim(result.tag(), `"`), "-")
	if incarnation != "" {
		replaced := strings.ReplaceAll(tr.text.String(), incarnation, "LIFE")
		tr.text.Reset()
		tr.text.WriteString(replaced)
	}
	return result
}

const proxyStatsJSON = `{"sender":"s","number":1,` +
	`"hosts":{"10.0.0.1:80":{"tries":5,"failed":1,"mean":20.5,"span":1000,"load":{"util":0.4,"queue":2}}},` +
	`"usage":{"sheet":{"came":5,"unanswered":1,"span":1000}}}`

// The golden file shows the API's responses as any HTTP client gets them.
func TestAPI(t *testing.T) {
	d := startDaemon(t, "")
	var tr transcript
	addPolls(&tr, d)
	addReports(&tr, d)
	addRejections(&tr, d)
	var status controller.Status
	result := d.get("/v1/status")
	if json.Unmarshal([]byte(result.body), &status) != nil || status.Hosts != 2 || status.ConnectedProxies != 1 {
		t.Errorf("GET /v1/status = %s, want 2 hosts and 1 connected proxy", result.body)
	}
	golden.CompareForTest(t, tr.text.String())
}

// addPolls adds a proxy's polls, one of them pending until the endpoint list changes.
func addPolls(tr *transcript, d *testDaemon) {
	tag := tr.add("a proxy joins", d.get(tablesPath+"&rate=10")).tag()
	tr.add("the same tag", d.get(tablesPath, "If-None-Match", tag))
	tr.add("HEAD", d.request(http.MethodHead, tablesPath, ""))
	tr.add("held, and over", d.get(tablesPath, "If-None-Match", "W/"+tag, "Prefer", "respond-async, wait=0"))
	pending := inBackground(func() httpResult {
		return d.get(tablesPath,
			"If-None-Match", `"x", `+tag, "Prefer", "wait=20", "A-IM", "gzip, merge-patch;q=0.5")
	})
	d.waitForPolls(1)
	d.writeHosts(secondHostDraining)
	delta := tr.add("held until a host drains: a delta", await(d.t, "the delta", requestTimeout, pending))
	if delta.status != http.StatusIMUsed {
		d.t.Errorf("pending poll returned %+v, want a delta with status %d", delta, http.StatusIMUsed)
	}
	tr.add("the old tag without A-IM", d.get(tablesPath, "If-None-Match", tag))
	tr.add("with A-IM of weight 0", d.get(tablesPath, "If-None-Match", tag, "A-IM", "merge-patch;q=0"))
	tr.add("a tag of another life", d.get(tablesPath, "If-None-Match", `"other-1"`, "A-IM", "merge-patch"))
	tr.add("whatever there is", d.get(tablesPath, "If-None-Match", "*"))
}

// addReports adds reports of request stats, before and after the end of the proxy's session.
func addReports(tr *transcript, d *testDaemon) {
	const sumsPath = "/v1/proxies/p/sums"
	tr.add("sums", d.post(sumsPath, proxyStatsJSON))
	tr.add("the same sums again", d.post(sumsPath, proxyStatsJSON))
	tr.add("leaves", d.request(http.MethodDelete, "/v1/proxies/p", ""))
	tr.add("leaves again", d.request(http.MethodDelete, "/v1/proxies/p", ""))
	tr.add("sums after that", d.post(sumsPath, proxyStatsJSON))
}

// addRejections adds malformed requests: each is rejected with the field's name, and nothing of it is applied.
func addRejections(tr *transcript, d *testDaemon) {
	tr.add("no zone", d.get("/v1/proxies/p/tables"))
	tr.add("a rate that is none", d.get(tablesPath+"&rate=x"))
	tr.add("a name with a slash", d.get("/v1/proxies/a%2Fb/tables?zone=a"))
	d.get(tablesPath)
	for _, body := range []string{
		"",
		"{",
		"[]",
		`{"number":1}x`,
		`{"number":"1"}`,
		`{"number":2,"odd":1}`,
		`{"number":-1}`,
		`{"number":1e99}`,
		`{"number":2,"hosts":{"10.0.0.1:80":{"tries":1.5}}}`,
		`{"number":2,"hosts":{"10.0.0.1:80":{"tries":2,"failed":3,"span":1}}}`,
		`{"number":2,"hosts":{"1.1.1.1:1":{"tries":2,"span":1}}}`,
		`{"number":2,"hosts":{"10.0.0.1:80":{"tries":2,"span":1,"load":{"util":-3}}}}`,
		`{"number":2,"hosts":{"10.0.0.1:80":{"tries":2,"span":1,"mean":NaN}}}`,
		`{"number":2,"usage":{"nothing":{"came":1,"span":1}}}`,
	} {
		tr.add("sums "+body, d.post("/v1/proxies/p/sums", body))
	}
	tr.add("another media type",
		d.request(http.MethodPost, "/v1/proxies/p/sums", "a", "Content-Type", "text/plain"))
	tr.add("another method", d.request(http.MethodPut, "/v1/proxies/p/tables", ""))
}

// Controllers share nothing: each serves a proxy that polls both, and neither accepts the other's entity tag.
func TestTwoControllersOneProxy(t *testing.T) {
	first, second := startDaemon(t, ""), startDaemon(t, "")
	fromFirst, fromSecond := first.get(tablesPath), second.get(tablesPath)
	if fromFirst.status != 200 || fromSecond.status != 200 || fromFirst.tag() == fromSecond.tag() {
		t.Fatalf("got %+v and %+v, want status 200 and different entity tags", fromFirst, fromSecond)
	}
	cross := second.get(tablesPath, "If-None-Match", fromFirst.tag(), "A-IM", "merge-patch", "Prefer", "wait=20")
	if cross.status != 200 || cross.body != fromSecond.body {
		t.Errorf("poll with the other controller's entity tag returned %+v, want the snapshot %+v", cross, fromSecond)
	}
}

// A proxy that reports but does not poll cannot be notified of draining hosts: its session ends, and its reports are
// rejected.
func TestStatsDoNotKeepProxyConnected(t *testing.T) {
	d := startDaemon(t, "polls { leave_after_ms: 60 }")
	d.get(tablesPath)
	sequence := 0
	eventually(t, "a report to be rejected", func() bool {
		sequence++
		result := d.post("/v1/proxies/p/sums", fmt.Sprintf(`{"number":%d}`, sequence))
		return result.status == http.StatusConflict
	})
	if status := d.loop.status(); status.ConnectedProxies != 0 {
		t.Errorf("got %d connected proxies, want 0: %+v", status.ConnectedProxies, status)
	}
}

// If hosts state their cores and proxies their demand, the API returns the solver's problem for the fleet, and the gap
// between the published tables and the optimal ones.
func TestFleetProblem(t *testing.T) {
	d := startDaemon(t, "")
	if result := d.get("/v1/fleet"); result.status != http.StatusNotFound {
		t.Errorf("GET /v1/fleet without cores = %+v, want status %d", result, http.StatusNotFound)
	}
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" cores: 8 }
hosts { address: "10.0.0.2:80" zone: "b" cores: 2 speed: 0.5 }`)
	d.waitForReads(2)
	d.get(tablesPath)
	d.post("/v1/proxies/p/sums", `{"number":1,"usage":{"sheet":{"came":100,"span":1000}}}`)
	eventually(t, "the report to be processed", func() bool { return d.loop.status().Ingest.Processed > 0 })
	var problem solver.Problem
	result := d.get("/v1/fleet")
	if result.status != 200 || json.Unmarshal([]byte(result.body), &problem) != nil {
		t.Fatalf("GET /v1/fleet = %+v, want a problem with status 200", result)
	}
	solution, err := problem.Solve()
	if err != nil || len(problem.Hosts) != 2 || solution.DemandEarningsPerS <= 0 || problem.Verify(solution) != nil {
		t.Errorf("Solve() of %d hosts = %+v, %v, want a valid solution with demand for 2 hosts",
			len(problem.Hosts), solution, err)
	}
	if result := d.get("/v1/status"); !strings.Contains(result.body, `"gap":{"result":`) {
		t.Errorf("GET /v1/status = %s, want it to include the gap", result.body)
	}
}

// startOfferPair starts two controllers whose lists differ in the second host's weight, and returns the tables of the
// first.
func startOfferPair(t *testing.T) (first, second *testDaemon, fromFirst httpResult) {
	t.Helper()
	first, second = startDaemon(t, ""), startDaemon(t, "")
	fromFirst = first.pollUntilBothHosts()
	second.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" }
hosts { address: "10.0.0.2:80" zone: "b" weight: 0.7 }`)
	second.waitForReads(2)
	return first, second, fromFirst
}

// A proxy that loses its controller offers its cached tables to the next one, and gets a delta onto them. A malformed
// offer is rejected with the name of the invalid field.
func TestCachedTablesOffer(t *testing.T) {
	first, second, fromFirst := startOfferPair(t)
	offer := func(body string) httpResult {
		return second.post(tablesPath, body, "A-IM", "merge-patch", "Prefer", "wait=5")
	}
	for body, field := range map[string]string{
		`{"tag":"x","tables":{"nothing":{}}}`: "nothing",
		`{"tables":{}}`:                       "tag",
		`{"tag":"x","tables":{"sheet":{"hosts":{"10.0.0.1:80":-1}}}}`: "hosts",
		`{"tag":"x","tables":{"sheet":{"tries":9}}}`:                  "sheet",
	} {
		t.Run("rejected for "+field, func(t *testing.T) {
			if result := offer(body); result.status != 422 || !strings.Contains(result.body, field) {
				t.Errorf("offer %s returned %+v, want status 422 that names %s", body, result, field)
			}
		})
	}
	tag := strings.Trim(fromFirst.tag(), `"`)
	delta := offer(strings.Replace(fromFirst.body, "{", `{"tag":"`+tag+`",`, 1))
	if delta.status != http.StatusIMUsed || delta.header.Get("Delta-Base") != `"`+tag+`"` ||
		!strings.Contains(delta.body, `"10.0.0.2:80":0.7`) || strings.Contains(delta.body, "10.0.0.1:80") {
		t.Errorf("offer returned %+v, want a delta onto %s that changes only the second host, to 0.7", delta, tag)
	}

	// The client library does the same: it uses the first controller's tables, then the second's.
	proxy, _ := runClient(t, client.Options{
		Controllers: []string{first.url, second.url},
		Proxy:       "q",
		Zone:        "a",
		OfferTables: true,
		PollTimeout: time.Second,
		MinBackoff:  5 * time.Millisecond,
	})
	eventually(t, "the tables of the first controller", func() bool { return hostWeight(proxy, "10.0.0.2:80") == 0.5 })
	first.Kill()
	eventually(t, "the tables of the second controller", func() bool { return hostWeight(proxy, "10.0.0.2:80") == 0.7 })
	sessions := second.Operators().Proxies()
	if len(sessions) == 0 || sessions[len(sessions)-1].Proxy != "q" {
		t.Errorf("sessions of the second controller = %+v, want q to be the last", sessions)
	}
}
