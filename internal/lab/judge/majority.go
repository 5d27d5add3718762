package judge

import (
	"math/bits"

	"ottershift/internal/lab/record"
)

const (
	steps   = 20 * ms  // between two looks at whether a majority of keepers is there
	seating = second   // from the order to replace a keeper until it votes
	heals   = 100 * ms // until what waits on a link that is well again is through
)

// apart is the last moment within a span at which no majority of keepers ran, had a vote and reached one another, by what the lab
// did; 0 for none. What is promised for a majority begins anew behind it.
func (f *fleet) apart(from, to int64) (last int64) {
	for at := to - to%steps; at > from; at -= steps {
		if !f.majority(at) {
			return at
		}
	}
	return 0
}

// majority reports whether some keepers that are one ran, voted and reached one another at a time.
func (f *fleet) majority(at int64) bool {
	n := f.e.Cluster.Voters
	votes := make([]bool, n)
	for k := range votes {
		votes[k] = f.votes(k, at)
	}
	for set := uint(0); set < 1<<n; set++ {
		if 2*bits.OnesCount(set) > n && f.together(set, votes, at) {
			return true
		}
	}
	return false
}

func (f *fleet) together(set uint, votes []bool, at int64) bool {
	for a := range votes {
		if set>>a&1 == 0 {
			continue
		}
		if !votes[a] {
			return false
		}
		for _, t := range f.r.LinkFaults {
			if t.From == a && t.To < len(votes) && set>>t.To&1 != 0 && overlaps(record.Span{From: t.Span.From, To: t.Span.To + heals}, at, at) &&
				(t.Kind == "cut" || t.Kind == "stall" || t.Kind == "trickle") {
				return false
			}
		}
	}
	return true
}

// votes reports whether a keeper's process runs, isn't stopped, and has a directory that the group knows.
func (f *fleet) votes(k int, at int64) bool {
	for _, o := range f.r.Outages {
		if o.Balancer != k || at < o.From {
			continue
		}
		if o.To == 0 || at <= o.To+heals {
			return false
		}
		if o.WithoutState {
			seated := false
			for _, s := range f.r.VoterReplacements {
				seated = seated || s.Balancer == k && s.At > o.From && at > s.At+seating
			}
			if !seated {
				return false
			}
		}
	}
	return true
}
