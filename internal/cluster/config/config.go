// Package config is what a process is told of its cluster, and the bounds that follow from it as formulas. It has no I/O.
package config

import (
	"fmt"
	"math"
	"time"
)

// Settings are the [cluster] table.
type Settings struct {
	Name      string            // members of another cluster are refused
	Self      string            // the process's name
	Address   string            // TCP and UDP of the fleet's own traffic
	Directory string            // what outlives a run; "" for nothing
	Join      []string          // addresses of other members
	Voters    []string          // keepers, by name
	Zone      string            // where this process stands
	Through   map[string]string // members' names to the addresses at which they are reached
	Probe     time.Duration     // between two looks at other members
	Rejoin    time.Duration     // between two tries to reach who is held dead
	Election  time.Duration     // without a leader's word, until a keeper asks whether it may lead
	Lease     time.Duration     // that an owner may act for after it asked
	Drift     float64           // that two machines' clocks may differ by in their speed
	Groups    int               // of keepers, each with a leader of its own
	Ledger    *Ledger           // claims; nil for none
}

// Ledger is the [cluster.ledger] table.
type Ledger struct {
	Policy   string        // "majority", "local" (this machine's disk only) or "off"
	Within   time.Duration // that a claim waits for the keepers
	Lag      time.Duration // that an end waits for company
	Keys     int           // remembered at most
	OnceFor  time.Duration // that a once-only transaction is remembered for
	Waits    bool          // a repeat waits for the first try's end; else it is deferred
	SameBody bool          // a key stands for one body, another is refused
}

// Claims reports whether anything is claimed.
func (l *Ledger) Claims() bool { return l != nil && l.Policy != "off" }

// Kept is how long a claim is remembered: its window, after the last moment at which a push under it may have left, by a clock
// that runs as much slower as clocks may.
func (s *Settings) Kept(window, hardStop time.Duration) time.Duration {
	return time.Duration(float64(window+hardStop) * (1 + s.Drift))
}

// Without is the bound on the time for which claims are deferred once the keepers' leader is lost and a majority of them is
// reached: what is on its way fails, an election, and the next look at whether they are there.
func (s *Settings) Without() time.Duration {
	if s.Ledger == nil {
		return 3 * s.Election
	}
	return 2*s.Ledger.Within + 3*s.Election + 100*time.Millisecond
}

// RecordBytes is the memory of one remembered key, and its place in a snapshot, as measured.
const (
	RecordBytes = 352
	SavedBytes  = 144
	SavedTakes  = 1500 * time.Nanosecond // to put one into a snapshot, for which a keeper answers nobody
)

// Defaults of what isn't said.
const (
	Probe  = 500 * time.Millisecond
	Rejoin = 2 * time.Second

	Election = time.Second
	Lease    = 3 * time.Second
	Drift    = 0.02
)

// What the membership library is told, in units of Probe where it is a time. The bounds below are made of these.
const (
	Suspicion    = 4 // probes until a suspicion is a death, at least, times the logarithm of the size
	Suspected    = 3 // times as long where nobody confirms it
	Slower       = 2 // times that a member in trouble itself may take for a probe
	Indirect     = 3 // members asked to look as well
	GossipPart   = 5 // parts of Probe between two rounds of gossip
	GossipTo     = 3 // members in each round
	Retransmit   = 4 // rounds for each message, times the logarithm of the size
	ExchangeEach = 10
	AtOnce       = 4 // members that are tried again at once
)

// Exchange is how long a whole exchange of states may take, and a connection for it.
const Exchange = time.Second

// unlikely is how many probes by chance it takes until the odds that no member looked at a given one are under
// 1 in a thousand million: e to the minus 21.
const unlikely = 21

func log10(n int) float64 { return math.Max(1, math.Log10(float64(max(n, 1)))) }

// Spread is how long gossip takes to all of n members.
func (s *Settings) Spread(n int) time.Duration {
	rounds := Retransmit * int(math.Ceil(math.Log10(float64(n+1))))
	return time.Duration(rounds) * s.Probe / GossipPart
}

// Death is the bound on the time from a member's death until all living members that reach one another hold it dead.
func (s *Settings) Death(n int) time.Duration {
	looks := min(2*(n-1), unlikely) + 1
	return time.Duration(looks)*Slower*s.Probe + time.Duration(Suspected*Suspicion*log10(n)*float64(s.Probe)) + s.Spread(n)
}

