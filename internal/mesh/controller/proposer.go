package controller

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
)

// Attempts that fail are made again, each time with more patience, for cores whose disks are slow.
const (
	refusalPatience     = 50 * time.Millisecond // with members that are silent, once another has refused or has to be told first
	firstAttemptPause   = 16 * time.Millisecond // at most, beside the time that the first attempt took
	maxAttemptDoublings = 3                     // of both
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
	return k.changeAs(ctx, changeKind{priority: ordinaryPriority}, also, what)
}

// changeUnlessSettled is change for what often turns out to change nothing. The function is also called with the state that
// this process knows; where it wants nothing of it or fails, a read by majority that this is the newest ends the change:
// no disk is written and no rival is overtaken.
func (k *replicator) changeUnlessSettled(ctx context.Context, also func() []string, what transform) (*consensus.State, error) {
	known, _ := k.state()
	if next, err := what(known); next == nil && k.isNewest(ctx, known) {
		return known, err
	}
	return k.changeAs(ctx, changeKind{priority: ordinaryPriority, readsFirst: true}, also, what)
}

// changeMembership is change for a repair of the core: it runs before every other change from here, and interrupts one that
// is running.
func (k *replicator) changeMembership(ctx context.Context, also func() []string, what transform) (*consensus.State, error) {
	return k.changeAs(ctx, changeKind{priority: membershipPriority}, also, what)
}

// changeKind is how a change is carried out.
type changeKind struct {
	priority   changePriority
	readsFirst bool // before each attempt
}

func (k *replicator) changeAs(ctx context.Context, kind changeKind, also func() []string, what transform) (*consensus.State, error) {
	for ctx.Err() == nil {
		turn, leave, err := k.changes.enter(ctx, kind.priority)
		if err != nil {
			k.counts.Add("changes_left_queue")
			break
		}
		s, ended, err := k.changeInTurn(turn, kind, also, what)
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
func (k *replicator) changeInTurn(turn context.Context, kind changeKind, also func() []string, what transform) (s *consensus.State, ended bool, err error) {
	for attempt := 0; turn.Err() == nil; attempt++ {
		if known, _ := k.state(); kind.readsFirst {
			if next, err := what(known); next == nil && k.isNewest(turn, known) {
				return known, true, err
			}
		}
		began := time.Now()
		patience := refusalPatience << min(attempt, maxAttemptDoublings)
		base, p, request := k.propose(what)
		step := k.attempt(turn, base, p, request, patience)
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
			await(turn, k.announce(base, nil), patience)
		case consensus.StepLost, consensus.StepWait:
			k.waitForRival(turn, base, time.Since(began), attempt)
		case consensus.StepDecided:
			k.counts.Add("decided")
			go k.learn(p.State)
			announced := k.announce(p.State, also())
			if !sameCore(base, p.State) { // a new core should hold what it begins with before the old one's disks may go
				await(turn, announced, stepTimeout)
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
func (k *replicator) propose(what transform) (base *consensus.State, p *consensus.Proposal, request consensus.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	base = k.replica.Decided
	k.round = max(k.round, k.replica.Promised.Round) + 1
	p, request = consensus.Propose(base, consensus.Ballot{Round: k.round, By: k.proposer}, what)
	return base, p, request
}

// waitForRival waits after an attempt that a rival has overtaken: until a decision is heard of, or for a time drawn at
// random, longer with each attempt and with how long an attempt takes. Invariant: two that go on at the same pace overtake
// one another for ever.
func (k *replicator) waitForRival(ctx context.Context, base *consensus.State, took time.Duration, attempt int) {
	longest := took + firstAttemptPause<<min(attempt, maxAttemptDoublings)
	s, decided := k.state()
	if s.Index > base.Index {
		return
	}
	await(ctx, decided, rand.N(longest))
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
func (k *replicator) attempt(ctx context.Context, s *consensus.State, p *consensus.Proposal, request consensus.Request, patience time.Duration) (step consensus.Step) {
	for step = consensus.StepSend; step == consensus.StepSend; {
		step = k.attemptStep(ctx, s, p, request, patience)
		request = p.Request()
	}
	return step
}

// attemptStep sends one request of a proposal to all of the core and takes the answers until there is a step.
func (k *replicator) attemptStep(ctx context.Context, s *consensus.State, p *consensus.Proposal, request consensus.Request, patience time.Duration) consensus.Step {
	answers := k.broadcast(ctx, s, request, stepTimeout)
	var impatient <-chan time.Time
	for range s.Core {
		select {
		case answer := <-answers:
			if answer == nil {
				continue
			}
			if step := p.HandleResponse(*answer); step != consensus.StepWait {
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
func (k *replicator) isNewest(ctx context.Context, s *consensus.State) bool {
	read, request := consensus.NewMajorityRead(s)
	answers := k.broadcast(ctx, s, request, readTimeout)
	for range s.Core {
		if answer := <-answers; answer != nil && read.HandleResponse(*answer) {
			return read.Newest()
		}
	}
	return false
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
