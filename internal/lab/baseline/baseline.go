// Package baseline holds plain ways to choose an upstream, to compare the design with. They go through the same front,
// desk and rules as the design; they send no copies, keep no room and set nobody aside. Retries go by the same bucket.
package baseline

import (
	"container/heap"
	"errors"
	"math"
	"math/rand/v2"

	"ottershift/internal/desk"
	"ottershift/logic"
)

const (
	bucketPart = 0.1
	bucketMost = 100
)

// state is what is kept of a transaction.
type state struct {
	t       *logic.Transaction
	tariff  *logic.Tariff
	stop    int64
	pushes  []push
	out     int
	over    bool
	touched bool
	place   int
}

type push struct {
	upstream int
	out      bool
	result   logic.Result
}

// Balancer is a plain one.
type Balancer struct {
	kind   string
	terms  *logic.Config
	chance *rand.Rand
	now    int64
	w      logic.Writer

	known, ready []bool
	up           []logic.Upstream
	flying       []int
	turn         int
	bucket       float64
	all          map[*logic.Transaction]*state
	touched      []*state
	dues         dues
}

// Make says how to start a plain balancer of some kind.
func Make(kind string) (desk.EngineFactory, error) {
	switch kind {
	case "random", "round-robin", "least-in-flight", "two-choices":
	default:
		return nil, errors.New("baseline: there is none called " + kind)
	}
	return func(terms *logic.Config, now int64) (desk.Engine, error) {
		if len(terms.Tariffs) == 0 || terms.MaxAttempts < 1 {
			return nil, errors.New("baseline: no tariffs or no pushes")
		}
		return &Balancer{
			kind: kind, terms: terms, now: now, chance: rand.New(rand.NewPCG(terms.Seed, 1)), bucket: 1,
			all: map[*logic.Transaction]*state{},
		}, nil
	}, nil
}

// Known implements desk.Engine, as do the methods below.
func (b *Balancer) Known(i int) bool { return b.known[i] }

func (b *Balancer) Join() int {
	for i, known := range b.known {
		if !known && b.flying[i] == 0 {
			b.known[i] = true
			return i
		}
	}
	b.known, b.ready = append(b.known, true), append(b.ready, false)
	b.up, b.flying = append(b.up, logic.Upstream{}), append(b.flying, 0)
	return len(b.known) - 1
}

func (b *Balancer) List(i int, u logic.Upstream, now int64)       { b.ready[i], b.up[i] = true, u }
func (b *Balancer) Drain(i int)                                   { b.ready[i] = false }
func (b *Balancer) Leave(i int)                                   { b.ready[i], b.known[i] = false, false }
func (b *Balancer) Listed(bool, int64)                            {}
func (b *Balancer) PeerReport(int, []byte, int64)                 {}
func (b *Balancer) ProbeResult(int, bool)                         {}
func (b *Balancer) BodyReceived(*logic.Transaction, int64, int64) {} // the lab's transactions come whole

func (b *Balancer) Arrive(t *logic.Transaction, tariff, _ int, _, left int64, _ bool, now int64) {
	s := &state{t: t, tariff: b.terms.Tariffs[tariff], stop: now + left, place: -1}
	b.all[t] = s
	heap.Push(&b.dues, s)
	b.touch(s)
}

func (b *Balancer) Outcome(t *logic.Transaction, n int, r logic.Result, _ int64, final bool, now int64) {
	s := b.all[t]
	if s == nil || !s.pushes[n].out {
		return
	}
	s.pushes[n].out, s.pushes[n].result = false, r
	s.out--
	b.flying[s.pushes[n].upstream]--
	if final {
		b.close(s)
	}
	b.touch(s)
}

func (b *Balancer) ClientGone(t *logic.Transaction) {
	if s := b.all[t]; s != nil {
		b.close(s)
		b.touch(s)
	}
}

func (b *Balancer) touch(s *state) {
	if !s.touched {
		s.touched = true
		b.touched = append(b.touched, s)
	}
}

