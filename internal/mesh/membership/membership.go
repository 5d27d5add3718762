// Package membership is the news that goes round the mesh: which machines with balancers there are, the upstream on each,
// and the words in which balancers ask the core for it. A Registry is one core process's knowledge of them, without I/O or
// clock. All of it is gossip: it is renewed, grows old and is dropped; no rule rests on it alone.
package membership

import (
	"encoding/json"
	"slices"
	"strings"

	"ottershift/internal/mesh/routing"
)

// Times are nanoseconds of a steady clock; no two processes compare theirs, so ages travel.
const (
	ms = int64(1e6)
	s  = int64(1e9)

	// Lease is how long a balancer is a member without a renewal.
	Lease = 3 * s
	// Remembered is how long one whose lease ran out is still told of: it may be cut off from the core alone, and serve.
	Remembered = 15 * s
)

// Upstream is the life of an application on a balancer's machine.
type Upstream struct {
	ID       string
	Service  string
	Edition  string `json:",omitempty"`
	Capacity int
	Closing  bool  `json:",omitempty"`
	Cold     int64 `json:",omitempty"` // nanoseconds for which it is still slow
	Ill      int   `json:",omitempty"` // level, by what the balancer beside it sees of it (outlier)
}

// Node is a balancer and its machine, as it tells of itself.
type Node struct {
	Name     string `json:"Node"`
	Inbound  string // address
	District string
	Life     string    // of its process
	Seq      uint64    // rises with each change within a life
	Upstream *Upstream `json:"Up,omitempty"`
	Leaving  bool      `json:",omitempty"`
}

// Record is a node as the core passes it on.
type Record struct {
	Node
	Age  int64 // nanoseconds since it was heard of directly
	Lost bool  `json:",omitempty"` // its lease has run out
}

// Position is what a balancer knows already.
type Position struct {
	Controller string `json:"Comb"` // whose count Seq is of
	Seq        uint64
	Index      uint64 // of the agreed state

	Edition int64  // of the configuration
	Digest  string `json:",omitempty"` // of the configuration; none from processes of the version before
	Imports uint64 `json:",omitempty"` // number of what is agreed about partners
}

// WatchRequest renews a balancer's lease and asks for news.
type WatchRequest struct {
	Node     Node     `json:"Nest"`
	Position Position `json:"Have"`
	MaxWait  int64    `json:"Wait"`       // nanoseconds at most until an answer
	Packed   bool     `json:",omitempty"` // a configuration may come packed, or be only named: the asker fetches it apart
}

// WatchResponse is the answer.
type WatchResponse struct {
	Position
	Current       bool                // a majority of the core confirmed Index a moment ago
	Starting      bool                `json:"Young,omitempty"` // the asked process has not been up for a lease yet: there may be more nodes
	Members       int                 // balancers, as agreed
	Coordinator   string              `json:"Queen"`               // address of who keeps the bank of quotas
	Epoch         uint64              `json:"Reign"`               // rises with each
	Configuration json.RawMessage     `json:"Timetable,omitempty"` // where Edition was another
	Packed        *routing.Packed     `json:",omitempty"`          // the same for who takes it so, if it is short; a long one is named by Digest alone
	Whole         bool                // Nodes are all there are
	Nodes         []Record            `json:"Nests,omitempty"`
	Gone          []string            `json:",omitempty"`
	Imports       json.RawMessage     `json:",omitempty"` // what is agreed about partners, where the number was another
	ImportsNo     uint64              `json:",omitempty"`
	Calm          bool                `json:",omitempty"` // nothing later can have been decided before a moment ago: what is agreed may be acted on
	Ages          map[string]int64    `json:",omitempty"` // nanoseconds since partners confirmed their words
	Controllers   []ControllerAddress `json:"Combs"`      // the core's processes, as far as they are heard of
}

// ConfigurationRequest asks for a piece of the configuration as it travels: the first one of the newest, or the next one of what a
// former answer began.
type ConfigurationRequest struct {
	Held         string // digest of the configuration that the asker has, none for nothing
	Result, Base string `json:",omitempty"` // what a former answer began
	Offset       int    `json:",omitempty"` // bytes of that which the asker has
}

// ConfigurationResponse is a piece. What it belongs to is named by the digests in Packed; where that is not what was asked for, it is
// the first piece of the newest.
type ConfigurationResponse struct {
	Packed  routing.Packed
	Offset  int
	Total   int
	Index   uint64 `json:",omitempty"` // of the state whose configuration it is, with a first piece
	Current bool   `json:",omitempty"` // a majority of the core confirmed Index a moment ago
}

// ControllerAddress is a process of the core.
type ControllerAddress struct{ At, Zone string }

