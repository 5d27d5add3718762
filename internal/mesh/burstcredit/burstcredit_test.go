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

var terms = map[string]Terms{"t": {EarnRatio: 0.5, MaxBalance: 1000, Retention: 14 * day, ExtraRate: 20}}

// exchange sends one report and applies the response. It encodes and decodes the ledger in between, as the controllers
// do.
func exchange(t *testing.T, ledger *Ledger, wallet *Wallet, now int64) *Ledger {
	report := wallet.Report(now)
	raw, err := ledger.Encode()
	must.NoError(t, err)
	ledger, err = DecodeLedger(raw)
	must.NoError(t, err)
	wallet.ApplyGrant(ledger.ProcessReports([]*Report{report}, terms)[0], now, now)
	must.Less(t, 1e-6, math.Abs(ledger.Gap("t")))
	return ledger
}

// testWallet returns an empty wallet, one of two.
func testWallet(node, incarnation string) *Wallet {
	wallet := NewWallet(node, incarnation)
	wallet.SetTerms(terms, nil, 2, 0)
	return wallet
}

// newTestLedger returns a ledger with a balance of tenant t.
func newTestLedger(tokens float64) *Ledger {
	ledger := NewLedger()
	ledger.GrantTokens("t", tokens, "me", "test")
	ledger.Advance(2*second, terms) // grant budgets are full
	return ledger
}

// claim returns a client request of tenant t.
func claim(id uint64) Claim { return Claim{Tenant: "t", ID: id, FromClient: true} }

// claimAndReport claims a token, sends a report if the claim is queued, and returns whether a token was reserved.
func claimAndReport(t *testing.T, ledger *Ledger, wallet *Wallet, request Claim, now int64) (*Ledger, bool) {
	reserved := false
	switch wallet.Claim(request, now, func(bool) { reserved = true }) {
	case Reserved:
		return ledger, true
	case Queued:
		ledger = exchange(t, ledger, wallet, now)
	}
	return ledger, reserved
}

// A download that is requested at three proxies at once, fails at one and is delivered by two is charged once. Without
// deduplication it is charged twice.
func TestDownloadThroughThreeBalancersIsChargedOnce(t *testing.T) {
	for guard, want := range map[string]float64{"": 1, WithoutDeduplication: 2} {
		ledger := newTestLedger(50)
		ledger.DisableGuard(guard)
		wallets := []*Wallet{testWallet("a", "1"), testWallet("b", "1"), testWallet("c", "1")}
		for _, wallet := range wallets {
			wallet.DisableGuard(guard)
			var ok bool
			ledger, ok = claimAndReport(t, ledger, wallet, claim(7), 3*second)
			must.True(t, ok)
		}
		for i, outcome := range []Outcome{NotDelivered, Delivered, Delivered} {
			wallets[i].Finish(claim(7), outcome, 4*second)
		}
		ledger.DisableGuard(guard)
		for range 2 {
			for _, wallet := range wallets {
				report := wallet.Report(5 * second)
				ledger.DisableGuard(guard)
				wallet.ApplyGrant(ledger.ProcessReports([]*Report{report}, terms)[0], 5*second, 5*second)
			}
		}
		must.Eq(t, want, ledger.Accounts["t"].Spent, must.Sprint(guard))
		must.Less(t, 1e-6, math.Abs(ledger.Gap("t")))
	}
}

