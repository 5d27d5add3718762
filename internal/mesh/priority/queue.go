package priority

import (
	"cmp"
	"slices"
)

// Waiter is a request in a queue.
type Waiter[T any] struct {
	Rank    Rank
	Due     int64 // time until which its response has its full value, in nanoseconds
	Request T
}

func (w *Waiter[T]) compare(other *Waiter[T]) int {
	return cmp.Or(w.Rank.Compare(other.Rank), cmp.Compare(w.Due, other.Due))
}

// Queue holds the requests that wait for a slot, ordered by rank and within a rank by due time. A rank that is served
// less than its minimum share goes before all others. Ordering by due time alone would place urgent requests with a
// late due time behind all others under load, so that they would be rejected.
type Queue[T any] struct {
	Shares  Shares
	waiting []*Waiter[T]
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Enqueue adds a request and returns true, unless at least capacity requests are ahead of it. An underserved rank may
// always have one request waiting.
func (q *Queue[T]) Enqueue(w *Waiter[T], capacity int, now int64) bool {
	position, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *Waiter[T]) int {
		if order := a.compare(b); order != 0 {
			return order
		}
		return -1 // after equal elements
	})
	if position >= capacity && (q.hasRank(w.Rank) || !q.Shares.Underserved(w.Rank, now)) {
		return false
	}
	q.waiting = slices.Insert(q.waiting, position, w)
	return true
}

// Dequeue removes and returns the next request, or nil if the queue is empty. The caller must call Shares.CountServed
// if the request is served.
func (q *Queue[T]) Dequeue(now int64) *Waiter[T] {
	if len(q.waiting) == 0 {
		return nil
	}
	position := 0
	for i := len(q.waiting) - 1; i > 0; i-- {
		firstOfRank := q.waiting[i-1].Rank != q.waiting[i].Rank
		if firstOfRank && q.Shares.Underserved(q.waiting[i].Rank, now) {
			position = i
			break
		}
	}
	next := q.waiting[position]
	q.waiting = slices.Delete(q.waiting, position, position+1)
	return next
}

// Remove removes a request that no longer waits and reports whether it was in the queue.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	position := slices.Index(q.waiting, w)
	if position < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, position, position+1)
	return true
}

func (q *Queue[T]) hasRank(rank Rank) bool {
	return slices.ContainsFunc(q.waiting, func(w *Waiter[T]) bool { return w.Rank == rank })
}
