package logic

import (
	"container/heap"
	"errors"
	"slices"
)

// Idempotency tells whether the transactions of a tariff may be executed more than once.
type Idempotency uint8

const (
	NonIdempotent Idempotency = iota // must never be executed twice
	Keyed                            // carries an idempotency key, by which a DedupScope of upstreams drops repeats
	Idempotent                       // may be executed any number of times
)

// DedupScope is the set of upstreams that drop each other's repeats of a keyed transaction.
type DedupScope uint8

const (
	SameCell DedupScope = iota
	SameZone
	Everywhere
)

// Tariff is one kind of transaction with its service levels. Times are in nanoseconds. The JSON tags keep the
// names under which a configuration is serialised to compare it with another.
type Tariff struct {
	Idempotency  Idempotency `json:"Repeat"`
	DedupScope   DedupScope  `json:"Group"`
	DedupWindow  int64       `json:"Remembered"` // upstreams recognise a repeat this long after the first attempt that may have run
	HardStop     int64       // total time that a client waits, over all of its own retries
	ContractTime int64       // an answer within this time earns the full amount
	WorkFactor   float64     `json:"Stretch"` // ContractTime grows by this multiple of the transaction's own work
	Earnings     float64
	LateEarnings float64 // the part earned by an answer after ContractTime

	UserData any `json:"Mark"` // belongs to the caller, never read here

	longestWait int64 // the longest wait seen for a first try of a client
}

// Same reports whether two tariffs have the same settings. Learnt state and user data are ignored.
func (t *Tariff) Same(other *Tariff) bool {
	a, b := *t, *other
	a.UserData, b.UserData, a.longestWait, b.longestWait = nil, nil, 0, 0
	return a == b
}

// Customer is one of the customers that share the service.
type Customer struct {
	Rate float64 // quota in transactions per second, over all balancers

	tokens     float64 // token bucket of the quota
	refilledAt int64
}

// Config holds the settings of a balancer. The JSON tags keep the names under which it is serialised.
type Config struct {
	Seed      uint64
	Balancers int // balancers of this tier, this one included
	Index     int // index of this balancer among them
	Tier      int `json:"Layer"` // 0 where clients are served
	Zone      int
	Tariffs   []*Tariff
	Customers []*Customer

	MaxAttempts     int     `json:"MaxPushes"`
	FreeRefusals    int     // refused attempts that do not count towards MaxAttempts, where a proxy in front of an upstream refuses
	Hedging         bool    `json:"SecondCopies"`
	Cancelling      bool    // attempts can be cancelled
	Probing         bool    // an ejected upstream is probed before it is reinstated
	AdviseBackoff   bool    // deferred clients are told how long to back off
	MaxBackoff      int64   // in nanoseconds
	FollowList      bool    `json:"AskForList"` // the balancer subscribes to the list of upstreams by itself
	Peers           bool    // balancers exchange load reports
	LiveWeights     bool    // a listed weight is the upstream's size divided by one plus the load of each of its cores
	CrossZonePrice  float64 // cost of a cross-zone attempt, in units of earnings
	ColdShare       float64 // an upstream starts with at least this share of its capacity
	WarmUp          int64   // after this time, in nanoseconds, an upstream is warm at the latest
	OverloadFactor  float64 `json:"FallMultiple"` // an upstream fails when sent this multiple of its present capacity
	OverloadSpan    int64   `json:"FallSpan"`     // for this long, in nanoseconds
	OverQuotaFactor float64 `json:"BeyondShare"`  // the value of a transaction beyond its customer's quota is multiplied by this
}

// Validate returns an error that names the first invalid setting.
func (c *Config) Validate() error {
	switch {
	case c.Balancers < 1:
		return errors.New("terms: no balancers in this tier")
	case len(c.Tariffs) == 0:
		return errors.New("terms: no tariffs")
	case c.MaxAttempts < 1:
		return errors.New("terms: no push is allowed")
	case !(c.ColdShare > 0 && c.ColdShare <= 1):
		return errors.New("terms: the cold share is not within 0 to 1")
	}
	return nil
}

// Backoff returns the time that a client of a deferred transaction should wait before it tries again, 0 for no advice.
func (c *Config) Backoff(tariff *Tariff) int64 {
	if !c.AdviseBackoff {
		return 0
	}
	return min(c.MaxBackoff, tariff.ContractTime/16)
}

