// Package shared lets one member fetch the upstream list of a pool on behalf of all: the owner of the pool's duty
// queries and watches service discovery, and passes the updates on with its fencing token. Core decides which updates
// to accept and when to fall back to querying discovery itself, without I/O and without reading a clock. List runs it
// as a lists.Source.
package shared

import (
	"maps"
	"slices"

	"ottershift/internal/roster"
)

// Update is a message of the owner: changes of the list, a snapshot of the whole list, or without entries a heartbeat.
type Update struct {
	Pool     string  `codec:"p"`
	Token    uint64  `codec:"t"`
	Version  uint64  `codec:"v"` // grows with each change under one token
	Entries  []Entry `codec:"e,omitempty"`
	Snapshot bool    `codec:"w,omitempty"`
}

// Entry is an upstream in an Update.
type Entry struct {
	Name     string  `codec:"n"`
	Zone     string  `codec:"z,omitempty"`
	Kind     string  `codec:"k,omitempty"`
	Address  string  `codec:"a,omitempty"`
	Weight   float64 `codec:"w"`
	Cell     int     `codec:"c,omitempty"`
	Born     int64   `codec:"b,omitempty"`
	Draining bool    `codec:"e,omitempty"`
	Removed  bool    `codec:"g,omitempty"`
}

// fromRoster converts an entry of the roster for sending.
func fromRoster(e roster.Entry[string]) Entry {
	return Entry{e.Name, e.Zone, e.Kind, e.Address, e.Upstream.Weight, e.Upstream.Cell, e.Upstream.StartedAt, e.Draining, e.Removed}
}

// toRoster converts a received entry for the roster.
func (e Entry) toRoster() roster.Entry[string] {
	r := roster.Entry[string]{Name: e.Name, Zone: e.Zone, Kind: e.Kind, Address: e.Address, Draining: e.Draining, Removed: e.Removed}
	r.Upstream.ID, r.Upstream.Weight, r.Upstream.Cell, r.Upstream.StartedAt = roster.NameHash(e.Name), e.Weight, e.Cell, e.Born
	return r
}

// Timing holds times in nanoseconds.
type Timing struct {
	SilenceTimeout int64 // without owner updates, then query discovery; well within a drain's grace period
	SteadyPeriod   int64 // of steady updates from the owner, after which a member stops querying discovery itself
	Jitter         int64 // maximum random addition to SilenceTimeout, so that not all members query discovery at once
}

// Core is one member's view of the upstream list of one pool.
type Core struct {
	timing        Timing
	jitter        int64
	isOwner       bool
	token         uint64
	version       uint64
	heardAt       int64            // time of the last update from the current owner
	steadySince   int64            // time since which its updates have come without a gap
	discovering   bool             // this member queries discovery itself
	incomplete    bool             // updates are missing, a snapshot is needed
	entries       map[string]Entry // whole list, kept by the owner only
	hasSnapshot   bool             // the owner has received a whole list under its token
	discoveryLost bool             // the owner currently receives nothing from discovery
	StaleUpdates  int64            // updates dropped for a lower token or version
}

// NewCore returns a Core. draw is a random number in [0, 1) that scales the jitter. now counts as the time of the last
// update, which gives an owner time to start.
func NewCore(timing Timing, draw float64, now int64) *Core {
	return &Core{timing: timing, jitter: int64(draw * float64(timing.Jitter)), heardAt: now, steadySince: now,
		entries: map[string]Entry{}}
}

// SetOwner sets whether this member is the owner from now on, and with which token.
func (core *Core) SetOwner(now int64, token uint64, isOwner bool) {
	if core.isOwner = isOwner; isOwner {
		core.token, core.version, core.hasSnapshot, core.discoveryLost = max(core.token, token), 0, false, false
		clear(core.entries)
		return
	}
	core.heardAt, core.steadySince = now, now
}

