package priority

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

func TestRanksTravelAndCompare(t *testing.T) {
	for _, r := range []Rank{{}, {1, 2}, Lowest, Of(-3, 1<<40)} {
		read, err := Parse(r.String())
		must.NoError(t, err)
		must.Eq(t, r, read)
	}
	for _, text := range []string{"", "1", "1.", ".2", "-1.2", "1.2.3", "1.99999999999", "a.b", "+1.2"} {
		_, err := Parse(text)
		must.Error(t, err, must.Sprint(text))
	}
	must.True(t, Of(0, 9).Before(Of(1, 0))) // the tenant's part comes first
	must.True(t, Of(1, 0).Before(Of(1, 1)))
	must.False(t, Of(1, 1).Before(Of(1, 1)))
}

// kind is a kind of request that comes at random.
type kind struct {
	rank         Rank
	perSecond    float64
	target       int64
	came, served int
}

const millisecond = int64(1e6)

// serveFor plays a minute of an upstream with slots that each work for a time, before which requests wait for a quarter of their
// target at most. inTime leaves ranks out, so that time alone orders the queue.
func serveFor(seed uint64, kinds []*kind, slots int, work int64, strict, inTime bool) {
	random := rand.New(rand.NewPCG(seed, 1))
	var q Queue[*kind]
	q.Shares.Strict = strict
	var busy []int64 // when each slot that is taken is free
	rankOf := func(k *kind) Rank {
		if inTime {
			return Rank{}
		}
		return k.rank
	}
	serve := func(k *kind, now int64) {
		k.served++
		q.Shares.Served(rankOf(k), now)
		busy = append(busy, now+work)
	}
	for now := int64(0); now < 60_000*millisecond; now += millisecond {
		busy = slices.DeleteFunc(busy, func(free int64) bool { return free <= now })
		q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiter[*kind]) bool { return now > w.Due-w.Request.target*3/4 })
		for len(busy) < slots && q.Len() > 0 {
			serve(q.Next(now).Request, now)
		}
		for _, k := range kinds {
			if random.Float64() >= k.perSecond/1000 {
				continue
			}
			k.came++
			q.Shares.Came(rankOf(k), now)
			if len(busy) < slots {
				serve(k, now)
			} else {
				q.Join(&Waiter[*kind]{rankOf(k), now + k.target, k}, 2*slots, now)
			}
		}
	}
}

func ratio(kinds ...*kind) float64 {
	came, served := 0, 0
	for _, k := range kinds {
		came += k.came
		served += k.served
	}
	return float64(served) / float64(came)
}

// An upstream that can serve 60 requests a second is asked for more: urgent ones with much time, which routes that are added
// often are, beside others that are due soon. Loads and shares differ; both ends hold in each.
func TestUrgentRequestsAreServedAndNoRankStarves(t *testing.T) {
	for seed := range uint64(10) {
		for _, load := range []struct{ urgent, usual, late float64 }{{3, 100, 0}, {30, 60, 30}, {80, 40, 10}, {200, 20, 20}, {55, 60, 5}} {
			play := func(strict, inTime bool) (urgent, usual, late *kind) {
				urgent = &kind{rank: Of(0, 0), perSecond: load.urgent, target: 1000 * millisecond}
				usual = &kind{rank: Of(0, 2), perSecond: load.usual, target: 300 * millisecond}
				late = &kind{rank: Of(1, 0), perSecond: load.late, target: 500 * millisecond}
				serveFor(seed, []*kind{urgent, usual, late}, 6, 100*millisecond, strict, inTime)
				return urgent, usual, late
			}
			urgent, usual, late := play(false, false)
			all := ratio(urgent, usual, late)
			t.Logf("seed %d %v: urgent %.2f usual %.2f late %.2f all %.2f", seed, load, ratio(urgent), ratio(usual), ratio(late), all)
			must.Greater(t, ratio(usual)-0.05, ratio(urgent), must.Sprint("inversion", load))
			must.Greater(t, all/4, ratio(usual), must.Sprint("starved", load))
			if late.came > 0 {
				must.Greater(t, ratio(late)-0.05, ratio(usual), must.Sprint("inversion", load))
				must.Greater(t, all/4, ratio(late), must.Sprint("starved", load))
			}
			if load.urgent > 100 {
				urgent, usual, late = play(true, false) // without the guard
				must.Less(t, ratio(urgent, usual, late)/4, ratio(usual), must.Sprint("strict order convicted", load))
			}
			if load.urgent == 3 {
				urgent, usual, _ = play(false, true) // without ranks
				must.Less(t, ratio(usual)-0.05, ratio(urgent), must.Sprint("order by time alone convicted", load))
			}
		}
	}
}

// What was counted long ago weighs nothing, and costs nothing.
func TestSharesForgetWhatIsLongOver(t *testing.T) {
	var s Shares
	for n := range 1000 {
		s.Came(Of(n, 0), 0)
	}
	for range 100 {
		s.Came(Of(7, 7), 0)
		s.Served(Of(0, 0), 0)
	}
	must.True(t, s.Owed(Of(7, 7), 0))
	must.False(t, s.Owed(Of(0, 1), 0)) // never came
	must.False(t, s.Owed(Of(7, 7), 60e9))
	must.MapLen(t, 0, s.counts)
	must.Eq(t, shareCount{}, s.all)
}
