package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"barleysail/internal/config"
	"barleysail/solver"
)

func solveCommand() *cobra.Command {
	var asJSON bool
	var doubt solver.Doubt
	c := &cobra.Command{Use: "solve FLEET", Short: "The weights and shares that earn most on a fleet, by file or by a running steward's URL", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, err := fleet(c.Context(), args[0])
			if err != nil {
				return err
			}
			sure := *p
			p.Doubt = doubt
			s, err := p.Solve()
			if err != nil {
				return err
			}
			if err := p.Verify(s); err != nil {
				return err
			}
			if asJSON {
				return printJSON(c.OutOrStdout(), s)
			}
			printSolution(c.OutOrStdout(), p, s)
			if doubt.Spread > 0 {
				sure, err := sure.Solve()
				if err != nil {
					return err
				}
				fmt.Fprintf(c.OutOrStdout(), "\nagainst %d hosts with %.0f%% less than stated: costs %.4f of the result, and leaves %.2f a second at risk\n",
					doubt.Worst, 100*doubt.Spread, sure.Result-s.Result, s.AtRisk)
			}
			return nil
		}}
	c.Flags().Float64Var(&doubt.Spread, "spread", 0, "hosts may have so much less than their stated capacity, as a part of it")
	c.Flags().IntVar(&doubt.Worst, "worst", 1, "so many of them at once")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON, with the weights")
	return c
}

// fleet reads a fleet file, or asks a running steward.
func fleet(ctx context.Context, from string) (*solver.Problem, error) {
	if !strings.HasPrefix(from, "http://") && !strings.HasPrefix(from, "https://") {
		p, _, err := config.LoadFleet(from)
		return p, err
	}
	p := &solver.Problem{}
	if err := newControllerClient(from).get(ctx, "/v1/fleet", p); err != nil {
		return nil, err
	}
	return p, nil
}

// kinds of hosts, in the order of the file, with their first host and their number.
type kind struct {
	name  string
	first solver.Host
	n     int
}

func kinds(p *solver.Problem) []kind {
	var all []kind
	at := map[string]int{}
	for _, h := range p.Hosts {
		key := fmt.Sprintf("%s %s %g cores of %g", h.Zone, h.Kind, h.Cores, h.Speed)
		if h.Draining {
			key += ", draining"
		} else if h.Warm < 1 {
			key += fmt.Sprintf(", %g warm", h.Warm)
		}
		if i, ok := at[key]; ok {
			all[i].n++
			continue
		}
		at[key] = len(all)
		all = append(all, kind{key, h, 1})
	}
	return all
}

func printSolution(out io.Writer, p *solver.Problem, s *solver.Solution) {
	fmt.Fprintf(out, "earns %.1f of %.1f a second asked for; result %.4f; %.1f transactions a second cross zones\n\n", s.Earned, s.Asked,
		s.Result, s.Crossing)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	if p.Goal.Connect > 0 {
		fmt.Fprintf(out, "%d connections, which cost %.4f of the result; no other answer is above %.4f\n\n", s.Connections,
			p.Goal.Connect*float64(s.Connections), s.Bound)
	}
	fmt.Fprint(w, "class\tlet in")
	for _, z := range p.Zones {
		fmt.Fprintf(w, "\tof %s", z)
	}
	fmt.Fprintln(w)
	for _, k := range p.Classes {
		fmt.Fprintf(w, "%s\t%.4f", k.Name, s.Share[k.Name])
		for _, z := range p.Zones {
			fmt.Fprintf(w, "\t%.4f", s.ZoneIn[k.Name][z])
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w, "\nhosts\tnumber\tcap, cores\tused of it\ta core more earns a second")
	for _, k := range kinds(p) {
		fmt.Fprintf(w, "%s\t%d\t%.3f\t%.3f\t%.3f\n", k.name, k.n, p.HostCap(k.first), s.Load[k.first.Name], s.Price[k.first.Name])
	}
	fmt.Fprint(w, "\nshare of a host in the table of")
	for _, z := range p.Zones {
		fmt.Fprintf(w, "\t%s", z)
	}
	fmt.Fprintln(w)
	for _, c := range p.Classes {
		for _, k := range kinds(p) {
			fmt.Fprintf(w, "%s at %s", c.Name, k.name)
			for _, z := range p.Zones {
				fmt.Fprintf(w, "\t%.5f", s.Weights[c.Name][z][k.first.Name])
			}
			fmt.Fprintln(w)
		}
	}
	w.Flush()
	for _, u := range s.Unmet {
		fmt.Fprintln(out, "not met:", u)
	}
}

func planCommand() *cobra.Command {
	var change solver.Change
	var add []string
	c := &cobra.Command{Use: "plan FLEET", Short: "What a change of the fleet or its demand would do", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, pace, err := config.LoadFleet(args[0])
			if err != nil {
				return err
			}
			for i, text := range add {
				h, n, err := added(p, text, i)
				if err != nil {
					return err
				}
				for k := range n {
					h.Name = fmt.Sprintf("added-%d-%d", i, k)
					change.Add = append(change.Add, h)
				}
			}
			return plan(c.OutOrStdout(), p, change, pace)
		}}
	c.Flags().StringSliceVar(&change.Drain, "drain", nil, "hosts to drain")
	c.Flags().StringSliceVar(&change.Lose, "lose", nil, "zones to lose")
	c.Flags().Float64Var(&change.Demand, "demand", 0, "times the demand, as in 1.4")
	c.Flags().StringArrayVar(&add, "add", nil, "HOST:ZONE:COUNT, hosts like one of the file; repeatable")
	return c
}

