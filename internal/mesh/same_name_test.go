package mesh_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/testmesh"
)

// Two routes with the same name keep their own classes: requests on the once-only route run once, although those on the
// repeatable route may be retried.
func TestRoutesWithSameNameKeepTheirClasses(t *testing.T) {
	m := startMesh(t, 1, 2, 0, 100)
	m.applyConfig(1)
	status, text := m.call(0, "timetable.replace", "1", strings.Replace(fmt.Sprintf(config, 2), `"Name":"once"`, `"Name":"read"`, 1))
	must.Eq(t, http.StatusOK, status, must.Sprint(text))
	m.waitUntil(func() bool { // the configuration is in effect, and both upstreams are known
		m.send(0, "GET", "/read/x")
		return m.upstreams[0].TotalRuns() > 1 && m.upstreams[1].TotalRuns() > 1
	})
	for range 20 {
		for _, upstream := range m.upstreams {
			upstream.InjectFaults(testmesh.Reset)
		}
		_, id, _, _ := m.send(0, "POST", "/once/y")
		must.Eq(t, 1, m.runs(id))
		for _, upstream := range m.upstreams {
			for upstream.PendingFaults() > 0 {
				upstream.DropNextFault()
			}
		}
	}
}
