// Command apiary answers what-if questions about a mesh, with the mesh's own state machines on a virtual clock.
package main

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"ottershift/internal/hive/apiary"
)

func main() {
	app := kingpin.New("apiary", "Plays a mesh on a virtual clock: other sizes, other failures, other settings.")
	ask := app.Command("ask", "Answer a question: a table, a row for each value that it varies.")
	files := ask.Arg("file", "Question, TOML.").Required().ExistingFiles()
	seeds := ask.Flag("seeds", "Days a row, instead of what the question says.").Int()
	asJSON := ask.Flag("json", "Answer as JSON.").Bool()
	quiet := ask.Flag("quiet", "No progress.").Bool()
	play := app.Command("play", "Play one day of a question and tell what came of it.")
	playFile := play.Arg("file", "Question, TOML.").Required().ExistingFile()
	seed := play.Flag("seed", "Which.").Default("1").Uint64()
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
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
			apiary.Print(os.Stdout, q, names, rows)
		}
		held = held && q.Held(rows)
	}
	if !held {
		fmt.Println("verdict=broken")
		os.Exit(1)
	}
	fmt.Println("verdict=held")
}

func read(app *kingpin.Application, file string) *apiary.Question {
	text, err := os.ReadFile(file)
	app.FatalIfError(err, "")
	q, err := apiary.ReadQuestion(text)
	app.FatalIfError(err, "%s", file)
	return q
}
