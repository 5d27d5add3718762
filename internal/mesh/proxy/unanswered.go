package proxy

import (
	"net/http"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/httpserver"
)

// A request that has been read whole gets an answer, or one of these counters and, where it is this process that ended it, a line.
const (
	counterClientGone = "clients_left"           // its client closed the connection
	counterClosedHere = "unanswered_closed_here" // this process ended the connection under it

	counterSourceBroke = "answers_cut_source_broke" // the upstream, or the balancer beside it, broke off a long answer
	counterReaderGone  = "answers_cut_reader_gone"  // whoever it was meant for takes no more of it
)

// recordClientGone notes a request whose connection has ended before its answer.
func (p *Proxy) recordClientGone(r *http.Request) {
	if c := httpserver.ConnectionOf(r); c == nil || !c.CutHere() {
		p.counters.Add(counterClientGone)
		return
	}
	p.counters.Add(counterClosedHere)
	p.log.Warn("unanswered", "why", "closed here", "attempt", r.Header.Get(requestIDHeader))
}

// handleOutboundPanic answers a client whose request has met a fault of this process. It may have run.
func (p *Proxy) handleOutboundPanic(w http.ResponseWriter, r *http.Request) {
	p.refuse(w, r, apierror.Broke, 0)
}

// handleInboundPanic is the same toward another balancer.
func (p *Proxy) handleInboundPanic(w http.ResponseWriter, r *http.Request) {
	w.Header()[meshHeader] = []string{meshMayHaveRun}
	p.refuse(w, r, apierror.Broke, 0)
}
