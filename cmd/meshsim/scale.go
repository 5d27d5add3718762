package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"ottershift/internal/mesh/simulation/scale"
)

func scaleCommand(app *kingpin.Application, flags processFlags) command {
	verb := app.Command("scale", "Measure how a mesh's cost grows: hollow balancers at real controllers, beside real proxies, at several sizes.")
	file := verb.Arg("file", "Plan, TOML.").Required().ExistingFile()
	sizes := verb.Flag("size", "A size to play instead of the plan's; may be given more than once.").Ints()
	asJSON := verb.Flag("json", "Answer as JSON.").Bool()
	svg := verb.Flag("svg", "Where to draw the figures.").String()
	quiet := verb.Flag("quiet", "No progress.").Bool()
	return command{verb.FullCommand(), func(app *kingpin.Application) {
		plan := readPlan(app, *file, *sizes)
		ctx, end := untilSignal()
		defer end()
		report, err := scale.Run(ctx, plan, flags.folder(app), *flags.logs, func(row scale.Row) {
			if !*quiet {
				fmt.Fprintln(os.Stderr, row.Summary())
			}
		})
		app.FatalIfError(writeReport(report, *asJSON, *svg), "")
		app.FatalIfError(err, "%s", *file)
	}}
}

func readPlan(app *kingpin.Application, file string, sizes []int) *scale.Plan {
	text, err := os.ReadFile(file)
	app.FatalIfError(err, "")
	plan, err := scale.ReadPlan(text)
	app.FatalIfError(err, "%s", file)
	if len(sizes) > 0 {
		plan.Sizes = sizes
		app.FatalIfError(plan.Validate(), "%s", file)
	}
	return plan
}

func writeReport(report *scale.Report, asJSON bool, svg string) error {
	if svg != "" {
		if err := os.WriteFile(svg, []byte(report.SVG()), 0o644); err != nil {
			return err
		}
	}
	if asJSON {
		return report.WriteJSON(os.Stdout)
	}
	return report.WriteTable(os.Stdout)
}
