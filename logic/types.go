package logic

// Repeat tells whether the transactions of a tariff may run again.
type Repeat uint8

const (
	OnceOnly   Repeat = iota // must never run twice
	Tagged                   // carries a mark by which a Group of upstreams knows a repeat
	Repeatable               // may run any number of times
)

// Group is the set of upstreams that drop each other's repeats of a tagged transaction.
type Group uint8

const (
	SameCell Group = iota
	SameZone
	Everywhere
)

// Tariff is one kind of transaction and what is promised for it. Times are nanoseconds.
type Tariff struct {
	Repeat       Repeat
	Group        Group
	Remembered   int64   // how long the group knows a repeat, from the first push that may have run
	ContractTime int64   // an answer within this time earns all
	Stretch      float64 // ContractTime grows by this multiple of the transaction's own work
	HardStop     int64
	Earnings     float64
	LateEarnings float64 // the part earned by an answer after ContractTime
}

// Customer is one of those who share the service.
type Customer struct {
	Rate float64 // transactions a second within its share, over all balancers

	purse  float64
	filled int64
}

// Terms is what a balancer is told once, at its start.
type Terms struct {
	Seed      uint64
	Balancers int // balancers of this tier, this one included
	Layer     int // 0 where clients are served
	Zone      int
	Tariffs   []*Tariff
	Customers []*Customer

	MaxPushes      int
	SecondCopies   bool
	Cancelling     bool
	Probing        bool
	AdviseBackoff  bool
	MaxBackoff     int64
	AskForList     bool
	CrossZonePrice float64
	DrainGrace     int64
	ColdShare      float64 // an upstream starts at no less than this share of its capacity
	WarmUp         int64   // and is warm no later than this
	FallMultiple   float64 // it falls over when sent this multiple of its present capacity
	FallSpan       int64   // for this long
	BeyondShare    float64
}

// Upstream describes one entry of the list.
type Upstream struct {
	Weight float64
	Zone   int
	Cell   int
	Born   int64 // most recent start, 0 for long ago
}

// Result tells how one push ended.
type Result uint8

const (
	Settled     Result = iota
	Errored            // the upstream answered with an error
	TurnedAway         // rejected without a look
	TimedOut           // no answer in time
	Unreachable        // no connection came about
	Broken             // the connection broke
	Cancelled          // called off by this balancer
	Unsent             // never left
)

// NeverRan reports whether the result proves that the push had no effect.
func (r Result) NeverRan() bool { return r == TurnedAway || r == Unreachable || r == Unsent }

// fault reports whether the result speaks against the upstream.
func (r Result) fault() bool { return r >= Errored && r <= Broken }

// Push is one sending of a transaction to an upstream.
type Push struct {
	upstream int
	sent     int64
	result   Result
	out      bool // no result yet
	copy     bool
	lost     bool // cancelled, result not in yet
	overdue  bool // outran the quantile; evidence already counted
}

// Transaction is one piece of work for a client, owed exactly one final answer.
type Transaction struct {
	Mark string // the caller's own name for it, never read here

	tariff   *Tariff
	customer *Customer
	arrived  int64
	contract int64 // when the contract time is up
	stop     int64 // when the hard stop is reached
	due      int64 // next moment to look at it
	slot     int   // place among the due times, -1 if none
	pushes   []Push
	out      int // pushes without a result
	mayRun   int64
	anchor   int     // first upstream on which it may have run, -1 if none
	queued   bool    // among those to look at in this round
	again    bool    // a try repeated by its client
	value    float64 // what it may earn, for its place in line
	inLine   bool    // waits for room
	stuck    bool    // outran the quantile
	held     bool    // taken into the count of transactions in hand
	streams  bool    // its answer has begun
	over     bool    // has had its final answer
}

// Closed reports whether nothing more can come in for the transaction.
func (t *Transaction) Closed() bool { return t.over && t.out == 0 }

// Writer receives the decisions of one round, in order.
type Writer interface {
	Push(t *Transaction, upstream int, until int64) // until: when the push is abandoned
	Cancel(t *Transaction, push int)
	Defer(t *Transaction, backoff int64) // final: trying again is harmless
	Forfeit(t *Transaction)              // final: nothing is promised
	Probe(upstream int)
	Follow() // subscribe to the list
	Wake(at int64)
	Note(text string)
}

// Pushes is the number of pushes so far.
func (t *Transaction) Pushes() int { return len(t.pushes) }
