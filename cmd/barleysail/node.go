package main

import (
	"errors"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"barleysail/internal/platform"
)

const (
	rereadTries = 10 // a configuration that is just being replaced may not be whole
	rereadWait  = 50 * time.Millisecond
)

func nodeCommand() *cobra.Command {
	var file, level string
	c := &cobra.Command{Use: "node", Short: "Run a steward on the platform: streams of RESP2, the list and probes over HTTP",
		Args: cobra.NoArgs, RunE: func(c *cobra.Command, _ []string) error {
			log, err := logger(level)
			if err != nil {
				return err
			}
			hup := make(chan os.Signal, 1)
			signal.Notify(hup, syscall.SIGHUP)
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			if file == "" {
				return errors.New("EDGE_CONFIG is not set, and no --config given")
			}
			cfg, err := platform.LoadConfig(file)
			if err != nil {
				return err
			}
			cfg.Limits.Apply()
			n, err := platform.New(cfg, log)
			if err != nil {
				return err
			}
			go func() {
				for range hup {
					reread(file, n, log)
				}
			}()
			err = n.Run(ctx)
			log.Info().Msg("stopped")
			return err
		}}
	c.Flags().StringVar(&file, "config", os.Getenv("EDGE_CONFIG"), "configuration, JSON; by default what EDGE_CONFIG names")
	c.Flags().StringVar(&level, "log-level", "info", "debug, info, warn or error")
	return c
}

// reread takes what may change while a steward serves: the address of the list, and the limits.
func reread(file string, n *platform.Node, log zerolog.Logger) {
	var err error
	for range rereadTries {
		var cfg *platform.Config
		if cfg, err = platform.LoadConfig(file); err == nil {
			n.Reload(cfg)
			return
		}
		time.Sleep(rereadWait)
	}
	log.Error().Err(err).Msg("the configuration cannot be read again: the old one holds")
}
