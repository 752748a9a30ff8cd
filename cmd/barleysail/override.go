package main

import (
	"errors"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// Names of override states in the controller's API.
const (
	overrideDrain = "drain"
	overrideMaint = "maint"
	overrideReady = "ready"
)

const zonePrefix = "zone=" // prefix of a zone in place of a host, for all of its hosts

var errWeightMissing = errors.New("want a weight, a percentage of the listed weight, or --clear")

// overrideRequest sets or removes an operator's override of a host, or of all hosts of a zone. It is the request body
// of the controller's API.
type overrideRequest struct {
	By     string   `json:"by"`
	Clear  bool     `json:"clear,omitempty"`  // remove the override of the weight
	ForMs  float64  `json:"for_ms"`           // ms after which the override expires; 0: never
	Part   *float64 `json:"part,omitempty"`   // factor of the listed weight
	State  string   `json:"state,omitempty"`  // empty: unchanged
	Wait   bool     `json:"wait"`             // queue the override where it cannot be applied at once
	Weight *float64 `json:"weight,omitempty"` // replaces the listed weight
}

// overrideResponse is the controller's response to an overrideRequest.
type overrideResponse struct {
	Hosts int
	Waits bool // the override is queued
}

// overrideFlags holds the flags of the commands that set overrides.
type overrideFlags struct {
	duration time.Duration
	wait     bool
	by       string
}

func (f *overrideFlags) register(cmd *cobra.Command) {
	cmd.Flags().DurationVar(&f.duration, "for", 0, "end the override after this time, as in 10m")
	cmd.Flags().BoolVar(&f.wait, "wait", false, "queue the override where it cannot be done at once, in place of an error")
	cmd.Flags().StringVar(&f.by, "by", os.Getenv("USER"), "name of the operator")
}

func (f *overrideFlags) request() overrideRequest {
	return overrideRequest{By: f.by, ForMs: f.duration.Seconds() * msPerSecond, Wait: f.wait}
}

func drainCommand() *cobra.Command {
	short := "Drain a host, or the hosts of a zone one after the other"
	return overrideCommand("drain HOST|zone=ZONE", short, overrideDrain)
}

func maintCommand() *cobra.Command {
	return overrideCommand("maint HOST|zone=ZONE", "Remove a host from the endpoint list for maintenance", overrideMaint)
}

func readyCommand() *cobra.Command {
	return overrideCommand("ready HOST|zone=ZONE", "End the overrides of a host", overrideReady)
}

// overrideCommand returns a command that sets the state of hosts.
func overrideCommand(use, short, state string) *cobra.Command {
	var flags overrideFlags
	cmd := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			request := flags.request()
			request.State = state
			return postOverride(cmd, args[0], request)
		},
	}
	flags.register(cmd)
	return cmd
}

func weightCommand() *cobra.Command {
	var flags overrideFlags
	var clearWeight bool
	cmd := &cobra.Command{
		Use:   "weight HOST [WEIGHT|PART%]",
		Short: "Override the listed weight of a host",
		Args:  cobra.RangeArgs(1, 2),
		RunE: func(cmd *cobra.Command, args []string) error {
			request := flags.request()
			switch {
			case len(args) == 2:
				if err := request.setWeight(args[1]); err != nil {
					return err
				}
			case clearWeight:
				request.Clear = true
			default:
				return errWeightMissing
			}
			return postOverride(cmd, args[0], request)
		},
	}
	flags.register(cmd)
	cmd.Flags().BoolVar(&clearWeight, "clear", false, "return to the listed weight")
	return cmd
}

// setWeight parses a weight. With a percent sign it is a factor of the listed weight.
func (r *overrideRequest) setWeight(text string) error {
	digits, percent := strings.CutSuffix(text, "%")
	number, err := strconv.ParseFloat(digits, 64)
	if err != nil {
		return fmt.Errorf("%q is not a weight: %w", text, err)
	}
	if percent {
		factor := number / 100
		r.Part = &factor
		return nil
	}
	r.Weight = &number
	return nil
}

// postOverride sends an override of a host, or of the hosts of a zone that is given with zonePrefix, and prints whether
// it was applied or queued.
func postOverride(cmd *cobra.Command, target string, request overrideRequest) error {
	client, err := clientFromFlag(cmd)
	if err != nil {
		return err
	}
	path := "/v1/hosts/" + url.PathEscape(target) + "/operator"
	if zone, ok := strings.CutPrefix(target, zonePrefix); ok {
		path = "/v1/zones/" + url.PathEscape(zone) + "/operator"
	}
	var response overrideResponse
	if err := client.post(cmd.Context(), path, request, &response); err != nil {
		return err
	}
	outcome := "done"
	if response.Waits {
		outcome = "waits for its turn"
	}
	return printLine(cmd, "%d hosts: %s", response.Hosts, outcome)
}
