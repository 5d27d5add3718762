package shared

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"ottershift/internal/cluster/owner"
	"ottershift/internal/cluster/pack"
	"ottershift/internal/lists"
	"ottershift/internal/roster"
)

// Times of List. No new request may be sent to an upstream 1.5 s after discovery announced its drain: silenceTimeout
// and silenceJitter leave more than half of that for a member's own query.
const (
	heartbeatInterval = 150 * time.Millisecond
	silenceTimeout    = 450 * time.Millisecond
	silenceJitter     = 200 * time.Millisecond
	steadyPeriod      = 2 * time.Second
	fetchTimeout      = 500 * time.Millisecond // for a snapshot from the owner
)

// MaxStaleness is the longest time that a member relies on a list that its owner no longer confirms, before it queries
// discovery itself.
const MaxStaleness = silenceTimeout + silenceJitter + heartbeatInterval

// Transport sends updates to the other members that serve a pool.
type Transport interface {
	Post(name string, raw []byte)                                 // sends an update; it may be lost
	Whole(ctx context.Context, name, pool string) ([]byte, error) // fetches a snapshot from a member
	Offering(pool string) (others []string)                       // returns the other members that serve the pool
	Owner(duty string) string                                     // returns the owner of a duty as far as known here
}

// List is the upstream list of a pool as received from the owner. It implements lists.Source.
type List struct {
	pool      string
	duty      string
	newSource func(lists.Sink) lists.Source // returns a source that queries discovery, starting with a whole list
	sink      lists.Sink
	transport Transport
	manager   *owner.Manager
	log       *slog.Logger
	fenced    bool
	startedAt time.Time
	wakeups   chan struct{}

	mu              sync.Mutex
	core            *Core
	fetching        bool  // a snapshot is being fetched
	becameOwner     bool  // since the last check of Run
	DiscoveryStarts int64 // how often this member started to query discovery itself
}

// Duty returns the name of the duty for the upstream list of a pool.
func Duty(pool string) string { return "list/" + pool }

// New returns the list of a pool. newSource returns the source that queries discovery and reports to a sink.
func New(pool string, sink lists.Sink, newSource func(lists.Sink) lists.Source, transport Transport, manager *owner.Manager, fenced bool, log *slog.Logger) *List {
	list := &List{
		pool: pool, duty: Duty(pool), sink: sink, newSource: newSource, transport: transport, manager: manager,
		log: log, fenced: fenced, startedAt: time.Now(), wakeups: make(chan struct{}, 1),
	}
	list.core = NewCore(Timing{int64(silenceTimeout), int64(steadyPeriod), int64(silenceJitter)}, rand.Float64(), 0)
	return list
}

// now returns the nanoseconds since the creation of the list.
func (list *List) now() int64 { return int64(time.Since(list.startedAt)) }

// Run implements lists.Source: it takes part in the duty until ctx ends.
func (list *List) Run(ctx context.Context) {
	list.manager.AddDuty(list.duty, list)
	defer list.manager.RemoveDuty(list.duty)
	tick := time.NewTicker(heartbeatInterval / 2)
	defer tick.Stop()
	var stop context.CancelFunc
	var ended chan struct{}
	stopSource := func() {
		if stop != nil {
			stop()
			<-ended
			stop = nil
		}
	}
	defer stopSource()
	lastHeartbeat := time.Time{}
	for {
		list.mu.Lock()
		discover, becameOwner := list.core.ShouldDiscover(list.now()), list.becameOwner
		list.becameOwner = false
		list.mu.Unlock()
		if becameOwner {
			stopSource() // restart: an owner needs the whole list
		}
		switch {
		case discover && stop == nil:
			sourceCtx, cancel := context.WithCancel(ctx)
			stop = cancel
			done := make(chan struct{})
			ended = done
			list.mu.Lock()
			list.DiscoveryStarts++
			why := "no update from the owner"
			if list.core.IsOwner() {
				why = "owner"
			}
			list.mu.Unlock()
			list.log.Info("list", "step", "asks", "why", why)
			source := list.newSource(list)
			go func() {
				defer close(done)
				source.Run(sourceCtx)
			}()
		case !discover && stop != nil:
			list.log.Info("list", "step", "relies", "owner", list.transport.Owner(list.duty))
			stopSource()
		}
		if time.Since(lastHeartbeat) >= heartbeatInterval {
			lastHeartbeat = time.Now()
			list.mu.Lock()
			heartbeat, ok := list.core.Heartbeat(list.pool)
			list.mu.Unlock()
			if ok {
				list.broadcast(heartbeat)
			}
		}
		select {
		case <-tick.C:
		case <-list.wakeups:
		case <-ctx.Done():
			return
		}
	}
}

