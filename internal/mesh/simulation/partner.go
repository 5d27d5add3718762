package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"ottershift/internal/mesh/federation"
)

// Partner is a day on which a partner narrows and widens what it exports, over and over, under load: balancers at which requests
// begin, others through which they leave, a core that agrees, one of its processes that takes the partner's word.
type Partner struct {
	Proxies, Controllers int
	Length               int64
	Delay                int64   // one way
	Rate                 float64 // requests a second, half of them with an effect
	Changes              int     // of the partner's table
	Cuts, Freezes, Kills int     // of balancers from the core; of balancers; of the taker
	CutFor               int64
	Busy                 float64 // part of the requests that wait at the door before they leave
	Turned               float64 // part that the partner turns away, not run
	Guard                string  // left out
}

type partnerFile struct {
	Proxies, Controllers, Changes, Cuts, Freezes, Kills int
	Length, Delay                                       span
	CutFor                                              span `toml:"cut_for"`
	Rate, Busy, Turned                                  float64
	Guard                                               string
}

func plainPartner() partnerFile {
	return partnerFile{Controllers: 3, Length: span(60 * S), Delay: span(Ms), Rate: 200, Changes: 10, CutFor: span(8 * S), Busy: 0.05, Turned: 0.05}
}

func (p partnerFile) partner() Partner {
	return Partner{Proxies: p.Proxies, Controllers: p.Controllers, Length: int64(p.Length), Delay: int64(p.Delay), Rate: p.Rate, Changes: p.Changes, Cuts: p.Cuts,
		Freezes: p.Freezes, Kills: p.Kills, CutFor: int64(p.CutFor), Busy: p.Busy, Turned: p.Turned, Guard: p.Guard}
}

// PartnerDay is what came of one.
type PartnerDay struct {
	Broken            []string
	Asked, Ran, Twice int // requests with an effect, those that ran, and ran more than once
	Kept              int // that ran after the narrowing that forbids them was reported done
	Reads, ReadsRan   int
	Refused           int // while the partner's table allowed it, for want of a leave
	Narrowings        int
	Took              []int64 // from the partner's word until it was told that it is done
	Bound             int64
}

type partnerProxy struct {
	up     bool
	cut    int64 // from the core, until then
	frozen int64
	door   *federation.ExportPolicy
	comb   int
}

type partnerController struct {
	up   bool
	book *federation.ImportRegistry
}

type partnerWorld struct {
	*World
	Partner
	day         PartnerDay
	net         *rand.Rand
	book        *federation.ImportRegistry // agreed
	controllers []*partnerController
	proxies     []*partnerProxy
	taker       *federation.NarrowingTracker
	duty        int
	from        int64 // since when the duty is this process's

	table  *federation.Table // the partner's, now
	kept   int64             // edition since which effects are forbidden without a break, 0 for not
	told   int64             // edition up to which narrowings were reported done
	saidAt map[int64]int64
	runs   map[int]int
}

var thePartner = []federation.Partner{{Name: "p", Gateway: "p:1"}}

// Play plays one day.
func (p Partner) Play(seed uint64) *PartnerDay {
	w := &partnerWorld{World: NewWorld(seed), Partner: p, book: federation.NewImportRegistry(), saidAt: map[int64]int64{}, runs: map[int]int{}}
	w.net = w.Chance("net")
	w.day.Bound = int64(float64(federation.AuthorizationTTL+federation.QuorumFreshness)*(1+federation.MaxClockDrift)) + federation.CheckInterval
	for range p.Controllers {
		w.controllers = append(w.controllers, &partnerController{up: true, book: w.book})
	}
	for n := range p.Proxies {
		b := &partnerProxy{up: true, door: federation.NewExportPolicy(nil), comb: n % p.Controllers}
		b.door.DisableGuard(p.Guard)
		w.proxies = append(w.proxies, b)
		w.asks(b)
	}
	w.word(true)
	w.hold(0)
	w.takes()
	w.trouble()
	w.load()
	w.Run(p.Length)
	w.judge()
	return &w.day
}

func (w *partnerWorld) link() int64 { return w.Delay + int64(w.net.Float64()*float64(w.Delay)) }

