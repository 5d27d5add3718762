// Package baseline implements simple load-balancing policies to compare the decision engine with. They run behind the
// same front end and under the same rules. They send no hedges, have no concurrency limits and eject no upstreams.
// A token bucket limits their retries as it does the decision engine's.
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

// NewFactory returns a factory of engines with the named policy.
func NewFactory(policy string) (desk.EngineFactory, error) {
	switch policy {
	case "random", "round-robin", "least-in-flight", "two-choices":
	default:
		return nil, errors.New("baseline: unknown policy: " + policy)
	}
	return func(config *logic.Config, now int64) (desk.Engine, error) {
		if len(config.Tariffs) == 0 || config.MaxAttempts < 1 {
			return nil, errors.New("baseline: configuration has no tariffs or MaxAttempts is below 1")
		}
		return &Balancer{
			policy: policy, config: config, now: now, rng: rand.New(rand.NewPCG(config.Seed, 1)), retryTokens: 1,
			transactions: map[*logic.Transaction]*transactionState{},
		}, nil
	}, nil
}

// Known and the exported methods below implement desk.Engine.
func (lb *Balancer) Known(i int) bool { return lb.known[i] }

func (lb *Balancer) Join() int {
	for i, known := range lb.known {
		if !known && lb.inFlight[i] == 0 {
			lb.known[i] = true
			return i
		}
	}
	lb.known, lb.ready = append(lb.known, true), append(lb.ready, false)
	lb.upstreams, lb.inFlight = append(lb.upstreams, logic.Upstream{}), append(lb.inFlight, 0)
	return len(lb.known) - 1
}

func (lb *Balancer) List(i int, u logic.Upstream, now int64)       { lb.ready[i], lb.upstreams[i] = true, u }
func (lb *Balancer) Drain(i int)                                   { lb.ready[i] = false }
func (lb *Balancer) Leave(i int)                                   { lb.ready[i], lb.known[i] = false, false }
func (lb *Balancer) Listed(bool, int64)                            {}
func (lb *Balancer) PeerReport(int, []byte, int64)                 {}
func (lb *Balancer) ProbeResult(int, bool)                         {}
func (lb *Balancer) BodyReceived(*logic.Transaction, int64, int64) {} // the lab's clients send whole requests

func (lb *Balancer) Arrive(t *logic.Transaction, tariff, _ int, _, left int64, _ bool, now int64) {
	state := &transactionState{t: t, tariff: lb.config.Tariffs[tariff], deadline: now + left, heapIndex: -1}
	lb.transactions[t] = state
	heap.Push(&lb.deadlines, state)
	lb.touch(state)
}

func (lb *Balancer) Outcome(t *logic.Transaction, n int, r logic.Result, _ int64, final bool, now int64) {
	state := lb.transactions[t]
	if state == nil || !state.attempts[n].outstanding {
		return
	}
	state.attempts[n].outstanding, state.attempts[n].result = false, r
	state.outstanding--
	lb.inFlight[state.attempts[n].upstream]--
	if final {
		lb.close(state)
	}
	lb.touch(state)
}

func (lb *Balancer) ClientGone(t *logic.Transaction) {
	if state := lb.transactions[t]; state != nil {
		lb.close(state)
		lb.touch(state)
	}
}

func (lb *Balancer) touch(state *transactionState) {
	if !state.touched {
		state.touched = true
		lb.touched = append(lb.touched, state)
	}
}

func (lb *Balancer) close(state *transactionState) {
	state.closed = true
	if state.heapIndex >= 0 {
		heap.Remove(&lb.deadlines, state.heapIndex)
	}
}

// Round makes the decisions for all transactions with new events or expired deadlines.
func (lb *Balancer) Round(now int64, w logic.Writer) {
	lb.now, lb.writer = now, w
	for len(lb.deadlines) > 0 && lb.deadlines[0].deadline <= now {
		lb.touch(heap.Pop(&lb.deadlines).(*transactionState))
	}
	for k := 0; k < len(lb.touched); k++ {
		lb.touched[k].touched = false
		lb.decide(lb.touched[k])
	}
	lb.touched = lb.touched[:0]
	if len(lb.deadlines) > 0 {
		w.Wake(max(lb.deadlines[0].deadline, now+1))
	}
	lb.writer = nil
}

func (lb *Balancer) decide(state *transactionState) {
	if state.closed {
		for n := range state.attempts {
			if state.attempts[n].outstanding {
				lb.writer.Cancel(state.t, n)
			}
		}
		if state.outstanding == 0 {
			delete(lb.transactions, state.t)
		}
		return
	}
	if lb.now >= state.deadline {
		lb.finish(state)
		return
	}
	if state.outstanding > 0 {
		return
	}
	if n := len(state.attempts); n == 0 {
		lb.retryTokens = min(maxRetryTokens, lb.retryTokens+retryTokensPerTransaction)
	} else if n >= lb.config.MaxAttempts || lb.retryTokens < 1 || !state.mayRetry() {
		lb.finish(state)
		return
	} else {
		lb.retryTokens--
	}
	i := lb.choose(state)
	if i < 0 {
		lb.finish(state)
		return
	}
	state.attempts = append(state.attempts, attempt{upstream: i, outstanding: true})
	state.outstanding++
	lb.inFlight[i]++
	lb.writer.Send(state.t, i, state.deadline)
}

// ran reports whether any attempt may have been executed by an upstream.
func (state *transactionState) ran() bool {
	for _, p := range state.attempts {
		if p.outstanding || !p.result.NeverRan() {
			return true
		}
	}
	return false
}

func (state *transactionState) mayRetry() bool {
	return state.tariff.Idempotency == logic.Idempotent || !state.ran()
}

func (lb *Balancer) finish(state *transactionState) {
	safeToRetry := state.mayRetry() || state.tariff.Idempotency == logic.Keyed && state.tariff.DedupScope == logic.Everywhere
	lb.close(state)
	if safeToRetry {
		lb.writer.Defer(state.t, logic.AttemptsFailed, lb.config.Backoff(state.tariff))
	} else {
		lb.writer.Forfeit(state.t, logic.AttemptsFailed)
	}
	lb.decide(state)
}

// choose returns an upstream that has not been tried for this transaction; -1 if there is none.
func (lb *Balancer) choose(state *transactionState) int {
	var candidates []int
	for i, ready := range lb.ready {
		tried := false
		for _, p := range state.attempts {
			tried = tried || p.upstream == i
		}
		if ready && !tried {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return -1
	}
	load := func(i int) float64 { return float64(lb.inFlight[i]+1) / math.Max(lb.upstreams[i].Weight, 1e-6) }
	switch lb.policy {
	case "round-robin":
		lb.nextTurn++
		return candidates[lb.nextTurn%len(candidates)]
	case "least-in-flight":
		best := candidates[lb.rng.IntN(len(candidates))]
		for _, i := range candidates {
			if load(i) < load(best) {
				best = i
			}
		}
		return best
	case "two-choices":
		first, second := candidates[lb.rng.IntN(len(candidates))], candidates[lb.rng.IntN(len(candidates))]
		if load(second) < load(first) {
			return second
		}
		return first
	}
	return candidates[lb.rng.IntN(len(candidates))]
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
