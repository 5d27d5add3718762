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
		Use: "ops ADDRESS CALL", Short: "Query a balancer at its ops address, or drain it", Args: cobra.ExactArgs(2),
		Long: `ADDRESS is the balancer's "ops" address. The calls are HEALTH (whether it accepts clients), DUMP (its metrics), LEAVE
(start draining) and JOIN (accept clients again). Exits with 0 on success, with 1 on a refusal or if the balancer does
not answer.`,
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
				return errReported
			}
			return nil
		},
	}
	c.Flags().DurationVar(&within, "within", 2*time.Second, "how long to wait for the answer")
	return c
}
