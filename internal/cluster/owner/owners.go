package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Work is a duty's work. Begin and End must return at once; between them the duty is owned, and each act shows its token.
// That is all that a later duty has to be:
//
//	owners.Do("sweep/album", work)
//	func (w *sweeper) Begin(t owner.Tenure) { w.kick <- t.Token }
//	func (w *sweeper) End(owner.Tenure)     { w.kick <- 0 }
//	... before each act: if token, ok := owners.May("sweep/album"); ok { act(token) }
//	... at whoever is acted on: if !fence.Pass("sweep/album", token) { refuse }
type Work interface {
	Begin(t Tenure)
	End(t Tenure)
}

// Keepers is what the runner needs of them.
type Keepers interface {
	Session() (epoch uint64, ok bool)
	Held(ctx context.Context) (map[string]Held, error)
	Take(ctx context.Context, duty string) (token uint64, taken bool, err error)
	Give(ctx context.Context, duty string, token uint64, to string) error
	Renew(ctx context.Context, tokens map[string]uint64) (map[string]uint64, error)
}

// Options say how a member takes part in duties.
type Options struct {
	Self    string
	Terms   Terms
	Seed    uint64
	Keepers Keepers
	Members func() (all []Member, willing bool)
	Fenced  bool
	Log     *slog.Logger
}

// Owners runs the core of one member.
type Owners struct {
	o     Options
	start time.Time
	ctx   context.Context
	end   context.CancelFunc
	all   sync.WaitGroup

	mu       sync.Mutex
	core     *Core
	work     map[string]Work
	todo     []func()
	kick     chan struct{}
	reading  bool
	renewing bool
	Fence    Fence // of what this member is acted on
}

// Begin takes part.
func Begin(o Options) *Owners {
	w := &Owners{o: o, start: time.Now(), work: map[string]Work{}, kick: make(chan struct{}, 1)}
	w.ctx, w.end = context.WithCancel(context.Background())
	w.core = NewCore(o.Self, o.Terms, o.Seed, (*does)(w))
	w.core.Fenced, w.Fence.Open = o.Fenced, !o.Fenced
	w.all.Go(w.run)
	return w
}

func (w *Owners) now() int64 { return int64(time.Since(w.start)) }

// Do has this member do a duty whenever it owns it.
func (w *Owners) Do(duty string, work Work) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.work[duty] = work
	w.core.Want(duty)
}

// Undo takes a duty away.
func (w *Owners) Undo(duty string) {
	w.mu.Lock()
	w.core.Unwant(duty)
	delete(w.work, duty)
	todo := w.take()
	w.mu.Unlock()
	run(todo)
}

// May reports whether this member may act on a duty right now, and by which token.
func (w *Owners) May(duty string) (token uint64, yes bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.May(w.now(), duty)
}

// Pass reports whether an act of another under a token may be done here.
func (w *Owners) Pass(duty string, token uint64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.Fence.Pass(duty, token)
}

// Stand is what this member knows of duties.
type Stand struct {
	Duty    string `json:"duty"`
	Owner   string `json:"owner"`
	Token   uint64 `json:"token"`
	Mine    bool   `json:"mine,omitempty"`
	May     bool   `json:"may,omitempty"`     // it would act now
	Left    int64  `json:"left_ms,omitempty"` // that this member may act without a renewal
	Highest uint64 `json:"highest"`           // token that was seen here
}

// Stands are all duties, by name, and how many acts of old owners were refused here.
func (w *Owners) Stands() (all []Stand, refused int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, name := range w.core.names {
		x := w.core.duties[name]
		s := Stand{Duty: name, Owner: x.held.Owner, Token: x.held.Token, Mine: x.own, Highest: w.Fence.Highest(name)}
		if x.own {
			s.Left = max(0, x.until-w.now()) / int64(time.Millisecond)
			s.Token, s.May = w.core.May(w.now(), name)
		}
		all = append(all, s)
	}
	return all, w.Fence.Refused
}

