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

// Load plays the clients of one run.
type Load struct {
	e       *spec.Experiment
	epoch   time.Time
	targets [][]*Target // by clients (the last for calls between tiers), by balancer
	post    []bool      // by tariff
	ids     atomic.Uint64
	pick    atomic.Uint64

	mu    sync.Mutex
	tries []record.Try
	lag   []int64
	down  []bool               // balancers that clients have been told not to use
	late  [64]spec.Transaction // what was asked for last by clients that repeat
	asked int
}

// Recent is something that clients that repeat have asked for lately; ok is false where there is nothing.
func (l *Load) Recent() (c spec.Transaction, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asked == 0 {
		return c, false
	}
	return l.late[rand.IntN(min(l.asked, len(l.late)))], true
}

// New makes the clients of an experiment for balancers at some addresses.
func New(e *spec.Experiment, epoch time.Time, addresses []string) *Load {
	l := &Load{e: e, epoch: epoch, down: make([]bool, len(addresses))}
	for n := range len(e.Clients) + 1 {
		var all []*Target
		for _, a := range addresses {
			all = append(all, NewTarget(a, n == len(e.Clients) || e.Clients[n].KeepsConnections))
		}
		l.targets = append(l.targets, all)
	}
	for _, f := range e.Tariffs {
		l.post = append(l.post, f.Idempotency != logic.Idempotent)
	}
	return l
}

func (l *Load) now() int64 { return int64(time.Since(l.epoch)) }

// Down tells clients that a balancer is down, or up again, as a front before them would.
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

// balancer takes the next one that isn't down.
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

// Run sends all that the plan holds, and returns once each has its end.
func (l *Load) Run(ctx context.Context, plan []spec.Transaction) {
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

// ask is one piece of work, over all its tries.
func (l *Load) ask(ctx context.Context, c spec.Transaction) {
	k := l.e.Clients[c.Clients]
	f := l.e.Tariffs[k.Tariff]
	key := ""
	if f.Idempotency == logic.Keyed || k.SendsKey {
		key = fmt.Sprintf("%016x", c.Root)
	}
	if k.RepeatsByKey {
		l.mu.Lock()
		l.late[l.asked%len(l.late)] = c
		l.asked++
		l.mu.Unlock()
	}
	if k.HedgeAfter > 0 {
		l.insist(ctx, c, k, key)
		return
	}
	for try := 0; ctx.Err() == nil; try++ {
		left := time.Duration(c.Due + k.Timeout - l.now())
		if left <= 0 {
			return
		}
		a, t := l.try(c.Clients, k.Pool, k.Tariff, k.Customer, key, c.Root, left, try > 0 && k.MarksRetries, k.Body)
		t.Due = c.Due
		l.note(t)
		again := a.Status == 503 || a.Status == 429 || a.Refused
		// What failed may have run: only what may run again is asked for once more.
		harmless := f.Idempotency == logic.Idempotent || f.Idempotency == logic.Keyed && f.DedupScope == logic.Everywhere
		again = again || harmless && (a.Closed || a.Status >= 500) || k.RepeatsByKey && a.Status != 200
		if !again || try >= k.Retries {
			return
		}
		pause := time.Duration(k.RetryDelay)
		if k.FollowsAdvice && a.Advice > 0 {
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

// insist is one piece of work of a client that doesn't wait for its first try to end: without an answer for some time it sends
// its key to another balancer as well, and takes the first answer that settles it.
func (l *Load) insist(ctx context.Context, c spec.Transaction, k *spec.Clients, key string) {
	answers := make(chan Answer, k.Retries+1)
	out, tries := 0, 0
	send := func() {
		left := time.Duration(c.Due + k.Timeout - l.now())
		if left <= 0 || tries > k.Retries {
			return
		}
		again := tries > 0 && k.MarksRetries
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
	next := time.NewTimer(time.Duration(k.HedgeAfter))
	defer next.Stop()
	settled := false
	for out > 0 {
		select {
		case a := <-answers:
			out--
			if settled = settled || a.Status == 200; settled {
				continue // what is out comes to its end
			}
			pause := time.Duration(k.RetryDelay)
			if k.FollowsAdvice && a.Advice > 0 {
				pause = a.Advice
			}
			if out == 0 && tries <= k.Retries {
				select {
				case <-time.After(pause/2 + rand.N(pause+1)):
				case <-ctx.Done():
					return
				}
				send()
				next.Reset(time.Duration(k.HedgeAfter))
			}
		case <-next.C:
			if !settled {
				send()
				next.Reset(time.Duration(k.HedgeAfter))
			}
		case <-ctx.Done():
			for ; out > 0; out-- {
				<-answers
			}
			return
		}
	}
}

// Call is a transaction from an upstream to the next tier.
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

// try sends one request.
func (l *Load) try(
	clients, pool, tariff int, customer, key string, root uint64, left time.Duration, again bool, body int,
) (Answer, record.Try) {
	id := fmt.Sprintf("%08x%08x", uint32(root), l.ids.Add(1))
	balancer := l.balancer()
	until := time.Now().Add(left)
	request := Request(l.e.Tariffs[tariff].Name, l.e.Host(pool), id, customer, key, root, left, again, l.post[tariff], body)
	// A client waits a little longer than it says: what is on the way then is still an answer to the judge.
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
		t.Extra = true // another's answer
	}
	return a, t
}

func (l *Load) note(t record.Try) {
	l.mu.Lock()
	l.tries = append(l.tries, t)
	l.mu.Unlock()
}

// Gather puts what the clients saw into a record, and closes their connections.
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
