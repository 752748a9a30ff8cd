package main

import (
	"context"
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
	nodeConfigEnv = "EDGE_CONFIG" // environment variable with the path of the node's configuration file

	// reloadAttempts and reloadBackoff bound the attempts to read a configuration file, which may be incomplete while it
	// is being replaced.
	reloadAttempts = 10
	reloadBackoff  = 50 * time.Millisecond // between two attempts
)

var errNoNodeConfig = errors.New("no configuration file: neither --config nor " + nodeConfigEnv + " is set")

func nodeCommand() *cobra.Command {
	var configFile, logLevel string
	cmd := &cobra.Command{
		Use:   "node",
		Short: "Run a controller on the platform: RESP2 streams to proxies, endpoint list and health checks over HTTP",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := newLogger(logLevel)
			if err != nil {
				return err
			}
			return runNode(cmd.Context(), configFile, log)
		},
	}
	cmd.Flags().StringVar(&configFile, "config", os.Getenv(nodeConfigEnv),
		"configuration file, JSON; by default the one that "+nodeConfigEnv+" names")
	cmd.Flags().StringVar(&logLevel, "log-level", defaultLogLevel, logLevelHelp)
	return cmd
}

// runNode runs a controller on the platform until SIGTERM or SIGINT, which shut it down gracefully. SIGHUP reloads
// its configuration. Signals are handled before the configuration is read, so that none is lost meanwhile.
func runNode(ctx context.Context, configFile string, log zerolog.Logger) error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if configFile == "" {
		return errNoNodeConfig
	}
	settings, err := platform.LoadConfig(configFile)
	if err != nil {
		return err
	}
	settings.Limits.Apply()
	node, err := platform.New(settings, log)
	if err != nil {
		return err
	}
	go reloadOnSignal(reloads, configFile, node, log) // until the program ends
	err = node.Run(ctx)
	log.Info().Msg("stopped")
	return err
}

func reloadOnSignal(reloads <-chan os.Signal, configFile string, node *platform.Node, log zerolog.Logger) {
	for range reloads {
		reload(configFile, node, log)
	}
}

// reload applies the settings that may change while a node runs: the address of the endpoint list, and the limits. If
// the configuration cannot be read in reloadAttempts, the error is logged and the current one is kept.
func reload(configFile string, node *platform.Node, log zerolog.Logger) {
	var lastErr error
	for range reloadAttempts {
		settings, err := platform.LoadConfig(configFile)
		if err == nil {
			node.Reload(settings)
			return
		}
		lastErr = err
		time.Sleep(reloadBackoff)
	}
	log.Error().Err(lastErr).Msg("reloading the configuration failed; the current one is kept")
}
