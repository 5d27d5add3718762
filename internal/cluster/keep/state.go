// Package keep holds the state that the cluster agrees on. It is replicated by Raft among the voters; an entry counts
// once it is on the disks of a quorum. State, Core and Bootstrap decide without I/O and clock; Replica runs them, and
// members access it through a Client.
package keep

import (
	"fmt"
	"maps"
	"slices"

	"ottershift/internal/cluster/pack"
)

// Kinds of Command.
const (
	OpenSession  byte = iota + 1 // opens the session of a member's run
	EndSession                   // ends the session of a run; sent by the run itself or by the owner of SessionsDuty
	AcquireDuty                  // takes a duty that has no owner
	ReleaseDuty                  // gives up a duty; sent by its owner
	TransferDuty                 // hands a duty to another member; sent by its owner
	ExpireDuty                   // ends an ownership that was not renewed; proposed by the leader
	PartCommand                  // a command of a Part
	CloseSession                 // like EndSession, in groups that hold no duties; SessionsDuty is owned in the first group
)

// SessionsDuty is the duty whose owner ends the sessions of members that have left.
const SessionsDuty = "sessions"

// Command is the content of a log entry. Commands of a member carry a sequence number, so that a command that is sent
// twice takes effect once.
type Command struct {
	Kind          byte   `codec:"k"`
	Member        string `codec:"m,omitempty"`
	Epoch         uint64 `codec:"e,omitempty"`
	Seq           uint64 `codec:"s,omitempty"`
	LowestPending uint64 `codec:"l,omitempty"` // all sequence numbers below it have been answered
	Run           uint64 `codec:"r,omitempty"` // OpenSession: identifies the run
	Duty          string `codec:"d,omitempty"`
	Token         uint64 `codec:"t,omitempty"` // fencing token of the sender
	Target        string `codec:"o,omitempty"` // member that the command is about
	Number        uint64 `codec:"n,omitempty"` // epoch of Target, or a count
	Part          byte   `codec:"p,omitempty"`
	Body          []byte `codec:"b,omitempty"`
}

// Codes of Result.
const (
	CodeOK           byte = iota + 1
	CodeSessionEnded      // the session was ended, or a newer run has opened one
	CodeFenced            // the token of the command is not the current one
	CodeOwned             // the duty already has an owner
	CodeNotFound          // the duty, session, part or command kind does not exist
	CodeTooOld            // the sequence number is older than the stored results
)

// Result is the outcome of a command.
type Result struct {
	Code  byte   `codec:"c"`
	Index uint64 `codec:"i"` // of the command's log entry
	Token uint64 `codec:"t,omitempty"`
	Owner string `codec:"o,omitempty"`
	Epoch uint64 `codec:"e,omitempty"`
	Body  []byte `codec:"b,omitempty"`
}

// Session is the session of a member's newest run.
type Session struct {
	Member        string            `codec:"m"`
	Epoch         uint64            `codec:"e"`
	Run           uint64            `codec:"r"`
	Open          bool              `codec:"o"`
	Index         uint64            `codec:"i"` // of the entry that opened or ended it
	LowestPending uint64            `codec:"l"`
	Results       map[uint64][]byte `codec:"a,omitempty"` // encoded results by sequence number, from LowestPending on
}

// Duty is a task with one owner at a time.
type Duty struct {
	Name  string `codec:"n"`
	Token uint64 `codec:"t"` // fencing token of the last ownership; grows with each
	Owner string `codec:"o,omitempty"`
	Epoch uint64 `codec:"e,omitempty"`
	Index uint64 `codec:"i"` // of the entry that last changed the owner
}

// Voter is a replica in the configuration of a group: its name, and the disk that it votes with. A replacement is a
// learner until it has caught up.
type Voter struct {
	ID      uint64 `codec:"i" json:"id"`
	Name    string `codec:"n" json:"name"`
	DiskID  string `codec:"d" json:"disk"`
	Learner bool   `codec:"l,omitempty" json:"learner,omitempty"`
}

// Part is a component with its own share of the replicated state. It must be deterministic: no clock, no randomness,
// no dependence on the order of map iteration.
type Part interface {
	Apply(index uint64, cmd *Command) Result
	Ended(index uint64, member string, epoch uint64) // the session of a member's run has ended
	Save() []byte
	Load(data []byte) error
}

// TimedPart is a part that receives the elapsed time. The leader measures it on its monotonic clock and proposes it,
// so that the agreed time never runs faster than real time. Due returns the command body to propose when elapsed
// nanoseconds have not been reported yet, or nil if nothing is due.
type TimedPart interface {
	Due(elapsed int64) []byte
}

// State is the replicated state of one group.
type State struct {
	Index       uint64              `codec:"i"`
	Cluster     string              `codec:"c"`
	Sessions    map[string]*Session `codec:"s"`
	Duties      map[string]*Duty    `codec:"d"`
	Voters      map[uint64]*Voter   `codec:"k"`
	NextVoterID uint64              `codec:"n"`
	Recovered   []string            `codec:"r,omitempty"` // data losses that an operator accepted; never cleared
	PartData    map[byte][]byte     `codec:"p,omitempty"` // encoded parts; in snapshots only

	parts  map[byte]Part
	checks SafetyChecks
}