// added reads hosts to add: like a host or a kind of the file, in a zone, so many.
func added(p *solver.Problem, text string, i int) (solver.Host, int, error) {
	parts := strings.Split(text, ":")
	if len(parts) == 3 {
		n, err := strconv.Atoi(parts[2])
		for _, h := range p.Hosts {
			if err == nil && n > 0 && n <= 100000 && (h.Name == parts[0] || h.Kind == parts[0]) {
				h.Zone, h.Draining, h.Warm = parts[1], false, 1
				return h, n, nil
			}
		}
	}
	return solver.Host{}, 0, fmt.Errorf("--add %s: wanted is a host or kind of the file, a zone and a number, as in full:addis:5", text)
}

// warming tells what is earned while cold hosts warm.
func warming(out io.Writer, p *solver.Problem) error {
	stages, err := p.Warming()
	if err != nil || len(stages) < 2 {
		return err
	}
	fmt.Fprintln(out, "\nwhile cold hosts warm:")
	for _, x := range stages {
		fmt.Fprintf(out, "  after %6.1f s  earns %.1f a second, result %.4f\n", x.At/1000, x.Solution.Earned, x.Solution.Result)
	}
	return nil
}

func plan(out io.Writer, p *solver.Problem, change solver.Change, pace solver.Pace) error {
	q, err := p.With(change)
	if err != nil {
		return err
	}
	before, err := p.Solve()
	if err != nil {
		return err
	}
	after, err := q.Solve()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\tnow\tafter")
	fmt.Fprintf(w, "asked for, a second\t%.1f\t%.1f\n", before.Asked, after.Asked)
	fmt.Fprintf(w, "earned\t%.1f\t%.1f\n", before.Earned, after.Earned)
	fmt.Fprintf(w, "result\t%.4f\t%.4f\n", before.Result, after.Result)
	fmt.Fprintf(w, "crossing, a second\t%.1f\t%.1f\n", before.Crossing, after.Crossing)
	for _, k := range p.Classes {
		fmt.Fprintf(w, "%s let in\t%.4f\t%.4f\n", k.Name, before.Share[k.Name], after.Share[k.Name])
	}
	fmt.Fprintf(w, "hosts at their caps\t%d\t%d\n", len(before.Binding()), len(after.Binding()))
	w.Flush()
	for i, host := range after.Binding() {
		if i == 5 {
			fmt.Fprintf(out, "and %d more\n", len(after.Binding())-i)
			break
		}
		fmt.Fprintf(out, "at its cap: %s; a core more there earns %.2f a second\n", host, after.Price[host])
	}
	if err := warming(out, q); err != nil {
		return err
	}
	if len(change.Drain) == 0 {
		return nil
	}
	steps, err := p.Drain(change.Drain, pace)
	if err != nil {
		return err
	}
	fmt.Fprintln(out, "\nto drain them in order, each step once the one before is through the channel and its grace is over:")
	for _, s := range steps {
		fmt.Fprintf(out, "  after %6.1f s  %s; result %.4f, the fullest host at %.2f of its cap\n", s.At/1000, strings.Join(s.Hosts, ", "),
			s.Result, s.Load)
	}
	return nil
}
