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

// Ticks of an election: without a leader's word for one to two such times a keeper asks whether it may lead.
const (
	electionTicks  = 10
	heartbeatTicks = 1
	caughtUp       = 64 // entries behind which a learner is near enough to be given a vote
	mostMessage    = 512 << 10
	mostOut        = 128
	mostOpen       = 16 << 20 // bytes proposed and not yet agreed on; beyond it proposals are refused
	keepEntries    = 4096     // behind a snapshot, so that a keeper that is a little late needs none
	snapshotEach   = 16384    // entries
)

// Faults of a proposal or a read. What is unknown may have taken effect.
var (
	ErrNotLeader = errors.New("this keeper doesn't lead")
	ErrBusy      = errors.New("too much is proposed and not yet agreed on")
	ErrLost      = errors.New("unknown: it lost the lead before this was agreed on")
	ErrChange    = errors.New("another change of keepers is under way")
)

// Store is a keeper's disk. What Save returned for is there after any crash; after an error nothing of it is believed.
type Store interface {
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, sync bool) error
	SaveSnapshot(snap *raftpb.Snapshot, keep uint64) error // entries up to keep may go
}

// Disk is what a store held at the start.
type Disk struct {
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry
}

// Sender takes what goes to other keepers.
type Sender func(to uint64, m *raftpb.Message)

// mark is by what a proposer knows its entry again: its keeper, and a number that no other run of it used.
type mark struct{ keeper, number uint64 }

// waiting is who waits for an entry.
type waiting struct{ done func(Answer, error) }

// reading waits for the lead to be confirmed.
type reading struct {
	at    int64 // when it was asked
	index uint64
	ready bool
	done  func(at int64, err error)
}

// Core is one keeper of one group: Raft's own core with what it agrees on, without I/O and clock. Time is nanoseconds on
// this keeper's monotonic clock. Whoever drives it calls Work until there is none.
type Core struct {
	ID    uint64
	State *State

	raft  *raft.RawNode
	mem   *raft.MemoryStorage
	conf  *raftpb.ConfState
	lease Lease

	numbers  uint64            // of this run's proposals
	proposed map[mark]*waiting // by the mark in the entry
	reads    map[string]*reading
	leads    bool
	term     uint64
	leader   uint64
	heard    int64 // last word of a leader, on a follower
	since    int64 // that it leads
	renewed  map[string]tenure
	changing bool
	snapped  uint64 // index of the last snapshot
	applied  uint64
	seated   uint64         // entry of the last change of keepers
	told     map[byte]int64 // until when parts were told how time passes
}

// tenure is when a duty's owner was last known to be there, by the leader's clock.
type tenure struct {
	token uint64
	at    int64
}

// Lease is how long an owner may act after it asked, and what two clocks may differ in their speed.
type Lease struct {
	For   time.Duration
	Drift float64
}

// Owner is how long an owner acts after it asked, by its own clock; Keeper is how long the leader waits before it ends the
// tenure, by its own.
func (l Lease) Owner() time.Duration  { return time.Duration(float64(l.For) * (1 - l.Drift)) }
func (l Lease) Keeper() time.Duration { return time.Duration(float64(l.For) * (1 + l.Drift)) }

