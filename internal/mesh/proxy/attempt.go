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

// attemptOutcome is how a push ended.
type attemptOutcome struct {
	result         logic.Result
	streamed       bool                // its answer has gone on to the client piece by piece: the module has been told
	notReceived    bool                // it never came to the upstream
	failedResponse *downstreamResponse // what the upstream itself answered a request that it failed, nil for nothing
}

// runAttempt carries one order of the module out.
func (p *Proxy) runAttempt(request *downstreamRequest, call *desk.Case, attempt *desk.Push) {
	outcome := attemptOutcome{result: logic.Unsent}
	defer func() {
		if fault := recover(); fault != nil {
			p.log.Error("panic", "where", "push", "fault", fault, "stack", string(debug.Stack()))
			outcome.result = logic.Broken
		}
		if !outcome.streamed {
			request.servicePool.desk.Outcome(call, attempt, outcome.result)
		}
	}()
	takeRetry := func() bool {
		if request.servicePool.allowRetry(p.now(), int(p.lastMembers.Load()), request.rank) {
			return true
		}
		p.counters.Add("budget_spent")
		return false
	}
	if partner, isPartner := request.servicePool.partnerOf(attempt); isPartner && !p.partnerAllows(request, partner) {
		p.counters.Add("kept_back")
		return
	}
	if !request.beginAttempt(takeRetry) {
		return
	}
	outcome = p.sendAttempt(request, call, attempt)
	request.endAttempt(outcome.result, outcome.notReceived, outcome.failedResponse)
	if outcome.result != logic.Settled {
		p.counters.Add("push_" + outcome.result.String())
	}
}

// partnerOf is the partner that a push is meant for, if it is for one.
func (p *servicePool) partnerOf(attempt *desk.Push) (partner string, isPartner bool) {
	partner, _, isPartner = strings.Cut(attempt.Name, gatewaySeparator)
	return partner, isPartner && p.partners != nil
}

