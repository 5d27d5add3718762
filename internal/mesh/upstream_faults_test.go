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

const responsesConfig = `{"Edition":1,"SizeLimits":{"EnvelopeBytes":16384,"ContentsBytes":67108864,"Envelope":"3000ms","Idle":"15000ms"},
"PostOffices":[{"Town":"a.example","Regulations":[
 {"Name":"read","MailClass":"repeatable","Target":"300ms","Precedence":2,"Sorting":{"StreetPrefix":"/read/"},"Dispatch":{"Destination":"album","Deadline":"5000ms","DeliveryTries":3}},
 {"Name":"stream","MailClass":"outbound_freight","Target":"300ms","Precedence":2,"Sorting":{"StreetPrefix":"/stream/"},"Dispatch":{"Destination":"album","Deadline":"5000ms","DeliveryTries":3}},
 {"Name":"once","MailClass":"once_only","Target":"300ms","Precedence":1,"Sorting":{"StreetPrefix":"/once/"},"Dispatch":{"Destination":"album","Deadline":"5000ms","DeliveryTries":2}}]}],
"Depots":[{"Name":"album","HealthPath":"/health","LineCap":130,"Protocol":"h1"},{"Name":"regie","HealthPath":"/health","LineCap":130,"Protocol":"h1"}]}`

const (
	smallResponseSize  = 2000
	streamResponseSize = 100 << 10
	largeRequestSize   = 600 << 10 // of a request body; the proxies forward it before they have received all of it
)

// requestClass is a kind of request: the class of its route limits how often it may run.
type requestClass struct {
	name, method, path string
	responseSize       int // bytes of a complete response body
	maxRuns            int
}

var requestClasses = []requestClass{
	{"once-only", "POST", "/once/x", smallResponseSize, 1},
	{"repeatable", "GET", "/read/x", smallResponseSize, 3},
	{"streamed", "GET", "/stream/x", streamResponseSize, 3},
}

// result is what a client received for one attempt, and how often the attempt ran.
type result struct {
	id         string
	status     int // 0 if the connection ended without a response, -1 if the response was truncated
	attemptIDs []string
	stamp      string
	body       string
	runs       int
}

func (r result) String() string {
	switch r.status {
	case 0:
		return "closed"
	case -1:
		return "truncated"
	}
	return fmt.Sprint(r.status)
}

// faultMesh is a mesh with an upstream beside each proxy but the first. Clients call the first proxy, which adds a hop,
// and the second, which reaches the upstream beside it directly.
type faultMesh struct {
	*mesh
	clients       []*http.Client
	previousRuns  []int // runs of each upstream when the count began
	previousProxy int
	classOf       map[string]requestClass
}

// faultMeshOptions configures a faultMesh.
type faultMeshOptions struct {
	upstreams       int
	work            time.Duration
	calledProxies   int // number of proxies that clients call
	startProxy      func(*mesh, *settings.Settings)
	upstreamAddress func(*settings.Settings) string // returns the address of the upstream beside a proxy
}

func defaultFaultMeshOptions() faultMeshOptions {
	return faultMeshOptions{
		upstreams:       1,
		calledProxies:   2,
		startProxy:      (*mesh).startProxy,
		upstreamAddress: func(cfg *settings.Settings) string { return cfg.UpstreamAddress },
	}
}

