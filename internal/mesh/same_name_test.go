package mesh_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/testmesh"
)

// Two routes of one name keep what is promised for each: the effects of one run once where the other one's reads may run again.
func TestRoutesThatShareANameKeepTheirPromises(t *testing.T) {
	m := start(t, 1, 2, 0, 100)
	m.put(1)
	status, text := m.call(0, "timetable.replace", "1", strings.Replace(fmt.Sprintf(config, 2), `"Name":"once"`, `"Name":"read"`, 1))
	must.Eq(t, http.StatusOK, status, must.Sprint(text))
	m.until(func() bool { // in force, and both upstreams are known
		m.send(0, "GET", "/read/x")
		return m.apps[0].Total() > 1 && m.apps[1].Total() > 1
	})
	for range 20 {
		for _, a := range m.apps {
			a.Next(testmesh.Reset)
		}
		_, id, _, _ := m.send(0, "POST", "/once/y")
		must.Eq(t, 1, m.runs(id))
		for _, a := range m.apps {
			for a.Pending() > 0 {
				a.Drop()
			}
		}
	}
}
