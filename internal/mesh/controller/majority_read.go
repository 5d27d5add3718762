package controller

import (
	"context"
	"math"
	"sync"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
)

const (
	settledReads = 2                     // that find something accepted, or a later state, before what is accepted is decided
	readPause    = 20 * time.Millisecond // between two reads that no majority has answered
	decisionWait = 50 * time.Millisecond // for what was found accepted to be decided by whoever proposed it

	neverConfirmed = time.Duration(math.MaxInt64) // the age of a confirmation that there has not been
)

// sharedReadLease is a read lease that several goroutines use.
type sharedReadLease struct {
	mu    sync.Mutex
	lease *consensus.ReadLease
}

func (l *sharedReadLease) observe(response consensus.Response, askedAt int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.Observe(response, askedAt)
}

func (l *sharedReadLease) valid(s *consensus.State, now int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Valid(s, now)
}

func (l *sharedReadLease) confirmedAt(s *consensus.State) (askedAt int64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.ConfirmedAt(s)
}

func (r *replicator) now() int64 { return int64(time.Since(r.epoch)) }

// read asks the core whether the state known here is the newest. It renews the lease, and takes a later state that it is told of.
func (r *replicator) read(ctx context.Context) (*consensus.State, *consensus.MajorityRead) {
	askedAt := r.now()
	s, _ := r.state()
	reading, request := consensus.NewMajorityRead(s)
	responses := r.broadcast(ctx, s, request, readTimeout)
	for range s.Core {
		response := <-responses
		if response == nil {
			continue
		}
		r.lease.observe(*response, askedAt)
		if reading.HandleResponse(*response) {
			break
		}
	}
	if ahead := reading.Ahead(); ahead != nil {
		r.counts.Increment("copies_mended")
		go r.learn(ahead) // in memory at once; the disk may take its time
		r.waitForIndex(ctx, ahead.Index)
	}
	return s, reading
}

// readMajority reads, and reports whether a majority has seen nothing decided after the state, and whether something is accepted
// that nobody has been seen to decide.
func (r *replicator) readMajority(ctx context.Context) (s *consensus.State, current, pending bool) {
	s, reading := r.read(ctx)
	return s, reading.Current(), reading.Current() && reading.Pending()
}

// confirms reports whether a majority has said of late that nothing had been decided after a state.
func (r *replicator) confirms(s *consensus.State) bool { return r.lease.valid(s, r.now()) }

// current reports the same of the state known here now.
func (r *replicator) current() bool {
	s, _ := r.state()
	return r.confirms(s)
}

// sinceConfirmed is how long ago a majority was asked that said so of a state.
func (r *replicator) sinceConfirmed(s *consensus.State) time.Duration {
	askedAt, known := r.lease.confirmedAt(s)
	if !known {
		return neverConfirmed
	}
	return time.Duration(r.now() - askedAt)
}

// newest is the newest state beyond doubt: a majority that is asked from now on says that nothing came after it, or what stands
// accepted is decided first. Where no majority answers, nothing is proposed either.
func (r *replicator) newest(ctx context.Context, also func() []string) (*consensus.State, error) {
	arrived := r.now()
	for heard := 0; heard < settledReads; {
		read, reading := r.read(ctx)
		if reading.Current() && reading.Pending() {
			r.waitBriefly(ctx, read.Index+1)
		}
		s, _ := r.state()
		if askedAt, known := r.lease.confirmedAt(s); known && askedAt >= arrived {
			return s, nil
		}
		if reading.Heard() || reading.Ahead() != nil {
			heard++
			continue
		}
		select {
		case <-time.After(readPause):
		case <-ctx.Done():
			return nil, apierror.New(apierror.OutcomeUnknown, "no majority of the core has answered in time")
		}
	}
	r.counts.Increment("reads_settled")
	return r.change(ctx, also, func(*consensus.State) (*consensus.State, error) { return nil, nil })
}

// waitBriefly waits for a decision that is likely to be on its way to this replica.
func (r *replicator) waitBriefly(ctx context.Context, index uint64) {
	ctx, end := context.WithTimeout(ctx, decisionWait)
	defer end()
	r.waitForIndex(ctx, index)
}
