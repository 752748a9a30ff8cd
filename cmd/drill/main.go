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
	"barleysail/internal/instance"
	"barleysail/internal/wire"
)

// steward is one instance that the bench has started.
type steward struct {
	*instance.Instance // nil once it was killed
	number             int
	out                *wire.Writer
	touched            bool
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	r, w := wire.NewReader(in), wire.NewWriter(out)
	met := map[int]*steward{}
	var touched []*steward
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

func start(number int, e *wire.Event, w *wire.Writer) (*steward, error) {
	s, err := wire.ReadSettings(e.Settings)
	if err != nil {
		return nil, err
	}
	inst, err := instance.New(s, *e.Prng)
	if err != nil {
		return nil, err
	}
	return &steward{Instance: inst, number: number, out: w}, nil
}

func place(what string, e *wire.Event, index func(string) (int, bool), name *string) (int, error) {
	i, ok := index(*name)
	if !ok {
		return 0, fmt.Errorf("%s: %s %q is not in the settings", e.Type, what, *name)
	}
	return i, nil
}

var outcomes = map[string]decide.Outcome{"success": decide.Fine, "failure": decide.Refused, "overloaded": decide.Refused,
	"timed_out": decide.Silent, "unreachable": decide.Unreachable, "broken": decide.Unreachable,
	"withdrawn": decide.Refused, "void": decide.Refused}

// note turns one event into its call on the module.
func (n *steward) note(e *wire.Event) error {
	s := n.Instance
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
				if zone, err = place("zone", e, n.Zone, rec.Area); err != nil {
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
			s.Entry(n.Host(*rec.Host), zone, decide.Phase(*rec.Phase), weight, started)
		}
	case wire.CheckedIn:
		zone, err := place("zone", e, n.Zone, e.Area)
		if err != nil {
			return err
		}
		s.Joined(int(*e.Px), zone, *e.W)
	case wire.Disconnected:
		s.Left(int(*e.Px))
	case wire.Installed:
		s.Answered(int(*e.Px), int(*e.Number))
	case wire.Stats:
		if _, err := place("zone", e, n.Zone, e.Area); err != nil {
			return err
		}
		s.Heard(n.Host(*e.Host), int(*e.Count), int(*e.Errors), ms(e.CostTimeUs), ms(e.WindowUs), instance.Load(e.Value))
	case wire.Arrivals:
		class, err := place("class", e, n.Class, e.Kind)
		if err != nil {
			return err
		}
		s.Usage(int(*e.Px), class, int(*e.Count), ms(e.WindowUs))
	case wire.Health:
		how, ok := outcomes[*e.Ending]
		if !ok {
			return fmt.Errorf("Health: field Ending has the unknown value %q", *e.Ending)
		}
		s.Probed(n.Host(*e.Host), how, instance.Load(e.Value))
	}
	return nil
}

// The decide.Writer of an instance: indices become ids again.

func (n *steward) Line(table, host int, weight float64) {
	n.out.Weigh(n.number, table, n.ID(host), weight)
}
func (n *steward) Bind(proxy, table, classes int) {
	n.out.AttachTable(n.number, proxy, table, classes)
}
func (n *steward) Level(table, classes int, share float64, tries int) {
	n.out.Throttle(n.number, table, classes, share, tries)
}
func (n *steward) Mark(number int) { n.out.Seal(n.number, number) }
func (n *steward) Probe(host int)  { n.out.Probe(n.number, n.ID(host)) }
func (n *steward) Wake(at float64) { n.out.After(n.number, int64(math.Ceil(at*1000)), 1) }
func (n *steward) Watch()          { n.out.Subscribe(n.number) }
func (n *steward) Log(text string) { n.out.Remark(n.number, text) }
