package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"barleysail/client"
)

// The controller restarts while a poll is pending: the client uses its last tables until it has reconnected, and its
// old entity tag gets a snapshot.
func TestRestartWithPendingPoll(t *testing.T) {
	d := startDaemon(t, "")
	proxy, stop := runClient(t, client.Options{
		Controllers: []string{d.url},
		Proxy:       "p",
		Zone:        "a",
		MinBackoff:  time.Millisecond,
		MaxBackoff:  10 * time.Millisecond,
	})
	eventually(t, "tables", func() bool { return len(proxy.Tables()["sheet"].Hosts) == 2 })
	d.waitForPolls(1)
	incarnation := d.loop.status().Incarnation
	d.Kill()
	eventually(t, "the client to lose its controller", func() bool { return proxy.Controller() == "" })
	if host, ok := proxy.Pick("finish"); !ok {
		t.Errorf("Pick() without a controller = %q, %t, want a host of the last tables", host, ok)
	}
	d.writeHosts(`hosts { address: "10.0.0.3:80" zone: "a" }`)
	d.start()
	eventually(t, "the new tables", func() bool {
		hosts := proxy.Tables()["finish"].Hosts
		return len(hosts) == 1 && hosts[0].Address == "10.0.0.3:80"
	})
	if now := d.loop.status().Incarnation; now == incarnation {
		t.Errorf("both incarnations have the name %s, want two names", now)
	}
	stop()
	eventually(t, "the end of the proxy's session", func() bool { return d.loop.status().ConnectedProxies == 0 })
}

// A thousand proxies connect at once, are all served, and are all notified of a draining host.
func TestThousandProxiesConnect(t *testing.T) {
	const proxies = 1000
	d := startDaemon(t, "fleet { proxies: 1000 }")
	transport := &http.Transport{MaxIdleConnsPerHost: proxies}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: requestTimeout}
	var polling sync.WaitGroup
	for i := range proxies {
		polling.Go(func() {
			path := fmt.Sprintf("/v1/proxies/p%d/tables?zone=a", i)
			if err := pollUntilDrained(t, client, d.url+path); err != nil {
				t.Error(err)
			}
		})
	}
	d.waitForPolls(proxies)
	d.writeHosts(secondHostDraining)
	awaitGroup(t, "the notification of all proxies", requestTimeout, &polling)
}

// pollUntilDrained polls until the tables have the first host and not the second.
func pollUntilDrained(t *testing.T, client *http.Client, url string) error {
	tag := ""
	for {
		result := sendRequest(t, client, http.MethodGet, url, "", "Prefer", "wait=30", "If-None-Match", tag)
		if result.status != 200 || !json.Valid([]byte(result.body)) {
			return fmt.Errorf("poll returned status %d and %s, want 200 and valid JSON", result.status, result.body)
		}
		tag = result.tag()
		if strings.Contains(result.body, "10.0.0.1:80") && !strings.Contains(result.body, "10.0.0.2:80") {
			return nil
		}
	}
}

// If the daemon is killed while it sends responses, each response is received completely or not at all.
func TestKillLeavesNoTornResponse(t *testing.T) {
	const rounds = 5
	for round := range int64(rounds) {
		responses := round * 20
		t.Run(fmt.Sprint("after ", responses, " responses"), func(t *testing.T) { killDuringResponses(t, responses) })
	}
}

// killDuringResponses kills a daemon after more than this number of its responses were received.
func killDuringResponses(t *testing.T, responses int64) {
	const proxies, pollsOfEach, pendingPolls = 200, 3, 150
	d := startDaemon(t, "fleet { proxies: 200 }")
	var complete atomic.Int64
	poll := func(path string) {
		tag := ""
		for range pollsOfEach {
			result := d.get(path, "Prefer", "wait=20", "If-None-Match", tag)
			if result.status == 0 {
				return
			}
			tag = result.tag()
			if result.status == 200 && !strings.HasSuffix(result.body, "}}}\n") {
				t.Errorf("got a truncated document: %s", result.body)
			}
			complete.Add(1)
		}
	}
	var polling sync.WaitGroup
	for i := range proxies {
		polling.Go(func() { poll(fmt.Sprintf("/v1/proxies/p%d/tables?zone=a", i)) })
	}
	eventually(t, "pending polls", func() bool { return d.loop.status().PendingPolls > pendingPolls })
	d.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" } hosts { address: "10.0.0.9:80" zone: "b" }`)
	before := complete.Load()
	eventually(t, "the responses", func() bool { return complete.Load() > before+responses })
	d.Kill()
	awaitGroup(t, "the end of all polls", requestTimeout, &polling)
}

// A graceful shutdown responds to pending polls with the current tables and accepts no more connections. The recording
// replays to its end.
func TestStopAnswersPendingPolls(t *testing.T) {
	file := filepath.Join(t.TempDir(), "day.rec")
	d := startDaemon(t, fmt.Sprintf("record: %q", file))
	tag := d.get(tablesPath).tag()
	pending := inBackground(func() httpResult {
		return d.get(tablesPath, "If-None-Match", tag, "Prefer", "wait=30")
	})
	d.waitForPolls(1)
	d.stop()
	if result := await(t, "the response", waitLimit, pending); result.status != 304 || result.tag() != tag {
		t.Errorf("pending poll returned %+v, want status 304 with the tag %s", result, tag)
	}
	if result := d.get("/v1/status"); result.status != 0 {
		t.Errorf("request after the shutdown returned %+v, want the connection to be rejected", result)
	}
	recorded, replayed, err := replayRecording(t, readFile(t, file))
	if diff := cmp.Diff(recorded, replayed); diff != "" || !errors.Is(err, io.EOF) || len(recorded) != 2 {
		t.Errorf("got %d responses, then %v, want 2 equal ones, then %v (-recorded +replayed):\n%s",
			len(recorded), err, io.EOF, diff)
	}
}

// A start that fails at its last steps releases all resources: the port, the state folder and the recording can be used
// again.
func TestFailedStart(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeOrFail(t, occupied) })
	folder := t.TempDir()
	d := newTestDaemon(t, folder)
	settings := fmt.Sprintf("%s list { file: %q } state { folder: %q } record: %q listen: %q",
		strings.Replace(baseConfig, `listen: "127.0.0.1:0"`, "", 1), d.hostsFile,
		filepath.Join(folder, "state"), filepath.Join(folder, "day.rec"), unusedAddress(t))
	d.configure(settings + fmt.Sprintf(" runtime { address: %q level: \"user\" }", occupied.Addr().String()))
	failed, err := Start(d.config, "test", zerolog.New(d.log))
	if err == nil {
		failed.Kill()
		t.Fatal("Start() with a runtime socket at a port in use succeeded, want an error")
	}
	if !strings.Contains(err.Error(), "opening the runtime socket") {
		t.Errorf("Start() = %v, want the error of the runtime socket", err)
	}
	d.configure(settings)
	d.start()
	if result := d.get(tablesPath); result.status != 200 {
		t.Errorf("poll after the second start returned %+v, want status 200", result)
	}
}
