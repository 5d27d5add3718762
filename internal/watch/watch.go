// Package watch implements the shadow mode for new settings. One decision engine makes the decisions under the current
// settings, while a second one, the shadow, gets the same events under the new settings. Decisions in which the shadow
// differs are counted. Nothing that the shadow decides is carried out, except that its load reports are sent to its
// peers: they run in shadow mode as well, and would lack input otherwise.
package watch

import (
	"errors"
	"math"

	"ottershift/logic"
)

// Counts counts the decisions in which the shadow differs. All fields count transactions.
type Counts struct {
	Compared      int // both made a first attempt
	OtherUpstream int // of Compared, the shadow chose another upstream
	Later         int // sent, while the shadow queued, deferred or forfeited it
	Earlier       int // not sent yet, while the shadow had sent it
	MoreAttempts  int // the shadow made more attempts
	FewerAttempts int // the shadow made fewer attempts
	EndedInShadow int // ended by the shadow, but still open here
	OpenInShadow  int // deferred or forfeited here, but still open in the shadow
}

// Add adds other to c.
func (c *Counts) Add(other Counts) {
	c.Compared, c.OtherUpstream = c.Compared+other.Compared, c.OtherUpstream+other.OtherUpstream
	c.Later, c.Earlier = c.Later+other.Later, c.Earlier+other.Earlier
	c.MoreAttempts, c.FewerAttempts = c.MoreAttempts+other.MoreAttempts, c.FewerAttempts+other.FewerAttempts
	c.EndedInShadow, c.OpenInShadow = c.EndedInShadow+other.EndedInShadow, c.OpenInShadow+other.OpenInShadow
}

// Engine is a decision engine that consists of the current one and its shadow.
type Engine struct {
	current, shadow           *logic.Balancer
	shadowIndex, currentIndex []int // index of an upstream in the shadow by the one in current, and the reverse
	pairs                     map[*logic.Transaction]*pair
	roundPairs                []*pair // those with a decision in this round
	counts                    Counts
	shadowProbes              []int // upstreams to which the shadow wants to send a probe
	writer                    logic.Writer
	now                       int64
	wakeAt                    [2]int64
}

// pair is a transaction and its counterpart in the shadow.
type pair struct {
	current         *logic.Transaction
	shadow          logic.Transaction
	inRound         bool
	compared        int  // attempts compared so far
	countedEarlier  bool // set once the transaction has been counted, as are the next three
	countedAttempts bool
	countedLater    bool
	countedEnding   bool
	refused         bool // deferred or forfeited by the current engine
}

// New returns an Engine that decides by the settings current and evaluates the settings shadow.
func New(current, shadow *logic.Config, now int64) (*Engine, error) {
	currentBalancer, err := logic.New(current, now)
	if err != nil {
		return nil, err
	}
	shadowBalancer, err := logic.New(shadow, now)
	if err != nil {
		return nil, err
	}
	return &Engine{
		current: currentBalancer, shadow: shadowBalancer, pairs: map[*logic.Transaction]*pair{},
		wakeAt: [2]int64{math.MaxInt64, math.MaxInt64},
	}, nil
}

// Counts returns the counts since its last call and resets them.
func (e *Engine) Counts() Counts {
	counts := e.counts
	e.counts = Counts{}
	return counts
}

// Known reports whether the upstream with index i is listed.
func (e *Engine) Known(i int) bool { return e.current.Known(i) }

// Join adds an upstream to both engines and returns its index in the current one.
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

// List updates an upstream in both engines.
func (e *Engine) List(i int, u logic.Upstream, now int64) {
	e.current.List(i, u, now)
	e.shadow.List(e.shadowIndex[i], u, now)
}

// Drain marks an upstream as draining in both engines.
func (e *Engine) Drain(i int) {
	e.current.Drain(i)
	e.shadow.Drain(e.shadowIndex[i])
}

// Leave removes an upstream from both engines.
func (e *Engine) Leave(i int) {
	e.current.Leave(i)
	e.shadow.Leave(e.shadowIndex[i])
}

// Listed reports whether the list could be read.
func (e *Engine) Listed(ok bool, now int64) {
	e.current.Listed(ok, now)
	e.shadow.Listed(ok, now)
}

// PeerReport passes a load report of another balancer to the shadow. The current engine has no peers.
func (e *Engine) PeerReport(peer int, raw []byte, now int64) { e.shadow.PeerReport(peer, raw, now) }

// Arrive adds a transaction to both engines.
func (e *Engine) Arrive(t *logic.Transaction, tariff, customer int, work, left int64, resent bool, now int64) {
	p := &pair{current: t}
	p.shadow.UserData, p.shadow.SendOnce, p.shadow.BodyPending = p, t.SendOnce, t.BodyPending
	e.pairs[t] = p
	e.current.Arrive(t, tariff, customer, work, left, resent, now)
	e.shadow.Arrive(&p.shadow, tariff, customer, work, left, resent, now)
}

