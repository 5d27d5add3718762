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

// OwnershipRegistry know where what must not run twice may go, over all balancers and their runs.
type OwnershipRegistry interface {
	Begin(q OwnershipRequest) Ownership
}

// OwnershipRequest is a transaction that must not run twice, or only where its repeats are known.
type OwnershipRequest struct {
	Pool, Customer, Tariff string
	IdempotencyKey, ID     string // Idempotency-Key, "" for none; X-Txn
	Settings               *logic.Tariff
	Timeout                time.Duration
	ClientRetry            bool
	BodyHash               uint64 // a sum of it, 0 where it isn't all there
}

// Ownership is one of these, while it is in hand.
type Ownership interface {
	// Check says what it may do before it is taken, or taken again after Take refused. It may wait. fate is "" for go, to its
	// group if that is not nil.
	Check(ctx context.Context) (bound *desk.Location, fate Admission)
	// Acquire claims it for the group of a push's upstream, which may leave only if there is no error; moves says that no push of it ran.
	Acquire(ctx context.Context, to *desk.Attempt, moves bool) error
	Release(how Completion)
}

// Admission is what becomes of a transaction before it is taken.
type Admission uint8

const (
	Admit Admission = iota
	Defer
	Forfeit
	Refuse // its key stands for another body
)

// Completion is how a transaction that was claimed ended.
type Completion uint8

const (
	NeverRan Completion = iota // provably
	Answered
	MayHaveRun
)

// SetOwnershipRegistry has what must not run twice claimed from now on; nil ends that. What is in hand keeps what it began with.
func (front *FrontEnd) SetOwnershipRegistry(c OwnershipRegistry) {
	if c == nil {
		front.ownership.Store(nil)
		return
	}
	front.ownership.Store(&c)
}

const maxChecks = 8 // times that a transaction is taken, where its claims are refused again and again

// ownershipGuard stands between a transaction's pushes and their leaving. The zero pointer guards nothing.
type ownershipGuard struct {
	ownership   Ownership
	shard       *shard
	withdrawnCh chan struct{} // a push was refused leave, and the transaction taken back
	started     time.Time
	timeout     time.Duration // at the begin

	acquireMu    sync.Mutex // held while leave is asked for
	mu           sync.Mutex
	priorAttempt *desk.Location
	checks       int // that it was opened
	inFlight     int // pushes that have left and not ended
	mayHaveRun   bool
	answered     bool // an upstream has answered
	finished     bool // the transaction has its end
	released     bool
}

// newGuard makes one for a transaction, nil for one that may run any number of times.
func (front *FrontEnd) newGuard(sh *shard, txn *transaction) *ownershipGuard {
	claims := front.ownership.Load()
	if claims == nil {
		return nil
	}
	tariff := txn.settings.Terms.Tariffs[txn.tariff]
	if tariff.Idempotency == logic.Idempotent {
		return nil
	}
	request := OwnershipRequest{
		Pool: sh.Name, Settings: tariff, IdempotencyKey: txn.header.Get("Idempotency-Key"), ID: txn.id, Timeout: txn.timeout, ClientRetry: txn.clientRetry, Customer: txn.header.Get("X-Org"),
		Tariff: txn.settings.Name(txn.tariff),
	}
	if txn.upload == nil && len(txn.body) > 0 {
		request.BodyHash = max(1, xxhash.Sum64(txn.body))
	}
	return &ownershipGuard{ownership: (*claims).Begin(request), shard: sh, withdrawnCh: make(chan struct{}, 1), started: time.Now(), timeout: txn.timeout}
}

