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

// Errors of a claim.
var (
	ErrUnreachable  = errors.New("consensus group is unreachable")
	ErrSessionEnded = errors.New("session of this member has ended")
	errResultCount  = errors.New("number of results differs from number of operations")
)

// GroupClient is a client of one consensus group.
type GroupClient interface {
	Do(ctx context.Context, x keep.Command) (keep.Result, error)
	ReadPart(ctx context.Context, part byte, body []byte, stale bool) ([]byte, error)
	Session() (epoch uint64, ok bool)
}

// Options configure a Ledger.
type Options struct {
	Groups       []GroupClient
	Timeout      time.Duration
	ReleaseDelay time.Duration
	MaxKeys      int // limit of keys over all consensus groups
	Rules        Rules
	Log          *slog.Logger
}

// Ledger is a member's client of the replicated ledger. Keys are spread over the consensus groups by hash.
type Ledger struct {
	options    Options
	startedAt  time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	groups     []*consensusGroup
	rules      atomic.Pointer[Rules]

	Counts struct {
		Claims, Granted, Bound, Held, MayHaveRun, BodyMismatch, Full, Failed, Waits, Deferred,
		Releases, Batches, Lookups atomic.Int64
	}
	mu           sync.Mutex
	slowestClaim time.Duration // slowest claim since the metrics were last read
}

// consensusGroup sends the batches of one consensus group.
type consensusGroup struct {
	ledger  *Ledger
	client  GroupClient
	wakeups chan struct{}
	timeout atomic.Int64

	mu                  sync.Mutex
	batcher             *Batcher
	reportedUnreachable bool // the log says that the group is unreachable
}

// Start starts a Ledger.
func Start(options Options) *Ledger {
	ledger := &Ledger{options: options, startedAt: time.Now()}
	ledger.ctx, ledger.cancel = context.WithCancel(context.Background())
	ledger.rules.Store(&options.Rules)
	for _, client := range options.Groups {
		cg := &consensusGroup{ledger: ledger, client: client, wakeups: make(chan struct{}, 1),
			batcher: NewBatcher(options.Timeout, options.ReleaseDelay, max(1, options.MaxKeys/len(options.Groups)))}
		cg.timeout.Store(int64(options.Timeout))
		ledger.groups = append(ledger.groups, cg)
		ledger.goroutines.Go(cg.run)
	}
	return ledger
}

// Reconfigure changes the settings for requests that arrive from now on.
func (ledger *Ledger) Reconfigure(timeout, releaseDelay time.Duration, maxKeys int, rules Rules) {
	ledger.rules.Store(&rules)
	for _, cg := range ledger.groups {
		cg.mu.Lock()
		cg.batcher.Timeout, cg.batcher.ReleaseDelay, cg.batcher.MaxKeys = timeout, releaseDelay, max(1, maxKeys/len(ledger.groups))
		cg.mu.Unlock()
		cg.timeout.Store(int64(timeout))
	}
}

// Flush waits until all queued operations have been sent and answered, at most for the timeout.
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

// Close stops the ledger. Claims whose release was not sent end with an unknown outcome.
func (ledger *Ledger) Close() {
	ledger.cancel()
	ledger.goroutines.Wait()
}

// now returns the nanoseconds since the start of the ledger.
func (ledger *Ledger) now() int64 { return int64(time.Since(ledger.startedAt)) }

// groupFor returns the consensus group of a key.
func (ledger *Ledger) groupFor(key Key) *consensusGroup {
	return ledger.groups[binary.BigEndian.Uint32(key[:])%uint32(len(ledger.groups))]
}

// wake lets run check again for batches to send.
func (cg *consensusGroup) wake() {
	select {
	case cg.wakeups <- struct{}{}:
	default:
	}
}

// run sends batches and probes when they are due.
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
				cg.ledger.options.Log.Warn("ledger", "step", "down", "fault",
					"consensus group is unreachable: requests that must not run twice are deferred")
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

// send sends a batch to the consensus group. It tries for twice as long as a claim waits, because the releases in the
// batch are worth delivering even when its claims have timed out.
func (cg *consensusGroup) send(batch *InFlightBatch) {
	cg.ledger.Counts.Batches.Add(1)
	ctx, cancel := context.WithTimeout(cg.ledger.ctx, 2*time.Duration(cg.timeout.Load()))
	defer cancel()
	answer, err := cg.client.Do(ctx, keep.Command{Kind: keep.PartCommand, Part: StateMachineID, Body: pack.Pack(&batch.Batch)})
	var results BatchResult
	if err == nil && answer.Code != keep.CodeOK {
		err = fmt.Errorf("consensus group refused the batch: %s", answer.Text())
	}
	if err == nil {
		err = pack.Unpack(answer.Body, &results)
	}
	cg.mu.Lock()
	cg.batcher.HandleResponse(batch, &results, err, errors.Is(err, keep.ErrSessionEnded), cg.ledger.now())
	cg.mu.Unlock()
	cg.wake()
}

// probe asks an unreachable consensus group whether it answers again.
func (cg *consensusGroup) probe() {
	ctx, cancel := context.WithTimeout(cg.ledger.ctx, time.Duration(cg.timeout.Load()))
	defer cancel()
	_, err := cg.lookup(ctx, Key{})
	cg.mu.Lock()
	cg.batcher.EndProbe(err == nil)
	cg.mu.Unlock()
	cg.wake()
}

// lookup reads the entry of a key from the consensus group; nil if there is none.
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

