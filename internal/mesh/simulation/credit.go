package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"

	"ottershift/internal/mesh/burstcredit"
)

// Credit is a day of burst credit: one tenant whose rush lands in regions at once, balancers that hold escrows, a book that the
// core keeps, links that lose words, and clients that ask again at other balancers.
type Credit struct {
	Regions, Proxies    int
	Length              int64
	Delay, Cross        int64 // one way, within a region and between two
	Loss                float64
	Credit, Extra       float64 // tokens at first, and spent a second at most
	Rate                float64 // requests a second beyond the tenant's rate, of clients
	Inner               float64 // and of calls of services
	Repeats             float64 // part of the requests that is asked again elsewhere, up to twice, at once
	Lost, Fails         float64 // parts of the tries whose answer is lost, and that never ran
	Kills, Cuts, CoreOf int     // of proxies; of regions from the core; times that all of the core is away
	CutFor              int64
	Guard               string // left out
}

type creditFile struct {
	Regions, Proxies, Kills, Cuts int
	CoreOff                       int `toml:"core_off"`
	Length, Delay, Cross          span
	CutFor                        span `toml:"cut_for"`
	Loss, Credit, Extra           float64
	Rate, Inner, Repeats          float64
	Lost, Fails                   float64
	Guard                         string
}

func plainCredit() creditFile {
	return creditFile{Regions: 2, Length: span(60 * S), Delay: span(Ms / 2), Cross: span(30 * Ms), Credit: 1000, Extra: 50, Rate: 60, Inner: 0,
		Repeats: 0.2, Lost: 0.05, Fails: 0.1, CutFor: span(10 * S)}
}

func (c creditFile) credit() Credit {
	return Credit{Regions: c.Regions, Proxies: c.Proxies, Length: int64(c.Length), Delay: int64(c.Delay), Cross: int64(c.Cross), Loss: c.Loss,
		Credit: c.Credit, Extra: c.Extra, Rate: c.Rate, Inner: c.Inner, Repeats: c.Repeats, Lost: c.Lost, Fails: c.Fails, Kills: c.Kills,
		Cuts: c.Cuts, CoreOf: c.CoreOff, CutFor: int64(c.CutFor), Guard: c.Guard}
}

// CreditDay is what came of one.
type CreditDay struct {
	Broken                  []string
	Asked, Served           int // requests of clients
	InnerAsked, InnerServed int
	Spent, Due              float64 // tokens that the book charged, and requests that were due a charge
	Unheard                 float64 // due a charge and never told: their balancer died first
	Window, Bound           float64 // the most that was spent in 5 s, and the formula
	Stranded, StrandedBound float64 // the most that was out at balancers that were cut off
	Gap                     float64
	Reports, Bytes          int
	Waited                  []int64 // until a token was had
}

type creditProxy struct {
	n, region int
	up        bool
	life      int
	crop      *burstcredit.Wallet
	flying    bool
}

type creditWorld struct {
	*World
	Credit
	day     CreditDay
	net     *rand.Rand
	book    *burstcredit.Ledger
	passed  int64
	proxies []*creditProxy
	cut     map[int]int64 // regions, until then
	off     int64         // the core, until then
	inbox   []letter
	terms   map[string]burstcredit.Terms
	due     map[uint64]bool // identities that were due a charge
	may     map[uint64]bool // and those of effects that were under way at a balancer that died: nobody knows
	owed    [2]float64      // of due, calls of services and clients' requests
	told    map[uint64]bool
	spends  []int64
}

type letter struct {
	proxy *creditProxy
	life  int
	r     *burstcredit.Report
	sent  int64
}

// Play plays one day.
func (c Credit) Play(seed uint64) *CreditDay {
	w := &creditWorld{World: NewWorld(seed), Credit: c, book: burstcredit.NewLedger(), cut: map[int]int64{}, due: map[uint64]bool{}, may: map[uint64]bool{}, told: map[uint64]bool{}}
	w.net = w.Chance("net")
	w.terms = map[string]burstcredit.Terms{"t": {Earn: 0.5, Cap: 10 * c.Credit, Keep: 30 * 86400 * S, Extra: c.Extra}}
	w.book.Without(c.Guard)
	w.book.Grant("t", c.Credit, "operator", "the day's credit")
	for n := range c.Proxies {
		b := &creditProxy{n: n, region: n % c.Regions}
		w.proxies = append(w.proxies, b)
		w.start(b)
	}
	w.core()
	w.trouble()
	w.ask(true, c.Rate)
	w.ask(false, c.Inner)
	w.Run(c.Length)
	w.judge()
	return &w.day
}

