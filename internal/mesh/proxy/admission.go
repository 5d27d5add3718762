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
func (b *localUpstream) admit(ctx context.Context, s *upstreamRequest, now time.Time) (address string, kind apierror.Kind) {
	b.mu.Lock()
	if address, kind = b.addressOf(s.to, now); kind != apierror.None {
		b.mu.Unlock()
		return address, kind
	}
	at := b.sinceStart(now)
	if !s.again {
		b.queue.Shares.Came(s.rank, at)
	}
	if b.id == "" || b.up.Capacity <= 0 || b.open < b.slots() {
		b.open++
		b.queue.Shares.Served(s.rank, at)
		b.mu.Unlock()
		return address, apierror.None
	}
	waiting := &priority.Waiter[waitingRequest]{Rank: s.rank, Due: at + int64(s.aim), Request: waitingRequest{s.to, make(chan bool, 1)}}
	joined := b.queue.Join(waiting, queuePerSlot*b.up.Capacity, at)
	b.mu.Unlock()
	if joined && b.wait(ctx, s, waiting) {
		return address, apierror.None
	}
	return "", apierror.NoRoom
}

// queuePerSlot is how many requests may wait before another one, for each slot of the upstream.
const queuePerSlot = 2

// wait reports whether a request in the queue got a slot.
func (b *localUpstream) wait(ctx context.Context, s *upstreamRequest, waiting *priority.Waiter[waitingRequest]) bool {
	late := time.NewTimer(min(s.aim/4, time.Until(s.until)/4))
	defer late.Stop()
	select {
	case granted := <-waiting.Request.granted:
		return granted
	case <-late.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	removed := b.queue.Remove(waiting)
	b.mu.Unlock()
	if removed || !<-waiting.Request.granted {
		return false
	}
	if ctx.Err() != nil { // it got one meanwhile, and has no use for it
		b.leave(s.to)
		return false
	}
	return true
}

// slots is how many requests may be at the upstream: those that it works on, and few that it need not wait for.
func (b *localUpstream) slots() int { return b.up.Capacity + b.up.Capacity/8 + 1 }

// leave ends a request at the upstream; the next that waits has its slot.
func (b *localUpstream) leave(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id != b.id && b.id != "" {
		return // of a life that has ended
	}
	b.open = max(0, b.open-1)
	now := time.Now()
	for b.open < b.slots() {
		next := b.queue.Next(b.sinceStart(now))
		if next == nil {
			return
		}
		_, kind := b.addressOf(next.Request.id, now)
		if next.Request.granted <- kind == apierror.None; kind == apierror.None {
			b.open++
			b.queue.Shares.Served(next.Rank, b.sinceStart(now))
		}
	}
}

// sinceStart is a time as state without a clock is told it.
func (b *localUpstream) sinceStart(now time.Time) int64 { return int64(now.Sub(b.epoch)) }
