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

// Pool is one service: its shards and its part of the shared limits.
type Pool struct {
	Name     string
	front    *FrontEnd
	shards   []*shard
	settings atomic.Pointer[terms.Settings]
	metrics  *figures.Pool
	logMu    sync.Mutex
	logState logState
	log      *slog.Logger
	limits   *poolLimits
	openIDs  idRegistry

	hasList        atomic.Bool // a list of upstreams has arrived
	invalidEntries int         // in the last list; logged when it changes, used only by the source of the list

	mu        sync.Mutex
	openCount int           // transactions, including the writing of their answers
	retired   bool          // accepts no more transactions
	drained   chan struct{} // closed once the pool is retired and has no open transaction
	cancel    context.CancelFunc
}

// shard is the part of a pool on one core, with its own dispatcher, decision engine and upstream connections. Each shard
// counts as a separate balancer for the engines. A client connection belongs to one shard.
type shard struct {
	*Pool
	desk            *desk.Dispatcher
	conns           *upstreamConns
	settingsHistory atomic.Pointer[shardSettings]
}

// shardSettings holds a shard's part of the current settings, and the previous ones for tariffs that were removed.
type shardSettings struct {
	current, previous *terms.Settings
	changed           time.Time // start of current
}

// NewPool creates a pool, which receives transactions once the routing includes it. Retire ends it.
func (front *FrontEnd) NewPool(name string, settings *terms.Settings) (*Pool, error) {
	pool := &Pool{
		Name: name, front: front, metrics: &figures.Pool{}, log: front.poolLog.With("pool", name),
		openIDs: idRegistry{open: map[string]struct{}{}}, drained: make(chan struct{}),
	}
	pool.settings.Store(settings)
	pool.limits = front.limits.addPool()
	for n := range front.cores {
		sh := &shard{Pool: pool}
		var err error
		own := settings.Shard(n, front.cores)
		sh.settingsHistory.Store(&shardSettings{current: own})
		if sh.desk, err = desk.New(own, pool.metrics, pool.log, front.newEngine); err != nil {
			for _, created := range pool.shards {
				created.desk.Stop()
			}
			front.limits.removePool(pool.limits)
			return nil, err
		}
		sh.conns = newUpstreamConns(front.tracker, pool.limits, settings)
		pool.shards = append(pool.shards, sh)
	}
	front.tracker.addPool(pool)
	ctx, cancel := context.WithCancel(context.Background())
	pool.cancel = cancel
	for _, sh := range pool.shards {
		go sh.runProbes(ctx)
	}
	go pool.logPeriodically(ctx)
	return pool, nil
}

// shardOf returns the shard to which a client connection belongs.
func (pool *Pool) shardOf(client *trackedConn) *shard {
	if client == nil {
		return pool.shards[0]
	}
	return pool.shards[client.number%uint64(len(pool.shards))]
}

// Reconfigure replaces the settings. Open transactions keep the settings under which they arrived, and the engine
// keeps its measurements of unchanged parts.
func (pool *Pool) Reconfigure(settings *terms.Settings) error {
	for n, sh := range pool.shards {
		before := sh.settingsHistory.Load().current
		own := settings.Shard(n, len(pool.shards))
		if err := sh.desk.Reconfigure(own); err != nil {
			return err
		}
		sh.settingsHistory.Store(&shardSettings{current: own, previous: before, changed: time.Now()})
	}
	pool.settings.Store(settings)
	return nil
}

// SetProcesses sets how many processes act as this balancer at present.
func (pool *Pool) SetProcesses(n int) {
	for _, sh := range pool.shards {
		sh.desk.SetProcesses(n)
	}
}

// View returns the pool's data for the admin address.
func (pool *Pool) View() figures.PoolView {
	listed, avoided := pool.shards[0].desk.UpstreamCounts()
	return figures.PoolView{Name: pool.Name, Counters: pool.metrics, Listed: listed, Unhealthy: avoided}
}

// ReportSender sends load reports between decision engines, which are numbered across all balancers.
type ReportSender interface {
	// SendReport sends a report from one engine to another.
	SendReport(from, to int, raw []byte)
}

