package controller

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

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

// Disk is where a replica is kept: a storage.Store, or what a test puts in front of it.
type Disk interface {
	Save(*consensus.Replica) error
}

// keeper owns this process's copy and carries out attempts at changes. Invariant: a disk may hang for seconds, so looks
// and everything else that needs no sync go past it: written guards the order on disk, mu only the memory.
type replicator struct {
	disk     Disk
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
	changes   changeQueue // one change at a time from here
	steps     stepClock   // how long the core takes to grant something
}

func newReplicator(c *consensus.Replica, d Disk, caller *rpc.Caller, counts *telemetry.Counters, self, by string) *replicator {
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
