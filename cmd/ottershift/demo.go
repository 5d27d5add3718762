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
		Use: "demo", Short: "Run a demonstration on loopback with one failing upstream", Args: cobra.NoArgs,
		Long: `Starts three small pools of emulated upstreams, a balancer in front of them and some traffic, all in this process and
on loopback. One upstream fails during the run. The demo ends by itself and prints a summary.`,
		RunE: func(c *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			info, err := os.Stdout.Stat()
			live := err == nil && info.Mode()&os.ModeCharDevice != 0 && !plain && os.Getenv("TERM") != "dumb"
			return demo.Run(ctx, c.OutOrStdout(), length, live)
		},
	}
	c.Flags().DurationVar(&length, "for", 20*time.Second, "duration of the demo")
	c.Flags().BoolVar(&plain, "plain", false, "print plain lines even on a terminal")
	return c
}