// A client's retry shares the reservation of the first attempt. An upload whose response is lost is charged once, one
// that provably did not run is not charged.
func TestUploadIsChargedOnce(t *testing.T) {
	ledger, wallet := newTestLedger(50), testWallet("a", "1")
	upload := claim(9)
	upload.HasEffect = true
	ledger, ok := claimAndReport(t, ledger, wallet, upload, 3*second)
	must.True(t, ok)
	must.Eq(t, Reserved, wallet.Claim(upload, 3*second, nil)) // retry while the first attempt is active
	wallet.Finish(upload, Unknown, 4*second)
	wallet.Finish(upload, Delivered, 4*second)
	must.Eq(t, Reserved, wallet.Claim(upload, 5*second, nil)) // retry after the first attempt ended
	wallet.Finish(upload, Delivered, 5*second)
	ledger = exchange(t, ledger, wallet, 6*second)
	must.Eq(t, 1, ledger.Accounts["t"].Spent)
	failed := claim(10)
	failed.HasEffect = true
	ledger, _ = claimAndReport(t, ledger, wallet, failed, 6*second)
	wallet.Finish(failed, NotDelivered, 7*second) // it did not run
	ledger = exchange(t, ledger, wallet, 7*second)
	must.Eq(t, 1, ledger.Accounts["t"].Spent)
}

// A proxy crashes with active requests. The first report of its next incarnation closes its wallet: the reported effect
// is charged, the request without effect is refunded.
func TestWalletOfLostBalancerIsClosedOnce(t *testing.T) {
	ledger, wallet := newTestLedger(50), testWallet("a", "1")
	effect, page := claim(1), claim(2)
	effect.HasEffect = true
	ledger, _ = claimAndReport(t, ledger, wallet, effect, 3*second)
	ledger, _ = claimAndReport(t, ledger, wallet, page, 3*second)
	ledger = exchange(t, ledger, wallet, 3*second+ReportInterval) // reports the open effect
	must.Positive(t, ledger.outstanding("t"))
	ledger = exchange(t, ledger, testWallet("a", "2"), 4*second)
	must.Eq(t, 1, ledger.Accounts["t"].Spent)
	must.Eq(t, 0, ledger.outstanding("t"))
	wallet.Finish(effect, Delivered, 5*second)
	ledger, _ = claimAndReport(t, ledger, testWallet("b", "1"), claim(3), 5*second)
	outstanding := ledger.outstanding("t")
	// A delayed report of the ended incarnation and a stale one of the present incarnation change nothing.
	must.Nil(t, ledger.ProcessReports([]*Report{wallet.Report(5 * second)}, terms)[0])
	must.Nil(t, ledger.ProcessReports([]*Report{{Node: "a", Incarnation: "2", Seq: 0}}, terms)[0])
	must.Eq(t, "2", ledger.Wallets["a"].Incarnation)
	must.Eq(t, outstanding, ledger.outstanding("t"))
	must.Eq(t, 49-outstanding, ledger.Accounts["t"].Balance())
}

// The escrow of a proxy that is unreachable for longer than EscrowTimeout is written off. When the proxy returns, its
// unspent tokens are refunded and its wallet is reset. Without the reset the same tokens are in the account and in the
// wallet.
func TestBalancerReturnsAfterEscrowTimeout(t *testing.T) {
	for _, guard := range []string{"", WithoutEscrowTimeout} {
		ledger, wallet := newTestLedger(50), testWallet("a", "1")
		wallet.DisableGuard(guard)
		for id := range uint64(6) {
			ledger, _ = claimAndReport(t, ledger, wallet, claim(id), 3*second)
		}
		free, reserved := wallet.Held("t")
		must.Eq(t, ledger.outstanding("t"), free+reserved)
		wallet.Finish(claim(0), Delivered, 4*second) // while unreachable
		ledger.Advance(EscrowTimeout+2*second, terms)
		must.Eq(t, 0, ledger.outstanding("t"))
		must.Eq(t, free+reserved, ledger.Accounts["t"].Spent)
		must.Less(t, 1e-6, math.Abs(ledger.Gap("t")))
		returnedAt := EscrowTimeout + 5*second
		if guard == "" {
			must.Eq(t, Queued, wallet.Claim(claim(99), returnedAt, func(bool) {})) // the escrow has ended by the local clock
			must.True(t, wallet.Cancel(claim(99)))
		}
		ledger.DisableGuard(guard)
		report := wallet.Report(returnedAt)
		wallet.ApplyGrant(ledger.ProcessReports([]*Report{report}, terms)[0], returnedAt, returnedAt)
		must.Eq(t, 1, ledger.Accounts["t"].Spent)
		for id := range uint64(5) {
			wallet.Finish(claim(id+1), NotDelivered, returnedAt)
		}
		free, reserved = wallet.Held("t")
		if guard == "" {
			must.Eq(t, ledger.outstanding("t"), free+reserved)
		} else {
			must.Greater(t, ledger.outstanding("t"), free+reserved)
		}
	}
}

