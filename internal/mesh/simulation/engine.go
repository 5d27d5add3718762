// Package simulation runs the mesh's own state machines on a virtual clock. A run is seeded and gives the same result
// on any machine; thousands of simulated days take seconds. The package makes no decisions on behalf of the mesh: it
// only models clocks, links, disks, machines and callers.
package simulation

import (
	"container/heap"
	"hash/fnv"
	"math/rand/v2"
)

// Units of virtual time, in nanoseconds.
const (
	Millisecond = int64(1e6)
	Second      = int64(1e9)
)

// Simulator is a discrete-event scheduler: a virtual clock and a queue of events, ordered by time and then by the
// order in which they were scheduled.
type Simulator struct {
	Now      int64
	seed     uint64
	sequence uint64
	queue    events
}

type event struct {
	at       int64
	sequence uint64
	action   func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
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

// NewSimulator returns a simulator whose random sources all derive from the seed.
func NewSimulator(seed uint64) *Simulator { return &Simulator{seed: seed} }

// Rand returns the random source of an actor. Each actor has its own, so that the draws of one do not affect another.
func (sim *Simulator) Rand(actor string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(actor))
	return rand.New(rand.NewPCG(sim.seed, h.Sum64()))
}

// After schedules an action. A negative delay counts as 0.
func (sim *Simulator) After(delay int64, action func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{sim.Now + max(delay, 0), sim.sequence, action})
}

// RunUntil runs all events up to a time and sets the clock to it.
func (sim *Simulator) RunUntil(until int64) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.Now = e.at
		e.action()
	}
	sim.Now = max(sim.Now, until)
}
