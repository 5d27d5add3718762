package ledger

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/cluster/keep"
	"ottershift/internal/cluster/pack"
)

// Faults of a claim.
var (
	ErrUnreachable  = errors.New("the keepers are not reached")
	ErrSessionEnded = errors.New("this run is over at the keepers")
	errResultCount  = errors.New("an answer that doesn't fit its batch")
)

// GroupClient is one group of them, as a client has it.
type GroupClient interface {
	Do(ctx context.Context, x keep.Command) (keep.Answer, error)
	ReadPart(ctx context.Context, part byte, body []byte, stale bool) ([]byte, error)
	Session() (epoch uint64, ok bool)
}

// Options say how a member claims.
type Options struct {
	Groups       []GroupClient
	Timeout      time.Duration
	ReleaseDelay time.Duration
	MaxKeys      int // remembered at most, over all groups
	Rules        Rules
	Log          *slog.Logger
}

// Ledger is a member's way to the ledger.
type Ledger struct {
	options    Options
	startedAt  time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	groups     []*consensusGroup
	rules      atomic.Pointer[Rules]

	Counts       struct{ Claims, Granted, Bound, Held, MayHaveRun, BodyMismatch, Full, Failed, Waits, Deferred, Releases, Batches, Lookups atomic.Int64 }
	mu           sync.Mutex
	slowestClaim time.Duration // slowest claim since it was asked
}

// consensusGroup is one group of keepers with the runner of its flow.
type consensusGroup struct {
	ledger  *Ledger
	client  GroupClient
	wakeups chan struct{}
	timeout atomic.Int64

	mu                  sync.Mutex
	batcher             *Batcher
	reportedUnreachable bool // that it is down
}

// Start starts it.
func Start(options Options) *Ledger {
	ledger := &Ledger{options: options, startedAt: time.Now()}
	ledger.ctx, ledger.cancel = context.WithCancel(context.Background())
	ledger.rules.Store(&options.Rules)
	for _, client := range options.Groups {
		cg := &consensusGroup{ledger: ledger, client: client, wakeups: make(chan struct{}, 1), batcher: NewBatcher(options.Timeout, options.ReleaseDelay, max(1, options.MaxKeys/len(options.Groups)))}
		cg.timeout.Store(int64(options.Timeout))
		ledger.groups = append(ledger.groups, cg)
		ledger.goroutines.Go(cg.run)
	}
	return ledger
}

// Reconfigure puts other rules in force, for what comes from now on.
func (ledger *Ledger) Reconfigure(timeout, releaseDelay time.Duration, maxKeys int, rules Rules) {
	ledger.rules.Store(&rules)
	for _, cg := range ledger.groups {
		cg.mu.Lock()
		cg.batcher.Timeout, cg.batcher.ReleaseDelay, cg.batcher.MaxKeys = timeout, releaseDelay, max(1, maxKeys/len(ledger.groups))
		cg.mu.Unlock()
		cg.timeout.Store(int64(timeout))
	}
}

// Flush tells all ends that wait, within a time.
func (ledger *Ledger) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		outstanding := 0
		for _, cg := range ledger.groups {
			cg.mu.Lock()
			claims, releases, batches := cg.batcher.Pending()
			cg.mu.Unlock()
			outstanding += claims + releases + batches
		}
		if outstanding == 0 {
			return
		}
	}
}

// Close ends it. What was not told is unknown to others.
func (ledger *Ledger) Close() {
	ledger.cancel()
	ledger.goroutines.Wait()
}

func (ledger *Ledger) now() int64 { return int64(time.Since(ledger.startedAt)) }

func (ledger *Ledger) groupFor(key Key) *consensusGroup {
	return ledger.groups[binary.BigEndian.Uint32(key[:])%uint32(len(ledger.groups))]
}

func (cg *consensusGroup) wake() {
	select {
	case cg.wakeups <- struct{}{}:
	default:
	}
}

