// Package membership tracks the proxies of the mesh and the upstream on each of their machines. It also defines the
// messages with which proxies watch the controllers for changes. A Registry is the view of one controller; it does no
// I/O and reads no clock. The registry is spread by gossip, is only eventually consistent, and expires without
// renewals, so no correctness guarantee may depend on it alone.
package membership

import (
	"encoding/json"
	"slices"
	"strings"

	"ottershift/internal/mesh/routing"
)

// Times are nanoseconds of a monotonic clock of the process. The clocks of two processes are not comparable, so
// messages carry ages instead of times.
const (
	millisecond = int64(1e6)
	second      = int64(1e9)

	// LeaseDuration is the time in nanoseconds after which the lease of a proxy expires unless it is renewed.
	LeaseDuration = 3 * second
	// LostRetention is the time in nanoseconds since its last renewal for which a proxy with an expired lease is still
	// listed. It may be cut off only from the controllers and still serve requests.
	LostRetention = 15 * second
)

// Upstream is a running application instance on the machine of a proxy.
type Upstream struct {
	ID              string
	Service         string
	Version         string `json:"Edition,omitempty"`
	Capacity        int    // number of requests that it can serve concurrently
	Draining        bool   `json:"Closing,omitempty"`
	WarmupRemaining int64  `json:"Cold,omitempty"` // remaining time in nanoseconds in which it is still slow after its start
	OutlierLevel    int    `json:"Ill,omitempty"`  // level of package outlier, as determined by the proxy on the same machine
}

// Node describes a proxy and its machine, as the proxy reports itself.
type Node struct {
	Name        string    `json:"Node"`
	Inbound     string    // address for requests from other proxies
	Zone        string    `json:"District"`
	Incarnation string    `json:"Life"` // of the proxy process
	Seq         uint64    // increases with each change within an incarnation
	Upstream    *Upstream `json:"Up,omitempty"`
	Leaving     bool      `json:",omitempty"`
}

// Record is a node as controllers report it.
type Record struct {
	Node
	Age  int64 // nanoseconds since a controller last heard from it directly
	Lost bool  `json:",omitempty"` // its lease has expired
}

// Position identifies what a proxy already knows.
type Position struct {
	Controller string `json:"Comb"` // process incarnation of the controller that issued Seq
	Seq        uint64 // of the registry of that controller
	Index      uint64 // of the agreed state

	Edition      int64  // of the configuration
	Digest       string `json:",omitempty"`        // of the configuration; empty from processes of the previous release
	KnownImports uint64 `json:"Imports,omitempty"` // version of the agreed imports from partner meshes
}

// WatchRequest renews a proxy's lease and asks for changes since a position.
type WatchRequest struct {
	Node     Node     `json:"Nest"`
	Position Position `json:"Have"`
	MaxWait  int64    `json:"Wait"` // maximum time until a response, in nanoseconds
	// AcceptsPacked is set if the proxy accepts a packed configuration, or only its digest to fetch it separately.
	AcceptsPacked bool `json:"Packed,omitempty"`
}

// WatchResponse is the response to a WatchRequest.
type WatchResponse struct {
	Position
	Current bool // a majority of the core recently confirmed Index as the newest state
	// Starting is set while the controller has been up for less than LeaseDuration, so that nodes may be missing.
	Starting      bool            `json:"Young,omitempty"`
	BalancerCount int             `json:"Members"`             // agreed number of proxies
	Coordinator   string          `json:"Queen"`               // address of the controller that manages the quotas
	Epoch         uint64          `json:"Reign"`               // increases with each change of the coordinator
	Configuration json.RawMessage `json:"Timetable,omitempty"` // set if the proxy has another edition
	// Packed replaces Configuration in responses to requests with AcceptsPacked. It is absent if it is too long. The
	// proxy then fetches the configuration with the given Digest separately.
	Packed       *routing.Packed `json:",omitempty"`
	Complete     bool            `json:"Whole"` // Nodes lists all known nodes, not only changes
	Nodes        []Record        `json:"Nests,omitempty"`
	RemovedNodes []string        `json:"Gone,omitempty"`
	// Imports are the agreed imports from partner meshes, set if the proxy has another version of them.
	Imports        json.RawMessage `json:",omitempty"`
	ImportsVersion uint64          `json:"ImportsNo,omitempty"`
	// ImportsCurrent is set if no later imports had been decided until recently, so that the agreed imports may be
	// used.
	ImportsCurrent bool                `json:"Calm,omitempty"`
	PartnerAges    map[string]int64    `json:"Ages,omitempty"` // nanoseconds since each partner mesh confirmed its exports
	Controllers    []ControllerAddress `json:"Combs"`          // known controllers
}