// HandleDiscovery processes entries that the owner received from discovery and returns the update to broadcast. It
// ignores changes until a whole list arrives: a member that was already watching when it became the owner would
// otherwise build a snapshot from the changes alone, and the others would drop all other upstreams.
func (core *Core) HandleDiscovery(pool string, entries []roster.Entry[string], snapshot bool) (update Update, ok bool) {
	if !snapshot && !core.hasSnapshot {
		return update, false
	}
	if core.discoveryLost = false; snapshot {
		clear(core.entries)
		core.hasSnapshot = true
	}
	update = Update{Pool: pool, Token: core.token, Snapshot: snapshot}
	for _, e := range entries {
		entry := fromRoster(e)
		if update.Entries = append(update.Entries, entry); entry.Removed {
			delete(core.entries, entry.Name)
		} else {
			core.entries[entry.Name] = entry
		}
	}
	core.version++
	update.Version = core.version
	return update, true
}

// Snapshot returns the whole list, false if this member is not the owner or has none yet.
func (core *Core) Snapshot(pool string) (Update, bool) {
	update := Update{Pool: pool, Token: core.token, Version: core.version, Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(core.entries)) {
		update.Entries = append(update.Entries, core.entries[name])
	}
	return update, core.isOwner && core.version > 0
}

// HandleDiscoveryLost records that discovery is unreachable, or that the watch has ended.
func (core *Core) HandleDiscoveryLost() { core.discoveryLost = true }

// Heartbeat returns the update that says that nothing has changed; false while there is no list. An owner that is cut
// off from discovery sends none: it would not know of changes, and the others have to query discovery themselves.
func (core *Core) Heartbeat(pool string) (Update, bool) {
	return Update{Pool: pool, Token: core.token, Version: core.version}, core.isOwner && core.version > 0 && !core.discoveryLost
}

// HandleUpdate processes an update that the fence admitted. It returns the changes for the list; fetch says that
// updates are missing and a snapshot has to be fetched from the owner. fenced is false only in fault-injection tests,
// which show that updates of former owners then take effect.
func (core *Core) HandleUpdate(now int64, update *Update, fenced bool) (changes []roster.Entry[string], snapshot, fetch bool) {
	if fenced && (update.Token < core.token || update.Token == core.token && update.Version < core.version) ||
		core.isOwner && update.Token <= core.token {
		core.StaleUpdates++
		return nil, false, false
	}
	if update.Token > core.token { // else a replaced owner that has not noticed would broadcast its list with the newer token
		core.isOwner = false
	}
	if update.Token > core.token || !fenced && update.Token != core.token {
		core.token, core.version, core.incomplete = update.Token, 0, true
		core.steadySince = now
	}
	if now-core.heardAt > core.timing.SilenceTimeout {
		core.steadySince = now
	}
	core.heardAt = now
	switch {
	case update.Snapshot:
		core.incomplete = false
	case update.Version == core.version && len(update.Entries) == 0:
		return nil, false, core.incomplete
	case len(update.Entries) > 0 && update.Version == core.version+1 && !core.incomplete:
	case len(update.Entries) > 0 && !fenced:
	default:
		core.incomplete = true
		return nil, false, true
	}
	if update.Version == core.version && !update.Snapshot {
		return nil, false, false
	}
	core.version = update.Version
	for _, e := range update.Entries {
		changes = append(changes, e.toRoster())
	}
	return changes, update.Snapshot, false
}

// ShouldDiscover reports whether this member should query discovery itself now: it is the owner, or the owner's updates
// are late.
func (core *Core) ShouldDiscover(now int64) bool {
	switch {
	case core.isOwner:
		core.discovering = true
	case now-core.heardAt > core.timing.SilenceTimeout+core.jitter,
		core.incomplete && now-core.steadySince > core.timing.SilenceTimeout+core.jitter:
		core.discovering = true
	case core.discovering && !core.incomplete && now-core.steadySince > core.timing.SteadyPeriod &&
		now-core.heardAt <= core.timing.SilenceTimeout:
		core.discovering = false
	}
	return core.discovering
}

// IsOwner reports whether this member fetches the list for all.
func (core *Core) IsOwner() bool { return core.isOwner }

// Age returns the nanoseconds since the last update from the owner.
func (core *Core) Age(now int64) int64 { return now - core.heardAt }
