// Package consensus implements the Paxos protocol by which the controllers agree on one shared State. The controllers
// that vote are called the core. Each slot replaces the whole state. A slot is decided among the core members that the
// previous state lists, so the membership of the core is part of the agreed state. The package does no I/O and reads no
// clock: Replica is an acceptor, and Proposal is one attempt of a proposer.
//
// The value decided in slot n has been accepted and synced to disk by a quorum of the core of state n-1. A quorum is a
// majority of the core, and at least ToleratedLosses+1 members, so that a decision survives the loss of that many
// disks. A member is identified by its disk. A wiped disk returns with a new identity, which has no vote until an
// agreed change adds it to the core.
package consensus
