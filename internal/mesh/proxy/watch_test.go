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

const aConfiguration = `{"Edition":%d,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"15000ms"},
"PostOffices":[{"Town":"a.example","Regulations":[{"Name":"r","MailClass":"repeatable","Target":"300ms","Precedence":2,"Sorting":{"StreetPrefix":"/"},
"Dispatch":{"Destination":"album","Deadline":"2000ms","DeliveryTries":3}}]}],%s
"Depots":[{"Name":"album","HealthPath":"/health","LineCap":130,"Protocol":"h1"}]}`

// controllerStub answers in place of all controllers.
type controllerStub func(at string) *membership.WatchResponse

func (c controllerStub) RoundTrip(r *http.Request) (*http.Response, error) {
	raw, err := json.Marshal(c(r.URL.Host))
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(raw)), Request: r}, err
}

func newTestProxy(answer controllerStub) *Proxy {
	b := settings.Default()
	b.Node, b.District = "self", "z"
	return New(b, slog.New(slog.DiscardHandler), WithTransport(func(http.RoundTripper) http.RoundTripper { return answer }))
}

func record(name, life string, seq uint64, age time.Duration) membership.Record {
	return membership.Record{Node: membership.Node{Name: name, Life: life, Seq: seq}, Age: int64(age)}
}

// A proxy that stands still between its question and the answer finds both the answer and the end of its patience when it goes on.
func TestAResponseOlderThanTheWatchTimeoutIsNotActedOn(t *testing.T) {
	for _, without := range []bool{false, true} {
		p := newTestProxy(func(string) *membership.WatchResponse {
			time.Sleep(WatchTimeout + 50*time.Millisecond) // whatever the caller's context says
			return &membership.WatchResponse{Position: membership.Position{Index: 3, Edition: 1}, Current: true, Configuration: fmt.Appendf(nil, aConfiguration, 1, "")}
		})
		p.withoutResponseAge = without
		current, err := p.watchOnce(context.Background(), "10.0.0.1:1")
		must.Eq(t, without, err == nil)
		must.Eq(t, without, current)
		must.Eq(t, without, p.view.Load() != nil)
	}
}

// A controller that is cut off knows of nobody but itself and who asks it. That takes nothing away.
func TestAControllerThatIsNotCurrentTakesNothingAway(t *testing.T) {
	whole := func(controller string, current bool, at []membership.ControllerAddress, nodes ...membership.Record) *membership.WatchResponse {
		return &membership.WatchResponse{Position: membership.Position{Controller: controller, Seq: 9}, Current: current, Members: len(nodes), Whole: true,
			Controllers: at, Nodes: nodes}
	}
	for _, without := range []bool{false, true} {
		p := newTestProxy(nil)
		p.withoutOverlay = without
		take := func(n *membership.WatchResponse) {
			must.NoError(t, p.applyWatchResponse(n, p.now()))
		}
		take(whole("sound", true, []membership.ControllerAddress{{At: "sound"}, {At: "other"}},
			record("a", "a2", 1, time.Second), record("b", "b1", 4, time.Second), record("c", "c1", 1, time.Second)))
		lost := record("b", "b1", 4, 15*time.Second)
		lost.Lost = true
		take(whole("cut off", false, []membership.ControllerAddress{{At: "cut off"}},
			record("a", "a1", 8, 18*time.Second), lost, record("c", "c1", 2, time.Second), record("d", "d1", 1, 0)))
		if without {
			must.Eq(t, "a1", p.nodes["a"].Life)
			must.True(t, p.nodes["b"].Lost)
			must.SliceLen(t, 1, p.knownControllers())
			continue
		}
		must.Eq(t, []string{"a", "b", "c", "d"}, slices.Sorted(maps.Keys(p.nodes)))
		must.Eq(t, "a2", p.nodes["a"].Life)
		must.False(t, p.nodes["b"].Lost)
		must.Eq(t, 2, p.nodes["c"].Seq) // of the same life, and later
		must.SliceLen(t, 3, p.knownControllers())
		must.Eq(t, 4, p.members)
		take(&membership.WatchResponse{Position: membership.Position{Controller: "cut off", Seq: 12}, Members: 1, Gone: []string{"a", "b"}})
		must.MapLen(t, 4, p.nodes)
		must.Eq(t, 4, p.members)
		// Once it is current again, its changes alone would leave d as it is: all of them are asked for.
		take(&membership.WatchResponse{Position: membership.Position{Controller: "cut off", Seq: 13}, Current: true, Members: 3})
		must.Eq(t, "", p.position.Controller)
		take(whole("cut off", true, nil, record("a", "a2", 1, 0), record("b", "b1", 4, 0)))
		must.Eq(t, []string{"a", "b"}, slices.Sorted(maps.Keys(p.nodes)))
		must.Eq(t, "cut off", p.position.Controller)
		must.Eq(t, 2, p.members)
	}
}

