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
	Name     Name
	Zone     string
	Kind     string // of machine, if told
	Address  string // where it is reached, if the door reaches it by address
	Upstream logic.Upstream
	Draining bool // drains: it finishes what it has
	Removed  bool
}

// UpstreamID orders upstreams: it is the same at every balancer, as the name is.
func UpstreamID(name string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return hash.Sum32()
}

// Endpoint is one upstream's stay at one address. Danger: addresses are used again, and what is kept of one upstream
// (connections first of all) must not pass for its successor's.
type Endpoint struct {
	Host      string // never used again
	Address   string
	IdleConns *atomic.Int32 // connections to it that wait for a push; whoever owns them counts
}

// Engine is what is told of the list: a Balancer, or what the lab sets in its place.
type Engine interface {
	Known(i int) bool
	Join() int
	List(i int, u logic.Upstream, now int64)
	Drain(i int)
	Leave(i int)
	Listed(ok bool, now int64)
}

// Roster knows which index stands for which upstream of one balancer.
type Roster[Name comparable] struct {
	engine         Engine
	zoneNumbers    map[string]int
	kindNumbers    map[string]int
	indexByName    map[Name]int
	names          []Name
	endpoints      []Endpoint
	entries        []Entry[Name]
	indexByAddress map[string]int // index by address, as far as any is told
	endpointCount  int            // so far
}

// New starts an empty roster; zones are numbered by their place.
func New[Name comparable](engine Engine, zones []string) *Roster[Name] {
	r := &Roster[Name]{engine: engine, zoneNumbers: map[string]int{}, kindNumbers: map[string]int{"": 0}, indexByName: map[Name]int{}, indexByAddress: map[string]int{}}
	for _, z := range zones {
		numberOf(r.zoneNumbers, z)
	}
	return r
}

// Change is what a report of the list has changed.
type Change struct {
	ReleasedHosts             []string // hosts
	Joined, Draining, Removed int      // upstreams that are new, drain from now on, and are no longer listed
	Listed                    int      // in all, from now on
	Conflicts                 int      // entries left out: another upstream is at their address
	NewestStart               int64    // the latest start among the new ones, 0 if none was told
}

// Apply hands a report of the list on, entry by entry, and tells what has changed by it. Who is missing from a whole
// list has left.
func (r *Roster[Name]) Apply(entries []Entry[Name], complete bool, now int64) (change Change) {
	listed, present := map[Name]bool{}, map[Name]bool{}
	for _, e := range entries {
		listed[e.Name], present[e.Name] = true, !e.Removed
	}
	for _, e := range entries {
		i, known := r.indexByName[e.Name]
		if e.Removed {
			if known {
				r.remove(i, &change)
			}
			continue
		}
		// Danger: one machine under two names would get two parts, and be paid twice while it is cold. The later start
		// stands; of two that started alike, who serves; of two that serve, who came last, unless one report tells both.
		if j, taken := r.indexByAddress[e.Address]; taken && r.names[j] != e.Name && r.engine.Known(j) {
			other := r.entries[j]
			sameStart := e.Upstream.StartedAt == other.Upstream.StartedAt
			if e.Upstream.StartedAt < other.Upstream.StartedAt || sameStart && e.Draining && !other.Draining || sameStart && e.Draining == other.Draining && present[other.Name] {
				if change.Conflicts++; known && r.engine.Known(i) {
					r.remove(i, &change)
				}
				continue
			}
			r.remove(j, &change)
		}
		if !known || !r.engine.Known(i) {
			i = r.join(e.Name)
			change.Joined, change.NewestStart = change.Joined+1, max(change.NewestStart, e.Upstream.StartedAt)
		}
		if r.endpoints[i].Address != e.Address {
			r.setAddress(i, e.Address, &change)
		}
		if e.Draining && !r.entries[i].Draining {
			change.Draining++
		}
		r.entries[i] = e
		e.Upstream.Zone, e.Upstream.Kind = numberOf(r.zoneNumbers, e.Zone), numberOf(r.kindNumbers, e.Kind)
		r.engine.List(i, e.Upstream, now)
		if e.Draining {
			r.engine.Drain(i)
		}
	}
	if complete {
		for i, name := range r.names {
			if !listed[name] {
				r.remove(i, &change)
			}
		}
	}
	for i := range r.names {
		if r.engine.Known(i) {
			change.Listed++
		}
	}
	r.engine.Listed(true, now)
	return change
}

func (r *Roster[Name]) remove(i int, change *Change) {
	if r.engine.Known(i) {
		change.Removed++
	}
	r.engine.Leave(i)
	r.setAddress(i, "", change)
}

// setAddress begins a stay and ends the one before.
func (r *Roster[Name]) setAddress(i int, address string, change *Change) {
	if before := r.endpoints[i].Address; before != "" {
		if change.ReleasedHosts = append(change.ReleasedHosts, r.endpoints[i].Host); r.indexByAddress[before] == i {
			delete(r.indexByAddress, before)
		}
	}
	if address != "" {
		r.indexByAddress[address] = i
	}
	r.endpointCount++
	r.endpoints[i] = Endpoint{"u" + strconv.Itoa(r.endpointCount), address, new(atomic.Int32)}
}

// ZoneNumber is the number of a zone.
func (r *Roster[Name]) ZoneNumber(name string) int { return numberOf(r.zoneNumbers, name) }

// Entries is the list as it stands.
func (r *Roster[Name]) Entries() (all []Entry[Name]) {
	for i, e := range r.entries {
		if r.engine.Known(i) {
			all = append(all, e)
		}
	}
	return all
}

// Index finds an upstream by its name.
func (r *Roster[Name]) Index(name Name) (i int, known bool) {
	i, known = r.indexByName[name]
	return i, known
}

// Name is the upstream behind an index.
func (r *Roster[Name]) Name(i int) Name { return r.names[i] }

// Endpoint is where the upstream behind an index is reached.
func (r *Roster[Name]) Endpoint(i int) Endpoint { return r.endpoints[i] }

// ZoneAndCell is the zone and cell of the upstream behind an index, as the list names them.
func (r *Roster[Name]) ZoneAndCell(i int) (zone string, cell int) {
	return r.entries[i].Zone, r.entries[i].Upstream.Cell
}

// join gives an upstream an index; an index used before is taken from the one that had it.
func (r *Roster[Name]) join(name Name) int {
	i := r.engine.Join()
	if i == len(r.names) {
		r.names, r.endpoints = append(r.names, name), append(r.endpoints, Endpoint{IdleConns: new(atomic.Int32)})
		r.entries = append(r.entries, Entry[Name]{})
	} else {
		if r.indexByName[r.names[i]] == i {
			delete(r.indexByName, r.names[i])
		}
		r.names[i], r.entries[i] = name, Entry[Name]{}
	}
	r.indexByName[name] = i
	return i
}

// numberOf is the number of a name, the next one if it is new.
func numberOf(names map[string]int, name string) int {
	n, known := names[name]
	if !known {
		n = len(names)
		names[name] = n
	}
	return n
}
