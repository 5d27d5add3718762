package consensus

// Ballot orders the proposals for a slot.
type Ballot struct {
	Round    uint64
	Proposer string `json:"By"` // unique to one process incarnation
}

// Below reports whether b is lower than c.
func (b Ballot) Below(c Ballot) bool {
	return b.Round < c.Round || b.Round == c.Round && b.Proposer < c.Proposer
}

// AcceptedValue is a value and the ballot with which it was accepted.
type AcceptedValue struct {
	Ballot Ballot
	Value  *State
}

// Replica is the acceptor state that a controller keeps on disk.
type Replica struct {
	ID       string // identity of the disk
	Decided  *State
	Promised Ballot         // for the slot after Decided
	Accepted *AcceptedValue // for the slot after Decided

	Incarnation DiskIncarnation `json:"-"` // the current start; stored separately from the replica
}

// DiskIncarnation identifies one start of a process with a disk. The starts with one disk are numbered. An old copy of
// a disk, or a second copy in use at the same time, reuses a number that others have already seen with another token.
type DiskIncarnation struct {
	ID     string
	Number uint64
	Token  string
}

// Supersedes reports whether d proves that another incarnation with the same disk ID belongs to an old copy of the
// disk.
func (d DiskIncarnation) Supersedes(other DiskIncarnation) bool {
	return d.ID == other.ID && (d.Number > other.Number || d.Number == other.Number && d.Token != other.Token)
}

// Kinds of requests.
const (
	ReadState = "look"    // report the state; changes nothing on disk
	Prepare   = "prepare" // promise to accept no lower ballot for a slot
	Accept    = "accept"  // accept a value for a slot
	Learn     = "learn"   // record a decided value

	// Accept and Learn with a value whose large documents are omitted, for a replica that holds them. Processes of the
	// previous release ignore these kinds.
	AcceptCompact = "accept-compact"
	LearnCompact  = "learn-compact"
)

// Request is a message from a controller to a replica.
type Request struct {
	Kind        string
	Slot        uint64 `json:",omitempty"`
	Ballot      Ballot
	Value       *State           `json:",omitempty"`
	Omitted     DocumentDigests  `json:"LeftOut,omitempty"` // digests of the documents that a compact request omits from its value
	Incarnation *DiskIncarnation `json:"Life,omitempty"`    // of the sender of a ReadState request
}

// Response is a replica's response to a request.
type Response struct {
	Kind            string `json:"To"` // of the request
	Slot            uint64 // of the request
	ID              string
	Index           uint64 // of the decided state
	OK              bool
	Promised        Ballot
	Pending         bool           // a value is accepted for the next slot
	Accepted        *AcceptedValue `json:",omitempty"`
	Decided         *State         `json:",omitempty"`        // set if the sender does not have this state yet
	SupportsCompact bool           `json:"Compact,omitempty"` // the replica understands compact requests
	// Superseded tells the sender that its disk is an old copy.
	Superseded       bool `json:",omitempty"`
	DocumentsMissing bool `json:"Lacking,omitempty"` // the replica lacks omitted documents and has ignored the request
}

// Handle processes a request. The result changed is true if the replica has changed and must be synced to disk before
// the response is sent.
func (r *Replica) Handle(request Request) (response Response, changed bool) {
	response = Response{Kind: request.Kind, Slot: request.Slot, ID: r.ID, Index: r.Decided.Index}
	switch request.Kind {
	case Prepare:
		switch {
		case request.Slot <= r.Decided.Index:
			response.Decided = r.Decided
		case request.Slot == r.Decided.Index+1 && r.Promised.Below(request.Ballot):
			r.Promised, response.OK, changed = request.Ballot, true, true
			response.Accepted = r.Accepted
		}
	case Accept:
		switch {
		case request.Slot <= r.Decided.Index:
			response.Decided = r.Decided
		case request.Slot == r.Decided.Index+1 && !request.Ballot.Below(r.Promised) && request.Value != nil && request.Value.Index == request.Slot:
			r.Promised, r.Accepted = request.Ballot, &AcceptedValue{request.Ballot, request.Value}
			response.OK, changed = true, true
		}
	case Learn:
		if request.Value != nil && request.Value.Index > r.Decided.Index {
			r.Decided, r.Promised, r.Accepted = request.Value, Ballot{}, nil
			changed = true
		}
		response.OK = true
	case ReadState:
		response.OK = true
		if request.Slot < r.Decided.Index {
			response.Decided = r.Decided
		}
	}
	response.Index, response.Promised, response.Pending = r.Decided.Index, r.Promised, r.Accepted != nil
	return response, changed
}
