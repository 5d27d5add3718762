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
	pacedLineShare   = 0.88                // of the machine's line that long answers may fill
	pacerBurst       = 24 << 10            // bytes that may go at once
	maxPacedFlows    = 2                   // long answers that share the line; the others wait, so that each is soon done
	minUnpacedLine   = 64e6                // lines of more bits a second are never full of what one process sends
	maxShortResponse = maxBufferedResponse // bytes from which an answer is a long one
)

// linePacer keeps a narrow line from filling up with long answers. Invariant: they would queue in front of each small one that
// another request waits for, and of the mesh's own words.
type linePacer struct {
	rate float64 // bytes a second, 0 for no bound

	mu          sync.Mutex
	tokens      float64
	refilledAt  time.Time
	activeFlows int                           // long answers that have the line
	queue       priority.Queue[chan struct{}] // of those that wait for it; its channel is closed at their turn
	admitted    map[priority.Rank]int         // long answers that have the line, wait or are asked for
	meanLength  float64                       // bytes of a long answer
	epoch       time.Time
}

func newLinePacer(mbps float64) *linePacer {
	now := time.Now()
	p := &linePacer{admitted: map[priority.Rank]int{}, refilledAt: now, epoch: now, tokens: pacerBurst}
	if bits := mbps * 1e6; bits > 0 && bits < minUnpacedLine {
		p.rate = bits / 8 * pacedLineShare
	}
	return p
}

// consume takes bytes off the line's level and says how long to wait until there are some again.
func (p *linePacer) consume(n int, now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tokens = min(pacerBurst, p.tokens+p.rate*now.Sub(p.refilledAt).Seconds()) - float64(n)
	p.refilledAt = now
	if p.tokens >= 0 {
		return 0
	}
	return time.Duration(-p.tokens / p.rate * float64(time.Second))
}

// countShort notes an answer that never waits.
func (p *linePacer) countShort(n int) {
	if p.rate > 0 {
		p.consume(n, time.Now())
	}
}

// admit lets in a request whose answer is long, if it would be on its way by half of the time within which it is of full
// worth: those in front of it, asked for or on their way, each take the line for as long as one does in the mean. A rank that is
// owed its share has one request let in all the same.
func (p *linePacer) admit(priority requestPriority) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return true
	}
	now := p.sinceStart(time.Now())
	if !priority.retried {
		p.queue.Shares.Came(priority.rank, now)
	}
	ahead := 0
	for other, n := range p.admitted {
		if !priority.rank.Before(other) {
			ahead += n
		}
	}
	late := float64(ahead)*p.meanLength/p.rate > priority.latencyTarget.Seconds()/2
	if late && (p.admitted[priority.rank] > 0 || !p.queue.Shares.Owed(priority.rank, now)) {
		return false
	}
	p.queue.Shares.Served(priority.rank, now)
	p.admitted[priority.rank]++
	return true
}

// release notes that a long answer that was let in is over.
func (p *linePacer) release(rank priority.Rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return
	}
	if p.admitted[rank]--; p.admitted[rank] <= 0 {
		delete(p.admitted, rank)
	}
}

// acquire waits for the line; give ends what take began.
func (p *linePacer) acquire(ctx context.Context, rank priority.Rank) error {
	p.mu.Lock()
	if p.activeFlows < maxPacedFlows {
		p.activeFlows++
		p.mu.Unlock()
		return nil
	}
	now := p.sinceStart(time.Now())
	waiter := &priority.Waiter[chan struct{}]{Rank: rank, Due: now, Request: make(chan struct{})}
	p.queue.Join(waiter, math.MaxInt, now)
	p.mu.Unlock()
	select {
	case <-waiter.Request:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	removed := p.queue.Remove(waiter)
	p.mu.Unlock()
	if !removed { // its turn came meanwhile
		p.yield()
	}
	return ctx.Err()
}

func (p *linePacer) yield() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next := p.queue.Next(p.sinceStart(time.Now())); next != nil {
		close(next.Request)
		return
	}
	p.activeFlows--
}

func (p *linePacer) sinceStart(now time.Time) int64 { return int64(now.Sub(p.epoch)) }

// stream writes a long answer at the line's pace.
func (p *linePacer) stream(ctx context.Context, w io.Writer, source io.Reader, length int64, rank priority.Rank) error {
	p.mu.Lock()
	if p.meanLength += (float64(length) - p.meanLength) / 8; p.meanLength <= 0 {
		p.meanLength = float64(length)
	}
	p.mu.Unlock()
	if err := p.acquire(ctx, rank); err != nil {
		return err
	}
	defer p.yield()
	buffer := bufferPool.Get().(*[]byte)
	defer bufferPool.Put(buffer)
	for {
		n, err := source.Read(*buffer)
		if n > 0 {
			if wait := p.consume(n, time.Now()); wait > 0 {
				select {
				case <-time.After(wait):
				case <-ctx.Done():
					return ctx.Err()
				}
			}
			if _, err := w.Write((*buffer)[:n]); err != nil {
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
