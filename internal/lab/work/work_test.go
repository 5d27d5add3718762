package work

import (
	"math"
	"math/rand/v2"
	"testing"
)

const ms = 1e6

// play sends jobs at random to a server and returns what it did, and the mean time in it.
func play(t *testing.T, s *Server, chance *rand.Rand, rate float64, jobs int, mean float64) (done int, took float64) {
	came := map[*Job]int64{}
	now, worked := int64(0), 0.0
	finish := func(at int64) {
		for _, j := range s.Advance(at) {
			if _, in := came[j]; !in {
				t.Fatal("done twice, or never sent")
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
			if most := float64(s.terms.Cores) * s.terms.Speed * float64(now); worked > most+mean*20 {
				t.Fatalf("%g of work done where %g could be", worked, most)
			}
		}
	}
	for at := s.Next(); at != math.MaxInt64; at = s.Next() {
		finish(at)
	}
	if len(came) != 0 || s.InHand() != 0 {
		t.Errorf("%d jobs were never done", len(came))
	}
	return done, took / float64(done)
}

// One core with exponential work at half of its strength keeps a job for twice its work: the textbook's M/M/1.
func TestQueueIsTheTextbooks(t *testing.T) {
	s := New(Terms{Cores: 1, Speed: 1, Queue: 1 << 20}, 0)
	done, took := play(t, s, rand.New(rand.NewPCG(1, 1)), 50, 200_000, 10*ms)
	if done != 200_000 || math.Abs(took/(20*ms)-1) > 0.05 {
		t.Errorf("%d done, mean %.2f ms", done, took/ms)
	}
}

// Cold, it does its share of the work, more with every step; a jam sets in and ends; cancelled work is not done.
func TestColdJamAndCancel(t *testing.T) {
	s := New(Terms{Cores: 2, Speed: 1, Queue: 100, ColdShare: 0.2, Ramp: 1000 * ms, JamAt: 10, JamSlow: 4, JamEnds: 1, Multiple: 3, Span: 100 * ms}, 0)
	s.Start(0)
	j := &Job{Work: 10 * ms}
	s.Arrive(j, 1)
	if next := s.Next(); next < 48*ms || next > 51*ms {
		t.Errorf("10 ms of work take %.1f ms cold", float64(next)/ms)
	}
	s.Advance(2000 * ms)
	var all []*Job
	for range 30 {
		j := &Job{Work: 10 * ms}
		all = append(all, j)
		s.Arrive(j, 2000*ms)
	}
	if next := s.Next() - 2000*ms; next < 39*ms || next > 41*ms {
		t.Errorf("10 ms of work take %.1f ms in a jam", float64(next)/ms)
	}
	for _, j := range all[:28] {
		s.Cancel(j)
	}
	if done := s.Advance(2200 * ms); len(done) != 2 || s.InHand() != 0 {
		t.Errorf("%d done", len(done))
	}
	s.Arrive(&Job{Work: 10 * ms}, 2200*ms)
	if next := s.Next() - 2200*ms; next > 11*ms {
		t.Errorf("10 ms of work take %.1f ms after the jam", float64(next)/ms)
	}
	s.Start(3000 * ms)
	for n := range 40 {
		s.Arrive(&Job{Work: 10 * ms}, 3000*ms+int64(n)*ms)
	}
	if s.Overfed < 3 {
		t.Errorf("sent %.1f times what it can do, and it was not noticed", s.Overfed)
	}
}

// The sizes have the mean that was asked for, whatever their kind.
func TestSizes(t *testing.T) {
	for _, z := range []Sizes{
		{Kind: "fixed", Mean: 10 * ms}, {Kind: "exponential", Mean: 10 * ms}, {Kind: "lognormal", Mean: 10 * ms, Sigma: 1},
		{Kind: "pareto", Mean: 10 * ms, Alpha: 1.5, Most: 50}, {Kind: "pareto", Mean: 10 * ms, Alpha: 1, Most: 20},
		{Kind: "values", Mean: 10 * ms, Values: []float64{5 * ms, 15 * ms}},
	} {
		chance, sum := rand.New(rand.NewPCG(2, 2)), 0.0
		const n = 200_000
		for range n {
			sum += z.Draw(chance)
		}
		if mean := sum / n / (10 * ms); math.Abs(mean-1) > 0.03 {
			t.Errorf("%s has %.3f of its mean", z.Kind, mean)
		}
	}
}
