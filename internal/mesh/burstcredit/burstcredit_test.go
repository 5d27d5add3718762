package burstcredit

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"
)

var terms = map[string]Terms{"t": {Earn: 0.5, Cap: 1000, Keep: 14 * day, Extra: 20}}

// talk is one report and its answer, as the core carries them: the book is written and read between.
func talk(t *testing.T, b *Ledger, c *Wallet, now int64) *Ledger {
	r := c.Report(now)
	raw, err := b.Write()
	must.NoError(t, err)
	b, err = Read(raw)
	must.NoError(t, err)
	c.ApplyGrant(b.Take([]*Report{r}, terms)[0], now, now)
	must.Less(t, 1e-6, math.Abs(b.Gap("t")))
	return b
}

func testWallet(node, life string) *Wallet {
	c := NewWallet(node, life)
	c.Set(terms, nil, 2, 0)
	return c
}

func opened(tokens float64) *Ledger {
	b := NewLedger()
	b.Grant("t", tokens, "me", "test")
	b.Pass(2*s, terms) // purses are full
	return b
}

func claim(id uint64) Claim { return Claim{Tenant: "t", ID: id, Client: true} }

// had claims a token and reports until it is had.
func had(t *testing.T, b *Ledger, c *Wallet, k Claim, now int64) (*Ledger, bool) {
	got := false
	switch c.Claim(k, now, func(bool) { got = true }) {
	case Drawn:
		return b, true
	case Wait:
		b = talk(t, b, c, now)
	}
	return b, got
}

// A download is asked for at three balancers at once, breaks off at one, and is delivered at two: one charge.
func TestADownloadThroughThreeBalancersIsDrawnOnce(t *testing.T) {
	for guard, want := range map[string]float64{"": 1, PerTry: 2} {
		b := opened(50)
		b.Without(guard)
		all := []*Wallet{testWallet("a", "1"), testWallet("b", "1"), testWallet("c", "1")}
		for _, c := range all {
			c.Without(guard)
			var ok bool
			b, ok = had(t, b, c, claim(7), 3*s)
			must.True(t, ok)
		}
		for n, end := range []Outcome{NeverRan, Delivered, Delivered} {
			all[n].Done(claim(7), end, 4*s)
		}
		b.Without(guard)
		for range 2 {
			for _, c := range all {
				r := c.Report(5 * s)
				b.Without(guard)
				c.ApplyGrant(b.Take([]*Report{r}, terms)[0], 5*s, 5*s)
			}
		}
		must.Eq(t, want, b.Accounts["t"].Spent, must.Sprint(guard))
		must.Less(t, 1e-6, math.Abs(b.Gap("t")))
	}
}

// A client's own repeat finds the reservation of its first try; an upload whose answer is lost is charged, and not again.
func TestAnUploadIsChargedOnce(t *testing.T) {
	b, c := opened(50), testWallet("a", "1")
	k := claim(9)
	k.Effect = true
	b, ok := had(t, b, c, k, 3*s)
	must.True(t, ok)
	must.Eq(t, Drawn, c.Claim(k, 3*s, nil)) // asked again while the first is under way
	c.Done(k, Unknown, 4*s)
	c.Done(k, Delivered, 4*s)
	must.Eq(t, Drawn, c.Claim(k, 5*s, nil)) // and after it
	c.Done(k, Delivered, 5*s)
	b = talk(t, b, c, 6*s)
	must.Eq(t, 1, b.Accounts["t"].Spent)
	never := claim(10)
	never.Effect = true
	b, _ = had(t, b, c, never, 6*s)
	c.Done(never, NeverRan, 7*s) // it provably has not run
	b = talk(t, b, c, 7*s)
	must.Eq(t, 1, b.Accounts["t"].Spent)
}