// run sends what is due.
func (cg *consensusGroup) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		cg.mu.Lock()
		now := cg.ledger.now()
		batch, wakeAt := cg.batcher.NextBatch(now)
		probe := batch == nil && cg.batcher.BeginProbe(now)
		unreachable := cg.batcher.Unreachable(now)
		if unreachable != cg.reportedUnreachable {
			cg.reportedUnreachable = unreachable
			if unreachable {
				cg.ledger.options.Log.Warn("ledger", "step", "down", "fault", "keepers are not reached: what must not run twice is deferred")
			} else {
				cg.ledger.options.Log.Info("ledger", "step", "back")
			}
		}
		if unreachable {
			wakeAt = now + int64(probeInterval)
		}
		cg.mu.Unlock()
		if batch != nil {
			cg.ledger.goroutines.Go(func() { cg.send(batch) })
			continue
		}
		if probe {
			cg.ledger.goroutines.Go(cg.probe)
		}
		wait := time.Hour
		if wakeAt != 0 {
			wait = time.Duration(max(wakeAt-now, 0))
		}
		timer.Reset(wait)
		select {
		case <-cg.wakeups:
		case <-timer.C:
		case <-cg.ledger.ctx.Done():
			return
		}
	}
}

// send has a batch agreed on. It is tried for longer than a claim waits: what it holds of ends is to arrive.
func (cg *consensusGroup) send(batch *InFlightBatch) {
	cg.ledger.Counts.Batches.Add(1)
	ctx, cancel := context.WithTimeout(cg.ledger.ctx, 2*time.Duration(cg.timeout.Load()))
	defer cancel()
	answer, err := cg.client.Do(ctx, keep.Command{Kind: keep.Custom, Part: StateMachineID, Body: pack.Pack(&batch.Batch)})
	var results BatchResult
	if err == nil && answer.Code != keep.OK {
		err = fmt.Errorf("the keepers say: %s", answer.Text())
	}
	if err == nil {
		err = pack.Unpack(answer.Body, &results)
	}
	cg.mu.Lock()
	cg.batcher.HandleResponse(batch, &results, err, errors.Is(err, keep.ErrMemberOver), cg.ledger.now())
	cg.mu.Unlock()
	cg.wake()
}

func (cg *consensusGroup) probe() {
	ctx, cancel := context.WithTimeout(cg.ledger.ctx, time.Duration(cg.timeout.Load()))
	defer cancel()
	_, err := cg.lookup(ctx, Key{})
	cg.mu.Lock()
	cg.batcher.EndProbe(err == nil)
	cg.mu.Unlock()
	cg.wake()
}

// lookup reads what is agreed on a key; nil for nothing.
func (cg *consensusGroup) lookup(ctx context.Context, key Key) (*Entry, error) {
	raw, err := cg.client.ReadPart(ctx, StateMachineID, pack.Pack(&Query{Kind: "look", Key: key[:]}), false)
	if err != nil {
		return nil, err
	}
	var page Page
	if err := pack.Unpack(raw, &page); err != nil {
		return nil, err
	}
	if len(page.Entries) == 0 {
		return nil, nil
	}
	return &page.Entries[0], nil
}

// Claim is one transaction's, for as long as it is in hand. One goroutine at a time asks it to Take.
type Claim struct {
	ledger     *Ledger
	consensus  *consensusGroup
	request    Request
	key        Key
	startedAt  time.Time
	clientWait time.Duration

	mu      sync.Mutex
	epoch   uint64 // of the run that it was granted to, 0 before
	attempt uint64 // that it was granted by
	group   string
	refusal *Entry // what the last refusal said
}

// NewClaim takes a transaction, which its client waits so long for.
func (ledger *Ledger) NewClaim(req Request, clientWait time.Duration) *Claim {
	if !ledger.rules.Load().RequireSameBody {
		req.BodyHash = 0
	}
	claim := &Claim{ledger: ledger, request: req, key: req.Key(), startedAt: time.Now(), clientWait: clientWait}
	claim.consensus = ledger.groupFor(claim.key)
	return claim
}

// reachable reports whether it makes sense to ask keepers now.
func (cg *consensusGroup) reachable() bool {
	if _, open := cg.client.Session(); !open {
		return false
	}
	cg.mu.Lock()
	defer cg.mu.Unlock()
	return !cg.batcher.Unreachable(cg.ledger.now())
}

