// Package burstcredit is burst credit: what a tenant leaves of its rate in quiet times is saved, and spent over its rate in rushes, in
// whatever zone or region the rush lands. It does no I/O and reads no clock.
//
// A Book is the accounts of all tenants, a part of what the core agrees on (book.go). A Crop is what one balancer holds of them
// (crop.go): tokens in escrow, which are gone from the account for as long as they are out, so that no request waits for the core.
//
// What a request draws is reserved under its identity, then settled or released. Tries of one request, and a client's own
// repeats of it, share one reservation at a balancer; settlements of one identity at several balancers are charged once, by
// the Book.
//
// Bounds, for a tenant with Extra tokens a second over its rate, n balancers, and Strand:
//
//	spent over the rate in a window W  <=  Extra·W + Extra·Ahead
//	stranded by balancers cut off      <=  Extra·Ahead, for as long as they are cut off, Strand at most
//	drawn beyond the credit            <=  what balancers that die spent since their last report: Extra·Ahead in all; 0 otherwise
//
// A balancer that is silent for Strand may have spent all that it holds, so all of it counts as spent; once it is back, what it
// has not spent is in the account again, and it holds nothing. Only a later life proves that one is dead: then effects that may
// have run are charged and the rest goes back at once.
//
//	identities kept in the Book  <=  Extra·Window
package burstcredit

import (
	"hash/fnv"
	"math"

	"ottershift/internal/mesh/routing"
)

const s = int64(1e9)

// Times of the protocol, in nanoseconds.
const (
	Ahead  = 1 * s    // of its demand that a balancer holds beforehand
	Every  = s / 4    // between two reports of a balancer that has something to tell
	Window = 60 * s   // for which a settled identity is known again
	Strand = 3600 * s // after which what a silent balancer holds is closed
	day    = 86400 * s
)

// Terms are what a tenant's configuration entry says of its credit.
type Terms struct {
	Earn  float64 // part of what it leaves of its rate that is saved, above 0 to have an account
	Cap   float64 // tokens saved at most
	Keep  int64   // nanoseconds after which what was saved expires
	Extra float64 // tokens a second over its rate, all balancers together
}

// TermsOf are the terms of a configuration's tenants that have credit.
func TermsOf(t *routing.Configuration) map[string]Terms {
	all := map[string]Terms{}
	for _, s := range t.Tenants {
		if n := s.BurstCredit; n != nil && n.SavedFraction > 0 {
			all[s.Name] = Terms{Earn: n.SavedFraction, Cap: n.MaxSaved, Keep: int64(n.Retention), Extra: n.MaxExtraRate}
		}
	}
	return all
}

// Bounds are the formulas above with figures in.
func (t Terms) Bounds(window int64) (spent, stranded, identities float64) {
	out := t.Extra * float64(Ahead) / float64(s)
	return t.Extra*float64(window)/float64(s) + out, out, t.Extra * float64(Window) / float64(s)
}

// Identity is the name under which a request is charged once.
func Identity(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		h.Write([]byte(p))
		h.Write([]byte{0})
	}
	return h.Sum64()
}

// Mark is a request that was charged.
type ClaimID struct {
	Tenant string
	ID     uint64
}

// Ask is what a balancer tells of one tenant.
type Ask struct {
	Held   float64 `json:",omitempty"` // in escrow here, reserved or not
	Want   float64 `json:",omitempty"` // that it would hold for requests that began at clients
	Inner  float64 `json:",omitempty"` // and for calls of services
	Return float64 `json:",omitempty"` // that it gives back
}

// Report is a balancer's word. Reports of one life are numbered; one that was not answered is sent again as it was.
type Report struct {
	Node, Life string
	Seq        uint64
	Asks       map[string]Ask
	Settled    []ClaimID // charged since the last report that was answered
	Open       []ClaimID // effects that may be running: if this balancer is lost, they are charged
}

// Grant is the answer to a report.
type Grant struct {
	Seq     uint64
	Tokens  map[string]float64 // now in escrow beyond what was held
	Refunds map[string]float64 // tokens of settlements that had been charged already: they are held again
	Reset   bool               `json:",omitempty"` // what was held has been closed: it is spent no more
}

func whole(v float64) float64 { return math.Floor(v + 1e-9) }