// Claim is the claim of one request. It may be used by several goroutines, but only one at a time may call Acquire.
type Claim struct {
	ledger     *Ledger
	consensus  *consensusGroup
	request    Request
	key        Key
	startedAt  time.Time
	clientWait time.Duration

	mu      sync.Mutex
	epoch   uint64 // session epoch under which it was granted, 0 while it is not granted
	attempt uint64 // number of the granted attempt
	group   string // upstream group for which it was granted
	refusal *Entry // what the last refusal said about the key
}

// NewClaim returns the claim of a request whose client waits for clientWait. Nothing is sent yet.
func (ledger *Ledger) NewClaim(req Request, clientWait time.Duration) *Claim {
	if !ledger.rules.Load().RequireSameBody {
		req.BodyHash = 0
	}
	claim := &Claim{ledger: ledger, request: req, key: req.Key(), startedAt: time.Now(), clientWait: clientWait}
	claim.consensus = ledger.groupFor(claim.key)
	return claim
}

// reachable reports whether there is a session and the consensus group is not known to be unreachable.
func (cg *consensusGroup) reachable() bool {
	if _, open := cg.client.Session(); !open {
		return false
	}
	cg.mu.Lock()
	defer cg.mu.Unlock()
	return !cg.batcher.Unreachable(cg.ledger.now())
}

// Check decides what to do with the request before Acquire, and again after Acquire was refused. If the rules say so,
// it waits until another attempt ends.
func (claim *Claim) Check(ctx context.Context) Decision {
	if !claim.consensus.reachable() {
		claim.ledger.Counts.Deferred.Add(1)
		return Decision{Action: ActionDefer} // no wait is needed: nothing has been sent, so a retry is safe
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
		decision := Decide(&claim.request, entry, *claim.ledger.rules.Load(), time.Since(waitStart),
			claim.clientWait-time.Since(claim.startedAt))
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

// Acquire claims the request for an upstream group, before an attempt is sent to one of its upstreams; movable says
// that no attempt has run. The attempt may be sent only if there is no error. A granted claim is valid for all attempts
// within the group, for as long as the session lasts.
func (claim *Claim) Acquire(ctx context.Context, group, upstream string, movable bool) error {
	claim.mu.Lock()
	grantedEpoch, grantedGroup, attempt := claim.epoch, claim.group, claim.attempt
	claim.mu.Unlock()
	epoch, open := claim.consensus.client.Session()
	if !open || grantedEpoch != 0 && epoch != grantedEpoch {
		claim.mu.Lock()
		if movable { // nothing has run, so the request may be claimed again
			claim.epoch, claim.attempt = 0, 0
		}
		claim.mu.Unlock()
		return ErrSessionEnded // another member may have claimed the key since the session ended
	}
	if grantedEpoch != 0 && grantedGroup == group {
		return nil
	}
	startedAt := time.Now()
	settled := make(chan struct{})
	var result Result
	var claimErr error
	pending := &PendingClaim{Op: Op{
		Kind: opClaim, Key: claim.key[:], Attempt: attempt, Group: group, Upstream: upstream, Movable: movable,
		OnceOnly: claim.request.OnceOnly, Pool: claim.request.Pool, Customer: claim.request.Customer,
		Tariff: claim.request.Tariff, Retention: int64(claim.request.Retention), RequestID: Truncate(claim.request.ID),
		BodyHash: claim.request.BodyHash, ClientKey: Truncate(claim.request.IdempotencyKey),
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
	if pending.settled { // the result arrived after all
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
		// The session may have ended while the response was in flight. Then other members see an unknown outcome in the
		// claimed group, which is correct for an attempt sent to that group.
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

// RefusedError reports a claim that was not granted.
type RefusedError struct{ Code byte }

// Error implements error.
func (r *RefusedError) Error() string { return "claim refused: " + codeNames[r.Code] }

const maxDisplayBytes = 32 // length to which keys and request IDs are truncated for display

// Truncate returns the prefix of an Idempotency-Key or a request ID that the ledger stores for display.
func Truncate(text string) string { return text[:min(len(text), maxDisplayBytes)] }

// Release ends the claim with OutcomeNeverRan, OutcomeAnswered or OutcomeUnknown. The release is sent in the
// background; if it is lost, the outcome is unknown once the session ends.
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

// Unreachable reports whether any consensus group is unreachable.
func (ledger *Ledger) Unreachable() bool {
	for _, cg := range ledger.groups {
		if !cg.reachable() {
			return true
		}
	}
	return false
}

// WriteMetrics writes the metrics of the ledger, one on a line.
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
		{"down", int64(unreachable)}, {"claims", counts.Claims.Load()}, {"granted", counts.Granted.Load()},
		{"held", counts.Held.Load()}, {"bound", counts.Bound.Load()},
		{"ran", counts.MayHaveRun.Load()}, {"differs", counts.BodyMismatch.Load()}, {"full", counts.Full.Load()},
		{"failed", counts.Failed.Load()}, {"waits", counts.Waits.Load()},
		{"deferred", counts.Deferred.Load()}, {"looks", counts.Lookups.Load()}, {"ends", counts.Releases.Load()},
		{"batches", counts.Batches.Load()},
		{"slowest_ms", slowest.Milliseconds()}, {"bound_within_ms", time.Duration(ledger.groups[0].timeout.Load()).Milliseconds()},
	} {
		fmt.Fprintf(writer, "cluster_ledger_%s %d\n", metric.name, metric.v)
	}
}