// SafetyChecks are protections that can be turned off, to show in tests and experiments which faults they prevent.
type SafetyChecks struct{ Fencing, Deduplication bool }

// NewState returns the state that a group begins with.
func NewState(cluster string, voters []Voter, parts map[byte]Part, checks SafetyChecks) *State {
	s := &State{
		Cluster: cluster, Sessions: map[string]*Session{}, Duties: map[string]*Duty{}, Voters: map[uint64]*Voter{}, parts: parts, checks: checks,
	}
	for _, voter := range voters {
		copied := voter
		s.Voters[voter.ID] = &copied
		s.NextVoterID = max(s.NextVoterID, voter.ID+1)
	}
	return s
}

// Save encodes the state as the data of a snapshot.
func (s *State) Save() []byte {
	s.PartData = map[byte][]byte{}
	for id, part := range s.parts {
		s.PartData[id] = part.Save()
	}
	defer func() { s.PartData = nil }()
	return pack.Pack(s)
}

// Load replaces the state by the one that Save encoded.
func (s *State) Load(data []byte) error {
	loaded := NewState("", nil, s.parts, s.checks)
	if err := pack.Unpack(data, loaded); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	for id, part := range s.parts {
		if err := part.Load(loaded.PartData[id]); err != nil {
			return fmt.Errorf("load part %d of snapshot: %w", id, err)
		}
	}
	loaded.PartData = nil
	for _, session := range loaded.Sessions {
		if session.Results == nil {
			session.Results = map[uint64][]byte{}
		}
	}
	*s = *loaded
	return nil
}

const maxStoredResults = 1024 // per session; a client has fewer commands pending

// Apply executes a log entry. It is deterministic, so that all replicas reach the same state.
func (s *State) Apply(index uint64, data []byte) (cmd *Command, result Result) {
	s.Index = index
	cmd = &Command{}
	if len(data) == 0 || pack.Unpack(data, cmd) != nil {
		return cmd, Result{Code: CodeNotFound, Index: index}
	}
	if cmd.Seq == 0 { // proposed by a replica itself, or safe to repeat
		result = s.execute(index, cmd)
		result.Index = index
		return cmd, result
	}
	session := s.Sessions[cmd.Member]
	if session == nil || session.Epoch != cmd.Epoch || !session.Open {
		// Without fencing, a run continues after its session ended and its claims were released.
		if !s.checks.Fencing && cmd.Kind == PartCommand {
			result = s.execute(index, cmd)
			result.Index = index
			return cmd, result
		}
		return cmd, Result{Code: CodeSessionEnded, Index: index}
	}
	if previous := session.Results[cmd.Seq]; previous != nil && s.checks.Deduplication {
		pack.Unpack(previous, &result)
		return cmd, result
	}
	if cmd.Seq < session.LowestPending && s.checks.Deduplication {
		return cmd, Result{Code: CodeTooOld, Index: index}
	}
	result = s.execute(index, cmd)
	result.Index = index
	for session.LowestPending < cmd.LowestPending && len(session.Results) > 0 && session.LowestPending < cmd.Seq {
		delete(session.Results, session.LowestPending)
		session.LowestPending++
	}
	session.LowestPending = max(session.LowestPending, min(cmd.LowestPending, cmd.Seq))
	// A client that does not report which commands were answered loses its oldest result.
	if len(session.Results) >= maxStoredResults {
		oldest := slices.Min(slices.Collect(maps.Keys(session.Results)))
		delete(session.Results, oldest)
		session.LowestPending = max(session.LowestPending, oldest+1)
	}
	session.Results[cmd.Seq] = pack.Pack(&result)
	return cmd, result
}

