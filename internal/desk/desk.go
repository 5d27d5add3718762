// Package desk is the sole owner of the module's Balancer in a real balancer. It is where the doors (transactions,
// the list, probes) meet the decisions: each call takes the lock, tells the module what happened, has it decide,
// and lets go. Decisions leave by channels with room for them, so nothing under the lock ever waits.
package desk

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/figures"
	"ottershift/internal/roster"
	"ottershift/internal/terms"
	"ottershift/internal/watch"
	"ottershift/logic"
)

// The endings of a transaction.
const (
	Settled   = figures.Settled
	Deferred  = figures.Deferred
	Forfeited = figures.Forfeited
	Rejected  = figures.Rejected
)

// Answer is the one final answer of a transaction.
type Answer struct {
	Ending  figures.Ending
	Attempt int           // whose reply settled or rejected it
	Backoff time.Duration // advice to a deferred client, 0 for none
}

// Attempt is the order to send a transaction to an upstream. Its context ends when the push is called off or its
// time is up; who carries the push gives it back by Outcome, always once.
type Attempt struct {
	Context  context.Context
	Number   int
	Place    roster.Place
	Deadline time.Time
	Name     string // of its upstream, as are zone and cell
	Zone     string
	Cell     int

	cancel context.CancelCauseFunc
	timer  *time.Timer // which ends it at its time
	sentAt int64
}

// Probe is the order to probe an upstream; who carries it out tells by Probed how it ended.
type Probe struct {
	Upstream int
	Place    roster.Place
}

// Handle is a transaction in the hands of a door.
type Handle struct {
	Attempts <-chan *Attempt
	Answer   <-chan Answer

	tx        logic.Transaction
	attempts  chan *Attempt
	answer    chan Answer
	sent      []*Attempt
	pending   int // of them, without an outcome
	class     *figures.Class
	done      bool // has its answer, or its client is gone
	streaming bool // its answer has begun and goes on without the module
}

// Arrival is a transaction as a door takes it in.
type Arrival struct {
	Config       *logic.Config // that its tariff and customer are numbers of; nil for those in force
	Tariff       int
	Customer     int
	Timeout      time.Duration
	ClientRetry  bool
	BodyPending  bool      // its last byte has yet to come, and what goes out of it can't be sent a second time
	DelaySend    bool      // its pushes leave once Left says so
	PriorAttempt *Location // where another try of it may have run, nil for nowhere
}

// Location is a group of upstreams, as lists name it.
type Location struct {
	Zone string
	Cell int
}

const never = 1 << 62 // no clock gets there

// Engine decides: a Balancer, or what the lab sets in its place to compare it with.
type Engine interface {
	roster.Module
	Arrive(t *logic.Transaction, tariff, customer int, work, left int64, again bool, now int64)
	BodyReceived(t *logic.Transaction, left, now int64)
	Outcome(t *logic.Transaction, n int, r logic.Result, took int64, final bool, now int64)
	ClientGone(t *logic.Transaction)
	ProbeResult(i int, ok bool)
	PeerReport(peer int, raw []byte, now int64)
	Round(now int64, w logic.Writer)
}

// inspector is a module that tells what it makes of things. Nothing is decided by it.
type inspector interface {
	Stats() logic.Stats
	TakeEvents(take func(logic.EjectionEvent))
}

// EngineFactory starts a module.
type EngineFactory func(terms *logic.Config, now int64) (Engine, error)

// NewBalancer is the module of this project, the only one that serves.
func NewBalancer(terms *logic.Config, now int64) (Engine, error) { return logic.New(terms, now) }

const maxBodyTime = time.Hour // for a transaction's last byte; its door bounds how slow it may be

// Dispatcher serialises all that is said to one Balancer. Its lock's order settles races.
type Dispatcher struct {
	mu            sync.Mutex
	log           *slog.Logger
	engine        Engine
	roster        *roster.Roster[string]
	epoch         time.Time // with its monotonic reading, from which all times are taken
	wake          *time.Timer
	attemptBuffer atomic.Int64 // pushes that a case's channel holds
	open          map[*Handle]struct{}
	closed        bool
	counters      Counters
	metrics       *figures.Pool
	book          *terms.Book                // in force
	sendReport    func(peer int, raw []byte) // to another balancer; nil if there is no way
	inspector     inspector                  // what the module makes of things; nil if it doesn't tell
	watch         *watch.Module              // if what a newer shape would have changed is counted

	follow chan struct{}
	probes chan Probe
}

