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
	millisecond = int64(1e6)
	second      = int64(1e9)

	// LeaseDuration is how long a balancer is a member without a renewal.
	LeaseDuration = 3 * second
	// LostRetention is how long one whose lease ran out is still told of: it may be cut off from the core alone, and serve.
	LostRetention = 15 * second
)

// Upstream is the life of an application on a balancer's machine.
type Upstream struct {
	ID              string
	Service         string
	Version         string `json:"Edition,omitempty"`
	Capacity        int
	Draining        bool  `json:"Closing,omitempty"`
	WarmupRemaining int64 `json:"Cold,omitempty"` // nanoseconds for which it is still slow
	OutlierLevel    int   `json:"Ill,omitempty"`  // level, by what the balancer beside it sees of it (outlier)
}

// Node is a balancer and its machine, as it tells of itself.
type Node struct {
	Name        string    `json:"Node"`
	Inbound     string    // address
	Zone        string    `json:"District"`
	Incarnation string    `json:"Life"` // of its process
	Seq         uint64    // rises with each change within a life
	Upstream    *Upstream `json:"Up,omitempty"`
	Leaving     bool      `json:",omitempty"`
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

	Edition      int64  // of the configuration
	Digest       string `json:",omitempty"`        // of the configuration; none from processes of the version before
	KnownImports uint64 `json:"Imports,omitempty"` // number of what is agreed about partners
}

// WatchRequest renews a balancer's lease and asks for news.
type WatchRequest struct {
	Node          Node     `json:"Nest"`
	Position      Position `json:"Have"`
	MaxWait       int64    `json:"Wait"`             // nanoseconds at most until an answer
	AcceptsPacked bool     `json:"Packed,omitempty"` // a configuration may come packed, or be only named: the asker fetches it apart
}

// WatchResponse is the answer.
type WatchResponse struct {
	Position
	Current        bool                // a majority of the core confirmed Index a moment ago
	Starting       bool                `json:"Young,omitempty"`     // the asked process has not been up for a lease yet: there may be more nodes
	BalancerCount  int                 `json:"Members"`             // balancers, as agreed
	Coordinator    string              `json:"Queen"`               // address of who keeps the bank of quotas
	Epoch          uint64              `json:"Reign"`               // rises with each
	Configuration  json.RawMessage     `json:"Timetable,omitempty"` // where Edition was another
	Packed         *routing.Packed     `json:",omitempty"`          // the same for who takes it so, if it is short; a long one is named by Digest alone
	Complete       bool                `json:"Whole"`               // Nodes are all there are
	Nodes          []Record            `json:"Nests,omitempty"`
	RemovedNodes   []string            `json:"Gone,omitempty"`
	Imports        json.RawMessage     `json:",omitempty"` // what is agreed about partners, where the number was another
	ImportsVersion uint64              `json:"ImportsNo,omitempty"`
	ImportsCurrent bool                `json:"Calm,omitempty"` // nothing later can have been decided before a moment ago: what is agreed may be acted on
	PartnerAges    map[string]int64    `json:"Ages,omitempty"` // nanoseconds since partners confirmed their words
	Controllers    []ControllerAddress `json:"Combs"`          // the core's processes, as far as they are heard of
}

// ConfigurationRequest asks for a piece of the configuration as it travels: the first one of the newest, or the next one of what a
// former answer began.
type ConfigurationRequest struct {
	HeldDigest   string `json:"Held"`       // digest of the configuration that the asker has, none for nothing
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
type ControllerAddress struct {
	Address string `json:"At"`
	Zone    string
}

type entry struct {
	Node
	lastHeard   int64
	warmupUntil int64 // moment until which its upstream is slow
	seq         uint64
	lost        bool
	direct      bool // heard directly, not through another process
}

// Registry keeps who is there.
type Registry struct {
	seq           uint64
	entries       map[string]*entry
	removed       map[string]uint64 // when nodes were dropped
	oldestRemoval uint64            // of gone: who asks with less gets all
}

// NewRegistry makes an empty one.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]*entry{}, removed: map[string]uint64{}}
}

// Seq counts changes.
func (r *Registry) Seq() uint64 { return r.seq }

