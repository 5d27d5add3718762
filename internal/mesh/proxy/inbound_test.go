package proxy

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/httpserver"
	"ottershift/internal/mesh/telemetry"
	"ottershift/internal/mesh/testmesh"
)

// upstreamServiceTime is longer than lateResponseDelay, so that a late response of the upstream arrives while the next
// request is awaited.
const (
	upstreamServiceTime = 2 * time.Millisecond
	lateResponseDelay   = 700 * time.Microsecond
)

// inboundHop is the inbound hop of a proxy, from another proxy to the local upstream.
type inboundHop struct {
	t        *testing.T
	proxy    *Proxy
	upstream *testmesh.Upstream
	address  string
	client   *http.Client
	requests int
}

// startInboundHop starts an upstream and the inbound server of its proxy.
func startInboundHop(t *testing.T) *inboundHop {
	plan, err := testmesh.Plan(0, 1, []string{"east"}, []string{"album"}, t.TempDir())
	must.NoError(t, err)
	proxySettings := plan.Proxies[0]
	upstream, err := testmesh.NewUpstream("i-0", proxySettings.Service, proxySettings.UpstreamAddress, proxySettings.ControlAddress, 8, upstreamServiceTime, 100)
	must.NoError(t, err)
	t.Cleanup(upstream.Stop)
	p := New(proxySettings, slog.New(slog.DiscardHandler))
	accepting := newHeartbeat(1, 8, "accepting")
	accepting.Address = proxySettings.UpstreamAddress
	p.local.heartbeat("i-0", accepting, time.Now())
	hop := &inboundHop{t: t, proxy: p, upstream: upstream}
	hop.serve(p.serveInbound)
	return hop
}

// serve starts another inbound server with the handler.
func (h *inboundHop) serve(handler http.HandlerFunc) {
	server, err := httpserver.Listen("127.0.0.1:0", httpserver.Options{
		Name: "inbound", Handler: handler, Counters: telemetry.NewCounters(), Log: slog.New(slog.DiscardHandler)})
	must.NoError(h.t, err)
	go server.Serve()
	transport := &http.Transport{}
	h.address, h.client = server.Address(), &http.Client{Transport: transport}
	h.t.Cleanup(func() {
		transport.CloseIdleConnections()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		server.Shutdown(ctx)
	})
}

// id returns a new request ID.
func (h *inboundHop) id() string {
	h.requests++
	return fmt.Sprintf("h%d", h.requests)
}

// send sends a request as another proxy does and reports whether that proxy would conclude that it was not executed.
func (h *inboundHop) send(requestID string) (refused bool, body string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+h.address+"/once/x", nil)
	must.NoError(h.t, err)
	r.Header = http.Header{requestIDHeader: {requestID}, upstreamIDHeader: {"i-0"}, timeLeftHeader: {"2000"}}
	response, err := h.client.Do(r)
	if err != nil { // the response was truncated
		return false, ""
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	return response.Header.Get(meshHeader) == meshNotExecuted || provesNotExecuted(response), string(raw)
}

// countMisdelivered counts the pairs of requests whose second one gets the late response to the first one.
func (h *inboundHop) countMisdelivered(pairs int) (n int) {
	for range pairs {
		h.upstream.Inject(testmesh.Injection{Fault: testmesh.LateErrorWithoutID, Delay: lateResponseDelay})
		h.send(h.id())
		if _, body := h.send(h.id()); strings.Contains(body, testmesh.StrayBody) {
			n++
		}
		time.Sleep(time.Millisecond)
	}
	return n
}

// A late error response without a request ID arrives on a reused connection and must not be taken for the response to
// the next request.
func TestLateResponseWithoutIDIsDiscarded(t *testing.T) {
	h := startInboundHop(t)
	must.Eq(t, 0, h.countMisdelivered(300))
	// Counter-check: the fault occurs if an error response without an ID is accepted.
	h.proxy.upstreamConnections.matches = func(response *http.Response, requestID string) bool {
		return matchesRequestID(response, requestID) || response.Header[requestIDHeader] == nil && response.StatusCode >= http.StatusBadRequest
	}
	wrong := h.countMisdelivered(300)
	t.Logf("matcher that accepts responses without an ID: %d of 300 pairs with a wrong response", wrong)
	must.Positive(t, wrong)
}

// countRefusedButRun counts the requests that appear refused on their second sending although they run, because a
// duplicate of the first refusal arrives late.
func (h *inboundHop) countRefusedButRun(requests int, between func()) (n int) {
	for range requests {
		id := h.id()
		h.upstream.Inject(testmesh.Injection{Fault: testmesh.UnavailableTwice, Delay: lateResponseDelay})
		refused, _ := h.send(id)
		must.True(h.t, refused)
		between()
		refused, _ = h.send(id)
		if runs := h.upstream.Runs(id); refused && runs > 0 {
			n++
		}
		time.Sleep(time.Millisecond)
	}
	return n
}