// New starts the module.
func New(book *terms.Book, metrics *figures.Pool, log *slog.Logger, newEngine EngineFactory) (*Dispatcher, error) {
	d := &Dispatcher{
		log: log, metrics: metrics, book: book, epoch: time.Now(), follow: make(chan struct{}, 1), probes: make(chan Probe, 256),
		open: map[*Handle]struct{}{},
	}
	d.attemptBuffer.Store(min(maxAttempts(book.Terms), 64))
	var engine Engine
	var err error
	if book.Watch {
		d.watch, err = watch.New(book.Before().Terms, book.Terms, d.now())
		engine = d.watch
	} else {
		engine, err = newEngine(book.Terms, d.now())
	}
	if err != nil {
		return nil, err
	}
	d.inspector, _ = engine.(inspector)
	d.engine, d.roster = engine, roster.New[string](engine, book.Zones)
	d.attachClasses(book)
	d.wake = time.AfterFunc(time.Hour, func() { d.update(func(int64) {}) }) // the module sets the time
	return d, nil
}

// now is the time in Unix nanoseconds, and never runs backwards.
func (d *Dispatcher) now() int64 { return d.epoch.UnixNano() + int64(time.Since(d.epoch)) }

// update is the one way to the module. Danger: a panic of the module would end the process, and with it all that
// is open; it is logged, and reported to whom it concerns.
func (d *Dispatcher) update(apply func(now int64)) (ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer func() {
		if fault := recover(); fault != nil {
			d.log.Error("panic", "where", "module", "fault", fault, "stack", string(debug.Stack()))
		}
	}()
	now := d.now()
	apply(now)
	d.engine.Round(now, writer{d})
	if d.inspector != nil {
		d.inspector.TakeEvents(d.logEvent)
	}
	return true
}

// logEvent logs that an upstream was set aside or taken back, and why.
func (d *Dispatcher) logEvent(event logic.EjectionEvent) {
	if event.Reinstated {
		d.log.Info("upstream", "step", "back", "upstream", d.roster.Name(event.Upstream), "cold", event.Cold)
	} else {
		d.log.Info("upstream", "step", "aside", "upstream", d.roster.Name(event.Upstream), "why", event.Cause)
	}
}

// Probes are the orders to probe.
func (d *Dispatcher) Probes() <-chan Probe { return d.probes }

// Follow tells when the module wants the list followed.
func (d *Dispatcher) Follow() <-chan struct{} { return d.follow }

// List takes a report of the list, and tells what has changed by it.
func (d *Dispatcher) List(entries []roster.Entry[string], whole bool) (c roster.Change) {
	d.update(func(now int64) { c = d.roster.Apply(entries, whole, now) })
	return c
}

// Entries is the list as it stands.
func (d *Dispatcher) Entries() []roster.Entry[string] {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Entries()
}

// Unlisted says that the list could not be had, or that following it has ended.
func (d *Dispatcher) Unlisted() {
	d.update(func(now int64) { d.engine.Listed(false, now) })
}

// SetReportSender has what the module says to other balancers carried.
func (d *Dispatcher) SetReportSender(send func(peer int, raw []byte)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sendReport = send
}

// PeerReport hands on what another balancer says.
func (d *Dispatcher) PeerReport(peer int, report []byte) {
	d.update(func(now int64) { d.engine.PeerReport(peer, report, now) })
}

// ProbeResult tells how a probe ended.
func (d *Dispatcher) ProbeResult(upstream int, ok bool) {
	d.update(func(int64) {
		if !ok {
			d.counters.ProbesFailed++
		}
		d.engine.ProbeResult(upstream, ok)
	})
}

