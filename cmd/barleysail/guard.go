package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"barleysail/controller"
)

func guardCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "guard", Short: "Check routing tables by the table guard"}
	cmd.AddCommand(guardCheckCommand(), guardReplayCommand())
	return cmd
}

func guardCheckCommand() *cobra.Command {
	var zone string
	cmd := &cobra.Command{
		Use:   "check TABLES.json",
		Short: "Check whether a running controller's table guard would accept tables",
		Long: "Reads tables in the form of the document that proxies get,\n" +
			"{\"tables\":{CLASS:{\"hosts\":{HOST:WEIGHT}}}}, and asks a running controller what its guard finds in them\n" +
			"in the present state, and what it would publish instead. Nothing is published.\n" +
			"Exit code 3 where it would reject them.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			tables, err := readTables(args[0], zone)
			if err != nil {
				return err
			}
			client, err := clientFromFlag(cmd)
			if err != nil {
				return err
			}
			var result controller.ValidationResult
			if err := client.post(cmd.Context(), "/v1/guard/check", tables, &result); err != nil {
				return err
			}
			return printValidation(cmd.OutOrStdout(), &result)
		},
	}
	cmd.Flags().StringVar(&zone, "zone", "", "check the tables for the proxies of this zone alone")
	addControllerFlag(cmd)
	return cmd
}

// readTables reads a file of tables to check for a zone; empty: for all zones. It does not validate the document,
// since the controller does.
func readTables(file, zone string) (map[string]any, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("reading the tables: %w", err)
	}
	var document map[string]any
	if err := json.Unmarshal(text, &document); err != nil {
		return nil, fmt.Errorf("reading the tables: %s: %w", file, err)
	}
	if zone != "" {
		document["zone"] = zone
	}
	return document, nil
}

// printValidation prints the findings of the table validator, the tables that it would publish instead, and the
// findings that remain in those. If there are findings, it returns an error with the exit code exitRefused.
func printValidation(out io.Writer, result *controller.ValidationResult) error {
	p := newPrinter(out)
	if len(result.Findings) == 0 {
		p.println("sound")
		return p.flush()
	}
	for _, finding := range result.Findings {
		p.println(finding)
	}
	p.println("instead:")
	if err := printJSON(out, result.Repaired); err != nil {
		return err
	}
	for _, finding := range result.Remaining {
		p.println("remaining:", finding)
	}
	if err := p.flush(); err != nil {
		return err
	}
	return &exitError{exitRefused, fmt.Errorf("the guard finds %d faults", len(result.Findings))}
}

// formatCounts formats counts by check, such as "2 overload; 1 empty; ".
func formatCounts(counts map[string]int) string {
	text := ""
	for _, check := range slices.Sorted(maps.Keys(counts)) {
		text += fmt.Sprintf("%d %s; ", counts[check], check)
	}
	return text
}