// A list of all nodes that always comes late is taken once a later answer of the same controller, in time, builds on it: what it does
// not name is dropped, and it is not asked for again.
func TestAListThatComesLateIsTakenOnceItIsConfirmed(t *testing.T) {
	list := func(current, whole bool, controller string, seq uint64, nodes ...membership.Record) *membership.WatchResponse {
		return &membership.WatchResponse{Position: membership.Position{Controller: controller, Seq: seq}, Current: current, Whole: whole, Members: 3, Nodes: nodes}
	}
	late := func(p *Proxy, n *membership.WatchResponse) {
		n.Current = false
		must.NoError(t, p.applyWatchResponse(n, p.now()))
		p.noteLate(n, true)
	}
	names := func(p *Proxy) []string { return slices.Sorted(maps.Keys(p.nodes)) }
	start := func() *Proxy {
		p := newTestProxy(nil)
		must.NoError(t, p.applyWatchResponse(list(true, true, "one", 1, record("a", "a", 1, 0), record("gone", "g", 1, 0)), p.now()))
		late(p, list(true, true, "two", 5, record("a", "a", 1, 0), record("b", "b", 1, 0)))
		must.Eq(t, []string{"a", "b", "gone"}, names(p)) // nothing is taken away by what came late
		return p
	}
	p := start()
	must.NoError(t, p.applyWatchResponse(list(true, false, "two", 6, record("c", "c", 1, 0)), p.now()))
	must.Eq(t, []string{"a", "b", "c"}, names(p))
	must.Eq(t, "two", p.position.Controller) // all of them are not asked for again

	p = start()
	late(p, &membership.WatchResponse{Position: membership.Position{Controller: "two", Seq: 6}, Gone: []string{"b"}})
	must.NoError(t, p.applyWatchResponse(list(true, false, "two", 7), p.now()))
	must.Eq(t, []string{"a"}, names(p))

	p = start()
	must.NoError(t, p.applyWatchResponse(list(true, false, "three", 7), p.now())) // another's word confirms nothing
	must.Eq(t, []string{"a", "b", "gone"}, names(p))
	must.Eq(t, "", p.position.Controller)

	p = start()
	stale := list(false, false, "two", 6) // it was not current meanwhile: what it has told may be what one that is cut off knows
	must.NoError(t, p.applyWatchResponse(stale, p.now()))
	p.noteLate(stale, false)
	must.NoError(t, p.applyWatchResponse(list(true, false, "two", 7), p.now()))
	must.Eq(t, []string{"a", "b", "gone"}, names(p))
	must.Eq(t, "", p.position.Controller)
}

// The first configuration of a life comes from who is current.
func TestTheFirstConfigurationComesFromAControllerThatIsCurrent(t *testing.T) {
	p := newTestProxy(nil)
	told := &membership.WatchResponse{Position: membership.Position{Index: 3, Edition: 1}, Configuration: fmt.Appendf(nil, aConfiguration, 1, "")}
	must.NoError(t, p.applyWatchResponse(told, p.now()))
	must.Nil(t, p.view.Load())
	must.Eq(t, 0, p.position.Index)
	told.Current = true
	must.NoError(t, p.applyWatchResponse(told, p.now()))
	must.Eq(t, 3, p.view.Load().index)
}

// Any number of silent controllers in front does not keep the sound one behind them from being asked; nor is a zone's own left for ever.
func TestASoundControllerIsAskedBehindManySilentOnes(t *testing.T) {
	const silent = 9
	known := []string{}
	for n := range silent {
		known = append(known, fmt.Sprint("silent", n))
	}
	known = append(known, "sound")
	until := func(choice *controllerChoice, now int64) time.Duration {
		for began := now; ; now += int64(WatchTimeout) {
			at := choice.pick(known, now)
			if at == "sound" || now-began > int64(time.Minute) {
				return time.Duration(now - began)
			}
			choice.failed(at, now+int64(WatchTimeout))
		}
	}
	choice := newControllerChoice()
	must.Less(t, 3*silent*WatchTimeout, until(choice, 0))
	without := newControllerChoice()
	without.avoidMost = avoidFirst
	must.Greater(t, time.Minute, until(without, 0))
	choice.succeeded("sound")
	must.Eq(t, known[0], choice.pick(known, int64(time.Minute)))
}

