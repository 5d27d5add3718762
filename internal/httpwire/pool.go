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
	Name     string
	front    *FrontEnd
	shards   []*shard
	settings atomic.Pointer[terms.Book]
	metrics  *figures.Pool
	logMu    sync.Mutex
	logState logState
	log      *slog.Logger
	limits   *poolLimits
	openIDs  idRegistry

	hasList        atomic.Bool // the list does
	invalidEntries int         // entries that its last report left out, told once; its source's alone

	mu        sync.Mutex
	openCount int           // transactions, the writing of their answers included
	retired   bool          // takes no more
	drained   chan struct{} // closed once it is retired and nothing is open
	cancel    context.CancelFunc
}

// shard is what a pool does on one core: a desk with a module of its own, and connections to upstreams of its own. To
// the modules the shards of a process are as many balancers as there are; clients belong to one by their connection.
type shard struct {
	*Pool
	desk            *desk.Dispatcher
	conns           *upstreamConns
	settingsHistory atomic.Pointer[shardSettings]
}

// shardSettings is what a shard goes by: its part of the book in force, and the one before for tariffs that were dropped.
type shardSettings struct {
	current, previous *terms.Book
	changed           time.Time // book holds
}

// NewPool makes a pool, which takes transactions once a board shows it. Retire ends it.
func (front *FrontEnd) NewPool(name string, settings *terms.Book) (*Pool, error) {
	pool := &Pool{
		Name: name, front: front, metrics: &figures.Pool{}, log: front.poolLog.With("pool", name), openIDs: idRegistry{open: map[string]struct{}{}},
		drained: make(chan struct{}),
	}
	pool.settings.Store(settings)
	pool.limits = front.limits.addPool()
	for n := range front.cores {
		sh := &shard{Pool: pool}
		var err error
		own := settings.Part(n, front.cores)
		sh.settingsHistory.Store(&shardSettings{current: own})
		if sh.desk, err = desk.New(own, pool.metrics, pool.log, front.newEngine); err != nil {
			for _, made := range pool.shards {
				made.desk.Stop()
			}
			front.limits.removePool(pool.limits)
			return nil, err
		}
		sh.conns = newUpstreamConns(front.conns, pool.limits, settings)
		pool.shards = append(pool.shards, sh)
	}
	front.conns.addPool(pool)
	ctx, end := context.WithCancel(context.Background())
	pool.cancel = end
	for _, sh := range pool.shards {
		go sh.runProbes(ctx)
	}
	go pool.logPeriodically(ctx)
	return pool, nil
}

// shardOf is the one that a client's connection belongs to.
func (pool *Pool) shardOf(client *trackedConn) *shard {
	if client == nil {
		return pool.shards[0]
	}
	return pool.shards[client.number%uint64(len(pool.shards))]
}

// Reconfigure puts another book in force. What is open keeps the one that it came under; what is told as before keeps what
// was learnt under it.
func (pool *Pool) Reconfigure(settings *terms.Book) error {
	for n, sh := range pool.shards {
		before := sh.settingsHistory.Load().current
		own := settings.Part(n, len(pool.shards))
		if err := sh.desk.Reconfigure(own); err != nil {
			return err
		}
		sh.settingsHistory.Store(&shardSettings{current: own, previous: before, changed: time.Now()})
	}
	pool.settings.Store(settings)
	return nil
}

// SetProcesses says how many processes are this balancer at present.
func (pool *Pool) SetProcesses(n int) {
	for _, sh := range pool.shards {
		sh.desk.SetProcesses(n)
	}
}

// View is the pool as the second address shows it.
func (pool *Pool) View() figures.View {
	listed, avoided := pool.shards[0].desk.UpstreamCounts()
	return figures.View{Name: pool.Name, Counts: pool.metrics, Listed: listed, Unhealthy: avoided}
}

// ReportSender carries what one module says to another, by their numbers over all balancers.
type ReportSender interface {
	Tell(from, to int, raw []byte)
}

// SetReportSender has the pool's modules say what they say to others through a speaker, or nothing any more through nil.
func (pool *Pool) SetReportSender(s ReportSender) {
	for n, sh := range pool.shards {
		var say func(to int, raw []byte)
		if from := pool.settings.Load().Terms.Index*len(pool.shards) + n; s != nil {
			say = func(to int, raw []byte) { s.Tell(from, to, raw) }
		}
		sh.desk.SetReportSender(say)
	}
}

