package mesh_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/membership"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/settings"
	"ottershift/internal/mesh/testmesh"
)

const answersConfig = `{"Edition":1,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"15000ms"},
"PostOffices":[{"Town":"a.example","Regulations":[
 {"Name":"read","MailClass":"repeatable","Target":"300ms","Precedence":2,"Sorting":{"StreetPrefix":"/read/"},"Dispatch":{"Destination":"album","Deadline":"5000ms","DeliveryTries":3}},
 {"Name":"stream","MailClass":"outbound_freight","Target":"300ms","Precedence":2,"Sorting":{"StreetPrefix":"/stream/"},"Dispatch":{"Destination":"album","Deadline":"5000ms","DeliveryTries":3}},
 {"Name":"once","MailClass":"once_only","Target":"300ms","Precedence":1,"Sorting":{"StreetPrefix":"/once/"},"Dispatch":{"Destination":"album","Deadline":"5000ms","DeliveryTries":2}}]}],
"Depots":[{"Name":"album","HealthPath":"/health","LineCap":130,"Protocol":"h1"},{"Name":"regie","HealthPath":"/health","LineCap":130,"Protocol":"h1"}]}`

const (
	smallAnswer  = 2000
	streamAnswer = 100 << 10
	largeBody    = 600 << 10 // of a request: it is passed on before its last byte has come
)

// requestClass is a kind of request, as a route's class says whether it may run more than once.
type requestClass struct {
	name, method, path string
	size               int // of a whole answer
	maxRuns            int
}

var requestClasses = []requestClass{
	{"once-only", "POST", "/once/x", smallAnswer, 1},
	{"repeatable", "GET", "/read/x", smallAnswer, 3},
	{"streamed", "GET", "/stream/x", streamAnswer, 3},
}

// told is what a caller was told of one attempt.
type told struct {
	id      string
	status  int // 0 for a connection that ended without an answer, -1 for an answer that was cut
	answers []string
	stamp   string
	body    string
	runs    int
}

func (t told) String() string {
	switch t.status {
	case 0:
		return "closed"
	case -1:
		return "cut"
	}
	return fmt.Sprint(t.status)
}

// answersMesh has upstreams beside all of its proxies but the first. They are called through that, over two hops, and through the
// second, over one where that one's own upstream is chosen.
type answersMesh struct {
	*mesh
	clients  []*http.Client
	before   []int // requests that each upstream has had
	beforeAt int
	classOf  map[string]requestClass
}

// answersPlan is how an answersMesh is made.
type answersPlan struct {
	upstreams  int
	work       time.Duration
	called     int // proxies that clients call
	startProxy func(*mesh, *settings.Settings)
	upstreamAt func(*settings.Settings) string // the address of the upstream beside a proxy
}

func defaultAnswersPlan() answersPlan {
	return answersPlan{
		upstreams:  1,
		called:     2,
		startProxy: (*mesh).proxy,
		upstreamAt: func(b *settings.Settings) string { return b.UpstreamAddress },
	}
}

// start starts a mesh, and waits until the proxies that are called reach all upstreams.
func (p answersPlan) start(t *testing.T) *answersMesh {
	services := append([]string{"regie"}, slices.Repeat([]string{"album"}, p.upstreams)...)
	plan, err := testmesh.Plan(1, 1+p.upstreams, []string{"east"}, services, t.TempDir())
	must.NoError(t, err)
	m := &mesh{t: t, plan: plan, stops: map[string]func(){}}
	t.Cleanup(m.stopAll)
	must.NoError(t, os.MkdirAll(plan.Controllers[0].DataDir, 0o755))
	m.comb(plan.Controllers[0])
	for _, b := range plan.Proxies {
		p.startProxy(m, b)
	}
	a := &answersMesh{mesh: m, classOf: map[string]requestClass{}}
	for n, b := range plan.Proxies[1:] {
		u, err := testmesh.NewUpstream(fmt.Sprintf("i-%d", n), b.Service, p.upstreamAt(b), b.ControlAddress, 8, p.work, smallAnswer)
		must.NoError(t, err)
		u.SetSize("/stream/", streamAnswer)
		m.apps = append(m.apps, u)
	}
	m.until(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", answersConfig)
		return status == http.StatusOK
	})
	for at := range p.called {
		client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
		t.Cleanup(client.CloseIdleConnections)
		a.clients = append(a.clients, client)
		m.until(func() bool { a.ask(at, requestClasses[0], nil, time.Second); return a.reached(at) })
	}
	return a
}

