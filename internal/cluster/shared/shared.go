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

// Times of the runner. Operators want nothing new sent to an upstream 1.5 s after its drain was told: silence and its spread
// leave more than half of that to one's own ask.
const (
	heartbeatInterval = 150 * time.Millisecond
	silenceTimeout    = 450 * time.Millisecond
	silenceJitter     = 200 * time.Millisecond
	steadyPeriod      = 2 * time.Second
	fetchTimeout      = 500 * time.Millisecond // to have the whole list from the owner
)

// MaxStaleness is the longest that a member goes by a list that its owner no longer speaks for, before it asks itself.
const MaxStaleness = silenceTimeout + silenceJitter + heartbeatInterval

// Transport is how words go to the other members of a pool.
type Transport interface {
	Post(name string, raw []byte)                                 // lost if it fails
	Whole(ctx context.Context, name, pool string) ([]byte, error) // a member's whole list
	Offering(pool string) (others []string)                       // who follows the pool as well
	Owner(duty string) string                                     // who owns a duty by what is known here
}

// List is a pool's list by way of the owner, a lists.Source.
type List struct {
	pool      string
	duty      string
	newSource func(lists.Sink) lists.Source // makes what asks discovery, from its beginning
	sink      lists.Sink
	transport Transport
	owners    *owner.Manager
	log       *slog.Logger
	fenced    bool
	startedAt time.Time
	wakeups   chan struct{}

	mu              sync.Mutex
	core            *Core
	fetching        bool // the whole is being fetched
	becameOwner     bool // it has just become the owner
	DiscoveryStarts int64
}

// Duty is the name of the duty of a pool's list.
func Duty(pool string) string { return "list/" + pool }

// New makes one. own makes the source that asks discovery and tells a sink.
func New(pool string, sink lists.Sink, newSource func(lists.Sink) lists.Source, transport Transport, owners *owner.Manager, fenced bool, log *slog.Logger) *List {
	list := &List{
		pool: pool, duty: Duty(pool), sink: sink, newSource: newSource, transport: transport, owners: owners, log: log, fenced: fenced, startedAt: time.Now(), wakeups: make(chan struct{}, 1),
	}
	list.core = NewCore(Timing{int64(silenceTimeout), int64(steadyPeriod), int64(silenceJitter)}, rand.Float64(), 0)
	return list
}

func (list *List) now() int64 { return int64(time.Since(list.startedAt)) }

// Run implements lists.Source.
func (list *List) Run(ctx context.Context) {
	list.owners.AddDuty(list.duty, list)
	defer list.owners.RemoveDuty(list.duty)
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
			stopSource() // an owner asks from the beginning, for the whole list
		}
		switch {
		case discover && stop == nil:
			sourceCtx, cancel := context.WithCancel(ctx)
			stop = cancel
			done := make(chan struct{})
			ended = done
			list.mu.Lock()
			list.DiscoveryStarts++
			why := "the owner's word is late"
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

func (list *List) wake() {
	select {
	case list.wakeups <- struct{}{}:
	default:
	}
}

// Begin implements owner.Work, as does End.
func (list *List) Begin(lease owner.Lease) {
	list.mu.Lock()
	list.core.SetOwner(list.now(), lease.Token, true)
	list.becameOwner = true
	list.mu.Unlock()
	list.wake()
}

func (list *List) End(owner.Lease) {
	list.mu.Lock()
	list.core.SetOwner(list.now(), 0, false)
	list.mu.Unlock()
	list.wake()
}

// List implements lists.Sink for the source that asks discovery: what it tells this member goes to its own pool, and to all
// others if it asks for all.
func (list *List) List(entries []roster.Entry[string], snapshot bool) {
	list.sink.List(entries, snapshot)
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

// Unlisted and Follow implement lists.Sink.
func (list *List) Unlisted() {
	list.mu.Lock()
	list.core.HandleDiscoveryLost()
	list.mu.Unlock()
	list.sink.Unlisted()
}

func (list *List) Follow() <-chan struct{} { return list.sink.Follow() }

// broadcast sends a word to all who follow the pool. Danger: between the question and the sending the process may be held up; the
// token in the word is what makes that harmless.
func (list *List) broadcast(update Update) {
	token, ok := list.owners.MayAct(list.duty)
	if !ok || token != update.Token {
		return
	}
	raw := pack.Pack(&update)
	for _, name := range list.transport.Offering(list.pool) {
		list.transport.Post(name, raw)
	}
}

// HandleUpdate takes an owner's word.
func (list *List) HandleUpdate(from string, update *Update) {
	if !list.owners.Admit(list.duty, update.Token) {
		return
	}
	list.mu.Lock()
	changes, snapshot, fetch := list.core.HandleUpdate(list.now(), update, list.fenced)
	fetch = fetch && !list.fetching
	list.fetching = list.fetching || fetch
	if len(changes) > 0 || snapshot {
		list.sink.List(changes, snapshot) // in the order in which they came
	}
	list.mu.Unlock()
	if fetch {
		go list.fetch(from)
	}
}

// fetch has the whole list from the owner.
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

// Snapshot is the list as this member has it as its owner.
func (list *List) Snapshot() []byte {
	list.mu.Lock()
	defer list.mu.Unlock()
	update, ok := list.core.Snapshot(list.pool)
	if !ok {
		return pack.Pack(&Update{Pool: list.pool})
	}
	return pack.Pack(&update)
}
