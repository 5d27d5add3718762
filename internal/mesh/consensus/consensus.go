// Package consensus is how the core agrees: one state, replaced whole, slot after slot. Each slot is decided by Paxos among
// the members that the state before it names, so that the core itself is part of what is agreed. It does no I/O and
// reads no clock: Replica is an acceptor with its answers, Proposal one proposer's attempt.
//
// What is decided in slot n was accepted, synced, by a quorum of the core of state n-1. A quorum is a majority, and no
// fewer than Tolerate+1, so that what counts outlives as many lost disks. A member is known by the identity of its
// disk: a wiped disk comes back under a new one, which counts only once an agreed change has put it into the core.
package consensus
