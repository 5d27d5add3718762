// Package outlier detects upstreams that fail part of their requests. The proxy beside an upstream is the only way to
// it, so it sees the outcomes of all callers. Its Detector keeps the evidence about that upstream and reduces it to a
// level, which is gossiped. Callers compare the levels of a service's upstreams and derive the share of its capacity
// that each is sent (CapacityShares). The package does no I/O and reads no clock.
//
// Callers can't verify the levels, so the effect of a level is bounded. A level decays as its evidence ages. It counts
// relative to the median of the service: a service whose upstreams all fail alike, for instance because of a common
// dependency, keeps its shares. At most MaxReducedFraction of a service's slots is reduced. A proxy reports only the
// upstream beside it, so a false report affects no other upstream.
package outlier

import (
	"math"
	"slices"
)

const (
	millisecond = int64(1e6)

	// EvidenceHalfLife is the half-life of evidence, in nanoseconds.
	EvidenceHalfLife = 1500 * millisecond
	// MinLevelDuration is the shortest time between two level changes, in nanoseconds. It limits the gossip traffic.
	MinLevelDuration = 400 * millisecond
	// LevelCount is the number of levels. Level 0 is healthy, LevelCount-1 is the most severe.
	LevelCount = 4
	// MaxReducedFraction is the largest fraction of a service's slots that may be reduced at once.
	MaxReducedFraction = 0.4

	minFailures    = 3.0 // decayed count of failures below which an upstream stays at level 0
	recoveryFactor = 0.6 // fraction of a threshold below which a level is left; the hysteresis prevents flapping
)

var (
	// failureThresholds are the failure ratios at which the levels begin.
	failureThresholds = [LevelCount]float64{0, 0.15, 0.3, 0.5}
	// shareByLevel is the share of its slots that an upstream keeps, by level above the median. It is never zero:
	// without requests there would be no evidence of recovery.
	shareByLevel = [LevelCount]float64{1, 0.5, 0.25, 0.125}
)

// Detector holds the evidence about one upstream.
type Detector struct {
	successes, failures   float64
	updatedAt, levelSince int64
	level                 int
}

// Observe records an outcome and reports whether the level has changed.
func (d *Detector) Observe(failed bool, now int64) bool {
	d.decay(now)
	if failed {
		d.failures++
	} else {
		d.successes++
	}
	return d.updateLevel(now)
}

// Refresh decays the evidence up to now and reports whether the level has changed.
func (d *Detector) Refresh(now int64) bool {
	d.decay(now)
	return d.updateLevel(now)
}

// Level returns the current level, from 0 to LevelCount-1.
func (d *Detector) Level() int { return d.level }

func (d *Detector) decay(now int64) {
	if now > d.updatedAt {
		factor := math.Exp2(-float64(now-d.updatedAt) / float64(EvidenceHalfLife))
		d.successes, d.failures, d.updatedAt = d.successes*factor, d.failures*factor, now
	}
}

func (d *Detector) updateLevel(now int64) bool {
	if d.levelSince != 0 && now-d.levelSince < MinLevelDuration {
		return false
	}
	failureRatio, level := 0.0, 0
	if total := d.successes + d.failures; total > 0 {
		failureRatio = d.failures / (total + 1)
	}
	for candidate := 1; candidate < LevelCount; candidate++ {
		if d.failures >= minFailures && failureRatio >= failureThresholds[candidate] ||
			candidate <= d.level && d.failures >= minFailures*recoveryFactor/2 &&
				failureRatio >= failureThresholds[candidate]*recoveryFactor {
			level = candidate
		}
	}
	if level == d.level {
		return false
	}
	d.level, d.levelSince = level, now
	return true
}

// CapacityShares returns, for each upstream of one service, the share of its slots that it is sent work for. Upstreams
// above the median level are reduced, the most severe first, until MaxReducedFraction of all slots is reached.
func CapacityShares(levels []int, slots []float64) []float64 {
	shares := make([]float64, len(levels))
	bySeverity := make([]int, len(levels))
	totalSlots := 0.0
	for i := range levels {
		shares[i], bySeverity[i] = 1, i
		totalSlots += slots[i]
	}
	if len(levels) < 2 {
		return shares
	}
	sorted := slices.Clone(levels)
	slices.Sort(sorted)
	median := sorted[len(sorted)/2]
	slices.SortStableFunc(bySeverity, func(a, b int) int { return levels[b] - levels[a] })
	reducibleSlots := MaxReducedFraction * totalSlots
	for _, i := range bySeverity {
		excess := min(max(levels[i], 0), LevelCount-1) - median
		if excess <= 0 || slots[i] > reducibleSlots {
			break
		}
		reducibleSlots -= slots[i]
		shares[i] = shareByLevel[excess]
	}
	return shares
}
