// Package member maintains the cluster membership. Core is a state machine without I/O or clock that derives the state of
// each member from observations; Gossip drives it on top of a SWIM membership library. Membership is only eventually
// consistent, so no safety property may rest on it alone.
package member

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"ottershift/internal/cluster/config"
)

// ID identifies one run of one member.
type ID struct {
	Name  string
	Epoch uint64 // incarnation number, increases with each run
	Run   uint64 // random: distinguishes two runs that took the same epoch
}

// String returns the ID as name/epoch.run, with the run in hexadecimal.
func (id ID) String() string { return fmt.Sprintf("%s/%d.%x", id.Name, id.Epoch, id.Run) }

// ParseID parses the output of String.
func ParseID(text string) (id ID, ok bool) {
	name, rest, hasSlash := strings.Cut(text, "/")
	epoch, run, hasDot := strings.Cut(rest, ".")
	if !hasSlash || !hasDot || name == "" {
		return id, false
	}
	epochNumber, err1 := strconv.ParseUint(epoch, 10, 64)
	runNumber, err2 := strconv.ParseUint(run, 16, 64)
	return ID{name, epochNumber, runNumber}, err1 == nil && err2 == nil
}

// Newer reports whether id supersedes other, a run of the same name.
func (id ID) Newer(other ID) bool {
	if id.Epoch != other.Epoch {
		return id.Epoch > other.Epoch
	}
	return id.Run > other.Run
}

// NextEpoch returns the epoch for a new run: greater than the stored epoch and the epochs that other members know for its
// name, and at least the wall clock. The clock only helps where neither disk nor peers remember; nothing else relies on it.
func NextEpoch(stored uint64, wallSeconds int64, known []uint64) uint64 {
	next := max(stored+1, 1, uint64(max(wallSeconds, 0)))
	for _, k := range known {
		next = max(next, k+1)
	}
	return next
}

// Record holds the properties of a run that do not change.
type Record struct {
	ID
	Zone                   string
	Address                string // for traffic between members
	OpsAddress             string // for operations, "" if there is none
	Build                  string
	MinVersion, MaxVersion byte // supported protocol versions
}

// Status holds the properties that a run reports repeatedly.
type Status struct {
	Sequence         uint64   // the highest is the newest
	Draining         bool     // the run accepts no new clients, intentionally
	Final            bool     // last status of a run that leaves intentionally
	OpenTransactions int64    // transactions in progress
	Rate             float64  // recent transactions per second
	Pools            []string // names of the pools that it serves
	ShardsPerPool    int      // shards of each pool
}

// State is the state of a run as seen by this member.
type State byte

// States of a run.
const (
	Alive      State = iota + 1
	Dead             // failure suspected and not refuted in time; the run may come back
	Left             // left intentionally; permanent
	Superseded       // a newer run of the same name is known; permanent
)

// String returns the name of the state in views, logs and metrics.
func (s State) String() string { return [...]string{"", "alive", "dead", "left", "over"}[s] }

// LatestRun is the newest known run of a name. It is kept after the run has ended, so that no older run of the name is
// accepted again.
type LatestRun struct {
	ID
	Ended bool
}

// Member is one run with its state as seen by this member.
type Member struct {
	Record
	Status
	State      State
	StateSince int64 // nanoseconds; time of the last state change
	LastHeard  int64 // nanoseconds; time of the last message from or about the run
}

// Change reports a state change of a run.
type Change struct {
	Member
	Previous State // 0 for a new run
}

// Guards selects the active safety mechanisms: Refutation lets a run that was declared dead return to alive, Epochs rejects
// runs of a name once a newer one is known. Experiments disable them one at a time.
type Guards struct{ Refutation, Epochs bool }

// Actions carries out the decisions of a Core.
type Actions interface {
	StateChanged(c Change)
	ExchangeState(name, address string)             // exchange full state with the member at an address; name may be empty
	NotifySuperseded(old, newer ID, address string) // inform an old run that it is superseded
	SelfSuperseded(newer ID)                        // this run is superseded
	RenewEpoch(above uint64)                        // this run started with too low an epoch: restart it with one above this
}

