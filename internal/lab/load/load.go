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

// Load emulates the clients of one run.
type Load struct {
	e       *spec.Experiment
	epoch   time.Time
	targets [][]*Target // by client group (the last one for calls between tiers), then by balancer
	post    []bool      // by tariff: whether requests use POST
	ids     atomic.Uint64
	pick    atomic.Uint64

	mu    sync.Mutex
	tries []record.Try
	lag   []int64
	down  []bool        // balancers that clients must not use
	late  [64]spec.Call // ring of the latest calls of repeating clients
	asked int
}

// Recent returns a random recent call of repeating clients; ok is false if there is none.
func (l *Load) Recent() (c spec.Call, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asked == 0 {
		return c, false
	}
	return l.late[rand.IntN(min(l.asked, len(l.late)))], true
}

// New creates the clients of an experiment for the balancers at the given addresses.
func New(e *spec.Experiment, epoch time.Time, addresses []string) *Load {
	l := &Load{e: e, epoch: epoch, down: make([]bool, len(addresses))}
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

func (l *Load) now() int64 { return int64(time.Since(l.epoch)) }

// Down marks a balancer as down or up for the clients, as a load balancer in front of the balancers would.
func (l *Load) Down(balancer int, down bool) {
	l.mu.Lock()
	l.down[balancer] = down
	l.mu.Unlock()
	if down {
		for _, all := range l.targets {
			all[balancer].Close()
		}
	}
}

// balancer returns the next balancer in round-robin order that is not down.
func (l *Load) balancer() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.down)
	from := int(l.pick.Add(1)) % n
	for i := range n {
		if !l.down[(from+i)%n] {
			return (from + i) % n
		}
	}
	return from
}

// Run sends all planned calls and returns when all have ended.
func (l *Load) Run(ctx context.Context, plan []spec.Call) {
	var open sync.WaitGroup
	defer open.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for n, c := range plan {
		if wait := time.Duration(c.Due - l.now()); wait > 0 {
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
			l.mu.Lock()
			l.lag = append(l.lag, max(0, l.now()-c.Due))
			l.mu.Unlock()
		}
		open.Go(func() { l.ask(ctx, c) })
	}
}

// ask performs one call with its retries.
func (l *Load) ask(ctx context.Context, c spec.Call) {
	k := l.e.Clients[c.Clients]
	f := l.e.Tariffs[k.Tariff]
	key := ""
	if f.Idempotency == logic.Keyed || k.Keyed {
		key = fmt.Sprintf("%016x", c.Root)
	}
	if k.Repeats {
		l.mu.Lock()
		l.late[l.asked%len(l.late)] = c
		l.asked++
		l.mu.Unlock()
	}
	if k.After > 0 {
		l.insist(ctx, c, k, key)
		return
	}
	for try := 0; ctx.Err() == nil; try++ {
		left := time.Duration(c.Due + k.Patience - l.now())
		if left <= 0 {
			return
		}
		a, t := l.try(c.Clients, k.Pool, k.Tariff, k.Customer, key, c.Root, left, try > 0 && k.Marks, k.Body)
		t.Due = c.Due
		l.note(t)
		again := a.Status == 503 || a.Status == 429 || a.Refused
		// A failed request may have run, so it is retried only if a second run does no harm.
		harmless := f.Idempotency == logic.Idempotent || f.Idempotency == logic.Keyed && f.DedupScope == logic.Everywhere
		again = again || harmless && (a.Closed || a.Status >= 500) || k.Repeats && a.Status != 200
		if !again || try >= k.Retries {
			return
		}
		pause := time.Duration(k.Pause)
		if k.Heeds && a.Advice > 0 {
			pause = a.Advice
		}
		pause = pause/2 + rand.N(pause+1)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
	}
}

// insist performs one call of a hedging client: without an answer for some time, it also sends the request with the same
// key to another balancer, and takes the first answer that settles it.
func (l *Load) insist(ctx context.Context, c spec.Call, k *spec.Clients, key string) {
	answers := make(chan Answer, k.Retries+1)
	out, tries := 0, 0
	send := func() {
		left := time.Duration(c.Due + k.Patience - l.now())
		if left <= 0 || tries > k.Retries {
			return
		}
		again := tries > 0 && k.Marks
		out++
		tries++
		go func() {
			a, t := l.try(c.Clients, k.Pool, k.Tariff, k.Customer, key, c.Root, left, again, k.Body)
			t.Due = c.Due
			l.note(t)
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
			if k.Heeds && a.Advice > 0 {
				pause = a.Advice
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
func (l *Load) Call(ctx context.Context, from *spec.Group, root uint64, left time.Duration) bool {
	k, key := len(l.e.Clients), ""
	if l.e.Tariffs[from.Calls.Tariff].Idempotency == logic.Keyed {
		key = fmt.Sprintf("%016x-%x", root, l.ids.Add(1))
	}
	a, t := l.try(k, from.Calls.Pool, from.Calls.Tariff, "", key, root, left, false, 0)
	t.Due = t.Sent
	l.note(t)
	return a.Status == 200
}

// try sends one request to the next balancer and returns its answer and its record.
func (l *Load) try(
	clients, pool, tariff int, customer, key string, root uint64, left time.Duration, again bool, body int,
) (Answer, record.Try) {
	id := fmt.Sprintf("%08x%08x", uint32(root), l.ids.Add(1))
	balancer := l.balancer()
	until := time.Now().Add(left)
	request := Request(l.e.Tariffs[tariff].Name, l.e.Host(pool), id, customer, key, root, left, again, l.post[tariff], body)
	// The client waits 100 ms longer than the timeout it announces, so that the judge still sees answers in transit
	// at that time.
	a := l.targets[clients][balancer].Do(request, until.Add(100*time.Millisecond))
	t := record.Try{
		Root: root, ID: id, Group: clients, Tariff: tariff, Balancer: balancer, Left: int64(left), Status: a.Status,
		Extra: a.Extra, Closed: a.Closed,
	}
	if !a.Sent.IsZero() {
		t.Sent = int64(a.Sent.Sub(l.epoch))
	}
	if a.Status != 0 {
		t.Answered = int64(a.Read.Sub(l.epoch))
	}
	if a.Status == 200 && !strings.HasPrefix(string(a.Body), "ok "+id+" ") {
		t.Extra = true // the answer of another request
	}
	return a, t
}

func (l *Load) note(t record.Try) {
	l.mu.Lock()
	l.tries = append(l.tries, t)
	l.mu.Unlock()
}

// Gather adds the observations of the clients to a record and closes their connections.
func (l *Load) Gather(r *record.Run) {
	for _, all := range l.targets {
		for b, t := range all {
			if n := t.Stray(); n > 0 {
				r.Tries = append(r.Tries, record.Try{Balancer: b, Group: -1, Extra: true})
			}
			t.Close()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r.Tries = append(r.Tries, l.tries...)
	r.Lag = append(r.Lag, l.lag...)
}
