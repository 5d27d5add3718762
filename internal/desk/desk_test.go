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

func start(t *testing.T, tariffs ...*logic.Tariff) *Desk {
	t.Helper()
	d, err := New(&terms.Book{Zones: []string{"a"}, Terms: &logic.Terms{
		Seed: 3, Balancers: 1, Layer: 1, Tariffs: tariffs, MaxPushes: 3, SecondCopies: true, Cancelling: true,
		Probing: true, ColdShare: 0.2, WarmUp: int64(time.Second), FallMultiple: 3, FallSpan: int64(time.Second),
	}}, &figures.Pool{}, slog.New(slog.DiscardHandler), Design)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { d.wake.Stop() })
	d.List([]roster.Entry[string]{
		{Name: "u", Zone: "a", Address: "u:1", Up: logic.Upstream{Weight: 1, Number: 1}},
		{Name: "v", Zone: "a", Address: "v:1", Up: logic.Upstream{Weight: 1, Number: 2}},
	}, true)
	return d
}

func tariff(repeat logic.Repeat) *logic.Tariff {
	return &logic.Tariff{
		Repeat: repeat, ContractTime: int64(100 * time.Millisecond), HardStop: int64(200 * time.Millisecond),
		Earnings: 1, LateEarnings: 1,
	}
}

// FuzzDesk: whatever comes in at once, each transaction has one answer and each push is given back once.
func FuzzDesk(f *testing.F) {
	for seed := range uint64(4) {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed uint64) {
		d := start(t, tariff(logic.Repeatable), tariff(logic.OnceOnly))
		var all sync.WaitGroup
		for n := range 200 {
			chance := rand.New(rand.NewPCG(seed, uint64(n)))
			all.Add(1)
			go func() {
				defer all.Done()
				time.Sleep(time.Duration(chance.IntN(100)) * time.Millisecond)
				c := d.Arrive(Arrival{Tariff: n % 2, Customer: -1, Left: time.Duration(20+chance.IntN(150)) * time.Millisecond})
				leaves := time.After(time.Duration(chance.IntN(400)) * time.Millisecond)
				for answers := 0; answers == 0; {
					select {
					case p := <-c.Pushes:
						took := time.Duration(chance.IntN(60)) * time.Millisecond
						r := logic.Result(chance.IntN(int(logic.Broken) + 1))
						all.Add(1)
						go func() {
							defer all.Done()
							select {
							case <-time.After(took):
							case <-p.Context.Done():
								if r = logic.Cancelled; p.Context.Err() == context.DeadlineExceeded {
									r = logic.TimedOut
								}
							}
							d.Outcome(c, p, r)
						}()
					case <-c.Answer:
						answers++
					case <-leaves:
						d.Vanish(c)
						if answers++; len(c.Answer) > 0 {
							<-c.Answer // it had come before
						}
					}
				}
				for len(c.Pushes) > 0 {
					d.Outcome(c, <-c.Pushes, logic.Unsent)
				}
				time.Sleep(250 * time.Millisecond)
				if len(c.Answer) > 0 || len(c.Pushes) > 0 {
					t.Error("a second answer, or a push after the answer")
				}
				d.mu.Lock()
				defer d.mu.Unlock()
				if !c.t.Closed() {
					t.Error("not closed")
				}
			}()
		}
		all.Wait()
		sum, ended := d.Tally(), 0
		for _, n := range d.counts.Ended() {
			ended += int(n)
		}
		if n := d.counts.Open.Load(); n != 0 {
			t.Errorf("%d counted as open", n)
		}
		if sum.Open != 0 || sum.Arrived != 200 || ended+sum.Vanished != 200 {
			t.Errorf("%+v", sum)
		}
	})
}

func TestFirstToSettleMakesTheAnswer(t *testing.T) {
	d := start(t, tariff(logic.Repeatable))
	c := d.Arrive(Arrival{Tariff: 0, Customer: -1, Left: time.Second})
	p := <-c.Pushes
	d.Vanish(c)
	d.Outcome(c, p, logic.Settled) // too late: the client has gone
	if len(c.Answer) != 0 {
		t.Error("an answer to a client that has gone")
	}
	if p.Context.Err() == nil {
		t.Error("the push holds on to its context")
	}
}

func TestCloseForfeitsWhatIsOpenAndWhatComes(t *testing.T) {
	d := start(t, tariff(logic.OnceOnly))
	c := d.Arrive(Arrival{Tariff: 0, Customer: -1, Left: time.Minute})
	p := <-c.Pushes
	if n := d.Close(); n != 1 || (<-c.Answer).Ending != Forfeited || p.Context.Err() == nil {
		t.Errorf("%d ended, push %v", n, p.Context.Err())
	}
	if a := <-d.Arrive(Arrival{Tariff: 0, Customer: -1, Left: time.Minute}).Answer; a.Ending != Forfeited {
		t.Errorf("%v", a)
	}
}

// Danger: an order that nobody takes must not stop the rest.
func TestOrdersNeverWait(t *testing.T) {
	d := start(t, tariff(logic.OnceOnly))
	d.room.Store(0)
	c := d.Arrive(Arrival{Tariff: 0, Customer: -1, Left: time.Second})
	if a := <-c.Answer; a.Ending != Deferred { // it never left
		t.Errorf("%v", a)
	}
	for range cap(d.probes) + 10 {
		writer{d}.Probe(0)
		writer{d}.Follow()
	}
}

// Danger: a panic of the module under the lock must neither hold the lock nor leave its transaction unanswered.
func TestPanicOfTheModuleIsSurvived(t *testing.T) {
	d := start(t, tariff(logic.OnceOnly))
	if a := <-d.Arrive(Arrival{Tariff: 7, Customer: -1, Left: time.Second}).Answer; a.Ending != Forfeited { // there is no such tariff
		t.Errorf("%v", a)
	}
	c := d.Arrive(Arrival{Tariff: 0, Customer: -1, Left: time.Second})
	d.Outcome(c, <-c.Pushes, logic.Settled)
	if a := <-c.Answer; a.Ending != Settled {
		t.Errorf("%v", a)
	}
}
