package httpwire

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/figures"
	"ottershift/internal/roster"
	"ottershift/internal/terms"
)

// Pool is one service: its shards, its part of what is common.
type Pool struct {
	Name   string
	front  *Front
	shards []*shard
	book   atomic.Pointer[terms.Book]
	counts *figures.Pool
	looks  sync.Mutex
	tally  tally
	log    *slog.Logger
	part   *part
	ids    ids

	stands atomic.Bool // the list does
	odd    int         // entries that its last report left out, told once; its source's alone

	mu      sync.Mutex
	open    int           // transactions, the writing of their answers included
	retired bool          // takes no more
	empty   chan struct{} // closed once it is retired and nothing is open
	end     context.CancelFunc
}

// shard is what a pool does on one core: a desk with a module of its own, and connections to upstreams of its own. To
// the modules the shards of a process are as many balancers as there are; clients belong to one by their connection.
type shard struct {
	*Pool
	desk *desk.Dispatcher
	out  *outbound
	told atomic.Pointer[told]
}

// told is what a shard goes by: its part of the book in force, and the one before for tariffs that were dropped.
type told struct {
	book, before *terms.Book
	since        time.Time // book holds
}

// NewPool makes a pool, which takes transactions once a board shows it. Retire ends it.
func (f *Front) NewPool(name string, book *terms.Book) (*Pool, error) {
	p := &Pool{
		Name: name, front: f, counts: &figures.Pool{}, log: f.base.With("pool", name), ids: ids{open: map[string]struct{}{}},
		empty: make(chan struct{}),
	}
	p.book.Store(book)
	p.part = f.common.enter()
	for n := range f.cores {
		sh := &shard{Pool: p}
		var err error
		own := book.Part(n, f.cores)
		sh.told.Store(&told{book: own})
		if sh.desk, err = desk.New(own, p.counts, p.log, f.module); err != nil {
			for _, made := range p.shards {
				made.desk.Stop()
			}
			f.common.exit(p.part)
			return nil, err
		}
		sh.out = newOutbound(f.sockets, p.part, book)
		p.shards = append(p.shards, sh)
	}
	f.sockets.join(p)
	ctx, end := context.WithCancel(context.Background())
	p.end = end
	for _, sh := range p.shards {
		go sh.probe(ctx)
	}
	go p.tallies(ctx)
	return p, nil
}

// shard is the one that a client's connection belongs to.
func (p *Pool) shard(client *counted) *shard {
	if client == nil {
		return p.shards[0]
	}
	return p.shards[client.number%uint64(len(p.shards))]
}

// Retune puts another book in force. What is open keeps the one that it came under; what is told as before keeps what
// was learnt under it.
func (p *Pool) Retune(book *terms.Book) error {
	for n, sh := range p.shards {
		before := sh.told.Load().book
		own := book.Part(n, len(p.shards))
		if err := sh.desk.Reconfigure(own); err != nil {
			return err
		}
		sh.told.Store(&told{book: own, before: before, since: time.Now()})
	}
	p.book.Store(book)
	return nil
}

// Beside says how many processes are this balancer at present.
func (p *Pool) Beside(n int) {
	for _, sh := range p.shards {
		sh.desk.SetProcesses(n)
	}
}

// View is the pool as the second address shows it.
func (p *Pool) View() figures.PoolView {
	listed, avoided := p.shards[0].desk.UpstreamCounts()
	return figures.PoolView{Name: p.Name, Counters: p.counts, Listed: listed, Unhealthy: avoided}
}

// Speaker carries what one module says to another, by their numbers over all balancers.
type Speaker interface {
	SendReport(from, to int, raw []byte)
}

// Speak has the pool's modules say what they say to others through a speaker, or nothing any more through nil.
func (p *Pool) Speak(s Speaker) {
	for n, sh := range p.shards {
		var say func(to int, raw []byte)
		if from := p.book.Load().Terms.Index*len(p.shards) + n; s != nil {
			say = func(to int, raw []byte) { s.SendReport(from, to, raw) }
		}
		sh.desk.SetReportSender(say)
	}
}

// HandleReport implements peers.Sink.
func (p *Pool) HandleReport(from, to int, raw []byte) {
	if n := to - p.book.Load().Terms.Index*len(p.shards); n >= 0 && n < len(p.shards) {
		p.shards[n].desk.PeerReport(from, raw)
	}
}

// Shards is how many there are.
func (p *Pool) Shards() int { return len(p.shards) }

// Book is what the pool was told.
func (p *Pool) Book() *terms.Book { return p.book.Load() }

// Log logs what concerns the pool.
func (p *Pool) Log() *slog.Logger { return p.log }

// Update implements lists.Sink, as do Unlisted and Follow.
func (p *Pool) Update(entries []roster.Entry[string], whole bool) {
	var c roster.Change
	for _, sh := range p.shards {
		c = sh.desk.List(entries, whole)
		sh.out.leave(c.Left)
	}
	first := p.stands.Swap(true)
	if late := time.Duration(0); !whole || !first || c.Joined+c.Ends+c.Gone > 0 || c.Odd != p.odd {
		p.odd = c.Odd
		if first && c.Born > 0 { // what had started before the first list was not told late
			late = time.Since(time.Unix(0, c.Born))
		}
		p.log.Info("list", "step", "changed", "whole", whole, "entries", len(entries), "joined", c.Joined, "draining", c.Ends,
			"gone", c.Gone, "listed", c.Listed, "odd", c.Odd, "late", late.Round(time.Millisecond))
	}
}

// SourceLost implements lists.Sink.
func (p *Pool) SourceLost() {
	for _, sh := range p.shards {
		sh.desk.Unlisted()
	}
}

// Requested implements lists.Sink. All shards are told whatever one of them asks for.
func (p *Pool) Requested() <-chan struct{} { return p.shards[0].desk.Follow() }

// Entries is the pool's list as it stands.
func (p *Pool) Entries() []roster.Entry[string] { return p.shards[0].desk.Entries() }

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
	for _, t := range p.book.Load().Terms.Tariffs {
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
		forfeited = p.forfeit() // Danger: the module lost track of one, and the pool would never go
		select {
		case <-p.empty:
		case <-time.After(mostStill):
		}
	}
	p.end()
	for _, sh := range p.shards {
		sh.desk.Stop()
		sh.out.end()
	}
	p.look(true)
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

// forfeit ends all that is open.
func (p *Pool) forfeit() (n int) {
	for _, sh := range p.shards {
		n += sh.desk.Close()
	}
	return n
}

// recall closes the connections that lie idle.
func (p *Pool) recall() {
	for _, sh := range p.shards {
		sh.out.transport.CloseIdleConnections()
	}
}
