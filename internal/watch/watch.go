// Package watch lets a balancer decide as before while another, under the settings of a new shape, is shown the same
// events, and counts where that one would have decided otherwise. Nothing that the other decides is done, but what it
// says to its peers: they watch too, and would see too little without it.
package watch

import (
	"errors"
	"math"

	"ottershift/logic"
)

// Counts are what the other would have done, in transactions but for Compared.
type Counts struct {
	Compared      int // first pushes that both sent
	OtherUpstream int // of these, to another upstream
	Later         int // sent, where the other had it wait or had turned it away
	Earlier       int // not sent yet, where the other had sent it
	MoreAttempts  int // not sent again, where the other would have
	FewerAttempts int // sent again, where the other had not
	EndedInShadow int // ended by the other while it went on here
	OpenInShadow  int // deferred or forfeited here, where the other went on
}

// Add adds another's.
func (c *Counts) Add(other Counts) {
	c.Compared, c.OtherUpstream = c.Compared+other.Compared, c.OtherUpstream+other.OtherUpstream
	c.Later, c.Earlier = c.Later+other.Later, c.Earlier+other.Earlier
	c.MoreAttempts, c.FewerAttempts = c.MoreAttempts+other.MoreAttempts, c.FewerAttempts+other.FewerAttempts
	c.EndedInShadow, c.OpenInShadow = c.EndedInShadow+other.EndedInShadow, c.OpenInShadow+other.OpenInShadow
}

// Engine is both balancers.
type Engine struct {
	current, shadow           *logic.Balancer
	shadowIndex, currentIndex []int // index at the other, and back from there
	pairs                     map[*logic.Transaction]*pair
	roundPairs                []*pair // with a decision in this round
	counts                    Counts
	shadowProbes              []int // that the other asked for
	writer                    logic.Writer
	now                       int64
	wakeAt                    [2]int64
}

// pair is one transaction as both have it.
type pair struct {
	current         *logic.Transaction
	shadow          logic.Transaction
	queued          bool
	compared        int  // of its pushes, compared
	countedEarlier  bool // counted, as are the next three
	countedAttempts bool
	countedLater    bool
	countedEnding   bool
	refused         bool // deferred or forfeited here
}

// New starts both, each with terms of its own.
func New(current, shadow *logic.Config, now int64) (*Engine, error) {
	currentBalancer, err := logic.New(current, now)
	if err != nil {
		return nil, err
	}
	shadowBalancer, err := logic.New(shadow, now)
	if err != nil {
		return nil, err
	}
	return &Engine{current: currentBalancer, shadow: shadowBalancer, pairs: map[*logic.Transaction]*pair{}, wakeAt: [2]int64{math.MaxInt64, math.MaxInt64}}, nil
}

// Counts takes the counts and starts new ones.
func (e *Engine) Counts() Counts {
	c := e.counts
	e.counts = Counts{}
	return c
}

// Known implements desk.Module, as do the methods below.
func (e *Engine) Known(i int) bool { return e.current.Known(i) }

func (e *Engine) Join() int {
	i, j := e.current.Join(), e.shadow.Join()
	for len(e.shadowIndex) <= i {
		e.shadowIndex = append(e.shadowIndex, 0)
	}
	for len(e.currentIndex) <= j {
		e.currentIndex = append(e.currentIndex, 0)
	}
	e.shadowIndex[i], e.currentIndex[j] = j, i
	return i
}

func (e *Engine) List(i int, u logic.Upstream, now int64) {
	e.current.List(i, u, now)
	e.shadow.List(e.shadowIndex[i], u, now)
}

func (e *Engine) Drain(i int) {
	e.current.Drain(i)
	e.shadow.Drain(e.shadowIndex[i])
}

func (e *Engine) Leave(i int) {
	e.current.Leave(i)
	e.shadow.Leave(e.shadowIndex[i])
}

func (e *Engine) Listed(ok bool, now int64) {
	e.current.Listed(ok, now)
	e.shadow.Listed(ok, now)
}

