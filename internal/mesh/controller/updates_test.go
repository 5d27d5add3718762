package controller_test

import (
	"context"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/burstcredit"
	"ottershift/internal/mesh/consensus"
	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/rpc"
	"ottershift/internal/mesh/storage"
	"ottershift/internal/mesh/testmesh"
	"ottershift/internal/mesh/testmesh/history"
)

// callerTimeout is the time after which a caller tries another controller.
const callerTimeout = time.Second

// sendConcurrently sends updates concurrently, each to the controller given by at, and returns the responses.
func (c *cluster) sendConcurrently(orders []*testmesh.Update, at func(n int) int) []testmesh.Response {
	answers := make([]testmesh.Response, len(orders))
	var all sync.WaitGroup
	for n, order := range orders {
		all.Go(func() { answers[n] = c.send(at(n), order) })
	}
	all.Wait()
	return answers
}

func TestOneOfTwoConcurrentUpdatesToTheSameVersionWins(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3, nil)
	c.mustPut(0, testmesh.NewUpdate(1, 0, 1))
	base := int64(1)
	for round := range 8 {
		edition := base + 3
		rivals := []*testmesh.Update{testmesh.NewUpdate(10+2*round, base, edition), testmesh.NewUpdate(11+2*round, base, edition)}
		c.sendConcurrently(rivals, func(n int) int { return (round + n) % 3 })
		var winner *testmesh.Update
		for _, order := range rivals { // whatever the first responses were, repeating the update reveals its outcome
			var outcome testmesh.Outcome
			c.eventually(func() bool {
				outcome = c.send((round+2)%3, order).Outcome()
				return outcome != testmesh.OutcomeUnknown
			})
			if outcome == testmesh.OutcomeConfirmed {
				must.Nil(t, winner)
				winner = order
			}
		}
		must.NotNil(t, winner)
		c.mustFetch(history.Configuration{Version: edition, UpdateID: winner.ID})
		base = edition
	}
}

func TestOneOfEightConcurrentUpdatesWins(t *testing.T) { // not parallel, because it measures time
	c := startInMemoryCluster(t)
	c.mustPut(0, testmesh.NewUpdate(1, 0, 1))
	for round, at := range []func(int) int{
		func(int) int { return 1 },       // all at one controller
		func(n int) int { return n % 3 }, // distributed
	} {
		base, orders := int64(round+1), []*testmesh.Update(nil)
		for n := range 8 {
			orders = append(orders, testmesh.NewUpdate(100*(round+1)+n, base, base+1))
		}
		confirmed := map[int]bool{}
		for n, answer := range c.sendConcurrently(orders, at) {
			must.SliceContains(t, []int{200, 412, 503}, answer.Status, must.Sprint(answer))
			must.Less(t, callerTimeout, answer.Duration)
			if answer.Status == 200 {
				confirmed[n] = true
			}
		}
		must.LessEq(t, 1, len(confirmed))
		for n, order := range orders {
			c.eventually(func() bool {
				outcome := c.send((at(n)+1)%3, order).Outcome()
				if outcome == testmesh.OutcomeConfirmed {
					confirmed[n] = true
				}
				return outcome != testmesh.OutcomeUnknown
			})
		}
		must.MapLen(t, 1, confirmed)
	}
}

