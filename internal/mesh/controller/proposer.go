package controller

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
)

// announcePatience is how long an announcement waits for the rest of a core once a quorum has answered.
const announcePatience = 50 * time.Millisecond

// announce tells controllers a decided state, its core and others. The channel is closed once all of the core have
// answered, or a quorum has and the rest had a moment more, or the step's time is over; for the others nobody waits. Who
// does not hear it finds out by gossip.
func (k *replicator) announce(s *consensus.State, also []string) (done <-chan struct{}) {
	ctx, end := context.WithTimeout(context.Background(), stepTimeout)
	var all sync.WaitGroup
	told := map[string]bool{k.self: true}
	answers := make(chan bool, len(s.Core))
	for _, m := range s.Core {
		if m.At == k.self {
			answers <- true
			continue
		}
		told[m.At] = true
		all.Go(func() { answers <- k.send(ctx, m.At, consensus.Request{Kind: consensus.Learn, Value: s}) != nil })
	}
	for _, at := range also {
		if !told[at] {
			told[at] = true
			all.Go(func() { k.send(ctx, at, consensus.Request{Kind: consensus.Learn, Value: s}) })
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

// change has the core agree on what a function makes of the newest state. The function may be called several times, each
// time with what is the newest beyond doubt; an error of it ends the change. A nil state asks for nothing but that it is
// the newest.
func (k *replicator) change(ctx context.Context, also func() []string, what func(*consensus.State) (*consensus.State, error)) (*consensus.State, error) {
	k.changing.Lock()
	defer k.changing.Unlock()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if attempt > 0 { // Invariant: two that go on at the same pace overtake one another for ever
			pause := time.Duration(1+attempt*7%20)*time.Millisecond + time.Duration(len(k.proposer)%7+int(k.proposer[len(k.proposer)-1])%13)*time.Millisecond
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
		}
		s, _ := k.state()
		k.mu.Lock()
		k.round = max(k.round, k.replica.Promised.Round) + 1
		p, ask := consensus.Propose(s, consensus.Ballot{Round: k.round, By: k.proposer}, what)
		k.mu.Unlock()
		step := k.attempt(ctx, s, p, ask)
		k.mu.Lock()
		k.round = max(k.round, p.Round)
		k.mu.Unlock()
		switch step {
		case consensus.StepUnchanged:
			return p.State, p.Err
		case consensus.StepAhead:
			k.learn(p.State)
		case consensus.StepBehind: // members that have not heard of the last decision
			<-k.announce(s, nil)
		case consensus.StepDecided:
			k.counts.Add("decided")
			go k.learn(p.State)
			told := k.announce(p.State, also())
			if !sameCore(s, p.State) {
				<-told // Invariant: a new core must hold what it begins with before the old one's disks may go
			}
			if p.Own {
				return p.State, nil
			}
			k.waitForIndex(ctx, p.State.Index)
		}
	}
	return nil, apierror.New(apierror.Unclear, "no majority of the core has agreed in time")
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

// waitFor waits until this copy knows a decision that is on its way to it.
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
