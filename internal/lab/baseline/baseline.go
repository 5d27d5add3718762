// Package baseline implements simple load-balancing policies to compare the decision engine with. They run behind the
// same front end and under the same rules. They send no hedges, have no concurrency limits and eject no upstreams.
// Their retries use the same token bucket.
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
	retryTokensPerTransaction = 0.1
	maxRetryTokens            = 100
)

// transactionState is the state of one transaction.
type transactionState struct {
	t           *logic.Transaction
	tariff      *logic.Tariff
	deadline    int64
	attempts    []attempt
	outstanding int
	closed      bool
	touched     bool
	heapIndex   int
}

type attempt struct {
	upstream    int
	outstanding bool
	result      logic.Result
}

// Balancer is an engine that chooses upstreams by a simple policy.
type Balancer struct {
	policy string
	config *logic.Config
	rng    *rand.Rand
	now    int64
	writer logic.Writer

	known, ready []bool
	upstreams    []logic.Upstream
	inFlight     []int
	nextTurn     int
	retryTokens  float64
	transactions map[*logic.Transaction]*transactionState
	touched      []*transactionState
	deadlines    deadlineHeap
}

// NewFactory returns a factory of engines with the policy named kind.
func NewFactory(kind string) (desk.EngineFactory, error) {
	switch kind {
	case "random", "round-robin", "least-in-flight", "two-choices":
	default:
		return nil, errors.New("baseline: unknown policy: " + kind)
	}
	return func(config *logic.Config, now int64) (desk.Engine, error) {
		if len(config.Tariffs) == 0 || config.MaxAttempts < 1 {
			return nil, errors.New("baseline: configuration has no tariffs or MaxAttempts is below 1")
		}
		return &Balancer{
			policy: kind, config: config, now: now, rng: rand.New(rand.NewPCG(config.Seed, 1)), retryTokens: 1,
			transactions: map[*logic.Transaction]*transactionState{},
		}, nil
	}, nil
}

// Known implements desk.Module, as do the methods below.
func (b *Balancer) Known(i int) bool { return b.known[i] }

func (b *Balancer) Join() int {
	for i, known := range b.known {
		if !known && b.inFlight[i] == 0 {
			b.known[i] = true
			return i
		}
	}
	b.known, b.ready = append(b.known, true), append(b.ready, false)
	b.upstreams, b.inFlight = append(b.upstreams, logic.Upstream{}), append(b.inFlight, 0)
	return len(b.known) - 1
}

func (b *Balancer) List(i int, u logic.Upstream, now int64)       { b.ready[i], b.upstreams[i] = true, u }
func (b *Balancer) Drain(i int)                                   { b.ready[i] = false }
func (b *Balancer) Leave(i int)                                   { b.ready[i], b.known[i] = false, false }
func (b *Balancer) Listed(bool, int64)                            {}
func (b *Balancer) PeerReport(int, []byte, int64)                 {}
func (b *Balancer) ProbeResult(int, bool)                         {}
func (b *Balancer) BodyReceived(*logic.Transaction, int64, int64) {} // the lab's clients send whole requests

func (b *Balancer) Arrive(t *logic.Transaction, tariff, _ int, _, left int64, _ bool, now int64) {
	s := &transactionState{t: t, tariff: b.config.Tariffs[tariff], deadline: now + left, heapIndex: -1}
	b.transactions[t] = s
	heap.Push(&b.deadlines, s)
	b.touch(s)
}

func (b *Balancer) Outcome(t *logic.Transaction, n int, r logic.Result, _ int64, final bool, now int64) {
	s := b.transactions[t]
	if s == nil || !s.attempts[n].outstanding {
		return
	}
	s.attempts[n].outstanding, s.attempts[n].result = false, r
	s.outstanding--
	b.inFlight[s.attempts[n].upstream]--
	if final {
		b.close(s)
	}
	b.touch(s)
}

func (b *Balancer) ClientGone(t *logic.Transaction) {
	if s := b.transactions[t]; s != nil {
		b.close(s)
		b.touch(s)
	}
}

func (b *Balancer) touch(s *transactionState) {
	if !s.touched {
		s.touched = true
		b.touched = append(b.touched, s)
	}
}

