package owner

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Work is the work of a duty. Begin and End must return at once; between them the duty is owned, and each action
// carries its token. A new duty is added like this:
//
//	manager.AddDuty("sweep/album", sweeper)
//	func (s *sweeper) Begin(lease owner.Lease) { s.tokens <- lease.Token }
//	func (s *sweeper) End(owner.Lease)         { s.tokens <- 0 }
//	... before each action: if token, ok := manager.MayAct("sweep/album"); ok { act(token) }
//	... on the receiving member: if !fence.Admit("sweep/album", token) { refuse }
type Work interface {
	Begin(lease Lease)
	End(lease Lease)
}

// LeaseStore is the replicated store of duties: who owns which one, under which token.
type LeaseStore interface {
	Session() (epoch uint64, ok bool)
	Held(ctx context.Context) (map[string]DutyState, error)
	Take(ctx context.Context, duty string) (token uint64, taken bool, err error)
	Give(ctx context.Context, duty string, token uint64, to string) error
	Renew(ctx context.Context, tokens map[string]uint64) (map[string]uint64, error)
}

// Options configure a Manager.
type Options struct {
	Self    string
	Timing  Timing
	Seed    uint64
	Store   LeaseStore
	Members func() (all []Member, willing bool)
	Fenced  bool // enforce lease expiry and fencing; false only in fault-injection tests
	Log     *slog.Logger
}

// Manager runs the Core of one member.
type Manager struct {
	options    Options
	startedAt  time.Time
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	mu        sync.Mutex
	core      *Core
	work      map[string]Work
	callbacks []func() // to run in order once mu is released
	wakeUp    chan struct{}
	reading   bool
	renewing  bool
	Fence     Fence // for actions of other members on this one
}

// Start starts a Manager.
func Start(options Options) *Manager {
	mgr := &Manager{options: options, startedAt: time.Now(), work: map[string]Work{}, wakeUp: make(chan struct{}, 1)}
	mgr.ctx, mgr.cancel = context.WithCancel(context.Background())
	mgr.core = NewCore(options.Self, options.Timing, options.Seed, (*managerActions)(mgr))
	mgr.core.EnforceExpiry, mgr.Fence.Disabled = options.Fenced, !options.Fenced
	mgr.goroutines.Go(mgr.run)
	return mgr
}

// now returns the nanoseconds since the start of the manager.
func (mgr *Manager) now() int64 { return int64(time.Since(mgr.startedAt)) }

// AddDuty adds a duty that this member may own, with the work to do while it does.
func (mgr *Manager) AddDuty(duty string, work Work) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.work[duty] = work
	mgr.core.AddDuty(duty)
}

// RemoveDuty removes a duty, releasing it if it is owned.
func (mgr *Manager) RemoveDuty(duty string) {
	mgr.mu.Lock()
	mgr.core.RemoveDuty(duty)
	delete(mgr.work, duty)
	callbacks := mgr.takeCallbacks()
	mgr.mu.Unlock()
	runAll(callbacks)
}

// MayAct reports whether this member may act on a duty now, and with which token.
func (mgr *Manager) MayAct(duty string) (token uint64, ok bool) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.core.MayAct(mgr.now(), duty)
}

// Admit reports whether an action of another member with a token may be carried out here.
func (mgr *Manager) Admit(duty string, token uint64) bool {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	return mgr.Fence.Admit(duty, token)
}

// DutyStatus is what this member knows about a duty.
type DutyStatus struct {
	Duty         string `json:"duty"`
	Owner        string `json:"owner"`
	Token        uint64 `json:"token"`
	Owned        bool   `json:"mine,omitempty"`
	MayAct       bool   `json:"may,omitempty"`     // this member may act now
	RemainingMS  int64  `json:"left_ms,omitempty"` // time that this member may act without a renewal
	HighestToken uint64 `json:"highest"`           // highest token seen by the fence of this member
}

// Statuses returns the status of all duties, ordered by name, and the number of actions of former owners refused here.
func (mgr *Manager) Statuses() (statuses []DutyStatus, refused int64) {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	for _, name := range mgr.core.names {
		d := mgr.core.duties[name]
		status := DutyStatus{Duty: name, Owner: d.state.Owner, Token: d.state.Token, Owned: d.owned,
			HighestToken: mgr.Fence.Highest(name)}
		if d.owned {
			status.RemainingMS = max(0, d.expiresAt-mgr.now()) / int64(time.Millisecond)
			status.Token, status.MayAct = mgr.core.MayAct(mgr.now(), name)
		}
		statuses = append(statuses, status)
	}
	return statuses, mgr.Fence.Refused
}

