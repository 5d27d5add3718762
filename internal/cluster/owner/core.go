// Package owner assigns duties, tasks with one owner at a time, by leases and fencing tokens. Core decides which duties
// to acquire, when to renew them and when to stop acting, without I/O and without reading a clock. Fence refuses
// actions of former owners; it is kept by the member on which an owner acts. Manager runs a Core against the lease
// store.
package owner

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Lease is the lease of a duty. The owner sends its fencing token with each action; the receiver refuses a token lower
// than the highest one it has seen.
type Lease struct {
	Duty      string
	Token     uint64
	ExpiresAt int64 // in nanoseconds on the owner's clock; the owner stops acting then unless the lease was renewed
}

// DutyState is the state of a duty in the lease store.
type DutyState struct {
	Token uint64
	Owner string // "" for none
	Epoch uint64 // epoch of the owner's session
}

// Member is a member that may own duties.
type Member struct{ Name string }

// Actions carries out what a Core decides. Its methods must not block.
type Actions interface {
	Acquire(duty string)
	Renew(tokens map[string]uint64)               // of all owned duties
	Release(duty string, token uint64, to string) // to is the proposed next owner, "" for any
	BeginWork(lease Lease)                        // the owner may act from now on
	EndWork(lease Lease)                          // the owner must not act any more
}

// Timing holds the lease duration and the intervals derived from it.
type Timing struct {
	Lease           time.Duration // counted from the time of the request
	RenewInterval   time.Duration // between renewals
	RankDelay       time.Duration // extra wait per rank before a less preferred member acquires a free duty
	BalanceInterval time.Duration // between duties that are handed to members that own fewer
}

// TimingFor returns the default timing for a lease duration.
func TimingFor(lease time.Duration) Timing {
	return Timing{Lease: lease, RenewInterval: lease / 4, RankDelay: lease / 10, BalanceInterval: 2 * lease}
}

// duty is one member's view of a duty.
type duty struct {
	name        string
	state       DutyState
	known       bool  // state has been read
	freeSince   int64 // time since which it has been seen without an owner, 0 while it has one
	requestedAt int64 // time of the last attempt to acquire it
	owned       bool
	token       uint64
	expiresAt   int64
	acting      bool
}

// Core is one member's view of duties.
type Core struct {
	self          string
	epoch         uint64
	timing        Timing
	actions       Actions
	rng           *rand.Rand
	duties        map[string]*duty
	names         []string
	members       []Member
	released      map[string]uint64 // highest token that this run has released, by duty
	willing       bool              // to own duties
	renewedAt     int64
	balancedAt    int64
	EnforceExpiry bool // stop acting when the lease expires; false only in fault-injection tests
}

// NewCore returns the Core for one run of a member.
func NewCore(self string, timing Timing, seed uint64, actions Actions) *Core {
	return &Core{self: self, timing: timing, actions: actions, rng: rand.New(rand.NewPCG(seed, 0x44)),
		duties: map[string]*duty{}, released: map[string]uint64{}, EnforceExpiry: true}
}

// AddDuty adds a duty that this member may own.
func (core *Core) AddDuty(name string) {
	if core.duties[name] == nil {
		core.duties[name] = &duty{name: name}
		core.names = append(core.names, name)
		slices.Sort(core.names)
	}
}

// RemoveDuty removes a duty, releasing it if it is owned.
func (core *Core) RemoveDuty(name string) {
	removed := core.duties[name]
	if removed == nil {
		return
	}
	core.stopActing(removed)
	if removed.owned {
		core.release(name, removed.token, "")
	}
	delete(core.duties, name)
	core.names = slices.DeleteFunc(core.names, func(n string) bool { return n == name })
}

// SetSession sets the epoch of the session with the lease store. Ownership under another epoch ends.
func (core *Core) SetSession(epoch uint64) {
	if epoch == core.epoch {
		return
	}
	core.epoch = epoch
	for _, name := range core.names {
		core.dropOwnership(core.duties[name])
	}
}

// SetMembers sets the members that may own duties, and whether this member is willing to own any.
func (core *Core) SetMembers(members []Member, willing bool) {
	core.members, core.willing = members, willing
}

