package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"barleysail/internal/config"
	"barleysail/solver"
)

const (
	maxAddedHosts = 100_000 // limit of one --add flag, against typing errors
	maxFullHosts  = 5       // limit of the hosts at capacity that are printed
)

var errAddForm = fmt.Errorf("want HOST:ZONE:COUNT with a host or kind of host of the fleet and a count from 1 to %d, "+
	"as in full:addis:5", maxAddedHosts)

func planCommand() *cobra.Command {
	var change solver.Change
	var additions []string
	cmd := &cobra.Command{
		Use:   "plan FLEET",
		Short: "Predict the effect of a change of the fleet or its demand",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			problem, pace, err := config.LoadFleet(args[0])
			if err != nil {
				return err
			}
			for i, addition := range additions {
				hosts, err := addedHosts(problem, addition, i)
				if err != nil {
					return fmt.Errorf("--add %s: %w", addition, err)
				}
				change.AddHosts = append(change.AddHosts, hosts...)
			}
			return printPlan(cmd.OutOrStdout(), problem, change, pace)
		},
	}
	flags := cmd.Flags()
	flags.StringSliceVar(&change.DrainHosts, "drain", nil, "hosts to drain")
	flags.StringSliceVar(&change.LoseZones, "lose", nil, "zones to lose")
	flags.Float64Var(&change.DemandFactor, "demand", 0, "factor of the demand, as in 1.4")
	flags.StringArrayVar(&additions, "add", nil, "HOST:ZONE:COUNT, hosts to add that are like one of the file; repeatable")
	return cmd
}

// addedHosts returns the hosts of one --add flag, HOST:ZONE:COUNT, where HOST is a host or a kind of host of the
// fleet. flagNumber makes their names unique.
func addedHosts(problem *solver.Problem, addition string, flagNumber int) ([]solver.Host, error) {
	parts := strings.Split(addition, ":")
	if len(parts) != 3 {
		return nil, errAddForm
	}
	nameOrKind := parts[0]
	zone := parts[1]
	count, err := strconv.Atoi(parts[2])
	if err != nil || count <= 0 || count > maxAddedHosts {
		return nil, errAddForm
	}
	model, found := findHost(problem, nameOrKind)
	if !found {
		return nil, errAddForm
	}
	var hosts []solver.Host
	for i := range count {
		host := model
		host.Name = fmt.Sprintf("added-%d-%d", flagNumber, i)
		host.Zone = zone
		host.Draining = false
		host.WarmFraction = 1
		hosts = append(hosts, host)
	}
	return hosts, nil
}

// findHost returns the first host with a name or kind.
func findHost(problem *solver.Problem, nameOrKind string) (solver.Host, bool) {
	for _, host := range problem.Hosts {
		if host.Name == nameOrKind || host.Kind == nameOrKind {
			return host, true
		}
	}
	return solver.Host{}, false
}

// printPlan prints the solution for a fleet before and after a change, how it improves while hosts warm up, and the
// steps of a drain.
func printPlan(out io.Writer, problem *solver.Problem, change solver.Change, pace solver.DrainPace) error {
	changed, err := problem.With(change)
	if err != nil {
		return err
	}
	before, err := problem.Solve()
	if err != nil {
		return err
	}
	after, err := changed.Solve()
	if err != nil {
		return err
	}
	if err := printEffect(out, problem, before, after); err != nil {
		return err
	}
	if err := printFullHosts(out, after); err != nil {
		return err
	}
	if err := printWarmUp(out, changed); err != nil {
		return err
	}
	if len(change.DrainHosts) == 0 {
		return nil
	}
	steps, err := problem.PlanDrain(change.DrainHosts, pace)
	if err != nil {
		return err
	}
	return printDrainSteps(out, steps)
}

func printEffect(out io.Writer, problem *solver.Problem, before, after *solver.Solution) error {
	columns := newColumnPrinter(out)
	columns.println("\tnow\tafter")
	columns.printf("asked for, a second\t%.1f\t%.1f\n", before.DemandEarningsPerS, after.DemandEarningsPerS)
	columns.printf("earned\t%.1f\t%.1f\n", before.EarningsPerS, after.EarningsPerS)
	columns.printf("result\t%.4f\t%.4f\n", before.ObjectiveValue, after.ObjectiveValue)
	columns.printf("crossing, a second\t%.1f\t%.1f\n", before.CrossZoneRate, after.CrossZoneRate)
	for _, class := range problem.Classes {
		columns.printf("%s let in\t%.4f\t%.4f\n", class.Name, before.AdmissionRatio[class.Name],
			after.AdmissionRatio[class.Name])
	}
	columns.printf("hosts at their caps\t%d\t%d\n", len(before.BindingHosts()), len(after.BindingHosts()))
	return columns.flush()
}

// printFullHosts prints the hosts at capacity, sorted by the gain of a further core, the largest first.
func printFullHosts(out io.Writer, solution *solver.Solution) error {
	p := newPrinter(out)
	fullHosts := solution.BindingHosts()
	for i, host := range fullHosts {
		if i == maxFullHosts {
			p.printf("and %d more\n", len(fullHosts)-i)
			break
		}
		p.printf("at its cap: %s; a core more there earns %.2f a second\n", host, solution.DualPrice[host])
	}
	return p.flush()
}

// printWarmUp prints the result at each stage of the hosts' slow start, or nothing if no host is warming up.
func printWarmUp(out io.Writer, problem *solver.Problem) error {
	stages, err := problem.WarmUpStages()
	if err != nil || len(stages) < 2 {
		return err
	}
	p := newPrinter(out)
	p.println("\nwhile cold hosts warm:")
	for _, stage := range stages {
		p.printf("  after %6.1f s  earns %.1f a second, result %.4f\n", seconds(stage.AtMs), stage.Solution.EarningsPerS,
			stage.Solution.ObjectiveValue)
	}
	return p.flush()
}

func printDrainSteps(out io.Writer, steps []solver.DrainStep) error {
	p := newPrinter(out)
	p.println("\nto drain them in order, each step once the previous one is sent to the proxies and its grace has passed:")
	for _, step := range steps {
		p.printf("  after %6.1f s  %s; result %.4f, the fullest host at %.2f of its cap\n", seconds(step.AtMs),
			strings.Join(step.Hosts, ", "), step.ObjectiveValue, step.PeakUtilization)
	}
	return p.flush()
}
