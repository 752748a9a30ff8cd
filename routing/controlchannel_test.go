package routing

import (
	"fmt"
	"slices"
	"testing"
)

// slowChannel simulates proxies on a control channel that runs below its maximum throughput, and receives the
// balancer's updates. The channel sends messages in order. Each costs its overhead and an entry for each weight,
// assignment, quota and version stamp. A proxy acknowledges a message once it has left the channel and arrived.
type slowChannel struct {
	*Balancer
	config          ControlChannel
	throughputRatio float64
	failures        int // failed attempts out of 20, at each host

	tables       map[int]map[int]float64 // weights by table and host
	assigned     map[int]int             // table by proxy
	roundEntries map[int]float64         // entries of the current round, by proxy

	queue             []queuedMessage
	inFlight          []queuedMessage // messages that have left the queue and not arrived
	queuedEntries     float64
	mostQueuedEntries float64

	changes   map[int][]tableChange // of the current round, by proxy
	routes    map[int]map[int]bool  // hosts in the tables that have arrived, by proxy
	heldAtMs  map[int]float64       // when a proxy last routed to a host that drains, by host
	emptyMs   map[int]float64       // how long a proxy has had a table without hosts, by proxy
	mostEmpty float64               // the longest of these times
}

// tableChange is a change of the table by which a proxy routes.
type tableChange struct {
	replace bool // the table was empty before
	host    int
	remove  bool
}

// queuedMessage is a message to one proxy.
type queuedMessage struct {
	proxy       int
	version     int
	entries     float64
	arrivesAtMs float64
	changes     []tableChange
}

const (
	channelStepMs      = 50
	channelStepSeconds = float64(channelStepMs) / msPerSecond
)

func newSlowChannel(set settings, throughputRatio float64, hosts int) *slowChannel {
	return &slowChannel{
		Balancer:        set.newBalancer(hosts),
		config:          set.channel,
		throughputRatio: throughputRatio,
		tables:          map[int]map[int]float64{},
		assigned:        map[int]int{},
		roundEntries:    map[int]float64{},
		changes:         map[int][]tableChange{},
		routes:          map[int]map[int]bool{},
		heldAtMs:        map[int]float64{},
		emptyMs:         map[int]float64{},
	}
}

func (c *slowChannel) SetWeight(table, host int, weight float64) {
	if c.tables[table] == nil {
		c.tables[table] = map[int]float64{}
	}
	if weight == 0 {
		delete(c.tables[table], host)
	} else {
		c.tables[table][host] = weight
	}
	for proxy, assigned := range c.assigned {
		if assigned == table {
			c.roundEntries[proxy]++
			c.changes[proxy] = append(c.changes[proxy], tableChange{host: host, remove: weight == 0})
		}
	}
}

func (c *slowChannel) AssignTable(proxy, table, _ int) {
	c.assigned[proxy] = table
	c.roundEntries[proxy] = 1 + float64(len(c.tables[table]))
	c.changes[proxy] = []tableChange{{replace: true}}
	for host := range c.tables[table] {
		c.changes[proxy] = append(c.changes[proxy], tableChange{host: host})
	}
}

func (c *slowChannel) SetAdmission(int, int, float64, int) {
	for proxy := range c.assigned {
		c.roundEntries[proxy]++
	}
}

func (c *slowChannel) StampVersion(version int) {
	for proxy := range c.proxies {
		entries := c.roundEntries[proxy]
		if entries <= 0 {
			continue
		}
		entries += c.config.MessageOverhead + 1
		c.queue = append(c.queue, queuedMessage{
			proxy:   proxy,
			version: version,
			entries: entries,
			changes: c.changes[proxy],
		})
		c.queuedEntries += entries
	}
	clear(c.changes)
	clear(c.roundEntries)
	c.mostQueuedEntries = max(c.mostQueuedEntries, c.queuedEntries)
}

func (c *slowChannel) CheckHealth(int)       {}
func (c *slowChannel) ScheduleRound(float64) {}
func (c *slowChannel) WatchEndpoints()       {}
func (c *slowChannel) Log(Event)             {}