func (e *Engine) PeerReport(peer int, raw []byte, now int64) { e.shadow.PeerReport(peer, raw, now) }

func (e *Engine) Arrive(t *logic.Transaction, tariff, customer int, work, left int64, resent bool, now int64) {
	p := &pair{current: t}
	p.shadow.UserData, p.shadow.SendOnce, p.shadow.BodyPending = p, t.SendOnce, t.BodyPending
	e.pairs[t] = p
	e.current.Arrive(t, tariff, customer, work, left, resent, now)
	e.shadow.Arrive(&p.shadow, tariff, customer, work, left, resent, now)
}

func (e *Engine) BodyReceived(t *logic.Transaction, left, now int64) {
	e.current.BodyReceived(t, left, now)
	if p := e.pairs[t]; p != nil {
		e.shadow.BodyReceived(&p.shadow, left, now)
	}
}

// Reconfigure is not taken while shapes are compared: what the two would have done apart could not be told any more.
func (e *Engine) Reconfigure(*logic.Config, int64) error {
	return errors.New("watch: other terms are not taken while it is on")
}

func (e *Engine) UpstreamCounts() (listed, avoided int) { return e.current.UpstreamCounts() }

func (e *Engine) Stats() logic.Stats { return e.current.Stats() }

func (e *Engine) TakeEvents(take func(logic.EjectionEvent)) { e.current.TakeEvents(take) }

func (e *Engine) Outcome(t *logic.Transaction, n int, r logic.Result, took int64, final bool, now int64) {
	e.current.Outcome(t, n, r, took, final, now)
	if p := e.pairs[t]; p != nil {
		if n < p.compared {
			e.shadow.Outcome(&p.shadow, n, r, took, final, now)
		}
		e.settleShadow(p, now)
	}
}

func (e *Engine) ClientGone(t *logic.Transaction) {
	e.current.ClientGone(t)
	if p := e.pairs[t]; p != nil {
		e.settleShadow(p, e.now)
	}
}

// settleShadow ends a transaction at the other once it has ended here, and forgets it once nothing of it is out.
func (e *Engine) settleShadow(p *pair, now int64) {
	if !p.current.Answered() {
		return
	}
	e.shadow.ClientGone(&p.shadow)
	for n := p.compared; n < p.shadow.AttemptCount(); n++ { // what only the other sent
		e.shadow.Outcome(&p.shadow, n, logic.Unsent, 0, true, now)
	}
	if p.current.Closed() {
		delete(e.pairs, p.current)
	}
}

func (e *Engine) ProbeResult(i int, ok bool) { e.current.ProbeResult(i, ok) }

// Round has both decide and compares.
func (e *Engine) Round(now int64, w logic.Writer) {
	e.writer, e.now = w, now
	e.current.Round(now, currentWriter{e})
	e.shadow.Round(now, shadowWriter{e})
	for _, p := range e.roundPairs {
		p.queued = false
		e.compare(p)
	}
	e.roundPairs = e.roundPairs[:0]
	for _, j := range e.shadowProbes { // it isn't sent a probe of its own: it returns as where none are allowed
		e.shadow.ProbeResult(j, true)
	}
	e.shadowProbes = e.shadowProbes[:0]
	for k := range e.wakeAt {
		if e.wakeAt[k] <= now {
			e.wakeAt[k] = math.MaxInt64
		}
	}
	if at := min(e.wakeAt[0], e.wakeAt[1]); at != math.MaxInt64 {
		w.Wake(at)
	}
	e.writer = nil
}

