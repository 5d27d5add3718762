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
	Compared  int // first pushes that both sent
	Elsewhere int // of these, to another upstream
	Waiting   int // sent, where the other had it wait or had turned it away
	Sooner    int // not sent yet, where the other had sent it
	Copies    int // not sent again, where the other would have
	Fewer     int // sent again, where the other had not
	GivenUp   int // ended by the other while it went on here
	Kept      int // deferred or forfeited here, where the other went on
}

// Add adds another's.
func (c *Counts) Add(o Counts) {
	c.Compared, c.Elsewhere = c.Compared+o.Compared, c.Elsewhere+o.Elsewhere
	c.Waiting, c.Sooner = c.Waiting+o.Waiting, c.Sooner+o.Sooner
	c.Copies, c.Fewer = c.Copies+o.Copies, c.Fewer+o.Fewer
	c.GivenUp, c.Kept = c.GivenUp+o.GivenUp, c.Kept+o.Kept
}

// Module is both balancers.
type Module struct {
	before, after *logic.Balancer
	to, back      []int // index at the other, and back from there
	cases         map[*logic.Transaction]*pair
	round         []*pair // with a decision in this round
	counts        Counts
	probes        []int // that the other asked for
	w             logic.Writer
	now           int64
	wakes         [2]int64
}

// pair is one transaction as both have it.
type pair struct {
	t      *logic.Transaction
	other  logic.Transaction
	queued bool
	sent   int  // of its pushes, compared
	sooner bool // counted, as are the next three
	copied bool
	waited bool
	ended  bool
	refuse bool // deferred or forfeited here
}

// New starts both, each with terms of its own.
func New(before, after *logic.Config, now int64) (*Module, error) {
	b, err := logic.New(before, now)
	if err != nil {
		return nil, err
	}
	a, err := logic.New(after, now)
	if err != nil {
		return nil, err
	}
	return &Module{before: b, after: a, cases: map[*logic.Transaction]*pair{}, wakes: [2]int64{math.MaxInt64, math.MaxInt64}}, nil
}

// Counts takes the counts and starts new ones.
func (m *Module) Counts() Counts {
	c := m.counts
	m.counts = Counts{}
	return c
}

// Known implements desk.Module, as do the methods below.
func (m *Module) Known(i int) bool { return m.before.Known(i) }

func (m *Module) Join() int {
	i, j := m.before.Join(), m.after.Join()
	for len(m.to) <= i {
		m.to = append(m.to, 0)
	}
	for len(m.back) <= j {
		m.back = append(m.back, 0)
	}
	m.to[i], m.back[j] = j, i
	return i
}

func (m *Module) List(i int, u logic.Upstream, now int64) {
	m.before.List(i, u, now)
	m.after.List(m.to[i], u, now)
}

func (m *Module) Drain(i int) {
	m.before.Drain(i)
	m.after.Drain(m.to[i])
}

func (m *Module) Leave(i int) {
	m.before.Leave(i)
	m.after.Leave(m.to[i])
}

func (m *Module) Listed(ok bool, now int64) {
	m.before.Listed(ok, now)
	m.after.Listed(ok, now)
}

func (m *Module) PeerReport(peer int, raw []byte, now int64) { m.after.PeerReport(peer, raw, now) }

func (m *Module) Arrive(t *logic.Transaction, tariff, customer int, work, left int64, again bool, now int64) {
	p := &pair{t: t}
	p.other.UserData, p.other.SendOnce, p.other.BodyPending = p, t.SendOnce, t.BodyPending
	m.cases[t] = p
	m.before.Arrive(t, tariff, customer, work, left, again, now)
	m.after.Arrive(&p.other, tariff, customer, work, left, again, now)
}

func (m *Module) BodyReceived(t *logic.Transaction, left, now int64) {
	m.before.BodyReceived(t, left, now)
	if p := m.cases[t]; p != nil {
		m.after.BodyReceived(&p.other, left, now)
	}
}

// Reconfigure is not taken while shapes are compared: what the two would have done apart could not be told any more.
func (m *Module) Reconfigure(*logic.Config, int64) error {
	return errors.New("watch: other terms are not taken while it is on")
}

func (m *Module) UpstreamCounts() (listed, avoided int) { return m.before.UpstreamCounts() }

func (m *Module) Stats() logic.Stats { return m.before.Stats() }

func (m *Module) TakeEvents(take func(logic.EjectionEvent)) { m.before.TakeEvents(take) }

func (m *Module) Outcome(t *logic.Transaction, n int, r logic.Result, took int64, final bool, now int64) {
	m.before.Outcome(t, n, r, took, final, now)
	if p := m.cases[t]; p != nil {
		if n < p.sent {
			m.after.Outcome(&p.other, n, r, took, final, now)
		}
		m.settle(p, now)
	}
}

func (m *Module) ClientGone(t *logic.Transaction) {
	m.before.ClientGone(t)
	if p := m.cases[t]; p != nil {
		m.settle(p, m.now)
	}
}

