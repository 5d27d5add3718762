package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/mesh/apierror"
	"ottershift/logic"
)

// pushOutcome is how a push ended.
type pushOutcome struct {
	result logic.Result
	flowed bool   // its answer has gone on to the client piece by piece: the module has been told
	early  bool   // it never came to the upstream
	failed *reply // what the upstream itself answered a request that it failed, nil for nothing
}

// push carries one order of the module out.
func (p *Proxy) push(q *request, c *desk.Handle, o *desk.Attempt) {
	outcome := pushOutcome{result: logic.Unsent}
	defer func() {
		if fault := recover(); fault != nil {
			p.log.Error("panic", "where", "push", "fault", fault, "stack", string(debug.Stack()))
			outcome.result = logic.Disconnected
		}
		if !outcome.flowed {
			q.pool.desk.Outcome(c, o, outcome.result)
		}
	}()
	paid := func() bool {
		if q.pool.more(p.now(), int(p.membersNow.Load()), q.rank) {
			return true
		}
		p.counts.Add("budget_spent")
		return false
	}
	if partner, through := q.pool.partnerOf(o); through && !p.allowed(q, partner) {
		p.counts.Add("kept_back")
		return
	}
	if !q.begin(paid) {
		return
	}
	outcome = p.carry(q, c, o)
	q.ended(outcome.result, outcome.early, outcome.failed)
	if outcome.result != logic.Settled {
		p.counts.Add("push_" + outcome.result.String())
	}
}

// partnerOf is the partner that a push is meant for, if it is for one.
func (p *pool) partnerOf(o *desk.Attempt) (partner string, through bool) {
	partner, _, through = strings.Cut(o.Name, gateMark)
	return partner, through && p.partners != nil
}

// carry sends a request to the balancer beside an upstream, or to the upstream if it is here, and takes what comes back.
func (p *Proxy) carry(q *request, c *desk.Handle, o *desk.Attempt) (outcome pushOutcome) {
	back := p.dispatch(q, c, o)
	defer func() {
		if !outcome.flowed {
			back.done(false)
		}
	}()
	switch {
	case back.kind == apierror.NoRoom || back.kind == apierror.NotHere:
		return pushOutcome{result: logic.Refused, early: true}
	case back.kind != apierror.None:
		result := p.broken(o.Context, back)
		return pushOutcome{result: result, early: result.NeverRan()}
	}
	_, through := q.pool.partnerOf(o)
	if refused, is := p.refusal(back, through); is {
		return refused
	}
	return p.takeAnswer(q, c, o, back)
}

// dispatch sends a request on its way: through a partner's gateway, to the upstream here, or to the balancer beside another one.
func (p *Proxy) dispatch(q *request, c *desk.Handle, o *desk.Attempt) *upstreamResponse {
	s := p.requestTo(q, c, o)
	partner, through := q.pool.partnerOf(o)
	if o.Place.Address != p.settings.Inbound {
		s.header[meshAimHeader] = s.urgency.encode()
		if q.long {
			s.header[meshLongHeader] = []string{"1"}
		}
		if through {
			s.header[meshGatewayHeader] = []string{partner}
		}
		return p.send(o.Context, s, q.pool.peers, o.Place)
	}
	if through {
		return p.sendToPartner(o.Context, s, partner)
	}
	return p.sendToLocalUpstream(o.Context, s)
}

// requestTo is a request as it goes out by an order.
func (p *Proxy) requestTo(q *request, c *desk.Handle, o *desk.Attempt) *upstreamRequest {
	s := &upstreamRequest{
		id: q.id, to: o.Name, method: q.method, target: q.target, host: q.host, header: make(http.Header, len(q.header)+3),
		body: q.body, rest: q.rest, length: q.length, until: o.Deadline, urgency: urgency{q.aim, q.rank, o.Number > 0},
	}
	for name, values := range q.header {
		s.header[name] = values
	}
	if _, through := q.pool.partnerOf(o); !through {
		s.header[addressee] = []string{o.Name}
	}
	if q.rest != nil { // the module's time begins with its last byte, its client's does not
		s.until = q.stop
		s.rest = &lastByte{q.rest, func() { q.pool.desk.BodyReceived(c, time.Until(q.stop)) }}
	}
	return s
}

