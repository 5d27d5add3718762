package ledger

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/cluster/keep"
	"ottershift/internal/cluster/pack"
)

// Faults of a claim.
var (
	ErrDown  = errors.New("the keepers are not reached")
	ErrOver  = errors.New("this run is over at the keepers")
	errShort = errors.New("an answer that doesn't fit its batch")
)

// Keepers is one group of them, as a client has it.
type Keepers interface {
	Do(ctx context.Context, x keep.Command) (keep.Result, error)
	ReadPart(ctx context.Context, part byte, body []byte, stale bool) ([]byte, error)
	Session() (epoch uint64, ok bool)
}

// Options say how a member claims.
type Options struct {
	Groups []Keepers
	Within time.Duration
	Lag    time.Duration
	Keys   int // remembered at most, over all groups
	Rules  Rules
	Log    *slog.Logger
}

// Ledger is a member's way to the ledger.
type Ledger struct {
	o      Options
	start  time.Time
	ctx    context.Context
	stop   context.CancelFunc
	all    sync.WaitGroup
	groups []*group
	rules  atomic.Pointer[Rules]

	Counts struct{ Claims, Granted, Bound, Held, Ran, Differs, Full, Failed, Waits, Deferred, Ends, Batches, Looks atomic.Int64 }
	mu     sync.Mutex
	took   time.Duration // slowest claim since it was asked
}

// group is one group of keepers with the runner of its flow.
type group struct {
	l      *Ledger
	k      Keepers
	kick   chan struct{}
	within atomic.Int64

	mu   sync.Mutex
	flow *Flow
	said bool // that it is down
}

// Begin starts it.
func Begin(o Options) *Ledger {
	l := &Ledger{o: o, start: time.Now()}
	l.ctx, l.stop = context.WithCancel(context.Background())
	l.rules.Store(&o.Rules)
	for _, k := range o.Groups {
		g := &group{l: l, k: k, kick: make(chan struct{}, 1), flow: NewFlow(o.Within, o.Lag, max(1, o.Keys/len(o.Groups)))}
		g.within.Store(int64(o.Within))
		l.groups = append(l.groups, g)
		l.all.Go(g.run)
	}
	return l
}

// Change puts other rules in force, for what comes from now on.
func (l *Ledger) Change(within, lag time.Duration, keys int, r Rules) {
	l.rules.Store(&r)
	for _, g := range l.groups {
		g.mu.Lock()
		g.flow.Within, g.flow.Lag, g.flow.Most = within, lag, max(1, keys/len(l.groups))
		g.mu.Unlock()
		g.within.Store(int64(within))
	}
}

// Flush tells all ends that wait, within a time.
func (l *Ledger) Flush(within time.Duration) {
	for until := time.Now().Add(within); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		left := 0
		for _, g := range l.groups {
			g.mu.Lock()
			claims, ends, batches := g.flow.Open()
			g.mu.Unlock()
			left += claims + ends + batches
		}
		if left == 0 {
			return
		}
	}
}

// Close ends it. What was not told is unknown to others.
func (l *Ledger) Close() {
	l.stop()
	l.all.Wait()
}

func (l *Ledger) now() int64 { return int64(time.Since(l.start)) }

func (l *Ledger) group(k Key) *group {
	return l.groups[binary.BigEndian.Uint32(k[:])%uint32(len(l.groups))]
}

func (g *group) wake() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// run sends what is due.
func (g *group) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		g.mu.Lock()
		now := g.l.now()
		s, at := g.flow.Next(now)
		probe := s == nil && g.flow.Probe(now)
		down := g.flow.Down(now)
		if down != g.said {
			g.said = down
			if down {
				g.l.o.Log.Warn("ledger", "step", "down", "fault", "keepers are not reached: what must not run twice is deferred")
			} else {
				g.l.o.Log.Info("ledger", "step", "back")
			}
		}
		if down {
			at = now + int64(probes)
		}
		g.mu.Unlock()
		if s != nil {
			g.l.all.Go(func() { g.send(s) })
			continue
		}
		if probe {
			g.l.all.Go(g.probe)
		}
		wait := time.Hour
		if at != 0 {
			wait = time.Duration(max(at-now, 0))
		}
		timer.Reset(wait)
		select {
		case <-g.kick:
		case <-timer.C:
		case <-g.l.ctx.Done():
			return
		}
	}
}

