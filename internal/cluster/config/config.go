// Package config holds the cluster settings of a process and the formulas for the bounds that follow from them. It does no
// I/O.
package config

import (
	"fmt"
	"math"
	"time"
)

// Settings are the settings in the [cluster] table.
type Settings struct {
	Name             string            // name of the cluster; members of other clusters are refused
	Self             string            // name of this process
	Address          string            // TCP and UDP address for traffic between members
	Directory        string            // directory for state that survives restarts; "" for none
	Join             []string          // addresses of members to join
	Voters           []string          // names of the voters
	Zone             string            // zone of this process
	AddressOverrides map[string]string // by member name: the address at which to reach the member
	ProbeInterval    time.Duration     // interval between probes of other members
	RejoinInterval   time.Duration     // interval between attempts to reach a member considered dead
	ElectionTimeout  time.Duration     // time without a message from the leader until a voter starts an election
	Lease            time.Duration     // how long an owner may act after requesting a renewal
	ClockDrift       float64           // maximum relative difference in speed between two clocks
	Groups           int               // number of replication groups, each with its own leader
	Ledger           *Ledger           // nil if there is no [cluster.ledger] table
}

// Ledger holds the settings in the [cluster.ledger] table.
type Ledger struct {
	Policy            string        // "majority", "local" (stored on this machine's disk only) or "off"
	ClaimTimeout      time.Duration // how long a claim waits for the voters
	BatchDelay        time.Duration // how long a completion waits to be sent in a batch
	MaxKeys           int           // maximum number of remembered keys
	OnceOnlyRetention time.Duration // how long a once-only transaction is remembered
	WaitForFirst      bool          // a repeated transaction waits until the first one ends; otherwise it is deferred
	RequireSameBody   bool          // a repeat of a key with a different body is refused
}

// Enabled reports whether transactions are claimed.
func (l *Ledger) Enabled() bool { return l != nil && l.Policy != "off" }

// ClaimRetention returns how long a claim is remembered: the window, counted from the last moment at which an attempt under
// the claim may have been sent (hardStop), extended for the slowest clock allowed.
func (s *Settings) ClaimRetention(window, hardStop time.Duration) time.Duration {
	return time.Duration(float64(window+hardStop) * (1 + s.ClockDrift))
}

// ClaimOutageBound returns the maximum time for which claims are deferred after the loss of a leader while a majority of the
// voters is reachable. It is the sum of the timeout of pending claims, an election and the next check for a leader.
func (s *Settings) ClaimOutageBound() time.Duration {
	if s.Ledger == nil {
		return 3 * s.ElectionTimeout
	}
	return 2*s.Ledger.ClaimTimeout + 3*s.ElectionTimeout + 100*time.Millisecond
}

// Measured cost of one remembered key.
const (
	RecordBytes         = 352                    // memory
	SnapshotRecordBytes = 144                    // size in a snapshot
	SnapshotRecordTime  = 1500 * time.Nanosecond // time to write it to a snapshot; a voter answers no requests meanwhile
)

// Defaults of optional settings.
const (
	DefaultProbeInterval  = 500 * time.Millisecond
	DefaultRejoinInterval = 2 * time.Second

	DefaultElectionTimeout = time.Second
	DefaultLease           = 3 * time.Second
	DefaultClockDrift      = 0.02
)

// Parameters of the membership library; durations are multiples of the probe interval. The bounds below are computed from
// them.
const (
	SuspicionMultiplier  = 4  // minimum probe intervals from suspicion to death, times log10 of the cluster size
	SuspicionMaxFactor   = 3  // the suspicion lasts up to this many times as long if no other member confirms it
	MaxProbeSlowdown     = 2  // a member that detects trouble of its own slows its probes down by at most this factor
	IndirectProbes       = 3  // members asked to probe on behalf of this one
	GossipRoundsPerProbe = 5  // gossip rounds per probe interval
	GossipFanout         = 3  // members contacted in each gossip round
	RetransmitMultiplier = 4  // gossip rounds in which a message is sent, times log10 of the cluster size
	ExchangeProbes       = 10 // probe intervals between full state exchanges
	RejoinParallelism    = 4  // dead members to which a connection is attempted at the same time
)

// ExchangeTimeout is the timeout of a full state exchange, and of opening a connection for it.
const ExchangeTimeout = time.Second

// maxMissedProbes is the number of rounds of random probes after which the probability that no member probed a given one is
// below 1e-9 (e^-21).
const maxMissedProbes = 21

// log10 returns the logarithm of the cluster size as the membership library uses it, which is at least 1.
func log10(n int) float64 { return math.Max(1, math.Log10(float64(max(n, 1)))) }

// GossipSpread returns how long gossip takes to reach all of n members.
func (s *Settings) GossipSpread(n int) time.Duration {
	rounds := RetransmitMultiplier * int(math.Ceil(math.Log10(float64(n+1))))
	return time.Duration(rounds) * s.ProbeInterval / GossipRoundsPerProbe
}

// DeathBound returns the maximum time from a member's death until all live members that reach each other consider it dead.
func (s *Settings) DeathBound(n int) time.Duration {
	probes := min(2*(n-1), maxMissedProbes) + 1
	return time.Duration(probes)*MaxProbeSlowdown*s.ProbeInterval +
		time.Duration(SuspicionMaxFactor*SuspicionMultiplier*log10(n)*float64(s.ProbeInterval)) + s.GossipSpread(n)
}

