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
	Begin(t Lease)
	End(t Lease)
}

// LeaseStore is what the runner needs of them.
type LeaseStore interface {
	Session() (epoch uint64, ok bool)
	Held(ctx context.Context) (map[string]DutyState, error)
	Take(ctx context.Context, duty string) (token uint64, taken bool, err error)
	Give(ctx context.Context, duty string, token uint64, to string) error
	Renew(ctx context.Context, tokens map[string]uint64) (map[string]uint64, error)
}

// Options say how a member takes part in duties.
type Options struct {
	Self    string
	Terms   Timing
	Seed    uint64
	Store   LeaseStore
	Members func() (all []Member, willing bool)
	Fenced  bool
	Log     *slog.Logger
}

// Manager runs the core of one member.
type Manager struct {
	options    Options
	startedAt  time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu        sync.Mutex
	core      *Core
	work      map[string]Work
	callbacks []func()
	wakeups   chan struct{}
	reading   bool
	renewing  bool
	Fence     Fence // of what this member is acted on
}

// Start takes part.
func Start(options Options) *Manager {
	mgr := &Manager{options: options, startedAt: time.Now(), work: map[string]Work{}, wakeups: make(chan struct{}, 1)}
	mgr.ctx, mgr.cancel = context.WithCancel(context.Background())
	mgr.core = NewCore(options.Self, options.Terms, options.Seed, (*runnerActions)(mgr))
	mgr.core.EnforceExpiry, mgr.Fence.Disabled = options.Fenced, !options.Fenced
	mgr.goroutines.Go(mgr.run)
	return mgr
}

func (mgr *Manager) now() int64 { return int64(time.Since(mgr.startedAt)) }

// AddDuty has this member do a duty whenever it owns it.
func (mgr *Manager) AddDuty(duty string, work Work) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.work[duty] = work
	mgr.core.AddDuty(duty)
}

// RemoveDuty takes a duty away.
func (mgr *Manager) RemoveDuty(duty string) {
	mgr.mu.Lock()
	mgr.core.RemoveDuty(duty)
	delete(mgr.work, duty)
	callbacks := mgr.takeCallbacks()
	mgr.mu.Unlock()
	runAll(callbacks)
}

// MayAct reports whether this member may act on a duty right now, and by which token.
func (mgr *Manager) MayAct(duty string) (token uint64, ok bool) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.core.MayAct(mgr.now(), duty)
}

// Admit reports whether an act of another under a token may be done here.
func (mgr *Manager) Admit(duty string, token uint64) bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.Fence.Admit(duty, token)
}

// DutyStatus is what this member knows of duties.
type DutyStatus struct {
	Duty         string `json:"duty"`
	Owner        string `json:"owner"`
	Token        uint64 `json:"token"`
	Owned        bool   `json:"mine,omitempty"`
	MayAct       bool   `json:"may,omitempty"`     // it would act now
	RemainingMS  int64  `json:"left_ms,omitempty"` // that this member may act without a renewal
	HighestToken uint64 `json:"highest"`           // token that was seen here
}

// Statuses are all duties, by name, and how many acts of old owners were refused here.
func (mgr *Manager) Statuses() (all []DutyStatus, refused int64) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	for _, name := range mgr.core.names {
		d := mgr.core.duties[name]
		status := DutyStatus{Duty: name, Owner: d.state.Owner, Token: d.state.Token, Owned: d.owned, HighestToken: mgr.Fence.Highest(name)}
		if d.owned {
			status.RemainingMS = max(0, d.expiresAt-mgr.now()) / int64(time.Millisecond)
			status.Token, status.MayAct = mgr.core.MayAct(mgr.now(), name)
		}
		all = append(all, status)
	}
	return all, mgr.Fence.Refused
}

// Close lets go of what is owned and ends it.
func (mgr *Manager) Close() {
	mgr.mu.Lock()
	mgr.core.SetMembers(mgr.core.members, false)
	mgr.core.Tick(mgr.now())
	callbacks := mgr.takeCallbacks()
	mgr.mu.Unlock()
	runAll(callbacks)
	mgr.cancel()
	mgr.goroutines.Wait()
}

func (mgr *Manager) takeCallbacks() []func() {
	callbacks := mgr.callbacks
	mgr.callbacks = nil
	return callbacks
}

