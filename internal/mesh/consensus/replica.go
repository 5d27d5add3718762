package consensus

// Ballot orders the attempts at a slot.
type Ballot struct {
	Round uint64
	By    string // of one life of one process
}

// Below reports whether b comes before c.
func (b Ballot) Below(c Ballot) bool { return b.Round < c.Round || b.Round == c.Round && b.By < c.By }

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

	Life DiskLife `json:"-"` // this start; the disk keeps it by itself
}

// DiskLife is one start of a process with a disk. Starts of one disk are numbered; an old copy of a disk, or a second one in use
// beside it, has a number that others have seen already, with another token.
type DiskLife struct {
	ID     string
	Number uint64
	Token  string
}

// Supersedes reports whether a life shows another one of the same identity to be that of an old copy.
func (l DiskLife) Supersedes(other DiskLife) bool {
	return l.ID == other.ID && (l.Number > other.Number || l.Number == other.Number && l.Token != other.Token)
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
	Kind    string
	Slot    uint64 `json:",omitempty"`
	Ballot  Ballot
	Value   *State      `json:",omitempty"`
	LeftOut PartDigests `json:",omitempty"` // the documents that a compact request leaves out of its value
	Life    *DiskLife   `json:",omitempty"` // of the process that asks where a replica stands
}

// Response is what a replica says.
type Response struct {
	Kind     string `json:"To"` // the kind of ask
	Slot     uint64 // that it asked for
	ID       string
	Index    uint64 // decided
	OK       bool
	Promised Ballot
	Pending  bool           // something is accepted for the next slot
	Accepted *AcceptedValue `json:",omitempty"`
	Decided  *State         `json:",omitempty"` // to who is behind
	Compact  bool           `json:",omitempty"` // it understands compact requests
	// Superseded says that the asker's disk is an old copy.
	Superseded bool `json:",omitempty"`
	Lacking    bool `json:",omitempty"` // it does not hold what a compact request left out, and has done nothing
}

// Handle answers a request; keep says that the replica has changed and must be synced before the answer leaves.
func (c *Replica) Handle(a Request) (out Response, keep bool) {
	out = Response{Kind: a.Kind, Slot: a.Slot, ID: c.ID, Index: c.Decided.Index}
	switch a.Kind {
	case Prepare:
		switch {
		case a.Slot <= c.Decided.Index:
			out.Decided = c.Decided
		case a.Slot == c.Decided.Index+1 && c.Promised.Below(a.Ballot):
			c.Promised, out.OK, keep = a.Ballot, true, true
			out.Accepted = c.Accepted
		}
	case Accept:
		switch {
		case a.Slot <= c.Decided.Index:
			out.Decided = c.Decided
		case a.Slot == c.Decided.Index+1 && !a.Ballot.Below(c.Promised) && a.Value != nil && a.Value.Index == a.Slot:
			c.Promised, c.Accepted = a.Ballot, &AcceptedValue{a.Ballot, a.Value}
			out.OK, keep = true, true
		}
	case Learn:
		if a.Value != nil && a.Value.Index > c.Decided.Index {
			c.Decided, c.Promised, c.Accepted = a.Value, Ballot{}, nil
			keep = true
		}
		out.OK = true
	case ReadState:
		out.OK = true
		if a.Slot < c.Decided.Index {
			out.Decided = c.Decided
		}
	}
	out.Index, out.Promised, out.Pending = c.Decided.Index, c.Promised, c.Accepted != nil
	return out, keep
}
