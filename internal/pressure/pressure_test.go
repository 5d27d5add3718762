package pressure

import (
	"math/rand/v2"
	"testing"
)

const ms = int64(1e6)

func TestGaugeForgets(t *testing.T) {
	var g Gauge
	g.Tell(300*ms, 0)
	g.Tell(1*ms, 10*ms)
	for at, want := range map[int64]int64{10: 270, 60: 135, 110: 67, 1000: 0} {
		if got := g.Own(at*ms) / ms; got < want-3 || got > want+3 {
			t.Errorf("%d ms after %d ms, should be about %d", got, at, want)
		}
	}
	if g.Tell(400*ms, 100*ms); g.Own(100*ms) != 400*ms {
		t.Errorf("%d", g.Own(100*ms))
	}
}

// One stop turns nobody away; lateness that lasts does, the cheapest first, and no longer than it lasts.
func TestValve(t *testing.T) {
	v := NewValve(10*ms, []float64{1, 10, 10})
	chance := rand.New(rand.NewPCG(1, 1))
	play := func(from, to, own int64) (turned [3]int, all int) {
		for now := from; now < to; now += ms / 2 {
			kind := chance.IntN(3)
			if all++; !v.Admit(kind, own, now, chance.Float64()) {
				turned[kind]++
			}
		}
		return turned, all
	}
	play(0, 1000*ms, ms)
	if turned, _ := play(1000*ms, 1060*ms, 300*ms); turned != [3]int{} {
		t.Errorf("%v turned away for one stop", turned)
	}
	play(1060*ms, 2000*ms, ms)
	turned, _ := play(2000*ms, 2180*ms, 50*ms) // shut by some 0.2: the cheap ones bear all of it
	if turned[0] == 0 || turned[1]+turned[2] > 0 {
		t.Errorf("%v", turned)
	}
	turned, all := play(2500*ms, 4000*ms, 50*ms)
	if part := float64(turned[0]+turned[1]+turned[2]) / float64(all); part < 0.8 || turned[1] == 0 {
		t.Errorf("%v of %d turned away while late", turned, all)
	}
	play(4000*ms, 7000*ms, ms)
	if turned, _ := play(7000*ms, 8000*ms, ms); turned != [3]int{} {
		t.Errorf("%v turned away after all is well", turned)
	}
}
