package mesh_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/rpc"
)

// changingConfig returns longDeadlineConfig with another target, deadline and keep-alive timeout, and with or without
// the route that the requests use.
func changingConfig(version int, hasOnceRoute bool) string {
	prefix := "/once/"
	if !hasOnceRoute {
		prefix = "/other/"
	}
	return fmt.Sprintf(`{"Edition":%d,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"%dms"},
"PostOffices":[{"Town":"a.example","Regulations":[
 {"Name":"once","MailClass":"once_only","Target":"%dms","Precedence":1,"Sorting":{"StreetPrefix":"%s"},"Dispatch":{"Destination":"album","Deadline":"%dms","DeliveryTries":2}}]}],
"Depots":[{"Name":"album","HealthPath":"/health","LineCap":130,"Protocol":"h1"}]}`, version, 500+version%7*100, 2000+version%5*100, prefix, 5000+version%3*100)
}

// New versions change the deadlines, the keep-alive timeout and the route of requests that run or wait for a slot. Each
// request must get a response: accepted requests are served, the others get a status for a missing route or for
// overload.
func TestRequestsDuringConfigurationChangesGetResponses(t *testing.T) {
	m := startLongDeadlineMesh(t)
	m.upstreams[0].SetWork(60 * time.Millisecond)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var mu sync.Mutex
	counts := map[int]int{}
	for client := range 6 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("changed-%d-%d", client, n)
				got := m.sendOnceOnly(id)
				mu.Lock()
				counts[got.status]++
				mu.Unlock()
				if runs := m.runs(id); got.status <= 0 || runs > 1 || promisesNotExecuted(got.status) && runs > 0 || got.status == http.StatusNotFound && runs > 0 {
					t.Errorf("%s received %v and ran %d times", id, got, runs)
				}
			}
		})
	}
	for version := 2; version <= 60; version++ {
		m.waitUntil(func() bool {
			status, _ := m.call(0, "timetable.replace", fmt.Sprint(version-1), changingConfig(version, version%4 != 0))
			return status == http.StatusOK
		})
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	clients.Wait()
	t.Logf("responses during 59 changes: %v", counts)
	must.Positive(t, counts[http.StatusOK])
	must.Positive(t, counts[http.StatusNotFound])
	response, err := http.Get("http://" + m.plan.Proxies[0].InternalAddress() + rpc.PathMetrics)
	must.NoError(t, err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	must.NoError(t, err)
	must.StrContains(t, string(text), "ottershift_proxy_edition 60\n")
	must.StrContains(t, string(text), `ottershift_proxy_total{kind="answer_no_route"}`)
}
