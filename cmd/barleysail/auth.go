package main

import (
	"errors"
	"fmt"
	"io"

	"github.com/spf13/cobra"
	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"barleysail/auth"
	"barleysail/internal/config"
)

var errDenied = errors.New("denied")

func authCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "auth", Short: "Explain access decisions"}
	cmd.AddCommand(authExplainCommand())
	return cmd
}

func authExplainCommand() *cobra.Command {
	var configFile string
	var request auth.Request
	cmd := &cobra.Command{
		Use:   "explain SPIFFE-ID ACTION",
		Short: "Explain whether a configuration allows an identity an action",
		Long:  "Actions are poll, sums, report, see, set and follow. Exit code 3 where the action is denied.",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			id, err := spiffeid.FromString(args[0])
			if err != nil {
				return fmt.Errorf("%q: %w", args[0], err)
			}
			if request.Action, err = auth.ParseAction(args[1]); err != nil {
				return err
			}
			return explainAccess(cmd.OutOrStdout(), configFile, id, request)
		},
	}
	cmd.Flags().StringVar(&configFile, "config", "steward.textproto", "the controller's configuration")
	cmd.Flags().StringVar(&request.Proxy, "proxy", "", "the proxy that the request names")
	cmd.Flags().StringVar(&request.Zone, "zone", "", "the zone that the request names")
	cmd.Flags().StringVar(&request.Host, "host", "", "the host that the request names, address:port")
	return cmd
}

// explainAccess prints what each rule of a configuration decides about a request. For a denied request it returns
// errDenied with the exit code exitRefused.
func explainAccess(out io.Writer, configFile string, id spiffeid.ID, request auth.Request) error {
	settings, err := config.Load(configFile)
	if err != nil {
		return err
	}
	policy, err := config.Policy(settings)
	if err != nil {
		return err
	}
	p := newPrinter(out)
	if policy == nil {
		p.println("no identities are used: anybody on this machine may do everything")
		return p.flush()
	}
	verdict := policy.Decide(id, request)
	for _, line := range verdict.Reasons {
		p.println(line)
	}
	if err := p.flush(); err != nil {
		return err
	}
	if !verdict.Allowed {
		return &exitError{exitRefused, errDenied}
	}
	return nil
}
