// Command drill runs decision modules on the simulator's wire: what it reads becomes calls on the module of
// the instance concerned, and the module's answers become messages.
package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"

	"barleysail/decide"
	"barleysail/internal/wire"
)

// instance is one steward with the ids that it knows, mapped to small indices in the order they were first
// met.
type instance struct {
	number  int
	steward *decide.Steward
	out     *wire.Writer
	zones   map[string]int
	classes map[string]int
	index   map[string]int
	hosts   []string
	touched bool
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	met := map[int]*instance{}
	var touched []*instance
	var e wire.Event
	for {
		if err := r.Next(&e); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if e.Type != wire.Turn {
			return fmt.Errorf("%s: came outside a batch", e.Type)
		}
		now, batch := float64(*e.SimTimeUs)/1000, *e.Turn
		touched = touched[:0]
		for {
			if err := r.Next(&e); errors.Is(err, io.EOF) {
				return fmt.Errorf("batch %d: input ended inside it", batch)
			} else if err != nil {
				return err
			}
			if e.Type == wire.End {
				break
			}
			if e.Type == wire.Turn {
				return fmt.Errorf("Turn: came inside batch %d", batch)
			}
			number := int(*e.I)
			inst := met[number]
			if e.Type == wire.Start {
				fresh, err := start(number, &e, w)
				if err != nil {
					return err
				}
				if inst == nil {
					inst = fresh
					met[number] = inst
				} else {
					fresh.touched = inst.touched
					*inst = *fresh
				}
			} else if inst == nil {
				return fmt.Errorf("%s: instance %d never started", e.Type, number)
			} else if e.Type == wire.CrashNow {
				inst.steward = nil
			} else if inst.steward != nil {
				if err := inst.note(&e); err != nil {
					return err
				}
			}
			if !inst.touched {
				inst.touched = true
				touched = append(touched, inst)
			}
		}
		for _, inst := range touched {
			inst.touched = false
			if inst.steward != nil {
				inst.steward.Round(now, inst)
			}
		}
		if err := w.Done(batch); err != nil {
			return err
		}
	}
}

func start(number int, e *wire.Event, w *wire.Writer) (*instance, error) {
	s, err := wire.ReadSettings(e.Settings)
	if err != nil {
		return nil, err
	}
	if s.FamilyInfo.Shards > 0 {
		return nil, fmt.Errorf("Start: setting FamilyInfo.Shards is %d: slices are not served yet", s.FamilyInfo.Shards)
	}
	inst := &instance{number: number, out: w, zones: map[string]int{}, classes: map[string]int{}, index: map[string]int{}}
	for i, z := range s.FailureDomains {
		inst.zones[z] = i
	}
	f, r := &s.FamilyInfo, &s.Rules
	var classes []decide.Class
	for i, c := range s.Services {
		inst.classes[c.Name] = i
		classes = append(classes, decide.Class{Due: *c.AimUs / 1000, Patience: *c.HardLimitUs / 1000,
			Earnings: *c.Value, Local: i < len(f.StaysLocal) && f.StaysLocal[i]})
	}
	inst.steward = decide.New(
		decide.Fleet{Instances: *s.Instances, Zones: len(s.FailureDomains), Proxies: *f.DataPlaneSize, Seed: *e.Prng,
			Period: *f.IntervalUs / 1000, Ejects: f.Ejects, UsualTries: f.RetryDefault,
			Admits: f.Admission == wire.AdmitShare, MayProbe: s.Limits.MayProbe, MustAsk: s.Discovery == wire.Subscribed},
		classes,
		decide.Channel{LinesPerS: *f.ChannelRate, Head: *f.PerMessage, MostWaiting: *f.MostWaiting, Late: f.LateUs / 1000,
			MessagesMost: f.MessagesMost, MessagesOver: f.UpdateWindowUs / 1000, Price: f.OrderPrice},
		decide.Guard{Bare: *f.BareUs / 1000, Grace: *r.StopSendingWithinUs / 1000, ColdFrom: *r.ColdFrom, Cold: *r.ColdUs / 1000,
			FallMultiple: *r.FallMultiple},
		decide.Goal{Whole: s.ScoreParts.Whole + s.ScoreParts.WorstWindow, WorstClass: s.ScoreParts.WorstClass,
			ProbePrice: s.Prices.Probe})
	return inst, nil
}