// Applies one hundred updates one after the other. Each must be confirmed again by every controller, also after a
// restart of all processes, the replacement of a member, and a restore. With only 64 recorded changes, updates up to
// version 36 were rejected.
func TestRepeatedUpdatesAreConfirmedAfterRestartReplacementAndRestore(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 4, nil)
	var orders []*testmesh.Update
	for n := range 100 {
		order := testmesh.NewUpdate(n, int64(n), int64(n+1))
		c.mustPut(n%3, order)
		orders = append(orders, order)
	}
	sample := []*testmesh.Update{orders[0], orders[35], orders[36], orders[99]}
	c.mustConfirm(orders...)

	c.stopAll()
	for n := range 3 {
		c.start(n)
	}
	c.mustConfirm(sample...)

	c.stop(2)
	c.start(3)
	c.eventually(func() bool {
		s := c.nodes[0].State()
		return len(s.Core) == 3 && strings.Contains(formatAddresses(s), c.host(3))
	})
	c.mustConfirm(sample...)

	backup, err := storage.EncodeBackup(c.nodes[0].State())
	must.NoError(t, err)
	c.stopAll()
	restored, err := storage.DecodeBackup(backup)
	must.NoError(t, err)
	s := c.nodes[1].settings
	s.DataDir, s.FirstStart = filepath.Join(t.TempDir(), "restored"), false
	_, err = storage.Restore(s.DataDir, restored, s.InternalAddress(), s.Zone)
	must.NoError(t, err)
	c.start(1)
	c.mustConfirm(sample...)
	c.mustFetch(history.Configuration{Version: 100, UpdateID: 99})
	// Never applied, and ruled out by the record of applied changes.
	must.Eq(t, testmesh.OutcomeStale, c.send(1, testmesh.NewUpdate(500, 7, 8)).Outcome())
}

func formatAddresses(state *consensus.State) string {
	var addresses []string
	for _, m := range state.Core {
		addresses = append(addresses, m.Address)
	}
	return strings.Join(addresses, " ")
}

func TestUpdateWithLostResponseIsConfirmedWhenRepeated(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3, nil)
	c.mustPut(0, testmesh.NewUpdate(1, 0, 1))
	for round, fault := range []testmesh.LinkFault{testmesh.LinkDropsResponses, testmesh.LinkReset, testmesh.LinkDeliversLate} {
		base := int64(round + 1)
		order := testmesh.NewUpdate(10+round, base, base+1)
		c.links.Set(testmesh.OperatorHost, c.host(0), fault)
		must.Eq(t, testmesh.OutcomeUnknown, c.send(0, order).Outcome())
		c.links.Clear()
		c.eventually(func() bool { return c.nodes[1].State().Edition == order.Version }) // it has been applied
		c.mustConfirm(order)
	}
}

func TestInvalidUpdateIsRejectedEachTime(t *testing.T) {
	t.Parallel()
	c := startCluster(t, 3, nil)
	c.mustPut(0, testmesh.NewUpdate(1, 0, 4))
	bad := testmesh.NewUpdate(2, 4, 6)
	bad.Body = strings.ReplaceAll(bad.Body, `"DeliveryTries":2`, `"DeliveryTries":0`)
	notAbove := testmesh.NewUpdate(3, 4, 4)
	for _, next := range []*testmesh.Update{nil, testmesh.NewUpdate(4, 4, 5)} {
		if next != nil {
			c.mustPut(1, next)
		}
		for at := range 3 {
			for range 2 {
				must.Eq(t, testmesh.OutcomeInvalid, c.send(at, bad).Outcome())
				must.SliceContains(t, []testmesh.Outcome{testmesh.OutcomeInvalid, testmesh.OutcomeStale},
					c.send(at, notAbove).Outcome())
			}
		}
	}
	c.mustFetch(history.Configuration{Version: 5, UpdateID: 4})
}

// The proposer fails after other members have accepted its proposal and before any of them learns a decision. Another
// controller must settle the update, and a repetition must be confirmed. If no other member has accepted the
// proposal, either outcome is allowed, but it must be final.
func TestInDoubtUpdateIsSettledAfterProposerFails(t *testing.T) {
	t.Parallel()
	for name, reached := range map[string]int{"accepted by all": 2, "accepted by one other": 1, "accepted by no other": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 3, nil)
			c.mustPut(0, testmesh.NewUpdate(1, 0, 1))
			for n := 1; n < 3; n++ {
				fault := testmesh.LinkDropsRequests
				if n <= reached {
					fault = testmesh.LinkDropsResponses
				}
				c.accepts.Set(c.host(0), c.host(n), fault)
				c.learns.Set(c.host(0), c.host(n), testmesh.LinkDropsRequests)
			}
			order := testmesh.NewUpdate(2, 1, 2)
			answered := make(chan testmesh.Response)
			go func() { answered <- c.send(0, order) }()
			time.Sleep(200 * time.Millisecond)
			c.isolate(0)
			must.Eq(t, testmesh.OutcomeUnknown, (<-answered).Outcome())
			c.stop(0)
			c.heal()
			c.mustPut(1, order)
			c.mustConfirm(order)
			c.start(0)
			c.mustConfirm(order)
			c.mustFetch(history.Configuration{Version: 2, UpdateID: 2})
		})
	}
}

