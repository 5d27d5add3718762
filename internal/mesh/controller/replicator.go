package controller

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/federation"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/telemetry"
)

const (
	stepTimeout = 900 * time.Millisecond // for one step of an attempt at one member; a disk may take its time
	readTimeout = 400 * time.Millisecond
	fresh       = time.Duration(federation.Fresh) // for which a majority's word that this copy is current holds
)

// disk is where a copy is kept: storage, or what a test sets in its place.
type disk interface {
	Save(*consensus.Replica) error
}

// keeper owns this process's copy and carries out attempts at changes. Invariant: a disk may hang for seconds, so looks
// and everything else that needs no sync go past it: written guards the order on disk, mu only the memory.
type replicator struct {
	disk     disk
	caller   *rpc.Caller
	counts   *telemetry.Counters
	self     string // inner address
	proposer string // this life, as ballots name it

	written sync.Mutex
	mu      sync.Mutex
	replica consensus.Replica
	round   uint64
	news    chan struct{} // closed when something is decided

	calmed    atomic.Int64 // the same where nothing stood accepted beyond it either: nothing had been decided that is not known here
	confirmed atomic.Int64 // when a majority was asked that said that this copy is current, in steady nanoseconds
	epoch     time.Time
	changing  sync.Mutex // one attempt at a time from here
}

func newReplicator(c *consensus.Replica, d disk, caller *rpc.Caller, counts *telemetry.Counters, self, by string) *replicator {
	k := &replicator{disk: d, caller: caller, counts: counts, self: self, proposer: by, replica: *c, news: make(chan struct{}), epoch: time.Now()}
	k.confirmed.Store(-int64(time.Hour))
	k.calmed.Store(-int64(time.Hour))
	return k
}

// state is what is decided as far as this copy knows, and a channel that ends when there is more.
func (k *replicator) state() (*consensus.State, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.replica.Decided, k.news
}

func (k *replicator) identity() string { return k.replica.ID }

// handle answers another process's ask, after the sync that it needs.
func (k *replicator) handle(_ context.Context, a *consensus.Request) (*consensus.Response, error) {
	if a.Kind == consensus.ReadState {
		k.mu.Lock()
		defer k.mu.Unlock()
		out, _ := k.replica.Handle(*a)
		return &out, nil
	}
	if a.Kind == consensus.Learn { // Invariant: behind a disk that hangs, news would wait for nothing
		k.mu.Lock()
		out, keep := k.replica.Handle(*a)
		if keep {
			close(k.news)
			k.news = make(chan struct{})
		}
		k.mu.Unlock()
		if !keep {
			return &out, nil
		}
	}
	k.written.Lock()
	defer k.written.Unlock()
	k.mu.Lock()
	out, keep := k.replica.Handle(*a)
	now := k.replica
	k.mu.Unlock()
	if keep || a.Kind == consensus.Learn {
		if err := k.disk.Save(&now); err != nil {
			k.counts.Add("disk_refused")
			return nil, err
		}
		k.counts.Add("syncs")
	}
	return &out, nil
}

// ask puts the same question to all members of a core; the answers come as they do, nil for none.
func (k *replicator) broadcast(ctx context.Context, of *consensus.State, a consensus.Request, within time.Duration) <-chan *consensus.Response {
	ctx, end := context.WithTimeout(ctx, within)
	answers := make(chan *consensus.Response, len(of.Core))
	var wait sync.WaitGroup
	for _, m := range of.Core {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers <- k.send(ctx, m.At, a)
		}()
	}
	go func() { wait.Wait(); end() }() // the slower ones go on: what they keep counts too
	return answers
}

func (k *replicator) send(ctx context.Context, at string, a consensus.Request) *consensus.Response {
	if at == k.self {
		answer, err := k.handle(ctx, &a)
		if err != nil {
			return nil
		}
		return answer
	}
	answer := &consensus.Response{}
	if err := k.caller.Call(ctx, at, rpc.PathConsensus, a, answer); err != nil {
		return nil
	}
	return answer
}

// learn takes what is known to be decided.
func (k *replicator) learn(s *consensus.State) {
	k.handle(context.Background(), &consensus.Request{Kind: consensus.Learn, Value: s})
}

// tell has others learn it; who doesn't hear finds out by its own looks.
func (k *replicator) announce(s *consensus.State, also []string) (wait func()) {
	ctx, end := context.WithTimeout(context.Background(), stepTimeout)
	var all sync.WaitGroup
	seen := map[string]bool{k.self: true}
	for _, m := range s.Core {
		also = append(also, m.At)
	}
	for _, at := range also {
		if !seen[at] {
			seen[at] = true
			all.Add(1)
			go func() {
				defer all.Done()
				k.send(ctx, at, consensus.Request{Kind: consensus.Learn, Value: s})
			}()
		}
	}
	go func() { all.Wait(); end() }()
	return all.Wait
}

// look asks the core where it stands, mends this copy if it is old, and reports whether it is current and whether
// something is accepted that nobody has been seen to decide.
func (k *replicator) readMajority(ctx context.Context) (s *consensus.State, current, pending bool) {
	asked := time.Since(k.epoch)
	s, _ = k.state()
	reading, ask := consensus.NewMajorityRead(s)
	answers := k.broadcast(ctx, s, ask, readTimeout)
	for range s.Core {
		if answer := <-answers; answer != nil && reading.HandleResponse(*answer) {
			break
		}
	}
	if ahead := reading.Ahead(); ahead != nil {
		k.counts.Add("copies_mended")
		k.learn(ahead)
	}
	if !reading.Current() {
		return s, false, false
	}
	k.confirmed.Store(int64(asked))
	if reading.Newest() {
		k.calmed.Store(int64(asked))
	}
	return s, true, reading.Pending()
}

// current reports whether a majority has said of late that this copy is.
func (k *replicator) current() bool {
	return time.Since(k.epoch)-time.Duration(k.confirmed.Load()) < fresh
}

// calm reports whether a majority has said of late that nothing beyond this copy is decided, or could be. Invariant: a copy is
// current in the eyes of a majority that has accepted what comes after it and not heard yet that it is decided.
func (k *replicator) calm() bool {
	return time.Since(k.epoch)-time.Duration(k.calmed.Load()) < fresh
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
			k.announce(s, nil)()
		case consensus.StepDecided:
			k.counts.Add("decided")
			go k.learn(p.State)
			told := k.announce(p.State, also())
			if !sameCore(s, p.State) {
				told() // Invariant: a new core must hold what it begins with before the old one's disks may go
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

// newest is the newest state beyond doubt: a majority says that nothing came after it, or it is made sure of.
func (k *replicator) newest(ctx context.Context, also func() []string) (*consensus.State, error) {
	for range 2 {
		if s, current, pending := k.readMajority(ctx); current && !pending {
			return s, nil
		}
	}
	k.counts.Add("reads_settled")
	return k.change(ctx, also, func(*consensus.State) (*consensus.State, error) { return nil, nil })
}
