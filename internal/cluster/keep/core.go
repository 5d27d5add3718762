package keep

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"ottershift/internal/cluster/pack"
)

// Raft timing in ticks, and limits. A follower that hears nothing from a leader for electionTicks to twice that
// starts a pre-vote.
const (
	electionTicks       = 10
	heartbeatTicks      = 1
	maxPromotionLag     = 64 // a learner at most this many entries behind the leader is promoted
	maxMessageBytes     = 512 << 10
	maxInflightMessages = 128
	maxUncommittedBytes = 16 << 20 // uncommitted proposals beyond this are refused
	retainedEntries     = 4096     // entries kept behind a snapshot, so that a slightly slow follower needs no snapshot
	snapshotInterval    = 16384    // entries between two snapshots
)

// Errors of proposals and reads. After ErrLeadershipLost the command may still have taken effect.
var (
	// The text of ErrNotLeader is part of the protocol: Client.Admin compares replies with it.
	ErrNotLeader      = errors.New("this keeper doesn't lead")
	ErrBusy           = errors.New("too many uncommitted proposals")
	ErrLeadershipLost = errors.New("outcome unknown: leadership was lost before the proposal was committed")
	ErrChangePending  = errors.New("another membership change is in progress")
)

// Store is the stable storage of a replica. Everything that was saved before Save returned survives a crash. After an
// error the contents of the store are not trusted any more.
type Store interface {
	Save(hardState *raftpb.HardState, entries []*raftpb.Entry, sync bool) error
	SaveSnapshot(snapshot *raftpb.Snapshot, compactTo uint64) error // entries up to compactTo may be deleted
}

// StoredState is what a store held when it was opened.
type StoredState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// SendFunc sends a Raft message to another replica.
type SendFunc func(to uint64, msg *raftpb.Message)

// proposalID identifies a log entry to its proposer: the replica and a number that no other run of this replica uses.
type proposalID struct{ replica, number uint64 }

// pendingProposal holds the callback of a proposal that has not been committed yet.
type pendingProposal struct{ done func(Result, error) }

// pendingRead is a linearizable read that waits for its read index to be confirmed and applied.
type pendingRead struct {
	requestedAt int64
	readIndex   uint64
	confirmed   bool
	done        func(requestedAt int64, err error)
}

// Core is one replica of one Raft group: the Raft library's node and the replicated state, without I/O and clock.
// Times are nanoseconds on the monotonic clock of this replica. The caller runs ProcessReady after each call that may
// produce work.
type Core struct {
	ID    uint64
	State *State

	raft      *raft.RawNode
	storage   *raft.MemoryStorage
	confState *raftpb.ConfState
	lease     Lease

	lastRequest       uint64                          // number of the last proposal or read
	pendingProposals  map[proposalID]*pendingProposal // by the ID in the entry
	pendingReads      map[string]*pendingRead
	isLeader          bool
	term              uint64
	leader            uint64
	lastLeaderContact int64 // when a follower last received a message of a leader
	leaderSince       int64 // when this replica became leader
	renewals          map[string]lastRenewal
	changePending     bool
	snapshotIndex     uint64 // index of the last snapshot
	appliedIndex      uint64
	votersIndex       uint64         // index of the last membership change
	lastTimeProposal  map[byte]int64 // by part: up to when the elapsed time was proposed
}

// lastRenewal is when the owner of a duty last renewed its ownership, on the leader's clock.
type lastRenewal struct {
	token     uint64
	renewedAt int64
}

// Lease is for how long an owner may act after a renewal, and by how much the speeds of two clocks may differ.
type Lease struct {
	Duration time.Duration
	MaxDrift float64
}

// OwnerDuration is for how long an owner acts after it sent a renewal, on its own clock.
func (l Lease) OwnerDuration() time.Duration {
	return time.Duration(float64(l.Duration) * (1 - l.MaxDrift))
}

