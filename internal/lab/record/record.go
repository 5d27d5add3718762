// Package record holds what an experiment saw from outside: what clients sent and were answered, and what reached each
// upstream. Times are nanoseconds since the start of the run, on one clock.
package record

// Try is one transaction as its client saw it. A client that asks again makes a new Try of the same Root.
type Try struct {
	Root     uint64 // the work that is asked for, over all tries
	ID       string // X-Txn
	Group    int    // of clients
	Tariff   int
	Balancer int   // -1 if none could be reached
	Due      int64 // when its first try was to be sent
	Sent     int64 // when it was written whole; 0 if it wasn't
	Answered int64 // when its answer was read whole; 0 if none came
	Left     int64 // that its client waits, from Sent
	Status   int   // 0 if no answer came
	Extra    bool  // more came than its answer
	Closed   bool  // the connection ended without an answer
}

// Arrival is one push as its upstream saw it, from the last byte of its request.
type Arrival struct {
	ID       string
	Root     uint64
	Upstream int
	At       int64
	Ran      bool  // it was worked on, to its end or not
	Effect   int64 // when its effect took place, 0 if it didn't
	Dropped  bool  // known as a repeat: no second effect
	Turned   bool  // rejected without a look
	Cold     bool
}

// Told is what a balancer was told of an upstream.
type Told struct {
	Balancer, Upstream int
	At                 int64
	Serving            bool
}

// Overfed is an upstream that was sent more than it bears while it was cold.
type Overfed struct {
	Upstream int
	At       int64
	Of       float64 // what came, as a multiple of what it could do then
}

// Outage is a span in which a balancer was killed or stopped by the experiment.
type Outage struct {
	Balancer int
	From, To int64
	Seatless bool // it came back without its directory, or with an old copy of it: no keeper until it is replaced
}

// Seated is a keeper that was put in its own old place.
type Seated struct {
	Balancer int
	At       int64
}

// Run is all that one run saw.
type Run struct {
	Tries   []Try
	Arrived []Arrival
	Told    []Told
	Overfed []Overfed
	Outages []Outage
	Lag     []int64 // of the lab itself: how late it did what was due, sampled
	Broken  string  // why the run ended before its time

	Processes []Process // balancers that are members of a cluster
	Views     []View
	Links     []Trouble
	Acts      []Act
	Claims    []Claim
	Asks      []Ask
	Seated    []Seated
	Refused   int64 // acts of old owners, by what members count
	Looks     []Look
	Written   []Entry // what the ledger holds at the end
	Read      int64   // when that was read; 0 if it couldn't be
	Kept      bool    // members keep a ledger
}

// Look is a linearizable read of the ledger at a member while all goes on.
type Look struct {
	Member   int
	Root     uint64
	From, To int64
	Found    bool
}

// Entry is a line of the ledger.
type Entry struct {
	Tariff, Label, State string
	May                  bool
}

// Claim is a process's word that it may act on a duty at some time, under a token.
type Claim struct {
	Process int
	At      int64
	Duty    string
	Token   uint64
}

// Ask is a balancer's call to discovery, for as long as it was told changes.
type Ask struct {
	Balancer int
	At, To   int64 // To is 0 if it was told to the end
}

// Process is one run of one member.
type Process struct {
	Member   int     // balancer
	IDs      []Label // a process may go on as another run
	From, To int64   // To is 0 if it ran to the end
	Stops    []Span
}

// Label is what a process calls its run, from some time on.
type Label struct {
	At int64
	ID string
}

// ID is what it called its run at some time, "" if that isn't known.
func (p *Process) ID(at int64) (id string) {
	for _, l := range p.IDs {
		if l.At <= at || id == "" {
			id = l.ID
		}
	}
	return id
}

// Span is from one time to another.
type Span struct{ From, To int64 }

// View is whom a process held alive at some time.
type View struct {
	Process int
	At      int64
	Over    bool
	Alive   []string
}

// Trouble is a link that was not well in one direction.
type Trouble struct {
	From, To int // members
	Kind     string
	Span
}

// Act is something that the lab did.
type Act struct {
	At   int64
	What string
}