// compare looks at one transaction at the end of a round in which either decided on it.
func (e *Engine) compare(p *pair) {
	// What both have sent: it went where it went here.
	for ; p.compared < min(p.current.AttemptCount(), p.shadow.AttemptCount()); p.compared++ {
		upstream := e.shadowIndex[p.current.Upstream(p.compared)]
		if p.compared == 0 {
			e.counts.Compared++
			if p.shadow.Upstream(0) != upstream {
				e.counts.OtherUpstream++
			}
		}
		e.shadow.SetUpstream(&p.shadow, p.compared, upstream)
	}
	current, shadow := p.current.AttemptCount(), p.shadow.AttemptCount()
	switch {
	case current > 0 && shadow == 0:
		countOnce(&p.countedLater, &e.counts.Later)
	case current == 0 && shadow > 0 && !p.current.Answered():
		countOnce(&p.countedEarlier, &e.counts.Earlier)
	case current > shadow:
		countOnce(&p.countedAttempts, &e.counts.FewerAttempts)
	case shadow > current && current > 0:
		countOnce(&p.countedAttempts, &e.counts.MoreAttempts)
	}
	if p.refused && !p.shadow.Answered() {
		countOnce(&p.countedEnding, &e.counts.OpenInShadow)
	} else if p.shadow.Answered() && !p.current.Answered() && shadow > 0 {
		countOnce(&p.countedEnding, &e.counts.EndedInShadow)
	}
	e.settleShadow(p, e.now)
}

// countOnce counts a transaction once.
func countOnce(done *bool, n *int) {
	if !*done {
		*done = true
		*n++
	}
}

func (e *Engine) addToRound(p *pair) {
	if p != nil && !p.queued {
		p.queued = true
		e.roundPairs = append(e.roundPairs, p)
	}
}

// currentWriter passes on what is decided, and takes note.
type currentWriter struct{ *Engine }

func (w currentWriter) HasIdleConn(i int) bool { return w.writer.HasIdleConn(i) }
func (w currentWriter) Send(t *logic.Transaction, i int, until int64) {
	w.addToRound(w.pairs[t])
	w.writer.Send(t, i, until)
}
func (w currentWriter) Cancel(t *logic.Transaction, n int) { w.writer.Cancel(t, n) }
func (w currentWriter) Defer(t *logic.Transaction, why logic.Reason, backoff int64) {
	w.markRefused(t)
	w.writer.Defer(t, why, backoff)
}
func (w currentWriter) Forfeit(t *logic.Transaction, why logic.Reason) {
	w.markRefused(t)
	w.writer.Forfeit(t, why)
}
func (w currentWriter) markRefused(t *logic.Transaction) {
	if p := w.pairs[t]; p != nil {
		p.refused = true
		w.addToRound(p)
	}
}
func (w currentWriter) Probe(i int)            { w.writer.Probe(i) }
func (w currentWriter) SendReport(int, []byte) {}
func (w currentWriter) Follow()                { w.writer.Follow() }
func (w currentWriter) Wake(at int64)          { w.wakeAt[0] = at }
func (w currentWriter) Note(text string)       { w.writer.Note(text) }

// shadowWriter takes note of what the other would have done. None of it is done.
type shadowWriter struct{ *Engine }

func (w shadowWriter) HasIdleConn(j int) bool                    { return w.writer.HasIdleConn(w.currentIndex[j]) }
func (w shadowWriter) Send(t *logic.Transaction, _ int, _ int64) { w.addToRound(t.UserData.(*pair)) }
func (w shadowWriter) Cancel(*logic.Transaction, int)            {}
func (w shadowWriter) Defer(t *logic.Transaction, _ logic.Reason, _ int64) {
	w.addToRound(t.UserData.(*pair))
}
func (w shadowWriter) Forfeit(t *logic.Transaction, _ logic.Reason) { w.addToRound(t.UserData.(*pair)) }
func (w shadowWriter) Probe(j int)                                  { w.shadowProbes = append(w.shadowProbes, j) }
func (w shadowWriter) SendReport(peer int, raw []byte)              { w.writer.SendReport(peer, raw) }
func (w shadowWriter) Follow()                                      {} // the list is followed here
func (w shadowWriter) Wake(at int64)                                { w.wakeAt[1] = at }
func (w shadowWriter) Note(string)                                  {}
