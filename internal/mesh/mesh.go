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

const rereadEvery = 2 * time.Second // settings may change without a signal

// Process is what a program runs.
type Process interface {
	Reseed(*settings.Settings)
	Run(context.Context) error
}

// Main is a program of the mesh: it serves, or checks a settings file.
func Main(name, help string, make func(*settings.Settings, *slog.Logger) (Process, error)) {
	app := kingpin.New(name, help)
	path := app.Flag("config", "Settings file.").Envar(settings.FileVariable).String()
	serve := app.Command("serve", "Serve until SIGTERM; SIGHUP, or a change of the file, puts other seeds in force.").Default()
	check := app.Command("check", "Read the settings and name every fault with line and key.")
	switch command, err := app.Parse(os.Args[1:]); {
	case err != nil:
		app.FatalUsage("%v", err)
	case command == check.FullCommand():
		b, err := settings.Load(*path)
		app.FatalIfError(err, "")
		fmt.Printf("%s: %s in %s, %d seeds\n", *path, b.Node, b.Zone, len(b.Seeds))
	case command == serve.FullCommand():
		hangUp := watch(syscall.SIGHUP) // first of all: one that nobody waits for ends the process
		b, err := settings.Load(*path)
		app.FatalIfError(err, "")
		if err := run(b, *path, hangUp, make); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			os.Exit(1)
		}
	}
}

// run holds the process to its machine, and tells it what changes.
func run(b *settings.Settings, path string, hangUp <-chan os.Signal, make func(*settings.Settings, *slog.Logger) (Process, error)) error {
	runtime.GOMAXPROCS(1) // a part of one core: threads beside one another only wait
	debug.SetMemoryLimit(b.MemoryMB << 20 / 2)
	debug.SetGCPercent(50) // memory is scarcer here than time
	log := telemetry.NewLogger(os.Stderr, b.Node)
	ctx, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer end()
	p, err := make(b, log)
	if err != nil {
		return err
	}
	go reread(path, hangUp, p, log)
	return p.Run(ctx)
}

func watch(s os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s)
	return c
}

// reread takes settings that have changed; a file that can't be read changes nothing.
func reread(path string, hangUp <-chan os.Signal, p Process, log *slog.Logger) {
	var last []byte
	t := time.NewTicker(rereadEvery)
	for {
		text, err := os.ReadFile(path)
		if err == nil && string(text) != string(last) {
			if b, err := settings.Parse(string(text)); err != nil {
				log.Warn("settings", "err", err)
			} else if last != nil {
				log.Info("settings", "seeds", b.Seeds)
				p.Reseed(b)
			}
			last = text
		}
		select {
		case <-t.C:
		case <-hangUp:
		}
	}
}
