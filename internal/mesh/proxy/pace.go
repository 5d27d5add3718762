package proxy

import (
	"context"
	"io"
	"math"
	"sync"
	"time"

	"ottershift/internal/mesh/priority"
)

const (
	paceShare = 0.88       // of the machine's line that long answers may fill
	paceBurst = 24 << 10   // bytes that may go at once
	paceFlows = 2          // long answers that share the line; the others wait, so that each is soon done
	paceFrom  = 64e6       // lines of more bits a second are never full of what one process sends
	longFrom  = heldAnswer // bytes from which an answer is a long one
)

// pacer keeps a narrow line from filling up with long answers. Invariant: they would queue in front of each small one that
// another request waits for, and of the mesh's own words.
type pacer struct {
	rate float64 // bytes a second, 0 for no bound

	mu    sync.Mutex
	level float64
	at    time.Time
	flows int                           // long answers that have the line
	queue priority.Queue[chan struct{}] // of those that wait for it; its channel is closed at their turn
	asked map[priority.Rank]int         // long answers that have the line, wait or are asked for
	mean  float64                       // bytes of a long answer
	epoch time.Time
}

func newPacer(mbps float64) *pacer {
	now := time.Now()
	p := &pacer{asked: map[priority.Rank]int{}, at: now, epoch: now, level: paceBurst}
	if bits := mbps * 1e6; bits > 0 && bits < paceFrom {
		p.rate = bits / 8 * paceShare
	}
	return p
}

// spend takes bytes off the line's level and says how long to wait until there are some again.
func (p *pacer) spend(n int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.level = min(paceBurst, p.level+p.rate*now.Sub(p.at).Seconds()) - float64(n)
	p.at = now
	if p.level >= 0 {
		return 0
	}
	return time.Duration(-p.level / p.rate * float64(time.Second))
}

// small notes an answer that never waits.
func (p *pacer) small(n int) {
	if p.rate > 0 {
		p.spend(n, time.Now())
	}
}

// admit lets in a request whose answer is long, if it would be on its way by half of the time within which it is of full
// worth: those in front of it, asked for or on their way, each take the line for as long as one does in the mean. A rank that is
// owed its share has one request let in all the same.
func (p *pacer) admit(u urgency) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return true
	}
	now := p.sinceStart(time.Now())
	if !u.again {
		p.queue.Shares.CountArrival(u.rank, now)
	}
	ahead := 0
	for other, n := range p.asked {
		if !u.rank.Before(other) {
			ahead += n
		}
	}
	late := float64(ahead)*p.mean/p.rate > u.aim.Seconds()/2
	if late && (p.asked[u.rank] > 0 || !p.queue.Shares.Underserved(u.rank, now)) {
		return false
	}
	p.queue.Shares.CountServed(u.rank, now)
	p.asked[u.rank]++
	return true
}

// leave notes that a long answer that was let in is over.
func (p *pacer) leave(rank priority.Rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return
	}
	if p.asked[rank]--; p.asked[rank] <= 0 {
		delete(p.asked, rank)
	}
}

// take waits for the line; give ends what take began.
func (p *pacer) take(ctx context.Context, rank priority.Rank) error {
	p.mu.Lock()
	if p.flows < paceFlows {
		p.flows++
		p.mu.Unlock()
		return nil
	}
	now := p.sinceStart(time.Now())
	waiting := &priority.Waiter[chan struct{}]{Rank: rank, Due: now, Request: make(chan struct{})}
	p.queue.Enqueue(waiting, math.MaxInt, now)
	p.mu.Unlock()
	select {
	case <-waiting.Request:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	removed := p.queue.Remove(waiting)
	p.mu.Unlock()
	if !removed { // its turn came meanwhile
		p.give()
	}
	return ctx.Err()
}

func (p *pacer) give() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next := p.queue.Dequeue(p.sinceStart(time.Now())); next != nil {
		close(next.Request)
		return
	}
	p.flows--
}

func (p *pacer) sinceStart(now time.Time) int64 { return int64(now.Sub(p.epoch)) }

// stream writes a long answer at the line's pace.
func (p *pacer) stream(ctx context.Context, w io.Writer, from io.Reader, length int64, rank priority.Rank) error {
	p.mu.Lock()
	if p.mean += (float64(length) - p.mean) / 8; p.mean <= 0 {
		p.mean = float64(length)
	}
	p.mu.Unlock()
	if err := p.take(ctx, rank); err != nil {
		return err
	}
	defer p.give()
	b := pieces.Get().(*[]byte)
	defer pieces.Put(b)
	for {
		n, err := from.Read(*b)
		if n > 0 {
			if wait := p.spend(n, time.Now()); wait > 0 {
				select {
				case <-time.After(wait):
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			if _, err := w.Write((*b)[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
