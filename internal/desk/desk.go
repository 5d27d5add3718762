// Package desk connects the front ends (transactions, the list of upstreams, probes) to the decision engine, of which
// a Dispatcher is the sole owner. Each call takes the lock, reports an event to the engine and runs a round of
// decisions. Decisions leave by buffered channels, so nothing blocks under the lock.
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

// The ways in which a transaction ends.
const (
	Settled   = figures.Settled
	Deferred  = figures.Deferred
	Forfeited = figures.Forfeited
	Rejected  = figures.Rejected
)

// Answer is the one final answer of a transaction.
type Answer struct {
	Ending  figures.Ending
	Attempt int           // number of the attempt that settled or rejected it
	Backoff time.Duration // how long a deferred client should wait, 0 for no advice
}

// Attempt is the order to send a transaction to an upstream. Its context ends when the attempt is cancelled or its
// deadline has passed. The receiver reports its result with Outcome exactly once.
type Attempt struct {
	Context  context.Context
	Number   int
	Place    roster.Endpoint
	Deadline time.Time
	Name     string // name, zone and cell of the upstream
	Zone     string
	Cell     int

	cancel context.CancelCauseFunc
	timer  *time.Timer // cancels the context at the deadline
	sentAt int64
}

// Probe is the order to probe an upstream. The receiver reports its result with ProbeResult.
type Probe struct {
	Upstream int
	Place    roster.Endpoint
}

// Handle gives a front end access to one transaction.
type Handle struct {
	Attempts <-chan *Attempt
	Answer   <-chan Answer

	tx        logic.Transaction
	attempts  chan *Attempt
	answer    chan Answer
	sent      []*Attempt
	pending   int // number of attempts without a result
	class     *figures.TariffCounter
	done      bool // has its answer, or the client has disconnected
	streaming bool // its answer is being streamed, without the engine
}

// Arrival describes a new transaction.
type Arrival struct {
	Config       *logic.Config // to which Tariff and Customer are indexes; nil for the current one
	Tariff       int
	Customer     int
	Timeout      time.Duration // how long the client still waits
	ClientRetry  bool
	BodyPending  bool      // its last byte has not arrived, and its body can be sent only once
	DelaySend    bool      // its attempts are sent only after a permission, as reported by Sent
	PriorAttempt *Location // where an earlier try may have run, nil for none
}

// Location is the zone and cell of an upstream, as named in the list.
type Location struct {
	Zone string
	Cell int
}

const never = 1 << 62 // a time that no clock reaches

// Engine makes the decisions: a logic.Balancer, or a substitute for comparisons in the lab.
type Engine interface {
	roster.Engine
	Arrive(tx *logic.Transaction, tariffIndex, customerIndex int, work, left int64, clientRetry bool, now int64)
	BodyReceived(tx *logic.Transaction, left, now int64)
	Outcome(tx *logic.Transaction, n int, r logic.Result, took int64, final bool, now int64)
	ClientGone(tx *logic.Transaction)
	ProbeResult(i int, ok bool)
	PeerReport(peer int, report []byte, now int64)
	Round(now int64, w logic.Writer)
}

// inspector is an engine that exposes its state for observation.
type inspector interface {
	Stats() logic.Stats
	TakeEvents(take func(logic.EjectionEvent))
}

// EngineFactory creates an engine.
type EngineFactory func(config *logic.Config, now int64) (Engine, error)

// NewBalancer is the EngineFactory of logic.Balancer, the only engine used in production.
func NewBalancer(config *logic.Config, now int64) (Engine, error) { return logic.New(config, now) }

const maxBodyTime = time.Hour // until the last byte of a body; the front end limits how slowly it may arrive

// Dispatcher serialises all events of one engine. Races are decided by the order in which they take the lock.
type Dispatcher struct {
	mu            sync.Mutex
	log           *slog.Logger
	engine        Engine
	roster        *roster.Roster[string]
	epoch         time.Time // with a monotonic reading, on which all times are based
	wake          *time.Timer
	attemptBuffer atomic.Int64 // capacity of the channel of attempts of a Handle
	open          map[*Handle]struct{}
	closed        bool
	counters      Counters
	metrics       *figures.Pool
	book          *terms.Settings            // the current settings
	sendReport    func(peer int, raw []byte) // to another balancer; nil if there is no transport
	inspector     inspector                  // nil if the engine has none
	watch         *watch.Engine              // set if live weights and peers are only evaluated in shadow mode

	follow chan struct{}
	probes chan Probe
}

