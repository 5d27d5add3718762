package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/federation"
	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
)

// configurationFormat is a configuration with one route, formatted with an edition and further top-level members.
const configurationFormat = `{"Edition":%d,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"15000ms"},
"PostOffices":[{"Town":"a.example","Regulations":[{"Name":"r","MailClass":"repeatable","Target":"300ms","Precedence":2,"Sorting":{"StreetPrefix":"/"},
"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":3}}]}],%s
"Depots":[{"Name":"album","HealthPath":"/health","LineCap":130,"Protocol":"h1"}]}`

// controllerStub responds in place of all controllers.
type controllerStub func(at string) *membership.WatchResponse

func (s controllerStub) RoundTrip(r *http.Request) (*http.Response, error) {
	raw, err := json.Marshal(s(r.URL.Host))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(raw)), Request: r}, err
}

// newTestProxy returns a proxy whose calls to controllers go to the stub.
func newTestProxy(stub controllerStub) *Proxy {
	proxySettings := settings.Default()
	proxySettings.Node, proxySettings.Zone = "self", "z"
	return New(proxySettings, slog.New(slog.DiscardHandler), WithTransport(func(http.RoundTripper) http.RoundTripper { return stub }))
}

// record returns the record of a node that was heard of before the given age.
func record(name, life string, seq uint64, age time.Duration) membership.Record {
	return membership.Record{Node: membership.Node{Name: name, Incarnation: life, Seq: seq}, Age: int64(age)}
}

// A proxy that is paused between its request and the response finds both the response and the end of the watch timeout
// when it resumes. The response is too old to be applied.
func TestStaleWatchResponseIsNotApplied(t *testing.T) {
	for _, skipCheck := range []bool{false, true} {
		p := newTestProxy(func(string) *membership.WatchResponse {
			time.Sleep(WatchTimeout + 50*time.Millisecond) // regardless of the caller's context
			return &membership.WatchResponse{Position: membership.Position{Index: 3, Edition: 1}, Current: true, Configuration: fmt.Appendf(nil, configurationFormat, 1, "")}
		})
		p.skipResponseAgeCheck = skipCheck
		current, err := p.watchOnce(context.Background(), "10.0.0.1:1")
		must.Eq(t, skipCheck, err == nil)
		must.Eq(t, skipCheck, current)
		must.Eq(t, skipCheck, p.view.Load() != nil)
	}
}

// A partitioned controller knows only itself and the proxies that ask it. Its response must not remove nodes or
// controllers.
func TestNonCurrentControllerRemovesNothing(t *testing.T) {
	whole := func(controller string, current bool, controllers []membership.ControllerAddress, nodes ...membership.Record) *membership.WatchResponse {
		return &membership.WatchResponse{Position: membership.Position{Controller: controller, Seq: 9}, Current: current, BalancerCount: len(nodes), Complete: true,
			Controllers: controllers, Nodes: nodes}
	}
	for _, withoutOverlay := range []bool{false, true} {
		p := newTestProxy(nil)
		p.skipOverlay = withoutOverlay
		apply := func(response *membership.WatchResponse) {
			must.NoError(t, p.applyWatchResponse(response, p.now()))
		}
		apply(whole("sound", true, []membership.ControllerAddress{{Address: "sound"}, {Address: "other"}},
			record("a", "a2", 1, time.Second), record("b", "b1", 4, time.Second), record("c", "c1", 1, time.Second)))
		lost := record("b", "b1", 4, 15*time.Second)
		lost.Lost = true
		apply(whole("cut off", false, []membership.ControllerAddress{{Address: "cut off"}},
			record("a", "a1", 8, 18*time.Second), lost, record("c", "c1", 2, time.Second), record("d", "d1", 1, 0)))
		if withoutOverlay {
			must.Eq(t, "a1", p.nodes["a"].Incarnation)
			must.True(t, p.nodes["b"].Lost)
			must.SliceLen(t, 1, p.knownControllers())
			continue
		}
		must.Eq(t, []string{"a", "b", "c", "d"}, slices.Sorted(maps.Keys(p.nodes)))
		must.Eq(t, "a2", p.nodes["a"].Incarnation)
		must.False(t, p.nodes["b"].Lost)
		must.Eq(t, 2, p.nodes["c"].Seq) // newer record of the same incarnation
		must.SliceLen(t, 3, p.knownControllers())
		must.Eq(t, 4, p.members)
		apply(&membership.WatchResponse{Position: membership.Position{Controller: "cut off", Seq: 12}, BalancerCount: 1, RemovedNodes: []string{"a", "b"}})
		must.MapLen(t, 4, p.nodes)
		must.Eq(t, 4, p.members)
		// Once it is current again, its changes alone would never remove d, so the complete list is requested.
		apply(&membership.WatchResponse{Position: membership.Position{Controller: "cut off", Seq: 13}, Current: true, BalancerCount: 3})
		must.Eq(t, "", p.position.Controller)
		apply(whole("cut off", true, nil, record("a", "a2", 1, 0), record("b", "b1", 4, 0)))
		must.Eq(t, []string{"a", "b"}, slices.Sorted(maps.Keys(p.nodes)))
		must.Eq(t, "cut off", p.position.Controller)
		must.Eq(t, 2, p.members)
	}
}

