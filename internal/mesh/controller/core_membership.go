package controller

import (
	"context"
	"maps"
	"time"

	"ottershift/internal/mesh/consensus"
)

const (
	confirmPause  = 50 * time.Millisecond                 // between two rounds of telling a new core its state
	confirmFor    = time.Duration(consensus.ReplaceAfter) // after which a change that is not confirmed is asked for again at each turn
	setAsideFor   = time.Second                           // for which a spare that did not catch up is no candidate
	membershipFor = 2 * time.Second                       // for one attempt at a change of the core
)

// coreMembership is what a controller knows of the changes of the core that it carries out. Under the controller's mu.
type coreMembership struct {
	setAside map[string]int64 // spares that did not catch up, and when, by identity
	unheld   map[string]int64 // members whose disks do not confirm what they are told, and since when, by identity
	heldCore string           // the core that is known to be held
	onHeld   func(*consensus.State)
	variant  membershipVariant
}

// membershipVariant leaves a guard out, for tests that show what the guard is for.
type membershipVariant struct {
	unconfirmed bool // a change counts as done once it is decided
	leaveFirst  bool // a controller that is told to stop goes at once
}

// maintainMembership begins the change that the core needs, one at a time. What is decided is decided by the core as it
// is, so who begins it twice or late does no harm. Where nothing is to be changed it has the core confirm that it holds
// its state: whoever proposed the last change may have died before it was held.
func (c *Controller) maintainMembership(ctx context.Context, s *consensus.State) {
	if !c.replicator.current() || c.leaving.Load() {
		return
	}
	c.mu.Lock()
	others := c.candidates()
	change, wanted := c.placement().Plan(s, c.self(), others, c.now())
	first := c.rank(s) == 0
	confirm := c.membership.heldCore != coreText(s)
	c.mu.Unlock()
	if !first || !wanted && !confirm || !c.changingCore.CompareAndSwap(false, true) {
		return
	}
	go func() { // duties and accounts do not wait for it
		defer c.changingCore.Store(false)
		if wanted {
			c.changeMembership(ctx, s, change, others)
			return
		}
		c.confirmMembership(ctx, s, c.confirmationNeeded(s, consensus.Member{}, others), gossipInterval)
	}()
}

func (c *Controller) self() consensus.Member {
	return consensus.Member{ID: c.replicator.identity(), At: c.settings.InternalAddress(), Zone: c.settings.Zone}
}

func (c *Controller) placement() consensus.Placement {
	t := c.settings.Tolerate
	return consensus.Placement{Zones: t.Zones, Regions: t.Regions, RegionOf: c.settings.RegionOfZone}
}

// candidates is the other controllers without the spares that did not catch up a moment ago. Under mu.
func (c *Controller) candidates() (others []consensus.PeerStatus) {
	maps.DeleteFunc(c.membership.setAside, func(_ string, since int64) bool { return c.now()-since > int64(setAsideFor) })
	for _, peer := range c.peerStatuses() {
		if _, is := c.membership.setAside[peer.ID]; !is {
			others = append(others, peer)
		}
	}
	return others
}

// changeMembership carries one change of the core from the catch-up of the new member to the word of its disk that it
// holds the new state.
func (c *Controller) changeMembership(ctx context.Context, base *consensus.State, change consensus.MembershipChange, others []consensus.PeerStatus) {
	next := base.ApplyMembership(change)
	if next == nil || !c.readyForChange(ctx, base, next, change.Add, others) {
		return
	}
	decided, err := c.proposeMembership(ctx, base, change)
	c.log.Info("adopt", "out", change.Remove, "in", change.Add.ID, "at", change.Add.At, "err", err)
	if err != nil || decided.SameCore(base) || change.Add.ID != "" && !decided.HasMember(change.Add.ID) {
		return
	}
	needed := confirmationNeed{quorum: decided.Quorum()}
	if change.Add.ID != "" {
		needed.members = []string{change.Add.ID}
	}
	if !c.confirmMembership(ctx, decided, needed, confirmFor) {
		c.counts.Increment("membership_unconfirmed")
		c.log.Warn("membership not confirmed", "index", decided.Index, "members", coreText(decided))
	}
}