// settle ends a transaction at the other once it has ended here, and forgets it once nothing of it is out.
func (m *Module) settle(p *pair, now int64) {
	if !p.t.Answered() {
		return
	}
	m.after.ClientGone(&p.other)
	for n := p.sent; n < p.other.AttemptCount(); n++ { // what only the other sent
		m.after.Outcome(&p.other, n, logic.Unsent, 0, true, now)
	}
	if p.t.Closed() {
		delete(m.cases, p.t)
	}
}

func (m *Module) ProbeResult(i int, ok bool) { m.before.ProbeResult(i, ok) }

// Round has both decide and compares.
func (m *Module) Round(now int64, w logic.Writer) {
	m.w, m.now = w, now
	m.before.Round(now, here{m})
	m.after.Round(now, there{m})
	for _, p := range m.round {
		p.queued = false
		m.compare(p)
	}
	m.round = m.round[:0]
	for _, j := range m.probes { // it isn't sent a probe of its own: it returns as where none are allowed
		m.after.ProbeResult(j, true)
	}
	m.probes = m.probes[:0]
	for k := range m.wakes {
		if m.wakes[k] <= now {
			m.wakes[k] = math.MaxInt64
		}
	}
	if at := min(m.wakes[0], m.wakes[1]); at != math.MaxInt64 {
		w.Wake(at)
	}
	m.w = nil
}

// compare looks at one transaction at the end of a round in which either decided on it.
func (m *Module) compare(p *pair) {
	// What both have sent: it went where it went here.
	for ; p.sent < min(p.t.AttemptCount(), p.other.AttemptCount()); p.sent++ {
		real := m.to[p.t.Upstream(p.sent)]
		if p.sent == 0 {
			m.counts.Compared++
			if p.other.Upstream(0) != real {
				m.counts.Elsewhere++
			}
		}
		m.after.SetUpstream(&p.other, p.sent, real)
	}
	mine, others := p.t.AttemptCount(), p.other.AttemptCount()
	switch {
	case mine > 0 && others == 0:
		count(&p.waited, &m.counts.Waiting)
	case mine == 0 && others > 0 && !p.t.Answered():
		count(&p.sooner, &m.counts.Sooner)
	case mine > others:
		count(&p.copied, &m.counts.Fewer)
	case others > mine && mine > 0:
		count(&p.copied, &m.counts.Copies)
	}
	if p.refuse && !p.other.Answered() {
		count(&p.ended, &m.counts.Kept)
	} else if p.other.Answered() && !p.t.Answered() && others > 0 {
		count(&p.ended, &m.counts.GivenUp)
	}
	m.settle(p, m.now)
}

// count counts a transaction once.
func count(done *bool, n *int) {
	if !*done {
		*done = true
		*n++
	}
}

func (m *Module) queue(p *pair) {
	if p != nil && !p.queued {
		p.queued = true
		m.round = append(m.round, p)
	}
}

// here passes on what is decided, and takes note.
type here struct{ *Module }

func (h here) HasIdleConn(i int) bool { return h.w.HasIdleConn(i) }
func (h here) Send(t *logic.Transaction, i int, until int64) {
	h.queue(h.cases[t])
	h.w.Send(t, i, until)
}
func (h here) Cancel(t *logic.Transaction, n int) { h.w.Cancel(t, n) }
func (h here) Defer(t *logic.Transaction, why logic.Reason, backoff int64) {
	h.refused(t)
	h.w.Defer(t, why, backoff)
}
func (h here) Forfeit(t *logic.Transaction, why logic.Reason) {
	h.refused(t)
	h.w.Forfeit(t, why)
}
func (h here) refused(t *logic.Transaction) {
	if p := h.cases[t]; p != nil {
		p.refuse = true
		h.queue(p)
	}
}
func (h here) Probe(i int)            { h.w.Probe(i) }
func (h here) SendReport(int, []byte) {}
func (h here) Follow()                { h.w.Follow() }
func (h here) Wake(at int64)          { h.wakes[0] = at }
func (h here) Note(text string)       { h.w.Note(text) }

// there takes note of what the other would have done. None of it is done.
type there struct{ *Module }

func (o there) HasIdleConn(j int) bool                              { return o.w.HasIdleConn(o.back[j]) }
func (o there) Send(t *logic.Transaction, _ int, _ int64)           { o.queue(t.UserData.(*pair)) }
func (o there) Cancel(*logic.Transaction, int)                      {}
func (o there) Defer(t *logic.Transaction, _ logic.Reason, _ int64) { o.queue(t.UserData.(*pair)) }
func (o there) Forfeit(t *logic.Transaction, _ logic.Reason)        { o.queue(t.UserData.(*pair)) }
func (o there) Probe(j int)                                         { o.probes = append(o.probes, j) }
func (o there) SendReport(peer int, raw []byte)                     { o.w.SendReport(peer, raw) }
func (o there) Follow()                                             {} // the list is followed here
func (o there) Wake(at int64)                                       { o.wakes[1] = at }
func (o there) Note(string)                                         {}
