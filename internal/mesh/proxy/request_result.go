package proxy

import (
	"net/http"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/mesh/apierror"
	"ottershift/logic"
)

// runRequest carries out the attempts that the load balancer orders for a request, until the client has its response.
func (p *Proxy) runRequest(w http.ResponseWriter, r *http.Request, request *downstreamRequest, call *desk.Handle) {
	defer func() {
		for { // report attempts that were ordered but not started
			select {
			case attempt := <-call.Attempts:
				request.servicePool.desk.Outcome(call, attempt, logic.Unsent)
			default:
				return
			}
		}
	}()
	for {
		select {
		case attempt := <-call.Attempts:
			go p.runAttempt(request, call, attempt)
		case result := <-call.Answer:
			p.writeResult(w, r, request, result)
			return
		case <-r.Context().Done():
			p.handleClientGone(w, r, request, call)
			return
		case <-p.shutdownContext.Done():
			p.answerAtShutdown(w, r, request, call)
			return
		}
	}
}

// handleClientGone ends a request whose client has closed its sending side. The client may still read: a half-closed
// connection can't be told from a closed one before something is written, so an error response is written.
func (p *Proxy) handleClientGone(w http.ResponseWriter, r *http.Request, request *downstreamRequest, call *desk.Handle) {
	mayHaveRun, _, _ := request.close()
	request.servicePool.desk.ClientGone(call)
	p.recordClientGone(r)
	select { // a streamed response has no reader any more
	case result := <-call.Answer:
		request.discardResponse(result.Attempt)
	default:
	}
	kind := apierror.IncompleteResponse
	if mayHaveRun == 0 {
		kind = apierror.NoCapacity
	}
	p.writeError(w, r, kind, 0)
}

// answerAtShutdown answers an open request according to its state when the process ends. After close no further attempt
// starts, and after ClientGone no new result arrives, so the state is final.
func (p *Proxy) answerAtShutdown(w http.ResponseWriter, r *http.Request, request *downstreamRequest, call *desk.Handle) {
	mayHaveRun, inFlight, failedResponse := request.close()
	request.servicePool.desk.ClientGone(call)
	select {
	case result := <-call.Answer:
		p.writeResult(w, r, request, result)
		return
	default:
	}
	p.log.Warn("answered at the end", "attempt", request.requestID, "ran", mayHaveRun, "out", inFlight)
	switch {
	case failedResponse != nil:
		p.writeResponse(w, failedResponse)
	case mayHaveRun == 0:
		p.refuse(w, r, apierror.NoCapacity, 0)
	default:
		p.refuse(w, r, apierror.ShuttingDown, 0)
	}
}

// writeResult writes the final response of a request.
func (p *Proxy) writeResult(w http.ResponseWriter, r *http.Request, request *downstreamRequest, result desk.Answer) {
	mayHaveRun, inFlight, failedResponse := request.close()
	if result.Ending == desk.Settled || result.Ending == desk.Rejected {
		request.mu.Lock()
		response := request.responses[result.Attempt]
		request.mu.Unlock()
		p.writeResponse(w, response)
		if request.creditClaim != nil && response.status < 300 {
			request.mu.Lock()
			request.delivered = true
			request.mu.Unlock()
		}
		return
	}
	switch {
	case failedResponse != nil: // an upstream's own error response is passed on unchanged
		p.writeResponse(w, failedResponse)
	case mayHaveRun == 0:
		p.refuse(w, r, apierror.NoCapacity, result.Backoff)
	case inFlight > 0 || time.Until(request.clientDeadline) <= 0:
		p.refuse(w, r, apierror.DeadlineExceeded, 0)
	default:
		p.refuse(w, r, apierror.IncompleteResponse, 0)
	}
}