// LeaderDuration is how long the leader waits without a renewal before it ends an ownership, on its own clock.
func (l Lease) LeaderDuration() time.Duration {
	return time.Duration(float64(l.Duration) * (1 + l.MaxDrift))
}

// NewCore makes a replica from what its store held.
func NewCore(id, run uint64, stored *StoredState, state *State, lease Lease, now int64) (*Core, error) {
	c := &Core{
		ID: id, State: state, storage: raft.NewMemoryStorage(), lease: lease, lastRequest: run << 32, pendingProposals: map[proposalID]*pendingProposal{}, pendingReads: map[string]*pendingRead{},
		renewals: map[string]lastRenewal{}, lastLeaderContact: now, lastTimeProposal: map[byte]int64{},
	}
	if stored.Snapshot != nil {
		if err := c.storage.ApplySnapshot(stored.Snapshot); err != nil {
			return nil, err
		}
		if err := state.Load(stored.Snapshot.GetData()); err != nil {
			return nil, err
		}
		c.appliedIndex, c.snapshotIndex, c.confState = stored.Snapshot.GetMetadata().GetIndex(), stored.Snapshot.GetMetadata().GetIndex(), stored.Snapshot.GetMetadata().GetConfState()
	}
	if err := c.storage.Append(stored.Entries); err != nil {
		return nil, err
	}
	if stored.HardState != nil {
		last, _ := c.storage.LastIndex()
		hardState := proto.Clone(stored.HardState).(*raftpb.HardState)
		hardState.Commit = proto.Uint64(min(max(hardState.GetCommit(), c.appliedIndex), last))
		c.storage.SetHardState(hardState)
	}
	var err error
	c.raft, err = raft.NewRawNode(&raft.Config{
		ID: id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.storage, Applied: c.appliedIndex, MaxSizePerMsg: maxMessageBytes,
		MaxInflightMsgs: maxInflightMessages, MaxUncommittedEntriesSize: maxUncommittedBytes, PreVote: true, CheckQuorum: true, DisableProposalForwarding: true,
		Logger: raftLogger{}, StepDownOnRemoval: true,
	})
	return c, err
}

// InitialSnapshot returns the snapshot that a new group begins with. It is the same on each founding voter.
func InitialSnapshot(state *State) *raftpb.Snapshot {
	confState := &raftpb.ConfState{}
	confState.Voters = append(confState.Voters, slices.Sorted(maps.Keys(state.Voters))...)
	state.Index = 1
	return &raftpb.Snapshot{Data: state.Save(), Metadata: &raftpb.SnapshotMetadata{ConfState: confState, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
}

// Tick advances the Raft clock by one tick, and proposes what is due by time.
func (c *Core) Tick(now int64) {
	c.raft.Tick()
	c.expireDuties(now)
	c.proposeElapsedTime(now)
}

// proposeElapsedTime proposes the elapsed time to timed parts while this replica leads. Each leader counts from the
// start of its own leadership: if two leaders counted the same span, the agreed time would run faster than real time.
// Time that no leader has counted is lost.
func (c *Core) proposeElapsedTime(now int64) {
	if !c.isLeader {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.State.parts)) {
		part, ok := c.State.parts[id].(TimedPart)
		if !ok {
			continue
		}
		if body := part.Due(now - max(c.lastTimeProposal[id], c.leaderSince)); body != nil {
			c.lastTimeProposal[id] = now
			c.Propose(&Command{Kind: PartCommand, Part: id, Body: body}, func(Result, error) {})
		}
	}
}

// Step handles a message of another replica. The caller drops messages of removed and unknown replicas.
func (c *Core) Step(now int64, msg *raftpb.Message) {
	switch msg.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if msg.GetTerm() >= c.term {
			c.lastLeaderContact = now
		}
	}
	// An error means that the message is not for this replica. It is dropped, as any message may be lost.
	c.raft.Step(msg)
}

