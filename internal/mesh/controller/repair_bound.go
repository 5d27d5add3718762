package controller

import (
	"time"

	"ottershift/internal/mesh/consensus"
)

const (
	// Periods of the maintenance loop: one to notice the silence, one for a majority to confirm that this replica is
	// current.
	repairLoopPeriods = 2
	repairSteps       = 4 // each a round trip and a disk sync: catch-up, prepare, accept, learn
)

// RepairBound returns the longest time from a member's last message until a spare has replaced it and is known to hold
// the state on disk, if a spare is available, one attempt is lost, and each step takes the given time:
//
//	ReplacementTimeout + 2·gossipInterval + stepTimeout + 4·step
//
// Time during which a disk or a machine stalls is added to it.
func RepairBound(step time.Duration) time.Duration {
	return time.Duration(consensus.ReplacementTimeout) + repairLoopPeriods*gossipInterval + stepTimeout + repairSteps*step
}

// LongestRepairStep returns the longest step for which a repair completes within the given time, or 0 if there is
// none.
func LongestRepairStep(within time.Duration) time.Duration {
	return max(0, within-RepairBound(0)) / repairSteps
}
