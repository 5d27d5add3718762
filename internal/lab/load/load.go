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
	down        []bool        // balancers that clients must not use
	recentCalls [64]spec.Call // ring of the latest calls of repeating clients
	recentCount int
}

// Recent returns a random recent call of repeating clients; ok is false if there is none.
func (g *Generator) Recent() (c spec.Call, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.recentCount == 0 {
		return c, false
	}
	return g.recentCalls[rand.IntN(min(g.recentCount, len(g.recentCalls)))], true
}

// New creates the clients of an experiment for the balancers at the given addresses.
func New(e *spec.Experiment, epoch time.Time, addresses []string) *Generator {
	l := &Generator{experiment: e, epoch: epoch, down: make([]bool, len(addresses))}
	for n := range len(e.Clients) + 1 {
		var all []*Target
		for _, a := range addresses {
			all = append(all, NewTarget(a, n == len(e.Clients) || e.Clients[n].Kept))
		}
		l.targets = append(l.targets, all)
	}
	for _, f := range e.Tariffs {
		l.post = append(l.post, f.Idempotency != logic.Idempotent)
	}
	return l
}

func (g *Generator) now() int64 { return int64(time.Since(g.epoch)) }

// SetDown marks a balancer as down or up for the clients, as a load balancer in front of the balancers would.
func (g *Generator) SetDown(balancer int, down bool) {
	g.mu.Lock()
	g.down[balancer] = down
	g.mu.Unlock()
	if down {
		for _, all := range g.targets {
			all[balancer].Close()
		}
	}
}

// pickBalancer returns the next balancer in round-robin order that is not down.
func (g *Generator) pickBalancer() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := len(g.down)
	from := int(g.nextBalancer.Add(1)) % n
	for i := range n {
		if !g.down[(from+i)%n] {
			return (from + i) % n
		}
	}
	return from
}

// Run sends all planned calls and returns when all have ended.
func (g *Generator) Run(ctx context.Context, plan []spec.Call) {
	var open sync.WaitGroup
	defer open.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for n, c := range plan {
		if wait := time.Duration(c.Due - g.now()); wait > 0 {
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
			g.mu.Lock()
			g.lag = append(g.lag, max(0, g.now()-c.Due))
			g.mu.Unlock()
		}
		open.Go(func() { g.callWithRetries(ctx, c) })
	}
}