func (m *mesh) stopAll() {
	for _, stop := range m.stops {
		stop()
	}
	for _, u := range m.apps {
		u.Stop()
	}
}

// reached reports whether all upstreams have had a request since the count was begun anew.
func (a *answersMesh) reached(at int) bool {
	if a.before == nil || a.beforeAt != at {
		a.before, a.beforeAt = a.totals(), at
		return false
	}
	now := a.totals()
	for n := range now {
		if now[n] == a.before[n] {
			return false
		}
	}
	return true
}

func (a *answersMesh) totals() (all []int) {
	for _, u := range a.apps {
		all = append(all, u.Total())
	}
	return all
}

func (a *answersMesh) connections() (n int) {
	for _, u := range a.apps {
		n += u.Connections()
	}
	return n
}

// inject has the next request meet a fault, and so each further copy of it that goes to another upstream.
func (a *answersMesh) inject(injection testmesh.Injection) {
	for _, u := range a.apps {
		u.Inject(injection)
	}
}

// met reports whether a fault that was injected has been met, and takes back what has not been.
func (a *answersMesh) met() (met bool) {
	for _, u := range a.apps {
		if u.Pending() == 0 {
			met = true
		}
	}
	if met {
		a.dropFaults()
	}
	return met
}

func (a *answersMesh) dropFaults() {
	for _, u := range a.apps {
		for u.Pending() > 0 {
			u.Drop()
		}
	}
}

func (a *answersMesh) ask(at int, class requestClass, body io.Reader, left time.Duration) told {
	a.ids++
	t := told{id: fmt.Sprintf("a%d", a.ids)}
	a.classOf[t.id] = class
	r, err := http.NewRequest(class.method, "http://"+a.plan.Proxies[at].OutboundAddress+class.path, body)
	must.NoError(a.t, err)
	r.Host = "a.example"
	r.Header = http.Header{"X-Attempt-Id": {t.id}, "X-Time-Left-Ms": {fmt.Sprint(left.Milliseconds())}}
	w, err := a.clients[at].Do(r)
	if err == nil {
		defer w.Body.Close()
		whole, err := io.ReadAll(w.Body)
		t.status, t.answers, t.stamp, t.body = w.StatusCode, w.Header["X-Attempt-Id"], w.Header.Get("X-Postmark"), string(whole)
		if err != nil {
			t.status = -1
		}
	}
	t.runs = a.runs(t.id)
	return t
}

