package httpwire

import (
	"context"
	"math"
	"time"

	"ottershift/internal/desk"
	"ottershift/internal/figures"
	"ottershift/logic"
)

const (
	tallySamples   = 10 // looks
	sampleInterval = time.Second
)

// logState is what has been logged of a pool, under the lock of its looks.
type logState struct {
	sum        desk.Counters           // since the last tally in the log
	ended      [figures.Endings]int64  // at that time
	connTotals [connCounterCount]int64 // at the last look
	connSum    [connCounterCount]int64
}

// logPeriodically logs now and then what has become of transactions and pushes, unless there was nothing; and each second in which
// anything was lost, what that was and how things stood.
func (pool *Pool) logPeriodically(ctx context.Context) {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-tick.C:
			pool.sample(n%tallySamples == 0)
		case <-ctx.Done():
			return
		}
	}
}

// sample takes what has happened since the last one. Danger: 300 balancers that log each second would need more core and
// disk than their work; so only what was lost is logged at once.
func (pool *Pool) sample(whole bool) {
	pool.logMu.Lock()
	defer pool.logMu.Unlock()
	var counters desk.Counters
	var totals [connCounterCount]int64
	for _, sh := range pool.shards {
		counters.Add(sh.desk.TakeCounters())
		for k := range totals {
			totals[k] += sh.conns.counters[k].Load()
		}
	}
	delta := totals
	for k := range delta {
		delta[k] -= pool.logState.connTotals[k]
		pool.logState.connSum[k] += delta[k]
	}
	pool.logState.connTotals = totals
	seen := counters.Stats
	pool.logLosses(&counters, delta)
	pool.logState.sum.Stats = logic.Stats{Suppressed: pool.logState.sum.Stats.Suppressed} // how things stand adds up to nothing over time
	pool.logState.sum.Add(counters)
	pool.logState.sum.Open = counters.Open
	if whole {
		pool.logTally(seen)
	}
}

// appendNonZero adds what is not zero to the arguments of a line.
func appendNonZero(to []any, name string, n int) []any {
	if n != 0 {
		to = append(to, name, n)
	}
	return to
}

// appendStats adds how things stand.
func appendStats(to []any, s logic.Stats) []any {
	round := func(v float64) float64 { return math.Round(v*100) / 100 }
	return append(to, "room", round(s.Limit), "in_hand", round(s.Concurrency), "in_hand_mean", round(s.MeanConcurrency), "line", s.QueueLength,
		"slow", round(s.LatencyRatio), "slow_base", round(s.BaseRatio), "strength", round(s.Capacity), "best", round(s.BestRate),
		"own", s.Assigned, "aside", s.Ejected, "cold", s.Cold, "quantile", time.Duration(s.HedgeDelay).Round(time.Millisecond), "bucket", round(s.Budget))
}

// logLosses says what was lost in a second, if anything was.
func (pool *Pool) logLosses(counters *desk.Counters, conns [connCounterCount]int64) {
	var lost []any
	for how, name := range [...]string{"deferred_", "forfeited_"} {
		for why, n := range counters.Ended[how] {
			lost = appendNonZero(lost, name+logic.Reason(why).String(), n)
		}
	}
	lost = appendNonZero(lost, "at_edge", counters.DeferredAtEdge)
	lost = appendNonZero(lost, "dial_failed", int(conns[dialFailed]))
	lost = appendNonZero(lost, "dial_short", int(conns[dialRefused]))
	for h, n := range counters.Stats.Suppressed {
		lost = appendNonZero(lost, logic.Suppression(h).String(), n)
	}
	if len(lost) == 0 {
		return
	}
	for k := range dialFailed {
		lost = appendNonZero(lost, connCounterNames[k], int(conns[k]))
	}
	for r, n := range counters.Results {
		lost = appendNonZero(lost, "push_"+logic.Result(r).String(), n)
	}
	lost = append(lost, "arrived", counters.Arrived, "open", counters.Open)
	pool.log.Info("losses", appendStats(lost, counters.Stats)...)
}

func (pool *Pool) logTally(seen logic.Stats) {
	sum, conns := pool.logState.sum, pool.logState.connSum
	pool.logState.sum, pool.logState.connSum = desk.Counters{}, [connCounterCount]int64{}
	if sum.Arrived == 0 && sum.Open == 0 {
		return
	}
	ended := pool.metrics.Ended()
	delta := ended
	for e := range delta {
		delta[e] -= pool.logState.ended[e]
	}
	pool.logState.ended = ended
	if pool.settings.Load().Watch {
		w := sum.Watched
		pool.log.Info("shape", "compared", w.Compared, "elsewhere", w.Elsewhere, "waiting", w.Waiting, "sooner", w.Sooner,
			"copies", w.Copies, "fewer", w.Fewer, "given_up", w.GivenUp, "kept", w.Kept)
	}
	s := pool.front.conns
	_, out, bodies, owed := pool.limits.usage()
	line := []any{"arrived", sum.Arrived, "settled", delta[desk.Settled], "deferred", delta[desk.Deferred],
		"forfeited", delta[desk.Forfeited], "rejected", delta[desk.Rejected], "vanished", sum.ClientsGone,
		"open", sum.Open, "at_edge", sum.DeferredAtEdge, "owed", owed}
	for r, n := range sum.Results {
		line = append(line, "push_"+logic.Result(r).String(), n)
	}
	line = append(line, "push_first", sum.FirstSends, "copies", sum.Hedges, "retries", sum.Retries)
	for h, n := range sum.Stats.Suppressed {
		line = appendNonZero(line, logic.Suppression(h).String(), n)
	}
	line = appendNonZero(appendNonZero(line, "probes", sum.Probes), "probes_unanswered", sum.ProbesFailed)
	for k, n := range conns {
		line = appendNonZero(line, connCounterNames[k], int(n))
	}
	line = append(line, "clients", s.clients.Load(), "upstream_connections", out, "bytes_in_hand", bodies)
	pool.log.Info("tally", appendStats(line, seen)...)
}