func (w *creditWorld) start(b *creditProxy) {
	b.up, b.flying = true, false
	b.life++
	life := b.life
	b.crop = burstcredit.NewWallet(fmt.Sprint("n", b.n), fmt.Sprint(life))
	b.crop.Without(w.Guard)
	b.crop.Set(w.terms, nil, w.Proxies, w.Now)
	var tell func()
	tell = func() {
		if !b.up || b.life != life {
			return
		}
		if !b.flying && b.crop.Wants(w.Now) {
			w.report(b)
		}
		w.After(burstcredit.Every, tell)
	}
	w.After(int64(w.net.IntN(250))*Ms, tell)
}

func (w *creditWorld) link(region int) int64 {
	d := w.Delay
	if region != 0 { // the core is in the first
		d = w.Cross
	}
	return d + int64(w.net.Float64()*float64(d))
}

// report sends a balancer's word; without an answer in a second it is sent again, as it was.
func (w *creditWorld) report(b *creditProxy) {
	b.flying = true
	l := letter{b, b.life, b.crop.Report(w.Now), w.Now}
	w.day.Reports++
	w.day.Bytes += 120 + 40*len(l.r.Asks) + 24*(len(l.r.Settled)+len(l.r.Open))
	w.After(S, func() {
		if b.life == l.life {
			b.flying = false
		}
	})
	if w.net.Float64() < w.Loss {
		return
	}
	w.After(w.link(b.region), func() {
		if w.Now >= w.cut[b.region] && w.Now >= w.off {
			w.inbox = append(w.inbox, l)
		}
	})
}

// core settles what has come in, in one change of the agreed book, and answers.
func (w *creditWorld) core() {
	w.After(100*Ms, w.core)
	if w.Now < w.off {
		w.inbox, w.passed = nil, w.Now // nobody keeps the book: its time stands still
		return
	}
	if len(w.inbox) == 0 && w.Now-w.passed < S {
		return
	}
	w.book.Pass(w.Now-w.passed, w.terms)
	w.passed = w.Now
	reports := make([]*burstcredit.Report, len(w.inbox))
	for n, l := range w.inbox {
		reports[n] = l.r
		for _, m := range l.r.Settled {
			w.told[m.ID] = true
		}
	}
	// As the core keeps it: written and read again.
	raw, err := w.book.Write()
	if err == nil {
		w.book, err = burstcredit.Read(raw)
	}
	if err != nil {
		w.day.Broken = append(w.day.Broken, err.Error())
		return
	}
	w.book.Without(w.Guard)
	grants := w.book.Take(reports, w.terms)
	if gap := math.Abs(w.book.Gap("t")); gap > w.day.Gap {
		w.day.Gap = gap
	}
	for n, l := range w.inbox {
		if w.net.Float64() < w.Loss {
			continue
		}
		w.After(w.link(l.proxy.region), func() {
			if l.proxy.up && l.proxy.life == l.life && w.Now >= w.cut[l.proxy.region] {
				l.proxy.flying = false
				l.proxy.crop.ApplyGrant(grants[n], l.sent, w.Now)
			}
		})
	}
	w.inbox = nil
}

// ask has requests come, each at a balancer drawn by chance, some of them again elsewhere at once.
func (w *creditWorld) ask(client bool, rate float64) {
	if rate <= 0 {
		return
	}
	chance := w.Chance(fmt.Sprint("requests", client))
	id := uint64(0)
	var next func()
	next = func() {
		if w.Now >= w.Length-5*S {
			return
		}
		id++
		k := burstcredit.Claim{Tenant: "t", ID: burstcredit.Identity(fmt.Sprint(client, id)), Effect: chance.Float64() < 0.3, Client: client}
		served := false
		if client {
			w.day.Asked++
		} else {
			w.day.InnerAsked++
		}
		tries := 1
		if chance.Float64() < w.Repeats {
			tries += 1 + chance.IntN(2)
		}
		for n := range tries {
			at := w.proxies[chance.IntN(len(w.proxies))]
			w.After(int64(n)*int64(chance.IntN(80))*Ms, func() { w.try(at, k, &served, chance) })
		}
		w.After(int64(chance.ExpFloat64()/rate*1e9), next)
	}
	w.After(2*S, next)
}

