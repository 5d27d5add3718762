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

// OwnershipRegistry decides where a transaction that must not run twice may be sent, across all balancers and
// their restarts.
type OwnershipRegistry interface {
	// Begin returns the ownership of a new transaction.
	Begin(request OwnershipRequest) Ownership
}

// OwnershipRequest describes a transaction that must not run twice, or only where repeats are recognised.
type OwnershipRequest struct {
	Pool, Customer, Tariff string
	IdempotencyKey, ID     string // IdempotencyKey is the Idempotency-Key header, "" for none; ID is X-Txn
	Settings               *logic.Tariff
	Timeout                time.Duration
	ClientRetry            bool
	BodyHash               uint64 // hash of the body, 0 if the body is incomplete or empty
}

// Ownership is the state of one such transaction while it is open.
type Ownership interface {
	// Check decides whether the transaction may proceed, before its first Acquire and after each refused one. It
	// may block. If the admission is Admit and the location is not nil, the transaction is bound to the upstream
	// group there.
	Check(ctx context.Context) (prior *desk.Location, admission Admission)
	// Acquire takes ownership for the group of an attempt's upstream. The attempt may be sent only without an
	// error. noneRan reports that no earlier attempt has run or is in flight.
	Acquire(ctx context.Context, to *desk.Attempt, noneRan bool) error
	// Release records how the transaction ended.
	Release(completion Completion)
}

// Admission is the decision on a transaction before ownership is acquired.
type Admission uint8

const (
	Admit   Admission = iota // it may be sent
	Defer                    // not now; the client may retry
	Forfeit                  // it may have run already
	Refuse                   // its key was used with another body
)

// Completion is how a transaction with ownership ended.
type Completion uint8

const (
	NeverRan Completion = iota // certain: no attempt has run
	Answered
	MayHaveRun
)

// SetOwnershipRegistry sets the registry for new transactions; nil disables it. Open transactions keep the
// registry under which they started.
func (front *FrontEnd) SetOwnershipRegistry(registry OwnershipRegistry) {
	if registry == nil {
		front.ownership.Store(nil)
		return
	}
	front.ownership.Store(&registry)
}

const maxChecks = 8 // for one transaction whose ownership is refused each time

// ownershipGuard lets attempts of a transaction be sent only with ownership. A nil guard permits everything.
type ownershipGuard struct {
	ownership   Ownership
	shard       *shard
	withdrawnCh chan struct{} // receives when an attempt was refused and the transaction withdrawn from the dispatcher
	started     time.Time
	timeout     time.Duration // at started

	acquireMu    sync.Mutex // held while ownership is requested
	mu           sync.Mutex
	priorAttempt *desk.Location
	checks       int // calls of Check
	inFlight     int // attempts that were sent and have not ended
	mayHaveRun   bool
	answered     bool // an upstream has given the final response
	finished     bool // the client has its answer or has disconnected
	released     bool
}

// newGuard returns the guard of a transaction, nil if it may run any number of times.
func (front *FrontEnd) newGuard(sh *shard, txn *transaction) *ownershipGuard {
	registry := front.ownership.Load()
	if registry == nil {
		return nil
	}
	tariff := txn.settings.Engine.Tariffs[txn.tariff]
	if tariff.Idempotency == logic.Idempotent {
		return nil
	}
	request := OwnershipRequest{
		Pool: sh.Name, Settings: tariff, IdempotencyKey: txn.header.Get("Idempotency-Key"), ID: txn.id,
		Timeout: txn.timeout, ClientRetry: txn.clientRetry, Customer: txn.header.Get("X-Org"),
		Tariff: txn.settings.TariffName(txn.tariff),
	}
	if txn.upload == nil && len(txn.body) > 0 {
		request.BodyHash = max(1, xxhash.Sum64(txn.body))
	}
	return &ownershipGuard{
		ownership: (*registry).Begin(request), shard: sh, withdrawnCh: make(chan struct{}, 1), started: time.Now(),
		timeout: txn.timeout,
	}
}

// admit reports whether the transaction may proceed, and answers the client if not.
func (guard *ownershipGuard) admit(ctx context.Context, front *FrontEnd, w http.ResponseWriter, txn *transaction) bool {
	if guard == nil {
		return true
	}
	// The registry may take longer than the client waits.
	ctx, stop := context.WithDeadline(ctx, guard.started.Add(guard.timeout))
	defer stop()
	prior, admission := guard.ownership.Check(ctx)
	guard.priorAttempt = prior
	if guard.checks++; guard.checks > maxChecks {
		admission = Defer
	}
	txn.timeout = max(0, guard.timeout-time.Since(guard.started))
	if admission == Admit && txn.timeout == 0 && guard.timeout > 0 {
		admission = Defer // no attempt has been sent
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

// arrival returns the description of the guarded transaction for the dispatcher.
func (guard *ownershipGuard) arrival(txn *transaction) desk.Arrival {
	arrival := txn.arrival()
	if guard != nil {
		arrival.DelaySend, arrival.PriorAttempt = true, guard.priorAttempt
	}
	return arrival
}

// permit acquires ownership for an attempt. Without it, nothing of the attempt may be sent.
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
	// A cancelled attempt was cancelled by the decision engine. Otherwise the transaction is withdrawn, unless an
	// attempt is in flight or may have run.
	if err != nil && attempt.Context.Err() == nil && !guard.mayHaveRun && guard.inFlight == 0 && !guard.finished &&
		guard.shard.desk.Withdraw(handle) {
		select {
		case guard.withdrawnCh <- struct{}{}:
		default:
		}
	}
	return false
}

// attemptEnded records the result of a permitted attempt.
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

// finish records that the client has its answer or no longer waits for it.
func (guard *ownershipGuard) finish() {
	if guard == nil {
		return
	}
	guard.mu.Lock()
	guard.finished = true
	guard.mu.Unlock()
	guard.release()
}

// release releases ownership once the completion is known.
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

// withdrawn returns the channel that receives when the transaction has been withdrawn from the dispatcher.
func (guard *ownershipGuard) withdrawn() <-chan struct{} {
	if guard == nil {
		return nil
	}
	return guard.withdrawnCh
}
