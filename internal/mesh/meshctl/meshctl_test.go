package meshctl

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/testmesh"
)

// run runs a command line.
func run(args ...string) (code int, out, errors string) {
	var o, f bytes.Buffer
	code = Run(args, &o, &f)
	return code, o.String(), f.String()
}

const configurationJSON = `{"Edition":%d,"SizeLimits":{},"PostOffices":[{"Town":"a","Regulations":[{"Name":"r","MailClass":"repeatable","Target":"1s","Sorting":{"StreetPrefix":"/"},"Dispatch":{"Destination":"d","Deadline":"%s","DeliveryTries":1}}]}],"Depots":[{"Name":"d"}]}`

// The commands work on a core with one member: status, configuration changes, backup, and restore after the loss of its
// disk.
func TestBackupRestoreAndConfigurationCommands(t *testing.T) {
	dir := t.TempDir()
	plan, err := testmesh.Plan(1, 0, []string{"east"}, nil, dir)
	must.NoError(t, err)
	nodeSettings := plan.Controllers[0]
	nodeSettings.Tolerate.Machines = 0
	must.NoError(t, os.MkdirAll(nodeSettings.DataDir, 0o755))
	start := func() (stop func()) {
		opened, err := controller.Open(nodeSettings, slog.New(slog.NewTextHandler(io.Discard, nil)))
		must.NoError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); opened.Run(ctx) }()
		return func() { cancel(); <-done }
	}
	stop := start()
	core := []string{"--core", nodeSettings.ControlAddress, "--inner", fmt.Sprint(nodeSettings.FirstInternalPort)}
	meshctl := func(args ...string) (int, string, string) {
		return run(append(append([]string{}, core...), args...)...)
	}
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	first, second, invalid := file("1.json", fmt.Sprintf(configurationJSON, 3, "1s")), file("2.json", fmt.Sprintf(configurationJSON, 5, "2s")), file("bad.json", fmt.Sprintf(configurationJSON, 7, "0s"))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { code, _, _ := meshctl("status"); return code == OK }), wait.Timeout(5*time.Second), wait.Gap(20*time.Millisecond)))

	code, _, errors := meshctl("timetable", "replace", invalid)
	must.Eq(t, Refused, code)
	must.StrContains(t, errors, "Deadline")
	code, out, errors := meshctl("timetable", "replace", first)
	must.Eq(t, OK, code, must.Sprint(out, errors))
	code, out, errors = meshctl("timetable", "diff", second)
	must.Eq(t, OK, code, must.Sprint(out, errors))
	must.StrContains(t, out, "~ route r")
	code, _, _ = meshctl("timetable", "replace", second, "--on", "2")
	must.Eq(t, Refused, code)
	code, out, errors = meshctl("status")
	must.Eq(t, OK, code, must.Sprint(out, errors))
	must.StrContains(t, out, nodeSettings.Node)
	code, out, errors = meshctl("core")
	must.Eq(t, OK, code, must.Sprint(out, errors))
	must.StrContains(t, out, "founder-")
	code, out, _ = meshctl("--json", "duties")
	must.Eq(t, OK, code, must.Sprint(out, errors))
	must.StrContains(t, out, `"Epoch"`)
	saved := filepath.Join(dir, "saved")
	code, _, errors = meshctl("backup", saved)
	must.Eq(t, OK, code, must.Sprint(errors))
	stop()
	code, _, _ = meshctl("--timeout", "200ms", "timetable", "fetch")
	must.Eq(t, OutcomeUnknown, code)

	// After the loss of the disk, a new core of one is started from the backup, and restore reports what may be lost.
	code, _, errors = run("restore", saved, "--dir", nodeSettings.DataDir, "--at", nodeSettings.InternalAddress(), "--zone", "east")
	must.Eq(t, Failed, code) // restore does not overwrite a store
	must.StrContains(t, errors, "holds a copy already")
	fromDisk := filepath.Join(dir, "from-disk")
	code, _, _ = run("backup", fromDisk, "--from", nodeSettings.DataDir)
	must.Eq(t, OK, code, must.Sprint(out, errors))
	must.NoError(t, os.RemoveAll(nodeSettings.DataDir))
	code, out, errors = run("restore", saved, "--dir", nodeSettings.DataDir, "--at", nodeSettings.InternalAddress(), "--zone", "east")
	must.Eq(t, OK, code, must.Sprint(errors))
	must.StrContains(t, out, "Lost, if they were acknowledged: all changes after slot")
	nodeSettings.FirstStart = false
	defer start()()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		code, out, _ = meshctl("timetable", "fetch")
		return code == OK
	}), wait.Timeout(5*time.Second), wait.Gap(20*time.Millisecond)))
	must.StrContains(t, out, `"Edition":3`)
	must.NoError(t, os.WriteFile(saved, []byte(strings.Replace(fmt.Sprint(readFile(t, saved)), `"Edition": 3`, `"Edition": 4`, 1)), 0o600))
	code, _, errors = run("restore", saved, "--dir", filepath.Join(dir, "other"), "--at", "10.0.0.1:1", "--zone", "east")
	must.Eq(t, Failed, code)
	must.StrContains(t, errors, "checksum")
}

