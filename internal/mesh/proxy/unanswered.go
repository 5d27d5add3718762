package proxy

import (
	"net/http"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/httpserver"
)

// Counters of requests that were read completely and got no complete response. If this process ended the connection, it
// also writes a log line.
const (
	counterClientGone = "clients_left"           // the client closed the connection
	counterClosedHere = "unanswered_closed_here" // this process closed the connection

	counterSourceBroke = "answers_cut_source_broke" // the upstream, or the proxy beside it, truncated a long response
	counterReaderGone  = "answers_cut_reader_gone"  // the receiver closed its connection
)

// recordClientGone counts a request whose connection ended before its response.
func (p *Proxy) recordClientGone(r *http.Request) {
	if c := httpserver.ConnectionOf(r); c == nil || !c.AbortedLocally() {
		p.counters.Increment(counterClientGone)
		return
	}
	p.counters.Increment(counterClosedHere)
	p.log.Warn("unanswered", "why", "closed here", "attempt", r.Header.Get(requestIDHeader))
}

// handleOutboundPanic responds to a client whose request made the handler panic. The request may have run.
func (p *Proxy) handleOutboundPanic(w http.ResponseWriter, r *http.Request) {
	p.refuse(w, r, apierror.IncompleteResponse, 0)
}

// handleInboundPanic does the same for a request from another proxy.
func (p *Proxy) handleInboundPanic(w http.ResponseWriter, r *http.Request) {
	w.Header()[meshHeader] = []string{meshMayHaveRun}
	p.refuse(w, r, apierror.IncompleteResponse, 0)
}