// New returns a Dispatcher with a new engine.
func New(book *terms.Settings, metrics *figures.Pool, log *slog.Logger, newEngine EngineFactory) (*Dispatcher, error) {
	d := &Dispatcher{
		log: log, metrics: metrics, book: book, epoch: time.Now(),
		follow: make(chan struct{}, 1), probes: make(chan Probe, 256), open: map[*Handle]struct{}{},
	}
	d.attemptBuffer.Store(min(maxAttempts(book.Engine), 64))
	var engine Engine
	var err error
	if book.Shadow {
		d.watch, err = watch.New(book.WithoutLiveAndPeers().Engine, book.Engine, d.now())
		engine = d.watch
	} else {
		engine, err = newEngine(book.Engine, d.now())
	}
	if err != nil {
		return nil, err
	}
	d.inspector, _ = engine.(inspector)
	d.engine, d.roster = engine, roster.New[string](engine, book.Zones)
	d.attachClasses(book)
	d.wake = time.AfterFunc(time.Hour, func() { d.update(func(int64) {}) }) // the engine sets the time
	return d, nil
}

// now returns the time in Unix nanoseconds. It never runs backwards.
func (d *Dispatcher) now() int64 { return d.epoch.UnixNano() + int64(time.Since(d.epoch)) }

// update runs apply and a round of decisions under the lock; all calls of the engine go through it. A panic of the
// engine would end the process with all open transactions, so it is logged and reported to the caller as false.
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

// logEvent logs the ejection or reinstatement of an upstream.
func (d *Dispatcher) logEvent(event logic.EjectionEvent) {
	if event.Reinstated {
		d.log.Info("upstream", "step", "back", "upstream", d.roster.Name(event.Upstream), "cold", event.Cold)
	} else {
		d.log.Info("upstream", "step", "aside", "upstream", d.roster.Name(event.Upstream), "why", event.Cause)
	}
}

// Probes returns the channel of probes to carry out.
func (d *Dispatcher) Probes() <-chan Probe { return d.probes }

// Follow returns a channel that receives when the engine wants to subscribe to the list.
func (d *Dispatcher) Follow() <-chan struct{} { return d.follow }

// List applies an update of the list and returns what it changed.
func (d *Dispatcher) List(entries []roster.Entry[string], whole bool) (c roster.Change) {
	d.update(func(now int64) { c = d.roster.Apply(entries, whole, now) })
	return c
}

// Entries returns the current list.
func (d *Dispatcher) Entries() []roster.Entry[string] {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Entries()
}

// Unlisted reports that the list could not be read, or that the subscription has ended.
func (d *Dispatcher) Unlisted() {
	d.update(func(now int64) { d.engine.Listed(false, now) })
}

// SetReportSender sets the function that sends load reports to other balancers.
func (d *Dispatcher) SetReportSender(send func(peer int, raw []byte)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sendReport = send
}

// PeerReport passes on a load report of another balancer.
func (d *Dispatcher) PeerReport(peer int, report []byte) {
	d.update(func(now int64) { d.engine.PeerReport(peer, report, now) })
}

// ProbeResult reports whether an upstream answered its probe.
func (d *Dispatcher) ProbeResult(upstream int, ok bool) {
	d.update(func(int64) {
		if !ok {
			d.counters.ProbesFailed++
		}
		d.engine.ProbeResult(upstream, ok)
	})
}

// Arrive takes a new transaction. Its attempts and its answer come by the channels of the Handle.
func (d *Dispatcher) Arrive(a Arrival) *Handle {
	h := &Handle{attempts: make(chan *Attempt, d.attemptBuffer.Load()), answer: make(chan Answer, 1)}
	h.Attempts, h.Answer = h.attempts, h.answer
	h.tx.UserData, h.tx.Config, h.tx.SendOnce, h.tx.BodyPending = h, a.Config, a.BodyPending, a.BodyPending
	ok := d.update(func(now int64) {
		d.open[h] = struct{}{}
		d.counters.Arrived++
		d.metrics.InFlight.Add(1)
		h.class = d.class(a)
		if a.DelaySend {
			h.tx.EarliestSend = never
		}
		if a.PriorAttempt != nil {
			h.tx.PriorAttempt = &logic.Location{Zone: d.roster.ZoneNumber(a.PriorAttempt.Zone), Cell: a.PriorAttempt.Cell}
		}
		// The work of a transaction is unknown here, so its tariff's WorkFactor has no effect.
		d.engine.Arrive(&h.tx, a.Tariff, a.Customer, 0, int64(a.Timeout), a.ClientRetry, now)
		if d.closed {
			d.forfeit(h)
		}
	})
	if !ok { // the engine may not know the transaction
		d.mu.Lock()
		defer d.mu.Unlock()
		d.finish(h, Answer{Ending: Forfeited})
	}
	return h
}

