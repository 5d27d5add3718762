package controller

import (
	"context"
	"maps"
	"time"

	"ottershift/internal/mesh/consensus"
)

const (
	// confirmationRetryInterval is the time between two rounds of confirmation requests to a new core.
	confirmationRetryInterval = 50 * time.Millisecond
	// confirmationTimeout is the time after which the maintenance loop retries an unconfirmed change.
	confirmationTimeout = time.Duration(consensus.ReplacementTimeout)
	// skippedSpareTimeout is how long a spare that did not catch up is not a candidate.
	skippedSpareTimeout     = time.Second
	membershipChangeTimeout = 2 * time.Second // for one attempt at a membership change
)

// coreMembership tracks the membership changes that this controller carries out. It is guarded by Controller.mu.
type coreMembership struct {
	skippedSpares map[string]int64 // spares that did not catch up, and when, by identity
	// Members that have not confirmed the states sent to them, and since when, by identity.
	unconfirmedSince map[string]int64
	confirmedMembers string // the core that is known to hold its state on disk
	onConfirmed      func(*consensus.State)
	disabled         disabledGuards
}

// disabledGuards switches guards off in tests that show what each guard is for.
type disabledGuards struct {
	confirmation bool // a change counts as complete once it is decided
	handOverWait bool // a controller stops without handing over
}

// maintainMembership starts the membership change that the core needs, one at a time. The existing core decides on
// each change, so starting it twice or late is harmless. If no change is needed, it has the core confirm that its
// disks hold the state, because the proposer of the last change may have failed before that.
func (c *Controller) maintainMembership(ctx context.Context, state *consensus.State) {
	if !c.replicator.knowsCurrent() || c.leaving.Load() {
		return
	}
	c.mu.Lock()
	others := c.candidates()
	change, wanted := c.placement().Plan(state, c.self(), others, c.now())
	first := c.rank(state) == 0
	unconfirmed := c.membership.confirmedMembers != formatMembers(state)
	c.mu.Unlock()
	if !first || !wanted && !unconfirmed || !c.changingMembership.CompareAndSwap(false, true) {
		return
	}
	go func() { // coordinator tasks and credit must not wait for it
		defer c.changingMembership.Store(false)
		if wanted {
			c.changeMembership(ctx, state, change, others)
			return
		}
		c.confirmMembership(ctx, state, c.requiredConfirmations(state, consensus.Member{}, others), gossipInterval)
	}()
}

func (c *Controller) self() consensus.Member {
	return consensus.Member{ID: c.replicator.identity(), Address: c.settings.InternalAddress(), Zone: c.settings.Zone}
}

func (c *Controller) placement() consensus.Placement {
	tolerate := c.settings.Tolerate
	return consensus.Placement{Zones: tolerate.Zones, Regions: tolerate.Regions, RegionOf: c.settings.RegionOfZone}
}

// candidates returns the other controllers except for spares that recently did not catch up. c.mu must be held.
func (c *Controller) candidates() (others []consensus.PeerStatus) {
	maps.DeleteFunc(c.membership.skippedSpares, func(_ string, since int64) bool {
		return c.now()-since > int64(skippedSpareTimeout)
	})
	for _, peer := range c.peerStatuses() {
		if _, skipped := c.membership.skippedSpares[peer.ID]; !skipped {
			others = append(others, peer)
		}
	}
	return others
}

// changeMembership carries out one membership change, from the new member's catch-up until the new member has
// confirmed that its disk holds the new state.
func (c *Controller) changeMembership(ctx context.Context, base *consensus.State, change consensus.MembershipChange, others []consensus.PeerStatus) {
	next := base.ApplyMembership(change)
	if next == nil || !c.readyForChange(ctx, base, next, change.Add, others) {
		return
	}
	decided, err := c.proposeMembership(ctx, base, change)
	c.log.Info("adopt", "out", change.Remove, "in", change.Add.ID, "at", change.Add.Address, "err", err)
	if err != nil || decided.SameCore(base) || change.Add.ID != "" && !decided.HasMember(change.Add.ID) {
		return
	}
	required := confirmationRequirement{quorum: decided.Quorum()}
	if change.Add.ID != "" {
		required.members = []string{change.Add.ID}
	}
	if !c.confirmMembership(ctx, decided, required, confirmationTimeout) {
		c.counts.Increment("membership_unconfirmed")
		c.log.Warn("membership not confirmed", "index", decided.Index, "members", formatMembers(decided))
	}
}