// A complete node list that always arrives late is applied once a timely response of the same controller continues
// from it. Nodes missing from the list are removed, and it is not requested again.
func TestLateNodeListAppliesOnceConfirmed(t *testing.T) {
	list := func(current, whole bool, controller string, seq uint64, nodes ...membership.Record) *membership.WatchResponse {
		return &membership.WatchResponse{Position: membership.Position{Controller: controller, Seq: seq}, Current: current, Complete: whole, BalancerCount: 3, Nodes: nodes}
	}
	applyLate := func(p *Proxy, response *membership.WatchResponse) {
		response.Current = false
		must.NoError(t, p.applyWatchResponse(response, p.now()))
		p.recordLateList(response, true)
	}
	names := func(p *Proxy) []string { return slices.Sorted(maps.Keys(p.nodes)) }
	start := func() *Proxy {
		p := newTestProxy(nil)
		must.NoError(t, p.applyWatchResponse(list(true, true, "one", 1, record("a", "a", 1, 0), record("gone", "g", 1, 0)), p.now()))
		applyLate(p, list(true, true, "two", 5, record("a", "a", 1, 0), record("b", "b", 1, 0)))
		must.Eq(t, []string{"a", "b", "gone"}, names(p)) // a late response removes nothing
		return p
	}
	p := start()
	must.NoError(t, p.applyWatchResponse(list(true, false, "two", 6, record("c", "c", 1, 0)), p.now()))
	must.Eq(t, []string{"a", "b", "c"}, names(p))
	must.Eq(t, "two", p.position.Controller) // the complete list is not requested again

	p = start()
	applyLate(p, &membership.WatchResponse{Position: membership.Position{Controller: "two", Seq: 6}, RemovedNodes: []string{"b"}})
	must.NoError(t, p.applyWatchResponse(list(true, false, "two", 7), p.now()))
	must.Eq(t, []string{"a"}, names(p))

	p = start()
	must.NoError(t, p.applyWatchResponse(list(true, false, "three", 7), p.now())) // another controller's response does not confirm it
	must.Eq(t, []string{"a", "b", "gone"}, names(p))
	must.Eq(t, "", p.position.Controller)

	p = start()
	stale := list(false, false, "two", 6) // it was not current meanwhile, so its list may be that of a partitioned controller
	must.NoError(t, p.applyWatchResponse(stale, p.now()))
	p.recordLateList(stale, false)
	must.NoError(t, p.applyWatchResponse(list(true, false, "two", 7), p.now()))
	must.Eq(t, []string{"a", "b", "gone"}, names(p))
	must.Eq(t, "", p.position.Controller)
}