// Propose proposes a command. done is called once, with the result or with the reason why the result is not known.
func (c *Core) Propose(cmd *Command, done func(Result, error)) {
	if !c.isLeader {
		done(Result{}, ErrNotLeader)
		return
	}
	c.lastRequest++
	id := proposalID{c.ID, c.lastRequest}
	if err := c.raft.Propose(encodeEntry(id, pack.Pack(cmd))); err != nil {
		if errors.Is(err, raft.ErrProposalDropped) {
			err = ErrBusy
		}
		done(Result{}, err)
		return
	}
	c.pendingProposals[id] = &pendingProposal{done}
}

const proposalIDBytes = 16 // encoded size of a proposalID

// encodeEntry returns the data of a log entry: the proposal ID, then the command.
func encodeEntry(id proposalID, cmd []byte) []byte {
	b := make([]byte, 0, proposalIDBytes+len(cmd))
	b = binary.BigEndian.AppendUint64(b, id.replica)
	b = binary.BigEndian.AppendUint64(b, id.number)
	return append(b, cmd...)
}

// decodeEntry splits the data of a log entry into proposal ID and command. The command is nil if the data is too short.
func decodeEntry(data []byte) (id proposalID, cmd []byte) {
	if len(data) < proposalIDBytes {
		return id, nil
	}
	return proposalID{binary.BigEndian.Uint64(data), binary.BigEndian.Uint64(data[8:])}, data[proposalIDBytes:]
}

// Read confirms with a quorum that this replica still leads now. done is called once the state includes everything
// that was committed before the call. A read of the state within done is linearizable.
func (c *Core) Read(now int64, done func(requestedAt int64, err error)) {
	if !c.isLeader {
		done(now, ErrNotLeader)
		return
	}
	c.lastRequest++
	key := fmt.Sprintf("%d.%d", c.ID, c.lastRequest)
	c.pendingReads[key] = &pendingRead{requestedAt: now, done: done}
	c.raft.ReadIndex([]byte(key))
}

// Renew records that the owner of a duty is alive. It must be called within a confirmed read, with the time at which the
// owner's request arrived. Otherwise a former leader could confirm an ownership that a newer leader has ended.
func (c *Core) Renew(requestedAt int64, duty string, token uint64, member string, epoch uint64) Result {
	current := c.State.Duties[duty]
	if current == nil || current.Token != token || current.Owner != member || current.Epoch != epoch {
		return c.State.fencedResult(current)
	}
	if session := c.State.Sessions[member]; session == nil || !session.Open || session.Epoch != epoch {
		return Result{Code: CodeSessionEnded}
	}
	if last := c.renewals[duty]; last.token != token || last.renewedAt < requestedAt {
		c.renewals[duty] = lastRenewal{token, requestedAt}
	}
	return Result{Code: CodeOK, Token: token, Owner: member, Epoch: epoch, Index: c.State.Index}
}

// expireDuties ends ownerships that were not renewed for the lease duration, on the clock of this leader. The lease
// counts from the start of its leadership at the earliest.
func (c *Core) expireDuties(now int64) {
	if !c.isLeader {
		return
	}
	limit := int64(c.lease.LeaderDuration())
	for _, name := range slices.Sorted(maps.Keys(c.State.Duties)) {
		duty := c.State.Duties[name]
		if duty.Owner == "" {
			continue
		}
		last, known := c.renewals[name]
		if !known || last.token != duty.Token {
			last = lastRenewal{duty.Token, now}
			c.renewals[name] = last
		}
		if now-max(last.renewedAt, c.leaderSince) > limit {
			c.renewals[name] = lastRenewal{duty.Token, now} // propose once per lease duration until it is committed
			c.Propose(&Command{Kind: ExpireDuty, Duty: name, Token: duty.Token}, func(Result, error) {})
		}
	}
}