// Upstream describes one entry of the list.
type Upstream struct {
	ID        uint32 // the same at every balancer; it tells nothing else
	Weight    float64
	Zone      int
	Cell      int
	Kind      int   // of machine: those of a kind are of one size; 0 where it isn't told
	StartedAt int64 // most recent start, 0 for long ago
}

// Result tells how one push ended.
type Result uint8

const (
	Settled      Result = iota
	Errored             // the upstream answered with an error
	Refused             // rejected without a look
	TimedOut            // no answer in time
	Unreachable         // no connection came about
	Disconnected        // the connection broke
	Cancelled           // called off by this balancer
	Unsent              // never left
	Rejected            // the upstream found the transaction itself at fault
)

func (r Result) String() string {
	return [Rejected + 1]string{
		"settled", "errored", "turned_away", "timed_out", "unreachable", "broken", "called_off", "unsent", "rejected",
	}[r]
}

// Final reports whether a push that ends so ends its transaction.
func (r Result) Final() bool { return r == Settled || r == Rejected }

// NeverRan reports whether the result proves that the push had no effect.
func (r Result) NeverRan() bool { return r == Refused || r == Unreachable || r == Unsent }

// upstreamFault reports whether the result speaks against the upstream.
func (r Result) upstreamFault() bool { return r >= Errored && r <= Disconnected }

// Attempt is one sending of a transaction to an upstream.
type Attempt struct {
	upstream  int
	location  Location // of the upstream when it was sent: its index may have a new owner since
	sentAt    int64
	result    Result
	pending   bool // no result yet
	hedge     bool
	cancelled bool // cancelled, result not in yet
	late      bool // late: evidence already counted
}

// Location is where repeats of a tagged transaction are known, and so where they have to stay.
type Location struct{ Zone, Cell int }

// Transaction is one piece of work for a client, owed exactly one final answer.
type Transaction struct {
	UserData     any       // the caller's own, never read here
	Config       *Config   // those that it comes under; nil for those in force
	SendOnce     bool      // what goes out of it can't be sent a second time
	BodyPending  bool      // its last byte has yet to come, and its time to begin
	PriorAttempt *Location // where another try of it may have run, at whatever balancer; nil for nowhere
	EarliestSend int64     // no push of it has left before this, or before Left tells so

	tariff      *Tariff
	customer    *Customer
	arrivedAt   int64
	load        float64 // what it adds to the load in hand: one over its contract time, so that unlike tariffs compare
	contractEnd int64   // when the contract time is up
	hardStop    int64   // when the hard stop is reached
	dueAt       int64   // next moment to look at it
	timerIndex  int     // place among the due times, -1 if none
	attempts    []Attempt
	pending     int      // pushes without a result
	refused     int      // pushes that were turned away
	firstEffect int      // first push that may have run, -1 if none
	marked      bool     // among those to look at in this round
	clientRetry bool     // a try repeated by its client
	value       float64  // what it may earn, for its place in line
	queued      bool     // waits for room
	late        bool     // has had a late push
	active      bool     // taken into the count of transactions in hand
	streaming   *Attempt // whose answer has begun
	answered    bool     // has had its final answer
}

// Closed reports whether nothing more can come in for the transaction.
func (tx *Transaction) Closed() bool { return tx.answered && tx.pending == 0 }

