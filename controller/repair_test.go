package controller

import (
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"barleysail/guard"
	"barleysail/operator"
	"barleysail/routing"
)

// Hosts over their capacity get lower weights than the balancer decided, with the smallest change that achieves this. A
// draining host is removed from the repaired table too.
func TestRepairOverCapacity(t *testing.T) {
	h, list := newRepairHarness(t, guard.Limits{CapacityMultiple: 0.85})
	h.reportDemand(30, 22)
	h.printf("decided %.3g, published %s", h.tables.table(0).decided, h.describeTable("p"))
	if gap := h.solverGap(); gap == nil || gap.ObjectiveValue < 0.85 { // 0.71 without repair
		t.Errorf("the gap is %+v, want a result of at least 0.85", gap)
	}
	h.printf("a large host drains")
	list[1].State = routing.Draining
	h.mustSetEndpoints(list)
	h.reportDemand(1, 22)
	h.printf("published %s", h.describeTable("p"))
	h.printf("with little demand no table is repaired")
	list[1].State = routing.Ready
	h.mustSetEndpoints(list)
	h.reportDemand(30, 2)
	h.printf("decided %.3g, published %s", h.tables.table(0).decided, h.describeTable("p"))
	h.checkTrace()
}

// A large shift of traffic is published in steps, each one after the previous step was published.
func TestRepairTrafficShift(t *testing.T) {
	h, _ := newRepairHarness(t, guard.Limits{MaxTrafficShift: 0.1})
	h.reportDemand(3, 2)
	h.printf("an operator sets the weight of a host to 9")
	h.applyOverrides(operator.Command{Host: hostName(1), Weight: 9})
	for range 8 {
		h.reportDemand(1, 2)
		h.printf("published %s", h.describeTable("q"))
	}
	report := h.ValidationReport()
	h.printf("repairs %d, repairing %v", report.Repairs, report.Repairing)
	h.checkTrace()
}

// If the repair finds no valid tables, that is logged and the least invalid ones are published.
func TestRepairWithoutValidTables(t *testing.T) {
	config := defaultTestConfig()
	config.classes[0].ZoneLocal = true
	h := newHarness(t, config)
	h.hideNotModified = true
	limits := guard.Limits{CapacityMultiple: 1, MaxTrafficShift: 0.2}
	h.EnableValidation(limits, RepairSettings{Enabled: true}, guard.EndpointLossLimits{})
	list := h.readyEndpoints(4)
	for i := range list {
		list[i].Zone = "a"
		list[i].Cores = 4
	}
	list[0].Zone = "b" // alone in its zone
	list[0].Cores = 1
	h.mustSetEndpoints(list)
	h.reportDemand(30, 10)
	h.printf("published %s", h.describeTable("p"))
	report := h.ValidationReport()
	h.printf("repairing %v, remaining findings %v", report.Repairing, report.Remaining)
	h.checkTrace()
}

// If the channel has no capacity for the updates of a repair, the published tables stay except for removals.
func TestRepairWithoutChannelCapacity(t *testing.T) {
	h, list := newRepairHarness(t, guard.Limits{CapacityMultiple: 1})
	h.reportDemand(14, 22)
	before := h.describeTable("p")
	h.channel.maxBacklog = 10
	h.reportDemand(10, 10)
	if after := h.describeTable("p"); after != before {
		t.Errorf("without channel capacity the published table is %s, want the previous one %s", after, before)
	}
	list[3].State = routing.Draining
	h.mustSetEndpoints(list)
	h.reportDemand(1, 10)
	after := h.describeTable("p")
	if strings.Contains(after, hostName(3)) || !strings.Contains(after, hostName(1)) {
		t.Errorf("after the drain of %s the table is %s, want it without that host and with %s",
			hostName(3), after, hostName(1))
	}
}

// maxRemovalDelayMs is the longest time for which a host that is no longer ready stays in the tables: 0.3 of the drain
// grace, for which the balancer collects removals at the most, and a round.
const maxRemovalDelayMs = 0.3*3000 + 200