// admit says whether the transaction may be taken, and answers it if not.
func (guard *ownershipGuard) admit(ctx context.Context, front *FrontEnd, w http.ResponseWriter, txn *transaction) bool {
	if guard == nil {
		return true
	}
	// Danger: what the ledger has to be asked may take longer than its client waits.
	ctx, stop := context.WithDeadline(ctx, guard.started.Add(guard.timeout))
	defer stop()
	prior, admission := guard.ownership.Check(ctx)
	guard.priorAttempt = prior
	if guard.checks++; guard.checks > maxChecks {
		admission = Defer
	}
	txn.timeout = max(0, guard.timeout-time.Since(guard.started))
	if admission == Admit && txn.timeout == 0 && guard.timeout > 0 {
		admission = Defer // nothing of it has left
	}
	switch admission {
	case Defer:
		front.deferEarly(w, guard.shard, txn)
	case Forfeit:
		guard.shard.desk.CountEnded(txn.arrival(), desk.Forfeited)
		front.writeText(w, http.StatusBadGateway, "it may have run already")
	case Refuse:
		guard.shard.desk.CountEnded(txn.arrival(), desk.Rejected)
		front.writeText(w, http.StatusUnprocessableEntity, "this Idempotency-Key stands for another body")
	}
	return admission == Admit
}

// arrival is what the desk is told of a transaction that is guarded.
func (guard *ownershipGuard) arrival(txn *transaction) desk.Arrival {
	arrival := txn.arrival()
	if guard != nil {
		arrival.DelaySend, arrival.PriorAttempt = true, guard.priorAttempt
	}
	return arrival
}

// permit asks leave for a push. Danger: without it nothing of the push may leave.
func (guard *ownershipGuard) permit(handle *desk.Handle, attempt *desk.Attempt) bool {
	if guard == nil {
		return true
	}
	guard.acquireMu.Lock()
	defer guard.acquireMu.Unlock()
	guard.mu.Lock()
	noneRan, finished := !guard.mayHaveRun && guard.inFlight == 0, guard.finished
	guard.mu.Unlock()
	if finished || attempt.Context.Err() != nil || !time.Now().Before(attempt.Deadline) {
		return false
	}
	err := guard.ownership.Acquire(attempt.Context, attempt, noneRan)
	guard.mu.Lock()
	defer guard.mu.Unlock()
	if err == nil && attempt.Context.Err() == nil && !guard.finished {
		guard.inFlight++
		guard.shard.desk.Sent(handle, attempt)
		return true
	}
	// What was called off is the module's own doing; else the transaction is taken back, if nothing of it is out.
	if err != nil && attempt.Context.Err() == nil && !guard.mayHaveRun && guard.inFlight == 0 && !guard.finished && guard.shard.desk.Withdraw(handle) {
		select {
		case guard.withdrawnCh <- struct{}{}:
		default:
		}
	}
	return false
}

// attemptEnded takes the outcome of a push that had leave.
func (guard *ownershipGuard) attemptEnded(result logic.Result) {
	if guard == nil {
		return
	}
	guard.mu.Lock()
	guard.inFlight--
	guard.mayHaveRun = guard.mayHaveRun || !result.NeverRan()
	guard.answered = guard.answered || result.Final()
	guard.mu.Unlock()
	guard.release()
}

// finish says that the transaction has its answer, or nobody waits for it.
func (guard *ownershipGuard) finish() {
	if guard == nil {
		return
	}
	guard.mu.Lock()
	guard.finished = true
	guard.mu.Unlock()
	guard.release()
}

// release has the end written down, once it is known.
func (guard *ownershipGuard) release() {
	guard.mu.Lock()
	completion := MayHaveRun
	switch {
	case guard.answered:
		completion = Answered
	case !guard.mayHaveRun:
		completion = NeverRan
	}
	release := guard.finished && !guard.released && (guard.answered || guard.inFlight == 0)
	guard.released = guard.released || release
	guard.mu.Unlock()
	if release {
		guard.ownership.Release(completion)
	}
}

// withdrawn is where a transaction hears that it was taken back.
func (guard *ownershipGuard) withdrawn() <-chan struct{} {
	if guard == nil {
		return nil
	}
	return guard.withdrawnCh
}
