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
	minCoordinatorUptime = 600 * time.Millisecond // uptime before a controller becomes coordinator
	// gracePeriod is how long a new coordinator waits before its first grant. The previous coordinator may grant for
	// as long as its read lease lasts: until readLeaseDuration after it asked a majority that had decided nothing
	// later than the coordinator's own epoch.
	gracePeriod = readLeaseDuration + 250*time.Millisecond
)

// GracePeriod exports gracePeriod for documentation and checks.
const GracePeriod = gracePeriod

// tokenGranter grants quota tokens while this controller is the coordinator.
type tokenGranter struct {
	sync.Mutex
	active      *ratelimit.TokenBank // nil before the first request
	bankEpoch   uint64
	limitsIndex uint64 // slot of the state whose limits are in force
	grantsFrom  int64  // end of the grace period
}

// takeCoordinator makes this controller the coordinator if it has the first rank and another one is coordinator.
func (c *Controller) takeCoordinator(ctx context.Context, state *consensus.State) {
	if !c.replicator.knowsCurrent() || state.Coordinator.Incarnation == c.incarnation {
		return
	}
	c.mu.Lock()
	first := c.rank(state) == 0 && c.now() > int64(minCoordinatorUptime)
	c.mu.Unlock()
	if !first {
		return
	}
	takeContext, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	coordinator := consensus.Coordinator{ID: c.replicator.identity(), Incarnation: c.incarnation, Address: c.settings.InternalAddress()}
	_, err := c.replicator.change(takeContext, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		if newest.Epoch != state.Epoch { // another controller has become coordinator
			return nil, nil
		}
		return newest.WithCoordinator(coordinator), nil
	})
	c.log.Info("coordinator", "before", state.Coordinator.Address, "err", err)
}

// handleTokenRequest grants tokens of tenants' quotas if this controller is the coordinator and a majority has
// recently confirmed that.
func (c *Controller) handleTokenRequest(_ context.Context, request *ratelimit.TokenRequest) (*map[string]ratelimit.TokenGrant, error) {
	granter := &c.tokenGranter
	granter.Lock()
	defer granter.Unlock()
	state, _ := c.replicator.knownState()
	if state.Coordinator.Incarnation != c.incarnation || !c.replicator.isCurrent(state) {
		return nil, apierror.New(apierror.OutcomeUnknown, "another controller is the coordinator")
	}
	now := c.now()
	if granter.active == nil || granter.bankEpoch != state.Epoch {
		granter.active, granter.bankEpoch, granter.limitsIndex, granter.grantsFrom = ratelimit.NewTokenBank(now),
			state.Epoch, 0, now+int64(gracePeriod)
	}
	if granter.limitsIndex != state.Index {
		configuration, err := c.parsedConfiguration(state)
		if err != nil || configuration == nil {
			return nil, apierror.New(apierror.OutcomeUnknown, "no configuration is available: %v", err)
		}
		granter.active.SetLimits(ratelimit.TenantLimits(configuration, &c.settings.Bounds), state.BalancerCount, now)
		granter.limitsIndex = state.Index
	}
	if now < granter.grantsFrom {
		return nil, apierror.New(apierror.OutcomeUnknown, "the grace period of the new coordinator has not ended")
	}
	c.counts.Increment("draws")
	grants := granter.active.Grant(request, now)
	return &grants, nil
}
