package controller

import (
	"bytes"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/rpc"
)

// loseReporterAfterReplacement loses a member, waits until its replacement is reported as complete, and then
// immediately loses the controller that reported it, usually the proposer. Learn messages about the new core are
// dropped for 300 ms, as on a bad link. It reports whether the remaining two members continue to work.
func loseReporterAfterReplacement(t *testing.T, disabled disabledGuards) bool {
	c := newCluster(t, 1, 1, disabled)
	added := c.nodes[3].identity()
	var startTimer sync.Once
	restored := make(chan struct{})
	for _, n := range c.nodes {
		n.filter.SetDrop(func(_, _ string, body []byte) bool {
			if !bytes.Contains(body, []byte(`"learn"`)) || !bytes.Contains(body, []byte(added)) {
				return false
			}
			startTimer.Do(func() { time.AfterFunc(300*time.Millisecond, func() { close(restored) }) })
			select {
			case <-restored:
				return false
			default:
				return true
			}
		})
	}
	lost := make(chan int, 1)
	var once sync.Once // several controllers may report the same change as confirmed
	c.setOnConfirmed(func(reporter *node, s *consensus.State) {
		if !s.HasMember(added) {
			return
		}
		once.Do(func() {
			n := c.indexOf(reporter)
			c.loseMember(n)
			lost <- n
		})
	})
	must.True(t, c.putVersion(0, 2))
	c.loseMember(0)
	reporterIndex := <-lost
	remaining := slices.DeleteFunc([]int{1, 2, 3}, func(n int) bool { return n == reporterIndex })
	return c.eventuallyWithin(catchUpTimeout(c), func() bool {
		return c.putVersion(remaining[0], 3) && c.readVersion(remaining[1]) == 3
	})
}

// catchUpTimeout returns the time within which the core must work again.
func catchUpTimeout(c *cluster) time.Duration { return c.nodes[0].settings.Bounds.CatchUp }

func TestSecondLossRightAfterReplacementIsTolerated(t *testing.T) {
	t.Parallel()
	must.True(t, loseReporterAfterReplacement(t, disabledGuards{}))
}

// Gossip may spread the decision just before the proposer is lost, so that single runs may succeed.
func TestReplacementWithoutConfirmationFailsOnSecondLoss(t *testing.T) {
	t.Parallel()
	failed := false
	for run := 0; run < 4 && !failed; run++ {
		failed = !loseReporterAfterReplacement(t, disabledGuards{confirmation: true})
	}
	must.True(t, failed)
}

func TestSpareWithStalledDiskIsNotAdmitted(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2, disabledGuards{})
	c.eventually("the spares are known", func() bool { return c.knownState(3).Edition == 1 && c.knownState(4).Edition == 1 })
	c.nodes[3].disk.Stall() // the first candidate, by address
	must.True(t, c.putVersion(1, 2))
	c.loseMember(0)
	c.eventually("the other spare is a member", func() bool { return c.isMember(1, 4) })
	must.False(t, c.isMember(1, 3))
}

func TestReplacedMemberReturnsAsSpareAndCanBeAdmittedAgain(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1, disabledGuards{})
	old := c.nodes[0].identity()
	c.loseMember(0)
	c.eventually("the spare is a member", func() bool { return c.isMember(1, 3) && !c.isMember(1, 0) })
	must.True(t, c.putVersion(1, 2))
	c.nodes[0].membership.disabled.handOverWait = true
	c.terminate(0)
	c.links.Clear()
	c.start(0)
	must.Eq(t, old, c.nodes[0].identity())
	c.eventually("controller 0 has learned the newest state", func() bool { return c.knownState(0).Edition == 2 })
	must.False(t, c.isMember(1, 0))
	c.loseMember(1) // controller 0 is the spare now
	c.eventually("the controller is a member", func() bool { return c.isMember(2, 0) && !c.isMember(2, 1) })
	c.eventually("the controller votes", func() bool { return c.putVersion(0, 3) })
	c.loseMember(2)
	c.eventually("the other two members continue", func() bool { return c.putVersion(3, 4) && c.readVersion(0) == 4 })
}

func TestWipedDiskAtTheSameAddressIsANewMember(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0, disabledGuards{})
	old := c.nodes[0].identity()
	c.terminate(0)
	must.NoError(t, os.RemoveAll(c.nodes[0].settings.DataDir))
	c.nodes[0].settings.FirstStart = false
	c.start(0)
	must.NotEq(t, old, c.nodes[0].identity())
	c.eventually("the controller is a member", func() bool { return c.isMember(1, 0) && !c.knownState(1).HasMember(old) })
	c.loseMember(2)
	c.eventually("the controller votes", func() bool { return c.putVersion(1, 2) && c.readVersion(0) == 2 })
}