// Arrive takes a transaction. Its answer will come; so will orders to push it.
func (d *Dispatcher) Arrive(a Arrival) *Handle {
	h := &Handle{attempts: make(chan *Attempt, d.attemptBuffer.Load()), answer: make(chan Answer, 1)}
	h.Attempts, h.Answer = h.attempts, h.answer
	h.tx.UserData, h.tx.Config, h.tx.SendOnce, h.tx.BodyPending = h, a.Config, a.BodyPending, a.BodyPending
	ok := d.update(func(now int64) {
		d.open[h] = struct{}{}
		d.counters.Arrived++
		d.metrics.Open.Add(1)
		h.class = d.class(a)
		if a.DelaySend {
			h.tx.EarliestSend = never
		}
		if a.PriorAttempt != nil {
			h.tx.PriorAttempt = &logic.Location{Zone: d.roster.Zone(a.PriorAttempt.Zone), Cell: a.PriorAttempt.Cell}
		}
		// How much work it is by itself nobody tells, so no contract time is stretched by that.
		d.engine.Arrive(&h.tx, a.Tariff, a.Customer, 0, int64(a.Timeout), a.ClientRetry, now)
		if d.closed {
			d.forfeit(h)
		}
	})
	if !ok { // the module may not know it at all
		d.mu.Lock()
		defer d.mu.Unlock()
		d.finish(h, Answer{Ending: Forfeited})
	}
	return h
}

// class is where an arrival's ending is counted.
func (d *Dispatcher) class(a Arrival) *figures.Class {
	config := a.Config
	if config == nil {
		config = d.book.Terms
	}
	return config.Tariffs[a.Tariff].UserData.(*figures.Class)
}

// BodyReceived says that the last byte of a transaction has come; left is what its client waits from now on.
func (d *Dispatcher) BodyReceived(h *Handle, timeout time.Duration) {
	d.update(func(now int64) {
		if h.done {
			return
		}
		d.engine.BodyReceived(&h.tx, int64(timeout), now)
		for _, p := range h.sent { // its time begins now
			if p.timer.Stop() {
				p.sentAt, p.Deadline = now, d.epoch.Add(time.Duration(now+int64(timeout)-d.epoch.UnixNano()))
				p.timer.Reset(timeout)
			}
		}
	})
}

// Outcome tells how a push ended. The first that settles or rejects its transaction makes the answer.
func (d *Dispatcher) Outcome(h *Handle, p *Attempt, r logic.Result) {
	p.timer.Stop()
	p.cancel(context.Canceled)
	d.update(func(now int64) {
		d.counters.Results[r]++
		h.pending--
		d.engine.Outcome(&h.tx, p.Number, r, now-p.sentAt, h.done || r.Final(), now)
		switch r {
		case logic.Settled:
			d.finish(h, Answer{Ending: Settled, Attempt: p.Number})
		case logic.Rejected:
			d.finish(h, Answer{Ending: Rejected, Attempt: p.Number})
		}
	})
}

// StreamStarted says that a push's answer has begun and is too long to be held. With it the push has settled its transaction,
// unless that has ended already: the module is done with it, its time is up no more, and Flowed tells how the rest
// went. Danger: without the module's knowledge a copy would go out after the client has had its first bytes.
func (d *Dispatcher) StreamStarted(h *Handle, p *Attempt) (won bool) {
	d.update(func(now int64) {
		if h.done || p.Context.Err() != nil || !p.timer.Stop() {
			return
		}
		won, h.streaming = true, true
		d.counters.Results[logic.Settled]++
		h.pending--
		d.engine.Outcome(&h.tx, p.Number, logic.Settled, now-p.sentAt, true, now)
		d.finish(h, Answer{Ending: Settled, Attempt: p.Number})
	})
	return won
}

// StreamEnded tells how an answer that flowed has ended.
func (d *Dispatcher) StreamEnded(h *Handle, p *Attempt, complete bool) {
	p.cancel(context.Canceled)
	d.metrics.Open.Add(-1)
	if complete {
		h.class.End(Settled)
	} else {
		h.class.End(Forfeited)
	}
}

// ClientGone says that the client is gone; after an answer it says nothing.
func (d *Dispatcher) ClientGone(h *Handle) {
	d.update(func(int64) {
		if !h.done {
			h.done = true
			d.counters.ClientsGone++
			d.metrics.Open.Add(-1)
			delete(d.open, h)
			d.engine.ClientGone(&h.tx)
		}
	})
}

// Sent says that a push of a transaction that waits has left.
func (d *Dispatcher) Sent(h *Handle, p *Attempt) {
	d.update(func(now int64) {
		p.sentAt = now
		if engine, can := d.engine.(interface {
			Sent(tx *logic.Transaction, n int, now int64)
		}); can {
			engine.Sent(&h.tx, p.Number, now)
		}
	})
}

