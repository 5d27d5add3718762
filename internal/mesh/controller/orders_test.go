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

// silence is after what time a caller moves on.
const silence = time.Second

// raceAt sends orders at once, each to the machine of its number, and returns the answers.
func (c *core) raceAt(orders []*testmesh.Order, at func(n int) int) []testmesh.Answer {
	answers := make([]testmesh.Answer, len(orders))
	var all sync.WaitGroup
	for n, order := range orders {
		all.Go(func() { answers[n] = c.send(at(n), order) })
	}
	all.Wait()
	return answers
}

func TestTwoOrdersWithOneNumberHaveOneWinner(t *testing.T) {
	t.Parallel()
	c := startCore(t, 3, nil)
	c.put(0, testmesh.NewOrder(1, 0, 1))
	base := int64(1)
	for round := range 8 {
		edition := base + 3
		rivals := []*testmesh.Order{testmesh.NewOrder(10+2*round, base, edition), testmesh.NewOrder(11+2*round, base, edition)}
		c.raceAt(rivals, func(n int) int { return (round + n) % 3 })
		var winner *testmesh.Order
		for _, order := range rivals { // whatever the first answers were, the same again tells for each
			var outcome testmesh.Outcome
			c.until(func() bool {
				outcome = c.send((round+2)%3, order).Outcome()
				return outcome != testmesh.OutcomeUnclear
			})
			if outcome == testmesh.OutcomeConfirmed {
				must.Nil(t, winner)
				winner = order
			}
		}
		must.NotNil(t, winner)
		c.mustFetch(history.Version{Edition: edition, Order: winner.ID})
		base = edition
	}
}

func TestEightOrdersAtOnceHaveOneWinner(t *testing.T) { // not beside others: it measures times
	c := startCoreInMemory(t)
	c.put(0, testmesh.NewOrder(1, 0, 1))
	for round, at := range []func(int) int{
		func(int) int { return 1 },       // all at one machine
		func(n int) int { return n % 3 }, // spread
	} {
		base, orders := int64(round+1), []*testmesh.Order(nil)
		for n := range 8 {
			orders = append(orders, testmesh.NewOrder(100*(round+1)+n, base, base+1))
		}
		confirmed := map[int]bool{}
		for n, answer := range c.raceAt(orders, at) {
			must.SliceContains(t, []int{200, 412, 503}, answer.Status, must.Sprint(answer))
			must.Less(t, silence, answer.Took)
			if answer.Status == 200 {
				confirmed[n] = true
			}
		}
		must.LessEq(t, 1, len(confirmed))
		for n, order := range orders {
			c.until(func() bool {
				outcome := c.send((at(n)+1)%3, order).Outcome()
				if outcome == testmesh.OutcomeConfirmed {
					confirmed[n] = true
				}
				return outcome != testmesh.OutcomeUnclear
			})
		}
		must.MapLen(t, 1, confirmed)
	}
}