// word is the partner's next table, with effects let in or not.
func (w *partnerWorld) word(open bool) {
	edition := int64(1)
	if w.table != nil {
		edition = w.table.Edition + 1
	}
	methods := []string{"GET"}
	if open {
		methods = append(methods, "POST")
		w.kept = 0
	} else if w.kept == 0 {
		w.kept = edition
		w.day.Narrowings++
	}
	w.table = &federation.Table{Partner: "p", Edition: edition, Lease: federation.Duration(20 * S),
		Exports: []federation.Export{{Service: "scans", Host: "p.example", PathPrefix: "/scans/", Methods: methods}}}
	w.saidAt[edition] = w.Now
}

// hold gives the duty to a process of the core.
func (w *partnerWorld) hold(n int) {
	w.duty, w.from = n, w.Now
	w.taker = federation.NewNarrowingTracker()
	w.taker.DisableGuard(w.Guard)
}

// agree puts a changed book in force: whoever is up learns of it, one after the other.
func (w *partnerWorld) agree(change func(*federation.ImportRegistry)) {
	raw, err := w.book.Encode()
	next := w.book
	if err == nil {
		next, err = federation.DecodeImportRegistry(raw)
	}
	if err != nil {
		w.day.Broken = append(w.day.Broken, err.Error())
		return
	}
	change(next)
	w.book = next
	for _, c := range w.controllers {
		w.After(int64(w.net.Float64()*60)*Ms, func() {
			if c.up && c.book.Revision <= next.Revision {
				c.book = next
			}
		})
	}
}

// takes is the taker's loop: the partner's word, and what is done.
func (w *partnerWorld) takes() {
	w.After(federation.CheckInterval, w.takes)
	c := w.controllers[w.duty]
	if !c.up {
		return
	}
	word := w.table
	w.After(2*w.link(), func() {
		if !c.up {
			return
		}
		w.agree(func(b *federation.ImportRegistry) { b.ApplyTable(word, fmt.Sprint(word.Edition)) })
	})
	for partner, no := range w.taker.Due(w.book, w.Now) {
		w.agree(func(b *federation.ImportRegistry) { b.CompleteNarrowing(partner, no) })
	}
	if i := w.book.Partners["p"]; i != nil && i.AnnouncedEdition > w.told {
		edition := i.AnnouncedEdition
		w.After(w.link(), func() {
			for e := w.told + 1; e <= edition; e++ {
				if at, is := w.saidAt[e]; is && e == w.kept {
					w.day.Took = append(w.day.Took, w.Now-at)
				}
			}
			w.told = max(w.told, edition)
		})
	}
}

// asks is a balancer's loop at the core.
func (w *partnerWorld) asks(b *partnerProxy) {
	again := func() { w.After(int64(100+w.net.IntN(500))*Ms, func() { w.asks(b) }) }
	if w.Now < b.frozen {
		w.After(b.frozen-w.Now, func() { w.asks(b) })
		return
	}
	asked, c := w.Now, w.controllers[b.comb]
	if !b.up || w.Now < b.cut || !c.up {
		b.comb = (b.comb + 1) % len(w.controllers)
		again()
		return
	}
	w.After(w.link(), func() {
		if !c.up {
			again()
			return
		}
		book := c.book
		w.After(w.link(), func() {
			if b.up && w.Now >= b.frozen && w.Now >= b.cut {
				b.door.Update(book, thePartner, nil, len(w.proxies), w.Now)
				b.door.Authorize(book.Revision, asked)
			}
			again()
		})
	})
}

// load has requests begin at balancers and leave through others.
func (w *partnerWorld) load() {
	chance := w.Chance("load")
	id := 0
	var next func()
	next = func() {
		if w.Now > w.Length-8*S {
			return
		}
		id++
		w.begin(id, chance.IntN(2) == 0, chance)
		w.After(int64(chance.ExpFloat64()/w.Rate*1e9), next)
	}
	w.After(3*S, next)
}

func (w *partnerWorld) begin(id int, effect bool, chance *rand.Rand) {
	at := w.proxies[chance.IntN(len(w.proxies))]
	method := "GET"
	if effect {
		method = "POST"
		w.day.Asked++
	} else {
		w.day.Reads++
	}
	w.push(id, at, method, 0, chance)
}

