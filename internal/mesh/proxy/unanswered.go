package proxy

import (
	"net/http"
	"runtime/debug"
)

// A request that has been read whole gets an answer, or one of these counters and, where it is this process that ended it, a line.
const (
	countClientGone = "clients_left"           // its client closed the connection
	countClosedHere = "unanswered_closed_here" // this process closed the connection under it
	countPanic      = "unanswered_panic"       // its handler failed
)

// noteUnanswered has the failure of a handler seen: the server ends the connection and tells nobody.
func (f *Proxy) noteUnanswered(serve http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			fault := recover()
			if fault == nil {
				return
			}
			if fault != http.ErrAbortHandler {
				f.counts.Add(countPanic)
				f.log.Error("unanswered", "why", "panic", "attempt", r.Header.Get(attemptID), "fault", fault, "stack", string(debug.Stack()))
			}
			panic(http.ErrAbortHandler)
		}()
		serve(w, r)
	})
}

// noteClientGone notes a request whose connection has ended before its answer.
func (f *Proxy) noteClientGone(r *http.Request) {
	if !f.clients.closedHere(r) {
		f.counts.Add(countClientGone)
		return
	}
	f.counts.Add(countClosedHere)
	f.log.Warn("unanswered", "why", "closed here", "attempt", r.Header.Get(attemptID))
}
