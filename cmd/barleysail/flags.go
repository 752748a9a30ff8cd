package main

import "github.com/spf13/cobra"

// addOldFlagName adds the name that a flag had up to version 0.1 as an alias. Both names set the same value.
func addOldFlagName(cmd *cobra.Command, name, oldName string) {
	flag := *cmd.Flags().Lookup(name)
	flag.Name = oldName
	flag.Shorthand = ""
	flag.Usage = "same as --" + name
	cmd.Flags().AddFlag(&flag)
}
