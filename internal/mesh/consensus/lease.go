package consensus

import "slices"

// ReadLease says for how long a state may be passed off as the newest: for a time after a majority of its core said that it had
// accepted nothing after it. It does no I/O and reads no clock: times are nanoseconds of the caller's steady clock.
//
// An answer counts from the moment before its question was sent, and it is about states: one that a caller looked up before a later
// one was confirmed is not the newest by the later one's confirmation.
//
// Why it holds: what follows a state is decided once a quorum of the state's core has accepted it, on disk, on top of that state. A
// member that answers later than that has either the accepted value, or a later state. So where a majority of the core answers that it
// holds an earlier state, or this one with nothing accepted, nothing after the state had been decided when it was asked.
type ReadLease struct {
	duration int64
	answers  map[string][]leaseAnswer // by identity of the member

	withoutMajority, withoutPending, withoutIndex, withoutMembers bool // guards left out
}

// leaseAnswer is what a member said of its replica.
type leaseAnswer struct {
	index   uint64
	pending bool // something was accepted after it
	askedAt int64
}

// Names of guards that may be left out of a lease.
const (
	WithoutMajority = "without-majority" // valid without contact to a majority
	WithoutPending  = "without-pending"  // what is accepted and not known to be decided is overlooked
	WithoutIndex    = "without-index"    // an answer about one state is taken for all
	WithoutMembers  = "without-members"  // answers of an earlier core are taken for those of a later one
)

// NewReadLease makes a lease under which nothing is valid yet; duration is how long an answer holds.
func NewReadLease(duration int64) *ReadLease {
	return &ReadLease{duration: duration, answers: map[string][]leaseAnswer{}}
}

// DisableGuard leaves a guard out.
func (l *ReadLease) DisableGuard(guard string) {
	l.withoutMajority = guard == WithoutMajority
	l.withoutPending = guard == WithoutPending
	l.withoutIndex = guard == WithoutIndex
	l.withoutMembers = guard == WithoutMembers
}

// Observe takes a replica's response to a question where it stands; askedAt is a moment before the question was sent. The word of a
// replica that does not vouch for itself counts for nothing.
func (l *ReadLease) Observe(response Response, askedAt int64) {
	if response.Kind != ReadState || !response.OK {
		return
	}
	kept := slices.DeleteFunc(l.answers[response.ID], func(a leaseAnswer) bool {
		same := a.index == response.Index && a.pending == response.Pending
		if same {
			askedAt = max(askedAt, a.askedAt)
		}
		return same || a.askedAt <= askedAt-l.duration
	})
	l.answers[response.ID] = append(kept, leaseAnswer{response.Index, response.Pending, askedAt})
}

// Valid reports whether nothing after a state had been decided at some moment less than the lease's duration ago.
func (l *ReadLease) Valid(s *State, now int64) bool {
	if l.withoutMajority {
		return true
	}
	askedAt, known := l.ConfirmedAt(s)
	return known && now-askedAt < l.duration
}

// ConfirmedAt is the last moment at which nothing after a state had been decided, as far as is known.
func (l *ReadLease) ConfirmedAt(s *State) (askedAt int64, known bool) {
	var asked []int64
	for id, answers := range l.answers {
		if at, confirms := l.confirmationTime(answers, s); confirms && (s.HasMember(id) || l.withoutMembers) {
			asked = append(asked, at)
		}
	}
	majority := s.Majority()
	if len(asked) < majority {
		return 0, false
	}
	slices.Sort(asked)
	return asked[len(asked)-majority], true
}

// confirmationTime is when a member was last asked that said that it had accepted nothing after a state.
func (l *ReadLease) confirmationTime(answers []leaseAnswer, s *State) (askedAt int64, confirms bool) {
	for _, answer := range answers {
		unchanged := answer.index < s.Index || answer.index == s.Index && !answer.pending
		unchanged = unchanged || l.withoutIndex || l.withoutPending && answer.index == s.Index
		if unchanged && (!confirms || answer.askedAt > askedAt) {
			askedAt, confirms = answer.askedAt, true
		}
	}
	return askedAt, confirms
}