// A balancer is killed between reserve and answer: its next life closes what it held. The effect that it had told of is charged,
// the page is not.
func TestALostBalancerIsClosedOnce(t *testing.T) {
	b, c := opened(50), testWallet("a", "1")
	effect, page := claim(1), claim(2)
	effect.Effect = true
	b, _ = had(t, b, c, effect, 3*s)
	b, _ = had(t, b, c, page, 3*s)
	b = talk(t, b, c, 3*s+Every) // the open effect is told
	must.Positive(t, b.out("t"))
	b = talk(t, b, testWallet("a", "2"), 4*s)
	must.Eq(t, 1, b.Accounts["t"].Spent)
	must.Eq(t, 0, b.out("t"))
	c.Done(effect, Delivered, 5*s)
	b, _ = had(t, b, testWallet("b", "1"), claim(3), 5*s)
	out := b.out("t")
	must.Nil(t, b.Take([]*Report{c.Report(5 * s)}, terms)[0])                // a late word of the ended life closes nothing
	must.Nil(t, b.Take([]*Report{{Node: "a", Life: "2", Seq: 0}}, terms)[0]) // and one of the present life changes nothing
	must.Eq(t, "2", b.Wallets["a"].Life)
	must.Eq(t, out, b.out("t"))
	must.Eq(t, 49-out, b.Accounts["t"].Balance())
}

// A balancer cut off for longer than Strand: what it holds counts as spent, and once it is back, what it had not spent is in the
// account again and it holds nothing. Without that word both have it.
func TestAnEscrowWokenAfterItsEnd(t *testing.T) {
	for _, guard := range []string{"", NoEnd} {
		b, c := opened(50), testWallet("a", "1")
		c.Without(guard)
		for n := range uint64(6) {
			b, _ = had(t, b, c, claim(n), 3*s)
		}
		free, reserved := c.Held("t")
		must.Eq(t, b.out("t"), free+reserved)
		c.Done(claim(0), Delivered, 4*s) // in the cut
		b.Pass(Strand+2*s, terms)
		must.Eq(t, 0, b.out("t"))
		must.Eq(t, free+reserved, b.Accounts["t"].Spent)
		must.Less(t, 1e-6, math.Abs(b.Gap("t")))
		woken := Strand + 5*s
		if guard == "" {
			must.Eq(t, Wait, c.Claim(claim(99), woken, func(bool) {})) // its own clock says that the end has come
			must.True(t, c.Leave(claim(99)))
		}
		b.Without(guard)
		r := c.Report(woken)
		c.ApplyGrant(b.Take([]*Report{r}, terms)[0], woken, woken)
		must.Eq(t, 1, b.Accounts["t"].Spent)
		for n := range uint64(5) {
			c.Done(claim(n+1), NeverRan, woken)
		}
		free, reserved = c.Held("t")
		if guard == "" {
			must.Eq(t, b.out("t"), free+reserved)
		} else {
			must.Greater(t, b.out("t"), free+reserved)
		}
	}
}

// Saved in quiet weeks: half of what is left unused, up to the cap, for Keep; a cap that is lowered takes nothing away that is out.
func TestEarningCapAndExpiry(t *testing.T) {
	b := NewLedger()
	b.Earn(map[string]float64{"t": 300, "other": 9}, terms)
	must.Eq(t, 150, b.Accounts["t"].Balance())
	must.MapNotContainsKey(t, b.Accounts, "other")
	b.Pass(7*day, terms)
	b.Earn(map[string]float64{"t": 9999}, terms)
	must.Eq(t, 1000, b.Accounts["t"].Balance())
	b.Pass(8*day+s, terms) // the first week's is 15 days old
	must.Eq(t, 850, b.Accounts["t"].Balance())
	must.Eq(t, 150, b.Accounts["t"].Expired)
	b.Freeze("t", true, "me", "a bill is open")
	b.Earn(map[string]float64{"t": 100}, terms)
	must.Eq(t, 850, b.Accounts["t"].Balance())
	c := testWallet("a", "1")
	b, ok := had(t, b, c, claim(1), 16*day)
	must.False(t, ok)
	b.Freeze("t", false, "me", "paid")
	low := map[string]Terms{"t": {Earn: 0.5, Cap: 100, Keep: 14 * day, Extra: 20}}
	b.Earn(map[string]float64{"t": 100}, low)
	must.Eq(t, 850, b.Accounts["t"].Balance())
	must.Eq(t, -850, b.Grant("t", -2000, "me", "closed"))
	must.Less(t, 1e-6, math.Abs(b.Gap("t")))
	must.SliceLen(t, 4, b.Status()[0].History)
}