// class returns the metrics class in which an arrival is counted.
func (d *Dispatcher) class(a Arrival) *figures.TariffCounter {
	config := a.Config
	if config == nil {
		config = d.book.Engine
	}
	return config.Tariffs[a.Tariff].UserData.(*figures.TariffCounter)
}

// BodyReceived reports that the last byte of a transaction has arrived. The client waits for the timeout from now on.
func (d *Dispatcher) BodyReceived(h *Handle, timeout time.Duration) {
	d.update(func(now int64) {
		if h.done {
			return
		}
		d.engine.BodyReceived(&h.tx, int64(timeout), now)
		for _, p := range h.sent { // their time begins now
			if p.timer.Stop() {
				p.sentAt, p.Deadline = now, d.epoch.Add(time.Duration(now+int64(timeout)-d.epoch.UnixNano()))
				p.timer.Reset(timeout)
			}
		}
	})
}

// Outcome reports the result of an attempt. The first that settles or rejects the transaction gives the answer.
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

// StreamStarted reports that the response to an attempt is too long to be buffered and is being streamed to the client.
// Unless the transaction has ended already, the attempt settles it and its deadline is lifted, and StreamEnded has
// to report the end of the stream. The engine has to know, or it would send a hedge after the client's first bytes.
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

// StreamEnded reports the end of a streamed response.
func (d *Dispatcher) StreamEnded(h *Handle, p *Attempt, complete bool) {
	p.cancel(context.Canceled)
	d.metrics.InFlight.Add(-1)
	if complete {
		h.class.Count(Settled)
	} else {
		h.class.Count(Forfeited)
	}
}

// ClientGone reports that the client has disconnected. It has no effect after the answer.
func (d *Dispatcher) ClientGone(h *Handle) {
	d.update(func(int64) {
		if !h.done {
			h.done = true
			d.counters.ClientsGone++
			d.metrics.InFlight.Add(-1)
			delete(d.open, h)
			d.engine.ClientGone(&h.tx)
		}
	})
}

// Sent reports that an attempt of a transaction with DelaySend has been sent.
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

// Withdraw removes a transaction without an answer, as if it had never arrived, and reports whether it did. No attempt
// may be under way or be sent later. The transaction may arrive again.
func (d *Dispatcher) Withdraw(h *Handle) (withdrawn bool) {
	d.update(func(int64) {
		if withdrawn = !h.done; withdrawn {
			h.done = true
			d.counters.Arrived--
			d.metrics.InFlight.Add(-1)
			delete(d.open, h)
			d.engine.ClientGone(&h.tx)
		}
	})
	return withdrawn
}

// CountDeferred counts a transaction that was deferred before it reached the engine.
func (d *Dispatcher) CountDeferred(a Arrival) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.Arrived++
	d.counters.DeferredAtEdge++
	d.class(a).Count(Deferred)
}

// CountEnded counts a transaction that ended in another way before it reached the engine.
func (d *Dispatcher) CountEnded(a Arrival, ending figures.Ending) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counters.Arrived++
	d.class(a).Count(ending)
}

// Reconfigure replaces the settings for new transactions. Open ones keep the settings under which they arrived.
func (d *Dispatcher) Reconfigure(book *terms.Settings) (err error) {
	ok := d.update(func(now int64) {
		engine, can := d.engine.(interface {
			Reconfigure(config *logic.Config, now int64) error
		})
		if !can {
			err = errors.New("the decision engine does not support a change of settings in service")
			return
		}
		if d.book != nil { // under the lock, as the engine keeps learning with the earlier book
			book.KeepLearned(d.book)
		}
		book.Engine.Zone = d.roster.ZoneNumber(book.Zones[book.Engine.Zone]) // zone numbers of the list do not change
		if err = engine.Reconfigure(book.Engine, now); err == nil {
			d.attachClasses(book)
			d.book = book
			d.attemptBuffer.Store(min(max(maxAttempts(book.Engine), d.attemptBuffer.Load()), 64))
		}
	})
	if !ok {
		err = errors.New("the decision engine panicked on these settings")
	}
	return err
}

// attachClasses attaches the metrics class of each tariff of a book.
func (d *Dispatcher) attachClasses(book *terms.Settings) {
	names := make([]string, len(book.Engine.Tariffs))
	for name, n := range book.Tariffs {
		names[n] = name
	}
	for n, tariff := range book.Engine.Tariffs {
		tariff.UserData = d.metrics.Tariff(names[n])
	}
}

// SetProcesses sets how many processes act as this balancer at present, this one included.
func (d *Dispatcher) SetProcesses(processes int) {
	d.update(func(now int64) {
		if engine, can := d.engine.(interface{ SetProcesses(n int) }); can {
			engine.SetProcesses(processes)
		}
	})
}

