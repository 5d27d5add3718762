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

const discardTimeout = 10 * time.Millisecond // the rest of an answer that is no use

// singleUseBody is a body that can't be rewound. Danger: http.Transport sends a GET without a body, and a POST with
// Idempotency-Key whose body it can have anew, a second time by itself when a kept connection breaks.
type singleUseBody struct{ *bytes.Reader }

func (singleUseBody) Close() error { return nil }

// runAttempt carries one push to its outcome.
func (sh *shard) runAttempt(handle *desk.Handle, attempt *desk.Attempt, txn *transaction, writer *connWriter, res *reservation, stored *upstreamResponse, guard *ownershipGuard) {
	result, streamed := logic.Disconnected, false // it may have run, unless it is known better
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
	result, streamed = sh.send(handle, attempt, txn, writer, res, stored)
}

// discardAttempts gives back the pushes that were ordered and not begun when the transaction ended.
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

// send sends the request once and takes what comes back. What flowed has been told the desk already.
func (sh *shard) send(
	handle *desk.Handle, attempt *desk.Attempt, txn *transaction, writer *connWriter, res *reservation, stored *upstreamResponse,
) (result logic.Result, streamed bool) {
	ex := &exchange{writer: writer}
	defer ex.detach()
	var writeFailed atomic.Bool // before its last byte was written
	ctx := httptrace.WithClientTrace(withTarget(attempt.Context, attempt.Place, attempt.Deadline, false), &httptrace.ClientTrace{
		GotConn: ex.attach,
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if writeFailed.Store(i.Err != nil); i.Err == nil {
				sh.metrics.Sends.Add(1)
			}
		},
	})
	header := maps.Clone(txn.header)
	header["X-Remaining"] = []string{strconv.FormatFloat(max(0, min(time.Until(attempt.Deadline), txn.timeout).Seconds()), 'f', 6, 64)}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // none, instead of the library's
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
		if ex.conn != nil && txn.upload != nil && (writeFailed.Load() || !txn.upload.done()) { // its client was still sending: no word against the upstream
			return logic.Unsent, false
		}
		return attemptResult(ctx, err, ex.reused && !started, started && !writeFailed.Load()), false
	}
	defer resp.Body.Close()
	if !ex.abort() {
		return logic.Unsent, false // what came was the answer to something else
	}
	status := resp.StatusCode
	settled := status == http.StatusOK || sh.settings.Load().Plain && status >= 200 && status < 400
	// Danger: 429 says to a client that its transaction has not run, which only the module may say.
	rejected := status >= 400 && status < 500 && status != http.StatusTooManyRequests
	if !settled {
		// What comes with it is read, so that the connection can be kept. Danger: where it doesn't come, the error
		// would be known only at the hard stop.
		defer time.AfterFunc(discardTimeout, func() { resp.Body.Close() }).Stop()
	}
	var body []byte
	if settled && txn.method != http.MethodHead && resp.ContentLength <= maxBody {
		body, streamed, err = sh.readResponse(handle, attempt, resp, stored, res)
	} else {
		body, err = readBody(resp.Body, resp.ContentLength)
		res.force(int64(len(body)))
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
		return attemptResult(ctx, err, false, true), false // cut
	}
	sh.storeResponse(stored, resp, body)
	return logic.Settled, false
}

// readBody reads what comes with an answer that settles nothing; length is what its header says, -1 if nothing.
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

// storeResponse keeps an answer for its client.
func (sh *shard) storeResponse(stored *upstreamResponse, resp *http.Response, body []byte) {
	stored.status, stored.header, stored.length, stored.body = resp.StatusCode, endToEndHeaders(resp.Header), resp.Header["Content-Length"], body
}

// attemptResult names the outcome of a push without a whole answer. Only what provably never left whole is said not to
// have run. Danger: an answer that makes no sense may be known before the library says that the push was written,
// so what has begun counts as written unless writing it failed. A kept connection that had ended before it began
// (stale) is no word against its upstream: whether that can be reached only a new one tells.
func attemptResult(ctx context.Context, err error, stale, written bool) logic.Result {
	switch {
	case stale, errors.Is(err, errNoDescriptor), errors.Is(err, errTransactionEnded) && !written:
		return logic.Unsent
	case errors.Is(context.Cause(ctx), context.Canceled):
		return logic.Cancelled
	case !written && ctx.Err() != nil:
		return logic.Unsent // Danger: with little time left a live upstream would pass for one that is down
	case !written:
		return logic.Unreachable
	case ctx.Err() != nil:
		return logic.TimedOut
	}
	return logic.Disconnected
}

// runProbes carries out the module's probes until the pool ends.
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

// sendProbe asks an upstream for a sign of life, which may take as long as two connections to it.
func (sh *shard) sendProbe(ctx context.Context, place roster.Place) bool {
	deadline := time.Now().Add(2 * sh.settings.Load().DialTimeout)
	ctx, end := context.WithDeadline(ctx, deadline)
	defer end()
	ex := &exchange{}
	defer ex.detach()
	ctx = httptrace.WithClientTrace(withTarget(ctx, place, deadline, true), &httptrace.ClientTrace{
		GotConn: ex.attach,
	})
	req := (&http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: place.Host, Path: sh.settings.Load().Probe},
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