// Withdraw takes back a transaction that has no answer, as if it had not come; nothing of it may be out, or leave any more.
// It may come again.
func (d *Dispatcher) Withdraw(h *Handle) (withdrawn bool) {
	d.update(func(int64) {
		if withdrawn = !h.done; withdrawn {
			h.done = true
			d.counters.Arrived--
			d.metrics.Open.Add(-1)
			delete(d.open, h)
			d.engine.ClientGone(&h.tx)
		}
	})
	return withdrawn
}

// CountDeferred counts a transaction that was deferred before the module knew of it.
func (d *Dispatcher) CountDeferred(a Arrival) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.Arrived++
	d.counters.DeferredAtEdge++
	d.class(a).End(Deferred)
}

// CountEnded counts a transaction that was answered otherwise before the module knew of it.
func (d *Dispatcher) CountEnded(a Arrival, ending figures.Ending) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.Arrived++
	d.class(a).End(ending)
}

// Reconfigure puts other terms in force, for what comes from now on; what is open keeps its own.
func (d *Dispatcher) Reconfigure(book *terms.Book) (err error) {
	ok := d.update(func(now int64) {
		engine, can := d.engine.(interface {
			Reconfigure(config *logic.Config, now int64) error
		})
		if !can {
			err = errors.New("the module takes no other terms in service")
			return
		}
		if d.book != nil { // under the module's lock: it goes on learning under the earlier book
			book.Keep(d.book)
		}
		book.Terms.Zone = d.roster.Zone(book.Zones[book.Terms.Zone]) // the list's numbers stay as they were
		if err = engine.Reconfigure(book.Terms, now); err == nil {
			d.attachClasses(book)
			d.book = book
			d.attemptBuffer.Store(min(max(maxAttempts(book.Terms), d.attemptBuffer.Load()), 64))
		}
	})
	if !ok {
		err = errors.New("the module fails at these terms")
	}
	return err
}

// attachClasses has the tariffs of a book counted, from now on.
func (d *Dispatcher) attachClasses(book *terms.Book) {
	names := make([]string, len(book.Terms.Tariffs))
	for name, n := range book.Tariffs {
		names[n] = name
	}
	for n, tariff := range book.Terms.Tariffs {
		tariff.UserData = d.metrics.Class(names[n])
	}
}

// SetProcesses says that so many processes are this balancer at present, this one included.
func (d *Dispatcher) SetProcesses(processes int) {
	d.update(func(now int64) {
		if engine, can := d.engine.(interface{ SetProcesses(n int) }); can {
			engine.SetProcesses(processes)
		}
	})
}

// UpstreamCounts is how many upstreams are listed, and how many of them the module avoids now.
func (d *Dispatcher) UpstreamCounts() (listed, avoided int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if engine, can := d.engine.(interface{ UpstreamCounts() (listed, avoided int) }); can {
		return engine.UpstreamCounts()
	}
	return len(d.roster.Entries()), 0
}

// Counters is what has happened since the last one was taken.
type Counters struct {
	Arrived, ClientsGone int
	DeferredAtEdge       int                       // deferred before the module knew of them
	Ended                [2][logic.ReasonCount]int // deferred and forfeited by the module, by reason
	FirstSends           int                       // pushes
	Hedges, Retries      int
	Probes               int
	ProbesFailed         int                     // probes
	Results              [logic.Rejected + 1]int // of pushes
	Stats                logic.Stats
	Open                 int // transactions now
	Watched              watch.Counts
}

// Add adds another desk's.
func (c *Counters) Add(other Counters) {
	c.Watched.Add(other.Watched)
	c.Arrived, c.ClientsGone, c.DeferredAtEdge, c.Open = c.Arrived+other.Arrived, c.ClientsGone+other.ClientsGone, c.DeferredAtEdge+other.DeferredAtEdge, c.Open+other.Open
	c.Stats.Add(other.Stats)
	c.FirstSends, c.Hedges, c.Retries = c.FirstSends+other.FirstSends, c.Hedges+other.Hedges, c.Retries+other.Retries
	c.Probes, c.ProbesFailed = c.Probes+other.Probes, c.ProbesFailed+other.ProbesFailed
	for how := range c.Ended {
		for why, n := range other.Ended[how] {
			c.Ended[how][why] += n
		}
	}
	for i, n := range other.Results {
		c.Results[i] += n
	}
}

// TakeCounters takes the tally and starts a new one.
func (d *Dispatcher) TakeCounters() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counters
	c.Open = len(d.open)
	if d.watch != nil {
		c.Watched = d.watch.Counts()
	}
	if d.inspector != nil {
		c.Stats = d.inspector.Stats()
	}
	d.counters = Counters{}
	return c
}