// Close lets go of what is owned and ends it.
func (w *Owners) Close() {
	w.mu.Lock()
	w.core.Members(w.core.members, false)
	w.core.Tick(w.now())
	todo := w.take()
	w.mu.Unlock()
	run(todo)
	w.end()
	w.all.Wait()
}

func (w *Owners) take() []func() {
	todo := w.todo
	w.todo = nil
	return todo
}

func run(todo []func()) {
	for _, f := range todo {
		f()
	}
}

func (w *Owners) run() {
	every := max(w.o.Terms.Renew/5, 10*time.Millisecond)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for n := 0; ; n++ {
		all, willing := w.o.Members()
		epoch, ok := w.o.Keepers.Session()
		w.mu.Lock()
		if !ok {
			epoch = 0
		}
		w.core.Session(epoch)
		w.core.Members(all, willing && ok)
		if ok && !w.reading && n%3 == 0 {
			w.reading = true
			w.all.Go(w.look)
		}
		w.core.Tick(w.now())
		todo := w.take()
		w.mu.Unlock()
		run(todo)
		select {
		case <-tick.C:
		case <-w.kick:
		case <-w.ctx.Done():
			return
		}
	}
}

func (w *Owners) look() {
	ctx, end := context.WithTimeout(w.ctx, w.o.Terms.Renew)
	defer end()
	held, err := w.o.Keepers.Held(ctx)
	w.back(func() {
		if w.reading = false; err == nil {
			w.core.Held(w.now(), held)
		}
	})
}

// back takes an answer, and does what follows from it.
func (w *Owners) back(f func()) {
	w.mu.Lock()
	f()
	todo := w.take()
	w.mu.Unlock()
	run(todo)
}

// does has done what the core decides: asks in the background, work told in order.
type does Owners

func (d *does) Take(duty string) {
	w := (*Owners)(d)
	asked := w.now()
	w.all.Go(func() {
		ctx, end := context.WithTimeout(w.ctx, w.o.Terms.Renew)
		defer end()
		token, taken, err := w.o.Keepers.Take(ctx, duty)
		if err == nil && taken {
			w.o.Log.Info("owner", "step", "taken", "duty", duty, "token", token)
			w.back(func() { w.core.Taken(asked, w.now(), duty, token) })
		}
	})
}

func (d *does) Renew(tokens map[string]uint64) {
	w := (*Owners)(d)
	if w.renewing {
		return
	}
	w.renewing = true
	asked := w.now()
	w.all.Go(func() {
		ctx, end := context.WithTimeout(w.ctx, w.o.Terms.Lease)
		defer end()
		stand, err := w.o.Keepers.Renew(ctx, tokens)
		w.back(func() {
			if w.renewing = false; err == nil {
				w.core.Renewed(asked, w.now(), stand)
			}
		})
	})
}

func (d *does) Give(duty string, token uint64, to string) {
	w := (*Owners)(d)
	w.o.Log.Info("owner", "step", "given", "duty", duty, "token", token, "to", to)
	// Danger: at the end of a process this has to leave before it ends.
	w.todo = append(w.todo, func() {
		ctx, end := context.WithTimeout(context.Background(), w.o.Terms.Renew)
		defer end()
		if w.ctx.Err() == nil {
			w.o.Keepers.Give(ctx, duty, token, to)
		}
	})
}

func (d *does) Begin(t Tenure) {
	w := (*Owners)(d)
	w.o.Log.Info("owner", "step", "begins", "duty", t.Duty, "token", t.Token)
	if x := w.work[t.Duty]; x != nil {
		w.todo = append(w.todo, func() { x.Begin(t) })
	}
}

func (d *does) End(t Tenure) {
	w := (*Owners)(d)
	w.o.Log.Info("owner", "step", "ends", "duty", t.Duty, "token", t.Token)
	if x := w.work[t.Duty]; x != nil {
		w.todo = append(w.todo, func() { x.End(t) })
	}
}
