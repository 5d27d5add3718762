package main

import (
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"ottershift/internal/logs"
	"ottershift/internal/plan"
	"ottershift/internal/process"
	faults "ottershift/internal/settings"
)

func serveCommand(reload <-chan os.Signal) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use: "serve", Short: "Run the balancer", Args: cobra.NoArgs,
		Long: `Serves until SIGTERM. SIGHUP reloads the configuration: it is applied as a whole, or not at all if it has an error.
Without --config, PROXY_CONFIG names the platform's JSON.`,
		RunE: func(_ *cobra.Command, _ []string) error {
			if file != "" {
				return serve(file, reload)
			}
			if path := os.Getenv("PROXY_CONFIG"); path != "" {
				return servePlatform(path, reload)
			}
			return errors.New("no configuration: pass --config or set PROXY_CONFIG")
		},
	}
	c.Flags().StringVarP(&file, "config", "c", "", "configuration in TOML (docs/configuration.md)")
	c.MarkFlagFilename("config", "toml")
	return c
}

// servePlatform serves one pool from the platform's JSON.
func servePlatform(path string, reload <-chan os.Signal) error {
	log, level := logs.New(os.Stderr, "text")
	p, err := plan.ReadPlatform(path)
	if err == nil {
		err = serveUntilStopped(p, log, level, reload, func() (*plan.Plan, []faults.Fault, error) {
			p, err := plan.ReadPlatform(path)
			return p, nil, err
		})
	}
	return logStop(log, err)
}

// serve runs the balancer from a TOML configuration file.
func serve(path string, reload <-chan os.Signal) error {
	p, problems := plan.Read(path)
	if p == nil {
		printFaults(os.Stderr, problems)
		return errReported
	}
	log, level := logs.New(os.Stderr, p.Log.Format)
	logWarnings(log, problems)
	return logStop(log, serveUntilStopped(p, log, level, reload, func() (*plan.Plan, []faults.Fault, error) {
		p, problems := plan.Read(path)
		if p == nil {
			return nil, problems, fmt.Errorf("%d faults", len(problems))
		}
		return p, problems, nil
	}))
}

func logStop(log *slog.Logger, err error) error {
	if err != nil {
		logs.WithoutPool(log).Error("stop", "fault", err)
		return errReported
	}
	return nil
}

// serveUntilStopped runs the balancer until SIGTERM, SIGINT or a listener failure, and reloads it on SIGHUP.
func serveUntilStopped(
	p *plan.Plan, log *slog.Logger, level *slog.LevelVar, reload <-chan os.Signal,
	reread func() (*plan.Plan, []faults.Fault, error),
) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	server, err := process.Start(p, log, level)
	if err != nil {
		return err
	}
	processLog := logs.WithoutPool(log)
	if p.OpsAddress != "" {
		processLog.Info("start", "name", p.Name, "ops", p.OpsAddress)
	}
	for _, l := range p.Listeners {
		processLog.Info("start", "name", p.Name, "listen", l.Address, "listener", l.Name)
	}
	for _, pool := range p.Pools {
		log.Info("start", "pool", pool.Name, "name", p.Name, "discovery", pool.Upstreams.Discovery, "tier", pool.Settings.Engine.Tier,
			"known", len(pool.Upstreams.Initial.Entries)+len(pool.Upstreams.Static), "index", pool.Upstreams.Initial.Version)
	}
	for {
		select {
		case err := <-server.ListenerErrors():
			return err
		case <-reload:
			// An invalid file leaves the running configuration in place.
			p, problems, err := reread()
			if err == nil {
				if err = server.Reload(p); err == nil {
					logWarnings(log, problems)
					continue
				}
				problems = nil
			}
			server.CountInvalidConfig()
			processLog.Error("reload", "step", "kept", "fault", err)
			for _, f := range problems {
				if !f.Warning {
					processLog.Error("reload", "step", "fault", "fault", f)
				}
			}
		case <-stop:
			server.Drain()
			return nil
		}
	}
}

func logWarnings(log *slog.Logger, problems []faults.Fault) {
	for _, f := range problems {
		if f.Warning {
			logs.WithoutPool(log).Debug("remark", "text", f)
		}
	}
}
