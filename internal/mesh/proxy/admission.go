package proxy

import (
	"context"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/priority"
)

// waitingRequest is a request that waits for a slot.
type waitingRequest struct {
	id      string
	granted chan bool // has room for one: whether it has the slot
}

// admit lets a request through to the life that it is meant for, or says why not; leave ends what was let through. Where all
// slots are taken it waits for a quarter of its aim, in the order of priority.Queue: the most urgent rank first and, within a rank,
// who is due first. Invariant: first come, first served, the short calls of work that is under way elsewhere stand behind long
// ones, and fail all that they are a part of.
func (u *localUpstream) admit(ctx context.Context, request *upstreamRequest, now time.Time) (address string, kind apierror.Kind) {
	u.mu.Lock()
	if address, kind = u.addressOf(request.upstreamID, now); kind != apierror.None {
		u.mu.Unlock()
		return address, kind
	}
	elapsed := u.sinceStart(now)
	if !request.retried {
		u.queue.Shares.Came(request.rank, elapsed)
	}
	if u.id == "" || u.reported.Capacity <= 0 || u.active < u.slots() {
		u.active++
		u.queue.Shares.Served(request.rank, elapsed)
		u.mu.Unlock()
		return address, apierror.None
	}
	waiter := &priority.Waiter[waitingRequest]{Rank: request.rank, Due: elapsed + int64(request.latencyTarget), Request: waitingRequest{request.upstreamID, make(chan bool, 1)}}
	joined := u.queue.Join(waiter, maxQueuedPerSlot*u.reported.Capacity, elapsed)
	u.mu.Unlock()
	if joined && u.wait(ctx, request, waiter) {
		return address, apierror.None
	}
	return "", apierror.NoRoom
}

// maxQueuedPerSlot is how many requests may wait before another one, for each slot of the upstream.
const maxQueuedPerSlot = 2

// wait reports whether a request in the queue got a slot.
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
	if ctx.Err() != nil { // it got one meanwhile, and has no use for it
		u.release(request.upstreamID)
		return false
	}
	return true
}

// slots is how many requests may be at the upstream: those that it works on, and few that it need not wait for.
func (u *localUpstream) slots() int { return u.reported.Capacity + u.reported.Capacity/8 + 1 }

// release ends a request at the upstream; the next that waits has its slot.
func (u *localUpstream) release(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id != u.id && u.id != "" {
		return // of a life that has ended
	}
	u.active = max(0, u.active-1)
	now := time.Now()
	for u.active < u.slots() {
		next := u.queue.Next(u.sinceStart(now))
		if next == nil {
			return
		}
		_, kind := u.addressOf(next.Request.id, now)
		if next.Request.granted <- kind == apierror.None; kind == apierror.None {
			u.active++
			u.queue.Shares.Served(next.Rank, u.sinceStart(now))
		}
	}
}

// sinceStart is a time as state without a clock is told it.
func (u *localUpstream) sinceStart(now time.Time) int64 { return int64(now.Sub(u.epoch)) }