type entry struct {
	Node
	lastHeard int64
	cold      int64 // moment until which its upstream is slow
	seq       uint64
	lost      bool
	direct    bool // heard directly, not through another process
}

// Registry keeps who is there.
type Registry struct {
	seq     uint64
	entries map[string]*entry
	removed map[string]uint64 // when nodes were dropped
	floor   uint64            // of gone: who asks with less gets all
}

// NewRegistry makes an empty one.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]*entry{}, removed: map[string]uint64{}}
}

// Seq counts changes.
func (c *Registry) Seq() uint64 { return c.seq }

// Hear takes a node's own word, or what was heard of it some time ago; it reports whether that is news.
func (c *Registry) Observe(n Node, age, now int64, direct bool) bool {
	heard := now - age
	e := c.entries[n.Name]
	switch {
	case n.Leaving && n.Upstream == nil:
		if e == nil || e.Life != n.Life {
			return false
		}
		c.drop(n.Name)
		return true
	case e == nil:
		if age > Remembered {
			return false
		}
		e = &entry{}
		c.entries[n.Name] = e
		delete(c.removed, n.Name)
	case e.Life == n.Life && n.Seq < e.Seq, e.Life != n.Life && heard <= e.lastHeard:
		return false
	case e.Life == n.Life && n.Seq == e.Seq:
		if heard >= e.lastHeard {
			e.lastHeard, e.direct = heard, direct // who heard it last passes it on
		}
		if e.lost && now-e.lastHeard < Lease {
			e.lost = false
			c.mark(e)
			return true
		}
		return false
	}
	e.Node, e.lastHeard, e.direct, e.lost = n, max(heard, e.lastHeard), direct, false
	if n.Upstream != nil {
		e.cold = heard + n.Upstream.Cold
	}
	c.mark(e)
	return true
}

func (c *Registry) mark(e *entry) {
	c.seq++
	e.seq = c.seq
}

func (c *Registry) drop(node string) {
	delete(c.entries, node)
	c.seq++
	c.removed[node] = c.seq
	if len(c.removed) > 256 {
		for name, at := range c.removed {
			if at <= c.seq-128 {
				delete(c.removed, name)
			}
		}
		c.floor = c.seq - 128
	}
}

// Sweep ends leases and forgets who has been away for long; it reports whether that is news.
func (c *Registry) Expire(now int64) bool {
	before := c.seq
	for node, e := range c.entries {
		switch age := now - e.lastHeard; {
		case age > Remembered:
			c.drop(node)
		case age > Lease && !e.lost:
			e.lost = true
			c.mark(e)
		}
	}
	return c.seq != before
}

// Since is what has changed after a count; whole says that it is all.
func (c *Registry) ChangesSince(seq uint64, now int64) (nests []Record, gone []string, whole bool) {
	if seq < c.floor || seq > c.seq {
		seq = 0
	}
	for _, e := range c.entries {
		if e.seq > seq {
			nests = append(nests, c.record(e, now))
		}
	}
	slices.SortFunc(nests, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	if seq > 0 {
		for node, at := range c.removed {
			if at > seq {
				gone = append(gone, node)
			}
		}
		slices.Sort(gone)
	}
	return nests, gone, seq == 0
}

func (c *Registry) record(e *entry, now int64) Record {
	t := Record{Node: e.Node, Age: now - e.lastHeard, Lost: e.lost}
	if e.Upstream != nil {
		up := *e.Upstream
		up.Cold = max(0, e.cold-now)
		t.Upstream = &up
	}
	return t
}

// Beat is a renewal that another process heard directly.
type Renewal struct {
	Node, Life string
	Seq        uint64
	Age        int64
}

// Mine are the renewals heard directly of late.
func (c *Registry) OwnRenewals(now int64) (all []Renewal) {
	for _, e := range c.entries {
		if e.direct && now-e.lastHeard < Lease {
			all = append(all, Renewal{e.Name, e.Life, e.Seq, now - e.lastHeard})
		}
	}
	slices.SortFunc(all, func(a, b Renewal) int { return strings.Compare(a.Node, b.Node) })
	return all
}

// Renew takes renewals that another process heard; it reports whether that is news, and which nodes are not known as
// told.
func (c *Registry) Renew(beats []Renewal, now int64) (news bool, unknown bool) {
	for _, b := range beats {
		e := c.entries[b.Node]
		if e == nil || e.Life != b.Life || e.Seq < b.Seq {
			unknown = true
			continue
		}
		if e.Seq == b.Seq {
			news = c.Observe(e.Node, b.Age, now, false) || news
		}
	}
	return news, unknown
}

// Known are the balancers that are there or were of late.
func (c *Registry) Known() int { return len(c.entries) }
