package controller

import (
	"context"
	"slices"
	"sync"
)

// changePriority is the priority of a change in the queue. Lower values run first.
type changePriority uint8

// Priorities of changes.
const (
	membershipPriority changePriority = iota // repairs of the core
	ordinaryPriority                         // all other changes
	changePriorities   = iota
)

// changeQueue admits one change at a time, by priority and in order of arrival within a priority. A waiting change
// leaves when its context ends. A running one is interrupted when a change of higher priority arrives. The zero value
// is an empty queue.
type changeQueue struct {
	mu      sync.Mutex
	running *changeTurn // nil if no change is running
	waiting [changePriorities][]*changeTurn
}

// changeTurn is one pass of a change through the queue.
type changeTurn struct {
	priority  changePriority
	admitted  chan struct{} // closed when the change may run
	interrupt context.CancelFunc
}

// enter waits until a change may run. The returned context ends with ctx, or when a change of higher priority
// arrives; the change must then leave. The caller must call leave once.
func (q *changeQueue) enter(ctx context.Context, priority changePriority) (turnContext context.Context, leave func(), err error) {
	turnContext, interrupt := context.WithCancel(ctx)
	turn := &changeTurn{priority: priority, admitted: make(chan struct{}), interrupt: interrupt}
	leave = func() {
		interrupt()
		q.remove(turn)
	}
	q.add(turn)
	select {
	case <-turn.admitted:
		return turnContext, leave, nil
	case <-ctx.Done():
		leave()
		return nil, nil, ctx.Err()
	}
}

func (q *changeQueue) add(turn *changeTurn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[turn.priority] = append(q.waiting[turn.priority], turn)
	if q.running != nil && turn.priority < q.running.priority {
		q.running.interrupt()
	}
	q.admitNext()
}

func (q *changeQueue) remove(turn *changeTurn) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.running == turn {
		q.running = nil
	}
	q.waiting[turn.priority] = slices.DeleteFunc(q.waiting[turn.priority], func(other *changeTurn) bool { return other == turn })
	q.admitNext()
}

// admitNext admits the first waiting change if none is running. q.mu must be held.
func (q *changeQueue) admitNext() {
	for priority := range q.waiting {
		if q.running != nil {
			return
		}
		if len(q.waiting[priority]) > 0 {
			q.running = q.waiting[priority][0]
			q.waiting[priority] = q.waiting[priority][1:]
			close(q.running.admitted)
		}
	}
}
