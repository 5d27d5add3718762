package simulation

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"ottershift/internal/mesh/consensus"
)

var (
	errStale     = errors.New("another version is current")
	errForgotten = errors.New("the order reaches back beyond what is remembered")
)

const (
	callTimeout     = S // after which an operator goes on to another process
	callPause       = 50 * Ms
	callsOfAnOrder  = 6
	callsOfARead    = 4
	answersLateBy   = 1200 * Ms
	answersLateMost = 2500 * Ms
)

// order is a change of the configuration that an operator wants, and what came of it. Its identity is its digest.
type order struct {
	digest        string
	base, edition int64
	op            Op
	refusals      int
}

func (o *order) content() json.RawMessage { return json.RawMessage(`"` + o.digest + `"`) }

// verdict is a process's answer to a call.
type verdict uint8

const (
	unclear  verdict = iota // 503
	accepted                // 200
	refused                 // 412
)

// answer is what a process says to a call; a read's has the version.
type answer struct {
	verdict
	edition int64
}

// operators give orders and read.
type operators struct {
	w      *coreWorld
	chance *rand.Rand
	known  int64 // the version that was last seen by anybody
}

// scheduleOperators spreads the orders and reads over the day.
func (w *coreWorld) scheduleOperators() {
	o := &operators{w: w, chance: w.Chance("operators")}
	atOnce := max(w.AtOnce, 1)
	for n := 0; n < w.Puts; n += atOnce {
		at := int64(o.chance.Float64() * float64(w.Length*8/10))
		for k := n; k < min(n+atOnce, w.Puts); k++ {
			w.After(at, func() { o.order(k) })
		}
	}
	for n := range w.Reads {
		at := int64(o.chance.Float64() * float64(w.Length*9/10))
		w.After(at, func() { o.read(w.Puts + n) })
	}
}

// order gives an order on top of the version that was last seen. Several may pick the same number.
func (o *operators) order(client int) {
	w := o.w
	next := &order{digest: fmt.Sprint("order-", client), base: o.known, edition: o.known + int64(1+o.chance.IntN(3))}
	next.op = Op{Client: client, On: next.base, Put: next.edition, Call: w.Now}
	w.judge.orders = append(w.judge.orders, next)
	w.strikes.sent(len(w.judge.orders))
	o.send(next, callsOfAnOrder, func(a answer) { o.answered(next, a.verdict) }, func() { o.ended(next) })
}

// ended judges an order whose calls have all been made: in a calm time it has an answer.
func (o *operators) ended(of *order) {
	w := o.w
	if !of.op.OK && !of.op.Stale && w.troubledUntil+w.CatchUp <= of.op.Call {
		w.broke("no acknowledgement: %s has no clear answer after %v, with no trouble", of.digest, time.Duration(w.Now-of.op.Call))
	}
}

// send has an order sent, to one process after the other.
func (o *operators) send(sent *order, calls int, answered func(answer), ended func()) {
	c := &call{
		w: o.w, first: o.chance.IntN(len(o.w.processes)), calls: calls, answered: answered, ended: ended,
		handle: func(b *coreProcess, respond func(answer)) { o.w.handleOrder(b, sent, respond) },
	}
	c.next()
}

// answered is a clear answer to an order, which may come after others.
func (o *operators) answered(to *order, v verdict) {
	w, op := o.w, &to.op
	if v == refused {
		if to.refusals++; op.OK {
			w.broke("refused: %s was confirmed, sent again and refused with 412", to.digest)
		} else if !op.Stale {
			op.Stale, op.Back = true, w.Now
		}
		return
	}
	if op.OK {
		return
	}
	if op.Stale {
		w.broke("refused: %s was refused with 412, and then confirmed", to.digest)
		return
	}
	op.OK, op.Back = true, w.Now
	w.day.Took = append(w.day.Took, op.Back-op.Call)
	o.known = max(o.known, to.edition)
	w.observeConfirmation(to)
	if o.chance.Float64() < w.Resends {
		o.scheduleResend(to)
	}
}

// scheduleResend has a confirmed order sent again, soon or much later.
func (o *operators) scheduleResend(again *order) {
	w := o.w
	later := int64(o.chance.Float64() * float64(max(w.Length*9/10-w.Now, 0)))
	if o.chance.IntN(2) == 0 {
		later = min(later, S)
	}
	w.After(later, func() {
		confirmed := false
		o.send(again, 1, func(a answer) {
			if confirmed = a.verdict == accepted; confirmed {
				w.day.Resent++
			}
			o.answered(again, a.verdict)
		}, func() {
			if !confirmed {
				w.day.Forgot++
			}
		})
	})
}

