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

func run(args ...string) (code int, out, faults string) {
	var o, f bytes.Buffer
	code = Run(args, &o, &f)
	return code, o.String(), f.String()
}

const table = `{"Edition":%d,"SizeLimits":{},"PostOffices":[{"Town":"a","Regulations":[{"Name":"r","MailClass":"repeatable","Target":"1s","Sorting":{"StreetPrefix":"/"},"Dispatch":{"Destination":"d","Deadline":"%s","DeliveryTries":1}}]}],"Depots":[{"Name":"d"}]}`

// An operator's day: a core of one is watched, changed, saved, lost, and begun again from what was saved.
func TestBackupRestoreAndConfigurationCommands(t *testing.T) {
	dir := t.TempDir()
	plan, err := testmesh.Plan(1, 0, []string{"east"}, nil, dir)
	must.NoError(t, err)
	b := plan.Controllers[0]
	b.Tolerate.Machines = 0
	must.NoError(t, os.MkdirAll(b.DataDir, 0o755))
	start := func() (stop func()) {
		c, err := controller.Open(b, slog.New(slog.NewTextHandler(io.Discard, nil)))
		must.NoError(t, err)
		ctx, end := context.WithCancel(context.Background())
		over := make(chan struct{})
		go func() { defer close(over); c.Run(ctx) }()
		return func() { end(); <-over }
	}
	stop := start()
	core := []string{"--core", b.ControlAddress, "--inner", fmt.Sprint(b.FirstInternalPort)}
	do := func(args ...string) (int, string, string) {
		return run(append(append([]string{}, core...), args...)...)
	}
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		must.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	one, two, bad := file("1.json", fmt.Sprintf(table, 3, "1s")), file("2.json", fmt.Sprintf(table, 5, "2s")), file("bad.json", fmt.Sprintf(table, 7, "0s"))
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { code, _, _ := do("status"); return code == OK }), wait.Timeout(5*time.Second), wait.Gap(20*time.Millisecond)))

	code, _, faults := do("timetable", "replace", bad)
	must.Eq(t, Refused, code)
	must.StrContains(t, faults, "Deadline")
	code, out, faults := do("timetable", "replace", one)
	must.Eq(t, OK, code, must.Sprint(out, faults))
	code, out, faults = do("timetable", "diff", two)
	must.Eq(t, OK, code, must.Sprint(out, faults))
	must.StrContains(t, out, "~ route r")
	code, _, _ = do("timetable", "replace", two, "--on", "2")
	must.Eq(t, Refused, code)
	code, out, faults = do("status")
	must.Eq(t, OK, code, must.Sprint(out, faults))
	must.StrContains(t, out, b.Node)
	code, out, faults = do("core")
	must.Eq(t, OK, code, must.Sprint(out, faults))
	must.StrContains(t, out, "founder-")
	code, out, _ = do("--json", "duties")
	must.Eq(t, OK, code, must.Sprint(out, faults))
	must.StrContains(t, out, `"Epoch"`)
	saved := filepath.Join(dir, "saved")
	code, _, faults = do("backup", saved)
	must.Eq(t, OK, code, must.Sprint(faults))
	stop()
	code, _, _ = do("--timeout", "200ms", "timetable", "fetch")
	must.Eq(t, OutcomeUnknown, code)

	// The disk is gone; a backup begins a core of one anew, and says what may be lost.
	code, _, faults = run("restore", saved, "--dir", b.DataDir, "--at", b.InternalAddress(), "--zone", "east")
	must.Eq(t, Failed, code) // not over what is there
	must.StrContains(t, faults, "holds a copy already")
	from := filepath.Join(dir, "from-disk")
	code, _, _ = run("backup", from, "--from", b.DataDir)
	must.Eq(t, OK, code, must.Sprint(out, faults))
	must.NoError(t, os.RemoveAll(b.DataDir))
	code, out, faults = run("restore", saved, "--dir", b.DataDir, "--at", b.InternalAddress(), "--zone", "east")
	must.Eq(t, OK, code, must.Sprint(faults))
	must.StrContains(t, out, "Lost, if they were acknowledged: all changes after slot")
	b.FirstStart = false
	defer start()()
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		code, out, _ = do("timetable", "fetch")
		return code == OK
	}), wait.Timeout(5*time.Second), wait.Gap(20*time.Millisecond)))
	must.StrContains(t, out, `"Edition":3`)
	must.NoError(t, os.WriteFile(saved, []byte(strings.Replace(fmt.Sprint(readFile(t, saved)), `"Edition": 3`, `"Edition": 4`, 1)), 0o600))
	code, _, faults = run("restore", saved, "--dir", filepath.Join(dir, "other"), "--at", "10.0.0.1:1", "--zone", "east")
	must.Eq(t, Failed, code)
	must.StrContains(t, faults, "checksum")
}

func readFile(t *testing.T, path string) string {
	raw, err := os.ReadFile(path)
	must.NoError(t, err)
	return string(raw)
}

func TestUsageErrors(t *testing.T) {
	code, _, faults := run("status")
	must.Eq(t, Usage, code)
	must.StrContains(t, faults, "BEEKEEPER_CORE")
	code, _, faults = run("burn")
	must.Eq(t, Usage, code)
	must.StrContains(t, faults, "burn")
}

// Credit by an operator's hand: who and why are asked for, each word is in the history, an account that is frozen says so.
func TestCreditOrders(t *testing.T) {
	plan, err := testmesh.Plan(1, 0, []string{"east"}, nil, t.TempDir())
	must.NoError(t, err)
	b := plan.Controllers[0]
	b.Tolerate.Machines = 0
	must.NoError(t, os.MkdirAll(b.DataDir, 0o755))
	c, err := controller.Open(b, slog.New(slog.NewTextHandler(io.Discard, nil)))
	must.NoError(t, err)
	ctx, end := context.WithCancel(context.Background())
	over := make(chan struct{})
	go func() { defer close(over); c.Run(ctx) }()
	defer func() { end(); <-over }()
	do := func(args ...string) (int, string, string) {
		return run(append([]string{"--newest", "--core", b.ControlAddress, "--inner", fmt.Sprint(b.FirstInternalPort)}, args...)...)
	}
	grant := []string{"credit", "grant", "acme", "120", "--who", "ann", "--why", "the fair"}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { code, _, _ := do(grant...); return code == OK }), wait.Timeout(5*time.Second), wait.Gap(20*time.Millisecond)))
	for _, step := range []struct {
		args []string
		code int
		says string
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
		{[]string{"partners", "hold", "zuid", "--who", "bo", "--why", "x"}, OutcomeUnknown, ""}, // nobody knows it
		{[]string{"credit", "freeze", "acme", "--thaw", "--who", "bo", "--why", "paid"}, OK, ""},
		{[]string{"credit", "show", "acme"}, OK, "open"},
	} {
		code, out, faults := do(step.args...)
		must.Eq(t, step.code, code, must.Sprint(step.args, out, faults))
		must.StrContains(t, out, step.says)
	}
}
