package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/lab/record"
	"ottershift/internal/lab/spec"
	"ottershift/logic"
)

// Generator emulates the clients of one run.
type Generator struct {
	experiment   *spec.Experiment
	epoch        time.Time
	targets      [][]*Target // by client group (the last one for calls between tiers), then by balancer
	post         []bool      // by tariff: whether requests use POST
	lastID       atomic.Uint64
	nextBalancer atomic.Uint64

	mu          sync.Mutex
	requests    []record.ClientRequest
	lag         []int64
	down        []bool               // balancers that clients must not use
	recentCalls [64]spec.Transaction // ring of the latest calls of repeating clients
	recentCount int
}

// Recent returns a random recent call of repeating clients; ok is false if there is none.
func (gen *Generator) Recent() (c spec.Transaction, ok bool) {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	if gen.recentCount == 0 {
		return c, false
	}
	return gen.recentCalls[rand.IntN(min(gen.recentCount, len(gen.recentCalls)))], true
}

// New creates the clients of an experiment for the balancers at the given addresses.
func New(e *spec.Experiment, epoch time.Time, addresses []string) *Generator {
	gen := &Generator{experiment: e, epoch: epoch, down: make([]bool, len(addresses))}
	for n := range len(e.Clients) + 1 {
		var all []*Target
		for _, a := range addresses {
			all = append(all, NewTarget(a, n == len(e.Clients) || e.Clients[n].KeepsConnections))
		}
		gen.targets = append(gen.targets, all)
	}
	for _, f := range e.Tariffs {
		gen.post = append(gen.post, f.Idempotency != logic.Idempotent)
	}
	return gen
}

func (gen *Generator) now() int64 { return int64(time.Since(gen.epoch)) }

// SetDown marks a balancer as down or up for the clients, as a load balancer in front of the balancers would.
func (gen *Generator) SetDown(balancer int, down bool) {
	gen.mu.Lock()
	gen.down[balancer] = down
	gen.mu.Unlock()
	if down {
		for _, all := range gen.targets {
			all[balancer].Close()
		}
	}
}

// pickBalancer returns the next balancer in round-robin order that is not down.
func (gen *Generator) pickBalancer() int {
	gen.mu.Lock()
	defer gen.mu.Unlock()
	n := len(gen.down)
	from := int(gen.nextBalancer.Add(1)) % n
	for i := range n {
		if !gen.down[(from+i)%n] {
			return (from + i) % n
		}
	}
	return from
}

// Run sends all planned calls and returns when all have ended.
func (gen *Generator) Run(ctx context.Context, plan []spec.Transaction) {
	var open sync.WaitGroup
	defer open.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for n, c := range plan {
		if wait := time.Duration(c.Due - gen.now()); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
				return
			}
		}
		if ctx.Err() != nil {
			return
		}
		if n%16 == 0 {
			gen.mu.Lock()
			gen.lag = append(gen.lag, max(0, gen.now()-c.Due))
			gen.mu.Unlock()
		}
		open.Go(func() { gen.callWithRetries(ctx, c) })
	}
}

