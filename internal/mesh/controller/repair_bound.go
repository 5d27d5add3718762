package controller

import (
	"time"

	"ottershift/internal/mesh/consensus"
)

const (
	repairTurns = 2 // turns of the loop: one until the silence is seen, one for a majority's word that this replica is current
	repairSteps = 4 // each a round trip and a sync: catch-up, prepare, accept, learn
)

// RepairBound is how long after a member's last word its place is another's, and that one's disk is known to hold the
// state, where a spare is there, one attempt is lost on the way, and each step takes so long:
//
//	ReplaceAfter + 2·turn + step's timeout + 4·step
//
// What a disk or a machine stands still for comes on top of it.
func RepairBound(step time.Duration) time.Duration {
	return time.Duration(consensus.ReplacementTimeout) + repairTurns*gossipInterval + stepTimeout + repairSteps*step
}

// LongestRepairStep is the longest step with which a repair ends within a time, 0 where none does.
func LongestRepairStep(within time.Duration) time.Duration {
	return max(0, within-RepairBound(0)) / repairSteps
}
