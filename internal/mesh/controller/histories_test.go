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
	historyDuration     = 4 * time.Second
	historyOperators    = 4
	maxOrderAttempts    = 4
	orderRetryPause     = 50 * time.Millisecond // multiplied by the number of attempts so far
	historyCheckTimeout = 20 * time.Second
)

// faultScenario injects faults into a cluster until end is closed.
type faultScenario func(c *cluster, random *rand.Rand, end <-chan struct{})

// injectRandomFaults injects random faults of links, single message types, disks and processes, one after the other.
func injectRandomFaults(c *cluster, random *rand.Rand, end <-chan struct{}) {
	linkFaults := []testmesh.LinkFault{testmesh.LinkDropsRequests, testmesh.LinkRefused, testmesh.LinkReset,
		testmesh.LinkDropsResponses, testmesh.LinkDeliversLate}
	for {
		at, other := random.IntN(3), random.IntN(3)
		fault, delay := linkFaults[random.IntN(len(linkFaults))], time.Duration(random.IntN(900))*time.Millisecond
		switch random.IntN(9) {
		case 0:
			c.isolate(at)
		case 1: // in one direction
			c.links.Set(c.host(at), c.host(other), fault)
			c.links.SetDelay(c.host(at), c.host(other), delay)
		case 2:
			c.accepts.Set(c.host(at), c.host(other), fault)
			c.accepts.SetDelay(c.host(at), c.host(other), delay)
		case 3:
			c.learns.Set(c.host(at), c.host(other), fault)
			c.learns.SetDelay(c.host(at), c.host(other), delay)
		case 4, 5: // responses to operators are lost, or requests are delayed
			c.links.Set(testmesh.OperatorHost, c.host(at), fault)
			c.links.SetDelay(testmesh.OperatorHost, c.host(at), delay)
		case 6:
			c.nodes[at].disk.SetDelay(time.Duration(random.IntN(200)) * time.Millisecond)
		case 7:
			c.stop(at)
		case 8:
			c.stopAll()
		}
		ended := sleep(time.Duration(200+random.IntN(600))*time.Millisecond, end)
		c.heal()
		for n := range 3 {
			c.nodes[n].disk.SetDelay(0)
			if c.nodes[n].stop == nil {
				c.start(n)
			}
		}
		if ended || sleep(time.Duration(random.IntN(300))*time.Millisecond, end) {
			return
		}
	}
}

// sleep waits for a duration and reports whether end was closed before.
func sleep(duration time.Duration, end <-chan struct{}) bool {
	select {
	case <-time.After(duration):
		return false
	case <-end:
		return true
	}
}

// historyRun records a history of operations on a cluster.
type historyRun struct {
	*cluster
	history history.History
	orders  atomic.Int64
	newest  atomic.Int64 // highest version seen by any operator
}

func (h *historyRun) observeVersion(edition int64) {
	for {
		known := h.newest.Load()
		if edition <= known || h.newest.CompareAndSwap(known, edition) {
			return
		}
	}
}

// runOperator simulates one operator: it sends updates on top of the version last seen, each until its outcome is clear
// or the attempts are used up, repeats earlier updates byte for byte, and reads.
func (h *historyRun) runOperator(operator int, random *rand.Rand, end <-chan struct{}) {
	var sent []*testmesh.Update
	for !sleep(time.Duration(random.IntN(60))*time.Millisecond, end) {
		at := random.IntN(3)
		switch {
		case random.IntN(3) == 0:
			h.read(operator, at)
		case len(sent) > 0 && random.IntN(3) == 0:
			order := sent[random.IntN(len(sent))]
			h.history.AddOutcome(order, h.operator.Send(context.Background(), at, order).Outcome())
		default:
			base := h.newest.Load()
			order := testmesh.NewUpdate(int(h.orders.Add(1)), base, base+1+int64(random.IntN(2)))
			if h.sendUntilClear(operator, at, order) == testmesh.OutcomeUnknown {
				continue // a further attempt could reveal the outcome after the history has recorded it as unknown
			}
			sent = append(sent, order)
		}
	}
}

func (h *historyRun) read(operator, at int) {
	asked := time.Now()
	if version, known := fetch(context.Background(), h.operator, at); known {
		h.history.AddRead(operator, version, asked, time.Now())
		h.observeVersion(version.Version)
	}
}

func (h *historyRun) sendUntilClear(operator, at int, order *testmesh.Update) testmesh.Outcome {
	first, outcome := time.Now(), testmesh.OutcomeUnknown
	for attempt := 0; attempt < maxOrderAttempts && outcome == testmesh.OutcomeUnknown; attempt++ {
		time.Sleep(time.Duration(attempt) * orderRetryPause)
		outcome = h.operator.Send(context.Background(), (at+attempt)%3, order).Outcome()
	}
	h.history.AddUpdate(operator, order, outcome, first, time.Now())
	if outcome == testmesh.OutcomeConfirmed {
		h.observeVersion(order.Version)
	}
	return outcome
}

// runHistory records one history and checks it.
func runHistory(t *testing.T, seed uint64, injectFaults faultScenario, variant func(*controller.Controller)) (history.Result, string) {
	run := &historyRun{cluster: startCluster(t, 3, variant)}
	run.mustPut(0, testmesh.NewUpdate(0, 0, 1))
	run.history.AddUpdate(historyOperators, testmesh.NewUpdate(0, 0, 1), testmesh.OutcomeConfirmed, time.Now(), time.Now())
	run.observeVersion(1)
	end := make(chan struct{})
	var all sync.WaitGroup
	all.Go(func() { injectFaults(run.cluster, rand.New(rand.NewPCG(seed, 0)), end) })
	for operator := range historyOperators {
		all.Go(func() { run.runOperator(operator, rand.New(rand.NewPCG(seed, uint64(operator+1))), end) })
	}
	time.Sleep(historyDuration)
	close(end)
	all.Wait()
	for at := range 3 { // final reads at each controller
		run.eventually(func() bool {
			_, reads := run.history.Counts()
			run.read(historyOperators, at)
			_, after := run.history.Counts()
			return after > reads
		})
	}
	orders, reads := run.history.Counts()
	return run.history.Check(historyCheckTimeout), fmt.Sprintf("seed %d: orders %v, %d reads", seed, orders, reads)
}

// historyCount returns the number of histories to run: OTTERSHIFT_HISTORIES or 3.
func historyCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("OTTERSHIFT_HISTORIES"), 10, 64); err == nil {
		return n
	}
	return 3
}

// The seed determines the faults but not their exact timing, so a seed does not reproduce a run exactly.
func TestHistoriesAreLinearizable(t *testing.T) {
	t.Parallel()
	for seed := range historyCount() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			verdict, counts := runHistory(t, seed, injectRandomFaults, nil)
			t.Log(counts)
			must.Eq(t, "", verdict.Violation)
			must.False(t, verdict.Unknown)
		})
	}
}

// The history test proves something only if it fails for variants without a guard.
func TestHistoriesRevealMissingGuards(t *testing.T) {
	t.Parallel()
	for name, variant := range map[string]func(*controller.Controller){
		"few applied changes recorded":   func(c *controller.Controller) { c.LimitAppliedChanges(2) },
		"base compared with local state": (*controller.Controller).CompareWithLocalState,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				verdict, counts := runHistory(t, seed, injectRandomFaults, variant)
				t.Log(counts, verdict.Violation)
				if verdict.Violation != "" {
					return
				}
			}
			t.Error("no history revealed the missing guard")
		})
	}
}