// A hundred orders, one after the other; each is acknowledged again at every machine, across the loss of all processes, the
// replacement of a core machine and a restore. With 64 remembered, those up to version 36 were refused.
func TestAllOrdersOfADayAreAcknowledgedAgain(t *testing.T) {
	t.Parallel()
	c := startCore(t, 4, nil)
	var orders []*testmesh.Order
	for n := range 100 {
		order := testmesh.NewOrder(n, int64(n), int64(n+1))
		c.put(n%3, order)
		orders = append(orders, order)
	}
	sample := []*testmesh.Order{orders[0], orders[35], orders[36], orders[99]}
	c.mustConfirm(orders...)

	c.stopAll()
	for n := range 3 {
		c.start(n)
	}
	c.mustConfirm(sample...)

	c.stop(2)
	c.start(3)
	c.until(func() bool {
		s := c.nodes[0].State()
		return len(s.Core) == 3 && strings.Contains(membersText(s), c.host(3))
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
	c.mustFetch(history.Version{Edition: 100, Order: 99})
	must.Eq(t, testmesh.OutcomeStale, c.send(1, testmesh.NewOrder(500, 7, 8)).Outcome()) // never applied, and ruled out
}

func membersText(s *consensus.State) string {
	var all []string
	for _, m := range s.Core {
		all = append(all, m.At)
	}
	return strings.Join(all, " ")
}

func TestAnOrderWhoseAnswerIsLostIsAcknowledgedAgain(t *testing.T) {
	t.Parallel()
	c := startCore(t, 3, nil)
	c.put(0, testmesh.NewOrder(1, 0, 1))
	for round, fault := range []testmesh.LinkFault{testmesh.LinkLostResponse, testmesh.LinkReset, testmesh.LinkLate} {
		base := int64(round + 1)
		order := testmesh.NewOrder(10+round, base, base+1)
		c.links.Set(testmesh.OperatorHost, c.host(0), fault)
		must.Eq(t, testmesh.OutcomeUnclear, c.send(0, order).Outcome())
		c.links.Heal()
		c.until(func() bool { return c.nodes[1].State().Edition == order.Edition }) // it has been applied
		c.mustConfirm(order)
	}
}

func TestABadOrderIsRefusedEachTime(t *testing.T) {
	t.Parallel()
	c := startCore(t, 3, nil)
	c.put(0, testmesh.NewOrder(1, 0, 4))
	bad := testmesh.NewOrder(2, 4, 6)
	bad.Body = strings.ReplaceAll(bad.Body, `"DeliveryTries":2`, `"DeliveryTries":0`)
	notAbove := testmesh.NewOrder(3, 4, 4)
	for _, next := range []*testmesh.Order{nil, testmesh.NewOrder(4, 4, 5)} {
		if next != nil {
			c.put(1, next)
		}
		for at := range 3 {
			for range 2 {
				must.Eq(t, testmesh.OutcomeInvalid, c.send(at, bad).Outcome())
				must.SliceContains(t, []testmesh.Outcome{testmesh.OutcomeInvalid, testmesh.OutcomeStale}, c.send(at, notAbove).Outcome())
			}
		}
	}
	c.mustFetch(history.Version{Edition: 5, Order: 4})
}

// The proposer is gone after its accepts were taken and before anybody heard of a decision: another process settles the
// order, and the same again is confirmed; or, where no other took it, any one outcome holds for good.
func TestAnOrderInDoubtIsSettledWhenItsProposerDies(t *testing.T) {
	t.Parallel()
	for name, reached := range map[string]int{"accepted by all": 2, "accepted by one other": 1, "accepted by no other": 0} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCore(t, 3, nil)
			c.put(0, testmesh.NewOrder(1, 0, 1))
			for n := 1; n < 3; n++ {
				fault := testmesh.LinkSilent
				if n <= reached {
					fault = testmesh.LinkLostResponse
				}
				c.accepts.Set(c.host(0), c.host(n), fault)
				c.learns.Set(c.host(0), c.host(n), testmesh.LinkSilent)
			}
			order := testmesh.NewOrder(2, 1, 2)
			went := make(chan testmesh.Answer)
			go func() { went <- c.send(0, order) }()
			time.Sleep(200 * time.Millisecond)
			c.cutOff(0)
			must.Eq(t, testmesh.OutcomeUnclear, (<-went).Outcome())
			c.stop(0)
			c.heal()
			c.put(1, order)
			c.mustConfirm(order)
			c.start(0)
			c.mustConfirm(order)
			c.mustFetch(history.Version{Edition: 2, Order: 2})
		})
	}
}

// Accepts and learns that arrive a second late, after others have gone on, change nothing.
func TestLateMessagesChangeNothing(t *testing.T) {
	t.Parallel()
	for name, late := range map[string]func(*core) *testmesh.Links{
		"accepts": func(c *core) *testmesh.Links { return &c.accepts },
		"learns":  func(c *core) *testmesh.Links { return &c.learns },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCore(t, 3, nil)
			c.put(0, testmesh.NewOrder(1, 0, 1))
			for n := 1; n < 3; n++ {
				late(c).Set(c.host(0), c.host(n), testmesh.LinkLate)
				late(c).SetDelay(c.host(0), c.host(n), 1200*time.Millisecond)
			}
			delayed := testmesh.NewOrder(2, 1, 2)
			c.send(0, delayed)
			outcome := testmesh.OutcomeUnclear
			c.until(func() bool { // the same again at another machine
				outcome = c.send(1, delayed).Outcome()
				return outcome != testmesh.OutcomeUnclear
			})
			must.Eq(t, testmesh.OutcomeConfirmed, outcome)
			rest := []*testmesh.Order{testmesh.NewOrder(3, 2, 3), testmesh.NewOrder(4, 3, 4)}
			c.put(1, rest[0])
			c.put(2, rest[1])
			time.Sleep(1300 * time.Millisecond)
			c.heal()
			c.mustFetch(history.Version{Edition: 4, Order: 4})
			c.mustConfirm(append(rest, delayed)...)
		})
	}
}

