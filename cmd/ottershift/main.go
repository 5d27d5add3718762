// Command ottershift is a load balancer between services. It accepts transactions, selects a pool for each by its routes
// and forwards it to an upstream of that pool.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	// SIGHUP terminates a process that does not handle it, so the handler is installed before anything else starts.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := rootCommand(reload).Execute(); err != nil {
		if !errors.Is(err, errReported) {
			fmt.Fprintln(os.Stderr, "ottershift:", err)
		}
		os.Exit(1)
	}
}

// errReported ends a command that has already printed its error.
var errReported = errors.New("said")

func rootCommand(reload <-chan os.Signal) *cobra.Command {
	c := &cobra.Command{
		Use:   "ottershift",
		Short: "A load balancer between services",
		Long: `ottershift accepts transactions over HTTP/1.1, selects a pool for each by its routes, forwards it to an upstream of
that pool and answers it exactly once before its hard stop.

Without a command and with PROXY_CONFIG set, it serves one pool from the platform's JSON, as "serve" does.`,
		Args: cobra.NoArgs, SilenceErrors: true, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if path := os.Getenv("PROXY_CONFIG"); path != "" {
				return servePlatform(path, reload)
			}
			c.Help()
			return errors.New("no command given and PROXY_CONFIG is not set")
		},
	}
	c.AddCommand(serveCommand(reload), checkCommand(), routesCommand(), demoCommand(), labCommand(reload), opsCommand(), membersCommand(), ownersCommand(), clusterCommand(), ledgerCommand(), fleetCommand(), &cobra.Command{
		Use: "version", Short: "Print the build version", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), version()) },
	})
	return c
}

// version describes the build from the information that the Go tool chain embeds in the binary.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "ottershift, of an unknown build"
	}
	revision, changed := "without a revision", ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value[:min(12, len(s.Value))]
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = ", changed"
		}
	}
	return fmt.Sprintf("ottershift %s%s, %s", revision, changed, info.GoVersion)
}