// SetReportSender sets the sender for the load reports of the pool's engines; nil stops them.
func (pool *Pool) SetReportSender(sender ReportSender) {
	for n, sh := range pool.shards {
		var send func(to int, raw []byte)
		if from := pool.settings.Load().Engine.Index*len(pool.shards) + n; sender != nil {
			send = func(to int, raw []byte) { sender.SendReport(from, to, raw) }
		}
		sh.desk.SetReportSender(send)
	}
}

// HandleReport passes a load report on to one of the pool's engines. It implements peers.ReportHandler.
func (pool *Pool) HandleReport(from, to int, raw []byte) {
	if n := to - pool.settings.Load().Engine.Index*len(pool.shards); n >= 0 && n < len(pool.shards) {
		pool.shards[n].desk.PeerReport(from, raw)
	}
}

// Shards returns the number of shards.
func (pool *Pool) Shards() int { return len(pool.shards) }

// Settings returns the current settings of the pool.
func (pool *Pool) Settings() *terms.Settings { return pool.settings.Load() }

// Log returns the pool's logger.
func (pool *Pool) Log() *slog.Logger { return pool.log }

// Update applies an update of the list of upstreams, or a complete list if complete is set, and logs what it changed. It
// implements lists.Sink, as do SourceLost and Requested.
func (pool *Pool) Update(entries []roster.Entry[string], complete bool) {
	var change roster.Change
	for _, sh := range pool.shards {
		change = sh.desk.List(entries, complete)
		sh.conns.removeHosts(change.ReleasedHosts)
	}
	first := pool.hasList.Swap(true)
	if late := time.Duration(0); !complete || !first ||
		change.Joined+change.Draining+change.Removed > 0 || change.Conflicts != pool.invalidEntries {
		pool.invalidEntries = change.Conflicts
		if first && change.NewestStart > 0 { // upstreams that started before the first list were not reported late
			late = time.Since(time.Unix(0, change.NewestStart))
		}
		pool.log.Info("list", "step", "changed", "whole", complete, "entries", len(entries), "joined", change.Joined,
			"draining", change.Draining, "gone", change.Removed, "listed", change.Listed, "odd", change.Conflicts,
			"late", late.Round(time.Millisecond))
	}
}

// SourceLost implements lists.Sink.
func (pool *Pool) SourceLost() {
	for _, sh := range pool.shards {
		sh.desk.Unlisted()
	}
}

// Requested implements lists.Sink. A request of the first shard's engine stands for all, as every list update goes to
// all shards.
func (pool *Pool) Requested() <-chan struct{} { return pool.shards[0].desk.Follow() }

// Entries returns the pool's current list of upstreams.
func (pool *Pool) Entries() []roster.Entry[string] { return pool.shards[0].desk.Entries() }

// addTransaction counts a new transaction and reports whether the pool accepts it.
func (pool *Pool) addTransaction() bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if !pool.retired {
		pool.openCount++
	}
	return !pool.retired
}

// removeTransaction removes a finished transaction from the count.
func (pool *Pool) removeTransaction() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if pool.openCount--; pool.openCount == 0 && pool.retired {
		close(pool.drained)
	}
}

// maxHardStop returns the longest hard stop of the pool's tariffs.
func (pool *Pool) maxHardStop() (longest time.Duration) {
	for _, t := range pool.settings.Load().Engine.Tariffs {
		longest = max(longest, time.Duration(t.HardStop))
	}
	return longest
}

// Retire ends a pool that is no longer in the routing. Open transactions may finish within the longest hard stop,
// then all resources are released.
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
		forfeited = pool.forfeitOpen() // a transaction that the engine lost track of would keep the pool forever
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
	pool.front.tracker.removePool(pool)
	for range 200 { // cancelled attempts are releasing their connections
		if _, out, _, _ := pool.limits.usage(); out == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	pool.front.limits.removePool(pool.limits)
	pool.log.Info("retire", "step", "end", "forfeited", forfeited, "took", time.Since(start).Round(time.Millisecond))
}

// forfeitOpen forfeits all open transactions and returns their number.
func (pool *Pool) forfeitOpen() (n int) {
	for _, sh := range pool.shards {
		n += sh.desk.Close()
	}
	return n
}

// closeIdle closes the idle connections to upstreams.
func (pool *Pool) closeIdle() {
	for _, sh := range pool.shards {
		sh.conns.transport.CloseIdleConnections()
	}
}