// Half of the unused tokens are saved, up to MaxBalance, and expire after Retention. A lower MaxBalance removes no
// saved tokens.
func TestEarningCapAndExpiry(t *testing.T) {
	ledger := NewLedger()
	ledger.Earn(map[string]float64{"t": 300, "other": 9}, terms)
	must.Eq(t, 150, ledger.Accounts["t"].Balance())
	must.MapNotContainsKey(t, ledger.Accounts, "other")
	ledger.Advance(7*day, terms)
	ledger.Earn(map[string]float64{"t": 9999}, terms)
	must.Eq(t, 1000, ledger.Accounts["t"].Balance())
	ledger.Advance(8*day+second, terms) // the first lot has expired
	must.Eq(t, 850, ledger.Accounts["t"].Balance())
	must.Eq(t, 150, ledger.Accounts["t"].Expired)
	ledger.SetFrozen("t", true, "me", "a bill is open")
	ledger.Earn(map[string]float64{"t": 100}, terms)
	must.Eq(t, 850, ledger.Accounts["t"].Balance())
	wallet := testWallet("a", "1")
	ledger, ok := claimAndReport(t, ledger, wallet, claim(1), 16*day)
	must.False(t, ok)
	ledger.SetFrozen("t", false, "me", "paid")
	lowerCap := map[string]Terms{"t": {EarnRatio: 0.5, MaxBalance: 100, Retention: 14 * day, ExtraRate: 20}}
	ledger.Earn(map[string]float64{"t": 100}, lowerCap)
	must.Eq(t, 850, ledger.Accounts["t"].Balance())
	must.Eq(t, -850, ledger.GrantTokens("t", -2000, "me", "closed"))
	must.Less(t, 1e-6, math.Abs(ledger.Gap("t")))
	must.SliceLen(t, 4, ledger.Status()[0].History)
}

// Queued claims are served by origin, rank and arrival; without precedence by arrival alone.
func TestQueueOrderIsClientsThenRankThenArrival(t *testing.T) {
	for _, guard := range []string{"", WithoutPrecedence} {
		wallet := testWallet("a", "1")
		wallet.DisableGuard(guard)
		var order []uint64
		enqueue := func(id uint64, client bool, rank int) {
			request := Claim{Tenant: "t", ID: id, FromClient: client, Rank: rank}
			must.Eq(t, Queued, wallet.Claim(request, second, func(bool) { order = append(order, id) }))
		}
		enqueue(1, false, 0)
		enqueue(2, true, 3)
		enqueue(3, true, 1)
		enqueue(4, true, 1)
		wallet.ApplyGrant(&Grant{Seq: wallet.Report(second).Seq, Tokens: map[string]float64{"t": 40}}, second, second)
		if guard == "" {
			must.Eq(t, []uint64{3, 4, 2, 1}, order)
		} else {
			must.Eq(t, []uint64{1, 2, 3, 4}, order)
		}
	}
}

// The credit spent at a service stays within the proxy's share of the service's limit.
func TestCreditStaysWithinServiceLimit(t *testing.T) {
	wallet := testWallet("a", "1")
	wallet.SetTerms(terms, map[string]float64{"album": 8}, 2, 0)
	wallet.Report(second)
	wallet.ApplyGrant(&Grant{Seq: 1, Tokens: map[string]float64{"t": 500}}, second, second)
	reserved := 0
	for id := range uint64(1000) {
		request := claim(id)
		request.Service = "album"
		if wallet.Claim(request, second+int64(id)*10*second/1000, nil) == Reserved {
			reserved++
		}
	}
	must.Between(t, 40, reserved, 45) // 4 per second for 10 s, and the initial capacity of the bucket
}

