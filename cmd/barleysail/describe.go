package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"barleysail/controller"
)

func describeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "describe host NAME",
		Short: "Explain the weight of a host",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if args[0] != "host" {
				return fmt.Errorf("describe %s: unknown resource, want host", args[0])
			}
			client, err := clientFromFlag(cmd)
			if err != nil {
				return err
			}
			host, err := client.host(cmd.Context(), args[1])
			if err != nil {
				return err
			}
			return describeHost(cmd.OutOrStdout(), host)
		},
	}
}

// describeHost prints the inputs of a host's weight, its health, and its last weight changes.
func describeHost(out io.Writer, host controller.HostInfo) error {
	p := newPrinter(out)
	p.printf("%s of zone %s is %s\n", host.Host, host.Zone, hostState(host))
	if host.Override != nil {
		p.printf("operator      %s\n", formatOverride(host.Override))
	}
	describeWeight(p, host)
	describeHealth(p, host)
	for _, change := range host.WeightChanges {
		p.printf("%s  weight %s to %s; arrival rate %s/s, mean latency %s ms, capacity %s/s\n",
			formatTime(change.AtMs), formatNumber(change.From), formatNumber(change.To),
			formatNumber(change.ArrivalRate), formatNumber(change.MeanLatencyMs),
			formatNumber(change.Capacity))
	}
	return p.flush()
}

// describeWeight prints the weight of a host and the terms of the capacity formula.
func describeWeight(p *printer, host controller.HostInfo) {
	why := host.Explanation
	p.printf("weight        %s published, target %s; rebalanced to %s, listed %s\n",
		formatNumber(host.Weight), formatNumber(why.TargetWeight), formatNumber(why.Weight), formatNumber(host.BaseWeight))
	p.printf("load          arrival rate %s/s, mean latency %s ms (median of all hosts %s ms)\n",
		formatNumber(why.ArrivalRate), formatNumber(why.MeanLatencyMs), formatNumber(why.MedianLatencyMs))
	headroom := why.Capacity - why.ArrivalRate
	label := "headroom"
	if headroom < 0 {
		label = "overload"
		headroom = -headroom
	}
	p.printf("capacity      mu %s/s - K %s/s = %s/s; %s %s/s\n", formatNumber(why.ServiceRate),
		formatNumber(why.LatencyMargin), formatNumber(why.Capacity), label, formatNumber(headroom))
}

// describeHealth prints the load report, attempts and health checks of a host, and its slow start and recovery ramp.
func describeHealth(p *printer, host controller.HostInfo) {
	why := host.Explanation
	p.printf("reported      utilization %s, queue length %s\n",
		formatNumber(why.Load.Utilization), formatNumber(why.Load.QueueLength))
	p.printf("attempts      %s fulfilled, %s failed recently\n", formatNumber(why.Successes), formatNumber(why.Failures))
	p.printf("health checks %d successes in a row, %d failures in a row; ejected: %v\n",
		why.ConsecutiveSuccesses, why.ConsecutiveFailures, why.Ejected)
	if why.SlowStartFactor < 1 {
		p.printf("slow start    %.0f%% of its capacity now\n", 100*why.SlowStartFactor)
	}
	if why.RecoveryFactor < 1 {
		p.printf("recovery ramp %.0f%% of its weight\n", 100*why.RecoveryFactor)
	}
	if !why.Balanced {
		p.println("excluded from rebalancing now")
	}
}
