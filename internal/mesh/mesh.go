// Package mesh is what the mesh's programs have in common: their command line, their settings, and how they begin and
// end.
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

const settingsPollInterval = 2 * time.Second // settings may change without a signal

// Process is what a program runs.
type Process interface {
	UpdateSeeds(*settings.Settings)
	Run(context.Context) error
}

// Main is a program of the mesh: it serves, or checks a settings file.
func Main(name, help string, newProcess func(*settings.Settings, *slog.Logger) (Process, error)) {
	app := kingpin.New(name, help)
	path := app.Flag("config", "Settings file.").Envar(settings.FileVariable).String()
	serve := app.Command("serve", "Serve until SIGTERM; SIGHUP, or a change of the file, puts other seeds in force.").Default()
	check := app.Command("check", "Read the settings and name every fault with line and key.")
	switch command, err := app.Parse(os.Args[1:]); {
	case err != nil:
		app.FatalUsage("%v", err)
	case command == check.FullCommand():
		cfg, err := settings.Load(*path)
		app.FatalIfError(err, "")
		fmt.Printf("%s: %s in %s, %d seeds\n", *path, cfg.Node, cfg.Zone, len(cfg.Seeds))
	case command == serve.FullCommand():
		reload := notifySignal(syscall.SIGHUP) // first of all: one that nobody waits for ends the process
		cfg, err := settings.Load(*path)
		app.FatalIfError(err, "")
		if err := run(cfg, *path, reload, newProcess); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			os.Exit(1)
		}
	}
}

// run holds the process to its machine, and tells it what changes.
func run(cfg *settings.Settings, path string, reload <-chan os.Signal, newProcess func(*settings.Settings, *slog.Logger) (Process, error)) error {
	runtime.GOMAXPROCS(1) // a part of one core: threads beside one another only wait
	debug.SetMemoryLimit(cfg.MemoryMB << 20 / 2)
	debug.SetGCPercent(50) // memory is scarcer here than time
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

// watchSettings takes settings that have changed; a file that can't be read changes nothing.
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
