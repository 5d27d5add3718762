package mesh_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/proxy"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
)

// watchCounter is a transport that counts watch responses, and those that are current.
type watchCounter struct {
	http.RoundTripper
	responses, current *atomic.Int64
}

func (c watchCounter) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := c.RoundTripper.RoundTrip(r)
	if err != nil || r.URL.Path != rpc.PathWatch || response.Header.Get("Content-Encoding") != "" {
		return response, err
	}
	body, err := io.ReadAll(response.Body)
	response.Body.Close()
	response.Body = io.NopCloser(bytes.NewReader(body))
	watch := &membership.WatchResponse{}
	if err == nil && json.Unmarshal(body, watch) == nil {
		c.responses.Add(1)
		if watch.Current {
			c.current.Add(1)
		}
	}
	return response, err
}

// While versions follow one another fast, watch responses must be current, each version must take effect in time, and a
// proxy that starts must get its first configuration.
func TestFastVersionsTakeEffectInTime(t *testing.T) {
	const limit, duration = 2500 * time.Millisecond, 4 * time.Second // the stated limit for a configuration to take effect
	for _, perSecond := range []int{3, 10, 30} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			m := &mesh{t: t}
			var responses, current atomic.Int64
			var lateProxy *settings.Settings
			startProxy := func(cfg *settings.Settings) {
				if lateProxy == nil && cfg.Node == m.plan.Proxies[2].Node {
					lateProxy = cfg // started later
					return
				}
				m.runProcess(cfg.Node, proxy.New(cfg, discardLogger, proxy.WithTransport(func(next http.RoundTripper) http.RoundTripper {
					return watchCounter{next, &responses, &current}
				})).Run)
			}
			m.startAll(3, 3, 0, 100, startProxy)
			m.waitUntil(func() bool {
				status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(config, 1))
				return status == http.StatusOK
			})
			for n := range 2 {
				m.waitUntil(func() bool { status, _, _, _ := m.send(n, "GET", "/read/x"); return status == http.StatusOK })
			}
			responses.Store(0)
			current.Store(0)

			var acknowledged sync.Map // time by version
			version := 1
			ticker := time.NewTicker(time.Second / time.Duration(perSecond))
			defer ticker.Stop()
			start := time.Now()
			var ready time.Duration
			for lateStarted := false; time.Since(start) < duration; <-ticker.C {
				nextVersion := version + 1
				body := fmt.Sprintf(`{"Edition":%d,"Deliver":{"PostOffices":[{"Town":"a.example","Regulations":[{"Name":"moving","MailClass":"repeatable","Target":"300ms","Unstamped":true,"Sorting":{"StreetPrefix":"/at/%d/"},"Dispatch":{"Destination":"album","Deadline":"2s","DeliveryTries":3}}]}]}}`, nextVersion, nextVersion)
				if status, _ := m.call(version%3, "timetable.amend", fmt.Sprint(version), body); status == http.StatusOK {
					acknowledged.Store(nextVersion, time.Now())
					version = nextVersion
				}
				if !lateStarted && time.Since(start) > duration/4 {
					lateStarted = true
					startProxy(lateProxy)
				}
				if lateStarted && ready == 0 {
					response, err := http.Get("http://" + lateProxy.ReadinessAddress + "/-/ready")
					if err == nil {
						if response.Body.Close(); response.StatusCode == http.StatusOK {
							ready = time.Since(start) - duration/4
						}
					}
				}
			}
			t.Logf("%d changes a second: %d versions, %d of %d watch responses current, a started proxy ready after %v", perSecond, version, current.Load(), responses.Load(), ready)
			must.Greater(t, 0.8, float64(current.Load())/float64(responses.Load()))
			must.Positive(t, ready)
			must.Less(t, limit, ready)
			for n := range m.plan.Proxies {
				must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
					status, _, _, _ := m.send(n, "GET", fmt.Sprintf("/at/%d/x", version))
					return status == http.StatusOK
				}), wait.Timeout(limit), wait.Gap(5*time.Millisecond)))
			}
		})
	}
}
