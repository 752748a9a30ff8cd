package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/spf13/cobra"

	"barleysail/controller"
)

func diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff CONTROLLER OTHER",
		Short: "Compare the weights and states of hosts at two controllers; exit code 5 where they differ",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			one := newControllerClient(args[0])
			other := newControllerClient(args[1])
			differing, err := printDifferences(cmd.Context(), cmd.OutOrStdout(), one, other)
			if err != nil {
				return err
			}
			if differing > 0 {
				return &exitError{exitDiffers, fmt.Errorf("%d weights differ", differing)}
			}
			return nil
		},
	}
}

// hostPair is the weight and state of a host at each of two controllers; empty: the controller does not know the host.
type hostPair struct{ one, other string }

// printDifferences prints the hosts whose weight or state differs at two controllers, and returns their number.
func printDifferences(ctx context.Context, out io.Writer, one, other *controllerClient) (int, error) {
	hostsOfOne, err := one.hosts(ctx)
	if err != nil {
		return 0, err
	}
	hostsOfOther, err := other.hosts(ctx)
	if err != nil {
		return 0, err
	}
	pairs := pairHosts(hostsOfOne, hostsOfOther)
	differing := 0
	columns := newColumnPrinter(out)
	for _, host := range slices.Sorted(maps.Keys(pairs)) {
		pair := pairs[host]
		if pair.one != pair.other {
			differing++
			columns.printf("%s\t%s\t%s\n", host, pair.one, pair.other)
		}
	}
	return differing, columns.flush()
}

func pairHosts(one, other []controller.HostInfo) map[string]hostPair {
	pairs := map[string]hostPair{}
	for _, host := range one {
		pairs[host.Host] = hostPair{one: weightAndState(host)}
	}
	for _, host := range other {
		pair := pairs[host.Host]
		pair.other = weightAndState(host)
		pairs[host.Host] = pair
	}
	return pairs
}

func weightAndState(host controller.HostInfo) string {
	return formatNumber(host.Weight) + " " + hostState(host)
}
