package controller

import (
	"context"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
)

// Ends of a change of which nobody knows whether it counts.
var (
	errNoMajority = apierror.New(apierror.OutcomeUnknown, "no majority of the core has agreed in time")
	errInDoubt    = apierror.New(apierror.OutcomeUnknown, "the core has gone on, and whether this change was decided is not known")
)

// transform makes the state that is wanted of the newest one; nil where nothing more is wanted of it.
type transform func(newest *consensus.State) (*consensus.State, error)

// change has the core agree on what a function makes of the newest state. The function may be called several times, each
// time with what is the newest beyond doubt; an error of it ends the change. A nil state asks for nothing but that it is
// the newest. Changes from here run one after the other; one whose context ends leaves the queue with an unclear end. So
// does one that may have been decided without this process hearing of it: it is never made twice.
func (r *replicator) change(ctx context.Context, also func() []string, what transform) (*consensus.State, error) {
	return r.run(ctx, &runningChange{priority: ordinaryPriority, also: also, transform: what})
}

// changeUnlessSettled is change for a function that tells by the state itself whether the change was made, and then wants
// nothing of it. It is also called with the state that this process knows; where it wants nothing of it or fails, a read by
// majority that this is the newest ends the change: no disk is written and no rival is overtaken.
func (r *replicator) changeUnlessSettled(ctx context.Context, also func() []string, what transform) (*consensus.State, error) {
	known, _ := r.state()
	if next, err := what(known); next == nil && r.isNewest(ctx, known) {
		return known, err
	}
	return r.run(ctx, &runningChange{priority: ordinaryPriority, settles: true, also: also, transform: what})
}

// changeMembership is change for a repair of the core: it runs before every other change from here, and interrupts one that
// is running.
func (r *replicator) changeMembership(ctx context.Context, also func() []string, what transform) (*consensus.State, error) {
	return r.run(ctx, &runningChange{priority: membershipPriority, also: also, transform: what})
}

// runningChange is a change from its first attempt to its end.
type runningChange struct {
	priority  changePriority
	settles   bool // the function tells by the state itself whether the change was made
	also      func() []string
	transform transform
	doubt     changeDoubt
}

// run takes turns for a change until it has ended: one that is interrupted waits for another.
func (r *replicator) run(ctx context.Context, change *runningChange) (*consensus.State, error) {
	for ctx.Err() == nil {
		turn, leave, err := r.changes.enter(ctx, change.priority)
		if err != nil {
			r.counts.Increment("changes_left_queue")
			break
		}
		s, ended, err := r.runTurn(turn, change)
		leave()
		if ended {
			return s, err
		}
		if ctx.Err() == nil {
			r.counts.Increment("changes_interrupted")
		}
	}
	return nil, errNoMajority
}

// runTurn makes attempts until the change has ended, or the turn has.
func (r *replicator) runTurn(turn context.Context, change *runningChange) (s *consensus.State, ended bool, err error) {
	for attempt := 0; turn.Err() == nil; attempt++ {
		if known, _ := r.state(); change.settles {
			if next, err := change.transform(known); next == nil && r.isNewest(turn, known) {
				return known, true, err
			}
		}
		if s, ended, err := r.runAttempt(turn, change, attempt); ended {
			return s, true, err
		}
	}
	return nil, false, nil
}

// runAttempt makes one attempt, and does what has to be done before the next.
func (r *replicator) runAttempt(turn context.Context, change *runningChange, attempt int) (s *consensus.State, ended bool, err error) {
	began := time.Now()
	patience := max(refusalPatience<<min(attempt, maxAttemptDoublings), r.steps.attempt())
	if !r.hasContact(turn) {
		await(turn, nil, readPause)
		return nil, false, nil
	}
	base, p, request := r.propose(change.transform)
	switch {
	case change.doubt.decided(base):
		return base, true, nil
	case change.doubt.lasting(base) && !change.settles:
		return nil, true, errInDoubt
	}
	step := r.attempt(turn, base, p, request, patience)
	r.sawRound(p.Round)
	if p.Own && step != consensus.StepDecided {
		change.doubt.add(base.Index+1, request.Ballot)
	}
	switch step {
	case consensus.StepUnchanged:
		return p.State, true, p.Err
	case consensus.StepAhead:
		go r.learn(p.State) // Invariant: memory has it at once; a disk that hangs holds no change up
		r.waitForIndex(turn, p.State.Index)
		return p.State, change.doubt.decided(p.State), nil
	case consensus.StepDecided:
		r.spread(turn, base, p.State, change.also())
		return p.State, p.Own || change.doubt.decided(p.State), nil
	case consensus.StepBehind: // members that have not heard of the last decision
		await(turn, r.announce(base, nil), patience)
	case consensus.StepLost, consensus.StepWait:
		r.waitForRival(turn, base, time.Since(began), attempt)
	}
	return nil, false, nil
}

// hasContact reports whether a majority of the core answers this process. Invariant: no ballot goes out without it. A process
// whose requests arrive and whose answers are lost would overtake the attempts of all others and never end its own.
func (r *replicator) hasContact(ctx context.Context) bool {
	if r.current() {
		return true
	}
	_, reading := r.read(ctx)
	return reading.Heard()
}

// spread has this process and all others learn what it has seen decided.
func (r *replicator) spread(turn context.Context, base, decided *consensus.State, also []string) {
	r.counts.Increment("decided")
	go r.learn(decided)
	announced := r.announce(decided, also)
	if !sameCore(base, decided) { // a new core should hold what it begins with before the old one's disks may go
		await(turn, announced, stepTimeout)
	}
	r.waitForIndex(turn, decided.Index)
}