// Random schedules of four proxies with lost and repeated messages, restarts and reloads of the ledger: after each step
// the account is balanced, and no more tokens are spent than were charged or lost with a proxy.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(scheduleCount(400)) {
		rng := rand.New(rand.NewPCG(seed, 3))
		ledger := newTestLedger(200)
		wallets := make([]*Wallet, 4)
		incarnations := make([]int, 4)
		held := make([]map[uint64]Claim, 4)
		restart := func(node int) {
			incarnations[node]++
			wallets[node], held[node] = testWallet(strconv.Itoa(node), strconv.Itoa(incarnations[node])), map[uint64]Claim{}
		}
		for node := range wallets {
			restart(node)
		}
		charged, lostTokens := map[uint64]bool{}, 0.0
		now := 3 * second
		for range 300 {
			now += int64(rng.IntN(200)) * second / 1000
			node := rng.IntN(4)
			wallet := wallets[node]
			switch rng.IntN(8) {
			case 0, 1, 2:
				request := claim(uint64(rng.IntN(300)))
				request.HasEffect = request.ID%3 == 0
				if held[node][request.ID] == (Claim{}) && wallet.Claim(request, now, nil) == Reserved {
					held[node][request.ID] = request
				}
			case 3, 4:
				for id, request := range held[node] {
					outcome := Outcome(rng.IntN(3))
					if wallet.Finish(request, outcome, now); outcome == Delivered || outcome == Unknown && request.HasEffect {
						charged[id] = true
					}
					delete(held[node], id)
					break
				}
			case 5, 6:
				report := wallet.Report(now)
				grant := ledger.ProcessReports([]*Report{report}, terms)[0]
				if rng.IntN(3) == 0 {
					grant = ledger.ProcessReports([]*Report{report}, terms)[0] // the report arrives twice
				}
				if rng.IntN(4) > 0 {
					wallet.ApplyGrant(grant, now, now)
				}
			case 7:
				if rng.IntN(6) == 0 {
					free, reserved := wallet.Held("t")
					lostTokens += free + reserved + 40 // and up to 40 that it had not reported
					restart(node)
				} else {
					raw, err := ledger.Encode()
					must.NoError(t, err)
					ledger, err = DecodeLedger(raw)
					must.NoError(t, err)
					ledger.Advance(second/10, terms)
				}
			}
			must.Less(t, 1e-6, math.Abs(ledger.Gap("t")), must.Sprint("seed ", seed))
			must.GreaterEq(t, -1e-9, ledger.Accounts["t"].Balance())
		}
		must.LessEq(t, float64(len(charged))+lostTokens, ledger.Accounts["t"].Spent, must.Sprint("seed ", seed))
	}
}

func FuzzDecodeLedger(f *testing.F) {
	ledger := newTestLedger(50)
	raw, _ := ledger.Encode()
	f.Add([]byte(raw))
	f.Add([]byte(`{"Accounts":{"t":null},"Tellers":{"a":null}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if ledger, err := DecodeLedger(json.RawMessage(raw)); err == nil {
			ledger.ProcessReports([]*Report{{Node: "a", Incarnation: "1", Seq: 1, Demands: map[string]Demand{"t": {WantedByClients: 3}},
				Settled: []ClaimID{{"t", 1}}}}, terms)
			ledger.Advance(second, terms)
		}
	})
}

// scheduleCount returns the number of random schedules to run, from OTTERSHIFT_SCHEDULES if that is set.
func scheduleCount(defaultCount int) int {
	if count, err := strconv.Atoi(os.Getenv("OTTERSHIFT_SCHEDULES")); err == nil {
		return count
	}
	return defaultCount
}
