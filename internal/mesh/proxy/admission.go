package proxy

import (
	"context"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/priority"
)

// waitingRequest is a request that waits for a slot of the local upstream.
type waitingRequest struct {
	id      string
	granted chan bool // buffered for one value, which says whether the request got the slot
}

// admit reserves a slot for a request at the upstream instance that it addresses, or returns why it can't; release
// frees the slot. If all slots are taken, the request waits for up to a quarter of its latency target in the order of
// priority.Queue: the most urgent rank first, and within a rank the earliest due time. In arrival order, the short
// calls that belong to work under way elsewhere would wait behind long ones and fail the work that they are part of.
func (u *localUpstream) admit(ctx context.Context, request *upstreamRequest, now time.Time) (address string, kind apierror.Kind) {
	u.mu.Lock()
	if address, kind = u.addressOf(request.upstreamID, now); kind != apierror.None {
		u.mu.Unlock()
		return address, kind
	}
	elapsed := u.sinceStart(now)
	if !request.retried {
		u.queue.Shares.CountArrival(request.rank, elapsed)
	}
	if u.id == "" || u.reported.Capacity <= 0 || u.active < u.slots() {
		u.active++
		u.queue.Shares.CountServed(request.rank, elapsed)
		u.mu.Unlock()
		return address, apierror.None
	}
	waiter := &priority.Waiter[waitingRequest]{Rank: request.rank, Due: elapsed + int64(request.latencyTarget),
		Request: waitingRequest{request.upstreamID, make(chan bool, 1)}}
	joined := u.queue.Enqueue(waiter, maxQueuedPerSlot*u.reported.Capacity, elapsed)
	u.mu.Unlock()
	if joined && u.wait(ctx, request, waiter) {
		return address, apierror.None
	}
	return "", apierror.NoCapacity
}

// maxQueuedPerSlot bounds how many requests may be ahead of another one in the queue, for each slot of the upstream.
const maxQueuedPerSlot = 2

// wait reports whether a queued request got a slot before its wait time was over.
func (u *localUpstream) wait(ctx context.Context, request *upstreamRequest, waiter *priority.Waiter[waitingRequest]) bool {
	timeout := time.NewTimer(min(request.latencyTarget/4, time.Until(request.deadline)/4))
	defer timeout.Stop()
	select {
	case granted := <-waiter.Request.granted:
		return granted
	case <-timeout.C:
	case <-ctx.Done():
	}
	u.mu.Lock()
	removed := u.queue.Remove(waiter)
	u.mu.Unlock()
	if removed || !<-waiter.Request.granted {
		return false
	}
	if ctx.Err() != nil { // cancelled after the slot was granted
		u.release(request.upstreamID)
		return false
	}
	return true
}

// slots returns how many requests may be at the upstream: its capacity and a small surplus, so that it need not wait
// for the next request.
func (u *localUpstream) slots() int { return u.reported.Capacity + u.reported.Capacity/8 + 1 }

// release frees the slot of a request and grants free slots to waiting requests.
func (u *localUpstream) release(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id != u.id && u.id != "" {
		return // the slot belonged to an instance that has ended
	}
	u.active = max(0, u.active-1)
	now := time.Now()
	for u.active < u.slots() {
		next := u.queue.Dequeue(u.sinceStart(now))
		if next == nil {
			return
		}
		_, kind := u.addressOf(next.Request.id, now)
		if next.Request.granted <- kind == apierror.None; kind == apierror.None {
			u.active++
			u.queue.Shares.CountServed(next.Rank, u.sinceStart(now))
		}
	}
}

// sinceStart converts a time to nanoseconds since the epoch of the queue and the outlier detector, which read no
// clock.
func (u *localUpstream) sinceStart(now time.Time) int64 { return int64(now.Sub(u.epoch)) }
