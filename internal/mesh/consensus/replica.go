package consensus

// Ballot orders the attempts at a slot.
type Ballot struct {
	Round    uint64
	Proposer string `json:"By"` // of one life of one process
}

// Below reports whether b comes before c.
func (b Ballot) Below(c Ballot) bool {
	return b.Round < c.Round || b.Round == c.Round && b.Proposer < c.Proposer
}

// AcceptedValue is a value that was accepted under a ballot.
type AcceptedValue struct {
	Ballot Ballot
	Value  *State
}

// Replica is what a controller keeps on disk.
type Replica struct {
	ID       string // of this disk
	Decided  *State
	Promised Ballot         // for the slot after it
	Accepted *AcceptedValue // for the same

	Incarnation DiskIncarnation `json:"-"` // this start; the disk keeps it by itself
}

// DiskIncarnation is one start of a process with a disk. Starts of one disk are numbered; an old copy of a disk, or a second one in use
// beside it, has a number that others have seen already, with another token.
type DiskIncarnation struct {
	ID     string
	Number uint64
	Token  string
}

// Supersedes reports whether a life shows another one of the same identity to be that of an old copy.
func (d DiskIncarnation) Supersedes(other DiskIncarnation) bool {
	return d.ID == other.ID && (d.Number > other.Number || d.Number == other.Number && d.Token != other.Token)
}

// What is asked of a replica.
const (
	ReadState = "look"    // where it stands; nothing is kept of it
	Prepare   = "prepare" // promise a slot
	Accept    = "accept"  // accept a value
	Learn     = "learn"   // a value is decided

	// The same with a value of which large documents are left out, for a replica that holds them. Processes of the version before do
	// nothing at a kind that they don't know.
	AcceptCompact = "accept-compact"
	LearnCompact  = "learn-compact"
)

// Request is a message to a replica.
type Request struct {
	Kind        string
	Slot        uint64 `json:",omitempty"`
	Ballot      Ballot
	Value       *State           `json:",omitempty"`
	Omitted     DocumentDigests  `json:"LeftOut,omitempty"` // the documents that a compact request leaves out of its value
	Incarnation *DiskIncarnation `json:"Life,omitempty"`    // of the process that asks where a replica stands
}

// Response is what a replica says.
type Response struct {
	Kind            string `json:"To"` // the kind of ask
	Slot            uint64 // that it asked for
	ID              string
	Index           uint64 // decided
	OK              bool
	Promised        Ballot
	Pending         bool           // something is accepted for the next slot
	Accepted        *AcceptedValue `json:",omitempty"`
	Decided         *State         `json:",omitempty"`        // to who is behind
	SupportsCompact bool           `json:"Compact,omitempty"` // it understands compact requests
	// Superseded says that the asker's disk is an old copy.
	Superseded       bool `json:",omitempty"`
	DocumentsMissing bool `json:"Lacking,omitempty"` // it does not hold what a compact request left out, and has done nothing
}

// Handle answers a request; keep says that the replica has changed and must be synced before the answer leaves.
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