// start starts a mesh and waits until the called proxies reach all upstreams.
func (o faultMeshOptions) start(t *testing.T) *faultMesh {
	services := append([]string{"regie"}, slices.Repeat([]string{"album"}, o.upstreams)...)
	plan, err := testmesh.Plan(1, 1+o.upstreams, []string{"east"}, services, t.TempDir())
	must.NoError(t, err)
	m := &mesh{t: t, plan: plan, stops: map[string]func(){}}
	t.Cleanup(m.stopAll)
	must.NoError(t, os.MkdirAll(plan.Controllers[0].DataDir, 0o755))
	m.startController(plan.Controllers[0])
	for _, cfg := range plan.Proxies {
		o.startProxy(m, cfg)
	}
	fm := &faultMesh{mesh: m, classOf: map[string]requestClass{}}
	for n, cfg := range plan.Proxies[1:] {
		upstream, err := testmesh.NewUpstream(fmt.Sprintf("i-%d", n), cfg.Service, o.upstreamAddress(cfg), cfg.ControlAddress, 8, o.work, smallResponseSize)
		must.NoError(t, err)
		upstream.SetSize("/stream/", streamResponseSize)
		m.upstreams = append(m.upstreams, upstream)
	}
	m.waitUntil(func() bool {
		status, _ := m.call(0, "timetable.replace", "0", responsesConfig)
		return status == http.StatusOK
	})
	for at := range o.calledProxies {
		client := &http.Client{Timeout: 8 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
		t.Cleanup(client.CloseIdleConnections)
		fm.clients = append(fm.clients, client)
		m.waitUntil(func() bool { fm.send(at, requestClasses[0], nil, time.Second); return fm.allReached(at) })
	}
	return fm
}

func (m *mesh) stopAll() {
	for _, stop := range m.stops {
		stop()
	}
	for _, upstream := range m.upstreams {
		upstream.Stop()
	}
}

// allReached reports whether all upstreams have run a request since the first call of it for this proxy.
func (fm *faultMesh) allReached(at int) bool {
	if fm.previousRuns == nil || fm.previousProxy != at {
		fm.previousRuns, fm.previousProxy = fm.runTotals(), at
		return false
	}
	current := fm.runTotals()
	for n := range current {
		if current[n] == fm.previousRuns[n] {
			return false
		}
	}
	return true
}

func (fm *faultMesh) runTotals() (totals []int) {
	for _, upstream := range fm.upstreams {
		totals = append(totals, upstream.TotalRuns())
	}
	return totals
}

func (fm *faultMesh) connectionCount() (total int) {
	for _, upstream := range fm.upstreams {
		total += upstream.Connections()
	}
	return total
}

// inject injects a fault at every upstream, so that retries of the next request get it, too.
func (fm *faultMesh) inject(injection testmesh.Injection) {
	for _, upstream := range fm.upstreams {
		upstream.Inject(injection)
	}
}

// faultMet reports whether an upstream has used its injected fault. If so, it removes the faults of the others.
func (fm *faultMesh) faultMet() (met bool) {
	for _, upstream := range fm.upstreams {
		if upstream.PendingFaults() == 0 {
			met = true
		}
	}
	if met {
		fm.dropFaults()
	}
	return met
}

func (fm *faultMesh) dropFaults() {
	for _, upstream := range fm.upstreams {
		for upstream.PendingFaults() > 0 {
			upstream.DropNextFault()
		}
	}
}

func (fm *faultMesh) send(at int, class requestClass, body io.Reader, timeLeft time.Duration) result {
	fm.lastID++
	got := result{id: fmt.Sprintf("a%d", fm.lastID)}
	fm.classOf[got.id] = class
	request, err := http.NewRequest(class.method, "http://"+fm.plan.Proxies[at].OutboundAddress+class.path, body)
	must.NoError(fm.t, err)
	request.Host = "a.example"
	request.Header = http.Header{"X-Attempt-Id": {got.id}, "X-Time-Left-Ms": {fmt.Sprint(timeLeft.Milliseconds())}}
	response, err := fm.clients[at].Do(request)
	if err == nil {
		defer response.Body.Close()
		whole, err := io.ReadAll(response.Body)
		got.status, got.attemptIDs, got.stamp, got.body = response.StatusCode, response.Header["X-Attempt-Id"], response.Header.Get("X-Postmark"), string(whole)
		if err != nil {
			got.status = -1
		}
	}
	got.runs = fm.runs(got.id)
	return got
}

func promisesNotExecuted(status int) bool {
	return slices.Contains([]int{http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest}, status)
}

// violation returns the rule for responses that a result violates, empty for none.
func (r result) violation(class requestClass) string {
	switch {
	case len(r.attemptIDs) > 1 || len(r.attemptIDs) == 1 && r.attemptIDs[0] != r.id:
		return "a response to another request"
	case strings.Contains(r.body, testmesh.StrayBody):
		return "a response that belongs to no request"
	case r.status >= 200 && r.status < 300 && r.status != http.StatusNoContent && len(r.body) != class.responseSize:
		return "a success with an incomplete body"
	case r.status >= 200 && r.status < 300 && !strings.HasPrefix(r.stamp, "stamp-i-"):
		return "a success without the upstream's stamp"
	case r.status >= 200 && r.status < 300 && r.runs == 0:
		return "a success of a request that did not run"
	case class.maxRuns == 1 && promisesNotExecuted(r.status) && r.runs > 0:
		return "a status that promises no execution, for a request that ran"
	case r.runs > class.maxRuns:
		return fmt.Sprintf("%d runs", r.runs)
	}
	return ""
}

func (fm *faultMesh) check(got result, class requestClass, context string) {
	fm.t.Helper()
	if violation := got.violation(class); violation != "" {
		fm.t.Errorf("%s, %s: received %v, IDs %q, body %q: %s", context, class.name, got, got.attemptIDs, got.body[:min(len(got.body), 20)], violation)
	}
}

// faultCase is a fault with the statuses that the client of a once-only request may receive.
type faultCase struct {
	fault            testmesh.Fault
	onceOnlyStatuses []int
	keepsConnection  bool // the connection to the upstream stays usable
	endsAtDeadline   bool // the request ends only at its deadline
	largeRequest     bool // the request needs a large body
}

var faultCases = []faultCase{
	{fault: testmesh.NoFault, onceOnlyStatuses: []int{200}, keepsConnection: true},

	{fault: testmesh.Unavailable, onceOnlyStatuses: []int{200, 503}, keepsConnection: true},
	{fault: testmesh.UnavailableWithoutID, onceOnlyStatuses: []int{504}, endsAtDeadline: true},
	{fault: testmesh.UnavailableTwice, onceOnlyStatuses: []int{200, 503}},
	{fault: testmesh.Misdirected, onceOnlyStatuses: []int{200, 503}, keepsConnection: true},
	{fault: testmesh.MisdirectedWithoutID, onceOnlyStatuses: []int{504}, endsAtDeadline: true},
	{fault: testmesh.BadRequestWithoutID, onceOnlyStatuses: []int{504}, endsAtDeadline: true},
	{fault: testmesh.ResetBeforeRun, onceOnlyStatuses: []int{502}},
	{fault: testmesh.CloseBeforeRun, onceOnlyStatuses: []int{502}},
	{fault: testmesh.NoResponseBeforeRun, onceOnlyStatuses: []int{504}, endsAtDeadline: true},
	{fault: testmesh.EarlyUnavailable, onceOnlyStatuses: []int{502, 503}, largeRequest: true},
	{fault: testmesh.EarlyUnavailableKeepOpen, onceOnlyStatuses: []int{503}, largeRequest: true},

	{fault: testmesh.NoResponse, onceOnlyStatuses: []int{504}, endsAtDeadline: true},
	{fault: testmesh.DelayedRun, onceOnlyStatuses: []int{504}, endsAtDeadline: true},
	{fault: testmesh.Reset, onceOnlyStatuses: []int{502}},
	{fault: testmesh.CloseBeforeResponse, onceOnlyStatuses: []int{502}},
	{fault: testmesh.ResetInHeader, onceOnlyStatuses: []int{502}},
	{fault: testmesh.CloseInHeader, onceOnlyStatuses: []int{502}},
	{fault: testmesh.ResetInBody, onceOnlyStatuses: []int{502}},
	{fault: testmesh.CloseInBody, onceOnlyStatuses: []int{502}},
	{fault: testmesh.CloseBetweenChunks, onceOnlyStatuses: []int{502}},
	{fault: testmesh.ResetAfterResponse, onceOnlyStatuses: []int{200, 502}},
	{fault: testmesh.CloseAfterResponse, onceOnlyStatuses: []int{200}},
	{fault: testmesh.CloseWriteAfterResponse, onceOnlyStatuses: []int{200}},
	{fault: testmesh.DuplicateResponse, onceOnlyStatuses: []int{200}},
	{fault: testmesh.LateErrorWithoutID, onceOnlyStatuses: []int{200}},
	{fault: testmesh.LateUnavailableWithoutID, onceOnlyStatuses: []int{200}},
	{fault: testmesh.LateSuccessWithoutID, onceOnlyStatuses: []int{200}},
	{fault: testmesh.LateOtherID, onceOnlyStatuses: []int{200}},
	{fault: testmesh.LateGarbage, onceOnlyStatuses: []int{200, 502}},
	{fault: testmesh.PrecedingOtherID, onceOnlyStatuses: []int{200}},
	{fault: testmesh.PrecedingErrorWithoutID, onceOnlyStatuses: []int{200}},
	{fault: testmesh.InformationalResponses, onceOnlyStatuses: []int{200}, keepsConnection: true},
	{fault: testmesh.SwitchingProtocols, onceOnlyStatuses: []int{502}},
	{fault: testmesh.SuccessWithoutID, onceOnlyStatuses: []int{504}, endsAtDeadline: true},
	{fault: testmesh.Error, onceOnlyStatuses: []int{500}, keepsConnection: true},
	{fault: testmesh.ErrorWithoutID, onceOnlyStatuses: []int{504}, endsAtDeadline: true},
	{fault: testmesh.SuccessWithoutStamp, onceOnlyStatuses: []int{502}},
	{fault: testmesh.UnmarkedUnavailable, onceOnlyStatuses: []int{502}, keepsConnection: true},
	{fault: testmesh.UnmarkedTooManyRequests, onceOnlyStatuses: []int{502}, keepsConnection: true},
	{fault: testmesh.SuccessMarkedNotExecuted, onceOnlyStatuses: []int{502}},
	{fault: testmesh.Garbage, onceOnlyStatuses: []int{502}},
	{fault: testmesh.OversizedHeader, onceOnlyStatuses: []int{502}},
	{fault: testmesh.ConflictingContentLengths, onceOnlyStatuses: []int{502}},
	{fault: testmesh.HTTP10WithoutLength, onceOnlyStatuses: []int{502}},
	{fault: testmesh.BareCRInHeader, onceOnlyStatuses: []int{200, 502}},
	{fault: testmesh.ChunkedWithTrailer, onceOnlyStatuses: []int{200}, keepsConnection: true},
	{fault: testmesh.NoContentWithBody, onceOnlyStatuses: []int{204}},
	{fault: testmesh.ConnectionClose, onceOnlyStatuses: []int{200}},
	{fault: testmesh.EarlyError, onceOnlyStatuses: []int{500, 502}, largeRequest: true},
	{fault: testmesh.EarlySuccess, onceOnlyStatuses: []int{200}, largeRequest: true},
}

// outcomeCounts counts the results of requests for one fault and class.
type outcomeCounts struct {
	pairs, maxRuns       int
	results, nextResults map[string]int
}

func (c *outcomeCounts) String() string {
	return fmt.Sprintf("%d pairs; results %v; at most %d runs; next %v", c.pairs, c.results, c.maxRuns, c.nextResults)
}

// sendPair sends a request that gets the fault, and then a once-only request, over a reused connection if there is one.
// The fault must not affect the second request, except that a connection reset may fail it.
func (fm *faultMesh) sendPair(at int, test faultCase, class requestClass, delay time.Duration, counts *outcomeCounts) {
	timeLeft := 3 * time.Second
	if test.endsAtDeadline {
		timeLeft = 150 * time.Millisecond
		if test.fault == testmesh.DelayedRun {
			delay = 250 * time.Millisecond
		}
	}
	var body io.Reader
	if test.largeRequest {
		body = bytes.NewReader(make([]byte, largeRequestSize))
	}
	connections := fm.connectionCount()
	fm.inject(testmesh.Injection{Fault: test.fault, Delay: delay})
	first := fm.send(at, class, body, timeLeft)
	for !fm.faultMet() { // rejected, or failed by a late fault of the pair before, ahead of the upstream: send another one
		fm.check(first, class, test.fault.String())
		must.SliceContains(fm.t, []int{502, 503}, first.status, must.Sprint(test.fault, class.name))
		first = fm.send(at, class, body, timeLeft)
	}
	fm.check(first, class, test.fault.String())
	if class.maxRuns == 1 && !slices.Contains(test.onceOnlyStatuses, first.status) {
		fm.t.Errorf("%v, %s, proxy %d: received %v after %d runs, want one of %v", test.fault, class.name, at, first, first.runs, test.onceOnlyStatuses)
	}
	next := fm.send(at, requestClasses[0], nil, 3*time.Second)
	fm.check(next, requestClasses[0], "after "+test.fault.String())
	if class.maxRuns == 1 && test.keepsConnection && len(fm.upstreams) == 1 {
		must.Eq(fm.t, connections, fm.connectionCount(), must.Sprint(test.fault, " must not close the connection"))
	}
	counts.pairs++
	counts.results[first.String()]++
	counts.nextResults[next.String()]++
	counts.maxRuns = max(counts.maxRuns, first.runs)
	time.Sleep(delay + time.Millisecond) // late bytes arrive before the next pair
}

var lateDelays = []time.Duration{0, 200 * time.Microsecond, 500 * time.Microsecond, time.Millisecond, 3 * time.Millisecond}

// Injects every fault of an upstream, for each class of request, over one hop and over two. With one upstream the next
// request reuses the connection. With two, a wrong retry could run the request at the other one. In the third mesh, the
// faults come from a peer proxy instead of an upstream.
func TestUpstreamFaults(t *testing.T) {
	must.Eq(t, len(testmesh.Faults()), len(faultCases))
	oneUpstream, twoUpstreams := defaultFaultMeshOptions(), defaultFaultMeshOptions()
	twoUpstreams.upstreams = 2
	for name, options := range map[string]faultMeshOptions{"upstream": oneUpstream, "two upstreams": twoUpstreams, "peer": peerOptions()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fm := options.start(t)
			for _, test := range faultCases {
				for _, class := range requestClasses {
					fm.testFault(test, class)
				}
			}
			fm.checkRunLimits()
		})
	}
}

