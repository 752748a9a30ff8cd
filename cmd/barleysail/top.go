package main

import (
	"context"
	"time"

	tea "github.com/charmbracelet/bubbletea"
	"github.com/spf13/cobra"

	"barleysail/controller"
)

const (
	topEventsKept  = 200                    // number of the newest events that can be scrolled through
	minTopInterval = 100 * time.Millisecond // lower bound of the interval between queries

	// Size of the terminal until it reports its own.
	defaultTopWidth  = 80
	defaultTopHeight = 24
)

func topCommand() *cobra.Command {
	var interval time.Duration
	cmd := &cobra.Command{
		Use:   "top",
		Short: "Show hosts by load, proxies and events of a running controller, refreshed as they change",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := clientFromFlag(cmd)
			if err != nil {
				return err
			}
			model := topModel{
				interval: max(interval, minTopInterval),
				width:    defaultTopWidth,
				height:   defaultTopHeight,
				fetch: func(last topState) topState {
					return last.next(cmd.Context(), client)
				},
			}
			_, err = tea.NewProgram(model, tea.WithAltScreen(), tea.WithContext(cmd.Context())).Run()
			return err
		},
	}
	cmd.Flags().DurationVar(&interval, "every", time.Second, "time between two queries")
	return cmd
}

// topState is the displayed state of the controller, as of the last query.
type topState struct {
	hosts   []controller.HostInfo
	proxies []controller.ProxyInfo
	events  []controller.Event // the newest last
	status  controller.Status
	err     error // error of the last query; the other fields are then of an earlier one
}

// next queries the controller and returns the new state. After a failed query it returns the old state with the
// error.
func (s topState) next(ctx context.Context, client *controllerClient) topState {
	next, err := queryTopState(ctx, client, s.lastEventNumber())
	if err != nil {
		s.err = err
		return s
	}
	restarted := s.status.Incarnation != "" && next.status.Incarnation != s.status.Incarnation
	if !restarted { // a restarted controller numbers its events from the beginning
		next.events = append(s.events[:len(s.events):len(s.events)], next.events...)
	}
	next.events = next.events[max(len(next.events)-topEventsKept, 0):]
	return next
}

func (s topState) lastEventNumber() int64 {
	if len(s.events) == 0 {
		return 0
	}
	return s.events[len(s.events)-1].Number
}

// queryTopState queries the displayed state, with the events after a number only.
func queryTopState(ctx context.Context, client *controllerClient, afterEvent int64) (state topState, err error) {
	if state.hosts, err = client.hosts(ctx); err != nil {
		return state, err
	}
	if state.proxies, err = client.proxies(ctx); err != nil {
		return state, err
	}
	if state.status, err = client.status(ctx); err != nil {
		return state, err
	}
	state.events, err = client.events(ctx, afterEvent, 0)
	return state, err
}
