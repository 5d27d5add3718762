package work

import (
	"math"
	"math/rand/v2"
	"testing"
)

const ms = 1e6

// simulate sends jobs to a server as a Poisson process, and returns the number of completed jobs and their mean
// sojourn time.
func simulate(t *testing.T, s *Server, chance *rand.Rand, rate float64, jobs int, mean float64) (done int, took float64) {
	came := map[*Job]int64{}
	now, worked := int64(0), 0.0
	finish := func(at int64) {
		for _, j := range s.Advance(at) {
			if _, in := came[j]; !in {
				t.Fatal("completed a job twice, or a job that was never sent")
			}
			took += float64(at - came[j])
			worked += j.Work
			done++
			delete(came, j)
		}
	}
	for range jobs {
		next := now + int64(chance.ExpFloat64()/rate*1e9)
		for at := s.Next(); at <= next; at = s.Next() {
			finish(at)
		}
		now = next
		finish(now)
		j := &Job{Work: mean * chance.ExpFloat64()}
		if s.Arrive(j, now) {
			came[j] = now
		}
		if chance.IntN(10) == 0 && len(came) > 0 {
			if most := float64(s.config.Cores) * s.config.Speed * float64(now); worked > most+mean*20 {
				t.Fatalf("%g of work done, above the capacity of %g", worked, most)
			}
		}
	}
	for at := s.Next(); at != math.MaxInt64; at = s.Next() {
		finish(at)
	}
	if len(came) != 0 || s.InFlight() != 0 {
		t.Errorf("%d jobs never completed", len(came))
	}
	return done, took / float64(done)
}

// One core with exponential work at 50% load must match M/M/1: the mean sojourn time is twice the mean work.
func TestQueueMatchesMM1(t *testing.T) {
	s := New(ServerConfig{Cores: 1, Speed: 1, Queue: 1 << 20}, 0)
	done, took := simulate(t, s, rand.New(rand.NewPCG(1, 1)), 50, 200_000, 10*ms)
	if done != 200_000 || math.Abs(took/(20*ms)-1) > 0.05 {
		t.Errorf("%d jobs completed, mean sojourn time %.2f ms", done, took/ms)
	}
}

// A cold server must run at its reduced speed, the overload slowdown must begin and end at its bounds, cancelled jobs
// must not complete, and overload of a cold server must be reported.
func TestColdStartOverloadAndCancel(t *testing.T) {
	s := New(ServerConfig{Cores: 2, Speed: 1, Queue: 100, ColdShare: 0.2, WarmUp: 1000 * ms, OverloadAt: 10, OverloadSlowdown: 4, OverloadEnds: 1, ColdOverloadFactor: 3, ColdOverloadSpan: 100 * ms}, 0)
	s.Start(0)
	j := &Job{Work: 10 * ms}
	s.Arrive(j, 1)
	if next := s.Next(); next < 48*ms || next > 51*ms {
		t.Errorf("10 ms of work take %.1f ms on a cold server", float64(next)/ms)
	}
	s.Advance(2000 * ms)
	var all []*Job
	for range 30 {
		j := &Job{Work: 10 * ms}
		all = append(all, j)
		s.Arrive(j, 2000*ms)
	}
	if next := s.Next() - 2000*ms; next < 39*ms || next > 41*ms {
		t.Errorf("10 ms of work take %.1f ms during the overload slowdown", float64(next)/ms)
	}
	for _, j := range all[:28] {
		s.Cancel(j)
	}
	if done := s.Advance(2200 * ms); len(done) != 2 || s.InFlight() != 0 {
		t.Errorf("%d jobs completed, want 2", len(done))
	}
	s.Arrive(&Job{Work: 10 * ms}, 2200*ms)
	if next := s.Next() - 2200*ms; next > 11*ms {
		t.Errorf("10 ms of work take %.1f ms after the overload slowdown", float64(next)/ms)
	}
	s.Start(3000 * ms)
	for n := range 40 {
		s.Arrive(&Job{Work: 10 * ms}, 3000*ms+int64(n)*ms)
	}
	if s.MaxColdOverload < 3 {
		t.Errorf("highest overload reported for a cold server is %.1f times its capacity, want at least 3", s.MaxColdOverload)
	}
}

// The samples of each kind of distribution must have the configured mean.
func TestDistributionMeans(t *testing.T) {
	for _, z := range []Distribution{
		{Kind: "fixed", Mean: 10 * ms}, {Kind: "exponential", Mean: 10 * ms}, {Kind: "lognormal", Mean: 10 * ms, Sigma: 1},
		{Kind: "pareto", Mean: 10 * ms, Alpha: 1.5, MaxMultiple: 50}, {Kind: "pareto", Mean: 10 * ms, Alpha: 1, MaxMultiple: 20},
		{Kind: "values", Mean: 10 * ms, Values: []float64{5 * ms, 15 * ms}},
	} {
		chance, sum := rand.New(rand.NewPCG(2, 2)), 0.0
		const n = 200_000
		for range n {
			sum += z.Draw(chance)
		}
		if mean := sum / n / (10 * ms); math.Abs(mean-1) > 0.03 {
			t.Errorf("%s: sample mean is %.3f of the configured mean", z.Kind, mean)
		}
	}
}
