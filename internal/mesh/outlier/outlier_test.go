package outlier

import (
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// season plays one service: so many upstreams at so many requests a second each, of which the first fails a part of what it
// is sent between two moments, and all fail a part throughout. shares may leave a guard out.
type season struct {
	upstreams        int
	rate, usual, ill float64
	from, to, length int64
	without          string // a guard left out
}

// play tells when the first was lessened and when it was whole again, and for how long others were lessened, together.
func (s season) play(seed uint64) (found, over int64, wrongly int64) {
	chance := rand.New(rand.NewPCG(seed, 7))
	wards := make([]Detector, s.upstreams)
	levels, slots := make([]int, s.upstreams), make([]float64, s.upstreams)
	shares := make([]float64, s.upstreams)
	for n := range slots {
		slots[n], shares[n] = 6, 1
	}
	const step = 10 * ms
	found, over = -1, -1
	for now := int64(ms); now < s.length; now += step {
		for n := range wards {
			if chance.Float64() < s.rate*float64(step)/1e9*shares[n] {
				share := s.usual
				if n == 0 && now >= s.from && now < s.to {
					share = s.ill
				}
				wards[n].Observe(chance.Float64() < share, now)
			}
			if s.without != "ends" {
				wards[n].Refresh(now)
			}
			levels[n] = wards[n].Level()
		}
		shares = Shares(levels, slots)
		if s.without == "peers" {
			for n, l := range levels {
				shares[n] = parts[l]
			}
		}
		switch {
		case shares[0] < 1 && found < 0 && now >= s.from:
			found = now - s.from
		case shares[0] == 1 && found >= 0 && over < 0 && now >= s.to:
			over = now - s.to
		}
		for _, part := range shares[1:] {
			if part < 1 {
				wrongly += step
			}
		}
	}
	return found, over, wrongly
}

// Four hundred seasons: the ill one is found, ends by itself, and the well ones are left alone.
func TestAnIllUpstreamIsFoundAndNoOther(t *testing.T) {
	s := season{upstreams: 9, rate: 15, usual: 0.01, ill: 0.45, from: 2000 * ms, to: 8500 * ms, length: 20000 * ms}
	var sum, worst, back, wrongly int64
	for seed := range uint64(400) {
		found, over, others := s.play(seed)
		must.NotEq(t, -1, found, must.Sprint("seed ", seed))
		must.NotEq(t, -1, over, must.Sprint("seed ", seed))
		sum, worst, back, wrongly = sum+found, max(worst, found), max(back, over), wrongly+others
	}
	t.Logf("found after %d ms in the mean, %d at most; whole again %d ms after its end at most; others lessened %.5f of the time",
		sum/400/ms, worst/ms, back/ms, float64(wrongly)/float64(8*400*s.length))
	must.Less(t, 900*ms, sum/400)
	must.Less(t, 7000*ms, back)
	must.Less(t, 0.001, float64(wrongly)/float64(8*400*s.length))
}

// What one balancer beside an upstream sees, against what each of fifteen that call it sees alone: the time until the ill one is
// known to half of them.
func TestWhoSeesAllFindsSooner(t *testing.T) {
	const callers, rate, ill = 15, 15.0, 0.45
	var shared, alone int64
	for seed := range uint64(300) {
		chance := rand.New(rand.NewPCG(seed, 9))
		whole, each := &Detector{}, make([]Detector, callers)
		knownAt, half := int64(0), int64(0)
		for now := int64(ms); half == 0 || knownAt == 0; now += 10 * ms {
			if now > 60000*ms {
				half = now // never, as good as
				break
			}
			known := 0
			for n := range each {
				if chance.Float64() < rate/callers*0.01 {
					failed := chance.Float64() < ill
					whole.Observe(failed, now)
					each[n].Observe(failed, now)
				}
				if each[n].Level() > 0 {
					known++
				}
			}
			if knownAt == 0 && whole.Level() > 0 {
				knownAt = now
			}
			if half == 0 && 2*known > callers {
				half = now
			}
		}
		shared, alone = shared+knownAt/300, alone+half/300
	}
	t.Logf("known after %d ms where all is seen in one place, %d ms at half of those that see for themselves", shared/ms, alone/ms)
	must.Less(t, alone/3, shared)
}

// A service that fails as a whole, since one that it calls does, is sent what it was: the variant that holds nobody against
// the others condemns all of it.
func TestAServiceThatFailsAlikeIsLeftAlone(t *testing.T) {
	s := season{upstreams: 9, rate: 15, usual: 0.5, ill: 0.5, to: 10000 * ms, length: 10000 * ms}
	lessened := func(without string) (share float64) {
		s.without = without
		for seed := range uint64(100) {
			_, _, others := s.play(seed)
			share += float64(others) / float64(8*100*s.length)
		}
		return share
	}
	must.Less(t, 0.25, lessened(""))
	must.Greater(t, 0.8, lessened("peers"))
}

// One that is asked nothing any more gets well by time alone; without that end it stays ill.
func TestEvidenceEnds(t *testing.T) {
	w := &Detector{}
	now := int64(ms)
	for range 6 {
		w.Observe(true, now)
		now += 10 * ms
	}
	must.Eq(t, Levels-1, w.Level())
	now += 20 * Half // nobody looks: the variant without an end
	must.Eq(t, Levels-1, w.Level())
	must.True(t, w.Refresh(now))
	must.Eq(t, 0, w.Level())
}

func TestSharesAreBounded(t *testing.T) {
	six := []float64{6, 6, 6, 6, 6}
	must.Eq(t, []float64{1, 1, 0.125, 1, 1}, Shares([]int{0, 0, 3, 0, 0}, six))     // one accused, or one that accuses itself
	must.Eq(t, []float64{1, 1, 1, 1, 1}, Shares([]int{2, 2, 2, 2, 2}, six))         // all alike
	must.Eq(t, []float64{1, 0.5, 1, 1, 1}, Shares([]int{2, 3, 2, 2, 1}, six))       // against the usual
	must.Eq(t, []float64{0.125, 0.125, 1, 1, 1}, Shares([]int{3, 3, 0, 0, 0}, six)) // the worst first, and no more than Most
	must.Eq(t, []float64{1, 1}, Shares([]int{0, 3}, []float64{6, 6}))               // one of two is more than that
	must.Eq(t, []float64{1}, Shares([]int{3}, []float64{6}))                        // nobody else
	must.Eq(t, []float64{1, 1, 0.125}, Shares([]int{0, 0, 99}, []float64{6, 6, 6})) // a level of a later version
	must.Eq(t, []float64{1, 1, 1}, Shares([]int{-9, 0, 0}, []float64{6, 6, 6}))     // and what is none
}
