package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/httpserver"
	"ottershift/internal/roster"
)

// serveInbound handles the inbound hop: a request that another proxy sends to the upstream on this machine or, through
// this proxy, to a partner.
func (p *Proxy) serveInbound(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(meshHeader) == meshProbe {
		if reported, _, _ := p.local.snapshot(); reported != nil && !reported.Draining && reported.ID == r.Header.Get(upstreamIDHeader) {
			w.WriteHeader(http.StatusOK)
		} else {
			apierror.Write(w, apierror.Misdirected, 0, "")
		}
		return
	}
	p.openRequests.Add(1)
	defer p.openRequests.Add(-1)
	p.inboundRequests.Add(1)
	if p.refusing.Load() {
		p.rejectNotExecuted(w, r, apierror.Misdirected)
		return
	}
	request, kind := p.readInboundRequest(r)
	if kind != apierror.None {
		p.rejectNotExecuted(w, r, kind)
		return
	}
	if r.Header[meshLongResponseHeader] != nil {
		if p.draining.Load() { // its response may take longer than the drain leaves; another proxy can serve it
			p.counters.Increment("turned_leaving")
			p.rejectNotExecuted(w, r, apierror.Misdirected)
			return
		}
		if !p.pacer.admit(request.requestPriority) {
			p.counters.Increment("turned_line_full")
			p.rejectNotExecuted(w, r, apierror.NoCapacity)
			return
		}
		defer p.pacer.done(request.rank)
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.deadline.Add(responseGrace))
	defer cancel()
	defer context.AfterFunc(p.shutdownContext, cancel)() // at shutdown, a request that waits for a slot is refused as not executed
	var response *upstreamResponse
	if partner := r.Header.Get(meshPartnerHeader); partner != "" {
		response = p.sendToPartner(ctx, request, partner)
	} else {
		response = p.sendToLocalUpstream(ctx, request)
	}
	switch response.kind {
	case apierror.None:
		p.relayResponse(w, r, request, response)
	case apierror.NoCapacity, apierror.Misdirected, apierror.NotReady:
		p.rejectNotExecuted(w, r, response.kind)
	default:
		p.rejectMayHaveRun(w, r, response.err)
	}
}

// readInboundRequest reads the addressee, priority and deadline of a request from another proxy, and its body up to
// maxBufferedBody.
func (p *Proxy) readInboundRequest(r *http.Request) (*upstreamRequest, apierror.Kind) {
	header := endToEndHeaders(r.Header)
	for _, name := range []string{meshPartnerHeader, meshPriorityHeader, meshLongResponseHeader} {
		delete(header, name)
	}
	remaining, err := strconv.ParseFloat(r.Header.Get(timeLeftHeader), 64)
	if err != nil {
		return nil, apierror.Malformed
	}
	request := &upstreamRequest{
		requestID: r.Header.Get(requestIDHeader), upstreamID: r.Header.Get(upstreamIDHeader),
		method: r.Method, target: r.RequestURI, host: r.Host, header: header,
		requestPriority: p.priorityOf(r), length: max(r.ContentLength, 0),
		deadline:   time.Now().Add(time.Duration(remaining * float64(time.Millisecond))),
		callerGone: callerGone(r),
	}
	if r.ContentLength > 0 {
		if request.body, err = io.ReadAll(io.LimitReader(r.Body, maxBufferedBody)); err != nil {
			return nil, apierror.Malformed
		}
		if int64(len(request.body)) < r.ContentLength {
			request.bodyRest = r.Body
		}
	}
	return request, apierror.None
}

// relayResponse passes an upstream's response back to the proxy that sent the request.
func (p *Proxy) relayResponse(w http.ResponseWriter, r *http.Request, request *upstreamRequest, response *upstreamResponse) {
	defer response.release(false)
	relayed := &downstreamResponse{status: response.httpResponse.StatusCode, header: endToEndHeaders(response.httpResponse.Header),
		length: response.httpResponse.ContentLength, remaining: response.httpResponse.Body,
		earlyResponse: response.conn.earlyResponse, written: make(chan bool, 1), pacer: p.pacer, rank: request.rank, context: r.Context()}
	if err := relayed.detectLength(); err != nil {
		p.rejectMayHaveRun(w, r, err)
		return
	}
	if request.requestID != "" {
		relayed.header[requestIDHeader] = []string{request.requestID} // proves that the response belongs to the request
	}
	p.writeResponse(w, relayed)
	response.release(true)
}

// rejectMayHaveRun responds that a request may have run but has no usable response.
func (p *Proxy) rejectMayHaveRun(w http.ResponseWriter, r *http.Request, err error) {
	p.counters.Increment("app_" + failureReason(err))
	w.Header()[meshHeader] = []string{meshMayHaveRun}
	p.refuse(w, r, apierror.IncompleteResponse, 0)
}

// callerGone returns a function that checks whether the other proxy has closed the request's connection. After a pause
// of this process, for example a VM freeze, a request and the end of its connection are read together, and its
// relative time limit starts anew. The request's context is cancelled only some time after the handler has started,
// which is too late for a request that is forwarded at once.
func callerGone(r *http.Request) func() bool {
	if c := httpserver.ConnectionOf(r); c != nil {
		return c.ClosedByPeer
	}
	return nil
}

// failureReason names the cause of a failed exchange with the upstream, for the counters.
func failureReason(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "late"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	case errors.Is(err, errForeignResponses):
		return "strays"
	}
	return "garbled"
}

// rejectNotExecuted refuses a request with the proof that it has not run and never will.
func (p *Proxy) rejectNotExecuted(w http.ResponseWriter, r *http.Request, kind apierror.Kind) {
	w.Header()[meshHeader] = []string{meshNotExecuted}
	w.Header()[notExecutedHeader] = []string{"1"}
	p.refuse(w, r, kind, 0)
}

// probeUpstream asks the proxy beside an upstream whether the upstream is available.
func (p *Proxy) probeUpstream(ctx context.Context, service *servicePool, at roster.Endpoint) bool {
	name := ""
	p.mu.Lock()
	for _, n := range p.nodes {
		if n.Inbound == at.Address && n.Upstream != nil {
			name = n.Upstream.ID
		}
	}
	p.mu.Unlock()
	request := &upstreamRequest{method: http.MethodGet, target: "/", host: "hive", deadline: time.Now().Add(probeTimeout),
		header: http.Header{meshHeader: {meshProbe}, upstreamIDHeader: {name}}}
	if at.Address == p.settings.InboundAddress {
		reported, _, _ := p.local.snapshot()
		return reported != nil && reported.ID == name
	}
	response := p.send(ctx, request, service.peers, at)
	if response.kind != apierror.None {
		return false
	}
	defer response.release(false)
	response.discard()
	return response.httpResponse.StatusCode == http.StatusOK
}

// meshProbe is the value of meshHeader in a health probe.
const meshProbe = "well"

// responseGrace is how long the response of the upstream is awaited after the request's deadline.
const responseGrace = 30 * time.Millisecond