// Eight orders queue at a machine that is cut off, or whose disk stands still: each is answered within its caller's second,
// and none is refused.
func TestOrdersThatQueueAreAnsweredWithinASecond(t *testing.T) { // not beside others: it measures times
	c := startCoreInMemory(t)
	c.put(0, testmesh.NewOrder(1, 0, 1))
	var orders []*testmesh.Order
	for n := range 8 {
		orders = append(orders, testmesh.NewOrder(10+n, 1, int64(2+n%2)))
	}
	c.cutOff(0)
	longest := time.Duration(0)
	for range 2 { // and once more, while nothing of the first eight is left in the queue
		for _, answer := range c.raceAt(orders, func(int) int { return 0 }) {
			must.Eq(t, 503, answer.Status, must.Sprint(answer))
			must.Less(t, silence, answer.Took)
			longest = max(longest, answer.Took)
		}
		must.Zero(t, c.nodes[0].ChangesWaiting())
	}
	t.Logf("cut off: the last of eight is answered after %v", longest)
	c.heal()
	c.until(func() bool { return c.send(0, orders[0]).Outcome() != testmesh.OutcomeUnclear })

	c.nodes[0].disk.Stall()
	defer c.nodes[0].disk.Resume()
	newest, known := fetch(t.Context(), c.operator, 1)
	must.True(t, known)
	for n := range orders {
		orders[n] = testmesh.NewOrder(20+n, newest.Edition, newest.Edition+1)
	}
	confirmed := 0
	longest = 0
	for _, answer := range c.raceAt(orders, func(int) int { return 0 }) {
		must.SliceContains(t, []int{200, 412, 503}, answer.Status, must.Sprint(answer))
		must.Less(t, silence, answer.Took)
		longest = max(longest, answer.Took)
		if answer.Status == 200 {
			confirmed++
		}
	}
	must.LessEq(t, 1, confirmed)
	t.Logf("the disk stands still: %d confirmed, the last of eight is answered after %v", confirmed, longest)
}

// A repair of the core does not wait for orders that queue at its process, even where none of them can end.
func TestARepairOfTheCoreOvertakesOrders(t *testing.T) { // not beside others: it measures times
	c := startCoreInMemory(t)
	c.put(0, testmesh.NewOrder(1, 0, 1))
	c.cutOff(0)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		for n := range 8 {
			go c.send(0, testmesh.NewOrder(10+n, 1, 2))
		}
	}()
	<-answered
	c.until(func() bool { return c.nodes[0].ChangesWaiting() >= 6 })
	c.heal()
	ctx, end := context.WithTimeout(t.Context(), 2*time.Second)
	defer end()
	began := time.Now()
	must.NoError(t, c.nodes[0].ChangeMembership(ctx, func(*consensus.State) (*consensus.State, error) { return nil, nil }))
	t.Logf("beside eight orders a repair took %v", time.Since(began))
	must.Less(t, 500*time.Millisecond, time.Since(began))
}

// With one of three members silent, the two others promise against one another when orders race: whoever is refused must try
// again, and not wait for the silent one; and not so soon that neither gets through, however slow the disks are.
func TestRacingOrdersAreAnsweredWhileAMemberIsSilent(t *testing.T) { // not beside others: it measures times
	for _, sync := range []time.Duration{0, 30 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(sync.String(), func(t *testing.T) {
			c := startCoreInMemory(t)
			c.put(0, testmesh.NewOrder(1, 0, 1))
			c.cutOff(2)
			c.nodes[0].disk.Slow(sync)
			c.nodes[1].disk.Slow(sync)
			base, unclear := int64(1), 0
			for round := range 6 {
				var orders []*testmesh.Order
				for n := range 8 {
					orders = append(orders, testmesh.NewOrder(100*(round+1)+n, base, base+1))
				}
				for _, answer := range c.raceAt(orders, func(n int) int { return n % 2 }) {
					if answer.Outcome() == testmesh.OutcomeUnclear {
						unclear++
					}
				}
				c.until(func() bool {
					newest, known := fetch(t.Context(), c.operator, 0)
					base = newest.Edition
					return known
				})
			}
			t.Logf("%d of 48 orders had no clear answer at their first try, version %d is in force", unclear, base)
			must.LessEq(t, 5, unclear)
		})
	}
}

// A change that can't tell by the state whether it was made is not made twice where the answers to its accepts are lost.
func TestAGrantOfCreditIsMadeOnce(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]testmesh.LinkFault{"reset": testmesh.LinkReset, "lost": testmesh.LinkLostResponse, "late": testmesh.LinkLate} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := startCore(t, 3, nil)
			c.put(0, testmesh.NewOrder(1, 0, 1))
			caller := rpc.NewClient(nil)
			defer caller.Close()
			granted := 0.0
			for n := range 6 {
				c.accepts.Set(c.host(0), c.host(1), fault)
				c.accepts.Set(c.host(0), c.host(2), fault)
				heal := time.AfterFunc(time.Duration(n*60)*time.Millisecond, c.accepts.Heal)
				grant := &controller.Order{Tenant: "acme", Tokens: 100, Who: "operator", Why: "test"}
				err := caller.Call(t.Context(), c.nodes[0].settings.InternalAddress(), rpc.PathCreditOrder, grant, &burstcredit.AccountStatus{})
				heal.Stop()
				c.heal()
				c.mustFetch(history.Version{Edition: 1, Order: 1}) // whatever stood undecided is settled
				account, readErr := controller.Account(c.nodes[0].State().Credit, "acme")
				must.NoError(t, readErr)
				made := account.Balance - granted
				if err == nil {
					must.Eq(t, 100, made)
				} else {
					must.SliceContains(t, []float64{0, 100}, made, must.Sprint(err))
				}
				granted = account.Balance
			}
			must.Positive(t, granted)
		})
	}
}
