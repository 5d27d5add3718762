package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/mesh/apierror"
	"ottershift/internal/roster"
	"ottershift/logic"
)

// push carries one order of the module out.
func (f *Proxy) push(q *request, c *desk.Case, o *desk.Push) {
	result, flowed := logic.Unsent, false
	defer func() {
		if fault := recover(); fault != nil {
			f.log.Error("panic", "where", "push", "fault", fault, "stack", string(debug.Stack()))
			result = logic.Broken
		}
		if !flowed {
			q.pool.desk.Outcome(c, o, result)
		}
	}()
	paid := func() bool {
		if q.pool.more(f.now(), int(f.membersNow.Load())) {
			return true
		}
		f.counts.Add("budget_spent")
		return false
	}
	partner, _, through := strings.Cut(o.Name, gateMark)
	if through = through && q.pool.partners != nil; through && !f.allowed(q, partner) {
		f.counts.Add("kept_back")
		return
	}
	if !q.begin(paid) {
		return
	}
	early, failed := false, (*reply)(nil)
	result, flowed, early, failed = f.carry(q, c, o)
	q.ended(result, early, failed)
	if result != logic.Settled {
		f.counts.Add("push_" + result.String())
	}
}

// carry sends a request to the balancer beside an upstream, or to the upstream if it is here, and takes what comes back;
// early says that it never came to the upstream.
func (f *Proxy) carry(q *request, c *desk.Case, o *desk.Push) (result logic.Result, flowed, early bool, failed *reply) {
	header := make(http.Header, len(q.header)+2)
	for name, values := range q.header {
		header[name] = values
	}
	partner, _, through := strings.Cut(o.Name, gateMark)
	if through = through && q.pool.partners != nil; through {
		header[meshGatewayHeader] = []string{partner}
	} else {
		header[addressee] = []string{o.Name}
	}
	if o.Place.Address != f.settings.Inbound {
		header[meshAimHeader] = []string{strconv.FormatInt(q.aim.Milliseconds(), 10)}
		if q.long {
			header[meshLongHeader] = []string{"1"}
		}
	}
	s := &upstreamRequest{id: q.id, to: o.Name, method: q.method, target: q.target, host: q.host, header: header, body: q.body,
		rest: q.rest, length: q.length, until: o.Until, aim: q.aim}
	if q.rest != nil { // its time begins with its last byte
		s.until = time.Now().Add(time.Until(q.stop) + time.Minute)
		s.rest = &lastByte{q.rest, func() { q.pool.desk.Whole(c, time.Until(q.stop)) }}
	}
	var back *upstreamResponse
	if through && o.Place.Address == f.settings.Inbound {
		delete(header, meshGatewayHeader)
		back = f.sendToPartner(o.Context, s, partner)
	} else if o.Place.Address == f.settings.Inbound {
		back = f.sendToLocalUpstream(o.Context, s)
	} else {
		back = f.send(o.Context, s, q.pool.peers, o.Place)
	}
	defer func() {
		if !flowed {
			back.done(false)
		}
	}()
	switch {
	case back.kind == apierror.NoRoom || back.kind == apierror.NotHere:
		return logic.TurnedAway, false, true, nil
	case back.kind != apierror.None:
		result = f.broken(o.Context, back)
		return result, false, result.NeverRan(), nil
	}
	answer := back.answer
	h := answer.Header
	good := answer.StatusCode < http.StatusMultipleChoices
	switch said := h.Get(meshHeader); {
	case said == meshTurned, provesNotRun(answer):
		back.finish()
		return logic.TurnedAway, false, said == meshTurned, nil
	case said == meshBroke:
		back.finish()
		return logic.Broken, false, false, nil
	case good && h[notDelivered] != nil: // it contradicts itself
		f.counts.Add("answers_contradictory")
		return logic.Broken, false, false, nil
	case !through && apierror.Promises(answer.StatusCode): // a partner's own promises are as good as ours
		f.counts.Add("promises_unproven")
		back.finish()
		return logic.Errored, false, false, nil
	}
	if good && h[postmark] == nil && !through {
		f.counts.Add("answers_unstamped")
		return logic.Broken, false, false, nil
	}
	into := &reply{status: answer.StatusCode, header: onward(h), length: answer.ContentLength, early: back.line.early}
	body, err := io.ReadAll(io.LimitReader(answer.Body, heldAnswer+1))
	into.body = body
	if err != nil {
		return f.broken(o.Context, &upstreamResponse{kind: apierror.Broke, err: err}), false, false, nil
	}
	if len(body) <= heldAnswer {
		if q.method != http.MethodHead {
			into.length = int64(len(body))
		}
		back.done(true)
		q.keep(o.Number, into)
		switch {
		case good:
			return logic.Settled, false, false, nil
		case answer.StatusCode < 500:
			return logic.Rejected, false, false, nil
		}
		return logic.Errored, false, false, into
	}
	if !good {
		return logic.Errored, false, false, nil
	}
	into.flow, into.ended = answer.Body, make(chan bool, 1)
	q.keep(o.Number, into)
	if !q.pool.desk.Flow(c, o) {
		return logic.Cancelled, false, false, nil
	}
	back.line.SetReadDeadline(q.stop.Add(time.Second)) // its client waits no longer
	whole := <-into.ended
	back.done(whole)
	q.pool.desk.Flowed(c, o, whole)
	return logic.Settled, true, false, nil
}

