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
	beats   = 150 * time.Millisecond
	silence = 450 * time.Millisecond
	spread  = 200 * time.Millisecond
	calm    = 2 * time.Second
	takes   = 500 * time.Millisecond // to have the whole list from the owner
)

// Bound is the longest that a member goes by a list that its owner no longer speaks for, before it asks itself.
const Bound = silence + spread + beats

// Way is how words go to the other members of a pool.
type Way interface {
	Post(name string, raw []byte)                                 // lost if it fails
	Whole(ctx context.Context, name, pool string) ([]byte, error) // a member's whole list
	Offering(pool string) (others []string)                       // who follows the pool as well
	Owner(duty string) string                                     // who owns a duty by what is known here
}

// List is a pool's list by way of the owner, a lists.Source.
type List struct {
	pool   string
	duty   string
	own    func(lists.Sink) lists.Source // makes what asks discovery, from its beginning
	sink   lists.Sink
	way    Way
	owners *owner.Owners
	log    *slog.Logger
	fenced bool
	start  time.Time
	kick   chan struct{}

	mu      sync.Mutex
	core    *Core
	pending bool // the whole is being fetched
	anew    bool // it has just become the owner
	Asks    int64
}

// Duty is the name of the duty of a pool's list.
func Duty(pool string) string { return "list/" + pool }

// New makes one. own makes the source that asks discovery and tells a sink.
func New(pool string, sink lists.Sink, own func(lists.Sink) lists.Source, way Way, owners *owner.Owners, fenced bool, log *slog.Logger) *List {
	l := &List{
		pool: pool, duty: Duty(pool), sink: sink, own: own, way: way, owners: owners, log: log, fenced: fenced, start: time.Now(), kick: make(chan struct{}, 1),
	}
	l.core = NewCore(Terms{int64(silence), int64(calm), int64(spread)}, rand.Float64(), 0)
	return l
}

func (l *List) now() int64 { return int64(time.Since(l.start)) }

// Run implements lists.Source.
func (l *List) Run(ctx context.Context) {
	l.owners.Do(l.duty, l)
	defer l.owners.Undo(l.duty)
	tick := time.NewTicker(beats / 2)
	defer tick.Stop()
	var stop context.CancelFunc
	var ended chan struct{}
	halt := func() {
		if stop != nil {
			stop()
			<-ended
			stop = nil
		}
	}
	defer halt()
	last := time.Time{}
	for {
		l.mu.Lock()
		ask, anew := l.core.Ask(l.now()), l.anew
		l.anew = false
		l.mu.Unlock()
		if anew {
			halt() // an owner asks from the beginning, for the whole list
		}
		switch {
		case ask && stop == nil:
			own, cancel := context.WithCancel(ctx)
			stop = cancel
			done := make(chan struct{})
			ended = done
			l.mu.Lock()
			l.Asks++
			why := "the owner's word is late"
			if l.core.Owner() {
				why = "owner"
			}
			l.mu.Unlock()
			l.log.Info("list", "step", "asks", "why", why)
			from := l.own(l)
			go func() {
				defer close(done)
				from.Run(own)
			}()
		case !ask && stop != nil:
			l.log.Info("list", "step", "relies", "owner", l.way.Owner(l.duty))
			halt()
		}
		if time.Since(last) >= beats {
			last = time.Now()
			l.mu.Lock()
			w, some := l.core.Beat(l.pool)
			l.mu.Unlock()
			if some {
				l.pass(w)
			}
		}
		select {
		case <-tick.C:
		case <-l.kick:
		case <-ctx.Done():
			return
		}
	}
}

func (l *List) wake() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Begin implements owner.Work, as does End.
func (l *List) Begin(t owner.Tenure) {
	l.mu.Lock()
	l.core.Owns(l.now(), t.Token, true)
	l.anew = true
	l.mu.Unlock()
	l.wake()
}

func (l *List) End(owner.Tenure) {
	l.mu.Lock()
	l.core.Owns(l.now(), 0, false)
	l.mu.Unlock()
	l.wake()
}

// Update implements lists.Sink for the source that asks discovery: what it tells this member goes to its own pool, and to all
// others if it asks for all.
func (l *List) Update(entries []roster.Entry[string], whole bool) {
	l.sink.Update(entries, whole)
	l.mu.Lock()
	var w Word
	own := l.core.Owner()
	if own {
		w, own = l.core.Told(l.pool, entries, whole)
	}
	l.mu.Unlock()
	if own {
		l.pass(w)
	}
}

// SourceLost and Follow implement lists.Sink.
func (l *List) SourceLost() {
	l.mu.Lock()
	l.core.Untold()
	l.mu.Unlock()
	l.sink.SourceLost()
}

func (l *List) Requested() <-chan struct{} { return l.sink.Requested() }

// pass sends a word to all who follow the pool. Danger: between the question and the sending the process may be held up; the
// token in the word is what makes that harmless.
func (l *List) pass(w Word) {
	token, may := l.owners.May(l.duty)
	if !may || token != w.Token {
		return
	}
	raw := pack.Pack(&w)
	for _, name := range l.way.Offering(l.pool) {
		l.way.Post(name, raw)
	}
}

// Heard takes an owner's word.
func (l *List) Heard(from string, w *Word) {
	if !l.owners.Pass(l.duty, w.Token) {
		return
	}
	l.mu.Lock()
	tell, whole, ask := l.core.Heard(l.now(), w, l.fenced)
	ask = ask && !l.pending
	l.pending = l.pending || ask
	if len(tell) > 0 || whole {
		l.sink.Update(tell, whole) // in the order in which they came
	}
	l.mu.Unlock()
	if ask {
		go l.fetch(from)
	}
}

// fetch has the whole list from the owner.
func (l *List) fetch(from string) {
	ctx, end := context.WithTimeout(context.Background(), takes)
	defer end()
	raw, err := l.way.Whole(ctx, from, l.pool)
	var w Word
	if err == nil {
		err = pack.Unpack(raw, &w)
	}
	l.mu.Lock()
	l.pending = false
	l.mu.Unlock()
	if err == nil && w.Token > 0 {
		l.Heard(from, &w)
	}
}

// Whole is the list as this member has it as its owner.
func (l *List) Whole() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	w, some := l.core.All(l.pool)
	if !some {
		return pack.Pack(&Word{Pool: l.pool})
	}
	return pack.Pack(&w)
}
