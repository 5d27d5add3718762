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
	w.terms = map[string]burstcredit.Terms{"t": {EarnRatio: 0.5, MaxBalance: 10 * c.Credit, Retention: 30 * 86400 * S, ExtraRate: c.Extra}}
	w.book.DisableGuard(c.Guard)
	w.book.GrantTokens("t", c.Credit, "operator", "the day's credit")
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
	b.crop.DisableGuard(w.Guard)
	b.crop.SetTerms(w.terms, nil, w.Proxies, w.Now)
	var tell func()
	tell = func() {
		if !b.up || b.life != life {
			return
		}
		if !b.flying && b.crop.ShouldReport(w.Now) {
			w.report(b)
		}
		w.After(burstcredit.ReportInterval, tell)
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
	w.day.Bytes += 120 + 40*len(l.r.Demands) + 24*(len(l.r.Settled)+len(l.r.OpenEffects))
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
	w.book.Advance(w.Now-w.passed, w.terms)
	w.passed = w.Now
	reports := make([]*burstcredit.Report, len(w.inbox))
	for n, l := range w.inbox {
		reports[n] = l.r
		for _, m := range l.r.Settled {
			w.told[m.ID] = true
		}
	}
	// As the core keeps it: written and read again.
	raw, err := w.book.Encode()
	if err == nil {
		w.book, err = burstcredit.DecodeLedger(raw)
	}
	if err != nil {
		w.day.Broken = append(w.day.Broken, err.Error())
		return
	}
	w.book.DisableGuard(w.Guard)
	grants := w.book.ProcessReports(reports, w.terms)
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
		k := burstcredit.Claim{Tenant: "t", ID: burstcredit.RequestID(fmt.Sprint(client, id)), HasEffect: chance.Float64() < 0.3, FromClient: client}
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
		if ran && k.HasEffect {
			w.After(int64(20+chance.IntN(100))*Ms, func() { w.owe(k) }) // at its upstream, whatever becomes of its balancer
		}
		w.After(int64(130+chance.IntN(400))*Ms, func() {
			if !b.up || b.life != life {
				w.may[k.ID] = w.may[k.ID] || k.HasEffect
				return
			}
			end := burstcredit.NotDelivered
			switch {
			case ran && whole:
				end = burstcredit.Delivered
				w.owe(k)
				if !*served {
					*served = true
					if k.FromClient {
						w.day.Served++
					} else {
						w.day.InnerServed++
					}
				}
			case ran && k.HasEffect:
				end = burstcredit.Unknown
			}
			b.crop.Finish(k, end, w.Now)
		})
	}
	switch b.crop.Claim(k, w.Now, func(bool) {
		if b.up && b.life == life {
			run()
		}
	}) {
	case burstcredit.Reserved:
		run()
	case burstcredit.Queued:
		if !b.flying && b.crop.ShouldReport(w.Now) {
			w.report(b)
		}
		w.After(400*Ms, func() {
			if b.life == life {
				b.crop.Cancel(k)
			}
		})
	}
}