// ConfigurationRequest asks for a part of a packed configuration: the first part of the newest one, or the next part of
// the transfer that an earlier response began.
type ConfigurationRequest struct {
	HeldDigest   string `json:"Held"`       // digest of the configuration that the proxy has, empty if none
	Result, Base string `json:",omitempty"` // digests from the response that began the transfer
	Offset       int    `json:",omitempty"` // number of bytes already received in this transfer
}

// ConfigurationResponse is a part of a packed configuration. The digests in Packed identify the transfer. If they
// differ from those of the request, the response is the first part of the newest configuration.
type ConfigurationResponse struct {
	Packed  routing.Packed
	Offset  int
	Total   int
	Index   uint64 `json:",omitempty"` // of the state that has this configuration; set in first parts
	Current bool   `json:",omitempty"` // a majority of the core recently confirmed Index as the newest state
}

// DepartureRequest asks for the departed upstream instances on the machine of a proxy. If Instance is set, the departure
// of this instance is recorded first.
type DepartureRequest struct {
	Node     string
	Instance string `json:",omitempty"`
}

// DepartureResponse has all departures of a node that had been recorded when the request arrived, and the requested one.
type DepartureResponse struct {
	Departed []string `json:",omitempty"`
}

// ControllerAddress is the address and the zone of a controller.
type ControllerAddress struct {
	Address string `json:"At"`
	Zone    string
}

// entry is a node in the registry.
type entry struct {
	Node
	lastHeard   int64
	warmupUntil int64 // time until which its upstream is still slow after its start
	seq         uint64
	lost        bool
	direct      bool // last heard directly, not through another controller
}

// Registry holds the nodes that a controller knows. It is not safe for concurrent use.
type Registry struct {
	seq           uint64
	entries       map[string]*entry
	removed       map[string]uint64 // sequence numbers of the removals of nodes, by name
	discardedUpTo uint64            // sequence number up to which removals may have been discarded
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{entries: map[string]*entry{}, removed: map[string]uint64{}}
}

// Seq returns the sequence number of the last change.
func (r *Registry) Seq() uint64 { return r.seq }

// Observe records a report of a node about itself, which was received directly or reached another controller age
// nanoseconds ago. It reports whether the registry changed.
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
			e.lastHeard, e.direct = heardAt, direct // the controller that heard it last passes it on
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
		r.discardedUpTo = r.seq - 128
	}
}

// Expire ends leases without renewal and removes nodes after LostRetention. It reports whether the registry changed.
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

// ChangesSince returns the nodes that changed and the names of those removed after a sequence number. If the number is
// 0 or the changes since then are no longer known, it returns all nodes and complete is true.
func (r *Registry) ChangesSince(seq uint64, now int64) (nodes []Record, removed []string, complete bool) {
	if seq < r.discardedUpTo || seq > r.seq {
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

// Renewal is a lease renewal that a controller received directly from a node.
type Renewal struct {
	Node        string
	Incarnation string `json:"Life"`
	Seq         uint64
	Age         int64 // nanoseconds since the renewal
}

// OwnRenewals returns the renewals that this controller received directly within LeaseDuration.
func (r *Registry) OwnRenewals(now int64) (renewals []Renewal) {
	for _, e := range r.entries {
		if e.direct && now-e.lastHeard < LeaseDuration {
			renewals = append(renewals, Renewal{e.Name, e.Incarnation, e.Seq, now - e.lastHeard})
		}
	}
	slices.SortFunc(renewals, func(a, b Renewal) int { return strings.Compare(a.Node, b.Node) })
	return renewals
}

// Renew records renewals that another controller received. It reports whether the registry changed and whether a
// renewal concerns an incarnation or a sequence number of a node that the registry does not have yet.
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

// Len returns the number of nodes, including those with an expired lease.
func (r *Registry) Len() int { return len(r.entries) }
