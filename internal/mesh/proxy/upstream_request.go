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

// upstreamRequest is a request as it is sent over one connection.
type upstreamRequest struct {
	requestID, upstreamID string
	method, target, host  string
	header                http.Header
	body                  []byte
	bodyRest              io.Reader
	length                int64
	deadline              time.Time
	requestPriority
	callerGone func() bool // reports whether the connection that the request came over is closed; nil for no check
}

// upstreamResponse is the result of sending an upstreamRequest. The kind NotReady means that the request was not sent,
// IncompleteResponse that it may have run.
type upstreamResponse struct {
	kind         apierror.Kind
	err          error
	wrote        bool
	httpResponse *http.Response
	conn         *connection
	owner        *connectionPool
	maxIdle      time.Duration
	detach       func() bool // ends the effect of the request's context on conn; false if the context has ended
	onDone       func()      // called once, at the release
	released     bool
}

// release returns the connection to its pool if the response was read to the end, and closes it otherwise.
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

// discard reads the rest of an unused response, so that its connection can be reused.
func (r *upstreamResponse) discard() {
	_, err := io.CopyN(io.Discard, r.httpResponse.Body, bufferSize)
	r.release(err == io.EOF)
}

// send sends a request over a connection of a pool, an idle one if one may carry the request.
func (p *Proxy) send(ctx context.Context, request *upstreamRequest, pool *connectionPool, at roster.Endpoint) *upstreamResponse {
	if err := checkSendable(ctx, request); err != nil {
		return &upstreamResponse{kind: apierror.NotReady, err: err}
	}
	to := destination{host: at.Host, address: at.Address, idleCount: at.IdleConns}
	for c := pool.get(to, request.requestID); c != nil; c = nil {
		response := p.sendOver(ctx, request, pool, c)
		if response.kind != apierror.NotReady || response.wrote || ctx.Err() != nil || notSent(response.err) {
			return response
		} // the idle connection was closed before any byte of the request was sent
	}
	c, err := pool.dial(ctx, to)
	if err != nil {
		return &upstreamResponse{kind: apierror.NotReady, err: err}
	}
	return p.sendOver(ctx, request, pool, c)
}

var (
	errDeadlinePassed = errors.New("request deadline passed before it was sent")
	errCallerGone     = errors.New("caller closed its connection before the request was sent")
)

// notSent reports whether an error means that this proxy did not send the request, which says nothing about the
// upstream.
func notSent(err error) bool {
	return errors.Is(err, errDeadlinePassed) || errors.Is(err, errCallerGone)
}

// checkSendable returns an error if a request must not be sent any more. After a pause of this process, the caller may
// have given the request up already.
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

// sendOver sends a request over one connection.
func (p *Proxy) sendOver(ctx context.Context, request *upstreamRequest, pool *connectionPool, c *connection) *upstreamResponse {
	if err := checkSendable(ctx, request); err != nil {
		c.Close()
		return &upstreamResponse{kind: apierror.NotReady, err: err}
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
		kind := apierror.IncompleteResponse
		if !wrote {
			kind = apierror.NotReady
		}
		return &upstreamResponse{kind: kind, err: err, wrote: wrote}
	}
	if pool == p.upstreamConnections || pool == p.partnerConnections {
		delete(httpResponse.Header, meshHeader) // only proxies may set this header
	}
	return &upstreamResponse{httpResponse: httpResponse, wrote: true, conn: c, owner: pool, maxIdle: peerIdleTimeout, detach: detach}
}

// sendToLocalUpstream sends a request to the upstream on this machine, if it is the addressee and has room.
func (p *Proxy) sendToLocalUpstream(ctx context.Context, request *upstreamRequest) *upstreamResponse {
	address, kind := p.local.admit(ctx, request, time.Now())
	if kind != apierror.None {
		p.counters.Increment("turned_" + kind.String())
		return &upstreamResponse{kind: kind}
	}
	began := time.Now()
	response := p.send(ctx, request, p.upstreamConnections, roster.Endpoint{Host: request.upstreamID, Address: address})
	if failed, known := assessUpstream(ctx, request, response, time.Since(began)); known {
		p.local.observe(request.upstreamID, failed, time.Now())
	}
	if response.kind == apierror.NotReady {
		switch {
		case errors.Is(response.err, syscall.ECONNREFUSED):
			p.local.recordRefused(request.upstreamID)
		case ctx.Err() == nil && errors.Is(response.err, os.ErrDeadlineExceeded):
			p.local.recordNoAnswer(request.upstreamID)
		}
		p.local.release(request.upstreamID)
		if ctx.Err() == nil {
			response.kind = apierror.NoCapacity // it did not reach the upstream
		}
		return response
	}
	if response.kind != apierror.None {
		p.local.release(request.upstreamID)
		return response
	}
	response.maxIdle = upstreamIdleTimeout
	p.local.release(request.upstreamID) // the upstream has processed it; only the transfer is left
	return response
}

// assessUpstream derives from one request whether the local upstream failed it: by an error, or by taking more than
// twice the latency target. A request that its caller cancelled earlier says nothing.
func assessUpstream(ctx context.Context, request *upstreamRequest, response *upstreamResponse, took time.Duration) (failed, known bool) {
	slow := request.latencyTarget > 0 && took > 2*request.latencyTarget
	switch {
	case notSent(response.err):
		return false, false
	case response.kind == apierror.NotReady:
		return true, ctx.Err() == nil
	case response.kind != apierror.None:
		return true, slow || !errors.Is(context.Cause(ctx), context.Canceled)
	case response.httpResponse.StatusCode == http.StatusMisdirectedRequest:
		return false, false
	}
	return slow || response.httpResponse.StatusCode >= 500, true
}