// A process takes its first configuration only from a current controller.
func TestFirstConfigurationRequiresCurrentController(t *testing.T) {
	p := newTestProxy(nil)
	response := &membership.WatchResponse{Position: membership.Position{Index: 3, Edition: 1}, Configuration: fmt.Appendf(nil, configurationFormat, 1, "")}
	must.NoError(t, p.applyWatchResponse(response, p.now()))
	must.Nil(t, p.view.Load())
	must.Eq(t, 0, p.position.Index)
	response.Current = true
	must.NoError(t, p.applyWatchResponse(response, p.now()))
	must.Eq(t, 3, p.view.Load().index)
}

// Any number of silent controllers at the head of the list must not keep a healthy one behind them from being asked.
// After a while, the preferred controllers are tried again.
func TestHealthyControllerIsReachedBehindSilentOnes(t *testing.T) {
	const silent = 9
	controllers := []string{}
	for n := range silent {
		controllers = append(controllers, fmt.Sprint("silent", n))
	}
	controllers = append(controllers, "sound")
	timeToReach := func(selector *controllerSelector, now int64) time.Duration {
		for began := now; ; now += int64(WatchTimeout) {
			controller := selector.pick(controllers, now)
			if controller == "sound" || now-began > int64(time.Minute) {
				return time.Duration(now - began)
			}
			selector.failed(controller, now+int64(WatchTimeout))
		}
	}
	selector := newControllerSelector()
	must.Less(t, 3*silent*WatchTimeout, timeToReach(selector, 0))
	constant := newControllerSelector()
	constant.maxAvoidance = initialAvoidance
	must.Greater(t, time.Minute, timeToReach(constant, 0))
	selector.succeeded("sound")
	must.Eq(t, controllers[0], selector.pick(controllers, int64(time.Minute)))
}

// The age of a partner's state counts from the time of the request, however late the response arrives.
func TestPartnerAgeCountsFromRequestTime(t *testing.T) {
	p := newTestProxy(nil)
	partners := `"Mesh":"us","Partners":[{"Name":"zuid","Gateway":"10.9.9.9:1","Target":"300ms","Deadline":"1000ms","Tries":2}],`
	must.NoError(t, p.applyWatchResponse(&membership.WatchResponse{Position: membership.Position{Index: 3, Edition: 1}, Current: true,
		Configuration: fmt.Appendf(nil, configurationFormat, 1, partners)}, p.now()))
	table, err := federation.Parse([]byte(`{"Partner":"zuid","Edition":1,"Lease":"20s","Exports":[{"Service":"scans","Town":"zuid.example","StreetPrefix":"/scans/","Methods":["POST"]}]}`), "zuid", "us")
	must.NoError(t, err)
	book := federation.NewImportRegistry()
	_, err = book.ApplyTable(table, "1")
	must.NoError(t, err)
	raw, err := book.Encode()
	must.NoError(t, err)
	verdict := func() federation.Verdict {
		return p.partnerPolicy.policy.Check("zuid", "POST", "zuid.example", "/scans/1", p.now())
	}
	p.applyPartnerUpdate(&membership.WatchResponse{Imports: raw, ImportsVersion: book.Revision, PartnerAges: map[string]int64{"zuid": 0}}, p.now()-int64(21*time.Second))
	p.applyPartnerUpdate(&membership.WatchResponse{ImportsVersion: book.Revision, ImportsCurrent: true}, p.now())
	must.Eq(t, federation.Unconfirmed, verdict())
	p.applyPartnerUpdate(&membership.WatchResponse{PartnerAges: map[string]int64{"zuid": int64(time.Second)}}, p.now()-int64(21*time.Second))
	must.Eq(t, federation.Unconfirmed, verdict())
	p.applyPartnerUpdate(&membership.WatchResponse{PartnerAges: map[string]int64{"zuid": int64(time.Second)}}, p.now())
	must.Eq(t, federation.Open, verdict())
}

