package main

import (
	"errors"
	"fmt"
	"io"

	"barleysail/solver"
)

// hostGroup is a group of equal hosts: of the same zone, kind, size and state.
type hostGroup struct {
	name  string
	first solver.Host // represents the group
	count int
}

// groupHosts groups the equal hosts of a fleet, in the order of the fleet.
func groupHosts(problem *solver.Problem) []hostGroup {
	var groups []hostGroup
	indexOf := map[string]int{}
	for _, host := range problem.Hosts {
		name := groupName(host)
		if i, known := indexOf[name]; known {
			groups[i].count++
			continue
		}
		indexOf[name] = len(groups)
		groups = append(groups, hostGroup{name: name, first: host, count: 1})
	}
	return groups
}

func groupName(host solver.Host) string {
	name := fmt.Sprintf("%s %s %g cores of %g", host.Zone, host.Kind, host.Cores, host.Speed)
	if host.Draining {
		return name + ", draining"
	}
	if host.WarmFraction < 1 {
		return name + fmt.Sprintf(", %g warm", host.WarmFraction)
	}
	return name
}

// printSolution prints a solution: its result, the admitted shares, the load of hosts, and their weights.
func printSolution(out io.Writer, problem *solver.Problem, solution *solver.Solution) error {
	p := newPrinter(out)
	p.printf("earns %.1f of %.1f a second asked for; result %.4f; %.1f transactions a second cross zones\n\n",
		solution.EarningsPerS, solution.DemandEarningsPerS, solution.ObjectiveValue, solution.CrossZoneRate)
	if cost := problem.Objective.ConnectionCost; cost > 0 {
		p.printf("%d connections, which cost %.4f of the result; no other answer is above %.4f\n\n", solution.Connections,
			cost*float64(solution.Connections), solution.UpperBound)
	}
	groups := groupHosts(problem)
	columns := newColumnPrinter(out)
	printShares(columns, problem, solution)
	printLoads(columns, problem, solution, groups)
	printWeights(columns, problem, solution, groups)
	if err := errors.Join(p.flush(), columns.flush()); err != nil {
		return err
	}
	for _, unmet := range solution.UnmetMinimums {
		p.println("not met:", unmet)
	}
	return p.flush()
}

// printZones prints the zones as the last column heads of a line.
func printZones(columns *printer, problem *solver.Problem, format string) {
	for _, zone := range problem.Zones {
		columns.printf(format, zone)
	}
	columns.println()
}

// printShares prints the admitted share of each request class, in total and by zone of the proxies.
func printShares(columns *printer, problem *solver.Problem, solution *solver.Solution) {
	columns.printf("class\tlet in")
	printZones(columns, problem, "\tof %s")
	for _, class := range problem.Classes {
		columns.printf("%s\t%.4f", class.Name, solution.AdmissionRatio[class.Name])
		for _, zone := range problem.Zones {
			columns.printf("\t%.4f", solution.ZoneAdmissionRatio[class.Name][zone])
		}
		columns.println()
	}
}

// printLoads prints the capacity of each group's hosts, the fraction in use, and the gain of a further core.
func printLoads(columns *printer, problem *solver.Problem, solution *solver.Solution, groups []hostGroup) {
	columns.println("\nhosts\tnumber\tcap, cores\tused of it\ta core more earns a second")
	for _, group := range groups {
		name := group.first.Name
		columns.printf("%s\t%d\t%.3f\t%.3f\t%.3f\n", group.name, group.count, problem.HostCapacity(group.first),
			solution.Utilization[name], solution.DualPrice[name])
	}
}

// printWeights prints the weight of one host of each group, by request class and zone of the proxies.
func printWeights(columns *printer, problem *solver.Problem, solution *solver.Solution, groups []hostGroup) {
	columns.printf("\nshare of a host in the table of")
	printZones(columns, problem, "\t%s")
	for _, class := range problem.Classes {
		for _, group := range groups {
			columns.printf("%s at %s", class.Name, group.name)
			for _, zone := range problem.Zones {
				columns.printf("\t%.5f", solution.Weights[class.Name][zone][group.first.Name])
			}
			columns.println()
		}
	}
}
