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
		Use: "serve", Short: "Serve what a configuration says", Args: cobra.NoArgs,
		Long: `Serves until SIGTERM. SIGHUP reads the configuration again: all of it is put in force, or nothing if anything is
wrong with it. Without --config, PROXY_CONFIG names the platform's JSON.`,
		RunE: func(_ *cobra.Command, _ []string) error {
			if file != "" {
				return serve(file, reload)
			}
			if path := os.Getenv("PROXY_CONFIG"); path != "" {
				return servePlatform(path, reload)
			}
			return errors.New("no configuration: --config names a file, or PROXY_CONFIG the platform's")
		},
	}
	c.Flags().StringVarP(&file, "config", "c", "", "configuration in TOML (docs/configuration.md)")
	c.MarkFlagFilename("config", "toml")
	return c
}

// servePlatform serves one pool by the platform's JSON.
func servePlatform(path string, reload <-chan os.Signal) error {
	log, level := logs.New(os.Stderr, "text")
	p, err := plan.ReadPlatform(path)
	if err == nil {
		err = live(p, log, level, reload, func() (*plan.Plan, []faults.Fault, error) {
			p, err := plan.ReadPlatform(path)
			return p, nil, err
		})
	}
	return stopped(log, err)
}

// serve serves by a file of our own.
func serve(path string, reload <-chan os.Signal) error {
	p, wrong := plan.Read(path)
	if p == nil {
		tell(os.Stderr, wrong)
		return errSaid
	}
	log, level := logs.New(os.Stderr, p.Log.Format)
	remarks(log, wrong)
	return stopped(log, live(p, log, level, reload, func() (*plan.Plan, []faults.Fault, error) {
		p, wrong := plan.Read(path)
		if p == nil {
			return nil, wrong, fmt.Errorf("%d faults", len(wrong))
		}
		return p, wrong, nil
	}))
}

func stopped(log *slog.Logger, err error) error {
	if err != nil {
		logs.WithoutPool(log).Error("stop", "fault", err)
		return errSaid
	}
	return nil
}

// live is the life of the process.
func live(
	p *plan.Plan, log *slog.Logger, level *slog.LevelVar, reload <-chan os.Signal,
	reread func() (*plan.Plan, []faults.Fault, error),
) error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	s, err := process.Start(p, log, level)
	if err != nil {
		return err
	}
	own := logs.WithoutPool(log)
	if p.OpsAddress != "" {
		own.Info("start", "name", p.Name, "ops", p.OpsAddress)
	}
	for _, l := range p.Listeners {
		own.Info("start", "name", p.Name, "listen", l.Address, "listener", l.Name)
	}
	for _, told := range p.Pools {
		log.Info("start", "pool", told.Name, "name", p.Name, "discovery", told.Upstreams.Discovery, "tier", told.Settings.Engine.Tier,
			"known", len(told.Upstreams.Initial.Entries)+len(told.Upstreams.Static), "index", told.Upstreams.Initial.Version)
	}
	for {
		select {
		case err := <-s.ListenerErrors():
			return err
		case <-reload:
			// Danger: a file that makes no sense must not cost what is in service.
			p, wrong, err := reread()
			if err == nil {
				if err = s.Reload(p); err == nil {
					remarks(log, wrong)
					continue
				}
				wrong = nil
			}
			s.CountInvalidConfig()
			own.Error("reload", "step", "kept", "fault", err)
			for _, f := range wrong {
				if !f.Warning {
					own.Error("reload", "step", "fault", "fault", f)
				}
			}
		case <-stop:
			s.Drain()
			return nil
		}
	}
}

func remarks(log *slog.Logger, all []faults.Fault) {
	for _, f := range all {
		if f.Warning {
			logs.WithoutPool(log).Debug("remark", "text", f)
		}
	}
}
