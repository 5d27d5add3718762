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
	// maxUnsettledReads is the number of attempts at a read that may find an undecided value or a later state. After
	// that, the read proposes a change.
	maxUnsettledReads = 2
	readRetryInterval = 20 * time.Millisecond // after a read without responses from a majority
	decisionTimeout   = 50 * time.Millisecond // how long to wait for the proposer of an accepted value to have it decided

	neverConfirmed = time.Duration(math.MaxInt64) // confirmation age of a state that was never confirmed
)

// sharedReadLease is a read lease that is safe for concurrent use.
type sharedReadLease struct {
	mu    sync.Mutex
	lease *consensus.ReadLease
}

func (l *sharedReadLease) observe(response consensus.Response, askedAt int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lease.Observe(response, askedAt)
}

func (l *sharedReadLease) valid(state *consensus.State, now int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.Valid(state, now)
}

func (l *sharedReadLease) confirmedAt(state *consensus.State) (askedAt int64, known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lease.ConfirmedAt(state)
}

func (r *replicator) now() int64 { return int64(time.Since(r.started)) }

// read asks the core whether the locally known state is the newest. It renews the lease, and learns a later
// state that a member reports.
func (r *replicator) read(ctx context.Context) (*consensus.State, *consensus.MajorityRead) {
	askedAt := r.now()
	state, _ := r.knownState()
	reading, request := consensus.NewMajorityRead(state)
	responses := r.broadcast(ctx, state, request, readTimeout)
	for range state.Core {
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
		go r.learn(ahead) // in memory at once; the disk may be slow
		r.waitForIndex(ctx, ahead.Index)
	}
	return state, reading
}

// readMajority performs a majority read. It reports whether a majority has seen nothing decided after the state, and
// whether a value is accepted that is not known to be decided.
func (r *replicator) readMajority(ctx context.Context) (state *consensus.State, current, pending bool) {
	state, reading := r.read(ctx)
	return state, reading.Current(), reading.Current() && reading.Pending()
}

// isCurrent reports whether a majority has recently confirmed that nothing was decided after a state.
func (r *replicator) isCurrent(state *consensus.State) bool { return r.lease.valid(state, r.now()) }

// knowsCurrent reports whether the locally known state is current.
func (r *replicator) knowsCurrent() bool {
	state, _ := r.knownState()
	return r.isCurrent(state)
}

// confirmationAge returns the time since the last request with which a majority confirmed a state as current.
func (r *replicator) confirmationAge(state *consensus.State) time.Duration {
	askedAt, known := r.lease.confirmedAt(state)
	if !known {
		return neverConfirmed
	}
	return time.Duration(r.now() - askedAt)
}

// linearizableRead returns the newest state. Either a majority that is asked after the call confirms that nothing was
// decided later, or accepted values are decided first. If no majority answers, it proposes nothing.
func (r *replicator) linearizableRead(ctx context.Context, alsoNotify func() []string) (*consensus.State, error) {
	arrived := r.now()
	for unsettled := 0; unsettled < maxUnsettledReads; {
		read, reading := r.read(ctx)
		if reading.Current() && reading.Pending() {
			r.waitForDecision(ctx, read.Index+1)
		}
		state, _ := r.knownState()
		if askedAt, known := r.lease.confirmedAt(state); known && askedAt >= arrived {
			return state, nil
		}
		if reading.MajorityAnswered() || reading.Ahead() != nil {
			unsettled++
			continue
		}
		select {
		case <-time.After(readRetryInterval):
		case <-ctx.Done():
			return nil, apierror.New(apierror.OutcomeUnknown, "no majority of the core answered in time")
		}
	}
	r.counts.Increment("reads_settled")
	return r.change(ctx, alsoNotify, func(*consensus.State) (*consensus.State, error) { return nil, nil })
}

// waitForDecision waits briefly for a decision that is likely to arrive at this replica soon.
func (r *replicator) waitForDecision(ctx context.Context, index uint64) {
	ctx, cancel := context.WithTimeout(ctx, decisionTimeout)
	defer cancel()
	r.waitForIndex(ctx, index)
}
