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

// LoadFleet reads and checks a fleet file: the solver's problem, and the limits of the changes that carry out a plan.
func LoadFleet(file string) (*solver.Problem, solver.DrainPace, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, solver.DrainPace{}, fmt.Errorf("reading the fleet: %w", err)
	}
	parsed := &configpb.FleetFile{}
	if err := prototext.Unmarshal(text, parsed); err != nil {
		return nil, solver.DrainPace{}, parseError(file, err)
	}
	c := fleetDefaults()
	proto.Merge(c, parsed)
	v := validator{file: file, lines: fieldLines(text)}
	v.checkRange("whole", *c.Whole, 0, 1)
	v.checkRange("worst_class", *c.WorstClass, 0, 1)
	v.checkRange("cross_price", *c.CrossPrice, 0, 1000)
	v.checkRange("deadline", *c.Deadline, 0, 1000)
	v.checkRange("lines_per_s", *c.LinesPerS, 1, 1e9)
	v.checkRange("grace_ms", *c.GraceMs, 0, hourMs)
	problem := &solver.Problem{
		Zones:         c.Zones,
		DeadlineMeans: *c.Deadline,
		Demand:        map[string]map[string]float64{},
		Objective: solver.Objective{
			TotalWeight: *c.Whole, WorstClassWeight: *c.WorstClass,
			CrossZoneCost: *c.CrossPrice, ConnectionCost: c.ConnectPrice,
		},
		Proxies: map[string]int{},
	}
	v.checkRange("connect_price", c.ConnectPrice, 0, 1000)
	v.checkIntRange("proxies", *c.Proxies, 0, 1e6)
	proxies := int(*c.Proxies)
	for i, zone := range c.Zones { // evenly, the remainder to the first zones
		problem.Proxies[zone] = proxies/len(c.Zones) + min(max(proxies%len(c.Zones)-i, 0), 1)
	}
	if len(c.ProxiesOf) > 0 {
		proxies, problem.Proxies = 0, map[string]int{}
		for zone, count := range c.ProxiesOf {
			problem.Proxies[zone] = int(count)
			proxies += int(count)
		}
	}
	for i, class := range c.Classes {
		if class.WorkMs == nil {
			v.fail(fmt.Sprintf("classes[%d].work_ms", i), "is missing")
		}
		problem.Classes = append(problem.Classes, solver.Class{
			Name: class.Name, Earnings: valueOr(class.Earnings, 1), WorkMs: class.GetWorkMs(),
			MinAdmissionRatio: class.Least, ZoneLocal: class.Local,
		})
	}
	for i, hosts := range c.Hosts {
		v.addHosts(problem, i, hosts)
	}
	for i, demand := range c.Demand {
		v.checkRange(fmt.Sprintf("demand[%d].rate", i), demand.Rate, 0, 1e12)
		if problem.Demand[demand.Class] == nil {
			problem.Demand[demand.Class] = map[string]float64{}
		}
		problem.Demand[demand.Class][demand.Zone] += demand.Rate
	}
	if v.err == nil {
		v.checkSolvable(problem)
	}
	pace := solver.DrainPace{
		Proxies:         proxies,
		EntriesPerS:     *c.LinesPerS,
		MessageOverhead: *c.HeadLines,
		GraceMs:         *c.GraceMs,
	}
	return problem, pace, v.err
}

// fleetDefaults returns the defaults of the fields of a fleet file that may be left out. config.proto documents them.
func fleetDefaults() *configpb.FleetFile {
	f64 := proto.Float64
	return &configpb.FleetFile{Whole: f64(0.75), WorstClass: f64(0.1), CrossPrice: f64(0.01), Deadline: f64(3.2),
		Proxies: proto.Int32(8), LinesPerS: f64(7000), HeadLines: f64(6), GraceMs: f64(3000)}
}

// checkSolvable solves the problem, and adds the file and the line to the solver's error.
func (v *validator) checkSolvable(problem *solver.Problem) {
	if _, err := problem.Solve(); err != nil {
		var fault *solver.FieldError
		if errors.As(err, &fault) {
			v.fail(fault.Field, "%s", fault.Reason)
		} else {
			v.err = fmt.Errorf("%s: %w", v.file, err)
		}
	}
}

// Defaults of hosts in a fleet file.
const (
	defaultCores  = 4
	defaultSpeed  = 1
	defaultWarmth = 1 // fraction of the capacity that a host has now
)

// addHosts checks an entry of the fleet file and adds its hosts to the problem.
func (v *validator) addHosts(problem *solver.Problem, index int, entry *configpb.FleetHosts) {
	path := fmt.Sprintf("hosts[%d]", index)
	count := int32(1)
	if entry.Count != nil {
		count = *entry.Count
	}
	v.checkIntRange(path+".count", count, 0, 100000)
	v.checkRange(path+".cores", valueOr(entry.Cores, defaultCores), 0, 1e9)
	v.checkRange(path+".speed", valueOr(entry.Speed, defaultSpeed), 0, 1e9)
	v.checkRange(path+".warm", valueOr(entry.Warm, defaultWarmth), 0, 1)
	v.checkRange(path+".most", entry.Most, 0, 1)
	v.checkRange(path+".warm_in_ms", entry.WarmInMs, 0, hourMs)
	if v.err != nil {
		return
	}
	name := entry.Name
	if name == "" {
		name = entry.Zone + "-" + entry.Kind
	}
	for number := range count {
		host := solver.Host{
			Name: name, Zone: entry.Zone, Kind: entry.Kind,
			Cores: valueOr(entry.Cores, defaultCores), Speed: valueOr(entry.Speed, defaultSpeed),
			WarmFraction: valueOr(entry.Warm, defaultWarmth), Draining: entry.Draining, MaxUtilization: entry.Most,
			WarmUpMs: entry.WarmInMs, WorkFactor: map[string]float64{},
		}
		if count > 1 || entry.Name == "" {
			host.Name = fmt.Sprintf("%s-%d", name, number)
		}
		for _, factor := range entry.Factors {
			host.WorkFactor[factor.Class] = factor.Times
		}
		problem.Hosts = append(problem.Hosts, host)
	}
}

// valueOr returns the value of an optional field, or the default if it is not set.
func valueOr(field *float64, defaultValue float64) float64 {
	if field == nil {
		return defaultValue
	}
	return *field
}