// Close releases all owned duties and stops the manager.
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

// takeCallbacks returns the pending callbacks and clears them.
func (mgr *Manager) takeCallbacks() []func() {
	callbacks := mgr.callbacks
	mgr.callbacks = nil
	return callbacks
}

// runAll runs callbacks in order.
func runAll(callbacks []func()) {
	for _, callback := range callbacks {
		callback()
	}
}

// run drives the core until the manager is closed.
func (mgr *Manager) run() {
	every := max(mgr.options.Timing.RenewInterval/5, 10*time.Millisecond)
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
		case <-mgr.wakeUp:
		case <-mgr.ctx.Done():
			return
		}
	}
}

// readStates reads the state of all duties from the lease store.
func (mgr *Manager) readStates() {
	ctx, cancel := context.WithTimeout(mgr.ctx, mgr.options.Timing.RenewInterval)
	defer cancel()
	states, err := mgr.options.Store.Held(ctx)
	mgr.applyResponse(func() {
		if mgr.reading = false; err == nil {
			mgr.core.ObserveStates(mgr.now(), states)
		}
	})
}

// applyResponse passes a response to the core and runs the callbacks that result.
func (mgr *Manager) applyResponse(apply func()) {
	mgr.mu.Lock()
	apply()
	callbacks := mgr.takeCallbacks()
	mgr.mu.Unlock()
	runAll(callbacks)
}

// managerActions implements Actions. Requests to the lease store run in the background, calls of Work in order.
type managerActions Manager

// Acquire implements Actions, as do the methods below.
func (actions *managerActions) Acquire(duty string) {
	mgr := (*Manager)(actions)
	requestedAt := mgr.now()
	mgr.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(mgr.ctx, mgr.options.Timing.RenewInterval)
		defer cancel()
		token, taken, err := mgr.options.Store.Take(ctx, duty)
		if err == nil && taken {
			mgr.options.Log.Info("owner", "step", "taken", "duty", duty, "token", token)
			mgr.applyResponse(func() { mgr.core.HandleAcquired(requestedAt, mgr.now(), duty, token) })
		}
	})
}

func (actions *managerActions) Renew(tokens map[string]uint64) {
	mgr := (*Manager)(actions)
	if mgr.renewing {
		return
	}
	mgr.renewing = true
	requestedAt := mgr.now()
	mgr.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(mgr.ctx, mgr.options.Timing.Lease)
		defer cancel()
		renewed, err := mgr.options.Store.Renew(ctx, tokens)
		mgr.applyResponse(func() {
			if mgr.renewing = false; err == nil {
				mgr.core.HandleRenewed(requestedAt, mgr.now(), renewed)
			}
		})
	})
}

func (actions *managerActions) Release(duty string, token uint64, to string) {
	mgr := (*Manager)(actions)
	mgr.options.Log.Info("owner", "step", "given", "duty", duty, "token", token, "to", to)
	// This runs in the caller and not in the background, so that the release is sent before the process exits.
	mgr.callbacks = append(mgr.callbacks, func() {
		ctx, cancel := context.WithTimeout(context.Background(), mgr.options.Timing.RenewInterval)
		defer cancel()
		if mgr.ctx.Err() == nil {
			mgr.options.Store.Give(ctx, duty, token, to)
		}
	})
}

func (actions *managerActions) BeginWork(lease Lease) {
	mgr := (*Manager)(actions)
	mgr.options.Log.Info("owner", "step", "begins", "duty", lease.Duty, "token", lease.Token)
	if work := mgr.work[lease.Duty]; work != nil {
		mgr.callbacks = append(mgr.callbacks, func() { work.Begin(lease) })
	}
}

func (actions *managerActions) EndWork(lease Lease) {
	mgr := (*Manager)(actions)
	mgr.options.Log.Info("owner", "step", "ends", "duty", lease.Duty, "token", lease.Token)
	if work := mgr.work[lease.Duty]; work != nil {
		mgr.callbacks = append(mgr.callbacks, func() { work.End(lease) })
	}
}