// A request that was refused is sent again. A late duplicate of the first refusal has the same request ID and must not
// be taken as the response to the second sending.
func TestDuplicateRefusalIsNotTakenForALaterAttempt(t *testing.T) {
	h := startInboundHop(t)
	must.Eq(t, 0, h.countRefusedButRun(200, func() {}))
	// Counter-check: the fault occurs if a refused request is sent again over the same connection.
	forget := func() {
		pool := h.proxy.upstreamConnections
		pool.mu.Lock()
		defer pool.mu.Unlock()
		for _, all := range pool.idle {
			for _, c := range all {
				c.refusedRequests = nil
			}
		}
	}
	wrong := h.countRefusedButRun(200, forget)
	t.Logf("refused request sent again over the same connection: %d of 200 refused although they ran", wrong)
	must.Positive(t, wrong)
}

// A request whose response is missing or incomplete may have run and must not be sent again.
func TestNoResendAfterIncompleteResponse(t *testing.T) {
	faults := []testmesh.Fault{testmesh.Reset, testmesh.CloseBeforeResponse, testmesh.ResetInHeader, testmesh.ResetInBody, testmesh.CloseInBody, testmesh.Garbage}
	h := startInboundHop(t)
	countRunTwice := func() (n int) {
		for _, fault := range faults {
			id := h.id()
			h.upstream.InjectFaults(fault)
			h.send(id)
			if h.upstream.Runs(id) > 1 {
				n++
			}
		}
		return n
	}
	must.Eq(t, 0, countRunTwice())
	// Counter-check: the upstream runs a request twice if it is sent again.
	h.serve(func(w http.ResponseWriter, r *http.Request) {
		first := httptest.NewRecorder()
		h.proxy.serveInbound(first, r)
		if first.Header().Get(meshHeader) == meshMayHaveRun {
			h.proxy.serveInbound(w, r)
		}
	})
	wrong := countRunTwice()
	t.Logf("with resending: %d of %d faults run twice", wrong, len(faults))
	must.Positive(t, wrong)
}

// After a pause of the process, a request must not be sent once its deadline has passed or its caller has gone.
func TestNoSendAfterDeadlineOrCancellation(t *testing.T) {
	h := startInboundHop(t)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		ctx  context.Context
		left time.Duration
	}{{context.Background(), -time.Millisecond}, {cancelled, time.Second}} {
		request := newRequestTo("i-0", time.Second)
		request.requestID, request.method, request.target, request.host, request.header = h.id(), http.MethodPost, "/once/x", "a.example", http.Header{}
		request.deadline = time.Now().Add(c.left)
		response := h.proxy.sendToLocalUpstream(c.ctx, request)
		must.NotEq(t, apierror.None, response.kind)
		must.False(t, response.wrote)
		time.Sleep(10 * time.Millisecond)
		must.Eq(t, 0, h.upstream.Runs(request.requestID))
	}
}

// After a pause, the process reads a request together with the end of its connection. The handler runs at once, before
// the request's context is cancelled, and must not forward the request.
func TestNoForwardingForDisconnectedCaller(t *testing.T) {
	h := startInboundHop(t)
	const requests = 50
	countRuns := func(wrap func(http.HandlerFunc) http.HandlerFunc) (n int) {
		resumed, served := make(chan struct{}), make(chan struct{}, requests)
		h.serve(func(w http.ResponseWriter, r *http.Request) {
			<-resumed
			wrap(h.proxy.serveInbound)(w, r.WithContext(context.WithoutCancel(r.Context())))
			served <- struct{}{}
		})
		var ids []string
		for range requests {
			id := h.id()
			ids = append(ids, id)
			h.sendAndClose(id)
		}
		close(resumed)
		for range requests {
			<-served
		}
		for _, id := range ids {
			n += h.upstream.Runs(id)
		}
		return n
	}
	must.Eq(t, 0, countRuns(func(serve http.HandlerFunc) http.HandlerFunc { return serve }))
	// Counter-check: the requests run if the connection is not checked.
	withoutCheck := func(serve http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			serve(w, r.WithContext(context.Background()))
		}
	}
	runs := countRuns(withoutCheck)
	t.Logf("without the connection check: %d of %d ran for a disconnected caller", runs, requests)
	must.Positive(t, runs)
}

// sendAndClose sends a request and closes its connection.
func (h *inboundHop) sendAndClose(requestID string) {
	conn, err := net.Dial("tcp4", h.address)
	must.NoError(h.t, err)
	fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Addressee: i-0\r\nX-Time-Left-Ms: 2000\r\nContent-Length: 0\r\n\r\n", requestID)
	conn.Close()
}
