package comb

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"ottershift/internal/hive/buzz"
	"ottershift/internal/hive/hum"
	"ottershift/internal/hive/propolis"
	"ottershift/internal/hive/sting"
	"ottershift/internal/hive/swarm"
)

const (
	stepWithin = 900 * time.Millisecond // for one step of an attempt at one member; a disk may take its time
	lookWithin = 400 * time.Millisecond
	fresh      = time.Duration(propolis.Fresh) // for which a majority's word that this copy is current holds
)

// disk is where a copy is kept: wax, or what a test sets in its place.
type disk interface{ Keep(*swarm.Copy) error }

// keeper owns this process's copy and carries out attempts at changes. Danger: a disk may hang for seconds, so looks
// and everything else that needs no sync go past it: written guards the order on disk, mu only the memory.
type keeper struct {
	disk   disk
	caller *buzz.Caller
	counts *hum.Counters
	self   string // inner address
	by     string // this life, as ballots name it

	written sync.Mutex
	mu      sync.Mutex
	copy    swarm.Copy
	round   uint64
	news    chan struct{} // closed when something is decided

	calmed    atomic.Int64 // the same where nothing stood accepted beyond it either: nothing had been decided that is not known here
	confirmed atomic.Int64 // when a majority was asked that said that this copy is current, in steady nanoseconds
	epoch     time.Time
	changing  sync.Mutex // one attempt at a time from here
}

func newKeeper(c *swarm.Copy, d disk, caller *buzz.Caller, counts *hum.Counters, self, by string) *keeper {
	k := &keeper{disk: d, caller: caller, counts: counts, self: self, by: by, copy: *c, news: make(chan struct{}), epoch: time.Now()}
	k.confirmed.Store(-int64(time.Hour))
	k.calmed.Store(-int64(time.Hour))
	return k
}

// state is what is decided as far as this copy knows, and a channel that ends when there is more.
func (k *keeper) state() (*swarm.State, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.copy.Decided, k.news
}

func (k *keeper) id() string { return k.copy.ID }

// handle answers another process's ask, after the sync that it needs.
func (k *keeper) handle(_ context.Context, a *swarm.Ask) (*swarm.Answer, error) {
	if a.Kind == swarm.Look {
		k.mu.Lock()
		defer k.mu.Unlock()
		out, _ := k.copy.Handle(*a)
		return &out, nil
	}
	if a.Kind == swarm.Learn { // Danger: behind a disk that hangs, news would wait for nothing
		k.mu.Lock()
		out, keep := k.copy.Handle(*a)
		if keep {
			close(k.news)
			k.news = make(chan struct{})
		}
		k.mu.Unlock()
		if !keep {
			return &out, nil
		}
	}
	k.written.Lock()
	defer k.written.Unlock()
	k.mu.Lock()
	out, keep := k.copy.Handle(*a)
	now := k.copy
	k.mu.Unlock()
	if keep || a.Kind == swarm.Learn {
		if err := k.disk.Keep(&now); err != nil {
			k.counts.Add("disk_refused")
			return nil, err
		}
		k.counts.Add("syncs")
	}
	return &out, nil
}

// ask puts the same question to all members of a core; the answers come as they do, nil for none.
func (k *keeper) ask(ctx context.Context, of *swarm.State, a swarm.Ask, within time.Duration) <-chan *swarm.Answer {
	ctx, end := context.WithTimeout(ctx, within)
	answers := make(chan *swarm.Answer, len(of.Core))
	var wait sync.WaitGroup
	for _, m := range of.Core {
		wait.Add(1)
		go func() {
			defer wait.Done()
			answers <- k.one(ctx, m.At, a)
		}()
	}
	go func() { wait.Wait(); end() }() // the slower ones go on: what they keep counts too
	return answers
}

func (k *keeper) one(ctx context.Context, at string, a swarm.Ask) *swarm.Answer {
	if at == k.self {
		answer, err := k.handle(ctx, &a)
		if err != nil {
			return nil
		}
		return answer
	}
	answer := &swarm.Answer{}
	if err := k.caller.Call(ctx, at, "/hive/swarm", a, answer); err != nil {
		return nil
	}
	return answer
}

// learn takes what is known to be decided.
func (k *keeper) learn(s *swarm.State) {
	k.handle(context.Background(), &swarm.Ask{Kind: swarm.Learn, Value: s})
}

// tell has others learn it; who doesn't hear finds out by its own looks.
func (k *keeper) tell(s *swarm.State, also []string) (wait func()) {
	ctx, end := context.WithTimeout(context.Background(), stepWithin)
	var all sync.WaitGroup
	seen := map[string]bool{k.self: true}
	for _, m := range s.Core {
		also = append(also, m.At)
	}
	for _, at := range also {
		if !seen[at] {
			seen[at] = true
			all.Add(1)
			go func() {
				defer all.Done()
				k.one(ctx, at, swarm.Ask{Kind: swarm.Learn, Value: s})
			}()
		}
	}
	go func() { all.Wait(); end() }()
	return all.Wait
}

