package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ottershift/internal/demo"
)

func demoCommand() *cobra.Command {
	var length time.Duration
	var plain bool
	c := &cobra.Command{
		Use: "demo", Short: "Show a balancer at work on loopback, with one upstream failing", Args: cobra.NoArgs,
		Long: `Starts three small pools of stand-in upstreams, a balancer before them and some traffic, all in this process and on
loopback. One upstream fails on the way. It ends by itself and says in sentences what was seen.`,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			about, err := os.Stdout.Stat()
			live := err == nil && about.Mode()&os.ModeCharDevice != 0 && !plain && os.Getenv("TERM") != "dumb"
			return demo.Run(ctx, c.OutOrStdout(), length, live)
		},
	}
	c.Flags().DurationVar(&length, "for", 20*time.Second, "how long it lasts")
	c.Flags().BoolVar(&plain, "plain", false, "plain lines, also in a terminal")
	return c
}
