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

// With added, a configuration has a route of the most urgent precedence and the longest target beside the first ones.
const added = `{"Name":"added","MailClass":"repeatable","Target":"1000ms","Precedence":0,"Unstamped":true,"Sorting":{"StreetPrefix":"/added/"},"Dispatch":{"Destination":"album","Deadline":"1000ms","DeliveryTries":2}},
`

// served counts what came of the requests on one route.
type served struct{ asked, ok atomic.Int64 }

func (s *served) ratio() float64 { return float64(s.ok.Load()) / float64(max(s.asked.Load(), 1)) }

// load sends so many requests a second on a path by way of each balancer, for a time.
func (m *mesh) load(path string, perSecond int, lasts time.Duration, into *served, over *sync.WaitGroup) {
	over.Go(func() {
		t := time.NewTicker(time.Second / time.Duration(perSecond))
		defer t.Stop()
		for n := range int(lasts.Seconds() * float64(perSecond)) {
			<-t.C
			over.Go(func() {
				into.asked.Add(1)
				if status, _, _ := m.sendAs(n%len(m.plan.Proxies), "GET", path, fmt.Sprintf("%s%d", path, n)); status == http.StatusOK {
					into.ok.Add(1)
				}
			})
		}
	})
}

// Under load at twice what the upstreams can do, a route that is added with the most urgent precedence is served, and first routes
// are not starved. Found by the operators: ordered by time alone, what was added stood last and was turned away.
func TestARouteThatIsAddedIsServedUnderLoad(t *testing.T) {
	m := start(t, 1, 2, 100*time.Millisecond, 100) // two upstreams with 8 slots each
	m.put(1)
	status, text := m.call(0, "timetable.replace", "1", strings.Replace(fmt.Sprintf(config, 2), `{"Name":"read"`, added+`{"Name":"read"`, 1))
	must.Eq(t, http.StatusOK, status, must.Sprint(text))
	for n := range m.plan.Proxies {
		m.until(func() bool { status, _, _, _ := m.send(n, "GET", "/added/x"); return status == http.StatusOK })
	}
	var first, urgent served
	var over sync.WaitGroup
	m.load("/read/x", 400, 4*time.Second, &first, &over)
	m.load("/added/x", 15, 4*time.Second, &urgent, &over)
	over.Wait()
	t.Logf("added: %d of %d served; first: %d of %d", urgent.ok.Load(), urgent.asked.Load(), first.ok.Load(), first.asked.Load())
	must.Greater(t, 0.9, urgent.ratio())
	must.Greater(t, (first.ratio()+urgent.ratio())/8, first.ratio())
}
