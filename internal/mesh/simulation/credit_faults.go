package simulation

import (
	"math"
)

func (w *creditWorld) trouble() {
	chance := w.Chance("trouble")
	when := func() int64 { return 3*S + int64(chance.Float64()*float64(w.Length*7/10)) }
	for range w.Kills {
		b := w.proxies[chance.IntN(len(w.proxies))]
		w.After(when(), func() {
			if b.up {
				b.up = false
				b.life++
				w.After(500*Ms, func() { w.start(b) })
			}
		})
	}
	for range w.Cuts {
		region := chance.IntN(w.Regions)
		w.After(when(), func() {
			w.cut[region] = w.Now + w.CutFor
			out := 0.0
			for _, b := range w.proxies {
				if b.region == region && b.up {
					free, reserved := b.crop.Held("t")
					out += free + reserved
				}
			}
			w.day.Stranded = math.Max(w.day.Stranded, out)
		})
	}
	for range w.CoreOf {
		w.After(when(), func() { w.off = w.Now + 3*S })
	}
}