// sendAttempt sends a request to the balancer beside an upstream, or to the upstream if it is here, and takes what comes back.
func (p *Proxy) sendAttempt(request *downstreamRequest, call *desk.Case, attempt *desk.Push) (outcome attemptOutcome) {
	response := p.dispatch(request, call, attempt)
	defer func() {
		if !outcome.streamed {
			response.release(false)
		}
	}()
	switch {
	case response.kind == apierror.NoRoom || response.kind == apierror.NotHere:
		return attemptOutcome{result: logic.TurnedAway, notReceived: true}
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

// dispatch sends a request on its way: through a partner's gateway, to the upstream here, or to the balancer beside another one.
func (p *Proxy) dispatch(request *downstreamRequest, call *desk.Case, attempt *desk.Push) *upstreamResponse {
	outgoing := p.newUpstreamRequest(request, call, attempt)
	partner, isPartner := request.servicePool.partnerOf(attempt)
	if attempt.Place.Address != p.settings.Inbound {
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

// newUpstreamRequest is a request as it goes out by an order.
func (p *Proxy) newUpstreamRequest(request *downstreamRequest, call *desk.Case, attempt *desk.Push) *upstreamRequest {
	outgoing := &upstreamRequest{
		requestID: request.requestID, upstreamID: attempt.Name, method: request.method, target: request.target, host: request.host, header: make(http.Header, len(request.header)+3),
		body: request.body, bodyRest: request.bodyRest, length: request.length, deadline: attempt.Until, requestPriority: requestPriority{request.latencyTarget, request.rank, attempt.Number > 0},
	}
	for name, values := range request.header {
		outgoing.header[name] = values
	}
	if _, isPartner := request.servicePool.partnerOf(attempt); !isPartner {
		outgoing.header[upstreamIDHeader] = []string{attempt.Name}
	}
	if request.bodyRest != nil { // the module's time begins with its last byte, its client's does not
		outgoing.deadline = request.clientDeadline
		outgoing.bodyRest = &eofNotifier{request.bodyRest, func() { request.servicePool.desk.Whole(call, time.Until(request.clientDeadline)) }}
	}
	return outgoing
}

// classifyRefusal tells what an answer's head says of a request that it does not serve. Invariant: a status by which its client would take
// the request for not run goes on to the client only from here, as our own word, and only with the upstream's proof; a partner's
// promises are as good as ours.
func (p *Proxy) classifyRefusal(response *upstreamResponse, isPartner bool) (outcome attemptOutcome, isRefusal bool) {
	httpResponse := response.httpResponse
	success := httpResponse.StatusCode < http.StatusMultipleChoices
	switch status := httpResponse.Header.Get(meshHeader); {
	case status == meshNotExecuted, provesNotExecuted(httpResponse):
		response.discard()
		return attemptOutcome{result: logic.TurnedAway, notReceived: status == meshNotExecuted}, true
	case status == meshMayHaveRun:
		response.discard()
		return attemptOutcome{result: logic.Broken}, true
	case success && httpResponse.Header[notExecutedHeader] != nil:
		p.counters.Add("answers_contradictory")
		return attemptOutcome{result: logic.Broken}, true
	case isPartner:
		return attemptOutcome{}, false
	case apierror.Promises(httpResponse.StatusCode):
		p.counters.Add("promises_unproven")
		response.discard()
		return attemptOutcome{result: logic.Errored}, true
	case success && httpResponse.Header[upstreamStampHeader] == nil:
		p.counters.Add("answers_unstamped")
		return attemptOutcome{result: logic.Broken}, true
	}
	return attemptOutcome{}, false
}

// readUpstreamResponse reads an answer that goes on to the client: whole if it is short, as it flows if it is long and good.
func (p *Proxy) readUpstreamResponse(request *downstreamRequest, call *desk.Case, attempt *desk.Push, response *upstreamResponse) attemptOutcome {
	httpResponse := response.httpResponse
	success := httpResponse.StatusCode < http.StatusMultipleChoices
	relayed := &downstreamResponse{status: httpResponse.StatusCode, header: endToEndHeaders(httpResponse.Header), length: httpResponse.ContentLength, earlyResponse: response.conn.earlyResponse}
	body, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxBufferedResponse+1))
	relayed.body = body
	switch {
	case err != nil:
		return attemptOutcome{result: p.classifyFailure(attempt.Context, &upstreamResponse{kind: apierror.Broke, err: err})}
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

// streamResponse hands an answer to the client as it comes.
func (p *Proxy) streamResponse(request *downstreamRequest, call *desk.Case, attempt *desk.Push, response *upstreamResponse, relayed *downstreamResponse) attemptOutcome {
	relayed.remaining, relayed.written = response.httpResponse.Body, make(chan bool, 1)
	request.storeResponse(attempt.Number, relayed)
	if !request.servicePool.desk.Flow(call, attempt) {
		return attemptOutcome{result: logic.Cancelled}
	}
	response.conn.SetReadDeadline(request.clientDeadline.Add(time.Second)) // its client waits no longer
	complete := <-relayed.written
	response.release(complete)
	request.servicePool.desk.Flowed(call, attempt, complete)
	return attemptOutcome{result: logic.Settled, streamed: true}
}

// classifyFailure names the outcome of a push without a whole answer.
func (p *Proxy) classifyFailure(ctx context.Context, response *upstreamResponse) logic.Result {
	cause := context.Cause(ctx)
	switch {
	case !response.wrote && response.kind == apierror.Unready && (ctx.Err() != nil || notSent(response.err)):
		return logic.Unsent // it was called off, or out of time, before it left
	case !response.wrote && response.kind == apierror.Unready:
		return logic.Unreachable
	case errors.Is(cause, context.Canceled):
		return logic.Cancelled
	case errors.Is(cause, context.DeadlineExceeded):
		return logic.TimedOut
	}
	p.counters.Add("push_cut")
	return logic.Broken
}

// eofNotifier tells when a body has been read to its end.
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
