// Package owner gives duties one owner at a time. Core decides without I/O and clock which to ask for, when to renew and
// when to stop acting; Fence is what is kept by whoever is acted on; Owners is the runner over the keepers.
package owner

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Lease is one owner's time with a duty. Whoever acts shows its token; whoever is acted on refuses a lower one than it
// has seen.
type Lease struct {
	Duty      string
	Token     uint64
	ExpiresAt int64 // on the owner's own clock; it acts no longer unless renewed
}

// DutyState is what the keepers last said of a duty.
type DutyState struct {
	Token uint64
	Owner string // "" for nobody
	Epoch uint64
}

// Member is another that may own duties.
type Member struct{ Name string }

// Actions are what the core wants done.
type Actions interface {
	Acquire(duty string)
	Renew(tokens map[string]uint64) // all that is owned, at once
	Release(duty string, token uint64, to string)
	BeginWork(t Lease) // it may act from now on
	EndWork(t Lease)   // and no more
}

// Timing say how long things take.
type Timing struct {
	Lease           time.Duration // an owner's, from when it asked
	RenewInterval   time.Duration // between two renewals
	RankDelay       time.Duration // that a less preferred member waits longer before it takes a free duty
	BalanceInterval time.Duration // between two duties that are given away because others own fewer
}

// TimingFor are the usual ones for a lease.
func TimingFor(lease time.Duration) Timing {
	return Timing{Lease: lease, RenewInterval: lease / 4, RankDelay: lease / 10, BalanceInterval: 2 * lease}
}

type duty struct {
	name        string
	state       DutyState
	known       bool
	freeSince   int64 // since when it has been seen without an owner, 0 while it has one
	requestedAt int64 // when it was last asked for
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
	willing       bool
	renewedAt     int64
	balancedAt    int64
	EnforceExpiry bool // false only where a variant leaves the guard out
}

// NewCore makes one for a run of a member.
func NewCore(self string, timing Timing, seed uint64, actions Actions) *Core {
	return &Core{self: self, timing: timing, actions: actions, rng: rand.New(rand.NewPCG(seed, 0x44)), duties: map[string]*duty{}, EnforceExpiry: true}
}

// AddDuty adds a duty that this member would do.
func (core *Core) AddDuty(name string) {
	if core.duties[name] == nil {
		core.duties[name] = &duty{name: name}
		core.names = append(core.names, name)
		slices.Sort(core.names)
	}
}

// RemoveDuty takes one away; if it is owned it is let go.
func (core *Core) RemoveDuty(name string) {
	removed := core.duties[name]
	if removed == nil {
		return
	}
	core.stopActing(removed)
	if removed.owned {
		core.actions.Release(name, removed.token, "")
	}
	delete(core.duties, name)
	core.names = slices.DeleteFunc(core.names, func(n string) bool { return n == name })
}

// SetSession says under which epoch this run is known to the keepers; whatever was owned under another is over.
func (core *Core) SetSession(epoch uint64) {
	if epoch == core.epoch {
		return
	}
	core.epoch = epoch
	for _, name := range core.names {
		core.lose(core.duties[name])
	}
}

// SetMembers says who else may own duties, and whether this one still wants to.
func (core *Core) SetMembers(all []Member, willing bool) { core.members, core.willing = all, willing }

// ObserveStates takes what the keepers say of all duties, by a confirmed read that was asked for at some time.
func (core *Core) ObserveStates(now int64, states map[string]DutyState) {
	for _, name := range core.names {
		d := core.duties[name]
		state := states[name]
		if d.known && state.Token < d.state.Token {
			continue // an older answer
		}
		d.state, d.known = state, true
		if state.Owner != "" {
			d.freeSince = 0
		} else if d.freeSince == 0 {
			d.freeSince = now
		}
		if d.owned && (state.Owner != core.self || state.Epoch != core.epoch || state.Token != d.token) {
			core.lose(d)
		}
	}
}

// HandleAcquired takes the keepers' answer: the duty is this run's by a token, counted from when it was asked for.
func (core *Core) HandleAcquired(requestedAt, now int64, name string, token uint64) {
	d := core.duties[name]
	if d == nil {
		core.actions.Release(name, token, "")
		return
	}
	d.state, d.known, d.freeSince = DutyState{token, core.self, core.epoch}, true, 0
	d.owned, d.token, d.expiresAt = true, token, requestedAt+int64(core.timing.Lease)
	core.startActing(now, d)
}

