package logic

import "testing"

// Fewer attempts and other tariffs hold for what comes after; what is open keeps the terms that it came under.
func TestOpenKeepsItsTerms(t *testing.T) {
	first := terms(tariff(Repeatable, Everywhere))
	w := newWorld(t, first, 4, 1)
	w.feed(minSamples+20, 50*ms)
	before, room, trigger := w.arrive(0, 3*s), w.b.room, w.b.trigger
	w.round(ms)
	next := terms(tariff(OnceOnly, Everywhere))
	next.MaxPushes = 1
	if err := w.b.Retune(next, w.now); err != nil {
		t.Fatal(err)
	}
	w.terms = next
	after := w.arrive(0, 3*s)
	w.round(ms)
	if w.b.room != room || w.b.trigger != trigger || trigger == 0 {
		t.Errorf("room %v of %v, trigger %v of %v", w.b.room, room, w.b.trigger, trigger)
	}
	for _, o := range []*owed{before, after} {
		w.result(o, 0, Errored)
		w.round(ms)
	}
	if len(before.pushes) != 2 || before.final {
		t.Errorf("%d pushes of what may run again, final %t", len(before.pushes), before.final)
	}
	if len(after.pushes) != 1 || !after.final {
		t.Errorf("%d pushes of what must not, final %t", len(after.pushes), after.final)
	}
	if w.b.Retune(&Terms{Balancers: 1}, w.now) == nil || w.b.terms != next {
		t.Error("terms without tariffs were taken")
	}
}

// Danger: the time that a slow client takes to send would be held against its upstream, end its transaction and pass
// for a crowd.
func TestTimeBeginsWithTheLastByte(t *testing.T) {
	terms := terms(tariff(Repeatable, Everywhere))
	terms.Tariffs[0].LateEarnings = 0
	w := newWorld(t, terms, 4, 1)
	w.feed(minSamples+20, 50*ms)
	o := w.stream(0)
	w.until(w.now + 10*s)
	at := o.pushes[0].upstream
	if o.final || len(o.pushes) != 1 || w.b.bad[at] != 0 || w.b.open != 0 {
		t.Fatalf("final %t, %d pushes, %d against its upstream, %d in hand", o.final, len(o.pushes), w.b.bad[at], w.b.open)
	}
	w.whole(1)
	begin := w.now
	w.round(ms)
	if w.b.open != 1 {
		t.Error("not in hand though it is whole")
	}
	for !o.final {
		w.round(5 * ms)
	}
	if took := w.now - begin; took > s+10*ms || len(o.pushes) != 1 {
		t.Errorf("ended after %d ms with %d pushes", took/ms, len(o.pushes))
	}
}

// Two processes of one balancer pay a cold upstream half each.
func TestTwoProcessesPayHalfEach(t *testing.T) {
	paid := [2]float64{}
	for n := range paid {
		w := newWorld(t, terms(tariff(Repeatable, Everywhere)), 4, 1)
		w.b.Beside(n + 1)
		w.list(0, Upstream{Weight: 1, Born: w.now})
		w.b.Round(w.now, w)
		w.b.pace, w.b.purse[0], w.b.filled[0] = 1e-9, 0, w.now
		w.b.now += s / 4
		paid[n] = w.b.fill(0)
	}
	if paid[0] == 0 || paid[1] != paid[0]/2 {
		t.Errorf("paid %v", paid)
	}
}