// Balancer is the decision logic of one instance. It is not safe for concurrent use.
type Balancer struct {
	config    *Config
	writer    Writer
	now       int64
	randState uint64

	// Upstreams under their index.
	inUse           []bool // slot in use
	ready           []bool // listed and not draining
	id              []uint32
	weight          []float64 // nominal
	kind            []int
	peerInFlight    []int     // pushes out to it from peers, as they say
	share           []float64 // of its weight, that falls to this balancer
	assigned        []int     // those with a part, by index
	overlap         int       // balancers that meet an upstream
	listChanged     bool      // the list has changed since they were chosen
	zone            []int
	cell            []int
	crossZoneFactor float64 // what turns in another zone are cut to
	startedAt       []int64 // 0: warm since long ago
	credit          []float64
	inFlight        []int     // pushes out
	logOdds         []float64 // log odds that it is bad
	successes       []int     // outcomes
	failures        []int
	ejectedUntil    []int64 // set aside: next probe or return; 0 in service
	probesAnswered  []int   // probes answered while aside
	probing         []bool
	unreachable     []bool // set aside as unreachable, so it may come back cold
	tokens          []float64
	refilledAt      []int64
	warmSettled     int // outcomes of warm upstreams since the last beat
	warmRate        float64

	peers            []int     // balancers with the same part
	peerAttempts     [][]int   // by balancer: the upstreams to which it has pushes out
	peerReportAt     []int64   // when it said so
	peerLatencyRatio []float64 // the share of its contract time that a transaction takes there
	lastReportAt     int64     // when peers were told last
	nextReportAt     int64     // and when they are to be
	reportBudget     int       // messages that are paid for
	assignmentCheck  byte      // on the part, as places in it say which upstream is meant

	marked    []*Transaction // to look at in this round
	timers    timerHeap
	processes float64 // processes that are this balancer at present, itself included
	active    int     // transactions in hand

	latency          [statsSlots][latencyBuckets]int32
	samples          [statsSlots]int
	firstSends       [statsSlots]int
	outcomes         [statsSlots]int
	faults           [statsSlots]int
	slot             int
	nextSlotAt       int64
	hedgeDelay       int64 // 0 while there are too few samples
	budget           float64
	cancelledPending int // cancelled pushes still running

	hedges        [winSlots]int
	hedgeWins     [winSlots]int
	nextWinSlotAt int64
	hedgeChance   float64

	limit              float64        // transactions in hand at most
	quotaConcurrency   float64        // in hand at all balancers, if all customers send their shares; 0 if none have any
	initialPerUpstream float64        // for each upstream, in hand at all balancers, before more is known
	lastConcurrency    float64        // transactions in hand at the end of the last round
	lastRoundAt        int64          // when that was
	meanConcurrency    float64        // of those in hand
	queue              []*Transaction // waiting for room, what earns most first
	departures         float64        // left the load since the last beat, settled or not
	lateActive         int            // in hand with a late push
	activeLoad         float64        // sum of one over the contract time of all others in hand
	shortLoad          float64        // the same over the last second, or longer where few come in
	shortRate          float64        // and what left it a nanosecond
	longLoad           float64        // both over five times that
	longRate           float64
	longConcurrency    float64 // in hand, counted
	baseRatio          float64 // the least share of its contract time that a transaction took
	capacity           float64 // of what is in service, as long
	bestRate           float64 // the most that left a nanosecond and unit of strength
	ticks              float64 // since the start
	arrivals           float64 // transactions since the last beat
	arrivalRate        float64 // the same a nanosecond, over as long as longRate
	quotaRate          float64 // and what customers send within their shares to each balancer in the mean
	shareCount         float64 // parts of the list that this balancer has
	nextTickAt         int64

	wakeAt       int64
	following    bool
	followAt     int64 // when to ask for the list again
	listFailures int

	suppressed [SuppressionCount]int
	events     []EjectionEvent // to be told
}

// Known reports whether an index still belongs to a listed upstream.
func (b *Balancer) Known(i int) bool { return b.inUse[i] }

// Sent says that a push has left; it had to wait for leave from elsewhere. Danger: counted from the order, that wait would be
// held against the upstream.
func (b *Balancer) Sent(tx *Transaction, n int, now int64) {
	tx.attempts[n].sentAt = now
	b.mark(tx)
}

// UpstreamCounts is how many upstreams are listed, and how many of them get nothing new now.
func (b *Balancer) UpstreamCounts() (listed, avoided int) {
	for i, known := range b.inUse {
		if known {
			listed++
			if !b.ready[i] || b.ejectedUntil[i] != 0 {
				avoided++
			}
		}
	}
	return listed, avoided
}

// SetProcesses says how many processes are this balancer at present, itself included.
func (b *Balancer) SetProcesses(n int) { b.processes = float64(max(n, 1)) }

// Reconfigure puts other terms in force: what is open keeps those that it came under, and what was learnt stays.
func (b *Balancer) Reconfigure(config *Config, now int64) error {
	if err := config.Validate(); err != nil {
		return err
	}
	b.now, b.listChanged = now, true
	b.applyConfig(config)
	return nil
}

// resetPeers makes room for what peers will say, and forgets what they have said: their numbers may be others'.
func (b *Balancer) resetPeers() {
	for peer := range b.peerAttempts {
		b.forgetPeer(peer)
	}
	b.peerAttempts, b.peerReportAt, b.peerLatencyRatio, b.peers = nil, nil, nil, nil
	if b.config.Peers {
		b.peerAttempts, b.peerReportAt = make([][]int, b.config.Balancers), make([]int64, b.config.Balancers)
		b.peerLatencyRatio = make([]float64, b.config.Balancers)
	}
}