func (b *Balancer) close(s *state) {
	s.over = true
	if s.place >= 0 {
		heap.Remove(&b.dues, s.place)
	}
}

// Round decides on all that came in.
func (b *Balancer) Round(now int64, w logic.Writer) {
	b.now, b.w = now, w
	for len(b.dues) > 0 && b.dues[0].stop <= now {
		b.touch(heap.Pop(&b.dues).(*state))
	}
	for k := 0; k < len(b.touched); k++ {
		b.touched[k].touched = false
		b.decide(b.touched[k])
	}
	b.touched = b.touched[:0]
	if len(b.dues) > 0 {
		w.Wake(max(b.dues[0].stop, now+1))
	}
	b.w = nil
}

func (b *Balancer) decide(s *state) {
	if s.over {
		for n := range s.pushes {
			if s.pushes[n].out {
				b.w.Cancel(s.t, n)
			}
		}
		if s.out == 0 {
			delete(b.all, s.t)
		}
		return
	}
	if b.now >= s.stop {
		b.end(s)
		return
	}
	if s.out > 0 {
		return
	}
	if n := len(s.pushes); n == 0 {
		b.bucket = min(bucketMost, b.bucket+bucketPart)
	} else if n >= b.terms.MaxAttempts || b.bucket < 1 || !s.mayRepeat() {
		b.end(s)
		return
	} else {
		b.bucket--
	}
	i := b.choose(s)
	if i < 0 {
		b.end(s)
		return
	}
	s.pushes = append(s.pushes, push{upstream: i, out: true})
	s.out++
	b.flying[i]++
	b.w.Send(s.t, i, s.stop)
}

// ran reports whether any push may have run.
func (s *state) ran() bool {
	for _, p := range s.pushes {
		if p.out || !p.result.NeverRan() {
			return true
		}
	}
	return false
}

func (s *state) mayRepeat() bool { return s.tariff.Idempotency == logic.Idempotent || !s.ran() }

func (b *Balancer) end(s *state) {
	harmless := s.mayRepeat() || s.tariff.Idempotency == logic.Keyed && s.tariff.DedupScope == logic.Everywhere
	b.close(s)
	if harmless {
		b.w.Defer(s.t, logic.AttemptsFailed, b.terms.Backoff(s.tariff))
	} else {
		b.w.Forfeit(s.t, logic.AttemptsFailed)
	}
	b.decide(s)
}

// choose takes an upstream that wasn't tried, -1 if there is none.
func (b *Balancer) choose(s *state) int {
	var fit []int
	for i, ready := range b.ready {
		tried := false
		for _, p := range s.pushes {
			tried = tried || p.upstream == i
		}
		if ready && !tried {
			fit = append(fit, i)
		}
	}
	if len(fit) == 0 {
		return -1
	}
	load := func(i int) float64 { return float64(b.flying[i]+1) / math.Max(b.up[i].Weight, 1e-6) }
	switch b.kind {
	case "round-robin":
		b.turn++
		return fit[b.turn%len(fit)]
	case "least-in-flight":
		best := fit[b.chance.IntN(len(fit))]
		for _, i := range fit {
			if load(i) < load(best) {
				best = i
			}
		}
		return best
	case "two-choices":
		one, other := fit[b.chance.IntN(len(fit))], fit[b.chance.IntN(len(fit))]
		if load(other) < load(one) {
			return other
		}
		return one
	}
	return fit[b.chance.IntN(len(fit))]
}

// dues is a heap of states by their stop.
type dues []*state

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].stop < d[j].stop }
func (d dues) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i, j
}

func (d *dues) Push(s any) {
	s.(*state).place = len(*d)
	*d = append(*d, s.(*state))
}

func (d *dues) Pop() any {
	last := len(*d) - 1
	s := (*d)[last]
	s.place, (*d)[last], *d = -1, nil, (*d)[:last]
	return s
}
