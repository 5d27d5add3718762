// Command ottershift is a load balancer between services: it takes transactions, finds the pool of each by its routes,
// and sends it to an upstream of that pool's list.
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
	// Danger: SIGHUP ends a process that doesn't catch it, however early it comes.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	if err := root(reload).Execute(); err != nil {
		if !errors.Is(err, errSaid) {
			fmt.Fprintln(os.Stderr, "ottershift:", err)
		}
		os.Exit(1)
	}
}

// errSaid ends a command that has said already what is wrong.
var errSaid = errors.New("said")

func root(reload <-chan os.Signal) *cobra.Command {
	c := &cobra.Command{
		Use:   "ottershift",
		Short: "A load balancer between services",
		Long: `ottershift takes transactions over HTTP/1.1, finds the pool of each by its routes, sends it to an upstream of that
pool's list and answers it exactly once before its hard stop.

Without a command and with PROXY_CONFIG set it serves one pool by the platform's JSON, as "serve" does.`,
		Args: cobra.NoArgs, SilenceErrors: true, SilenceUsage: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if path := os.Getenv("PROXY_CONFIG"); path != "" {
				return servePlatform(path, reload)
			}
			c.Help()
			return errors.New("no command, and PROXY_CONFIG names no file")
		},
	}
	c.AddCommand(serveCommand(reload), checkCommand(), routesCommand(), demoCommand(), labCommand(reload), opsCommand(), membersCommand(), ownersCommand(), clusterCommand(), ledgerCommand(), fleetCommand(), &cobra.Command{
		Use: "version", Short: "Say which build this is", Args: cobra.NoArgs,
		Run: func(c *cobra.Command, _ []string) { fmt.Fprintln(c.OutOrStdout(), version()) },
	})
	return c
}

// version is what the tool chain put into the program.
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