// BodyReceived reports to both engines that the body of a transaction is complete.
func (e *Engine) BodyReceived(t *logic.Transaction, left, now int64) {
	e.current.BodyReceived(t, left, now)
	if p := e.pairs[t]; p != nil {
		e.shadow.BodyReceived(&p.shadow, left, now)
	}
}

// Reconfigure always fails, since the decisions of the two engines could no longer be compared after a change.
func (e *Engine) Reconfigure(*logic.Config, int64) error {
	return errors.New("watch: settings cannot be changed in shadow mode")
}

// UpstreamCounts returns the counts of the current engine.
func (e *Engine) UpstreamCounts() (listed, avoided int) { return e.current.UpstreamCounts() }

// Stats returns the statistics of the current engine.
func (e *Engine) Stats() logic.Stats { return e.current.Stats() }

// TakeEvents passes on the ejection events of the current engine.
func (e *Engine) TakeEvents(take func(logic.EjectionEvent)) { e.current.TakeEvents(take) }

// Outcome reports the result of an attempt to the current engine, and to the shadow if it made that attempt too.
func (e *Engine) Outcome(t *logic.Transaction, attempt int, result logic.Result, took int64, final bool, now int64) {
	e.current.Outcome(t, attempt, result, took, final, now)
	if p := e.pairs[t]; p != nil {
		if attempt < p.compared {
			e.shadow.Outcome(&p.shadow, attempt, result, took, final, now)
		}
		e.settleShadow(p, now)
	}
}

// ClientGone reports that the client has disconnected.
func (e *Engine) ClientGone(t *logic.Transaction) {
	e.current.ClientGone(t)
	if p := e.pairs[t]; p != nil {
		e.settleShadow(p, e.now)
	}
}

// settleShadow ends a transaction in the shadow once it has ended in the current engine, and removes it once it has no
// open attempts.
func (e *Engine) settleShadow(p *pair, now int64) {
	if !p.current.Answered() {
		return
	}
	e.shadow.ClientGone(&p.shadow)
	for n := p.compared; n < p.shadow.AttemptCount(); n++ { // attempts that only the shadow made
		e.shadow.Outcome(&p.shadow, n, logic.Unsent, 0, true, now)
	}
	if p.current.Closed() {
		delete(e.pairs, p.current)
	}
}

// ProbeResult reports the result of a probe to the current engine.
func (e *Engine) ProbeResult(i int, ok bool) { e.current.ProbeResult(i, ok) }

// Round lets both engines decide and compares their decisions.
func (e *Engine) Round(now int64, w logic.Writer) {
	e.writer, e.now = w, now
	e.current.Round(now, currentWriter{e})
	e.shadow.Round(now, shadowWriter{e})
	for _, p := range e.roundPairs {
		p.inRound = false
		e.compare(p)
	}
	e.roundPairs = e.roundPairs[:0]
	for _, j := range e.shadowProbes { // not sent, counted as successful as with probes disabled
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

// compare counts the differences in one transaction, at the end of a round in which one of the engines decided on it.
func (e *Engine) compare(p *pair) {
	// Attempts that both made are assigned to the actual upstream in the shadow as well.
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

// countOnce increments n unless done is set, and sets done.
func countOnce(done *bool, n *int) {
	if !*done {
		*done = true
		*n++
	}
}

// addToRound has a transaction compared at the end of the round.
func (e *Engine) addToRound(p *pair) {
	if p != nil && !p.inRound {
		p.inRound = true
		e.roundPairs = append(e.roundPairs, p)
	}
}

// currentWriter carries out the decisions of the current engine and records the affected transactions.
type currentWriter struct{ *Engine }

func (w currentWriter) HasIdleConn(i int) bool { return w.writer.HasIdleConn(i) }
func (w currentWriter) Send(t *logic.Transaction, i int, until int64) {
	w.addToRound(w.pairs[t])
	w.writer.Send(t, i, until)
}
func (w currentWriter) Cancel(t *logic.Transaction, n int) { w.writer.Cancel(t, n) }
func (w currentWriter) Defer(t *logic.Transaction, reason logic.Reason, backoff int64) {
	w.markRefused(t)
	w.writer.Defer(t, reason, backoff)
}
func (w currentWriter) Forfeit(t *logic.Transaction, reason logic.Reason) {
	w.markRefused(t)
	w.writer.Forfeit(t, reason)
}

// markRefused records that a transaction is deferred or forfeited.
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

// shadowWriter records the transactions on which the shadow decides. It carries out nothing but sending load reports.
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
func (w shadowWriter) Follow()                                      {} // only the current engine subscribes to the list
func (w shadowWriter) Wake(at int64)                                { w.wakeAt[1] = at }
func (w shadowWriter) Note(string)                                  {}
