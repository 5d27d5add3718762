package httpwire

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/roster"
	"ottershift/internal/terms"
)

// Pool is one service: its desk, its connections to upstreams, its part of what is common.
type Pool struct {
	Name  string
	front *Front
	desk  *desk.Desk
	book  *terms.Book
	log   *slog.Logger
	part  *part
	out   *outbound
	ids   ids

	stands atomic.Bool // the list does

	mu      sync.Mutex
	open    int           // transactions, the writing of their answers included
	retired bool          // takes no more
	empty   chan struct{} // closed once it is retired and nothing is open
	end     context.CancelFunc
}

// NewPool makes a pool, which takes transactions once a board shows it. Retire ends it.
func (f *Front) NewPool(name string, book *terms.Book) (*Pool, error) {
	p := &Pool{
		Name: name, front: f, book: book, log: f.base.With("pool", name), ids: ids{open: map[string]struct{}{}},
		empty: make(chan struct{}),
	}
	var err error
	if p.desk, err = desk.New(book, p.log, f.module); err != nil {
		return nil, err
	}
	p.part = f.common.enter()
	p.out = newOutbound(f.sockets, p.part, book)
	f.sockets.join(p)
	ctx, end := context.WithCancel(context.Background())
	p.end = end
	go p.probe(ctx)
	go p.tallies(ctx)
	return p, nil
}

// Book is what the pool was told.
func (p *Pool) Book() *terms.Book { return p.book }

// Log logs what concerns the pool.
func (p *Pool) Log() *slog.Logger { return p.log }

// List implements lists.Sink, as do Unlisted and Follow.
func (p *Pool) List(entries []roster.Entry[string], whole bool) {
	left := p.desk.List(entries, whole)
	p.stands.Store(true)
	p.out.leave(left)
}

// Unlisted implements lists.Sink.
func (p *Pool) Unlisted() { p.desk.Unlisted() }

// Follow implements lists.Sink.
func (p *Pool) Follow() <-chan struct{} { return p.desk.Follow() }

// Entries is the pool's list as it stands.
func (p *Pool) Entries() []roster.Entry[string] { return p.desk.Entries() }

// enter counts a transaction in, unless the pool is retired.
func (p *Pool) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.retired {
		p.open++
	}
	return !p.retired
}

func (p *Pool) exit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open--; p.open == 0 && p.retired {
		close(p.empty)
	}
}

// longest is the longest hard stop of its tariffs.
func (p *Pool) longest() (longest time.Duration) {
	for _, t := range p.book.Terms.Tariffs {
		longest = max(longest, time.Duration(t.HardStop))
	}
	return longest
}

// Retire ends a pool that no board shows any more: what it has taken is finished within the longest hard stop, then
// all that it held is given back.
func (p *Pool) Retire() {
	p.mu.Lock()
	if p.retired {
		p.mu.Unlock()
		return
	}
	p.retired = true
	open := p.open
	if open == 0 {
		close(p.empty)
	}
	p.mu.Unlock()
	start := time.Now()
	p.log.Info("retire", "step", "begin", "open", open)
	forfeited := 0
	select {
	case <-p.empty:
	case <-time.After(p.longest() + lastAnswers):
		forfeited = p.desk.Close() // Danger: the module lost track of one, and the pool would never go
		select {
		case <-p.empty:
		case <-time.After(writeLimit):
		}
	}
	p.end()
	p.desk.Stop()
	p.out.end()
	p.logTally()
	p.front.sockets.part(p)
	for range 200 { // pushes that were called off are giving back their connections
		if _, out, _, _ := p.part.holds(); out == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.front.common.exit(p.part)
	p.log.Info("retire", "step", "end", "forfeited", forfeited, "took", time.Since(start).Round(time.Millisecond))
}