// UpstreamCounts returns the number of listed upstreams, and how many of them the engine avoids at present.
func (d *Dispatcher) UpstreamCounts() (listed, avoided int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if engine, can := d.engine.(interface{ UpstreamCounts() (listed, avoided int) }); can {
		return engine.UpstreamCounts()
	}
	return len(d.roster.Entries()), 0
}

// Counters counts events since the last call of TakeCounters.
type Counters struct {
	Arrived, ClientsGone int
	DeferredAtEdge       int                       // deferred before they reached the engine
	Ended                [2][logic.ReasonCount]int // deferred and forfeited by the engine, by reason
	FirstSends           int                       // first attempts
	Hedges, Retries      int
	Probes               int
	ProbesFailed         int
	Results              [logic.Rejected + 1]int // of attempts
	Stats                logic.Stats
	Open                 int // open transactions now
	Watched              watch.Counts
}

// Add adds the counters of another Dispatcher.
func (c *Counters) Add(other Counters) {
	c.Watched.Add(other.Watched)
	c.Arrived, c.ClientsGone, c.DeferredAtEdge, c.Open =
		c.Arrived+other.Arrived, c.ClientsGone+other.ClientsGone, c.DeferredAtEdge+other.DeferredAtEdge, c.Open+other.Open
	c.Stats.Add(other.Stats)
	c.FirstSends, c.Hedges, c.Retries = c.FirstSends+other.FirstSends, c.Hedges+other.Hedges, c.Retries+other.Retries
	c.Probes, c.ProbesFailed = c.Probes+other.Probes, c.ProbesFailed+other.ProbesFailed
	for ending := range c.Ended {
		for reason, n := range other.Ended[ending] {
			c.Ended[ending][reason] += n
		}
	}
	for i, n := range other.Results {
		c.Results[i] += n
	}
}

// TakeCounters returns the counters and resets them.
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

// Close forfeits all open and all later transactions, and returns the number of open ones. The process is about to
// be killed, and an answer that leaves the result open is better than none.
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

// Stop ends a Dispatcher without open transactions.
func (d *Dispatcher) Stop() {
	d.Close()
	d.wake.Stop()
}

// finish gives the answer, unless the transaction is done.
func (d *Dispatcher) finish(h *Handle, a Answer) {
	if h.done {
		return
	}
	h.done = true
	if !h.streaming {
		d.metrics.InFlight.Add(-1)
		if h.class != nil {
			h.class.Count(a.Ending)
		}
	}
	delete(d.open, h)
	h.answer <- a // buffered, so it never blocks
}

// forfeit ends a transaction that the engine still works on.
func (d *Dispatcher) forfeit(h *Handle) {
	d.finish(h, Answer{Ending: Forfeited})
	d.engine.ClientGone(&h.tx)
}

// writer carries out the decisions of a round, under the lock.
type writer struct{ *Dispatcher }

// Send implements logic.Writer, as do the methods below.
func (w writer) Send(tx *logic.Transaction, upstream int, until int64) {
	h := tx.UserData.(*Handle)
	p := &Attempt{
		Number: len(h.sent), Place: w.roster.Endpoint(upstream), sentAt: w.now(),
		Deadline: w.epoch.Add(time.Duration(until - w.epoch.UnixNano())),
	}
	p.Name = w.roster.Name(upstream)
	p.Zone, p.Cell = w.roster.ZoneAndCell(upstream)
	if tx.BodyPending {
		p.Deadline = time.Now().Add(maxBodyTime) // BodyReceived sets it
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
	default: // blocking here would stop every transaction, so the attempt counts as never sent
		go w.Outcome(h, p, logic.Unsent)
	}
}

// HasIdleConn reads the count that the owner of the connections keeps in the Place.
func (w writer) HasIdleConn(upstream int) bool {
	return w.roster.Endpoint(upstream).IdleConns.Load() > 0
}

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
	case w.probes <- Probe{upstream, w.roster.Endpoint(upstream)}:
	default: // must not block either; an unanswered probe would keep its upstream ejected for good
		go w.ProbeResult(upstream, false)
	}
}

func (w writer) Follow() {
	select {
	case w.follow <- struct{}{}:
	default: // already requested
	}
}

func (w writer) SendReport(peer int, report []byte) {
	if w.sendReport != nil {
		w.sendReport(peer, report)
	}
}

func (w writer) Wake(at int64) {
	if w.closed && len(w.open) == 0 {
		return // a running timer would keep the memory of a removed pool alive
	}
	w.wake.Reset(time.Duration(at - w.now()))
}

func (w writer) Note(text string) { w.log.Info("note", "text", text) }

// maxAttempts returns the maximum number of attempts of a transaction.
func maxAttempts(config *logic.Config) int64 { return int64(config.MaxAttempts + config.FreeRefusals) }