// A partner's age counts from before the question, however long the answer was on its way.
func TestAPartnersAgeCountsFromBeforeTheQuestion(t *testing.T) {
	p := newTestProxy(nil)
	partners := `"Mesh":"us","Partners":[{"Name":"zuid","Gateway":"10.9.9.9:1","Target":"300ms","Deadline":"1000ms","Tries":2}],`
	must.NoError(t, p.applyWatchResponse(&membership.WatchResponse{Position: membership.Position{Index: 3, Edition: 1}, Current: true,
		Configuration: fmt.Appendf(nil, aConfiguration, 1, partners)}, p.now()))
	table, err := federation.Parse([]byte(`{"Partner":"zuid","Edition":1,"Lease":"20s","Exports":[{"Service":"scans","Town":"zuid.example","StreetPrefix":"/scans/","Methods":["POST"]}]}`), "zuid", "us")
	must.NoError(t, err)
	book := federation.NewImportRegistry()
	_, err = book.ApplyTable(table, "1")
	must.NoError(t, err)
	raw, err := book.Encode()
	must.NoError(t, err)
	look := func() federation.Verdict {
		return p.exports.is.Check("zuid", "POST", "zuid.example", "/scans/1", p.now())
	}
	p.hear(&membership.WatchResponse{Imports: raw, ImportsNo: book.Revision, Ages: map[string]int64{"zuid": 0}}, p.now()-int64(21*time.Second))
	p.hear(&membership.WatchResponse{ImportsNo: book.Revision, Calm: true}, p.now())
	must.Eq(t, federation.Unconfirmed, look())
	p.hear(&membership.WatchResponse{Ages: map[string]int64{"zuid": int64(time.Second)}}, p.now()-int64(21*time.Second))
	must.Eq(t, federation.Unconfirmed, look())
	p.hear(&membership.WatchResponse{Ages: map[string]int64{"zuid": int64(time.Second)}}, p.now())
	must.Eq(t, federation.Open, look())
}

// Each controller tells of itself first. A proxy in a zone without one of its own asks the same one all the same: else it would go from
// one to the next without a pause, since each has all of its nodes to tell.
func TestWhomAProxyAsksDoesNotDependOnWhoAnswered(t *testing.T) {
	told := []membership.ControllerAddress{{At: "10.0.0.1:1", Zone: "x"}, {At: "10.0.0.2:1", Zone: "y"}, {At: "10.0.0.3:1", Zone: "y"}}
	for _, node := range []string{"a", "b", "c", "d"} {
		p := newTestProxy(nil)
		p.settings.Node = node
		first := ""
		for _, by := range [][]int{{0, 1, 2}, {1, 0, 2}, {2, 0, 1}} {
			p.controllers = nil
			for _, n := range by {
				p.controllers = append(p.controllers, told[n])
			}
			if at := p.knownControllers()[0]; first == "" {
				first = at
			} else {
				must.Eq(t, first, at)
			}
		}
	}
}

// News of the own upstream come more often than a request may take: each is given up for the next, and a controller that is silent
// counts as failed all the same. One that answers, however late, does not until it has been late for long.
func TestAControllerIsSilentOverRequestsThatAreGivenUpForOneAnother(t *testing.T) {
	interrupted, late := rpc.Error.Wrap(rpc.ErrInterrupted), errLateResponse
	step := int64(100 * time.Millisecond)
	until := func(each func(now int64) error) (failed int64) {
		var clock silenceClock
		for now := int64(0); now < int64(time.Minute); now += step {
			if clock.observe("a", now, now+step, each(now)) {
				return now + step
			}
		}
		return -1
	}
	must.Eq(t, int64(WatchTimeout), until(func(int64) error { return interrupted }))
	must.Eq(t, lateInARow*int64(WatchTimeout), until(func(int64) error { return late }))
	must.Eq(t, step, until(func(int64) error { return rpc.ErrSilent }))
	must.Eq(t, -1, until(func(now int64) error {
		if now%(5*step) == 0 {
			return nil // an answer between
		}
		return interrupted
	}))
	var clock silenceClock
	for now := int64(0); now < int64(10*time.Second); now += 2 * step { // each is asked for a moment
		must.False(t, clock.observe("a", now, now+step, interrupted))
		must.False(t, clock.observe("b", now+step, now+2*step, interrupted))
	}
}

// A proxy whose upstream has news more often than a watch may take leaves a controller that says nothing, and renews its lease elsewhere.
func TestAProxyWithMuchNewsLeavesASilentController(t *testing.T) {
	var mu sync.Mutex
	asked := map[string]int{}
	b := settings.Default()
	b.Node, b.District = "self", "z"
	p := New(b, slog.New(slog.DiscardHandler), WithTransport(func(http.RoundTripper) http.RoundTripper {
		return roundTrip(func(r *http.Request) (*http.Response, error) {
			mu.Lock()
			asked[r.URL.Host]++
			mu.Unlock()
			if r.URL.Host == "silent" {
				<-r.Context().Done()
				return nil, r.Context().Err()
			}
			return controllerStub(func(string) *membership.WatchResponse { return &membership.WatchResponse{Current: true, Members: 1} }).RoundTrip(r)
		})
	}))
	p.controllers = []membership.ControllerAddress{{At: "silent", Zone: "z"}, {At: "sound", Zone: "y"}}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go p.watch(ctx)
	news := time.NewTicker(50 * time.Millisecond)
	defer news.Stop()
	for began := time.Now(); ; <-news.C {
		p.local.wakeWatchers()
		mu.Lock()
		sound := asked["sound"]
		mu.Unlock()
		if sound > 0 {
			t.Logf("left after %v", time.Since(began))
			return
		}
		must.Less(t, 3*WatchTimeout, time.Since(began), must.Sprint("the sound controller was never asked"))
	}
}

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }
