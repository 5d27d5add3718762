package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/mesh/apierror"
	"ottershift/logic"
)

// attemptOutcome is the outcome of one attempt.
type attemptOutcome struct {
	result         logic.Result
	streamed       bool                // the response was streamed to the client, and the load balancer has been told
	notReceived    bool                // the request did not reach the upstream
	failedResponse *downstreamResponse // the upstream's own error response, nil if there is none
}

// runAttempt carries out one attempt that the load balancer has ordered.
func (p *Proxy) runAttempt(request *downstreamRequest, call *desk.Handle, attempt *desk.Attempt) {
	outcome := attemptOutcome{result: logic.Unsent}
	defer func() {
		if fault := recover(); fault != nil {
			p.log.Error("panic", "where", "push", "fault", fault, "stack", string(debug.Stack()))
			outcome.result = logic.Disconnected
		}
		if !outcome.streamed {
			request.servicePool.desk.Outcome(call, attempt, outcome.result)
		}
	}()
	takeRetry := func() bool {
		if request.servicePool.allowRetry(p.now(), int(p.lastMembers.Load()), request.rank) {
			return true
		}
		p.counters.Increment("budget_spent")
		return false
	}
	if partner, isPartner := request.servicePool.partnerOf(attempt); isPartner && !p.partnerAllows(request, partner) {
		p.counters.Increment("kept_back")
		return
	}
	if !request.beginAttempt(takeRetry) {
		return
	}
	outcome = p.sendAttempt(request, call, attempt)
	request.endAttempt(outcome.result, outcome.notReceived, outcome.failedResponse)
	if outcome.result != logic.Settled {
		p.counters.Increment("push_" + outcome.result.String())
	}
}

// partnerOf returns the partner that an attempt is addressed to, if there is one.
func (p *servicePool) partnerOf(attempt *desk.Attempt) (partner string, isPartner bool) {
	partner, _, isPartner = strings.Cut(attempt.Name, gatewaySeparator)
	return partner, isPartner && p.partners != nil
}

// sendAttempt sends a request to the proxy beside an upstream, or to the upstream if it is on this machine, and reads
// the response.
func (p *Proxy) sendAttempt(request *downstreamRequest, call *desk.Handle, attempt *desk.Attempt) (outcome attemptOutcome) {
	response := p.dispatch(request, call, attempt)
	defer func() {
		if !outcome.streamed {
			response.release(false)
		}
	}()
	switch {
	case response.kind == apierror.NoCapacity || response.kind == apierror.Misdirected:
		return attemptOutcome{result: logic.Refused, notReceived: true}
	case response.kind != apierror.None:
		result := p.classifyFailure(attempt.Context, response)
		return attemptOutcome{result: result, notReceived: result.NeverRan()}
	}
	_, isPartner := request.servicePool.partnerOf(attempt)
	if refused, isRefusal := p.classifyRefusal(response, isPartner); isRefusal {
		return refused
	}
	return p.readUpstreamResponse(request, call, attempt, response)
}

// dispatch sends a request through a partner's gateway, to the local upstream, or to the proxy beside another one.
func (p *Proxy) dispatch(request *downstreamRequest, call *desk.Handle, attempt *desk.Attempt) *upstreamResponse {
	outgoing := p.newUpstreamRequest(request, call, attempt)
	partner, isPartner := request.servicePool.partnerOf(attempt)
	if attempt.Place.Address != p.settings.InboundAddress {
		outgoing.header[meshPriorityHeader] = outgoing.requestPriority.encode()
		if request.longResponse {
			outgoing.header[meshLongResponseHeader] = []string{"1"}
		}
		if isPartner {
			outgoing.header[meshPartnerHeader] = []string{partner}
		}
		return p.send(attempt.Context, outgoing, request.servicePool.peers, attempt.Place)
	}
	if isPartner {
		return p.sendToPartner(attempt.Context, outgoing, partner)
	}
	return p.sendToLocalUpstream(attempt.Context, outgoing)
}

// newUpstreamRequest returns the request of an attempt as it is sent.
func (p *Proxy) newUpstreamRequest(request *downstreamRequest, call *desk.Handle, attempt *desk.Attempt) *upstreamRequest {
	outgoing := &upstreamRequest{
		requestID: request.requestID, upstreamID: attempt.Name, method: request.method, target: request.target,
		host: request.host, header: make(http.Header, len(request.header)+3),
		body: request.body, bodyRest: request.bodyRest, length: request.length, deadline: attempt.Deadline,
		requestPriority: requestPriority{request.latencyTarget, request.rank, attempt.Number > 0},
	}
	for name, values := range request.header {
		outgoing.header[name] = values
	}
	if _, isPartner := request.servicePool.partnerOf(attempt); !isPartner {
		outgoing.header[upstreamIDHeader] = []string{attempt.Name}
	}
	if request.bodyRest != nil { // the load balancer counts time from the last byte, the client from the start
		outgoing.deadline = request.clientDeadline
		outgoing.bodyRest = &eofNotifier{request.bodyRest, func() { request.servicePool.desk.BodyReceived(call, time.Until(request.clientDeadline)) }}
	}
	return outgoing
}

// classifyRefusal decides from the head of a response whether the request was refused or its response can't be used. A
// status from which the client would conclude that the request has not run is passed on only as this mesh's own
// statement, and only with the upstream's proof. A partner's statements are trusted like this mesh's own.
func (p *Proxy) classifyRefusal(response *upstreamResponse, isPartner bool) (outcome attemptOutcome, isRefusal bool) {
	httpResponse := response.httpResponse
	success := httpResponse.StatusCode < http.StatusMultipleChoices
	switch status := httpResponse.Header.Get(meshHeader); {
	case status == meshNotExecuted, provesNotExecuted(httpResponse):
		response.discard()
		return attemptOutcome{result: logic.Refused, notReceived: status == meshNotExecuted}, true
	case status == meshMayHaveRun:
		response.discard()
		return attemptOutcome{result: logic.Disconnected}, true
	case success && httpResponse.Header[notExecutedHeader] != nil:
		p.counters.Increment("answers_contradictory")
		return attemptOutcome{result: logic.Disconnected}, true
	case isPartner:
		return attemptOutcome{}, false
	case apierror.StatusNotExecuted(httpResponse.StatusCode):
		p.counters.Increment("promises_unproven")
		response.discard()
		return attemptOutcome{result: logic.Errored}, true
	case success && httpResponse.Header[upstreamStampHeader] == nil:
		p.counters.Increment("answers_unstamped")
		return attemptOutcome{result: logic.Disconnected}, true
	}
	return attemptOutcome{}, false
}

// readUpstreamResponse reads a response for the client: a short one is buffered completely, a long successful one is
// streamed.
func (p *Proxy) readUpstreamResponse(request *downstreamRequest, call *desk.Handle, attempt *desk.Attempt,
	response *upstreamResponse) attemptOutcome {
	httpResponse := response.httpResponse
	success := httpResponse.StatusCode < http.StatusMultipleChoices
	relayed := &downstreamResponse{status: httpResponse.StatusCode, header: endToEndHeaders(httpResponse.Header),
		length: httpResponse.ContentLength, earlyResponse: response.conn.earlyResponse}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxBufferedResponse+1))
	relayed.body = body
	switch {
	case err != nil:
		return attemptOutcome{result: p.classifyFailure(attempt.Context, &upstreamResponse{kind: apierror.IncompleteResponse, err: err})}
	case len(body) > maxBufferedResponse && success:
		return p.streamResponse(request, call, attempt, response, relayed)
	case len(body) > maxBufferedResponse:
		return attemptOutcome{result: logic.Errored}
	}
	if request.method != http.MethodHead {
		relayed.length = int64(len(body))
	}
	response.release(true)
	request.storeResponse(attempt.Number, relayed)
	switch {
	case success:
		return attemptOutcome{result: logic.Settled}
	case httpResponse.StatusCode < http.StatusInternalServerError:
		return attemptOutcome{result: logic.Rejected}
	}
	return attemptOutcome{result: logic.Errored, failedResponse: relayed}
}

// streamResponse passes a response to the client while it arrives.
func (p *Proxy) streamResponse(request *downstreamRequest, call *desk.Handle, attempt *desk.Attempt,
	response *upstreamResponse, relayed *downstreamResponse) attemptOutcome {
	relayed.remaining, relayed.written = response.httpResponse.Body, make(chan bool, 1)
	request.storeResponse(attempt.Number, relayed)
	if !request.servicePool.desk.StreamStarted(call, attempt) {
		return attemptOutcome{result: logic.Cancelled}
	}
	response.conn.SetReadDeadline(request.clientDeadline.Add(time.Second)) // the client does not wait longer
	complete := <-relayed.written
	response.release(complete)
	request.servicePool.desk.StreamEnded(call, attempt, complete)
	return attemptOutcome{result: logic.Settled, streamed: true}
}

// classifyFailure returns the result of an attempt without a complete response.
func (p *Proxy) classifyFailure(ctx context.Context, response *upstreamResponse) logic.Result {
	cause := context.Cause(ctx)
	switch {
	case !response.wrote && response.kind == apierror.NotReady && (ctx.Err() != nil || notSent(response.err)):
		return logic.Unsent // cancelled, or past its deadline, before it was sent
	case !response.wrote && response.kind == apierror.NotReady:
		return logic.Unreachable
	case errors.Is(cause, context.Canceled):
		return logic.Cancelled
	case errors.Is(cause, context.DeadlineExceeded):
		return logic.TimedOut
	}
	p.counters.Increment("push_cut")
	return logic.Disconnected
}

// eofNotifier calls notify once when its reader has been read to the end.
type eofNotifier struct {
	io.Reader
	notify func()
}

func (n *eofNotifier) Read(buffer []byte) (int, error) {
	count, err := n.Reader.Read(buffer)
	if err == io.EOF && n.notify != nil {
		n.notify()
		n.notify = nil
	}
	return count, err
}
