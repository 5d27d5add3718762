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

// TestMixedControllerVersions runs an older controller program beside two new controllers, and then upgrades it in place.
// OTTERSHIFT_OLD_CONTROLLER is the path of the program; without it the test is skipped.
func TestMixedControllerVersions(t *testing.T) {
	program := os.Getenv("OTTERSHIFT_OLD_CONTROLLER")
	if program == "" {
		t.Skip("OTTERSHIFT_OLD_CONTROLLER is not set")
	}
	const oldMember = 1
	for _, routes := range []int{10, 4000} {
		c := startCatchUpCore(t, routes)
		c.stop(oldMember)
		cfg := c.plan.Controllers[oldMember]
		must.NoError(t, os.RemoveAll(cfg.DataDir)) // an older version cannot read large documents on disk
		must.NoError(t, os.MkdirAll(cfg.DataDir, 0o755))
		path := filepath.Join(t.TempDir(), "settings")
		must.NoError(t, testmesh.WriteSettings(cfg, path))
		ctx, kill := context.WithCancel(context.Background())
		defer kill()
		process := exec.CommandContext(ctx, program)
		process.Env = append(os.Environ(), "OTTERSHIFT_CONFIG="+path)
		must.NoError(t, process.Start())
		c.waitForCatchUp(oldMember, 0, "")
		for member := range c.stops { // each member proposes, first with all three, later without one new member
			c.change(member, 5)
		}
		c.stop(2)
		c.change(0, 3)
		c.change(oldMember, 3)
		c.start(2, 0)
		must.SliceEmpty(t, c.waitForCatchUp(2, 0, "").staleResponses)
		for member := range c.stops {
			status, text := c.call(member, "timetable.fetch", 0, "")
			must.Eq(t, http.StatusOK, status)
			must.StrContains(t, text, fmt.Sprintf(`"Edition":%d,`, c.version.Load()))
			must.StrContains(t, text, fmt.Sprintf(`"route-%d"`, routes-1))
		}
		must.NoError(t, process.Process.Signal(syscall.SIGTERM))
		process.Wait()
		c.start(oldMember, 0) // on the disk that the older version wrote
		must.SliceEmpty(t, c.waitForCatchUp(oldMember, 0, "").staleResponses)
		c.change(oldMember, 3)
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			status, err := c.status(oldMember)
			return err == nil && status.Current && status.State.Edition == c.version.Load() && len(status.State.Configuration) > 100*routes
		}), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)))
		status, err := c.status(0)
		must.NoError(t, err)
		t.Logf("%d routes: %d changes in a core of two versions; %d compact requests repeated in full at member 0", routes, c.version.Load()-1, status.Counts["compact_lacking"])
		for n := range c.stops {
			c.stop(n)
		}
	}
}
