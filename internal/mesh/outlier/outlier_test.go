package outlier

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// scenario simulates one service. All upstreams fail baselineRatio of their requests, except that upstream 0 fails
// outlierRatio between onset and recovery. Times are in nanoseconds.
type scenario struct {
	upstreams                                      int
	requestsPerSecond, baselineRatio, outlierRatio float64
	onset, recovery, duration                      int64
	disabledGuard                                  string // "decay", "median" or none
}

// run returns how long after the onset upstream 0 was reduced, how long after its recovery it had its full share again
// (-1 for never), and the total time for which other upstreams were reduced.
func (sc scenario) run(seed uint64) (detectedAfter, restoredAfter int64, falselyReduced int64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	detectors := make([]Detector, sc.upstreams)
	levels, slots := make([]int, sc.upstreams), make([]float64, sc.upstreams)
	shares := make([]float64, sc.upstreams)
	for i := range slots {
		slots[i], shares[i] = 6, 1
	}
	const step = 10 * millisecond
	detectedAfter, restoredAfter = -1, -1
	for now := int64(millisecond); now < sc.duration; now += step {
		for i := range detectors {
			if rng.Float64() < sc.requestsPerSecond*float64(step)/1e9*shares[i] {
				failureRatio := sc.baselineRatio
				if i == 0 && now >= sc.onset && now < sc.recovery {
					failureRatio = sc.outlierRatio
				}
				detectors[i].Observe(rng.Float64() < failureRatio, now)
			}
			if sc.disabledGuard != "decay" {
				detectors[i].Refresh(now)
			}
			levels[i] = detectors[i].Level()
		}
		shares = CapacityShares(levels, slots)
		if sc.disabledGuard == "median" {
			for i, level := range levels {
				shares[i] = shareByLevel[level]
			}
		}
		switch {
		case shares[0] < 1 && detectedAfter < 0 && now >= sc.onset:
			detectedAfter = now - sc.onset
		case shares[0] == 1 && detectedAfter >= 0 && restoredAfter < 0 && now >= sc.recovery:
			restoredAfter = now - sc.recovery
		}
		for _, share := range shares[1:] {
			if share < 1 {
				falselyReduced += step
			}
		}
	}
	return detectedAfter, restoredAfter, falselyReduced
}

// The failing upstream is detected and gets its full share back after it recovers. Healthy upstreams keep their full
// share.
func TestFailingUpstreamIsDetectedAndOthersKeepFullShare(t *testing.T) {
	sc := scenario{upstreams: 9, requestsPerSecond: 15, baselineRatio: 0.01, outlierRatio: 0.45,
		onset: 2000 * millisecond, recovery: 8500 * millisecond, duration: 20000 * millisecond}
	var detectionSum, slowestDetection, slowestRestore, falselyReduced int64
	for seed := range uint64(400) {
		detectedAfter, restoredAfter, othersReduced := sc.run(seed)
		must.NotEq(t, -1, detectedAfter, must.Sprint("seed ", seed))
		must.NotEq(t, -1, restoredAfter, must.Sprint("seed ", seed))
		detectionSum, slowestDetection, slowestRestore, falselyReduced = detectionSum+detectedAfter,
			max(slowestDetection, detectedAfter), max(slowestRestore, restoredAfter), falselyReduced+othersReduced
	}
	t.Logf("detected after %d ms on average, %d ms at most; full share %d ms after recovery at most; others reduced for %.5f of the time",
		detectionSum/400/millisecond, slowestDetection/millisecond, slowestRestore/millisecond,
		float64(falselyReduced)/float64(8*400*sc.duration))
	must.Less(t, 900*millisecond, detectionSum/400)
	must.Less(t, 7000*millisecond, slowestRestore)
	must.Less(t, 0.001, float64(falselyReduced)/float64(8*400*sc.duration))
}

