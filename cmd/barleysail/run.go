package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"barleysail/internal/config"
	"barleysail/internal/daemon"
)

// stopMost is how long a clean end may take.
const stopMost = 10 * time.Second

func runCommand() *cobra.Command {
	var file, listen, record, level string
	c := &cobra.Command{Use: "run", Short: "Run a steward", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			cfg, err := config.Load(file)
			if err != nil {
				return err
			}
			if listen != "" {
				cfg.Listen = listen
			}
			if record != "" {
				cfg.Record = record
			}
			log, err := logger(level)
			if err != nil {
				return err
			}
			d, err := daemon.Start(cfg, version, log)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "listening on http://%s\n", d.Addr())
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			s := <-signals
			log.Info().Str("signal", s.String()).Msg("stopping: polls are answered; a second signal ends at once")
			ctx, cancel := context.WithTimeout(c.Context(), stopMost)
			defer cancel()
			go func() {
				<-signals
				d.Kill()
				os.Exit(1)
			}()
			return d.Stop(ctx)
		}}
	c.Flags().StringVar(&file, "config", "", "configuration, protobuf text format")
	c.Flags().StringVar(&listen, "listen", "", "address:port in place of the configuration's")
	c.Flags().StringVar(&record, "record", "", "record each input to this file")
	c.Flags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	c.MarkFlagRequired("config")
	return c
}

func configCommand() *cobra.Command {
	c := &cobra.Command{Use: "config", Short: "Work on configurations"}
	c.AddCommand(&cobra.Command{Use: "check FILE", Short: "Check a configuration and its host list", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			cfg, err := config.Load(args[0])
			if err != nil {
				return err
			}
			hosts := "a list service"
			if cfg.List.File != "" {
				text, err := os.ReadFile(cfg.List.File)
				if err != nil {
					return fmt.Errorf("reading the host list: %w", err)
				}
				entries, err := config.Hosts(cfg.List.File, text)
				if err != nil {
					return err
				}
				if err := config.Steward(cfg, "check", 1).SetEndpoints(1, entries); err != nil {
					return config.Refused(cfg.List.File, text, err)
				}
				hosts = fmt.Sprintf("%d hosts", len(entries))
			}
			fmt.Fprintf(c.OutOrStdout(), "%s: good: %d zones, %d classes, %s\n", args[0], len(cfg.Zones), len(cfg.Classes), hosts)
			p, err := config.Policy(cfg)
			if err != nil {
				return err
			}
			if p == nil {
				fmt.Fprintln(c.OutOrStdout(), "no identities: anybody on this machine may do everything")
				return config.MayStart(cfg)
			}
			for _, line := range p.Rules() {
				fmt.Fprintln(c.OutOrStdout(), line)
			}
			return nil
		}})
	return c
}
