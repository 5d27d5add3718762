package mesh_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"ottershift/internal/mesh/testmesh"
)

// TestAControllerOfAnotherVersionBesideNewOnes runs the controller program that OTTERSHIFT_OLD_CONTROLLER names as one of three, and
// upgrades it in place; without the variable there is no other program to run.
func TestAControllerOfAnotherVersionBesideNewOnes(t *testing.T) {
	program := os.Getenv("OTTERSHIFT_OLD_CONTROLLER")
	if program == "" {
		t.Skip("OTTERSHIFT_OLD_CONTROLLER names no program")
	}
	const old = 1
	for _, routes := range []int{10, 4000} {
		c := startCatchUpCore(t, routes)
		c.stop(old)
		b := c.plan.Controllers[old]
		must.NoError(t, os.RemoveAll(b.DataDir)) // large documents on disk are not read by an older version
		must.NoError(t, os.MkdirAll(b.DataDir, 0o755))
		path := filepath.Join(t.TempDir(), "settings")
		must.NoError(t, testmesh.Write(b, path))
		ctx, kill := context.WithCancel(context.Background())
		defer kill()
		process := exec.CommandContext(ctx, program)
		process.Env = append(os.Environ(), "OTTERSHIFT_CONFIG="+path)
		must.NoError(t, process.Start())
		c.observe(old, 0, "")
		for at := range c.stops { // each one proposes, with all three and with one new one away
			c.change(at, 5)
		}
		c.stop(2)
		c.change(0, 3)
		c.change(old, 3)
		c.start(2, 0)
		must.SliceEmpty(t, c.observe(2, 0, "").oldAnswers)
		for at := range c.stops {
			status, text := c.call(at, "timetable.fetch", 0, "")
			must.Eq(t, http.StatusOK, status)
			must.StrContains(t, text, fmt.Sprintf(`"Edition":%d,`, c.edition.Load()))
			must.StrContains(t, text, fmt.Sprintf(`"route-%d"`, routes-1))
		}
		must.NoError(t, process.Process.Signal(syscall.SIGTERM))
		process.Wait()
		c.start(old, 0) // the same disk, of the version before
		must.SliceEmpty(t, c.observe(old, 0, "").oldAnswers)
		c.change(old, 3)
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			s, err := c.status(old)
			return err == nil && s.Current && s.State.Edition == c.edition.Load() && len(s.State.Configuration) > 100*routes
		}), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)))
		s, err := c.status(0)
		must.NoError(t, err)
		t.Logf("%d routes: %d changes in a core of two versions; %d compact requests not understood at member 0", routes, c.edition.Load()-1, s.Counts["compact_lacking"])
		for n := range c.stops {
			c.stop(n)
		}
	}
}
