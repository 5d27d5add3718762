package logic

import (
	"container/heap"
	"errors"
	"slices"
)

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
	HardStop     int64   // a client waits so long in all, over all its tries
	ContractTime int64   // an answer within this time earns all
	Stretch      float64 // ContractTime grows by this multiple of the transaction's own work
	Earnings     float64
	LateEarnings float64 // the part earned by an answer after ContractTime

	Mark any // the caller's own, never read here

	longest int64 // that a client's first try was seen to wait
}

// Same reports whether two tariffs are told alike, whatever was learnt under them.
func (f *Tariff) Same(other *Tariff) bool {
	a, b := *f, *other
	a.Mark, b.Mark, a.longest, b.longest = nil, nil, 0, 0
	return a == b
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
	Index     int // the place of this one among them
	Layer     int // 0 where clients are served
	Zone      int
	Tariffs   []*Tariff
	Customers []*Customer

	MaxPushes      int
	FreeRefusals   int // pushes that may be turned away, beyond MaxPushes, by who stands before an upstream
	SecondCopies   bool
	Cancelling     bool
	Probing        bool
	AdviseBackoff  bool
	MaxBackoff     int64
	AskForList     bool
	Peers          bool // balancers may say things to one another
	LiveWeights    bool // the list's weight is an upstream's size over one and what each of its cores holds
	CrossZonePrice float64
	ColdShare      float64 // an upstream starts at no less than this share of its capacity
	WarmUp         int64   // and is warm no later than this
	FallMultiple   float64 // it falls over when sent this multiple of its present capacity
	FallSpan       int64   // for this long
	BeyondShare    float64
}

// Check names what can't be worked with.
func (t *Terms) Check() error {
	switch {
	case t.Balancers < 1:
		return errors.New("terms: no balancers in this tier")
	case len(t.Tariffs) == 0:
		return errors.New("terms: no tariffs")
	case t.MaxPushes < 1:
		return errors.New("terms: no push is allowed")
	case !(t.ColdShare > 0 && t.ColdShare <= 1):
		return errors.New("terms: the cold share is not within 0 to 1")
	}
	return nil
}

// Backoff is the advice to a client whose transaction is deferred, 0 for none.
func (t *Terms) Backoff(f *Tariff) int64 {
	if !t.AdviseBackoff {
		return 0
	}
	return min(t.MaxBackoff, f.ContractTime/16)
}

// Upstream describes one entry of the list.
type Upstream struct {
	Number uint32 // the same at every balancer; it tells nothing else
	Weight float64
	Zone   int
	Cell   int
	Kind   int   // of machine: those of a kind are of one size; 0 where it isn't told
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
	Rejected           // the upstream found the transaction itself at fault
)

func (r Result) String() string {
	return [Rejected + 1]string{
		"settled", "errored", "turned_away", "timed_out", "unreachable", "broken", "called_off", "unsent", "rejected",
	}[r]
}

// Final reports whether a push that ends so ends its transaction.
func (r Result) Final() bool { return r == Settled || r == Rejected }

// NeverRan reports whether the result proves that the push had no effect.
func (r Result) NeverRan() bool { return r == TurnedAway || r == Unreachable || r == Unsent }

// fault reports whether the result speaks against the upstream.
func (r Result) fault() bool { return r >= Errored && r <= Broken }

// Push is one sending of a transaction to an upstream.
type Push struct {
	upstream int
	at       Bound // of the upstream when it was sent: its index may have a new owner since
	sent     int64
	result   Result
	out      bool // no result yet
	copy     bool
	lost     bool // cancelled, result not in yet
	overdue  bool // late: evidence already counted
}

// Bound is where repeats of a tagged transaction are known, and so where they have to stay.
type Bound struct{ Zone, Cell int }

// Transaction is one piece of work for a client, owed exactly one final answer.
type Transaction struct {
	Mark    any    // the caller's own, never read here
	Under   *Terms // those that it comes under; nil for those in force
	Single  bool   // what goes out of it can't be sent a second time
	Unwhole bool   // its last byte has yet to come, and its time to begin
	Bound   *Bound // where another try of it may have run, at whatever balancer; nil for nowhere
	Leaves  int64  // no push of it has left before this, or before Left tells so

	tariff   *Tariff
	customer *Customer
	arrived  int64
	load     float64 // what it adds to the load in hand: one over its contract time, so that unlike tariffs compare
	contract int64   // when the contract time is up
	stop     int64   // when the hard stop is reached
	due      int64   // next moment to look at it
	slot     int     // place among the due times, -1 if none
	pushes   []Push
	out      int     // pushes without a result
	refused  int     // pushes that were turned away
	anchor   int     // first push that may have run, -1 if none
	queued   bool    // among those to look at in this round
	again    bool    // a try repeated by its client
	value    float64 // what it may earn, for its place in line
	inLine   bool    // waits for room
	stuck    bool    // has had a late push
	held     bool    // taken into the count of transactions in hand
	streams  *Push   // whose answer has begun
	over     bool    // has had its final answer
}

