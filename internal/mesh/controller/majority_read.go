package controller

import (
	"context"
	"time"

	"ottershift/internal/mesh/consensus"
)

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