// After any sequence of changes the repaired tables hold no host that has not been ready for maxRemovalDelayMs, and no
// host that the balancer left out unless no other host is left, and the limits of the channel hold.
func TestRepairKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		config := defaultTestConfig()
		h := newHarness(t, config)
		enableRandomRepair(r, h)
		list := h.readyEndpoints(6)
		for i := range list {
			list[i].Cores = rapid.SampledFrom([]float64{1, 2, 4}).Draw(r, "cores")
		}
		h.mustSetEndpoints(list)
		sent := map[string][]float64{} // when messages were sent, by proxy
		readyMs := map[int]float64{}   // when a host was last ready
		for step := range rapid.IntRange(5, 30).Draw(r, "steps") {
			changeRandomHost(r, list, h.nowMs)
			h.mustSetEndpoints(list)
			arrivals := rapid.SampledFrom([]int{1, 10, 40}).Draw(r, "arrivals")
			for i, proxy := range []string{"p", "q"} {
				h.pollAgain(PollRequest{Proxy: proxy, Zone: h.deployment.Zones[i], WaitMs: 900, AcceptDelta: true})
				if _, err := h.ObserveProxyStats(h.nowMs, proxy, demandStats(int64(step+1), arrivals)); err != nil {
					r.Fatal(err)
				}
			}
			for range 5 {
				h.advance(200)
				h.checkChannelLimits(r, sent)
				h.checkPublished(r, readyMs)
			}
		}
	})
}

func enableRandomRepair(r *rapid.T, h *harness) {
	limits := guard.Limits{
		CapacityMultiple: rapid.SampledFrom([]float64{0.5, 1}).Draw(r, "capacity multiple"),
		MaxTrafficShift:  rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(r, "max traffic shift"),
		SurviveZoneLoss:  true,
	}
	repair := RepairSettings{Enabled: true, SurviveZoneLoss: rapid.Bool().Draw(r, "survive zone loss")}
	h.EnableValidation(limits, repair, guard.EndpointLossLimits{})
}

// changeRandomHost changes the state, the weight or the start time of a host, or nothing.
func changeRandomHost(r *rapid.T, list []Endpoint, nowMs float64) {
	host := &list[rapid.IntRange(0, 5).Draw(r, "host")]
	switch rapid.IntRange(0, 4).Draw(r, "change") {
	case 0:
		if host.State == routing.Ready {
			host.State = routing.Draining
		} else {
			host.State = routing.Ready
		}
	case 1:
		host.Weight = rapid.SampledFrom([]float64{0.2, 1, 5}).Draw(r, "weight")
	case 2:
		host.StartedMs = nowMs
	}
}

// checkChannelLimits checks the backlog and the number of messages to each proxy. It adds the times at which they were
// sent to sent.
func (h *harness) checkChannelLimits(r *rapid.T, sent map[string][]float64) {
	const maxMessages = 20 // within messageWindowMs, by defaultTestConfig
	const messageWindowMs = 10000
	if backlog := h.channel.backlog(); backlog > h.channel.maxBacklog {
		r.Fatalf("the backlog is %g entries, want at most %g", backlog, h.channel.maxBacklog)
	}
	for _, session := range h.sessions.byIndex {
		times := append(sent[session.proxy], session.sentMs...)
		slices.Sort(times)
		times = slices.Compact(times)
		sent[session.proxy] = times
		if n := len(times); n > maxMessages && times[n-1]-times[n-1-maxMessages] < messageWindowMs {
			r.Fatalf("%s was sent more than %d messages within %d ms", session.proxy, maxMessages, messageWindowMs)
		}
	}
}

// checkPublished checks the published weights of the table for all zones against the decided ones, and updates when
// each host was last ready.
func (h *harness) checkPublished(r *rapid.T, readyMs map[int]float64) {
	table := h.tables.table(0)
	for host := range table.decided {
		if ready, _ := h.balancer.HostStatus(host); ready {
			readyMs[host] = h.nowMs
		}
	}
	if table.published == nil {
		return
	}
	hasCandidate := false
	for host, weight := range table.decided {
		ready, _ := h.balancer.HostStatus(host)
		hasCandidate = hasCandidate || ready && weight > 0
	}
	for host, weight := range table.published {
		ready, _ := h.balancer.HostStatus(host)
		decided := table.decided[host]
		late := !ready && (decided == 0 || h.nowMs > readyMs[host]+maxRemovalDelayMs)
		if weight != 0 && (late || hasCandidate && decided == 0) || weight < 0 || math.IsNaN(weight) {
			r.Fatalf("host %d has the published weight %g, which its decided weight %g and its readiness %v do not allow",
				host, weight, decided, ready)
		}
	}
	if hasCandidate && slices.Max(table.published) <= 0 {
		r.Fatalf("the published weights are %v, want a host left of the decided ones %v", table.published, table.decided)
	}
}