func (b *Balancer) close(s *transactionState) {
	s.closed = true
	if s.heapIndex >= 0 {
		heap.Remove(&b.deadlines, s.heapIndex)
	}
}

// Round makes the decisions for all transactions with new events or expired deadlines.
func (b *Balancer) Round(now int64, w logic.Writer) {
	b.now, b.writer = now, w
	for len(b.deadlines) > 0 && b.deadlines[0].deadline <= now {
		b.touch(heap.Pop(&b.deadlines).(*transactionState))
	}
	for k := 0; k < len(b.touched); k++ {
		b.touched[k].touched = false
		b.decide(b.touched[k])
	}
	b.touched = b.touched[:0]
	if len(b.deadlines) > 0 {
		w.Wake(max(b.deadlines[0].deadline, now+1))
	}
	b.writer = nil
}

func (b *Balancer) decide(s *transactionState) {
	if s.closed {
		for n := range s.attempts {
			if s.attempts[n].outstanding {
				b.writer.Cancel(s.t, n)
			}
		}
		if s.outstanding == 0 {
			delete(b.transactions, s.t)
		}
		return
	}
	if b.now >= s.deadline {
		b.finish(s)
		return
	}
	if s.outstanding > 0 {
		return
	}
	if n := len(s.attempts); n == 0 {
		b.retryTokens = min(maxRetryTokens, b.retryTokens+retryTokensPerTransaction)
	} else if n >= b.config.MaxAttempts || b.retryTokens < 1 || !s.mayRetry() {
		b.finish(s)
		return
	} else {
		b.retryTokens--
	}
	i := b.choose(s)
	if i < 0 {
		b.finish(s)
		return
	}
	s.attempts = append(s.attempts, attempt{upstream: i, outstanding: true})
	s.outstanding++
	b.inFlight[i]++
	b.writer.Send(s.t, i, s.deadline)
}

// ran reports whether any attempt may have been executed by an upstream.
func (s *transactionState) ran() bool {
	for _, p := range s.attempts {
		if p.outstanding || !p.result.NeverRan() {
			return true
		}
	}
	return false
}

func (s *transactionState) mayRetry() bool {
	return s.tariff.Idempotency == logic.Idempotent || !s.ran()
}

func (b *Balancer) finish(s *transactionState) {
	harmless := s.mayRetry() || s.tariff.Idempotency == logic.Keyed && s.tariff.DedupScope == logic.Everywhere
	b.close(s)
	if harmless {
		b.writer.Defer(s.t, logic.AttemptsFailed, b.config.Backoff(s.tariff))
	} else {
		b.writer.Forfeit(s.t, logic.AttemptsFailed)
	}
	b.decide(s)
}

// choose returns an upstream that has not been tried for this transaction; -1 if there is none.
func (b *Balancer) choose(s *transactionState) int {
	var candidates []int
	for i, ready := range b.ready {
		tried := false
		for _, p := range s.attempts {
			tried = tried || p.upstream == i
		}
		if ready && !tried {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	load := func(i int) float64 { return float64(b.inFlight[i]+1) / math.Max(b.upstreams[i].Weight, 1e-6) }
	switch b.policy {
	case "round-robin":
		b.nextTurn++
		return candidates[b.nextTurn%len(candidates)]
	case "least-in-flight":
		best := candidates[b.rng.IntN(len(candidates))]
		for _, i := range candidates {
			if load(i) < load(best) {
				best = i
			}
		}
		return best
	case "two-choices":
		one, other := candidates[b.rng.IntN(len(candidates))], candidates[b.rng.IntN(len(candidates))]
		if load(other) < load(one) {
			return other
		}
		return one
	}
	return candidates[b.rng.IntN(len(candidates))]
}

// deadlineHeap is a heap of transactions, ordered by deadline.
type deadlineHeap []*transactionState

func (d deadlineHeap) Len() int           { return len(d) }
func (d deadlineHeap) Less(i, j int) bool { return d[i].deadline < d[j].deadline }
func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

func (d *deadlineHeap) Push(s any) {
	s.(*transactionState).heapIndex = len(*d)
	*d = append(*d, s.(*transactionState))
}

func (d *deadlineHeap) Pop() any {
	last := len(*d) - 1
	s := (*d)[last]
	s.heapIndex, (*d)[last], *d = -1, nil, (*d)[:last]
	return s
}
