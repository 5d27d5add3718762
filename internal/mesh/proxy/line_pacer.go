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
	pacedLineShare   = 0.88                // fraction of the machine's line that long responses may use
	pacerBurst       = 24 << 10            // bytes that may be sent at once
	maxPacedFlows    = 2                   // long responses that share the line; the others wait, so that each ends soon
	minUnpacedLine   = 64e6                // bits per second, from which one process can't fill a line
	maxShortResponse = maxBufferedResponse // bytes; a longer response is a long one
)

// linePacer keeps long responses from filling up a narrow line. Short responses that other requests wait for, and the
// control traffic of the mesh, would queue behind them.
type linePacer struct {
	rate float64 // bytes per second, 0 for no limit

	mu          sync.Mutex
	tokens      float64
	refilledAt  time.Time
	activeFlows int                           // long responses that are being sent
	queue       priority.Queue[chan struct{}] // responses that wait for the line; the channel is closed at their turn
	admitted    map[priority.Rank]int         // admitted long responses, whether requested, waiting or being sent
	meanLength  float64                       // bytes of a long response
	epoch       time.Time
}

// newLinePacer returns a pacer for a line of mbps megabits per second, which limits nothing if mbps is 0 or at least
// minUnpacedLine.
func newLinePacer(mbps float64) *linePacer {
	now := time.Now()
	p := &linePacer{admitted: map[priority.Rank]int{}, refilledAt: now, epoch: now, tokens: pacerBurst}
	if bits := mbps * 1e6; bits > 0 && bits < minUnpacedLine {
		p.rate = bits / 8 * pacedLineShare
	}
	return p
}

// consume takes n bytes from the token bucket and returns how long to wait until it is no longer negative.
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

// countShort accounts for a short response, which does not wait.
func (p *linePacer) countShort(n int) {
	if p.rate > 0 {
		p.consume(n, time.Now())
	}
}

// admit accepts a request with a long response if the response would start within half of the latency target: each
// admitted response of the same or a more urgent rank is expected to take the line for the mean duration. A rank that
// is owed its minimum share gets one request admitted regardless.
func (p *linePacer) admit(requested requestPriority) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return true
	}
	now := p.sinceStart(time.Now())
	if !requested.retried {
		p.queue.Shares.CountArrival(requested.rank, now)
	}
	ahead := 0
	for other, n := range p.admitted {
		if !requested.rank.Before(other) {
			ahead += n
		}
	}
	late := float64(ahead)*p.meanLength/p.rate > requested.latencyTarget.Seconds()/2
	if late && (p.admitted[requested.rank] > 0 || !p.queue.Shares.Underserved(requested.rank, now)) {
		return false
	}
	p.queue.Shares.CountServed(requested.rank, now)
	p.admitted[requested.rank]++
	return true
}

// done ends the admission of a long response.
func (p *linePacer) done(rank priority.Rank) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate == 0 {
		return
	}
	if p.admitted[rank]--; p.admitted[rank] <= 0 {
		delete(p.admitted, rank)
	}
}

// acquire waits for the line; release gives it back.
func (p *linePacer) acquire(ctx context.Context, rank priority.Rank) error {
	p.mu.Lock()
	if p.activeFlows < maxPacedFlows {
		p.activeFlows++
		p.mu.Unlock()
		return nil
	}
	now := p.sinceStart(time.Now())
	waiter := &priority.Waiter[chan struct{}]{Rank: rank, Due: now, Request: make(chan struct{})}
	p.queue.Enqueue(waiter, math.MaxInt, now)
	p.mu.Unlock()
	select {
	case <-waiter.Request:
		return nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	removed := p.queue.Remove(waiter)
	p.mu.Unlock()
	if !removed { // the line was granted meanwhile
		p.release()
	}
	return ctx.Err()
}

// release passes the line to the next waiting response.
func (p *linePacer) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next := p.queue.Dequeue(p.sinceStart(time.Now())); next != nil {
		close(next.Request)
		return
	}
	p.activeFlows--
}

func (p *linePacer) sinceStart(now time.Time) int64 { return int64(now.Sub(p.epoch)) }

// stream writes a long response at the pace of the line.
func (p *linePacer) stream(ctx context.Context, w io.Writer, source io.Reader, length int64, rank priority.Rank) error {
	p.mu.Lock()
	if p.meanLength += (float64(length) - p.meanLength) / 8; p.meanLength <= 0 {
		p.meanLength = float64(length)
	}
	p.mu.Unlock()
	if err := p.acquire(ctx, rank); err != nil {
		return err
	}
	defer p.release()
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
