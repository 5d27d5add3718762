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
	tallySamples   = 10 // samples between two tally lines
	sampleInterval = time.Second
)

// logState is what has been logged of a pool, guarded by logMu.
type logState struct {
	sum        desk.Counters              // since the last tally line
	ended      [figures.EndingCount]int64 // at the last tally line
	connTotals [connCounterCount]int64    // at the last sample
	connSum    [connCounterCount]int64
}

// logPeriodically logs a summary of transactions and attempts every tallySamples samples, unless there were none,
// and the losses of each second in which there were any.
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

// sample takes the counters since the last sample. Only losses are logged at once, because 300 balancers logging
// each second would need more CPU and disk than their work.
func (pool *Pool) sample(withTally bool) {
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
	current := counters.Stats
	pool.logLosses(&counters, delta)
	// Only the counters are summed over time, not the current state.
	pool.logState.sum.Stats = logic.Stats{Suppressed: pool.logState.sum.Stats.Suppressed}
	pool.logState.sum.Add(counters)
	pool.logState.sum.Open = counters.Open
	if withTally {
		pool.logTally(current)
	}
}

// appendNonZero appends a log attribute unless its value is zero.
func appendNonZero(args []any, name string, n int) []any {
	if n != 0 {
		args = append(args, name, n)
	}
	return args
}

// appendStats appends the current state of the decision engine.
func appendStats(args []any, stats logic.Stats) []any {
	round := func(v float64) float64 { return math.Round(v*100) / 100 }
	return append(args, "room", round(stats.Limit), "in_hand", round(stats.Concurrency),
		"in_hand_mean", round(stats.MeanConcurrency), "line", stats.QueueLength,
		"slow", round(stats.LatencyRatio), "slow_base", round(stats.BaseRatio), "strength", round(stats.Capacity),
		"best", round(stats.BestRate), "own", stats.Assigned, "aside", stats.Ejected, "cold", stats.Cold,
		"quantile", time.Duration(stats.HedgeDelay).Round(time.Millisecond), "bucket", round(stats.Budget))
}

// logLosses logs what was lost in a sample, if anything was.
func (pool *Pool) logLosses(counters *desk.Counters, conns [connCounterCount]int64) {
	var args []any
	for how, name := range [...]string{"deferred_", "forfeited_"} {
		for why, n := range counters.Ended[how] {
			args = appendNonZero(args, name+logic.Reason(why).String(), n)
		}
	}
	args = appendNonZero(args, "at_edge", counters.DeferredAtEdge)
	args = appendNonZero(args, "dial_failed", int(conns[dialFailed]))
	args = appendNonZero(args, "dial_short", int(conns[dialRefused]))
	for h, n := range counters.Stats.Suppressed {
		args = appendNonZero(args, logic.Suppression(h).String(), n)
	}
	if len(args) == 0 {
		return
	}
	for k := range dialFailed {
		args = appendNonZero(args, connCounterNames[k], int(conns[k]))
	}
	for r, n := range counters.Results {
		args = appendNonZero(args, "push_"+logic.Result(r).String(), n)
	}
	args = append(args, "arrived", counters.Arrived, "open", counters.Open)
	pool.log.Info("losses", appendStats(args, counters.Stats)...)
}

func (pool *Pool) logTally(current logic.Stats) {
	sum, conns := pool.logState.sum, pool.logState.connSum
	pool.logState.sum, pool.logState.connSum = desk.Counters{}, [connCounterCount]int64{}
	if sum.Arrived == 0 && sum.Open == 0 {
		return
	}
	ended := pool.metrics.EndingTotals()
	delta := ended
	for e := range delta {
		delta[e] -= pool.logState.ended[e]
	}
	pool.logState.ended = ended
	if pool.settings.Load().Shadow {
		watched := sum.Watched
		pool.log.Info("shape", "compared", watched.Compared, "elsewhere", watched.OtherUpstream, "waiting", watched.Later,
			"sooner", watched.Earlier, "copies", watched.MoreAttempts, "fewer", watched.FewerAttempts,
			"given_up", watched.EndedInShadow, "kept", watched.OpenInShadow)
	}
	tracker := pool.front.tracker
	_, out, bodies, refused := pool.limits.usage()
	line := []any{"arrived", sum.Arrived, "settled", delta[desk.Settled], "deferred", delta[desk.Deferred],
		"forfeited", delta[desk.Forfeited], "rejected", delta[desk.Rejected], "vanished", sum.ClientsGone,
		"open", sum.Open, "at_edge", sum.DeferredAtEdge, "owed", refused}
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
	line = append(line, "clients", tracker.clients.Load(), "upstream_connections", out, "bytes_in_hand", bodies)
	pool.log.Info("tally", appendStats(line, current)...)
}