// Closed reports whether nothing more can come in for the transaction.
func (t *Transaction) Closed() bool { return t.over && t.out == 0 }

// Balancer is the decision logic of one instance. It is not safe for concurrent use.
type Balancer struct {
	terms *Terms
	w     Writer
	now   int64
	carry uint64

	// Upstreams under their index.
	known    []bool // slot in use
	ready    []bool // listed and not draining
	number   []uint32
	weight   []float64 // nominal
	kind     []int
	others   []int     // pushes out to it from peers, as they say
	part     []float64 // of its weight, that falls to this balancer
	own      []int     // those with a part, by index
	met      int       // balancers that meet an upstream
	moved    bool      // the list has changed since they were chosen
	zone     []int
	cell     []int
	away     float64 // what turns in another zone are cut to
	born     []int64 // 0: warm since long ago
	turn     []float64
	flying   []int     // pushes out
	doubt    []float64 // log odds that it is bad
	good     []int     // outcomes
	bad      []int
	aside    []int64 // set aside: next probe or return; 0 in service
	answered []int   // probes answered while aside
	probing  []bool
	dead     []bool // set aside as unreachable, so it may come back cold
	purse    []float64
	filled   []int64
	settled  int // outcomes of warm upstreams since the last beat
	pace     float64

	peers    []int     // balancers with the same part
	said     [][]int   // by balancer: the upstreams to which it has pushes out
	saidAt   []int64   // when it said so
	saidSlow []float64 // the share of its contract time that a transaction takes there
	toldAt   int64     // when peers were told last
	tellAt   int64     // and when they are to be
	words    int       // messages that are paid for
	check    byte      // on the part, as places in it say which upstream is meant

	touched []*Transaction // to look at in this round
	dues    dueTimes
	beside  float64 // processes that are this balancer at present, itself included
	open    int     // transactions in hand

	latency [panes][buckets]int32
	samples [panes]int
	sends   [panes]int
	results [panes]int
	faults  [panes]int
	pane    int
	turnsAt int64
	trigger int64 // 0 while there are too few samples
	bucket  float64
	losers  int // cancelled pushes still running

	copies    [wins]int
	won       [wins]int
	winTurn   int64
	allowance float64

	room     float64        // transactions in hand at most
	shares   float64        // in hand at all balancers, if all customers send their shares; 0 if none have any
	each     float64        // for each upstream, in hand at all balancers, before more is known
	stood    float64        // transactions in hand at the end of the last round
	last     int64          // when that was
	mean     float64        // of those in hand
	line     []*Transaction // waiting for room, what earns most first
	ends     float64        // left the load since the last beat, settled or not
	stuckAll int            // in hand with a late push
	inHand   float64        // sum of one over the contract time of all others in hand
	load     float64        // the same over the last second, or longer where few come in
	rate     float64        // and what left it a nanosecond
	longLoad float64        // both over five times that
	longRate float64
	longHand float64 // in hand, counted
	base     float64 // the least share of its contract time that a transaction took
	strength float64 // of what is in service, as long
	best     float64 // the most that left a nanosecond and unit of strength
	beats    float64 // since the start
	came     float64 // transactions since the last beat
	asked    float64 // the same a nanosecond, over as long as longRate
	fair     float64 // and what customers send within their shares to each balancer in the mean
	wide     float64 // parts of the list that this balancer has
	nextBit  int64

	wake      int64
	following bool
	follow    int64 // when to ask for the list again
	refusals  int

	held  [Helds]int
	turns []Turn // to be told
}

// Known reports whether an index still belongs to a listed upstream.
func (b *Balancer) Known(i int) bool { return b.known[i] }

// Left says that a push has left; it had to wait for leave from elsewhere. Danger: counted from the order, that wait would be
// held against the upstream.
func (b *Balancer) Left(t *Transaction, n int, now int64) {
	t.pushes[n].sent = now
	b.touch(t)
}

// Cluster is how many upstreams are listed, and how many of them get nothing new now.
func (b *Balancer) Cluster() (listed, avoided int) {
	for i, known := range b.known {
		if known {
			listed++
			if !b.ready[i] || b.aside[i] != 0 {
				avoided++
			}
		}
	}
	return listed, avoided
}

// Beside says how many processes are this balancer at present, itself included.
func (b *Balancer) Beside(n int) { b.beside = float64(max(n, 1)) }

// Retune puts other terms in force: what is open keeps those that it came under, and what was learnt stays.
func (b *Balancer) Retune(terms *Terms, now int64) error {
	if err := terms.Check(); err != nil {
		return err
	}
	b.now, b.moved = now, true
	b.adopt(terms)
	return nil
}

