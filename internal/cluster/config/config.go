// Package config is what a process is told of its cluster, and the bounds that follow from it as formulas. It has no I/O.
package config

import (
	"fmt"
	"math"
	"time"
)

// Settings are the [cluster] table.
type Settings struct {
	Name             string            // members of another cluster are refused
	Self             string            // the process's name
	Address          string            // TCP and UDP of the fleet's own traffic
	Directory        string            // what outlives a run; "" for nothing
	Join             []string          // addresses of other members
	Voters           []string          // keepers, by name
	Zone             string            // where this process stands
	AddressOverrides map[string]string // members' names to the addresses at which they are reached
	ProbeInterval    time.Duration     // between two looks at other members
	RejoinInterval   time.Duration     // between two tries to reach who is held dead
	ElectionTimeout  time.Duration     // without a leader's word, until a keeper asks whether it may lead
	Lease            time.Duration     // that an owner may act for after it asked
	ClockDrift       float64           // that two machines' clocks may differ by in their speed
	Groups           int               // of keepers, each with a leader of its own
	Ledger           *Ledger           // claims; nil for none
}

// Ledger is the [cluster.ledger] table.
type Ledger struct {
	Policy            string        // "majority", "local" (this machine's disk only) or "off"
	ClaimTimeout      time.Duration // that a claim waits for the keepers
	BatchDelay        time.Duration // that an end waits for company
	MaxKeys           int           // remembered at most
	OnceOnlyRetention time.Duration // that a once-only transaction is remembered for
	WaitForFirst      bool          // a repeat waits for the first try's end; else it is deferred
	RequireSameBody   bool          // a key stands for one body, another is refused
}

// Enabled reports whether anything is claimed.
func (l *Ledger) Enabled() bool { return l != nil && l.Policy != "off" }

// ClaimRetention is how long a claim is remembered: its window, after the last moment at which a push under it may have left, by a clock
// that runs as much slower as clocks may.
func (s *Settings) ClaimRetention(window, hardStop time.Duration) time.Duration {
	return time.Duration(float64(window+hardStop) * (1 + s.ClockDrift))
}

// ClaimOutageBound is the bound on the time for which claims are deferred once the keepers' leader is lost and a majority of them is
// reached: what is on its way fails, an election, and the next look at whether they are there.
func (s *Settings) ClaimOutageBound() time.Duration {
	if s.Ledger == nil {
		return 3 * s.ElectionTimeout
	}
	return 2*s.Ledger.ClaimTimeout + 3*s.ElectionTimeout + 100*time.Millisecond
}

// RecordBytes is the memory of one remembered key, and its place in a snapshot, as measured.
const (
	RecordBytes         = 352
	SnapshotRecordBytes = 144
	SnapshotRecordTime  = 1500 * time.Nanosecond // to put one into a snapshot, for which a keeper answers nobody
)

// Defaults of what isn't said.
const (
	DefaultProbeInterval  = 500 * time.Millisecond
	DefaultRejoinInterval = 2 * time.Second

	DefaultElectionTimeout = time.Second
	DefaultLease           = 3 * time.Second
	DefaultClockDrift      = 0.02
)

// What the membership library is told, in units of Probe where it is a time. The bounds below are made of these.
const (
	SuspicionMultiplier  = 4 // probes until a suspicion is a death, at least, times the logarithm of the size
	SuspicionMaxFactor   = 3 // times as long where nobody confirms it
	MaxProbeSlowdown     = 2 // times that a member in trouble itself may take for a probe
	IndirectProbes       = 3 // members asked to look as well
	GossipRoundsPerProbe = 5 // parts of Probe between two rounds of gossip
	GossipFanout         = 3 // members in each round
	RetransmitMultiplier = 4 // rounds for each message, times the logarithm of the size
	ExchangeProbes       = 10
	RejoinParallelism    = 4 // members that are tried again at once
)

// ExchangeTimeout is how long a whole exchange of states may take, and a connection for it.
const ExchangeTimeout = time.Second

// maxMissedProbes is how many probes by chance it takes until the odds that no member looked at a given one are under
// 1 in a thousand million: e to the minus 21.
const maxMissedProbes = 21

func log10(n int) float64 { return math.Max(1, math.Log10(float64(max(n, 1)))) }

// GossipSpread is how long gossip takes to all of n members.
func (s *Settings) GossipSpread(n int) time.Duration {
	rounds := RetransmitMultiplier * int(math.Ceil(math.Log10(float64(n+1))))
	return time.Duration(rounds) * s.ProbeInterval / GossipRoundsPerProbe
}

// DeathBound is the bound on the time from a member's death until all living members that reach one another hold it dead.
func (s *Settings) DeathBound(n int) time.Duration {
	probes := min(2*(n-1), maxMissedProbes) + 1
	return time.Duration(probes)*MaxProbeSlowdown*s.ProbeInterval + time.Duration(SuspicionMaxFactor*SuspicionMultiplier*log10(n)*float64(s.ProbeInterval)) + s.GossipSpread(n)
}