// Durations are in nanoseconds.
const (
	second             = int64(1e9)
	deadRetention      = 3600 * second // until a dead run is forgotten
	endedRetention     = 60 * second   // until a run that left or was superseded is forgotten
	maxLatestRuns      = 4096          // names remembered
	settleTime         = 2 * second    // after first contact, for the peers' knowledge about this name to arrive
	renewWindow        = 10 * second   // after the start, in which a run with too low an epoch may take another
	noticeInterval     = second        // between two notices to the same superseded run
	stallProbes        = 4             // probe intervals without a tick after which the process counts as stalled
	aliveAddressRounds = 8             // rejoin rounds between two exchanges with a configured address that belongs to a live member
)

// Core is the membership state machine of one run.
type Core struct {
	self         Record
	superseded   bool
	firstContact int64 // when this run first heard of another member, -1 before
	renewed      bool  // this run has already replaced its first epoch
	renewing     bool  // a new epoch was requested and is not yet in effect
	startedAt    int64
	guards       Guards
	settings     *config.Settings
	rng          *rand.Rand
	actions      Actions

	runs         map[ID]*Member
	latestRuns   map[string]LatestRun
	notifiedAt   map[ID]int64 // superseded runs, with the time of the last notice
	nextRejoin   int64        // time of the next rejoin round
	lastTick     int64        // time of the last Tick
	rejoinOffset int          // index of the first target of the next round
	rejoinRound  int
}

// NewCore returns the state machine for a run that started at startedAt; renewed is set if the run replaced an earlier epoch.
func NewCore(self Record, settings *config.Settings, guards Guards, seed uint64, startedAt int64, renewed bool, actions Actions) *Core {
	c := &Core{
		self: self, settings: settings, guards: guards, actions: actions, startedAt: startedAt, firstContact: -1, renewed: renewed, rng: rand.New(rand.NewPCG(seed, 0x22)),
		runs: map[ID]*Member{}, latestRuns: map[string]LatestRun{}, notifiedAt: map[ID]int64{},
	}
	c.latestRuns[self.Name] = LatestRun{ID: self.ID}
	return c
}

// Superseded reports whether a newer run of this name is known.
func (c *Core) Superseded() bool { return c.superseded }

// Admit returns an error if a run must not be accepted as a member. Such a run never appears in the view.
func (c *Core) Admit(now int64, record Record) error {
	if record.Name == "" || len(record.Name) > 64 {
		return fmt.Errorf("invalid member name: %d bytes, want 1 to 64", len(record.Name))
	}
	if record.MaxVersion < c.self.MinVersion || record.MinVersion > c.self.MaxVersion {
		return fmt.Errorf("protocol version mismatch: %s supports %d to %d, this member %d to %d", record.ID, record.MinVersion, record.MaxVersion, c.self.MinVersion, c.self.MaxVersion)
	}
	if !c.guards.Epochs {
		return nil
	}
	if latest, known := c.latestRuns[record.Name]; known && latest.Newer(record.ID) {
		c.notifySuperseded(now, record.ID, latest.ID, record.Address)
		return fmt.Errorf("%s is superseded by %s", record.ID, latest.ID)
	}
	return nil
}

// notifySuperseded informs an old run that it is superseded, at most once per noticeInterval.
func (c *Core) notifySuperseded(now int64, old, newer ID, address string) {
	if last, notified := c.notifiedAt[old]; notified && now-last < noticeInterval {
		return
	}
	if len(c.notifiedAt) > maxLatestRuns {
		clear(c.notifiedAt)
	}
	c.notifiedAt[old] = now
	c.actions.NotifySuperseded(old, newer, address)
}

// updateLatest records a run if it is the newest of its name. It returns false for an older run.
func (c *Core) updateLatest(id ID, ended bool) bool {
	latest, known := c.latestRuns[id.Name]
	switch {
	case !known && len(c.latestRuns) >= maxLatestRuns:
		return true // accepted, but not recorded: memory is bounded
	case !known || id.Newer(latest.ID):
		c.latestRuns[id.Name] = LatestRun{id, ended}
	case id == latest.ID:
		c.latestRuns[id.Name] = LatestRun{id, ended}
	default:
		return false
	}
	return true
}

// setState changes the state of a run and reports the change.
func (c *Core) setState(now int64, m *Member, state State) {
	previous := m.State
	if previous == state {
		return
	}
	m.State, m.StateSince = state, now
	c.actions.StateChanged(Change{*m, previous})
}