// HandleRenewed takes the keepers' answer to a renewal that was asked for at some time: tokens that stand.
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

func (core *Core) startActing(now int64, d *duty) {
	if !d.acting && now < d.expiresAt {
		d.acting = true
		core.actions.BeginWork(Lease{d.name, d.token, d.expiresAt})
	}
}

func (core *Core) stopActing(d *duty) {
	if d.acting {
		d.acting = false
		core.actions.EndWork(Lease{d.name, d.token, d.expiresAt})
	}
}

func (core *Core) lose(d *duty) {
	core.stopActing(d)
	d.owned = false
}

// MayAct reports whether this run may act on a duty now, and by which token. Danger: between the answer and the act the
// process may be held up; the token is what makes that harmless.
func (core *Core) MayAct(now int64, name string) (token uint64, ok bool) {
	d := core.duties[name]
	if d == nil || !d.owned {
		return 0, false
	}
	return d.token, now < d.expiresAt || !core.EnforceExpiry
}

// Owned are the duties that this run owns, by name.
func (core *Core) Owned() (leases []Lease) {
	for _, name := range core.names {
		if d := core.duties[name]; d.owned {
			leases = append(leases, Lease{name, d.token, d.expiresAt})
		}
	}
	return leases
}

// Tick does what is due.
func (core *Core) Tick(now int64) {
	tokens := map[string]uint64{}
	for _, name := range core.names {
		d := core.duties[name]
		if d.acting && now >= d.expiresAt && core.EnforceExpiry {
			core.stopActing(d) // not renewed in time: others may own it
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
		for _, name := range core.names { // by intent: handed over at once, nobody waits for a lease
			if d := core.duties[name]; d.owned {
				token := d.token
				core.lose(d)
				core.actions.Release(name, token, core.successor(name))
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

// rank is how many others should have a duty rather than this member: they own fewer, or stand first by chance that all
// draw alike.
func (core *Core) rank(name string) (better int) {
	owned := core.ownedCounts()
	mine := core.placementOf(name, core.self, owned[core.self])
	for _, m := range core.members {
		if m.Name != core.self && less(core.placementOf(name, m.Name, owned[m.Name]), mine) {
			better++
		}
	}
	return better
}

// placement orders members for a duty: who owns more than an even part comes last, then by chance that is the same at all of them.
// Danger: by counts alone whoever looks first would take all.
type placement struct {
	excess int
	hash   uint64
}

func less(a, b placement) bool {
	return cmp.Or(cmp.Compare(a.excess, b.excess), cmp.Compare(a.hash, b.hash)) < 0
}

func (core *Core) placementOf(duty, name string, owned int) placement {
	return placement{hash: xxhash.Sum64String(duty + "\x00" + name), excess: max(0, owned-core.evenShare()*5/4-1)} // chance alone deals some more than others
}

// evenShare is an even part of all duties.
func (core *Core) evenShare() int {
	n := len(core.members)
	return (len(core.names) + max(n, 1) - 1) / max(n, 1)
}

// ownedCounts is how many duties each member owns.
func (core *Core) ownedCounts() map[string]int {
	counts := map[string]int{}
	for _, name := range core.names {
		if state := core.duties[name].state; state.Owner != "" {
			counts[state.Owner]++
		}
	}
	return counts
}

// successor is who should have a duty if not this one, "" for nobody.
func (core *Core) successor(name string) string {
	owned := core.ownedCounts()
	best, successor := placement{}, ""
	for _, m := range core.members {
		if m.Name == core.self {
			continue
		}
		if p := core.placementOf(name, m.Name, owned[m.Name]); successor == "" || less(p, best) {
			best, successor = p, m.Name
		}
	}
	return successor
}

// rebalance gives one duty away where another owns two fewer or less, now and then: so they spread, and don't swing.
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
			core.lose(d)
			core.actions.Release(name, token, to)
			return
		}
	}
}

// Fence is kept by whoever is acted on: the highest token seen of each duty.
type Fence struct {
	highest  map[string]uint64
	Refused  int64
	Disabled bool // refuses nothing: a variant without the guard
}

// Admit reports whether an act under a token may be done.
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

// Highest is the highest token seen of a duty.
func (fence *Fence) Highest(duty string) uint64 { return fence.highest[duty] }
