// Package guard looks at tables between decision and publication, and at lists before they are believed: it tells what
// would break something, with the figures, and gives the nearest sound table. It does no I/O and reads no clock.
package guard

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sort"
)

// Host as it stands.
type Host struct {
	Name   string
	Zone   string
	Ready  bool    // listed, not draining and not withdrawn
	Warmth float64 // the part of its capacity that it has, 0 to 1
	Cap    float64 // work it may be given, ms a ms, warm; 0: not told
	Most   float64 // ms a ms that a cold host falls over at, by its warmth; 0: not told
}

// Class of transactions.
type Class struct {
	Name  string
	Work  float64 // mean, ms
	Local bool
}

// Tables are weights by class, zone of the proxies and host.
type Tables map[string]map[string]map[string]float64

// View is what is looked at.
type View struct {
	Classes []Class
	Zones   []string // with proxies
	Hosts   []Host
	Demand  map[string]map[string]float64 // transactions a second by class and zone, fleet-wide
	Now     Tables                        // as published
	Next    Tables                        // as decided
}

// Limits of the checks.
type Limits struct {
	Over  float64 // a host may be given so many times its cap; 0: not looked at
	Jump  float64 // part of a class's traffic that one step may move, drains and removals aside; 0: any
	Spare bool    // also without the zone that carries most
}

// Finding is what a check found.
type Finding struct {
	Check string  `json:"check"`
	On    string  `json:"on"` // class and zone, or host
	Is    float64 `json:"is"`
	Limit float64 `json:"limit"`
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s, %.4g where %.4g is the limit", f.Check, f.On, f.Is, f.Limit)
}

// Names of the checks.
const (
	Number = "a weight is no number"
	Empty  = "no host may take it"
	Over   = "over its cap"
	Cold   = "a cold host over its budget"
	Spare  = "over its cap without a zone"
	Jump   = "too much moves at once"
)

// index of a view's hosts.
func (v *View) index() map[string]Host {
	all := make(map[string]Host, len(v.Hosts))
	for _, h := range v.Hosts {
		all[h.Name] = h
	}
	return all
}

func good(w float64) bool { return w >= 0 && !math.IsInf(w, 0) && !math.IsNaN(w) }

// Check gives what is wrong with the next tables, by check and then by what it is on.
func Check(v *View, l Limits) []Finding {
	c := &checker{v: v, l: l, hosts: v.index()}
	c.numbers()
	c.empty()
	if l.Over > 0 {
		load := c.loads("")
		c.load(Over, load, "")
		c.cold(load)
		if l.Spare {
			c.spare(load)
		}
	}
	if l.Jump > 0 {
		c.jump()
	}
	sort.SliceStable(c.found, func(i, j int) bool {
		a, b := c.found[i], c.found[j]
		return a.Check < b.Check || a.Check == b.Check && a.On < b.On
	})
	return c.found
}

type checker struct {
	v     *View
	l     Limits
	hosts map[string]Host
	found []Finding
}

func (c *checker) find(check, on string, is, limit float64) {
	c.found = append(c.found, Finding{check, on, is, limit})
}

func (c *checker) numbers() {
	for _, k := range c.v.Classes {
		for _, z := range c.v.Zones {
			for host, w := range c.v.Next[k.Name][z] {
				if !good(w) {
					c.find(Number, k.Name+" in "+z+" at "+host, w, 0)
				}
			}
		}
	}
}

// may tells whether a host may take a class from a zone.
func may(h Host, k Class, zone string) bool { return h.Ready && (!k.Local || h.Zone == zone) }

// empty: a class without a host that may take it, where there is one that is warm.
func (c *checker) empty() {
	for _, k := range c.v.Classes {
		for _, z := range c.v.Zones {
			has, could := 0.0, 0.0
			for _, h := range c.v.Hosts {
				if may(h, k, z) && h.Warmth >= 1 {
					could++
				}
			}
			for host, w := range c.v.Next[k.Name][z] {
				if h, ok := c.hosts[host]; ok && w > 0 && good(w) && may(h, k, z) {
					has++
				}
			}
			if has == 0 && could > 0 {
				c.find(Empty, k.Name+" in "+z, 0, could)
			}
		}
	}
}

