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
	assigned     map[tableHolder]int     // number of the table
	roundEntries map[int]float64         // entries of the current round, by proxy

	queue             []queuedMessage
	inFlight          []queuedMessage // messages that have left the queue and not arrived
	queuedEntries     float64
	mostQueuedEntries float64

	messagesAtMs map[int][]float64 // when messages within the message window were sent, by proxy
	mostMessages int               // the most messages to one proxy within the window

	changes   map[int][]tableChange        // of the current round, by proxy
	routes    map[tableHolder]map[int]bool // hosts in the tables that have arrived
	heldAtMs  map[int]float64              // when a proxy last routed to a host that drains, by host
	emptyMs   map[tableHolder]float64      // how long a proxy has had a table without hosts
	mostEmpty float64                      // the longest of these times
}

// tableHolder is a proxy with its table for all classes, or with its fallback table.
type tableHolder struct {
	proxy    int
	fallback bool
}

// tableChange is a change of a table by which a proxy routes.
type tableChange struct {
	fallback bool
	drop     bool // the proxy has no such table any more
	replace  bool // the table was empty before
	host     int
	remove   bool
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
		assigned:        map[tableHolder]int{},
		roundEntries:    map[int]float64{},
		messagesAtMs:    map[int][]float64{},
		changes:         map[int][]tableChange{},
		routes:          map[tableHolder]map[int]bool{},
		heldAtMs:        map[int]float64{},
		emptyMs:         map[tableHolder]float64{},
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
	for holder, assigned := range c.assigned {
		if assigned == table {
			proxy := holder.proxy
			c.roundEntries[proxy]++
			change := tableChange{fallback: holder.fallback, host: host, remove: weight == 0}
			c.changes[proxy] = append(c.changes[proxy], change)
		}
	}
}

func (c *slowChannel) AssignTable(proxy, table, classes int) {
	holder := tableHolder{proxy, classes != 0}
	if !holder.fallback {
		delete(c.assigned, tableHolder{proxy, true})
		c.roundEntries[proxy] = 0
		c.changes[proxy] = []tableChange{{fallback: true, drop: true}}
	}
	c.assigned[holder] = table
	c.roundEntries[proxy] += 1 + float64(len(c.tables[table]))
	c.changes[proxy] = append(c.changes[proxy], tableChange{fallback: holder.fallback, replace: true})
	for host := range c.tables[table] {
		c.changes[proxy] = append(c.changes[proxy], tableChange{fallback: holder.fallback, host: host})
	}
}

func (c *slowChannel) SetAdmission(int, int, float64, int) {
	for holder := range c.assigned {
		if !holder.fallback {
			c.roundEntries[holder.proxy]++
		}
	}
}

func (c *slowChannel) StampVersion(version int) {
	for proxy := range c.proxies {
		entries := c.roundEntries[proxy]
		if entries <= 0 {
			continue
		}
		entries += c.config.MessageOverhead + 1
		c.countMessage(proxy)
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

// countMessage counts a message to a proxy.
func (c *slowChannel) countMessage(proxy int) {
	window := slices.DeleteFunc(c.messagesAtMs[proxy], func(sentAtMs float64) bool {
		return sentAtMs < c.nowMs-c.config.MessageWindowMs
	})
	c.messagesAtMs[proxy] = append(window, c.nowMs)
	c.mostMessages = max(c.mostMessages, len(c.messagesAtMs[proxy]))
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
	for holder, hosts := range c.routes {
		for _, host := range draining {
			if hosts[host] {
				c.heldAtMs[host] = nowMs
			}
		}
		if holder.fallback {
			continue
		}
		c.countEmptyTime(holder)
		if c.crossZoneClasses != 0 {
			c.countEmptyTime(tableHolder{holder.proxy, true})
		}
	}
}

// apply changes the tables of a message's proxy.
func (c *slowChannel) apply(message queuedMessage) {
	for _, change := range message.changes {
		holder := tableHolder{message.proxy, change.fallback}
		switch {
		case change.drop:
			delete(c.routes, holder)
		case change.replace:
			c.routes[holder] = map[int]bool{}
		case change.remove:
			delete(c.routes[holder], change.host)
		default:
			c.routes[holder][change.host] = true
		}
	}
}

// countEmptyTime counts the time for which a proxy has had no host for the classes that it routes by its fallback
// table, or for the others, while a warm host is ready that may take them.
func (c *slowChannel) countEmptyTime(holder tableHolder) {
	hosts, hasTable := c.routes[holder]
	if !hasTable {
		hosts = c.routes[tableHolder{holder.proxy, false}]
	}
	warmHostReady := slices.ContainsFunc(c.hostOrder, func(index int) bool {
		host := &c.hosts[index]
		ownZone := host.endpoint.zone == c.proxies[holder.proxy].zone
		return host.endpoint.state == Ready && c.slowStartFactor(host) >= 1 && (ownZone || holder.fallback || !c.zoneLocal)
	})
	c.emptyMs[holder] += channelStepMs
	if len(hosts) > 0 || !warmHostReady {
		c.emptyMs[holder] = 0
	}
	c.mostEmpty = max(c.mostEmpty, c.emptyMs[holder])
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

// checkEachRemoved is checkRemoved for hosts that began to drain at different times.
func (c *slowChannel) checkEachRemoved(t *testing.T, drainedAtMs map[int]float64) {
	t.Helper()
	for host, atMs := range drainedAtMs {
		c.checkRemoved(t, []int{host}, atMs)
	}
}

// checkLimits checks that the queue was never too long, no proxy was sent too many messages and none was without a host
// for too long.
func (c *slowChannel) checkLimits(t *testing.T) {
	t.Helper()
	if c.mostEmpty > c.limits.EmptyTableMs {
		t.Errorf("a proxy had a table without hosts for %.0f ms, want at most %.0f", c.mostEmpty, c.limits.EmptyTableMs)
	}
	if c.mostQueuedEntries > c.config.MaxBacklog {
		t.Errorf("%.0f entries were queued at once, want at most %.0f", c.mostQueuedEntries, c.config.MaxBacklog)
	}
	if c.config.MaxMessages > 0 && c.mostMessages > c.config.MaxMessages {
		t.Errorf("a proxy was sent %d messages within the window, want at most %d", c.mostMessages, c.config.MaxMessages)
	}
}

// checkZones checks that no proxy routes to a host of another zone, where a class must stay in its zone.
func (c *slowChannel) checkZones(t *testing.T) {
	t.Helper()
	for holder, hosts := range c.routes {
		for host := range hosts {
			zone := c.proxies[holder.proxy].zone
			if c.zoneLocal && !holder.fallback && c.hosts[host].endpoint.zone != zone {
				t.Fatalf("proxy %d of zone %d routes to host %d of zone %d", holder.proxy, zone, host,
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
