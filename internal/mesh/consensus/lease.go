package consensus

// ReadLease keeps the word of majorities that a state is the newest, for as long as that word may be acted on. It does no I/O and
// reads no clock: times are nanoseconds of the caller's steady clock.
//
// A word counts from the moment before its question was sent, and it is about a state: a state that was looked up before a later
// one was confirmed is not the newest by the later one's confirmation.
type ReadLease struct {
	duration int64
	settled  confirmation // by a read that found nothing accepted beyond its state
	pending  confirmation // by a read that found something accepted, which may have been decided

	withoutMajority, withoutPending, withoutIndex, withoutMeeting bool // guards left out
}

// confirmation is what a majority said in a read.
type confirmation struct {
	askedAt int64
	index   uint64
	voters  []string // identities of the members that said it; nil for no confirmation
}

// Names of guards that may be left out of a lease.
const (
	WithoutMajority = "without-majority" // valid without contact to a majority
	WithoutPending  = "without-pending"  // what is accepted and not known to be decided is overlooked
	WithoutIndex    = "without-index"    // the word about one state is taken for all
	WithoutMeeting  = "without-meeting"  // the word of one core is taken for that of a later one
)

// NewReadLease makes a lease under which nothing is valid yet; duration is how long a majority's word holds.
func NewReadLease(duration int64) *ReadLease { return &ReadLease{duration: duration} }

// Without leaves a guard out.
func (l *ReadLease) Without(guard string) {
	l.withoutMajority = guard == WithoutMajority
	l.withoutPending = guard == WithoutPending
	l.withoutIndex = guard == WithoutIndex
	l.withoutMeeting = guard == WithoutMeeting
}

// Confirm takes what a read has found; askedAt is a moment before its question was sent.
func (l *ReadLease) Confirm(read *MajorityRead, askedAt int64) {
	if !read.Current() {
		return
	}
	kept := &l.settled
	if read.Pending() && !l.withoutPending {
		kept = &l.pending
	}
	if kept.voters == nil || askedAt >= kept.askedAt {
		*kept = confirmation{askedAt: askedAt, index: read.base.Index, voters: read.voters()}
	}
}

// Valid reports whether nothing beyond a state had been decided at some moment less than the lease's duration ago.
func (l *ReadLease) Valid(s *State, now int64) bool {
	if l.withoutMajority {
		return true
	}
	askedAt, known := l.ConfirmedAt(s)
	return known && now-askedAt < l.duration
}

// ConfirmedAt is the last moment at which nothing beyond a state had been decided, as far as is known.
func (l *ReadLease) ConfirmedAt(s *State) (askedAt int64, known bool) {
	if l.settled.voters != nil && (s.Index >= l.settled.index || l.withoutIndex) {
		askedAt, known = l.settled.askedAt, true
	}
	if l.coversSuccessor(l.pending, s) && (!known || l.pending.askedAt > askedAt) {
		askedAt, known = l.pending.askedAt, true
	}
	return askedAt, known
}

// coversSuccessor reports whether a read that found something accepted beyond its state proves a later state to have been the
// newest. What comes after that later state is accepted by a quorum of the later state's core, each member of which holds the
// later state by then. Where each such quorum has a member that told the reader that it did not yet hold it, nothing can have come
// after it.
func (l *ReadLease) coversSuccessor(c confirmation, s *State) bool {
	if c.voters == nil || s.Index <= c.index {
		return false
	}
	meet := 0
	for _, id := range c.voters {
		if s.HasMember(id) {
			meet++
		}
	}
	return meet >= s.Majority() || l.withoutMeeting
}
