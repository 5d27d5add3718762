// Package roster turns lists of named upstreams into the module's indexes: who joins, who changes, who leaves.
package roster

import (
	"hash/fnv"
	"strconv"
	"sync/atomic"

	"ottershift/logic"
)

// Entry is one line of a list.
type Entry[Name comparable] struct {
	Name    Name
	Zone    string
	Kind    string // of machine, if told
	Address string // where it is reached, if the door reaches it by address
	Up      logic.Upstream
	Ends    bool // drains: it finishes what it has
	Gone    bool
}

// Number orders upstreams: it is the same at every balancer, as the name is.
func Number(name string) uint32 {
	number := fnv.New32a()
	number.Write([]byte(name))
	return number.Sum32()
}

// Place is one upstream's stay at one address. Danger: addresses are used again, and what is kept of one upstream
// (connections first of all) must not pass for its successor's.
type Place struct {
	Host    string // never used again
	Address string
	Kept    *atomic.Int32 // connections to it that wait for a push; whoever owns them counts
}

// Module is what is told of the list: a Balancer, or what the lab sets in its place.
type Module interface {
	Known(i int) bool
	Join() int
	List(i int, u logic.Upstream, now int64)
	Drain(i int)
	Leave(i int)
	Listed(ok bool, now int64)
}

// Roster knows which index stands for which upstream of one balancer.
type Roster[Name comparable] struct {
	b     Module
	zones map[string]int
	kinds map[string]int
	index map[Name]int
	names []Name
	place []Place
	entry []Entry[Name]
	at    map[string]int // index by address, as far as any is told
	stays int            // so far
}

// New starts an empty roster; zones are numbered by their place.
func New[Name comparable](b Module, zones []string) *Roster[Name] {
	r := &Roster[Name]{b: b, zones: map[string]int{}, kinds: map[string]int{"": 0}, index: map[Name]int{}, at: map[string]int{}}
	for _, z := range zones {
		numbered(r.zones, z)
	}
	return r
}

// Change is what a report of the list has changed.
type Change struct {
	Left               []string // hosts
	Joined, Ends, Gone int      // upstreams that are new, drain from now on, and are no longer listed
	Listed             int      // in all, from now on
	Odd                int      // entries left out: another upstream is at their address
	Born               int64    // the latest start among the new ones, 0 if none was told
}

// Apply hands a report of the list on, entry by entry, and tells what has changed by it. Who is missing from a whole
// list has left.
func (r *Roster[Name]) Apply(entries []Entry[Name], whole bool, now int64) (c Change) {
	here, stands := map[Name]bool{}, map[Name]bool{}
	for _, e := range entries {
		here[e.Name], stands[e.Name] = true, !e.Gone
	}
	for _, e := range entries {
		i, known := r.index[e.Name]
		if e.Gone {
			if known {
				r.leave(i, &c)
			}
			continue
		}
		// Danger: one machine under two names would get two parts, and be paid twice while it is cold. The later start
		// stands; of two that started alike, who serves; of two that serve, who came last, unless one report tells both.
		if j, taken := r.at[e.Address]; taken && r.names[j] != e.Name && r.b.Known(j) {
			has := r.entry[j]
			alike := e.Up.StartedAt == has.Up.StartedAt
			if e.Up.StartedAt < has.Up.StartedAt || alike && e.Ends && !has.Ends || alike && e.Ends == has.Ends && stands[has.Name] {
				if c.Odd++; known && r.b.Known(i) {
					r.leave(i, &c)
				}
				continue
			}
			r.leave(j, &c)
		}
		if !known || !r.b.Known(i) {
			i = r.join(e.Name)
			c.Joined, c.Born = c.Joined+1, max(c.Born, e.Up.StartedAt)
		}
		if r.place[i].Address != e.Address {
			r.move(i, e.Address, &c)
		}
		if e.Ends && !r.entry[i].Ends {
			c.Ends++
		}
		r.entry[i] = e
		e.Up.Zone, e.Up.Kind = numbered(r.zones, e.Zone), numbered(r.kinds, e.Kind)
		r.b.List(i, e.Up, now)
		if e.Ends {
			r.b.Drain(i)
		}
	}
	if whole {
		for i, name := range r.names {
			if !here[name] {
				r.leave(i, &c)
			}
		}
	}
	for i := range r.names {
		if r.b.Known(i) {
			c.Listed++
		}
	}
	r.b.Listed(true, now)
	return c
}

func (r *Roster[Name]) leave(i int, c *Change) {
	if r.b.Known(i) {
		c.Gone++
	}
	r.b.Leave(i)
	r.move(i, "", c)
}

// move begins a stay and ends the one before.
func (r *Roster[Name]) move(i int, address string, c *Change) {
	if was := r.place[i].Address; was != "" {
		if c.Left = append(c.Left, r.place[i].Host); r.at[was] == i {
			delete(r.at, was)
		}
	}
	if address != "" {
		r.at[address] = i
	}
	r.stays++
	r.place[i] = Place{"u" + strconv.Itoa(r.stays), address, new(atomic.Int32)}
}

// Zone is the number of a zone.
func (r *Roster[Name]) Zone(name string) int { return numbered(r.zones, name) }

// Entries is the list as it stands.
func (r *Roster[Name]) Entries() (all []Entry[Name]) {
	for i, e := range r.entry {
		if r.b.Known(i) {
			all = append(all, e)
		}
	}
	return all
}

// Index finds an upstream by its name.
func (r *Roster[Name]) Index(name Name) (i int, known bool) {
	i, known = r.index[name]
	return i, known
}

// Name is the upstream behind an index.
func (r *Roster[Name]) Name(i int) Name { return r.names[i] }

// Place is where the upstream behind an index is reached.
func (r *Roster[Name]) Place(i int) Place { return r.place[i] }

// Group is the zone and cell of the upstream behind an index, as the list names them.
func (r *Roster[Name]) Group(i int) (zone string, cell int) {
	return r.entry[i].Zone, r.entry[i].Up.Cell
}

// join gives an upstream an index; an index used before is taken from the one that had it.
func (r *Roster[Name]) join(name Name) int {
	i := r.b.Join()
	if i == len(r.names) {
		r.names, r.place = append(r.names, name), append(r.place, Place{Kept: new(atomic.Int32)})
		r.entry = append(r.entry, Entry[Name]{})
	} else {
		if r.index[r.names[i]] == i {
			delete(r.index, r.names[i])
		}
		r.names[i], r.entry[i] = name, Entry[Name]{}
	}
	r.index[name] = i
	return i
}

// numbered is the number of a name, the next one if it is new.
func numbered(names map[string]int, name string) int {
	n, known := names[name]
	if !known {
		n = len(names)
		names[name] = n
	}
	return n
}
