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

// enterIn enters in a goroutine of its own and runs until its turn is interrupted or the time is over.
func enterIn(ctx context.Context, q *changeQueue, priority changePriority, length time.Duration, admitted func()) <-chan error {
	ended := make(chan error, 1)
	go func() {
		turn, leave, err := q.enter(ctx, priority)
		if err != nil {
			ended <- err
			return
		}
		admitted()
		select {
		case <-time.After(length):
		case <-turn.Done():
		}
		ended <- turn.Err()
		leave()
	}()
	synctest.Wait()
	return ended
}

func TestChangesRunOneByOneInTheOrderOfArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &changeQueue{}
		var order []int
		var running atomic.Int32
		var all []<-chan error
		for n := range 8 {
			all = append(all, enterIn(t.Context(), q, ordinaryPriority, time.Second, func() {
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

// Behind a change that never ends, each waiting one leaves when its own time is over or its caller is gone, and those that
// have left are not admitted later.
func TestAWaitingChangeLeavesAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &changeQueue{}
		_, leave, err := q.enter(t.Context(), ordinaryPriority)
		must.NoError(t, err)
		began := time.Now()
		admitted := 0
		var waiting []<-chan error
		for n := range 8 {
			ctx, end := context.WithTimeout(t.Context(), time.Duration(n+1)*100*time.Millisecond)
			defer end()
			waiting = append(waiting, enterIn(ctx, q, ordinaryPriority, 0, func() { admitted++ }))
		}
		gone, hangUp := context.WithCancel(t.Context())
		last := enterIn(gone, q, ordinaryPriority, 0, func() { admitted++ })
		hangUp()
		must.ErrorIs(t, <-last, context.Canceled)
		for n, ended := range waiting {
			must.ErrorIs(t, <-ended, context.DeadlineExceeded)
			must.Eq(t, time.Duration(n+1)*100*time.Millisecond, time.Since(began))
		}
		leave()
		must.NoError(t, <-enterIn(t.Context(), q, ordinaryPriority, 0, func() { admitted++ }))
		must.Eq(t, 1, admitted)
	})
}

func TestAMembershipChangeInterruptsAndOvertakesOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := &changeQueue{}
		var order []string
		note := func(what string) func() { return func() { order = append(order, what) } }
		first := enterIn(t.Context(), q, ordinaryPriority, time.Hour, note("order 1"))
		second := enterIn(t.Context(), q, ordinaryPriority, time.Second, note("order 2"))
		began := time.Now()
		repair := enterIn(t.Context(), q, membershipPriority, time.Second, note("repair 1"))
		must.ErrorIs(t, <-first, context.Canceled)
		another := enterIn(t.Context(), q, membershipPriority, time.Second, note("repair 2"))
		must.NoError(t, <-repair) // a repair does not interrupt a repair
		must.NoError(t, <-another)
		must.NoError(t, <-second)
		must.Eq(t, []string{"order 1", "repair 1", "repair 2", "order 2"}, order)
		must.Eq(t, 3*time.Second, time.Since(began))
	})
}
