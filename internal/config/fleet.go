package config

import (
	"errors"
	"fmt"
	"os"

	"google.golang.org/protobuf/encoding/prototext"
	"google.golang.org/protobuf/proto"

	"barleysail/internal/config/configpb"
	"barleysail/solver"
)

// LoadFleet reads a fleet file: the solver's problem, and the pace of changes.
func LoadFleet(file string) (*solver.Problem, solver.DrainPace, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, solver.DrainPace{}, fmt.Errorf("reading the fleet: %w", err)
	}
	set := &configpb.FleetFile{}
	if err := prototext.Unmarshal(text, set); err != nil {
		return nil, solver.DrainPace{}, wrong(file, err)
	}
	p := proto.Float64
	c := &configpb.FleetFile{Whole: p(0.75), WorstClass: p(0.1), CrossPrice: p(0.01), Deadline: p(3.2), Proxies: proto.Int32(8),
		LinesPerS: p(7000), HeadLines: p(6), GraceMs: p(3000)}
	proto.Merge(c, set)
	f := fields{file: file, at: locate(text)}
	f.within("whole", *c.Whole, 0, 1)
	f.within("worst_class", *c.WorstClass, 0, 1)
	f.within("cross_price", *c.CrossPrice, 0, 1000)
	f.within("deadline", *c.Deadline, 0, 1000)
	f.within("lines_per_s", *c.LinesPerS, 1, 1e9)
	f.within("grace_ms", *c.GraceMs, 0, hour)
	q := &solver.Problem{Zones: c.Zones, DeadlineMeans: *c.Deadline, Demand: map[string]map[string]float64{},
		Objective: solver.Objective{TotalWeight: *c.Whole, WorstClassWeight: *c.WorstClass, CrossZoneCost: *c.CrossPrice, ConnectionCost: c.ConnectPrice}, Proxies: map[string]int{}}
	f.within("connect_price", c.ConnectPrice, 0, 1000)
	f.whole("proxies", *c.Proxies, 0, 1e6)
	proxies := int(*c.Proxies)
	for i, z := range c.Zones {
		q.Proxies[z] = proxies/len(c.Zones) + min(max(proxies%len(c.Zones)-i, 0), 1)
	}
	if len(c.ProxiesOf) > 0 {
		proxies, q.Proxies = 0, map[string]int{}
		for z, n := range c.ProxiesOf {
			q.Proxies[z] = int(n)
			proxies += int(n)
		}
	}
	for i, k := range c.Classes {
		if k.WorkMs == nil {
			f.fail(fmt.Sprintf("classes[%d].work_ms", i), "is missing")
		}
		q.Classes = append(q.Classes, solver.Class{Name: k.Name, Earnings: or(k.Earnings, 1), WorkMs: k.GetWorkMs(), MinAdmissionRatio: k.Least, ZoneLocal: k.Local})
	}
	for i, h := range c.Hosts {
		f.hosts(q, i, h)
	}
	for i, d := range c.Demand {
		f.within(fmt.Sprintf("demand[%d].rate", i), d.Rate, 0, 1e12)
		if q.Demand[d.Class] == nil {
			q.Demand[d.Class] = map[string]float64{}
		}
		q.Demand[d.Class][d.Zone] += d.Rate
	}
	if f.err == nil {
		f.refused(q)
	}
	return q, solver.DrainPace{Proxies: proxies, EntriesPerS: *c.LinesPerS, MessageOverhead: *c.HeadLines, GraceMs: *c.GraceMs}, f.err
}

// refused words what the solver refuses of a problem with file and line.
func (f *fields) refused(q *solver.Problem) {
	if _, err := q.Solve(); err != nil {
		var fault *solver.FieldError
		if errors.As(err, &fault) {
			f.fail(fault.Field, "%s", fault.Reason)
		} else {
			f.err = fmt.Errorf("%s: %w", f.file, err)
		}
	}
}

// hosts adds the hosts of an entry.
func (f *fields) hosts(q *solver.Problem, i int, h *configpb.FleetHosts) {
	at := fmt.Sprintf("hosts[%d]", i)
	n := int32(1)
	if h.Count != nil {
		n = *h.Count
	}
	f.whole(at+".count", n, 0, 100000)
	f.within(at+".cores", or(h.Cores, 4), 0, 1e9)
	f.within(at+".speed", or(h.Speed, 1), 0, 1e9)
	f.within(at+".warm", or(h.Warm, 1), 0, 1)
	f.within(at+".most", h.Most, 0, 1)
	f.within(at+".warm_in_ms", h.WarmInMs, 0, hour)
	if f.err != nil {
		return
	}
	name := h.Name
	if name == "" {
		name = h.Zone + "-" + h.Kind
	}
	for k := range n {
		x := solver.Host{Name: name, Zone: h.Zone, Kind: h.Kind, Cores: or(h.Cores, 4), Speed: or(h.Speed, 1), WarmFraction: or(h.Warm, 1),
			Draining: h.Draining, MaxUtilization: h.Most, WarmUpMs: h.WarmInMs, WorkFactor: map[string]float64{}}
		if n > 1 || h.Name == "" {
			x.Name = fmt.Sprintf("%s-%d", name, k)
		}
		for _, v := range h.Factors {
			x.WorkFactor[v.Class] = v.Times
		}
		q.Hosts = append(q.Hosts, x)
	}
}

func or(x *float64, without float64) float64 {
	if x == nil {
		return without
	}
	return *x
}