// ConvergenceBound is the bound on the time from when all links of n members are well again until every living member is held
// alive by all, and an old run by nobody.
func (s *Settings) ConvergenceBound(n int) time.Duration {
	rounds := (n - 1 + len(s.Join) + RejoinParallelism - 1) / RejoinParallelism
	// A try that began while a link was cut ends first; then each is tried in turn, and two rounds of gossip carry what
	// was false and its refutation. A suspicion that began while a link was cut may still run out.
	return ExchangeTimeout + time.Duration(rounds)*s.RejoinInterval*5/4 + ExchangeTimeout + s.StateExchangeInterval(n) + 2*s.GossipSpread(n) +
		time.Duration(SuspicionMaxFactor*SuspicionMultiplier*log10(n)*float64(s.ProbeInterval))
}

// StateExchangeInterval is how long a member of n goes without a whole exchange of states at most.
func (s *Settings) StateExchangeInterval(n int) time.Duration {
	factor := 1
	if n > 32 { // the library spaces them out by the logarithm of the size
		factor = int(math.Ceil(math.Log2(float64(n))-5)) + 1
	}
	return time.Duration(ExchangeProbes*factor) * s.ProbeInterval
}

// NoOwnerBound is the bound on the time without an owner after one is lost while a majority of keepers is reached: an election, whose
// leader gives every owner a whole lease anew, until then and for as long as a keeper counts it; a look at it by the others, and
// a step for each of those who are asked first and don't answer; and the time to agree on it.
func (s *Settings) NoOwnerBound(n int) time.Duration {
	lease := time.Duration(float64(s.Lease) * (1 + s.ClockDrift))
	return 2*s.ElectionTimeout + lease + s.Lease/4 + time.Duration(n)*s.Lease/10 + s.ElectionTimeout
}

// SessionEndBound is the bound on the time until the session of a member that died is ended by an owner.
func (s *Settings) SessionEndBound(n int) time.Duration { return s.DeathBound(n) + s.NoOwnerBound(n) }

// Bounds are the formulas with their values, as check prints them.
func (s *Settings) Bounds(n int) []string {
	lines := s.membershipBounds(n)
	if len(s.Voters) > 0 {
		lines = append(lines,
			fmt.Sprintf("a duty is without an owner for %s at most while a majority of keepers is reached: 3 x election + lease x (1 + drift + 1/4 + n/10)", s.NoOwnerBound(n).Round(time.Millisecond)),
			fmt.Sprintf("the session of a member that died is ended within %s: the bound of a death and that of an owner", s.SessionEndBound(n).Round(time.Millisecond)),
			fmt.Sprintf("%d of %d keepers may be lost", (len(s.Voters)-1)/2, len(s.Voters)))
	}
	if ledger := s.Ledger; ledger.Enabled() {
		lines = append(lines,
			fmt.Sprintf("claims are deferred for %s at most after the keepers' leader is lost while a majority is reached: 2 x within + 3 x election + 100ms", s.ClaimOutageBound()),
			fmt.Sprintf("a claim that the keepers don't answer is deferred after %s: within; the next ones at once", ledger.ClaimTimeout),
			fmt.Sprintf("an end is told within %s of its transaction's, or is unknown to others: lag + within", ledger.BatchDelay+ledger.ClaimTimeout),
			fmt.Sprintf("keys: %d, %d MB of memory and %d MB of a snapshot at each keeper: keys x %d and %d bytes", ledger.MaxKeys, ledger.MaxKeys*RecordBytes>>20, ledger.MaxKeys*SnapshotRecordBytes>>20,
				RecordBytes, SnapshotRecordBytes))
	}
	return lines
}

// MaxClaimRate is the bound on the claims a second of one kind that all balancers together may make for long, before what comes is
// deferred: keys by the time that each is kept.
func (s *Settings) MaxClaimRate(window, hardStop time.Duration) float64 {
	return float64(s.Ledger.MaxKeys) / (s.ClaimRetention(window, hardStop) + time.Second).Seconds()
}

func (s *Settings) membershipBounds(n int) []string {
	return []string{
		fmt.Sprintf("a death is known to all within %s: (min(2(n-1), %d) + 1) x %d x probe_every + %d x %d x max(1, log10 n) x probe_every + spread, with n = %d",
			s.DeathBound(n).Round(time.Millisecond), maxMissedProbes, MaxProbeSlowdown, SuspicionMaxFactor, SuspicionMultiplier, n),
		fmt.Sprintf("after the links are back all views are the same within %s: 2 x %s + ceil((n - 1 + joins) / %d) x 1.25 x rejoin_every + %d x probe_every x max(1, ceil(log2 n) - 4) + 2 x spread + %d x %d x max(1, log10 n) x probe_every",
			s.ConvergenceBound(n).Round(time.Millisecond), ExchangeTimeout, RejoinParallelism, ExchangeProbes, SuspicionMaxFactor, SuspicionMultiplier),
		fmt.Sprintf("spread is %s: %d x ceil(log10(n + 1)) x probe_every / %d", s.GossipSpread(n).Round(time.Millisecond), RetransmitMultiplier, GossipRoundsPerProbe),
	}
}
