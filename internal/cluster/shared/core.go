// Package shared has one member ask for a pool's list on behalf of all: the owner of the duty asks and watches, and passes
// on what it is told under its token. Core decides without I/O and clock what to believe and when to ask oneself; List is
// the runner, a source of lists.
package shared

import (
	"maps"
	"slices"

	"ottershift/internal/roster"
)

// Update is what the owner passes on: a change, the whole list, or only that there is nothing new.
type Update struct {
	Pool     string  `codec:"p"`
	Token    uint64  `codec:"t"`
	Version  uint64  `codec:"v"` // grows with each change under a token
	Entries  []Entry `codec:"e,omitempty"`
	Snapshot bool    `codec:"w,omitempty"`
}

// Entry is one line of a list on its way.
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

func fromRoster(e roster.Entry[string]) Entry {
	return Entry{e.Name, e.Zone, e.Kind, e.Address, e.Up.Weight, e.Up.Cell, e.Up.Born, e.Ends, e.Gone}
}

func (e Entry) toRoster() roster.Entry[string] {
	r := roster.Entry[string]{Name: e.Name, Zone: e.Zone, Kind: e.Kind, Address: e.Address, Ends: e.Draining, Gone: e.Removed}
	r.Up.Number, r.Up.Weight, r.Up.Cell, r.Up.Born = roster.Number(e.Name), e.Weight, e.Cell, e.Born
	return r
}

// Timing are times in nanoseconds.
type Timing struct {
	SilenceTimeout int64 // of the owner, after which one asks oneself; well within the grace of a drain
	SteadyPeriod   int64 // that the owner's word has come steadily, until one asks no longer
	Jitter         int64 // by chance on top of Silence, so that not all ask at once
}

// Core is one member's view of one pool's list.
type Core struct {
	timing        Timing
	jitter        int64
	isOwner       bool
	token         uint64
	version       uint64
	heardAt       int64 // last word of the present owner
	steadySince   int64 // since when its words have come without a gap
	discovering   bool
	incomplete    bool
	entries       map[string]Entry // whole, as the owner has it
	hasSnapshot   bool             // it has been told a whole list under this token
	discoveryLost bool             // and discovery tells it nothing at present
	StaleUpdates  int64            // words that were dropped, of lower tokens and versions
}

// NewCore makes one; draw is a part of one, by chance. now counts as a word, so that an owner is given time at the start.
func NewCore(timing Timing, draw float64, now int64) *Core {
	return &Core{timing: timing, jitter: int64(draw * float64(timing.Jitter)), heardAt: now, steadySince: now, entries: map[string]Entry{}}
}

// SetOwner says that this member asks for all from now on, under a token, or no longer.
func (core *Core) SetOwner(now int64, token uint64, isOwner bool) {
	if core.isOwner = isOwner; isOwner {
		core.token, core.version, core.hasSnapshot, core.discoveryLost = max(core.token, token), 0, false, false
		clear(core.entries)
		return
	}
	core.heardAt, core.steadySince = now, now
}

// HandleDiscovery takes what discovery told this member as the owner; it gives the word to pass on. Danger: a member may have asked
// already when it became the owner. Changes alone are no list; what it makes of them would have the others drop the rest.
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

// Snapshot is the whole list as this member, the owner, has it; false if it has none yet.
func (core *Core) Snapshot(pool string) (Update, bool) {
	update := Update{Pool: pool, Token: core.token, Version: core.version, Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(core.entries)) {
		update.Entries = append(update.Entries, core.entries[name])
	}
	return update, core.isOwner && core.version > 0
}

// HandleDiscoveryLost says that discovery can't be had, or that following it has ended.
func (core *Core) HandleDiscoveryLost() { core.discoveryLost = true }

// Heartbeat is the word that there is nothing new; false before there is a list. Danger: an owner that is cut off from discovery
// knows of nothing new because nobody tells it; the others have to ask for themselves.
func (core *Core) Heartbeat(pool string) (Update, bool) {
	return Update{Pool: pool, Token: core.token, Version: core.version}, core.isOwner && core.version > 0 && !core.discoveryLost
}

// HandleUpdate takes an owner's word that has passed the fence. It gives what the list is told; ask says that words are missing and
// the whole is to be had from the owner. fenced is false only in a variant that heeds old owners.
func (core *Core) HandleUpdate(now int64, update *Update, fenced bool) (changes []roster.Entry[string], snapshot, fetch bool) {
	if fenced && (update.Token < core.token || update.Token == core.token && update.Version < core.version) || core.isOwner && update.Token <= core.token {
		core.StaleUpdates++
		return nil, false, false
	}
	if update.Token > core.token { // danger: an owner that was replaced and hasn't noticed would pass on its own under the newer token
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

// ShouldDiscover says whether this member is to ask discovery itself now: it is the owner, or the owner's word is late.
func (core *Core) ShouldDiscover(now int64) bool {
	switch {
	case core.isOwner:
		core.discovering = true
	case now-core.heardAt > core.timing.SilenceTimeout+core.jitter, core.incomplete && now-core.steadySince > core.timing.SilenceTimeout+core.jitter:
		core.discovering = true
	case core.discovering && !core.incomplete && now-core.steadySince > core.timing.SteadyPeriod && now-core.heardAt <= core.timing.SilenceTimeout:
		core.discovering = false
	}
	return core.discovering
}

// IsOwner reports whether this member asks for all.
func (core *Core) IsOwner() bool { return core.isOwner }

// Age is how long ago the owner spoke.
func (core *Core) Age(now int64) int64 { return now - core.heardAt }