// ReplaceVoter starts the replacement of the voter called name by a replica with a new disk. The new replica joins as
// a learner; once it has caught up, it gets the vote of the old one. Only one membership change runs at a time.
func (c *Core) ReplaceVoter(name, diskID string) error {
	if !c.isLeader {
		return ErrNotLeader
	}
	if c.changePending || len(c.confState.GetVotersOutgoing()) > 0 || len(c.confState.GetLearners()) > 0 {
		return ErrChangePending
	}
	learner := Voter{ID: c.State.NextVoterID, Name: name, DiskID: diskID, Learner: true}
	return c.proposeConfChange(&raftpb.ConfChangeV2{
		Changes: []*raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddLearnerNode.Enum(), NodeId: proto.Uint64(learner.ID)}}, Context: pack.Pack(&learner),
	})
}

// proposeConfChange proposes a membership change. No other one starts until it is applied.
func (c *Core) proposeConfChange(change *raftpb.ConfChangeV2) error {
	if err := c.raft.ProposeConfChange(change); err != nil {
		return err
	}
	c.changePending = true
	return nil
}

// promoteLearner gives a learner that has caught up the vote of the replica that it replaces.
func (c *Core) promoteLearner() {
	if !c.isLeader || c.changePending || len(c.confState.GetLearners()) == 0 {
		return
	}
	id := c.confState.GetLearners()[0]
	learner := c.State.Voters[id]
	progress := c.raft.Status().Progress[id]
	lastIndex, _ := c.storage.LastIndex()
	if learner == nil || progress.Match+maxPromotionLag < lastIndex || progress.Match == 0 {
		return
	}
	change := &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(id)}}}
	for _, old := range c.State.Voters {
		if old.Name == learner.Name && old.ID != id {
			change.Changes = append(change.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(old.ID)})
		}
	}
	slices.SortFunc(change.Changes, func(a, b *raftpb.ConfChangeSingle) int { return int(a.GetType()) - int(b.GetType()) })
	change.Context = pack.Pack(&Voter{ID: id, Name: learner.Name, DiskID: learner.DiskID})
	c.proposeConfChange(change)
}

// TransferLeadership hands the leadership to another replica.
func (c *Core) TransferLeadership(to uint64) error {
	if !c.isLeader {
		return ErrNotLeader
	}
	c.raft.TransferLeader(to)
	return nil
}

// ProcessReady processes all pending work: it saves, then sends, then applies. An error comes from the store; the
// replica must not continue after it.
func (c *Core) ProcessReady(now int64, store Store, send SendFunc) error {
	for c.raft.HasReady() {
		rd := c.raft.Ready()
		if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 {
			if err := store.SaveSnapshot(rd.Snapshot, rd.Snapshot.GetMetadata().GetIndex()); err != nil {
				return err
			}
			if err := c.storage.ApplySnapshot(rd.Snapshot); err != nil {
				return err
			}
			if err := c.State.Load(rd.Snapshot.GetData()); err != nil {
				return err
			}
			c.appliedIndex, c.snapshotIndex, c.confState = rd.Snapshot.GetMetadata().GetIndex(), rd.Snapshot.GetMetadata().GetIndex(), rd.Snapshot.GetMetadata().GetConfState()
		}
		// Save before sending: a vote or an acknowledgement that is sent before it is on disk may be undone by a
		// crash.
		if len(rd.Entries) > 0 || rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
			if err := store.Save(rd.HardState, rd.Entries, rd.MustSync); err != nil {
				return err
			}
		}
		if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
			c.storage.SetHardState(rd.HardState)
			c.term = max(c.term, rd.HardState.GetTerm())
		}
		if err := c.storage.Append(rd.Entries); err != nil {
			return err
		}
		if rd.SoftState != nil {
			c.updateRole(now, rd.SoftState)
		}
		for _, msg := range rd.Messages {
			send(msg.GetTo(), msg)
		}
		for _, entry := range rd.CommittedEntries {
			c.apply(entry)
		}
		for _, readState := range rd.ReadStates {
			if read := c.pendingReads[string(readState.RequestCtx)]; read != nil {
				read.readIndex, read.confirmed = readState.Index, true
			}
		}
		c.raft.Advance(rd)
		c.completeReads()
	}
	c.promoteLearner()
	if c.raft.HasReady() {
		return c.ProcessReady(now, store, send)
	}
	// A snapshot follows each membership change, so that a new voter does not start from one that precedes its
	// membership.
	if c.appliedIndex-c.snapshotIndex >= snapshotInterval || c.votersIndex > c.snapshotIndex {
		return c.Snapshot(store)
	}
	return nil
}

