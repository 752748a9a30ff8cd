package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	"barleysail/internal/http1"
	"barleysail/state"
	"barleysail/state/statepb"
)

// A standby replicates the leader's state and rejects the proxies that the leader serves. After the leader is killed it
// continues from the replicated state: an entity tag of the leader gets a delta, and an operator's override stays.
func TestStandbyTakeover(t *testing.T) {
	t.Parallel()
	leader := startDaemon(t, "")
	replica := startDaemon(t, fmt.Sprintf("standby { of: %q fresh_ms: 1500 }", leader.url))
	tag := leader.pollUntilBothHosts().tag()
	leader.get(tablesPath, "If-None-Match", tag)
	leader.post("/v1/hosts/10.0.0.2:80/operator", `{"weight":3,"by":"ann"}`)
	eventually(t, "the standby to have the state", func() bool { return replica.hasReplicated(tag) })
	rejected := replica.get(tablesPath, "If-None-Match", tag)
	if rejected.status != http.StatusServiceUnavailable || rejected.header.Get("Retry-After") == "" {
		t.Errorf("poll of a proxy that the leader serves returned %+v, want status 503 with Retry-After", rejected)
	}
	if report := replica.standby.report(); report.Active || report.RejectedPolls != 1 {
		t.Errorf("got report %+v, want an inactive standby with 1 rejected poll", report)
	}

	leader.Kill()
	var delta httpResult
	eventually(t, "the standby to serve", func() bool {
		delta = replica.get(tablesPath, "If-None-Match", tag, "Prefer", "wait=5", "A-IM", "merge-patch")
		return delta.status != http.StatusServiceUnavailable
	})
	if delta.status != 226 || delta.header.Get("Delta-Base") != tag ||
		!strings.Contains(delta.body, `"10.0.0.2:80":3`) || strings.Contains(delta.body, "10.0.0.1:80") {
		t.Errorf("poll returned %+v, want a delta onto %s with weight 3 of the second host only", delta, tag)
	}
	status := replica.get("/v1/status").body
	if !strings.Contains(status, `"standby":{"live":true`) || !strings.Contains(status, `"versions":1`) {
		t.Errorf("GET /v1/status = %s, want an active standby and 1 version", status)
	}

	replica.writeHosts(`hosts { address: "10.0.0.1:80" zone: "a" phase: DRAINING }
hosts { address: "10.0.0.2:80" zone: "b" }`)
	tag = delta.tag()
	eventually(t, "a later list to be applied", func() bool {
		result := replica.get(tablesPath, "If-None-Match", tag, "Prefer", "wait=1")
		tag = result.tag()
		return strings.Contains(result.body, "10.0.0.2:80") && !strings.Contains(result.body, "10.0.0.1:80")
	})
}

// Guards against a standby that forgets commands: it has served a proxy for a moment, operators change hosts at the
// leader after that, and the leader is lost.
func TestActiveStandbyFollowsCommands(t *testing.T) {
	t.Parallel()
	leader := startDaemon(t, "")
	replica := startDaemon(t, fmt.Sprintf("standby { of: %q fresh_ms: 1500 }", leader.url))
	leader.pollUntilBothHosts()
	eventually(t, "the standby to have a state", func() bool { return replica.standby.report().Proxies == 1 })
	if got := replica.get("/v1/proxies/other/tables?zone=a"); got.status != http.StatusOK {
		t.Fatalf("poll of a proxy that the leader does not serve: %+v, want status 200", got)
	}
	host := func() string { return replica.get("/v1/hosts/10.0.0.2:80").body }
	for _, step := range []struct{ command, want string }{
		{`{"state":"drain","by":"ann","for_ms":600000}`, `"operator":{"state":"drain","by":"ann"`},
		{`{"state":"ready","weight":3,"by":"bob"}`, `"listed_weight":3`},
		{`{"state":"ready","clear":true,"by":"bob"}`, `"listed_weight":0.5`},
		{`{"state":"drain","by":"eve"}`, `"operator":{"state":"drain","by":"eve"`},
	} {
		if got := leader.post("/v1/hosts/10.0.0.2:80/operator", step.command); got.status != http.StatusOK {
			t.Fatalf("command %s: %+v, want status 200", step.command, got)
		}
		eventually(t, step.want, func() bool { return strings.Contains(host(), step.want) })
	}
	leader.Kill()
	if body := host(); !strings.Contains(body, `"phase":"draining"`) {
		t.Errorf("after the loss of the leader: %s, want the host draining", body)
	}
}

