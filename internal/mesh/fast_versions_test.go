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

// watchMeter counts the answers to watches and those that are current.
type watchMeter struct {
	http.RoundTripper
	answers, current *atomic.Int64
}

func (m watchMeter) RoundTrip(r *http.Request) (*http.Response, error) {
	w, err := m.RoundTripper.RoundTrip(r)
	if err != nil || r.URL.Path != rpc.PathWatch || w.Header.Get("Content-Encoding") != "" {
		return w, err
	}
	body, err := io.ReadAll(w.Body)
	w.Body.Close()
	w.Body = io.NopCloser(bytes.NewReader(body))
	answer := &membership.WatchResponse{}
	if err == nil && json.Unmarshal(body, answer) == nil {
		m.answers.Add(1)
		if answer.Current {
			m.current.Add(1)
		}
	}
	return w, err
}

// While versions follow one another fast, watches are answered as current, each version is in force in time, and a balancer that
// starts meanwhile gets its first configuration.
func TestVersionsThatFollowFastAreInForceInTime(t *testing.T) {
	const bound, lasts = 2500 * time.Millisecond, 4 * time.Second // of Config
	for _, perSecond := range []int{3, 10, 30} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			m := &mesh{t: t}
			var answers, current atomic.Int64
			var late *settings.Settings
			startProxy := func(b *settings.Settings) {
				if late == nil && b.Node == m.plan.Proxies[2].Node {
					late = b // it starts later
					return
				}
				m.run(b.Node, proxy.New(b, quiet, proxy.WithTransport(func(to http.RoundTripper) http.RoundTripper {
					return watchMeter{to, &answers, &current}
				})).Run)
			}
			m.startAll(3, 3, 0, 100, startProxy)
			m.until(func() bool {
				status, _ := m.call(0, "timetable.replace", "0", fmt.Sprintf(config, 1))
				return status == http.StatusOK
			})
			for n := range 2 {
				m.until(func() bool { status, _, _, _ := m.send(n, "GET", "/read/x"); return status == http.StatusOK })
			}
			answers.Store(0)
			current.Store(0)

			var acknowledged sync.Map // when, by edition
			edition := 1
			pace := time.NewTicker(time.Second / time.Duration(perSecond))
			defer pace.Stop()
			began := time.Now()
			var ready time.Duration
			for restarted := false; time.Since(began) < lasts; <-pace.C {
				next := edition + 1
				body := fmt.Sprintf(`{"Edition":%d,"Deliver":{"PostOffices":[{"Town":"a.example","Regulations":[{"Name":"moving","MailClass":"repeatable","Target":"300ms","Unstamped":true,"Sorting":{"StreetPrefix":"/at/%d/"},"Dispatch":{"Destination":"album","Deadline":"2s","DeliveryTries":3}}]}]}}`, next, next)
				if status, _ := m.call(edition%3, "timetable.amend", fmt.Sprint(edition), body); status == http.StatusOK {
					acknowledged.Store(next, time.Now())
					edition = next
				}
				if !restarted && time.Since(began) > lasts/4 {
					restarted = true
					startProxy(late)
				}
				if restarted && ready == 0 {
					w, err := http.Get("http://" + late.ReadinessAddress + "/-/ready")
					if err == nil {
						if w.Body.Close(); w.StatusCode == http.StatusOK {
							ready = time.Since(began) - lasts/4
						}
					}
				}
			}
			t.Logf("%d changes a second: %d versions, %d of %d answers current, a started balancer ready after %v", perSecond, edition, current.Load(), answers.Load(), ready)
			must.Greater(t, 0.8, float64(current.Load())/float64(answers.Load()))
			must.Positive(t, ready)
			must.Less(t, bound, ready)
			for n := range m.plan.Proxies {
				must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
					status, _, _, _ := m.send(n, "GET", fmt.Sprintf("/at/%d/x", edition))
					return status == http.StatusOK
				}), wait.Timeout(bound), wait.Gap(5*time.Millisecond)))
			}
		})
	}
}
