package priority

import (
	"cmp"
	"slices"
)

// Waiter is a request in a queue.
type Waiter[T any] struct {
	Rank    Rank
	Due     int64 // when its answer is of full worth no more
	Request T
}

func (w *Waiter[T]) compare(other *Waiter[T]) int {
	return cmp.Or(w.Rank.Compare(other.Rank), cmp.Compare(w.Due, other.Due))
}

// Queue holds the requests that wait for a slot: the most urgent rank first, and within a rank who is due first. A rank that is
// served less than its least share goes before all others. Invariant: served by time alone, urgent requests with much time stand
// behind all others under load and are turned away.
type Queue[T any] struct {
	Shares  Shares
	waiting []*Waiter[T]
}

// Len is how many wait.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Enqueue lets a request wait, unless so many stand before it that there is no room for it. A rank that is owed its share may always
// have one request waiting.
func (q *Queue[T]) Enqueue(w *Waiter[T], capacity int, now int64) bool {
	position, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *Waiter[T]) int {
		if order := a.compare(b); order != 0 {
			return order
		}
		return -1 // behind those that are alike
	})
	if position >= capacity && (q.hasRank(w.Rank) || !q.Shares.Underserved(w.Rank, now)) {
		return false
	}
	q.waiting = slices.Insert(q.waiting, position, w)
	return true
}

// Dequeue takes the request whose turn it is out of the queue, nil if none waits. Who takes it tells Shares if it is served.
func (q *Queue[T]) Dequeue(now int64) *Waiter[T] {
	if len(q.waiting) == 0 {
		return nil
	}
	position := 0
	for n := len(q.waiting) - 1; n > 0; n-- {
		firstOfRank := q.waiting[n-1].Rank != q.waiting[n].Rank
		if firstOfRank && q.Shares.Underserved(q.waiting[n].Rank, now) {
			position = n
			break
		}
	}
	next := q.waiting[position]
	q.waiting = slices.Delete(q.waiting, position, position+1)
	return next
}

// Remove takes a request that waits no longer out of the queue, and reports whether it was there.
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
