package controller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
)

// announce has others learn a decision; who doesn't hear of it finds out by its own reads. The channel is closed once all
// have answered or had their time.
func (k *replicator) announce(s *consensus.State, also []string) (done <-chan struct{}) {
	ctx, end := context.WithTimeout(context.Background(), stepTimeout)
	var all sync.WaitGroup
	seen := map[string]bool{k.self: true}
	for _, m := range s.Core {
		also = append(also, m.At)
	}
	for _, at := range also {
		if seen[at] {
			continue
		}
		seen[at] = true
		all.Go(func() { k.send(ctx, at, consensus.Request{Kind: consensus.Learn, Value: s}) })
	}
	announced := make(chan struct{})
	go func() {
		all.Wait()
		end()
		close(announced)
	}()
	return announced
}

// transform makes the state that is wanted of the newest one; nil where nothing more is wanted of it.
type transform func(newest *consensus.State) (*consensus.State, error)

// change has the core agree on what a function makes of the newest state. The function may be called several times, each
// time with what is the newest beyond doubt; an error of it ends the change. A nil state asks for nothing but that it is
// the newest. Changes from here run one after the other; one whose context ends leaves the queue with an unclear end.
func (k *replicator) change(ctx context.Context, also func() []string, what transform) (*consensus.State, error) {
	return k.changeWithPriority(ctx, ordinaryPriority, also, what)
}

// changeMembership is change for a repair of the core: it runs before every other change from here, and interrupts one that
// is running.
func (k *replicator) changeMembership(ctx context.Context, also func() []string, what transform) (*consensus.State, error) {
	return k.changeWithPriority(ctx, membershipPriority, also, what)
}

func (k *replicator) changeWithPriority(ctx context.Context, priority changePriority, also func() []string, what transform) (*consensus.State, error) {
	for ctx.Err() == nil {
		turn, leave, err := k.changes.enter(ctx, priority)
		if err != nil {
			k.counts.Add("changes_left_queue")
			break
		}
		s, ended, err := k.changeInTurn(turn, also, what)
		leave()
		if ended {
			return s, err
		}
		if ctx.Err() == nil {
			k.counts.Add("changes_interrupted")
		}
	}
	return nil, apierror.New(apierror.Unclear, "no majority of the core has agreed in time")
}

// changeInTurn makes attempts until the change has ended, or the turn has.
func (k *replicator) changeInTurn(turn context.Context, also func() []string, what transform) (s *consensus.State, ended bool, err error) {
	for attempt := 0; turn.Err() == nil; attempt++ {
		if attempt > 0 {
			k.pauseBeforeAttempt(turn, attempt)
		}
		base, p, ask := k.propose(what)
		step := k.attempt(turn, base, p, ask)
		k.mu.Lock()
		k.round = max(k.round, p.Round)
		k.mu.Unlock()
		switch step {
		case consensus.StepUnchanged:
			return p.State, true, p.Err
		case consensus.StepAhead:
			go k.learn(p.State) // Invariant: memory has it at once; a disk that hangs holds no change up
			k.waitForIndex(turn, p.State.Index)
		case consensus.StepBehind: // members that have not heard of the last decision
			await(turn, k.announce(base, nil))
		case consensus.StepDecided:
			k.counts.Add("decided")
			go k.learn(p.State)
			announced := k.announce(p.State, also())
			if !sameCore(base, p.State) { // a new core should hold what it begins with before the old one's disks may go
				await(turn, announced)
			}
			if p.Own {
				return p.State, true, nil
			}
			k.waitForIndex(turn, p.State.Index)
		}
	}
	return nil, false, nil
}

// propose begins an attempt on top of what is decided as far as this copy knows.
func (k *replicator) propose(what transform) (base *consensus.State, p *consensus.Proposal, ask consensus.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	base = k.replica.Decided
	k.round = max(k.round, k.replica.Promised.Round) + 1
	p, ask = consensus.Propose(base, consensus.Ballot{Round: k.round, By: k.proposer}, what)
	return base, p, ask
}

// pauseBeforeAttempt waits for a time that differs between processes and attempts. Invariant: two that go on at the same
// pace overtake one another for ever.
func (k *replicator) pauseBeforeAttempt(ctx context.Context, attempt int) {
	byAttempt := 1 + attempt*7%20
	byProcess := len(k.proposer)%7 + int(k.proposer[len(k.proposer)-1])%13
	select {
	case <-time.After(time.Duration(byAttempt+byProcess) * time.Millisecond):
	case <-ctx.Done():
	}
}

// await waits for a channel to be closed or for the context's end.
func await(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// attempt carries one proposal to its last step, or to Wait where answers stay away.
func (k *replicator) attempt(ctx context.Context, s *consensus.State, p *consensus.Proposal, ask consensus.Request) (step consensus.Step) {
	for step = consensus.StepSend; step == consensus.StepSend; {
		answers := k.broadcast(ctx, s, ask, stepTimeout)
		step = consensus.StepWait
		for n := 0; n < len(s.Core) && step == consensus.StepWait; n++ {
			select {
			case answer := <-answers:
				if answer != nil {
					step = p.HandleResponse(*answer)
				}
			case <-ctx.Done():
				return consensus.StepWait
			}
		}
		ask = p.Request()
	}
	return step
}

// waitForIndex waits until this copy knows a decision that is on its way to it.
func (k *replicator) waitForIndex(ctx context.Context, index uint64) {
	for {
		s, more := k.state()
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
