package simulation

import (
	"reflect"
	"slices"

	"ottershift/internal/mesh/consensus"
)

// judge is what an observer of everything knows, to hold the core's answers against.
type judge struct {
	decided      map[uint64]*consensus.State
	newestIndex  uint64
	applied      map[string]bool  // digests of orders that were seen decided
	confirmed    map[int64]string // by the version that it builds on, the order that was confirmed
	newest       int64            // version that was acknowledged
	acknowledged []acknowledgement
	orders       []*order
}

// acknowledgement is when a version came to be the newest acknowledged one.
type acknowledgement struct{ at, version int64 }

func newJudge() judge {
	return judge{decided: map[uint64]*consensus.State{}, applied: map[string]bool{}, confirmed: map[int64]string{}}
}

// newestAt is the newest version that had been acknowledged at a time.
func (j *judge) newestAt(at int64) (version int64) {
	for _, a := range slices.Backward(j.acknowledged) {
		if a.at <= at {
			return a.version
		}
	}
	return 0
}

// observeDecision holds decisions against one another: of a slot there is one.
func (w *coreWorld) observeDecision(s *consensus.State) {
	j := &w.judge
	was, is := j.decided[s.Index]
	if was == s {
		return
	}
	if is && !reflect.DeepEqual(was, s) {
		w.broke("two decisions in slot %d: version %d with %v and version %d with %v", s.Index, was.Edition, was.Core, s.Edition, s.Core)
	}
	j.decided[s.Index] = s
	j.newestIndex = max(j.newestIndex, s.Index)
	if n := len(s.AppliedChanges); n > 0 {
		j.applied[s.AppliedChanges[n-1].Digest] = true
	}
}

// observeConfirmation is an acknowledgement as an operator got it.
func (w *coreWorld) observeConfirmation(o *order) {
	j := &w.judge
	if other, is := j.confirmed[o.base]; is && other != o.digest {
		w.broke("two orders on version %d were confirmed: %s and %s", o.base, other, o.digest)
	}
	j.confirmed[o.base] = o.digest
	if o.edition > j.newest {
		j.newest = o.edition
		j.acknowledged = append(j.acknowledged, acknowledgement{w.Now, o.edition})
	}
}

// observeAnswer is a process's clear answer to a call that had come at some time: one that was cut off all the while can't
// know it.
func (w *coreWorld) observeAnswer(b *coreProcess, came int64, what string) {
	if len(w.founded.Core) > 1 && b.isolated(w.Now) && came >= b.isolatedSince {
		w.broke("cut off: process %d %s a call that came while it was cut off", b.number, what)
	}
}

// observeFewest notes how many disks hold the newest version that was acknowledged: the fewest that ever did is how near a
// day came to a loss.
func (w *coreWorld) observeFewest() {
	newest := w.judge.newest
	if newest == 0 {
		return
	}
	n := 0
	for _, b := range w.processes {
		accepted := b.disk.Accepted
		if b.disk.Decided.Edition >= newest || accepted != nil && accepted.Value.Edition >= newest {
			n++
		}
	}
	if w.day.Fewest == 0 || n < w.day.Fewest {
		w.day.Fewest = max(n, 1)
	}
}

// judgeOrders holds the answers to each order against what was decided.
func (w *coreWorld) judgeOrders() {
	for _, o := range w.judge.orders {
		if o.refusals > 0 && w.judge.applied[o.digest] {
			w.broke("refused: %s was taken and refused with 412", o.digest)
		}
		if o.op.OK && !w.judge.applied[o.digest] {
			w.broke("lost: %s was confirmed and never decided", o.digest)
		}
	}
}

// judgeNewest holds the state that is read at the end against what was acknowledged.
func (w *coreWorld) judgeNewest(s *consensus.State) {
	if s.Edition < w.judge.newest {
		w.broke("lost: version %d was acknowledged, %d is read", w.judge.newest, s.Edition)
	}
	oldest := int64(0)
	if w.Remembered > 0 || len(s.AppliedChanges) >= consensus.MaxAppliedChanges {
		oldest = s.AppliedChanges[0].Edition
	}
	for _, o := range w.judge.orders {
		is := slices.ContainsFunc(s.AppliedChanges, func(a consensus.AppliedChange) bool { return a.Digest == o.digest })
		if o.op.OK && o.edition >= oldest && !is {
			w.broke("lost: version %d was acknowledged and is not among those taken", o.edition)
		}
		if is && o.edition == s.Edition && string(s.Configuration) != string(o.content()) {
			w.broke("content: version %d is read as another's", s.Edition)
		}
	}
}
