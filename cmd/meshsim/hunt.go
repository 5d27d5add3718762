package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func huntCommand(app *kingpin.Application) command {
	hunt := app.Command("hunt", "Search for a day that breaks a rule, shrink it to the fewest faults and write it as a question.")
	file := hunt.Arg("file", "Question, TOML; the search starts from its numbers of faults.").Required().ExistingFile()
	days := hunt.Flag("days", "Maximum number of days to simulate.").Default("5000").Int()
	seed := hunt.Flag("seed", "Seed of the search.").Default("1").Uint64()
	out := hunt.Flag("out", "File to write the day to.").Default("found.toml").String()
	return command{hunt.FullCommand(), func(app *kingpin.Application) {
		q := readQuestion(app, *file)
		found, played := q.Search(*seed, *days, func(played int, near float64) {
			fmt.Fprintf(os.Stderr, "\r%d days played, nearest %.2f of 1", played, near)
		})
		fmt.Fprintln(os.Stderr)
		if found == nil {
			fmt.Printf("verdict=held days=%d\n", played)
			return
		}
		fmt.Printf("seed %d: %s\nmet on day %d with %d faults; %d days played to shrink it to %d:\n", found.Seed, found.Broken, found.Runs, found.OriginalFaults, found.ShrinkRuns, len(found.Faults))
		for _, f := range found.Faults {
			fmt.Println("  ", f)
		}
		raw, err := found.File(q)
		app.FatalIfError(err, "")
		app.FatalIfError(os.WriteFile(*out, raw, 0o644), "")
		fmt.Printf("written to %s\nverdict=broken days=%d\n", *out, found.Runs)
		os.Exit(exitBroken)
	}}
}