// send has a batch agreed on. It is tried for longer than a claim waits: what it holds of ends is to arrive.
func (g *group) send(s *Sent) {
	g.l.Counts.Batches.Add(1)
	ctx, end := context.WithTimeout(g.l.ctx, 2*time.Duration(g.within.Load()))
	defer end()
	a, err := g.k.Do(ctx, keep.Command{Kind: keep.PartCommand, Part: Part, Body: pack.Pack(&s.Batch)})
	var r Results
	if err == nil && a.Code != keep.CodeOK {
		err = fmt.Errorf("the keepers say: %s", a.Text())
	}
	if err == nil {
		err = pack.Unpack(a.Body, &r)
	}
	g.mu.Lock()
	g.flow.Answered(s, &r, err, errors.Is(err, keep.ErrSessionEnded), g.l.now())
	g.mu.Unlock()
	g.wake()
}

func (g *group) probe() {
	ctx, end := context.WithTimeout(g.l.ctx, time.Duration(g.within.Load()))
	defer end()
	_, err := g.look(ctx, Key{})
	g.mu.Lock()
	g.flow.Probed(err == nil)
	g.mu.Unlock()
	g.wake()
}

// look reads what is agreed on a key; nil for nothing.
func (g *group) look(ctx context.Context, k Key) (*Entry, error) {
	raw, err := g.k.ReadPart(ctx, Part, pack.Pack(&Query{What: "look", Key: k[:]}), false)
	if err != nil {
		return nil, err
	}
	var p Page
	if err := pack.Unpack(raw, &p); err != nil {
		return nil, err
	}
	if len(p.Entries) == 0 {
		return nil, nil
	}
	return &p.Entries[0], nil
}

// Claim is one transaction's, for as long as it is in hand. One goroutine at a time asks it to Take.
type Claim struct {
	l     *Ledger
	g     *group
	ask   Ask
	key   Key
	begun time.Time
	left  time.Duration

	mu     sync.Mutex
	epoch  uint64 // of the run that it was granted to, 0 before
	number uint64 // that it was granted by
	group  string
	known  *Entry // what the last refusal said
}

// Begin takes a transaction, which its client waits so long for.
func (l *Ledger) Begin(a Ask, left time.Duration) *Claim {
	if !l.rules.Load().SameBody {
		a.Body = 0
	}
	c := &Claim{l: l, ask: a, key: a.Key(), begun: time.Now(), left: left}
	c.g = l.group(c.key)
	return c
}

