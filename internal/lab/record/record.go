// Package record holds the observations of an experiment, all made outside the balancers: requests and answers at the
// clients, and arrivals at the upstreams. Times are nanoseconds since the start of the run, on one clock.
package record

// ClientRequest is one request as its client saw it. A retry or a hedge of a client is a new record with the same Root.
type ClientRequest struct {
	Root     uint64 // identifies the work, over all requests for it
	ID       string // X-Txn
	Group    int    // of clients; -1 if unknown
	Tariff   int
	Balancer int   // -1 if none could be reached
	Due      int64 // when the first request of the Root was due
	Sent     int64 // when the request was completely written; 0 if it was not
	Answered int64 // when the answer was completely read; 0 if there was none
	Timeout  int64 // how long the client waits, from Sent
	Status   int   // 0 without an answer
	Extra    bool  // bytes other than its own answer arrived
	Closed   bool  // the connection ended without an answer
}

// Arrival is one attempt as its upstream saw it, from the last byte of the request.
type Arrival struct {
	ID           string
	Root         uint64
	Upstream     int
	At           int64
	Executed     bool  // execution began, whether it completed or not
	Effect       int64 // when its effect took place; 0 if it did not
	Deduplicated bool  // recognized as a duplicate: no second effect
	Rejected     bool  // rejected without execution
	Cold         bool  // the upstream was still warming up
}

// DiscoveryUpdate is an update about an upstream that discovery sent to a balancer.
type DiscoveryUpdate struct {
	Balancer, Upstream int
	At                 int64
	Serving            bool
}

// ColdOverload is an upstream that was overloaded while cold.
type ColdOverload struct {
	Upstream int
	At       int64
	Multiple float64 // arrived work as a multiple of the capacity at that time
}

// Outage is a period in which the experiment had killed or stopped a balancer.
type Outage struct {
	Balancer     int
	From, To     int64
	WithoutState bool // it restarted without its data directory or with an old copy: not a voter until it is replaced
}

// VoterReplacement is a voter that was replaced by a new one on the same balancer.
type VoterReplacement struct {
	Balancer int
	At       int64
}

// Run holds all observations of one run.
type Run struct {
	Requests         []ClientRequest
	Arrived          []Arrival
	DiscoveryUpdates []DiscoveryUpdate
	ColdOverloads    []ColdOverload
	Outages          []Outage
	Lag              []int64 // samples of how late the lab itself acted on its schedule
	AbortReason      string  // why the run ended early; empty if it did not

	Processes         []Process // runs of balancers that are members of a cluster
	Views             []View
	LinkFaults        []LinkFault
	Actions           []Action
	Claims            []Claim
	DiscoveryCalls    []DiscoveryCall
	VoterReplacements []VoterReplacement
	Refused           int64 // actions of previous owners that members refused, by the members' counters
	LedgerReads       []LinearizableRead
	LedgerEntries     []Entry // content of the ledger at the end
	LedgerReadAt      int64   // when the final content was read; 0 if that failed
	HasLedger         bool    // the members have a ledger
}

// LinearizableRead is the result of a linearizable read of the ledger at a member during the run.
type LinearizableRead struct {
	Member   int
	Root     uint64
	From, To int64
	Found    bool
}

// Entry is an entry of the ledger.
type Entry struct {
	Tariff, ClientKey, State string
	MayHaveRun               bool // the transaction may have run
}

// Claim is a process's statement that it may act on a duty, with its fencing token.
type Claim struct {
	Process int
	At      int64
	Duty    string
	Token   uint64
}

// DiscoveryCall is a balancer's call to discovery, including the time in which it watched for changes.
type DiscoveryCall struct {
	Balancer int
	At, To   int64 // To is 0 if the call lasted until the end of the run
}

// Process is one operating-system process of a member.
type Process struct {
	Member   int     // balancer
	IDs      []RunID // a process may continue under a new run ID
	From, To int64   // To is 0 if it ran until the end
	Stops    []Span
}

// RunID is the run ID that a process uses from At on.
type RunID struct {
	At int64
	ID string
}

// ID returns the run ID of the process at a time; "" if unknown.
func (p *Process) ID(at int64) (id string) {
	for _, l := range p.IDs {
		if l.At <= at || id == "" {
			id = l.ID
		}
	}
	return id
}

// Span is a time interval.
type Span struct{ From, To int64 }

// View is the set of members that a process considered alive.
type View struct {
	Process    int
	At         int64
	Superseded bool // the process's run was superseded
	Alive      []string
}

// LinkFault is a fault of one direction of a link.
type LinkFault struct {
	From, To int // members
	Kind     string
	Span
}

// Action is an action of the lab.
type Action struct {
	At   int64
	What string
}