// NewCore makes a keeper from what its disk held.
func NewCore(id, run uint64, d *Disk, s *State, l Lease, now int64) (*Core, error) {
	c := &Core{
		ID: id, State: s, mem: raft.NewMemoryStorage(), lease: l, numbers: run << 32, proposed: map[mark]*waiting{}, reads: map[string]*reading{},
		renewed: map[string]tenure{}, heard: now, told: map[byte]int64{},
	}
	if d.Snapshot != nil {
		if err := c.mem.ApplySnapshot(d.Snapshot); err != nil {
			return nil, err
		}
		if err := s.Load(d.Snapshot.GetData()); err != nil {
			return nil, err
		}
		c.applied, c.snapped, c.conf = d.Snapshot.GetMetadata().GetIndex(), d.Snapshot.GetMetadata().GetIndex(), d.Snapshot.GetMetadata().GetConfState()
	}
	if err := c.mem.Append(d.Entries); err != nil {
		return nil, err
	}
	if d.Hard != nil {
		last, _ := c.mem.LastIndex()
		h := proto.Clone(d.Hard).(*raftpb.HardState)
		h.Commit = proto.Uint64(min(max(h.GetCommit(), c.applied), last))
		c.mem.SetHardState(h)
	}
	var err error
	c.raft, err = raft.NewRawNode(&raft.Config{
		ID: id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.mem, Applied: c.applied, MaxSizePerMsg: mostMessage,
		MaxInflightMsgs: mostOut, MaxUncommittedEntriesSize: mostOpen, PreVote: true, CheckQuorum: true, DisableProposalForwarding: true,
		Logger: quiet{}, StepDownOnRemoval: true,
	})
	return c, err
}

// First is what the disk of a group's first keepers holds, the same at each.
func First(s *State) *raftpb.Snapshot {
	conf := &raftpb.ConfState{}
	conf.Voters = append(conf.Voters, slices.Sorted(maps.Keys(s.Seats))...)
	s.Index = 1
	return &raftpb.Snapshot{Data: s.Save(), Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
}

// Tick passes a heartbeat's time.
func (c *Core) Tick(now int64) {
	c.raft.Tick()
	c.expire(now)
	c.pass(now)
}

// pass tells parts how time passes, while this keeper leads and from when it did. Danger: time counted by two leaders would
// run faster than it does, so each counts from the start of its lead; what nobody has counted is lost.
func (c *Core) pass(now int64) {
	if !c.leads {
		return
	}
	for _, n := range slices.Sorted(maps.Keys(c.State.parts)) {
		p, some := c.State.parts[n].(Clocked)
		if !some {
			continue
		}
		if body := p.Due(now - max(c.told[n], c.since)); body != nil {
			c.told[n] = now
			c.Propose(&Command{Kind: Custom, Part: n, Body: body}, func(Answer, error) {})
		}
	}
}

// Step takes another keeper's word. A removed keeper, or a stranger, is not listened to by whoever drives the core.
func (c *Core) Step(now int64, m *raftpb.Message) {
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= c.term {
			c.heard = now
		}
	}
	c.raft.Step(m) // an error is a message that isn't for it: lost, as any may be
}

// Propose has a command agreed on; done is called once, with its answer or why it is not known.
func (c *Core) Propose(x *Command, done func(Answer, error)) {
	if !c.leads {
		done(Answer{}, ErrNotLeader)
		return
	}
	c.numbers++
	n := mark{c.ID, c.numbers}
	if err := c.raft.Propose(entry(n, pack.Pack(x))); err != nil {
		if errors.Is(err, raft.ErrProposalDropped) {
			err = ErrBusy
		}
		done(Answer{}, err)
		return
	}
	c.proposed[n] = &waiting{done}
}

const marked = 16 // bytes of a mark

// entry is a command behind its mark.
func entry(n mark, cmd []byte) []byte {
	b := make([]byte, 0, marked+len(cmd))
	b = binary.BigEndian.AppendUint64(b, n.keeper)
	b = binary.BigEndian.AppendUint64(b, n.number)
	return append(b, cmd...)
}

func open(b []byte) (n mark, cmd []byte) {
	if len(b) < marked {
		return n, nil
	}
	return mark{binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])}, b[marked:]
}

// Read confirms that this keeper leads, by a majority's word from after now; done is called once the state holds all that
// was agreed on before. What is read of the state right then is linearizable.
func (c *Core) Read(now int64, done func(asked int64, err error)) {
	if !c.leads {
		done(now, ErrNotLeader)
		return
	}
	c.numbers++
	key := fmt.Sprintf("%d.%d", c.ID, c.numbers)
	c.reads[key] = &reading{at: now, done: done}
	c.raft.ReadIndex([]byte(key))
}

