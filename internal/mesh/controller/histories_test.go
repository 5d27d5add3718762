package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"ottershift/internal/mesh/controller"
	"ottershift/internal/mesh/testmesh"
	"ottershift/internal/mesh/testmesh/history"
)

const (
	historyLength     = 4 * time.Second
	historyOperators  = 4
	triesOfAnOrder    = 4
	pauseBetweenTries = 50 * time.Millisecond // times the number of tries so far
	historySearch     = 20 * time.Second
)

// trouble is how a history's faults come.
type trouble func(c *core, chance *rand.Rand, end <-chan struct{})

// anyTrouble has links, single messages, disks and processes fail by turns.
func anyTrouble(c *core, chance *rand.Rand, end <-chan struct{}) {
	linkFaults := []testmesh.LinkFault{testmesh.LinkSilent, testmesh.LinkRefused, testmesh.LinkReset, testmesh.LinkLostResponse, testmesh.LinkLate}
	for {
		at, other := chance.IntN(3), chance.IntN(3)
		fault, delay := linkFaults[chance.IntN(len(linkFaults))], time.Duration(chance.IntN(900))*time.Millisecond
		switch chance.IntN(9) {
		case 0:
			c.cutOff(at)
		case 1: // one way
			c.links.Set(c.host(at), c.host(other), fault)
			c.links.SetDelay(c.host(at), c.host(other), delay)
		case 2:
			c.accepts.Set(c.host(at), c.host(other), fault)
			c.accepts.SetDelay(c.host(at), c.host(other), delay)
		case 3:
			c.learns.Set(c.host(at), c.host(other), fault)
			c.learns.SetDelay(c.host(at), c.host(other), delay)
		case 4, 5: // answers to operators are lost, or orders late
			c.links.Set(testmesh.OperatorHost, c.host(at), fault)
			c.links.SetDelay(testmesh.OperatorHost, c.host(at), delay)
		case 6:
			c.nodes[at].disk.Slow(time.Duration(chance.IntN(200)) * time.Millisecond)
		case 7:
			c.stop(at)
		case 8:
			c.stopAll()
		}
		over := sleep(time.Duration(200+chance.IntN(600))*time.Millisecond, end)
		c.heal()
		for n := range 3 {
			c.nodes[n].disk.Slow(0)
			if c.nodes[n].stop == nil {
				c.start(n)
			}
		}
		if over || sleep(time.Duration(chance.IntN(300))*time.Millisecond, end) {
			return
		}
	}
}

// sleep reports whether the end has come.
func sleep(length time.Duration, end <-chan struct{}) bool {
	select {
	case <-time.After(length):
		return false
	case <-end:
		return true
	}
}

// day is a history in the making.
type day struct {
	*core
	history history.History
	orders  atomic.Int64
	newest  atomic.Int64 // edition that somebody has seen
}

func (d *day) see(edition int64) {
	for {
		known := d.newest.Load()
		if edition <= known || d.newest.CompareAndSwap(known, edition) {
			return
		}
	}
}

// operate is one operator: orders on top of what was last seen, each sent until its outcome is clear or patience ends;
// earlier orders byte for byte once more; and reads.
func (d *day) operate(operator int, chance *rand.Rand, end <-chan struct{}) {
	var sent []*testmesh.Order
	for !sleep(time.Duration(chance.IntN(60))*time.Millisecond, end) {
		at := chance.IntN(3)
		switch {
		case chance.IntN(3) == 0:
			d.read(operator, at)
		case len(sent) > 0 && chance.IntN(3) == 0:
			order := sent[chance.IntN(len(sent))]
			d.history.Answered(order, d.operator.Send(context.Background(), at, order).Outcome())
		default:
			base := d.newest.Load()
			order := testmesh.NewOrder(int(d.orders.Add(1)), base, base+1+int64(chance.IntN(2)))
			if d.sendUntilClear(operator, at, order) == testmesh.OutcomeUnclear {
				continue // a further try could tell its outcome after the history says that nobody knows
			}
			sent = append(sent, order)
		}
	}
}

func (d *day) read(operator, at int) {
	asked := time.Now()
	if version, known := fetch(context.Background(), d.operator, at); known {
		d.history.Read(operator, version, asked, time.Now())
		d.see(version.Edition)
	}
}

func (d *day) sendUntilClear(operator, at int, order *testmesh.Order) testmesh.Outcome {
	first, outcome := time.Now(), testmesh.OutcomeUnclear
	for try := 0; try < triesOfAnOrder && outcome == testmesh.OutcomeUnclear; try++ {
		time.Sleep(time.Duration(try) * pauseBetweenTries)
		outcome = d.operator.Send(context.Background(), (at+try)%3, order).Outcome()
	}
	d.history.Order(operator, order, outcome, first, time.Now())
	if outcome == testmesh.OutcomeConfirmed {
		d.see(order.Edition)
	}
	return outcome
}

// playDay plays one day and checks its history.
func playDay(t *testing.T, seed uint64, faults trouble, variant func(*controller.Controller)) (history.Verdict, string) {
	d := &day{core: startCore(t, 3, variant)}
	d.put(0, testmesh.NewOrder(0, 0, 1))
	d.history.Order(historyOperators, testmesh.NewOrder(0, 0, 1), testmesh.OutcomeConfirmed, time.Now(), time.Now())
	d.see(1)
	end := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { faults(d.core, rand.New(rand.NewPCG(seed, 0)), end) })
	for operator := range historyOperators {
		all.Go(func() { d.operate(operator, rand.New(rand.NewPCG(seed, uint64(operator+1))), end) })
	}
	time.Sleep(historyLength)
	close(end)
	all.Wait()
	for at := range 3 { // what is in force at the end, at each machine
		d.until(func() bool {
			_, reads := d.history.Counts()
			d.read(historyOperators, at)
			_, after := d.history.Counts()
			return after > reads
		})
	}
	orders, reads := d.history.Counts()
	return d.history.Check(historySearch), fmt.Sprintf("seed %d: orders %v, %d reads", seed, orders, reads)
}

// histories is how many histories are played: OTTERSHIFT_HISTORIES, or a few.
func histories() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("OTTERSHIFT_HISTORIES"), 10, 64); err == nil {
		return n
	}
	return 3
}

// The faults come by seed, but at real times: a seed names a kind of day, not one run.
func TestHistoriesAreThoseOfOneRegister(t *testing.T) {
	t.Parallel()
	for seed := range histories() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			verdict, counts := playDay(t, seed, anyTrouble, nil)
			t.Log(counts)
			must.Eq(t, "", verdict.Fault)
			must.False(t, verdict.Unknown)
		})
	}
}

// Without a guard histories must be seen to break, or they prove nothing.
func TestVariantsWithoutAGuardAreConvicted(t *testing.T) {
	t.Parallel()
	for name, variant := range map[string]func(*controller.Controller){
		"forgets applied changes":   func(c *controller.Controller) { c.ForgetApplied(2) },
		"compares with an old copy": (*controller.Controller).CompareWithOwnCopy,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				verdict, counts := playDay(t, seed, anyTrouble, variant)
				t.Log(counts, verdict.Fault)
				if verdict.Fault != "" {
					return
				}
			}
			t.Error("not convicted")
		})
	}
}
