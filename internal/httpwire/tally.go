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
	tallyEvery = 10 // looks
	lookEvery  = time.Second
)

// tally is what has been logged of a pool, under the lock of its looks.
type tally struct {
	sum      desk.Counters              // since the last tally in the log
	ended    [figures.EndingCount]int64 // at that time
	moved    [traffics]int64            // at the last look
	sumMoved [traffics]int64
}

// tallies logs now and then what has become of transactions and pushes, unless there was nothing; and each second in which
// anything was lost, what that was and how things stood.
func (p *Pool) tallies(ctx context.Context) {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-tick.C:
			p.look(n%tallyEvery == 0)
		case <-ctx.Done():
			return
		}
	}
}

// look takes what has happened since the last one. Danger: 300 balancers that log each second would need more core and
// disk than their work; so only what was lost is logged at once.
func (p *Pool) look(whole bool) {
	p.looks.Lock()
	defer p.looks.Unlock()
	var t desk.Counters
	var moved [traffics]int64
	for _, sh := range p.shards {
		t.Add(sh.desk.TakeCounters())
		for k := range moved {
			moved[k] += sh.out.traffic[k].Load()
		}
	}
	now := moved
	for k := range now {
		now[k] -= p.tally.moved[k]
		p.tally.sumMoved[k] += now[k]
	}
	p.tally.moved = moved
	seen := t.Stats
	p.logLosses(&t, now)
	p.tally.sum.Stats = logic.Stats{Suppressed: p.tally.sum.Stats.Suppressed} // how things stand adds up to nothing over time
	p.tally.sum.Add(t)
	p.tally.sum.Open = t.Open
	if whole {
		p.logTally(seen)
	}
}

// some adds what is not zero to the arguments of a line.
func some(to []any, name string, n int) []any {
	if n != 0 {
		to = append(to, name, n)
	}
	return to
}

// stands adds how things stand.
func stands(to []any, s logic.Stats) []any {
	round := func(v float64) float64 { return math.Round(v*100) / 100 }
	return append(to, "room", round(s.Limit), "in_hand", round(s.Concurrency), "in_hand_mean", round(s.MeanConcurrency), "line", s.QueueLength,
		"slow", round(s.LatencyRatio), "slow_base", round(s.BaseRatio), "strength", round(s.Capacity), "best", round(s.BestRate),
		"own", s.Assigned, "aside", s.Ejected, "cold", s.Cold, "quantile", time.Duration(s.HedgeDelay).Round(time.Millisecond), "bucket", round(s.Budget))
}

// logLosses says what was lost in a second, if anything was.
func (p *Pool) logLosses(t *desk.Counters, moved [traffics]int64) {
	var lost []any
	for how, name := range [...]string{"deferred_", "forfeited_"} {
		for why, n := range t.Ended[how] {
			lost = some(lost, name+logic.Reason(why).String(), n)
		}
	}
	lost = some(lost, "at_edge", t.DeferredAtEdge)
	lost = some(lost, "dial_failed", int(moved[dialFailed]))
	lost = some(lost, "dial_short", int(moved[dialShort]))
	for h, n := range t.Stats.Suppressed {
		lost = some(lost, logic.Suppression(h).String(), n)
	}
	if len(lost) == 0 {
		return
	}
	for k := range dialFailed {
		lost = some(lost, trafficNames[k], int(moved[k]))
	}
	for r, n := range t.Results {
		lost = some(lost, "push_"+logic.Result(r).String(), n)
	}
	lost = append(lost, "arrived", t.Arrived, "open", t.Open)
	p.log.Info("losses", stands(lost, t.Stats)...)
}

func (p *Pool) logTally(seen logic.Stats) {
	t, moved := p.tally.sum, p.tally.sumMoved
	p.tally.sum, p.tally.sumMoved = desk.Counters{}, [traffics]int64{}
	if t.Arrived == 0 && t.Open == 0 {
		return
	}
	ended := p.counts.EndingTotals()
	now := ended
	for e := range now {
		now[e] -= p.tally.ended[e]
	}
	p.tally.ended = ended
	if p.book.Load().Watch {
		w := t.Watched
		p.log.Info("shape", "compared", w.Compared, "elsewhere", w.Elsewhere, "waiting", w.Waiting, "sooner", w.Sooner,
			"copies", w.Copies, "fewer", w.Fewer, "given_up", w.GivenUp, "kept", w.Kept)
	}
	s := p.front.sockets
	_, out, bodies, owed := p.part.holds()
	line := []any{"arrived", t.Arrived, "settled", now[desk.Settled], "deferred", now[desk.Deferred],
		"forfeited", now[desk.Forfeited], "rejected", now[desk.Rejected], "vanished", t.ClientsGone,
		"open", t.Open, "at_edge", t.DeferredAtEdge, "owed", owed}
	for r, n := range t.Results {
		line = append(line, "push_"+logic.Result(r).String(), n)
	}
	line = append(line, "push_first", t.FirstSends, "copies", t.Hedges, "retries", t.Retries)
	for h, n := range t.Stats.Suppressed {
		line = some(line, logic.Suppression(h).String(), n)
	}
	line = some(some(line, "probes", t.Probes), "probes_unanswered", t.ProbesFailed)
	for k, n := range moved {
		line = some(line, trafficNames[k], int(n))
	}
	line = append(line, "clients", s.in.Load(), "upstream_connections", out, "bytes_in_hand", bodies)
	p.log.Info("tally", stands(line, seen)...)
}
