// Package outlier judges upstreams that fail in part. The balancer beside an upstream is the only way to it and so sees all
// that comes of it, from every caller: a Ward keeps that one upstream's evidence and says how ill it is, in few words that go
// round with the news. Whoever sends work holds an upstream against the others of its service (Shares). Neither does I/O or
// reads a clock.
//
// It is gossip, and bounded as such: a level ends by itself as its evidence grows old; it is held against the service's
// median, so that a service of which all fail alike (one that it calls may be the cause) is sent what it was; no more than
// Most of a service's slots are lessened; and as each balancer tells only of the upstream beside it, one that says what is
// not so changes nothing for the rest.
package outlier

import (
	"math"
	"slices"
)

const (
	ms = int64(1e6)

	// Half is the time after which evidence counts half.
	Half = 1500 * ms
	// Calm is how long a level stays at least, so that news of it stays rare.
	Calm = 400 * ms
	// Levels are from 0, well, to the last.
	Levels = 4
	// Most of a service's slots may be lessened at once.
	Most = 0.4

	least = 3.0 // outcomes that failed, below which nobody is ill
	back  = 0.6 // of a bound, under which an upstream gets better again
)

var (
	bounds = [Levels]float64{0, 0.15, 0.3, 0.5}   // of failed outcomes, from which on a level holds
	parts  = [Levels]float64{1, 0.5, 0.25, 0.125} // of its slots, that an upstream is sent work for; never nothing, or no evidence would come
)

// Ward is what is seen of one upstream.
type Detector struct {
	good, bad float64
	at, since int64
	level     int
}

// Saw takes an outcome and reports whether the level has changed.
func (w *Detector) Observe(failed bool, now int64) bool {
	w.age(now)
	if failed {
		w.bad++
	} else {
		w.good++
	}
	return w.refresh(now)
}

// Look lets time pass and reports whether the level has changed.
func (w *Detector) Refresh(now int64) bool {
	w.age(now)
	return w.refresh(now)
}

// Level is how ill the upstream is.
func (w *Detector) Level() int { return w.level }

func (w *Detector) age(now int64) {
	if now > w.at {
		f := math.Exp2(-float64(now-w.at) / float64(Half))
		w.good, w.bad, w.at = w.good*f, w.bad*f, now
	}
}

func (w *Detector) refresh(now int64) bool {
	if w.since != 0 && now-w.since < Calm {
		return false
	}
	share, level := 0.0, 0
	if all := w.good + w.bad; all > 0 {
		share = w.bad / (all + 1)
	}
	for l := 1; l < Levels; l++ {
		if w.bad >= least && share >= bounds[l] || l <= w.level && w.bad >= least*back/2 && share >= bounds[l]*back {
			level = l
		}
	}
	if level == w.level {
		return false
	}
	w.level, w.since = level, now
	return true
}

// Shares are the parts of their slots that upstreams of one service are sent work for, by level and slots of each.
func Shares(levels []int, slots []float64) []float64 {
	out := make([]float64, len(levels))
	order := make([]int, len(levels))
	total := 0.0
	for n := range levels {
		out[n], order[n] = 1, n
		total += slots[n]
	}
	if len(levels) < 2 {
		return out
	}
	sorted := slices.Clone(levels)
	slices.Sort(sorted)
	usual := sorted[len(sorted)/2]
	slices.SortStableFunc(order, func(a, b int) int { return levels[b] - levels[a] })
	left := Most * total
	for _, n := range order {
		worse := min(max(levels[n], 0), Levels-1) - usual
		if worse <= 0 || slots[n] > left {
			break
		}
		left -= slots[n]
		out[n] = parts[worse]
	}
	return out
}