func promises(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// judge is what the users' rules say of one attempt.
func (t told) judge(class requestClass) string {
	switch {
	case len(t.answers) > 1 || len(t.answers) == 1 && t.answers[0] != t.id:
		return "an answer to another request"
	case strings.Contains(t.body, testmesh.StrayBody):
		return "an answer that belongs to no request"
	case t.status >= 200 && t.status < 300 && t.status != http.StatusNoContent && len(t.body) != class.size:
		return "a success without the whole body"
	case t.status >= 200 && t.status < 300 && !strings.HasPrefix(t.stamp, "stamp-i-"):
		return "a success without the upstream's stamp"
	case t.status >= 200 && t.status < 300 && t.runs == 0:
		return "a success of a request that has not run"
	case class.maxRuns == 1 && promises(t.status) && t.runs > 0:
		return "a promise for a request that has run"
	case t.runs > class.maxRuns:
		return fmt.Sprintf("%d runs", t.runs)
	}
	return ""
}

func (a *answersMesh) check(t told, class requestClass, about string) {
	a.t.Helper()
	if wrong := t.judge(class); wrong != "" {
		a.t.Errorf("%s, %s: told %v %q %q: %s", about, class.name, t, t.answers, t.body[:min(len(t.body), 20)], wrong)
	}
}

// faultRow is what a once-only caller may be told of a fault, and whether the connection to the upstream is kept behind it.
type faultRow struct {
	fault testmesh.Fault
	once  []int
	kept  bool
	slow  bool // nothing ends it but the deadline
	early bool // it wants a request with a large body
}

var faultRows = []faultRow{
	{fault: testmesh.Sound, once: []int{200}, kept: true},

	{fault: testmesh.Full, once: []int{200, 503}, kept: true},
	{fault: testmesh.FullWithoutID, once: []int{504}, slow: true},
	{fault: testmesh.FullTwice, once: []int{200, 503}},
	{fault: testmesh.Elsewhere, once: []int{200, 503}, kept: true},
	{fault: testmesh.ElsewhereWithoutID, once: []int{504}, slow: true},
	{fault: testmesh.BadRequestWithoutID, once: []int{504}, slow: true},
	{fault: testmesh.ResetBeforeRun, once: []int{502}},
	{fault: testmesh.CloseBeforeRun, once: []int{502}},
	{fault: testmesh.SilentBeforeRun, once: []int{504}, slow: true},
	{fault: testmesh.EarlyFull, once: []int{502, 503}, early: true},
	{fault: testmesh.EarlyFullConnectionOn, once: []int{503}, early: true},

	{fault: testmesh.Silent, once: []int{504}, slow: true},
	{fault: testmesh.Thawed, once: []int{504}, slow: true},
	{fault: testmesh.Reset, once: []int{502}},
	{fault: testmesh.CloseBeforeAnswer, once: []int{502}},
	{fault: testmesh.ResetInHead, once: []int{502}},
	{fault: testmesh.CloseInHead, once: []int{502}},
	{fault: testmesh.ResetInBody, once: []int{502}},
	{fault: testmesh.CutShort, once: []int{502}},
	{fault: testmesh.ChunkedCut, once: []int{502}},
	{fault: testmesh.ResetAfterAnswer, once: []int{200, 502}},
	{fault: testmesh.CloseAfterAnswer, once: []int{200}},
	{fault: testmesh.HalfClose, once: []int{200}},
	{fault: testmesh.Extra, once: []int{200}},
	{fault: testmesh.ErrorWithoutIDLate, once: []int{200}},
	{fault: testmesh.FullWithoutIDLate, once: []int{200}},
	{fault: testmesh.SuccessWithoutIDLate, once: []int{200}},
	{fault: testmesh.OtherIDLate, once: []int{200}},
	{fault: testmesh.GarbageLate, once: []int{200, 502}},
	{fault: testmesh.OtherID, once: []int{200}},
	{fault: testmesh.ErrorWithoutIDBefore, once: []int{200}},
	{fault: testmesh.Informational, once: []int{200}, kept: true},
	{fault: testmesh.SwitchingProtocols, once: []int{502}},
	{fault: testmesh.WithoutID, once: []int{504}, slow: true},
	{fault: testmesh.Error, once: []int{500}, kept: true},
	{fault: testmesh.ErrorWithoutID, once: []int{504}, slow: true},
	{fault: testmesh.Unstamped, once: []int{502}},
	{fault: testmesh.UnprovenFull, once: []int{502}, kept: true},
	{fault: testmesh.UnprovenTooMany, once: []int{502}, kept: true},
	{fault: testmesh.Contradiction, once: []int{502}},
	{fault: testmesh.Garbage, once: []int{502}},
	{fault: testmesh.EndlessHead, once: []int{502}},
	{fault: testmesh.TwoLengths, once: []int{502}},
	{fault: testmesh.NoStatedEnd, once: []int{502}},
	{fault: testmesh.BareCR, once: []int{200, 502}},
	{fault: testmesh.ChunkedWithTrailer, once: []int{200}, kept: true},
	{fault: testmesh.NoContent, once: []int{204}},
	{fault: testmesh.ConnectionClose, once: []int{200}},
	{fault: testmesh.EarlyError, once: []int{500, 502}, early: true},
	{fault: testmesh.EarlySuccess, once: []int{200}, early: true},
}

// outcome counts what callers of one fault and class were told.
type outcome struct {
	pairs, maxRuns int
	told, next     map[string]int
}

func (o *outcome) String() string {
	return fmt.Sprintf("%d pairs; told %v; runs at most %d; next %v", o.pairs, o.told, o.maxRuns, o.next)
}

// pair sends a request that meets the fault and then, over what is kept, a once-only one that has to be served as if nothing had
// been: told 200, or what a reset that comes as it is sent leaves open.
func (a *answersMesh) pair(at int, row faultRow, class requestClass, delay time.Duration, o *outcome) {
	left := 3 * time.Second
	if row.slow {
		left = 150 * time.Millisecond
		if row.fault == testmesh.Thawed {
			delay = 250 * time.Millisecond
		}
	}
	var body io.Reader
	if row.early {
		body = bytes.NewReader(make([]byte, largeBody))
	}
	connections := a.connections()
	a.inject(testmesh.Injection{Fault: row.fault, Delay: delay})
	first := a.ask(at, class, body, left)
	for !a.met() { // it was refused, or what came late broke its connection, before the upstream saw it: another one has to meet the fault
		a.check(first, class, row.fault.String())
		must.SliceContains(a.t, []int{502, 503}, first.status, must.Sprint(row.fault, class.name))
		first = a.ask(at, class, body, left)
	}
	a.check(first, class, row.fault.String())
	if class.maxRuns == 1 && !slices.Contains(row.once, first.status) {
		a.t.Errorf("%v, %s, proxy %d: told %v with %d runs, not one of %v", row.fault, class.name, at, first, first.runs, row.once)
	}
	next := a.ask(at, requestClasses[0], nil, 3*time.Second)
	a.check(next, requestClasses[0], "after "+row.fault.String())
	if class.maxRuns == 1 && row.kept && len(a.apps) == 1 {
		must.Eq(a.t, connections, a.connections(), must.Sprint(row.fault, " closes the connection"))
	}
	o.pairs++
	o.told[first.String()]++
	o.next[next.String()]++
	o.maxRuns = max(o.maxRuns, first.runs)
	time.Sleep(delay + time.Millisecond) // what comes late is seen before the next pair
}

var lateDelays = []time.Duration{0, 200 * time.Microsecond, 500 * time.Microsecond, time.Millisecond, 3 * time.Millisecond}

// Every fault of an upstream, for each class of request, over one hop and over two. With one upstream the next request follows
// over the same connection; with two there is another that a request could run at once more. Last, what stands where another
// balancer should answers so itself.
func TestWhoseAnswerItIs(t *testing.T) {
	must.Eq(t, len(testmesh.Faults()), len(faultRows))
	one, two := defaultAnswersPlan(), defaultAnswersPlan()
	two.upstreams = 2
	for name, plan := range map[string]answersPlan{"upstream": one, "two upstreams": two, "peer": peerPlan()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := plan.start(t)
			for _, row := range faultRows {
				for _, class := range requestClasses {
					a.walk(row, class)
				}
			}
			a.noneRanAgain()
		})
	}
}

