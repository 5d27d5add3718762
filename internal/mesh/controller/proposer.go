package controller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"ottershift/internal/mesh/consensus"
)

// Attempts that fail are made again, each time with more patience, for cores whose disks are slow.
const (
	refusalPatience     = 50 * time.Millisecond // with members that are silent, once another has refused or has to be told first
	firstAttemptPause   = 16 * time.Millisecond // at most, beside the time that the first attempt took
	maxAttemptDoublings = 3                     // of both
)

// announcePatience is how long an announcement waits for the rest of a core once a quorum has answered.
const announcePatience = 50 * time.Millisecond

// announce tells controllers a decided state, its core and others. The channel is closed once all of the core have
// answered, or a quorum has and the rest had a moment more, or the step's time is over; for the others nobody waits. Who
// does not hear it finds out by gossip.
func (r *replicator) announce(s *consensus.State, also []string) (done <-chan struct{}) {
	ctx, end := context.WithTimeout(context.Background(), stepTimeout)
	var all sync.WaitGroup
	told := map[string]bool{r.self: true}
	answers := make(chan bool, len(s.Core))
	for _, m := range s.Core {
		if m.Address == r.self {
			answers <- true
			continue
		}
		told[m.Address] = true
		all.Go(func() { answers <- r.send(ctx, m.Address, consensus.Request{Kind: consensus.Learn, Value: s}) != nil })
	}
	for _, at := range also {
		if !told[at] {
			told[at] = true
			all.Go(func() { r.send(ctx, at, consensus.Request{Kind: consensus.Learn, Value: s}) })
		}
	}
	announced := make(chan struct{})
	go func() {
		awaitAnswers(answers, len(s.Core), s.Quorum())
		close(announced)
		all.Wait()
		end()
	}()
	return announced
}

// propose begins an attempt on top of what is decided as far as this copy knows.
func (r *replicator) propose(what transform) (base *consensus.State, p *consensus.Proposal, request consensus.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	base = r.replica.Decided
	r.round = max(r.round, r.replica.Promised.Round) + 1
	p, request = consensus.Propose(base, consensus.Ballot{Round: r.round, Proposer: r.proposer}, what)
	return base, p, request
}

// awaitAnswers waits for all of so many answers, or for announcePatience from when a quorum of them was good.
func awaitAnswers(answers <-chan bool, all, quorum int) {
	var patience <-chan time.Time
	for good := 0; all > 0; all-- {
		select {
		case ok := <-answers:
			if ok {
				good++
			}
		case <-patience:
			return
		}
		if good == quorum && patience == nil {
			patience = time.After(announcePatience)
		}
	}
}

// sawRound notes a round, so that the next attempt is above it.
func (r *replicator) sawRound(round uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.round = max(r.round, round)
}

// waitForRival waits after an attempt that a rival has overtaken: until a decision is heard of, or for a time drawn at
// random, longer with each attempt and with how long an attempt takes. Invariant: two that go on at the same pace overtake
// one another for ever.
func (r *replicator) waitForRival(ctx context.Context, base *consensus.State, took time.Duration, attempt int) {
	longest := max(took, r.steps.attempt()) + firstAttemptPause<<min(attempt, maxAttemptDoublings)
	s, decided := r.state()
	if s.Index > base.Index {
		return
	}
	await(ctx, decided, longest/2+rand.N(longest/2))
}

// await waits for a channel to be closed, for a time at most or until the context's end.
func await(ctx context.Context, done <-chan struct{}, longest time.Duration) {
	select {
	case <-done:
	case <-time.After(longest):
	case <-ctx.Done():
	}
}

// attempt carries one proposal to its last step, or to StepWait where answers stay away. Once a member has refused, the
// others get no more than some patience.
func (r *replicator) attempt(ctx context.Context, s *consensus.State, p *consensus.Proposal, request consensus.Request, patience time.Duration) (step consensus.Step) {
	for step = consensus.StepSend; step == consensus.StepSend; {
		step = r.attemptStep(ctx, s, p, request, patience)
		request = p.Request()
	}
	return step
}

// attemptStep sends one request of a proposal to all of the core and takes the answers until there is a step.
func (r *replicator) attemptStep(ctx context.Context, s *consensus.State, p *consensus.Proposal, request consensus.Request, patience time.Duration) consensus.Step {
	began := time.Now()
	answers := r.broadcast(ctx, s, request, stepTimeout)
	var impatient <-chan time.Time
	for range s.Core {
		select {
		case answer := <-answers:
			if answer == nil {
				continue
			}
			switch step := p.HandleResponse(*answer); step {
			case consensus.StepWait:
			case consensus.StepSend, consensus.StepDecided:
				r.steps.add(time.Since(began))
				return step
			default:
				return step
			}
			if p.Refused() && impatient == nil {
				impatient = time.After(patience)
			}
		case <-impatient:
			return p.GiveUp()
		case <-ctx.Done():
			return consensus.StepWait
		}
	}
	return consensus.StepWait
}

// isNewest reports whether a majority says that nothing came after a state and that nothing else stands accepted. It needs
// no disk, and no turn in the queue.
func (r *replicator) isNewest(ctx context.Context, s *consensus.State) bool {
	read, request := consensus.NewMajorityRead(s)
	answers := r.broadcast(ctx, s, request, readTimeout)
	for range s.Core {
		if answer := <-answers; answer != nil && read.HandleResponse(*answer) {
			return read.Newest()
		}
	}
	return false
}

// waitForIndex waits until this copy knows a decision that is on its way to it.
func (r *replicator) waitForIndex(ctx context.Context, index uint64) {
	for {
		s, more := r.state()
		if s.Index >= index {
			return
		}
		select {
		case <-more:
		case <-ctx.Done():
			return
		}
	}
}

func sameCore(a, b *consensus.State) bool {
	x, _ := json.Marshal(a.Core)
	y, _ := json.Marshal(b.Core)
	return string(x) == string(y)
}
