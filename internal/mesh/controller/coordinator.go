package controller

import (
	"context"
	"sync"
	"time"

	"ottershift/internal/mesh/apierror"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/ratelimit"
)

const (
	appointAfter = 600 * time.Millisecond // of a process's life before it takes duties over
	// gracePeriod is how long a new coordinator waits before its first grant. The one before it grants only on a majority's word that
	// was asked for less than fresh ago, when nothing after that coordinator's own epoch had been decided.
	gracePeriod = fresh + 250*time.Millisecond
)

// GracePeriod is the same for pages and checks.
const GracePeriod = gracePeriod

// bank is the quotas' bank, while this process has the duty.
type bank struct {
	sync.Mutex
	is    *ratelimit.TokenBank
	epoch uint64
	index uint64 // whose limits are in force
	from  int64
}

// takeCoordinator takes the duties over, if this is the first process in the agreed order and another has them.
func (c *Controller) takeCoordinator(ctx context.Context, s *consensus.State) {
	if !c.replicator.current() || s.Coordinator.Life == c.life {
		return
	}
	c.mu.Lock()
	first := c.rank(s) == 0 && c.now() > int64(appointAfter)
	c.mu.Unlock()
	if !first {
		return
	}
	within, end := context.WithTimeout(ctx, 2*time.Second)
	defer end()
	q := consensus.Coordinator{ID: c.replicator.identity(), Life: c.life, At: c.settings.InternalAddress()}
	_, err := c.replicator.change(within, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		if newest.Epoch != s.Epoch { // somebody else has
			return nil, nil
		}
		return newest.Appoint(q), nil
	})
	c.log.Info("coordinator", "before", s.Coordinator.At, "err", err)
}

// handleTokenRequest gives tokens of tenants' quotas, if this process has the duty and a majority says that it still has.
func (c *Controller) handleTokenRequest(_ context.Context, d *ratelimit.TokenRequest) (*map[string]ratelimit.TokenGrant, error) {
	b := &c.bank
	b.Lock()
	defer b.Unlock()
	s, _ := c.replicator.state()
	if s.Coordinator.Life != c.life || !c.replicator.confirms(s) {
		return nil, apierror.New(apierror.OutcomeUnknown, "the duty is another's")
	}
	now := c.now()
	if b.is == nil || b.epoch != s.Epoch {
		b.is, b.epoch, b.index, b.from = ratelimit.NewTokenBank(now), s.Epoch, 0, now+int64(gracePeriod)
	}
	if b.index != s.Index {
		t, err := c.parsedConfiguration(s)
		if err != nil || t == nil {
			return nil, apierror.New(apierror.OutcomeUnknown, "no configuration: %v", err)
		}
		b.is.Set(ratelimit.LimitsOf(t, &c.settings.Bounds), s.Members, now)
		b.index = s.Index
	}
	if now < b.from {
		return nil, apierror.New(apierror.OutcomeUnknown, "the duty is new")
	}
	c.counts.Increment("draws")
	given := b.is.Grant(d, now)
	return &given, nil
}