// peerOptions replaces the second proxy by the fake upstream: the core is told that the proxy runs, and the upstream
// serves at its address for other proxies.
func peerOptions() faultMeshOptions {
	options := defaultFaultMeshOptions()
	options.calledProxies = 1
	options.upstreamAddress = func(cfg *settings.Settings) string { return cfg.InboundAddress }
	options.startProxy = func(m *mesh, cfg *settings.Settings) {
		if cfg != m.plan.Proxies[1] {
			m.startProxy(cfg)
			return
		}
		m.runProcess(cfg.Node, func(ctx context.Context) error { return reportProxy(ctx, m.plan.Controllers[0].InternalAddress(), cfg) })
	}
	return options
}

// reportProxy reports a proxy and the upstream i-0 beside it to the core until the context ends.
func reportProxy(ctx context.Context, controller string, cfg *settings.Settings) error {
	caller := rpc.NewClient(nil)
	defer caller.Close()
	request := &membership.WatchRequest{Node: membership.Node{
		Name: cfg.Node, Inbound: cfg.InboundAddress, Zone: cfg.Zone, Incarnation: "life", Seq: 1,
		Upstream: &membership.Upstream{ID: "i-0", Service: cfg.Service, Version: "v1", Capacity: 8},
	}}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, time.Second)
		caller.Call(callCtx, controller, rpc.PathWatch, request, &membership.WatchResponse{})
		cancel()
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

