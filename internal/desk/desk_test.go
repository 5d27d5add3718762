package desk

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"ottershift/internal/figures"
	"ottershift/internal/roster"
	"ottershift/internal/terms"
	"ottershift/logic"
)

func newTestDispatcher(t *testing.T, tariffs ...*logic.Tariff) *Dispatcher {
	t.Helper()
	d, err := New(&terms.Settings{Zones: []string{"a"}, Engine: &logic.Config{
		Seed: 3, Balancers: 1, Tier: 1, Tariffs: tariffs, MaxAttempts: 3, Hedging: true, Cancelling: true,
		Probing: true, ColdShare: 0.2, WarmUp: int64(time.Second), OverloadFactor: 3, OverloadSpan: int64(time.Second),
	}}, &figures.Pool{}, slog.New(slog.DiscardHandler), NewBalancer)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.wake.Stop() })
	d.List([]roster.Entry[string]{
		{Name: "u", Zone: "a", Address: "u:1", Upstream: logic.Upstream{Weight: 1, ID: 1}},
		{Name: "v", Zone: "a", Address: "v:1", Upstream: logic.Upstream{Weight: 1, ID: 2}},
	}, true)
	return d
}

func testTariff(repeat logic.Idempotency) *logic.Tariff {
	return &logic.Tariff{
		Idempotency: repeat, ContractTime: int64(100 * time.Millisecond), HardStop: int64(200 * time.Millisecond),
		Earnings: 1, LateEarnings: 1,
	}
}

// FuzzDesk runs random transactions concurrently. Each must have one answer, and each attempt one result.
func FuzzDesk(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		d := newTestDispatcher(t, testTariff(logic.Idempotent), testTariff(logic.NonIdempotent))
		var wait sync.WaitGroup
		for n := range 200 {
			random := rand.New(rand.NewPCG(seed, uint64(n)))
			wait.Add(1)
			go func() {
				defer wait.Done()
				time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
				h := d.Arrive(Arrival{Tariff: n % 2, Customer: -1, Timeout: time.Duration(20+random.IntN(150)) * time.Millisecond})
				clientGone := time.After(time.Duration(random.IntN(400)) * time.Millisecond)
				for answers := 0; answers == 0; {
					select {
					case p := <-h.Attempts:
						took := time.Duration(random.IntN(60)) * time.Millisecond
						r := logic.Result(random.IntN(int(logic.Disconnected) + 1))
						wait.Add(1)
						go func() {
							defer wait.Done()
							select {
							case <-time.After(took):
							case <-p.Context.Done():
								if r = logic.Cancelled; p.Context.Err() == context.DeadlineExceeded {
									r = logic.TimedOut
								}
							}
							d.Outcome(h, p, r)
						}()
					case <-h.Answer:
						answers++
					case <-clientGone:
						d.ClientGone(h)
						if answers++; len(h.Answer) > 0 {
							<-h.Answer // it was given before
						}
					}
				}
				for len(h.Attempts) > 0 {
					d.Outcome(h, <-h.Attempts, logic.Unsent)
				}
				time.Sleep(250 * time.Millisecond)
				if len(h.Answer) > 0 || len(h.Attempts) > 0 {
					t.Error("a second answer, or an attempt after the answer")
				}
				d.mu.Lock()
				defer d.mu.Unlock()
				if !h.tx.Closed() {
					t.Error("the transaction is not closed")
				}
			}()
		}
		wait.Wait()
		counters, ended := d.TakeCounters(), 0
		for _, n := range d.metrics.EndingTotals() {
			ended += int(n)
		}
		if n := d.metrics.InFlight.Load(); n != 0 {
			t.Errorf("%d transactions counted as open", n)
		}
		if counters.Open != 0 || counters.Arrived != 200 || ended+counters.ClientsGone != 200 {
			t.Errorf("%+v", counters)
		}
	})
}

func TestNoAnswerAfterClientIsGone(t *testing.T) {
	d := newTestDispatcher(t, testTariff(logic.Idempotent))
	h := d.Arrive(Arrival{Tariff: 0, Customer: -1, Timeout: time.Second})
	p := <-h.Attempts
	d.ClientGone(h)
	d.Outcome(h, p, logic.Settled) // too late: the client has disconnected
	if len(h.Answer) != 0 {
		t.Error("an answer to a client that has disconnected")
	}
	if p.Context.Err() == nil {
		t.Error("the context of the attempt has not ended")
	}
}

func TestCloseForfeitsOpenAndNewTransactions(t *testing.T) {
	d := newTestDispatcher(t, testTariff(logic.NonIdempotent))
	h := d.Arrive(Arrival{Tariff: 0, Customer: -1, Timeout: time.Minute})
	p := <-h.Attempts
	if n := d.Close(); n != 1 || (<-h.Answer).Ending != Forfeited || p.Context.Err() == nil {
		t.Errorf("%d ended, attempt %v", n, p.Context.Err())
	}
	if a := <-d.Arrive(Arrival{Tariff: 0, Customer: -1, Timeout: time.Minute}).Answer; a.Ending != Forfeited {
		t.Errorf("%v", a)
	}
}

// Orders that nobody receives must not block other transactions.
func TestDispatchNeverBlocks(t *testing.T) {
	d := newTestDispatcher(t, testTariff(logic.NonIdempotent))
	d.attemptBuffer.Store(0)
	h := d.Arrive(Arrival{Tariff: 0, Customer: -1, Timeout: time.Second})
	if a := <-h.Answer; a.Ending != Deferred { // it was never sent
		t.Errorf("%v", a)
	}
	for range cap(d.probes) + 10 {
		writer{d}.Probe(0)
		writer{d}.Follow()
	}
}

// A panic of the engine must neither leave the lock held nor its transaction unanswered.
func TestEnginePanicIsRecovered(t *testing.T) {
	d := newTestDispatcher(t, testTariff(logic.NonIdempotent))
	// There is no tariff 7.
	if a := <-d.Arrive(Arrival{Tariff: 7, Customer: -1, Timeout: time.Second}).Answer; a.Ending != Forfeited {
		t.Errorf("%v", a)
	}
	h := d.Arrive(Arrival{Tariff: 0, Customer: -1, Timeout: time.Second})
	d.Outcome(h, <-h.Attempts, logic.Settled)
	if a := <-h.Answer; a.Ending != Settled {
		t.Errorf("%v", a)
	}
}
