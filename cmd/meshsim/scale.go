package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"ottershift/internal/mesh/simulation/scale"
)

func scaleCommand(app *kingpin.Application, flags processFlags) command {
	cmd := app.Command("scale", "Measure how a mesh's cost grows: emulated balancers and real proxies at real controllers, at several sizes.")
	file := cmd.Arg("file", "Plan, TOML.").Required().ExistingFile()
	sizes := cmd.Flag("size", "A size to run instead of the plan's; repeatable.").Ints()
	asJSON := cmd.Flag("json", "Answer as JSON.").Bool()
	svg := cmd.Flag("svg", "File to write the charts to.").String()
	quiet := cmd.Flag("quiet", "No progress.").Bool()
	return command{cmd.FullCommand(), func(app *kingpin.Application) {
		plan := readPlan(app, *file, *sizes)
		ctx, stop := signalContext()
		defer stop()
		report, err := scale.Run(ctx, plan, flags.programDir(app), *flags.logs, func(row scale.Row) {
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
