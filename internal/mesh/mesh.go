// Package mesh contains what the programs of the mesh have in common: command line, settings, start and shutdown.
package mesh

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/telemetry"
)

const settingsPollInterval = 2 * time.Second // changes of the file take effect without a signal, too

// Process is the controller or proxy that a program runs.
type Process interface {
	// UpdateSeeds replaces the seeds by those of the given settings.
	UpdateSeeds(*settings.Settings)
	// Run serves until the context ends.
	Run(context.Context) error
}

// Main is the main function of a program of the mesh. Its commands serve, or check a settings file.
func Main(name, help string, newProcess func(*settings.Settings, *slog.Logger) (Process, error)) {
	app := kingpin.New(name, help)
	path := app.Flag("config", "Settings file.").Envar(settings.FileVariable).String()
	serve := app.Command("serve", "Serve until SIGTERM; SIGHUP, or a change of the settings file, updates the seeds.").Default()
	check := app.Command("check", "Check the settings file and print every error with its line and key.")
	switch command, err := app.Parse(os.Args[1:]); {
	case err != nil:
		app.FatalUsage("%v", err)
	case command == check.FullCommand():
		cfg, err := settings.Load(*path)
		app.FatalIfError(err, "")
		fmt.Printf("%s: %s in %s, %d seeds\n", *path, cfg.Node, cfg.Zone, len(cfg.Seeds))
	case command == serve.FullCommand():
		reload := notifySignal(syscall.SIGHUP) // before anything else: an unhandled SIGHUP ends the process
		cfg, err := settings.Load(*path)
		app.FatalIfError(err, "")
		if err := run(cfg, *path, reload, newProcess); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			os.Exit(1)
		}
	}
}

// run sets the limits of the Go runtime, then runs the process and passes changed settings to it.
func run(cfg *settings.Settings, path string, reload <-chan os.Signal, newProcess func(*settings.Settings, *slog.Logger) (Process, error)) error {
	runtime.GOMAXPROCS(1) // the process has a part of one core; parallel threads would only wait for it
	debug.SetMemoryLimit(cfg.MemoryMB << 20 / 2)
	debug.SetGCPercent(50) // memory is scarcer here than CPU time
	log := telemetry.NewLogger(os.Stderr, cfg.Node)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	process, err := newProcess(cfg, log)
	if err != nil {
		return err
	}
	go watchSettings(path, reload, process, log)
	return process.Run(ctx)
}

func notifySignal(s os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s)
	return c
}

// watchSettings applies the settings when the file changes. A file that cannot be read or is invalid has no effect.
func watchSettings(path string, reload <-chan os.Signal, process Process, log *slog.Logger) {
	var last []byte
	ticker := time.NewTicker(settingsPollInterval)
	for {
		text, err := os.ReadFile(path)
		if err == nil && string(text) != string(last) {
			if cfg, err := settings.Parse(string(text)); err != nil {
				log.Warn("settings", "err", err)
			} else if last != nil {
				log.Info("settings", "seeds", cfg.Seeds)
				process.UpdateSeeds(cfg)
			}
			last = text
		}
		select {
		case <-ticker.C:
		case <-reload:
		}
	}
}
