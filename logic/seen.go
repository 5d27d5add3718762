package logic

// Reason says what a transaction that its caller could not have settled ended by.
type Reason uint8

const (
	QueueTimeout     Reason = iota // waited in line as long as it may
	QueueFull                      // the line was longer than the wait that it may have
	NoUpstream                     // there was nobody to send it to
	DeadlineExceeded               // its contract time or its hard stop came with a push out, or with none possible
	AttemptsFailed                 // its last push failed, and no further one was allowed, paid for or had an upstream
	ReasonCount      = iota
)

func (w Reason) String() string {
	return [ReasonCount]string{"no_room", "line_full", "no_upstream", "given_up", "failed"}[w]
}

// Suppression is what kept a copy or a retry back.
type Suppression uint8

const (
	HedgingPaused    Suppression = iota // outcomes are bad
	HedgeOverBudget                     // the bucket is empty
	HedgeWinRateLow                     // copies seldom won
	RetryOverBudget                     // the bucket is empty
	SuppressionCount = iota
)

func (h Suppression) String() string {
	return [SuppressionCount]string{"copy_gated", "copy_unpaid", "copy_loop", "retry_unpaid"}[h]
}

// EjectionEvent is an upstream that was set aside or taken back. Nothing is decided by it.
type EjectionEvent struct {
	Upstream   int
	Reinstated bool
	Cause      Result // the last evidence, where it was set aside
	Cold       bool   // taken back as one that may have started anew
}

// Stats is what a balancer makes of things, for those who watch it. Nothing is decided by it.
type Stats struct {
	Suppressed [SuppressionCount]int // since it was asked last

	Limit, Concurrency, MeanConcurrency float64 // transactions: the bound (0 before the first), counted now, and their mean
	QueueLength                         int     // transactions that wait
	LatencyRatio, BaseRatio             float64 // shares of contract time that a transaction takes now, and at best
	Capacity, BestRate                  float64 // weight in service, and the most ends a second for each unit of it
	Assigned, Ejected, Cold             int     // upstreams of its part, and how many of them are set aside and cold
	HedgeDelay                          int64   // the live quantile, 0 for none
	Budget                              float64 // pushes
}

// Stats tells how things stand.
func (b *Balancer) Stats() Stats {
	v := Stats{Suppressed: b.suppressed}
	b.suppressed = [SuppressionCount]int{}
	v.Limit, v.Concurrency, v.MeanConcurrency, v.QueueLength, v.BaseRatio = b.limit, b.concurrency(), b.meanConcurrency, len(b.queue), b.baseRatio
	if b.shortRate > 0 {
		v.LatencyRatio = b.shortLoad / b.shortRate
	}
	v.Capacity, v.BestRate, v.HedgeDelay, v.Budget = b.capacity, b.bestRate*float64(sec), b.hedgeDelay, b.budget-float64(b.cancelledPending)
	v.Assigned = len(b.assigned)
	for _, i := range b.assigned {
		if b.ejectedUntil[i] != 0 {
			v.Ejected++
		}
		if b.warmth(i) < 1 {
			v.Cold++
		}
	}
	return v
}

// Add adds another's; of the shares and the quantile the larger stays.
func (stats *Stats) Add(other Stats) {
	for suppression, n := range other.Suppressed {
		stats.Suppressed[suppression] += n
	}
	stats.Limit, stats.Concurrency, stats.MeanConcurrency, stats.QueueLength = stats.Limit+other.Limit, stats.Concurrency+other.Concurrency, stats.MeanConcurrency+other.MeanConcurrency, stats.QueueLength+other.QueueLength
	stats.LatencyRatio, stats.BaseRatio, stats.HedgeDelay = max(stats.LatencyRatio, other.LatencyRatio), max(stats.BaseRatio, other.BaseRatio), max(stats.HedgeDelay, other.HedgeDelay)
	stats.Capacity, stats.BestRate, stats.Budget = stats.Capacity+other.Capacity, max(stats.BestRate, other.BestRate), stats.Budget+other.Budget
	stats.Assigned, stats.Ejected, stats.Cold = stats.Assigned+other.Assigned, stats.Ejected+other.Ejected, stats.Cold+other.Cold
}

// TakeEvents takes what was set aside and taken back since the last call.
func (b *Balancer) TakeEvents(take func(EjectionEvent)) {
	for _, event := range b.events {
		take(event)
	}
	b.events = b.events[:0]
}

// recordEvent keeps a turn for who watches. Danger: nobody may, and memory would grow.
func (b *Balancer) recordEvent(event EjectionEvent) {
	if len(b.events) < 64 {
		b.events = append(b.events, event)
	}
}

// allow counts what keeps a copy or a retry back, and hands on whether nothing does.
func (b *Balancer) allow(cause Suppression, allowed bool) bool {
	if !allowed {
		b.suppressed[cause]++
	}
	return allowed
}