// refusal tells what an answer's head says of a request that it does not serve. Invariant: a status by which its client would take
// the request for not run goes on to the client only from here, as our own word, and only with the upstream's proof; a partner's
// promises are as good as ours.
func (p *Proxy) refusal(back *upstreamResponse, through bool) (outcome pushOutcome, is bool) {
	answer := back.answer
	good := answer.StatusCode < http.StatusMultipleChoices
	switch said := answer.Header.Get(meshHeader); {
	case said == meshTurned, provesNotRun(answer):
		back.finish()
		return pushOutcome{result: logic.Refused, early: said == meshTurned}, true
	case said == meshBroke:
		back.finish()
		return pushOutcome{result: logic.Disconnected}, true
	case good && answer.Header[notDelivered] != nil:
		p.counts.Add("answers_contradictory")
		return pushOutcome{result: logic.Disconnected}, true
	case through:
		return pushOutcome{}, false
	case apierror.Promises(answer.StatusCode):
		p.counts.Add("promises_unproven")
		back.finish()
		return pushOutcome{result: logic.Errored}, true
	case good && answer.Header[postmark] == nil:
		p.counts.Add("answers_unstamped")
		return pushOutcome{result: logic.Disconnected}, true
	}
	return pushOutcome{}, false
}

// takeAnswer reads an answer that goes on to the client: whole if it is short, as it flows if it is long and good.
func (p *Proxy) takeAnswer(q *request, c *desk.Handle, o *desk.Attempt, back *upstreamResponse) pushOutcome {
	answer := back.answer
	good := answer.StatusCode < http.StatusMultipleChoices
	into := &reply{status: answer.StatusCode, header: onward(answer.Header), length: answer.ContentLength, early: back.line.early}
	body, err := io.ReadAll(io.LimitReader(answer.Body, heldAnswer+1))
	into.body = body
	switch {
	case err != nil:
		return pushOutcome{result: p.broken(o.Context, &upstreamResponse{kind: apierror.Broke, err: err})}
	case len(body) > heldAnswer && good:
		return p.flowAnswer(q, c, o, back, into)
	case len(body) > heldAnswer:
		return pushOutcome{result: logic.Errored}
	}
	if q.method != http.MethodHead {
		into.length = int64(len(body))
	}
	back.done(true)
	q.keep(o.Number, into)
	switch {
	case good:
		return pushOutcome{result: logic.Settled}
	case answer.StatusCode < http.StatusInternalServerError:
		return pushOutcome{result: logic.Rejected}
	}
	return pushOutcome{result: logic.Errored, failed: into}
}

// flowAnswer hands an answer to the client as it comes.
func (p *Proxy) flowAnswer(q *request, c *desk.Handle, o *desk.Attempt, back *upstreamResponse, into *reply) pushOutcome {
	into.flow, into.ended = back.answer.Body, make(chan bool, 1)
	q.keep(o.Number, into)
	if !q.pool.desk.StreamStarted(c, o) {
		return pushOutcome{result: logic.Cancelled}
	}
	back.line.SetReadDeadline(q.stop.Add(time.Second)) // its client waits no longer
	whole := <-into.ended
	back.done(whole)
	q.pool.desk.StreamEnded(c, o, whole)
	return pushOutcome{result: logic.Settled, flowed: true}
}

// broken names the outcome of a push without a whole answer.
func (p *Proxy) broken(ctx context.Context, b *upstreamResponse) logic.Result {
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
	p.counts.Add("push_cut")
	return logic.Disconnected
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
