package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"barleysail/internal/config"
	"barleysail/internal/config/configpb"
	"barleysail/internal/daemon"
)

const shutdownTimeout = 10 * time.Second // limit of a graceful shutdown; the remaining connections are then closed

// runFlags are the flags of "run".
type runFlags struct {
	configFile string
	listen     string // address:port, overrides the configuration's; empty: not set
	recording  string // file, overrides the configuration's; empty: not set
	logLevel   string
}

func runCommand() *cobra.Command {
	var flags runFlags
	cmd := &cobra.Command{
		Use:   "run",
		Short: "Run a controller",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings, err := flags.loadConfig()
			if err != nil {
				return err
			}
			log, err := newLogger(flags.logLevel)
			if err != nil {
				return err
			}
			return runController(cmd, settings, log)
		},
	}
	set := cmd.Flags()
	set.StringVar(&flags.configFile, "config", "", "configuration file, in protobuf text format")
	set.StringVar(&flags.listen, "listen", "", "address:port to listen on, in place of the configuration's")
	set.StringVar(&flags.recording, "record", "", "record each input to this file")
	set.StringVar(&flags.logLevel, "log-level", defaultLogLevel, logLevelHelp)
	if err := cmd.MarkFlagRequired("config"); err != nil {
		panic(err) // the flag is defined above
	}
	return cmd
}

func (f *runFlags) loadConfig() (*configpb.Config, error) {
	settings, err := config.Load(f.configFile)
	if err != nil {
		return nil, err
	}
	if f.listen != "" {
		settings.Listen = f.listen
	}
	if f.recording != "" {
		settings.Record = f.recording
	}
	return settings, nil
}

// runController runs a controller until SIGTERM or SIGINT, then shuts it down gracefully within shutdownTimeout: it
// answers the pending long polls. A second signal ends the program at once. SIGHUP is not handled, so it ends the
// program.
func runController(cmd *cobra.Command, settings *configpb.Config, log zerolog.Logger) error {
	controller, err := daemon.Start(settings, version, log)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := printLine(cmd, "listening on http://%s", controller.Addr()); err != nil {
		controller.Kill()
		return err
	}
	received := <-signals
	log.Info().Str("signal", received.String()).
		Msg("shutting down: pending polls are answered; a second signal exits at once")
	go killOnSignal(signals, controller) // until the program ends
	ctx, cancel := context.WithTimeout(cmd.Context(), shutdownTimeout)
	defer cancel()
	return controller.Stop(ctx)
}

func killOnSignal(signals <-chan os.Signal, controller *daemon.Daemon) {
	<-signals
	controller.Kill()
	os.Exit(exitFailure)
}
