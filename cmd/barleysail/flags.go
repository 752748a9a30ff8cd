package main

import "github.com/spf13/cobra"

// addOldFlagName lets a flag be given by the name that it had up to version 0.1 too. Both names set one value.
func addOldFlagName(cmd *cobra.Command, name, oldName string) {
	flag := *cmd.Flags().Lookup(name)
	flag.Name = oldName
	flag.Shorthand = ""
	flag.Usage = "same as --" + name
	cmd.Flags().AddFlag(&flag)
}
