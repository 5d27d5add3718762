package watch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"ottershift/internal/roster"
	"ottershift/logic"
)

const ms = int64(1e6)

func testConfig() *logic.Config {
	return &logic.Config{
		Seed: 7, Balancers: 4, MaxAttempts: 3, Hedging: true, Cancelling: true, ColdShare: 0.2, WarmUp: 1e10,
		OverloadFactor: 3, OverloadSpan: 1e9, MaxBackoff: 1e9,
		Tariffs: []*logic.Tariff{{Idempotency: logic.Idempotent, ContractTime: 500 * ms, HardStop: 2000 * ms, Earnings: 1}},
	}
}

type engine interface {
	roster.Engine
	Arrive(t *logic.Transaction, tariff, customer int, work, left int64, again bool, now int64)
	Outcome(t *logic.Transaction, n int, r logic.Result, took int64, final bool, now int64)
	PeerReport(peer int, raw []byte, now int64)
	Round(now int64, w logic.Writer)
}

// recorder is a caller that writes down all decisions.
type recorder struct {
	logic.Writer    // what is never asked of it would be a fault
	decisions       []string
	reports         [][]byte
	attempts        []openAttempt
	now, lastSentAt int64
	ids             map[*logic.Transaction]int

	checked, mismatched int // messages, against what is out
}

type openAttempt struct {
	transaction *logic.Transaction
	n, upstream int
	sent, due   int64
}

func (r *recorder) record(text string, values ...any) {
	r.decisions = append(r.decisions, fmt.Sprint(r.now, " ", fmt.Sprintf(text, values...)))
}
func (r *recorder) Send(t *logic.Transaction, i int, _ int64) {
	r.record("push %d to %d", r.ids[t], i)
	r.attempts = append(r.attempts, openAttempt{t, t.AttemptCount() - 1, i, r.now, r.now + 20*ms + int64(i)*40*ms})
	r.lastSentAt = r.now
}
func (r *recorder) Cancel(t *logic.Transaction, n int) { r.record("cancel %d.%d", r.ids[t], n) }
func (r *recorder) Defer(t *logic.Transaction, _ logic.Reason, _ int64) {
	r.record("defer %d", r.ids[t])
}
func (r *recorder) Forfeit(t *logic.Transaction, _ logic.Reason) { r.record("forfeit %d", r.ids[t]) }
func (r *recorder) SendReport(_ int, raw []byte)                 { r.reports = append(r.reports, raw) }
func (r *recorder) HasIdleConn(int) bool                         { return false }
func (r *recorder) Wake(int64)                                   {}

// runTraffic has a module decide on seeded traffic that is too much for its upstreams now and then.
func runTraffic(e engine, peerReport func(step int) []byte) *recorder {
	r := &recorder{now: 1e12, ids: map[*logic.Transaction]int{}}
	random := rand.New(rand.NewPCG(3, 4))
	for i := range 5 {
		e.List(e.Join(), logic.Upstream{ID: uint32(i), Kind: 1, Weight: 1 / float64(1+i)}, r.now)
	}
	for step := range 4000 {
		r.now += 5 * ms
		if random.IntN(20) < 1+step/1000 {
			t := &logic.Transaction{}
			r.ids[t] = len(r.ids)
			e.Arrive(t, 0, -1, 0, 2000*ms, false, r.now)
		}
		if step == 2000 {
			e.Drain(4)
		}
		if raw := peerReport(step); raw != nil {
			e.PeerReport(1+step%3, raw, r.now)
		}
		r.attempts = slices.DeleteFunc(r.attempts, func(p openAttempt) bool {
			if p.due <= r.now {
				e.Outcome(p.transaction, p.n, logic.Settled, r.now-p.sent, true, r.now)
			}
			return p.due <= r.now
		})
		e.Round(r.now, r)
		r.check()
	}
	return r
}

// check sees that peers are told where a push really went, once there was time to say so.
func (r *recorder) check() {
	if len(r.reports) == 0 || len(r.attempts) != 1 || r.now < r.lastSentAt+30*ms || r.attempts[0].due <= r.now+20*ms {
		return
	}
	raw := r.reports[len(r.reports)-1]
	if r.checked++; len(raw) != 2 || int(raw[1]&31) != r.attempts[0].upstream {
		r.mismatched++
	}
}

func noReports(int) []byte { return nil }

// newShadowEngine is a balancer that watches settings with peers, live weights, or neither.
func newShadowEngine(t *testing.T, peers, live bool) *Engine {
	after := testConfig()
	after.Peers, after.LiveWeights = peers, live
	e, err := New(testConfig(), after, 1e12)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// Whoever watches must not be able to tell from its answers that it does: all decisions are those of before.
func TestDecisionsFollowCurrentConfig(t *testing.T) {
	alone, err := logic.New(testConfig(), 1e12)
	if err != nil {
		t.Fatal(err)
	}
	both := newShadowEngine(t, true, true)
	crowd := func(step int) []byte {
		if step%10 == 0 {
			return []byte{200, byte(step), 1, 2, 3}
		}
		return nil
	}
	want, got := runTraffic(alone, crowd), runTraffic(both, crowd)
	if !slices.Equal(want.decisions, got.decisions) {
		t.Fatalf("%d decisions, %d before, and not the same", len(got.decisions), len(want.decisions))
	}
	c := both.Counts()
	if c.Compared == 0 || c.OtherUpstream == 0 || c.OtherUpstream > c.Compared {
		t.Errorf("%+v: weights of 1 to a fifth are one size now, and nothing would have gone elsewhere", c)
	}
	if len(got.reports) == 0 || len(want.reports) != 0 {
		t.Errorf("%d messages to peers that watch as well, %d before", len(got.reports), len(want.reports))
	}
	if got.checked < 50 || got.mismatched*20 > got.checked {
		t.Errorf("%d of %d messages say something else than where pushes are", got.mismatched, got.checked)
	}
	if len(both.pairs) > 50 {
		t.Errorf("%d transactions are kept after their end", len(both.pairs))
	}
	if c = both.Counts(); c != (Counts{}) {
		t.Errorf("%+v counted twice", c)
	}
}

// The same settings decide the same; a count would be a fault of the watch. A crowd of peers has the other hold work back.
func TestDifferencesAreClassified(t *testing.T) {
	same := newShadowEngine(t, false, false)
	runTraffic(same, noReports)
	c := same.Counts()
	if c.Compared < 100 {
		t.Fatalf("%+v: hardly anything was compared", c)
	}
	if c.Compared = 0; c != (Counts{}) {
		t.Errorf("%+v", c)
	}
	crowd := []byte{250}
	for x := range 256 { // any check: one of eight fits
		if x&31 < 5 {
			crowd = append(crowd, byte(x), byte(x), byte(x), byte(x), byte(x))
		}
	}
	crowded := newShadowEngine(t, true, false)
	runTraffic(crowded, func(int) []byte { return crowd })
	if c := crowded.Counts(); c.Later == 0 {
		t.Errorf("%+v: no transaction would have waited for room", c)
	}
}
