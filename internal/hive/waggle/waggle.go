// Package waggle is the news that goes round the mesh: which machines with balancers there are, the upstream on each,
// and the words in which balancers ask the core for it. A Cell is one core process's knowledge of them, without I/O or
// clock. All of it is hearsay: it is renewed, grows old and is dropped; no rule rests on it alone.
package waggle

import (
	"encoding/json"
	"slices"
	"strings"
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
	Ill      int   `json:",omitempty"` // level, by what the balancer beside it sees of it (nurse)
}

// Nest is a balancer and its machine, as it tells of itself.
type Nest struct {
	Node     string
	Inbound  string // address
	District string
	Life     string    // of its process
	Seq      uint64    // rises with each change within a life
	Up       *Upstream `json:",omitempty"`
	Leaving  bool      `json:",omitempty"`
}

// Told is a nest as the core passes it on.
type Told struct {
	Nest
	Age  int64 // nanoseconds since it was heard of directly
	Lost bool  `json:",omitempty"` // its lease has run out
}

// Have is what a balancer knows already.
type Have struct {
	Comb  string // whose count Seq is of
	Seq   uint64
	Index uint64 // of the agreed state

	Edition int64  // of the timetable
	Imports uint64 `json:",omitempty"` // number of what is agreed about partners
}

// Ask renews a balancer's lease and asks for news.
type Ask struct {
	Nest Nest
	Have Have
	Wait int64 // nanoseconds at most until an answer
}

// News is the answer.
type News struct {
	Have
	Current   bool             // a majority of the core confirmed Index a moment ago
	Young     bool             `json:",omitempty"` // the asked process has not been up for a lease yet: there may be more nests
	Members   int              // balancers, as agreed
	Queen     string           // address of who keeps the bank of quotas
	Reign     uint64           // rises with each
	Timetable json.RawMessage  `json:",omitempty"` // where Edition was another
	Whole     bool             // Nests are all there are
	Nests     []Told           `json:",omitempty"`
	Gone      []string         `json:",omitempty"`
	Imports   json.RawMessage  `json:",omitempty"` // what is agreed about partners, where the number was another
	ImportsNo uint64           `json:",omitempty"`
	Calm      bool             `json:",omitempty"` // nothing later can have been decided before a moment ago: what is agreed may be acted on
	Ages      map[string]int64 `json:",omitempty"` // nanoseconds since partners confirmed their words
	Combs     []Post           // the core's processes, as far as they are heard of
}

// Post is a process of the core.
type Post struct{ At, Zone string }

type entry struct {
	Nest
	heard int64
	cold  int64 // moment until which its upstream is slow
	seq   uint64
	lost  bool
	mine  bool // heard directly, not through another process
}

// Cell keeps who is there.
type Cell struct {
	seq   uint64
	by    map[string]*entry
	gone  map[string]uint64 // when nodes were dropped
	floor uint64            // of gone: who asks with less gets all
}

// NewCell makes an empty one.
func NewCell() *Cell { return &Cell{by: map[string]*entry{}, gone: map[string]uint64{}} }

// Seq counts changes.
func (c *Cell) Seq() uint64 { return c.seq }

// Hear takes a nest's own word, or what was heard of it some time ago; it reports whether that is news.
func (c *Cell) Hear(n Nest, age, now int64, direct bool) bool {
	heard := now - age
	e := c.by[n.Node]
	switch {
	case n.Leaving && n.Up == nil:
		if e == nil || e.Life != n.Life {
			return false
		}
		c.drop(n.Node)
		return true
	case e == nil:
		if age > Remembered {
			return false
		}
		e = &entry{}
		c.by[n.Node] = e
		delete(c.gone, n.Node)
	case e.Life == n.Life && n.Seq < e.Seq, e.Life != n.Life && heard <= e.heard:
		return false
	case e.Life == n.Life && n.Seq == e.Seq:
		if heard >= e.heard {
			e.heard, e.mine = heard, direct // who heard it last passes it on
		}
		if e.lost && now-e.heard < Lease {
			e.lost = false
			c.mark(e)
			return true
		}
		return false
	}
	e.Nest, e.heard, e.mine, e.lost = n, max(heard, e.heard), direct, false
	if n.Up != nil {
		e.cold = heard + n.Up.Cold
	}
	c.mark(e)
	return true
}

func (c *Cell) mark(e *entry) {
	c.seq++
	e.seq = c.seq
}

func (c *Cell) drop(node string) {
	delete(c.by, node)
	c.seq++
	c.gone[node] = c.seq
	if len(c.gone) > 256 {
		for name, at := range c.gone {
			if at <= c.seq-128 {
				delete(c.gone, name)
			}
		}
		c.floor = c.seq - 128
	}
}

// Sweep ends leases and forgets who has been away for long; it reports whether that is news.
func (c *Cell) Sweep(now int64) bool {
	before := c.seq
	for node, e := range c.by {
		switch age := now - e.heard; {
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
func (c *Cell) Since(seq uint64, now int64) (nests []Told, gone []string, whole bool) {
	if seq < c.floor || seq > c.seq {
		seq = 0
	}
	for _, e := range c.by {
		if e.seq > seq {
			nests = append(nests, c.told(e, now))
		}
	}
	slices.SortFunc(nests, func(a, b Told) int { return strings.Compare(a.Node, b.Node) })
	if seq > 0 {
		for node, at := range c.gone {
			if at > seq {
				gone = append(gone, node)
			}
		}
		slices.Sort(gone)
	}
	return nests, gone, seq == 0
}

func (c *Cell) told(e *entry, now int64) Told {
	t := Told{Nest: e.Nest, Age: now - e.heard, Lost: e.lost}
	if e.Up != nil {
		up := *e.Up
		up.Cold = max(0, e.cold-now)
		t.Up = &up
	}
	return t
}

// Beat is a renewal that another process heard directly.
type Beat struct {
	Node, Life string
	Seq        uint64
	Age        int64
}

// Mine are the renewals heard directly of late.
func (c *Cell) Mine(now int64) (all []Beat) {
	for _, e := range c.by {
		if e.mine && now-e.heard < Lease {
			all = append(all, Beat{e.Node, e.Life, e.Seq, now - e.heard})
		}
	}
	slices.SortFunc(all, func(a, b Beat) int { return strings.Compare(a.Node, b.Node) })
	return all
}

// Renew takes renewals that another process heard; it reports whether that is news, and which nodes are not known as
// told.
func (c *Cell) Renew(beats []Beat, now int64) (news bool, unknown bool) {
	for _, b := range beats {
		e := c.by[b.Node]
		if e == nil || e.Life != b.Life || e.Seq < b.Seq {
			unknown = true
			continue
		}
		if e.Seq == b.Seq {
			news = c.Hear(e.Nest, b.Age, now, false) || news
		}
	}
	return news, unknown
}

// Known are the balancers that are there or were of late.
func (c *Cell) Known() int { return len(c.by) }
