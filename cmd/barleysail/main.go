// Command barleysail is the steward as a daemon, and the operators' command line.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/spf13/cobra"
)

// version of the program.
const version = "0.1.0"

func main() {
	root := &cobra.Command{Use: "barleysail", Short: "A control service that publishes weighted tables to plain proxies",
		SilenceUsage: true, SilenceErrors: true, CompletionOptions: cobra.CompletionOptions{}}
	root.AddCommand(runCommand(), nodeCommand(), rehearseCommand(), replayCommand(), daysCommand(), solveCommand(), planCommand(), stateCommand(), authCommand(), configCommand(), &cobra.Command{Use: "version", Short: "Print the version",
		Args: cobra.NoArgs, Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), "barleysail", version) }})
	root.AddCommand(operators()...)
	if err := root.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "barleysail:", err)
		var coded *exitError
		if errors.As(err, &coded) {
			os.Exit(coded.code)
		}
		os.Exit(1)
	}
}
