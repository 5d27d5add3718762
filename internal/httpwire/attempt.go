package httpwire

import (
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/roster"
	"ottershift/logic"
)

const discardTimeout = 10 * time.Millisecond // for reading the rest of a response that is not used

// singleUseBody is a body that cannot be rewound. If a reused connection breaks, http.Transport by itself resends
// a GET without a body, and a POST with Idempotency-Key whose body it can obtain again.
type singleUseBody struct{ *bytes.Reader }

func (singleUseBody) Close() error { return nil }

// runAttempt carries out one attempt and reports its outcome.
func (sh *shard) runAttempt(
	handle *desk.Handle, attempt *desk.Attempt, txn *transaction, writer *connWriter, held *reservation,
	stored *upstreamResponse, guard *ownershipGuard,
) {
	result, streamed := logic.Disconnected, false // default: it may have run
	if !guard.permit(handle, attempt) {
		sh.desk.Outcome(handle, attempt, logic.Unsent)
		return
	}
	if guard != nil {
		writer.setDeadline(attempt.Deadline)
	}
	defer func() { guard.attemptEnded(result) }()
	defer func() {
		if fault := recover(); fault != nil {
			sh.log.Error("panic", "where", "push", "fault", fault, "stack", string(debug.Stack()))
		}
		if !streamed {
			sh.desk.Outcome(handle, attempt, result)
		}
	}()
	result, streamed = sh.send(handle, attempt, txn, writer, held, stored)
}

// discardAttempts returns the attempts that were ordered and not started when the transaction ended.
func (sh *shard) discardAttempts(handle *desk.Handle) {
	for {
		select {
		case attempt := <-handle.Attempts:
			sh.desk.Outcome(handle, attempt, logic.Unsent)
		default:
			return
		}
	}
}

// send sends the request once and handles the response. The outcome of a streamed response has been reported to
// the dispatcher already.
func (sh *shard) send(
	handle *desk.Handle, attempt *desk.Attempt, txn *transaction, writer *connWriter, held *reservation,
	stored *upstreamResponse,
) (result logic.Result, streamed bool) {
	ex := &exchange{writer: writer}
	defer ex.detach()
	var writeFailed atomic.Bool // before the last byte of the request was written
	ctx := httptrace.WithClientTrace(withTarget(attempt.Context, attempt.Place, attempt.Deadline, false), &httptrace.ClientTrace{
		GotConn: ex.attach,
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if writeFailed.Store(i.Err != nil); i.Err == nil {
				sh.metrics.AttemptsSent.Add(1)
			}
		},
	})
	header := maps.Clone(txn.header)
	header["X-Remaining"] = []string{
		strconv.FormatFloat(max(0, min(time.Until(attempt.Deadline), txn.timeout).Seconds()), 'f', 6, 64),
	}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // none, instead of the default of net/http
	}
	dest := *txn.url
	dest.Scheme, dest.Host, dest.User, dest.Fragment = "http", attempt.Place.Host, nil, ""
	req := (&http.Request{
		Method: txn.method, URL: &dest, Host: txn.host, Header: header,
		Body: singleUseBody{bytes.NewReader(txn.body)}, ContentLength: int64(len(txn.body)),
	}).WithContext(ctx)
	if txn.upload != nil {
		req.Body, req.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(txn.body), txn.upload)), txn.length
	}

	resp, err := sh.conns.transport.RoundTrip(req)
	if err != nil {
		started := ex.abort()
		// The client was still sending, so the upstream is not blamed.
		if ex.conn != nil && txn.upload != nil && (writeFailed.Load() || !txn.upload.done()) {
			return logic.Unsent, false
		}
		return attemptResult(ctx, err, ex.reused && !started, started && !writeFailed.Load()), false
	}
	defer resp.Body.Close()
	if !ex.abort() {
		return logic.Unsent, false // unexpected data, not a response to this request
	}
	status := resp.StatusCode
	settled := status == http.StatusOK || sh.settings.Load().PlainHTTP && status >= 200 && status < 400
	// 429 tells a client that its transaction has not run, which only the decision engine may state.
	rejected := status >= 400 && status < 500 && status != http.StatusTooManyRequests
	if !settled {
		// The body is read so that the connection can be reused. A body that stalls must not delay the report of
		// the error until the hard stop.
		defer time.AfterFunc(discardTimeout, func() { resp.Body.Close() }).Stop()
	}
	var body []byte
	if settled && txn.method != http.MethodHead && resp.ContentLength <= maxBody {
		body, streamed, err = sh.readResponse(handle, attempt, resp, stored, held)
	} else {
		body, err = readBody(resp.Body, resp.ContentLength)
		held.force(int64(len(body)))
	}
	switch {
	case streamed:
		return logic.Settled, true
	case rejected:
		sh.storeResponse(stored, resp, body)
		return logic.Rejected, false
	case !settled:
		unavailable := status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
		if unavailable && resp.Header.Get("X-Turned-Away") == "1" {
			return logic.Refused, false
		}
		return logic.Errored, false
	case err == errBodyTooLong:
		return logic.Errored, false
	case err != nil:
		return attemptResult(ctx, err, false, true), false // truncated
	}
	sh.storeResponse(stored, resp, body)
	return logic.Settled, false
}

