package main

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"
	"github.com/spiffe/go-spiffe/v2/spiffeid"

	"barleysail/auth"
	"barleysail/internal/config"
)

func authCommand() *cobra.Command {
	c := &cobra.Command{Use: "auth", Short: "Who may do what"}
	var file string
	var q auth.Request
	explain := &cobra.Command{Use: "explain SPIFFE-ID ACTION", Short: "Whether an identity may do something by a configuration, and why",
		Long: "Actions are poll, sums, report, see, set and follow. Exit code 3 where it may not.",
		Args: cobra.ExactArgs(2),
		RunE: func(c *cobra.Command, args []string) error {
			id, err := spiffeid.FromString(args[0])
			if err != nil {
				return fmt.Errorf("%q: %w", args[0], err)
			}
			if q.Action, err = auth.ParseAction(args[1]); err != nil {
				return err
			}
			cfg, err := config.Load(file)
			if err != nil {
				return err
			}
			p, err := config.Policy(cfg)
			if err != nil {
				return err
			}
			if p == nil {
				fmt.Fprintln(c.OutOrStdout(), "no identities are used: anybody on this machine may do everything")
				return nil
			}
			v := p.Decide(id, q)
			for _, line := range v.Why {
				fmt.Fprintln(c.OutOrStdout(), line)
			}
			if !v.Allowed {
				return &exitError{exitRefused, errors.New("denied")}
			}
			return nil
		}}
	explain.Flags().StringVar(&file, "config", "steward.textproto", "the steward's configuration")
	explain.Flags().StringVar(&q.Proxy, "proxy", "", "the proxy that the request names")
	explain.Flags().StringVar(&q.Zone, "zone", "", "and its zone")
	explain.Flags().StringVar(&q.Host, "host", "", "the host that it names, address:port")
	c.AddCommand(explain)
	return c
}
