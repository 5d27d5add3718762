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
	DedupWindow  int64       `json:"Remembered"` // how long a repeat is recognised after the first attempt that may have run
	HardStop     int64       // total time that a client waits, over all of its own retries
	ContractTime int64       // an answer within this time earns the full amount
	WorkFactor   float64     `json:"Stretch"` // ContractTime grows by this multiple of the transaction's own work
	Earnings     float64
	LateEarnings float64 // the part earned by an answer after ContractTime

	UserData any `json:"Mark"` // belongs to the caller, never read here

	longestWait int64 // the longest wait seen for a first try of a client
}

// Same reports whether two tariffs have the same settings. Learned state and user data are ignored.
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
	FreeRefusals    int     // attempts refused by a proxy in front of an upstream, on top of MaxAttempts
	Hedging         bool    `json:"SecondCopies"`
	Cancelling      bool    // attempts can be cancelled
	Probing         bool    // an ejected upstream is probed before it is reinstated
	AdviseBackoff   bool    // deferred clients are told how long to back off
	MaxBackoff      int64   // in nanoseconds
	FollowList      bool    `json:"AskForList"` // the balancer subscribes to the list of upstreams by itself
	Peers           bool    // balancers exchange load reports
	LiveWeights     bool    // a listed weight is the upstream's size divided by one plus what each of its cores holds
	CrossZonePrice  float64 // cost of a cross-zone attempt, in units of earnings
	ColdShare       float64 // an upstream starts with at least this share of its capacity
	WarmUp          int64   // after this time, in nanoseconds, an upstream is warm at the latest
	OverloadFactor  float64 `json:"FallMultiple"` // an upstream fails when sent this multiple of its present capacity
	OverloadSpan    int64   `json:"FallSpan"`     // for this long, in nanoseconds
	OverQuotaFactor float64 `json:"BeyondShare"`  // factor for the value of a transaction beyond its customer's quota
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

// Upstream is one entry of the list of upstreams.
type Upstream struct {
	ID        uint32 // the same at every balancer, with no other meaning
	Weight    float64
	Zone      int
	Cell      int
	Kind      int   // of machine; all of one kind have the same size; 0 if unknown
	StartedAt int64 // latest start; 0 if it is long ago
}

// Result tells how one attempt ended.
type Result uint8

const (
	Settled      Result = iota
	Errored             // the upstream responded with an error
	Refused             // refused without processing
	TimedOut            // no response in time
	Unreachable         // no connection could be opened
	Disconnected        // the connection broke
	Cancelled           // cancelled by this balancer
	Unsent              // never sent
	Rejected            // the upstream found the transaction itself invalid
)

func (r Result) String() string {
	return [Rejected + 1]string{
		"settled", "errored", "turned_away", "timed_out", "unreachable", "broken", "called_off", "unsent", "rejected",
	}[r]
}

// Final reports whether an attempt with this result ends its transaction.
func (r Result) Final() bool { return r == Settled || r == Rejected }

// NeverRan reports whether the result proves that the attempt had no effect.
func (r Result) NeverRan() bool { return r == Refused || r == Unreachable || r == Unsent }

// upstreamFault reports whether the result counts against the upstream.
func (r Result) upstreamFault() bool { return r >= Errored && r <= Disconnected }

// Attempt is one attempt to have a transaction served by an upstream.
type Attempt struct {
	upstream  int
	location  Location // of the upstream at the time of sending, as its index may be reused later
	sentAt    int64
	result    Result
	pending   bool // has no result yet
	hedge     bool
	cancelled bool // cancelled, but without a result yet
	late      bool // silence has been counted against the upstream
}

// Location is where the repeats of a keyed transaction are recognised, and so where retries have to stay.
type Location struct{ Zone, Cell int }

// Transaction is one request of a client, which gets exactly one final answer.
type Transaction struct {
	UserData     any       // belongs to the caller, never read here
	Config       *Config   // the configuration that applies to it; nil for the current one
	SendOnce     bool      // its body can be sent only once
	BodyPending  bool      // its last byte has not arrived; its times have not begun
	PriorAttempt *Location // where an earlier try may have run, at any balancer; nil for none
	EarliestSend int64     // no attempt is sent before this time, or before the call of Sent

	tariff      *Tariff
	customer    *Customer
	arrivedAt   int64
	load        float64 // its load: one over its contract time, which makes tariffs comparable
	contractEnd int64   // end of the contract time
	hardStop    int64
	dueAt       int64 // time of the next decision
	timerIndex  int   // index in Balancer.timers, -1 if none
	attempts    []Attempt
	pending     int      // attempts without a result
	refused     int      // refused attempts
	firstEffect int      // first attempt that may have had an effect, -1 if none
	marked      bool     // in Balancer.marked
	clientRetry bool     // the client has tried it before
	value       float64  // expected earnings, which order the queue
	queued      bool     // waits for the concurrency limit
	late        bool     // has had a late attempt
	active      bool     // counted in Balancer.active
	streaming   *Attempt // the attempt whose response is being streamed
	answered    bool     // has its final answer
}

