package shares

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const ms = int64(1e6)

// whole checks what must hold after every step.
func whole(t interface{ Fatalf(string, ...any) }, d *Dealer, forced int64) {
	var used, held, idle int64
	for _, a := range d.accounts {
		used, held, idle = used+a.used, held+a.held, idle+a.idle
		if a.used < 0 || a.used > a.ceiling+forced {
			t.Fatalf("%+v", a)
		}
		if a.used < a.guarantee && a.held > a.guarantee-a.used {
			t.Fatalf("more is kept free than is guaranteed: %+v", a)
		}
	}
	if used != d.used || held != d.held || idle != d.idle {
		t.Fatalf("sums %d %d %d, accounts %d %d %d", d.used, d.held, d.idle, used, held, idle)
	}
	if d.used > d.capacity+forced {
		t.Fatalf("%d of %d dealt out", d.used, d.capacity)
	}
}

// Whatever is asked in whatever order: no more is dealt out than there is, nobody has more than its ceiling, and who
// asks within what it used lately and a quarter of its guarantee has it at once.
func TestNeverMoreThanThereIs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Int64Range(4, 200).Draw(t, "capacity")
		d := New(capacity, 100*ms, 0)
		var said []float64
		for range rapid.IntRange(1, 5).Draw(t, "pools") {
			d.Open()
			said = append(said, -1)
		}
		for i, g := range Split(capacity, said) {
			d.Set(d.accounts[i], g, rapid.Int64Range(g, capacity).Draw(t, "ceiling"))
		}
		now, forced := int64(0), int64(0)
		t.Repeat(map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				a := rapid.SampledFrom(d.accounts).Draw(t, "who")
				n := rapid.Int64Range(1, 9).Draw(t, "n")
				sure := forced == 0 && a.used+n <= a.guarantee && n <= a.held
				if ok := d.Take(a, n, now+rapid.Int64Range(0, 300).Draw(t, "ms")*ms, now); sure && !ok {
					t.Fatalf("refused %d of what is kept free: %+v", n, a)
				}
			},
			"give": func(t *rapid.T) {
				a := rapid.SampledFrom(d.accounts).Draw(t, "who")
				if n := rapid.Int64Range(0, a.used).Draw(t, "n"); n > 0 {
					d.Give(a, n)
				}
			},
			"force": func(t *rapid.T) {
				n := rapid.Int64Range(1, 9).Draw(t, "n")
				forced += n
				d.Force(rapid.SampledFrom(d.accounts).Draw(t, "who"), n)
			},
			"pass": func(t *rapid.T) { now += rapid.Int64Range(0, 250).Draw(t, "ms") * ms },
			"":     func(t *rapid.T) { whole(t, d, forced) },
		})
	})
}

// A pool that was idle while others borrowed has a quarter of its guarantee at once, and all of it within the stated
// time, however greedy they are and however long they hold what they may hold long.
func TestGuaranteeIsBackInTime(t *testing.T) {
	const capacity, within = 90, 100 * ms
	for seed := range uint64(50) {
		chance := rand.New(rand.NewPCG(seed, 1))
		d := New(capacity, within, 0)
		var all []*Account
		for _, g := range Split(capacity, []float64{0.4, -1, -1}) {
			a := d.Open()
			d.Set(a, g, capacity)
			all = append(all, a)
		}
		lender := all[0]
		type hold struct {
			a     *Account
			until int64
		}
		var holds []hold
		asks := 500 * ms
		for now := int64(0); now <= asks+within; now += ms {
			kept := holds[:0]
			for _, h := range holds {
				if h.until <= now {
					d.Give(h.a, 1)
				} else {
					kept = append(kept, h)
				}
			}
			holds = kept
			for range 20 {
				a := all[1+chance.IntN(2)]
				if until := now + 1 + chance.Int64N(400*ms); d.Take(a, 1, until, now) {
					holds = append(holds, hold{a, until})
				}
			}
			if now < asks {
				continue
			}
			for d.Take(lender, 1, now+1000*ms, now) {
				if lender.used == lender.guarantee {
					break
				}
			}
			if now == asks && lender.used < lender.guarantee/cushion {
				t.Fatalf("seed %d: %d of %d at once", seed, lender.used, lender.guarantee)
			}
			whole(t, d, 0)
		}
		if lender.used != lender.guarantee {
			t.Errorf("seed %d: %d of %d after the stated time", seed, lender.used, lender.guarantee)
		}
		if borrowed := all[1].used + all[2].used; borrowed != capacity-lender.guarantee {
			t.Errorf("seed %d: the others hold %d of what is theirs, %d", seed, borrowed, capacity-lender.guarantee)
		}
	}
}

// What lies idle is lent: a pool alone has all but the cushions of the others.
func TestIdleGuaranteeIsLent(t *testing.T) {
	d := New(100, 100*ms, 0)
	a, b := d.Open(), d.Open()
	d.Set(a, 50, 100)
	d.Set(b, 50, 100)
	now, got := int64(0), 0
	for d.Take(a, 1, now+ms, now) {
		got++
	}
	if got != 100-(50+cushion-1)/cushion {
		t.Errorf("%d of 100", got)
	}
	if d.Take(a, 1, now+500*ms, now) {
		t.Error("lent for longer than the stated time")
	}
}

// Refusals are spaced at their rate, and no connection rests longer than it may, also after a burst and after a stop.
func TestPace(t *testing.T) {
	p := NewPace(1000, 50*ms)
	longest, now := int64(0), int64(0)
	for range 10_000 {
		longest = max(longest, p.Rest(now))
	}
	if longest != 50*ms {
		t.Errorf("%d", longest)
	}
	if rest := p.Rest(now + 10_000*ms); rest != 0 {
		t.Errorf("rests %d long after the burst", rest)
	}
}

func BenchmarkTake(b *testing.B) {
	for _, pools := range []int{3, 1000} {
		b.Run(map[int]string{3: "3", 1000: "1000"}[pools], func(b *testing.B) {
			d := New(int64(pools)*100, 1e9, 0)
			for range pools {
				d.Set(d.Open(), 100, 1000)
			}
			for i := 0; b.Loop(); i++ {
				a := d.accounts[i%pools]
				if d.Take(a, 1, int64(i)*1000, int64(i)*1000) {
					d.Give(a, 1)
				}
			}
		})
	}
}