func (b *Balancer) forgetPeer(peer int) {
	for _, i := range b.peerAttempts[peer] {
		b.peerInFlight[i]--
	}
	b.peerAttempts[peer] = b.peerAttempts[peer][:0]
}

func sum(counts []int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}

// Writer receives the decisions of one round, in order.
type Writer interface {
	HasIdleConn(upstream int) bool                  // no decision: does a connection to it wait for a push?
	Send(t *Transaction, upstream int, until int64) // until: when the push is abandoned
	Cancel(t *Transaction, push int)
	Defer(t *Transaction, why Reason, backoff int64) // final: trying again is harmless
	Forfeit(t *Transaction, why Reason)              // final: nothing is promised
	Probe(upstream int)
	SendReport(peer int, raw []byte) // says something to another balancer
	Follow()                         // subscribe to the list
	Wake(at int64)
	Note(text string)
}

// AttemptCount is the number of pushes so far.
func (tx *Transaction) AttemptCount() int { return len(tx.attempts) }

// timerHeap is a heap (container/heap) of transactions by due time; each stands in it once and knows its
// place.
type timerHeap []*Transaction

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex, h[j].timerIndex = i, j
}

func (h *timerHeap) Push(t any) {
	t.(*Transaction).timerIndex = len(*h)
	*h = append(*h, t.(*Transaction))
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	t.timerIndex, (*h)[last], *h = -1, nil, (*h)[:last]
	return t
}

// addUpstream makes room for one more upstream, and returns its index.
func (b *Balancer) addUpstream() int {
	i := len(b.inUse)
	b.inUse, b.ready = append(b.inUse, true), append(b.ready, false)
	b.weight, b.credit, b.logOdds = append(b.weight, 1), append(b.credit, 0), append(b.logOdds, 0)
	b.id, b.share = append(b.id, 0), append(b.share, 0)
	b.kind, b.peerInFlight = append(b.kind, 0), append(b.peerInFlight, 0)
	b.zone, b.cell = append(b.zone, 0), append(b.cell, 0)
	b.inFlight = append(b.inFlight, 0)
	b.successes, b.failures = append(b.successes, 0), append(b.failures, 0)
	b.startedAt, b.ejectedUntil = append(b.startedAt, 0), append(b.ejectedUntil, 0)
	b.probesAnswered, b.probing, b.unreachable = append(b.probesAnswered, 0), append(b.probing, false), append(b.unreachable, false)
	b.tokens, b.refilledAt = append(b.tokens, 0), append(b.refilledAt, 0)
	return i
}

// schedule sets when a transaction is looked at again, unless something comes in for it before.
func (b *Balancer) schedule(tx *Transaction, due int64) {
	tx.dueAt = due
	if tx.timerIndex < 0 {
		heap.Push(&b.timers, tx)
	} else {
		heap.Fix(&b.timers, tx.timerIndex)
	}
}

func (b *Balancer) unschedule(tx *Transaction) {
	if tx.timerIndex >= 0 {
		heap.Remove(&b.timers, tx.timerIndex)
	}
}

// random draws from [0, 1) by multiply with carry.
func (b *Balancer) random() float64 {
	b.randState = (b.randState&0xffffffff)*4294957665 + b.randState>>32
	return float64(uint32(b.randState)) / (1 << 32)
}

func (b *Balancer) mark(tx *Transaction) {
	if !tx.marked {
		tx.marked = true
		b.marked = append(b.marked, tx)
	}
}

// deactivate ends a transaction; from here on nothing may go out for it.
func (b *Balancer) deactivate(tx *Transaction) {
	tx.answered = true
	if tx.active {
		tx.active = false
		b.active--
		if tx.late {
			b.lateActive--
		} else {
			b.activeLoad -= tx.load
			b.departures++
		}
	}
}

// activate takes a transaction into what is in hand, once all of it is there.
func (b *Balancer) activate(tx *Transaction) {
	if !tx.active && !tx.BodyPending {
		tx.active = true
		b.active++
		b.activeLoad += tx.load
	}
}

// tried reports whether a transaction went to an upstream already.
func (tx *Transaction) tried(i int) bool {
	return slices.ContainsFunc(tx.attempts, func(p Attempt) bool { return p.upstream == i })
}

// findFirstEffect finds the first push that may have run: pushes that provably never ran bind nothing.
func (tx *Transaction) findFirstEffect() {
	tx.firstEffect = slices.IndexFunc(tx.attempts, func(p Attempt) bool { return p.pending || !p.result.NeverRan() })
}
