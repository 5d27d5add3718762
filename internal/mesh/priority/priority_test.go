package priority

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

func TestRankEncodingAndOrder(t *testing.T) {
	for _, r := range []Rank{{}, {1, 2}, LowestRank, NewRank(-3, 1<<40)} {
		parsed, err := Parse(r.String())
		must.NoError(t, err)
		must.Eq(t, r, parsed)
	}
	for _, text := range []string{"", "1", "1.", ".2", "-1.2", "1.2.3", "1.99999999999", "a.b", "+1.2"} {
		_, err := Parse(text)
		must.Error(t, err, must.Sprint(text))
	}
	must.True(t, NewRank(0, 9).Before(NewRank(1, 0))) // the tenant's part comes first
	must.True(t, NewRank(1, 0).Before(NewRank(1, 1)))
	must.False(t, NewRank(1, 1).Before(NewRank(1, 1)))
}

// workload is a kind of request that arrives at random.
type workload struct {
	rank            Rank
	perSecond       float64
	targetLatency   int64
	arrived, served int
}

const millisecond = int64(1e6)

// simulate runs one minute of an upstream whose slots each serve a request for serviceTime. Requests wait at most a
// quarter of their target latency. With ignoreRanks the queue is ordered by due time alone.
func simulate(seed uint64, workloads []*workload, slots int, serviceTime int64, strictOrder, ignoreRanks bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	var queue Queue[*workload]
	queue.Shares.StrictOrder = strictOrder
	var busy []int64 // times at which the occupied slots become free
	rankOf := func(load *workload) Rank {
		if ignoreRanks {
			return Rank{}
		}
		return load.rank
	}
	serve := func(load *workload, now int64) {
		load.served++
		queue.Shares.CountServed(rankOf(load), now)
		busy = append(busy, now+serviceTime)
	}
	for now := int64(0); now < 60_000*millisecond; now += millisecond {
		busy = slices.DeleteFunc(busy, func(free int64) bool { return free <= now })
		queue.waiting = slices.DeleteFunc(queue.waiting, func(w *Waiter[*workload]) bool { return now > w.Due-w.Request.targetLatency*3/4 })
		for len(busy) < slots && queue.Len() > 0 {
			serve(queue.Dequeue(now).Request, now)
		}
		for _, load := range workloads {
			if random.Float64() >= load.perSecond/1000 {
				continue
			}
			load.arrived++
			queue.Shares.CountArrival(rankOf(load), now)
			if len(busy) < slots {
				serve(load, now)
			} else {
				queue.Enqueue(&Waiter[*workload]{rankOf(load), now + load.targetLatency, load}, 2*slots, now)
			}
		}
	}
}

func servedRatio(workloads ...*workload) float64 {
	arrived, served := 0, 0
	for _, load := range workloads {
		arrived += load.arrived
		served += load.served
	}
	return float64(served) / float64(arrived)
}

// An upstream with a capacity of 60 requests per second is overloaded by urgent requests with a late due time, which
// are typical of newly added routes, and by others that are due soon. For each load, urgent requests must not be served
// less than others, and no rank may starve. The checks must fail without the minimum share and without ranks.
func TestUrgentRequestsAreServedWithoutStarvation(t *testing.T) {
	for seed := range uint64(10) {
		for _, load := range []struct{ urgent, normal, lowPriority float64 }{{3, 100, 0}, {30, 60, 30}, {80, 40, 10}, {200, 20, 20}, {55, 60, 5}} {
			run := func(strictOrder, ignoreRanks bool) (urgent, normal, lowPriority *workload) {
				urgent = &workload{rank: NewRank(0, 0), perSecond: load.urgent, targetLatency: 1000 * millisecond}
				normal = &workload{rank: NewRank(0, 2), perSecond: load.normal, targetLatency: 300 * millisecond}
				lowPriority = &workload{rank: NewRank(1, 0), perSecond: load.lowPriority, targetLatency: 500 * millisecond}
				simulate(seed, []*workload{urgent, normal, lowPriority}, 6, 100*millisecond, strictOrder, ignoreRanks)
				return urgent, normal, lowPriority
			}
			urgent, normal, lowPriority := run(false, false)
			overall := servedRatio(urgent, normal, lowPriority)
			t.Logf("seed %d %v: urgent %.2f normal %.2f low priority %.2f all %.2f", seed, load, servedRatio(urgent), servedRatio(normal), servedRatio(lowPriority), overall)
			must.Greater(t, servedRatio(normal)-0.05, servedRatio(urgent), must.Sprint("priority inversion", load))
			must.Greater(t, overall/4, servedRatio(normal), must.Sprint("starved", load))
			if lowPriority.arrived > 0 {
				must.Greater(t, servedRatio(lowPriority)-0.05, servedRatio(normal), must.Sprint("priority inversion", load))
				must.Greater(t, overall/4, servedRatio(lowPriority), must.Sprint("starved", load))
			}
			if load.urgent > 100 {
				urgent, normal, lowPriority = run(true, false) // without the minimum share
				must.Less(t, servedRatio(urgent, normal, lowPriority)/4, servedRatio(normal), must.Sprint("no starvation with strict order", load))
			}
			if load.urgent == 3 {
				urgent, normal, _ = run(false, true) // without ranks
				must.Less(t, servedRatio(normal)-0.05, servedRatio(urgent), must.Sprint("no inversion with order by due time alone", load))
			}
		}
	}
}

// Counts from long ago must neither influence decisions nor use memory.
func TestSharesForgetOldCounts(t *testing.T) {
	var shares Shares
	for n := range 1000 {
		shares.CountArrival(NewRank(n, 0), 0)
	}
	for range 100 {
		shares.CountArrival(NewRank(7, 7), 0)
		shares.CountServed(NewRank(0, 0), 0)
	}
	must.True(t, shares.Underserved(NewRank(7, 7), 0))
	must.False(t, shares.Underserved(NewRank(0, 1), 0)) // no arrivals
	must.False(t, shares.Underserved(NewRank(7, 7), 60e9))
	must.MapLen(t, 0, shares.counts)
	must.Eq(t, shareCount{}, shares.total)
}