// Closed reports whether no further event can come for the transaction.
func (tx *Transaction) Closed() bool { return tx.answered && tx.pending == 0 }

// Balancer is the decision logic of one instance. It is not safe for concurrent use. All times are in nanoseconds
// and all rates per nanosecond.
type Balancer struct {
	config    *Config
	writer    Writer // set during Round
	now       int64
	randState uint64

	// Upstreams, by index.
	inUse           []bool // the index is taken
	ready           []bool // listed and not draining
	id              []uint32
	weight          []float64 // without the effect of load
	kind            []int
	peerInFlight    []int     // attempts in flight from peers, by their reports
	share           []float64 // the part of its weight that is assigned to this balancer
	assigned        []int     // indexes of the upstreams with a share
	overlap         int       // number of balancers that use an upstream
	listDirty       bool      // the list has changed since the last assignment
	zone            []int
	cell            []int
	crossZoneFactor float64   // factor for the traffic to other zones
	startedAt       []int64   // 0: warm for long
	credit          []float64 // in the weighted rotation; NaN before the first turn
	inFlight        []int     // pending attempts
	logOdds         []float64 // log odds that it fails more often than the others
	successes       []int     // recent outcomes
	failures        []int
	ejectedUntil    []int64 // ejected: time of the next probe or of the return; 0 in service
	probesAnswered  []int   // consecutive probes answered while ejected
	probing         []bool
	unreachable     []bool    // not reachable since it last settled an attempt: it may be cold when it returns
	tokens          []float64 // budget of attempts while it is cold
	refilledAt      []int64
	warmSettled     int     // attempts settled by warm upstreams since the last tick
	warmRate        float64 // what warm upstreams settle per unit of share

	peers            []int     // balancers with the same assignment
	peerAttempts     [][]int   // by balancer: upstreams of its attempts in flight
	peerReportAt     []int64   // by balancer: time of its last report
	peerLatencyRatio []float64 // by balancer: the latency ratio that it reported
	lastReport       int64     // time of the last report to peers
	nextReport       int64     // time when the next one is due
	reportBudget     int       // reports that may be sent
	assignmentCheck  byte      // 3-bit checksum of the assignment, without which positions in it mean nothing

	marked    []*Transaction // to be decided in this round
	timers    timerHeap
	processes float64 // processes that act as this balancer at present, this one included
	active    int     // transactions that were sent in full and have no final answer

	latency          [statsSlots][latencyBuckets]int32 // histogram with a factor of 1.1 between buckets
	samples          [statsSlots]int
	firstSends       [statsSlots]int // first attempts
	outcomes         [statsSlots]int
	faults           [statsSlots]int // outcomes that count against an upstream
	slot             int
	nextSlotAt       int64
	hedgeDelay       int64   // 0 while there are too few samples
	budget           float64 // hedges and retries that may be sent
	cancelledPending int     // cancelled attempts without a result

	hedges        [winSlots]int
	hedgeWins     [winSlots]int
	nextWinSlotAt int64
	hedgeChance   float64 // probability of a hedge that is due, adapted to the win rate

	limit              float64        // concurrency limit
	quotaConcurrency   float64        // concurrency at all balancers if all customers use their quotas; 0 without quotas
	initialPerUpstream float64        // initial concurrency per upstream, over all balancers
	lastConcurrency    float64        // concurrency at the end of the last round
	roundAt            int64          // time of the last round
	meanConcurrency    float64        // exponential moving average
	queue              []*Transaction // waits for the limit, in descending order of value
	departures         float64        // transactions that left activeLoad since the last tick, settled or not
	lateActive         int            // active transactions with a late attempt
	activeLoad         float64        // sum of the loads of all other active transactions
	shortLoad          float64        // mean of activeLoad over a second, or longer at low rates
	shortRate          float64        // rate of departures over the same time
	longLoad           float64        // both over five times as long
	longRate           float64
	longConcurrency    float64 // mean of active transactions that are not late
	baseRatio          float64 // lowest latency ratio, without congestion
	capacity           float64 // mean weight in service
	bestRate           float64 // highest rate of departures per unit of capacity
	ticks              float64 // since the start
	arrivals           float64 // since the last tick
	arrivalRate        float64 // mean, over as long as longRate
	quotaRate          float64 // mean arrival rate per balancer if all customers use their quotas
	shareCount         float64 // number of shares of the list that this balancer has
	nextTickAt         int64

	wakeAt       int64
	following    bool
	followAt     int64 // when to subscribe to the list again
	listFailures int

	suppressed [SuppressionCount]int
	events     []EjectionEvent // not taken yet
}