func readFile(t *testing.T, path string) string {
	raw, err := os.ReadFile(path)
	must.NoError(t, err)
	return string(raw)
}

// Usage errors name what is missing or unknown.
func TestUsageErrors(t *testing.T) {
	code, _, errors := run("status")
	must.Eq(t, Usage, code)
	must.StrContains(t, errors, "BEEKEEPER_CORE")
	code, _, errors = run("burn")
	must.Eq(t, Usage, code)
	must.StrContains(t, errors, "burn")
}

// Orders on burst credit require --who and --why, are recorded in the account's history, and can freeze the account.
func TestCreditOrders(t *testing.T) {
	plan, err := testmesh.Plan(1, 0, []string{"east"}, nil, t.TempDir())
	must.NoError(t, err)
	nodeSettings := plan.Controllers[0]
	nodeSettings.Tolerate.Machines = 0
	must.NoError(t, os.MkdirAll(nodeSettings.DataDir, 0o755))
	opened, err := controller.Open(nodeSettings, slog.New(slog.NewTextHandler(io.Discard, nil)))
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); opened.Run(ctx) }()
	defer func() { cancel(); <-done }()
	meshctl := func(args ...string) (int, string, string) {
		return run(append([]string{"--newest", "--core", nodeSettings.ControlAddress, "--inner", fmt.Sprint(nodeSettings.FirstInternalPort)}, args...)...)
	}
	grant := []string{"credit", "grant", "acme", "120", "--who", "ann", "--why", "the fair"}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { code, _, _ := meshctl(grant...); return code == OK }), wait.Timeout(5*time.Second), wait.Gap(20*time.Millisecond)))
	for _, step := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"credit", "grant", "acme", "5", "--who", "ann"}, Usage, ""},
		{[]string{"credit", "grant", "acme", "--who", "ann", "--why", "back", "--", "-20"}, OK, "balance 100.0"},
		{[]string{"credit", "freeze", "acme", "--who", "bo", "--why", "a bill"}, OK, "balance 100.0"},
		{[]string{"credit"}, OK, "frozen"},
		{[]string{"credit", "show", "acme"}, OK, "100.0"},
		{[]string{"credit", "show", "nobody"}, Refused, ""},
		{[]string{"credit", "history", "acme"}, OK, "a bill"},
		{[]string{"partners"}, OK, "act on word 0"},
		{[]string{"partners", "show", "zuid"}, Refused, ""},
		{[]string{"partners", "hold", "zuid", "--who", "bo", "--why", "x"}, OutcomeUnknown, ""}, // unknown partner
		{[]string{"credit", "freeze", "acme", "--thaw", "--who", "bo", "--why", "paid"}, OK, ""},
		{[]string{"credit", "show", "acme"}, OK, "open"},
	} {
		code, out, errors := meshctl(step.args...)
		must.Eq(t, step.code, code, must.Sprint(step.args, out, errors))
		must.StrContains(t, out, step.want)
	}
}