// updateRole records the role of this replica and the current leader. When leadership is lost, it fails all pending
// proposals and reads.
func (c *Core) updateRole(now int64, soft *raft.SoftState) {
	isLeader := soft.RaftState == raft.StateLeader
	if isLeader && !c.isLeader {
		c.leaderSince, c.changePending = now, false
		clear(c.renewals) // each owner gets a whole lease from now on
	}
	if !isLeader && c.isLeader {
		ids := slices.SortedFunc(maps.Keys(c.pendingProposals), func(a, b proposalID) int { return cmp.Compare(a.number, b.number) })
		for _, id := range ids {
			proposal := c.pendingProposals[id]
			delete(c.pendingProposals, id)
			proposal.done(Result{}, ErrLeadershipLost)
		}
		for _, key := range slices.Sorted(maps.Keys(c.pendingReads)) {
			read := c.pendingReads[key]
			delete(c.pendingReads, key)
			read.done(read.requestedAt, ErrNotLeader)
		}
	}
	c.isLeader, c.leader = isLeader, soft.Lead
}

// completeReads answers the reads whose read index has been applied.
func (c *Core) completeReads() {
	for _, key := range slices.Sorted(maps.Keys(c.pendingReads)) {
		if read := c.pendingReads[key]; read.confirmed && read.readIndex <= c.appliedIndex {
			delete(c.pendingReads, key)
			read.done(read.requestedAt, nil)
		}
	}
}

// apply applies a committed entry, and answers its proposal if it was made here.
func (c *Core) apply(entry *raftpb.Entry) {
	c.appliedIndex = entry.GetIndex()
	switch entry.GetType() {
	case raftpb.EntryConfChange, raftpb.EntryConfChangeV2:
		var change raftpb.ConfChangeV2
		if entry.GetType() == raftpb.EntryConfChange {
			var v1 raftpb.ConfChange
			proto.Unmarshal(entry.GetData(), &v1)
			change = *v1.AsV2()
		} else {
			proto.Unmarshal(entry.GetData(), &change)
		}
		c.confState = c.raft.ApplyConfChange(&change)
		c.State.Index, c.votersIndex = entry.GetIndex(), entry.GetIndex()
		c.updateVoters(&change)
		c.changePending = len(c.confState.GetVotersOutgoing()) > 0
	default:
		id, cmd := decodeEntry(entry.GetData())
		_, result := c.State.Apply(entry.GetIndex(), cmd)
		if proposal := c.pendingProposals[id]; proposal != nil {
			delete(c.pendingProposals, id)
			proposal.done(result, nil)
		}
	}
}

// updateVoters applies a committed membership change to the list of voters.
func (c *Core) updateVoters(change *raftpb.ConfChangeV2) {
	var voter Voter
	if len(change.GetContext()) > 0 && pack.Unpack(change.GetContext(), &voter) == nil && voter.ID != 0 {
		c.State.Voters[voter.ID] = &voter
		c.State.NextVoterID = max(c.State.NextVoterID, voter.ID+1)
	}
	for _, single := range change.GetChanges() {
		if single.GetType() == raftpb.ConfChangeRemoveNode {
			delete(c.State.Voters, single.GetNodeId())
		}
	}
}

