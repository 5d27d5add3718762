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

// upstreamWork is longer than lateDelay: what an upstream sends late comes while the next request is waited for.
const (
	upstreamServiceTime = 2 * time.Millisecond
	lateResponseDelay   = 700 * time.Microsecond
)

// inboundHop is the hop from another balancer over a proxy to the upstream beside it.
type inboundHop struct {
	t        *testing.T
	proxy    *Proxy
	upstream *testmesh.Upstream
	address  string
	client   *http.Client
	requests int
}

func startInboundHop(t *testing.T) *inboundHop {
	plan, err := testmesh.Plan(0, 1, []string{"east"}, []string{"album"}, t.TempDir())
	must.NoError(t, err)
	proxySettings := plan.Proxies[0]
	upstream, err := testmesh.NewUpstream("i-0", proxySettings.Destination, proxySettings.App, proxySettings.Control, 8, upstreamServiceTime, 100)
	must.NoError(t, err)
	t.Cleanup(upstream.Stop)
	p := New(proxySettings, slog.New(slog.DiscardHandler))
	accepting := newHeartbeat(1, 8, "accepting")
	accepting.Address = proxySettings.App
	p.local.heartbeat("i-0", accepting, time.Now())
	hop := &inboundHop{t: t, proxy: p, upstream: upstream}
	hop.serve(p.serveInbound)
	return hop
}

func (h *inboundHop) serve(handler http.HandlerFunc) {
	server, err := httpserver.Listen("127.0.0.1:0", httpserver.Options{
		Name: "inbound", Handler: handler, Counts: telemetry.NewCounters(), Log: slog.New(slog.DiscardHandler)})
	must.NoError(h.t, err)
	go server.Serve()
	transport := &http.Transport{}
	h.address, h.client = server.Address(), &http.Client{Transport: transport}
	h.t.Cleanup(func() {
		transport.CloseIdleConnections()
		at, end := context.WithTimeout(context.Background(), time.Second)
		defer end()
		server.Shutdown(at)
	})
}

func (h *inboundHop) id() string {
	h.requests++
	return fmt.Sprintf("h%d", h.requests)
}

// send sends an attempt as the other balancer does, and reports what it would make of the answer.
func (h *inboundHop) send(requestID string) (refused bool, body string) {
	r, err := http.NewRequest(http.MethodPost, "http://"+h.address+"/once/x", nil)
	must.NoError(h.t, err)
	r.Header = http.Header{requestIDHeader: {requestID}, upstreamIDHeader: {"i-0"}, timeLeftHeader: {"2000"}}
	response, err := h.client.Do(r)
	if err != nil { // its answer was cut
		return false, ""
	}
	defer response.Body.Close()
	raw, _ := io.ReadAll(response.Body)
	return response.Header.Get(meshHeader) == meshNotExecuted || provesNotExecuted(response), string(raw)
}

// countMisdelivered counts pairs of requests whose second is given what an upstream sends late on the connection of the first.
func (h *inboundHop) countMisdelivered(pairs int) (n int) {
	for range pairs {
		h.upstream.Inject(testmesh.Injection{Fault: testmesh.ErrorWithoutIDLate, Delay: lateResponseDelay})
		h.send(h.id())
		if _, body := h.send(h.id()); strings.Contains(body, testmesh.StrayBody) {
			n++
		}
		time.Sleep(time.Millisecond)
	}
	return n
}

func TestLateResponseWithoutIDIsDiscarded(t *testing.T) {
	h := startInboundHop(t)
	must.Eq(t, 0, h.countMisdelivered(300))
	// Variant: an error without an id is taken for the request's own.
	h.proxy.upstreamConnections.matches = func(answer *http.Response, attempt string) bool {
		return matchesRequestID(answer, attempt) || answer.Header[requestIDHeader] == nil && answer.StatusCode >= http.StatusBadRequest
	}
	wrong := h.countMisdelivered(300)
	t.Logf("variant that takes an answer without an id: %d of 300 pairs with a wrong answer", wrong)
	must.Positive(t, wrong)
}