// run simulates the channel and the proxies from fromMs on, and returns the instant at which it stopped.
func (c *slowChannel) run(fromMs, durationMs float64) float64 {
	capacity := 0.0 // entries that the channel can still send in this step
	for nowMs := fromMs; nowMs < fromMs+durationMs; nowMs += channelStepMs {
		capacity += c.config.EntriesPerSecond * c.throughputRatio * channelStepSeconds
		capacity = c.send(nowMs, capacity)
		c.deliver(nowMs)
		if int(nowMs)%reportIntervalMs == 0 {
			c.report()
		}
		c.Round(nowMs, c)
	}
	return fromMs + durationMs
}

// send sends the queued messages for which the channel has capacity, and returns the remaining capacity.
func (c *slowChannel) send(nowMs, capacity float64) float64 {
	for len(c.queue) > 0 && c.queue[0].entries <= capacity {
		message := c.queue[0]
		c.queue = c.queue[1:]
		c.queuedEntries -= message.entries
		capacity -= message.entries
		message.arrivesAtMs = nowMs + c.config.PropagationDelayMs
		c.inFlight = append(c.inFlight, message)
	}
	if len(c.queue) == 0 {
		return 0
	}
	return capacity
}

// deliver acknowledges the messages that have arrived.
func (c *slowChannel) deliver(nowMs float64) {
	c.inFlight = slices.DeleteFunc(c.inFlight, func(message queuedMessage) bool {
		if message.arrivesAtMs > nowMs {
			return false
		}
		c.apply(message)
		c.Ack(message.proxy, message.version)
		return true
	})
	draining := slices.DeleteFunc(slices.Clone(c.hostOrder), func(host int) bool {
		return c.hosts[host].endpoint.state == Ready
	})
	for proxy, hosts := range c.routes {
		for _, host := range draining {
			if hosts[host] {
				c.heldAtMs[host] = nowMs
			}
		}
		c.emptyMs[proxy] += channelStepMs
		if len(hosts) > 0 {
			c.emptyMs[proxy] = 0
		}
		c.mostEmpty = max(c.mostEmpty, c.emptyMs[proxy])
	}
}

// apply changes the table of a message's proxy.
func (c *slowChannel) apply(message queuedMessage) {
	for _, change := range message.changes {
		switch {
		case change.replace:
			c.routes[message.proxy] = map[int]bool{}
		case change.remove:
			delete(c.routes[message.proxy], change.host)
		default:
			c.routes[message.proxy][change.host] = true
		}
	}
}

// checkRemoved checks that no proxy routes to hosts that began to drain at drainedAtMs later than the drain grace allows.
func (c *slowChannel) checkRemoved(t *testing.T, hosts []int, drainedAtMs float64) {
	t.Helper()
	const allowanceMs = 300 // of the platform, for its network
	latestMs := 0.0
	for _, host := range hosts {
		latestMs = max(latestMs, c.heldAtMs[host]-drainedAtMs)
	}
	if latestMs == 0 {
		t.Errorf("no proxy had one of hosts %v in its table, want one at least", hosts)
	}
	if latestMs > c.limits.DrainGraceMs+allowanceMs {
		t.Errorf("a proxy had a host in its table %.0f ms after the host began to drain, want at most %.0f ms",
			latestMs, c.limits.DrainGraceMs+allowanceMs)
	}
}

// hostRange returns the hosts from first up to, and without, end.
func hostRange(first, end int) []int {
	var hosts []int
	for host := first; host < end; host++ {
		hosts = append(hosts, host)
	}
	return hosts
}

// report records the attempts at all ready hosts.
func (c *slowChannel) report() {
	for host := range c.hosts {
		if c.hosts[host].endpoint.state == Ready {
			c.ObserveHostStats(host, 20, c.failures, 100, reportIntervalMs, UnknownLoad)
		}
	}
}

