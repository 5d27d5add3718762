// Package roster maps upstream names to the indexes of the decision engine, and tells the engine which upstreams are
// added, changed and removed by an update of the list.
package roster

import (
	"hash/fnv"
	"strconv"
	"sync/atomic"

	"ottershift/logic"
)

// Entry is one entry of an upstream list.
type Entry[Name comparable] struct {
	Name     Name
	Zone     string
	Kind     string // kind of machine, if known
	Address  string // host and port, if the front end connects by address
	Upstream logic.Upstream
	Draining bool // finishes its open transactions and gets no new ones
	Removed  bool // no longer listed
}

// NameHash returns the number of a name, for instance the ID by which engines order upstreams. It depends on the name only,
// and is the same at all balancers.
func NameHash(name string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return hash.Sum32()
}

// Endpoint identifies the use of an address by one upstream. Addresses are reused, and state of one upstream,
// connections in particular, must not be attributed to the next one at its address.
type Endpoint struct {
	Host      string // unique, never reused
	Address   string
	IdleConns *atomic.Int32 // idle connections to it, counted by the owner of the connections
}

// Engine receives the changes of the list: a logic.Balancer, or a substitute for simulations.
type Engine interface {
	Known(i int) bool
	Join() int
	List(i int, u logic.Upstream, now int64)
	Drain(i int)
	Leave(i int)
	Listed(ok bool, now int64)
}

// Roster maps the upstreams of one engine to their indexes.
type Roster[Name comparable] struct {
	engine         Engine
	zoneNumbers    map[string]int
	kindNumbers    map[string]int
	indexByName    map[Name]int
	names          []Name
	endpoints      []Endpoint
	entries        []Entry[Name]
	indexByAddress map[string]int // upstreams without an address are left out
	endpointCount  int            // endpoints created so far
}

// New returns an empty roster. Zones are numbered in the given order.
func New[Name comparable](engine Engine, zones []string) *Roster[Name] {
	r := &Roster[Name]{
		engine: engine, zoneNumbers: map[string]int{}, kindNumbers: map[string]int{"": 0},
		indexByName: map[Name]int{}, indexByAddress: map[string]int{},
	}
	for _, z := range zones {
		numberOf(r.zoneNumbers, z)
	}
	return r
}

// Change describes the effects of an update of the list.
type Change struct {
	ReleasedHosts             []string // hosts of endpoints that are no longer in use
	Joined, Draining, Removed int      // numbers of upstreams that are new, start to drain, and are no longer listed
	Listed                    int      // number of upstreams after the update
	Conflicts                 int      // entries ignored because another upstream has their address
	NewestStart               int64    // latest start time of the new upstreams, 0 if unknown
}

// Apply passes an update of the list to the engine and returns what it changed. A complete update removes the upstreams
// that it does not contain.
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
		// A machine listed under two names would get twice its share of load, also while it is cold. The entry with the
		// later start time is kept. With the same start time it is the one that is not draining, else the later one,
		// or the first one if both are in the same update.
		if holder, taken := r.indexByAddress[e.Address]; taken && r.names[holder] != e.Name && r.engine.Known(holder) {
			other := r.entries[holder]
			sameStart := e.Upstream.StartedAt == other.Upstream.StartedAt
			if e.Upstream.StartedAt < other.Upstream.StartedAt || sameStart && e.Draining && !other.Draining ||
				sameStart && e.Draining == other.Draining && present[other.Name] {
				if change.Conflicts++; known && r.engine.Known(i) {
					r.remove(i, &change)
				}
				continue
			}
			r.remove(holder, &change)
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

// remove removes an upstream from the engine and releases its endpoint.
func (r *Roster[Name]) remove(i int, change *Change) {
	if r.engine.Known(i) {
		change.Removed++
	}
	r.engine.Leave(i)
	r.setAddress(i, "", change)
}

// setAddress gives an upstream a new endpoint and releases the previous one.
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

// ZoneNumber returns the number of a zone. New zones get the next free number.
func (r *Roster[Name]) ZoneNumber(name string) int { return numberOf(r.zoneNumbers, name) }

// Entries returns the current list.
func (r *Roster[Name]) Entries() (all []Entry[Name]) {
	for i, e := range r.entries {
		if r.engine.Known(i) {
			all = append(all, e)
		}
	}
	return all
}

// Index returns the index of an upstream.
func (r *Roster[Name]) Index(name Name) (index int, known bool) {
	index, known = r.indexByName[name]
	return index, known
}

// Name returns the name of the upstream with index i.
func (r *Roster[Name]) Name(i int) Name { return r.names[i] }

// Endpoint returns the endpoint of the upstream with index i.
func (r *Roster[Name]) Endpoint(i int) Endpoint { return r.endpoints[i] }

// ZoneAndCell returns the zone and cell of the upstream with index i, as named in the list.
func (r *Roster[Name]) ZoneAndCell(i int) (zone string, cell int) {
	return r.entries[i].Zone, r.entries[i].Upstream.Cell
}

// join adds an upstream to the engine. If the engine reuses an index, the name that had it before loses it.
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

// numberOf returns the number of a name. A new name gets the next number.
func numberOf(names map[string]int, name string) int {
	n, known := names[name]
	if !known {
		n = len(names)
		names[name] = n
	}
	return n
}
