package ledger

import "time"

// Batcher collects the operations of one member for one consensus group: claims, which are sent at once, and releases,
// which may wait to share a batch. It does no I/O; times are nanoseconds on the monotonic clock of the member.
type Batcher struct {
	Timeout      time.Duration // without a response to a batch, the group then counts as unreachable
	ReleaseDelay time.Duration // longest wait of a release for further operations
	MaxKeys      int           // limit of keys in this group

	pendingClaims   []*PendingClaim
	pendingReleases []Op
	releasesSince   int64 // time since which the oldest release waits
	inFlight        map[int]*InFlightBatch
	lastBatchID     int
	lastAttempt     uint64 // number given to the last new claim
	unreachable     bool
	probedAt        int64 // time of the last probe
}

// PendingClaim is a claim that waits for its result.
type PendingClaim struct {
	Op      Op
	Done    func(Result, error) // called once, unless the claim is abandoned
	settled bool                // Done was called, or the claim was abandoned
}

// InFlightBatch is a batch that was sent and has no response yet.
type InFlightBatch struct {
	ID     int
	Batch  Batch
	claims []*PendingClaim // for the first operations of the batch, in order
	sentAt int64
}

const (
	maxInFlightBatches = 4
	maxBatchOps        = 256 // claims, and as many releases, in one batch
	probeInterval      = 100 * time.Millisecond
)

// NewBatcher returns an empty Batcher. The limits may be changed later through its fields.
func NewBatcher(timeout, releaseDelay time.Duration, maxKeys int) *Batcher {
	return &Batcher{Timeout: timeout, ReleaseDelay: releaseDelay, MaxKeys: maxKeys, inFlight: map[int]*InFlightBatch{}}
}

// AddClaim queues a claim. A claim without an attempt number gets the next one.
func (batcher *Batcher) AddClaim(claim *PendingClaim) {
	if claim.Op.Attempt == 0 {
		batcher.lastAttempt++
		claim.Op.Attempt = batcher.lastAttempt
	}
	batcher.pendingClaims = append(batcher.pendingClaims, claim)
}

// lowWatermark returns the attempt number below which no claim is undecided.
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

// Abandon ends the wait for a claim: it is removed from the queue, or released if it is granted after all. The release
// of a claim in flight is queued with the response to its batch: if it overtook the claim, the claim would stay open
// forever.
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
	}
}

// AddRelease queues a release.
func (batcher *Batcher) AddRelease(op Op, now int64) {
	if len(batcher.pendingReleases) == 0 {
		batcher.releasesSince = now
	}
	batcher.pendingReleases = append(batcher.pendingReleases, op)
}

// NextBatch returns the batch to send now, or nil. In that case wakeAt is when the next one is due, 0 if that depends
// on further operations or responses.
func (batcher *Batcher) NextBatch(now int64) (batch *InFlightBatch, wakeAt int64) {
	releasesDue := len(batcher.pendingReleases) > 0 && now >= batcher.releasesSince+int64(batcher.ReleaseDelay)
	if len(batcher.pendingClaims) == 0 && !releasesDue || len(batcher.inFlight) >= maxInFlightBatches {
		if len(batcher.pendingReleases) > 0 && len(batcher.inFlight) < maxInFlightBatches {
			wakeAt = batcher.releasesSince + int64(batcher.ReleaseDelay)
		}
		return nil, wakeAt
	}
	batcher.lastBatchID++
	batch = &InFlightBatch{ID: batcher.lastBatchID, sentAt: now,
		Batch: Batch{MaxKeys: batcher.MaxKeys, LowWatermark: batcher.lowWatermark()}}
	count := min(len(batcher.pendingClaims), maxBatchOps)
	batch.claims, batcher.pendingClaims = batcher.pendingClaims[:count:count], batcher.pendingClaims[count:]
	for _, claim := range batch.claims {
		batch.Batch.Ops = append(batch.Batch.Ops, claim.Op)
	}
	count = min(len(batcher.pendingReleases), maxBatchOps)
	batch.Batch.Ops, batcher.pendingReleases = append(batch.Batch.Ops, batcher.pendingReleases[:count]...),
		batcher.pendingReleases[count:]
	batcher.releasesSince = now
	batcher.inFlight[batch.ID] = batch
	return batch, 0
}

// HandleResponse processes the response to a batch, or err if there is none. If the session has ended, pending releases
// are dropped: the consensus group has already released its claims with an unknown outcome.
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
			// The claim may have been granted; without a release, others would wait for it forever.
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

// Unreachable reports whether the consensus group counts as unreachable: a batch has failed, or waits longer than
// Timeout for its response.
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

// BeginProbe reports whether the unreachable group should be probed now. EndProbe takes the result.
func (batcher *Batcher) BeginProbe(now int64) bool {
	if !batcher.unreachable || now-batcher.probedAt < int64(probeInterval) {
		return false
	}
	batcher.probedAt = now
	return true
}

// EndProbe processes the result of a probe.
func (batcher *Batcher) EndProbe(reachable bool) {
	batcher.unreachable = batcher.unreachable && !reachable
}

// Pending returns the number of queued claims, queued releases and batches in flight.
func (batcher *Batcher) Pending() (claims, releases, batches int) {
	return len(batcher.pendingClaims), len(batcher.pendingReleases), len(batcher.inFlight)
}
