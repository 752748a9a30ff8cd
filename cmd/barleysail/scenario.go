package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"barleysail/internal/rehearse"
)

var errInvariantBroken = errors.New("an invariant was broken")

// scenarioFlags are the flags of "scenario".
type scenarioFlags struct {
	verbose           bool
	separateProcesses bool
	recordingsFolder  string
}

func scenarioCommand() *cobra.Command {
	var flags scenarioFlags
	cmd := &cobra.Command{
		Use:     "scenario SCRIPT",
		Aliases: []string{"rehearse"}, // its name up to 0.1
		Short:   "Run a scripted fault scenario on loopback and check the invariants",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runScenario(cmd, args[0], flags)
		},
	}
	set := cmd.Flags()
	set.BoolVarP(&flags.verbose, "verbose", "v", false, "log controllers and proxies on standard error")
	set.BoolVar(&flags.separateProcesses, "separate-processes", false, "run each controller in a process of its own")
	set.StringVar(&flags.recordingsFolder, "record", "", "record each controller and proxy into this existing folder")
	addOldFlagName(cmd, "separate-processes", "apart")
	return cmd
}

// runScenario runs a fault scenario, and returns errInvariantBroken if an invariant was violated.
func runScenario(cmd *cobra.Command, script string, flags scenarioFlags) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := zerolog.Nop()
	if flags.verbose {
		log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr}).With().Timestamp().Logger()
	}
	program := "" // controllers run in this process
	if flags.separateProcesses {
		executable, err := os.Executable()
		if err != nil {
			return fmt.Errorf("finding this program's executable: %w", err)
		}
		program = executable
	}
	result, err := rehearse.Run(ctx, script, version, flags.recordingsFolder, program, cmd.OutOrStdout(), log)
	if err != nil {
		return err
	}
	if !result.Passed {
		return errInvariantBroken
	}
	return nil
}