// Guards against a standby that ends because a newer leader has a state of hosts that the standby does not know.
func TestUnknownStateIsNotFollowed(t *testing.T) {
	const unknownState = 3
	next := newReplicatedCommands(&statepb.State{
		Settings: []*statepb.Setting{{Host: "a", State: unknownState}, {Host: "b", State: 1}},
		Queue:    []*statepb.QueuedCommand{{Host: "c", State: unknownState}, {Host: "d", State: 1}},
	})
	var hosts []string
	for _, command := range new(replicatedCommands).commandsUntil(next, 0) {
		hosts = append(hosts, command.Host)
	}
	if got, want := strings.Join(hosts, " "), "b d"; got != want {
		t.Errorf("commands for the hosts %q, want %q", got, want)
	}
}

// hasReplicated reports whether the standby's lease is valid and its state has one override, and one proxy session with
// this entity tag.
func (d *testDaemon) hasReplicated(tag string) bool {
	report := d.standby.report()
	d.standby.mu.Lock()
	defer d.standby.mu.Unlock()
	replicated := d.standby.replica.state
	return report.LeaseValid && replicated != nil && len(replicated.Settings) == 1 && len(replicated.Proxies) == 1 &&
		replicated.Proxies[0].Tag == strings.Trim(tag, `"`)
}

// pollState polls for the state as a standby does.
func (d *testDaemon) pollState(header ...string) *http1.Response {
	d.t.Helper()
	result := d.get(statePath, header...)
	return &http1.Response{
		Status: result.status,
		Header: map[string][]string(result.header),
		Body:   []byte(result.body),
	}
}

// After deltas a standby has the same state as after a snapshot.
func TestStateChangesMatchSnapshot(t *testing.T) {
	t.Parallel()
	const changes, minDeltas = 6, 3
	d := startDaemon(t, "")
	d.get(tablesPath, "Prefer", "wait=1")
	var replica stateReplica
	deltas := 0
	for i := range changes {
		d.writeHosts(fmt.Sprintf(`hosts { address: "10.0.0.1:80" zone: "a" }
hosts { address: "10.0.1.%d:80" zone: "b" }`, i))
		d.waitForReads(i + 2)
		response := d.pollState("If-None-Match", replica.tag, "A-IM", stateChangeManipulation, "Prefer", "wait=5")
		if response.Status == http.StatusIMUsed {
			deltas++
		}
		if _, err := replica.apply(response); err != nil {
			t.Fatal(err)
		}
		snapshot := &statepb.State{}
		if err := proto.Unmarshal(d.pollState().Body, snapshot); err != nil {
			t.Fatal(err)
		}
		if change := state.Diff(replica.state, snapshot); change != nil || len(replica.state.Hosts) != len(snapshot.Hosts) {
			t.Fatalf("the replica has %v, want the snapshot %v", replica.state, snapshot)
		}
	}
	if deltas < minDeltas {
		t.Errorf("got %d deltas, want at least %d", deltas, minDeltas)
	}
	ontoAnotherBase := &http1.Response{
		Status: http.StatusIMUsed,
		Header: map[string][]string{"Delta-Base": {`"x"`}},
	}
	if _, err := replica.apply(ontoAnotherBase); err == nil || replica.tag != "" {
		t.Errorf("apply() of a delta onto another base = %v with tag %q after it, want an error and no tag", err, replica.tag)
	}
}
