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
	requestID, upstreamID string
	method, target, host  string
	header                http.Header
	body                  []byte
	bodyRest              io.Reader
	length                int64
	deadline              time.Time
	requestPriority
	callerGone func() bool // looks at the connection that it came over, nil where there is none to look at
}

// upstreamResponse is what comes back of it. kind Unready says that it never left, Broke that it may have run.
type upstreamResponse struct {
	kind         apierror.Kind
	err          error
	wrote        bool
	httpResponse *http.Response
	conn         *connection
	owner        *connectionPool
	maxIdle      time.Duration
	detach       func() bool // no end of the request's reaches the line any more; false if one has
	onDone       func()      // once, when it is over
	released     bool
}

// release gives the connection back, whole if its answer has been read to the end.
func (r *upstreamResponse) release(reusable bool) {
	if r.released {
		return
	}
	r.released = true
	if r.conn != nil {
		if detached := r.detach(); reusable && detached {
			r.conn.SetDeadline(time.Time{})
			r.owner.put(r.conn, r.httpResponse, r.maxIdle)
		} else {
			r.conn.Close()
		}
	}
	if r.onDone != nil {
		r.onDone()
	}
}

// discard reads the rest of an answer that is no use, to keep its connection.
func (r *upstreamResponse) discard() {
	_, err := io.CopyN(io.Discard, r.httpResponse.Body, bufferSize)
	r.release(err == io.EOF)
}

// send carries a request over a connection of a pool, a kept one if there is one that may carry it.
func (p *Proxy) send(ctx context.Context, request *upstreamRequest, pool *connectionPool, at roster.Place) *upstreamResponse {
	if err := checkSendable(ctx, request); err != nil {
		return &upstreamResponse{kind: apierror.Unready, err: err}
	}
	to := destination{host: at.Host, address: at.Address, idleCount: at.Kept}
	for c := pool.get(to, request.requestID); c != nil; c = nil {
		response := p.sendOver(ctx, request, pool, c)
		if response.kind != apierror.Unready || response.wrote || ctx.Err() != nil || notSent(response.err) {
			return response
		} // it had ended before any of the request went out
	}
	c, err := pool.dial(ctx, to)
	if err != nil {
		return &upstreamResponse{kind: apierror.Unready, err: err}
	}
	return p.sendOver(ctx, request, pool, c)
}

var (
	errDeadlinePassed = errors.New("the request's time is up")
	errCallerGone     = errors.New("whoever sent the request has gone")
)

// notSent reports whether an error says that a request was not let out, which tells nothing of whoever it was meant for.
func notSent(err error) bool {
	return errors.Is(err, errDeadlinePassed) || errors.Is(err, errCallerGone)
}

// checkSendable says why a request may not leave any more. Invariant: a process that stood still may come here after the time at which
// whoever sent the request has given it up.
func checkSendable(ctx context.Context, request *upstreamRequest) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if !time.Now().Before(request.deadline) {
		return errDeadlinePassed
	}
	if request.callerGone != nil && request.callerGone() {
		return errCallerGone
	}
	return nil
}

// sendOver carries a request over one connection.
func (p *Proxy) sendOver(ctx context.Context, request *upstreamRequest, pool *connectionPool, c *connection) *upstreamResponse {
	if err := checkSendable(ctx, request); err != nil {
		c.Close()
		return &upstreamResponse{kind: apierror.Unready, err: err}
	}
	var buffer bytes.Buffer
	request.header[timeLeftHeader] = []string{strconv.FormatInt(max(1, time.Until(request.deadline).Milliseconds()), 10)}
	writeRequestHead(&buffer, request.method, request.target, request.host, request.header, request.length)
	buffer.Write(request.body)
	detach := context.AfterFunc(ctx, func() { c.SetDeadline(pastDeadline) })
	httpResponse, wrote, err := c.exchange(&http.Request{Method: request.method}, buffer.Bytes(), request.bodyRest, request.requestID)
	if err != nil {
		detach()
		c.reset()
		kind := apierror.Broke
		if !wrote {
			kind = apierror.Unready
		}
		return &upstreamResponse{kind: kind, err: err, wrote: wrote}
	}
	if pool == p.upstreamConnections || pool == p.partnerConnections {
		delete(httpResponse.Header, meshHeader) // balancers alone say this
	}
	return &upstreamResponse{httpResponse: httpResponse, wrote: true, conn: c, owner: pool, maxIdle: peerIdleTimeout, detach: detach}
}

// sendToLocalUpstream hands a request to the upstream on this machine, if it is the one that is meant and has room.
func (p *Proxy) sendToLocalUpstream(ctx context.Context, request *upstreamRequest) *upstreamResponse {
	address, kind := p.local.admit(ctx, request, time.Now())
	if kind != apierror.None {
		p.counters.Add("turned_" + kind.String())
		return &upstreamResponse{kind: kind}
	}
	began := time.Now()
	response := p.send(ctx, request, p.upstreamConnections, roster.Place{Host: request.upstreamID, Address: address})
	if failed, known := assessUpstream(ctx, request, response, time.Since(began)); known {
		p.local.observe(request.upstreamID, failed, time.Now())
	}
	if response.kind == apierror.Unready {
		switch {
		case errors.Is(response.err, syscall.ECONNREFUSED):
			p.local.recordRefused(request.upstreamID)
		case ctx.Err() == nil && errors.Is(response.err, os.ErrDeadlineExceeded):
			p.local.recordNoAnswer(request.upstreamID)
		}
		p.local.release(request.upstreamID)
		if ctx.Err() == nil {
			response.kind = apierror.NoRoom // it never reached the upstream
		}
		return response
	}
	if response.kind != apierror.None {
		p.local.release(request.upstreamID)
		return response
	}
	response.maxIdle = upstreamIdleTimeout
	p.local.release(request.upstreamID) // its work is done: what is left is bytes
	return response
}

// assessUpstream is what one request says of the upstream beside: one that failed, or took twice the time within which it would have
// been of full worth. What its caller called off before tells nothing.
func assessUpstream(ctx context.Context, request *upstreamRequest, response *upstreamResponse, took time.Duration) (failed, known bool) {
	slow := request.latencyTarget > 0 && took > 2*request.latencyTarget
	switch {
	case notSent(response.err):
		return false, false
	case response.kind == apierror.Unready:
		return true, ctx.Err() == nil
	case response.kind != apierror.None:
		return true, slow || !errors.Is(context.Cause(ctx), context.Canceled)
	case response.httpResponse.StatusCode == http.StatusMisdirectedRequest:
		return false, false
	}
	return slow || response.httpResponse.StatusCode >= 500, true
}
