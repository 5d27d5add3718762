package httpwire

import (
	"context"
	"time"

	"ottershift/internal/desk"
	"ottershift/logic"
)

const tallyEvery = 10 * time.Second

// tallies logs now and then what has become of transactions and pushes, unless there was nothing.
func (p *Pool) tallies(ctx context.Context) {
	tick := time.NewTicker(tallyEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.logTally()
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pool) logTally() {
	var t desk.Tally
	for _, sh := range p.shards {
		t.Add(sh.desk.Tally())
	}
	if t.Arrived == 0 && t.Open == 0 {
		return
	}
	ended := p.counts.Ended()
	now := ended
	for e := range now {
		now[e] -= p.tally[e]
	}
	p.tally = ended
	if p.book.Load().Watch {
		w := t.Watched
		p.log.Info("shape", "compared", w.Compared, "elsewhere", w.Elsewhere, "waiting", w.Waiting, "sooner", w.Sooner,
			"copies", w.Copies, "fewer", w.Fewer, "given_up", w.GivenUp, "kept", w.Kept)
	}
	r, s := t.Results, p.front.sockets
	_, out, bodies, owed := p.part.holds()
	p.log.Info("tally", "arrived", t.Arrived, "settled", now[desk.Settled], "deferred", now[desk.Deferred],
		"forfeited", now[desk.Forfeited], "rejected", now[desk.Rejected], "vanished", t.Vanished,
		"open", t.Open, "at_edge", t.Edge, "owed", owed,
		"push_settled", r[logic.Settled], "push_errored", r[logic.Errored], "push_turned_away", r[logic.TurnedAway],
		"push_timed_out", r[logic.TimedOut], "push_unreachable", r[logic.Unreachable], "push_broken", r[logic.Broken],
		"push_called_off", r[logic.Cancelled], "push_unsent", r[logic.Unsent], "push_rejected", r[logic.Rejected],
		"clients", s.in.Load(), "upstream_connections", out, "bytes_in_hand", bodies)
}