// Each controller lists itself first. A proxy in a zone without a controller must keep asking the same one; otherwise
// it would move to another one with each response without a pause, because each one has all of its nodes to report.
func TestControllerOrderIsIndependentOfReportOrder(t *testing.T) {
	reported := []membership.ControllerAddress{{Address: "10.0.0.1:1", Zone: "x"}, {Address: "10.0.0.2:1", Zone: "y"}, {Address: "10.0.0.3:1", Zone: "y"}}
	for _, node := range []string{"a", "b", "c", "d"} {
		p := newTestProxy(nil)
		p.settings.Node = node
		first := ""
		for _, order := range [][]int{{0, 1, 2}, {1, 0, 2}, {2, 0, 1}} {
			p.controllers = nil
			for _, n := range order {
				p.controllers = append(p.controllers, reported[n])
			}
			if at := p.knownControllers()[0]; first == "" {
				first = at
			} else {
				must.Eq(t, first, at)
			}
		}
	}
}

// If the local upstream changes more often than the watch timeout, each watch is interrupted by the next. A silent
// controller must still count as failed after the timeout; one that responds late fails only after maxLateTimeouts of
// them.
func TestSilenceAccumulatesAcrossInterruptedWatches(t *testing.T) {
	interrupted, late := rpc.Error.Wrap(rpc.ErrInterrupted), errLateResponse
	step := int64(100 * time.Millisecond)
	timeToFailure := func(each func(now int64) error) (failed int64) {
		var tracker silenceTracker
		for now := int64(0); now < int64(time.Minute); now += step {
			if tracker.observe("a", now, now+step, each(now)) {
				return now + step
			}
		}
		return -1
	}
	must.Eq(t, int64(WatchTimeout), timeToFailure(func(int64) error { return interrupted }))
	must.Eq(t, maxLateTimeouts*int64(WatchTimeout), timeToFailure(func(int64) error { return late }))
	must.Eq(t, step, timeToFailure(func(int64) error { return rpc.ErrStalled }))
	must.Eq(t, -1, timeToFailure(func(now int64) error {
		if now%(5*step) == 0 {
			return nil // a response in between
		}
		return interrupted
	}))
	var tracker silenceTracker
	for now := int64(0); now < int64(10*time.Second); now += 2 * step { // the controllers alternate
		must.False(t, tracker.observe("a", now, now+step, interrupted))
		must.False(t, tracker.observe("b", now+step, now+2*step, interrupted))
	}
}

// A proxy whose upstream changes more often than a watch takes must leave a silent controller and renew its lease at
// another one.
func TestFrequentUpdatesDoNotPinProxyToSilentController(t *testing.T) {
	var mu sync.Mutex
	asked := map[string]int{}
	proxySettings := settings.Default()
	proxySettings.Node, proxySettings.Zone = "self", "z"
	p := New(proxySettings, slog.New(slog.DiscardHandler), WithTransport(func(http.RoundTripper) http.RoundTripper {
		return roundTripFunc(func(r *http.Request) (*http.Response, error) {
			mu.Lock()
			asked[r.URL.Host]++
			mu.Unlock()
			if r.URL.Host == "silent" {
				<-r.Context().Done()
				return nil, r.Context().Err()
			}
			return controllerStub(func(string) *membership.WatchResponse {
				return &membership.WatchResponse{Current: true, BalancerCount: 1}
			}).RoundTrip(r)
		})
	}))
	p.controllers = []membership.ControllerAddress{{Address: "silent", Zone: "z"}, {Address: "sound", Zone: "y"}}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go p.watch(ctx)
	updates := time.NewTicker(50 * time.Millisecond)
	defer updates.Stop()
	for began := time.Now(); ; <-updates.C {
		p.local.wakeWatchers()
		mu.Lock()
		healthyAsked := asked["sound"]
		mu.Unlock()
		if healthyAsked > 0 {
			t.Logf("left the silent controller after %v", time.Since(began))
			return
		}
		must.Less(t, 3*WatchTimeout, time.Since(began), must.Sprint("the healthy controller was never asked"))
	}
}

// roundTripFunc is an http.RoundTripper.
type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