func (n *instance) host(id string) int {
	i, ok := n.index[id]
	if !ok {
		i = len(n.hosts)
		n.index[id] = i
		n.hosts = append(n.hosts, id)
	}
	return i
}

func place(what string, e *wire.Event, index map[string]int, name *string) (int, error) {
	i, ok := index[*name]
	if !ok {
		return 0, fmt.Errorf("%s: %s %q is not in the settings", e.Type, what, *name)
	}
	return i, nil
}

var outcomes = map[string]decide.Outcome{"success": decide.Fine, "failure": decide.Refused, "overloaded": decide.Refused,
	"timed_out": decide.Silent, "unreachable": decide.Unreachable, "broken": decide.Unreachable,
	"withdrawn": decide.Refused, "void": decide.Refused}

func load(e *wire.Event) decide.Load {
	return decide.Load{Util: e.Value("util"), Rate: e.Value("qps"), Queue: e.Value("queue")}
}

// note turns one event into its call on the module.
func (n *instance) note(e *wire.Event) error {
	s := n.steward
	ms := func(us *int64) float64 { return float64(*us) / 1000 }
	switch e.Type {
	case wire.Endpoints:
		switch *e.How {
		case wire.ListFailed:
			s.ListFailed()
			return nil
		case wire.ListFull, wire.ListCached:
			s.WholeList(*e.How == wire.ListCached)
		case wire.ListDelta:
			s.ListChange()
		default:
			return fmt.Errorf("Endpoints: field How has the unknown value %d", *e.How)
		}
		for _, rec := range e.Records {
			zone, weight, started, err := 0, 0.0, 0.0, error(nil)
			if rec.Area != nil {
				if zone, err = place("zone", e, n.zones, rec.Area); err != nil {
					return err
				}
			}
			if rec.W != nil {
				weight = *rec.W
			}
			if rec.LaunchedUs != nil {
				started = ms(rec.LaunchedUs)
			}
			if *rec.Phase < 0 || *rec.Phase > 2 || weight < 0 {
				return fmt.Errorf("Endpoints: entry %s has an odd Phase or W", *rec.Host)
			}
			s.Entry(n.host(*rec.Host), zone, decide.Phase(*rec.Phase), weight, started)
		}
	case wire.CheckedIn:
		zone, err := place("zone", e, n.zones, e.Area)
		if err != nil {
			return err
		}
		s.Joined(int(*e.Px), zone, *e.W)
	case wire.Disconnected:
		s.Left(int(*e.Px))
	case wire.Installed:
		s.Answered(int(*e.Number))
	case wire.Stats:
		if _, err := place("zone", e, n.zones, e.Area); err != nil {
			return err
		}
		s.Heard(n.host(*e.Host), int(*e.Count), int(*e.Errors), ms(e.CostTimeUs), ms(e.WindowUs), load(e))
	case wire.Arrivals:
		class, err := place("class", e, n.classes, e.Kind)
		if err != nil {
			return err
		}
		s.Usage(int(*e.Px), class, int(*e.Count), ms(e.WindowUs))
	case wire.Health:
		how, ok := outcomes[*e.Ending]
		if !ok {
			return fmt.Errorf("Health: field Ending has the unknown value %q", *e.Ending)
		}
		s.Probed(n.host(*e.Host), how, load(e))
	}
	return nil
}

// The decide.Writer of an instance: indices become ids again.

func (n *instance) Line(table, host int, weight float64) {
	n.out.Weigh(n.number, table, n.hosts[host], weight)
}
func (n *instance) Bind(proxy, table, classes int) {
	n.out.AttachTable(n.number, proxy, table, classes)
}
func (n *instance) Level(table, classes int, share float64, tries int) {
	n.out.Throttle(n.number, table, classes, share, tries)
}
func (n *instance) Mark(number int) { n.out.Seal(n.number, number) }
func (n *instance) Probe(host int)  { n.out.Probe(n.number, n.hosts[host]) }
func (n *instance) Wake(at float64) { n.out.After(n.number, int64(math.Ceil(at*1000)), 1) }
func (n *instance) Watch()          { n.out.Subscribe(n.number) }
func (n *instance) Log(text string) { n.out.Remark(n.number, text) }