// Close forfeits all that is still open and whatever comes after: the process is about to be killed, and an
// answer without a promise is better than none.
func (d *Dispatcher) Close() (ended int) {
	d.update(func(int64) {
		d.closed = true
		ended = len(d.open)
		for h := range d.open {
			d.forfeit(h)
		}
	})
	return ended
}

// Stop ends a desk at which nothing is open any more.
func (d *Dispatcher) Stop() {
	d.Close()
	d.wake.Stop()
}

// finish gives the answer, unless the case is over.
func (d *Dispatcher) finish(h *Handle, a Answer) {
	if h.done {
		return
	}
	h.done = true
	if !h.streaming {
		d.metrics.Open.Add(-1)
		if h.class != nil {
			h.class.End(a.Ending)
		}
	}
	delete(d.open, h)
	h.answer <- a // has room for the one
}

// forfeit ends a case that the module would go on with.
func (d *Dispatcher) forfeit(h *Handle) {
	d.finish(h, Answer{Ending: Forfeited})
	d.engine.ClientGone(&h.tx)
}

// writer takes the decisions of a round, under the lock.
type writer struct{ *Dispatcher }

// Send implements logic.Writer, as do the methods below.
func (w writer) Send(tx *logic.Transaction, upstream int, until int64) {
	h := tx.UserData.(*Handle)
	p := &Attempt{
		Number: len(h.sent), Place: w.roster.Place(upstream), sentAt: w.now(),
		Deadline: w.epoch.Add(time.Duration(until - w.epoch.UnixNano())),
	}
	p.Name = w.roster.Name(upstream)
	p.Zone, p.Cell = w.roster.Group(upstream)
	if tx.BodyPending {
		p.Deadline = time.Now().Add(maxBodyTime) // Whole sets it
	}
	p.Context, p.cancel = context.WithCancelCause(context.Background())
	p.timer = time.AfterFunc(time.Until(p.Deadline), func() { p.cancel(context.DeadlineExceeded) })
	switch {
	case len(h.sent) == 0:
		w.counters.FirstSends++
	case h.pending > 0:
		w.counters.Hedges++
	default:
		w.counters.Retries++
	}
	h.pending++
	h.sent = append(h.sent, p)
	select {
	case h.attempts <- p:
	default: // Danger: waiting here would stop every transaction; a push that finds no room never left
		go w.Outcome(h, p, logic.Unsent)
	}
}

// HasIdleConn asks the place itself: whoever owns the connections counts them there.
func (w writer) HasIdleConn(upstream int) bool { return w.roster.Place(upstream).Kept.Load() > 0 }

func (w writer) Cancel(tx *logic.Transaction, attempt int) {
	tx.UserData.(*Handle).sent[attempt].cancel(context.Canceled)
}

func (w writer) Defer(tx *logic.Transaction, reason logic.Reason, backoff int64) {
	w.counters.Ended[0][reason]++
	w.finish(tx.UserData.(*Handle), Answer{Ending: Deferred, Backoff: time.Duration(backoff)})
}

func (w writer) Forfeit(tx *logic.Transaction, reason logic.Reason) {
	w.counters.Ended[1][reason]++
	w.finish(tx.UserData.(*Handle), Answer{Ending: Forfeited})
}

func (w writer) Probe(upstream int) {
	w.counters.Probes++
	select {
	case w.probes <- Probe{upstream, w.roster.Place(upstream)}:
	default: // Danger: as with pushes; a probe that is never answered would hold its upstream for good
		go w.ProbeResult(upstream, false)
	}
}

func (w writer) Follow() {
	select {
	case w.follow <- struct{}{}:
	default: // asked already
	}
}

func (w writer) SendReport(peer int, report []byte) {
	if w.sendReport != nil {
		w.sendReport(peer, report)
	}
}

func (w writer) Wake(at int64) {
	if w.closed && len(w.open) == 0 {
		return // Danger: a timer that goes on holds all of a pool that is gone
	}
	w.wake.Reset(time.Duration(at - w.now()))
}

func (w writer) Note(text string) { w.log.Info("note", "text", text) }

// maxAttempts is how many a transaction may have at most.
func maxAttempts(t *logic.Config) int64 { return int64(t.MaxAttempts + t.FreeRefusals) }
