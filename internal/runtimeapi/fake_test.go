package runtimeapi_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"barleysail/controller"
	"barleysail/internal/config"
	"barleysail/operator"
	"barleysail/routing"
)

// fakeController has six hosts in different states, and records the commands that it receives.
type fakeController struct {
	hosts    []controller.HostInfo
	response controller.Response

	mu        sync.Mutex
	commands  []operator.Command
	outcomes  []commandOutcome // of the next calls of ApplyCommands; later calls succeed
	events    []controller.Event
	followers map[int]func([]controller.Event) // pending calls of Events by id
	lastID    int                              // of followers
}

// commandOutcome is what ApplyCommands returns.
type commandOutcome struct {
	queued bool
	err    error
}

func newFakeController(t *testing.T) *fakeController {
	t.Helper()
	load := routing.HostLoad{QueueLength: 2.6}
	return &fakeController{
		hosts: []controller.HostInfo{
			{Host: "10.0.0.1:80", Zone: "a", State: "ready", BaseWeight: 1, Weight: 0.5, Explanation: routing.Explanation{
				ArrivalRate: 20, MeanLatencyMs: 150, Failures: 1.4, ConsecutiveSuccesses: 3, Load: load,
			}},
			{Host: "10.0.0.2:80", Zone: "b", State: "ready", Ejected: true, BaseWeight: 0.5, Weight: 0.001,
				Explanation: routing.Explanation{ConsecutiveFailures: 2, Failures: 30}},
			{Host: "10.0.0.3:80", Zone: "b", State: "draining", BaseWeight: 1},
			{Host: "10.0.0.4:80", Zone: "a", State: "draining", BaseWeight: 9, Weight: 9,
				Override: &controller.OverrideInfo{State: "drain"}},
			{Host: "10.0.0.5:80", Zone: "a", State: "gone", BaseWeight: 1,
				Override: &controller.OverrideInfo{State: "maint"}},
			{Host: "10.0.0.6:80", Zone: "a", State: "ready", BaseWeight: 1, Weight: 1,
				Override: &controller.OverrideInfo{State: "maint", Queued: true}},
		},
		response: publishedTables(t),
		events: []controller.Event{
			{Number: 1, AtMs: 1000, Kind: "list", Text: "6 hosts"},
			{Number: 2, AtMs: 1500.5, Kind: "joined", Text: "p"},
		},
		followers: map[int]func([]controller.Event){},
	}
}

func (f *fakeController) Hosts() []controller.HostInfo { return f.hosts }

func (f *fakeController) Host(name string) (controller.HostInfo, bool) {
	for _, host := range f.hosts {
		if host.Host == name {
			return host, true
		}
	}
	return controller.HostInfo{}, false
}

func (f *fakeController) Proxies() []controller.ProxyInfo {
	return []controller.ProxyInfo{{Proxy: "p", Zone: "a"}, {Proxy: "without tables", Zone: "b"}}
}

func (f *fakeController) PublishedTables(proxy string) (controller.Response, bool) {
	return f.response, proxy == "p"
}

func (f *fakeController) Status() controller.Status {
	return controller.Status{
		Incarnation: "L", Zones: []string{"a", "b"}, Classes: []string{"sheet", "finish"},
		ConnectedProxies: 2, PendingPolls: 1, QueuedMessages: 3, Mode: "ordinary",
	}
}

func (f *fakeController) ApplyCommands(commands ...operator.Command) (queued bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands = append(f.commands, commands...)
	if len(f.outcomes) == 0 {
		return false, nil
	}
	outcome := f.outcomes[0]
	f.outcomes = f.outcomes[1:]
	return outcome.queued, outcome.err
}

// takeCommands returns the commands since the last call, as text.
func (f *fakeController) takeCommands() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var text strings.Builder
	for _, c := range f.commands {
		fmt.Fprintf(&text, "= %s: state %v, keep %v, weight %g, relative %v, for %g ms, queue %v, by %s", c.Host, c.State,
			c.KeepState, c.Weight, c.Relative, c.DurationMs, c.Queue, c.Operator)
		if c.Add != nil {
			fmt.Fprintf(&text, ", add in %s with %g", c.Add.Zone, c.Add.Weight)
		}
		if c.Remove {
			text.WriteString(", remove")
		}
		text.WriteString("\n")
	}
	f.commands = nil
	return text.String()
}

// Events calls notify at once if there are events or wait is 0, otherwise when the next event is published.
func (f *fakeController) Events(after int64, wait time.Duration, notify func([]controller.Event)) (cancel func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var newer []controller.Event
	for _, event := range f.events {
		if event.Number > after {
			newer = append(newer, event)
		}
	}
	if len(newer) > 0 || wait == 0 {
		notify(newer)
		return func() {}
	}
	f.lastID++
	id := f.lastID
	f.followers[id] = notify
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.followers, id)
	}
}

func (f *fakeController) publish(event controller.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, event)
	for id, notify := range f.followers {
		notify([]controller.Event{event})
		delete(f.followers, id)
	}
}

func (f *fakeController) followerCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.followers)
}

// responseRecorder keeps the last response of a controller.
type responseRecorder struct{ last controller.Response }

func (r *responseRecorder) Respond(_ int64, response controller.Response) { r.last = response }
func (r *responseRecorder) CheckHealth(string)                            {}
func (r *responseRecorder) WatchEndpoints()                               {}
func (r *responseRecorder) Log(string)                                    {}

// publishedTables returns the first response of a controller that has tables with hosts for the polling proxy.
func publishedTables(t *testing.T) controller.Response {
	t.Helper()
	settings, err := config.Parse("test", []byte(`zones: ["a"] list { file: "x" } probes { on: false } seed: 7
		classes { name: "sheet" due_ms: 1000 patience_ms: 2500 earnings: 3 }
		classes { name: "finish" due_ms: 500 patience_ms: 1200 earnings: 9 }`))
	if err != nil {
		t.Fatal(err)
	}
	instance := config.NewController(settings, "L", 7)
	if err := instance.SetEndpoints(0, []controller.Endpoint{
		{Host: "10.0.0.1:80", Zone: "a", State: routing.Ready, Weight: 1},
		{Host: "10.0.0.2:80", Zone: "a", State: routing.Ready, Weight: 0.5},
	}); err != nil {
		t.Fatal(err)
	}
	recorder := &responseRecorder{}
	var tags []string
	for second := range 10 {
		nowMs := float64(1000 * second)
		request := controller.PollRequest{Proxy: "p", Zone: "a", RequestRate: 10, WaitMs: 500, Tags: tags}
		if err := instance.Poll(nowMs, int64(second), request, recorder); err != nil {
			t.Fatal(err)
		}
		instance.Advance(nowMs+500, recorder)
		if recorder.last.Tag != "" && recorder.last.Tables()[0].Assigned {
			return recorder.last
		}
		tags = []string{recorder.last.Tag}
	}
	t.Fatal("got no tables with hosts within 10 polls, want some")
	return controller.Response{}
}