// The channel runs far below its maximum throughput while many hosts are replaced at once: its queue must stay within
// MaxBacklog.
func TestBacklogOnSlowChannel(t *testing.T) {
	for _, throughputRatio := range []float64{1, 0.5, 0.25, 0.12} {
		t.Run(fmt.Sprintf("throughput ratio %.2f", throughputRatio), func(t *testing.T) {
			set := defaultSettings()
			set.deployment.HealthChecks = false
			set.deployment.Proxies = 30
			set.channel.EntriesPerSecond = 1500
			set.channel.MaxBacklog = 3000
			c := newSlowChannel(set, throughputRatio, 60)
			nowMs := c.run(1000, 20000)
			for first := 0; first < 120; first += 30 {
				c.ObserveDelta()
				for host := first; host < first+30; host++ {
					c.ObserveEndpoint(host, host%2, Draining, 1, 0)
					c.ObserveEndpoint(host+60, host%2, Ready, 1, nowMs)
				}
				nowMs = c.run(nowMs, 3000)
			}
			c.run(nowMs, 10000)
			if c.mostQueuedEntries > set.channel.MaxBacklog {
				t.Errorf("%.0f entries were queued at once, want at most %.0f", c.mostQueuedEntries, set.channel.MaxBacklog)
			}
			if c.publishing.version < 10 {
				t.Errorf("%d rounds had updates, want at least 10", c.publishing.version)
			}
		})
	}
}

// Many hosts are warming up while more and more attempts fail, so that the weights of these hosts fall step by step.
// Then 60 other hosts drain. The weight updates of the hosts that are warming up must not delay the removals beyond the
// drain grace.
func TestDrainGraceBesideWarmingHosts(t *testing.T) {
	set := defaultSettings()
	set.deployment.HealthChecks = false
	set.deployment.Proxies = 45
	set.limits.DrainGraceMs = 2000
	set.limits.CollapseMultiple = 4
	set.channel = ControlChannel{
		EntriesPerSecond:   2600,
		MessageOverhead:    4,
		MaxBacklog:         8200,
		PropagationDelayMs: 285,
		Cost:               0.04,
	}
	c := newSlowChannel(set, 1, 200)
	nowMs := c.run(1000, 30000)
	c.ObserveDelta()
	for host := 200; host < 320; host++ {
		c.ObserveEndpoint(host, host%2, Ready, 1, nowMs)
	}
	nowMs = c.run(nowMs, 4000)
	for c.failures = 2; c.failures < 14; c.failures += 2 {
		nowMs = c.run(nowMs, 700)
	}
	c.ObserveDelta()
	for host := range 60 {
		c.ObserveEndpoint(host, host%2, Draining, 1, 0)
	}
	drainedAtMs := nowMs
	c.run(nowMs, 6000)
	c.checkRemoved(t, hostRange(0, 60), drainedAtMs)
}

// Six in ten hosts are replaced in four steps while the channel is busy with the removals of the steps before. They must
// leave the tables within the drain grace, and not one by one, each with the overhead of a message.
func TestDrainGraceOnBusyChannel(t *testing.T) {
	for _, proxies := range []int{60, 105, 240} {
		t.Run(fmt.Sprintf("%d proxies", proxies), func(t *testing.T) {
			set := defaultSettings()
			set.deployment.HealthChecks = false
			set.deployment.Proxies = proxies
			set.limits.DrainGraceMs = 4000
			set.channel = ControlChannel{
				EntriesPerSecond:   1900,
				MessageOverhead:    6,
				MaxBacklog:         6300,
				PropagationDelayMs: 187,
				Cost:               0.02,
			}
			const hosts, steps, stepHosts, stepMs = 200, 4, 30, 2200
			c := newSlowChannel(set, 1, hosts)
			nowMs := c.run(1000, 60000)
			var drainedAtMs [steps]float64
			for step := range steps {
				c.ObserveDelta()
				for _, host := range hostRange(step*stepHosts, (step+1)*stepHosts) {
					c.ObserveEndpoint(hosts+host, host%2, Ready, 1, nowMs)
				}
				nowMs = c.run(nowMs, stepMs/2)
				c.ObserveDelta()
				for _, host := range hostRange(step*stepHosts, (step+1)*stepHosts) {
					c.ObserveEndpoint(host, host%2, Draining, 1, 0)
				}
				drainedAtMs[step] = nowMs
				nowMs = c.run(nowMs, stepMs/2)
			}
			c.run(nowMs, 20000)
			for step := range steps {
				c.checkRemoved(t, hostRange(step*stepHosts, (step+1)*stepHosts), drainedAtMs[step])
			}
			if c.mostEmpty > set.limits.EmptyTableMs {
				t.Errorf("a proxy had a table without hosts for %.0f ms, want at most %.0f", c.mostEmpty, set.limits.EmptyTableMs)
			}
			if c.mostQueuedEntries > set.channel.MaxBacklog {
				t.Errorf("%.0f entries were queued at once, want at most %.0f", c.mostQueuedEntries, set.channel.MaxBacklog)
			}
		})
	}
}

