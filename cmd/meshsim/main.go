// Command meshsim answers what-if questions about a mesh by running the mesh's own state machines on a virtual clock. It
// also runs meshes of real processes.
package main

import (
	"os"
	"path/filepath"

	"github.com/alecthomas/kingpin/v2"

	"ottershift/internal/mesh/simulation"
)

// exitBroken is the exit code of a command that found a broken rule.
const exitBroken = 1

// command is a subcommand: its full name and its action.
type command struct {
	name string
	run  func(app *kingpin.Application)
}

func main() {
	app := kingpin.New("meshsim", "Simulates a mesh on a virtual clock with other sizes, failures or settings.")
	processes := processFlags{
		programs:       app.Flag("programs", "Folder with controller and proxy; the folder of this program by default.").String(),
		secondPrograms: app.Flag("beside", "Folder with another version's controller and proxy: every second process runs from it.").String(),
		logs:           app.Flag("logs", "Folder for the logs of the processes of run, demo and scale.").String(),
	}
	commands := []command{askCommand(app), playCommand(app), huntCommand(app), runCommand(app, processes), demoCommand(app, processes), scaleCommand(app, processes)}
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	for _, c := range commands {
		if c.name == chosen {
			c.run(app)
		}
	}
}

// processFlags are the flags of the commands that start real processes.
type processFlags struct{ programs, secondPrograms, logs *string }

// programDir returns the folder of the programs to start.
func (f processFlags) programDir(app *kingpin.Application) string {
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