// look asks the core where it stands, mends this copy if it is old, and reports whether it is current and whether
// something is accepted that nobody has been seen to decide.
func (k *keeper) look(ctx context.Context) (s *swarm.State, current, pending bool) {
	asked := time.Since(k.epoch)
	s, _ = k.state()
	reading, ask := swarm.Read(s)
	answers := k.ask(ctx, s, ask, lookWithin)
	for range s.Core {
		if answer := <-answers; answer != nil && reading.Take(*answer) {
			break
		}
	}
	if ahead := reading.Ahead(); ahead != nil {
		k.counts.Add("copies_mended")
		k.learn(ahead)
	}
	if !reading.Current() {
		return s, false, false
	}
	k.confirmed.Store(int64(asked))
	if reading.Newest() {
		k.calmed.Store(int64(asked))
	}
	return s, true, reading.Pending()
}

// current reports whether a majority has said of late that this copy is.
func (k *keeper) current() bool {
	return time.Since(k.epoch)-time.Duration(k.confirmed.Load()) < fresh
}

// calm reports whether a majority has said of late that nothing beyond this copy is decided, or could be. Danger: a copy is
// current in the eyes of a majority that has accepted what comes after it and not heard yet that it is decided.
func (k *keeper) calm() bool {
	return time.Since(k.epoch)-time.Duration(k.calmed.Load()) < fresh
}

// change has the core agree on what a function makes of the newest state. The function may be called several times, each
// time with what is the newest beyond doubt; an error of it ends the change. A nil state asks for nothing but that it is
// the newest.
func (k *keeper) change(ctx context.Context, also func() []string, what func(*swarm.State) (*swarm.State, error)) (*swarm.State, error) {
	k.changing.Lock()
	defer k.changing.Unlock()
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if attempt > 0 { // Danger: two that go on at the same pace overtake one another for ever
			pause := time.Duration(1+attempt*7%20)*time.Millisecond + time.Duration(len(k.by)%7+int(k.by[len(k.by)-1])%13)*time.Millisecond
			select {
			case <-time.After(pause):
			case <-ctx.Done():
			}
		}
		s, _ := k.state()
		k.mu.Lock()
		k.round = max(k.round, k.copy.Promised.Round) + 1
		p, ask := swarm.Propose(s, swarm.Ballot{Round: k.round, By: k.by}, what)
		k.mu.Unlock()
		step := k.attempt(ctx, s, p, ask)
		k.mu.Lock()
		k.round = max(k.round, p.Round)
		k.mu.Unlock()
		switch step {
		case swarm.Ended:
			return p.State, p.Err
		case swarm.Ahead:
			k.learn(p.State)
		case swarm.Old: // members that have not heard of the last decision
			k.tell(s, nil)()
		case swarm.Decided:
			k.counts.Add("decided")
			go k.learn(p.State)
			told := k.tell(p.State, also())
			if !sameCore(s, p.State) {
				told() // Danger: a new core must hold what it begins with before the old one's disks may go
			}
			if p.Own {
				return p.State, nil
			}
			k.waitFor(ctx, p.State.Index)
		}
	}
	return nil, sting.New(sting.Unclear, "no majority of the core has agreed in time")
}

// attempt carries one proposal to its last step, or to Wait where answers stay away.
func (k *keeper) attempt(ctx context.Context, s *swarm.State, p *swarm.Proposal, ask swarm.Ask) (step swarm.Step) {
	for step = swarm.Send; step == swarm.Send; {
		answers := k.ask(ctx, s, ask, stepWithin)
		step = swarm.Wait
		for n := 0; n < len(s.Core) && step == swarm.Wait; n++ {
			select {
			case answer := <-answers:
				if answer != nil {
					step = p.Take(*answer)
				}
			case <-ctx.Done():
				return swarm.Wait
			}
		}
		ask = p.Ask()
	}
	return step
}

// waitFor waits until this copy knows a decision that is on its way to it.
func (k *keeper) waitFor(ctx context.Context, index uint64) {
	for {
		s, more := k.state()
		if s.Index >= index {
			return
		}
		select {
		case <-more:
		case <-ctx.Done():
			return
		}
	}
}

func sameCore(a, b *swarm.State) bool {
	x, _ := json.Marshal(a.Core)
	y, _ := json.Marshal(b.Core)
	return string(x) == string(y)
}

// newest is the newest state beyond doubt: a majority says that nothing came after it, or it is made sure of.
func (k *keeper) newest(ctx context.Context, also func() []string) (*swarm.State, error) {
	for range 2 {
		if s, current, pending := k.look(ctx); current && !pending {
			return s, nil
		}
	}
	k.counts.Add("reads_settled")
	return k.change(ctx, also, func(*swarm.State) (*swarm.State, error) { return nil, nil })
}
