package proxy

import (
	"context"
	"slices"
	"time"

	"ottershift/internal/mesh/apierror"
)

// waitingRequest is a request that waits for a slot.
type waitingRequest struct {
	id    string
	due   time.Time // when it is of full worth no more: whoever is due first goes first
	leave chan bool // has room for one: whether it has the slot
}

// admit lets a request through to the life that it is meant for, or says why not; leave ends what was let through. Where
// all slots are taken it waits for a quarter of its aim, behind those that are due sooner. Invariant: first come, first served,
// the short calls of work that is under way elsewhere stand behind long ones, and fail all that they are a part of.
func (b *localUpstream) admit(ctx context.Context, s *upstreamRequest, now time.Time) (address string, kind apierror.Kind) {
	b.mu.Lock()
	if address, kind = b.addressOf(s.to, now); kind != apierror.None {
		b.mu.Unlock()
		return address, kind
	}
	if b.id == "" || b.up.Capacity <= 0 || b.open < b.slots() {
		b.open++
		b.mu.Unlock()
		return address, apierror.None
	}
	due := now.Add(s.aim)
	at, _ := slices.BinarySearchFunc(b.waiting, due, func(t *waitingRequest, due time.Time) int { return t.due.Compare(due) })
	if at >= 2*b.up.Capacity {
		b.mu.Unlock()
		return "", apierror.NoRoom
	}
	t := &waitingRequest{s.to, due, make(chan bool, 1)}
	b.waiting = slices.Insert(b.waiting, at, t)
	b.mu.Unlock()
	late := time.NewTimer(min(s.aim/4, time.Until(s.until)/4))
	defer late.Stop()
	select {
	case ok := <-t.leave:
		if ok {
			return address, apierror.None
		}
		return "", apierror.NoRoom
	case <-late.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	at = slices.Index(b.waiting, t)
	if at >= 0 {
		b.waiting = slices.Delete(b.waiting, at, at+1)
	}
	b.mu.Unlock()
	if at < 0 && <-t.leave { // it was its turn meanwhile
		if ctx.Err() != nil {
			b.leave(s.to)
			return "", apierror.NoRoom
		}
		return address, apierror.None
	}
	return "", apierror.NoRoom
}

// slots is how many requests may be at the upstream: those that it works on, and few that it need not wait for.
func (b *localUpstream) slots() int { return b.up.Capacity + b.up.Capacity/8 + 1 }

// leave ends a request at the upstream; the first that waits has its slot.
func (b *localUpstream) leave(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if id != b.id && b.id != "" {
		return // of a life that has ended
	}
	b.open = max(0, b.open-1)
	for len(b.waiting) > 0 && b.open < b.slots() {
		t := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		_, kind := b.addressOf(t.id, time.Now())
		if t.leave <- kind == apierror.None; kind == apierror.None {
			b.open++
		}
	}
}