// callWithRetries performs one call with its retries.
func (gen *Generator) callWithRetries(ctx context.Context, call spec.Transaction) {
	group := gen.experiment.Clients[call.Clients]
	tariff := gen.experiment.Tariffs[group.Tariff]
	key := ""
	if tariff.Idempotency == logic.Keyed || group.SendsKey {
		key = fmt.Sprintf("%016x", call.Root)
	}
	if group.RepeatsByKey {
		gen.mu.Lock()
		gen.recentCalls[gen.recentCount%len(gen.recentCalls)] = call
		gen.recentCount++
		gen.mu.Unlock()
	}
	if group.HedgeAfter > 0 {
		gen.callHedged(ctx, call, group, key)
		return
	}
	for try := 0; ctx.Err() == nil; try++ {
		left := time.Duration(call.Due + group.Timeout - gen.now())
		if left <= 0 {
			return
		}
		answer, request := gen.sendRequest(call.Clients, group.Pool, group.Tariff, group.Customer, key, call.Root, left,
			try > 0 && group.MarksRetries, group.Body)
		request.Due = call.Due
		gen.addRequest(request)
		again := answer.Status == 503 || answer.Status == 429 || answer.Refused
		// A failed request may have run, so it is retried only if a second run does no harm.
		harmless := tariff.Idempotency == logic.Idempotent ||
			tariff.Idempotency == logic.Keyed && tariff.DedupScope == logic.Everywhere
		again = again || harmless && (answer.Closed || answer.Status >= 500) || group.RepeatsByKey && answer.Status != 200
		if !again || try >= group.Retries {
			return
		}
		pause := time.Duration(group.RetryDelay)
		if group.FollowsAdvice && answer.RetryAfter > 0 {
			pause = answer.RetryAfter
		}
		pause = pause/2 + rand.N(pause+1)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// callHedged performs one call of a hedging client: without an answer for some time, it also sends
// the request with the same key to another balancer, and takes the first answer that settles it.
func (gen *Generator) callHedged(ctx context.Context, call spec.Transaction, group *spec.Clients, key string) {
	answers := make(chan Answer, group.Retries+1)
	outstanding, sent := 0, 0
	send := func() {
		left := time.Duration(call.Due + group.Timeout - gen.now())
		if left <= 0 || sent > group.Retries {
			return
		}
		resent := sent > 0 && group.MarksRetries
		outstanding++
		sent++
		go func() {
			answer, request := gen.sendRequest(call.Clients, group.Pool, group.Tariff, group.Customer, key, call.Root,
				left, resent, group.Body)
			request.Due = call.Due
			gen.addRequest(request)
			answers <- answer
		}()
	}
	send()
	next := time.NewTimer(time.Duration(group.HedgeAfter))
	defer next.Stop()
	settled := false
	for outstanding > 0 {
		select {
		case answer := <-answers:
			outstanding--
			if settled = settled || answer.Status == 200; settled {
				continue // outstanding requests run to their end
			}
			pause := time.Duration(group.RetryDelay)
			if group.FollowsAdvice && answer.RetryAfter > 0 {
				pause = answer.RetryAfter
			}
			if outstanding == 0 && sent <= group.Retries {
				select {
				case <-time.After(pause/2 + rand.N(pause+1)):
				case <-ctx.Done():
					return
				}
				send()
				next.Reset(time.Duration(group.HedgeAfter))
			}
		case <-next.C:
			if !settled {
				send()
				next.Reset(time.Duration(group.HedgeAfter))
			}
		case <-ctx.Done():
			for ; outstanding > 0; outstanding-- {
				<-answers
			}
			return
		}
	}
}

// Call sends a transaction from an upstream to the next tier and reports whether it succeeded.
func (gen *Generator) Call(ctx context.Context, from *spec.Group, root uint64, left time.Duration) bool {
	k, key := len(gen.experiment.Clients), ""
	if gen.experiment.Tariffs[from.Calls.Tariff].Idempotency == logic.Keyed {
		key = fmt.Sprintf("%016x-%x", root, gen.lastID.Add(1))
	}
	a, t := gen.sendRequest(k, from.Calls.Pool, from.Calls.Tariff, "", key, root, left, false, 0)
	t.Due = t.Sent
	gen.addRequest(t)
	return a.Status == 200
}

// sendRequest sends one request to the next balancer and returns its answer and its record.
func (gen *Generator) sendRequest(
	clients, pool, tariff int, customer, key string, root uint64, left time.Duration, resent bool, body int,
) (Answer, record.ClientRequest) {
	id := fmt.Sprintf("%08x%08x", uint32(root), gen.lastID.Add(1))
	balancer := gen.pickBalancer()
	until := time.Now().Add(left)
	request := FormatRequest(gen.experiment.Tariffs[tariff].Name, gen.experiment.Host(pool), id, customer, key,
		root, left, resent, gen.post[tariff], body)
	// The client waits 100 ms longer than the timeout it announces, so that the judge still sees answers in transit
	// at that time.
	answer := gen.targets[clients][balancer].Do(request, until.Add(100*time.Millisecond))
	result := record.ClientRequest{
		Root: root, ID: id, Group: clients, Tariff: tariff, Balancer: balancer, Timeout: int64(left), Status: answer.Status,
		Extra: answer.Extra, Closed: answer.Closed,
	}
	if !answer.Sent.IsZero() {
		result.Sent = int64(answer.Sent.Sub(gen.epoch))
	}
	if answer.Status != 0 {
		result.Answered = int64(answer.Read.Sub(gen.epoch))
	}
	if answer.Status == 200 && !strings.HasPrefix(string(answer.Body), "ok "+id+" ") {
		result.Extra = true // the answer of another request
	}
	return answer, result
}

func (gen *Generator) addRequest(t record.ClientRequest) {
	gen.mu.Lock()
	gen.requests = append(gen.requests, t)
	gen.mu.Unlock()
}

// Gather adds the observations of the clients to a record and closes their connections.
func (gen *Generator) Gather(r *record.Run) {
	for _, all := range gen.targets {
		for b, t := range all {
			if n := t.ConnsWithUnreadBytes(); n > 0 {
				r.Requests = append(r.Requests, record.ClientRequest{Balancer: b, Group: -1, Extra: true})
			}
			t.Close()
		}
	}
	gen.mu.Lock()
	defer gen.mu.Unlock()
	r.Requests = append(r.Requests, gen.requests...)
	r.Lag = append(r.Lag, gen.lag...)
}
