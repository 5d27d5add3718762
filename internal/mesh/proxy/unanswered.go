package proxy

import (
	"net/http"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/httpserver"
)

// A request that has been read whole gets an answer, or one of these counters and, where it is this process that ended it, a line.
const (
	countClientGone = "clients_left"           // its client closed the connection
	countClosedHere = "unanswered_closed_here" // this process ended the connection under it

	countSourceBroke = "answers_cut_source_broke" // the upstream, or the balancer beside it, broke off a long answer
	countReaderGone  = "answers_cut_reader_gone"  // whoever it was meant for takes no more of it
)

// noteClientGone notes a request whose connection has ended before its answer.
func (p *Proxy) noteClientGone(r *http.Request) {
	if c := httpserver.ConnectionOf(r); c == nil || !c.CutHere() {
		p.counts.Add(countClientGone)
		return
	}
	p.counts.Add(countClosedHere)
	p.log.Warn("unanswered", "why", "closed here", "attempt", r.Header.Get(attemptID))
}

// handlerFailed answers a client whose request has met a fault of this process. It may have run.
func (p *Proxy) handlerFailed(w http.ResponseWriter, r *http.Request) {
	p.refuse(w, r, apierror.Broke, 0)
}

// inboundHandlerFailed is the same toward another balancer.
func (p *Proxy) inboundHandlerFailed(w http.ResponseWriter, r *http.Request) {
	w.Header()[meshHeader] = []string{meshBroke}
	p.refuse(w, r, apierror.Broke, 0)
}
