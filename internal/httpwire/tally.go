package httpwire

import (
	"log"
	"time"

	"ottershift/internal/desk"
	"ottershift/logic"
)

const tallyEvery = 10 * time.Second

// Tally logs now and then what has become of transactions and pushes, unless there was nothing.
func (f *Front) Tally() {
	for range time.Tick(tallyEvery) {
		f.logTally()
	}
}

func (f *Front) logTally() {
	t := f.desk.Tally()
	if t.Arrived == 0 && t.Open == 0 {
		return
	}
	r := t.Results
	log.Printf("event=tally arrived=%d settled=%d deferred=%d forfeited=%d rejected=%d vanished=%d open=%d"+
		" push_settled=%d push_errored=%d push_turned_away=%d push_timed_out=%d push_unreachable=%d push_broken=%d"+
		" push_called_off=%d push_unsent=%d push_rejected=%d clients=%d upstream_connections=%d",
		t.Arrived, t.Endings[desk.Settled], t.Endings[desk.Deferred], t.Endings[desk.Forfeited], t.Endings[desk.Rejected], t.Vanished, t.Open,
		r[logic.Settled], r[logic.Errored], r[logic.TurnedAway], r[logic.TimedOut], r[logic.Unreachable],
		r[logic.Broken], r[logic.Cancelled], r[logic.Unsent], r[logic.Rejected], f.sockets.in.Load(), f.sockets.out.Load())
}