// peerPlan has the stand-in upstream in the place of the balancer beside it: the core is told of a balancer that does not run, at
// whose address for other balancers the upstream serves.
func peerPlan() answersPlan {
	p := defaultAnswersPlan()
	p.called = 1
	p.upstreamAt = func(b *settings.Settings) string { return b.InboundAddress }
	p.startProxy = func(m *mesh, b *settings.Settings) {
		if b != m.plan.Proxies[1] {
			m.proxy(b)
			return
		}
		m.run(b.Node, func(ctx context.Context) error { return keepLease(ctx, m.plan.Controllers[0].InternalAddress(), b) })
	}
	return p
}

// keepLease tells the core of a proxy and the upstream i-0 beside it, again and again.
func keepLease(ctx context.Context, controller string, b *settings.Settings) error {
	caller := rpc.NewClient(nil)
	defer caller.Close()
	request := &membership.WatchRequest{Node: membership.Node{
		Name: b.Node, Inbound: b.InboundAddress, Zone: b.Zone, Incarnation: "life", Seq: 1,
		Upstream: &membership.Upstream{ID: "i-0", Service: b.Service, Version: "v1", Capacity: 8},
	}}
	for ctx.Err() == nil {
		call, end := context.WithTimeout(ctx, time.Second)
		caller.Call(call, controller, rpc.PathWatch, request, &membership.WatchResponse{})
		end()
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func (a *answersMesh) walk(row faultRow, class requestClass) {
	o := &outcome{told: map[string]int{}, next: map[string]int{}}
	delays := lateDelays
	if row.slow { // nothing comes late, and each takes its whole time
		delays = delays[:2]
	}
	for at := range a.clients {
		a.settle(at)
		for _, delay := range delays {
			a.pair(at, row, class, delay, o)
		}
	}
	a.t.Logf("%-24v %-10s %v", row.fault, class.name, o)
}

// settle lets what the fault before has left on connections come, so that a kept one is there.
func (a *answersMesh) settle(at int) {
	for range 2 {
		a.ask(at, requestClasses[0], nil, time.Second)
		time.Sleep(5 * time.Millisecond)
	}
}

// noneRanAgain looks at all attempts a last time, after what was frozen has thawed.
func (a *answersMesh) noneRanAgain() {
	time.Sleep(300 * time.Millisecond)
	for id, class := range a.classOf {
		must.LessEq(a.t, class.maxRuns, a.runs(id), must.Sprint(class.name, id))
	}
}

// The faults that come after a whole answer, many times: the next request is on its way as they arrive.
func TestLateAnswersOverKeptConnections(t *testing.T) {
	plan := defaultAnswersPlan()
	plan.work = 2 * time.Millisecond // what comes late comes while the next request is waited for
	a := plan.start(t)
	for _, row := range faultRows {
		pairs := 100
		switch row.fault {
		case testmesh.ErrorWithoutIDLate:
			pairs = 300
		case testmesh.FullWithoutIDLate, testmesh.FullTwice, testmesh.OtherIDLate, testmesh.Extra:
		default:
			continue
		}
		for _, delay := range lateDelays[1:] {
			o := &outcome{told: map[string]int{}, next: map[string]int{}}
			for n := range pairs {
				a.pair(n%len(a.clients), row, requestClasses[0], delay, o)
			}
			t.Logf("%-24v after %-6v %v", row.fault, delay, o)
			must.Eq(t, pairs, o.next["200"], must.Sprint(row.fault, delay))
		}
	}
}

// An upstream ends without a word and another starts at its address, before its proxy has heard of either.
func TestAnUpstreamThatTakesOverAnAddress(t *testing.T) {
	a := defaultAnswersPlan().start(t)
	b := a.plan.Proxies[1]
	o := &outcome{told: map[string]int{}}
	for n := range 5 {
		a.apps[n].Stop()
		next, err := testmesh.NewUpstream(fmt.Sprintf("i-next-%d", n), b.Service, b.UpstreamAddress, b.ControlAddress, 8, 0, smallAnswer)
		must.NoError(t, err)
		a.apps = append(a.apps, next)
		for at := range 40 {
			got := a.ask(at%len(a.clients), requestClasses[0], nil, time.Second)
			a.check(got, requestClasses[0], "address taken over")
			o.told[got.String()]++
			o.pairs++
			o.maxRuns = max(o.maxRuns, got.runs)
			time.Sleep(10 * time.Millisecond)
		}
		a.until(func() bool {
			return a.ask(0, requestClasses[0], nil, time.Second).status == http.StatusOK && next.Total() > 0
		})
	}
	t.Log(o)
	a.noneRanAgain()
}
