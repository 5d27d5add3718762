// Package shared has one member ask for a pool's list on behalf of all: the owner of the duty asks and watches, and passes
// on what it is told under its token. Core decides without I/O and clock what to believe and when to ask oneself; List is
// the runner, a source of lists.
package shared

import (
	"maps"
	"slices"

	"ottershift/internal/roster"
)

// Word is what the owner passes on: a change, the whole list, or only that there is nothing new.
type Word struct {
	Pool    string  `codec:"p"`
	Token   uint64  `codec:"t"`
	Version uint64  `codec:"v"` // grows with each change under a token
	Entries []Entry `codec:"e,omitempty"`
	Whole   bool    `codec:"w,omitempty"`
}

// Entry is one line of a list on its way.
type Entry struct {
	Name    string  `codec:"n"`
	Zone    string  `codec:"z,omitempty"`
	Kind    string  `codec:"k,omitempty"`
	Address string  `codec:"a,omitempty"`
	Weight  float64 `codec:"w"`
	Cell    int     `codec:"c,omitempty"`
	Born    int64   `codec:"b,omitempty"`
	Ends    bool    `codec:"e,omitempty"`
	Gone    bool    `codec:"g,omitempty"`
}

func of(e roster.Entry[string]) Entry {
	return Entry{e.Name, e.Zone, e.Kind, e.Address, e.Upstream.Weight, e.Upstream.Cell, e.Upstream.StartedAt, e.Draining, e.Removed}
}

func (e Entry) entry() roster.Entry[string] {
	r := roster.Entry[string]{Name: e.Name, Zone: e.Zone, Kind: e.Kind, Address: e.Address, Draining: e.Ends, Removed: e.Gone}
	r.Upstream.ID, r.Upstream.Weight, r.Upstream.Cell, r.Upstream.StartedAt = roster.NameHash(e.Name), e.Weight, e.Cell, e.Born
	return r
}

// Terms are times in nanoseconds.
type Terms struct {
	Silence int64 // of the owner, after which one asks oneself; well within the grace of a drain
	Calm    int64 // that the owner's word has come steadily, until one asks no longer
	Spread  int64 // by chance on top of Silence, so that not all ask at once
}

// Core is one member's view of one pool's list.
type Core struct {
	t       Terms
	spread  int64
	owner   bool
	token   uint64
	version uint64
	heard   int64 // last word of the present owner
	steady  int64 // since when its words have come without a gap
	asking  bool
	missing bool
	list    map[string]Entry // whole, as the owner has it
	whole   bool             // it has been told a whole list under this token
	deaf    bool             // and discovery tells it nothing at present
	Older   int64            // words that were dropped, of lower tokens and versions
}

// NewCore makes one; draw is a part of one, by chance. now counts as a word, so that an owner is given time at the start.
func NewCore(t Terms, draw float64, now int64) *Core {
	return &Core{t: t, spread: int64(draw * float64(t.Spread)), heard: now, steady: now, list: map[string]Entry{}}
}

// Owns says that this member asks for all from now on, under a token, or no longer.
func (c *Core) Owns(now int64, token uint64, yes bool) {
	if c.owner = yes; yes {
		c.token, c.version, c.whole, c.deaf = max(c.token, token), 0, false, false
		clear(c.list)
		return
	}
	c.heard, c.steady = now, now
}

// Told takes what discovery told this member as the owner; it gives the word to pass on. Danger: a member may have asked
// already when it became the owner. Changes alone are no list; what it makes of them would have the others drop the rest.
func (c *Core) Told(pool string, entries []roster.Entry[string], whole bool) (w Word, pass bool) {
	if !whole && !c.whole {
		return w, false
	}
	if c.deaf = false; whole {
		clear(c.list)
		c.whole = true
	}
	w = Word{Pool: pool, Token: c.token, Whole: whole}
	for _, e := range entries {
		x := of(e)
		if w.Entries = append(w.Entries, x); x.Gone {
			delete(c.list, x.Name)
		} else {
			c.list[x.Name] = x
		}
	}
	c.version++
	w.Version = c.version
	return w, true
}

// All is the whole list as this member, the owner, has it; false if it has none yet.
func (c *Core) All(pool string) (Word, bool) {
	w := Word{Pool: pool, Token: c.token, Version: c.version, Whole: true}
	for _, name := range slices.Sorted(maps.Keys(c.list)) {
		w.Entries = append(w.Entries, c.list[name])
	}
	return w, c.owner && c.version > 0
}

// Untold says that discovery can't be had, or that following it has ended.
func (c *Core) Untold() { c.deaf = true }

// Beat is the word that there is nothing new; false before there is a list. Danger: an owner that is cut off from discovery
// knows of nothing new because nobody tells it; the others have to ask for themselves.
func (c *Core) Beat(pool string) (Word, bool) {
	return Word{Pool: pool, Token: c.token, Version: c.version}, c.owner && c.version > 0 && !c.deaf
}

// Heard takes an owner's word that has passed the fence. It gives what the list is told; ask says that words are missing and
// the whole is to be had from the owner. fenced is false only in a variant that heeds old owners.
func (c *Core) Heard(now int64, w *Word, fenced bool) (tell []roster.Entry[string], whole, ask bool) {
	if fenced && (w.Token < c.token || w.Token == c.token && w.Version < c.version) || c.owner && w.Token <= c.token {
		c.Older++
		return nil, false, false
	}
	if w.Token > c.token { // danger: an owner that was replaced and hasn't noticed would pass on its own under the newer token
		c.owner = false
	}
	if w.Token > c.token || !fenced && w.Token != c.token {
		c.token, c.version, c.missing = w.Token, 0, true
		c.steady = now
	}
	if now-c.heard > c.t.Silence {
		c.steady = now
	}
	c.heard = now
	switch {
	case w.Whole:
		c.missing = false
	case w.Version == c.version && len(w.Entries) == 0:
		return nil, false, c.missing
	case len(w.Entries) > 0 && w.Version == c.version+1 && !c.missing:
	case len(w.Entries) > 0 && !fenced:
	default:
		c.missing = true
		return nil, false, true
	}
	if w.Version == c.version && !w.Whole {
		return nil, false, false
	}
	c.version = w.Version
	for _, e := range w.Entries {
		tell = append(tell, e.entry())
	}
	return tell, w.Whole, false
}

// Ask says whether this member is to ask discovery itself now: it is the owner, or the owner's word is late.
func (c *Core) Ask(now int64) bool {
	switch {
	case c.owner:
		c.asking = true
	case now-c.heard > c.t.Silence+c.spread, c.missing && now-c.steady > c.t.Silence+c.spread:
		c.asking = true
	case c.asking && !c.missing && now-c.steady > c.t.Calm && now-c.heard <= c.t.Silence:
		c.asking = false
	}
	return c.asking
}

// Owner reports whether this member asks for all.
func (c *Core) Owner() bool { return c.owner }

// Age is how long ago the owner spoke.
func (c *Core) Age(now int64) int64 { return now - c.heard }
