package proxy

import (
	"context"
	"io"
	"sync"
	"time"
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
	turn  chan struct{} // has room for those that flow
	queue int           // long answers that flow, wait or are asked for
	mean  float64       // bytes of a long answer
}

func newPacer(mbps float64) *pacer {
	p := &pacer{turn: make(chan struct{}, paceFlows), at: time.Now(), level: paceBurst}
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
// worth: those in front of it, asked for or on their way, each take the line for as long as one does in the mean.
func (p *pacer) admit(aim time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rate > 0 && float64(p.queue)*p.mean/p.rate > aim.Seconds()/2 {
		return false
	}
	p.queue++
	return true
}

func (p *pacer) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue--
}

// pour writes a long answer at the line's pace.
func (p *pacer) pour(ctx context.Context, w io.Writer, from io.Reader, length int64) error {
	p.mu.Lock()
	if p.mean += (float64(length) - p.mean) / 8; p.mean <= 0 {
		p.mean = float64(length)
	}
	p.mu.Unlock()
	select {
	case p.turn <- struct{}{}:
		defer func() { <-p.turn }()
	case <-ctx.Done():
		return ctx.Err()
	}
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
