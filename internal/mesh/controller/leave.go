package controller

import (
	"context"
	"sync"
	"time"

	"ottershift/internal/mesh/consensus"
)

const (
	leavePause       = 20 * time.Millisecond   // between two looks at whether this controller may go
	replacementFor   = 1500 * time.Millisecond // for which a member that leaves waits for a spare to take its place
	leaveShare       = 0.6                     // of Grace, after which it goes whatever it holds: the platform ends it at Grace
	stopServersFor   = time.Second
	stopDiskFor      = 500 * time.Millisecond
	trustReturnFor   = 4 * time.Second // for which the disk of a member that has left in order counts: it may be restarting
	handOverAttempts = 500 * time.Millisecond
)

// leave has a controller that is told to stop hand over. It says so to the others, lets a spare take its place in the
// core, and returns once nothing that its disk holds, decided or accepted, is missing on a quorum of the others. Until
// then it votes and serves. Without a spare there is nothing to wait for but that quorum.
func (c *Controller) leave(ctx context.Context) {
	c.leaving.Store(true)
	if s, _ := c.replicator.state(); c.membership.variant.leaveFirst || !s.HasMember(c.replicator.identity()) {
		return
	}
	started := time.Now()
	c.announceLeaving(ctx)
	last := time.Duration(leaveShare * float64(c.settings.Bounds.Grace))
	for time.Since(started) < last {
		if !c.awaitsReplacement(time.Since(started)) && c.handOver(ctx) {
			c.log.Info("left", "after", time.Since(started).Round(time.Millisecond))
			return
		}
		time.Sleep(leavePause)
	}
	c.counts.Increment("left_without_handover")
	c.log.Warn("left without a hand-over: no quorum of the others holds what this disk holds", "after", time.Since(started).Round(time.Millisecond))
}

// announceLeaving tells all other controllers now, not at the next turn.
func (c *Controller) announceLeaving(ctx context.Context) {
	for _, at := range c.otherControllers() {
		go c.gossip(ctx, at)
	}
}

// awaitsReplacement reports whether this controller is a member still and a spare is there that may take its place.
func (c *Controller) awaitsReplacement(waited time.Duration) bool {
	s, _ := c.replicator.state()
	if waited > replacementFor || !s.HasMember(c.replicator.identity()) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, peer := range c.peerStatuses() {
		if !s.HasMember(peer.ID) && !peer.Leaving && peer.SilentFor >= 0 && peer.SilentFor < consensus.AwayAfter {
			return true
		}
	}
	return false
}

// handOver settles what stands accepted here, has a quorum of the others confirm that their disks hold the newest state,
// and ends this controller's votes. It reports false where something new came in between.
func (c *Controller) handOver(ctx context.Context) bool {
	within, end := context.WithTimeout(ctx, handOverAttempts)
	defer end()
	s, err := c.settledState(within)
	if err != nil || !c.heldByOthers(within, s) {
		return false
	}
	if !c.disk.seal() {
		return false
	}
	if c.replicator.holdsNothingBeyond(s.Index) {
		return true
	}
	c.disk.unseal()
	return false
}

// settledState is the newest state, with whatever this replica has accepted decided before.
func (c *Controller) settledState(ctx context.Context) (*consensus.State, error) {
	s, _ := c.replicator.state()
	if c.replicator.holdsNothingBeyond(s.Index) {
		return c.replicator.newest(ctx, c.otherControllers)
	}
	return c.replicator.change(ctx, c.otherControllers, func(*consensus.State) (*consensus.State, error) { return nil, nil })
}

// heldByOthers reports whether the disks of a quorum of the other members hold a state. A member that has left in order a
// moment ago counts with what it held then.
func (c *Controller) heldByOthers(ctx context.Context, s *consensus.State) bool {
	var others []consensus.Member
	for _, m := range s.Core {
		if m.ID != c.replicator.identity() {
			others = append(others, m)
		}
	}
	returning := c.returning(s)
	need := confirmationNeed{quorum: min(s.Quorum(), len(others))}
	enough := func(held confirmed) bool {
		for id := range returning {
			held[id] = true
		}
		return need.met(held)
	}
	return enough(c.confirmHeld(ctx, s, others, enough))
}

// returning is the members that have left in order within trustReturnFor, and whose disks held a state before they did.
func (c *Controller) returning(s *consensus.State) confirmed {
	held := confirmed{}
	c.mu.Lock()
	defer c.mu.Unlock()
	for at, peer := range c.peers {
		heard, is := c.lastHeard[at]
		if is && peer.Leaving && peer.Held >= s.Index && s.HasMember(peer.ID) && c.now()-heard < int64(trustReturnFor) {
			held[peer.ID] = true
		}
	}
	return held
}

// lockWithin takes a lock, or gives up after a while: a disk that hangs holds it.
func lockWithin(lock *sync.Mutex, within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if lock.TryLock() {
			return true
		}
	}
	return false
}
