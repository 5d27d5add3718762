package mesh_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// addedRoute is a route with the most urgent priority and the longest target.
const addedRoute = `{"Name":"added","MailClass":"repeatable","Target":"1000ms","Precedence":0,"Unstamped":true,"Sorting":{"StreetPrefix":"/added/"},"Dispatch":{"Destination":"album","Deadline":"1000ms","DeliveryTries":2}},
`

// routeCounts counts the requests on one route, and those that were served.
type routeCounts struct{ sent, ok atomic.Int64 }

func (s *routeCounts) ratio() float64 { return float64(s.ok.Load()) / float64(max(s.sent.Load(), 1)) }

// sendLoad sends requests on a path at a rate for a time, to the proxies in turn.
func (m *mesh) sendLoad(path string, perSecond int, duration time.Duration, counts *routeCounts, requests *sync.WaitGroup) {
	requests.Go(func() {
		ticker := time.NewTicker(time.Second / time.Duration(perSecond))
		defer ticker.Stop()
		for n := range int(duration.Seconds() * float64(perSecond)) {
			<-ticker.C
			requests.Go(func() {
				counts.sent.Add(1)
				if status, _, _ := m.sendWithID(n%len(m.plan.Proxies), "GET", path, fmt.Sprintf("%s%d", path, n)); status == http.StatusOK {
					counts.ok.Add(1)
				}
			})
		}
	})
}

// At twice the load that the upstreams can serve, an added route with the most urgent priority must be served, and the
// other routes must not starve. When requests were ordered by time alone, those on the added route came last and were
// rejected.
func TestAddedUrgentRouteIsServedUnderLoad(t *testing.T) {
	m := startMesh(t, 1, 2, 100*time.Millisecond, 100) // two upstreams with 8 slots each
	m.applyConfig(1)
	status, text := m.call(0, "timetable.replace", "1", strings.Replace(fmt.Sprintf(config, 2), `{"Name":"read"`, addedRoute+`{"Name":"read"`, 1))
	must.Eq(t, http.StatusOK, status, must.Sprint(text))
	for n := range m.plan.Proxies {
		m.waitUntil(func() bool { status, _, _, _ := m.send(n, "GET", "/added/x"); return status == http.StatusOK })
	}
	var first, urgent routeCounts
	var requests sync.WaitGroup
	m.sendLoad("/read/x", 400, 4*time.Second, &first, &requests)
	m.sendLoad("/added/x", 15, 4*time.Second, &urgent, &requests)
	requests.Wait()
	t.Logf("added route: %d of %d served; first route: %d of %d", urgent.ok.Load(), urgent.sent.Load(), first.ok.Load(), first.sent.Load())
	must.Greater(t, 0.9, urgent.ratio())
	must.Greater(t, (first.ratio()+urgent.ratio())/8, first.ratio())
}
