package main

import (
	"context"
	"io"
	"strings"

	"github.com/spf13/cobra"

	"barleysail/internal/config"
	"barleysail/solver"
)

func solveCommand() *cobra.Command {
	var asJSON bool
	var uncertainty solver.Uncertainty
	cmd := &cobra.Command{
		Use:   "solve FLEET",
		Short: "Compute the best weights and admitted shares for a fleet, from a file or a running controller's URL",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			problem, err := loadProblem(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return solveAndPrint(cmd.OutOrStdout(), problem, uncertainty, asJSON)
		},
	}
	flags := cmd.Flags()
	flags.Float64Var(&uncertainty.Spread, "spread", 0, "part of their stated capacity that hosts may lack, as in 0.2")
	flags.IntVar(&uncertainty.DegradedHosts, "worst", 1, "number of hosts that may lack it at once")
	flags.BoolVar(&asJSON, "json", false, "print JSON, with the weights")
	return cmd
}

// loadProblem reads a fleet file, or queries the running controller at a URL.
func loadProblem(ctx context.Context, source string) (*solver.Problem, error) {
	if !strings.HasPrefix(source, "http://") && !strings.HasPrefix(source, "https://") {
		problem, _, err := config.LoadFleet(source)
		return problem, err
	}
	problem := &solver.Problem{}
	if err := newControllerClient(source).get(ctx, "/v1/fleet", problem); err != nil {
		return nil, err
	}
	return problem, nil
}

// solveAndPrint solves a problem under an uncertainty of the hosts' capacities, verifies the solution and prints it.
func solveAndPrint(out io.Writer, problem *solver.Problem, uncertainty solver.Uncertainty, asJSON bool) error {
	certain := *problem
	problem.Uncertainty = uncertainty
	solution, err := problem.Solve()
	if err != nil {
		return err
	}
	if err := problem.Verify(solution); err != nil {
		return err
	}
	if asJSON {
		return printJSON(out, solution)
	}
	if err := printSolution(out, problem, solution); err != nil {
		return err
	}
	if uncertainty.Spread > 0 {
		return printCautionCost(out, &certain, uncertainty, solution)
	}
	return nil
}

// printCautionCost prints the difference in result between a solution under an uncertainty and the solution without
// it.
func printCautionCost(
	out io.Writer, certain *solver.Problem, uncertainty solver.Uncertainty, solution *solver.Solution,
) error {
	unguarded, err := certain.Solve()
	if err != nil {
		return err
	}
	p := newPrinter(out)
	p.printf("\nagainst %d hosts with %.0f%% less than stated: ", uncertainty.DegradedHosts, 100*uncertainty.Spread)
	p.printf("costs %.4f of the result, and leaves %.2f a second at risk\n",
		unguarded.ObjectiveValue-solution.ObjectiveValue, solution.WorstCaseLossPerS)
	return p.flush()
}