// Snapshot saves a snapshot of the state, and deletes log entries that it covers.
func (c *Core) Snapshot(store Store) error {
	if c.appliedIndex <= c.snapshotIndex {
		return nil
	}
	snapshot, err := c.storage.CreateSnapshot(c.appliedIndex, c.confState, c.State.Save())
	if err != nil {
		return err
	}
	compactTo := uint64(0)
	if first, _ := c.storage.FirstIndex(); c.appliedIndex > retainedEntries && c.appliedIndex-retainedEntries > first {
		compactTo = c.appliedIndex - retainedEntries
	}
	if err := store.SaveSnapshot(snapshot, compactTo); err != nil {
		return err
	}
	c.snapshotIndex = c.appliedIndex
	if compactTo > 0 {
		return c.storage.Compact(compactTo)
	}
	return nil
}

// IsLeader reports whether this replica leads.
func (c *Core) IsLeader() bool { return c.isLeader }

// Leader returns the ID of the leader as far as this replica knows, 0 for none.
func (c *Core) Leader() uint64 { return c.leader }

// Staleness is an upper bound of the age of this replica's state: the time since the leader's last message, 0 on the
// leader.
func (c *Core) Staleness(now int64) time.Duration {
	if c.isLeader {
		return 0
	}
	return time.Duration(now - c.lastLeaderContact)
}

// Status describes a replica, for operators and metrics.
type Status struct {
	Role        string            `json:"role"`
	Leader      string            `json:"leader"`
	Term        uint64            `json:"term"`
	Commit      uint64            `json:"commit"`
	Applied     uint64            `json:"applied"`
	Snapshot    uint64            `json:"snapshot"`
	Voters      []Voter           `json:"seats"`
	Match       map[string]uint64 `json:"match,omitempty"` // last log entry on each replica, as the leader knows it
	StalenessMS int64             `json:"age_ms"`
	Changing    bool              `json:"changing,omitempty"` // a replacement is in progress: the quorum of the old voters counts too
	Recovered   []string          `json:"recovered,omitempty"`
}

// Status returns the status of this replica.
func (c *Core) Status(now int64) Status {
	raftStatus := c.raft.Status()
	status := Status{
		Role: map[raft.StateType]string{raft.StateLeader: "leader", raft.StateFollower: "follower", raft.StateCandidate: "candidate", raft.StatePreCandidate: "candidate"}[raftStatus.RaftState],
		Term: raftStatus.HardState.GetTerm(), Commit: raftStatus.HardState.GetCommit(), Applied: c.appliedIndex, Snapshot: c.snapshotIndex, StalenessMS: c.Staleness(now).Milliseconds(), Recovered: c.State.Recovered,
		Changing: len(c.confState.GetVotersOutgoing()) > 0 || len(c.confState.GetLearners()) > 0,
	}
	if voter := c.State.Voters[c.leader]; voter != nil {
		status.Leader = voter.Name
	}
	for _, id := range slices.Sorted(maps.Keys(c.State.Voters)) {
		voter := *c.State.Voters[id]
		voter.Learner = slices.Contains(c.confState.GetLearners(), id)
		status.Voters = append(status.Voters, voter)
		if progress, ok := raftStatus.Progress[id]; ok {
			if status.Match == nil {
				status.Match = map[string]uint64{}
			}
			status.Match[fmt.Sprintf("%s/%d", voter.Name, id)] = progress.Match
		}
	}
	return status
}

// raftLogger discards the log of the Raft library. Messages logged before a panic become the panic value.
type raftLogger struct{}

func (raftLogger) Debug(...any)            {}
func (raftLogger) Debugf(string, ...any)   {}
func (raftLogger) Error(...any)            {}
func (raftLogger) Errorf(string, ...any)   {}
func (raftLogger) Info(...any)             {}
func (raftLogger) Infof(string, ...any)    {}
func (raftLogger) Warning(...any)          {}
func (raftLogger) Warningf(string, ...any) {}
func (raftLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (raftLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (raftLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (raftLogger) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