// push is one try: decided where it begins, and again where it leaves.
func (w *partnerWorld) push(id int, at *partnerProxy, method string, try int, chance *rand.Rand) {
	if !at.up || w.Now < at.frozen {
		return
	}
	again := w.Guard == federation.RetryAfterNarrowing && try > 0
	if !again {
		if _, why := at.door.Decide(method, "p.example", "/scans/1", w.Now); why != federation.Open {
			if why == federation.Unconfirmed && (method == "GET" || w.kept == 0) {
				w.day.Refused++
			}
			return
		}
	}
	gate := w.proxies[chance.IntN(len(w.proxies))]
	wait := w.link()
	if chance.Float64() < w.Busy {
		wait += int64(chance.IntN(4000)) * Ms
	}
	var leave func()
	leave = func() {
		if w.Now < gate.frozen {
			w.After(gate.frozen-w.Now, leave) // it goes on where it stood
			return
		}
		if !gate.up {
			return
		}
		if !again && w.Guard != federation.SinglePolicyCheck {
			if _, why := gate.door.Admit("p", method, "p.example", "/scans/1", w.Now); why != federation.Open {
				return // turned away, with the proof that it has not run
			}
		}
		w.After(w.link(), func() {
			if chance.Float64() < w.Turned {
				w.After(int64(200+chance.IntN(1500))*Ms, func() {
					if try < 2 {
						w.push(id, at, method, try+1, chance)
					}
				})
				return
			}
			w.run(id, method)
		})
	}
	w.After(wait, leave)
}

// run is a request at the partner's service.
func (w *partnerWorld) run(id int, method string) {
	if method == "GET" {
		w.day.ReadsRan++
		return
	}
	w.day.Ran++
	if w.runs[id]++; w.runs[id] > 1 {
		w.day.Twice++
	}
	if w.kept > 0 && w.told >= w.kept {
		w.day.Kept++
	}
}

func (w *partnerWorld) trouble() {
	chance := w.Chance("trouble")
	when := func() int64 { return 4*S + int64(chance.Float64()*float64(w.Length-14*S)) }
	at := 4 * S
	for n := range w.Changes {
		at += int64(chance.Float64() * 2 * float64(w.Length-14*S) / float64(max(w.Changes, 1)))
		at = min(at, w.Length-10*S)
		w.After(at, func() { w.word(n%2 == 1) })
		if chance.IntN(4) == 0 { // narrowed, widened and narrowed within a second
			w.After(at+300*Ms, func() { w.word(true) })
			w.After(at+600*Ms, func() { w.word(false) })
		}
	}
	for range w.Cuts {
		b := w.proxies[chance.IntN(len(w.proxies))]
		w.After(when(), func() { b.cut = w.Now + w.CutFor })
	}
	for range w.Freezes {
		b, long := w.proxies[chance.IntN(len(w.proxies))], int64(1000+chance.IntN(6000))*Ms
		w.After(when(), func() { b.frozen = w.Now + long })
	}
	for range w.Kills {
		w.After(when(), func() {
			c := w.controllers[w.duty]
			if !c.up {
				return
			}
			c.up = false
			next := (w.duty + 1) % len(w.controllers)
			w.After(1500*Ms, func() { w.hold(next) })
			w.After(3*S, func() { c.up, c.book = true, w.book })
		})
	}
}

func (w *partnerWorld) judge() {
	if w.day.Kept > 0 {
		w.day.Broken = append(w.day.Broken, fmt.Sprintf("KEPT: %d effects ran after their narrowing was reported done", w.day.Kept))
	}
	if w.day.Twice > 0 {
		w.day.Broken = append(w.day.Broken, fmt.Sprintf("TWICE: %d effects ran again", w.day.Twice))
	}
	if w.day.Narrowings > 0 && w.kept > 0 && w.told < w.kept {
		w.day.Broken = append(w.day.Broken, "UNTOLD: the last narrowing was never reported done")
	}
}

func (d *PartnerDay) shown() map[string]float64 {
	worst, sum := int64(0), int64(0)
	for _, t := range d.Took {
		worst, sum = max(worst, t), sum+t
	}
	return map[string]float64{"effects": float64(d.Asked), "ran": float64(d.Ran), "kept": float64(d.Kept), "twice": float64(d.Twice),
		"reads": float64(d.Reads), "reads ran": float64(d.ReadsRan), "no leave": float64(d.Refused), "narrowings": float64(d.Narrowings),
		"mean done ms": float64(sum) / math.Max(1, float64(len(d.Took))) / 1e6, "most done ms": float64(worst) / 1e6, "most bound ms": float64(d.Bound) / 1e6}
}
