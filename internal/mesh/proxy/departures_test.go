package proxy

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/testmesh"
)

// fakeController answers calls for departures.
type fakeController func(w http.ResponseWriter, r *http.Request)

func recordsDeparture(w http.ResponseWriter, r *http.Request) {
	request := &membership.DepartureRequest{}
	json.NewDecoder(r.Body).Decode(request)
	json.NewEncoder(w).Encode(membership.DepartureResponse{Departed: []string{"earlier", request.Instance}})
}

func isOfPreviousRelease(w http.ResponseWriter, r *http.Request) { http.NotFound(w, r) }

func hasNoMajority(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "no majority", http.StatusServiceUnavailable)
}

// failsTimes returns a controller that has no majority for the first calls.
func failsTimes(failures int32) fakeController {
	var calls atomic.Int32
	return func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) <= failures {
			hasNoMajority(w, r)
			return
		}
		recordsDeparture(w, r)
	}
}

func isSilent(_ http.ResponseWriter, r *http.Request) {
	io.Copy(io.Discard, r.Body) // the end of the connection is noticed only after the body
	<-r.Context().Done()
}

// startDepartureProxy returns a proxy that knows only the given controllers.
func startDepartureProxy(t *testing.T, controllers ...fakeController) *Proxy {
	plan, err := testmesh.Plan(0, 1, []string{"east"}, []string{"album"}, t.TempDir())
	must.NoError(t, err)
	p := New(plan.Proxies[0], slog.New(slog.DiscardHandler))
	p.seeds = nil
	for _, answer := range controllers {
		mux := http.NewServeMux()
		mux.HandleFunc(rpc.PathDepartures, answer)
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		p.seeds = append(p.seeds, strings.TrimPrefix(server.URL, "http://"))
	}
	return p
}

// A departure is acknowledged if any controller has the core's agreement, also behind silent controllers and within the
// time that an upstream waits, and otherwise not, unless all controllers are of the previous release.
func TestDepartureIsRecordedByAnyController(t *testing.T) {
	for name, c := range map[string]struct {
		controllers  []fakeController
		acknowledged bool
		recorded     bool
		within       time.Duration
	}{
		"recorded":                             {[]fakeController{recordsDeparture}, true, true, departureHedgeDelay},
		"two without a majority":               {[]fakeController{hasNoMajority, hasNoMajority, recordsDeparture}, true, true, departureHedgeDelay},
		"two silent ones":                      {[]fakeController{isSilent, isSilent, recordsDeparture}, true, true, 3 * departureHedgeDelay},
		"all silent":                           {[]fakeController{isSilent, isSilent}, false, false, departureTimeout},
		"no majority":                          {[]fakeController{hasNoMajority, hasNoMajority}, false, false, departureTimeout},
		"no majority at first":                 {[]fakeController{failsTimes(3)}, true, true, departureTimeout},
		"no controller known":                  {nil, false, false, departureTimeout},
		"all of the previous release":          {[]fakeController{isOfPreviousRelease, isOfPreviousRelease}, true, false, departureHedgeDelay},
		"one of the previous release, one not": {[]fakeController{isOfPreviousRelease, hasNoMajority}, false, false, departureTimeout},
		"one not, one of the previous release": {[]fakeController{hasNoMajority, isOfPreviousRelease}, false, false, departureTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			p := startDepartureProxy(t, c.controllers...)
			began := time.Now()
			response := httptest.NewRecorder()
			p.control(response, httptest.NewRequest(http.MethodPost, "/-/rpc?call=servers.sign_off&of=i", nil))
			must.Less(t, c.within+100*time.Millisecond, time.Since(began))
			must.Eq(t, c.acknowledged, response.Code == http.StatusOK)
			must.Eq(t, c.recorded, p.local.isRecorded("i"))
			if c.acknowledged {
				return
			}
			must.Eq(t, http.StatusServiceUnavailable, response.Code)
			must.StrContains(t, response.Body.String(), "the end of i is not recorded")
		})
	}
}

// Only the calls that end an instance wait for the core; the others are answered at once.
func TestAcceptingHeartbeatDoesNotWaitForTheCore(t *testing.T) {
	p := startDepartureProxy(t, isSilent)
	for condition, acknowledged := range map[string]bool{"accepting": true, conditionClosing: false} {
		body := `{"Notice":{"Destination":"album","Capacity":6},"Status":{"Condition":"` + condition + `","PostmarkNo":4}}`
		response := httptest.NewRecorder()
		p.control(response, httptest.NewRequest(http.MethodPost, "/-/rpc?call=servers.check_in&of=i", strings.NewReader(body)))
		must.Eq(t, acknowledged, response.Code == http.StatusOK, must.Sprint(condition))
	}
}

// A starting proxy learns the departures from any controller, and does not wait for controllers that cannot have any.
func TestStartingProxyLearnsDepartures(t *testing.T) {
	for name, c := range map[string]struct {
		controllers []fakeController
		departed    bool
	}{
		"recorded":                    {[]fakeController{isSilent, recordsDeparture}, true},
		"all of the previous release": {[]fakeController{isOfPreviousRelease}, false},
	} {
		p := startDepartureProxy(t, c.controllers...)
		p.local.holdHeartbeats()
		p.learnDepartures(context.Background())
		must.False(t, p.local.learning, must.Sprint(name))
		must.Eq(t, c.departed, p.local.isRecorded("earlier"), must.Sprint(name))
	}
	p := startDepartureProxy(t, hasNoMajority)
	p.local.holdHeartbeats()
	ctx, cancel := context.WithTimeout(context.Background(), 3*departureRetryDelay)
	defer cancel()
	p.learnDepartures(ctx)
	must.True(t, p.local.learning) // it keeps asking
}
