package controller

import (
	"context"
	"strings"
	"time"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/membership"
)

// runLoop keeps replicas current, the registry free of what has ended, and the core whole.
func (c *Controller) runLoop(ctx context.Context) {
	t := time.NewTicker(gossipInterval)
	defer t.Stop()
	for {
		go c.maintain(ctx)
		select {
		case <-t.C:
		case <-c.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) maintain(ctx context.Context) {
	now := c.now()
	c.mu.Lock()
	if c.registry.Expire(now) {
		c.notifyWatchers()
	}
	c.mu.Unlock()
	for _, at := range c.otherControllers() {
		go c.gossip(ctx, at)
	}
	s, _ := c.replicator.state()
	if len(s.Core) == 0 {
		return
	}
	_, _, pending := c.replicator.readMajority(ctx)
	c.mu.Lock()
	core := coreText(s)
	if core != c.core {
		c.core = core
		c.log.Info("core", "index", s.Index, "members", core)
	}
	switch {
	case !pending:
		c.pending = 0
	case c.pending == 0 || c.pendingAfter != s.Index: // what stands after another state is a change of its own
		c.pending, c.pendingAfter = now, s.Index
	}
	mend := c.pending != 0 && now-c.pending > int64(settleAfter)*int64(1+c.rank(s))
	c.mu.Unlock()
	if mend {
		c.settlePending(ctx)
	}
	s, _ = c.replicator.state()
	c.maintainMembership(ctx, s)              // Invariant: a repair waits for no duty
	if c.acting.CompareAndSwap(false, true) { // one change at a time from here
		defer c.acting.Store(false)
		s, _ = c.replicator.state()
		c.updateMemberCount(ctx, s)
		c.takeCoordinator(ctx, s)
		c.accrueCredit(s)
		c.partners(ctx, s)
	}
}

// settlePending has what stands accepted and undecided decided, one attempt at a time: several of one controller would overtake
// one another, and those of others.
func (c *Controller) settlePending(ctx context.Context) {
	if !c.settling.CompareAndSwap(false, true) {
		return
	}
	defer c.settling.Store(false)
	c.counts.Increment("settled_for_others")
	within, end := context.WithTimeout(ctx, 2*time.Second)
	defer end()
	c.replicator.change(within, c.otherControllers, func(*consensus.State) (*consensus.State, error) { return nil, nil })
}

// updateMemberCount has the number of proxies agreed, by which quotas are shared out: more at once, fewer only once leases
// have run out for long.
func (c *Controller) updateMemberCount(ctx context.Context, s *consensus.State) {
	if !c.replicator.current() {
		return
	}
	c.mu.Lock()
	n := c.registry.Known()
	first := c.rank(s) == 0
	young := c.now() < membership.Remembered
	c.mu.Unlock()
	if !first || n == s.Members || n < s.Members && young || n == 0 {
		return
	}
	within, end := context.WithTimeout(ctx, 2*time.Second)
	defer end()
	c.replicator.change(within, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		if newest.Members == n {
			return nil, nil
		}
		return newest.WithMembers(n), nil
	})
}

func coreText(s *consensus.State) string {
	var all []string
	for _, m := range s.Core {
		all = append(all, m.At+"="+m.ID)
	}
	return strings.Join(all, " ")
}

// rank is this controller's place in the agreed order of those that are there; one that leaves has the last. Under mu.
func (c *Controller) rank(s *consensus.State) int {
	if c.leaving.Load() {
		return len(s.Core)
	}
	return s.Rank(c.replicator.identity(), c.peerStatuses())
}
