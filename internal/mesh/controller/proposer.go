package controller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"ottershift/internal/mesh/consensus"
)

// Failed attempts are repeated with growing timeouts, to allow for cores with slow disks.
const (
	// refusalTimeout is how long silent members are waited for after another member has refused or has to learn a
	// decision first.
	refusalTimeout = 50 * time.Millisecond
	// baseRivalPause is the upper limit of the random pause after a first attempt, in addition to the duration of that
	// attempt.
	baseRivalPause      = 16 * time.Millisecond
	maxAttemptDoublings = 3 // of refusalTimeout and baseRivalPause
)

// announceStragglerTimeout is how long an announcement waits for the other members once a quorum has answered.
const announceStragglerTimeout = 50 * time.Millisecond

// announce sends a decided state to the core and to other controllers. The channel is closed once all members have
// answered, or a quorum has and announceStragglerTimeout has passed, or stepTimeout has passed. It does not wait for
// the other controllers. Controllers that miss the announcement learn the state by gossip.
func (r *replicator) announce(state *consensus.State, alsoNotify []string) (done <-chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	var sends sync.WaitGroup
	addressed := map[string]bool{r.selfAddress: true}
	answers := make(chan bool, len(state.Core))
	for _, member := range state.Core {
		if member.Address == r.selfAddress {
			answers <- true
			continue
		}
		addressed[member.Address] = true
		sends.Go(func() {
			answers <- r.send(ctx, member.Address, consensus.Request{Kind: consensus.Learn, Value: state}) != nil
		})
	}
	for _, address := range alsoNotify {
		if !addressed[address] {
			addressed[address] = true
			sends.Go(func() { r.send(ctx, address, consensus.Request{Kind: consensus.Learn, Value: state}) })
		}
	}
	announced := make(chan struct{})
	go func() {
		awaitAnswers(answers, len(state.Core), state.Quorum())
		close(announced)
		sends.Wait()
		cancel()
	}()
	return announced
}

// propose starts an attempt on top of the newest decision known to this replica.
func (r *replicator) propose(apply transform) (base *consensus.State, proposal *consensus.Proposal, request consensus.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	base = r.replica.Decided
	r.round = max(r.round, r.replica.Promised.Round) + 1
	proposal, request = consensus.Propose(base, consensus.Ballot{Round: r.round, Proposer: r.proposer}, apply)
	return base, proposal, request
}

// awaitAnswers waits for the remaining responses, but at most announceStragglerTimeout after a quorum has succeeded.
func awaitAnswers(answers <-chan bool, remaining, quorum int) {
	var timedOut <-chan time.Time
	for succeeded := 0; remaining > 0; remaining-- {
		select {
		case ok := <-answers:
			if ok {
				succeeded++
			}
		case <-timedOut:
			return
		}
		if succeeded == quorum && timedOut == nil {
			timedOut = time.After(announceStragglerTimeout)
		}
	}
}

// observeRound records a round, so that the next attempt uses a higher one.
func (r *replicator) observeRound(round uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.round = max(r.round, round)
}

// waitForRival waits after a competing proposer has preempted an attempt: until a decision is known, or for a random
// time that grows with the number of attempts and with their duration. Two proposers that retry at the same pace
// would preempt each other forever.
func (r *replicator) waitForRival(ctx context.Context, base *consensus.State, took time.Duration, attempt int) {
	limit := max(took, r.latency.attempt()) + baseRivalPause<<min(attempt, maxAttemptDoublings)
	state, decided := r.knownState()
	if state.Index > base.Index {
		return
	}
	waitAtMost(ctx, decided, limit/2+rand.N(limit/2))
}

// waitAtMost waits until done is closed, the limit has passed, or the context ends.
func waitAtMost(ctx context.Context, done <-chan struct{}, limit time.Duration) {
	select {
	case <-done:
	case <-time.After(limit):
	case <-ctx.Done():
	}
}

// attempt runs a proposal to its last step, or to StepWait if responses are missing. Once a member has refused, it
// waits for the others only for stragglerTimeout.
func (r *replicator) attempt(ctx context.Context, state *consensus.State, proposal *consensus.Proposal, request consensus.Request, stragglerTimeout time.Duration) (step consensus.Step) {
	for step = consensus.StepSend; step == consensus.StepSend; {
		step = r.attemptStep(ctx, state, proposal, request, stragglerTimeout)
		request = proposal.Request()
	}
	return step
}

// attemptStep sends one request of a proposal to the core and processes responses until they determine the next step.
func (r *replicator) attemptStep(ctx context.Context, state *consensus.State, proposal *consensus.Proposal, request consensus.Request, stragglerTimeout time.Duration) consensus.Step {
	started := time.Now()
	answers := r.broadcast(ctx, state, request, stepTimeout)
	var timedOut <-chan time.Time
	for range state.Core {
		select {
		case answer := <-answers:
			if answer == nil {
				continue
			}
			switch step := proposal.HandleResponse(*answer); step {
			case consensus.StepWait:
			case consensus.StepSend, consensus.StepDecided:
				r.latency.record(time.Since(started))
				return step
			default:
				return step
			}
			if proposal.Refused() && timedOut == nil {
				timedOut = time.After(stragglerTimeout)
			}
		case <-timedOut:
			return proposal.GiveUp()
		case <-ctx.Done():
			return consensus.StepWait
		}
	}
	return consensus.StepWait
}

// verifyNewest reports whether a majority confirms that nothing was decided after a state and that no other value is
// accepted. It needs neither the disk nor a turn in the queue.
func (r *replicator) verifyNewest(ctx context.Context, state *consensus.State) bool {
	read, request := consensus.NewMajorityRead(state)
	answers := r.broadcast(ctx, state, request, readTimeout)
	for range state.Core {
		if answer := <-answers; answer != nil && read.HandleResponse(*answer) {
			return read.Newest()
		}
	}
	return false
}

// waitForIndex waits until this replica knows a decision that is on its way to it.
func (r *replicator) waitForIndex(ctx context.Context, index uint64) {
	for {
		state, decided := r.knownState()
		if state.Index >= index {
			return
		}
		select {
		case <-decided:
		case <-ctx.Done():
			return
		}
	}
}

func sameMembers(a, b *consensus.State) bool {
	x, _ := json.Marshal(a.Core)
	y, _ := json.Marshal(b.Core)
	return string(x) == string(y)
}
