package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/roster"
)

// upstreamRequest is a request as it goes over one connection.
type upstreamRequest struct {
	id, to               string
	method, target, host string
	header               http.Header
	body                 []byte
	rest                 io.Reader
	length               int64
	until                time.Time
	urgency
	callerGone func() bool // looks at the connection that it came over, nil where there is none to look at
}

// upstreamResponse is what comes back of it. kind Unready says that it never left, Broke that it may have run.
type upstreamResponse struct {
	kind   apierror.Kind
	err    error
	wrote  bool
	answer *http.Response
	line   *connection
	lines  *connectionPool
	long   time.Duration
	stop   func() bool // no end of the request's reaches the line any more; false if one has
	after  func()      // once, when it is over
	over   bool
}

// done gives the connection back, whole if its answer has been read to the end.
func (c *upstreamResponse) done(whole bool) {
	if c.over {
		return
	}
	c.over = true
	if c.line != nil {
		if quiet := c.stop(); whole && quiet {
			c.line.SetDeadline(time.Time{})
			c.lines.put(c.line, c.answer, c.long)
		} else {
			c.line.Close()
		}
	}
	if c.after != nil {
		c.after()
	}
}

// finish reads the rest of an answer that is no use, to keep its connection.
func (c *upstreamResponse) finish() {
	_, err := io.CopyN(io.Discard, c.answer.Body, piece)
	c.done(err == io.EOF)
}

// send carries a request over a connection of a pool, a kept one if there is one that may carry it.
func (p *Proxy) send(ctx context.Context, s *upstreamRequest, pool *connectionPool, at roster.Place) *upstreamResponse {
	if err := sendable(ctx, s); err != nil {
		return &upstreamResponse{kind: apierror.Unready, err: err}
	}
	to := destination{host: at.Host, address: at.Address, kept: at.Kept}
	for c := pool.take(to, s.id); c != nil; c = nil {
		back := p.sendOver(ctx, s, pool, c)
		if back.kind != apierror.Unready || back.wrote || ctx.Err() != nil || heldBack(back.err) {
			return back
		} // it had ended before any of the request went out
	}
	c, err := pool.dial(ctx, to)
	if err != nil {
		return &upstreamResponse{kind: apierror.Unready, err: err}
	}
	return p.sendOver(ctx, s, pool, c)
}

var (
	errOutOfTime  = errors.New("the request's time is up")
	errCallerGone = errors.New("whoever sent the request has gone")
)

// heldBack reports whether an error says that a request was not let out, which tells nothing of whoever it was meant for.
func heldBack(err error) bool { return errors.Is(err, errOutOfTime) || errors.Is(err, errCallerGone) }

// sendable says why a request may not leave any more. Invariant: a process that stood still may come here after the time at which
// whoever sent the request has given it up.
func sendable(ctx context.Context, s *upstreamRequest) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !time.Now().Before(s.until) {
		return errOutOfTime
	}
	if s.callerGone != nil && s.callerGone() {
		return errCallerGone
	}
	return nil
}

// sendOver carries a request over one connection.
func (p *Proxy) sendOver(ctx context.Context, s *upstreamRequest, pool *connectionPool, c *connection) *upstreamResponse {
	if err := sendable(ctx, s); err != nil {
		c.Close()
		return &upstreamResponse{kind: apierror.Unready, err: err}
	}
	var b bytes.Buffer
	s.header[timeLeft] = []string{strconv.FormatInt(max(1, time.Until(s.until).Milliseconds()), 10)}
	head(&b, s.method, s.target, s.host, s.header, s.length)
	b.Write(s.body)
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(longAgo) })
	answer, wrote, err := c.exchange(&http.Request{Method: s.method}, b.Bytes(), s.rest, s.id)
	if err != nil {
		stop()
		c.abandon()
		kind := apierror.Broke
		if !wrote {
			kind = apierror.Unready
		}
		return &upstreamResponse{kind: kind, err: err, wrote: wrote}
	}
	if pool == p.upstreamConnections || pool == p.partnerConnections {
		delete(answer.Header, meshHeader) // balancers alone say this
	}
	return &upstreamResponse{answer: answer, wrote: true, line: c, lines: pool, long: keptLong, stop: stop}
}

// sendToLocalUpstream hands a request to the upstream on this machine, if it is the one that is meant and has room.
func (p *Proxy) sendToLocalUpstream(ctx context.Context, s *upstreamRequest) *upstreamResponse {
	address, kind := p.local.admit(ctx, s, time.Now())
	if kind != apierror.None {
		p.counts.Add("turned_" + kind.String())
		return &upstreamResponse{kind: kind}
	}
	began := time.Now()
	back := p.send(ctx, s, p.upstreamConnections, roster.Place{Host: s.to, Address: address})
	if failed, known := verdict(ctx, s, back, time.Since(began)); known {
		p.local.observe(s.to, failed, time.Now())
	}
	if back.kind == apierror.Unready {
		switch {
		case errors.Is(back.err, syscall.ECONNREFUSED):
			p.local.refused(s.to)
		case ctx.Err() == nil && errors.Is(back.err, os.ErrDeadlineExceeded):
			p.local.silent(s.to)
		}
		p.local.leave(s.to)
		if ctx.Err() == nil {
			back.kind = apierror.NoRoom // it never reached the upstream
		}
		return back
	}
	if back.kind != apierror.None {
		p.local.leave(s.to)
		return back
	}
	back.long = keptShort
	p.local.leave(s.to) // its work is done: what is left is bytes
	return back
}

// verdict is what one request says of the upstream beside: one that failed, or took twice the time within which it would have
// been of full worth. What its caller called off before tells nothing.
func verdict(ctx context.Context, s *upstreamRequest, back *upstreamResponse, took time.Duration) (failed, known bool) {
	slow := s.aim > 0 && took > 2*s.aim
	switch {
	case heldBack(back.err):
		return false, false
	case back.kind == apierror.Unready:
		return true, ctx.Err() == nil
	case back.kind != apierror.None:
		return true, slow || !errors.Is(context.Cause(ctx), context.Canceled)
	case back.answer.StatusCode == http.StatusMisdirectedRequest:
		return false, false
	}
	return slow || back.answer.StatusCode >= 500, true
}
