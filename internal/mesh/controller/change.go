package controller

import (
	"context"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
)

// Errors of a change whose outcome is unknown.
var (
	errNoMajority     = apierror.New(apierror.OutcomeUnknown, "no majority of the core agreed in time")
	errOutcomeUnknown = apierror.New(apierror.OutcomeUnknown, "the outcome of this change is unknown: the core has decided later changes")
)

// transform derives the wanted state from the newest one. A nil state means that nothing has to change.
type transform func(newest *consensus.State) (*consensus.State, error)

// change has the core agree on the state that apply derives from the newest one. It may call apply several times,
// each time with a state known to be the newest; an error from apply ends the change. If apply returns nil, change
// only verifies that the state is the newest. Changes of one controller run one at a time. A change whose context
// ends leaves the queue with an unclear outcome. So does a change that may have been decided without this controller
// learning of it: it is never applied twice.
func (r *replicator) change(ctx context.Context, alsoNotify func() []string, apply transform) (*consensus.State, error) {
	return r.runChange(ctx, &runningChange{priority: ordinaryPriority, alsoNotify: alsoNotify, transform: apply})
}

// changeIdempotent is change for an apply function that recognizes from the state whether it was already applied, and
// then returns nil. It also calls apply with the state known locally. If apply returns nil or an error there, a
// majority read that confirms this state as the newest ends the change without a disk write and without preempting
// another proposer.
func (r *replicator) changeIdempotent(ctx context.Context, alsoNotify func() []string, apply transform) (*consensus.State, error) {
	known, _ := r.knownState()
	if next, err := apply(known); next == nil && r.verifyNewest(ctx, known) {
		return known, err
	}
	return r.runChange(ctx, &runningChange{priority: ordinaryPriority, idempotent: true, alsoNotify: alsoNotify, transform: apply})
}

// changeMembership is change for repairs of the core. It runs before all other changes of this controller and
// interrupts a running one.
func (r *replicator) changeMembership(ctx context.Context, alsoNotify func() []string, apply transform) (*consensus.State, error) {
	return r.runChange(ctx, &runningChange{priority: membershipPriority, alsoNotify: alsoNotify, transform: apply})
}

// runningChange is a change from its first attempt to its outcome.
type runningChange struct {
	priority   changePriority
	idempotent bool // apply recognizes from the state whether it was already applied
	alsoNotify func() []string
	transform  transform
	inDoubt    inDoubtProposals
}

// runChange queues a change until it has ended. An interrupted change queues again.
func (r *replicator) runChange(ctx context.Context, change *runningChange) (*consensus.State, error) {
	for ctx.Err() == nil {
		turn, leave, err := r.changes.enter(ctx, change.priority)
		if err != nil {
			r.counts.Increment("changes_left_queue")
			break
		}
		state, ended, err := r.runTurn(turn, change)
		leave()
		if ended {
			return state, err
		}
		if ctx.Err() == nil {
			r.counts.Increment("changes_interrupted")
		}
	}
	return nil, errNoMajority
}

// runTurn makes attempts until the change or its turn has ended.
func (r *replicator) runTurn(turn context.Context, change *runningChange) (state *consensus.State, ended bool, err error) {
	for attempt := 0; turn.Err() == nil; attempt++ {
		if known, _ := r.knownState(); change.idempotent {
			if next, err := change.transform(known); next == nil && r.verifyNewest(turn, known) {
				return known, true, err
			}
		}
		if state, ended, err := r.runAttempt(turn, change, attempt); ended {
			return state, true, err
		}
	}
	return nil, false, nil
}

// runAttempt makes one attempt and prepares for the next one.
func (r *replicator) runAttempt(turn context.Context, change *runningChange, attempt int) (state *consensus.State, ended bool, err error) {
	began := time.Now()
	stragglerTimeout := max(refusalTimeout<<min(attempt, maxAttemptDoublings), r.latency.attempt())
	if !r.majorityReachable(turn) {
		waitAtMost(turn, nil, readRetryInterval)
		return nil, false, nil
	}
	base, proposal, request := r.propose(change.transform)
	switch {
	case change.inDoubt.decided(base):
		return base, true, nil
	case change.inDoubt.unresolvable(base) && !change.idempotent:
		return nil, true, errOutcomeUnknown
	}
	step := r.attempt(turn, base, proposal, request, stragglerTimeout)
	r.observeRound(proposal.Round)
	if proposal.Own && step != consensus.StepDecided {
		change.inDoubt.add(base.Index+1, request.Ballot)
	}
	switch step {
	case consensus.StepUnchanged:
		return proposal.State, true, proposal.Err
	case consensus.StepAhead:
		go r.learn(proposal.State) // in memory at once, so that a hanging disk does not delay the change
		r.waitForIndex(turn, proposal.State.Index)
		return proposal.State, change.inDoubt.decided(proposal.State), nil
	case consensus.StepDecided:
		r.publish(turn, base, proposal.State, change.alsoNotify())
		return proposal.State, proposal.Own || change.inDoubt.decided(proposal.State), nil
	case consensus.StepBehind: // some members have not learned the last decision
		waitAtMost(turn, r.announce(base, nil), stragglerTimeout)
	case consensus.StepLost, consensus.StepWait:
		r.waitForRival(turn, base, time.Since(began), attempt)
	}
	return nil, false, nil
}

// majorityReachable reports whether a majority of the core answers this controller. No ballot is sent without it: a
// controller whose requests arrive but whose responses are lost would preempt the attempts of all others and never
// complete its own.
func (r *replicator) majorityReachable(ctx context.Context) bool {
	if r.knowsCurrent() {
		return true
	}
	_, reading := r.read(ctx)
	return reading.MajorityAnswered()
}

// publish has this controller and all others learn a decision.
func (r *replicator) publish(turn context.Context, base, decided *consensus.State, alsoNotify []string) {
	r.counts.Increment("decided")
	go r.learn(decided)
	announced := r.announce(decided, alsoNotify)
	if !sameMembers(base, decided) { // a new core must hold its initial state before disks of the old one may be lost
		waitAtMost(turn, announced, stepTimeout)
	}
	r.waitForIndex(turn, decided.Index)
}
