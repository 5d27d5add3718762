package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"ottershift/internal/mesh/simulation"
)

func askCommand(app *kingpin.Application) command {
	ask := app.Command("ask", "Answer a question with a table: one row per value that it varies.")
	files := ask.Arg("file", "Question, TOML.").Required().ExistingFiles()
	seeds := ask.Flag("seeds", "Simulated days per row, instead of the question's number.").Int()
	asJSON := ask.Flag("json", "Answer as JSON.").Bool()
	quiet := ask.Flag("quiet", "No progress.").Bool()
	return command{ask.FullCommand(), func(app *kingpin.Application) {
		held := true
		for _, file := range *files {
			q := readQuestion(app, file)
			if *seeds > 0 {
				q.Seeds = *seeds
			}
			held = printAnswer(app, q, file, *asJSON, *quiet) && held
		}
		if !held {
			fmt.Println("verdict=broken")
			os.Exit(exitBroken)
		}
		fmt.Println("verdict=held")
	}}
}

// printAnswer prints the rows of a question and reports whether they meet its expectation.
func printAnswer(app *kingpin.Application, q *simulation.Question, file string, asJSON, quiet bool) bool {
	names, rows, err := q.Answer(func(done, all int) {
		if !quiet {
			fmt.Fprintf(os.Stderr, "\r%s: %d of %d rows", file, done, all)
		}
	})
	app.FatalIfError(err, "%s", file)
	if !quiet {
		fmt.Fprintln(os.Stderr)
	}
	if asJSON {
		printJSON(app, rows)
	} else {
		simulation.PrintAnswer(os.Stdout, q, names, rows)
	}
	return q.MeetsExpectation(rows)
}

func playCommand(app *kingpin.Application) command {
	play := app.Command("play", "Simulate one day of a question and print the result.")
	file := play.Arg("file", "Question, TOML.").Required().ExistingFile()
	seed := play.Flag("seed", "Which.").Default("1").Uint64()
	return command{play.FullCommand(), func(app *kingpin.Application) {
		printJSON(app, readQuestion(app, *file).SimulateSeed(*seed))
	}}
}

func printJSON(app *kingpin.Application, value any) {
	raw, err := json.MarshalIndent(value, "", "  ")
	app.FatalIfError(err, "")
	fmt.Println(string(raw))
}
