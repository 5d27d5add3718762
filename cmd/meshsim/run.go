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
	run := app.Command("run", "Run a question's mesh as real processes on loopback and judge it by what clients, upstreams and operators saw.")
	file := run.Arg("file", "Question, TOML, with a table [run].").Required().ExistingFile()
	seed := run.Flag("seed", "Seed of the clients.").Uint64()
	short := run.Flag("short", "Run the short form.").Bool()
	proxies := run.Flag("proxies", "Number of proxies, in place of the question's.").Int()
	controllers := run.Flag("controllers", "Number of controllers, in place of the question's.").Int()
	return command{run.FullCommand(), func(app *kingpin.Application) {
		q := readQuestion(app, *file)
		if *seed > 0 {
			q.Seed = *seed
		}
		app.FatalIfError(q.Resize(*controllers, *proxies), "")
		playProcesses(app, flags, q, *short)
	}}
}

func demoCommand(app *kingpin.Application, flags processFlags) command {
	demo := app.Command("demo", "Run a mesh for 20 seconds: three controllers and six proxies, one of each killed during the run.")
	return command{demo.FullCommand(), func(app *kingpin.Application) { playProcesses(app, flags, simulation.Demo(), false) }}
}

// playProcesses runs a question's mesh as real processes and prints the result.
func playProcesses(app *kingpin.Application, flags processFlags, q *simulation.Question, short bool) {
	ctx, stop := signalContext()
	defer stop()
	began := time.Now()
	fmt.Println(q.Title)
	mesh := q.ProcessMesh(flags.programDir(app), *flags.logs, short)
	mesh.OtherPrograms = *flags.secondPrograms
	result, err := processes.Run(ctx, mesh, func(format string, args ...any) {
		fmt.Printf("%6.2fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
	})
	app.FatalIfError(err, "")
	result.Print(os.Stdout)
	if len(result.Violations) > 0 {
		os.Exit(exitBroken)
	}
}

func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
}