// reached reports whether it makes sense to ask keepers now.
func (g *group) reached() bool {
	if _, open := g.k.Session(); !open {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.flow.Down(g.l.now())
}

// Open says what the transaction may do before it is taken, or taken again after a refusal. It waits for another try's end
// where that is the rule.
func (c *Claim) Open(ctx context.Context) Word {
	if !c.g.reached() {
		c.l.Counts.Deferred.Add(1)
		return Word{Fate: Defer} // at once, and harmless: nothing of it has left
	}
	c.mu.Lock()
	known := c.known
	c.known = nil
	c.mu.Unlock()
	begun := time.Now()
	for first := true; ; first = false {
		if known == nil && (c.ask.Again || !first) {
			c.l.Counts.Looks.Add(1)
			once, end := context.WithTimeout(ctx, time.Duration(c.g.within.Load()))
			e, err := c.g.look(once, c.key)
			end()
			if err != nil {
				c.l.Counts.Deferred.Add(1)
				return Word{Fate: Defer}
			}
			known = e
		}
		w := Decide(&c.ask, known, *c.l.rules.Load(), time.Since(begun), c.left-time.Since(c.begun))
		switch w.Fate {
		case Defer:
			c.l.Counts.Deferred.Add(1)
		case Forfeit:
			c.l.Counts.Ran.Add(1)
		case Go:
			if w.Bound {
				c.l.Counts.Bound.Add(1)
			}
		}
		if w.Fate != Wait {
			return w
		}
		c.l.Counts.Waits.Add(1)
		known = nil
		select {
		case <-time.After(w.Pause):
		case <-ctx.Done():
			return Word{Fate: Defer}
		}
	}
}

// Take claims the transaction for a group, before a push leaves for one of its upstreams; moves says that no push of it has run. The push may
// leave only if there is no error. Granted once it holds for all pushes to that group, as long as this run does.
func (c *Claim) Take(ctx context.Context, to, upstream string, moves bool) error {
	c.mu.Lock()
	has, at, number := c.epoch, c.group, c.number
	c.mu.Unlock()
	epoch, open := c.g.k.Session()
	if !open || has != 0 && epoch != has {
		c.mu.Lock()
		if moves { // nothing of it has run, so it may be claimed anew
			c.epoch, c.number = 0, 0
		}
		c.mu.Unlock()
		return ErrOver // danger: what this run held may be another's by now
	}
	if has != 0 && at == to {
		return nil
	}
	begun := time.Now()
	got := make(chan struct{})
	var res Res
	var fault error
	a := &Asked{Op: Op{
		What: claim, Key: c.key[:], Number: number, Group: to, To: upstream, Moves: moves, Once: c.ask.Once, Pool: c.ask.Pool, Customer: c.ask.Customer,
		Tariff: c.ask.Tariff, Keep: int64(c.ask.Keep), ID: Clip(c.ask.ID), Body: c.ask.Body, Label: Clip(c.ask.Tag),
	}, Done: func(r Res, e error) { res, fault = r, e; close(got) }}
	c.l.Counts.Claims.Add(1)
	c.g.mu.Lock()
	if c.g.flow.Down(c.l.now()) {
		c.g.mu.Unlock()
		return ErrDown
	}
	c.g.flow.Claim(a)
	c.g.mu.Unlock()
	c.g.wake()
	timer := time.NewTimer(time.Duration(c.g.within.Load()))
	defer timer.Stop()
	var err error
	select {
	case <-got:
	case <-timer.C:
		err = ErrDown
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	c.g.mu.Lock()
	if a.gone { // its word is there, if only just
		err = fault
	} else {
		c.g.flow.Abandon(a)
	}
	c.g.mu.Unlock()
	if err != nil {
		c.l.Counts.Failed.Add(1)
		return err
	}
	c.l.mu.Lock()
	c.l.took = max(c.l.took, time.Since(begun))
	c.l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch res.Code {
	case Granted:
		// Danger: the run may have been ended while the word was on its way; then others go by what it was claimed for, and so
		// does a push to that group.
		c.l.Counts.Granted.Add(1)
		c.epoch, c.group, c.number = epoch, to, a.Op.Number
		return nil
	case Held:
		c.l.Counts.Held.Add(1)
	case Full:
		c.l.Counts.Full.Add(1)
	case Differs:
		c.l.Counts.Differs.Add(1)
	}
	c.known = res.Of()
	return &Refused{res.Code}
}

// Refused is a claim that was not granted.
type Refused struct{ Code byte }

func (r *Refused) Error() string { return "not granted: " + names[r.Code] }

const clipped = 32 // bytes of a key or id that are kept to be shown

// Clip is as much of a key or an id as is kept to be shown.
func Clip(text string) string { return text[:min(len(text), clipped)] }

// End says how a transaction ended; how is EndNever, EndAnswered or EndUnknown. It is told when it suits; lost on its way, it
// makes "unknown".
func (c *Claim) End(how byte) {
	c.mu.Lock()
	has, number := c.epoch, c.number
	c.epoch = 0
	c.mu.Unlock()
	if epoch, open := c.g.k.Session(); has == 0 || !open || epoch != has {
		return
	}
	c.l.Counts.Ends.Add(1)
	c.g.mu.Lock()
	c.g.flow.End(Op{What: end, Key: c.key[:], Number: number, How: how}, c.l.now())
	c.g.mu.Unlock()
	c.g.wake()
}

// Down reports whether any group of keepers is not reached.
func (l *Ledger) Down() bool {
	for _, g := range l.groups {
		if !g.reached() {
			return true
		}
	}
	return false
}

// Figures writes its figures, a line each.
func (l *Ledger) Figures(to io.Writer) {
	l.mu.Lock()
	took := l.took
	l.took = 0
	l.mu.Unlock()
	down := 0
	if l.Down() {
		down = 1
	}
	c := &l.Counts
	for _, f := range []struct {
		name string
		v    int64
	}{
		{"down", int64(down)}, {"claims", c.Claims.Load()}, {"granted", c.Granted.Load()}, {"held", c.Held.Load()}, {"bound", c.Bound.Load()},
		{"ran", c.Ran.Load()}, {"differs", c.Differs.Load()}, {"full", c.Full.Load()}, {"failed", c.Failed.Load()}, {"waits", c.Waits.Load()},
		{"deferred", c.Deferred.Load()}, {"looks", c.Looks.Load()}, {"ends", c.Ends.Load()}, {"batches", c.Batches.Load()},
		{"slowest_ms", took.Milliseconds()}, {"bound_within_ms", time.Duration(l.groups[0].within.Load()).Milliseconds()},
	} {
		fmt.Fprintf(to, "cluster_ledger_%s %d\n", f.name, f.v)
	}
}
