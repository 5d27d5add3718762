// Package meshsim plays the mesh's own state machines on a virtual clock: seeded, the same on any machine, thousands of
// days in seconds. It holds no decision of the mesh; it only stands in for clocks, links, disks, machines and callers.
package simulation

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"
)

// Spans of virtual time, in nanoseconds.
const (
	Ms = int64(1e6)
	S  = int64(1e9)
)

// World is a clock and what is going to happen, in order of time and then of order.
type World struct {
	Now   int64
	seed  uint64
	order uint64
	queue events
}

type event struct {
	at    int64
	order uint64
	do    func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(e any)   { *q = append(*q, e.(event)) }
func (q *events) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return e
}

// NewWorld makes one; all chance in it comes from the seed.
func NewWorld(seed uint64) *World { return &World{seed: seed} }

// Chance is an actor's own source: what one actor draws changes nothing for another.
func (w *World) Chance(actor string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(actor))
	return rand.New(rand.NewPCG(w.seed, h.Sum64()))
}

// After has something happen later.
func (w *World) After(d int64, do func()) {
	w.order++
	heap.Push(&w.queue, event{w.Now + max(d, 0), w.order, do})
}

// Run lets time go by.
func (w *World) Run(until int64) {
	for len(w.queue) > 0 && w.queue[0].at <= until {
		e := heap.Pop(&w.queue).(event)
		w.Now = e.at
		e.do()
	}
	w.Now = max(w.Now, until)
}