// listen makes room for what peers will say, and forgets what they have said: their numbers may be others'.
func (b *Balancer) listen() {
	for peer := range b.said {
		b.forget(peer)
	}
	b.said, b.saidAt, b.saidSlow, b.peers = nil, nil, nil, nil
	if b.terms.Peers {
		b.said, b.saidAt = make([][]int, b.terms.Balancers), make([]int64, b.terms.Balancers)
		b.saidSlow = make([]float64, b.terms.Balancers)
	}
}

func (b *Balancer) forget(peer int) {
	for _, i := range b.said[peer] {
		b.others[i]--
	}
	b.said[peer] = b.said[peer][:0]
}

func sum(counts []int) (all int) {
	for _, n := range counts {
		all += n
	}
	return all
}

// Writer receives the decisions of one round, in order.
type Writer interface {
	Kept(upstream int) bool                         // no decision: does a connection to it wait for a push?
	Push(t *Transaction, upstream int, until int64) // until: when the push is abandoned
	Cancel(t *Transaction, push int)
	Defer(t *Transaction, why Why, backoff int64) // final: trying again is harmless
	Forfeit(t *Transaction, why Why)              // final: nothing is promised
	Probe(upstream int)
	Tell(peer int, raw []byte) // says something to another balancer
	Follow()                   // subscribe to the list
	Wake(at int64)
	Note(text string)
}

// Pushes is the number of pushes so far.
func (t *Transaction) Pushes() int { return len(t.pushes) }

// dueTimes is a heap (container/heap) of transactions by due time; each stands in it once and knows its
// place.
type dueTimes []*Transaction

func (d dueTimes) Len() int           { return len(d) }
func (d dueTimes) Less(i, j int) bool { return d[i].due < d[j].due }
func (d dueTimes) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].slot, d[j].slot = i, j
}

func (d *dueTimes) Push(t any) {
	t.(*Transaction).slot = len(*d)
	*d = append(*d, t.(*Transaction))
}

func (d *dueTimes) Pop() any {
	last := len(*d) - 1
	t := (*d)[last]
	t.slot, (*d)[last], *d = -1, nil, (*d)[:last]
	return t
}

// grow makes room for one more upstream, and returns its index.
func (b *Balancer) grow() int {
	i := len(b.known)
	b.known, b.ready = append(b.known, true), append(b.ready, false)
	b.weight, b.turn, b.doubt = append(b.weight, 1), append(b.turn, 0), append(b.doubt, 0)
	b.number, b.part = append(b.number, 0), append(b.part, 0)
	b.kind, b.others = append(b.kind, 0), append(b.others, 0)
	b.zone, b.cell = append(b.zone, 0), append(b.cell, 0)
	b.flying = append(b.flying, 0)
	b.good, b.bad = append(b.good, 0), append(b.bad, 0)
	b.born, b.aside = append(b.born, 0), append(b.aside, 0)
	b.answered, b.probing, b.dead = append(b.answered, 0), append(b.probing, false), append(b.dead, false)
	b.purse, b.filled = append(b.purse, 0), append(b.filled, 0)
	return i
}

// schedule sets when a transaction is looked at again, unless something comes in for it before.
func (b *Balancer) schedule(t *Transaction, due int64) {
	t.due = due
	if t.slot < 0 {
		heap.Push(&b.dues, t)
	} else {
		heap.Fix(&b.dues, t.slot)
	}
}

func (b *Balancer) unschedule(t *Transaction) {
	if t.slot >= 0 {
		heap.Remove(&b.dues, t.slot)
	}
}

// chance draws from [0, 1) by multiply with carry.
func (b *Balancer) chance() float64 {
	b.carry = (b.carry&0xffffffff)*4294957665 + b.carry>>32
	return float64(uint32(b.carry)) / (1 << 32)
}

func (b *Balancer) touch(t *Transaction) {
	if !t.queued {
		t.queued = true
		b.touched = append(b.touched, t)
	}
}

// close ends a transaction; from here on nothing may go out for it.
func (b *Balancer) close(t *Transaction) {
	t.over = true
	if t.held {
		t.held = false
		b.open--
		if t.stuck {
			b.stuckAll--
		} else {
			b.inHand -= t.load
			b.ends++
		}
	}
}

// hold takes a transaction into what is in hand, once all of it is there.
func (b *Balancer) hold(t *Transaction) {
	if !t.held && !t.Unwhole {
		t.held = true
		b.open++
		b.inHand += t.load
	}
}

// tried reports whether a transaction went to an upstream already.
func (t *Transaction) tried(i int) bool {
	return slices.ContainsFunc(t.pushes, func(p Push) bool { return p.upstream == i })
}

// recall finds the first push that may have run: pushes that provably never ran bind nothing.
func (t *Transaction) recall() {
	t.anchor = slices.IndexFunc(t.pushes, func(p Push) bool { return p.out || !p.result.NeverRan() })
}
