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

const restWithin = 10 * time.Millisecond // the rest of an answer that is no use

// once is a body that can't be rewound. Danger: http.Transport sends a GET without a body, and a POST with
// Idempotency-Key whose body it can have anew, a second time by itself when a kept connection breaks.
type once struct{ *bytes.Reader }

func (once) Close() error { return nil }

// push carries one push to its outcome.
func (p *shard) push(c *desk.Handle, o *desk.Attempt, q *transaction, out *gate, hand *inHand, into *reply, guard *guard) {
	result, flowed := logic.Disconnected, false // it may have run, unless it is known better
	if !guard.leave(c, o) {
		p.desk.Outcome(c, o, logic.Unsent)
		return
	}
	if guard != nil {
		out.until(o.Deadline)
	}
	defer func() { guard.ended(result) }()
	defer func() {
		if what := recover(); what != nil {
			p.log.Error("panic", "where", "push", "fault", what, "stack", string(debug.Stack()))
		}
		if !flowed {
			p.desk.Outcome(c, o, result)
		}
	}()
	result, flowed = p.carry(c, o, q, out, hand, into)
}

// strike gives back the pushes that were ordered and not begun when the transaction ended.
func (p *shard) strike(c *desk.Handle) {
	for {
		select {
		case o := <-c.Attempts:
			p.desk.Outcome(c, o, logic.Unsent)
		default:
			return
		}
	}
}

// carry sends the request once and takes what comes back. What flowed has been told the desk already.
func (p *shard) carry(
	c *desk.Handle, o *desk.Attempt, q *transaction, out *gate, hand *inHand, into *reply,
) (result logic.Result, flowed bool) {
	on := &ride{gate: out}
	defer on.alight()
	var cut atomic.Bool // before its last byte was written
	ctx := httptrace.WithClientTrace(toward(o.Context, o.Place, o.Deadline, false), &httptrace.ClientTrace{
		GotConn: on.board,
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if cut.Store(i.Err != nil); i.Err == nil {
				p.counts.AttemptsSent.Add(1)
			}
		},
	})
	header := maps.Clone(q.header)
	header["X-Remaining"] = []string{strconv.FormatFloat(max(0, min(time.Until(o.Deadline), q.left).Seconds()), 'f', 6, 64)}
	if header["User-Agent"] == nil {
		header["User-Agent"] = []string{""} // none, instead of the library's
	}
	to := *q.url
	to.Scheme, to.Host, to.User, to.Fragment = "http", o.Place.Host, nil, ""
	r := (&http.Request{
		Method: q.method, URL: &to, Host: q.host, Header: header,
		Body: once{bytes.NewReader(q.body)}, ContentLength: int64(len(q.body)),
	}).WithContext(ctx)
	if q.rest != nil {
		r.Body, r.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(q.body), q.rest)), q.length
	}

	answer, err := p.out.transport.RoundTrip(r)
	if err != nil {
		begun := on.bar()
		if on.on != nil && q.rest != nil && (cut.Load() || !q.rest.done()) { // its client was still sending: no word against the upstream
			return logic.Unsent, false
		}
		return ended(ctx, err, on.kept && !begun, begun && !cut.Load()), false
	}
	defer answer.Body.Close()
	if !on.bar() {
		return logic.Unsent, false // what came was the answer to something else
	}
	status := answer.StatusCode
	settled := status == http.StatusOK || p.book.Load().Plain && status >= 200 && status < 400
	// Danger: 429 says to a client that its transaction has not run, which only the module may say.
	rejected := status >= 400 && status < 500 && status != http.StatusTooManyRequests
	if !settled {
		// What comes with it is read, so that the connection can be kept. Danger: where it doesn't come, the error
		// would be known only at the hard stop.
		defer time.AfterFunc(restWithin, func() { answer.Body.Close() }).Stop()
	}
	var body []byte
	if settled && q.method != http.MethodHead && answer.ContentLength <= mostFull {
		body, flowed, err = p.hold(c, o, answer, into, hand)
	} else {
		body, err = take(answer.Body, answer.ContentLength)
		hand.grow(int64(len(body)))
	}
	switch {
	case flowed:
		return logic.Settled, true
	case rejected:
		p.into(into, answer, body)
		return logic.Rejected, false
	case !settled:
		turned := status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
		if turned && answer.Header.Get("X-Turned-Away") == "1" {
			return logic.Refused, false
		}
		return logic.Errored, false
	case err == errLong:
		return logic.Errored, false
	case err != nil:
		return ended(ctx, err, false, true), false // cut
	}
	p.into(into, answer, body)
	return logic.Settled, false
}

// take reads what comes with an answer that settles nothing; length is what its header says, -1 if nothing.
func take(from io.Reader, length int64) ([]byte, error) {
	if length > mostBody {
		return nil, errLong
	}
	body, err := io.ReadAll(io.LimitReader(from, mostBody+1))
	if err == nil && len(body) > mostBody {
		err = errLong
	}
	return body, err
}

// into keeps an answer for its client.
func (p *shard) into(r *reply, answer *http.Response, body []byte) {
	r.status, r.header, r.length, r.body = answer.StatusCode, endToEnd(answer.Header), answer.Header["Content-Length"], body
}

// ended names the outcome of a push without a whole answer. Only what provably never left whole is said not to
// have run. Danger: an answer that makes no sense may be known before the library says that the push was written,
// so what has begun counts as written unless writing it failed. A kept connection that had ended before it began
// (stale) is no word against its upstream: whether that can be reached only a new one tells.
func ended(ctx context.Context, err error, stale, written bool) logic.Result {
	switch {
	case stale, errors.Is(err, errFull), errors.Is(err, errClosed) && !written:
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

// probe carries out the module's probes until the pool ends.
func (p *shard) probe(ctx context.Context) {
	for {
		select {
		case order := <-p.desk.Probes():
			go func() {
				ok := false
				defer func() { p.desk.ProbeResult(order.Upstream, ok) }()
				ok = p.ping(ctx, order.Place)
			}()
		case <-ctx.Done():
			return
		}
	}
}

// ping asks an upstream for a sign of life, which may take as long as two connections to it.
func (p *shard) ping(ctx context.Context, at roster.Place) bool {
	until := time.Now().Add(2 * p.book.Load().DialTimeout)
	ctx, end := context.WithDeadline(ctx, until)
	defer end()
	on := &ride{}
	defer on.alight()
	ctx = httptrace.WithClientTrace(toward(ctx, at, until, true), &httptrace.ClientTrace{
		GotConn: on.board,
	})
	r := (&http.Request{
		Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: at.Host, Path: p.book.Load().Probe},
		Header: http.Header{"User-Agent": {""}}, Body: once{bytes.NewReader(nil)},
	}).WithContext(ctx)
	answer, err := p.out.transport.RoundTrip(r)
	if err != nil {
		return false
	}
	defer answer.Body.Close()
	if !on.bar() {
		return false
	}
	_, err = io.CopyN(io.Discard, answer.Body, mostBody)
	return answer.StatusCode == http.StatusOK && (err == nil || err == io.EOF)
}