// Accept and Learn messages that arrive 1.2 s late, after other updates have been decided, must have no effect.
func TestDelayedMessagesHaveNoEffect(t *testing.T) {
	t.Parallel()
	for name, late := range map[string]func(*cluster) *testmesh.Links{
		"accepts": func(c *cluster) *testmesh.Links { return &c.accepts },
		"learns":  func(c *cluster) *testmesh.Links { return &c.learns },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 3, nil)
			c.mustPut(0, testmesh.NewUpdate(1, 0, 1))
			for n := 1; n < 3; n++ {
				late(c).Set(c.host(0), c.host(n), testmesh.LinkDeliversLate)
				late(c).SetDelay(c.host(0), c.host(n), 1200*time.Millisecond)
			}
			delayed := testmesh.NewUpdate(2, 1, 2)
			c.send(0, delayed)
			outcome := testmesh.OutcomeUnknown
			c.eventually(func() bool { // repeated at another controller
				outcome = c.send(1, delayed).Outcome()
				return outcome != testmesh.OutcomeUnknown
			})
			must.Eq(t, testmesh.OutcomeConfirmed, outcome)
			rest := []*testmesh.Update{testmesh.NewUpdate(3, 2, 3), testmesh.NewUpdate(4, 3, 4)}
			c.mustPut(1, rest[0])
			c.mustPut(2, rest[1])
			time.Sleep(1300 * time.Millisecond)
			c.heal()
			c.mustFetch(history.Configuration{Version: 4, UpdateID: 4})
			c.mustConfirm(append(rest, delayed)...)
		})
	}
}

// Eight updates queue at an isolated controller, or at one whose disk hangs. Each must be answered within the
// caller's timeout of one second. An isolated controller must not reject any of them.
func TestQueuedUpdatesAreAnsweredWithinASecond(t *testing.T) { // not parallel, because it measures time
	c := startInMemoryCluster(t)
	c.mustPut(0, testmesh.NewUpdate(1, 0, 1))
	var orders []*testmesh.Update
	for n := range 8 {
		orders = append(orders, testmesh.NewUpdate(10+n, 1, int64(2+n%2)))
	}
	c.isolate(0)
	longest := time.Duration(0)
	for range 2 { // the second round must not find leftovers of the first one in the queue
		for _, answer := range c.sendConcurrently(orders, func(int) int { return 0 }) {
			must.Eq(t, 503, answer.Status, must.Sprint(answer))
			must.Less(t, callerTimeout, answer.Duration)
			longest = max(longest, answer.Duration)
		}
		must.Zero(t, c.nodes[0].QueuedChanges())
	}
	t.Logf("isolated controller: last of eight answers after %v", longest)
	c.heal()
	c.eventually(func() bool { return c.send(0, orders[0]).Outcome() != testmesh.OutcomeUnknown })

	c.nodes[0].disk.Stall()
	defer c.nodes[0].disk.Resume()
	newest, known := fetch(t.Context(), c.operator, 1)
	must.True(t, known)
	for n := range orders {
		orders[n] = testmesh.NewUpdate(20+n, newest.Version, newest.Version+1)
	}
	confirmed := 0
	longest = 0
	for _, answer := range c.sendConcurrently(orders, func(int) int { return 0 }) {
		must.SliceContains(t, []int{200, 412, 503}, answer.Status, must.Sprint(answer))
		must.Less(t, callerTimeout, answer.Duration)
		longest = max(longest, answer.Duration)
		if answer.Status == 200 {
			confirmed++
		}
	}
	must.LessEq(t, 1, confirmed)
	t.Logf("stalled disk: %d confirmed, last of eight answers after %v", confirmed, longest)
}

