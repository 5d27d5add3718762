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
	Push    int           // whose reply settled or rejected it
	Backoff time.Duration // advice to a deferred client, 0 for none
}

// Push is the order to send a transaction to an upstream. Its context ends when the push is called off or its
// time is up; who carries the push gives it back by Outcome, always once.
type Push struct {
	Context context.Context
	Number  int
	Place   roster.Place
	Until   time.Time
	Name    string // of its upstream, as are zone and cell
	Zone    string
	Cell    int

	end   context.CancelCauseFunc
	timer *time.Timer // which ends it at its time
	sent  int64
}

// Probe is the order to probe an upstream; who carries it out tells by Probed how it ended.
type Probe struct {
	Upstream int
	Place    roster.Place
}

// Case is a transaction in the hands of a door.
type Case struct {
	Pushes <-chan *Push
	Answer <-chan Answer

	t      logic.Transaction
	pushes chan *Push
	answer chan Answer
	sent   []*Push
	out    int // of them, without an outcome
	class  *figures.Class
	over   bool // has its answer, or its client is gone
	flows  bool // its answer has begun and goes on without the module
}

// Arrival is a transaction as a door takes it in.
type Arrival struct {
	Under    *logic.Terms // that its tariff and customer are numbers of; nil for those in force
	Tariff   int
	Customer int
	Left     time.Duration
	Again    bool
	Unwhole  bool   // its last byte has yet to come, and what goes out of it can't be sent a second time
	Waits    bool   // its pushes leave once Left says so
	Bound    *Bound // where another try of it may have run, nil for nowhere
}

// Bound is a group of upstreams, as lists name it.
type Bound struct {
	Zone string
	Cell int
}

const never = 1 << 62 // no clock gets there

// Module decides: a Balancer, or what the lab sets in its place to compare it with.
type Module interface {
	roster.Module
	Arrive(t *logic.Transaction, tariff, customer int, work, left int64, again bool, now int64)
	Whole(t *logic.Transaction, left, now int64)
	Outcome(t *logic.Transaction, n int, r logic.Result, took int64, final bool, now int64)
	Vanish(t *logic.Transaction)
	Probed(i int, ok bool)
	Told(peer int, raw []byte, now int64)
	Round(now int64, w logic.Writer)
}

// observed is a module that tells what it makes of things. Nothing is decided by it.
type observed interface {
	Seen() logic.Seen
	Turns(take func(logic.Turn))
}

// Make starts a module.
type Make func(terms *logic.Terms, now int64) (Module, error)

// Design is the module of this project, the only one that serves.
func Design(terms *logic.Terms, now int64) (Module, error) { return logic.New(terms, now) }

const mostUnwhole = time.Hour // for a transaction's last byte; its door bounds how slow it may be

// Desk serialises all that is said to one Balancer. Its lock's order settles races.
type Desk struct {
	mu     sync.Mutex
	log    *slog.Logger
	b      Module
	roster *roster.Roster[string]
	epoch  time.Time // with its monotonic reading, from which all times are taken
	wake   *time.Timer
	room   atomic.Int64 // pushes that a case's channel holds
	open   map[*Case]struct{}
	closed bool
	tally  Tally
	counts *figures.Pool
	book   *terms.Book                // in force
	say    func(peer int, raw []byte) // to another balancer; nil if there is no way
	seen   observed                   // what the module makes of things; nil if it doesn't tell
	watch  *watch.Module              // if what a newer shape would have changed is counted

	follow chan struct{}
	probes chan Probe
}