// confirmMembership tells a core its state until those that are needed say that their disks hold it: then its last change
// is done, and that is known.
func (c *Controller) confirmMembership(ctx context.Context, s *consensus.State, needed confirmationNeed, limit time.Duration) (held bool) {
	within, end := context.WithTimeout(ctx, limit)
	defer end()
	if !c.holdMembership(within, s, needed) {
		return false
	}
	c.counts.Increment("membership_held")
	c.log.Info("membership held", "index", s.Index, "members", coreText(s))
	c.mu.Lock()
	c.membership.heldCore = coreText(s)
	c.mu.Unlock()
	if c.membership.onHeld != nil {
		c.membership.onHeld(s)
	}
	return true
}

// proposeMembership has the core decide a change, unless its members are others by now: then what was confirmed before
// the proposal no longer holds.
func (c *Controller) proposeMembership(ctx context.Context, base *consensus.State, change consensus.MembershipChange) (*consensus.State, error) {
	within, end := context.WithTimeout(ctx, membershipFor)
	defer end()
	return c.replicator.changeMembership(within, c.otherControllers, func(newest *consensus.State) (*consensus.State, error) {
		if !newest.SameCore(base) {
			return nil, nil
		}
		return newest.ApplyMembership(change), nil
	})
}

// readyForChange reports whether the core that is to come holds the present state on disk: its new member, a quorum, and
// every member that is heard of. So the new member has caught up before it counts, and the change before this one is
// held, whoever proposed it.
func (c *Controller) readyForChange(ctx context.Context, base, next *consensus.State, added consensus.Member, others []consensus.PeerStatus) bool {
	if c.membership.variant.unconfirmed {
		return true
	}
	within, end := context.WithTimeout(ctx, stepTimeout)
	defer end()
	needed := c.confirmationNeeded(next, added, others)
	began := c.now()
	held := c.confirmHeld(within, base, next.Core, needed.met)
	c.noteUnheld(next, added, held, began)
	if !needed.met(held) {
		c.counts.Increment("membership_not_ready")
		c.log.Info("core not ready for a change", "index", base.Index, "in", added.ID, "held", len(held), "of", len(next.Core))
		return false
	}
	return true
}

// holdMembership tells a core its state, again and again, until those that are needed confirm that they hold it.
func (c *Controller) holdMembership(ctx context.Context, s *consensus.State, needed confirmationNeed) bool {
	if c.membership.variant.unconfirmed {
		return true
	}
	for ctx.Err() == nil {
		round, over := context.WithTimeout(ctx, stepTimeout)
		held := c.confirmHeld(round, s, s.Core, needed.met)
		over()
		if needed.met(held) {
			return true
		}
		time.Sleep(confirmPause)
	}
	return false
}

// confirmationNeeded is whose word a change needs before it begins. A member that is heard of and whose disk confirms
// nothing for as long as a member may be silent is not waited for any more.
func (c *Controller) confirmationNeeded(next *consensus.State, added consensus.Member, others []consensus.PeerStatus) confirmationNeed {
	needed := confirmationNeed{quorum: next.Quorum()}
	if added.ID != "" {
		needed.members = append(needed.members, added.ID)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, peer := range others {
		since, is := c.membership.unheld[peer.ID]
		waited := is && c.now()-since > consensus.ReplaceAfter
		if next.HasMember(peer.ID) && peer.SilentFor >= 0 && peer.SilentFor < consensus.DutyAfter && !waited {
			needed.members = append(needed.members, peer.ID)
		}
	}
	return needed
}

// noteUnheld keeps whose disks did not confirm what they were told at a time, and sets a spare aside that did not.
func (c *Controller) noteUnheld(next *consensus.State, added consensus.Member, held confirmed, told int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.membership.unheld, func(id string, _ int64) bool { return !next.HasMember(id) })
	for _, m := range next.Core {
		_, noted := c.membership.unheld[m.ID]
		switch {
		case held[m.ID]:
			delete(c.membership.unheld, m.ID)
			delete(c.membership.setAside, m.ID)
		case m.ID == added.ID:
			c.membership.setAside[m.ID] = c.now()
		case !noted:
			c.membership.unheld[m.ID] = told
		}
	}
}
