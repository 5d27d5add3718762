package main

import (
	"errors"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"ottershift/internal/ops"
)

func opsCommand() *cobra.Command {
	var within time.Duration
	c := &cobra.Command{
		Use: "ops ADDRESS CALL", Short: "Ask a balancer at its second address, or tell it to leave", Args: cobra.ExactArgs(2),
		Long: `ADDRESS is the balancer's "ops". The calls are HEALTH (does it take clients?), DUMP (its figures), LEAVE (have clients
go elsewhere) and JOIN (take them again). Exits with 0 if it says yes, 1 if it says no or can't be asked.`,
		ValidArgs: []string{"HEALTH", "DUMP", "LEAVE", "JOIN"},
		RunE: func(c *cobra.Command, args []string) error {
			text, yes, err := ops.Call(args[0], args[1], within)
			fmt.Fprint(c.OutOrStdout(), text)
			switch {
			case err != nil:
				return err
			case text == "":
				return errors.New("no answer")
			case !yes:
				return errSaid
			}
			return nil
		},
	}
	c.Flags().DurationVar(&within, "within", 2*time.Second, "how long to wait for its answer")
	return c
}
