// Command meshsim answers what-if questions about a mesh, with the mesh's own state machines on a virtual clock.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"ottershift/internal/mesh/simulation"
	"ottershift/internal/mesh/simulation/processes"
)

func main() {
	app := kingpin.New("meshsim", "Plays a mesh on a virtual clock: other sizes, other failures, other settings.")
	ask := app.Command("ask", "Answer a question: a table, a row for each value that it varies.")
	files := ask.Arg("file", "Question, TOML.").Required().ExistingFiles()
	seeds := ask.Flag("seeds", "Days a row, instead of what the question says.").Int()
	asJSON := ask.Flag("json", "Answer as JSON.").Bool()
	quiet := ask.Flag("quiet", "No progress.").Bool()
	play := app.Command("play", "Play one day of a question and tell what came of it.")
	playFile := play.Arg("file", "Question, TOML.").Required().ExistingFile()
	seed := play.Flag("seed", "Which.").Default("1").Uint64()
	hunt := app.Command("hunt", "Look for a day that breaks a rule, shrink it to the fewest faults and write it as a question.")
	huntFile := hunt.Arg("file", "Question, TOML: its numbers of faults are where the hunt begins.").Required().ExistingFile()
	days := hunt.Flag("days", "Days to play at most.").Default("5000").Int()
	huntSeed := hunt.Flag("seed", "Of the hunt.").Default("1").Uint64()
	out := hunt.Flag("out", "Where to write the day.").Default("found.toml").String()
	run := app.Command("run", "Play a question's mesh as real processes on loopback, and judge it by what clients, upstreams and operators saw.")
	runFile := run.Arg("file", "Question, TOML: its table [run].").Required().ExistingFile()
	runSeed := run.Flag("seed", "Of the clients.").Uint64()
	short := run.Flag("short", "Its short form.").Bool()
	demo := app.Command("demo", "Show a mesh for 20 seconds: three controllers, six proxies, one of each killed on the way.")
	programs := app.Flag("programs", "Folder with controller and proxy; where this program is, if not given.").String()
	beside := app.Flag("beside", "Folder with another version's controller and proxy: every second process is started from it.").String()
	logs := app.Flag("logs", "Folder for what the processes of run and demo write.").String()
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if command == run.FullCommand() || command == demo.FullCommand() {
		q := simulation.Demo()
		if command == run.FullCommand() {
			q = read(app, *runFile)
		}
		if *runSeed > 0 {
			q.Seed = *runSeed
		}
		if *programs == "" {
			own, err := os.Executable()
			app.FatalIfError(err, "")
			*programs = filepath.Dir(own)
		}
		ctx, end := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer end()
		began := time.Now()
		fmt.Println(q.Title)
		m := q.Live(*programs, *logs, *short)
		m.Beside = *beside
		seen, err := processes.Play(ctx, m, func(format string, args ...any) {
			fmt.Printf("%6.2fs  %s\n", time.Since(began).Seconds(), fmt.Sprintf(format, args...))
		})
		app.FatalIfError(err, "")
		seen.Print(os.Stdout)
		if len(seen.Broken) > 0 {
			os.Exit(1)
		}
		return
	}
	if command == hunt.FullCommand() {
		q := read(app, *huntFile)
		found, played := q.Hunt(*huntSeed, *days, func(played int, near float64) {
			fmt.Fprintf(os.Stderr, "\r%d days played, nearest %.2f of 1", played, near)
		})
		fmt.Fprintln(os.Stderr)
		if found == nil {
			fmt.Printf("verdict=held days=%d\n", played)
			return
		}
		fmt.Printf("seed %d: %s\nmet on day %d with %d faults; %d days played to shrink it to %d:\n", found.Seed, found.Broken, found.Days, found.Met, found.Shrunk, len(found.Faults))
		for _, f := range found.Faults {
			fmt.Println("  ", f)
		}
		raw, err := found.File(q)
		app.FatalIfError(err, "")
		app.FatalIfError(os.WriteFile(*out, raw, 0o644), "")
		fmt.Printf("written to %s\nverdict=broken days=%d\n", *out, found.Days)
		os.Exit(1)
	}
	if command == play.FullCommand() {
		q := read(app, *playFile)
		raw, err := json.MarshalIndent(q.Day(*seed), "", "  ")
		app.FatalIfError(err, "")
		fmt.Println(string(raw))
		return
	}
	held := true
	for _, file := range *files {
		q := read(app, file)
		if *seeds > 0 {
			q.Seeds = *seeds
		}
		names, rows, err := q.Answer(func(done, all int) {
			if !*quiet {
				fmt.Fprintf(os.Stderr, "\r%s: %d of %d rows", file, done, all)
			}
		})
		app.FatalIfError(err, "%s", file)
		if !*quiet {
			fmt.Fprintln(os.Stderr)
		}
		if *asJSON {
			raw, err := json.MarshalIndent(rows, "", "  ")
			app.FatalIfError(err, "")
			fmt.Println(string(raw))
		} else {
			simulation.Print(os.Stdout, q, names, rows)
		}
		held = held && q.Held(rows)
	}
	if !held {
		fmt.Println("verdict=broken")
		os.Exit(1)
	}
	fmt.Println("verdict=held")
}

func read(app *kingpin.Application, file string) *simulation.Question {
	text, err := os.ReadFile(file)
	app.FatalIfError(err, "")
	q, err := simulation.ReadQuestion(text)
	app.FatalIfError(err, "%s", file)
	return q
}