// readBody reads the body of a response that does not settle the transaction; length is its Content-Length, -1 for
// none.
func readBody(source io.Reader, length int64) ([]byte, error) {
	if length > maxReservedBody {
		return nil, errBodyTooLong
	}
	body, err := io.ReadAll(io.LimitReader(source, maxReservedBody+1))
	if err == nil && len(body) > maxReservedBody {
		err = errBodyTooLong
	}
	return body, err
}

// storeResponse keeps a response for the client.
func (sh *shard) storeResponse(stored *upstreamResponse, resp *http.Response, body []byte) {
	stored.status, stored.header, stored.length, stored.body =
		resp.StatusCode, endToEndHeaders(resp.Header), resp.Header["Content-Length"], body
}

// attemptResult returns the outcome of an attempt without a complete response. Only an attempt that certainly was
// not sent completely counts as not run. A malformed response may be noticed before net/http reports the request
// as written, so an exchange that has started counts as written unless the write failed. A stale connection, which
// was closed before the exchange started, is not blamed on the upstream: only a new connection shows whether it is
// reachable.
func attemptResult(ctx context.Context, err error, stale, written bool) logic.Result {
	switch {
	case stale, errors.Is(err, errNoDescriptor), errors.Is(err, errTransactionEnded) && !written:
		return logic.Unsent
	case errors.Is(context.Cause(ctx), context.Canceled):
		return logic.Cancelled
	case !written && ctx.Err() != nil:
		return logic.Unsent // with little time left, a live upstream would be taken for an unreachable one
	case !written:
		return logic.Unreachable
	case ctx.Err() != nil:
		return logic.TimedOut
	}
	return logic.Disconnected
}

// runProbes carries out the probes of the decision engine until the pool is retired.
func (sh *shard) runProbes(ctx context.Context) {
	for {
		select {
		case order := <-sh.desk.Probes():
			go func() {
				ok := false
				defer func() { sh.desk.ProbeResult(order.Upstream, ok) }()
				ok = sh.sendProbe(ctx, order.Place)
			}()
		case <-ctx.Done():
			return
		}
	}
}

// sendProbe reports whether an upstream answers a probe within twice the dial timeout.
func (sh *shard) sendProbe(ctx context.Context, place roster.Endpoint) bool {
	deadline := time.Now().Add(2 * sh.settings.Load().DialTimeout)
	ctx, end := context.WithDeadline(ctx, deadline)
	defer end()
	ex := &exchange{}
	defer ex.detach()
	ctx = httptrace.WithClientTrace(withTarget(ctx, place, deadline, true), &httptrace.ClientTrace{
		GotConn: ex.attach,
	})
	req := (&http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: place.Host, Path: sh.settings.Load().ProbePath},
		Header: http.Header{"User-Agent": {""}}, Body: singleUseBody{bytes.NewReader(nil)},
	}).WithContext(ctx)
	resp, err := sh.conns.transport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if !ex.abort() {
		return false
	}
	_, err = io.CopyN(io.Discard, resp.Body, maxReservedBody)
	return resp.StatusCode == http.StatusOK && (err == nil || err == io.EOF)
}