// loads deals the demand out by the next tables, without the hosts of a zone.
func (c *checker) loads(without string) map[string]float64 {
	load := map[string]float64{}
	for _, k := range c.v.Classes {
		for _, z := range c.v.Zones {
			sum := 0.0
			row := c.v.Next[k.Name][z]
			names := slices.Sorted(maps.Keys(row))
			for _, host := range names {
				if w := row[host]; good(w) && (without == "" || c.hosts[host].Zone != without) {
					sum += w
				}
			}
			if sum <= 0 {
				continue
			}
			for _, host := range names {
				if w := row[host]; good(w) && (without == "" || c.hosts[host].Zone != without) {
					load[host] += c.v.Demand[k.Name][z] * k.Work / 1000 * w / sum
				}
			}
		}
	}
	return load
}

// room tells whether the hosts could take all that is asked if it were dealt out by their caps: where they could not,
// some are over whatever the table is, and levels are what helps.
func (c *checker) room(without string) bool {
	asked, all := 0.0, 0.0
	for _, k := range c.v.Classes {
		for _, z := range c.v.Zones {
			asked += c.v.Demand[k.Name][z] * k.Work / 1000
		}
	}
	for _, h := range c.v.Hosts {
		if h.Ready && h.Zone != without {
			all += h.Cap * h.Warmth
		}
	}
	return asked <= all
}

// load: hosts that are given more than their caps allow, without those of a zone.
func (c *checker) load(check string, load map[string]float64, without string) {
	if !c.room(without) {
		return
	}
	for _, h := range c.v.Hosts {
		if limit := h.Cap * c.l.Over; (without == "" || h.Zone != without) && h.Cap > 0 && h.Ready && load[h.Name] > limit {
			c.find(check, h.Name, load[h.Name], limit)
		}
	}
}

func (c *checker) cold(load map[string]float64) {
	for _, h := range c.v.Hosts {
		if h.Warmth < 1 && h.Most > 0 && load[h.Name] > h.Most {
			c.find(Cold, h.Name, load[h.Name], h.Most)
		}
	}
}

// spare: what the others get when the zone that carries most is lost.
func (c *checker) spare(load map[string]float64) {
	by := map[string]float64{}
	for _, host := range slices.Sorted(maps.Keys(load)) {
		if h, ok := c.hosts[host]; ok { // one that is not listed has no zone
			by[h.Zone] += load[host]
		}
	}
	worst := ""
	for _, z := range slices.Sorted(maps.Keys(by)) {
		if worst == "" || by[z] > by[worst]+1e-12 {
			worst = z
		}
	}
	if worst != "" {
		c.load(Spare, c.loads(worst), worst)
	}
}

// shares are the parts of a row's weights, of hosts that may stay.
func (c *checker) shares(row map[string]float64) map[string]float64 {
	sum, part := 0.0, map[string]float64{}
	for _, host := range slices.Sorted(maps.Keys(row)) {
		if h, ok := c.hosts[host]; ok && h.Ready && good(row[host]) {
			sum += row[host]
			part[host] = row[host]
		}
	}
	for host := range part {
		if sum > 0 {
			part[host] /= sum
		}
	}
	return part
}

// jump: half the distance between the shares before and after, over the hosts that need not go.
func (c *checker) jump() {
	for _, k := range c.v.Classes {
		for _, z := range c.v.Zones {
			if moved := c.moved(k.Name, z); moved > c.l.Jump+1e-9 {
				c.find(Jump, k.Name+" in "+z, moved, c.l.Jump)
			}
		}
	}
}

func (c *checker) moved(class, zone string) float64 {
	was, is := c.shares(c.v.Now[class][zone]), c.shares(c.v.Next[class][zone])
	if len(was) == 0 || len(is) == 0 {
		return 0
	}
	up := 0.0
	names := maps.Clone(was)
	maps.Copy(names, is)
	for _, host := range slices.Sorted(maps.Keys(names)) {
		up += math.Abs(is[host] - was[host])
	}
	return up / 2
}
