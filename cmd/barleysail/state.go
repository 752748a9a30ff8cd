package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/prototext"

	"barleysail/internal/statefile"
)

var errNoState = errors.New("the folder contains no usable state")

// unusableStateError is the error of a state folder that contains no state which this program can read.
type unusableStateError struct{ warnings []string }

func (e *unusableStateError) Error() string {
	return "the folder contains no usable state: " + strings.Join(e.warnings, "; ")
}

// incompleteStateError is the error of a state of which parts were damaged or ignored.
type incompleteStateError struct{ warnings []string }

func (e *incompleteStateError) Error() string { return strings.Join(e.warnings, "; ") }

func stateCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "state", Short: "Inspect and edit the state that a controller keeps across restarts"}
	cmd.AddCommand(stateShowCommand(), stateCheckCommand(), stateExportCommand(), stateForgetCommand())
	return cmd
}

// loadState reads a state folder, which may be in use by a running controller. It returns an *unusableStateError if
// there is no readable state.
func loadState(path string) (*statefile.LoadResult, error) {
	folder, err := statefile.OpenReadOnly(path)
	if err != nil {
		return nil, err
	}
	loaded, err := statefile.Load(folder)
	if err = errors.Join(err, folder.Close()); err != nil {
		return nil, err
	}
	if loaded.State == nil {
		return nil, &unusableStateError{loaded.Warnings}
	}
	return loaded, nil
}

func stateCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FOLDER",
		Short: "Check that a state is complete and undamaged",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return checkState(cmd.OutOrStdout(), args[0])
		},
	}
}

// checkState prints the size of a stored state, and returns an error if it is damaged or incomplete.
func checkState(out io.Writer, path string) error {
	loaded, err := loadState(path)
	if err != nil {
		return err
	}
	kept := loaded.State
	p := newPrinter(out)
	p.printf("generation %d with %d changes, %d hosts, %d proxies, %d settings\n", loaded.Generation, loaded.Changes,
		len(kept.Hosts), len(kept.Proxies), len(kept.Settings))
	if len(loaded.Warnings) > 0 {
		return errors.Join(p.flush(), &incompleteStateError{loaded.Warnings})
	}
	p.println("whole")
	return p.flush()
}

func stateExportCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "export FOLDER",
		Short: "Print a state as protobuf text",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			loaded, err := loadState(args[0])
			if err != nil {
				return err
			}
			text, err := prototext.MarshalOptions{Multiline: true}.Marshal(loaded.State)
			if err != nil {
				return fmt.Errorf("encoding the state: %w", err)
			}
			_, err = cmd.OutOrStdout().Write(text)
			return err
		},
	}
}
