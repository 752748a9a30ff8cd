package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
)

func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Check configurations"}
	cmd.AddCommand(&cobra.Command{
		Use:   "check FILE",
		Short: "Check a configuration and its endpoint list, and print its access rules",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			settings, err := config.Load(args[0])
			if err != nil {
				return err
			}
			hosts, err := checkEndpointList(settings)
			if err != nil {
				return err
			}
			if err := printLine(cmd, "%s: good: %d zones, %d classes, %s", args[0], len(settings.Zones),
				len(settings.Classes), hosts); err != nil {
				return err
			}
			return printAccessRules(cmd.OutOrStdout(), settings)
		},
	})
	return cmd
}

// checkEndpointList validates the endpoint list file of a configuration. It returns a description of the list: the
// number of hosts, or that a service provides it.
func checkEndpointList(settings *configpb.Config) (string, error) {
	file := settings.List.File
	if file == "" {
		return "a list service", nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return "", fmt.Errorf("reading the endpoint list: %w", err)
	}
	endpoints, err := config.ParseHosts(file, text)
	if err != nil {
		return "", err
	}
	if err := config.NewController(settings, "check", 1).SetEndpoints(1, endpoints); err != nil {
		return "", config.LocateEndpointError(file, text, err)
	}
	return fmt.Sprintf("%d hosts", len(endpoints)), nil
}

// printAccessRules prints the rules of the authorization policy. Without identities it also checks that the
// configuration allows that.
func printAccessRules(out io.Writer, settings *configpb.Config) error {
	policy, err := config.Policy(settings)
	if err != nil {
		return err
	}
	p := newPrinter(out)
	if policy == nil {
		p.println("no identities: anybody on this machine may do everything")
		if err := p.flush(); err != nil {
			return err
		}
		return config.CheckPlaintext(settings)
	}
	for _, rule := range policy.Rules() {
		p.println(rule)
	}
	return p.flush()
}