// Renew notes that a duty's owner is there. It is to be called at a confirmed read, with the time at which the owner's word
// came: an older leader can't confirm what a newer one has ended.
func (c *Core) Renew(asked int64, duty string, token uint64, member string, epoch uint64) Answer {
	d := c.State.Duties[duty]
	if d == nil || d.Token != token || d.Owner != member || d.Epoch != epoch {
		return c.State.fenced(d)
	}
	if m := c.State.Sessions[member]; m == nil || !m.Open || m.Epoch != epoch {
		return Answer{Code: ErrOver}
	}
	if t := c.renewed[duty]; t.token != token || t.at < asked {
		c.renewed[duty] = tenure{token, asked}
	}
	return Answer{Code: OK, Token: token, Owner: member, Epoch: epoch, Index: c.State.Index}
}

// expire ends tenures that were not renewed for a lease, by this leader's own clock, from its own start at the earliest.
func (c *Core) expire(now int64) {
	if !c.leads {
		return
	}
	limit := int64(c.lease.Keeper())
	for _, name := range slices.Sorted(maps.Keys(c.State.Duties)) {
		d := c.State.Duties[name]
		if d.Owner == "" {
			continue
		}
		t, known := c.renewed[name]
		if !known || t.token != d.Token {
			t = tenure{d.Token, now}
			c.renewed[name] = t
		}
		if now-max(t.at, c.since) > limit {
			c.renewed[name] = tenure{d.Token, now} // once for each lease, until it is agreed on
			c.Propose(&Command{Kind: Expire, Duty: name, Token: d.Token}, func(Answer, error) {})
		}
	}
}

// Seat makes a stranger's disk a keeper in the place of the one of that name: first as a learner, then, once it has caught
// up, with the old one's vote. One change at a time.
func (c *Core) Seat(name, disk string) error {
	if !c.leads {
		return ErrNotLeader
	}
	if c.changing || len(c.conf.GetVotersOutgoing()) > 0 || len(c.conf.GetLearners()) > 0 {
		return ErrChange
	}
	x := Seat{ID: c.State.NextSeat, Name: name, Disk: disk, Learner: true}
	return c.propose(&raftpb.ConfChangeV2{
		Changes: []*raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddLearnerNode.Enum(), NodeId: proto.Uint64(x.ID)}}, Context: pack.Pack(&x),
	})
}

func (c *Core) propose(cc *raftpb.ConfChangeV2) error {
	if err := c.raft.ProposeConfChange(cc); err != nil {
		return err
	}
	c.changing = true
	return nil
}

// promote gives a learner that has caught up the vote of the keeper whose place it takes.
func (c *Core) promote() {
	if !c.leads || c.changing || len(c.conf.GetLearners()) == 0 {
		return
	}
	id := c.conf.GetLearners()[0]
	x := c.State.Seats[id]
	at := c.raft.Status().Progress[id]
	last, _ := c.mem.LastIndex()
	if x == nil || at.Match+caughtUp < last || at.Match == 0 {
		return
	}
	cc := &raftpb.ConfChangeV2{Changes: []*raftpb.ConfChangeSingle{{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: proto.Uint64(id)}}}
	for _, old := range c.State.Seats {
		if old.Name == x.Name && old.ID != id {
			cc.Changes = append(cc.Changes, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: proto.Uint64(old.ID)})
		}
	}
	slices.SortFunc(cc.Changes, func(a, b *raftpb.ConfChangeSingle) int { return int(a.GetType()) - int(b.GetType()) })
	cc.Context = pack.Pack(&Seat{ID: id, Name: x.Name, Disk: x.Disk})
	c.propose(cc)
}

// Transfer hands the lead to another keeper.
func (c *Core) Transfer(to uint64) error {
	if !c.leads {
		return ErrNotLeader
	}
	c.raft.TransferLeader(to)
	return nil
}