// read asks for the newest configuration.
func (o *operators) read(client int) {
	w := o.w
	op := Op{Client: client, Read: true, Call: w.Now}
	floor := w.judge.newest
	c := &call{
		w: w, first: o.chance.IntN(len(w.processes)), calls: callsOfARead, ended: func() {},
		handle: w.handleRead,
		answered: func(a answer) {
			if op.OK {
				return
			}
			op.OK, op.Got, op.Back = true, a.edition, w.Now
			w.day.Read++
			if op.Got < floor {
				w.broke("old read: version %d was acknowledged before it was called, %d is read", floor, op.Got)
			}
			o.known = max(o.known, op.Got)
			w.day.History = append(w.day.History, op)
		},
	}
	c.next()
}

// finishHistory adds the orders to the history, as they ended.
func (w *coreWorld) finishHistory() {
	for _, o := range w.judge.orders {
		switch {
		case o.op.OK:
			w.day.Acked++
		case o.op.Stale:
			w.day.Stale++
		default:
			w.day.Unclear++
		}
		w.day.History = append(w.day.History, o.op)
	}
}

// remembered are the applied changes by which a process knows an order again.
func (w *coreWorld) remembered(s *consensus.State) []consensus.AppliedChange {
	all := s.AppliedChanges
	if w.Remembered > 0 && len(all) > w.Remembered {
		return all[len(all)-w.Remembered:]
	}
	return all
}

// rulesOut reports whether an order that is not among the applied changes can't have been applied and forgotten.
func (w *coreWorld) rulesOut(known consensus.AppliedChanges, o *order) bool {
	switch {
	case w.RefuseForgotten:
		return true
	case w.Remembered > 0: // a window of the question's own
		return len(known) < w.Remembered || max(o.edition, o.base) >= known[0].Edition
	}
	return known.CertainlyNotApplied(o.edition, o.base)
}

// applyOrder is what a process makes of an order on top of the newest state.
func (w *coreWorld) applyOrder(o *order) transform {
	return func(s *consensus.State) (*consensus.State, error) {
		known := w.remembered(s)
		for _, a := range known {
			if a.Digest == o.digest {
				return nil, nil
			}
		}
		if s.Edition == o.base {
			return s.WithConfiguration(o.edition, o.content(), o.digest), nil
		}
		if w.rulesOut(known, o) {
			return nil, errStale
		}
		return nil, errForgotten
	}
}

// handleOrder is a process's turn with an order: one after the other, as the controller has it.
func (w *coreWorld) handleOrder(b *coreProcess, o *order, respond func(answer)) {
	until := w.Now + stepTimeout
	b.orders = append(b.orders, func() {
		w.propose(b, max(until-w.Now, 0), w.applyOrder(o), func(out outcome) {
			out = w.answerFromHere(b, out, w.applyOrder(o))
			w.nextOrder(b)
			respond(answer{verdict: verdictOf(out)})
			if verdictOf(out) == accepted {
				w.strikes.confirmed(b)
			}
		})
	})
	if !b.ordering {
		w.nextOrder(b)
	}
}

func (w *coreWorld) nextOrder(b *coreProcess) {
	if b.ordering = len(b.orders) > 0; b.ordering {
		next := b.orders[0]
		b.orders = b.orders[1:]
		w.after(b, 0, next)
	}
}

func verdictOf(o outcome) verdict {
	switch {
	case !o.decided, errors.Is(o.err, errForgotten):
		return unclear
	case o.err != nil:
		return refused
	}
	return accepted
}

// answerFromHere is the variant that answers from what is known here where no majority does.
func (w *coreWorld) answerFromHere(b *coreProcess, o outcome, what transform) outcome {
	if !w.LocalAnswers || o.decided {
		return o
	}
	s := b.memory.Decided
	next, err := what(s)
	return outcome{state: s, err: err, decided: next == nil}
}

// handleRead is a process's turn with a read.
func (w *coreWorld) handleRead(b *coreProcess, respond func(answer)) {
	w.readNewest(b, func(out outcome) {
		out = w.answerFromHere(b, out, nothing)
		if !out.decided {
			respond(answer{})
			return
		}
		respond(answer{accepted, out.state.Edition})
	})
}