// Check says what the transaction may do before it is taken, or taken again after a refusal. It waits for another try's end
// where that is the rule.
func (claim *Claim) Check(ctx context.Context) Decision {
	if !claim.consensus.reachable() {
		claim.ledger.Counts.Deferred.Add(1)
		return Decision{Action: ActionDefer} // at once, and harmless: nothing of it has left
	}
	claim.mu.Lock()
	entry := claim.refusal
	claim.refusal = nil
	claim.mu.Unlock()
	waitStart := time.Now()
	for first := true; ; first = false {
		if entry == nil && (claim.request.IsRetry || !first) {
			claim.ledger.Counts.Lookups.Add(1)
			lookupCtx, cancel := context.WithTimeout(ctx, time.Duration(claim.consensus.timeout.Load()))
			found, err := claim.consensus.lookup(lookupCtx, claim.key)
			cancel()
			if err != nil {
				claim.ledger.Counts.Deferred.Add(1)
				return Decision{Action: ActionDefer}
			}
			entry = found
		}
		decision := Decide(&claim.request, entry, *claim.ledger.rules.Load(), time.Since(waitStart), claim.clientWait-time.Since(claim.startedAt))
		switch decision.Action {
		case ActionDefer:
			claim.ledger.Counts.Deferred.Add(1)
		case ActionForfeit:
			claim.ledger.Counts.MayHaveRun.Add(1)
		case ActionSend:
			if decision.Bound {
				claim.ledger.Counts.Bound.Add(1)
			}
		}
		if decision.Action != ActionWait {
			return decision
		}
		claim.ledger.Counts.Waits.Add(1)
		entry = nil
		select {
		case <-time.After(decision.Delay):
		case <-ctx.Done():
			return Decision{Action: ActionDefer}
		}
	}
}

