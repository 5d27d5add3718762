// Command meshsim answers what-if questions about a mesh, with the mesh's own state machines on a virtual clock, and plays meshes
// of real processes.
package main

import (
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"ottershift/internal/mesh/simulation"
)

// exitBroken is the code of a command that found a broken rule.
const exitBroken = 1

// command is one verb: what it is called and what it does.
type command struct {
	name string
	run  func(app *kingpin.Application)
}

func main() {
	app := kingpin.New("meshsim", "Plays a mesh on a virtual clock: other sizes, other failures, other settings.")
	processes := processFlags{
		programs: app.Flag("programs", "Folder with controller and proxy; where this program is, if not given.").String(),
		beside:   app.Flag("beside", "Folder with another version's controller and proxy: every second process is started from it.").String(),
		logs:     app.Flag("logs", "Folder for what the processes of run, demo and scale write.").String(),
	}
	commands := []command{askCommand(app), playCommand(app), huntCommand(app), runCommand(app, processes), demoCommand(app, processes), scaleCommand(app, processes)}
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, c := range commands {
		if c.name == chosen {
			c.run(app)
		}
	}
}

// processFlags are those of the commands that start real processes.
type processFlags struct{ programs, beside, logs *string }

// folder is where the programs are.
func (f processFlags) folder(app *kingpin.Application) string {
	if *f.programs != "" {
		return *f.programs
	}
	own, err := os.Executable()
	app.FatalIfError(err, "")
	return filepath.Dir(own)
}

func readQuestion(app *kingpin.Application, file string) *simulation.Question {
	text, err := os.ReadFile(file)
	app.FatalIfError(err, "")
	q, err := simulation.ReadQuestion(text)
	app.FatalIfError(err, "%s", file)
	return q
}