// Known reports whether an index still belongs to a listed upstream.
func (b *Balancer) Known(i int) bool { return b.inUse[i] }

// Sent reports that attempt n, which had to wait for a permission, was sent. That wait must not count against the
// upstream.
func (b *Balancer) Sent(tx *Transaction, n int, now int64) {
	tx.attempts[n].sentAt = now
	b.mark(tx)
}

// UpstreamCounts returns the number of listed upstreams, and how many of them get no new attempts at present.
func (b *Balancer) UpstreamCounts() (listed, avoided int) {
	for i, inUse := range b.inUse {
		if inUse {
			listed++
			if !b.ready[i] || b.ejectedUntil[i] != 0 {
				avoided++
			}
		}
	}
	return listed, avoided
}

// SetProcesses sets how many processes act as this balancer at present, this one included.
func (b *Balancer) SetProcesses(n int) { b.processes = float64(max(n, 1)) }

// Reconfigure replaces the configuration. Open transactions keep the one that they came under, and learned state stays.
func (b *Balancer) Reconfigure(config *Config, now int64) error {
	if err := config.Validate(); err != nil {
		return err
	}
	b.now, b.listDirty = now, true
	b.applyConfig(config)
	return nil
}

// resetPeers drops all load reports, as the numbers of the balancers may have changed, and allocates space for new ones.
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

// forgetPeer drops the last load report of a peer.
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
	HasIdleConn(upstream int) bool                   // a query: is there an idle connection to the upstream?
	Send(tx *Transaction, upstream int, until int64) // until: when the attempt is abandoned
	Cancel(tx *Transaction, attempt int)
	Defer(tx *Transaction, reason Reason, backoff int64) // final answer: the client can safely retry
	Forfeit(tx *Transaction, reason Reason)              // final answer: it is unknown whether the transaction ran
	Probe(upstream int)
	SendReport(peer int, report []byte) // sends a load report to another balancer
	Follow()                            // subscribes to the list
	Wake(at int64)                      // asks for a round at this time
	Note(text string)
}

// AttemptCount returns the number of attempts so far.
func (tx *Transaction) AttemptCount() int { return len(tx.attempts) }

// timerHeap is a heap.Interface of transactions, ordered by due time. Each transaction is in it at most once and
// knows its index.
type timerHeap []*Transaction

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].dueAt < h[j].dueAt }
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex, h[j].timerIndex = i, j
}

func (h *timerHeap) Push(tx any) {
	tx.(*Transaction).timerIndex = len(*h)
	*h = append(*h, tx.(*Transaction))
}

func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	tx := (*h)[last]
	tx.timerIndex, (*h)[last], *h = -1, nil, (*h)[:last]
	return tx
}

// addUpstream adds the state of one more upstream and returns its index.
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
	b.probesAnswered, b.probing, b.unreachable =
		append(b.probesAnswered, 0), append(b.probing, false), append(b.unreachable, false)
	b.tokens, b.refilledAt = append(b.tokens, 0), append(b.refilledAt, 0)
	return i
}

// schedule sets when a transaction is decided on again, unless an event comes for it before.
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

// random returns a pseudo-random number in [0, 1), by multiply-with-carry.
func (b *Balancer) random() float64 {
	b.randState = (b.randState&0xffffffff)*4294957665 + b.randState>>32
	return float64(uint32(b.randState)) / (1 << 32)
}

// mark has a transaction decided on in the next round.
func (b *Balancer) mark(tx *Transaction) {
	if !tx.marked {
		tx.marked = true
		b.marked = append(b.marked, tx)
	}
}

// deactivate ends a transaction. No attempt may be sent for it from here on.
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

// activate counts a transaction as active once its body has been received.
func (b *Balancer) activate(tx *Transaction) {
	if !tx.active && !tx.BodyPending {
		tx.active = true
		b.active++
		b.activeLoad += tx.load
	}
}

// tried reports whether an attempt was already sent to an upstream.
func (tx *Transaction) tried(i int) bool {
	return slices.ContainsFunc(tx.attempts, func(p Attempt) bool { return p.upstream == i })
}

// findFirstEffect sets firstEffect. Attempts that provably never ran do not restrict retries.
func (tx *Transaction) findFirstEffect() {
	tx.firstEffect = slices.IndexFunc(tx.attempts, func(p Attempt) bool { return p.pending || !p.result.NeverRan() })
}