// Acquire claims the transaction for a group, before a push leaves for one of its upstreams; moves says that no push of it has run. The push may
// leave only if there is no error. Granted once it holds for all pushes to that group, as long as this run does.
func (claim *Claim) Acquire(ctx context.Context, group, upstream string, movable bool) error {
	claim.mu.Lock()
	grantedEpoch, grantedGroup, attempt := claim.epoch, claim.group, claim.attempt
	claim.mu.Unlock()
	epoch, open := claim.consensus.client.Session()
	if !open || grantedEpoch != 0 && epoch != grantedEpoch {
		claim.mu.Lock()
		if movable { // nothing of it has run, so it may be claimed anew
			claim.epoch, claim.attempt = 0, 0
		}
		claim.mu.Unlock()
		return ErrSessionEnded // danger: what this run held may be another's by now
	}
	if grantedEpoch != 0 && grantedGroup == group {
		return nil
	}
	startedAt := time.Now()
	settled := make(chan struct{})
	var result Result
	var claimErr error
	pending := &PendingClaim{Op: Op{
		Kind: opClaim, Key: claim.key[:], Attempt: attempt, Group: group, Upstream: upstream, Movable: movable, OnceOnly: claim.request.OnceOnly, Pool: claim.request.Pool, Customer: claim.request.Customer,
		Tariff: claim.request.Tariff, Retention: int64(claim.request.Retention), RequestID: Truncate(claim.request.ID), BodyHash: claim.request.BodyHash, ClientKey: Truncate(claim.request.IdempotencyKey),
	}, Done: func(r Result, e error) { result, claimErr = r, e; close(settled) }}
	claim.ledger.Counts.Claims.Add(1)
	claim.consensus.mu.Lock()
	if claim.consensus.batcher.Unreachable(claim.ledger.now()) {
		claim.consensus.mu.Unlock()
		return ErrUnreachable
	}
	claim.consensus.batcher.AddClaim(pending)
	claim.consensus.mu.Unlock()
	claim.consensus.wake()
	timer := time.NewTimer(time.Duration(claim.consensus.timeout.Load()))
	defer timer.Stop()
	var err error
	select {
	case <-settled:
	case <-timer.C:
		err = ErrUnreachable
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	claim.consensus.mu.Lock()
	if pending.settled { // its word is there, if only just
		err = claimErr
	} else {
		claim.consensus.batcher.Abandon(pending)
	}
	claim.consensus.mu.Unlock()
	if err != nil {
		claim.ledger.Counts.Failed.Add(1)
		return err
	}
	claim.ledger.mu.Lock()
	claim.ledger.slowestClaim = max(claim.ledger.slowestClaim, time.Since(startedAt))
	claim.ledger.mu.Unlock()
	claim.mu.Lock()
	defer claim.mu.Unlock()
	switch result.Code {
	case CodeGranted:
		// Danger: the run may have been ended while the word was on its way; then others go by what it was claimed for, and so
		// does a push to that group.
		claim.ledger.Counts.Granted.Add(1)
		claim.epoch, claim.group, claim.attempt = epoch, group, pending.Op.Attempt
		return nil
	case CodeHeld:
		claim.ledger.Counts.Held.Add(1)
	case CodeFull:
		claim.ledger.Counts.Full.Add(1)
	case CodeBodyMismatch:
		claim.ledger.Counts.BodyMismatch.Add(1)
	}
	claim.refusal = result.AsEntry()
	return &RefusedError{result.Code}
}

// RefusedError is a claim that was not granted.
type RefusedError struct{ Code byte }

func (r *RefusedError) Error() string { return "not granted: " + codeNames[r.Code] }

const maxDisplayBytes = 32 // bytes of a key or id that are kept to be shown

// Truncate is as much of a key or an id as is kept to be shown.
func Truncate(text string) string { return text[:min(len(text), maxDisplayBytes)] }

// Release says how a transaction ended; how is EndNever, EndAnswered or EndUnknown. It is told when it suits; lost on its way, it
// makes "unknown".
func (claim *Claim) Release(outcome byte) {
	claim.mu.Lock()
	grantedEpoch, attempt := claim.epoch, claim.attempt
	claim.epoch = 0
	claim.mu.Unlock()
	if epoch, open := claim.consensus.client.Session(); grantedEpoch == 0 || !open || epoch != grantedEpoch {
		return
	}
	claim.ledger.Counts.Releases.Add(1)
	claim.consensus.mu.Lock()
	claim.consensus.batcher.AddRelease(Op{Kind: opRelease, Key: claim.key[:], Attempt: attempt, Outcome: outcome}, claim.ledger.now())
	claim.consensus.mu.Unlock()
	claim.consensus.wake()
}

// Unreachable reports whether any group of keepers is not reached.
func (ledger *Ledger) Unreachable() bool {
	for _, cg := range ledger.groups {
		if !cg.reachable() {
			return true
		}
	}
	return false
}

// WriteMetrics writes its figures, a line each.
func (ledger *Ledger) WriteMetrics(writer io.Writer) {
	ledger.mu.Lock()
	slowest := ledger.slowestClaim
	ledger.slowestClaim = 0
	ledger.mu.Unlock()
	unreachable := 0
	if ledger.Unreachable() {
		unreachable = 1
	}
	counts := &ledger.Counts
	for _, metric := range []struct {
		name string
		v    int64
	}{
		{"down", int64(unreachable)}, {"claims", counts.Claims.Load()}, {"granted", counts.Granted.Load()}, {"held", counts.Held.Load()}, {"bound", counts.Bound.Load()},
		{"ran", counts.MayHaveRun.Load()}, {"differs", counts.BodyMismatch.Load()}, {"full", counts.Full.Load()}, {"failed", counts.Failed.Load()}, {"waits", counts.Waits.Load()},
		{"deferred", counts.Deferred.Load()}, {"looks", counts.Lookups.Load()}, {"ends", counts.Releases.Load()}, {"batches", counts.Batches.Load()},
		{"slowest_ms", slowest.Milliseconds()}, {"bound_within_ms", time.Duration(ledger.groups[0].timeout.Load()).Milliseconds()},
	} {
		fmt.Fprintf(writer, "cluster_ledger_%s %d\n", metric.name, metric.v)
	}
}