// A membership change must not wait for updates that are queued at its controller, even if none of them can complete.
func TestMembershipChangePrecedesQueuedUpdates(t *testing.T) { // not parallel, because it measures time
	c := startInMemoryCluster(t)
	c.mustPut(0, testmesh.NewUpdate(1, 0, 1))
	c.isolate(0)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		for n := range 8 {
			go c.send(0, testmesh.NewUpdate(10+n, 1, 2))
		}
	}()
	<-answered
	c.eventually(func() bool { return c.nodes[0].QueuedChanges() >= 6 })
	c.heal()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	began := time.Now()
	must.NoError(t, c.nodes[0].ChangeMembership(ctx, func(*consensus.State) (*consensus.State, error) { return nil, nil }))
	t.Logf("with eight queued updates, the membership change took %v", time.Since(began))
	must.Less(t, 500*time.Millisecond, time.Since(began))
}

// If one of three members is silent, concurrent updates make the other two promise to competing proposers. A refused
// proposer must retry without waiting for the silent member, but not so early that no proposer succeeds, however slow
// the disks are.
func TestConcurrentUpdatesAreAnsweredWhileAMemberIsSilent(t *testing.T) { // not parallel, because it measures time
	for _, sync := range []time.Duration{0, 30 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(sync.String(), func(t *testing.T) {
			c := startInMemoryCluster(t)
			c.mustPut(0, testmesh.NewUpdate(1, 0, 1))
			c.isolate(2)
			c.nodes[0].disk.SetDelay(sync)
			c.nodes[1].disk.SetDelay(sync)
			base, unclear := int64(1), 0
			for round := range 6 {
				var orders []*testmesh.Update
				for n := range 8 {
					orders = append(orders, testmesh.NewUpdate(100*(round+1)+n, base, base+1))
				}
				for _, answer := range c.sendConcurrently(orders, func(n int) int { return n % 2 }) {
					if answer.Outcome() == testmesh.OutcomeUnknown {
						unclear++
					}
				}
				c.eventually(func() bool {
					newest, known := fetch(t.Context(), c.operator, 0)
					base = newest.Version
					return known
				})
			}
			t.Logf("%d of 48 updates had an unclear outcome at the first attempt; version %d is current", unclear, base)
			must.LessEq(t, 5, unclear)
		})
	}
}

// A change that cannot tell from the state whether it was applied must not be applied twice if the responses to its
// accept requests are lost.
func TestCreditGrantIsAppliedOnce(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]testmesh.LinkFault{"reset": testmesh.LinkReset,
		"lost": testmesh.LinkDropsResponses, "late": testmesh.LinkDeliversLate} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, 3, nil)
			c.mustPut(0, testmesh.NewUpdate(1, 0, 1))
			caller := rpc.NewClient(nil)
			defer caller.Close()
			granted := 0.0
			for n := range 6 {
				c.accepts.Set(c.host(0), c.host(1), fault)
				c.accepts.Set(c.host(0), c.host(2), fault)
				heal := time.AfterFunc(time.Duration(n*60)*time.Millisecond, c.accepts.Clear)
				grant := &controller.Order{Tenant: "acme", Tokens: 100, Who: "operator", Why: "test"}
				err := caller.Call(t.Context(), c.nodes[0].settings.InternalAddress(), rpc.PathCreditOrder, grant,
					&burstcredit.AccountStatus{})
				heal.Stop()
				c.heal()
				c.mustFetch(history.Configuration{Version: 1, UpdateID: 1}) // this read settles pending values
				account, readErr := controller.FindAccount(c.nodes[0].State().Credit, "acme")
				must.NoError(t, readErr)
				applied := account.Balance - granted
				if err == nil {
					must.Eq(t, 100, applied)
				} else {
					must.SliceContains(t, []float64{0, 100}, applied, must.Sprint(err))
				}
				granted = account.Balance
			}
			must.Positive(t, granted)
		})
	}
}