// callWithRetries performs one call with its retries.
func (g *Generator) callWithRetries(ctx context.Context, c spec.Call) {
	k := g.experiment.Clients[c.Clients]
	f := g.experiment.Tariffs[k.Tariff]
	key := ""
	if f.Idempotency == logic.Keyed || k.Keyed {
		key = fmt.Sprintf("%016x", c.Root)
	}
	if k.Repeats {
		g.mu.Lock()
		g.recentCalls[g.recentCount%len(g.recentCalls)] = c
		g.recentCount++
		g.mu.Unlock()
	}
	if k.After > 0 {
		g.callHedged(ctx, c, k, key)
		return
	}
	for try := 0; ctx.Err() == nil; try++ {
		left := time.Duration(c.Due + k.Patience - g.now())
		if left <= 0 {
			return
		}
		a, t := g.sendRequest(c.Clients, k.Pool, k.Tariff, k.Customer, key, c.Root, left, try > 0 && k.Marks, k.Body)
		t.Due = c.Due
		g.addRequest(t)
		again := a.Status == 503 || a.Status == 429 || a.Refused
		// A failed request may have run, so it is retried only if a second run does no harm.
		harmless := f.Idempotency == logic.Idempotent || f.Idempotency == logic.Keyed && f.DedupScope == logic.Everywhere
		again = again || harmless && (a.Closed || a.Status >= 500) || k.Repeats && a.Status != 200
		if !again || try >= k.Retries {
			return
		}
		pause := time.Duration(k.Pause)
		if k.Heeds && a.RetryAfter > 0 {
			pause = a.RetryAfter
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
func (g *Generator) callHedged(ctx context.Context, c spec.Call, k *spec.Clients, key string) {
	answers := make(chan Answer, k.Retries+1)
	out, tries := 0, 0
	send := func() {
		left := time.Duration(c.Due + k.Patience - g.now())
		if left <= 0 || tries > k.Retries {
			return
		}
		again := tries > 0 && k.Marks
		out++
		tries++
		go func() {
			a, t := g.sendRequest(c.Clients, k.Pool, k.Tariff, k.Customer, key, c.Root, left, again, k.Body)
			t.Due = c.Due
			g.addRequest(t)
			answers <- a
		}()
	}
	send()
	next := time.NewTimer(time.Duration(k.After))
	defer next.Stop()
	settled := false
	for out > 0 {
		select {
		case a := <-answers:
			out--
			if settled = settled || a.Status == 200; settled {
				continue // outstanding requests run to their end
			}
			pause := time.Duration(k.Pause)
			if k.Heeds && a.RetryAfter > 0 {
				pause = a.RetryAfter
			}
			if out == 0 && tries <= k.Retries {
				select {
				case <-time.After(pause/2 + rand.N(pause+1)):
				case <-ctx.Done():
					return
				}
				send()
				next.Reset(time.Duration(k.After))
			}
		case <-next.C:
			if !settled {
				send()
				next.Reset(time.Duration(k.After))
			}
		case <-ctx.Done():
			for ; out > 0; out-- {
				<-answers
			}
			return
		}
	}
}

// Call sends a transaction from an upstream to the next tier and reports whether it succeeded.
func (g *Generator) Call(ctx context.Context, from *spec.Group, root uint64, left time.Duration) bool {
	k, key := len(g.experiment.Clients), ""
	if g.experiment.Tariffs[from.Calls.Tariff].Idempotency == logic.Keyed {
		key = fmt.Sprintf("%016x-%x", root, g.lastID.Add(1))
	}
	a, t := g.sendRequest(k, from.Calls.Pool, from.Calls.Tariff, "", key, root, left, false, 0)
	t.Due = t.Sent
	g.addRequest(t)
	return a.Status == 200
}

// sendRequest sends one request to the next balancer and returns its answer and its record.
func (g *Generator) sendRequest(
	clients, pool, tariff int, customer, key string, root uint64, left time.Duration, again bool, body int,
) (Answer, record.ClientRequest) {
	id := fmt.Sprintf("%08x%08x", uint32(root), g.lastID.Add(1))
	balancer := g.pickBalancer()
	until := time.Now().Add(left)
	request := FormatRequest(g.experiment.Tariffs[tariff].Name, g.experiment.Host(pool), id, customer, key, root, left, again, g.post[tariff], body)
	// The client waits 100 ms longer than the timeout it announces, so that the judge still sees answers in transit
	// at that time.
	a := g.targets[clients][balancer].Do(request, until.Add(100*time.Millisecond))
	t := record.ClientRequest{
		Root: root, ID: id, Group: clients, Tariff: tariff, Balancer: balancer, Timeout: int64(left), Status: a.Status,
		Extra: a.Extra, Closed: a.Closed,
	}
	if !a.Sent.IsZero() {
		t.Sent = int64(a.Sent.Sub(g.epoch))
	}
	if a.Status != 0 {
		t.Answered = int64(a.Read.Sub(g.epoch))
	}
	if a.Status == 200 && !strings.HasPrefix(string(a.Body), "ok "+id+" ") {
		t.Extra = true // the answer of another request
	}
	return a, t
}

func (g *Generator) addRequest(t record.ClientRequest) {
	g.mu.Lock()
	g.requests = append(g.requests, t)
	g.mu.Unlock()
}

// Gather adds the observations of the clients to a record and closes their connections.
func (g *Generator) Gather(r *record.Run) {
	for _, all := range g.targets {
		for b, t := range all {
			if n := t.ConnsWithUnreadBytes(); n > 0 {
				r.Requests = append(r.Requests, record.ClientRequest{Balancer: b, Group: -1, Extra: true})
			}
			t.Close()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	r.Requests = append(r.Requests, g.requests...)
	r.Lag = append(r.Lag, g.lag...)
}
