package httpwire

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"ottershift/internal/desk"
	"ottershift/logic"
)

// Claims know where what must not run twice may go, over all balancers and their runs.
type Claims interface {
	Begin(q Claimed) Claim
}

// Claimed is a transaction that must not run twice, or only where its repeats are known.
type Claimed struct {
	Pool, Customer, Tariff string
	Tag, ID                string // Idempotency-Key, "" for none; X-Txn
	Kind                   *logic.Tariff
	Left                   time.Duration
	Again                  bool
	Body                   uint64 // a sum of it, 0 where it isn't all there
}

// Claim is one of these, while it is in hand.
type Claim interface {
	// Open says what it may do before it is taken, or taken again after Take refused. It may wait. fate is "" for go, to its
	// group if that is not nil.
	Open(ctx context.Context) (bound *desk.Location, fate Fate)
	// Take claims it for the group of a push's upstream, which may leave only if there is no error; moves says that no push of it ran.
	Take(ctx context.Context, to *desk.Attempt, moves bool) error
	End(how End)
}

// Fate is what becomes of a transaction before it is taken.
type Fate uint8

const (
	Goes Fate = iota
	Defers
	Forfeits
	Refuses // its key stands for another body
)

// End is how a transaction that was claimed ended.
type End uint8

const (
	NeverRan End = iota // provably
	Answered
	MayHaveRun
)

// Claim has what must not run twice claimed from now on; nil ends that. What is in hand keeps what it began with.
func (f *Front) Claim(c Claims) {
	if c == nil {
		f.claims.Store(nil)
		return
	}
	f.claims.Store(&c)
}

const mostTaken = 8 // times that a transaction is taken, where its claims are refused again and again

// guard stands between a transaction's pushes and their leaving. The zero pointer guards nothing.
type guard struct {
	claim Claim
	p     *shard
	again chan struct{} // a push was refused leave, and the transaction taken back
	begun time.Time
	left  time.Duration // at the begin

	take  sync.Mutex // held while leave is asked for
	mu    sync.Mutex
	bound *desk.Location
	times int // that it was opened
	out   int // pushes that have left and not ended
	ran   bool
	done  bool // an upstream has answered
	over  bool // the transaction has its end
	told  bool
}

// guard makes one for a transaction, nil for one that may run any number of times.
func (f *Front) guard(p *shard, q *transaction) *guard {
	claims := f.claims.Load()
	if claims == nil {
		return nil
	}
	t := q.book.Engine.Tariffs[q.tariff]
	if t.Idempotency == logic.Idempotent {
		return nil
	}
	c := Claimed{
		Pool: p.Name, Kind: t, Tag: q.header.Get("Idempotency-Key"), ID: q.id, Left: q.left, Again: q.again, Customer: q.header.Get("X-Org"),
		Tariff: q.book.TariffName(q.tariff),
	}
	if q.rest == nil && len(q.body) > 0 {
		c.Body = max(1, xxhash.Sum64(q.body))
	}
	return &guard{claim: (*claims).Begin(c), p: p, again: make(chan struct{}, 1), begun: time.Now(), left: q.left}
}

// open says whether the transaction may be taken, and answers it if not.
func (g *guard) open(ctx context.Context, f *Front, w http.ResponseWriter, q *transaction) bool {
	if g == nil {
		return true
	}
	// Danger: what the ledger has to be asked may take longer than its client waits.
	ctx, stop := context.WithDeadline(ctx, g.begun.Add(g.left))
	defer stop()
	bound, fate := g.claim.Open(ctx)
	g.bound = bound
	if g.times++; g.times > mostTaken {
		fate = Defers
	}
	q.left = max(0, g.left-time.Since(g.begun))
	if fate == Goes && q.left == 0 && g.left > 0 {
		fate = Defers // nothing of it has left
	}
	switch fate {
	case Defers:
		f.turn(w, g.p, q)
	case Forfeits:
		g.p.desk.CountEnded(q.arrival(), desk.Forfeited)
		f.say(w, http.StatusBadGateway, "it may have run already")
	case Refuses:
		g.p.desk.CountEnded(q.arrival(), desk.Rejected)
		f.say(w, http.StatusUnprocessableEntity, "this Idempotency-Key stands for another body")
	}
	return fate == Goes
}

// arrival is what the desk is told of a transaction that is guarded.
func (g *guard) arrival(q *transaction) desk.Arrival {
	a := q.arrival()
	if g != nil {
		a.DelaySend, a.PriorAttempt = true, g.bound
	}
	return a
}

// leave asks leave for a push. Danger: without it nothing of the push may leave.
func (g *guard) leave(c *desk.Handle, o *desk.Attempt) bool {
	if g == nil {
		return true
	}
	g.take.Lock()
	defer g.take.Unlock()
	g.mu.Lock()
	moves, over := !g.ran && g.out == 0, g.over
	g.mu.Unlock()
	if over || o.Context.Err() != nil || !time.Now().Before(o.Deadline) {
		return false
	}
	err := g.claim.Take(o.Context, o, moves)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && o.Context.Err() == nil && !g.over {
		g.out++
		g.p.desk.Sent(c, o)
		return true
	}
	// What was called off is the module's own doing; else the transaction is taken back, if nothing of it is out.
	if err != nil && o.Context.Err() == nil && !g.ran && g.out == 0 && !g.over && g.p.desk.Withdraw(c) {
		select {
		case g.again <- struct{}{}:
		default:
		}
	}
	return false
}

// ended takes the outcome of a push that had leave.
func (g *guard) ended(r logic.Result) {
	if g == nil {
		return
	}
	g.mu.Lock()
	g.out--
	g.ran = g.ran || !r.NeverRan()
	g.done = g.done || r.Final()
	g.mu.Unlock()
	g.tell()
}

// end says that the transaction has its answer, or nobody waits for it.
func (g *guard) end() {
	if g == nil {
		return
	}
	g.mu.Lock()
	g.over = true
	g.mu.Unlock()
	g.tell()
}

// tell has the end written down, once it is known.
func (g *guard) tell() {
	g.mu.Lock()
	how := MayHaveRun
	switch {
	case g.done:
		how = Answered
	case !g.ran:
		how = NeverRan
	}
	tell := g.over && !g.told && (g.done || g.out == 0)
	g.told = g.told || tell
	g.mu.Unlock()
	if tell {
		g.claim.End(how)
	}
}

// recalled is where a transaction hears that it was taken back.
func (g *guard) recalled() <-chan struct{} {
	if g == nil {
		return nil
	}
	return g.again
}
