package controller

import (
	"context"
	"sync"
	"time"

	"ottershift/internal/mesh/consensus"
)

const (
	leavePollInterval  = 20 * time.Millisecond   // between two checks whether this controller may stop
	maxReplacementWait = 1500 * time.Millisecond // how long a leaving member waits for a spare to replace it
	// leaveGraceShare is the fraction of Bounds.Grace after which a leaving controller stops unconditionally, because
	// the platform kills it at Grace.
	leaveGraceShare       = 0.6
	serverShutdownTimeout = time.Second
	diskCloseTimeout      = 500 * time.Millisecond
	// trustDepartedFor is how long the disk of a member that left in an orderly way still counts, because the member
	// may be restarting.
	trustDepartedFor = 4 * time.Second
	handOverTimeout  = 500 * time.Millisecond
)

// leave hands over before this controller stops. It informs the others, lets a spare replace this member, and returns
// once a quorum of the others holds everything that its disk holds, decided or accepted. Until then this controller
// votes and serves. Without a spare it waits only for that quorum.
func (c *Controller) leave(ctx context.Context) {
	c.leaving.Store(true)
	if state, _ := c.replicator.knownState(); c.membership.disabled.handOverWait || !state.HasMember(c.replicator.identity()) {
		return
	}
	started := time.Now()
	c.announceLeaving(ctx)
	deadline := time.Duration(leaveGraceShare * float64(c.settings.Bounds.Grace))
	for time.Since(started) < deadline {
		if !c.awaitsReplacement(time.Since(started)) && c.handOver(ctx) {
			c.log.Info("left", "after", time.Since(started).Round(time.Millisecond))
			return
		}
		time.Sleep(leavePollInterval)
	}
	c.counts.Increment("left_without_handover")
	c.log.Warn("stopped without handing over: no quorum of the other members holds the state of this disk",
		"after", time.Since(started).Round(time.Millisecond))
}

// announceLeaving informs all other controllers without waiting for the next gossip interval.
func (c *Controller) announceLeaving(ctx context.Context) {
	for _, at := range c.otherControllers() {
		go c.gossip(ctx, at)
	}
}

// awaitsReplacement reports whether this controller is still a member and a spare could replace it.
func (c *Controller) awaitsReplacement(waited time.Duration) bool {
	state, _ := c.replicator.knownState()
	if waited > maxReplacementWait || !state.HasMember(c.replicator.identity()) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, peer := range c.peerStatuses() {
		if !state.HasMember(peer.ID) && !peer.Leaving && peer.SilentFor >= 0 && peer.SilentFor < consensus.CandidateTimeout {
			return true
		}
	}
	return false
}

// handOver has accepted values decided, has a quorum of the others confirm that their disks hold the newest state,
// and stops this controller from voting. It returns false if new values arrived in the meantime.
func (c *Controller) handOver(ctx context.Context) bool {
	handOverContext, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	state, err := c.latestSettledState(handOverContext)
	if err != nil || !c.durableOnOtherQuorum(handOverContext, state) {
		return false
	}
	if !c.disk.seal() {
		return false
	}
	if c.replicator.hasNothingAfter(state.Index) {
		return true
	}
	c.disk.unseal()
	return false
}

// latestSettledState returns the newest state after the values that this replica has accepted are decided.
func (c *Controller) latestSettledState(ctx context.Context) (*consensus.State, error) {
	state, _ := c.replicator.knownState()
	if c.replicator.hasNothingAfter(state.Index) {
		return c.replicator.linearizableRead(ctx, c.otherControllers)
	}
	return c.replicator.change(ctx, c.otherControllers, func(*consensus.State) (*consensus.State, error) { return nil, nil })
}

// durableOnOtherQuorum reports whether the disks of a quorum of the other members hold a state. A member that
// recently left in an orderly way counts with what its disk held at that time.
func (c *Controller) durableOnOtherQuorum(ctx context.Context, state *consensus.State) bool {
	var others []consensus.Member
	for _, member := range state.Core {
		if member.ID != c.replicator.identity() {
			others = append(others, member)
		}
	}
	recentlyDeparted := c.recentlyDeparted(state)
	required := confirmationRequirement{quorum: min(state.Quorum(), len(others))}
	enough := func(confirmed confirmedMembers) bool {
		for id := range recentlyDeparted {
			confirmed[id] = true
		}
		return required.satisfiedBy(confirmed)
	}
	return enough(c.collectConfirmations(ctx, state, others, enough))
}

// recentlyDeparted returns the members that left in an orderly way within trustDepartedFor and whose disks held a
// state at that time.
func (c *Controller) recentlyDeparted(state *consensus.State) confirmedMembers {
	departed := confirmedMembers{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for at, peer := range c.peers {
		heardAt, known := c.lastHeard[at]
		if known && peer.Leaving && peer.DurableIndex >= state.Index && state.HasMember(peer.ID) && c.now()-heardAt < int64(trustDepartedFor) {
			departed[peer.ID] = true
		}
	}
	return departed
}

// lockWithin locks a mutex or gives up after a timeout, as a hanging disk may hold it.
func lockWithin(lock *sync.Mutex, timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if lock.TryLock() {
			return true
		}
	}
	return false
}
