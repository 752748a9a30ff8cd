// Command barleysail runs a controller (run, node), and is the operators' command line. It owns flags, exit codes,
// signal handling and the printing of results; balancing, recording and replay belong to the packages that it calls.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// version is the program's release, printed by "barleysail version" and written into recordings and state files.
const version = "0.1.0"

func main() {
	if err := newRootCommand().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "barleysail:", err)
		os.Exit(exitCode(err))
	}
}

// newRootCommand builds the whole command tree.
func newRootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "barleysail",
		Short:         "A control plane that publishes routing weights to proxies",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		runCommand(), nodeCommand(), scenarioCommand(), replayCommand(), recordingsCommand(), solveCommand(), planCommand(),
		stateCommand(), authCommand(), configCommand(), versionCommand())
	root.AddCommand(controllerCommands()...)
	root.AddCommand(diffCommand(), guardCommand())
	return root
}

// controllerCommands returns the commands that call one running controller, named by a flag.
func controllerCommands() []*cobra.Command {
	commands := []*cobra.Command{
		getCommand(), describeCommand(), eventsCommand(), topCommand(),
		drainCommand(), maintCommand(), readyCommand(), weightCommand(),
	}
	for _, cmd := range commands {
		addControllerFlag(cmd)
	}
	return commands
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "barleysail", version)
			return err
		},
	}
}