func TestTwoConcurrentReplacements(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2, disabledGuards{})
	c.eventually("the spares are known", func() bool { return c.knownState(3).Edition == 1 && c.knownState(4).Edition == 1 })
	var all sync.WaitGroup
	for _, n := range []int{0, 1} {
		all.Go(func() { t.Logf("controller %d stopped after %v", n, c.terminate(n)) })
	}
	all.Wait()
	c.eventually("both spares are members", func() bool {
		return c.isMember(2, 3) && c.isMember(2, 4) && !c.isMember(2, 0) && !c.isMember(2, 1)
	})
	c.loseMember(2)
	c.eventually("the new members continue", func() bool { return c.putVersion(3, 2) && c.readVersion(4) == 2 })
}

func TestCoreOfFiveToleratesTwoLossesAfterTwoReplacements(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 4, disabledGuards{}) // three initial members grow to five; two controllers remain spares
	c.eventually("the core has grown", func() bool { return len(c.knownState(0).Core) == 5 })
	must.True(t, c.putVersion(0, 2))
	c.loseMember(0)
	c.loseMember(1)
	repaired := func(n int) bool {
		s := c.knownState(n)
		return len(s.Core) == 5 && !c.isMember(n, 0) && !c.isMember(n, 1)
	}
	c.eventually("the core has five members again", func() bool { return repaired(2) })
	must.True(t, c.eventuallyWithin(catchUpTimeout(c), func() bool { return c.nodes[2].disk != nil && c.readVersion(6) == 2 }))
	c.loseMember(2)
	c.loseMember(3)
	c.eventually("three members continue", func() bool { return c.putVersion(4, 3) && c.readVersion(6) == 3 })
}

// loseMemberAfterLeave stops a member and then loses another one with its disk. Of the three disks of the core, the
// third one lacks the last acknowledged update. It reports whether the update survives.
func loseMemberAfterLeave(t *testing.T, disabled disabledGuards) bool {
	c := newCluster(t, 1, 1, disabled)
	c.eventually("the spare is known", func() bool { return c.knownState(3).Edition == 1 })
	lagging := c.nodes[2]
	for _, n := range c.nodes { // node 2 is heard from but learns no decision
		n.filter.SetDrop(func(to, path string, _ []byte) bool {
			return path == rpc.PathConsensus && (n == lagging || to == lagging.settings.IP)
		})
	}
	c.eventually("update is acknowledged", func() bool { return c.putVersion(0, 2) })
	must.Less(t, 2, c.knownState(2).Edition)
	took := c.terminate(0)
	t.Logf("stopped after %v", took)
	must.Less(t, c.nodes[0].settings.Bounds.Grace, took)
	for _, n := range c.nodes {
		n.filter.SetDrop(nil)
	}
	c.loseMember(1)
	return c.eventuallyWithin(catchUpTimeout(c), func() bool {
		return c.putVersion(2, 3) && c.readVersion(3) == 3 && c.knownState(3).HasApplied(2, "digest-2")
	})
}

func TestLeavingMemberIsReplacedBeforeItStops(t *testing.T) {
	t.Parallel()
	must.True(t, loseMemberAfterLeave(t, disabledGuards{}))
}

func TestLeaveWithoutHandOverLosesAcknowledgedUpdate(t *testing.T) {
	t.Parallel()
	must.False(t, loseMemberAfterLeave(t, disabledGuards{handOverWait: true}))
}

// leaveWithAccepted stops a member that alone has accepted a value. It reports whether the value is decided before
// the member stops.
func leaveWithAccepted(t *testing.T, disabled disabledGuards) bool {
	c := newCluster(t, 1, 0, disabled)
	var leaving, left atomic.Bool
	silent := c.nodes[2] // so that the leaving member is part of each majority
	for _, n := range c.nodes {
		n.filter.SetDrop(func(to, path string, body []byte) bool {
			isolated := path == rpc.PathConsensus && (n == silent || to == silent.settings.IP)
			return isolated || n == c.nodes[0] && !leaving.Load() && bytes.Contains(body, []byte(`"accept"`))
		})
	}
	var calls sync.WaitGroup
	calls.Go(func() {
		// An attempt may lose to another change and end without an accepted value.
		for !left.Load() && c.knownState(0).Edition < 2 {
			c.putVersion(0, 2)
		}
	})
	c.eventually("the leaving member has accepted the value", func() bool {
		r := c.nodes[0].replicator
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.replica.Accepted != nil && r.replica.Accepted.Value.Edition == 2
	})
	leaving.Store(true)
	c.nodes[0].stop()
	c.eventuallyWithin(time.Second, func() bool { return c.knownState(1).Edition == 2 })
	silent.filter.SetDrop(nil)
	c.nodes[1].filter.SetDrop(nil)
	c.nodes[0].filter.SetDrop(nil)
	<-c.nodes[0].done
	left.Store(true)
	calls.Wait()
	return c.readVersion(1) == 2
}

func TestValueAcceptedByLeavingMemberIsDecidedBeforeItStops(t *testing.T) {
	t.Parallel()
	must.True(t, leaveWithAccepted(t, disabledGuards{}))
}
