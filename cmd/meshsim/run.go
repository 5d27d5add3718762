package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"ottershift/internal/mesh/simulation"
	"ottershift/internal/mesh/simulation/processes"
)

func runCommand(app *kingpin.Application, flags processFlags) command {
	run := app.Command("run", "Play a question's mesh as real processes on loopback, and judge it by what clients, upstreams and operators saw.")
	file := run.Arg("file", "Question, TOML: its table [run].").Required().ExistingFile()
	seed := run.Flag("seed", "Of the clients.").Uint64()
	short := run.Flag("short", "Its short form.").Bool()
	return command{run.FullCommand(), func(app *kingpin.Application) {
		q := readQuestion(app, *file)
		if *seed > 0 {
			q.Seed = *seed
		}
		playProcesses(app, flags, q, *short)
	}}
}

func demoCommand(app *kingpin.Application, flags processFlags) command {
	demo := app.Command("demo", "Show a mesh for 20 seconds: three controllers, six proxies, one of each killed on the way.")
	return command{demo.FullCommand(), func(app *kingpin.Application) { playProcesses(app, flags, simulation.Demo(), false) }}
}

// playProcesses plays a question's real processes and prints what was seen.
func playProcesses(app *kingpin.Application, flags processFlags, q *simulation.Question, short bool) {
	ctx, end := untilSignal()
	defer end()
	began := time.Now()
	fmt.Println(q.Title)
	mesh := q.ProcessMesh(flags.folder(app), *flags.logs, short)
	mesh.OtherPrograms = *flags.beside
	seen, err := processes.Run(ctx, mesh, func(format string, args ...any) {
		fmt.Printf("%6.2fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	})
	app.FatalIfError(err, "")
	seen.Print(os.Stdout)
	if len(seen.Violations) > 0 {
		os.Exit(exitBroken)
	}
}

func untilSignal() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
