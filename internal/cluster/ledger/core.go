package ledger

import "time"

// Batcher is what one member has under way at one group of keepers: claims that wait for their word, ends that are told when it
// suits. It has no I/O; time is nanoseconds on this member's monotonic clock.
type Batcher struct {
	Timeout      time.Duration // a batch without an answer for so long says that the keepers are not reached
	ReleaseDelay time.Duration // that an end waits at most for company
	MaxKeys      int           // keys in this group

	pendingClaims   []*PendingClaim
	pendingReleases []Op
	releasesSince   int64 // that the oldest end waits
	inFlight        map[int]*InFlightBatch
	lastBatchID     int
	lastAttempt     uint64 // of the last new claim
	unreachable     bool
	probedAt        int64 // that keepers were asked last whether they are there
}

// PendingClaim is a claim on its way.
type PendingClaim struct {
	Op      Op
	Done    func(Result, error) // once, unless it is abandoned
	settled bool                // it was told, or nobody waits for it any more
}

// InFlightBatch is a batch on its way.
type InFlightBatch struct {
	ID     int
	Batch  Batch
	claims []*PendingClaim // the first so many ops
	sentAt int64
}

const (
	maxInFlightBatches = 4   // on their way
	maxBatchOps        = 256 // in a batch
	probeInterval      = 100 * time.Millisecond
)

// NewBatcher makes one.
func NewBatcher(timeout, releaseDelay time.Duration, maxKeys int) *Batcher {
	return &Batcher{Timeout: timeout, ReleaseDelay: releaseDelay, MaxKeys: maxKeys, inFlight: map[int]*InFlightBatch{}}
}

// AddClaim takes a claim to send. One that isn't granted yet under a number of its own gets the next.
func (batcher *Batcher) AddClaim(claim *PendingClaim) {
	if claim.Op.Attempt == 0 {
		batcher.lastAttempt++
		claim.Op.Attempt = batcher.lastAttempt
	}
	batcher.pendingClaims = append(batcher.pendingClaims, claim)
}

// lowWatermark is the number under which nothing is undecided any more.
func (batcher *Batcher) lowWatermark() uint64 {
	lowest := batcher.lastAttempt + 1
	for _, claim := range batcher.pendingClaims {
		lowest = min(lowest, claim.Op.Attempt)
	}
	for _, batch := range batcher.inFlight {
		for _, claim := range batch.claims {
			lowest = min(lowest, claim.Op.Attempt)
		}
	}
	return lowest
}

// Abandon says that nobody waits for a claim any more: it is not sent, or what it comes to is let go.
func (batcher *Batcher) Abandon(claim *PendingClaim) {
	if claim.settled {
		return
	}
	claim.settled = true
	for i, pending := range batcher.pendingClaims {
		if pending == claim {
			batcher.pendingClaims = append(batcher.pendingClaims[:i:i], batcher.pendingClaims[i+1:]...)
			return
		}
	} // else it is on its way. Danger: an end that overtakes it would leave it open for good; so that waits for its batch
}

// AddRelease takes an end to tell.
func (batcher *Batcher) AddRelease(op Op, now int64) {
	if len(batcher.pendingReleases) == 0 {
		batcher.releasesSince = now
	}
	batcher.pendingReleases = append(batcher.pendingReleases, op)
}

// NextBatch is a batch that is to go now, nil for none; at is when there may be one, 0 if that hangs on what comes.
func (batcher *Batcher) NextBatch(now int64) (batch *InFlightBatch, wakeAt int64) {
	releasesDue := len(batcher.pendingReleases) > 0 && now >= batcher.releasesSince+int64(batcher.ReleaseDelay)
	if len(batcher.pendingClaims) == 0 && !releasesDue || len(batcher.inFlight) >= maxInFlightBatches {
		if len(batcher.pendingReleases) > 0 && len(batcher.inFlight) < maxInFlightBatches {
			wakeAt = batcher.releasesSince + int64(batcher.ReleaseDelay)
		}
		return nil, wakeAt
	}
	batcher.lastBatchID++
	batch = &InFlightBatch{ID: batcher.lastBatchID, sentAt: now, Batch: Batch{MaxKeys: batcher.MaxKeys, LowWatermark: batcher.lowWatermark()}}
	count := min(len(batcher.pendingClaims), maxBatchOps)
	batch.claims, batcher.pendingClaims = batcher.pendingClaims[:count:count], batcher.pendingClaims[count:]
	for _, claim := range batch.claims {
		batch.Batch.Ops = append(batch.Batch.Ops, claim.Op)
	}
	count = min(len(batcher.pendingReleases), maxBatchOps)
	batch.Batch.Ops, batcher.pendingReleases = append(batch.Batch.Ops, batcher.pendingReleases[:count]...), batcher.pendingReleases[count:]
	batcher.releasesSince = now
	batcher.inFlight[batch.ID] = batch
	return batch, 0
}

// HandleResponse takes what became of a batch. Over says that the run was ended: what it held is known to be unknown.
func (batcher *Batcher) HandleResponse(batch *InFlightBatch, results *BatchResult, err error, sessionEnded bool, now int64) {
	delete(batcher.inFlight, batch.ID)
	if err == nil && len(results.Results) != len(batch.Batch.Ops) {
		err = errResultCount
	}
	batcher.unreachable = err != nil
	if batcher.unreachable {
		batcher.probedAt = now
	}
	for i, claim := range batch.claims {
		var result Result
		if err == nil {
			result = results.Results[i]
		}
		if err != nil || claim.settled && result.Code == CodeGranted {
			// Danger: it may have been granted: without its end others would wait for it for good.
			batcher.AddRelease(Op{Kind: opRelease, Key: claim.Op.Key, Attempt: claim.Op.Attempt, Outcome: OutcomeNeverRan}, now)
		}
		if !claim.settled {
			claim.settled = true
			claim.Done(result, err)
		}
	}
	switch {
	case sessionEnded:
		batcher.pendingReleases = nil
	case err != nil:
		batcher.pendingReleases = append(append([]Op(nil), batch.Batch.Ops[len(batch.claims):]...), batcher.pendingReleases...)
		batcher.releasesSince = now
	}
}

// Unreachable reports whether the keepers are not reached as far as is known: a batch failed, or has waited for too long.
func (batcher *Batcher) Unreachable(now int64) bool {
	if batcher.unreachable {
		return true
	}
	for _, batch := range batcher.inFlight {
		if now-batch.sentAt > int64(batcher.Timeout) {
			return true
		}
	}
	return false
}

// BeginProbe reports whether keepers are to be asked whether they are there; Probed takes the answer.
func (batcher *Batcher) BeginProbe(now int64) bool {
	if !batcher.unreachable || now-batcher.probedAt < int64(probeInterval) {
		return false
	}
	batcher.probedAt = now
	return true
}

// EndProbe implements that.
func (batcher *Batcher) EndProbe(reachable bool) {
	batcher.unreachable = batcher.unreachable && !reachable
}

// Pending is what waits and what is out.
func (batcher *Batcher) Pending() (claims, ends, batches int) {
	return len(batcher.pendingClaims), len(batcher.pendingReleases), len(batcher.inFlight)
}
