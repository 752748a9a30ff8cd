// Command simadapter runs balancers on the simulator's wire: what it reads becomes calls on the module of
// the instance concerned, and the module's answers become messages.
package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"

	"barleysail/internal/instance"
	"barleysail/internal/simwire"
	"barleysail/routing"
)

// steward is one instance that the bench has started.
type steward struct {
	*instance.Instance // nil once it was killed
	number             int
	out                *simwire.Writer
	touched            bool
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	met := map[int]*steward{}
	var touched []*steward
	var e simwire.Event
	for {
		if err := r.Next(&e); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if e.Type != simwire.Turn {
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
			if e.Type == simwire.End {
				break
			}
			if e.Type == simwire.Turn {
				return fmt.Errorf("Turn: came inside batch %d", batch)
			}
			number := int(*e.I)
			inst := met[number]
			if e.Type == simwire.Start {
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
			} else if e.Type == simwire.CrashNow {
				inst.Instance = nil
			} else if inst.Instance != nil {
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
			if inst.Instance != nil {
				inst.Round(now, inst)
			}
		}
		if err := w.Done(batch); err != nil {
			return err
		}
	}
}

func start(number int, e *simwire.Event, w *simwire.Writer) (*steward, error) {
	s, err := simwire.ReadSettings(e.Settings)
	if err != nil {
		return nil, err
	}
	inst, err := instance.New(s, *e.Prng)
	if err != nil {
		return nil, err
	}
	return &steward{Instance: inst, number: number, out: w}, nil
}

func place(what string, e *simwire.Event, index func(string) (int, bool), name *string) (int, error) {
	i, ok := index(*name)
	if !ok {
		return 0, fmt.Errorf("%s: %s %q is not in the settings", e.Type, what, *name)
	}
	return i, nil
}

var outcomes = map[string]routing.HealthCheckResult{"success": routing.Healthy, "failure": routing.Rejected, "overloaded": routing.Rejected,
	"timed_out": routing.TimedOut, "unreachable": routing.Unreachable, "broken": routing.Unreachable,
	"withdrawn": routing.Rejected, "void": routing.Rejected}

// note turns one event into its call on the module.
func (n *steward) note(e *simwire.Event) error {
	s := n.Instance
	ms := func(us *int64) float64 { return float64(*us) / 1000 }
	switch e.Type {
	case simwire.Endpoints:
		switch *e.How {
		case simwire.ListFailed:
			s.ObserveWatchFailure()
			return nil
		case simwire.ListFull, simwire.ListCached:
			s.ObserveSnapshot(*e.How == simwire.ListCached)
		case simwire.ListDelta:
			s.ObserveDelta()
		default:
			return fmt.Errorf("Endpoints: field How has the unknown value %d", *e.How)
		}
		for _, rec := range e.Records {
			zone, weight, started, err := 0, 0.0, 0.0, error(nil)
			if rec.Area != nil {
				if zone, err = place("zone", e, n.ZoneIndex, rec.Area); err != nil {
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
			s.ObserveEndpoint(n.HostIndex(*rec.Host), zone, routing.HostState(*rec.Phase), weight, started)
		}
	case simwire.CheckedIn:
		zone, err := place("zone", e, n.ZoneIndex, e.Area)
		if err != nil {
			return err
		}
		s.ConnectProxy(int(*e.Px), zone, *e.W)
	case simwire.Disconnected:
		s.DisconnectProxy(int(*e.Px))
	case simwire.Installed:
		s.Ack(int(*e.Px), int(*e.Number))
	case simwire.Stats:
		if _, err := place("zone", e, n.ZoneIndex, e.Area); err != nil {
			return err
		}
		s.ObserveHostStats(n.HostIndex(*e.Host), int(*e.Count), int(*e.Errors), ms(e.CostTimeUs), ms(e.WindowUs), instance.Load(e.Value))
	case simwire.Arrivals:
		class, err := place("class", e, n.ClassIndex, e.Kind)
		if err != nil {
			return err
		}
		s.ObserveDemand(int(*e.Px), class, int(*e.Count), ms(e.WindowUs))
	case simwire.Health:
		how, ok := outcomes[*e.Ending]
		if !ok {
			return fmt.Errorf("Health: field Ending has the unknown value %q", *e.Ending)
		}
		s.ObserveHealthCheck(n.HostIndex(*e.Host), how, instance.Load(e.Value))
	}
	return nil
}

// The decide.Writer of an instance: indices become ids again.

func (n *steward) SetWeight(table, host int, weight float64) {
	n.out.Weigh(n.number, table, n.HostID(host), weight)
}
func (n *steward) AssignTable(proxy, table, classes int) {
	n.out.AttachTable(n.number, proxy, table, classes)
}
func (n *steward) SetAdmission(table, classes int, share float64, tries int) {
	n.out.Throttle(n.number, table, classes, share, tries)
}
func (n *steward) StampVersion(number int)  { n.out.Seal(n.number, number) }
func (n *steward) CheckHealth(host int)     { n.out.Probe(n.number, n.HostID(host)) }
func (n *steward) ScheduleRound(at float64) { n.out.After(n.number, int64(math.Ceil(at*1000)), 1) }
func (n *steward) WatchEndpoints()          { n.out.Subscribe(n.number) }
func (n *steward) Log(event routing.Event)  { n.out.Remark(n.number, event.Text(routing.HostIndex)) }
