package main

import (
	"context"
	"io"

	"github.com/spf13/cobra"

	"barleysail/controller"
)

const followWaitSeconds = 30 // length of one long poll for new events

func eventsCommand() *cobra.Command {
	var follow bool
	cmd := &cobra.Command{
		Use:   "events",
		Short: "Print the events of a controller",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := clientFromFlag(cmd)
			if err != nil {
				return err
			}
			if follow {
				return followEvents(cmd.Context(), cmd.OutOrStdout(), client)
			}
			events, err := client.events(cmd.Context(), 0, 0)
			if err != nil {
				return err
			}
			return printEvents(cmd.OutOrStdout(), events)
		},
	}
	cmd.Flags().BoolVarP(&follow, "follow", "f", false, "print new events as they come, until interrupted")
	return cmd
}

// followEvents prints the known events, then each new one, until a call fails.
func followEvents(ctx context.Context, out io.Writer, client *controllerClient) error {
	lastNumber := int64(0)
	waitSeconds := 0
	for {
		events, err := client.events(ctx, lastNumber, waitSeconds)
		if err != nil {
			return err
		}
		if err := printEvents(out, events); err != nil {
			return err
		}
		if len(events) > 0 {
			lastNumber = events[len(events)-1].Number
		}
		waitSeconds = followWaitSeconds
	}
}

func printEvents(out io.Writer, events []controller.Event) error {
	p := newPrinter(out)
	for _, event := range events {
		p.printf("%s  %-8s %s\n", formatTime(event.AtMs), event.Kind, event.Text)
	}
	return p.flush()
}
