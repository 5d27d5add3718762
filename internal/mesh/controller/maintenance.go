package controller

import (
	"context"
	"strings"
	"time"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/membership"
)

// runMaintenanceLoop keeps replicas up to date, expires registry entries, and repairs the core.
func (c *Controller) runMaintenanceLoop(ctx context.Context) {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		go c.runMaintenance(ctx)
		select {
		case <-ticker.C:
		case <-c.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Controller) runMaintenance(ctx context.Context) {
	now := c.now()
	c.mu.Lock()
	if c.registry.Expire(now) {
		c.notifyWatchers()
	}
	c.mu.Unlock()
	for _, at := range c.otherControllers() {
		go c.gossip(ctx, at)
	}
	state, _ := c.replicator.knownState()
	if len(state.Core) == 0 {
		return
	}
	_, _, pending := c.replicator.readMajority(ctx)
	c.mu.Lock()
	members := formatMembers(state)
	if members != c.members {
		c.members = members
		c.log.Info("core", "index", state.Index, "members", members)
	}
	switch {
	case !pending:
		c.pending = 0
	case c.pending == 0 || c.pendingIndex != state.Index: // a pending value after another state is a new one
		c.pending, c.pendingIndex = now, state.Index
	}
	settle := c.pending != 0 && now-c.pending > int64(settleDelay)*int64(1+c.rank(state))
	c.mu.Unlock()
	if settle {
		c.settlePending(ctx)
	}
	state, _ = c.replicator.knownState()
	c.maintainMembership(ctx, state)                // repairs do not wait for coordinator tasks
	if c.coordinating.CompareAndSwap(false, true) { // one change at a time from this controller
		defer c.coordinating.Store(false)
		state, _ = c.replicator.knownState()
		c.updateProxyCount(ctx, state)
		c.takeCoordinator(ctx, state)
		c.accrueCredit(state)
		c.maintainFederation(ctx, state)
	}
}

// settlePending has values that are accepted but undecided decided. Only one attempt runs at a time: concurrent
// attempts of one controller would preempt each other and those of other controllers.
func (c *Controller) settlePending(ctx context.Context) {
	if !c.settlingPending.CompareAndSwap(false, true) {
		return
	}
	defer c.settlingPending.Store(false)
	c.counts.Increment("settled_for_others")
	settleContext, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	c.replicator.change(settleContext, c.otherControllers, func(*consensus.State) (*consensus.State, error) { return nil, nil })
}

// updateProxyCount has the core agree on the number of proxies, among which quotas are divided. It increases at once,
// but decreases only after leases have been expired for membership.LostRetention.
func (c *Controller) updateProxyCount(ctx context.Context, state *consensus.State) {
	if !c.replicator.knowsCurrent() {
		return
	}
	c.mu.Lock()
	known := c.registry.Len()
	first := c.rank(state) == 0
	young := c.now() < membership.LostRetention
	c.mu.Unlock()
	if !first || known == state.BalancerCount || known < state.BalancerCount && young || known == 0 {
		return
	}
	updateContext, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	c.replicator.change(updateContext, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		if newest.BalancerCount == known {
			return nil, nil
		}
		return newest.WithBalancerCount(known), nil
	})
}

func formatMembers(state *consensus.State) string {
	var members []string
	for _, m := range state.Core {
		members = append(members, m.Address+"="+m.ID)
	}
	return strings.Join(members, " ")
}

// rank returns this controller's position in the agreed order of live members. A leaving controller is last. c.mu
// must be held.
func (c *Controller) rank(state *consensus.State) int {
	if c.leaving.Load() {
		return len(state.Core)
	}
	return state.DutyRank(c.replicator.identity(), c.peerStatuses())
}