// execute executes a command that is not a duplicate.
func (s *State) execute(index uint64, cmd *Command) Result {
	switch cmd.Kind {
	case OpenSession:
		return s.openSession(index, cmd)
	case EndSession:
		// A run may end its own session without a token.
		ownSession := cmd.Target == cmd.Member && cmd.Number == cmd.Epoch
		if duty := s.Duties[SessionsDuty]; s.checks.Fencing && !ownSession && (duty == nil || duty.Token != cmd.Token || duty.Owner != cmd.Member) {
			return s.fencedResult(duty)
		}
		return s.endSession(index, cmd.Target, cmd.Number, ownSession)
	case CloseSession:
		duty := s.Duties[SessionsDuty]
		if duty == nil {
			duty = &Duty{Name: SessionsDuty}
			s.Duties[SessionsDuty] = duty
		}
		if duty.Owner != "" || s.checks.Fencing && cmd.Token < duty.Token {
			return s.fencedResult(duty)
		}
		duty.Token = max(duty.Token, cmd.Token) // the highest token seen so far
		return s.endSession(index, cmd.Target, cmd.Number, false)
	case AcquireDuty:
		duty := s.Duties[cmd.Duty]
		if duty == nil {
			duty = &Duty{Name: cmd.Duty}
			s.Duties[cmd.Duty] = duty
		}
		if duty.Owner != "" {
			return Result{Code: CodeOwned, Token: duty.Token, Owner: duty.Owner, Epoch: duty.Epoch}
		}
		return s.assignDuty(index, duty, cmd.Member, cmd.Epoch)
	case ReleaseDuty, TransferDuty:
		duty := s.Duties[cmd.Duty]
		if duty == nil || duty.Token != cmd.Token || duty.Owner != cmd.Member {
			return s.fencedResult(duty)
		}
		if target := s.Sessions[cmd.Target]; cmd.Kind == TransferDuty && target != nil && target.Open {
			return s.assignDuty(index, duty, target.Member, target.Epoch)
		}
		duty.Owner, duty.Epoch, duty.Index = "", 0, index
		return Result{Code: CodeOK, Token: duty.Token}
	case ExpireDuty:
		duty := s.Duties[cmd.Duty]
		if duty == nil || duty.Token != cmd.Token || duty.Owner == "" {
			return s.fencedResult(duty)
		}
		duty.Owner, duty.Epoch, duty.Index = "", 0, index
		return Result{Code: CodeOK, Token: duty.Token}
	case PartCommand:
		if part := s.parts[cmd.Part]; part != nil {
			return part.Apply(index, cmd)
		}
	}
	return Result{Code: CodeNotFound}
}

// openSession opens the session of a member's run, and ends the session of an older run of that member.
func (s *State) openSession(index uint64, cmd *Command) Result {
	session := s.Sessions[cmd.Member]
	switch {
	case session != nil && session.Epoch == cmd.Epoch && session.Run == cmd.Run && session.Open:
		return Result{Code: CodeOK, Epoch: session.Epoch} // duplicate of the command that opened it
	case session != nil && session.Epoch >= cmd.Epoch:
		return Result{Code: CodeSessionEnded, Epoch: session.Epoch}
	}
	if session != nil && session.Open {
		s.releaseSession(index, session.Member, session.Epoch, false)
	}
	s.Sessions[cmd.Member] = &Session{Member: cmd.Member, Epoch: cmd.Epoch, Run: cmd.Run, Open: true, Index: index, LowestPending: 1, Results: map[uint64][]byte{}}
	return Result{Code: CodeOK, Epoch: cmd.Epoch}
}

// endSession ends an open session.
func (s *State) endSession(index uint64, member string, epoch uint64, byOwner bool) Result {
	session := s.Sessions[member]
	if session == nil || session.Epoch != epoch || !session.Open {
		return Result{Code: CodeNotFound}
	}
	session.Open, session.Index, session.Results = false, index, map[uint64][]byte{}
	s.releaseSession(index, member, epoch, byOwner)
	return Result{Code: CodeOK}
}

// releaseSession releases what a session held. Duties are released only if the run ended its own session. A run that
// others ended may act on a duty until its lease expires, so nobody else gets the duty before; the run cannot renew
// it any more.
func (s *State) releaseSession(index uint64, member string, epoch uint64, byOwner bool) {
	for _, name := range slices.Sorted(maps.Keys(s.Duties)) {
		if duty := s.Duties[name]; byOwner && duty.Owner == member && duty.Epoch == epoch {
			duty.Owner, duty.Epoch, duty.Index = "", 0, index
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.parts)) {
		s.parts[id].Ended(index, member, epoch)
	}
}

// assignDuty gives a duty to a member's run under a new fencing token. The token must be higher than all earlier
// tokens of the duty.
func (s *State) assignDuty(index uint64, duty *Duty, member string, epoch uint64) Result {
	duty.Token = max(duty.Token+1, index)
	duty.Owner, duty.Epoch, duty.Index = member, epoch, index
	return Result{Code: CodeOK, Token: duty.Token, Owner: member, Epoch: epoch}
}

// fencedResult is the result of a command with a wrong token.
func (s *State) fencedResult(duty *Duty) Result {
	if duty == nil {
		return Result{Code: CodeNotFound}
	}
	return Result{Code: CodeFenced, Token: duty.Token, Owner: duty.Owner, Epoch: duty.Epoch}
}

// Text describes the result's code.
func (r *Result) Text() string {
	switch r.Code {
	case CodeOK:
		return "ok"
	case CodeSessionEnded:
		return fmt.Sprintf("the session has ended (current epoch: %d)", r.Epoch)
	case CodeFenced:
		return fmt.Sprintf("stale token: the current one is %d, held by %q", r.Token, r.Owner)
	case CodeOwned:
		return fmt.Sprintf("already owned by %q with token %d", r.Owner, r.Token)
	case CodeTooOld:
		return "sequence number too old: its result is no longer stored"
	}
	return "not found"
}
