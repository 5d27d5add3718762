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
	Arrive(t *logic.Transaction, tariff, customer int, work, left int64, resent bool, now int64)
	Outcome(t *logic.Transaction, n int, r logic.Result, took int64, final bool, now int64)
	PeerReport(peer int, raw []byte, now int64)
	Round(now int64, w logic.Writer)
}

// recorder is a logic.Writer that records all decisions.
type recorder struct {
	logic.Writer    // nil, so that calls of other methods panic
	decisions       []string
	reports         [][]byte
	openAttempts    []openAttempt
	now, lastSentAt int64
	ids             map[*logic.Transaction]int

	checked, mismatched int // load reports compared with the open attempts
}

// openAttempt is an attempt without a result.
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
	r.openAttempts = append(r.openAttempts, openAttempt{t, t.AttemptCount() - 1, i, r.now, r.now + 20*ms + int64(i)*40*ms})
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

// runTraffic feeds an engine with random traffic from a fixed seed that overloads its upstreams at times.
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
		r.openAttempts = slices.DeleteFunc(r.openAttempts, func(p openAttempt) bool {
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

// check compares the last load report with the open attempt, if there is exactly one that the report can cover.
func (r *recorder) check() {
	if len(r.reports) == 0 || len(r.openAttempts) != 1 || r.now < r.lastSentAt+30*ms || r.openAttempts[0].due <= r.now+20*ms {
		return
	}
	raw := r.reports[len(r.reports)-1]
	if r.checked++; len(raw) != 2 || int(raw[1]&31) != r.openAttempts[0].upstream {
		r.mismatched++
	}
}

func noReports(int) []byte { return nil }

// newShadowEngine returns an engine that evaluates settings with peers, live weights, both or neither.
func newShadowEngine(t *testing.T, peers, live bool) *Engine {
	shadow := testConfig()
	shadow.Peers, shadow.LiveWeights = peers, live
	e, err := New(testConfig(), shadow, 1e12)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// Shadow mode must not change any decision: all of them have to equal those of an engine without a shadow.
func TestDecisionsFollowCurrentConfig(t *testing.T) {
	balancer, err := logic.New(testConfig(), 1e12)
	if err != nil {
		t.Fatal(err)
	}
	shadowEngine := newShadowEngine(t, true, true)
	peerReport := func(step int) []byte {
		if step%10 == 0 {
			return []byte{200, byte(step), 1, 2, 3}
		}
		return nil
	}
	want, got := runTraffic(balancer, peerReport), runTraffic(shadowEngine, peerReport)
	if !slices.Equal(want.decisions, got.decisions) {
		t.Fatalf("decisions differ: %d in shadow mode, %d without", len(got.decisions), len(want.decisions))
	}
	counts := shadowEngine.Counts()
	if counts.Compared == 0 || counts.OtherUpstream == 0 || counts.OtherUpstream > counts.Compared {
		t.Errorf("%+v: want some first attempts at another upstream, since live weights replace configured ones of 1 to 1/5", counts)
	}
	if len(got.reports) == 0 || len(want.reports) != 0 {
		t.Errorf("%d load reports in shadow mode, %d without; want some and none", len(got.reports), len(want.reports))
	}
	if got.checked < 50 || got.mismatched*20 > got.checked {
		t.Errorf("%d of %d load reports name another upstream than that of the open attempt", got.mismatched, got.checked)
	}
	if len(shadowEngine.pairs) > 50 {
		t.Errorf("%d transactions are kept, want at most 50", len(shadowEngine.pairs))
	}
	if counts = shadowEngine.Counts(); counts != (Counts{}) {
		t.Errorf("%+v, want zero after a reset", counts)
	}
}

// The same settings give the same decisions, so that nothing is counted. Load reports of many attempts at the peers
// make the shadow queue transactions.
func TestDifferencesAreClassified(t *testing.T) {
	same := newShadowEngine(t, false, false)
	runTraffic(same, noReports)
	counts := same.Counts()
	if counts.Compared < 100 {
		t.Fatalf("%+v: want at least 100 comparisons", counts)
	}
	if counts.Compared = 0; counts != (Counts{}) {
		t.Errorf("%+v", counts)
	}
	report := []byte{250}
	for x := range 256 { // covers all checksums, of which one in eight matches
		if x&31 < 5 {
			report = append(report, byte(x), byte(x), byte(x), byte(x), byte(x))
		}
	}
	loaded := newShadowEngine(t, true, false)
	runTraffic(loaded, func(int) []byte { return report })
	if counts := loaded.Counts(); counts.Later == 0 {
		t.Errorf("%+v: want transactions queued by the shadow", counts)
	}
}
