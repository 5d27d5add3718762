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
func (u *localUpstream) admit(ctx context.Context, s *upstreamRequest, now time.Time) (address string, kind apierror.Kind) {
	u.mu.Lock()
	if address, kind = u.addressOf(s.to, now); kind != apierror.None {
		u.mu.Unlock()
		return address, kind
	}
	at := u.sinceStart(now)
	if !s.again {
		u.queue.Shares.CountArrival(s.rank, at)
	}
	if u.id == "" || u.up.Capacity <= 0 || u.open < u.slots() {
		u.open++
		u.queue.Shares.CountServed(s.rank, at)
		u.mu.Unlock()
		return address, apierror.None
	}
	waiting := &priority.Waiter[waitingRequest]{Rank: s.rank, Due: at + int64(s.aim), Request: waitingRequest{s.to, make(chan bool, 1)}}
	joined := u.queue.Enqueue(waiting, queuePerSlot*u.up.Capacity, at)
	u.mu.Unlock()
	if joined && u.wait(ctx, s, waiting) {
		return address, apierror.None
	}
	return "", apierror.NoRoom
}

// queuePerSlot is how many requests may wait before another one, for each slot of the upstream.
const queuePerSlot = 2

// wait reports whether a request in the queue got a slot.
func (u *localUpstream) wait(ctx context.Context, s *upstreamRequest, waiting *priority.Waiter[waitingRequest]) bool {
	late := time.NewTimer(min(s.aim/4, time.Until(s.until)/4))
	defer late.Stop()
	select {
	case granted := <-waiting.Request.granted:
		return granted
	case <-late.C:
	case <-ctx.Done():
	}
	u.mu.Lock()
	removed := u.queue.Remove(waiting)
	u.mu.Unlock()
	if removed || !<-waiting.Request.granted {
		return false
	}
	if ctx.Err() != nil { // it got one meanwhile, and has no use for it
		u.leave(s.to)
		return false
	}
	return true
}

// slots is how many requests may be at the upstream: those that it works on, and few that it need not wait for.
func (u *localUpstream) slots() int { return u.up.Capacity + u.up.Capacity/8 + 1 }

// leave ends a request at the upstream; the next that waits has its slot.
func (u *localUpstream) leave(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if id != u.id && u.id != "" {
		return // of a life that has ended
	}
	u.open = max(0, u.open-1)
	now := time.Now()
	for u.open < u.slots() {
		next := u.queue.Dequeue(u.sinceStart(now))
		if next == nil {
			return
		}
		_, kind := u.addressOf(next.Request.id, now)
		if next.Request.granted <- kind == apierror.None; kind == apierror.None {
			u.open++
			u.queue.Shares.CountServed(next.Rank, u.sinceStart(now))
		}
	}
}

// sinceStart is a time as state without a clock is told it.
func (u *localUpstream) sinceStart(now time.Time) int64 { return int64(now.Sub(u.epoch)) }