// ObserveStates processes the state of all duties, as returned by a linearizable read.
func (core *Core) ObserveStates(now int64, states map[string]DutyState) {
	for _, name := range core.names {
		d := core.duties[name]
		state := states[name]
		if d.known && state.Token < d.state.Token {
			continue // outdated response
		}
		d.state, d.known = state, true
		if state.Owner != "" {
			d.freeSince = 0
		} else if d.freeSince == 0 {
			d.freeSince = now
		}
		if d.owned && (state.Owner != core.self || state.Epoch != core.epoch || state.Token != d.token) {
			core.dropOwnership(d)
		}
		if !d.owned && core.isAssigned(name, state) {
			core.adopt(now, d)
		}
	}
}

// isAssigned reports whether a state assigns a duty to this run: the previous owner has handed it over, or the response
// to a request of this run was lost. An outdated read may still show a token that this run has released.
func (core *Core) isAssigned(name string, state DutyState) bool {
	return state.Owner == core.self && state.Epoch == core.epoch && state.Token > core.released[name]
}

// adopt makes this run the owner of a duty that is assigned to it. It may act once a renewal, which the next Tick
// requests, has confirmed the lease.
func (core *Core) adopt(now int64, d *duty) {
	d.owned, d.token, d.expiresAt = true, d.state.Token, now
	core.renewedAt = now - int64(core.timing.RenewInterval)
}

// release gives up a token for good.
func (core *Core) release(name string, token uint64, to string) {
	core.released[name] = max(core.released[name], token)
	core.actions.Release(name, token, to)
}

// HandleAcquired processes a granted lease. It counts from the time of the request.
func (core *Core) HandleAcquired(requestedAt, now int64, name string, token uint64) {
	if token <= core.released[name] {
		return // a late response: the duty was adopted and released meanwhile
	}
	d := core.duties[name]
	if d == nil {
		core.release(name, token, "")
		return
	}
	d.state, d.known, d.freeSince = DutyState{token, core.self, core.epoch}, true, 0
	d.owned, d.token, d.expiresAt = true, token, requestedAt+int64(core.timing.Lease)
	core.startActing(now, d)
}

// HandleRenewed processes the response to a renewal: the tokens that are still valid.
func (core *Core) HandleRenewed(requestedAt, now int64, tokens map[string]uint64) {
	for _, name := range core.names {
		d := core.duties[name]
		if !d.owned {
			continue
		}
		if tokens[name] == d.token {
			d.expiresAt = max(d.expiresAt, requestedAt+int64(core.timing.Lease))
			core.startActing(now, d)
		}
	}
}

// startActing starts the work of a duty if its lease is valid.
func (core *Core) startActing(now int64, d *duty) {
	if !d.acting && now < d.expiresAt {
		d.acting = true
		core.actions.BeginWork(Lease{d.name, d.token, d.expiresAt})
	}
}

// stopActing ends the work of a duty.
func (core *Core) stopActing(d *duty) {
	if d.acting {
		d.acting = false
		core.actions.EndWork(Lease{d.name, d.token, d.expiresAt})
	}
}

// dropOwnership ends the work and the ownership of a duty.
func (core *Core) dropOwnership(d *duty) {
	core.stopActing(d)
	d.owned = false
}

// MayAct reports whether this run may act on a duty now, and with which token. The process may be delayed between this
// check and the action, past the end of the lease; the fencing token makes that harmless.
func (core *Core) MayAct(now int64, name string) (token uint64, ok bool) {
	d := core.duties[name]
	if d == nil || !d.owned {
		return 0, false
	}
	return d.token, now < d.expiresAt || !core.EnforceExpiry
}

// Owned returns the leases of the duties that this run owns, ordered by name.
func (core *Core) Owned() (leases []Lease) {
	for _, name := range core.names {
		if d := core.duties[name]; d.owned {
			leases = append(leases, Lease{name, d.token, d.expiresAt})
		}
	}
	return leases
}