// Work does what there is to do: it saves, then sends, then applies. An error is the disk's; the keeper must not go on.
func (c *Core) Work(now int64, store Store, send Sender) error {
	for c.raft.HasReady() {
		rd := c.raft.Ready()
		if rd.Snapshot != nil && rd.Snapshot.GetMetadata().GetIndex() > 0 {
			if err := store.SaveSnapshot(rd.Snapshot, rd.Snapshot.GetMetadata().GetIndex()); err != nil {
				return err
			}
			if err := c.mem.ApplySnapshot(rd.Snapshot); err != nil {
				return err
			}
			if err := c.State.Load(rd.Snapshot.GetData()); err != nil {
				return err
			}
			c.applied, c.snapped, c.conf = rd.Snapshot.GetMetadata().GetIndex(), rd.Snapshot.GetMetadata().GetIndex(), rd.Snapshot.GetMetadata().GetConfState()
		}
		// Danger: a vote or an acknowledgement that leaves before it is on the disk may be taken back by a crash.
		if len(rd.Entries) > 0 || rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
			if err := store.Save(rd.HardState, rd.Entries, rd.MustSync); err != nil {
				return err
			}
		}
		if rd.HardState != nil && !raft.IsEmptyHardState(rd.HardState) {
			c.mem.SetHardState(rd.HardState)
			c.term = max(c.term, rd.HardState.GetTerm())
		}
		if err := c.mem.Append(rd.Entries); err != nil {
			return err
		}
		if rd.SoftState != nil {
			c.lead(now, rd.SoftState)
		}
		for _, m := range rd.Messages {
			send(m.GetTo(), m)
		}
		for _, e := range rd.CommittedEntries {
			c.apply(e)
		}
		for _, r := range rd.ReadStates {
			if x := c.reads[string(r.RequestCtx)]; x != nil {
				x.index, x.ready = r.Index, true
			}
		}
		c.raft.Advance(rd)
		c.answerReads()
	}
	c.promote()
	if c.raft.HasReady() {
		return c.Work(now, store, send)
	}
	// Danger: a keeper that is new takes no snapshot of before it was one.
	if c.applied-c.snapped >= snapshotEach || c.seated > c.snapped {
		return c.Snapshot(store)
	}
	return nil
}

// lead notes who leads.
func (c *Core) lead(now int64, s *raft.SoftState) {
	leads := s.RaftState == raft.StateLeader
	if leads && !c.leads {
		c.since, c.changing = now, false
		clear(c.renewed) // whoever owned something is given a whole lease from now on
	}
	if !leads && c.leads {
		lost := slices.SortedFunc(maps.Keys(c.proposed), func(a, b mark) int { return cmp.Compare(a.number, b.number) })
		for _, n := range lost {
			w := c.proposed[n]
			delete(c.proposed, n)
			w.done(Answer{}, ErrLost)
		}
		for _, k := range slices.Sorted(maps.Keys(c.reads)) {
			r := c.reads[k]
			delete(c.reads, k)
			r.done(r.at, ErrNotLeader)
		}
	}
	c.leads, c.leader = leads, s.Lead
}

func (c *Core) answerReads() {
	for _, k := range slices.Sorted(maps.Keys(c.reads)) {
		if r := c.reads[k]; r.ready && r.index <= c.applied {
			delete(c.reads, k)
			r.done(r.at, nil)
		}
	}
}

func (c *Core) apply(e *raftpb.Entry) {
	c.applied = e.GetIndex()
	switch e.GetType() {
	case raftpb.EntryConfChange, raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if e.GetType() == raftpb.EntryConfChange {
			var old raftpb.ConfChange
			proto.Unmarshal(e.GetData(), &old)
			cc = *old.AsV2()
		} else {
			proto.Unmarshal(e.GetData(), &cc)
		}
		c.conf = c.raft.ApplyConfChange(&cc)
		c.State.Index, c.seated = e.GetIndex(), e.GetIndex()
		c.seat(&cc)
		c.changing = len(c.conf.GetVotersOutgoing()) > 0
	default:
		n, raw := open(e.GetData())
		_, a := c.State.Apply(e.GetIndex(), raw)
		if w := c.proposed[n]; w != nil {
			delete(c.proposed, n)
			w.done(a, nil)
		}
	}
}