// New starts the module.
func New(book *terms.Book, counts *figures.Pool, log *slog.Logger, module Make) (*Desk, error) {
	d := &Desk{
		log: log, counts: counts, book: book, epoch: time.Now(), follow: make(chan struct{}, 1), probes: make(chan Probe, 256),
		open: map[*Case]struct{}{},
	}
	d.room.Store(min(pushes(book.Terms), 64))
	var b Module
	var err error
	if book.Watch {
		d.watch, err = watch.New(book.Before().Terms, book.Terms, d.now())
		b = d.watch
	} else {
		b, err = module(book.Terms, d.now())
	}
	if err != nil {
		return nil, err
	}
	d.seen, _ = b.(observed)
	d.b, d.roster = b, roster.New[string](b, book.Zones)
	d.show(book)
	d.wake = time.AfterFunc(time.Hour, func() { d.tell(func(int64) {}) }) // the module sets the time
	return d, nil
}

// now is the time in Unix nanoseconds, and never runs backwards.
func (d *Desk) now() int64 { return d.epoch.UnixNano() + int64(time.Since(d.epoch)) }

// tell is the one way to the module. Danger: a panic of the module would end the process, and with it all that
// is open; it is logged, and reported to whom it concerns.
func (d *Desk) tell(what func(now int64)) (ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	defer func() {
		if fault := recover(); fault != nil {
			d.log.Error("panic", "where", "module", "fault", fault, "stack", string(debug.Stack()))
		}
	}()
	now := d.now()
	what(now)
	d.b.Round(now, writer{d})
	if d.seen != nil {
		d.seen.Turns(d.turn)
	}
	return true
}

// turn logs that an upstream was set aside or taken back, and why.
func (d *Desk) turn(t logic.Turn) {
	if t.Back {
		d.log.Info("upstream", "step", "back", "upstream", d.roster.Name(t.Upstream), "cold", t.Cold)
	} else {
		d.log.Info("upstream", "step", "aside", "upstream", d.roster.Name(t.Upstream), "why", t.Why)
	}
}

// Probes are the orders to probe.
func (d *Desk) Probes() <-chan Probe { return d.probes }

// Follow tells when the module wants the list followed.
func (d *Desk) Follow() <-chan struct{} { return d.follow }

// List takes a report of the list, and tells what has changed by it.
func (d *Desk) List(entries []roster.Entry[string], whole bool) (c roster.Change) {
	d.tell(func(now int64) { c = d.roster.Apply(entries, whole, now) })
	return c
}

// Entries is the list as it stands.
func (d *Desk) Entries() []roster.Entry[string] {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.roster.Entries()
}

// Unlisted says that the list could not be had, or that following it has ended.
func (d *Desk) Unlisted() {
	d.tell(func(now int64) { d.b.Listed(false, now) })
}

// Speak has what the module says to other balancers carried.
func (d *Desk) Speak(say func(peer int, raw []byte)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.say = say
}

// Told hands on what another balancer says.
func (d *Desk) Told(peer int, raw []byte) {
	d.tell(func(now int64) { d.b.Told(peer, raw, now) })
}

// Probed tells how a probe ended.
func (d *Desk) Probed(upstream int, ok bool) {
	d.tell(func(int64) {
		if !ok {
			d.tally.Unanswered++
		}
		d.b.Probed(upstream, ok)
	})
}

// Arrive takes a transaction. Its answer will come; so will orders to push it.
func (d *Desk) Arrive(a Arrival) *Case {
	c := &Case{pushes: make(chan *Push, d.room.Load()), answer: make(chan Answer, 1)}
	c.Pushes, c.Answer = c.pushes, c.answer
	c.t.Mark, c.t.Under, c.t.Single, c.t.Unwhole = c, a.Under, a.Unwhole, a.Unwhole
	ok := d.tell(func(now int64) {
		d.open[c] = struct{}{}
		d.tally.Arrived++
		d.counts.Open.Add(1)
		c.class = d.class(a)
		if a.Waits {
			c.t.Leaves = never
		}
		if a.Bound != nil {
			c.t.Bound = &logic.Bound{Zone: d.roster.Zone(a.Bound.Zone), Cell: a.Bound.Cell}
		}
		// How much work it is by itself nobody tells, so no contract time is stretched by that.
		d.b.Arrive(&c.t, a.Tariff, a.Customer, 0, int64(a.Left), a.Again, now)
		if d.closed {
			d.forfeit(c)
		}
	})
	if !ok { // the module may not know it at all
		d.mu.Lock()
		defer d.mu.Unlock()
		d.finish(c, Answer{Ending: Forfeited})
	}
	return c
}

