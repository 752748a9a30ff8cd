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

func rehearseCommand() *cobra.Command {
	var verbose, apart bool
	var records string
	c := &cobra.Command{Use: "rehearse SCRIPT", Short: "Play a scripted day on loopback and reckon the rules",
		Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			ctx, stop := signal.NotifyContext(c.Context(), os.Interrupt, syscall.SIGTERM)
			defer stop()
			log := zerolog.Nop()
			if verbose {
				log = zerolog.New(zerolog.ConsoleWriter{Out: os.Stderr}).With().Timestamp().Logger()
			}
			program := ""
			if apart {
				var err error
				if program, err = os.Executable(); err != nil {
					return fmt.Errorf("looking for this program: %w", err)
				}
			}
			r, err := rehearse.Play(ctx, args[0], version, records, program, c.OutOrStdout(), log)
			if err != nil {
				return err
			}
			if !r.Kept {
				return errors.New("a rule was broken")
			}
			return nil
		}}
	c.Flags().BoolVarP(&verbose, "verbose", "v", false, "the logs of stewards and forwarders on standard error")
	c.Flags().BoolVar(&apart, "apart", false, "stewards run in processes of their own")
	c.Flags().StringVar(&records, "record", "", "an existing folder for a recording of each steward's life")
	return c
}