// ConvergenceBound returns the maximum time from the recovery of all connections between n members until all of them consider
// every live member alive and no previous run alive.
func (s *Settings) ConvergenceBound(n int) time.Duration {
	rounds := (n - 1 + len(s.Join) + RejoinParallelism - 1) / RejoinParallelism
	// An attempt that started during the outage ends first, then the members are tried in turn. Gossip has to spread twice,
	// once for a false report and once for its refutation. A suspicion that started during the outage may still expire.
	return ExchangeTimeout + time.Duration(rounds)*s.RejoinInterval*5/4 + ExchangeTimeout + s.StateExchangeInterval(n) + 2*s.GossipSpread(n) +
		time.Duration(SuspicionMaxFactor*SuspicionMultiplier*log10(n)*float64(s.ProbeInterval))
}

// StateExchangeInterval returns the maximum time between two full state exchanges of one member in a cluster of n.
func (s *Settings) StateExchangeInterval(n int) time.Duration {
	factor := 1
	if n > 32 { // the library extends the interval with the logarithm of the cluster size
		factor = int(math.Ceil(math.Log2(float64(n))-5)) + 1
	}
	return time.Duration(ExchangeProbes*factor) * s.ProbeInterval
}

// NoOwnerBound returns the maximum time for which a duty has no owner after its owner is lost, while a majority of the voters
// is reachable. It is the sum of an election; a full lease, as the new leader renews all leases and voters count them
// with clock drift; the interval at which the other members check the duty; one step for each preferred candidate that does
// not answer; and the time to commit the new owner.
func (s *Settings) NoOwnerBound(n int) time.Duration {
	lease := time.Duration(float64(s.Lease) * (1 + s.ClockDrift))
	return 2*s.ElectionTimeout + lease + s.Lease/4 + time.Duration(n)*s.Lease/10 + s.ElectionTimeout
}

// SessionEndBound returns the maximum time until an owner of the duty ends the session of a member that died.
func (s *Settings) SessionEndBound(n int) time.Duration { return s.DeathBound(n) + s.NoOwnerBound(n) }

// Bounds returns the formulas of the bounds with their values for n members, as the check command prints them.
func (s *Settings) Bounds(n int) []string {
	lines := s.membershipBounds(n)
	if len(s.Voters) > 0 {
		lines = append(lines,
			fmt.Sprintf("a duty has no owner for at most %s while a majority of the voters is reachable: 3 x election + lease x (1 + drift + 1/4 + n/10)", s.NoOwnerBound(n).Round(time.Millisecond)),
			fmt.Sprintf("the session of a member that died is ended within %s: the bound on detecting a death plus the bound on having no owner", s.SessionEndBound(n).Round(time.Millisecond)),
			fmt.Sprintf("%d of %d voters may be lost", (len(s.Voters)-1)/2, len(s.Voters)))
	}
	if ledger := s.Ledger; ledger.Enabled() {
		lines = append(lines,
			fmt.Sprintf("claims are deferred for at most %s after the loss of a leader while a majority of the voters is reachable: 2 x within + 3 x election + 100ms", s.ClaimOutageBound()),
			fmt.Sprintf("a claim that the voters do not answer is deferred after %s (within), later ones immediately", ledger.ClaimTimeout),
			fmt.Sprintf("a completion is stored within %s after the end of its transaction, or stays unknown to the other members: lag + within", ledger.BatchDelay+ledger.ClaimTimeout),
			fmt.Sprintf("keys: %d, using %d MB of memory and %d MB of snapshot on each voter: keys x %d and %d bytes",
				ledger.MaxKeys, ledger.MaxKeys*RecordBytes>>20, ledger.MaxKeys*SnapshotRecordBytes>>20,
				RecordBytes, SnapshotRecordBytes))
	}
	return lines
}

// MaxClaimRate returns the claims per second of one tariff that all balancers together can sustain before new ones are
// deferred: the number of keys divided by the time for which each is remembered.
func (s *Settings) MaxClaimRate(window, hardStop time.Duration) float64 {
	return float64(s.Ledger.MaxKeys) / (s.ClaimRetention(window, hardStop) + time.Second).Seconds()
}

// membershipBounds returns the bounds that hold with or without voters.
func (s *Settings) membershipBounds(n int) []string {
	return []string{
		fmt.Sprintf("a death is known to all members within %s: (min(2(n-1), %d) + 1) x %d x probe_every + %d x %d x max(1, log10 n) x probe_every + spread, with n = %d",
			s.DeathBound(n).Round(time.Millisecond), maxMissedProbes, MaxProbeSlowdown, SuspicionMaxFactor, SuspicionMultiplier, n),
		fmt.Sprintf("after all connections have recovered, the views of all members are the same within %s: 2 x %s + ceil((n - 1 + joins) / %d) x 1.25 x rejoin_every + %d x probe_every x max(1, ceil(log2 n) - 4) + 2 x spread + %d x %d x max(1, log10 n) x probe_every",
			s.ConvergenceBound(n).Round(time.Millisecond), ExchangeTimeout, RejoinParallelism, ExchangeProbes, SuspicionMaxFactor, SuspicionMultiplier),
		fmt.Sprintf("spread is %s: %d x ceil(log10(n + 1)) x probe_every / %d", s.GossipSpread(n).Round(time.Millisecond), RetransmitMultiplier, GossipRoundsPerProbe),
	}
}