func (fm *faultMesh) testFault(test faultCase, class requestClass) {
	counts := &outcomeCounts{results: map[string]int{}, nextResults: map[string]int{}}
	delays := lateDelays
	if test.endsAtDeadline { // these faults send no late bytes, and each request lasts until its deadline
		delays = delays[:2]
	}
	for at := range fm.clients {
		fm.drainLateResponses(at)
		for _, delay := range delays {
			fm.sendPair(at, test, class, delay, counts)
		}
	}
	fm.t.Logf("%-24v %-10s %v", test.fault, class.name, counts)
}

// drainLateResponses sends requests until late responses to the previous fault have arrived and there is an idle
// connection.
func (fm *faultMesh) drainLateResponses(at int) {
	for range 2 {
		fm.send(at, requestClasses[0], nil, time.Second)
		time.Sleep(5 * time.Millisecond)
	}
}

// checkRunLimits checks the number of runs of all attempts once more, after delayed runs.
func (fm *faultMesh) checkRunLimits() {
	time.Sleep(300 * time.Millisecond)
	for id, class := range fm.classOf {
		must.LessEq(fm.t, class.maxRuns, fm.runs(id), must.Sprint(class.name, id))
	}
}

// Repeats the faults that follow a complete response, so that the late bytes arrive while the next request is in flight.
func TestLateResponsesOnReusedConnections(t *testing.T) {
	options := defaultFaultMeshOptions()
	options.work = 2 * time.Millisecond // late bytes arrive while the next request runs
	fm := options.start(t)
	for _, test := range faultCases {
		pairs := 100
		switch test.fault {
		case testmesh.LateErrorWithoutID:
			pairs = 300
		case testmesh.LateUnavailableWithoutID, testmesh.UnavailableTwice, testmesh.LateOtherID, testmesh.DuplicateResponse:
		default:
			continue
		}
		for _, delay := range lateDelays[1:] {
			counts := &outcomeCounts{results: map[string]int{}, nextResults: map[string]int{}}
			for n := range pairs {
				fm.sendPair(n%len(fm.clients), test, requestClasses[0], delay, counts)
			}
			t.Logf("%-24v after %-6v %v", test.fault, delay, counts)
			must.Eq(t, pairs, counts.nextResults["200"], must.Sprint(test.fault, delay))
		}
	}
}

// An upstream stops without announcing it, and another one starts at its address before the proxy knows of either change.
func TestUpstreamReplacedAtSameAddress(t *testing.T) {
	fm := defaultFaultMeshOptions().start(t)
	cfg := fm.plan.Proxies[1]
	counts := &outcomeCounts{results: map[string]int{}}
	for n := range 5 {
		fm.upstreams[n].Stop()
		next, err := testmesh.NewUpstream(fmt.Sprintf("i-next-%d", n), cfg.Service, cfg.UpstreamAddress, cfg.ControlAddress, 8, 0, smallResponseSize)
		must.NoError(t, err)
		fm.upstreams = append(fm.upstreams, next)
		for at := range 40 {
			got := fm.send(at%len(fm.clients), requestClasses[0], nil, time.Second)
			fm.check(got, requestClasses[0], "upstream replaced")
			counts.results[got.String()]++
			counts.pairs++
			counts.maxRuns = max(counts.maxRuns, got.runs)
			time.Sleep(10 * time.Millisecond)
		}
		fm.waitUntil(func() bool {
			return fm.send(0, requestClasses[0], nil, time.Second).status == http.StatusOK && next.TotalRuns() > 0
		})
	}
	t.Log(counts)
	fm.checkRunLimits()
}