// confirmMembership sends a core its state until the required members have confirmed that their disks hold it. The
// last membership change is then complete, and this is recorded.
func (c *Controller) confirmMembership(ctx context.Context, state *consensus.State, required confirmationRequirement, limit time.Duration) (confirmed bool) {
	confirmContext, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if !c.awaitConfirmations(confirmContext, state, required) {
		return false
	}
	c.counts.Increment("membership_held")
	c.log.Info("membership confirmed on disk", "index", state.Index, "members", formatMembers(state))
	c.mu.Lock()
	c.membership.confirmedMembers = formatMembers(state)
	c.mu.Unlock()
	if c.membership.onConfirmed != nil {
		c.membership.onConfirmed(state)
	}
	return true
}

// proposeMembership has the core decide on a change, unless its members have changed since base: the confirmations
// collected before the proposal would then no longer apply.
func (c *Controller) proposeMembership(ctx context.Context, base *consensus.State, change consensus.MembershipChange) (*consensus.State, error) {
	proposeContext, cancel := context.WithTimeout(ctx, membershipChangeTimeout)
	defer cancel()
	return c.replicator.changeMembership(proposeContext, c.otherControllers,
		func(newest *consensus.State) (*consensus.State, error) {
			if !newest.SameCore(base) {
				return nil, nil
			}
			return newest.ApplyMembership(change), nil
		})
}

// readyForChange reports whether the disks of the future core hold the present state: those of the added member, a
// quorum, and each member that is heard from. This ensures that the new member has caught up before it votes, and
// that the previous change is on disk, whoever proposed it.
func (c *Controller) readyForChange(ctx context.Context, base, next *consensus.State, added consensus.Member, others []consensus.PeerStatus) bool {
	if c.membership.disabled.confirmation {
		return true
	}
	readyContext, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	required := c.requiredConfirmations(next, added, others)
	started := c.now()
	confirmed := c.collectConfirmations(readyContext, base, next.Core, required.satisfiedBy)
	c.recordConfirmations(next, added, confirmed, started)
	if !required.satisfiedBy(confirmed) {
		c.counts.Increment("membership_not_ready")
		c.log.Info("core is not ready for a membership change", "index", base.Index, "in", added.ID,
			"held", len(confirmed), "of", len(next.Core))
		return false
	}
	return true
}

// awaitConfirmations sends a core its state repeatedly until the required confirmations have arrived.
func (c *Controller) awaitConfirmations(ctx context.Context, state *consensus.State, required confirmationRequirement) bool {
	if c.membership.disabled.confirmation {
		return true
	}
	for ctx.Err() == nil {
		roundContext, cancel := context.WithTimeout(ctx, stepTimeout)
		confirmed := c.collectConfirmations(roundContext, state, state.Core, required.satisfiedBy)
		cancel()
		if required.satisfiedBy(confirmed) {
			return true
		}
		time.Sleep(confirmationRetryInterval)
	}
	return false
}

// requiredConfirmations returns the confirmations that a change needs before it starts. A member that is heard from but
// has confirmed nothing for longer than consensus.ReplacementTimeout is no longer required.
func (c *Controller) requiredConfirmations(next *consensus.State, added consensus.Member, others []consensus.PeerStatus) confirmationRequirement {
	required := confirmationRequirement{quorum: next.Quorum()}
	if added.ID != "" {
		required.members = append(required.members, added.ID)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, peer := range others {
		since, unconfirmed := c.membership.unconfirmedSince[peer.ID]
		waited := unconfirmed && c.now()-since > consensus.ReplacementTimeout
		if next.HasMember(peer.ID) && peer.SilentFor >= 0 && peer.SilentFor < consensus.DutyTimeout && !waited {
			required.members = append(required.members, peer.ID)
		}
	}
	return required
}

// recordConfirmations records which members did not confirm the state sent at startedAt, and skips an added spare
// that did not.
func (c *Controller) recordConfirmations(next *consensus.State, added consensus.Member, confirmed confirmedMembers, startedAt int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.membership.unconfirmedSince, func(id string, _ int64) bool { return !next.HasMember(id) })
	for _, member := range next.Core {
		_, recorded := c.membership.unconfirmedSince[member.ID]
		switch {
		case confirmed[member.ID]:
			delete(c.membership.unconfirmedSince, member.ID)
			delete(c.membership.skippedSpares, member.ID)
		case member.ID == added.ID:
			c.membership.skippedSpares[member.ID] = c.now()
		case !recorded:
			c.membership.unconfirmedSince[member.ID] = startedAt
		}
	}
}