// ObserveAlive handles a message, from the run itself or from another member, that a run is alive.
func (c *Core) ObserveAlive(now int64, record Record) {
	if record.ID == c.self.ID || c.Admit(now, record) != nil {
		return
	}
	if record.Name == c.self.Name && c.guards.Epochs {
		c.observeNewerSelf(now, record.ID, false)
		if c.superseded {
			c.setAlive(now, record)
		}
		return
	}
	if c.firstContact < 0 {
		c.firstContact = now
	}
	c.setAlive(now, record)
}

// setAlive marks a run as alive and all older runs of its name as superseded.
func (c *Core) setAlive(now int64, record Record) {
	if c.guards.Epochs {
		if !c.updateLatest(record.ID, false) {
			return
		}
		for _, old := range c.runsOf(record.Name) {
			if old.ID != record.ID && old.State != Superseded {
				if old.State == Alive {
					c.notifySuperseded(now, old.ID, record.ID, old.Address)
				}
				c.setState(now, old, Superseded)
			}
		}
	}
	m := c.runs[record.ID]
	if m == nil {
		m = &Member{Record: record}
		c.runs[record.ID] = m
	}
	if m.State == Left || m.State == Superseded || m.State == Dead && !c.guards.Refutation {
		return // these states are permanent: a delayed alive message must not revert them
	}
	m.Record, m.LastHeard = record, now
	c.setState(now, m, Alive)
}

// runsOf returns the runs of a name, oldest first.
func (c *Core) runsOf(name string) (all []*Member) {
	for _, m := range c.runs {
		if m.Name == name {
			all = append(all, m)
		}
	}
	slices.SortFunc(all, func(a, b *Member) int { return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Run, b.Run)) })
	return all
}

// observeNewerSelf handles the message that a newer run of this member's own name exists.
func (c *Core) observeNewerSelf(now int64, newer ID, ended bool) {
	if c.superseded || c.renewing || !newer.Newer(c.self.ID) {
		return
	}
	// A run that reached no peer at its start may have taken too low an epoch. After it has settled among other members, a
	// run with a higher epoch is really newer. Before that, one that has ended or is met right after the start only shows
	// that this run's epoch is too low.
	settled := c.renewed || c.firstContact >= 0 && now-c.firstContact > settleTime
	if !settled && (ended || now-c.startedAt < renewWindow) {
		c.renewing = true // until the new epoch is in effect, further messages would mark this run as superseded
		c.actions.RenewEpoch(newer.Epoch)
		return
	}
	c.superseded = true
	c.latestRuns[newer.Name] = LatestRun{newer, ended}
	c.actions.SelfSuperseded(newer)
}

// HandleSuperseded handles the notice that old is superseded by newer. It is ignored unless old is this run.
func (c *Core) HandleSuperseded(now int64, old, newer ID, ended bool) {
	if old == c.self.ID && c.guards.Epochs {
		c.observeNewerSelf(now, newer, ended)
	}
}

// ObserveEnd handles the message that a run has ended. The run has left if its last status was final; else it is dead.
func (c *Core) ObserveEnd(now int64, id ID) {
	if id == c.self.ID {
		return
	}
	m := c.runs[id]
	if m == nil || m.State == Left || m.State == Superseded {
		return
	}
	if c.guards.Epochs {
		c.updateLatest(id, true)
	}
	if m.LastHeard = now; m.Final {
		c.setState(now, m, Left)
	} else {
		c.setState(now, m, Dead)
	}
}

// UpdateStatus stores a run's status and reports whether it was new. It ignores outdated statuses and unknown runs.
func (c *Core) UpdateStatus(now int64, id ID, status Status) bool {
	m := c.runs[id]
	if m == nil || status.Sequence <= m.Sequence || len(status.Pools) > MaxPools {
		return false
	}
	m.Status, m.LastHeard = status, now
	if status.Final && m.State == Dead { // the final status arrived after the message that the run has ended
		c.setState(now, m, Left)
	}
	return true
}

// MaxPools is the maximum number of pools in a status.
const MaxPools = 64

// ObserveContact records a direct sign of life from a run, such as a probe response.
func (c *Core) ObserveContact(now int64, id ID) {
	if m := c.runs[id]; m != nil && m.State == Alive {
		m.LastHeard = now
	}
}