func TestClientsFirstThenRankThenWhoWaitedLongest(t *testing.T) {
	for _, guard := range []string{"", NoPrecedence} {
		c := testWallet("a", "1")
		c.Without(guard)
		var order []uint64
		put := func(id uint64, client bool, rank int) {
			k := Claim{Tenant: "t", ID: id, Client: client, Rank: rank}
			must.Eq(t, Wait, c.Claim(k, s, func(bool) { order = append(order, id) }))
		}
		put(1, false, 0)
		put(2, true, 3)
		put(3, true, 1)
		put(4, true, 1)
		c.ApplyGrant(&Grant{Seq: c.Report(s).Seq, Tokens: map[string]float64{"t": 40}}, s, s)
		if guard == "" {
			must.Eq(t, []uint64{3, 4, 2, 1}, order)
		} else {
			must.Eq(t, []uint64{1, 2, 3, 4}, order)
		}
	}
}

// A service's own bound on all credit: a balancer has its part of it.
func TestCreditNeverOverfeedsAService(t *testing.T) {
	c := testWallet("a", "1")
	c.Set(terms, map[string]float64{"album": 8}, 2, 0)
	c.Report(s)
	c.ApplyGrant(&Grant{Seq: 1, Tokens: map[string]float64{"t": 500}}, s, s)
	drawn := 0
	for n := range uint64(1000) {
		k := claim(n)
		k.Service = "album"
		if c.Claim(k, s+int64(n)*10*s/1000, nil) == Drawn {
			drawn++
		}
	}
	must.Between(t, 40, drawn, 45) // 4 a second for 10 s, and what lay there
}

// Many balancers, lost and repeated words, lives that end: the accounts add up after each step, nobody's token counts twice, and
// a book that is read from disk again goes on as it was.
func TestSchedules(t *testing.T) {
	for seed := range uint64(schedules(400)) {
		chance := rand.New(rand.NewPCG(seed, 3))
		b := opened(200)
		crops := make([]*Wallet, 4)
		lives := make([]int, 4)
		held := make([]map[uint64]Claim, 4)
		fresh := func(n int) {
			lives[n]++
			crops[n], held[n] = testWallet(strconv.Itoa(n), strconv.Itoa(lives[n])), map[uint64]Claim{}
		}
		for n := range crops {
			fresh(n)
		}
		charged, died := map[uint64]bool{}, 0.0
		now := 3 * s
		for range 300 {
			now += int64(chance.IntN(200)) * s / 1000
			n := chance.IntN(4)
			c := crops[n]
			switch chance.IntN(8) {
			case 0, 1, 2:
				k := claim(uint64(chance.IntN(300)))
				k.Effect = k.ID%3 == 0
				if held[n][k.ID] == (Claim{}) && c.Claim(k, now, nil) == Drawn {
					held[n][k.ID] = k
				}
			case 3, 4:
				for id, k := range held[n] {
					end := Outcome(chance.IntN(3))
					if c.Done(k, end, now); end == Delivered || end == Unknown && k.Effect {
						charged[id] = true
					}
					delete(held[n], id)
					break
				}
			case 5, 6:
				r := c.Report(now)
				g := b.Take([]*Report{r}, terms)[0]
				if chance.IntN(3) == 0 {
					g = b.Take([]*Report{r}, terms)[0] // heard twice
				}
				if chance.IntN(4) > 0 {
					c.ApplyGrant(g, now, now)
				}
			case 7:
				if chance.IntN(6) == 0 {
					free, reserved := c.Held("t")
					died += free + reserved + 40 // and what it had not told
					fresh(n)
				} else {
					raw, err := b.Write()
					must.NoError(t, err)
					b, err = Read(raw)
					must.NoError(t, err)
					b.Pass(s/10, terms)
				}
			}
			must.Less(t, 1e-6, math.Abs(b.Gap("t")), must.Sprint("seed ", seed))
			must.GreaterEq(t, -1e-9, b.Accounts["t"].Balance())
		}
		must.LessEq(t, float64(len(charged))+died, b.Accounts["t"].Spent, must.Sprint("seed ", seed))
	}
}

func FuzzRead(f *testing.F) {
	b := opened(50)
	raw, _ := b.Write()
	f.Add([]byte(raw))
	f.Add([]byte(`{"Accounts":{"t":null},"Tellers":{"a":null}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if b, err := Read(json.RawMessage(raw)); err == nil {
			b.Take([]*Report{{Node: "a", Life: "1", Seq: 1, Asks: map[string]Ask{"t": {Want: 3}}, Settled: []ClaimID{{"t", 1}}}}, terms)
			b.Pass(s, terms)
		}
	})
}

func schedules(normal int) int {
	if n, err := strconv.Atoi(os.Getenv("OTTERSHIFT_SCHEDULES")); err == nil {
		return n
	}
	return normal
}
