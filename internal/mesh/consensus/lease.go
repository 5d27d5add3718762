package consensus

import "slices"

// ReadLease tracks for how long a state may be served as the newest one. A state is valid for the lease duration after
// a majority of its core reported that they had accepted no value after it. ReadLease does no I/O and reads no clock:
// times are nanoseconds of the caller's monotonic clock.
//
// A response counts from the time at which its request was sent. It confirms no state before the reported index, so the
// confirmation of a later state does not make an earlier one valid that a caller has read before.
//
// The lease is safe because the successor of a state is decided only once a quorum of the state's core has accepted it
// on disk. A member that answers after that has either the accepted value or a later state. If a majority of the core
// reports an earlier state, or this state with nothing accepted, no successor had been decided when the request was
// sent.
type ReadLease struct {
	duration int64
	answers  map[string][]leaseAnswer // by member ID

	withoutMajority, withoutPending, withoutIndex, withoutMembers bool // disabled guards, for tests
}

// leaseAnswer is the state of a replica as its member reported it.
type leaseAnswer struct {
	index   uint64
	pending bool // a value is accepted for the next slot
	askedAt int64
}

// Names of the guards that DisableGuard can turn off.
const (
	WithoutMajority = "without-majority" // a state is valid without responses from a majority
	WithoutPending  = "without-pending"  // accepted values that may have been decided are ignored
	WithoutIndex    = "without-index"    // a response about one state confirms any state
	WithoutMembers  = "without-members"  // responses from an earlier core confirm states of a later one
)

// NewReadLease returns a lease under which no state is valid yet. A response counts for the given duration in
// nanoseconds.
func NewReadLease(duration int64) *ReadLease {
	return &ReadLease{duration: duration, answers: map[string][]leaseAnswer{}}
}

// DisableGuard turns the named guard off and all others on, so that tests can show that each guard is needed.
func (l *ReadLease) DisableGuard(guard string) {
	l.withoutMajority = guard == WithoutMajority
	l.withoutPending = guard == WithoutPending
	l.withoutIndex = guard == WithoutIndex
	l.withoutMembers = guard == WithoutMembers
}

// Observe records a replica's response to a ReadState request. The time askedAt must not be later than the moment at
// which the request was sent. A response without OK is ignored, because the replica does not vouch for its own state.
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

// Valid reports whether the state was confirmed to be the newest less than the lease duration before now.
func (l *ReadLease) Valid(s *State, now int64) bool {
	if l.withoutMajority {
		return true
	}
	askedAt, known := l.ConfirmedAt(s)
	return known && now-askedAt < l.duration
}

// ConfirmedAt returns the latest time at which the state is known to have had no decided successor. The result known is
// false if no majority of the state's core has confirmed it.
func (l *ReadLease) ConfirmedAt(s *State) (askedAt int64, known bool) {
	var confirmations []int64
	for id, answers := range l.answers {
		if at, confirms := l.confirmationTime(answers, s); confirms && (s.HasMember(id) || l.withoutMembers) {
			confirmations = append(confirmations, at)
		}
	}
	majority := s.Majority()
	if len(confirmations) < majority {
		return 0, false
	}
	slices.Sort(confirmations)
	return confirmations[len(confirmations)-majority], true
}

// confirmationTime returns when the latest request was sent to which a member answered that it had accepted no value
// after the state.
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