func runAll(callbacks []func()) {
	for _, callback := range callbacks {
		callback()
	}
}

func (mgr *Manager) run() {
	every := max(mgr.options.Terms.RenewInterval/5, 10*time.Millisecond)
	tick := time.NewTicker(every)
	defer tick.Stop()
	for n := 0; ; n++ {
		members, willing := mgr.options.Members()
		epoch, ok := mgr.options.Store.Session()
		mgr.mu.Lock()
		if !ok {
			epoch = 0
		}
		mgr.core.SetSession(epoch)
		mgr.core.SetMembers(members, willing && ok)
		if ok && !mgr.reading && n%3 == 0 {
			mgr.reading = true
			mgr.goroutines.Go(mgr.readStates)
		}
		mgr.core.Tick(mgr.now())
		callbacks := mgr.takeCallbacks()
		mgr.mu.Unlock()
		runAll(callbacks)
		select {
		case <-tick.C:
		case <-mgr.wakeups:
		case <-mgr.ctx.Done():
			return
		}
	}
}

func (mgr *Manager) readStates() {
	ctx, cancel := context.WithTimeout(mgr.ctx, mgr.options.Terms.RenewInterval)
	defer cancel()
	states, err := mgr.options.Store.Held(ctx)
	mgr.applyResponse(func() {
		if mgr.reading = false; err == nil {
			mgr.core.ObserveStates(mgr.now(), states)
		}
	})
}

// applyResponse takes an answer, and does what follows from it.
func (mgr *Manager) applyResponse(apply func()) {
	mgr.mu.Lock()
	apply()
	callbacks := mgr.takeCallbacks()
	mgr.mu.Unlock()
	runAll(callbacks)
}

// runnerActions has done what the core decides: asks in the background, work told in order.
type runnerActions Manager

func (actions *runnerActions) Acquire(duty string) {
	mgr := (*Manager)(actions)
	requestedAt := mgr.now()
	mgr.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(mgr.ctx, mgr.options.Terms.RenewInterval)
		defer cancel()
		token, taken, err := mgr.options.Store.Take(ctx, duty)
		if err == nil && taken {
			mgr.options.Log.Info("owner", "step", "taken", "duty", duty, "token", token)
			mgr.applyResponse(func() { mgr.core.HandleAcquired(requestedAt, mgr.now(), duty, token) })
		}
	})
}

func (actions *runnerActions) Renew(tokens map[string]uint64) {
	mgr := (*Manager)(actions)
	if mgr.renewing {
		return
	}
	mgr.renewing = true
	requestedAt := mgr.now()
	mgr.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(mgr.ctx, mgr.options.Terms.Lease)
		defer cancel()
		renewed, err := mgr.options.Store.Renew(ctx, tokens)
		mgr.applyResponse(func() {
			if mgr.renewing = false; err == nil {
				mgr.core.HandleRenewed(requestedAt, mgr.now(), renewed)
			}
		})
	})
}

func (actions *runnerActions) Release(duty string, token uint64, to string) {
	mgr := (*Manager)(actions)
	mgr.options.Log.Info("owner", "step", "given", "duty", duty, "token", token, "to", to)
	// Danger: at the end of a process this has to leave before it ends.
	mgr.callbacks = append(mgr.callbacks, func() {
		ctx, cancel := context.WithTimeout(context.Background(), mgr.options.Terms.RenewInterval)
		defer cancel()
		if mgr.ctx.Err() == nil {
			mgr.options.Store.Give(ctx, duty, token, to)
		}
	})
}

func (actions *runnerActions) BeginWork(lease Lease) {
	mgr := (*Manager)(actions)
	mgr.options.Log.Info("owner", "step", "begins", "duty", lease.Duty, "token", lease.Token)
	if work := mgr.work[lease.Duty]; work != nil {
		mgr.callbacks = append(mgr.callbacks, func() { work.Begin(lease) })
	}
}

func (actions *runnerActions) EndWork(lease Lease) {
	mgr := (*Manager)(actions)
	mgr.options.Log.Info("owner", "step", "ends", "duty", lease.Duty, "token", lease.Token)
	if work := mgr.work[lease.Duty]; work != nil {
		mgr.callbacks = append(mgr.callbacks, func() { work.End(lease) })
	}
}
