package controller

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// enterInBackground enters the queue in a goroutine and holds its turn for the given duration or until it is
// interrupted.
func enterInBackground(ctx context.Context, q *changeQueue, priority changePriority, duration time.Duration, admitted func()) <-chan error {
	ended := make(chan error, 1)
	go func() {
		turn, leave, err := q.enter(ctx, priority)
		if err != nil {
			ended <- err
			return
		}
		admitted()
		select {
		case <-time.After(duration):
		case <-turn.Done():
		}
		ended <- turn.Err()
		leave()
	}()
	synctest.Wait()
	return ended
}

func TestChangesRunOneAtATimeInArrivalOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &changeQueue{}
		var order []int
		var running atomic.Int32
		var all []<-chan error
		for n := range 8 {
			all = append(all, enterInBackground(t.Context(), q, ordinaryPriority, time.Second, func() {
				must.Eq(t, 1, running.Add(1))
				order = append(order, n)
				time.AfterFunc(time.Second-1, func() { running.Add(-1) })
			}))
		}
		for _, ended := range all {
			must.NoError(t, <-ended)
		}
		must.True(t, slices.IsSorted(order))
		must.Len(t, 8, order)
	})
}

// Behind a change that never ends, each waiting change must leave when its own deadline passes or its caller has
// gone, and must not be admitted afterwards.
func TestWaitingChangeLeavesAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &changeQueue{}
		_, leave, err := q.enter(t.Context(), ordinaryPriority)
		must.NoError(t, err)
		began := time.Now()
		admitted := 0
		var waiting []<-chan error
		for n := range 8 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Duration(n+1)*100*time.Millisecond)
			defer cancel()
			waiting = append(waiting, enterInBackground(ctx, q, ordinaryPriority, 0, func() { admitted++ }))
		}
		callerContext, cancelCaller := context.WithCancel(t.Context())
		last := enterInBackground(callerContext, q, ordinaryPriority, 0, func() { admitted++ })
		cancelCaller()
		must.ErrorIs(t, <-last, context.Canceled)
		for n, ended := range waiting {
			must.ErrorIs(t, <-ended, context.DeadlineExceeded)
			must.Eq(t, time.Duration(n+1)*100*time.Millisecond, time.Since(began))
		}
		leave()
		must.NoError(t, <-enterInBackground(t.Context(), q, ordinaryPriority, 0, func() { admitted++ }))
		must.Eq(t, 1, admitted)
	})
}

func TestMembershipChangeInterruptsAndPrecedesOrdinaryChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &changeQueue{}
		var order []string
		record := func(what string) func() { return func() { order = append(order, what) } }
		first := enterInBackground(t.Context(), q, ordinaryPriority, time.Hour, record("ordinary 1"))
		second := enterInBackground(t.Context(), q, ordinaryPriority, time.Second, record("ordinary 2"))
		began := time.Now()
		repair := enterInBackground(t.Context(), q, membershipPriority, time.Second, record("membership 1"))
		must.ErrorIs(t, <-first, context.Canceled)
		another := enterInBackground(t.Context(), q, membershipPriority, time.Second, record("membership 2"))
		must.NoError(t, <-repair) // a membership change does not interrupt another one
		must.NoError(t, <-another)
		must.NoError(t, <-second)
		must.Eq(t, []string{"ordinary 1", "membership 1", "membership 2", "ordinary 2"}, order)
		must.Eq(t, 3*time.Second, time.Since(began))
	})
}
