package controller

import (
	"context"
	"strings"
	"time"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/membership"
)

// tend is the loop that keeps what is as it is wanted: copies current, the registry swept, the core whole.
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
	case c.pending == 0:
		c.pending = now
	}
	mend := c.pending != 0 && now-c.pending > int64(settleAfter)*int64(1+c.rank(s))
	c.mu.Unlock()
	if mend {
		c.counts.Add("settled_for_others")
		within, end := context.WithTimeout(ctx, 2*time.Second)
		defer end()
		c.replicator.change(within, c.otherControllers, func(*consensus.State) (*consensus.State, error) { return nil, nil })
	}
	if c.acting.CompareAndSwap(false, true) { // one change at a time from here
		defer c.acting.Store(false)
		s, _ = c.replicator.state()
		c.maintainMembership(ctx, s)
		c.updateMemberCount(ctx, s)
		c.takeCoordinator(ctx, s)
		c.accrueCredit(s)
		c.partners(ctx, s)
	}
}

// census has the number of balancers agreed, by which what all may spend is shared out: more at once, fewer once leases
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

// rank is this process's place in the agreed order of those that are there. Under mu.
func (c *Controller) rank(s *consensus.State) int {
	return s.Rank(c.replicator.identity(), c.peerStatuses())
}

// adopt keeps the core whole. It is decided by agreement with the core as it is, so who does it twice or late does no
// harm.
func (c *Controller) maintainMembership(ctx context.Context, s *consensus.State) {
	if !c.replicator.current() {
		return
	}
	c.mu.Lock()
	self := consensus.Member{ID: c.replicator.identity(), At: c.settings.Inner(), Zone: c.settings.District}
	a, wanted := s.PlanMembership(self, c.peerStatuses(), c.now())
	first := c.rank(s) == 0
	c.mu.Unlock()
	if !wanted || !first {
		return
	}
	within, end := context.WithTimeout(ctx, 2*time.Second)
	defer end()
	_, err := c.replicator.change(within, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) { return newest.ApplyMembership(a), nil })
	c.log.Info("adopt", "out", a.Remove, "in", a.Add.ID, "at", a.Add.At, "err", err)
}