// wake lets Run check its state again.
func (list *List) wake() {
	select {
	case list.wakeups <- struct{}{}:
	default:
	}
}

// Begin implements owner.Work: this member is the owner from now on.
func (list *List) Begin(lease owner.Lease) {
	list.mu.Lock()
	list.core.SetOwner(list.now(), lease.Token, true)
	list.becameOwner = true
	list.mu.Unlock()
	list.wake()
}

// End implements owner.Work: this member is no longer the owner.
func (list *List) End(owner.Lease) {
	list.mu.Lock()
	list.core.SetOwner(list.now(), 0, false)
	list.mu.Unlock()
	list.wake()
}

// Update implements lists.Sink for the source that queries discovery: it passes the entries to the pool of this member
// and, if this member is the owner, to all others.
func (list *List) Update(entries []roster.Entry[string], snapshot bool) {
	list.sink.Update(entries, snapshot)
	list.mu.Lock()
	var update Update
	broadcast := list.core.IsOwner()
	if broadcast {
		update, broadcast = list.core.HandleDiscovery(list.pool, entries, snapshot)
	}
	list.mu.Unlock()
	if broadcast {
		list.broadcast(update)
	}
}

// SourceLost implements lists.Sink.
func (list *List) SourceLost() {
	list.mu.Lock()
	list.core.HandleDiscoveryLost()
	list.mu.Unlock()
	list.sink.SourceLost()
}

// Requested implements lists.Sink.
func (list *List) Requested() <-chan struct{} { return list.sink.Requested() }

// broadcast sends an update to all members that serve the pool. The process may be delayed between the check and the
// sending; the fencing token in the update makes that harmless.
func (list *List) broadcast(update Update) {
	token, ok := list.manager.MayAct(list.duty)
	if !ok || token != update.Token {
		return
	}
	raw := pack.Pack(&update)
	for _, name := range list.transport.Offering(list.pool) {
		list.transport.Post(name, raw)
	}
}

// HandleUpdate processes an update from the owner.
func (list *List) HandleUpdate(from string, update *Update) {
	if !list.manager.Admit(list.duty, update.Token) {
		return
	}
	list.mu.Lock()
	changes, snapshot, fetch := list.core.HandleUpdate(list.now(), update, list.fenced)
	fetch = fetch && !list.fetching
	list.fetching = list.fetching || fetch
	if len(changes) > 0 || snapshot {
		list.sink.Update(changes, snapshot) // under the lock, to keep the order of arrival
	}
	list.mu.Unlock()
	if fetch {
		go list.fetch(from)
	}
}

// fetch fetches a snapshot from the owner.
func (list *List) fetch(from string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	raw, err := list.transport.Whole(ctx, from, list.pool)
	var update Update
	if err == nil {
		err = pack.Unpack(raw, &update)
	}
	list.mu.Lock()
	list.fetching = false
	list.mu.Unlock()
	if err == nil && update.Token > 0 {
		list.HandleUpdate(from, &update)
	}
}

// Snapshot returns an encoded snapshot of the list if this member is its owner, else an update without a token.
func (list *List) Snapshot() []byte {
	list.mu.Lock()
	defer list.mu.Unlock()
	update, ok := list.core.Snapshot(list.pool)
	if !ok {
		return pack.Pack(&Update{Pool: list.pool})
	}
	return pack.Pack(&update)
}