// Return is the bound on the time from when all links of n members are well again until every living member is held
// alive by all, and an old run by nobody.
func (s *Settings) Return(n int) time.Duration {
	turns := (n - 1 + len(s.Join) + AtOnce - 1) / AtOnce
	// A try that began while a link was cut ends first; then each is tried in turn, and two rounds of gossip carry what
	// was false and its refutation. A suspicion that began while a link was cut may still run out.
	return Exchange + time.Duration(turns)*s.Rejoin*5/4 + Exchange + s.Between(n) + 2*s.Spread(n) +
		time.Duration(Suspected*Suspicion*log10(n)*float64(s.Probe))
}

// Between is how long a member of n goes without a whole exchange of states at most.
func (s *Settings) Between(n int) time.Duration {
	times := 1
	if n > 32 { // the library spaces them out by the logarithm of the size
		times = int(math.Ceil(math.Log2(float64(n))-5)) + 1
	}
	return time.Duration(ExchangeEach*times) * s.Probe
}

// NoOwner is the bound on the time without an owner after one is lost while a majority of keepers is reached: an election, whose
// leader gives every owner a whole lease anew, until then and for as long as a keeper counts it; a look at it by the others, and
// a step for each of those who are asked first and don't answer; and the time to agree on it.
func (s *Settings) NoOwner(n int) time.Duration {
	lease := time.Duration(float64(s.Lease) * (1 + s.Drift))
	return 2*s.Election + lease + s.Lease/4 + time.Duration(n)*s.Lease/10 + s.Election
}

// Closed is the bound on the time until the session of a member that died is ended by an owner.
func (s *Settings) Closed(n int) time.Duration { return s.Death(n) + s.NoOwner(n) }

// Bounds are the formulas with their values, as check prints them.
func (s *Settings) Bounds(n int) []string {
	all := s.members(n)
	if len(s.Voters) > 0 {
		all = append(all,
			fmt.Sprintf("a duty is without an owner for %s at most while a majority of keepers is reached: 3 x election + lease x (1 + drift + 1/4 + n/10)", s.NoOwner(n).Round(time.Millisecond)),
			fmt.Sprintf("the session of a member that died is ended within %s: the bound of a death and that of an owner", s.Closed(n).Round(time.Millisecond)),
			fmt.Sprintf("%d of %d keepers may be lost", (len(s.Voters)-1)/2, len(s.Voters)))
	}
	if l := s.Ledger; l.Claims() {
		all = append(all,
			fmt.Sprintf("claims are deferred for %s at most after the keepers' leader is lost while a majority is reached: 2 x within + 3 x election + 100ms", s.Without()),
			fmt.Sprintf("a claim that the keepers don't answer is deferred after %s: within; the next ones at once", l.Within),
			fmt.Sprintf("an end is told within %s of its transaction's, or is unknown to others: lag + within", l.Lag+l.Within),
			fmt.Sprintf("keys: %d, %d MB of memory and %d MB of a snapshot at each keeper: keys x %d and %d bytes", l.Keys, l.Keys*RecordBytes>>20, l.Keys*SavedBytes>>20,
				RecordBytes, SavedBytes))
	}
	return all
}

// Rate is the bound on the claims a second of one kind that all balancers together may make for long, before what comes is
// deferred: keys by the time that each is kept.
func (s *Settings) Rate(window, hardStop time.Duration) float64 {
	return float64(s.Ledger.Keys) / (s.Kept(window, hardStop) + time.Second).Seconds()
}

func (s *Settings) members(n int) []string {
	return []string{
		fmt.Sprintf("a death is known to all within %s: (min(2(n-1), %d) + 1) x %d x probe_every + %d x %d x max(1, log10 n) x probe_every + spread, with n = %d",
			s.Death(n).Round(time.Millisecond), unlikely, Slower, Suspected, Suspicion, n),
		fmt.Sprintf("after the links are back all views are the same within %s: 2 x %s + ceil((n - 1 + joins) / %d) x 1.25 x rejoin_every + %d x probe_every x max(1, ceil(log2 n) - 4) + 2 x spread + %d x %d x max(1, log10 n) x probe_every",
			s.Return(n).Round(time.Millisecond), Exchange, AtOnce, ExchangeEach, Suspected, Suspicion),
		fmt.Sprintf("spread is %s: %d x ceil(log10(n + 1)) x probe_every / %d", s.Spread(n).Round(time.Millisecond), Retransmit, GossipPart),
	}
}
