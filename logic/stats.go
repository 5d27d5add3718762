package logic

// Reason tells why a transaction was deferred or forfeited.
type Reason uint8

const (
	QueueTimeout     Reason = iota // waited in the queue for the maximum time
	QueueFull                      // the queue was too long for its maximum wait
	NoUpstream                     // no upstream was available
	DeadlineExceeded               // its contract time or hard stop passed
	AttemptsFailed                 // its last attempt failed, and no retry was possible
	ReasonCount      = iota
)

func (r Reason) String() string {
	return [ReasonCount]string{"no_room", "line_full", "no_upstream", "given_up", "failed"}[r]
}

// Suppression tells why a hedge or a retry was not sent.
type Suppression uint8

const (
	HedgePaused      Suppression = iota // too many faults
	HedgeOverBudget                     // the budget is used up
	HedgeWinRateLow                     // hedges seldom answer first
	RetryOverBudget                     // the budget is used up
	SuppressionCount = iota
)

func (s Suppression) String() string {
	return [SuppressionCount]string{"copy_gated", "copy_unpaid", "copy_loop", "retry_unpaid"}[s]
}

// EjectionEvent tells of the ejection or reinstatement of an upstream, for observation only.
type EjectionEvent struct {
	Upstream   int
	Reinstated bool
	Cause      Result // the result that led to the ejection
	Cold       bool   // reinstated as cold, as it may have restarted
}

// Stats is a snapshot of the state of a balancer, for observation only.
type Stats struct {
	Suppressed [SuppressionCount]int // since the last call

	Limit, Concurrency, MeanConcurrency float64 // in transactions; the limit is 0 before the first arrival
	QueueLength                         int     // waiting transactions
	LatencyRatio, BaseRatio             float64 // share of its contract time that a transaction takes now, and at best
	Capacity, BestRate                  float64 // weight in service, and the highest departures per second and unit of it
	Assigned, Ejected, Cold             int     // assigned upstreams, and the ejected and the cold ones among them
	HedgeDelay                          int64   // in nanoseconds, 0 for none
	Budget                              float64 // hedges and retries that may be sent
}

// Stats returns a snapshot, and starts the count of suppressions anew.
func (b *Balancer) Stats() Stats {
	stats := Stats{Suppressed: b.suppressed}
	b.suppressed = [SuppressionCount]int{}
	stats.Limit, stats.Concurrency, stats.MeanConcurrency, stats.QueueLength, stats.BaseRatio =
		b.limit, b.concurrency(), b.meanConcurrency, len(b.queue), b.baseRatio
	if b.shortRate > 0 {
		stats.LatencyRatio = b.shortLoad / b.shortRate
	}
	stats.Capacity, stats.BestRate, stats.HedgeDelay, stats.Budget =
		b.capacity, b.bestRate*float64(sec), b.hedgeDelay, b.budget-float64(b.cancelledPending)
	stats.Assigned = len(b.assigned)
	for _, i := range b.assigned {
		if b.ejectedUntil[i] != 0 {
			stats.Ejected++
		}
		if b.warmth(i) < 1 {
			stats.Cold++
		}
	}
	return stats
}

// Add adds the snapshot of another balancer. Of ratios, best rate and hedge delay the larger value remains.
func (s *Stats) Add(other Stats) {
	for suppression, n := range other.Suppressed {
		s.Suppressed[suppression] += n
	}
	s.Limit, s.Concurrency, s.MeanConcurrency, s.QueueLength =
		s.Limit+other.Limit, s.Concurrency+other.Concurrency,
		s.MeanConcurrency+other.MeanConcurrency, s.QueueLength+other.QueueLength
	s.LatencyRatio, s.BaseRatio, s.HedgeDelay =
		max(s.LatencyRatio, other.LatencyRatio), max(s.BaseRatio, other.BaseRatio), max(s.HedgeDelay, other.HedgeDelay)
	s.Capacity, s.BestRate, s.Budget =
		s.Capacity+other.Capacity, max(s.BestRate, other.BestRate), s.Budget+other.Budget
	s.Assigned, s.Ejected, s.Cold = s.Assigned+other.Assigned, s.Ejected+other.Ejected, s.Cold+other.Cold
}

// TakeEvents calls take for each ejection and reinstatement since the last call.
func (b *Balancer) TakeEvents(take func(EjectionEvent)) {
	for _, event := range b.events {
		take(event)
	}
	b.events = b.events[:0]
}

// recordEvent keeps an event for TakeEvents. It keeps at most 64, as nobody may call that.
func (b *Balancer) recordEvent(event EjectionEvent) {
	if len(b.events) < 64 {
		b.events = append(b.events, event)
	}
}

// allow counts a hedge or retry that is not allowed, and returns allowed.
func (b *Balancer) allow(cause Suppression, allowed bool) bool {
	if !allowed {
		b.suppressed[cause]++
	}
	return allowed
}
