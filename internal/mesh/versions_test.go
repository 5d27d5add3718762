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
		core := startCatchUpCore(t, routes)
		core.stop(oldMember)
		cfg := core.plan.Controllers[oldMember]
		must.NoError(t, os.RemoveAll(cfg.DataDir)) // an older release cannot read large documents on disk
		must.NoError(t, os.MkdirAll(cfg.DataDir, 0o755))
		path := filepath.Join(t.TempDir(), "settings")
		must.NoError(t, testmesh.WriteSettings(cfg, path))
		ctx, kill := context.WithCancel(context.Background())
		defer kill()
		process := exec.CommandContext(ctx, program)
		process.Env = append(os.Environ(), "OTTERSHIFT_CONFIG="+path)
		must.NoError(t, process.Start())
		core.waitForCatchUp(oldMember, 0, "")
		for member := range core.stops { // each member proposes, first with all three, later without one new member
			core.change(member, 5)
		}
		core.stop(2)
		core.change(0, 3)
		core.change(oldMember, 3)
		core.start(2, 0)
		must.SliceEmpty(t, core.waitForCatchUp(2, 0, "").staleResponses)
		for member := range core.stops {
			status, text := core.call(member, "timetable.fetch", 0, "")
			must.Eq(t, http.StatusOK, status)
			must.StrContains(t, text, fmt.Sprintf(`"Edition":%d,`, core.version.Load()))
			must.StrContains(t, text, fmt.Sprintf(`"route-%d"`, routes-1))
		}
		must.NoError(t, process.Process.Signal(syscall.SIGTERM))
		process.Wait()
		core.start(oldMember, 0) // on the disk that the older release wrote
		must.SliceEmpty(t, core.waitForCatchUp(oldMember, 0, "").staleResponses)
		core.change(oldMember, 3)
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			status, err := core.status(oldMember)
			return err == nil && status.Current && status.State.Edition == core.version.Load() && len(status.State.Configuration) > 100*routes
		}), wait.Timeout(5*time.Second), wait.Gap(10*time.Millisecond)))
		status, err := core.status(0)
		must.NoError(t, err)
		t.Logf("%d routes: %d changes in a core of two versions; %d compact requests repeated in full at member 0", routes, core.version.Load()-1, status.Counts["compact_lacking"])
		for n := range core.stops {
			core.stop(n)
		}
	}
}