// class is where an arrival's ending is counted.
func (d *Desk) class(a Arrival) *figures.Class {
	under := a.Under
	if under == nil {
		under = d.book.Terms
	}
	return under.Tariffs[a.Tariff].Mark.(*figures.Class)
}

// Whole says that the last byte of a transaction has come; left is what its client waits from now on.
func (d *Desk) Whole(c *Case, left time.Duration) {
	d.tell(func(now int64) {
		if c.over {
			return
		}
		d.b.Whole(&c.t, int64(left), now)
		for _, p := range c.sent { // its time begins now
			if p.timer.Stop() {
				p.sent, p.Until = now, d.epoch.Add(time.Duration(now+int64(left)-d.epoch.UnixNano()))
				p.timer.Reset(left)
			}
		}
	})
}

// Outcome tells how a push ended. The first that settles or rejects its transaction makes the answer.
func (d *Desk) Outcome(c *Case, p *Push, r logic.Result) {
	p.timer.Stop()
	p.end(context.Canceled)
	d.tell(func(now int64) {
		d.tally.Results[r]++
		c.out--
		d.b.Outcome(&c.t, p.Number, r, now-p.sent, c.over || r.Final(), now)
		switch r {
		case logic.Settled:
			d.finish(c, Answer{Ending: Settled, Push: p.Number})
		case logic.Rejected:
			d.finish(c, Answer{Ending: Rejected, Push: p.Number})
		}
	})
}

// Flow says that a push's answer has begun and is too long to be held. With it the push has settled its transaction,
// unless that has ended already: the module is done with it, its time is up no more, and Flowed tells how the rest
// went. Danger: without the module's knowledge a copy would go out after the client has had its first bytes.
func (d *Desk) Flow(c *Case, p *Push) (won bool) {
	d.tell(func(now int64) {
		if c.over || p.Context.Err() != nil || !p.timer.Stop() {
			return
		}
		won, c.flows = true, true
		d.tally.Results[logic.Settled]++
		c.out--
		d.b.Outcome(&c.t, p.Number, logic.Settled, now-p.sent, true, now)
		d.finish(c, Answer{Ending: Settled, Push: p.Number})
	})
	return won
}

// Flowed tells how an answer that flowed has ended.
func (d *Desk) Flowed(c *Case, p *Push, whole bool) {
	p.end(context.Canceled)
	d.counts.Open.Add(-1)
	if whole {
		c.class.End(Settled)
	} else {
		c.class.End(Forfeited)
	}
}

// Vanish says that the client is gone; after an answer it says nothing.
func (d *Desk) Vanish(c *Case) {
	d.tell(func(int64) {
		if !c.over {
			c.over = true
			d.tally.Vanished++
			d.counts.Open.Add(-1)
			delete(d.open, c)
			d.b.Vanish(&c.t)
		}
	})
}

// Left says that a push of a transaction that waits has left.
func (d *Desk) Left(c *Case, p *Push) {
	d.tell(func(now int64) {
		p.sent = now
		if b, can := d.b.(interface {
			Left(t *logic.Transaction, n int, now int64)
		}); can {
			b.Left(&c.t, p.Number, now)
		}
	})
}

// Recall takes back a transaction that has no answer, as if it had not come; nothing of it may be out, or leave any more.
// It may come again.
func (d *Desk) Recall(c *Case) (recalled bool) {
	d.tell(func(int64) {
		if recalled = !c.over; recalled {
			c.over = true
			d.tally.Arrived--
			d.counts.Open.Add(-1)
			delete(d.open, c)
			d.b.Vanish(&c.t)
		}
	})
	return recalled
}