// LatestRuns returns the newest known run of each name, for a state exchange.
func (c *Core) LatestRuns() (all []LatestRun) {
	for _, run := range c.latestRuns {
		all = append(all, run)
	}
	slices.SortFunc(all, func(a, b LatestRun) int { return cmp.Compare(a.Name, b.Name) })
	return all
}

// MergeLatestRuns merges the newest known runs of another member into this one's.
func (c *Core) MergeLatestRuns(now int64, latest []LatestRun) {
	if !c.guards.Epochs {
		return
	}
	for _, run := range latest[:min(len(latest), maxLatestRuns)] {
		if run.Name == c.self.Name {
			c.observeNewerSelf(now, run.ID, run.Ended)
			continue
		}
		if held, known := c.latestRuns[run.Name]; known && !run.Newer(held.ID) {
			continue
		}
		c.updateLatest(run.ID, run.Ended)
		for _, old := range c.runsOf(run.Name) {
			if run.ID.Newer(old.ID) && old.State != Superseded {
				c.setState(now, old, Superseded)
			}
		}
	}
}

// Tick forgets runs past their retention and periodically exchanges state with dead members and with configured addresses
// that no live member has, at most config.RejoinParallelism per round.
func (c *Core) Tick(now int64) {
	for _, m := range c.sorted() {
		if m.State == Dead && now-m.StateSince > deadRetention || (m.State == Left || m.State == Superseded) && now-m.StateSince > endedRetention {
			delete(c.runs, m.ID)
		}
	}
	gap := now - c.lastTick
	stalled := c.lastTick != 0 && gap > stallProbes*int64(c.settings.ProbeInterval)
	c.lastTick = now
	if c.superseded {
		return
	}
	if stalled {
		// This run may have been superseded while the process was stalled, so it queries some peers at once.
		targets := c.sorted()
		c.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		count := 0
		for _, m := range targets {
			if m.State == Alive && count < config.RejoinParallelism {
				c.actions.ExchangeState(m.Name, m.Address)
				count++
			}
		}
	}
	if now < c.nextRejoin {
		return
	}
	interval := int64(c.settings.RejoinInterval)
	c.nextRejoin = now + interval*3/4 + c.rng.Int64N(max(1, interval/2))
	type target struct{ name, address string }
	var targets []target
	alive := map[string]bool{c.settings.Address: true, c.self.Address: true}
	for _, m := range c.sorted() {
		if m.State == Alive {
			alive[m.Address] = true
			alive[c.settings.AddressOverrides[m.Name]] = true
		}
	}
	for _, m := range c.sorted() {
		if m.State == Dead && !alive[m.Address] {
			targets = append(targets, target{m.Name, m.Address})
		}
	}
	c.rejoinRound++
	for _, address := range c.settings.Join {
		// Addresses of live members are included every few rounds: after a partition, another member may answer there
		// that knows the half of the cluster which is unknown here.
		if !alive[address] || c.rejoinRound%aliveAddressRounds == 0 && address != c.settings.Address && address != c.self.Address {
			targets = append(targets, target{"", address})
		}
	}
	for i := range min(config.RejoinParallelism, len(targets)) {
		next := targets[(c.rejoinOffset+i)%len(targets)]
		c.actions.ExchangeState(next.name, next.address)
	}
	if c.rejoinOffset += config.RejoinParallelism; len(targets) > 0 {
		c.rejoinOffset %= len(targets)
	}
}

// sorted returns all runs by name, epoch and run.
func (c *Core) sorted() []*Member {
	all := make([]*Member, 0, len(c.runs))
	for _, m := range c.runs {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Run, b.Run))
	})
	return all
}

// View returns all known runs except this one, by name and epoch.
func (c *Core) View() (all []Member) {
	for _, m := range c.sorted() {
		all = append(all, *m)
	}
	return all
}

// Current returns the newest known run of a name.
func (c *Core) Current(name string) (m Member, known bool) {
	all := c.runsOf(name)
	if len(all) == 0 {
		return m, false
	}
	return *all[len(all)-1], true
}

// AliveCount returns the number of live runs, including this one.
func (c *Core) AliveCount() (n int) {
	n = 1
	for _, m := range c.runs {
		if m.State == Alive {
			n++
		}
	}
	return n
}
