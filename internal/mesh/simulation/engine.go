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

// Simulator is a clock and what is going to happen, in order of time and then of order.
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

// NewSimulator makes one; all chance in it comes from the seed.
func NewSimulator(seed uint64) *Simulator { return &Simulator{seed: seed} }

// Rand is an actor's own source: what one actor draws changes nothing for another.
func (sim *Simulator) Rand(actor string) *rand.Rand {
	h := fnv.New64a()
	h.Write([]byte(actor))
	return rand.New(rand.NewPCG(sim.seed, h.Sum64()))
}

// After has something happen later.
func (sim *Simulator) After(delay int64, action func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{sim.Now + max(delay, 0), sim.sequence, action})
}

// RunUntil lets time go by.
func (sim *Simulator) RunUntil(until int64) {
	for len(sim.queue) > 0 && sim.queue[0].at <= until {
		e := heap.Pop(&sim.queue).(event)
		sim.Now = e.at
		e.action()
	}
	sim.Now = max(sim.Now, until)
}
