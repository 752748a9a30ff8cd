package routing

import (
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

// checkRemoved checks that no proxy routes to hosts that began to drain at drainedAtMs later than the drain grace
// allows.
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

// checkLimits checks that the queue was never too long and no proxy was without a host for too long.
func (c *slowChannel) checkLimits(t *testing.T) {
	t.Helper()
	if c.mostEmpty > c.limits.EmptyTableMs {
		t.Errorf("a proxy had a table without hosts for %.0f ms, want at most %.0f", c.mostEmpty, c.limits.EmptyTableMs)
	}
	if c.mostQueuedEntries > c.config.MaxBacklog {
		t.Errorf("%.0f entries were queued at once, want at most %.0f", c.mostQueuedEntries, c.config.MaxBacklog)
	}
}

// checkZones checks that no proxy routes to a host of another zone, where a class must stay in its zone.
func (c *slowChannel) checkZones(t *testing.T) {
	t.Helper()
	for proxy, hosts := range c.routes {
		for host := range hosts {
			if c.zoneLocal && c.hosts[host].endpoint.zone != c.proxies[proxy].zone {
				t.Fatalf("proxy %d of zone %d routes to host %d of zone %d", proxy, c.proxies[proxy].zone, host,
					c.hosts[host].endpoint.zone)
			}
		}
	}
}

// replaceHosts starts a replacement for each of the hosts, whose index is higher by offset. Half of durationMs later
// the hosts begin to drain. It returns the instant at which it stopped, after durationMs.
func (c *slowChannel) replaceHosts(nowMs, durationMs float64, replaced []int, offset int) float64 {
	c.ObserveDelta()
	for _, host := range replaced {
		c.ObserveEndpoint(host+offset, host%2, Ready, 1, nowMs)
	}
	nowMs = c.run(nowMs, durationMs/2)
	c.ObserveDelta()
	for _, host := range replaced {
		c.ObserveEndpoint(host, host%2, Draining, 1, 0)
	}
	return c.run(nowMs, durationMs/2)
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
