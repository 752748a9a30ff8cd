package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"barleysail/internal/statefile"
	"barleysail/state/statepb"
)

const (
	maxStateBytes   = 1 << 30 // limit of a snapshot, so large that nothing is dropped
	keptGenerations = 2       // generations of snapshots in a state folder
)

// forgetFlags select what "state forget" removes.
type forgetFlags struct {
	hosts     []string // only these hosts; empty: all hosts, proxies and tables
	overrides bool     // also operators' overrides
}

func stateForgetCommand() *cobra.Command {
	var flags forgetFlags
	cmd := &cobra.Command{
		Use:   "forget FOLDER",
		Short: "Remove a state, or a part of it, while its controller is stopped",
		Long: "Without flags all is removed but operators' overrides. The controller that keeps its state there must be\n" +
			"stopped.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := forgetState(args[0], flags); err != nil {
				return err
			}
			return printLine(cmd, "forgotten")
		},
	}
	cmd.Flags().StringSliceVar(&flags.hosts, "host", nil, "remove what is known of these hosts alone")
	cmd.Flags().BoolVar(&flags.overrides, "overrides", false, "remove operators' overrides too")
	addOldFlagName(cmd, "overrides", "settings")
	return cmd
}

// forgetState rewrites a state folder without the parts that the flags select.
func forgetState(path string, flags forgetFlags) (err error) {
	if _, err := os.Stat(path); err != nil { // OpenFolder would create it
		return fmt.Errorf("opening the state folder: %w", err)
	}
	folder, err := statefile.OpenFolder(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, folder.Close()) }()
	loaded, err := statefile.Load(folder)
	if err != nil {
		return err
	}
	if loaded.State == nil {
		return errNoState
	}
	if err := flags.remove(loaded.State); err != nil {
		return err
	}
	store := statefile.NewStore(folder, loaded, maxStateBytes)
	defer store.Close()
	for range keptGenerations { // so that no older generation keeps the removed parts
		if err := store.SaveSnapshot(loaded.State); err != nil {
			return err
		}
	}
	return nil
}

// remove removes the parts that the flags select from a state. It returns an error if the state has none of the
// selected hosts.
func (f forgetFlags) remove(kept *statepb.State) error {
	if f.overrides {
		kept.Settings = nil
		kept.Queue = nil
	}
	if len(f.hosts) == 0 {
		kept.Hosts = nil
		kept.Proxies = nil
		kept.Tables = nil
		kept.Fleet = nil
		return nil
	}
	before := len(kept.Hosts)
	kept.Hosts = slices.DeleteFunc(kept.Hosts, func(host *statepb.Host) bool {
		return slices.Contains(f.hosts, host.Name)
	})
	if len(kept.Hosts) == before {
		return fmt.Errorf("the state contains none of these hosts: %s", strings.Join(f.hosts, ", "))
	}
	return nil
}
