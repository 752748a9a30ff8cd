package controller

import (
	"testing"

	"barleysail/operator"
	"barleysail/routing"
)

// Overrides take precedence over the endpoint list, stay when the list changes, are published like entries of the list,
// and expire. Queued drains are applied one after the other.
func TestOverrides(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.applyOverrides(operator.Command{Host: hostName(0), State: operator.Draining, Weight: -1})
	h.mustSetEndpoints(h.readyEndpoints(4))
	request := PollRequest{Proxy: "p", WaitMs: 60000, AcceptDelta: true}
	h.poll(request)
	h.advance(3000)
	h.pollAgain(request)
	h.applyOverrides(operator.Command{
		Host: hostName(0), State: operator.Draining, Weight: -1, DurationMs: 20000, Operator: "x",
	})
	h.advance(3000)
	h.printf("the list changes: the drain stays")
	list := h.readyEndpoints(4)
	list[1].Weight = 2
	h.pollAgain(request)
	h.mustSetEndpoints(list)
	h.advance(3000)
	h.printf("a host in maintenance is removed, an added host is published")
	h.pollAgain(request)
	h.applyOverrides(operator.Command{Host: hostName(2), State: operator.Maintenance, Weight: -1})
	added := &operator.AddedHost{Zone: "a", Weight: 1, StartedMs: 1}
	h.applyOverrides(operator.Command{Host: hostName(9), Weight: -1, Add: added})
	invalid := &operator.AddedHost{Zone: "c", Weight: 1}
	h.applyOverrides(operator.Command{Host: "10.0.0.9:81", Weight: -1, Add: invalid})
	h.advance(6000)
	h.pollAgain(request)
	h.advance(12000)
	h.pollAgain(request)
	h.printf("hosts")
	h.printHosts()
	h.printf("the hosts of a zone drain")
	h.applyOverrides(
		operator.Command{Host: hostName(1), State: operator.Draining, Weight: -1, Queue: true},
		operator.Command{Host: hostName(3), State: operator.Draining, Weight: -1, Queue: true},
	)
	for range 5 {
		h.pollAgain(request)
		h.advance(2000)
	}
	for _, event := range h.Events(2) {
		h.printf("event %d %s: %s", event.Number, event.Kind, event.Text)
	}
	h.checkTrace()
}

// printHosts prints the state of all hosts.
func (h *harness) printHosts() {
	for _, info := range h.HostInfos() {
		override := ""
		if info.Override != nil {
			override = info.Override.State
		}
		h.printf("%s %s base weight %g, published weight %g, override %q",
			info.Host, info.State, info.BaseWeight, info.Weight, override)
	}
}

// A host is ejected although an operator sets its weight in the same round: the weight is an input of the balancer,
// not a way around it.
func TestWeightOverrideOfEjectedHost(t *testing.T) {
	config := defaultTestConfig()
	config.deployment.HealthChecks = true
	h := newHarness(t, config)
	h.hideNotModified = true
	h.mustSetEndpoints(h.readyEndpoints(4))
	request := PollRequest{Proxy: "p", WaitMs: 60000, AcceptDelta: true}
	h.poll(request)
	h.advance(3000)
	failing := hostName(0)
	for range 6 {
		h.pollAgain(request)
		for _, host := range h.healthChecks {
			result := routing.Healthy
			if host == failing {
				result = routing.Unreachable
			}
			h.ObserveHealthCheck(h.nowMs, host, result, routing.UnknownLoad)
		}
		h.healthChecks = nil
		command := operator.Command{Host: failing, Weight: 1.5, KeepState: true}
		if _, err := h.ApplyOverrides(h.nowMs, []operator.Command{command}, h); err != nil {
			t.Fatal(err)
		}
		h.advance(1500)
	}
	info := h.mustHostInfo(failing)
	if !info.Ejected || info.Weight != 0 || info.BaseWeight != 1.5 {
		t.Errorf("the host is %+v, want it ejected with the weight 0 and the base weight 1.5", info)
	}
	infos := h.HostInfos()
	if len(infos[1].WeightChanges) == 0 || infos[0].Explanation.ConsecutiveFailures == 0 {
		t.Errorf("the hosts are %+v, want failed health checks of the first and weight changes of the second", infos[:2])
	}
}

// NextMs includes the time at which an override expires, so that it ends in time even if nothing else happens.
func TestOverrideExpiresInTime(t *testing.T) {
	h := newHarness(t, defaultTestConfig())
	h.hideNotModified = true
	h.mustSetEndpoints(h.readyEndpoints(4))
	h.advance(3000)
	host := hostName(0)
	h.applyOverrides(operator.Command{Host: host, State: operator.Draining, Weight: -1, DurationMs: 7500})
	if h.NextMs() > h.nowMs+7500 {
		t.Errorf("Advance is due at %.0f ms, want at most %.0f ms", h.NextMs(), h.nowMs+7500)
	}
	h.advance(7400)
	if info := h.mustHostInfo(host); info.State != "draining" {
		t.Errorf("before the override expires the host is %+v, want it draining", info)
	}
	h.advance(101)
	if info := h.mustHostInfo(host); info.State != "ready" {
		t.Errorf("after the override has expired the host is %+v, want it ready", info)
	}
}

// An override sets the state and the weight of an entry. A weight ratio refers to the weight on the list, or to 1 if
// the list has none.
func TestOverridden(t *testing.T) {
	endpoint := Endpoint{Host: "h:1", State: routing.Ready, Weight: 2}
	unweighted := Endpoint{Host: "h:1", State: routing.Ready}
	for _, test := range []struct {
		name     string
		endpoint Endpoint
		override operator.Override
		want     Endpoint
	}{
		{"nothing", endpoint, operator.Override{}, endpoint},
		{"draining", endpoint, operator.Override{State: operator.Draining},
			Endpoint{Host: "h:1", State: routing.Draining, Weight: 2}},
		{"weight", endpoint, operator.Override{Weight: 5}, Endpoint{Host: "h:1", State: routing.Ready, Weight: 5}},
		{"ratio", endpoint, operator.Override{WeightRatio: 0.5},
			Endpoint{Host: "h:1", State: routing.Ready, Weight: 1}},
		{"ratio without a weight", unweighted, operator.Override{WeightRatio: 0.5},
			Endpoint{Host: "h:1", State: routing.Ready, Weight: 0.5}},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := overridden(test.endpoint, test.override); got != test.want {
				t.Errorf("the entry is %+v, want %+v", got, test.want)
			}
		})
	}
}

// The text of a command in events names what it sets, for how long, and the operator.
func TestDescribeCommand(t *testing.T) {
	for _, test := range []struct {
		command operator.Command
		want    string
	}{
		{operator.Command{Host: "h:1", Weight: -1, Add: &operator.AddedHost{}}, "h:1 add"},
		{operator.Command{Host: "h:1", Weight: -1, Remove: true}, "h:1 remove"},
		{operator.Command{Host: "h:1", ClearWeight: true}, "h:1 listed, the list's weight"},
		{operator.Command{Host: "h:1", Weight: 0.5, Relative: true}, "h:1 listed, weight 0.5 of the list's"},
		{operator.Command{Host: "h:1", Weight: 2}, "h:1 listed, weight 2"},
		{operator.Command{Host: "h:1", State: operator.Draining, Weight: -1, DurationMs: 1500, Operator: "ann"},
			"h:1 drain for 1.5 s by ann"},
	} {
		if got := describeCommand(test.command); got != test.want {
			t.Errorf("the text is %q, want %q", got, test.want)
		}
	}
}