// broken names the outcome of a push without a whole answer.
func (f *Proxy) broken(ctx context.Context, b *upstreamResponse) logic.Result {
	cause := context.Cause(ctx)
	switch {
	case !b.wrote && b.kind == apierror.Unready && (ctx.Err() != nil || heldBack(b.err)):
		return logic.Unsent // it was called off, or out of time, before it left
	case !b.wrote && b.kind == apierror.Unready:
		return logic.Unreachable
	case errors.Is(cause, context.Canceled):
		return logic.Cancelled
	case errors.Is(cause, context.DeadlineExceeded):
		return logic.TimedOut
	}
	f.counts.Add("push_cut")
	return logic.Broken
}

// lastByte tells when a body has been read to its end.
type lastByte struct {
	io.Reader
	tell func()
}

func (l *lastByte) Read(b []byte) (int, error) {
	n, err := l.Reader.Read(b)
	if err == io.EOF && l.tell != nil {
		l.tell()
		l.tell = nil
	}
	return n, err
}

// upstreamRequest is a request as it goes over one connection.
type upstreamRequest struct {
	id, to               string
	method, target, host string
	header               http.Header
	body                 []byte
	rest                 io.Reader
	length               int64
	until                time.Time
	aim                  time.Duration // within which its answer is of full worth
	callerGone           func() bool   // looks at the connection that it came over, nil where there is none to look at
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
func (f *Proxy) send(ctx context.Context, s *upstreamRequest, pool *connectionPool, at roster.Place) *upstreamResponse {
	if err := sendable(ctx, s); err != nil {
		return &upstreamResponse{kind: apierror.Unready, err: err}
	}
	to := destination{host: at.Host, address: at.Address, kept: at.Kept}
	for c := pool.take(to, s.id); c != nil; c = nil {
		back := f.sendOver(ctx, s, pool, c)
		if back.kind != apierror.Unready || back.wrote || ctx.Err() != nil || heldBack(back.err) {
			return back
		} // it had ended before any of the request went out
	}
	c, err := pool.dial(ctx, to)
	if err != nil {
		return &upstreamResponse{kind: apierror.Unready, err: err}
	}
	return f.sendOver(ctx, s, pool, c)
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
func (f *Proxy) sendOver(ctx context.Context, s *upstreamRequest, pool *connectionPool, c *connection) *upstreamResponse {
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
	if pool == f.upstreamConnections || pool == f.partnerConnections {
		delete(answer.Header, meshHeader) // balancers alone say this
	}
	return &upstreamResponse{answer: answer, wrote: true, line: c, lines: pool, long: keptLong, stop: stop}
}

// sendToLocalUpstream hands a request to the upstream on this machine, if it is the one that is meant and has room.
func (f *Proxy) sendToLocalUpstream(ctx context.Context, s *upstreamRequest) *upstreamResponse {
	address, kind := f.local.admit(ctx, s, time.Now())
	if kind != apierror.None {
		f.counts.Add("turned_" + kind.String())
		return &upstreamResponse{kind: kind}
	}
	began := time.Now()
	back := f.send(ctx, s, f.upstreamConnections, roster.Place{Host: s.to, Address: address})
	if failed, known := verdict(ctx, s, back, time.Since(began)); known {
		f.local.observe(s.to, failed, time.Now())
	}
	if back.kind == apierror.Unready {
		switch {
		case errors.Is(back.err, syscall.ECONNREFUSED):
			f.local.refused(s.to)
		case ctx.Err() == nil && errors.Is(back.err, os.ErrDeadlineExceeded):
			f.local.silent(s.to)
		}
		f.local.leave(s.to)
		if ctx.Err() == nil {
			back.kind = apierror.NoRoom // it never reached the upstream
		}
		return back
	}
	if back.kind != apierror.None {
		f.local.leave(s.to)
		return back
	}
	back.long = keptShort
	f.local.leave(s.to) // its work is done: what is left is bytes
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