// seat keeps the seats as a change of keepers has them.
func (c *Core) seat(cc *raftpb.ConfChangeV2) {
	var x Seat
	if len(cc.GetContext()) > 0 && pack.Unpack(cc.GetContext(), &x) == nil && x.ID != 0 {
		c.State.Seats[x.ID] = &x
		c.State.NextSeat = max(c.State.NextSeat, x.ID+1)
	}
	for _, one := range cc.GetChanges() {
		if one.GetType() == raftpb.ConfChangeRemoveNode {
			delete(c.State.Seats, one.GetNodeId())
		}
	}
}

// Snapshot keeps the state whole on the disk, and lets entries go that it holds.
func (c *Core) Snapshot(store Store) error {
	if c.applied <= c.snapped {
		return nil
	}
	snap, err := c.mem.CreateSnapshot(c.applied, c.conf, c.State.Save())
	if err != nil {
		return err
	}
	keep := uint64(0)
	if first, _ := c.mem.FirstIndex(); c.applied > keepEntries && c.applied-keepEntries > first {
		keep = c.applied - keepEntries
	}
	if err := store.SaveSnapshot(snap, keep); err != nil {
		return err
	}
	c.snapped = c.applied
	if keep > 0 {
		return c.mem.Compact(keep)
	}
	return nil
}

// Leads reports whether this keeper leads; Leader is who does as far as it knows, 0 for nobody.
func (c *Core) Leads() bool    { return c.leads }
func (c *Core) Leader() uint64 { return c.leader }

// Age is how old what this keeper holds may be: since its leader's last word, 0 where it leads.
func (c *Core) Age(now int64) time.Duration {
	if c.leads {
		return 0
	}
	return time.Duration(now - c.heard)
}

// Status is how a keeper stands.
type Status struct {
	Role     string            `json:"role"`
	Leader   string            `json:"leader"`
	Term     uint64            `json:"term"`
	Commit   uint64            `json:"commit"`
	Applied  uint64            `json:"applied"`
	Snapshot uint64            `json:"snapshot"`
	Seats    []Seat            `json:"seats"`
	Match    map[string]uint64 `json:"match,omitempty"` // by keeper, as the leader knows it
	Age      int64             `json:"age_ms"`
	Changing bool              `json:"changing,omitempty"` // keepers are being replaced: the old ones' majority counts as well
	Lost     []string          `json:"recovered,omitempty"`
}

func (c *Core) Status(now int64) Status {
	s := c.raft.Status()
	out := Status{
		Role: map[raft.StateType]string{raft.StateLeader: "leader", raft.StateFollower: "follower", raft.StateCandidate: "candidate", raft.StatePreCandidate: "candidate"}[s.RaftState],
		Term: s.HardState.GetTerm(), Commit: s.HardState.GetCommit(), Applied: c.applied, Snapshot: c.snapped, Age: c.Age(now).Milliseconds(), Lost: c.State.Recovered,
		Changing: len(c.conf.GetVotersOutgoing()) > 0 || len(c.conf.GetLearners()) > 0,
	}
	if x := c.State.Seats[c.leader]; x != nil {
		out.Leader = x.Name
	}
	for _, id := range slices.Sorted(maps.Keys(c.State.Seats)) {
		x := *c.State.Seats[id]
		x.Learner = slices.Contains(c.conf.GetLearners(), id)
		out.Seats = append(out.Seats, x)
		if p, some := s.Progress[id]; some {
			if out.Match == nil {
				out.Match = map[string]uint64{}
			}
			out.Match[fmt.Sprintf("%s/%d", x.Name, id)] = p.Match
		}
	}
	return out
}

// quiet is the library's logger. What it says before it panics is told with the panic.
type quiet struct{}

func (quiet) Debug(...any)            {}
func (quiet) Debugf(string, ...any)   {}
func (quiet) Error(...any)            {}
func (quiet) Errorf(string, ...any)   {}
func (quiet) Info(...any)             {}
func (quiet) Infof(string, ...any)    {}
func (quiet) Warning(...any)          {}
func (quiet) Warningf(string, ...any) {}
func (quiet) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (quiet) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