// try is one try of a request at one balancer: it waits for a token for 400 ms at most, works, and ends in one way or another.
func (w *creditWorld) try(b *creditProxy, k burstcredit.Claim, served *bool, chance *rand.Rand) {
	if !b.up {
		return
	}
	life, began := b.life, w.Now
	run := func() {
		w.day.Waited = append(w.day.Waited, w.Now-began)
		ran, whole := chance.Float64() >= w.Fails, chance.Float64() >= w.Lost
		if ran && k.Effect {
			w.After(int64(20+chance.IntN(100))*Ms, func() { w.owe(k) }) // at its upstream, whatever becomes of its balancer
		}
		w.After(int64(130+chance.IntN(400))*Ms, func() {
			if !b.up || b.life != life {
				w.may[k.ID] = w.may[k.ID] || k.Effect
				return
			}
			end := burstcredit.NeverRan
			switch {
			case ran && whole:
				end = burstcredit.Delivered
				w.owe(k)
				if !*served {
					*served = true
					if k.Client {
						w.day.Served++
					} else {
						w.day.InnerServed++
					}
				}
			case ran && k.Effect:
				end = burstcredit.Unknown
			}
			b.crop.Done(k, end, w.Now)
		})
	}
	switch b.crop.Claim(k, w.Now, func(bool) {
		if b.up && b.life == life {
			run()
		}
	}) {
	case burstcredit.Drawn:
		run()
	case burstcredit.Wait:
		if !b.flying && b.crop.Wants(w.Now) {
			w.report(b)
		}
		w.After(400*Ms, func() {
			if b.life == life {
				b.crop.Leave(k)
			}
		})
	}
}

// owe notes that a request is due a charge.
func (w *creditWorld) owe(k burstcredit.Claim) {
	if !w.due[k.ID] {
		w.due[k.ID] = true
		if k.Client {
			w.owed[1]++
		} else {
			w.owed[0]++
		}
		w.spends = append(w.spends, w.Now)
	}
}

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

// judge holds what the book charged against what clients had and upstreams ran.
func (w *creditWorld) judge() {
	for range 40 { // all is mended: what is left is told
		w.Run(w.Now + S/2)
	}
	stand := w.book.Status()[0]
	w.day.Spent, w.day.Due = stand.Spent, float64(len(w.due))
	for id := range w.due {
		if !w.told[id] {
			w.day.Unheard++
		}
	}
	held := 0.0
	for _, b := range w.proxies {
		free, reserved := b.crop.Held("t")
		held += free + reserved
	}
	fault := func(format string, args ...any) { w.day.Broken = append(w.day.Broken, fmt.Sprintf(format, args...)) }
	if w.day.Gap > 1e-6 {
		fault("GAP: an account is out by %.3f", w.day.Gap)
	}
	most := w.day.Due
	for id := range w.may {
		if !w.due[id] {
			most++
		}
	}
	if held > stand.Out+1e-6 {
		fault("ESCROW: balancers hold %.0f tokens, and the book knows of %.0f", held, stand.Out)
	}
	if w.day.Spent > most+1e-6 {
		fault("CHARGED: %.0f charges for %.0f requests that were due one, or may have been", w.day.Spent, most)
	}
	if w.day.Due > stand.Earned+stand.Granted+w.day.Unheard+1e-6 {
		fault("BEYOND: %.0f drawn of a credit of %.0f, %.0f of it never told", w.day.Due, stand.Earned+stand.Granted, w.day.Unheard)
	}
	// Tokens are out for Ahead and reserved for as long as a request takes; those of the dead are given out once more.
	spent, stranded, _ := w.terms["t"].Bounds(5 * S)
	w.day.Bound, w.day.StrandedBound = spent+w.Extra*float64(w.Kills), stranded
	for a, b := 0, 0; b < len(w.spends); b++ {
		for w.spends[b]-w.spends[a] > 5*S {
			a++
		}
		w.day.Window = math.Max(w.day.Window, float64(b-a+1))
	}
	// A rush that alone uses all that may be spent leaves next to nothing to calls of services.
	if w.Inner > 0 && w.Rate >= w.Extra && w.owed[1] < 0.95*(w.owed[0]+w.owed[1]) {
		fault("ORDER: %.0f of %.0f tokens went to calls of services while clients waited", w.owed[0], w.owed[0]+w.owed[1])
	}
}

func (d *CreditDay) shown() map[string]float64 {
	total, most := int64(0), int64(0)
	for _, t := range d.Waited {
		total, most = total+t, max(most, t)
	}
	return map[string]float64{"asked": float64(d.Asked), "served": float64(d.Served) / math.Max(1, float64(d.Asked)),
		"inner served": float64(d.InnerServed) / math.Max(1, float64(d.InnerAsked)), "charged": d.Spent, "due": d.Due, "unheard": d.Unheard,
		"most spent in 5 s": d.Window, "most allowed": d.Bound, "most stranded": d.Stranded, "most gap": d.Gap,
		"reports": float64(d.Reports), "KB": float64(d.Bytes) / 1000, "mean wait ms": float64(total) / float64(max(len(d.Waited), 1)) / 1e6, "most wait ms": float64(most) / 1e6}
}