// countRefusedButRun counts attempts that are refused by their second push, too, although that runs: the second copy of the first
// refusal comes late.
func (h *inboundHop) countRefusedButRun(requests int, between func()) (n int) {
	for range requests {
		id := h.id()
		h.upstream.Inject(testmesh.Injection{Fault: testmesh.FullTwice, Delay: lateResponseDelay})
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

func TestDuplicateRefusalIsNotTakenForALaterAttempt(t *testing.T) {
	h := startInboundHop(t)
	must.Eq(t, 0, h.countRefusedButRun(200, func() {}))
	// Variant: a connection carries an attempt again that it has refused.
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
	t.Logf("variant that sends a refused attempt over the same connection: %d of 200 refused although they ran", wrong)
	must.Positive(t, wrong)
}

func TestNoResendAfterIncompleteResponse(t *testing.T) {
	faults := []testmesh.Fault{testmesh.Reset, testmesh.CloseBeforeAnswer, testmesh.ResetInHead, testmesh.ResetInBody, testmesh.CutShort, testmesh.Garbage}
	h := startInboundHop(t)
	twice := func() (n int) {
		for _, fault := range faults {
			id := h.id()
			h.upstream.Next(fault)
			h.send(id)
			if h.upstream.Runs(id) > 1 {
				n++
			}
		}
		return n
	}
	must.Eq(t, 0, twice())
	// Variant: what ended without a whole answer is sent once more.
	h.serve(func(w http.ResponseWriter, r *http.Request) {
		first := httptest.NewRecorder()
		h.proxy.serveInbound(first, r)
		if first.Header().Get(meshHeader) == meshMayHaveRun {
			h.proxy.serveInbound(w, r)
		}
	})
	wrong := twice()
	t.Logf("variant that sends again: %d of %d faults run twice", wrong, len(faults))
	must.Positive(t, wrong)
}

// A process that stood still hands nothing on after the time of whoever asked, nor once they have gone.
func TestNoSendAfterDeadlineOrCancellation(t *testing.T) {
	h := startInboundHop(t)
	gone, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		ctx  context.Context
		left time.Duration
	}{{context.Background(), -time.Millisecond}, {gone, time.Second}} {
		s := newRequestTo("i-0", time.Second)
		s.requestID, s.method, s.target, s.host, s.header = h.id(), http.MethodPost, "/once/x", "a.example", http.Header{}
		s.deadline = time.Now().Add(c.left)
		back := h.proxy.sendToLocalUpstream(c.ctx, s)
		must.NotEq(t, apierror.None, back.kind)
		must.False(t, back.wrote)
		time.Sleep(10 * time.Millisecond)
		must.Eq(t, 0, h.upstream.Runs(s.requestID))
	}
}

// A process that stood still reads a request together with the end of its connection. serveInbound runs at once, and so before the
// request's context has ended.
func TestNoForwardingForDisconnectedCaller(t *testing.T) {
	h := startInboundHop(t)
	const requests = 50
	ranLate := func(within func(http.HandlerFunc) http.HandlerFunc) (n int) {
		thawed, served := make(chan struct{}), make(chan struct{}, requests)
		h.serve(func(w http.ResponseWriter, r *http.Request) {
			<-thawed
			within(h.proxy.serveInbound)(w, r.WithContext(context.WithoutCancel(r.Context())))
			served <- struct{}{}
		})
		var ids []string
		for range requests {
			id := h.id()
			ids = append(ids, id)
			h.sendAndClose(id)
		}
		close(thawed)
		for range requests {
			<-served
		}
		for _, id := range ids {
			n += h.upstream.Runs(id)
		}
		return n
	}
	must.Eq(t, 0, ranLate(func(serve http.HandlerFunc) http.HandlerFunc { return serve }))
	// Variant: the connection is not looked at.
	blind := func(serve http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			serve(w, r.WithContext(context.Background()))
		}
	}
	late := ranLate(blind)
	t.Logf("variant that does not look at the connection: %d of %d ran for nobody", late, requests)
	must.Positive(t, late)
}

// sendAndClose sends a request and closes its connection.
func (h *inboundHop) sendAndClose(requestID string) {
	conn, err := net.Dial("tcp4", h.address)
	must.NoError(h.t, err)
	fmt.Fprintf(conn, "POST /once/x HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Addressee: i-0\r\nX-Time-Left-Ms: 2000\r\nContent-Length: 0\r\n\r\n", requestID)
	conn.Close()
}