// Told implements peers.Sink.
func (pool *Pool) Told(from, to int, raw []byte) {
	if n := to - pool.settings.Load().Terms.Index*len(pool.shards); n >= 0 && n < len(pool.shards) {
		pool.shards[n].desk.PeerReport(from, raw)
	}
}

// Shards is how many there are.
func (pool *Pool) Shards() int { return len(pool.shards) }

// Settings is what the pool was told.
func (pool *Pool) Settings() *terms.Book { return pool.settings.Load() }

// Log logs what concerns the pool.
func (pool *Pool) Log() *slog.Logger { return pool.log }

// List implements lists.Sink, as do Unlisted and Follow.
func (pool *Pool) List(entries []roster.Entry[string], whole bool) {
	var change roster.Change
	for _, sh := range pool.shards {
		change = sh.desk.List(entries, whole)
		sh.conns.removeHosts(change.Left)
	}
	first := pool.hasList.Swap(true)
	if late := time.Duration(0); !whole || !first || change.Joined+change.Ends+change.Gone > 0 || change.Odd != pool.invalidEntries {
		pool.invalidEntries = change.Odd
		if first && change.Born > 0 { // what had started before the first list was not told late
			late = time.Since(time.Unix(0, change.Born))
		}
		pool.log.Info("list", "step", "changed", "whole", whole, "entries", len(entries), "joined", change.Joined, "draining", change.Ends,
			"gone", change.Gone, "listed", change.Listed, "odd", change.Odd, "late", late.Round(time.Millisecond))
	}
}

// Unlisted implements lists.Sink.
func (pool *Pool) Unlisted() {
	for _, sh := range pool.shards {
		sh.desk.Unlisted()
	}
}

// Follow implements lists.Sink. All shards are told whatever one of them asks for.
func (pool *Pool) Follow() <-chan struct{} { return pool.shards[0].desk.Follow() }

// Entries is the pool's list as it stands.
func (pool *Pool) Entries() []roster.Entry[string] { return pool.shards[0].desk.Entries() }

// addTransaction counts a transaction in, unless the pool is retired.
func (pool *Pool) addTransaction() bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if !pool.retired {
		pool.openCount++
	}
	return !pool.retired
}

func (pool *Pool) removeTransaction() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.openCount--; pool.openCount == 0 && pool.retired {
		close(pool.drained)
	}
}

// maxHardStop is the longest hard stop of its tariffs.
func (pool *Pool) maxHardStop() (longest time.Duration) {
	for _, t := range pool.settings.Load().Terms.Tariffs {
		longest = max(longest, time.Duration(t.HardStop))
	}
	return longest
}

// Retire ends a pool that no board shows any more: what it has taken is finished within the longest hard stop, then
// all that it held is given back.
func (pool *Pool) Retire() {
	pool.mu.Lock()
	if pool.retired {
		pool.mu.Unlock()
		return
	}
	pool.retired = true
	open := pool.openCount
	if open == 0 {
		close(pool.drained)
	}
	pool.mu.Unlock()
	start := time.Now()
	pool.log.Info("retire", "step", "begin", "open", open)
	forfeited := 0
	select {
	case <-pool.drained:
	case <-time.After(pool.maxHardStop() + finalAnswerTime):
		forfeited = pool.forfeitOpen() // Danger: the module lost track of one, and the pool would never go
		select {
		case <-pool.drained:
		case <-time.After(stallTimeout):
		}
	}
	pool.cancel()
	for _, sh := range pool.shards {
		sh.desk.Stop()
		sh.conns.close()
	}
	pool.sample(true)
	pool.front.conns.removePool(pool)
	for range 200 { // pushes that were called off are giving back their connections
		if _, out, _, _ := pool.limits.usage(); out == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	pool.front.limits.removePool(pool.limits)
	pool.log.Info("retire", "step", "end", "forfeited", forfeited, "took", time.Since(start).Round(time.Millisecond))
}

// forfeitOpen ends all that is open.
func (pool *Pool) forfeitOpen() (n int) {
	for _, sh := range pool.shards {
		n += sh.desk.Close()
	}
	return n
}

// closeIdle closes the connections that lie idle.
func (pool *Pool) closeIdle() {
	for _, sh := range pool.shards {
		sh.conns.transport.CloseIdleConnections()
	}
}
