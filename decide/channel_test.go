package decide

import (
	"slices"
	"testing"
)

// slowChannel takes a steward's orders as proxies on a channel that runs at a part of its pace: first come first served, each
// message costs its head and a line for each line, binding, level and mark. An answer comes once the message has left and arrived.
type slowChannel struct {
	*Steward
	set     Channel
	pace    float64
	tables  map[int]map[int]float64
	bound   map[int]int
	round   map[int]float64 // lines of the round, by proxy
	waiting []sentMessage
	way     []sentMessage // that have left, with the time of arrival
	sum     float64
	most    float64
}

type sentMessage struct {
	proxy, number int
	lines, at     float64
}

func (c *slowChannel) Line(table, host int, weight float64) {
	if c.tables[table] == nil {
		c.tables[table] = map[int]float64{}
	}
	if c.tables[table][host] = weight; weight == 0 {
		delete(c.tables[table], host)
	}
	for p, bound := range c.bound {
		if bound == table {
			c.round[p]++
		}
	}
}

func (c *slowChannel) Bind(p, table, _ int) {
	c.bound[p] = table
	c.round[p] = 1 + float64(len(c.tables[table]))
}

func (c *slowChannel) Level(int, int, float64, int) {
	for p := range c.bound {
		c.round[p]++
	}
}

func (c *slowChannel) Mark(number int) {
	for p := range c.proxies {
		if lines := c.round[p]; lines > 0 {
			lines += c.set.Head + 1
			c.waiting, c.sum = append(c.waiting, sentMessage{p, number, lines, 0}), c.sum+lines
		}
	}
	clear(c.round)
	c.most = max(c.most, c.sum)
}
func (c *slowChannel) Probe(int)    {}
func (c *slowChannel) Wake(float64) {}
func (c *slowChannel) Watch()       {}
func (c *slowChannel) Log(string)   {}

// run lets time pass; the channel sends, and proxies answer.
func (c *slowChannel) run(from, ms float64) float64 {
	left := 0.0
	for now := from; now < from+ms; now += 50 {
		left += c.set.LinesPerS * c.pace * 0.05
		for len(c.waiting) > 0 && c.waiting[0].lines <= left {
			m := c.waiting[0]
			c.waiting, c.sum, left = c.waiting[1:], c.sum-m.lines, left-m.lines
			m.at = now + c.set.Late
			c.way = append(c.way, m)
		}
		if len(c.waiting) == 0 {
			left = 0
		}
		c.way = slices.DeleteFunc(c.way, func(m sentMessage) bool {
			if m.at <= now {
				c.Answered(m.proxy, m.number)
			}
			return m.at <= now
		})
		for h := range c.servers {
			if int(now)%1000 == 0 && c.servers[h].phase == Ready {
				c.Heard(h, 20, 0, 100, 1000, NoLoad)
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
		set.MayProbe, set.Proxies = false, 30
		set.Channel.LinesPerS, set.Channel.MostWaiting = 1500, 3000
		c := &slowChannel{Steward: New(set.Fleet, set.classes, set.Channel, set.Guard, set.Goal), set: set.Channel, pace: pace,
			tables: map[int]map[int]float64{}, bound: map[int]int{}, round: map[int]float64{}}
		c.WholeList(true)
		for h := range 60 {
			c.Entry(h, h%2, Ready, 1, 0)
		}
		for p := range set.Proxies {
			c.Joined(p, p%2, 1)
		}
		now := c.run(1000, 20000)
		for first := 0; first < 120; first += 30 {
			c.ListChange()
			for h := first; h < first+30; h++ {
				c.Entry(h, h%2, Draining, 1, 0)
				c.Entry(h+60, h%2, Ready, 1, now)
			}
			now = c.run(now, 3000)
		}
		c.run(now, 10000)
		if c.most > set.Channel.MostWaiting {
			t.Errorf("at %.2f of its pace %.0f lines wait where %.0f may", pace, c.most, set.Channel.MostWaiting)
		}
		if c.number < 10 {
			t.Errorf("at %.2f of its pace only %d rounds were ordered", pace, c.number)
		}
	}
}