// Messages to a proxy that never acknowledges do not count against the channel for ever: they expire after the time
// that a full channel needs at its minimum throughput.
func TestUnacknowledgedMessagesExpire(t *testing.T) {
	set := defaultSettings()
	set.deployment.HealthChecks = false
	h := &harness{Balancer: set.newBalancer(3), clockMs: 1000, quiet: true}
	h.round()
	entries := h.backlog.unacknowledged
	if entries <= 0 {
		t.Fatalf("%v entries are unacknowledged after the first round, want some", entries)
	}
	transitMs := 200 + 10000/(10000*0.1)*1000.0
	h.clockMs += transitMs
	h.round()
	if got := h.backlog.unacknowledged; got != entries {
		t.Errorf("after %.0f ms %v entries are unacknowledged, want %v", transitMs, got, entries)
	}
	h.clockMs++
	h.round()
	if got := h.backlog.unacknowledged; got != 0 {
		t.Errorf("after %.0f ms %v entries are unacknowledged, want 0", transitMs+1, got)
	}
}

func TestAckReleasesEarlierMessages(t *testing.T) {
	messages := []updateMessage{{version: 4, entries: 10}, {version: 5, entries: 20}, {version: 7, entries: 40}}
	for _, test := range []struct {
		name    string
		version int
		want    float64 // unacknowledged entries
	}{
		{"oldest", 4, 60},
		{"one in the middle", 5, 40},
		{"newest", 7, 0},
		{"unknown", 6, 70},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(defaultSettings(), 1)
			h.proxies[0].unacknowledged = slices.Clone(messages)
			h.backlog = controlBacklog{unacknowledged: 70}
			h.Ack(0, test.version)
			if got := h.backlog.unacknowledged; got != test.want {
				t.Errorf("%v entries are unacknowledged, want %v", got, test.want)
			}
			if got, want := h.backlog.arriving, 70-test.want; got != want {
				t.Errorf("%v entries are arriving, want %v", got, want)
			}
		})
	}
}

// Hosts are replaced one after the other for most of the message window. The messages that the window allows must last for
// all of them: a removal that waits for the oldest message to leave the window outlasts the drain grace.
func TestDrainGraceWithMessageLimit(t *testing.T) {
	const (
		hosts     = 42
		replaced  = 25
		spacingMs = 300
		startMs   = 1500 // of a replacement
	)
	set := defaultSettings()
	set.deployment.HealthChecks = false
	set.deployment.Proxies = 24
	set.limits.DrainGraceMs = 3000
	set.channel = ControlChannel{
		EntriesPerSecond:   7100,
		MessageOverhead:    6,
		MaxBacklog:         7100,
		PropagationDelayMs: 270,
		MaxMessages:        20,
		MessageWindowMs:    10000,
		Cost:               0.02,
	}
	c := newSlowChannel(set, 1, hosts)
	nowMs := c.run(1000, 30000)
	var drainedAtMs [replaced]float64
	for host := range replaced + startMs/spacingMs {
		c.ObserveDelta()
		if host < replaced {
			c.ObserveEndpoint(host, host%2, Draining, 1, 0)
			drainedAtMs[host] = nowMs
		}
		if started := host - startMs/spacingMs; started >= 0 {
			c.ObserveEndpoint(hosts+started, started%2, Ready, 1, nowMs-startMs)
		}
		nowMs = c.run(nowMs, spacingMs)
	}
	c.run(nowMs, 10000)
	for host := range replaced {
		c.checkRemoved(t, []int{host}, drainedAtMs[host])
	}
}