// Turn counts a transaction that was deferred before the module knew of it.
func (d *Desk) Turn(a Arrival) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tally.Arrived++
	d.tally.Edge++
	d.class(a).End(Deferred)
}

// Turned counts a transaction that was answered otherwise before the module knew of it.
func (d *Desk) Turned(a Arrival, as figures.Ending) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tally.Arrived++
	d.class(a).End(as)
}

// Retune puts other terms in force, for what comes from now on; what is open keeps its own.
func (d *Desk) Retune(book *terms.Book) (err error) {
	ok := d.tell(func(now int64) {
		b, can := d.b.(interface {
			Retune(terms *logic.Terms, now int64) error
		})
		if !can {
			err = errors.New("the module takes no other terms in service")
			return
		}
		if d.book != nil { // under the module's lock: it goes on learning under the earlier book
			book.Keep(d.book)
		}
		book.Terms.Zone = d.roster.Zone(book.Zones[book.Terms.Zone]) // the list's numbers stay as they were
		if err = b.Retune(book.Terms, now); err == nil {
			d.show(book)
			d.book = book
			d.room.Store(min(max(pushes(book.Terms), d.room.Load()), 64))
		}
	})
	if !ok {
		err = errors.New("the module fails at these terms")
	}
	return err
}

// show has the tariffs of a book counted, from now on.
func (d *Desk) show(book *terms.Book) {
	names := make([]string, len(book.Terms.Tariffs))
	for name, n := range book.Tariffs {
		names[n] = name
	}
	for n, f := range book.Terms.Tariffs {
		f.Mark = d.counts.Class(names[n])
	}
}

// Beside says that so many processes are this balancer at present, this one included.
func (d *Desk) Beside(processes int) {
	d.tell(func(now int64) {
		if b, can := d.b.(interface{ Beside(n int) }); can {
			b.Beside(processes)
		}
	})
}

// Cluster is how many upstreams are listed, and how many of them the module avoids now.
func (d *Desk) Cluster() (listed, avoided int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b, can := d.b.(interface{ Cluster() (listed, avoided int) }); can {
		return b.Cluster()
	}
	return len(d.roster.Entries()), 0
}

// Tally is what has happened since the last one was taken.
type Tally struct {
	Arrived, Vanished int
	Edge              int                // deferred before the module knew of them
	Ended             [2][logic.Whys]int // deferred and forfeited by the module, by reason
	First             int                // pushes
	Copies, Retries   int
	Probes            int
	Unanswered        int                     // probes
	Results           [logic.Rejected + 1]int // of pushes
	Seen              logic.Seen
	Open              int // transactions now
	Watched           watch.Counts
}

// Add adds another desk's.
func (t *Tally) Add(o Tally) {
	t.Watched.Add(o.Watched)
	t.Arrived, t.Vanished, t.Edge, t.Open = t.Arrived+o.Arrived, t.Vanished+o.Vanished, t.Edge+o.Edge, t.Open+o.Open
	t.Seen.Add(o.Seen)
	t.First, t.Copies, t.Retries = t.First+o.First, t.Copies+o.Copies, t.Retries+o.Retries
	t.Probes, t.Unanswered = t.Probes+o.Probes, t.Unanswered+o.Unanswered
	for how := range t.Ended {
		for why, n := range o.Ended[how] {
			t.Ended[how][why] += n
		}
	}
	for i, n := range o.Results {
		t.Results[i] += n
	}
}

// Tally takes the tally and starts a new one.
func (d *Desk) Tally() Tally {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.tally
	t.Open = len(d.open)
	if d.watch != nil {
		t.Watched = d.watch.Counts()
	}
	if d.seen != nil {
		t.Seen = d.seen.Seen()
	}
	d.tally = Tally{}
	return t
}

