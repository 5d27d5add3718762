package judge

import (
	"math/bits"

	"ottershift/internal/lab/record"
)

const (
	majorityCheckInterval = 20 * ms  // between two checks for a majority of voters
	replacementDelay      = second   // from the command that replaces a voter until it votes
	linkRecovery          = 100 * ms // until data queued on a repaired link is delivered
)

// lastWithoutMajority returns the last time within a span at which, by what the lab did, no majority of voters was running,
// allowed to vote and connected; 0 if there is none. Bounds that require a majority count from that time.
func (cc *clusterChecker) lastWithoutMajority(from, to int64) (last int64) {
	for at := to - to%majorityCheckInterval; at > from; at -= majorityCheckInterval {
		if !cc.hasMajority(at) {
			return at
		}
	}
	return 0
}

// hasMajority reports whether a majority of voters was running, allowed to vote and connected at a time.
func (cc *clusterChecker) hasMajority(at int64) bool {
	n := cc.experiment.Cluster.Voters
	votes := make([]bool, n)
	for k := range votes {
		votes[k] = cc.canVote(k, at)
	}
	for set := uint(0); set < 1<<n; set++ {
		if 2*bits.OnesCount(set) > n && cc.connected(set, votes, at) {
			return true
		}
	}
	return false
}

// connected reports whether all voters of a set may vote and reach one another at a time.
func (cc *clusterChecker) connected(set uint, votes []bool, at int64) bool {
	for a := range votes {
		if set>>a&1 == 0 {
			continue
		}
		if !votes[a] {
			return false
		}
		for _, t := range cc.run.LinkFaults {
			if t.From == a && t.To < len(votes) && set>>t.To&1 != 0 &&
				overlaps(record.Span{From: t.Span.From, To: t.Span.To + linkRecovery}, at, at) &&
				(t.Kind == "cut" || t.Kind == "stall" || t.Kind == "trickle") {
				return false
			}
		}
	}
	return true
}

// canVote reports whether a voter's process is running and has the directory that the other voters know it by.
func (cc *clusterChecker) canVote(k int, at int64) bool {
	for _, o := range cc.run.Outages {
		if o.Balancer != k || at < o.From {
			continue
		}
		if o.To == 0 || at <= o.To+linkRecovery {
			return false
		}
		if o.WithoutState {
			seated := false
			for _, s := range cc.run.VoterReplacements {
				seated = seated || s.Balancer == k && s.At > o.From && at > s.At+replacementDelay
			}
			if !seated {
				return false
			}
		}
	}
	return true
}
