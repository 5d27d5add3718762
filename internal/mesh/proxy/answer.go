package proxy

import (
	"net/http"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/mesh/apierror"
	"ottershift/logic"
)

// follow carries a request from its arrival at the module to its answer.
func (p *Proxy) follow(w http.ResponseWriter, r *http.Request, q *request, c *desk.Handle) {
	defer func() {
		for { // what was ordered and not begun
			select {
			case o := <-c.Attempts:
				q.pool.desk.Outcome(c, o, logic.Unsent)
			default:
				return
			}
		}
	}()
	for {
		select {
		case o := <-c.Attempts:
			go p.push(q, c, o)
		case a := <-c.Answer:
			p.answer(w, r, q, a)
			return
		case <-r.Context().Done():
			p.clientGone(w, r, q, c)
			return
		case <-p.ending.Done():
			p.answerAtEnd(w, r, q, c)
			return
		}
	}
}

// clientGone ends a request whose client sends no more. One that has closed its sending side alone still reads: the two can't be told
// apart before something is written.
func (p *Proxy) clientGone(w http.ResponseWriter, r *http.Request, q *request, c *desk.Handle) {
	ran, _, _ := q.close()
	q.pool.desk.ClientGone(c)
	p.noteClientGone(r)
	select { // an answer that flows to nobody
	case a := <-c.Answer:
		q.drop(a.Attempt)
	default:
	}
	kind := apierror.Broke
	if ran == 0 {
		kind = apierror.NoRoom
	}
	p.writeError(w, r, kind, 0)
}

// answerAtEnd answers a request as it stands, as the process ends. Invariant: from close on nothing more of it goes out, and from Vanish
// on no answer comes about that was not there before.
func (p *Proxy) answerAtEnd(w http.ResponseWriter, r *http.Request, q *request, c *desk.Handle) {
	ran, out, failed := q.close()
	q.pool.desk.ClientGone(c)
	select {
	case a := <-c.Answer:
		p.answer(w, r, q, a)
		return
	default:
	}
	p.log.Warn("answered at the end", "attempt", q.id, "ran", ran, "out", out)
	switch {
	case failed != nil:
		p.write(w, failed)
	case ran == 0:
		p.refuse(w, r, apierror.NoRoom, 0)
	default:
		p.refuse(w, r, apierror.Leaving, 0)
	}
}

// answer writes the one final answer.
func (p *Proxy) answer(w http.ResponseWriter, r *http.Request, q *request, a desk.Answer) {
	ran, out, failed := q.close()
	if a.Ending == desk.Settled || a.Ending == desk.Rejected {
		q.mu.Lock()
		back := q.replies[a.Attempt]
		q.mu.Unlock()
		p.write(w, back)
		if q.claim != nil && back.status < 300 {
			q.mu.Lock()
			q.delivered = true
			q.mu.Unlock()
		}
		return
	}
	switch {
	case failed != nil: // what an upstream said goes back unchanged
		p.write(w, failed)
	case ran == 0:
		p.refuse(w, r, apierror.NoRoom, a.Backoff)
	case out > 0 || time.Until(q.stop) <= 0:
		p.refuse(w, r, apierror.Late, 0)
	default:
		p.refuse(w, r, apierror.Broke, 0)
	}
}