// Close forfeits all that is still open and whatever comes after: the process is about to be killed, and an
// answer without a promise is better than none.
func (d *Desk) Close() (ended int) {
	d.tell(func(int64) {
		d.closed = true
		ended = len(d.open)
		for c := range d.open {
			d.forfeit(c)
		}
	})
	return ended
}

// Stop ends a desk at which nothing is open any more.
func (d *Desk) Stop() {
	d.Close()
	d.wake.Stop()
}

// finish gives the answer, unless the case is over.
func (d *Desk) finish(c *Case, a Answer) {
	if c.over {
		return
	}
	c.over = true
	if !c.flows {
		d.counts.Open.Add(-1)
		if c.class != nil {
			c.class.End(a.Ending)
		}
	}
	delete(d.open, c)
	c.answer <- a // has room for the one
}

// forfeit ends a case that the module would go on with.
func (d *Desk) forfeit(c *Case) {
	d.finish(c, Answer{Ending: Forfeited})
	d.b.Vanish(&c.t)
}

// writer takes the decisions of a round, under the lock.
type writer struct{ *Desk }

// Push implements logic.Writer, as do the methods below.
func (w writer) Push(t *logic.Transaction, upstream int, until int64) {
	c := t.Mark.(*Case)
	p := &Push{
		Number: len(c.sent), Place: w.roster.Place(upstream), sent: w.now(),
		Until: w.epoch.Add(time.Duration(until - w.epoch.UnixNano())),
	}
	p.Name = w.roster.Name(upstream)
	p.Zone, p.Cell = w.roster.Group(upstream)
	if t.Unwhole {
		p.Until = time.Now().Add(mostUnwhole) // Whole sets it
	}
	p.Context, p.end = context.WithCancelCause(context.Background())
	p.timer = time.AfterFunc(time.Until(p.Until), func() { p.end(context.DeadlineExceeded) })
	switch {
	case len(c.sent) == 0:
		w.tally.First++
	case c.out > 0:
		w.tally.Copies++
	default:
		w.tally.Retries++
	}
	c.out++
	c.sent = append(c.sent, p)
	select {
	case c.pushes <- p:
	default: // Danger: waiting here would stop every transaction; a push that finds no room never left
		go w.Outcome(c, p, logic.Unsent)
	}
}

// Kept asks the place itself: whoever owns the connections counts them there.
func (w writer) Kept(upstream int) bool { return w.roster.Place(upstream).Kept.Load() > 0 }

func (w writer) Cancel(t *logic.Transaction, push int) {
	t.Mark.(*Case).sent[push].end(context.Canceled)
}

func (w writer) Defer(t *logic.Transaction, why logic.Why, backoff int64) {
	w.tally.Ended[0][why]++
	w.finish(t.Mark.(*Case), Answer{Ending: Deferred, Backoff: time.Duration(backoff)})
}

func (w writer) Forfeit(t *logic.Transaction, why logic.Why) {
	w.tally.Ended[1][why]++
	w.finish(t.Mark.(*Case), Answer{Ending: Forfeited})
}

func (w writer) Probe(upstream int) {
	w.tally.Probes++
	select {
	case w.probes <- Probe{upstream, w.roster.Place(upstream)}:
	default: // Danger: as with pushes; a probe that is never answered would hold its upstream for good
		go w.Probed(upstream, false)
	}
}

func (w writer) Follow() {
	select {
	case w.follow <- struct{}{}:
	default: // asked already
	}
}

func (w writer) Tell(peer int, raw []byte) {
	if w.say != nil {
		w.say(peer, raw)
	}
}

func (w writer) Wake(at int64) {
	if w.closed && len(w.open) == 0 {
		return // Danger: a timer that goes on holds all of a pool that is gone
	}
	w.wake.Reset(time.Duration(at - w.now()))
}

func (w writer) Note(text string) { w.log.Info("note", "text", text) }

// pushes is how many a transaction may have at most.
func pushes(t *logic.Terms) int64 { return int64(t.MaxPushes + t.FreeRefusals) }