// Tick stops work whose lease has expired, and requests renewals, releases and acquisitions that are due.
func (core *Core) Tick(now int64) {
	tokens := map[string]uint64{}
	for _, name := range core.names {
		d := core.duties[name]
		if d.acting && now >= d.expiresAt && core.EnforceExpiry {
			core.stopActing(d) // not renewed in time: another member may own it
		}
		if d.owned {
			tokens[name] = d.token
		}
	}
	if len(tokens) > 0 && now-core.renewedAt >= int64(core.timing.RenewInterval) {
		core.renewedAt = now
		core.actions.Renew(tokens)
	}
	if !core.willing {
		for _, name := range core.names { // hand over at once, so that nobody has to wait for a lease to expire
			if d := core.duties[name]; d.owned {
				token := d.token
				core.dropOwnership(d)
				core.release(name, token, core.successor(name))
			}
		}
		return
	}
	for _, name := range core.names {
		d := core.duties[name]
		if !d.known || d.state.Owner != "" || d.owned || d.freeSince == 0 {
			continue
		}
		wait := int64(core.rank(name)) * int64(core.timing.RankDelay)
		if now-d.freeSince >= wait && (d.requestedAt == 0 || now-d.requestedAt >= int64(core.timing.RenewInterval)) {
			d.requestedAt = now
			core.actions.Acquire(name)
		}
	}
	core.rebalance(now, len(tokens))
}

// rank returns how many other members are preferred as the owner of a duty.
func (core *Core) rank(name string) (better int) {
	owned := core.ownedCounts()
	mine := core.placementOf(name, core.self, owned[core.self])
	for _, member := range core.members {
		if member.Name != core.self && less(core.placementOf(name, member.Name, owned[member.Name]), mine) {
			better++
		}
	}
	return better
}

// placement orders members by preference for a duty: those that own clearly more than an even share come last, then a
// hash that is the same on all members decides. With counts alone, the first member to look would take all duties.
type placement struct {
	excess int // owned duties beyond 5/4 of an even share plus 1
	hash   uint64
}

// less reports whether placement a is preferred to b.
func less(a, b placement) bool {
	return cmp.Or(cmp.Compare(a.excess, b.excess), cmp.Compare(a.hash, b.hash)) < 0
}

// placementOf returns the placement of a member that owns so many duties. The margin above an even share is needed
// because hashing alone gives some members more duties than others.
func (core *Core) placementOf(duty, name string, owned int) placement {
	return placement{hash: xxhash.Sum64String(duty + "\x00" + name), excess: max(0, owned-core.evenShare()*5/4-1)}
}

// evenShare returns the number of duties per member, rounded up.
func (core *Core) evenShare() int {
	n := len(core.members)
	return (len(core.names) + max(n, 1) - 1) / max(n, 1)
}

// ownedCounts returns how many duties each member owns.
func (core *Core) ownedCounts() map[string]int {
	counts := map[string]int{}
	for _, name := range core.names {
		if state := core.duties[name].state; state.Owner != "" {
			counts[state.Owner]++
		}
	}
	return counts
}

// successor returns the preferred other owner of a duty, "" for none.
func (core *Core) successor(name string) string {
	owned := core.ownedCounts()
	best, successor := placement{}, ""
	for _, member := range core.members {
		if member.Name == core.self {
			continue
		}
		if p := core.placementOf(name, member.Name, owned[member.Name]); successor == "" || less(p, best) {
			best, successor = p, member.Name
		}
	}
	return successor
}

// rebalance releases one duty to a member that owns at least two fewer. It does so at intervals with random jitter, so
// that duties spread without oscillating.
func (core *Core) rebalance(now int64, owned int) {
	if owned <= core.evenShare() || now-core.balancedAt < int64(core.timing.BalanceInterval) {
		return
	}
	counts := core.ownedCounts()
	for _, name := range core.names {
		d := core.duties[name]
		if !d.owned {
			continue
		}
		if to := core.successor(name); to != "" && counts[to]+2 <= owned {
			core.balancedAt = now + core.rng.Int64N(int64(core.timing.BalanceInterval))
			token := d.token
			core.dropOwnership(d)
			core.release(name, token, to)
			return
		}
	}
}

// Fence refuses actions of former owners. It keeps the highest token seen for each duty.
type Fence struct {
	highest  map[string]uint64
	Refused  int64 // number of refused actions
	Disabled bool  // admit all actions, in fault-injection tests only
}

// Admit reports whether an action with a token may be carried out.
func (fence *Fence) Admit(duty string, token uint64) bool {
	if fence.highest == nil {
		fence.highest = map[string]uint64{}
	}
	if token < fence.highest[duty] {
		fence.Refused++
		return fence.Disabled
	}
	fence.highest[duty] = token
	return true
}

// Highest returns the highest token seen for a duty.
func (fence *Fence) Highest(duty string) uint64 { return fence.highest[duty] }
