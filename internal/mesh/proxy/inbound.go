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

// serveInbound is the second hop: a request from another balancer, for the upstream on this machine.
func (p *Proxy) serveInbound(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(meshHeader) == meshWell {
		if up, _, _ := p.local.snapshot(); up != nil && !up.Draining && up.ID == r.Header.Get(addressee) {
			w.WriteHeader(http.StatusOK)
		} else {
			apierror.Write(w, apierror.NotHere, 0, "")
		}
		return
	}
	p.open.Add(1)
	defer p.open.Add(-1)
	p.inbounds.Add(1)
	if p.closed.Load() {
		p.turnAway(w, r, apierror.NotHere)
		return
	}
	s, kind := p.readInbound(r)
	if kind != apierror.None {
		p.turnAway(w, r, kind)
		return
	}
	if r.Header[meshLongHeader] != nil {
		if p.leaving.Load() { // its answer may flow for longer than this process has; another balancer takes it
			p.counts.Add("turned_leaving")
			p.turnAway(w, r, apierror.NotHere)
			return
		}
		if !p.pace.admit(s.urgency) {
			p.counts.Add("turned_line_full")
			p.turnAway(w, r, apierror.NoRoom)
			return
		}
		defer p.pace.leave(s.rank)
	}
	ctx, end := context.WithDeadline(r.Context(), s.until.Add(lateBy))
	defer end()
	defer context.AfterFunc(p.ending, end)() // what waits for a slot is turned away with the proof that it has not run
	var back *upstreamResponse
	if partner := r.Header.Get(meshGatewayHeader); partner != "" {
		back = p.sendToPartner(ctx, s, partner)
	} else {
		back = p.sendToLocalUpstream(ctx, s)
	}
	switch back.kind {
	case apierror.None:
		p.passBack(w, r, s, back)
	case apierror.NoRoom, apierror.NotHere, apierror.Unready:
		p.turnAway(w, r, back.kind)
	default:
		p.breakOff(w, r, back.err)
	}
}

// readInbound reads a request of another balancer: for whom it is, how urgent, until when, and its body as far as it is held.
func (p *Proxy) readInbound(r *http.Request) (*upstreamRequest, apierror.Kind) {
	header := onward(r.Header)
	for _, name := range []string{meshGatewayHeader, meshAimHeader, meshLongHeader} {
		delete(header, name)
	}
	left, err := strconv.ParseFloat(r.Header.Get(timeLeft), 64)
	if err != nil {
		return nil, apierror.Malformed
	}
	s := &upstreamRequest{
		id: r.Header.Get(attemptID), to: r.Header.Get(addressee), method: r.Method, target: r.RequestURI, host: r.Host, header: header,
		urgency: p.urgencyOf(r), length: max(r.ContentLength, 0), until: time.Now().Add(time.Duration(left * float64(time.Millisecond))),
		callerGone: callerGone(r),
	}
	if r.ContentLength > 0 {
		if s.body, err = io.ReadAll(io.LimitReader(r.Body, heldBody)); err != nil {
			return nil, apierror.Malformed
		}
		if int64(len(s.body)) < r.ContentLength {
			s.rest = r.Body
		}
	}
	return s, apierror.None
}

// passBack passes an upstream's answer back to the balancer that asked.
func (p *Proxy) passBack(w http.ResponseWriter, r *http.Request, s *upstreamRequest, back *upstreamResponse) {
	defer back.done(false)
	into := &reply{status: back.answer.StatusCode, header: onward(back.answer.Header), length: back.answer.ContentLength,
		flow: back.answer.Body, early: back.line.early, ended: make(chan bool, 1), pace: p.pace, rank: s.rank, context: r.Context()}
	if err := into.measure(); err != nil {
		p.breakOff(w, r, err)
		return
	}
	if s.id != "" {
		into.header[attemptID] = []string{s.id} // the answer is proven to be that attempt's
	}
	p.write(w, into)
	back.done(true)
}

// breakOff says that a request may have run, and that nothing of use came of it.
func (p *Proxy) breakOff(w http.ResponseWriter, r *http.Request, err error) {
	p.counts.Add("app_" + cut(err))
	w.Header()[meshHeader] = []string{meshBroke}
	p.refuse(w, r, apierror.Broke, 0)
}

// callerGone looks whether the other balancer has closed the connection of a request. Invariant: a process that stood still reads
// what came meanwhile as if it came now, and its time begins anew; the request's context ends only some time after the handler has
// begun, too late for one that is handed on at once.
func callerGone(r *http.Request) func() bool {
	if c := httpserver.ConnectionOf(r); c != nil {
		return c.Gone
	}
	return nil
}

// cut names what ended an exchange with the upstream, for the counts.
func cut(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return "late"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed"
	case errors.Is(err, errForeignAnswers):
		return "strays"
	}
	return "garbled"
}

// turnAway refuses a request with the proof that it has not run and never will.
func (p *Proxy) turnAway(w http.ResponseWriter, r *http.Request, kind apierror.Kind) {
	w.Header()[meshHeader] = []string{meshTurned}
	w.Header()[notDelivered] = []string{"1"}
	p.refuse(w, r, kind, 0)
}

// probeUpstream asks the balancer beside an upstream whether that is well.
func (p *Proxy) probeUpstream(ctx context.Context, service *pool, at roster.Place) bool {
	name := ""
	p.mu.Lock()
	for _, n := range p.nodes {
		if n.Inbound == at.Address && n.Upstream != nil {
			name = n.Upstream.ID
		}
	}
	p.mu.Unlock()
	s := &upstreamRequest{method: http.MethodGet, target: "/", host: "hive", until: time.Now().Add(asideMost),
		header: http.Header{meshHeader: {meshWell}, addressee: {name}}}
	if at.Address == p.settings.Inbound {
		up, _, _ := p.local.snapshot()
		return up != nil && up.ID == name
	}
	back := p.send(ctx, s, service.peers, at)
	if back.kind != apierror.None {
		return false
	}
	defer back.done(false)
	back.finish()
	return back.answer.StatusCode == http.StatusOK
}

const meshWell = "well"

const lateBy = 30 * time.Millisecond // beyond its time that an upstream's own word for it is waited for