// Compares the detection time of one detector that sees the outcomes of all callers with the time until half of fifteen
// callers have detected the failure from their own outcomes alone.
func TestSharedDetectorIsFasterThanPerCallerDetectors(t *testing.T) {
	const callers, rate, failureRatio = 15, 15.0, 0.45
	var sharedTime, perCallerTime int64
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 9))
		sharedDetector, perCaller := &Detector{}, make([]Detector, callers)
		sharedDetectedAt, halfDetectedAt := int64(0), int64(0)
		for now := int64(millisecond); halfDetectedAt == 0 || sharedDetectedAt == 0; now += 10 * millisecond {
			if now > 60000*millisecond {
				halfDetectedAt = now // not detected within a minute
				break
			}
			detectedCount := 0
			for i := range perCaller {
				if rng.Float64() < rate/callers*0.01 {
					failed := rng.Float64() < failureRatio
					sharedDetector.Observe(failed, now)
					perCaller[i].Observe(failed, now)
				}
				if perCaller[i].Level() > 0 {
					detectedCount++
				}
			}
			if sharedDetectedAt == 0 && sharedDetector.Level() > 0 {
				sharedDetectedAt = now
			}
			if halfDetectedAt == 0 && 2*detectedCount > callers {
				halfDetectedAt = now
			}
		}
		sharedTime, perCallerTime = sharedTime+sharedDetectedAt/300, perCallerTime+halfDetectedAt/300
	}
	t.Logf("detected after %d ms by the shared detector, after %d ms by half of the callers",
		sharedTime/millisecond, perCallerTime/millisecond)
	must.Less(t, perCallerTime/3, sharedTime)
}

// When all upstreams fail alike, for instance because of a common dependency, they mostly keep their shares. Without
// the comparison with the median nearly all are reduced.
func TestUniformlyFailingServiceKeepsItsShares(t *testing.T) {
	sc := scenario{upstreams: 9, requestsPerSecond: 15, baselineRatio: 0.5, outlierRatio: 0.5,
		recovery: 10000 * millisecond, duration: 10000 * millisecond}
	reducedTime := func(disabledGuard string) (share float64) {
		sc.disabledGuard = disabledGuard
		for seed := range uint64(100) {
			_, _, othersReduced := sc.run(seed)
			share += float64(othersReduced) / float64(8*100*sc.duration)
		}
		return share
	}
	must.Less(t, 0.25, reducedTime(""))
	must.Greater(t, 0.8, reducedTime("median"))
}

// An upstream that gets no requests recovers by decay alone. Without Refresh its level stays.
func TestEvidenceDecaysWithoutRequests(t *testing.T) {
	detector := &Detector{}
	now := int64(millisecond)
	for range 6 {
		detector.Observe(true, now)
		now += 10 * millisecond
	}
	must.Eq(t, LevelCount-1, detector.Level())
	now += 20 * EvidenceHalfLife // no Refresh, so no decay
	must.Eq(t, LevelCount-1, detector.Level())
	must.True(t, detector.Refresh(now))
	must.Eq(t, 0, detector.Level())
}

func TestCapacitySharesAreBounded(t *testing.T) {
	slots := []float64{6, 6, 6, 6, 6}
	must.Eq(t, []float64{1, 1, 0.125, 1, 1}, CapacityShares([]int{0, 0, 3, 0, 0}, slots))     // one outlier, reported by its own proxy
	must.Eq(t, []float64{1, 1, 1, 1, 1}, CapacityShares([]int{2, 2, 2, 2, 2}, slots))         // all at the median
	must.Eq(t, []float64{1, 0.5, 1, 1, 1}, CapacityShares([]int{2, 3, 2, 2, 1}, slots))       // relative to the median
	must.Eq(t, []float64{0.125, 0.125, 1, 1, 1}, CapacityShares([]int{3, 3, 0, 0, 0}, slots)) // the most severe first, within the limit
	must.Eq(t, []float64{1, 1}, CapacityShares([]int{0, 3}, []float64{6, 6}))                 // one of two exceeds MaxReducedFraction
	must.Eq(t, []float64{1}, CapacityShares([]int{3}, []float64{6}))                          // a single upstream
	must.Eq(t, []float64{1, 1, 0.125}, CapacityShares([]int{0, 0, 99}, []float64{6, 6, 6}))   // an unknown level, from a later release
	must.Eq(t, []float64{1, 1, 1}, CapacityShares([]int{-9, 0, 0}, []float64{6, 6, 6}))       // a negative level
}
