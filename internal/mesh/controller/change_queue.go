package controller

import (
	"context"
	"slices"
	"sync"
)

// changePriority is the rank of a change in the queue, lower ones first.
type changePriority uint8

// The priorities.
const (
	membershipPriority changePriority = iota // repair of the core
	ordinaryPriority                         // orders and everything else
	changePriorities   = iota
)

// changeQueue admits one change at a time, by priority and within it in the order of arrival. A waiting change leaves when
// its context ends; a running one is interrupted when a change of a higher priority arrives. The zero value is empty.
type changeQueue struct {
	mu      sync.Mutex
	running *changeTurn // nil for none
	waiting [changePriorities][]*changeTurn
}

// changeTurn is one stay in the queue.
type changeTurn struct {
	priority  changePriority
	admitted  chan struct{} // closed when the change may run
	interrupt context.CancelFunc
}

// enter waits until a change may run. The turn's context ends with ctx or when a change of a higher priority arrives: the
// change then has to leave. leave has to be called once.
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

// admitNext lets the first waiting change run if none does. Under mu.
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