// Hear takes a node's own word, or what was heard of it some time ago; it reports whether that is news.
func (r *Registry) Observe(node Node, age, now int64, direct bool) bool {
	heardAt := now - age
	e := r.entries[node.Name]
	switch {
	case node.Leaving && node.Upstream == nil:
		if e == nil || e.Incarnation != node.Incarnation {
			return false
		}
		r.remove(node.Name)
		return true
	case e == nil:
		if age > LostRetention {
			return false
		}
		e = &entry{}
		r.entries[node.Name] = e
		delete(r.removed, node.Name)
	case e.Incarnation == node.Incarnation && node.Seq < e.Seq, e.Incarnation != node.Incarnation && heardAt <= e.lastHeard:
		return false
	case e.Incarnation == node.Incarnation && node.Seq == e.Seq:
		if heardAt >= e.lastHeard {
			e.lastHeard, e.direct = heardAt, direct // who heard it last passes it on
		}
		if e.lost && now-e.lastHeard < LeaseDuration {
			e.lost = false
			r.markChanged(e)
			return true
		}
		return false
	}
	e.Node, e.lastHeard, e.direct, e.lost = node, max(heardAt, e.lastHeard), direct, false
	if node.Upstream != nil {
		e.warmupUntil = heardAt + node.Upstream.WarmupRemaining
	}
	r.markChanged(e)
	return true
}

func (r *Registry) markChanged(e *entry) {
	r.seq++
	e.seq = r.seq
}

func (r *Registry) remove(name string) {
	delete(r.entries, name)
	r.seq++
	r.removed[name] = r.seq
	if len(r.removed) > 256 {
		for removedName, at := range r.removed {
			if at <= r.seq-128 {
				delete(r.removed, removedName)
			}
		}
		r.oldestRemoval = r.seq - 128
	}
}

// Sweep ends leases and forgets who has been away for long; it reports whether that is news.
func (r *Registry) Expire(now int64) bool {
	before := r.seq
	for name, e := range r.entries {
		switch age := now - e.lastHeard; {
		case age > LostRetention:
			r.remove(name)
		case age > LeaseDuration && !e.lost:
			e.lost = true
			r.markChanged(e)
		}
	}
	return r.seq != before
}

// Since is what has changed after a count; whole says that it is all.
func (r *Registry) ChangesSince(seq uint64, now int64) (nodes []Record, removed []string, complete bool) {
	if seq < r.oldestRemoval || seq > r.seq {
		seq = 0
	}
	for _, e := range r.entries {
		if e.seq > seq {
			nodes = append(nodes, r.record(e, now))
		}
	}
	slices.SortFunc(nodes, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	if seq > 0 {
		for name, at := range r.removed {
			if at > seq {
				removed = append(removed, name)
			}
		}
		slices.Sort(removed)
	}
	return nodes, removed, seq == 0
}

func (r *Registry) record(e *entry, now int64) Record {
	out := Record{Node: e.Node, Age: now - e.lastHeard, Lost: e.lost}
	if e.Upstream != nil {
		upstream := *e.Upstream
		upstream.WarmupRemaining = max(0, e.warmupUntil-now)
		out.Upstream = &upstream
	}
	return out
}

// Beat is a renewal that another process heard directly.
type Renewal struct {
	Node        string
	Incarnation string `json:"Life"`
	Seq         uint64
	Age         int64
}

// Mine are the renewals heard directly of late.
func (r *Registry) OwnRenewals(now int64) (renewals []Renewal) {
	for _, e := range r.entries {
		if e.direct && now-e.lastHeard < LeaseDuration {
			renewals = append(renewals, Renewal{e.Name, e.Incarnation, e.Seq, now - e.lastHeard})
		}
	}
	slices.SortFunc(renewals, func(a, b Renewal) int { return strings.Compare(a.Node, b.Node) })
	return renewals
}

// Renew takes renewals that another process heard; it reports whether that is news, and which nodes are not known as
// told.
func (r *Registry) Renew(renewals []Renewal, now int64) (changed bool, unknown bool) {
	for _, renewal := range renewals {
		e := r.entries[renewal.Node]
		if e == nil || e.Incarnation != renewal.Incarnation || e.Seq < renewal.Seq {
			unknown = true
			continue
		}
		if e.Seq == renewal.Seq {
			changed = r.Observe(e.Node, renewal.Age, now, false) || changed
		}
	}
	return changed, unknown
}

// Len are the balancers that are there or were of late.
func (r *Registry) Len() int { return len(r.entries) }
