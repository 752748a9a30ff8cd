package routing

import (
	"slices"
	"testing"
)

// slowChannel takes a steward's orders as proxies on a channel that runs at a part of its pace: first come first served, each
// message costs its head and a line for each line, binding, level and mark. An answer comes once the message has left and arrived.
type slowChannel struct {
	*Balancer
	set     ControlChannel
	pace    float64
	failing int // tries of twenty, at each host
	tables  map[int]map[int]float64
	bound   map[int]int
	round   map[int]float64 // lines of the round, by proxy
	waiting []sentMessage
	way     []sentMessage // that have left, with the time of arrival
	sum     float64
	most    float64
	cut     []int       // hosts taken out of a table this round
	missing map[int]int // messages of a round that cut some and have not arrived, by number
	cutIn   map[int][]int
	cutAt   map[int]float64 // when the last proxy took a host out
}

// newSlowChannel lists so many ready hosts, and joins the proxies.
func newSlowChannel(set deployment, pace float64, hosts int) *slowChannel {
	c := &slowChannel{Balancer: New(set.Deployment, set.classes, set.ControlChannel, set.SafetyLimits, set.Objective), set: set.ControlChannel, pace: pace,
		tables: map[int]map[int]float64{}, bound: map[int]int{}, round: map[int]float64{}, missing: map[int]int{}, cutIn: map[int][]int{}, cutAt: map[int]float64{}}
	c.ObserveSnapshot(true)
	for h := range hosts {
		c.ObserveEndpoint(h, h%2, Ready, 1, 0)
	}
	for p := range set.Proxies {
		c.ConnectProxy(p, p%2, 1)
	}
	return c
}

type sentMessage struct {
	proxy, number int
	lines, at     float64
}

func (c *slowChannel) SetWeight(table, host int, weight float64) {
	if c.tables[table] == nil {
		c.tables[table] = map[int]float64{}
	}
	if c.tables[table][host] = weight; weight == 0 {
		delete(c.tables[table], host)
		c.cut = append(c.cut, host)
	}
	for p, bound := range c.bound {
		if bound == table {
			c.round[p]++
		}
	}
}

func (c *slowChannel) AssignTable(p, table, _ int) {
	c.bound[p] = table
	c.round[p] = 1 + float64(len(c.tables[table]))
}

func (c *slowChannel) SetAdmission(int, int, float64, int) {
	for p := range c.bound {
		c.round[p]++
	}
}

func (c *slowChannel) StampVersion(number int) {
	for p := range c.proxies {
		if lines := c.round[p]; lines > 0 {
			lines += c.set.MessageOverhead + 1
			c.waiting, c.sum = append(c.waiting, sentMessage{p, number, lines, 0}), c.sum+lines
			c.missing[number]++
		}
	}
	c.cutIn[number], c.cut = c.cut, nil
	clear(c.round)
	c.most = max(c.most, c.sum)
}
func (c *slowChannel) CheckHealth(int)       {}
func (c *slowChannel) ScheduleRound(float64) {}
func (c *slowChannel) WatchEndpoints()       {}
func (c *slowChannel) Log(Event)             {}

// run lets time pass; the channel sends, and proxies answer.
func (c *slowChannel) run(from, ms float64) float64 {
	left := 0.0
	for now := from; now < from+ms; now += 50 {
		left += c.set.EntriesPerSecond * c.pace * 0.05
		for len(c.waiting) > 0 && c.waiting[0].lines <= left {
			m := c.waiting[0]
			c.waiting, c.sum, left = c.waiting[1:], c.sum-m.lines, left-m.lines
			m.at = now + c.set.PropagationDelayMs
			c.way = append(c.way, m)
		}
		if len(c.waiting) == 0 {
			left = 0
		}
		c.way = slices.DeleteFunc(c.way, func(m sentMessage) bool {
			if m.at <= now {
				c.Ack(m.proxy, m.number)
				if c.missing[m.number]--; c.missing[m.number] == 0 {
					for _, h := range c.cutIn[m.number] {
						c.cutAt[h] = now
					}
				}
			}
			return m.at <= now
		})
		for h := range c.hosts {
			if int(now)%1000 == 0 && c.hosts[h].endpoint.state == Ready {
				c.ObserveHostStats(h, 20, c.failing, 100, 1000, UnknownLoad)
			}
		}
		c.Round(now, c)
	}
	return from + ms
}

// The channel runs far slower than its pace while hosts are replaced by the dozen: no more lines may wait than the settings allow.
func TestSlowChannel(t *testing.T) {
	for _, pace := range []float64{1, 0.5, 0.25, 0.12} {
		set := plain()
		set.HealthChecks, set.Proxies = false, 30
		set.ControlChannel.EntriesPerSecond, set.ControlChannel.MaxBacklog = 1500, 3000
		c := newSlowChannel(set, pace, 60)
		now := c.run(1000, 20000)
		for first := 0; first < 120; first += 30 {
			c.ObserveDelta()
			for h := first; h < first+30; h++ {
				c.ObserveEndpoint(h, h%2, Draining, 1, 0)
				c.ObserveEndpoint(h+60, h%2, Ready, 1, now)
			}
			now = c.run(now, 3000)
		}
		c.run(now, 10000)
		if c.most > set.ControlChannel.MaxBacklog {
			t.Errorf("at %.2f of its pace %.0f lines wait where %.0f may", pace, c.most, set.ControlChannel.MaxBacklog)
		}
		if c.publishing.version < 10 {
			t.Errorf("at %.2f of its pace only %d rounds were ordered", pace, c.publishing.version)
		}
	}
}

// Half of the fleet is cold while more and more tries fail, so that the cold hosts' weights fall step by step; then the other
// half drains. What the weights of cold hosts cost must not keep the removals out of the channel.
func TestDrainsBesideColdHosts(t *testing.T) {
	set := plain()
	set.HealthChecks, set.Proxies, set.SafetyLimits.DrainGraceMs, set.SafetyLimits.CollapseMultiple = false, 45, 2000, 4
	set.ControlChannel = ControlChannel{EntriesPerSecond: 2600, MessageOverhead: 4, MaxBacklog: 8200, PropagationDelayMs: 285, Cost: 0.04}
	c := newSlowChannel(set, 1, 200)
	now := c.run(1000, 30000)
	c.ObserveDelta()
	for h := 200; h < 320; h++ {
		c.ObserveEndpoint(h, h%2, Ready, 1, now)
	}
	now = c.run(now, 4000)
	for c.failing = 2; c.failing < 14; c.failing += 2 {
		now = c.run(now, 700)
	}
	c.ObserveDelta()
	for h := range 60 {
		c.ObserveEndpoint(h, h%2, Draining, 1, 0)
	}
	told := now
	c.run(now, 6000)
	for h := range 60 {
		if took := c.cutAt[h] - told; took < 0 || took > set.SafetyLimits.DrainGraceMs+300 {
			t.Errorf("host %d is in a table %.0f ms after it was told to drain", h, took)
			break
		}
	}
}
